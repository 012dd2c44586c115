#include "schedulerclaims.h"

#include "core/deadlines.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

using namespace scheduling;

/** Round trip time with a margin for a busy scheduler. */
constexpr Duration UnansweredRepeatInterval = std::chrono::milliseconds(80);
/** Interval for queued claims, whose grant may have been lost. */
constexpr Duration QueuedRepeatInterval = std::chrono::milliseconds(150);
/**
 * A queued claim is repeated when a blocked engine becomes usable, but no sooner than this after
 * the last message. Bounds the datagrams if many engines become usable one after another.
 */
constexpr Duration MinRepeatInterval = std::chrono::milliseconds(25);
/**
 * Consecutive losses that rule out random datagram loss: a bad link loses one datagram in twenty.
 */
constexpr std::uint32_t MaxUnanswered = 3;
constexpr std::size_t MaxExcludedServers = 20; ///< Of a claim, which must fit into a datagram.
/** Time until a killed node restarts or another one takes over. */
constexpr Duration UnavailableTime = std::chrono::milliseconds(1000);

} // namespace

void SchedulerClaims::setScheduler(std::optional<NodeName> name)
{
    m_scheduler = std::move(name);
    m_unavailableUntil = {};
    m_hasReportedReservations = !m_scheduler;
}

void SchedulerClaims::claim(Step &step, OpenRequest &request, const DomainName &domain,
                            Duration maxWait)
{
    Claim message = makeClaim(step, request, domain, maxWait);
    request.claim = message.claim;
    add(step, request, std::move(message),
        {request.triedServers.begin(), request.triedServers.end()});
}

void SchedulerClaims::claimTarget(Step &step, OpenRequest &request, const DomainName &domain,
                                  Duration maxWait)
{
    Claim message = makeClaim(step, request, domain, maxWait);
    const std::uint64_t made =
        std::uint64_t {request.forwardedEvents} * request.service->engine->tokensPerEvent;
    message.promptTokens = 0;
    message.memory.contextTokens += made;
    message.memory.outputTokens -= std::min(message.memory.outputTokens, made);
    message.urgency = Urgency::Resumed;
    request.run.targetClaim = message.claim;
    std::vector<ServerName> failedServers {request.decodeServer};
    failedServers.insert(failedServers.end(), request.triedServers.begin(),
                         request.triedServers.end());
    add(step, request, std::move(message), std::move(failedServers));
}

void SchedulerClaims::add(Step &step, const OpenRequest &request, Claim message,
                          std::vector<ServerName> failedServers)
{
    PendingClaim &pending = m_pending[message.claim];
    pending = {request.arrival.request,
               std::move(message),
               std::move(failedServers),
               step.now,
               1,
               std::nullopt};
    sendClaim(step, pending);
}

void SchedulerClaims::sendClaim(Step &step, PendingClaim &pending) const
{
    Claim &message = pending.message;
    message.excludedServers = pending.failedServers;
    pending.usableAt.reset();
    for (const ServerName &server : m_state.unusableServers(message.service, step.now)) {
        if (message.excludedServers.size() < MaxExcludedServers) {
            message.excludedServers.push_back(server);
        }
        pending.usableAt = earlier(pending.usableAt, m_state.blockedUntil(server, step.now));
    }
    send(step, message);
}

void SchedulerClaims::endTarget(Step &step, OpenRequest &request, ClaimOutcome result)
{
    const ClaimId claim = std::exchange(request.run.targetClaim, {});
    request.run.target = {};
    request.run.targetBackup = {};
    if (!claim.isNone()) {
        m_pending.erase(claim);
        send(step, ClaimEnded {claim, result});
    }
}

void SchedulerClaims::adoptTarget(Step &step, OpenRequest &request, ClaimOutcome result)
{
    end(step, request, result);
    request.claim = std::exchange(request.run.targetClaim, {});
    request.run.target = {};
    request.run.backup = std::exchange(request.run.targetBackup, {});
}

Claim SchedulerClaims::makeClaim(const Step &step, const OpenRequest &request,
                                 const DomainName &domain, Duration maxWait)
{
    const bool readsWhole =
        request.arrival.isContinuation || request.isForwarding || request.readsWhole;
    Claim message;
    message.claim = ClaimId(++m_lastClaim);
    message.service = request.service->name;
    message.domain = domain;
    message.promptTokens = readsWhole ? 0 : request.arrival.promptTokens;
    message.memory = request.memory;
    message.version = request.boundVersion;
    message.urgency = request.urgency();
    message.priority = request.priority();
    message.maxWait = maxWait;
    message.timeToTarget = request.arrived + request.route->target - step.now;
    message.maxDuration = request.deadline - step.now;
    if (request.organisation) {
        message.organisation = request.organisation->name;
    }
    message.wantsBackup = request.service->engine && request.service->engine->keepsBackups;
    return message;
}

void SchedulerClaims::reportReservation(Step &step, OpenRequest &request)
{
    if (!isAvailable(step.now)) {
        return;
    }
    if (request.claim.isNone()) {
        request.claim = ClaimId(++m_lastClaim);
    }
    ReservationReport report {request.claim,        request.service->name,       request.memory,
                              request.decodeServer, request.deadline - step.now, std::nullopt};
    report.backupServer = request.run.backup;
    if (request.firstAnswerAt != TimePoint {}) {
        report.elapsedDecodeTime = step.now - request.firstAnswerAt;
    }
    send(step, std::move(report));
}

void SchedulerClaims::prefillEnded(Step &step, const OpenRequest &request, bool isDone, CallEnd end)
{
    // Without a path nothing is known of the engine, and the prompt is sent to another one.
    if (!request.claim.isNone() && end != CallEnd::NoPath) {
        send(step,
             PrefillEnded {request.claim, isDone, end != CallEnd::NotConnected, isCutShort(end)});
    }
}

void SchedulerClaims::runMoved(Step &step, const OpenRequest &request)
{
    if (!request.claim.isNone()) {
        send(step, RunMoved {request.claim});
    }
}

void SchedulerClaims::end(Step &step, OpenRequest &request, ClaimOutcome result)
{
    if (request.claim.isNone()) {
        return;
    }
    m_pending.erase(request.claim);
    // The claim of a run that has continued elsewhere covers only a part of the answer.
    const bool isWhole = result == ClaimOutcome::Served && request.run.continuations == 0;
    const std::uint64_t made = isWhole
        ? std::uint64_t {request.forwardedEvents} * request.service->engine->tokensPerEvent
        : 0;
    send(step, ClaimEnded {request.claim, result, made});
    request.claim = {};
}

std::optional<RequestNumber> SchedulerClaims::answered(Step &step, const FromScheduler &message,
                                                       Incarnation life, OpenRequests &requests)
{
    const bool isNew = life != m_schedulerIncarnation;
    m_schedulerIncarnation = life;
    m_unavailableUntil = {};
    if (isNew) {
        reportAllReservations(step, requests);
    }
    const ClaimId claim = scheduling::claimOf(message);
    const auto it = m_pending.find(claim);
    if (it == m_pending.end()) {
        if (std::holds_alternative<ClaimGranted>(message)) {
            // The request has ended, or this node chose engines for it.
            const bool isInUse = std::ranges::any_of(requests.all(), [claim](const auto &one) {
                return one.second.claim == claim || one.second.run.targetClaim == claim;
            });
            if (!isInUse) {
                send(step, ClaimEnded {claim, ClaimOutcome::Cancelled});
            }
        }
        return std::nullopt;
    }
    it->second.unanswered = 0;
    it->second.sentAt = step.now;
    if (std::holds_alternative<ClaimQueued>(message)) {
        return std::nullopt;
    }
    const RequestNumber request = it->second.request;
    m_pending.erase(it);
    return request;
}

void SchedulerClaims::reportAllReservations(Step &step, OpenRequests &requests)
{
    for (auto &[number, request] : requests.all()) {
        if (!request.decodeServer.isEmpty()) {
            reportReservation(step, request);
        }
    }
}

std::vector<RequestNumber> SchedulerClaims::tick(Step &step, OpenRequests &requests)
{
    if (!m_hasReportedReservations) {
        // Waiting for the next claim could take seconds, in which the new scheduler would grant
        // memory in use.
        m_hasReportedReservations = true;
        reportAllReservations(step, requests);
    }
    if (!m_pending.empty() && !m_scheduler) {
        return withdrawAll(step, requests);
    }
    for (auto &[number, pending] : m_pending) {
        if (step.now < repeatTime(pending)) {
            continue;
        }
        if (pending.unanswered >= MaxUnanswered) {
            m_unavailableUntil = step.now + UnavailableTime;
            step.add(LogDecision {"scheduler_silent",
                                  {},
                                  "scheduler=" + m_scheduler->text()
                                      + " claims=" + std::to_string(m_pending.size())});
            return withdrawAll(step, requests);
        }
        ++pending.unanswered;
        pending.message.timeToTarget -= step.now - pending.sentAt;
        pending.message.maxDuration -= step.now - pending.sentAt;
        pending.sentAt = step.now;
        sendClaim(step, pending);
    }
    return {};
}

std::optional<TimePoint> SchedulerClaims::nextTick() const
{
    std::optional<TimePoint> next;
    for (const auto &[number, pending] : m_pending) {
        next = earlier(next, repeatTime(pending));
    }
    return next;
}

TimePoint SchedulerClaims::repeatTime(const PendingClaim &pending)
{
    if (pending.unanswered > 0) {
        return pending.sentAt + UnansweredRepeatInterval;
    }
    const TimePoint regular = pending.sentAt + QueuedRepeatInterval;
    return pending.usableAt
        ? std::min(regular, std::max(*pending.usableAt, pending.sentAt + MinRepeatInterval))
        : regular;
}

std::vector<RequestNumber> SchedulerClaims::withdrawAll(Step &step, OpenRequests &requests)
{
    std::vector<RequestNumber> withdrawn;
    for (const auto &[number, pending] : m_pending) {
        withdrawn.push_back(pending.request);
        if (OpenRequest *request = requests.find(pending.request)) {
            ClaimId &claim =
                request->run.targetClaim == number ? request->run.targetClaim : request->claim;
            claim = {};
        }
        // A scheduler that is still running must not hold capacity for these claims.
        send(step, ClaimEnded {number, ClaimOutcome::Cancelled});
    }
    m_pending.clear();
    return withdrawn;
}

void SchedulerClaims::send(Step &step, ToScheduler message) const
{
    step.add(SendToScheduler {std::move(message)});
}

} // namespace indigoway::dispatch
