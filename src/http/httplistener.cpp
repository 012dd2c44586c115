#include "httplistener.h"

#include "http/httpconnection.h"
#include "http/httpstatus.h"
#include "http/sockets.h"
#include "http/timers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace indigoway {

namespace {

using namespace status;

/** Time without acknowledgement after which a client's connection is closed. */
constexpr auto TcpUserTimeout = std::chrono::milliseconds(5000);
/** Time to discard input before a close, so that no reset destroys the answer in transit. */
constexpr Duration LingerTime = std::chrono::seconds(1);
/** Limit for a client that goes on sending. */
constexpr Duration MaxLingerTime = std::chrono::seconds(5);
/** Added to the idle timeout, so that connections aren't closed before clients expect it. */
constexpr Duration IdleTimeoutMargin = std::chrono::seconds(1);
/**
 * A body may take longer than the idle timeout while it arrives at this rate. Slower clients are
 * closed if others wait for the memory that they hold.
 */
constexpr double MinBytesPerSecond = 64 * 1024;
/** Time after which a client's rate tells something. */
constexpr Duration RateTime = std::chrono::milliseconds(500);
/** Unsent bytes of an answer beyond which no next request is read. */
constexpr std::size_t MaxUnsentAhead = std::size_t {16} * 1024;
/** Wait for room for a large body. Clients give up a request that is not read within a second. */
constexpr Duration MaxRoomWait = std::chrono::milliseconds(250);
/** Requests beyond would wait in vain: each takes some time in the room that they wait for. */
constexpr std::size_t MaxWaitingForRoom = 16;
/** Sent with a refusal for lack of capacity: requests that hold it end within about a second. */
constexpr const char *RetryAfterSeconds = "1";
/** Pause after a failed accept(), which would fail again at once. */
constexpr timeval DescriptorPause {0, 50'000};
/** Pause while no connection can be closed for a new one. */
constexpr timeval FullPause {0, 10'000};
/** Part of the limit by which it may be exceeded until new connections have been read. */
constexpr std::size_t MaxOvershootShare = 8;

std::string errorBody(const char *reason)
{
    return std::string("{\"error\":\"") + reason + "\"}";
}

} // namespace

HttpListener::HttpListener(event_base *base, OverloadGuard &guard, ListenerOptions options,
                           RequestHandler requestHandler, GoneHandler goneHandler)
    : m_base(base)
    , m_guard(guard)
    , m_options(options)
    , m_acceptTimer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *self) {
              evconnlistener_enable(static_cast<HttpListener *>(self)->m_listener);
          },
          this))
    , m_requestHandler(std::move(requestHandler))
    , m_goneHandler(std::move(goneHandler))
{
    m_guard.add(*this);
}

HttpListener::~HttpListener()
{
    m_guard.remove(*this);
    if (m_listener) {
        evconnlistener_free(m_listener);
    }
}

std::optional<std::string> HttpListener::listenOn(const std::string &address)
{
    m_listener = listenForConnections(m_base, address, &HttpListener::handleAccept, this);
    if (!m_listener) {
        return std::nullopt;
    }
    const int socket = evconnlistener_get_fd(m_listener);
    if (m_guard.budget().capacity() != ByteBudget::Unlimited) {
        setReceiveBuffer(socket, ReceiveBufferBytes);
        setSendBuffer(socket, SendBufferBytes);
    }
    evconnlistener_set_error_cb(m_listener, &HttpListener::handleAcceptError);
    return boundAddress(socket);
}

void HttpListener::respond(RequestNumber request, int status, const HttpHeaders &headers,
                           const MessageBody &body)
{
    Connection *connection = findConnection(request);
    if (!connection) {
        return;
    }
    body.stopCounting(); // It counts as unsent from now on.
    connection->writeHead(status, headers, body.size(), m_isLeaving);
    if (!connection->isHeadRequest) {
        connection->writeBody(body);
    }
    finishAnswer(*connection);
}

void HttpListener::startStream(RequestNumber request, int status, const HttpHeaders &headers)
{
    if (Connection *connection = findConnection(request)) {
        connection->isStreaming = true;
        if (connection->isHttp10) {
            // Only the end of the connection marks the end of the stream: the end of this process
            // must not look like it.
            resetOnClose(bufferevent_getfd(connection->bev));
        }
        connection->writeHead(status, headers, std::nullopt, m_isLeaving);
    }
}

void HttpListener::sendChunk(RequestNumber request, std::string_view data)
{
    Connection *connection = findConnection(request);
    if (!connection || data.empty() || connection->isHeadRequest) {
        return;
    }
    connection->writeChunk(data);
    connection->countBytes();
    if (connection->unsentBytes() > m_options.maxUnreadBytes) {
        m_guard.count(door(), ShedReason::UnreadAnswer, "of a stream");
        drop(*connection, false);
        return;
    }
    m_guard.relieveSoon();
}

void HttpListener::endStream(RequestNumber request)
{
    Connection *connection = findConnection(request);
    if (!connection) {
        return;
    }
    if (!connection->isHeadRequest && !connection->isHttp10) {
        connection->writeLastChunk();
    }
    finishAnswer(*connection);
}

void HttpListener::abortAnswer(RequestNumber request)
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
    connection->requestBytes = 0;
    connection->copyLease = {};
    // Buffered data is still sent; the missing last chunk marks the answer as incomplete.
    closeWhenWritten(*connection);
}

void HttpListener::countAnswer(RequestNumber request, std::size_t bytes)
{
    if (Connection *connection = findConnection(request)) {
        connection->answerBytes = bytes;
    }
}

std::size_t HttpListener::unsentBytes(RequestNumber request) const
{
    const Connection *connection = findConnection(request);
    return connection ? connection->unsentBytes() : 0;
}

std::size_t HttpListener::unwrittenAnswers() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_connections, [](const auto &one) { return one.second->unsentBytes() > 0; }));
}

void HttpListener::appendHolders(std::vector<Holder> &holders) const
{
    for (const auto &[number, connection] : m_connections) {
        holders.push_back(connection->holder(door()));
    }
}

void HttpListener::shed(std::uint64_t number, ShedReason reason)
{
    Connection *connection = findConnection(ConnectionNumber(number));
    if (!connection) {
        return;
    }
    m_guard.count(door(), reason, connection->description());
    const bool isReceiving = connection->state == Connection::State::Reading
        && connection->parser.hasStarted() && connection->unsentBytes() == 0;
    if (isReceiving) {
        rejectForNow(*connection, "no capacity for the request now");
    }
    if (!isReceiving || reason == ShedReason::Connections) {
        // What was just written is still sent where the kernel takes it.
        if (isReceiving) {
            evbuffer_write(bufferevent_get_output(connection->bev),
                           bufferevent_getfd(connection->bev));
        }
        drop(*connection, reason == ShedReason::Memory);
    }
}

void HttpListener::shedSlow(TimePoint now)
{
    std::vector<ConnectionNumber> slow;
    for (const auto &[number, connection] : m_connections) {
        if (connection->isWaiting) {
            continue;
        }
        const Holder holder = connection->holder(door());
        const bool isMoving =
            holder.stage == HolderStage::Body || holder.stage == HolderStage::Unread;
        if (isMoving && holder.heldBytes > ByteBudget::SmallBytes && now > holder.since + RateTime
            && bytesPerSecond(holder, now) < MinBytesPerSecond) {
            slow.push_back(number);
        }
    }
    for (const ConnectionNumber number : slow) {
        shed(number.value(), ShedReason::TooSlow);
    }
}

void HttpListener::reviewWaiting(TimePoint now)
{
    for (const auto &[number, connection] : m_connections) {
        // Who announces a large body and does not send it keeps no room from others.
        if (connection->incomingRequest.body.isExpecting() && now > connection->bodySince + RateTime
            && bytesPerSecond(connection->holder(door()), now) < MinBytesPerSecond) {
            connection->incomingRequest.body.forgetExpected();
        }
    }
    while (!m_waiting.empty()) {
        Connection *first = findConnection(m_waiting.front());
        if (first && first->isWaiting) {
            if (first->incomingRequest.body.expect(first->wantedBytes, RoomFor::Requests)) {
                m_waiting.pop_front();
                resumeReading(*first);
                continue;
            }
            if (now < first->waitsSince + MaxRoomWait) {
                return;
            }
            m_guard.count(door(), ShedReason::NoRoom, first->description());
            rejectForNow(*first, "no room for a large request now");
        }
        m_waiting.pop_front();
    }
}

void HttpListener::resumeReading(Connection &connection)
{
    connection.isWaiting = false;
    connection.bodySince = steadyNow(); // Its rate counts from now on.
    connection.countBytes();
    if (connection.isContinueDue) {
        connection.writeContinue();
    }
    connection.setReading(true);
    bufferevent_trigger(connection.bev, EV_READ,
                        BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void HttpListener::handleAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/,
                                int /*length*/, void *self)
{
    static_cast<HttpListener *>(self)->accept(socket);
}

void HttpListener::handleAcceptError(evconnlistener * /*listener*/, void *self)
{
    // No descriptor is left. The waiting connection would wake the event loop again at once.
    auto &owner = *static_cast<HttpListener *>(self);
    owner.m_guard.count(owner.door(), ShedReason::Descriptors, "accept failed");
    owner.makeRoomForConnection();
    owner.pauseAccepting(DescriptorPause);
}

void HttpListener::pauseAccepting(const timeval &pause)
{
    evconnlistener_disable(m_listener);
    event_add(m_acceptTimer.get(), &pause);
}

void HttpListener::accept(int socket)
{
    const std::size_t limit =
        std::min(m_options.maxConnections, m_guard.maxConnections(m_options.door));
    if (m_connections.size() >= limit && !makeRoomForConnection()) {
        // The new connections are read before further ones are accepted.
        pauseAccepting(FullPause);
        if (m_connections.size() >= limit + limit / MaxOvershootShare) {
            m_guard.count(door(), ShedReason::Connections, "not accepted");
            ::close(socket);
            return;
        }
    }
    setNoDelay(socket);
    setUserTimeout(socket, TcpUserTimeout);
    const ConnectionNumber number(++m_lastConnection);
    auto connection =
        std::make_unique<Connection>(m_base, *this, number, socket, parserHandler(number));
    if (!connection->isValid()) {
        m_guard.count(door(), ShedReason::Descriptors, "no memory for a connection");
        if (!connection->bev) {
            ::close(socket);
        }
        return;
    }
    connection->limits = m_options.limits;
    connection->lease = ByteLease(m_guard.budget());
    connection->countBytes();
    armIdleTimer(*connection);
    m_connections.emplace(number, std::move(connection));
}

MessageParser::Handler HttpListener::parserHandler(ConnectionNumber number)
{
    MessageParser::Handler handler;
    handler.head = [this, number](const MessageHead &head) {
        handleHead(*m_connections.at(number), head);
    };
    handler.body = [this, number](std::string_view data) {
        handleBody(*m_connections.at(number), data);
    };
    return handler;
}

bool HttpListener::makeRoomForConnection()
{
    std::vector<Holder> holders;
    appendHolders(holders);
    const auto chosen = chooseForConnections(holders, steadyNow());
    for (const Holder &one : chosen) {
        shed(one.number, ShedReason::Connections);
    }
    return !chosen.empty();
}

void HttpListener::handleRead(bufferevent * /*bev*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    connection.owner.readInput(connection);
}

void HttpListener::readInput(Connection &connection)
{
    OverloadGuard &guard = m_guard;
    const ConnectionNumber number = connection.number;
    if (connection.state == Connection::State::Lingering
        || connection.state == Connection::State::Closing) {
        connection.discardInput();
    } else {
        parseInput(connection);
    }
    if (Connection *still = findConnection(number)) {
        still->limitReadAhead();
        still->countBytes();
    }
    guard.relieve();
}

void HttpListener::parseInput(Connection &connection)
{
    evbuffer *input = bufferevent_get_input(connection.bev);
    while (connection.state == Connection::State::Reading && evbuffer_get_length(input) > 0) {
        if (connection.isWaiting || connection.unsentBytes() > MaxUnsentAhead) {
            return;
        }
        if (!connection.parser.hasStarted()) {
            connection.beginRequest(m_options.limits, m_guard.budget());
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

bool HttpListener::isWithinLimits(Connection &connection)
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

void HttpListener::handleHead(Connection &connection, const MessageHead &head)
{
    connection.isKeepAlive = head.isKeepAlive;
    connection.isHttp10 = head.isHttp10;
    connection.isHeadRequest = head.method == "HEAD";
    connection.bodySince = steadyNow();
    // No more than was sent: a field need not have a space after its colon.
    constexpr std::size_t MinFieldOverhead = 3;
    std::size_t bytes = 0;
    for (const auto &[name, value] : head.headers) {
        bytes += name.size() + value.size() + MinFieldOverhead;
    }
    if (bytes + head.target.size() > connection.limits.headerBytes) {
        connection.rejectWith(HeadersTooLarge);
        return;
    }
    if (head.method == "CONNECT") {
        connection.rejectWith(BadRequest);
        return;
    }
    const std::string_view length = head.header("Content-Length");
    const std::size_t announced =
        length.empty() ? 0 : std::strtoull(std::string(length).c_str(), nullptr, 10);
    if (announced > connection.limits.bodyBytes) {
        connection.rejectWith(PayloadTooLarge);
        return;
    }
    connection.announcedBytes = announced;
    if (head.hasHeader("Expect")) {
        if (!isSameHeaderName(head.header("Expect"), "100-continue")) {
            connection.rejectWith(ExpectationFailed);
            return;
        }
        connection.isContinueDue = true;
    }
    askForRoom(connection, announced);
    if (connection.isContinueDue && !connection.isWaiting) {
        connection.writeContinue();
    }
    // Also limits the time for the body, see handleTimer().
    const timeval limit = timevalOf(connection.limits.idleTimeout);
    event_add(connection.timer, &limit);
}

void HttpListener::handleBody(Connection &connection, std::string_view data)
{
    connection.bodyBytes += data.size();
    if (connection.bodyBytes > connection.limits.bodyBytes) {
        connection.rejectWith(PayloadTooLarge);
        return;
    }
    if (!m_options.keepsBodies || connection.isRejected) {
        return;
    }
    MessageBody &body = connection.incomingRequest.body;
    const std::size_t most =
        connection.announcedBytes > 0 ? connection.announcedBytes : connection.limits.bodyBytes;
    body.append(data, most);
    if (connection.announcedBytes == 0 && !body.isExpecting()) {
        askForRoom(connection, std::min(2 * body.size(), most));
    }
}

void HttpListener::askForRoom(Connection &connection, std::size_t bytes)
{
    if (bytes <= ByteBudget::SmallBytes || !m_options.keepsBodies || connection.isWaiting
        || connection.incomingRequest.body.expect(bytes, RoomFor::Requests)) {
        return;
    }
    if (m_waiting.size() >= MaxWaitingForRoom && !connection.hasBeenServed) {
        m_guard.count(door(), ShedReason::NoRoom, connection.description());
        connection.rejectWith(ServiceUnavailable);
        return;
    }
    connection.isWaiting = true;
    connection.wantedBytes = bytes;
    connection.waitsSince = steadyNow();
    connection.setReading(false);
    // Who has been served before is likelier to send what it announces.
    const auto place = connection.hasBeenServed
        ? std::ranges::find_if(m_waiting,
                               [this](ConnectionNumber other) {
                                   const Connection *waiting = findConnection(other);
                                   return !waiting || !waiting->hasBeenServed;
                               })
        : m_waiting.end();
    m_waiting.insert(place, connection.number);
    m_guard.watch();
}

void HttpListener::handleCompleteRequest(Connection &connection)
{
    event_del(connection.timer);
    connection.isWaiting = false; // The rest of its body may have arrived already.
    connection.enter(Connection::State::Answering, steadyNow());
    connection.isStreaming = false;
    connection.request = RequestNumber(++m_lastRequest);
    m_requests.emplace(connection.request, connection.number);
    CallerRequest request = std::move(connection.incomingRequest);
    connection.incomingRequest = {};
    const std::size_t headBytes = connection.parser.allocatedHeadBytes();
    request.head = connection.parser.takeHead();
    request.body.forgetExpected();
    request.headLease = ByteLease(m_guard.budget());
    request.headLease.hold(headBytes);
    connection.requestBytes = headBytes + request.body.size();
    if (m_options.copies > 0) {
        connection.copyLease = ByteLease(m_guard.budget());
        connection.copyLease.hold(m_options.copies * connection.requestBytes);
    }
    m_requestHandler(connection.request, std::move(request));
}

void HttpListener::reject(Connection &connection, int status, const char *reason)
{
    connection.isKeepAlive = false;
    connection.isHeadRequest = false;
    HttpHeaders headers {{"Content-Type", "application/json"}};
    if (status == ServiceUnavailable) {
        headers.emplace_back("Retry-After", RetryAfterSeconds);
    }
    const std::string body = errorBody(reason);
    connection.writeHead(status, headers, body.size(), m_isLeaving);
    connection.writeBody(body);
    startLingering(connection);
}

void HttpListener::rejectForNow(Connection &connection, const char *reason)
{
    reject(connection, ServiceUnavailable, reason);
}

void HttpListener::finishAnswer(Connection &connection)
{
    m_requests.erase(connection.request);
    connection.request = {};
    connection.requestBytes = 0;
    connection.answerBytes = 0;
    connection.copyLease = {};
    connection.hasBeenServed = true;
    connection.countBytes();
    m_guard.relieveSoon();
    if (!connection.isKeepAlive || m_isLeaving) {
        closeWhenWritten(connection);
        return;
    }
    connection.enter(Connection::State::Reading, steadyNow());
    connection.parser.reset();
    armIdleTimer(connection);
    // A pipelined request is read from the event loop to avoid recursion.
    if (connection.inputBytes() > 0) {
        bufferevent_trigger(connection.bev, EV_READ,
                            BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    }
}

void HttpListener::closeWhenWritten(Connection &connection)
{
    connection.enter(Connection::State::Closing, steadyNow());
    if (connection.unsentBytes() == 0) {
        startLingering(connection);
        return;
    }
    const timeval limit = timevalOf(connection.limits.idleTimeout);
    event_add(connection.timer, &limit);
}

void HttpListener::startLingering(Connection &connection)
{
    if (connection.state != Connection::State::Lingering) {
        connection.enter(Connection::State::Lingering, steadyNow());
        connection.lingerBytes = 0;
        connection.isWaiting = false;
        connection.discardRequest();
        connection.discardInput();
        connection.limitReadAhead();
    }
    if (connection.unsentBytes() == 0) {
        shutdown(bufferevent_getfd(connection.bev), SHUT_WR);
        endRegularlyOnClose(bufferevent_getfd(connection.bev));
    }
    connection.countBytes();
    const timeval limit = timevalOf(LingerTime);
    event_add(connection.timer, &limit);
}

void HttpListener::armIdleTimer(Connection &connection)
{
    const timeval limit = timevalOf(m_options.limits.idleTimeout + IdleTimeoutMargin);
    event_add(connection.timer, &limit);
}

void HttpListener::handleWritten(bufferevent * /*bev*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    connection.countBytes();
    if (connection.state == Connection::State::Closing
        || connection.state == Connection::State::Lingering) {
        connection.owner.startLingering(connection);
    } else if (connection.state == Connection::State::Reading && connection.inputBytes() > 0) {
        connection.owner.readInput(connection);
    }
}

void HttpListener::handleEvent(bufferevent * /*bev*/, short events, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        connection.owner.drop(connection, false);
    }
}

void HttpListener::handleTimer(int /*socket*/, short /*events*/, void *context)
{
    auto &connection = *static_cast<Connection *>(context);
    HttpListener &listener = connection.owner;
    const TimePoint now = steadyNow();
    if (connection.state == Connection::State::Reading && connection.parser.hasStarted()) {
        const Duration bodyTime = connection.remainingBodyTime(MinBytesPerSecond, now);
        if (connection.parser.isHeadComplete() && bodyTime.count() > 0) {
            const timeval limit = timevalOf(bodyTime);
            event_add(connection.timer, &limit);
            return;
        }
        listener.m_guard.count(listener.door(), ShedReason::TooSlow, connection.description());
        listener.reject(connection, RequestTimeout, "request took too long to arrive");
        return;
    }
    if (connection.state == Connection::State::Lingering && connection.lingerBytes > 0
        && now < connection.stateSince + MaxLingerTime) {
        connection.lingerBytes = 0;
        const timeval limit = timevalOf(LingerTime);
        event_add(connection.timer, &limit);
        return;
    }
    if (connection.unsentBytes() > 0) {
        listener.m_guard.count(listener.door(), ShedReason::TooSlow, connection.description());
    }
    listener.drop(connection, false);
}

void HttpListener::drop(Connection &connection, bool isReset)
{
    const RequestNumber request = connection.request;
    if (isReset) {
        resetOnClose(bufferevent_getfd(connection.bev));
    }
    close(connection.number);
    if (!request.isNone()) {
        m_goneHandler(request);
    }
}

void HttpListener::close(ConnectionNumber number)
{
    const auto it = m_connections.find(number);
    if (it == m_connections.end()) {
        return;
    }
    m_requests.erase(it->second->request);
    m_connections.erase(it);
}

HttpListener::Connection *HttpListener::findConnection(RequestNumber request) const
{
    const auto it = m_requests.find(request);
    return it == m_requests.end() ? nullptr : findConnection(it->second);
}

HttpListener::Connection *HttpListener::findConnection(ConnectionNumber number) const
{
    const auto it = m_connections.find(number);
    return it == m_connections.end() ? nullptr : it->second.get();
}

} // namespace indigoway
