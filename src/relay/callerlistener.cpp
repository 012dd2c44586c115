#include "callerlistener.h"

#include "relay/sockets.h"
#include "relay/timers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

namespace indigoway {

namespace {

constexpr int BadRequest = 400;
constexpr int RequestTimeout = 408;
constexpr int PayloadTooLarge = 413;
constexpr int ExpectationFailed = 417;
constexpr int HeadersTooLarge = 431;
/** Time without acknowledgement after which a caller's connection is closed. */
constexpr auto TcpUserTimeout = std::chrono::milliseconds(5000);
/** Time to discard input before a close, so that no reset destroys the answer in transit. */
constexpr Duration LingerTime = std::chrono::seconds(1);
/** Added to the idle timeout, so that connections aren't closed before callers expect it. */
constexpr Duration IdleTimeoutMargin = std::chrono::seconds(1);
/** Limit of buffered stream data for a slow caller; its connection is closed beyond that. */
constexpr std::size_t MaxUnsentBytes = std::size_t {4} * 1024 * 1024;

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case BadRequest:
        return "Bad Request";
    case 404:
        return "Not Found";
    case RequestTimeout:
        return "Request Timeout";
    case PayloadTooLarge:
        return "Payload Too Large";
    case ExpectationFailed:
        return "Expectation Failed";
    case HeadersTooLarge:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

struct CallerListener::Connection
{
    enum class State {
        Reading,   ///< Waits for a request or receives one.
        Answering, ///< Processes a request; further input stays in the buffer.
        Closing,   ///< Waits until the answer is written.
        Lingering, ///< Discards input until the timer closes the connection.
    };

    CallerListener *listener = nullptr;
    ConnectionNumber number;
    bufferevent *bev = nullptr;
    event *timer = nullptr;
    MessageParser parser;
    State state = State::Reading;
    RequestNumber request;
    CallerRequest incomingRequest;
    CallerLimits limits;
    bool isHttp10 = false; ///< The caller knows no chunks; a stream ends with the connection.
    bool isStreaming = false;
    bool isKeepAlive = true; ///< The connection accepts further requests.
    bool isHeadRequest = false;
    /** Set in a parser callback; the answer is sent after the parser returns. */
    bool isRejected = false;
    int rejectionStatus = 0;

    explicit Connection(MessageParser::Handler handler)
        : parser(MessageParser::Kind::Request, std::move(handler))
    { }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection()
    {
        event_free(timer);
        bufferevent_free(bev);
    }
};

CallerListener::CallerListener(event_base *base, RequestHandler requestHandler,
                               GoneHandler goneHandler)
    : m_base(base)
    , m_requestHandler(std::move(requestHandler))
    , m_goneHandler(std::move(goneHandler))
{ }

CallerListener::~CallerListener()
{
    if (m_listener) {
        evconnlistener_free(m_listener);
    }
}

std::optional<std::string> CallerListener::listenOn(const std::string &address)
{
    m_listener = listenForConnections(m_base, address, &CallerListener::handleAccept, this);
    return m_listener ? std::optional(boundAddress(evconnlistener_get_fd(m_listener)))
                      : std::nullopt;
}

void CallerListener::respond(RequestNumber request, int status, const HttpHeaders &headers,
                             std::string_view body)
{
    Connection *connection = findConnection(request);
    if (!connection) {
        return;
    }
    writeHead(*connection, status, headers, body.size());
    if (!connection->isHeadRequest) {
        bufferevent_write(connection->bev, body.data(), body.size());
    }
    finishAnswer(*connection);
}

void CallerListener::startStream(RequestNumber request, int status, const HttpHeaders &headers)
{
    if (Connection *connection = findConnection(request)) {
        connection->isStreaming = true;
        if (connection->isHttp10) {
            // Only the end of the connection marks the end of the stream: the end of this process
            // must not look like it.
            resetOnClose(bufferevent_getfd(connection->bev));
        }
        writeHead(*connection, status, headers, std::nullopt);
    }
}

void CallerListener::sendChunk(RequestNumber request, std::string_view data)
{
    Connection *connection = findConnection(request);
    if (!connection || data.empty() || connection->isHeadRequest) {
        return;
    }
    evbuffer *output = bufferevent_get_output(connection->bev);
    if (connection->isHttp10) {
        evbuffer_add(output, data.data(), data.size());
    } else {
        evbuffer_add_printf(output, "%zx\r\n", data.size());
        evbuffer_add(output, data.data(), data.size());
        evbuffer_add(output, "\r\n", 2);
    }
    if (evbuffer_get_length(output) > MaxUnsentBytes) {
        const ConnectionNumber number = connection->number;
        close(number);
        m_goneHandler(request);
    }
}

void CallerListener::endStream(RequestNumber request)
{
    Connection *connection = findConnection(request);
    if (!connection) {
        return;
    }
    if (!connection->isHeadRequest && !connection->isHttp10) {
        bufferevent_write(connection->bev, "0\r\n\r\n", 5);
    }
    finishAnswer(*connection);
}

void CallerListener::abortAnswer(RequestNumber request)
{
    Connection *connection = findConnection(request);
    if (!connection) {
        return;
    }
    if (connection->isHttp10 && connection->isStreaming) {
        close(connection->number); // With a reset, see startStream().
        return;
    }
    m_requests.erase(request);
    connection->request = {};
    // Buffered data is still sent; the missing last chunk marks the answer as incomplete.
    closeWhenWritten(*connection);
}

std::size_t CallerListener::unwrittenAnswers() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_connections, [](const auto &one) {
        return evbuffer_get_length(bufferevent_get_output(one.second->bev)) > 0;
    }));
}

void CallerListener::handleAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/,
                                  int /*length*/, void *self)
{
    static_cast<CallerListener *>(self)->accept(socket);
}

void CallerListener::accept(int socket)
{
    setNoDelay(socket);
    setUserTimeout(socket, TcpUserTimeout);
    const ConnectionNumber number(++m_lastConnection);
    MessageParser::Handler handler;
    handler.head = [this, number](const MessageHead &head) {
        handleHead(*m_connections.at(number), head);
    };
    handler.body = [this, number](std::string_view data) {
        Connection &connection = *m_connections.at(number);
        if (connection.incomingRequest.body.size() + data.size() <= connection.limits.bodyBytes) {
            connection.incomingRequest.body.append(data);
        } else {
            connection.isRejected = true;
            connection.rejectionStatus = PayloadTooLarge;
        }
    };
    auto connection = std::make_unique<Connection>(std::move(handler));
    connection->listener = this;
    connection->number = number;
    connection->limits = m_limits;
    connection->bev = bufferevent_socket_new(m_base, socket, BEV_OPT_CLOSE_ON_FREE);
    connection->timer = event_new(m_base, -1, 0, &CallerListener::handleTimer, connection.get());
    bufferevent_setcb(connection->bev, &CallerListener::handleRead, &CallerListener::handleWritten,
                      &CallerListener::handleEvent, connection.get());
    bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
    armIdleTimer(*connection);
    m_connections.emplace(number, std::move(connection));
}

void CallerListener::handleRead(bufferevent * /*bev*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    connection.listener->readInput(connection);
}

void CallerListener::readInput(Connection &connection)
{
    evbuffer *input = bufferevent_get_input(connection.bev);
    if (connection.state == Connection::State::Lingering
        || connection.state == Connection::State::Closing) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    while (connection.state == Connection::State::Reading && evbuffer_get_length(input) > 0) {
        if (!connection.parser.hasStarted()) {
            connection.limits = m_limits;
            connection.incomingRequest = {};
            const timeval limit = timevalOf(connection.limits.headerTimeout);
            event_add(connection.timer, &limit);
        }
        const std::size_t size = evbuffer_get_length(input);
        const auto *bytes =
            reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::size_t consumed = connection.parser.feed({bytes, size});
        evbuffer_drain(input, consumed);
        if (!isWithinLimits(connection)) {
            return;
        }
        if (connection.parser.isComplete()) {
            handleCompleteRequest(connection);
            return;
        }
    }
}

bool CallerListener::isWithinLimits(Connection &connection)
{
    const MessageParser &parser = connection.parser;
    if (parser.headBytes() > connection.limits.headerBytes && !parser.isHeadComplete()) {
        reject(connection, HeadersTooLarge, "headers too large");
        return false;
    }
    if (parser.hasFailed()) {
        reject(connection, BadRequest, "not a proper request");
        return false;
    }
    if (connection.isRejected) {
        reject(connection, connection.rejectionStatus, "not acceptable");
        return false;
    }
    return true;
}

void CallerListener::handleHead(Connection &connection, const MessageHead &head)
{
    connection.incomingRequest.head = head;
    connection.isKeepAlive = head.isKeepAlive;
    connection.isHttp10 = head.isHttp10;
    connection.isHeadRequest = head.method == "HEAD";
    std::size_t bytes = 0;
    for (const auto &[name, value] : head.headers) {
        bytes += name.size() + value.size() + 4;
    }
    if (bytes + head.target.size() > connection.limits.headerBytes) {
        connection.isRejected = true;
        connection.rejectionStatus = HeadersTooLarge;
        return;
    }
    if (head.method == "CONNECT") {
        connection.isRejected = true;
        connection.rejectionStatus = BadRequest;
        return;
    }
    const std::string_view length = head.header("Content-Length");
    if (!length.empty()
        && std::strtoull(std::string(length).c_str(), nullptr, 10) > connection.limits.bodyBytes) {
        connection.isRejected = true;
        connection.rejectionStatus = PayloadTooLarge;
        return;
    }
    if (head.hasHeader("Expect")) {
        if (!isSameHeaderName(head.header("Expect"), "100-continue")) {
            connection.isRejected = true;
            connection.rejectionStatus = ExpectationFailed;
            return;
        }
        constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(connection.bev, Continue.data(), Continue.size());
    }
    // The idle timeout also limits the time for the body.
    const timeval limit = timevalOf(connection.limits.idleTimeout);
    event_add(connection.timer, &limit);
}

void CallerListener::handleCompleteRequest(Connection &connection)
{
    event_del(connection.timer);
    connection.state = Connection::State::Answering;
    connection.isStreaming = false;
    connection.request = RequestNumber(++m_lastRequest);
    m_requests.emplace(connection.request, connection.number);
    m_requestHandler(connection.request, std::move(connection.incomingRequest));
}

void CallerListener::reject(Connection &connection, int status, const char *reason)
{
    connection.isKeepAlive = false;
    connection.isHeadRequest = false;
    const std::string body = std::string("{\"error\":\"") + reason + "\"}";
    writeHead(connection, status, {{"Content-Type", "application/json"}}, body.size());
    bufferevent_write(connection.bev, body.data(), body.size());
    startLingering(connection);
}

void CallerListener::finishAnswer(Connection &connection)
{
    m_requests.erase(connection.request);
    connection.request = {};
    if (!connection.isKeepAlive || m_isLeaving) {
        closeWhenWritten(connection);
        return;
    }
    connection.state = Connection::State::Reading;
    connection.parser.reset();
    armIdleTimer(connection);
    // A pipelined request is read from the event loop to avoid recursion.
    if (evbuffer_get_length(bufferevent_get_input(connection.bev)) > 0) {
        bufferevent_trigger(connection.bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
}

void CallerListener::closeWhenWritten(Connection &connection)
{
    connection.state = Connection::State::Closing;
    if (evbuffer_get_length(bufferevent_get_output(connection.bev)) == 0) {
        startLingering(connection);
    }
}

void CallerListener::startLingering(Connection &connection)
{
    connection.state = Connection::State::Lingering;
    if (evbuffer_get_length(bufferevent_get_output(connection.bev)) == 0) {
        shutdown(bufferevent_getfd(connection.bev), SHUT_WR);
        endRegularlyOnClose(bufferevent_getfd(connection.bev));
    }
    const timeval limit = timevalOf(LingerTime);
    event_add(connection.timer, &limit);
}

void CallerListener::armIdleTimer(Connection &connection)
{
    const timeval limit = timevalOf(m_limits.idleTimeout + IdleTimeoutMargin);
    event_add(connection.timer, &limit);
}

void CallerListener::handleWritten(bufferevent * /*bev*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    if (connection.state == Connection::State::Closing
        || connection.state == Connection::State::Lingering) {
        connection.listener->startLingering(connection);
    }
}

void CallerListener::handleEvent(bufferevent * /*bev*/, short events, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    CallerListener &listener = *connection.listener;
    const RequestNumber request = connection.request;
    listener.close(connection.number);
    if (!request.isNone()) {
        listener.m_goneHandler(request);
    }
}

void CallerListener::handleTimer(int /*socket*/, short /*events*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    CallerListener &listener = *connection.listener;
    if (connection.state == Connection::State::Reading && connection.parser.hasStarted()) {
        listener.reject(connection, RequestTimeout, "request took too long to arrive");
        return;
    }
    listener.close(connection.number);
}

void CallerListener::close(ConnectionNumber number)
{
    const auto it = m_connections.find(number);
    if (it == m_connections.end()) {
        return;
    }
    m_requests.erase(it->second->request);
    m_connections.erase(it);
}

CallerListener::Connection *CallerListener::findConnection(RequestNumber request)
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? nullptr : m_connections.at(it->second).get();
}

void CallerListener::writeHead(Connection &connection, int status, const HttpHeaders &headers,
                               std::optional<std::size_t> length)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    const bool endsWithConnection = !length && connection.isHttp10;
    if (length) {
        text += "Content-Length: " + std::to_string(*length) + "\r\n";
    } else if (!endsWithConnection) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    if (!connection.isKeepAlive || m_isLeaving || endsWithConnection) {
        text += "Connection: close\r\n";
        connection.isKeepAlive = false;
    }
    text += "\r\n";
    bufferevent_write(connection.bev, text.data(), text.size());
}

} // namespace indigoway
