#include "plainflow.h"

#include "dispatch/streamresumption.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

constexpr int FirstServerErrorStatus = 500;
constexpr int BadGateway = 502;
/**
 * Idle timeout of an idempotent request in multiples of its route's target. Healthy answers take a
 * fifth of the target at the median, and half of the caller's time remains for another server.
 */
constexpr int IdleTimeoutInTargets = 2;
/** Maximum of servers tried by calls that were not executed. */
constexpr std::size_t MaxServersTried = 4;
/** Retry delay after a rejection; about the queueing time of a full server. */
constexpr Duration RetryDelay = std::chrono::milliseconds(250);
/** Cost of a server in another failure domain: the network round trip. */
constexpr double OtherDomainPenaltyMilliseconds = 3;
/** Limits the unusable servers that a slot claim names, so that it fits into a datagram. */
constexpr std::size_t MaxExcludedServers = 20;

void sendToPlainScheduler(Step &step, slots::SlotClaims::Messages messages)
{
    for (slots::ToPlainScheduler &message : messages) {
        step.add(SendToPlainScheduler {std::move(message)});
    }
}

slots::SlotOutcome slotOutcomeOf(const CallEnded &event)
{
    switch (event.end) {
    case CallEnd::Complete:
        return event.status < FirstServerErrorStatus ? slots::SlotOutcome::Answered
                                                     : slots::SlotOutcome::ServerError;
    case CallEnd::NotExecuted:
        return slots::SlotOutcome::Rejected;
    case CallEnd::NotConnected:
        return slots::SlotOutcome::Unreachable;
    case CallEnd::NoPath:
    case CallEnd::PathLost:
        return slots::SlotOutcome::Cancelled;
    case CallEnd::Broken:
        break;
    }
    // While this node does not reach the server itself, the failure may be its own.
    return event.isPathSuspect ? slots::SlotOutcome::Cancelled : slots::SlotOutcome::Broken;
}

} // namespace

void PlainFlow::begin(Step &step, OpenRequest &request)
{
    m_state.retryBudget(request.service->name).recordRequest(step.now);
    send(step, request);
}

void PlainFlow::streamStarted(Step &step, OpenRequest &request, const StreamStarted &event)
{
    // Plain services may stream, too.
    OpenRequests::recordFirstEvent(step, request);
    request.isForwarding = true;
    request.firstAnswerAt = step.now;
    recordStreamOrigin(step, m_state, request);
    step.add(ForwardStream {request.arrival.request, event.call});
}

void PlainFlow::callEnded(Step &step, OpenRequest &request, const OpenCall &call,
                          const CallEnded &event)
{
    const ServerName server = call.server.name;
    request.call = {};
    if (event.load) {
        m_state.tracker.recordLoad(server, *event.load, step.now);
        m_slots.recordLoad(request.service->name, server, *event.load, step.now);
    }
    if (event.isLoadMalformed) {
        step.add(LogDecision {"server_load_malformed", request.arrival.callerId,
                              "server=" + server.text()});
    }
    const slots::SlotOutcome outcome = slotOutcomeOf(event);
    const bool isVerdict = outcome != slots::SlotOutcome::Cancelled;
    endSlot(step, request, outcome, isVerdict ? step.now - call.started : Duration(0), event.load);
    switch (event.end) {
    case CallEnd::Complete:
        handleAnswer(step, request, call, event);
        return;
    case CallEnd::NotExecuted:
        m_state.tracker.recordRejection(server);
        --request.executions;
        handleRejection(step, request, event.reason);
        return;
    case CallEnd::NotConnected:
    case CallEnd::NoPath:
        m_state.tracker.recordUnreachable(server, step.now);
        --request.executions;
        --request.countedCalls;
        handleRejection(step, request, event.reason);
        return;
    case CallEnd::Broken:
        m_state.tracker.recordFailure(server, step.now);
        handleFailure(step, request, event);
        return;
    case CallEnd::PathLost:
        m_state.tracker.callClosed(server);
        handleFailure(step, request, event);
        return;
    }
}

void PlainFlow::orphanedCallEnded(Step & /*step*/, const OpenCall &call,
                                  const CallEnded & /*event*/)
{
    m_state.tracker.callClosed(call.server.name);
}

void PlainFlow::release(Step &step, OpenRequest &request)
{
    const Duration answerTime =
        request.call.isNone() ? Duration(0) : Duration(step.now - request.callStarted);
    endSlot(step, request, slots::SlotOutcome::Cancelled, answerTime, std::nullopt);
    if (!request.call.isNone()) {
        m_state.calls.abandon(step, request.call);
        request.call = {};
    }
}

std::optional<TimePoint> PlainFlow::tick(Step &step)
{
    slots::SlotClaims::Messages messages;
    const auto decisions = m_slots.tick(step.now, messages);
    sendToPlainScheduler(step, std::move(messages));
    if (!decisions.empty()) {
        step.add(LogDecision {
            "plain_scheduler_silent", {}, "claims=" + std::to_string(decisions.size())});
    }
    for (const slots::SlotDecision &decision : decisions) {
        slotDecided(step, decision);
    }
    return m_slots.nextTick();
}

void PlainFlow::schedulerAnswered(Step &step, const PlainSchedulerAnswered &event)
{
    slots::SlotClaims::Messages messages;
    const auto decision = m_slots.handleAnswer(step.now, event.message, event.life, messages);
    sendToPlainScheduler(step, std::move(messages));
    if (decision) {
        slotDecided(step, *decision);
    }
}

bool PlainFlow::claimSlot(Step &step, OpenRequest &request)
{
    const ServiceName &service = request.service->name;
    // The scheduling node does not know which servers may continue a stream.
    if (!m_slots.isScheduled(service) || !m_slots.isAvailable() || request.boundVersion
        || !pickServer(step, request)) {
        return false;
    }
    slots::SlotClaim claim;
    claim.service = service;
    claim.route = request.route->name;
    claim.domain = m_state.settings.domain;
    claim.priority = request.priority();
    claim.timeToTarget = request.arrived + request.route->target - step.now;
    claim.timeLeft = std::max(Duration(0), Duration(request.deadline - step.now));
    claim.excludedServers.assign(request.triedServers.begin(), request.triedServers.end());
    for (const ServerName &server : m_state.unusableServers(service, step.now)) {
        if (claim.excludedServers.size() < MaxExcludedServers) {
            claim.excludedServers.push_back(server);
        }
    }
    slots::SlotClaims::Messages messages;
    request.slotClaim =
        m_slots.claim(step.now, request.arrival.request, std::move(claim), messages);
    request.stage = Stage::AwaitingSlot;
    sendToPlainScheduler(step, std::move(messages));
    return true;
}

void PlainFlow::slotDecided(Step &step, const slots::SlotDecision &decision)
{
    OpenRequest *request = m_state.requests.find(decision.request);
    if (!request || request->stage != Stage::AwaitingSlot || request->slotClaim != decision.claim) {
        return;
    }
    request->stage = Stage::Calling;
    const std::string detail = "claim=" + std::to_string(decision.claim.value()) + " service="
        + request->service->name.text() + " waited_ms=" + millisecondsText(decision.waited);
    switch (decision.kind) {
    case slots::SlotDecision::Kind::Granted:
        step.add(LogDecision {"slot_granted", request->arrival.callerId,
                              detail + " server=" + decision.server.text()});
        sendToGranted(step, *request, decision.server);
        return;
    case slots::SlotDecision::Kind::Refused:
        step.add(LogDecision {"slot_refused", request->arrival.callerId,
                              detail
                                  + " expected_wait_ms=" + millisecondsText(decision.expectedWait)
                                  + " executions=" + std::to_string(request->executions)});
        request->slotClaim = {};
        if (request->executions == 0) {
            m_state.requests.reject(step, *request,
                                    step.jitter(std::max(decision.expectedWait, RetryDelay)),
                                    "no slot in time");
            return;
        }
        // An earlier call may have been executed, so that the request must not be rejected.
        sendLocally(step, *request);
        return;
    case slots::SlotDecision::Kind::Local:
        request->slotClaim = {};
        sendLocally(step, *request);
        return;
    }
}

void PlainFlow::sendToGranted(Step &step, OpenRequest &request, const ServerName &name)
{
    if (!isUsable(name, step.now)) {
        endSlot(step, request, slots::SlotOutcome::Cancelled, Duration(0), std::nullopt);
        sendLocally(step, request);
        return;
    }
    if (m_state.remainingRefusal(request, step.now)) {
        endSlot(step, request, slots::SlotOutcome::Cancelled, Duration(0), std::nullopt);
        sendLocally(step, request);
        return;
    }
    switch (m_state.requestPermit(step, request, name)) {
    case ratelimits::PermitDecision::Granted:
        sendTo(step, request, *m_state.servers.find(name));
        return;
    case ratelimits::PermitDecision::Pending:
        request.stage = Stage::AwaitingPermit;
        return;
    case ratelimits::PermitDecision::Refused:
        endSlot(step, request, slots::SlotOutcome::Cancelled, Duration(0), std::nullopt);
        sendLocally(step, request);
        return;
    }
}

void PlainFlow::endSlot(Step &step, OpenRequest &request, slots::SlotOutcome outcome,
                        Duration answerTime, const std::optional<ServerLoad> &load)
{
    if (request.slotClaim.isNone()) {
        return;
    }
    slots::SlotClaims::Messages messages;
    m_slots.end(request.slotClaim, outcome, answerTime, load, messages);
    request.slotClaim = {};
    sendToPlainScheduler(step, std::move(messages));
}

bool PlainFlow::isUsable(const ServerName &name, TimePoint now) const
{
    return m_state.servers.find(name) && !m_state.isBlocked(name, now)
        && m_state.servers.availability(name, now) != ServerAvailability::Leaving;
}

void PlainFlow::permitDecided(Step &step, OpenRequest &request, const ServerName &server,
                              bool isGranted)
{
    request.stage = Stage::Calling;
    if (isGranted && isUsable(server, step.now) && request.accepts(*m_state.servers.find(server))
        && !m_state.remainingRefusal(request, step.now)) {
        sendTo(step, request, *m_state.servers.find(server));
        return;
    }
    endSlot(step, request, slots::SlotOutcome::Cancelled, Duration(0), std::nullopt);
    sendLocally(step, request);
}

void PlainFlow::send(Step &step, OpenRequest &request)
{
    if (m_state.remainingRefusal(request, step.now) || !claimSlot(step, request)) {
        sendLocally(step, request);
    }
}

void PlainFlow::sendLocally(Step &step, OpenRequest &request)
{
    if (refuseCrashing(step, request)) {
        return;
    }
    const AnnouncedServer *server = pickServer(step, request);
    while (server) {
        switch (m_state.requestPermit(step, request, server->name)) {
        case ratelimits::PermitDecision::Granted:
            sendTo(step, request, *server);
            return;
        case ratelimits::PermitDecision::Pending:
            request.stage = Stage::AwaitingPermit;
            return;
        case ratelimits::PermitDecision::Refused:
            server = pickServer(step, request);
            break;
        }
    }
    rejectNotExecuted(step, request, "no server accepts requests");
}

bool PlainFlow::refuseCrashing(Step &step, OpenRequest &request)
{
    if (!m_state.remainingRefusal(request, step.now)) {
        return false;
    }
    m_state.rejectCrashing(step, request);
    return true;
}

void PlainFlow::rejectNotExecuted(Step &step, OpenRequest &request, const std::string &reason)
{
    if (!isServable(m_state, request, step.now)) {
        constexpr int ServiceUnavailable = 503;
        m_state.requests.refuse(step, request,
                                {ServiceUnavailable, RequestOutcome::Rejected, std::nullopt,
                                 "no server of the stream's version"});
        return;
    }
    const auto unblockedAt =
        m_state.allBlockedUntil(request.service->name, EnginePhase::None, step.now);
    const Duration wait = unblockedAt ? *unblockedAt - step.now : Duration(0);
    m_state.requests.reject(step, request, wait + step.jitter(RetryDelay), reason);
}

void PlainFlow::sendTo(Step &step, OpenRequest &request, const AnnouncedServer &server)
{
    StartCall call;
    call.kind = CallKind::Plain;
    const bool isIdempotent = request.route->repetition == Repetition::Idempotent;
    ++request.executions;
    ++request.countedCalls;
    if (mayRetry(request)) {
        call.idleTimeout = request.route->target * IdleTimeoutInTargets;
    }
    // A reused connection may close during the write, which leaves the execution in doubt and rules
    // out a retry.
    call.needsNewConnection = !isIdempotent;
    request.triedServers.insert(server.name);
    if (request.slotClaim.isNone() && m_slots.isScheduled(request.service->name)) {
        slots::SlotClaims::Messages messages;
        request.slotClaim =
            m_slots.holdLocally(step.now, request.arrival.request,
                                {{},
                                 request.service->name,
                                 server.name,
                                 std::max(Duration(0), Duration(request.deadline - step.now))},
                                messages);
        sendToPlainScheduler(step, std::move(messages));
    }
    m_state.startCall(step, request, server, std::move(call));
}

const AnnouncedServer *PlainFlow::pickServer(Step &step, const OpenRequest &request) const
{
    const auto candidates =
        m_state.servers.candidates(request.service->name, EnginePhase::None, step.now);
    // A permit is not spent on a retry while first attempts wait for one.
    const bool mayAskForPermit =
        request.executions == 0 && request.refusedPermits < MaxRefusedPermits;
    std::vector<const AnnouncedServer *> untried;
    for (const AnnouncedServer *server : candidates) {
        const bool mayUse = mayAskForPermit || !m_state.permits.isLimited(server->name);
        if (mayUse && request.accepts(*server) && !request.triedServers.contains(server->name)
            && !m_state.isBlocked(server->name, step.now)) {
            untried.push_back(server);
        }
    }
    const AnnouncedServer *best = nullptr;
    double bestScore = 0;
    const double mean = m_state.tracker.meanAnswerMilliseconds(candidates);
    auto preferredServers = m_state.tracker.preferredServers(untried, step.now);
    // Prevents all nodes from choosing the same of several equal servers.
    std::shuffle(preferredServers.begin(), preferredServers.end(), step.random);
    for (const AnnouncedServer *server : preferredServers) {
        double score = m_state.tracker.expectedAnswerMilliseconds(server->name, mean, step.now);
        score += server->domain == m_state.settings.domain ? 0 : OtherDomainPenaltyMilliseconds;
        if (!best || score < bestScore) {
            best = server;
            bestScore = score;
        }
    }
    return best;
}

bool PlainFlow::mayRetry(const OpenRequest &request) const
{
    return request.route->repetition == Repetition::Idempotent
        && request.executions < request.route->maxAttempts
        && request.triedServers.size() < MaxServersTried;
}

void PlainFlow::handleAnswer(Step &step, OpenRequest &request, const OpenCall &call,
                             const CallEnded &event)
{
    const bool isSuccess = event.status < FirstServerErrorStatus;
    m_state.tracker.recordAnswer(call.server.name, step.now - call.started, isSuccess, step.now);
    if (request.isForwarding) {
        forgetStreamOrigin(m_state, request);
        m_state.requests.endStream(step, request,
                                   event.isEndedByClose ? StreamEnd::Close : StreamEnd::Framing);
        return;
    }
    if (!isSuccess && mayRetry(request) && pickServer(step, request)
        && m_state.retryBudget(request.service->name).tryTake(step.now)) {
        step.add(LogDecision {"retry", request.arrival.callerId,
                              "after status=" + std::to_string(event.status)
                                  + " server=" + call.server.name.text()});
        send(step, request);
        return;
    }
    m_state.requests.deliver(step, request, event.call, event.status);
}

void PlainFlow::handleRejection(Step &step, OpenRequest &request, const std::string &reason)
{
    if (request.executions > 0) {
        // An earlier call of this idempotent request may have been executed.
        m_state.requests.failInDoubt(step, request, BadGateway, reason);
        return;
    }
    const bool isRetry = request.countedCalls > 0;
    if (request.triedServers.size() < MaxServersTried && pickServer(step, request)
        && (!isRetry || m_state.retryBudget(request.service->name).tryTake(step.now))) {
        step.add(LogDecision {"retry", request.arrival.callerId, "not executed: " + reason});
        send(step, request);
        return;
    }
    rejectNotExecuted(step, request, reason);
}

void PlainFlow::handleFailure(Step &step, OpenRequest &request, const CallEnded &event)
{
    if (request.isForwarding) {
        m_state.requests.abortStream(step, request, event.reason);
        return;
    }
    const bool mayRepeat =
        !event.isConnectionLost || m_state.mayRepeatAfterCrash(request, step.now);
    if (mayRepeat && mayRetry(request) && pickServer(step, request)
        && m_state.retryBudget(request.service->name).tryTake(step.now)) {
        step.add(
            LogDecision {"retry", request.arrival.callerId, "possibly executed: " + event.reason});
        send(step, request);
        return;
    }
    m_state.requests.failInDoubt(step, request, BadGateway, event.reason);
}

} // namespace indigoway::dispatch
