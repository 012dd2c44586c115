#include "httpserver.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <charconv>

namespace indigoway {

namespace {

/** An exchange may wait for its backend server much longer than a caller may be silent. */
constexpr int ExchangeTimeoutSeconds = 24 * 3600;
/** What a caller may send ahead while its request is answered. */
constexpr std::size_t MostReadAhead = std::size_t {64} * 1024;

constexpr std::uint16_t AllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD
    | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

const char *methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

std::string bodyOf(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(input);
    std::string body(size, '\0');
    evbuffer_copyout(input, body.data(), size);
    return body;
}

void addHeaders(evhttp_request *request, const HttpHeaders &headers)
{
    evkeyvalq *output = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : headers) {
        evhttp_add_header(output, name.c_str(), value.c_str());
    }
}

/**
 * Makes the connection notice that the caller closes it. evhttp stops reading while a request is
 * answered, and then a caller who leaves is seen only once a reply is written. Reading goes on
 * here, but without evhttp's read callback: in this state that one would end the process when
 * bytes of a next, pipelined request arrive.
 */
void watchForClose(bufferevent *events)
{
    bufferevent_data_cb readCallback = nullptr;
    bufferevent_data_cb writeCallback = nullptr;
    bufferevent_event_cb eventCallback = nullptr;
    void *context = nullptr;
    bufferevent_getcb(events, &readCallback, &writeCallback, &eventCallback, &context);
    bufferevent_setcb(events, nullptr, writeCallback, eventCallback, context);
    bufferevent_setwatermark(events, EV_READ, 0, MostReadAhead);
    bufferevent_enable(events, EV_READ);
}

void stopWatching(bufferevent *events)
{
    bufferevent_disable(events, EV_READ);
    bufferevent_setwatermark(events, EV_READ, 0, 0);
}

} // namespace

struct HttpServer::Exchange
{
    HttpServer *server = nullptr;
    ExchangeNumber number;
    evhttp_request *request = nullptr;
    bool isStreaming = false;
};

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
                       GoneHandler goneHandler)
    : m_base(base)
    , m_http(evhttp_new(base))
    , m_reaper(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *server) {
              static_cast<HttpServer *>(server)->freeOrphans();
          },
          this))
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_goneHandler(std::move(goneHandler))
{
    evhttp_set_allowed_methods(m_http, AllMethods);
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(m_limits.headerBytes));
    evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(m_limits.bodyBytes));
    evhttp_set_timeout(m_http, static_cast<int>(m_limits.idle.count()));
    evhttp_set_gencb(m_http, &HttpServer::handleRequest, this);
}

HttpServer::~HttpServer()
{
    // The connections that evhttp_free() closes must not be reported any more.
    for (auto &[number, exchange] : m_exchanges) {
        if (evhttp_connection *connection = evhttp_request_get_connection(exchange->request)) {
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
        }
    }
    evhttp_free(m_http);
    freeOrphans();
}

std::optional<std::string> HttpServer::listenOn(const std::string &address)
{
    const auto parts = splitAddress(address);
    if (!parts) {
        return std::nullopt;
    }
    evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(m_http, parts->first.c_str(), parts->second);
    if (!bound) {
        return std::nullopt;
    }
    sockaddr_storage storage {};
    socklen_t length = sizeof storage;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&storage), &length);
    const std::uint16_t port = storage.ss_family == AF_INET6
        ? ntohs(reinterpret_cast<sockaddr_in6 *>(&storage)->sin6_port)
        : ntohs(reinterpret_cast<sockaddr_in *>(&storage)->sin_port);
    return address.substr(0, address.rfind(':')) + ':' + std::to_string(port);
}

void HttpServer::reply(ExchangeNumber exchange, int status, const HttpHeaders &headers,
                       const std::string &body)
{
    const std::unique_ptr<Exchange> found = finish(exchange);
    if (!found) {
        return;
    }
    addHeaders(found->request, headers);
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(found->request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void HttpServer::startStream(ExchangeNumber exchange, int status, const HttpHeaders &headers)
{
    const auto it = m_exchanges.find(exchange);
    if (it == m_exchanges.end()) {
        return;
    }
    it->second->isStreaming = true;
    addHeaders(it->second->request, headers);
    evhttp_send_reply_start(it->second->request, status, nullptr);
}

bool HttpServer::send(ExchangeNumber exchange, const std::string &data)
{
    const auto it = m_exchanges.find(exchange);
    if (it == m_exchanges.end()) {
        return true;
    }
    evhttp_connection *connection = evhttp_request_get_connection(it->second->request);
    if (!connection) {
        return true;
    }
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk(it->second->request, buffer);
    evbuffer_free(buffer);
    evbuffer *unsent = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    return evbuffer_get_length(unsent) <= m_limits.unsentBytes;
}

void HttpServer::endStream(ExchangeNumber exchange)
{
    if (const std::unique_ptr<Exchange> found = finish(exchange)) {
        evhttp_send_reply_end(found->request);
    }
}

void HttpServer::abort(ExchangeNumber exchange)
{
    const auto it = m_exchanges.find(exchange);
    if (it == m_exchanges.end()) {
        return;
    }
    evhttp_connection *connection = evhttp_request_get_connection(it->second->request);
    if (!connection) {
        finish(exchange);
        return;
    }
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    m_exchanges.erase(it);
    // Not at once: this may run inside one of the connection's own callbacks.
    event_base_once(
        m_base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *closed) {
            evhttp_connection_free(static_cast<evhttp_connection *>(closed));
        },
        connection, nullptr);
}

void HttpServer::handleRequest(evhttp_request *request, void *server)
{
    static_cast<HttpServer *>(server)->take(request);
}

void HttpServer::handleClose(evhttp_connection * /*connection*/, void *exchange)
{
    auto *closed = static_cast<Exchange *>(exchange);
    closed->server->gone(closed->number);
}

void HttpServer::take(evhttp_request *request)
{
    if (m_exchanges.size() >= m_limits.connections) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Retry-After", "1");
        evhttp_send_reply(request, 503, nullptr, nullptr);
        return;
    }
    evhttp_connection *connection = evhttp_request_get_connection(request);
    bufferevent *events = evhttp_connection_get_bufferevent(connection);
    const int noDelay = 1;
    setsockopt(bufferevent_getfd(events), IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    evhttp_connection_set_timeout(connection, ExchangeTimeoutSeconds);

    auto exchange = std::make_unique<Exchange>();
    exchange->server = this;
    exchange->number = ExchangeNumber(++m_lastExchange);
    exchange->request = request;
    evhttp_connection_set_closecb(connection, &HttpServer::handleClose, exchange.get());
    watchForClose(events);

    HttpRequest taken;
    taken.exchange = exchange->number;
    taken.method = methodName(evhttp_request_get_command(request));
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = uri ? evhttp_uri_get_path(uri) : nullptr;
    const char *query = uri ? evhttp_uri_get_query(uri) : nullptr;
    taken.path = path ? path : "";
    taken.query = query ? query : "";
    evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header; header = header->next.tqe_next) {
        taken.headers.emplace_back(header->key, header->value);
    }
    taken.body = bodyOf(request);
    m_exchanges.emplace(exchange->number, std::move(exchange));
    m_handler(std::move(taken));
}

void HttpServer::gone(ExchangeNumber number)
{
    const auto it = m_exchanges.find(number);
    if (it == m_exchanges.end()) {
        return;
    }
    evhttp_request *request = it->second->request;
    m_exchanges.erase(it);
    // evhttp has let go of a request whose reply was still due. It frees one that was under way.
    if (!evhttp_request_get_connection(request)) {
        m_orphans.push_back(request);
        event_active(m_reaper.get(), EV_TIMEOUT, 0);
    }
    m_goneHandler(number);
}

void HttpServer::freeOrphans()
{
    for (evhttp_request *request : std::exchange(m_orphans, {})) {
        evhttp_request_free(request);
    }
}

std::unique_ptr<HttpServer::Exchange> HttpServer::finish(ExchangeNumber number)
{
    const auto it = m_exchanges.find(number);
    if (it == m_exchanges.end()) {
        return nullptr;
    }
    std::unique_ptr<Exchange> exchange = std::move(it->second);
    m_exchanges.erase(it);
    if (evhttp_connection *connection = evhttp_request_get_connection(exchange->request)) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        evhttp_connection_set_timeout(connection, static_cast<int>(m_limits.idle.count()));
        stopWatching(evhttp_connection_get_bufferevent(connection));
    }
    return exchange;
}

std::optional<std::pair<std::string, std::uint16_t>> splitAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
    if (error != std::errc {} || stop != end) {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    in_addr v4 {};
    in6_addr v6 {};
    if (inet_pton(AF_INET, host.c_str(), &v4) != 1 && inet_pton(AF_INET6, host.c_str(), &v6) != 1) {
        return std::nullopt;
    }
    return std::pair(host, port);
}

} // namespace indigoway
