#pragma once

#include "http/eventbase.h"
#include "http/httpheaders.h"
#include "http/httplistener.h"
#include "http/sockets.h"
#include "overload/overloadguard.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace indigoway {

/** One request and its answer on a server's connection. */
using ExchangeNumber = Number<struct ExchangeTag>;

/** A request as it came in, whole. */
struct HttpRequest
{
    ExchangeNumber exchange;
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< What follows the question mark.
    HttpHeaders headers;
    std::string body;

    /** Value of header @p name, whatever its case; empty if there is none. */
    std::string header(const std::string &name) const;
    /** Value of parameter @p name in the query; empty if there is none. */
    std::string parameter(const std::string &name) const;
};

/** Bounds on what callers may send and how slowly. */
struct HttpLimits
{
    std::size_t headerBytes = std::size_t {64} * 1024;
    std::size_t bodyBytes = std::size_t {8} * 1024 * 1024;
    std::size_t connections = 4096;
    /** For a head, for a body beyond the time that its size earns, and between requests. */
    std::chrono::seconds idle {15};
    std::size_t unsentBytes = std::size_t {1024} * 1024; ///< Of a caller who reads too slowly.
    Door door = Door::Control;
    bool keepsBodies = true;  ///< Otherwise bodies are read and discarded.
    std::uint32_t copies = 1; ///< That the handler holds of each request until its answer.
};

/** Limits at a door whose requests have no bodies that matter. */
HttpLimits smallRequestLimits(Door door);

/**
 * HTTP server for small messages, with whole requests as values. Every exchange ends by exactly one
 * of: reply(), endStream(), abort(), or the gone handler.
 */
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest)>;
    using GoneHandler = std::function<void(ExchangeNumber)>;

    /** @param guard Limits what is held for clients; null: nothing does. */
    HttpServer(event_base *base, HttpLimits limits, Handler handler, GoneHandler goneHandler,
               OverloadGuard *guard = nullptr);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Listens on "IP:port"; port 0 takes a free one. The address, or nothing on failure. */
    std::optional<std::string> listenOn(const std::string &address)
    {
        return m_listener.listenOn(address);
    }

    void reply(ExchangeNumber exchange, int status, const HttpHeaders &headers,
               const std::string &body);
    void startStream(ExchangeNumber exchange, int status, const HttpHeaders &headers);
    /** False if the caller reads so slowly that more than the limit is unsent. */
    bool send(ExchangeNumber exchange, const std::string &data);
    void endStream(ExchangeNumber exchange);
    /** Closes the connection in the middle of the answer: the caller sees that it is not whole. */
    void abort(ExchangeNumber exchange);
    std::size_t open() const { return m_listener.openRequests(); }

private:
    void take(RequestNumber number, CallerRequest request);

    std::unique_ptr<OverloadGuard> m_ownGuard; ///< Null if another one is used.
    HttpLimits m_limits;
    Handler m_handler;
    GoneHandler m_goneHandler;
    HttpListener m_listener;
};

} // namespace indigoway
