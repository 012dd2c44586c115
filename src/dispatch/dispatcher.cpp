#include "dispatcher.h"

#include <algorithm>
#include <utility>

namespace indigoway::dispatch {

namespace {

/** Each look goes over all engines; orders come of what lasts for seconds. */
constexpr Duration LookAtOrdersEvery = std::chrono::milliseconds(250);
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
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
/** Of the caller's patience, where nothing tells how long it will take. */
constexpr int ComeBackOfPatience = 4;
/** Callers who come back from a leaving node are sent to other addresses at once. */
constexpr Duration ElsewhereAfter = std::chrono::milliseconds(20);
/** Streams last up to so long; a later one would be cut by the end of this process. */
constexpr Duration LongestStream = std::chrono::milliseconds(6000);
constexpr Duration LongestPlain = std::chrono::milliseconds(1500);
/** A caller who is over its quota comes back no sooner, however little is missing. */
constexpr Duration LeastQuotaWait = std::chrono::milliseconds(100);

double unitsOf(const Quota &quota, const ArrivedRequest &facts)
{
    if (quota.unit == QuotaUnit::Requests) {
        return 1;
    }
    const bool namesTokens = facts.promptTokens > 0 || facts.mostOutputTokens > 0;
    return namesTokens ? static_cast<double>(facts.promptTokens) + facts.mostOutputTokens
                       : quota.plainCost;
}

void tellKeeper(Step &step, quotas::QuotaEnforcer::Messages messages)
{
    for (quotas::ToKeeper &message : messages) {
        step.add(TellQuotaKeeper {std::move(message)});
    }
}

} // namespace

Dispatcher::Dispatcher(DispatchSettings settings, TimePoint startedAt)
    : m_state(std::move(settings), startedAt)
    , m_plain(m_state)
    , m_generations(m_state)
    , m_crashWatch(m_state)
    , m_quotas(m_state.settings.quotas)
{ }

void Dispatcher::setRoutes(std::shared_ptr<const RouteTable> table)
{
    m_table = std::move(table);
    m_hasNewRoutes = true;
    m_quotas.setEnabled(
        std::ranges::any_of(m_table->organisations(), [](const Organisation &organisation) {
            return organisation.quota.has_value();
        }));
}

void Dispatcher::setScheduler(std::optional<NodeName> name)
{
    m_quotas.setKeeper(name);
    m_generations.setScheduler(std::move(name));
}

void Dispatcher::setNodes(std::uint32_t nodes, TimePoint now)
{
    m_state.nodes = nodes;
    m_quotas.setNodeCount(nodes);
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
    tickQuotas(step);
    m_nextTick = earlier(m_generations.tick(step), m_quotas.nextTick());
    return effects;
}

std::optional<TimePoint> Dispatcher::nextDeadline() const
{
    return earlier(m_timeouts.next(), m_nextTick);
}

void Dispatcher::handle(Step &step, const ArrivedRequest &event)
{
    OpenRequest request;
    request.facts = event;
    request.table = m_table;
    request.arrived = step.now;
    const bool isServed = findRoute(step, request) && admitCaller(step, request)
        && chooseService(step, request) && mayBegin(step, request);
    if (!isServed) {
        return; // It has its answer.
    }
    request.answerBy = step.now + LongestRequest;
    if (request.route->timeout.count() > 0) {
        request.answerBy = std::min(request.answerBy, step.now + request.route->timeout);
    }
    if (event.patience) {
        request.answerBy = std::min(request.answerBy, step.now + *event.patience);
    }
    m_timeouts.set(event.request, request.answerBy + TimeoutGrace);
    serveWithinQuota(step, m_state.requests.add(std::move(request)));
}

bool Dispatcher::findRoute(Step &step, OpenRequest &request)
{
    const ArrivedRequest &facts = request.facts;
    if (!m_table) {
        rejectUnserved(step, facts, ServiceUnavailable, step.spread(RoutingComesAfter),
                       "no routing known yet");
        return false;
    }
    request.route = m_table->find(facts.host, facts.path.substr(0, facts.path.find('?')));
    if (request.route) {
        return true;
    }
    if (isFreshEnough(facts.copyAge, m_state.settings.mostCopyAge)) {
        rejectUnserved(step, facts, NotFound, std::nullopt,
                       "no route version=" + std::to_string(m_table->version()));
    } else {
        rejectByOldCopy(step, facts);
    }
    return false;
}

bool Dispatcher::admitCaller(Step &step, OpenRequest &request)
{
    const ArrivedRequest &facts = request.facts;
    const Admission admission = admit(*m_table, *request.route, facts.credentials, facts.copyAge,
                                      m_state.settings.mostCopyAge);
    if (const auto *admitted = std::get_if<Admitted>(&admission)) {
        request.organisation = admitted->organisation;
        return true;
    }
    if (std::holds_alternative<CopyTooOld>(admission)) {
        rejectByOldCopy(step, facts);
    } else {
        rejectUnserved(step, facts, Unauthorized, std::nullopt, unknownKeyText(facts));
    }
    return false;
}

bool Dispatcher::chooseService(Step &step, OpenRequest &request)
{
    const ServiceName *name = pickService(*request.route, step.random());
    request.service = name ? m_table->service(*name) : nullptr;
    if (!request.service) {
        rejectUnserved(step, request.facts, ServiceUnavailable, step.spread(RoutingComesAfter),
                       "route without a service");
    }
    return request.service != nullptr;
}

bool Dispatcher::mayBegin(Step &step, const OpenRequest &request)
{
    const ContentId &content = request.facts.content;
    if (const auto refused = m_state.refusedFor(content, step.now)) {
        rejectUnserved(step, request.facts, ServiceUnavailable, refused,
                       CrashesServers + (" content=" + content.text()));
        return false;
    }
    if (isTooLateForLeaving(step.now, request.route->isStream)) {
        rejectUnserved(step, request.facts, ServiceUnavailable, ElsewhereAfter, "leaving");
        return false;
    }
    return true;
}

void Dispatcher::serveWithinQuota(Step &step, OpenRequest &request)
{
    if (!request.organisation || !request.organisation->quota) {
        flowOf(request).begin(step, request);
        return;
    }
    const Quota &quota = *request.organisation->quota;
    const double units = unitsOf(quota, request.facts);
    quotas::QuotaEnforcer::Messages messages;
    const quotas::QuotaDecision decision =
        m_quotas.decide(step.now, quotas::QuotaQueryId(request.facts.request.value()),
                        request.organisation->name, quota, units, messages);
    tellKeeper(step, std::move(messages));
    switch (decision.kind) {
    case quotas::QuotaDecision::Kind::Passed:
        request.quotaUnits = decision.isCounted ? units : 0;
        flowOf(request).begin(step, request);
        return;
    case quotas::QuotaDecision::Kind::Pending:
        request.stage = Stage::AwaitingQuota;
        return;
    case quotas::QuotaDecision::Kind::Refused:
        rejectOverQuota(step, request, decision.retryAfter);
        return;
    }
}

void Dispatcher::handle(Step &step, const QuotaKeeperAnswered &event)
{
    quotas::QuotaEnforcer::Messages messages;
    const auto verdict = m_quotas.handleMessage(step.now, event.message, event.life, messages);
    tellKeeper(step, std::move(messages));
    if (verdict) {
        quotaDecided(step, *verdict);
    }
}

void Dispatcher::quotaDecided(Step &step, const quotas::QuotaResult &verdict)
{
    OpenRequest *request = m_state.requests.find(RequestNumber(verdict.queryId.value()));
    if (!request || request->stage != Stage::AwaitingQuota) {
        return;
    }
    if (!verdict.isGranted) {
        rejectOverQuota(step, *request, verdict.retryAfter);
        return;
    }
    request->stage = Stage::Calling;
    if (verdict.isCounted) {
        request->quotaUnits = unitsOf(*request->organisation->quota, request->facts);
    }
    flowOf(*request).begin(step, *request);
}

void Dispatcher::rejectOverQuota(Step &step, OpenRequest &request, Duration roomAfter)
{
    const Quota &quota = *request.organisation->quota;
    m_timeouts.clear(request.facts.request);
    const std::string why = "over quota units=" + std::to_string(unitsOf(quota, request.facts))
        + " per_s=" + std::to_string(quota.perSecond) + " burst=" + std::to_string(quota.burst)
        + " room_after_ms=" + millisecondsText(roomAfter)
        + " keeper=" + (m_quotas.isKeeperReachable(step.now) ? "heard" : "silent");
    m_state.requests.refuse(step, request,
                            {TooManyRequests, RequestOutcome::OverQuota,
                             step.spread(std::max(roomAfter, LeastQuotaWait)), why});
}

void Dispatcher::tickQuotas(Step &step)
{
    quotas::QuotaEnforcer::Messages messages;
    for (const OpenRequests::UnusedQuota &unused : m_state.requests.takeUnusedQuota()) {
        m_quotas.returnUnits(unused.organisation, unused.units, messages);
    }
    const auto verdicts = m_quotas.tick(step.now, messages);
    tellKeeper(step, std::move(messages));
    for (const quotas::QuotaResult &verdict : verdicts) {
        quotaDecided(step, verdict);
    }
}

void Dispatcher::handle(Step &step, const CallerLeft &event)
{
    OpenRequest *request = m_state.requests.find(event.request);
    if (!request) {
        return;
    }
    m_timeouts.clear(event.request);
    m_quotas.abandonQuery(quotas::QuotaQueryId(event.request.value()));
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
    if (std::exchange(m_hasNewRoutes, false)) {
        rejectWithoutKey(step);
    }
    for (const RequestNumber number : m_timeouts.takeDue(step.now)) {
        if (OpenRequest *request = m_state.requests.find(number)) {
            timeOut(step, *request);
        }
    }
    for (const ServerName &name : m_state.servers.purgeWithdrawn(step.now)) {
        forget(name);
    }
    m_state.crashes.forgetOld(step.now);
    const bool isOrderLookDue = m_orderToken || step.now >= m_ordersLookedAt + LookAtOrdersEvery;
    if (m_holdsOrderRight && m_table && !m_leavingSince && isOrderLookDue) {
        m_ordersLookedAt = step.now;
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
    m_quotas.abandonQuery(quotas::QuotaQueryId(request.facts.request.value()));
    flowOf(request).release(step, request);
    if (request.isForwarding) {
        m_state.requests.breakStream(step, request, "time is up");
    } else if (mayHaveRun) {
        m_state.requests.failInDoubt(step, request, GatewayTimeout, "time is up");
    } else {
        m_state.requests.reject(step, request, step.spread(RoutingComesAfter), "time is up");
    }
}

void Dispatcher::rejectByOldCopy(Step &step, const ArrivedRequest &event)
{
    // Another node may know more; a store that is away for all comes back sooner or later.
    const Duration wait = event.patience ? *event.patience / ComeBackOfPatience : RoutingComesAfter;
    rejectUnserved(step, event, ServiceUnavailable, step.spread(wait),
                   "copy too old age_ms="
                       + (event.copyAge ? millisecondsText(*event.copyAge) : std::string("-"))
                       + " version=" + std::to_string(m_table->version()));
}

std::string Dispatcher::unknownKeyText(const ArrivedRequest &event) const
{
    return std::string(event.credentials.key ? "unknown key" : "no key")
        + " version=" + std::to_string(m_table->version())
        + " age_ms=" + (event.copyAge ? millisecondsText(*event.copyAge) : std::string("-"));
}

void Dispatcher::rejectWithoutKey(Step &step)
{
    std::vector<RequestNumber> numbers;
    for (const auto &[number, request] : m_state.requests.all()) {
        const bool hasLostKey = request.table->wantsKeys() && !request.route->isOpen
            && request.organisation && request.facts.credentials.key
            && !m_table->organisationWith(*request.facts.credentials.key);
        if (hasLostKey && !request.mayHaveRun()) {
            numbers.push_back(number);
        }
    }
    for (const RequestNumber number : numbers) {
        OpenRequest &request = *m_state.requests.find(number);
        flowOf(request).release(step, request);
        m_quotas.abandonQuery(quotas::QuotaQueryId(number.value()));
        m_state.requests.refuse(step, request,
                                {Unauthorized, RequestOutcome::Rejected, std::nullopt,
                                 "its key was taken away while it waited"});
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
