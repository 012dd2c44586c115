#include "requestrelay.h"

#include "http/timers.h"

#include "relay/contentid.h"
#include <algorithm>
#include <cstdlib>

namespace indigoway {

namespace {

using namespace dispatch;

/** Maximum body size of an answer that is not a stream, which is buffered in memory. */
constexpr std::size_t MaxBufferedAnswerBytes = std::size_t {8} * 1024 * 1024;

/** The same of an answer about a request, such as a reservation or a prefill. */
constexpr std::size_t MaxControlAnswerBytes = std::size_t {64} * 1024;
/** Time for such an answer from its first byte on; it is sent at once. */
constexpr Duration ControlAnswerLimit = std::chrono::milliseconds(300);
/** An event that a server does not end. */
constexpr std::size_t MaxEventBytes = std::size_t {256} * 1024;

/** Returns whether the answer is for this node and not for the caller. */
bool isControl(CallKind kind)
{
    return !carriesRequest(kind) || kind == CallKind::Prefill;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

/** Maps the end of a call without a complete answer. */
CallEnd unconnectedEnd(TransferEnd end)
{
    switch (end) {
    case TransferEnd::NotConnected:
    case TransferEnd::Refused:
        return CallEnd::NotConnected;
    case TransferEnd::NoPath:
        return CallEnd::NoPath;
    case TransferEnd::PathLost:
        return CallEnd::PathLost;
    default:
        return CallEnd::Broken;
    }
}

bool isEventStream(const MessageHead &head)
{
    return head.header("Content-Type").starts_with("text/event-stream");
}

} // namespace

RequestRelay::RequestRelay(event_base *base, OverloadGuard &guard, Dispatcher &dispatcher,
                           const Dialect &dialect, std::uint64_t seed)
    : m_guard(guard)
    , m_dispatcher(dispatcher)
    , m_dialect(dialect)
    , m_random(seed)
    , m_timer(event_new(base, -1, 0, &RequestRelay::handleTimer, this))
    , m_callers(
          base, guard, ListenerOptions {},
          [this](RequestNumber number, CallerRequest request) {
              requestArrived(number, std::move(request));
          },
          [this](RequestNumber number) { callerGone(number); })
    , m_servers(base, *this, seed)
    , m_tunnels(base, guard, m_servers.paths().servers, tunnelDependencies())
{
    m_guard.add(*this);
}

RequestRelay::~RequestRelay()
{
    m_guard.remove(*this);
}

std::optional<std::string> RequestRelay::listenOn(const std::string &address)
{
    return m_callers.listenOn(address);
}

TunnelListener::Dependencies RequestRelay::tunnelDependencies()
{
    return {[this](const ServerName &server) { return tunnelTarget(server); },
            [this](const ServerName &server) {
                return otherTunnelTarget(server);
            }};
}

std::optional<TunnelListener::Target> RequestRelay::tunnelTarget(const ServerName &server) const
{
    const AnnouncedServer *known = m_dispatcher.servers().find(server);
    if (!known || m_dispatcher.isPaused(server, steadyNow())) {
        return std::nullopt;
    }
    return TunnelListener::Target {server, known->address};
}

std::optional<TunnelListener::Target> RequestRelay::otherTunnelTarget(const ServerName &server)
{
    const std::vector<ServerName> names = m_dispatcher.servers().names();
    const std::size_t start = names.empty() ? 0 : m_random() % names.size();
    for (std::size_t i = 0; i < names.size(); ++i) {
        const AnnouncedServer *other =
            m_dispatcher.servers().find(names[(start + i) % names.size()]);
        if (other && other->name != server
            && m_dispatcher.servers().availability(other->name, steadyNow())
                != ServerAvailability::Leaving) {
            return TunnelListener::Target {other->name, other->address};
        }
    }
    return std::nullopt;
}

void RequestRelay::recordTick(BootTime now)
{
    m_servers.recordTick(now);
    m_tunnels.recordTick(now);
}

void RequestRelay::recordPathChanges()
{
    for (const PathChange &change : m_servers.paths().servers.takeChanges()) {
        const std::string server = change.server.isEmpty() ? "all" : change.server.text();
        run(LogDecision {"server_path",
                         {},
                         "server=" + server + " directly=" + (change.isReachable ? "yes" : "no")
                             + " lasted_ms=" + millisecondsText(change.lasted)
                             + " failed_connections=" + std::to_string(change.failedCalls) + " "
                             + change.reason});
    }
}

void RequestRelay::callRelayed(CallNumber call, const NodeName &relay)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end()) {
        it->second.relay = relay;
    }
}

void RequestRelay::requestArrived(RequestNumber number, CallerRequest request)
{
    ArrivedRequest arrived = m_dialect.readRequest(request.head);
    arrived.request = number;
    arrived.content = contentIdOf(request);
    // Queried after the request was read, so that the age at its arrival isn't underestimated.
    arrived.copyAge = m_copyAge ? m_copyAge() : std::nullopt;
    OpenExchange exchange;
    exchange.callerId = arrived.callerId;
    exchange.request = std::move(request);
    m_exchanges.emplace(number, std::move(exchange));
    post(arrived);
}

void RequestRelay::callerGone(RequestNumber number)
{
    m_exchanges.erase(number);
    post(CallerLeft {number});
}

void RequestRelay::post(const DispatchEvent &event)
{
    const DispatchEffects effects = m_dispatcher.reduce(steadyNow(), m_random(), event);
    for (const DispatchEffect &effect : effects) {
        std::visit([this](const auto &alternative) { run(alternative); }, effect);
    }
    recordPathChanges();
    armTimer();
}

bool RequestRelay::isAnswerTo(CallNumber call, const MessageHead &head)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return false;
    }
    const OpenCall &open = it->second;
    return !carriesRequest(open.call.kind) || m_dialect.isAnswerTo(open.callerId, head);
}

void RequestRelay::answerStarted(CallNumber call, const MessageHead &head)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return;
    }
    OpenCall &open = it->second;
    open.head = head;
    open.info = m_dialect.readAnswer(head);
    open.isStream = isSuccess(head.status) && open.info.hasServerStamp && isEventStream(head)
        && open.call.kind != CallKind::Prefill;
    const std::string_view length = head.header("Content-Length");
    const std::size_t announced =
        length.empty() ? 0 : std::strtoull(std::string(length).c_str(), nullptr, 10);
    open.announcedBytes = std::min(announced, MaxBufferedAnswerBytes);
}

void RequestRelay::askForRoom(OpenCall &open, std::size_t bytes)
{
    if (bytes <= ByteBudget::SmallBytes || open.wantedBytes > 0
        || open.body.expect(bytes, RoomFor::Answers)) {
        return;
    }
    open.wantedBytes = bytes;
    m_waitingAnswers.push_back(open.call.call);
    m_servers.pause(open.call.call);
    m_guard.watch();
}

void RequestRelay::reviewWaiting(TimePoint /*now*/)
{
    while (!m_waitingAnswers.empty()) {
        const auto first = m_calls.find(m_waitingAnswers.front());
        if (first != m_calls.end()) {
            if (!first->second.body.expect(first->second.wantedBytes, RoomFor::Answers)) {
                return;
            }
            first->second.wantedBytes = 0;
            m_servers.resume(first->first);
        }
        m_waitingAnswers.pop_front();
    }
}

void RequestRelay::answerDataReceived(CallNumber call, std::string_view data)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return;
    }
    OpenCall &open = it->second;
    const auto exchange = m_exchanges.find(open.call.request);
    if (!open.isStream) {
        const std::size_t most =
            open.announcedBytes > 0 ? open.announcedBytes : MaxBufferedAnswerBytes;
        open.body.append(data, most);
        m_callers.countAnswer(open.call.request, open.body.size());
        if (!open.body.isExpecting()) {
            askForRoom(open, open.announcedBytes > 0 ? most : std::min(2 * open.body.size(), most));
        }
        m_guard.relieveSoon();
        if (open.body.size()
            > (isControl(open.call.kind) ? MaxControlAnswerBytes : MaxBufferedAnswerBytes)) {
            m_servers.abandon(call);
            callEnded(call, TransferEnd::Broken, "answer too large");
        }
        return;
    }
    if (exchange == m_exchanges.end()) {
        return;
    }
    const std::string completeEvents = exchange->second.eventParser.feed(data);
    if (exchange->second.eventParser.bufferedBytes() > MaxEventBytes) {
        m_servers.abandon(call);
        callEnded(call, TransferEnd::Broken, "event too large");
        return;
    }
    if (completeEvents.empty()) {
        return;
    }
    if (open.isForwarded) {
        m_callers.sendChunk(open.call.request, completeEvents);
        reportProgress(open);
        return;
    }
    open.bufferedEvents += completeEvents;
    if (!open.hasStarted) {
        open.hasStarted = true;
        post(StreamStarted {call, open.head.status, open.info.load, open.info.advice});
    }
}

void RequestRelay::callSilent(CallNumber call)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end()) {
        post(StreamSilent {call, forwardedEvents(it->second.call.request),
                           m_servers.paths().servers.isRelayed(it->second.call.server)
                               && it->second.relay.isEmpty()});
    }
}

void RequestRelay::reportProgress(OpenCall &open)
{
    const std::uint32_t events = forwardedEvents(open.call.request);
    if (open.call.progressEvents > 0 && events >= open.reportedEvents + open.call.progressEvents) {
        open.reportedEvents = events;
        post(StreamProgress {open.call.call, events});
    }
}

std::uint32_t RequestRelay::forwardedEvents(RequestNumber request) const
{
    const auto exchange = m_exchanges.find(request);
    return exchange == m_exchanges.end() ? 0 : exchange->second.eventParser.eventCount();
}

void RequestRelay::callEnded(CallNumber call, TransferEnd end, const std::string &reason)
{
    auto callNode = m_calls.extract(call);
    if (callNode.empty()) {
        return;
    }
    const CallEnded ended = resultOf(callNode.mapped(), end, reason);
    m_endedCalls.insert(std::move(callNode));
    post(ended);
    m_endedCalls.erase(call);
}

CallEnded RequestRelay::resultOf(const OpenCall &open, TransferEnd end,
                                 const std::string &reason) const
{
    CallEnded ended;
    ended.call = open.call.call;
    ended.status = open.head.status;
    ended.load = open.info.load;
    ended.isLoadMalformed = open.info.isLoadMalformed;
    ended.advice = open.hasStarted ? std::nullopt : open.info.advice;
    ended.reason = reason;
    ended.lasted = BootClock::now() - open.started;
    ended.isConnectionLost = end == TransferEnd::ConnectionLost;
    ended.isRefused = end == TransferEnd::Refused;
    ended.relay = open.relay;
    ended.isPathSuspect = m_servers.paths().servers.isRelayed(open.call.server);
    if (open.call.kind == CallKind::Probe) {
        ended.end = end == TransferEnd::Complete ? CallEnd::Complete : unconnectedEnd(end);
        ended.events = forwardedEvents(open.call.request);
        return ended;
    }
    if (open.isStream) {
        const auto exchange = m_exchanges.find(open.call.request);
        const bool isAtBoundary =
            exchange == m_exchanges.end() || exchange->second.eventParser.isAtEventBoundary();
        ended.events = forwardedEvents(open.call.request);
        // A run that is stopped after its last event has nothing left to send.
        const bool isEmptyRest =
            open.call.isResumption && !open.hasStarted && !open.head.isDelimitedByClose;
        const bool isComplete = isAtBoundary && (open.hasStarted || isEmptyRest);
        ended.end = end == TransferEnd::Complete && isComplete ? CallEnd::Complete
            : end == TransferEnd::PathLost                     ? CallEnd::PathLost
                                                               : CallEnd::Broken;
        ended.isEndedByClose = open.head.isDelimitedByClose;
        ended.isEmptyRest = isEmptyRest;
        // A stream delimited by close is complete only if it ends at an event boundary.
        ended.isConnectionLost |= end == TransferEnd::Complete && !isComplete;
        return ended;
    }
    if (end != TransferEnd::Complete) {
        ended.end = unconnectedEnd(end);
        return ended;
    }
    const bool isStop = open.call.kind == CallKind::StopRun;
    EngineAnswer engineAnswer;
    // A run may have stopped although its KV cache was not moved.
    if (isControl(open.call.kind) && (isSuccess(open.head.status) || isStop)) {
        engineAnswer = m_dialect.readEngineAnswer(open.call.kind, open.body.text());
    }
    const bool hasStopped = isStop && !engineAnswer.handle.empty();
    if (open.info.isNotExecuted && !hasStopped) {
        ended.end = CallEnd::NotExecuted;
        ended.reason = "turned away with " + std::to_string(open.head.status);
        return ended;
    }
    ended.end = CallEnd::Complete;
    ended.isEndedByClose = open.head.isDelimitedByClose;
    if (isControl(open.call.kind)) {
        ended.reservation = engineAnswer.reservation;
        ended.handle = engineAnswer.handle;
        ended.report = engineAnswer.report;
        ended.reason = "status " + std::to_string(open.head.status);
        return ended;
    }
    if (!open.info.hasServerStamp) {
        // Without a server stamp it is unknown whether the server executed the request.
        ended.end = CallEnd::Broken;
        ended.reason =
            "answer without the server's mark, status " + std::to_string(open.head.status);
    }
    return ended;
}

void RequestRelay::run(const StartCall &effect)
{
    OpenCall open;
    open.call = effect;
    open.body = MessageBody(m_guard.budget());
    const CallerRequest *origin = nullptr;
    std::string lastEventId;
    const auto exchange = m_exchanges.find(effect.request);
    if (carriesRequest(effect.kind)) {
        if (exchange == m_exchanges.end()) {
            return;
        }
        origin = &exchange->second.request;
        open.callerId = exchange->second.callerId;
        exchange->second.eventParser.discardPartialEvent();
        if (effect.isResumption) {
            lastEventId = exchange->second.eventParser.lastEventId();
        }
    }
    ServerRequest request;
    if (effect.kind == CallKind::Probe) {
        request.isConnectOnly = true;
    } else {
        request = m_dialect.writeCall(effect, origin, lastEventId);
    }
    request.call = effect.call;
    request.server = effect.server;
    request.address = effect.address;
    request.idleTimeout = effect.idleTimeout;
    request.silenceLimit = effect.silenceLimit;
    request.connectTimeout = effect.connectTimeout;
    request.answerLimit = isControl(effect.kind) ? ControlAnswerLimit : Duration(0);
    request.needsNewConnection = effect.needsNewConnection;
    request.maxIdleConnections = effect.maxIdleConnections;
    // Engines take orders from the node that holds the right, by its address. The report before an
    // order shows that this node reaches the engine; that of a request's server may be relayed.
    request.isDirectOnly = effect.kind == CallKind::Order
        || (effect.kind == CallKind::Report && effect.request.isNone());
    m_calls.emplace(effect.call, std::move(open));
    m_servers.start(std::move(request));
}

void RequestRelay::run(const AbandonCall &effect)
{
    m_calls.erase(effect.call);
    m_servers.abandon(effect.call);
}

void RequestRelay::run(const ReportNextEvent &effect)
{
    const auto it = m_calls.find(effect.call);
    if (it != m_calls.end()) {
        it->second.reportedEvents = forwardedEvents(it->second.call.request);
        it->second.call.progressEvents = 1;
    }
}

void RequestRelay::run(const DeliverAnswer &effect)
{
    const auto answer = m_endedCalls.find(effect.call);
    if (answer != m_endedCalls.end()) {
        const OpenCall &open = answer->second;
        m_callers.respond(effect.request, open.head.status, m_dialect.answerHeaders(open.head),
                          open.body);
    }
    m_exchanges.erase(effect.request);
}

void RequestRelay::run(const ForwardStream &effect)
{
    const auto it = m_calls.find(effect.call);
    const auto exchange = m_exchanges.find(effect.request);
    if (it == m_calls.end() || exchange == m_exchanges.end()) {
        return;
    }
    OpenCall &open = it->second;
    open.isForwarded = true;
    if (!exchange->second.isStreaming) {
        exchange->second.isStreaming = true;
        m_callers.startStream(effect.request, open.head.status, m_dialect.answerHeaders(open.head));
    }
    m_callers.sendChunk(effect.request, open.bufferedEvents);
    open.bufferedEvents.clear();
}

void RequestRelay::run(const EndStream &effect)
{
    m_callers.endStream(effect.request);
    m_exchanges.erase(effect.request);
}

void RequestRelay::run(const BreakStream &effect)
{
    m_callers.abortAnswer(effect.request);
    m_exchanges.erase(effect.request);
}

void RequestRelay::run(const RejectRequest &effect)
{
    HttpHeaders headers = m_dialect.rejectionHeaders(effect.retryAfter);
    headers.emplace_back("Content-Type", "application/json");
    m_callers.respond(effect.request, effect.status, headers,
                      "{\"error\":\"" + effect.reason + "\"}");
    m_exchanges.erase(effect.request);
}

void RequestRelay::run(const SendToScheduler &effect)
{
    if (m_schedulerHandler) {
        m_schedulerHandler(effect.message);
    }
}

void RequestRelay::run(const SendToQuotaKeeper &effect)
{
    if (m_quotaHandler) {
        m_quotaHandler(effect.message);
    }
}

void RequestRelay::run(const SendToRateLimiter &effect)
{
    if (m_rateLimitHandler) {
        m_rateLimitHandler(effect.message);
    }
}

void RequestRelay::run(const SendToPlainScheduler &effect)
{
    if (m_plainSchedulerHandler) {
        m_plainSchedulerHandler(effect.message);
    }
}

void RequestRelay::run(const SendToNode &effect)
{
    if (m_nodeMessageHandler) {
        m_nodeMessageHandler(effect);
    }
}

void RequestRelay::run(const RecordStreamOrigins &effect)
{
    if (m_originRecordHandler) {
        m_originRecordHandler(effect);
    }
}

void RequestRelay::run(const ReadStoredOrigins & /*effect*/)
{
    if (m_originReadHandler) {
        m_originReadHandler();
    }
}

void RequestRelay::run(const PublishCrash &effect)
{
    if (m_crashHandler) {
        m_crashHandler(effect);
    }
}

void RequestRelay::run(const SharePartCrashes &effect)
{
    if (m_partCrashHandler) {
        m_partCrashHandler(effect);
    }
}

void RequestRelay::run(const LogDecision &effect)
{
    if (m_decisionHandler) {
        m_decisionHandler(effect);
    }
}

void RequestRelay::run(const RequestEnded &effect)
{
    if (m_requestEndedHandler) {
        m_requestEndedHandler(effect);
    }
}

void RequestRelay::armTimer()
{
    const auto next = m_dispatcher.nextDeadline();
    if (next == m_timerDeadline) {
        return;
    }
    m_timerDeadline = next;
    if (!next) {
        event_del(m_timer.get());
        return;
    }
    const auto wait = std::max(Duration(1), Duration(*next - steadyNow()));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    const timeval delay {seconds.count(), (wait - seconds).count()};
    event_add(m_timer.get(), &delay);
}

void RequestRelay::handleTimer(int /*socket*/, short /*events*/, void *self)
{
    auto &relay = *static_cast<RequestRelay *>(self);
    relay.m_timerDeadline.reset();
    relay.post(TimePassed {});
}

} // namespace indigoway
