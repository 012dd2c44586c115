#include "dispatcher.h"

#include <algorithm>
#include <utility>

namespace indigoway::dispatch {

namespace {

/**
 * Interval between evaluations of phase orders. Each one scans all engines, and orders only correct
 * differences that last for seconds.
 */
constexpr Duration OrderEvaluationInterval = std::chrono::milliseconds(250);
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
/** Time limit of a request if neither the caller nor the route sets one. */
constexpr Duration MaxRequestTime = std::chrono::minutes(10);
/**
 * Extra time for the server's own timeout answer, which is preferred to one generated here. Covers
 * the return path and timer granularity.
 */
constexpr Duration TimeoutGrace = std::chrono::milliseconds(120);
/** Servers are given whole milliseconds, and stop work between two events that they send. */
constexpr Duration ServerTimeMargin = std::chrono::milliseconds(20);
/**
 * Retry delay while no routing table is loaded; it arrives within a second of the first answer of
 * the store or a peer.
 */
constexpr Duration RoutingRetryDelay = std::chrono::milliseconds(400);
/**
 * Divisor of the caller's remaining time that gives the retry delay if the cause has no known
 * duration.
 */
constexpr int PatiencePerRetryDelay = 4;
/** Retry delay for callers of a draining node, who retry at other nodes. */
constexpr Duration DrainRetryDelay = std::chrono::milliseconds(20);
/** Expected time of a stream; streams that could exceed the shutdown time are rejected. */
constexpr Duration UsualStreamTime = std::chrono::milliseconds(6000);
/** Answers of late tell little of the next one's time. */
constexpr int AnswerTimeMargin = 2;

/** Returns the longest time that a request may be open. */
Duration longestTime(const OpenRequest &request)
{
    Duration longest = MaxRequestTime;
    if (request.route->timeout.count() > 0) {
        longest = std::min(longest, request.route->timeout);
    }
    return std::min(longest, request.arrival.patience.value_or(longest));
}

} // namespace

Dispatcher::Dispatcher(DispatchSettings settings, TimePoint startedAt)
    : m_state(std::move(settings), startedAt)
    , m_plain(m_state)
    , m_generations(m_state)
    , m_partCrashes(m_state)
    , m_crashDetector(m_state, m_partCrashes)
    , m_resumption(m_state)
    , m_versions(m_state)
    , m_quotas(m_state, startedAt)
    , m_lives(m_state)
{ }

void Dispatcher::setRoutes(std::shared_ptr<const RouteTable> table)
{
    m_table = std::move(table);
    m_hasNewRoutes = true;
    m_versions.setRoutes(*m_table);
    m_quotas.setEnabled(
        std::ranges::any_of(m_table->organisations(), [](const Organisation &organisation) {
            return organisation.quota.has_value();
        }));
}

void Dispatcher::setScheduler(std::optional<NodeName> name)
{
    m_quotas.setKeeper(name);
    m_state.permits.setLimiter(name);
    m_plain.setScheduler(name);
    m_generations.setScheduler(std::move(name));
}

void Dispatcher::setNodes(std::uint32_t nodes, TimePoint now)
{
    m_state.nodes = nodes;
    m_quotas.setNodeCount(nodes, now);
    m_state.permits.setNodeCount(nodes);
    m_state.nodesUpdatedAt = now;
    for (auto &[service, retryBudget] : m_state.retryBudgets) {
        retryBudget.setNodes(nodes, now);
    }
}

void Dispatcher::announce(AnnouncedServer server)
{
    m_versions.serverAnnounced(server);
    m_lives.serverAnnounced(server);
    if (const auto earlier = m_state.servers.announce(std::move(server))) {
        forget(*earlier);
        m_state.permits.forget(*earlier);
    }
}

void Dispatcher::withdraw(const ServerName &name, TimePoint now)
{
    m_state.servers.withdraw(name, now);
    m_versions.serversChanged();
}

void Dispatcher::remove(const ServerName &name)
{
    m_state.servers.remove(name);
    m_versions.serversChanged();
    forget(name);
}

void Dispatcher::forget(const ServerName &name)
{
    m_state.tracker.forget(name);
    m_plain.forget(name);
    m_generations.forget(name);
}

void Dispatcher::startDrain(TimePoint now, TimePoint endsAt)
{
    m_drainingSince = now;
    m_endsAt = endsAt;
}

bool Dispatcher::crashRecorded(const CrashNote &note, std::uint64_t revision, TimePoint now)
{
    const bool wasRefused = m_state.remainingRefusal(note.content, now).has_value();
    if (note.count == 0) {
        m_state.crashes.recordAnswer(note.content, revision, now);
    } else {
        m_state.crashes.recordCrash(note.content, note.count, revision, now);
    }
    return m_state.remainingRefusal(note.content, now).has_value() != wasRefused;
}

DispatchEffects Dispatcher::reduce(TimePoint now, std::uint64_t entropy, const DispatchEvent &event)
{
    DispatchEffects effects;
    Step step(now, entropy, effects);
    m_versions.review(now);
    m_lives.tick(step);
    std::visit([&](const auto &alternative) { handle(step, alternative); }, event);
    m_partCrashes.tick(step);
    rejectCrashing(step);
    quotasDecided(step, m_quotas.tick(step));
    tickPermits(step);
    originsDecided(step, m_resumption.tick(step));
    m_nextTick = earlier(earlier(m_generations.tick(step), m_plain.tick(step)),
                         earlier(m_quotas.nextTick(), m_state.permits.nextTick()));
    m_nextTick = earlier(m_nextTick, earlier(m_resumption.nextTick(), m_partCrashes.nextTick()));
    if (auto records = m_state.origins.takeStoreRecords(); !records.empty()) {
        step.add(RecordStreamOrigins {std::move(records)});
    }
    return effects;
}

std::optional<TimePoint> Dispatcher::nextDeadline() const
{
    const bool needsEnd = m_drainingSince && m_state.requests.size() > 0;
    const auto next = earlier(m_timeouts.next(), m_nextTick);
    return needsEnd ? earlier(next, m_endsAt) : next;
}

void Dispatcher::handle(Step &step, const ArrivedRequest &event)
{
    OpenRequest request;
    request.arrival = event;
    request.table = m_table;
    request.arrived = step.now;
    const bool isServed =
        findRoute(step, request) && admitCaller(step, request) && isAcceptable(step, request);
    if (!isServed) {
        return; // The request has been answered.
    }
    request.deadline = step.now + longestTime(request);
    m_timeouts.set(event.request, request.deadline + TimeoutGrace);
    OpenRequest &added = m_state.requests.add(std::move(request));
    if (!StreamResumption::isResumption(added)) {
        serve(step, added);
        return;
    }
    originsDecided(step, {{event.request, m_resumption.begin(step, added)}});
}

void Dispatcher::serve(Step &step, OpenRequest &request)
{
    const bool hasService = request.service || chooseService(step, request);
    if (hasService && m_state.remainingRefusal(request, step.now)) {
        m_timeouts.clear(request.arrival.request);
        m_state.rejectCrashing(step, request);
    } else if (hasService) {
        quotasDecided(step, {{request.arrival.request, m_quotas.begin(step, request)}});
    }
}

void Dispatcher::originsDecided(Step &step, const AdmissionOutcomes &outcomes)
{
    for (const AdmissionOutcome &outcome : outcomes) {
        if (outcome.step == AdmissionStep::Passed) {
            if (OpenRequest *request = m_state.requests.find(outcome.request)) {
                serve(step, *request);
            }
        } else if (outcome.step == AdmissionStep::Rejected) {
            m_timeouts.clear(outcome.request);
        }
    }
}

void Dispatcher::handle(Step &step, const OriginMessageArrived &event)
{
    originsDecided(step, m_resumption.messageArrived(step, event));
}

void Dispatcher::handle(Step &step, const StoredOriginsRead &event)
{
    originsDecided(step, m_resumption.storeRead(step, event));
}

bool Dispatcher::findRoute(Step &step, OpenRequest &request)
{
    const ArrivedRequest &arrival = request.arrival;
    if (!m_table) {
        rejectArrival(step, arrival, ServiceUnavailable, step.jitter(RoutingRetryDelay),
                      "no routing known yet");
        return false;
    }
    request.route = m_table->find(arrival.host, arrival.path.substr(0, arrival.path.find('?')));
    if (request.route) {
        return true;
    }
    if (isFreshEnough(arrival.copyAge, m_state.settings.mostCopyAge)) {
        rejectArrival(step, arrival, NotFound, std::nullopt,
                      "no route version=" + std::to_string(m_table->version()));
    } else {
        rejectStaleConfiguration(step, arrival);
    }
    return false;
}

bool Dispatcher::admitCaller(Step &step, OpenRequest &request)
{
    const ArrivedRequest &arrival = request.arrival;
    const Admission admission = admit(*m_table, *request.route, arrival.credentials,
                                      arrival.copyAge, m_state.settings.mostCopyAge);
    if (const auto *admitted = std::get_if<Admitted>(&admission)) {
        request.organisation = admitted->organisation;
        return true;
    }
    if (std::holds_alternative<CopyTooOld>(admission)) {
        rejectStaleConfiguration(step, arrival);
    } else {
        rejectArrival(step, arrival, Unauthorized, std::nullopt, unknownKeyText(arrival));
    }
    return false;
}

bool Dispatcher::chooseService(Step &step, OpenRequest &request)
{
    const ServiceName *name = pickService(*request.route, step.random());
    request.service = name ? m_table->service(*name) : nullptr;
    if (request.service) {
        return true;
    }
    m_timeouts.clear(request.arrival.request);
    m_state.requests.reject(step, request, step.jitter(RoutingRetryDelay),
                            "route without a service");
    return false;
}

bool Dispatcher::isAcceptable(Step &step, const OpenRequest &request)
{
    const ContentId &content = request.arrival.content;
    if (const auto refused = m_state.remainingRefusal(content, step.now)) {
        rejectArrival(step, request.arrival, ServiceUnavailable, refused,
                      CrashesServers + (" content=" + content.text()));
        return false;
    }
    if (exceedsShutdown(step.now, request)) {
        rejectArrival(step, request.arrival, ServiceUnavailable, DrainRetryDelay, "leaving");
        return false;
    }
    return true;
}

void Dispatcher::handle(Step &step, const QuotaKeeperAnswered &event)
{
    quotasDecided(step, m_quotas.messageArrived(step, event));
}

void Dispatcher::quotasDecided(Step &step, const AdmissionOutcomes &outcomes)
{
    for (const AdmissionOutcome &outcome : outcomes) {
        if (outcome.step == AdmissionStep::Passed) {
            if (OpenRequest *request = m_state.requests.find(outcome.request)) {
                flowOf(*request).begin(step, *request);
            }
        } else if (outcome.step == AdmissionStep::Rejected) {
            m_timeouts.clear(outcome.request);
        }
    }
}

void Dispatcher::handle(Step &step, const RateLimiterAnswered &event)
{
    if (const auto *notice = std::get_if<ratelimits::LimitNotice>(&event.message)) {
        for (const ratelimits::KnownLimit &limit :
             m_state.permits.handleNotice(step.now, *notice)) {
            step.add(LogDecision {
                "server_limit",
                {},
                "server=" + limit.server.text() + " per_s=" + std::to_string(limit.perSecond)
                    + " from=notice announced_ago_ms=" + millisecondsText(limit.announcedAgo)});
        }
        return;
    }
    const auto &answer = std::get<ratelimits::PermitAnswer>(event.message);
    if (const auto result = m_state.permits.handleAnswer(step.now, answer)) {
        if (result->hasLimitEnded) {
            step.add(LogDecision {
                "server_limit", {}, "server=" + result->server.text() + " per_s=- from=limiter"});
        }
        permitDecided(step, *result);
    }
}

void Dispatcher::tickPermits(Step &step)
{
    ratelimits::ServerPermits::Messages messages;
    const auto results = m_state.permits.tick(step.now, messages);
    sendToRateLimiter(step, std::move(messages));
    if (!results.empty() && !m_state.permits.isLimiterReachable(step.now)) {
        step.add(
            LogDecision {"rate_limiter_silent", {}, "permits=" + std::to_string(results.size())});
    }
    for (const ratelimits::PermitResult &result : results) {
        permitDecided(step, result);
    }
}

void Dispatcher::permitDecided(Step &step, const ratelimits::PermitResult &result)
{
    OpenRequest *request = m_state.requests.find(result.request);
    if (!request || request->stage != Stage::AwaitingPermit) {
        return;
    }
    if (!result.isGranted) {
        m_state.recordRefusedPermit(step, *request, result.server);
    }
    flowOf(*request).permitDecided(step, *request, result.server, result.isGranted);
}

void Dispatcher::withdraw(Step &step, OpenRequest &request)
{
    const RequestNumber number = request.arrival.request;
    m_timeouts.clear(number);
    m_quotas.abandon(number);
    m_state.permits.abandon(number);
    m_state.origins.abandon(number);
    m_state.storeLookups.abandon(number);
    flowOf(request).release(step, request);
}

void Dispatcher::handle(Step &step, const CallerLeft &event)
{
    OpenRequest *request = m_state.requests.find(event.request);
    if (!request) {
        return;
    }
    withdraw(step, *request);
    m_state.requests.closeDisconnected(step, *request);
}

void Dispatcher::handle(Step &step, const StreamStarted &event)
{
    const OpenCall *call = m_state.calls.find(event.call);
    if (call && event.advice) {
        m_state.recordAdvice(step, call->server.name, *event.advice, call->started);
    }
    OpenRequest *request = call ? m_state.requests.find(call->request) : nullptr;
    if (!request || request->call != event.call) {
        step.add(AbandonCall {event.call});
        return;
    }
    if (!m_lives.streamStarted(step, *request)) {
        rejectAnswer(step, event.call);
        return;
    }
    m_partCrashes.writingBegan(step, *request);
    flowOf(*request).streamStarted(step, *request, event);
}

void Dispatcher::handle(Step &step, const StreamSilent &event)
{
    const OpenCall *call = m_state.calls.find(event.call);
    OpenRequest *request = call ? m_state.requests.find(call->request) : nullptr;
    if (request && request->call == event.call && request->isGeneration()) {
        m_generations.streamSilent(step, *request, event);
    }
}

void Dispatcher::handle(Step &step, const StreamProgress &event)
{
    const OpenCall *call = m_state.calls.find(event.call);
    OpenRequest *request = call ? m_state.requests.find(call->request) : nullptr;
    if (request && request->call == event.call) {
        request->forwardedEvents = std::max(request->forwardedEvents, event.events);
        request->run.progressAt = step.now;
        m_lives.eventCame(step, *request);
    }
}

void Dispatcher::handle(Step &step, const CallEnded &event)
{
    const auto call = m_state.calls.take(event.call);
    if (!call) {
        return;
    }
    if (event.advice) {
        m_state.recordAdvice(step, call->server.name, *event.advice, call->started);
    }
    if (call->kind == CallKind::Report && call->request.isNone()) {
        m_generations.phases().reportEnded(step, *call, event);
        return;
    }
    if (call->kind == CallKind::Order) {
        m_generations.phases().orderEnded(step, *call, event);
        return;
    }
    if (call->kind == CallKind::Probe && call->request.isNone()) {
        m_crashDetector.probeEnded(step, *call, event);
        return;
    }
    OpenRequest *request = m_state.requests.find(call->request);
    if (request && (carriesRequest(call->kind) || call->kind == CallKind::Reserve)) {
        recordCallResult(step, *call, *request, event);
    }
    if (request && call->kind == CallKind::StopRun) {
        m_generations.stopEnded(step, *request, *call, event);
        return;
    }
    if (request && call->kind == CallKind::Probe) {
        m_generations.engineChecked(step, *request, *call, event);
        return;
    }
    if (request && call->kind == CallKind::Report && request->call != event.call) {
        m_lives.reportEnded(step, *request, *call, event);
        return;
    }
    if (!request || request->call != event.call) {
        RequestFlow &flow =
            call->kind == CallKind::Plain ? static_cast<RequestFlow &>(m_plain) : m_generations;
        flow.orphanedCallEnded(step, *call, event);
        return;
    }
    m_lives.callEnded(step, *request, event);
    if (mayBeOutOfTime(step.now, *call, event)) {
        m_state.tracker.callClosed(call->server.name);
        request->call = {};
        timeOut(step, *request, "closed by the server when its time was over");
        return;
    }
    flowOf(*request).callEnded(step, *request, *call, event);
}

bool Dispatcher::mayBeOutOfTime(TimePoint now, const OpenCall &call, const CallEnded &event)
{
    constexpr int FirstFailure = 400;
    if (!event.isEndedByClose || event.end != CallEnd::Complete || event.status >= FirstFailure
        || !carriesRequest(call.kind) || call.kind == CallKind::Prefill) {
        return false;
    }
    const Duration lasted = std::max(event.lasted, Duration(now - call.started));
    return lasted + ServerTimeMargin >= call.patience;
}

void Dispatcher::rejectAnswer(Step &step, CallNumber call)
{
    step.add(AbandonCall {call});
    CallEnded ended;
    ended.call = call;
    ended.end = CallEnd::Broken;
    ended.reason = "the server has started again with another version";
    handle(step, ended);
}

void Dispatcher::recordCallResult(Step &step, const OpenCall &call, const OpenRequest &request,
                                  const CallEnded &event)
{
    const bool runsContent = carriesRequest(call.kind);
    const bool isLost = event.isConnectionLost && runsContent;
    if (isLost || (event.end == CallEnd::Broken && request.isGeneration())) {
        m_crashDetector.callBroken(step, call, request, event);
    } else if (event.end == CallEnd::Complete && runsContent && call.kind != CallKind::Prefill) {
        m_crashDetector.recordAnswer(step, request.arrival.content);
        m_partCrashes.answered(step, request, event);
    }
}

void Dispatcher::handle(Step &step, const SchedulerAnswered &event)
{
    m_generations.schedulerAnswered(step, event);
}

void Dispatcher::handle(Step &step, const PlainSchedulerAnswered &event)
{
    m_plain.schedulerAnswered(step, event);
}

void Dispatcher::handle(Step &step, const PartCrashesArrived &event)
{
    m_partCrashes.notesArrived(step, event);
}

void Dispatcher::handle(Step &step, const TimePassed & /*event*/)
{
    if (std::exchange(m_hasNewRoutes, false)) {
        rejectRevokedKeys(step);
    }
    for (const RequestNumber number : m_timeouts.takeDue(step.now)) {
        if (OpenRequest *request = m_state.requests.find(number)) {
            timeOut(step, *request, "time is up");
        }
    }
    if (m_drainingSince && step.now >= m_endsAt) {
        answerBeforeEnd(step);
    }
    for (const ServerName &name : m_state.servers.purgeWithdrawn(step.now)) {
        forget(name);
        m_versions.serversChanged();
    }
    m_state.crashes.removeExpired(step.now);
    m_state.crashingParts.removeExpired(step.now);
    m_state.permits.removeGone(
        step.now, [this](const ServerName &name) { return m_state.servers.find(name) != nullptr; });
    const bool isEvaluationDue =
        m_orderToken || step.now >= m_lastOrderEvaluation + OrderEvaluationInterval;
    if (m_holdsOrderRight && m_table && !m_drainingSince && isEvaluationDue) {
        m_lastOrderEvaluation = step.now;
        m_generations.phases().requestWork(step, *m_table);
        m_generations.phases().orderPhases(step, *m_table, m_orderToken);
    }
    // A token is valid for one evaluation only, as the order right may end in between.
    m_orderToken.reset();
}

bool Dispatcher::exceedsShutdown(TimePoint now, const OpenRequest &request) const
{
    const Duration longest = longestTime(request) + TimeoutGrace;
    if (!m_drainingSince || now + longest <= m_endsAt) {
        return false;
    }
    const Route &route = *request.route;
    if (!route.isStream && route.repetition == Repetition::AtMostOnce) {
        return true; // Its caller could not send it again if it were cut.
    }
    const auto learnt = m_state.requests.answerTimes().longest(route.name, now);
    Duration expected = learnt ? std::min(*learnt * AnswerTimeMargin, longest) : longest;
    if (route.isStream) {
        expected = std::min(longest, std::max(learnt.value_or(Duration(0)), UsualStreamTime));
    }
    return now + expected > m_endsAt;
}

void Dispatcher::answerBeforeEnd(Step &step)
{
    std::vector<RequestNumber> numbers;
    for (const auto &[number, request] : m_state.requests.all()) {
        if (!request.isForwarding) {
            numbers.push_back(number);
        }
    }
    for (const RequestNumber number : numbers) {
        timeOut(step, *m_state.requests.find(number), "the node ends");
    }
}

void Dispatcher::timeOut(Step &step, OpenRequest &request, const std::string &reason)
{
    const bool mayHaveExecuted = request.mayHaveExecuted();
    withdraw(step, request);
    if (request.isForwarding) {
        m_state.requests.abortStream(step, request, reason);
    } else if (mayHaveExecuted) {
        m_state.requests.failInDoubt(step, request, GatewayTimeout, reason);
    } else {
        m_state.requests.reject(step, request, step.jitter(RoutingRetryDelay), reason);
    }
}

void Dispatcher::rejectStaleConfiguration(Step &step, const ArrivedRequest &event)
{
    // Another node may have a newer configuration.
    const Duration wait =
        event.patience ? *event.patience / PatiencePerRetryDelay : RoutingRetryDelay;
    rejectArrival(step, event, ServiceUnavailable, step.jitter(wait),
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

void Dispatcher::rejectRevokedKeys(Step &step)
{
    std::vector<RequestNumber> numbers;
    for (const auto &[number, request] : m_state.requests.all()) {
        const bool hasLostKey = request.table->wantsKeys() && !request.route->isOpen
            && request.organisation && request.arrival.credentials.key
            && !m_table->organisationByKey(*request.arrival.credentials.key);
        if (hasLostKey && !request.mayHaveExecuted()) {
            numbers.push_back(number);
        }
    }
    for (const RequestNumber number : numbers) {
        OpenRequest &request = *m_state.requests.find(number);
        withdraw(step, request);
        m_state.requests.refuse(step, request,
                                {Unauthorized, RequestOutcome::Rejected, std::nullopt,
                                 "its key was taken away while it waited"});
    }
}

void Dispatcher::rejectCrashing(Step &step)
{
    if (!m_partCrashes.takeNewRefusals()) {
        return;
    }
    std::vector<RequestNumber> numbers;
    for (const auto &[number, request] : m_state.requests.all()) {
        if (!request.isForwarding && m_state.remainingRefusal(request, step.now)) {
            numbers.push_back(number);
        }
    }
    for (const RequestNumber number : numbers) {
        OpenRequest &request = *m_state.requests.find(number);
        withdraw(step, request);
        m_state.rejectCrashing(step, request);
    }
}

void Dispatcher::rejectArrival(Step &step, const ArrivedRequest &event, int status,
                               std::optional<Duration> retryAfter, const std::string &reason)
{
    step.add(RejectRequest {event.request, status, retryAfter, reason});
    step.add(LogDecision {"request_unserved", event.callerId,
                          "status=" + std::to_string(status) + " host=" + event.host
                              + " path=" + event.path + " " + reason});
}

RequestFlow &Dispatcher::flowOf(const OpenRequest &request)
{
    if (request.isGeneration()) {
        return m_generations;
    }
    return m_plain;
}

} // namespace indigoway::dispatch
