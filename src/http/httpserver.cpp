#include "httpserver.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <strings.h>

namespace indigoway {

namespace {

CallerLimits listenerLimits(const HttpLimits &limits)
{
    return {limits.headerBytes, limits.bodyBytes, limits.idle, limits.idle};
}

ListenerOptions listenerOptions(const HttpLimits &limits)
{
    ListenerOptions options;
    options.door = limits.door;
    options.limits = listenerLimits(limits);
    options.maxConnections = limits.connections;
    options.keepsBodies = limits.keepsBodies;
    options.copies = limits.copies;
    // The user is told by send() before the listener gives the client up.
    options.maxUnreadBytes = ByteBudget::Unlimited;
    return options;
}

/** Returns the path and query of a request target, which may be an absolute URI. */
std::string_view pathAndQuery(std::string_view target)
{
    constexpr std::string_view Scheme = "http://";
    if (!target.starts_with(Scheme)) {
        return target;
    }
    const std::size_t path = target.find('/', Scheme.size());
    return path == std::string_view::npos ? std::string_view("/") : target.substr(path);
}

RequestNumber requestOf(ExchangeNumber exchange)
{
    return RequestNumber(exchange.value());
}

} // namespace

HttpLimits smallRequestLimits(Door door)
{
    HttpLimits limits;
    limits.door = door;
    limits.keepsBodies = false;
    return limits;
}

std::string HttpRequest::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

std::string HttpRequest::parameter(const std::string &name) const
{
    evkeyvalq parameters {};
    if (evhttp_parse_query_str(query.c_str(), &parameters) != 0) {
        return {};
    }
    const char *value = evhttp_find_header(&parameters, name.c_str());
    std::string found = value ? value : "";
    evhttp_clear_headers(&parameters);
    return found;
}

HttpServer::HttpServer(event_base *base, HttpLimits limits, Handler handler,
                       GoneHandler goneHandler, OverloadGuard *guard)
    : m_ownGuard(guard ? nullptr : std::make_unique<OverloadGuard>(base, MachineResources {}))
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_goneHandler(std::move(goneHandler))
    , m_listener(
          base, guard ? *guard : *m_ownGuard, listenerOptions(limits),
          [this](RequestNumber number, CallerRequest request) { take(number, std::move(request)); },
          [this](RequestNumber number) { m_goneHandler(ExchangeNumber(number.value())); })
{ }

void HttpServer::reply(ExchangeNumber exchange, int status, const HttpHeaders &headers,
                       const std::string &body)
{
    m_listener.respond(requestOf(exchange), status, headers, body);
}

void HttpServer::startStream(ExchangeNumber exchange, int status, const HttpHeaders &headers)
{
    m_listener.startStream(requestOf(exchange), status, headers);
}

bool HttpServer::send(ExchangeNumber exchange, const std::string &data)
{
    m_listener.sendChunk(requestOf(exchange), data);
    return m_listener.unsentBytes(requestOf(exchange)) <= m_limits.unsentBytes;
}

void HttpServer::endStream(ExchangeNumber exchange)
{
    m_listener.endStream(requestOf(exchange));
}

void HttpServer::abort(ExchangeNumber exchange)
{
    m_listener.abortAnswer(requestOf(exchange));
}

void HttpServer::take(RequestNumber number, CallerRequest request)
{
    HttpRequest taken;
    taken.exchange = ExchangeNumber(number.value());
    taken.method = request.head.method;
    const std::string_view target = pathAndQuery(request.head.target);
    const std::size_t mark = target.find('?');
    taken.path = target.substr(0, mark);
    taken.query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    taken.headers = std::move(request.head.headers);
    taken.body = request.body.text();
    m_handler(std::move(taken));
}

} // namespace indigoway
