#include "generationflow.h"

#include "core/deadlines.h"
#include "dispatch/generationlimits.h"
#include "dispatch/streamresumption.h"

namespace indigoway::dispatch {

namespace {

using scheduling::ClaimOutcome;

constexpr int FirstServerErrorStatus = 500;
constexpr int BadGateway = 502;
/** Interval between reservation attempts while requests wait. */
constexpr Duration ReservationInterval = std::chrono::milliseconds(30);
/** Interval between checks for overdue requests while the scheduler decides. */
constexpr Duration ClaimCheckInterval = std::chrono::milliseconds(100);
/** Maximum of concurrent reservations; more would break the queue order. */
constexpr std::uint32_t MaxConcurrentReservations = 4;
/** Engines answer reservations immediately; a later answer means that the engine is down. */
constexpr Duration ReserveTimeout = std::chrono::milliseconds(300);
/**
 * Covers the queueing of prompts at peak load. A shorter timeout would repeat prefills when engines
 * are busiest; an engine that is down is detected by its failed connection.
 */
constexpr Duration PrefillTimeout = std::chrono::milliseconds(2000);
/** Reservations that expire within this time are not used. */
constexpr Duration ReservationMargin = std::chrono::milliseconds(100);
constexpr std::uint32_t MaxPrefillAttempts = 2;

EnginePlacement::Need engineNeedOf(Step &step, const OpenRequest &request, const DomainName &domain)
{
    return {request.tokenDemand, domain, &request.triedServers, step.random()};
}

/** KV caches of one software version cannot be used by another one. */
bool isSameVersion(const AnnouncedServer &prefill, const AnnouncedServer *decode)
{
    return !decode || prefill.version == decode->version;
}

/**
 * Maps the result of a failed reservation to the claim result that is reported to the scheduler.
 */
ClaimOutcome claimEndOf(CallEnd end)
{
    switch (end) {
    case CallEnd::NotExecuted:
    case CallEnd::Complete:
        return ClaimOutcome::OutOfMemory;
    case CallEnd::NotConnected:
        return ClaimOutcome::Unreachable;
    case CallEnd::NoPath:
    case CallEnd::PathLost:
        return ClaimOutcome::Cancelled;
    case CallEnd::Broken:
        break;
    }
    return ClaimOutcome::ConnectionLost;
}

/** Maps the end of a failed run to the claim result that is reported to the scheduler. */
ClaimOutcome outcomeOfRun(CallEnd end)
{
    return isCutShort(end) ? claimEndOf(end) : ClaimOutcome::EngineFailed;
}

} // namespace

void GenerationFlow::begin(Step &step, OpenRequest &request)
{
    m_state.retryBudget(request.service->name).recordRequest(step.now);
    request.memory = memoryNeedOf(request.arrival);
    request.tokenDemand = unscheduledReservation(request.arrival, request.memory);
    request.isRetry = m_retryDetector.isRetry(request);
    enqueue(step, request);
}

void GenerationFlow::streamStarted(Step &step, OpenRequest &request, const StreamStarted &event)
{
    request.streamingCall = event.call;
    m_runs.streamStarted(step, request);
    OpenRequests::recordFirstEvent(step, request);
    if (request.isForwarding) {
        step.add(ForwardStream {request.arrival.request, event.call});
        return;
    }
    request.isForwarding = true;
    request.firstAnswerAt = step.now;
    recordStreamOrigin(step, m_state, request);
    request.handle.clear();
    if (event.load) {
        m_state.tracker.recordLoad(request.server, *event.load, step.now);
    }
    step.add(ForwardStream {request.arrival.request, event.call});
}

void GenerationFlow::callEnded(Step &step, OpenRequest &request, const OpenCall &call,
                               const CallEnded &event)
{
    request.call = {};
    if (event.load) {
        m_state.tracker.recordLoad(call.server.name, *event.load, step.now);
    }
    switch (call.kind) {
    case CallKind::Reserve:
        reserveEnded(step, request, call, event);
        break;
    case CallKind::Prefill:
        prefillEnded(step, request, call, event);
        break;
    case CallKind::Report:
        lifeChecked(step, request, call, event);
        break;
    case CallKind::Decode:
    case CallKind::Whole:
        decodeEnded(step, request, call, event);
        break;
    default:
        break;
    }
    processQueue(step);
}

void GenerationFlow::orphanedCallEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    m_state.tracker.callClosed(call.server.name);
    if (call.kind == CallKind::StopRun) {
        m_runs.orphanedStopEnded(step, call, event);
    }
    if (call.kind != CallKind::Reserve) {
        return;
    }
    --m_reservationsInProgress;
    m_placement.reservationGranted(call.server.name);
    if (!event.reservation.empty()) {
        StartCall unreserve;
        unreserve.kind = CallKind::Unreserve;
        unreserve.reservation = event.reservation;
        unreserve.idleTimeout = ReserveTimeout;
        m_state.calls.start(step, call.server, std::move(unreserve));
    }
}

void GenerationFlow::release(Step &step, OpenRequest &request)
{
    m_waiting.remove(request);
    if (!request.call.isNone()) {
        // The result of a reservation is needed to release it.
        if (request.callKind != CallKind::Reserve) {
            m_state.calls.abandon(step, request.call);
        }
        if (request.callKind == CallKind::Prefill) {
            m_placement.removeLoad(request.prefillServer, request.arrival.promptTokens);
        }
        request.call = {};
    }
    releaseResources(step, request, ClaimOutcome::Cancelled);
}

std::optional<TimePoint> GenerationFlow::tick(Step &step)
{
    processQueue(step);
    const auto next = earlier(m_runs.nextTick(), m_claims.nextTick());
    if (m_waiting.isEmpty()) {
        return next;
    }
    const Duration after =
        m_claims.isAvailable(step.now) ? ClaimCheckInterval : ReservationInterval;
    return earlier(step.now + after, next);
}

void GenerationFlow::enqueue(Step &step, OpenRequest &request)
{
    request.stage = Stage::Waiting;
    request.waitingSince = step.now;
    m_waiting.add(request);
    processQueue(step);
}

void GenerationFlow::processQueue(Step &step)
{
    rejectLate(step);
    withdrawClaims(step);
    m_runs.tick(step);
    if (m_claims.isAvailable(step.now)) {
        claimForWaiting(step);
        return;
    }
    while (m_reservationsInProgress < MaxConcurrentReservations) {
        OpenRequest *request = m_waiting.next(m_state.requests, step.now);
        if (!request || !reserve(step, *request)) {
            return;
        }
    }
}

void GenerationFlow::withdrawClaims(Step &step)
{
    for (const RequestNumber number : m_claims.tick(step, m_state.requests)) {
        OpenRequest *request = m_state.requests.find(number);
        if (request && request->stage == Stage::Decoding) {
            targetDecided(step, *request, nullptr);
        }
    }
}

void GenerationFlow::rejectLate(Step &step)
{
    for (const RequestNumber number : m_waiting.overdue(m_state.requests, step.now)) {
        failUnsent(step, *m_state.requests.find(number), "no room at any decode engine");
    }
    for (const RequestNumber number : m_waiting.unservable(m_state, step.now)) {
        failUnservable(step, *m_state.requests.find(number));
    }
    for (const RequestNumber number : m_waiting.blocked(m_state, step.now)) {
        failUnsent(step, *m_state.requests.find(number), "all engines limit requests");
    }
}

void GenerationFlow::claimForWaiting(Step &step)
{
    for (const RequestNumber number : m_waiting.all()) {
        OpenRequest &request = *m_state.requests.find(number);
        if (request.claim.isNone()
            && !WaitingGenerations::blockedUntil(m_state, request, step.now)) {
            m_claims.claim(step, request, m_state.settings.domain, maxQueueTime(request));
        }
    }
}

void GenerationFlow::schedulerAnswered(Step &step, const SchedulerAnswered &event)
{
    const auto number = m_claims.answered(step, event.message, event.life, m_state.requests);
    if (const auto *measured = std::get_if<scheduling::WorkReport>(&event.message)) {
        m_phases.updateWork(measured->service, measured->work);
        return;
    }
    OpenRequest *request = number ? m_state.requests.find(*number) : nullptr;
    if (!request) {
        return;
    }
    if (scheduling::claimOf(event.message) == request->run.targetClaim) {
        targetDecided(step, *request, std::get_if<scheduling::ClaimGranted>(&event.message));
        return;
    }
    if (const auto *refused = std::get_if<scheduling::ClaimRefused>(&event.message)) {
        request->claim = {};
        failUnsent(step, *request,
                   "no room, says the scheduler: claims_ahead="
                       + std::to_string(refused->claimsAhead)
                       + " wait_ms=" + millisecondsText(refused->expectedWait));
        return;
    }
    const auto *granted = std::get_if<scheduling::ClaimGranted>(&event.message);
    if (!granted) {
        return;
    }
    if (granted->work) {
        m_phases.updateWork(request->service->name, *granted->work);
    }
    const AnnouncedServer *server = m_state.servers.find(granted->decodeServer);
    if (!server || !request->accepts(*server)
        || m_state.servers.availability(server->name, step.now) == ServerAvailability::Leaving) {
        // The local server list is newer than the grant.
        m_claims.end(step, *request, scheduling::ClaimOutcome::Cancelled);
        request->triedServers.insert(granted->decodeServer);
        processQueue(step);
        return;
    }
    if (m_state.isBlocked(server->name, step.now)) {
        m_claims.end(step, *request, scheduling::ClaimOutcome::Cancelled);
        processQueue(step);
        return;
    }
    request->plannedPrefill = granted->prefillServer;
    request->isPlannedWhole = granted->prefillsLocally;
    request->run.backup = granted->backupServer;
    reserveAt(step, *request, *server);
}

bool GenerationFlow::reserve(Step &step, OpenRequest &request)
{
    const auto candidates = candidateEngines(step, request, EnginePhase::Decode);
    const AnnouncedServer *server = m_placement.pickDecode(
        candidates, engineNeedOf(step, request, m_state.settings.domain), step.now);
    if (!server) {
        return false;
    }
    request.run.backup = {};
    reserveAt(step, request, *server);
    return true;
}

void GenerationFlow::reserveAt(Step &step, OpenRequest &request, const AnnouncedServer &server)
{
    m_waiting.remove(request);
    switch (m_state.requestPermit(step, request, server.name)) {
    case ratelimits::PermitDecision::Granted:
        startReservation(step, request, server);
        return;
    case ratelimits::PermitDecision::Pending:
        request.stage = Stage::AwaitingPermit;
        return;
    case ratelimits::PermitDecision::Refused:
        waitForOtherEngine(step, request);
        return;
    }
}

void GenerationFlow::waitForOtherEngine(Step &step, OpenRequest &request)
{
    m_claims.end(step, request, ClaimOutcome::Cancelled);
    request.stage = Stage::Waiting;
    m_waiting.add(request);
}

void GenerationFlow::permitDecided(Step &step, OpenRequest &request, const ServerName &server,
                                   bool isGranted)
{
    const AnnouncedServer *known = m_state.servers.find(server);
    const bool isUsable = isGranted && known && !m_state.isBlocked(server, step.now)
        && m_state.servers.availability(server, step.now) != ServerAvailability::Leaving;
    const bool isForPrefill = !request.decodeServer.isEmpty();
    if (isForPrefill && isUsable) {
        startPrefill(step, request, *known);
    } else if (isForPrefill) {
        prefill(step, request);
    } else if (isUsable) {
        startReservation(step, request, *known);
    } else {
        waitForOtherEngine(step, request);
    }
    processQueue(step);
}

void GenerationFlow::startReservation(Step &step, OpenRequest &request,
                                      const AnnouncedServer &server)
{
    m_placement.reservationStarted(server.name);
    ++m_reservationsInProgress;
    request.stage = Stage::Reserving;
    StartCall call;
    call.kind = CallKind::Reserve;
    call.idleTimeout = ReserveTimeout;
    call.reserveTokens =
        request.claim.isNone() ? request.tokenDemand : initialReservation(request.memory);
    call.reserveFor = request.service->engine->longestReservation;
    m_state.startCall(step, request, server, std::move(call));
}

void GenerationFlow::reserveEnded(Step &step, OpenRequest &request, const OpenCall &call,
                                  const CallEnded &event)
{
    --m_reservationsInProgress;
    const ServerName &server = call.server.name;
    if (event.end == CallEnd::Complete && !event.reservation.empty()) {
        m_state.tracker.recordAnswer(server, step.now - call.started, true, step.now);
        m_placement.reservationGranted(server);
        m_placement.addLoad(server, request.tokenDemand);
        request.decodeServer = server;
        request.reservation = event.reservation;
        request.reservedAt = step.now;
        request.reservedUntil = step.now + request.service->engine->longestReservation;
        if (request.claim.isNone()) {
            m_claims.reportReservation(step, request);
        }
        const bool isPlannedWhole = std::exchange(request.isPlannedWhole, false);
        if (isPlannedWhole || request.arrival.isContinuation || request.isForwarding
            || request.readsWhole) {
            decode(step, request, true);
        } else {
            prefill(step, request);
        }
        return;
    }
    m_placement.reservationRefused(server, request.tokenDemand, step.now);
    recordFailure(step, server, event.end);
    m_claims.end(step, request, claimEndOf(event.end));
    if (event.end == CallEnd::NoPath) {
        // The scheduler may grant the engine again, since other nodes may reach it.
        request.triedServers.insert(server);
    }
    ++request.refusals;
    request.stage = Stage::Waiting;
    m_waiting.add(request);
}

void GenerationFlow::prefill(Step &step, OpenRequest &request)
{
    const AnnouncedServer *decodeServer = m_state.servers.find(request.decodeServer);
    const DomainName domain = decodeServer ? decodeServer->domain : m_state.settings.domain;
    const AnnouncedServer *server = plannedPrefill(step, request);
    if (!server) {
        auto candidates = candidateEngines(step, request, EnginePhase::Prefill);
        std::erase_if(candidates, [&](const AnnouncedServer *candidate) {
            return !isSameVersion(*candidate, decodeServer);
        });
        server = m_placement.pickPrefill(candidates, engineNeedOf(step, request, domain), step.now);
    }
    if (!server || request.prefillAttempts >= MaxPrefillAttempts
        || request.refusedPermits >= MaxRefusedPermits) {
        decode(step, request, true);
        return;
    }
    switch (m_state.requestPermit(step, request, server->name)) {
    case ratelimits::PermitDecision::Granted:
        startPrefill(step, request, *server);
        return;
    case ratelimits::PermitDecision::Pending:
        request.stage = Stage::AwaitingPermit;
        return;
    case ratelimits::PermitDecision::Refused:
        // The engine is blocked now, so this tries another one.
        prefill(step, request);
        return;
    }
}

void GenerationFlow::startPrefill(Step &step, OpenRequest &request, const AnnouncedServer &server)
{
    if (!maySend(step, request)) {
        return;
    }
    request.countedCalls += request.countedCalls > 0 ? 1 : 0;
    ++request.prefillAttempts;
    request.stage = Stage::Prefilling;
    request.prefillServer = server.name;
    m_placement.addLoad(server.name, request.arrival.promptTokens);
    StartCall call;
    call.kind = CallKind::Prefill;
    call.idleTimeout = PrefillTimeout;
    // A new connection detects a hanging engine earlier than the idle timeout, and before the
    // request is sent.
    call.needsNewConnection = true;
    m_state.startCall(step, request, server, std::move(call));
}

const AnnouncedServer *GenerationFlow::plannedPrefill(Step &step, OpenRequest &request)
{
    const ServerName planned = std::exchange(request.plannedPrefill, {});
    const AnnouncedServer *server = m_state.servers.find(planned);
    const bool isAvailable = server
        && isSameVersion(*server, m_state.servers.find(request.decodeServer))
        && !request.triedServers.contains(planned)
        && m_state.servers.availability(planned, step.now) != ServerAvailability::Leaving
        && !m_state.isBlocked(planned, step.now) && !m_placement.isFaultySource(planned, step.now);
    return isAvailable ? server : nullptr;
}

void GenerationFlow::prefillEnded(Step &step, OpenRequest &request, const OpenCall &call,
                                  const CallEnded &event)
{
    const ServerName &server = call.server.name;
    m_placement.removeLoad(server, request.arrival.promptTokens);
    const bool isDone = event.end == CallEnd::Complete && !event.handle.empty();
    m_claims.prefillEnded(step, request, isDone, event.end);
    if (isDone) {
        m_state.tracker.recordAnswer(server, step.now - call.started, true, step.now);
        request.handle = event.handle;
        request.prefilledAt = step.now;
        decode(step, request, false);
        return;
    }
    recordFailure(step, server, event.end);
    if (isUnsent(event.end)) {
        --request.prefillAttempts;
    } else if (request.countedCalls == 0) {
        request.countedCalls = 1; // Only successful prefills are exempt from the retry budget.
    }
    step.add(LogDecision {"prefill_failed", request.arrival.callerId,
                          "server=" + server.text() + " " + event.reason});
    request.triedServers.insert(server);
    prefill(step, request);
}

void GenerationFlow::decode(Step &step, OpenRequest &request, bool isWhole)
{
    const AnnouncedServer *server = m_state.servers.find(request.decodeServer);
    if (!server || !request.accepts(*server) || m_state.pauses.pausedUntil(server->name, step.now)
        || m_state.servers.availability(server->name, step.now) == ServerAvailability::Leaving) {
        request.triedServers.insert(request.decodeServer);
        releaseResources(step, request, ClaimOutcome::Cancelled);
        enqueue(step, request);
        return;
    }
    if (needsLifeCheck(request, *server)) {
        startLifeCheck(step, m_state, request, *server);
        return;
    }
    if (!maySend(step, request)) {
        return;
    }
    request.stage = Stage::Decoding;
    StartCall call;
    call.kind = isWhole ? CallKind::Whole : CallKind::Decode;
    if (step.now + ReservationMargin < request.reservedUntil) {
        call.reservation = request.reservation;
    }
    request.reservation.clear();
    if (!isWhole) {
        const AnnouncedServer *source = m_state.servers.find(request.prefillServer);
        call.handle = request.handle;
        call.handleAddress = source ? source->address : std::string();
    }
    // The count of forwarded events may be older than the stream, and 0.
    call.isResumption = request.isForwarding;
    if (request.route->isResumable) {
        call.idleTimeout = StreamIdleTimeout;
    }
    call.needsNewConnection = true;
    m_runs.prepare(step, request, call);
    ++request.executions;
    ++request.countedCalls;
    m_state.startCall(step, request, *server, std::move(call));
}

void GenerationFlow::lifeChecked(Step &step, OpenRequest &request, const OpenCall &call,
                                 const CallEnded &event)
{
    m_state.tracker.callClosed(call.server.name);
    if (event.end == CallEnd::Complete && isSameLife(call, event)) {
        request.checkedServer = call.server.name;
        decode(step, request, true);
        return;
    }
    step.add(LogDecision {"server_life_unconfirmed", request.arrival.callerId,
                          "server=" + call.server.name.text()
                              + " version=" + versionText(call.server.version) + " born="
                              + (event.report ? std::to_string(event.report->startedAt) : "-") + " "
                              + event.reason});
    request.triedServers.insert(call.server.name);
    releaseResources(step, request,
                     isUnsent(event.end) ? claimEndOf(event.end) : ClaimOutcome::Cancelled);
    enqueue(step, request);
}

void GenerationFlow::decodeEnded(Step &step, OpenRequest &request, const OpenCall &call,
                                 const CallEnded &event)
{
    const ServerName &server = call.server.name;
    request.forwardedEvents = std::max(request.forwardedEvents, event.events);
    switch (event.end) {
    case CallEnd::Complete: {
        const bool isSuccess = event.status < FirstServerErrorStatus;
        const bool isRefused = request.run.isContinuing && !isSuccess;
        const bool isOfStream = request.streamingCall == event.call || event.isEmptyRest;
        if (isRefused || (request.isForwarding && !isOfStream)) {
            // An error response in place of the remaining events must not end the stream as
            // complete.
            m_state.tracker.recordAnswer(server, step.now - call.started, false, step.now);
            CallEnded failure = event;
            failure.reason =
                "answered " + std::to_string(event.status) + " instead of resuming the stream";
            if (request.run.isContinuing) {
                m_runs.continuationRefused(step, request, call, failure);
            }
            decodeFailed(step, request, failure);
            return;
        }
        m_state.tracker.recordAnswer(server, step.now - call.started, isSuccess, step.now);
        if (isSuccess && !request.isForwarding) {
            request.handle.clear();
        }
        if (request.isForwarding) {
            streamEnded(step, request, call, event);
        } else {
            releaseResources(step, request, ClaimOutcome::Served);
            m_state.requests.deliver(step, request, event.call, event.status);
        }
        return;
    }
    case CallEnd::NotExecuted:
    case CallEnd::NotConnected:
    case CallEnd::NoPath:
        if (request.run.isContinuing) {
            recordFailure(step, server, event.end);
            m_runs.continuationRefused(step, request, call, event);
            decodeFailed(step, request, event);
            return;
        }
        decodeNotExecuted(step, request, call, event);
        return;
    case CallEnd::Broken:
    case CallEnd::PathLost:
        recordFailure(step, server, event.end);
        if (m_runs.connectionLost(step, request, call, event) == RunContinuation::Result::Lost) {
            decodeFailed(step, request, event);
        }
        return;
    }
}

void GenerationFlow::stopEnded(Step &step, OpenRequest &request, const OpenCall &call,
                               const CallEnded &event)
{
    conclude(step, request, m_runs.stopEnded(step, request, call, event));
}

void GenerationFlow::targetDecided(Step &step, OpenRequest &request,
                                   const scheduling::ClaimGranted *granted)
{
    conclude(step, request, m_runs.targetDecided(step, request, granted));
}

void GenerationFlow::engineChecked(Step &step, OpenRequest &request, const OpenCall &call,
                                   const CallEnded &event)
{
    conclude(step, request, m_runs.engineChecked(step, request, call, event));
}

void GenerationFlow::streamEnded(Step &step, OpenRequest &request, const OpenCall &call,
                                 const CallEnded &event)
{
    if (event.isEmptyRest) {
        m_runs.streamStarted(step, request);
    }
    if (!event.isEndedByClose) {
        completeStream(step, request, StreamEnd::Framing);
        return;
    }
    const auto result = m_runs.streamClosed(step, request, call, event);
    if (result == RunContinuation::Result::Complete) {
        completeStream(step, request, StreamEnd::Close);
    } else {
        conclude(step, request, result);
    }
}

void GenerationFlow::conclude(Step &step, OpenRequest &request, RunContinuation::Result result)
{
    switch (result) {
    case RunContinuation::Result::InProgress:
        return;
    case RunContinuation::Result::Lost: {
        CallEnded failure;
        failure.reason = request.run.lossReason;
        decodeFailed(step, request, failure);
        return;
    }
    case RunContinuation::Result::Complete:
        completeStream(step, request, StreamEnd::ConfirmedClose);
        return;
    }
}

void GenerationFlow::completeStream(Step &step, OpenRequest &request, StreamEnd end)
{
    releaseResources(step, request, ClaimOutcome::Served);
    forgetStreamOrigin(m_state, request);
    m_state.requests.endStream(step, request, end);
}

void GenerationFlow::decodeNotExecuted(Step &step, OpenRequest &request, const OpenCall &call,
                                       const CallEnded &event)
{
    --request.executions;
    ClaimOutcome result = ClaimOutcome::Cancelled;
    step.add(LogDecision {"decode_not_run", request.arrival.callerId,
                          "kind=" + std::string(nameOf(call.kind))
                              + " server=" + call.server.name.text() + " " + event.reason});
    recordFailure(step, call.server.name, event.end);
    if (isUnsent(event.end)) {
        --request.countedCalls;
        request.triedServers.insert(call.server.name);
        result = claimEndOf(event.end);
    } else if (call.kind == CallKind::Decode) {
        // Memory was reserved, so the KV cache was not available.
        m_placement.handoverLost(request.prefillServer, call.server.name, step.now);
        request.handle.clear();
        request.readsWhole = true;
        result = ClaimOutcome::KvCacheLost;
    }
    releaseResources(step, request, result);
    enqueue(step, request);
}

void GenerationFlow::recordFailure(Step &step, const ServerName &server, CallEnd end)
{
    switch (end) {
    case CallEnd::NotExecuted:
    case CallEnd::Complete:
        m_state.tracker.recordRejection(server);
        return;
    case CallEnd::NotConnected:
    case CallEnd::NoPath:
        m_state.tracker.recordUnreachable(server, step.now);
        return;
    case CallEnd::Broken:
        m_state.tracker.recordFailure(server, step.now);
        return;
    case CallEnd::PathLost:
        m_state.tracker.callClosed(server);
        return;
    }
}

void GenerationFlow::decodeFailed(Step &step, OpenRequest &request, const CallEnded &event)
{
    request.handle.clear();
    request.triedServers.insert(request.decodeServer);
    releaseResources(step, request, outcomeOfRun(event.end));
    const bool mayResume = request.route->isResumable
        && (!event.isConnectionLost || m_state.mayRepeatAfterCrash(request, step.now))
        && request.executions < request.route->maxAttempts
        && m_state.retryBudget(request.service->name).tryTake(step.now);
    if (mayResume) {
        step.add(LogDecision {"resume", request.arrival.callerId,
                              "after_events=" + std::to_string(request.forwardedEvents)
                                  + " version=" + versionText(request.serverVersion) + " "
                                  + event.reason});
        request.countedCalls = 0; // The retry has already been charged to the budget.
        enqueue(step, request);
        return;
    }
    if (request.isForwarding) {
        m_state.requests.abortStream(step, request, event.reason);
    } else {
        m_state.requests.failInDoubt(step, request, BadGateway, event.reason);
    }
}

bool GenerationFlow::maySend(Step &step, OpenRequest &request)
{
    if (m_state.remainingRefusal(request, step.now)) {
        failUnsent(step, request, CrashesServers);
        return false;
    }
    if (request.countedCalls == 0 || m_state.retryBudget(request.service->name).tryTake(step.now)) {
        return true;
    }
    failUnsent(step, request, "no retries left");
    return false;
}

void GenerationFlow::failUnsent(Step &step, OpenRequest &request, const std::string &reason)
{
    release(step, request);
    if (request.isForwarding) {
        m_state.requests.abortStream(step, request, reason);
    } else if (request.mayHaveExecuted()) {
        m_state.requests.failInDoubt(step, request, BadGateway, reason);
    } else {
        const auto refused = m_state.remainingRefusal(request, step.now);
        const auto blocked = WaitingGenerations::blockedUntil(m_state, request, step.now);
        const Duration wait = blocked ? *blocked - step.now : Duration(0);
        m_state.requests.reject(step, request,
                                refused.value_or(wait + step.jitter(retryDelay(request))), reason);
    }
}

void GenerationFlow::failUnservable(Step &step, OpenRequest &request)
{
    const std::string reason =
        "no server of the stream's version version=" + versionText(*request.boundVersion);
    if (request.isForwarding || request.mayHaveExecuted()) {
        failUnsent(step, request, reason);
        return;
    }
    release(step, request);
    constexpr int ServiceUnavailable = 503;
    m_state.requests.refuse(step, request,
                            {ServiceUnavailable, RequestOutcome::Rejected, std::nullopt, reason});
}

void GenerationFlow::releaseResources(Step &step, OpenRequest &request, ClaimOutcome result)
{
    m_claims.end(step, request, result);
    if (!request.decodeServer.isEmpty()) {
        m_placement.removeLoad(request.decodeServer, request.tokenDemand);
        const AnnouncedServer *server = m_state.servers.find(request.decodeServer);
        if (server && !request.reservation.empty()) {
            StartCall call;
            call.kind = CallKind::Unreserve;
            call.reservation = request.reservation;
            call.idleTimeout = ReserveTimeout;
            m_state.calls.start(step, *server, std::move(call));
        }
        request.decodeServer = {};
        request.reservation.clear();
    }
    const AnnouncedServer *source = m_state.servers.find(request.prefillServer);
    if (source && !request.handle.empty()) {
        StartCall call;
        call.kind = CallKind::FreeHandle;
        call.handle = request.handle;
        call.handleAddress = source->address;
        call.idleTimeout = ReserveTimeout;
        m_state.calls.start(step, *source, std::move(call));
    }
    request.handle.clear();
    m_runs.release(step, request);
}

std::vector<const AnnouncedServer *>
GenerationFlow::candidateEngines(Step &step, const OpenRequest &request, EnginePhase phase) const
{
    auto servers = m_state.servers.candidates(request.service->name, phase, step.now);
    std::erase_if(servers, [&](const AnnouncedServer *server) {
        return !request.accepts(*server) || m_phases.isChanging(server->name, step.now)
            || m_state.isBlocked(server->name, step.now);
    });
    return m_state.tracker.preferredServers(servers, step.now);
}

} // namespace indigoway::dispatch
