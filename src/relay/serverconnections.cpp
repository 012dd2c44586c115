#include "serverconnections.h"

#include "http/sockets.h"
#include "http/timers.h"
#include "overload/processlimits.h"
#include "relay/tunnelprotocol.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>

namespace indigoway {

namespace {

/** Time without acknowledgement after which a connection to a server is closed. */
constexpr auto TcpUserTimeout = std::chrono::milliseconds(2500);

/** Interim answers and late answers to earlier requests that may come before an answer. */
constexpr std::uint32_t MaxDiscardedMessages = 16;
constexpr std::size_t MaxDiscardedBytes = std::size_t {1024} * 1024;

TransferEnd transferEndOf(PathSearchEnd end)
{
    switch (end) {
    case PathSearchEnd::Refused:
        return TransferEnd::Refused;
    case PathSearchEnd::Unreachable:
        return TransferEnd::NotConnected;
    case PathSearchEnd::NoPath:
        break;
    }
    return TransferEnd::NoPath;
}

} // namespace

ServerConnections::ServerConnections(event_base *base, ServerCallObserver &observer,
                                     std::uint64_t seed, const PathTimeLimits &limits)
    : m_base(base)
    , m_observer(observer)
    , m_limits(limits)
    , m_random(seed)
    , m_closeEvent(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *self) {
              static_cast<ServerConnections *>(self)->closeScheduled();
          },
          this))
{ }

ServerConnections::~ServerConnections() = default;

void ServerConnections::start(ServerRequest request)
{
    const bool requiresNew =
        request.needsNewConnection || request.isConnectOnly || request.isDirectOnly;
    if (m_paths.servers.takeTest(request.server, steadyNow())) {
        testPath(request.server, request.address);
    }
    if (Connection *idle = requiresNew ? nullptr : takeIdleConnection(request)) {
        const std::string head = headTextOf(request);
        assign(*idle, request);
        if (!idle->relay.isEmpty()) {
            m_observer.callRelayed(request.call, idle->relay);
        }
        idle->send(head, request.body);
        idle->armIdleTimer();
        return;
    }
    std::string head = headTextOf(request);
    request.headers.clear();
    PathSearch search(request.server, request.isDirectOnly, steadyNow());
    search.begin(m_paths, steadyNow(), m_random());
    connect(std::make_unique<PendingCall>(
        PendingCall {std::move(request), std::move(head), std::move(search)}));
}

void ServerConnections::assign(Connection &connection, const ServerRequest &request)
{
    connection.assign(request);
    m_calls[request.call] = connection.number;
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

void ServerConnections::pause(CallNumber call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return;
    }
    Connection &connection = *m_connections.at(it->second);
    connection.setPaused(true);
    if (bufferevent_getfd(connection.bev) >= 0) {
        setReceiveBuffer(bufferevent_getfd(connection.bev), ReceiveBufferBytes);
    }
}

void ServerConnections::resume(CallNumber call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return;
    }
    m_connections.at(it->second)->setPaused(false);
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

ServerConnections::Connection &ServerConnections::addConnection(const ServerName &server)
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
    auto created = std::make_unique<Connection>(m_base, *this, number, server, std::move(handler));
    Connection &connection = *created;
    m_connections.emplace(number, std::move(created));
    return connection;
}

void ServerConnections::connect(std::unique_ptr<PendingCall> pending)
{
    const ServerRequest &request = pending->request;
    const ServerRoute &route = pending->search.route();
    Connection &connection = addConnection(request.server);
    assign(connection, request);
    connection.parser.reset(request.method == "HEAD");
    connection.relay = route.relay.name;
    const bool mayAskOthers = !request.isDirectOnly && !m_paths.relays.isEmpty();
    Duration limit = mayAskOthers ? m_limits.connectBeforeRelay : m_limits.connect;
    if (request.connectTimeout.count() > 0) {
        limit = std::min(limit, request.connectTimeout);
    }
    const std::string address = route.isDirect() ? request.address : route.relay.address;
    const bool isDirect = route.isDirect();
    connection.pending = std::move(pending);
    openSocket(connection, address, isDirect ? limit : m_limits.relay);
    if (!isDirect && bufferevent_getfd(connection.bev) >= 0) {
        detectDeadPeer(bufferevent_getfd(connection.bev));
    }
}

void ServerConnections::openSocket(Connection &connection, const std::string &address,
                                   Duration limit)
{
    const timeval limitTimeval = timevalOf(limit);
    event_add(connection.timer, &limitTimeval);
    const auto to = socketAddress(address);
    if (!to
        || bufferevent_socket_connect(connection.bev, reinterpret_cast<const sockaddr *>(&*to),
                                      sizeof *to)
            != 0) {
        event_active(connection.timer, EV_TIMEOUT, 1);
        return;
    }
    setNoDelay(bufferevent_getfd(connection.bev));
    setUserTimeout(bufferevent_getfd(connection.bev), TcpUserTimeout);
}

void ServerConnections::testPath(const ServerName &server, const std::string &address)
{
    Connection &connection = addConnection(server);
    connection.isPathTest = true;
    openSocket(connection, address, m_limits.connect);
}

void ServerConnections::socketConnected(Connection &connection)
{
    if (connection.isPathTest) {
        m_paths.servers.recordConnected(connection.server, steadyNow());
        scheduleClose(connection);
        return;
    }
    if (connection.relay.isEmpty()) {
        established(connection);
        return;
    }
    const auto request = encodeTunnelRequest(connection.server);
    if (!request) {
        connectFailed(connection, ConnectFailure::NotRelayed, "name of the server");
        return;
    }
    connection.isTunnelRequested = true;
    bufferevent_write(connection.bev, request->data(), request->size());
}

void ServerConnections::readTunnelAnswer(Connection &connection)
{
    evbuffer *input = bufferevent_get_input(connection.bev);
    std::string head(std::min(evbuffer_get_length(input), MaxTunnelHeadBytes), '\0');
    evbuffer_copyout(input, head.data(), head.size());
    const auto length = tunnelHeadLength(head);
    if (!length && head.size() == MaxTunnelHeadBytes) {
        connectFailed(connection, ConnectFailure::NotRelayed, "answer of another node too long");
        return;
    }
    if (!length) {
        return;
    }
    evbuffer_drain(input, *length);
    head.resize(*length);
    switch (parseTunnelAnswer(head)) {
    case TunnelAnswer::Open:
        if (isFramedAnswer(head)) {
            connection.useFrames();
        }
        established(connection);
        return;
    case TunnelAnswer::Refused:
        connectFailed(connection, ConnectFailure::Refused, "refused to another node as well");
        return;
    case TunnelAnswer::NoAnswer:
        connectFailed(connection, ConnectFailure::NoAnswer, "no answer to another node either");
        return;
    case TunnelAnswer::Unavailable:
        connectFailed(connection, ConnectFailure::NotRelayed, "other nodes do not reach it");
        return;
    }
}

void ServerConnections::established(Connection &connection)
{
    const auto pending = std::move(connection.pending);
    connection.isConnected = true;
    event_del(connection.timer);
    const bool wasIsolated = m_paths.servers.isIsolated();
    pending->search.connected(m_paths, steadyNow());
    if (!connection.relay.isEmpty()) {
        ++m_relayedCalls;
        closeIdleDirect(m_paths.servers.isIsolated() && !wasIsolated ? ServerName()
                                                                     : connection.server);
        m_observer.callRelayed(connection.call, connection.relay);
    }
    if (connection.isConnectOnly) {
        finish(connection, TransferEnd::Complete, {}, false);
        return;
    }
    connection.send(pending->head, pending->request.body);
    connection.armIdleTimer();
}

void ServerConnections::connectFailed(Connection &connection, ConnectFailure failure,
                                      const std::string &reason)
{
    if (connection.isPathTest) {
        m_paths.servers.recordNotConnected(connection.server, reason, steadyNow());
        scheduleClose(connection);
        return;
    }
    auto pending = std::move(connection.pending);
    const CallNumber call = connection.call;
    connection.call = {};
    scheduleClose(connection);
    const auto next = pending->search.failed(m_paths, failure, reason, steadyNow(), m_random());
    if (std::holds_alternative<ServerRoute>(next)) {
        connect(std::move(pending));
        return;
    }
    m_calls.erase(call);
    const TransferEnd end = transferEndOf(std::get<PathSearchEnd>(next));
    if (end == TransferEnd::Refused && checkOpenConnections(pending->request.server)) {
        m_observer.callEnded(call, TransferEnd::NotConnected, reason + ", others are open");
        return;
    }
    m_observer.callEnded(call, end, reason);
}

bool ServerConnections::checkOpenConnections(const ServerName &server)
{
    bool isAnyOpen = false;
    for (const auto &[number, connection] : m_connections) {
        // A paused connection is not read and may have ended.
        const bool isOpen = connection->server == server && connection->isConnected
            && !connection->isClosing && !connection->isPaused && !connection->isEnding();
        if (isOpen) {
            isAnyOpen = true;
            detectDeadPeer(bufferevent_getfd(connection->bev));
        }
    }
    return isAnyOpen;
}

void ServerConnections::closeIdleDirect(const ServerName &server)
{
    std::vector<ConnectionNumber> direct;
    for (const auto &[name, connections] : m_idle) {
        if (!server.isEmpty() && name != server) {
            continue;
        }
        std::ranges::copy_if(connections, std::back_inserter(direct), [this](auto number) {
            return m_connections.at(number)->relay.isEmpty();
        });
    }
    for (const ConnectionNumber number : direct) {
        scheduleClose(*m_connections.at(number));
    }
}

void ServerConnections::handleRead(bufferevent * /*bev*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    connection.owner.readInput(connection);
}

void ServerConnections::readInput(Connection &connection)
{
    if (connection.isClosing) {
        evbuffer *input = bufferevent_get_input(connection.bev);
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (connection.isTunnelRequested && !connection.isConnected) {
        readTunnelAnswer(connection);
        if (!connection.isConnected || connection.isClosing) {
            return;
        }
    }
    connection.readFrames();
    if (connection.call.isNone()) {
        if (connection.isEnding() || evbuffer_get_length(connection.input()) > 0) {
            scheduleClose(connection); // Data without a pending call.
        }
        return;
    }
    parseAnswer(connection);
    if (connection.serverEnd && !connection.call.isNone() && !connection.isClosing) {
        serverEnded(connection,
                    connection.serverEnd == TunnelFrame::ServerClosed
                        && !connection.hasUnsentBytes());
    }
}

void ServerConnections::parseAnswer(Connection &connection)
{
    evbuffer *input = connection.input();
    if (const std::size_t size = evbuffer_get_length(input); size > 0) {
        connection.noteAnswerBytes();
        connection.reading.received(m_unreadTimes, size, BootClock::now());
    }
    while (!connection.call.isNone() && !connection.isClosing && evbuffer_get_length(input) > 0) {
        const std::size_t size = evbuffer_get_length(input);
        const auto *bytes =
            reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        const std::size_t consumed = connection.parser.feed({bytes, size});
        evbuffer_drain(input, consumed);
        if (connection.isClosing) {
            return;
        }
        connection.discardedBytes += connection.isDiscarded ? consumed : 0;
        const bool isEndless = connection.discardedMessages > MaxDiscardedMessages
            || connection.discardedBytes > MaxDiscardedBytes;
        if (connection.parser.hasFailed() || isEndless) {
            finish(connection, TransferEnd::Broken,
                   isEndless ? "too many other answers" : "not an answer", false);
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
        ++connection.discardedMessages;
        connection.parser.reset(connection.isHeadRequest);
        if (!isKeepAlive) {
            finish(connection, TransferEnd::Broken, "closed after another request's answer", false);
        }
        return;
    }
    const bool hasExtraData = evbuffer_get_length(connection.input()) > 0;
    const MessageHead &head = connection.parser.head();
    finish(connection, TransferEnd::Complete, {},
           head.isKeepAlive && !head.isDelimitedByClose && !hasExtraData && !connection.isEnding());
}

void ServerConnections::finish(Connection &connection, TransferEnd end, const std::string &reason,
                               bool isReusable)
{
    const CallNumber call = connection.call;
    connection.call = {};
    connection.setPaused(false); // The rest of the answer may have arrived before the pause.
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
    connection.markIdle();
    const timeval limit = timevalOf(idleTime);
    event_add(connection.timer, &limit);
}

void ServerConnections::handleEvent(bufferevent * /*bev*/, short events, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    ServerConnections &owner = connection.owner;
    if (connection.isClosing) {
        return;
    }
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        owner.socketConnected(connection);
        return;
    }
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    // An error that a write has taken does not show at the next read, which looks like an orderly
    // end; both may be reported at once.
    connection.hasFailed = connection.hasFailed || (events & BEV_EVENT_ERROR) != 0;
    if (!connection.isConnected) {
        owner.connectFailed(connection,
                            connection.relay.isEmpty() ? ConnectFailure::Refused
                                                       : ConnectFailure::NotRelayed,
                            "connection refused");
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
    if (connection.relay.isEmpty()) {
        // Without the rest of the request it is not known whether more of the answer was to come.
        owner.serverEnded(connection, !connection.hasFailed && !connection.hasUnsentBytes());
        return;
    }
    // The kernel of the relay closes the connection of a process that ends, as a server does.
    owner.finish(connection, TransferEnd::PathLost,
                 "connection through " + connection.relay.text() + " ended", false);
}

void ServerConnections::serverEnded(Connection &connection, bool isRegular)
{
    if (isRegular && connection.parser.isHeadComplete() && !connection.isDiscarded) {
        connection.parser.feedEof();
        if (connection.parser.isComplete() && connection.parser.head().isDelimitedByClose
            && connection.reading.mayBeCutOff(m_unreadTimes, BootClock::now())) {
            finish(connection, TransferEnd::PathLost, "closed after it had not been read", false);
            return;
        }
        if (connection.parser.isComplete()) {
            finish(connection, TransferEnd::Complete, {}, false);
            return;
        }
    }
    finish(connection, TransferEnd::ConnectionLost, isRegular ? "closed early" : "connection reset",
           false);
}

void ServerConnections::handleTimer(int /*socket*/, short /*events*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    ServerConnections &owner = connection.owner;
    if (connection.call.isNone() && !connection.isPathTest) {
        owner.scheduleClose(connection);
        return;
    }
    if (!connection.isConnected) {
        owner.connectFailed(connection,
                            connection.relay.isEmpty() ? ConnectFailure::NoAnswer
                                                       : ConnectFailure::NotRelayed,
                            "no connection in time");
        return;
    }
    connection.silentFor += connection.armedFor;
    if (connection.idleTimeout.count() > 0 && connection.silentFor >= connection.idleTimeout) {
        owner.finish(connection, TransferEnd::Broken, "silent for too long", false);
        return;
    }
    connection.armSilenceTimer();
    owner.m_observer.callSilent(connection.call);
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
