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
 * A connection is made within some milliseconds. A server that is down or behind a partition does
 * not answer at all, and a full listen queue drops the first packet; both are found so late only.
 */
constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);
constexpr auto LongestUnacknowledged = std::chrono::milliseconds(2500);
/** Kept for a server that does not tell how long it keeps an idle connection. */
constexpr Duration KeptUntold = std::chrono::milliseconds(400);
/** A server closes at the time it tells; this much earlier the connection is not used again. */
constexpr Duration KeptMargin = std::chrono::milliseconds(600);
constexpr Duration LongestKept = std::chrono::seconds(8);

timeval timevalOf(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {seconds.count(), (duration - seconds).count()};
}

/** How long @p head's server keeps the connection, with a margin. */
Duration keptFor(const MessageHead &head)
{
    const std::string_view told = head.header("Keep-Alive");
    const std::size_t at = told.find("timeout=");
    if (at == std::string_view::npos) {
        return KeptUntold;
    }
    constexpr std::size_t NameLength = 8;
    const long seconds =
        std::strtol(std::string(told.substr(at + NameLength)).c_str(), nullptr, 10);
    const Duration time = std::chrono::seconds(std::clamp(seconds, 0L, 3600L));
    return std::clamp(time - KeptMargin, Duration(0), LongestKept);
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
    CallNumber call; ///< None while it is kept idle.
    Duration idleTimeout {};
    std::uint32_t mostKept = 1; ///< Idle ones to its server, this one included.
    /**
     * The request, until the connection is known to be made. Written before that, it would go out
     * as soon as the connection is made, and a loop that finds the end of the time for connecting
     * in the same round would tell that nothing was sent: the request would be sent once more.
     */
    std::string unsent;
    bool isConnected = false;
    bool isClosing = false;
    bool isForeign = false; ///< The message being read answers another request.
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
    , m_closer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *self) {
              static_cast<ServerConnections *>(self)->closeNow();
          },
          this))
{ }

ServerConnections::~ServerConnections() = default;

void ServerConnections::start(const ServerRequest &request)
{
    const bool isNew = request.needsNewConnection || request.isConnectOnly;
    Connection *kept = isNew ? nullptr : keptConnection(request);
    Connection &connection = kept ? *kept : connect(request);
    connection.call = request.call;
    connection.idleTimeout = request.idleTimeout;
    connection.mostKept = request.maxIdleConnections;
    connection.isConnectOnly = request.isConnectOnly;
    m_calls[request.call] = connection.number;
    send(connection, request);
    if (connection.isConnected) {
        armSilence(connection);
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
    closeSoon(connection);
}

std::size_t ServerConnections::kept() const
{
    std::size_t count = 0;
    for (const auto &[server, connections] : m_kept) {
        count += connections.size();
    }
    return count;
}

ServerConnections::Connection *ServerConnections::keptConnection(const ServerRequest &request)
{
    const auto it = m_kept.find(request.server);
    if (it == m_kept.end() || it->second.empty()) {
        return nullptr;
    }
    // The one used last is the least likely to be closed by the server at this moment.
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
        Connection &one = *m_connections.at(number);
        constexpr int FirstFinal = 200;
        one.isForeign = head.status < FirstFinal || !m_observer.isAnswerTo(one.call, head);
        if (!one.isForeign) {
            m_observer.answerBegan(one.call, head);
        }
    };
    handler.body = [this, number](std::string_view data) {
        Connection &one = *m_connections.at(number);
        if (!one.isForeign && !one.call.isNone()) {
            m_observer.answerData(one.call, data);
        }
    };
    auto made = std::make_unique<Connection>(std::move(handler));
    Connection &connection = *made;
    connection.owner = this;
    connection.number = number;
    connection.server = request.server;
    connection.address = request.address;
    connection.bev =
        bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    connection.timer = event_new(m_base, -1, 0, &ServerConnections::handleTimer, &connection);
    connection.parser.reset(request.method == "HEAD");
    m_connections.emplace(number, std::move(made));
    bufferevent_setcb(connection.bev, &ServerConnections::handleRead, nullptr,
                      &ServerConnections::handleEvent, &connection);
    bufferevent_enable(connection.bev, EV_READ | EV_WRITE);
    const timeval limit = timevalOf(ConnectTimeout);
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
    setUserTimeout(bufferevent_getfd(connection.bev), LongestUnacknowledged);
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
        connection.unsent = std::move(text);
    }
}

void ServerConnections::handleRead(bufferevent * /*bev*/, void *connection)
{
    auto &one = *static_cast<Connection *>(connection);
    one.owner->readMore(one);
}

void ServerConnections::readMore(Connection &connection)
{
    evbuffer *input = bufferevent_get_input(connection.bev);
    if (connection.isClosing) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (connection.call.isNone()) {
        // Bytes that nobody asked for: an extra answer, or none at all.
        closeSoon(connection);
        return;
    }
    armSilence(connection);
    while (!connection.call.isNone() && !connection.isClosing && evbuffer_get_length(input) > 0) {
        const std::size_t size = evbuffer_get_length(input);
        const auto *bytes =
            reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::size_t used = connection.parser.feed({bytes, size});
        evbuffer_drain(input, used);
        if (connection.isClosing) {
            return;
        }
        if (connection.parser.hasFailed()) {
            finish(connection, TransferEnd::Broken, "not an answer", false);
            return;
        }
        if (connection.parser.isComplete()) {
            messageComplete(connection);
        }
    }
}

void ServerConnections::messageComplete(Connection &connection)
{
    if (connection.isForeign) {
        const bool keeps = connection.parser.head().keepsConnection;
        connection.isForeign = false;
        connection.parser.reset(connection.isHeadRequest);
        if (!keeps) {
            finish(connection, TransferEnd::Broken, "closed after another request's answer", false);
        }
        return;
    }
    const bool hasMore = evbuffer_get_length(bufferevent_get_input(connection.bev)) > 0;
    const MessageHead &head = connection.parser.head();
    finish(connection, TransferEnd::Complete, {},
           head.keepsConnection && !head.endsWithConnection && !hasMore);
}

void ServerConnections::finish(Connection &connection, TransferEnd end, const std::string &why,
                               bool mayKeep)
{
    const CallNumber call = connection.call;
    connection.call = {};
    m_calls.erase(call);
    if (mayKeep) {
        keep(connection);
    } else {
        closeSoon(connection);
    }
    if (!call.isNone()) {
        m_observer.callEnded(call, end, why);
    }
}

void ServerConnections::keep(Connection &connection)
{
    const Duration time = keptFor(connection.parser.head());
    auto &kept = m_kept[connection.server];
    if (time.count() <= 0 || kept.size() >= connection.mostKept) {
        closeSoon(connection);
        return;
    }
    kept.push_back(connection.number);
    const timeval limit = timevalOf(time);
    event_add(connection.timer, &limit);
}

void ServerConnections::handleEvent(bufferevent * /*bev*/, short what, void *connection)
{
    auto &one = *static_cast<Connection *>(connection);
    ServerConnections &owner = *one.owner;
    if (one.isClosing) {
        return;
    }
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        one.isConnected = true;
        event_del(one.timer);
        if (one.isConnectOnly) {
            owner.finish(one, TransferEnd::Complete, {}, false);
            return;
        }
        bufferevent_write(one.bev, one.unsent.data(), one.unsent.size());
        one.unsent.clear();
        owner.armSilence(one);
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (!one.isConnected) {
        owner.finish(one, TransferEnd::NotConnected, "connection refused", false);
        return;
    }
    if (one.call.isNone()) {
        owner.closeSoon(one);
        return;
    }
    owner.readMore(one);
    if (one.isClosing || one.call.isNone()) {
        return;
    }
    const bool isOrderly = (what & BEV_EVENT_EOF) != 0;
    if (isOrderly && one.parser.isHeadComplete() && !one.isForeign) {
        one.parser.feedEnd();
        if (one.parser.isComplete()) {
            owner.finish(one, TransferEnd::Complete, {}, false);
            return;
        }
    }
    owner.finish(one, TransferEnd::Lost, isOrderly ? "closed early" : "connection reset", false);
}

void ServerConnections::handleTimer(int /*socket*/, short /*what*/, void *connection)
{
    auto &one = *static_cast<Connection *>(connection);
    ServerConnections &owner = *one.owner;
    if (one.call.isNone()) {
        owner.closeSoon(one);
        return;
    }
    if (!one.isConnected) {
        owner.finish(one, TransferEnd::NotConnected, "no connection in time", false);
        return;
    }
    owner.finish(one, TransferEnd::Broken, "silent for too long", false);
}

void ServerConnections::armSilence(Connection &connection)
{
    if (connection.idleTimeout.count() <= 0) {
        return;
    }
    const timeval limit = timevalOf(connection.idleTimeout);
    event_add(connection.timer, &limit);
}

void ServerConnections::closeSoon(Connection &connection)
{
    if (connection.isClosing) {
        return;
    }
    connection.isClosing = true;
    event_del(connection.timer);
    const auto kept = m_kept.find(connection.server);
    if (kept != m_kept.end()) {
        std::erase(kept->second, connection.number);
    }
    // The server learns at once that nobody waits; a mere end of sending could mean more to come.
    if (bufferevent_getfd(connection.bev) >= 0) {
        resetOnClose(bufferevent_getfd(connection.bev));
    }
    m_closing.push_back(connection.number);
    event_active(m_closer.get(), EV_TIMEOUT, 1);
}

void ServerConnections::closeNow()
{
    for (const ConnectionNumber number : m_closing) {
        m_connections.erase(number);
    }
    m_closing.clear();
}

} // namespace indigoway
