#include "serverconnections.h"

#include "relay/sockets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>

namespace indigoway {

namespace {

/**
 * Detects servers that don't respond to SYN packets: a stopped VM, a network partition, or a full
 * listen queue.
 */
constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);
/** Time without acknowledgement after which a connection to a server is closed. */
constexpr auto TcpUserTimeout = std::chrono::milliseconds(2500);
/** Idle time after which a connection is closed if the server sends no Keep-Alive timeout. */
constexpr Duration DefaultIdleTime = std::chrono::milliseconds(400);
/** Time before the server's Keep-Alive timeout at which a connection is no longer reused. */
constexpr Duration IdleTimeMargin = std::chrono::milliseconds(600);
constexpr Duration MaxIdleTime = std::chrono::seconds(8);

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

timeval timevalOf(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {seconds.count(), (duration - seconds).count()};
}

/** Returns how long the connection may be idle according to @p head, less a margin. */
Duration idleTimeFrom(const MessageHead &head)
{
    const std::string_view keepAlive = head.header("Keep-Alive");
    const std::size_t at = keepAlive.find("timeout=");
    if (at == std::string_view::npos) {
        return DefaultIdleTime;
    }
    constexpr std::size_t NameLength = 8;
    const long seconds =
        std::strtol(std::string(keepAlive.substr(at + NameLength)).c_str(), nullptr, 10);
    const Duration idleTime = std::chrono::seconds(std::clamp(seconds, 0L, 3600L));
    return std::clamp(idleTime - IdleTimeMargin, Duration(0), MaxIdleTime);
}

} // namespace

struct ServerConnections::Connection
{
    ServerConnections *owner = nullptr;
    ConnectionNumber number;
    ServerName server;
    std::string address;
    bufferevent *bev = nullptr;
    event *timer = nullptr;
    MessageParser parser;
    CallNumber call; ///< None while the connection is idle.
    Duration idleTimeout {};
    Duration silenceLimit {};
    Duration silentFor {};                ///< Time without data when the timer was last armed.
    Duration armedFor {};                 ///< Interval for which the timer was last armed.
    std::uint32_t maxIdleConnections = 1; ///< Maximum for the server, including this one.
    /**
     * Request to send once the connection is established. If it were written to the bufferevent
     * before, it could be sent although the connect timeout in the same iteration of the event loop
     * reports NotConnected, and the request would be executed twice.
     */
    std::string unsentRequest;
    bool isConnected = false;
    bool isClosing = false;
    /** The message being read is informational or answers an earlier request; it is discarded. */
    bool isDiscarded = false;
    bool isHeadRequest = false;
    bool isConnectOnly = false;

    explicit Connection(MessageParser::Handler handler)
        : parser(MessageParser::Kind::Response, std::move(handler))
    { }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection()
    {
        event_free(timer);
        bufferevent_free(bev);
    }
};

ServerConnections::ServerConnections(event_base *base, ServerCallObserver &observer)
    : m_base(base)
    , m_observer(observer)
    , m_closeEvent(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *self) {
              static_cast<ServerConnections *>(self)->closeScheduled();
          },
          this))
{ }

ServerConnections::~ServerConnections() = default;

void ServerConnections::start(const ServerRequest &request)
{
    const bool requiresNew = request.needsNewConnection || request.isConnectOnly;
    Connection *idle = requiresNew ? nullptr : takeIdleConnection(request);
    Connection &connection = idle ? *idle : connect(request);
    connection.call = request.call;
    connection.idleTimeout = request.idleTimeout;
    connection.silenceLimit = request.silenceLimit;
    connection.maxIdleConnections = request.maxIdleConnections;
    connection.isConnectOnly = request.isConnectOnly;
    m_calls[request.call] = connection.number;
    send(connection, request);
    if (connection.isConnected) {
        armIdleTimer(connection);
    }
}

void ServerConnections::abandon(CallNumber call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return;
    }
    Connection &connection = *m_connections.at(it->second);
    m_calls.erase(it);
    connection.call = {};
    scheduleClose(connection);
}

std::size_t ServerConnections::idleConnections() const
{
    std::size_t count = 0;
    for (const auto &[server, connections] : m_idle) {
        count += connections.size();
    }
    return count;
}

ServerConnections::Connection *ServerConnections::takeIdleConnection(const ServerRequest &request)
{
    const auto it = m_idle.find(request.server);
    if (it == m_idle.end() || it->second.empty()) {
        return nullptr;
    }
    // The most recently used connection is the least likely to be closed by the server.
    Connection &connection = *m_connections.at(it->second.back());
    it->second.pop_back();
    event_del(connection.timer);
    connection.parser.reset(request.method == "HEAD");
    return &connection;
}

ServerConnections::Connection &ServerConnections::connect(const ServerRequest &request)
{
    const ConnectionNumber number(++m_lastConnection);
    ++m_connectionsMade;
    MessageParser::Handler handler;
    handler.head = [this, number](const MessageHead &head) {
        Connection &connection = *m_connections.at(number);
        constexpr int FirstFinalStatus = 200;
        connection.isDiscarded =
            head.status < FirstFinalStatus || !m_observer.isAnswerTo(connection.call, head);
        if (!connection.isDiscarded) {
            m_observer.answerStarted(connection.call, head);
        }
    };
    handler.body = [this, number](std::string_view data) {
        Connection &connection = *m_connections.at(number);
        if (!connection.isDiscarded && !connection.call.isNone()) {
            m_observer.answerDataReceived(connection.call, data);
        }
    };
    auto created = std::make_unique<Connection>(std::move(handler));
    Connection &connection = *created;
    connection.owner = this;
    connection.number = number;
    connection.server = request.server;
    connection.address = request.address;
    connection.bev =
        bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    connection.timer = event_new(m_base, -1, 0, &ServerConnections::handleTimer, &connection);
    connection.parser.reset(request.method == "HEAD");
    m_connections.emplace(number, std::move(created));
    bufferevent_setcb(connection.bev, &ServerConnections::handleRead, nullptr,
                      &ServerConnections::handleEvent, &connection);
    bufferevent_enable(connection.bev, EV_READ | EV_WRITE);
    const timeval limit =
        timevalOf(request.connectTimeout.count() > 0 ? request.connectTimeout : ConnectTimeout);
    event_add(connection.timer, &limit);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    const auto parts = splitAddress(request.address);
    if (!parts || inet_pton(AF_INET, parts->first.c_str(), &to.sin_addr) != 1) {
        event_active(connection.timer, EV_TIMEOUT, 1);
        return connection;
    }
    to.sin_port = htons(parts->second);
    if (bufferevent_socket_connect(connection.bev, reinterpret_cast<sockaddr *>(&to), sizeof to)
        != 0) {
        event_active(connection.timer, EV_TIMEOUT, 1);
        return connection;
    }
    setNoDelay(bufferevent_getfd(connection.bev));
    setUserTimeout(bufferevent_getfd(connection.bev), TcpUserTimeout);
    return connection;
}

void ServerConnections::send(Connection &connection, const ServerRequest &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    const bool hasBody =
        !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    if (hasBody) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n";
    text += request.body;
    if (connection.isConnected) {
        bufferevent_write(connection.bev, text.data(), text.size());
    } else {
        connection.unsentRequest = std::move(text);
    }
}

void ServerConnections::handleRead(bufferevent * /*bev*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    connection.owner->readInput(connection);
}

void ServerConnections::readInput(Connection &connection)
{
    evbuffer *input = bufferevent_get_input(connection.bev);
    if (connection.isClosing) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (connection.call.isNone()) {
        // Data without a pending call.
        scheduleClose(connection);
        return;
    }
    armIdleTimer(connection);
    while (!connection.call.isNone() && !connection.isClosing && evbuffer_get_length(input) > 0) {
        const std::size_t size = evbuffer_get_length(input);
        const auto *bytes =
            reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::size_t consumed = connection.parser.feed({bytes, size});
        evbuffer_drain(input, consumed);
        if (connection.isClosing) {
            return;
        }
        if (connection.parser.hasFailed()) {
            finish(connection, TransferEnd::Broken, "not an answer", false);
            return;
        }
        if (connection.parser.isComplete()) {
            handleMessageComplete(connection);
        }
    }
}

void ServerConnections::handleMessageComplete(Connection &connection)
{
    if (connection.isDiscarded) {
        const bool isKeepAlive = connection.parser.head().isKeepAlive;
        connection.isDiscarded = false;
        connection.parser.reset(connection.isHeadRequest);
        if (!isKeepAlive) {
            finish(connection, TransferEnd::Broken, "closed after another request's answer", false);
        }
        return;
    }
    const bool hasExtraData = evbuffer_get_length(bufferevent_get_input(connection.bev)) > 0;
    const MessageHead &head = connection.parser.head();
    finish(connection, TransferEnd::Complete, {},
           head.isKeepAlive && !head.isDelimitedByClose && !hasExtraData);
}

void ServerConnections::finish(Connection &connection, TransferEnd end, const std::string &reason,
                               bool isReusable)
{
    const CallNumber call = connection.call;
    connection.call = {};
    m_calls.erase(call);
    if (isReusable) {
        returnToPool(connection);
    } else {
        scheduleClose(connection);
    }
    if (!call.isNone()) {
        m_observer.callEnded(call, end, reason);
    }
}

void ServerConnections::returnToPool(Connection &connection)
{
    const Duration idleTime = idleTimeFrom(connection.parser.head());
    auto &idle = m_idle[connection.server];
    if (idleTime.count() <= 0 || idle.size() >= connection.maxIdleConnections) {
        scheduleClose(connection);
        return;
    }
    idle.push_back(connection.number);
    const timeval limit = timevalOf(idleTime);
    event_add(connection.timer, &limit);
}

void ServerConnections::handleEvent(bufferevent * /*bev*/, short events, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    ServerConnections &owner = *connection.owner;
    if (connection.isClosing) {
        return;
    }
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        connection.isConnected = true;
        event_del(connection.timer);
        owner.recordConnected(connection);
        if (connection.isConnectOnly) {
            owner.finish(connection, TransferEnd::Complete, {}, false);
            return;
        }
        bufferevent_write(connection.bev, connection.unsentRequest.data(),
                          connection.unsentRequest.size());
        connection.unsentRequest.clear();
        owner.armIdleTimer(connection);
        return;
    }
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (!connection.isConnected) {
        owner.finishNotConnected(connection, "connection refused");
        return;
    }
    if (connection.call.isNone()) {
        owner.scheduleClose(connection);
        return;
    }
    owner.readInput(connection);
    if (connection.isClosing || connection.call.isNone()) {
        return;
    }
    const bool isOrderly = (events & BEV_EVENT_EOF) != 0;
    if (isOrderly && connection.parser.isHeadComplete() && !connection.isDiscarded) {
        connection.parser.feedEof();
        if (connection.parser.isComplete()) {
            owner.finish(connection, TransferEnd::Complete, {}, false);
            return;
        }
    }
    owner.finish(connection, TransferEnd::ConnectionLost,
                 isOrderly ? "closed early" : "connection reset", false);
}

void ServerConnections::handleTimer(int /*socket*/, short /*events*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    ServerConnections &owner = *connection.owner;
    if (connection.call.isNone()) {
        owner.scheduleClose(connection);
        return;
    }
    if (!connection.isConnected) {
        owner.finishNotConnected(connection, "no connection in time");
        return;
    }
    connection.silentFor += connection.armedFor;
    if (connection.idleTimeout.count() > 0 && connection.silentFor >= connection.idleTimeout) {
        owner.finish(connection, TransferEnd::Broken, "silent for too long", false);
        return;
    }
    owner.armSilenceTimer(connection);
    owner.m_observer.callSilent(connection.call);
}

void ServerConnections::armIdleTimer(Connection &connection)
{
    connection.silentFor = {};
    armSilenceTimer(connection);
}

void ServerConnections::armSilenceTimer(Connection &connection)
{
    const bool hasSilenceLimit = connection.silenceLimit.count() > 0;
    const bool hasIdleTimeout = connection.idleTimeout.count() > 0;
    if (!hasSilenceLimit && !hasIdleTimeout) {
        return;
    }
    connection.armedFor = connection.idleTimeout - connection.silentFor;
    if (hasSilenceLimit) {
        connection.armedFor = hasIdleTimeout
            ? std::min(connection.armedFor, connection.silenceLimit)
            : connection.silenceLimit;
    }
    const timeval limit = timevalOf(connection.armedFor);
    event_add(connection.timer, &limit);
}

void ServerConnections::recordConnected(const Connection &connection)
{
    m_paths.recordConnected(connection.server, steadyNow());
    reportPathChanges();
}

void ServerConnections::finishNotConnected(Connection &connection, const std::string &reason)
{
    m_paths.recordNotConnected(connection.server, reason, steadyNow());
    reportPathChanges();
    finish(connection, TransferEnd::NotConnected, reason, false);
}

void ServerConnections::reportPathChanges()
{
    for (const PathChange &change : m_paths.takeChanges()) {
        if (m_pathHandler) {
            m_pathHandler(change);
        }
    }
}

void ServerConnections::scheduleClose(Connection &connection)
{
    if (connection.isClosing) {
        return;
    }
    connection.isClosing = true;
    event_del(connection.timer);
    const auto idle = m_idle.find(connection.server);
    if (idle != m_idle.end()) {
        std::erase(idle->second, connection.number);
    }
    // A reset makes the server abort the request at once; a FIN could be a half-close.
    if (bufferevent_getfd(connection.bev) >= 0) {
        resetOnClose(bufferevent_getfd(connection.bev));
    }
    m_scheduledForClose.push_back(connection.number);
    event_active(m_closeEvent.get(), EV_TIMEOUT, 1);
}

void ServerConnections::closeScheduled()
{
    for (const ConnectionNumber number : m_scheduledForClose) {
        m_connections.erase(number);
    }
    m_scheduledForClose.clear();
}

} // namespace indigoway
