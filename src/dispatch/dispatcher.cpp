#include "dispatcher.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

constexpr int NotFound = 404;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
/** A caller who names no patience and a route without a timeout still end some time. */
constexpr Duration LongestRequest = std::chrono::minutes(10);
/**
 * The server was told the same end, and its own answer at that time is worth more than ours: it
 * is waited for this long. Covers the way back and a timer's slack.
 */
constexpr Duration TimeoutGrace = std::chrono::milliseconds(120);
/** While no routing is known: it comes within a second of the store's or a peer's answer. */
constexpr Duration RoutingComesAfter = std::chrono::milliseconds(400);
/** Callers who come back from a leaving node are sent to other addresses at once. */
constexpr Duration ElsewhereAfter = std::chrono::milliseconds(20);
/** Streams last up to so long; a later one would be cut by the end of this process. */
constexpr Duration LongestStream = std::chrono::milliseconds(6000);
constexpr Duration LongestPlain = std::chrono::milliseconds(1500);

} // namespace

Dispatcher::Dispatcher(DispatchSettings settings, TimePoint startedAt)
    : m_state(std::move(settings), startedAt)
    , m_plain(m_state)
    , m_generations(m_state)
    , m_crashWatch(m_state)
{ }

void Dispatcher::setNodes(std::uint32_t nodes, TimePoint now)
{
    m_state.nodes = nodes;
    m_state.nodesAt = now;
    for (auto &[service, allowance] : m_state.allowances) {
        allowance.setNodes(nodes, now);
    }
}

void Dispatcher::announce(AnnouncedServer server)
{
    if (const auto earlier = m_state.servers.announce(std::move(server))) {
        forget(*earlier);
    }
}

void Dispatcher::remove(const ServerName &name)
{
    m_state.servers.remove(name);
    forget(name);
}

void Dispatcher::forget(const ServerName &name)
{
    m_state.tracker.forget(name);
    m_generations.forget(name);
}

void Dispatcher::leave(TimePoint now, TimePoint endsAt)
{
    m_leavingSince = now;
    m_endsAt = endsAt;
}

bool Dispatcher::crashRecorded(const CrashNote &note, std::uint64_t revision, TimePoint now)
{
    const bool wasRefused = m_state.refusedFor(note.content, now).has_value();
    if (note.count == 0) {
        m_state.crashes.answered(note.content, revision, now);
    } else {
        m_state.crashes.crashed(note.content, note.count, revision, now);
    }
    return m_state.refusedFor(note.content, now).has_value() != wasRefused;
}

DispatchEffects Dispatcher::reduce(TimePoint now, std::uint64_t entropy, const DispatchEvent &event)
{
    DispatchEffects effects;
    Step step(now, entropy, effects);
    std::visit([&](const auto &one) { handle(step, one); }, event);
    const auto next = m_generations.tick(step);
    m_nextTick = next;
    return effects;
}

std::optional<TimePoint> Dispatcher::nextDeadline() const
{
    return earlier(m_timeouts.next(), m_nextTick);
}

void Dispatcher::handle(Step &step, const ArrivedRequest &event)
{
    if (!m_table) {
        rejectUnserved(step, event, ServiceUnavailable, step.spread(RoutingComesAfter),
                       "no routing known yet");
        return;
    }
    const std::string path = event.path.substr(0, event.path.find('?'));
    const Route *route = m_table->find(event.host, path);
    if (!route) {
        rejectUnserved(step, event, NotFound, std::nullopt,
                       "no route version=" + std::to_string(m_table->version()));
        return;
    }
    const ServiceName *serviceName = pickService(*route, step.random());
    const Service *service = serviceName ? m_table->service(*serviceName) : nullptr;
    if (!service) {
        rejectUnserved(step, event, ServiceUnavailable, step.spread(RoutingComesAfter),
                       "route without a service");
        return;
    }
    if (const auto refused = m_state.refusedFor(event.content, step.now)) {
        rejectUnserved(step, event, ServiceUnavailable, refused,
                       CrashesServers + (" content=" + event.content.text()));
        return;
    }
    if (isTooLateForLeaving(step.now, route->isStream)) {
        rejectUnserved(step, event, ServiceUnavailable, ElsewhereAfter, "leaving");
        return;
    }
    OpenRequest request;
    request.facts = event;
    request.table = m_table;
    request.route = route;
    request.service = service;
    request.arrived = step.now;
    request.answerBy = step.now + LongestRequest;
    if (route->timeout.count() > 0) {
        request.answerBy = std::min(request.answerBy, step.now + route->timeout);
    }
    if (event.patience) {
        request.answerBy = std::min(request.answerBy, step.now + *event.patience);
    }
    m_timeouts.set(event.request, request.answerBy + TimeoutGrace);
    OpenRequest &added = m_state.requests.add(std::move(request));
    flowOf(added).begin(step, added);
}

void Dispatcher::handle(Step &step, const CallerLeft &event)
{
    OpenRequest *request = m_state.requests.find(event.request);
    if (!request) {
        return;
    }
    m_timeouts.clear(event.request);
    flowOf(*request).release(step, *request);
    m_state.requests.dropLeft(step, *request);
}

void Dispatcher::handle(Step &step, const StreamBegan &event)
{
    const OpenCall *call = m_state.calls.find(event.call);
    OpenRequest *request = call ? m_state.requests.find(call->request) : nullptr;
    if (!request || request->call != event.call) {
        step.add(AbandonCall {event.call});
        return;
    }
    flowOf(*request).streamBegan(step, *request, event);
}

void Dispatcher::handle(Step &step, const CallEnded &event)
{
    const auto call = m_state.calls.take(event.call);
    if (!call) {
        return;
    }
    if (call->kind == CallKind::Report) {
        m_generations.phases().reportEnded(step, *call, event);
        return;
    }
    if (call->kind == CallKind::Order) {
        m_generations.phases().orderEnded(step, *call, event);
        return;
    }
    if (call->kind == CallKind::Probe) {
        m_crashWatch.probeEnded(step, *call, event);
        return;
    }
    OpenRequest *request = m_state.requests.find(call->request);
    if (request && carriesRequest(call->kind)) {
        noteCrashOrAnswer(step, *call, *request, event);
    }
    if (!request || request->call != event.call) {
        RequestFlow &flow =
            call->kind == CallKind::Plain ? static_cast<RequestFlow &>(m_plain) : m_generations;
        flow.orphanEnded(step, *call, event);
        return;
    }
    flowOf(*request).callEnded(step, *request, *call, event);
}

void Dispatcher::noteCrashOrAnswer(Step &step, const OpenCall &call, const OpenRequest &request,
                                   const CallEnded &event)
{
    if (event.isConnectionLost) {
        m_crashWatch.connectionLost(step, call, request);
    } else if (event.end == CallEnd::Complete && call.kind != CallKind::Prefill) {
        m_crashWatch.answered(step, request.facts.content);
    }
}

void Dispatcher::handle(Step &step, const SchedulerAnswered &event)
{
    m_generations.schedulerAnswered(step, event);
}

void Dispatcher::handle(Step &step, const TimePassed & /*event*/)
{
    for (const RequestNumber number : m_timeouts.takeDue(step.now)) {
        if (OpenRequest *request = m_state.requests.find(number)) {
            timeOut(step, *request);
        }
    }
    for (const ServerName &name : m_state.servers.forgetVanished(step.now)) {
        forget(name);
    }
    m_state.crashes.forgetOld(step.now);
    if (m_holdsOrderRight && m_table && !m_leavingSince) {
        m_generations.phases().askForWork(step, *m_table);
        m_generations.phases().orderPhases(step, *m_table, m_orderToken);
    }
    // It is given anew for each look at the time; the right may end in between.
    m_orderToken.reset();
}

bool Dispatcher::isTooLateForLeaving(TimePoint now, bool isStream) const
{
    if (!m_leavingSince) {
        return false;
    }
    return now + (isStream ? LongestStream : LongestPlain) > m_endsAt;
}

void Dispatcher::timeOut(Step &step, OpenRequest &request)
{
    const bool mayHaveRun = request.mayHaveRun();
    flowOf(request).release(step, request);
    if (request.isForwarding) {
        m_state.requests.breakStream(step, request, "time is up");
    } else if (mayHaveRun) {
        m_state.requests.failInDoubt(step, request, GatewayTimeout, "time is up");
    } else {
        m_state.requests.reject(step, request, step.spread(RoutingComesAfter), "time is up");
    }
}

void Dispatcher::rejectUnserved(Step &step, const ArrivedRequest &event, int status,
                                std::optional<Duration> retryAfter, const std::string &why)
{
    step.add(RejectRequest {event.request, status, retryAfter, why});
    step.add(RecordDecision {"request_unserved", event.callerId,
                             "status=" + std::to_string(status) + " host=" + event.host
                                 + " path=" + event.path + " " + why});
}

RequestFlow &Dispatcher::flowOf(const OpenRequest &request)
{
    if (request.isGeneration()) {
        return m_generations;
    }
    return m_plain;
}

} // namespace indigoway::dispatch
