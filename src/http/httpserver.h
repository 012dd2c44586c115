#pragma once

#include "http/eventbase.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace indigoway {

/** One request and its answer on a server's connection. */
using ExchangeNumber = Number<struct ExchangeTag>;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

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
    std::chrono::seconds idle {15}; ///< Between bytes of a request, and between requests.
    std::size_t unsentBytes = std::size_t {1024} * 1024; ///< Of a caller who reads too slowly.
};

/**
 * HTTP server on evhttp that tells when a caller leaves, also before its answer has begun.
 * Every exchange ends by exactly one of: reply(), endStream(), abort(), or the gone handler.
 */
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest)>;
    using GoneHandler = std::function<void(ExchangeNumber)>;

    HttpServer(event_base *base, HttpLimits limits, Handler handler, GoneHandler goneHandler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Listens on "IP:port"; port 0 takes a free one. The address, or nothing on failure. */
    std::optional<std::string> listenOn(const std::string &address);

    void reply(ExchangeNumber exchange, int status, const HttpHeaders &headers,
               const std::string &body);
    void startStream(ExchangeNumber exchange, int status, const HttpHeaders &headers);
    /** False if the caller reads so slowly that more than the limit is unsent. */
    bool send(ExchangeNumber exchange, const std::string &data);
    void endStream(ExchangeNumber exchange);
    /** Closes the connection in the middle of the answer: the caller sees that it is not whole. */
    void abort(ExchangeNumber exchange);
    std::size_t open() const { return m_exchanges.size(); }

private:
    struct Exchange;

    static void handleRequest(evhttp_request *request, void *server);
    static void handleClose(evhttp_connection *connection, void *exchange);
    void take(evhttp_request *request);
    void gone(ExchangeNumber number);
    void freeOrphans();
    std::unique_ptr<Exchange> finish(ExchangeNumber number);

    event_base *m_base;
    evhttp *m_http;
    EventHandle m_reaper;
    std::vector<evhttp_request *> m_orphans; ///< Freed by m_reaper.
    HttpLimits m_limits;
    Handler m_handler;
    GoneHandler m_goneHandler;
    std::map<ExchangeNumber, std::unique_ptr<Exchange>> m_exchanges;
    std::uint64_t m_lastExchange = 0;
};

/** Splits "IP:port"; nothing if it is not of that form. */
std::optional<std::pair<std::string, std::uint16_t>> splitAddress(const std::string &address);

} // namespace indigoway
