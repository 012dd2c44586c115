#pragma once

#include <indigoway/ids.h>

#include <optional>
#include <string>
#include <string_view>

/**
 * @file Messages with which a node asks another one to open a connection to a backend server, as
 * HTTP's CONNECT does. The server is named by its id, not its address: a node connects only to
 * servers that it knows itself. After the answer Open both directions carry the connection's bytes,
 * in frames (tunnelframes.h) if both nodes say so: nodes of earlier versions don't.
 */
namespace indigoway {

/** Longest head of a request or an answer, in bytes. */
constexpr std::size_t MaxTunnelHeadBytes = 1024;

enum class TunnelAnswer {
    Open = 200,
    Refused = 502,     ///< The server's machine refuses connections; other servers are reached.
    Unavailable = 503, ///< The asked node cannot say whether the server can be reached.
    NoAnswer = 504,    ///< The server does not answer; other servers are reached.
};

struct TunnelRequest
{
    ServerName server;
    bool knowsFrames = false; ///< Whether the asking node can read and write frames.
};

/** Returns the request of a node that knows frames, or nothing if the name can't be sent. */
std::optional<std::string> encodeTunnelRequest(const ServerName &server);
/** @param isFramed Whether frames follow. */
std::string encodeTunnelAnswer(TunnelAnswer answer, bool isFramed = false);
/** Returns the length of the head in @p text including its end, or nothing if it is incomplete. */
std::optional<std::size_t> tunnelHeadLength(std::string_view text);
/** Parses a complete head; returns nothing if it is no request. */
std::optional<TunnelRequest> parseTunnelRequest(std::string_view head);
/** Parses a complete head; an unknown answer is read as Unavailable. */
TunnelAnswer parseTunnelAnswer(std::string_view head);
/** Returns whether the complete head of an answer says that frames follow. */
bool isFramedAnswer(std::string_view head);

} // namespace indigoway
