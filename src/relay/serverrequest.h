#pragma once

#include "http/messagebody.h"
#include "http/messageparser.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <string>

namespace indigoway {

/** HTTP request to a backend server. */
struct ServerRequest
{
    CallNumber call;
    ServerName server;   ///< Identifies the server process; connections are reused for it only.
    std::string address; ///< "IP:port"
    std::string method;
    std::string target;
    HttpHeaders headers; ///< Without framing and hop-by-hop headers.
    MessageBody body;
    Duration idleTimeout {}; ///< Maximum time without data from the server; 0 for none.
    /** Maximum time from the first byte of the answer to its end; 0 for none. */
    Duration answerLimit {};
    Duration silenceLimit {};   ///< Time without data that is reported to the observer; 0 for none.
    Duration connectTimeout {}; ///< Maximum time to connect; 0 for the default.
    bool needsNewConnection = false;
    bool isConnectOnly = false;           ///< Opens a connection without sending data.
    bool isDirectOnly = false;            ///< Must come from this node's own address.
    std::uint32_t maxIdleConnections = 1; ///< Maximum of idle connections to this server.
};

/** Returns the head of the request as it is sent before the body. */
std::string headTextOf(const ServerRequest &request);
/** Returns how long the connection may be idle after the answer @p head, less a margin. */
Duration idleTimeFrom(const MessageHead &head);

} // namespace indigoway
