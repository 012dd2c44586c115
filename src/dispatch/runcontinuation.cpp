#include "runcontinuation.h"

#include "dispatch/generationlimits.h"
#include "dispatch/serverlives.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

using Kind = RecoveryStep::Kind;

/**
 * Time for the answer of an engine that moves a run. It includes the transfer of the KV cache, so
 * that it is longer than EngineAnswerLimit, which applies to the connection.
 */
constexpr Duration MoveTimeout = std::chrono::milliseconds(1000);
/**
 * Maximum wait for the scheduler to grant another engine. It equals the longest pause between
 * events that callers accept.
 */
constexpr Duration MaxTargetWait = std::chrono::milliseconds(300);
/**
 * Events between progress reports. The number of events that are left, which decides whether a run
 * is moved, is at most this much too high.
 */
constexpr std::uint32_t ProgressEvents = 8;
constexpr Duration FreeHandleTimeout = std::chrono::milliseconds(300);

bool isEnabled(const OpenRequest &request)
{
    // Engines know runs by the caller's id.
    const EngineTraits &traits = *request.service->engine;
    return (traits.keepsBackups || traits.movesRuns) && !request.arrival.callerId.empty();
}

} // namespace

void RunContinuation::prepare(Step &step, OpenRequest &request, StartCall &call)
{
    if (request.service->engine->movesRuns) {
        call.progressEvents = ProgressEvents;
        m_mover.runStarted();
    }
    const AnnouncedServer *backup = usableBackup(request, step.now);
    const RunRecovery recovery(*request.service->engine);
    call.silenceLimit = isEnabled(request)
        ? recovery.silenceLimit(backup != nullptr).value_or(Duration(0))
        : Duration(0);
    if (!backup) {
        return;
    }
    call.backupAddress = backup->address;
    if (request.run.continuations > 0) {
        return;
    }
    ++m_counts.withBackup;
    step.add(
        LogDecision {"run_backup", request.arrival.callerId,
                     "engine=" + request.decodeServer.text() + " backup=" + backup->name.text()});
}

void RunContinuation::streamStarted(Step &step, OpenRequest &request)
{
    RunRecord &run = request.run;
    if (!std::exchange(run.isContinuing, false)) {
        return;
    }
    if (run.handle.empty()) {
        // Continued with the copy at the backup. RunMoved is repeated, since the first one may have
        // been lost.
        m_claims.runMoved(step, request);
    }
    run.handle.clear();
}

RunContinuation::Result RunContinuation::connectionLost(Step &step, OpenRequest &request,
                                                        const OpenCall &call,
                                                        const CallEnded &event)
{
    if (!isEnabled(request)) {
        return Result::Lost;
    }
    request.run.isContinuing = false;
    request.run.lostAt = step.now;
    if (!request.run.engineCheck.isNone()) {
        m_state.calls.abandon(step, std::exchange(request.run.engineCheck, {}));
    }
    if (!request.run.stopCall.isNone()) {
        return Result::InProgress; // The engine ends the stream of a run that it stops.
    }
    if (event.isConnectionLost && !m_state.mayRepeatAfterCrash(request, step.now)) {
        return Result::Lost;
    }
    request.run.lossReason = event.reason;
    if (!request.run.targetClaim.isNone() && request.run.target.isEmpty()) {
        if (!usableBackup(request, step.now)) {
            request.run.lostEngine = call.server;
            return Result::InProgress; // The scheduler is being asked for another engine.
        }
        m_claims.endTarget(step, request, scheduling::ClaimOutcome::Cancelled);
    }
    const RunRecovery recovery(*request.service->engine);
    return apply(step, request, call.server, recovery.connectionLost(stateOf(request, step.now)));
}

RunContinuation::Result RunContinuation::streamClosed(Step &step, OpenRequest &request,
                                                      const OpenCall &call, const CallEnded &event)
{
    if (!isCloseInDoubt(request, call.server)) {
        return Result::Complete;
    }
    request.run.isClosedInDoubt = true;
    ++m_counts.closedInDoubt;
    step.add(LogDecision {
        "stream_closed_in_doubt", request.arrival.callerId,
        "engine=" + call.server.name.text() + " events=" + std::to_string(request.forwardedEvents)
            + " unsettled_stops=" + std::to_string(request.unsettledStops.count(call.server.name))
            + " engine_replaced=" + (request.run.isEngineReplaced ? "yes" : "no")});
    CallEnded lost = event;
    lost.reason = "closed by its end or by the request to stop it";
    return connectionLost(step, request, call, lost);
}

RunContinuation::Result RunContinuation::stopEnded(Step &step, OpenRequest &request,
                                                   const OpenCall &call, const CallEnded &event)
{
    const StopResult result = stopResultOf(event);
    const bool hasStopped = result == StopResult::Moved || result == StopResult::NotMoved;
    if (request.run.stopCall != event.call) {
        // The run has continued elsewhere meanwhile. If it is back, this has stopped it there.
        if (!hasStopped) {
            request.unsettledStops.settle(call.server.name, result);
        }
        m_state.tracker.callClosed(call.server.name);
        orphanedStopEnded(step, call, event);
        return Result::InProgress;
    }
    request.run.stopCall = {};
    request.unsettledStops.settle(call.server.name, result);
    request.run.isEngineReplaced |= result == StopResult::OtherInstance;
    if (result == StopResult::Unreachable || result == StopResult::Refused) {
        m_state.tracker.recordUnreachable(call.server.name, step.now);
    } else {
        m_state.tracker.callClosed(call.server.name);
    }
    step.add(LogDecision {"run_stopped", request.arrival.callerId,
                          "engine=" + call.server.name.text() + " answer=" + nameOf(result)
                              + " took_ms=" + millisecondsText(step.now - call.started) + " "
                              + event.reason});
    if (!event.handle.empty()) {
        request.run.handle = event.handle;
        request.run.handleSource = call.server;
    }
    if (request.run.isClosedInDoubt && !hasStopped && !isCloseInDoubt(request, call.server)) {
        return Result::Complete;
    }
    const bool isStreamOpen = !request.call.isNone();
    if (isStreamOpen && !hasStopped) {
        // Either the engine goes on with the run, or its stream ends and connectionLost() follows.
        m_claims.endTarget(step, request, scheduling::ClaimOutcome::Cancelled);
        return Result::InProgress;
    }
    if (isStreamOpen) {
        request.run.lostAt = step.now;
        m_state.calls.abandon(step, std::exchange(request.call, {}));
        streamBroken(step, m_state, request);
    }
    const RunRecovery recovery(*request.service->engine);
    const bool isCopyUnwanted = result == StopResult::Moved && request.run.staysAtEngine;
    const RecoveryStep next = recovery.stopEnded(stateOf(request, step.now),
                                                 isCopyUnwanted ? StopResult::NotMoved : result);
    return apply(step, request, call.server, next);
}

RunContinuation::Result RunContinuation::targetDecided(Step &step, OpenRequest &request,
                                                       const scheduling::ClaimGranted *granted)
{
    if (granted) {
        request.run.target = granted->decodeServer;
        request.run.targetBackup = granted->backupServer;
    } else {
        request.run.targetClaim = {};
    }
    const AnnouncedServer *target = usableTarget(request, step.now);
    if (!target) {
        m_claims.endTarget(step, request, scheduling::ClaimOutcome::Cancelled);
    }
    const OpenCall *stream = m_state.calls.find(request.call);
    if (!request.run.stopCall.isNone()) {
        return Result::InProgress; // Its answer decides how the run goes on.
    }
    if (stream && target) {
        stopRun(step, request, stream->server, *target);
    }
    if (stream || !request.run.lostEngine) {
        return Result::InProgress; // Without a target the run goes on at its engine.
    }
    const RunRecovery recovery(*request.service->engine);
    return apply(step, request, *request.run.lostEngine,
                 recovery.targetDecided(stateOf(request, step.now)));
}

void RunContinuation::tick(Step &step)
{
    if (!m_claims.isAvailable(step.now)) {
        return;
    }
    for (const RequestNumber number :
         m_mover.dueMoves(m_state.requests.all(), m_state.servers, step.now)) {
        OpenRequest &request = *m_state.requests.find(number);
        request.run.movedAt = step.now;
        request.run.lossReason = "engine leaves";
        requestTarget(step, request);
    }
}

RunContinuation::Result RunContinuation::continuationRefused(Step &step, OpenRequest &request,
                                                             const OpenCall &call,
                                                             const CallEnded &event)
{
    request.run.isContinuing = false;
    request.run.lossReason = event.reason;
    return apply(step, request, call.server,
                 {Kind::GiveUp,
                  isUnsent(event.end) ? "the other engine cannot be reached"
                                      : "the other engine has no copy"});
}

void RunContinuation::streamSilent(Step &step, OpenRequest &request, const StreamSilent &event)
{
    const OpenCall *call = m_state.calls.find(event.call);
    const RunRecovery recovery(*request.service->engine);
    request.forwardedEvents = std::max(request.forwardedEvents, event.events);
    if (!call || !request.run.engineCheck.isNone()) {
        return;
    }
    const RecoveryStep next = recovery.streamSilent(stateOf(request, step.now), event.isPathLost);
    if (next.kind == Kind::AskEngine) {
        request.run.eventsAtCheck = event.events;
        checkEngine(step, request, call->server);
    } else if (next.kind == Kind::RequestTarget) {
        request.run.lossReason = "path to the engine lost";
        requestTarget(step, request);
    }
}

RunContinuation::Result RunContinuation::engineChecked(Step &step, OpenRequest &request,
                                                       const OpenCall &call, const CallEnded &event)
{
    request.run.engineCheck = {};
    const EngineCheck check = engineCheckOf(event);
    const bool isStreamOpen = !request.call.isNone();
    if (event.end == CallEnd::Complete) {
        m_state.tracker.callClosed(call.server.name);
    } else {
        m_state.tracker.recordUnreachable(call.server.name, step.now);
    }
    if (isStreamOpen && event.events > request.run.eventsAtCheck) {
        return Result::InProgress; // Events have arrived in the meantime.
    }
    const RunRecovery recovery(*request.service->engine);
    const RecoveryStep next = recovery.engineAsked(stateOf(request, step.now), check, isStreamOpen);
    if (next.kind == Kind::Wait) {
        return Result::InProgress;
    }
    request.forwardedEvents = std::max(request.forwardedEvents, event.events);
    request.run.lossReason = event.reason.empty() ? "path to the engine lost" : event.reason;
    if (isStreamOpen && next.kind != Kind::StopRun) {
        m_state.calls.abandon(step, std::exchange(request.call, {}));
        streamBroken(step, m_state, request);
        request.run.lostAt = step.now;
        request.run.lossReason = "engine unreachable: " + event.reason;
    }
    return apply(step, request, call.server, next);
}

void RunContinuation::orphanedStopEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    if (!event.handle.empty()) {
        freeHandle(step, call.server, event.handle);
    }
}

void RunContinuation::release(Step &step, OpenRequest &request)
{
    RunRecord &run = request.run;
    if (!run.engineCheck.isNone()) {
        m_state.calls.abandon(step, run.engineCheck);
    }
    m_claims.endTarget(step, request, scheduling::ClaimOutcome::Cancelled);
    if (!run.handle.empty()) {
        freeHandle(step, run.handleSource, run.handle);
    }
    run = {};
}

RunContinuation::Result RunContinuation::apply(Step &step, OpenRequest &request,
                                               const AnnouncedServer &engine,
                                               const RecoveryStep &next)
{
    const AnnouncedServer *backup = usableBackup(request, step.now);
    const AnnouncedServer *granted = usableTarget(request, step.now);
    const AnnouncedServer *target = granted ? granted : backup;
    if (next.kind == Kind::ContinueAtTarget) {
        target = m_state.servers.find(request.run.stopTarget);
        target = target && request.accepts(*target) ? target : nullptr;
    }
    const bool staysAtEngine = next.kind == Kind::StopRun && !target && isUsable(engine, step.now);
    if (staysAtEngine) {
        target = anyOtherEngine(request, step.now);
    }
    const char *reason =
        next.kind == Kind::GiveUp ? next.reason : "no engine to move it to can be used";
    if (m_state.remainingRefusal(request, step.now)) {
        reason = CrashesServers;
    } else if (next.kind == Kind::ContinueAtBackup
               && !m_state.mayRepeatAfterCrash(request, step.now)) {
        reason = "it may be what ended the engine";
    } else if (next.kind == Kind::AskEngine) {
        checkEngine(step, request, engine);
        return Result::InProgress;
    } else if (next.kind == Kind::ContinueAtEngine) {
        continueWithHandle(step, request, engine, engine);
        return Result::InProgress;
    } else if (next.kind == Kind::RequestTarget) {
        request.run.lostEngine = engine;
        requestTarget(step, request);
        return Result::InProgress;
    } else if (next.kind == Kind::StopRun && !request.run.stopCall.isNone()) {
        return Result::InProgress;
    } else if (target && next.kind == Kind::StopRun) {
        stopRun(step, request, engine, *target);
        request.run.staysAtEngine = staysAtEngine;
        return Result::InProgress;
    } else if (backup && next.kind == Kind::ContinueAtBackup) {
        continueAtBackup(step, request, engine);
        return Result::InProgress;
    } else if (target && next.kind == Kind::ContinueAtTarget) {
        continueWithHandle(step, request, engine, *target);
        return Result::InProgress;
    }
    ++m_counts.lost;
    step.add(LogDecision {"run_lost", request.arrival.callerId,
                          "engine=" + engine.name.text()
                              + " events=" + std::to_string(request.forwardedEvents) + " " + reason
                              + ": " + request.run.lossReason});
    return Result::Lost;
}

void RunContinuation::checkEngine(Step &step, OpenRequest &request, const AnnouncedServer &engine)
{
    StartCall call;
    call.kind = CallKind::Probe;
    call.request = request.arrival.request;
    call.connectTimeout = EngineAnswerLimit;
    request.run.engineCheck = m_state.calls.start(step, engine, std::move(call));
}

void RunContinuation::requestTarget(Step &step, OpenRequest &request)
{
    const Duration wait = std::min(MaxTargetWait, Duration(request.deadline - step.now));
    m_claims.claimTarget(step, request, m_state.settings.domain, wait);
}

void RunContinuation::stopRun(Step &step, OpenRequest &request, const AnnouncedServer &engine,
                              const AnnouncedServer &target)
{
    ++request.stopsSent;
    ++request.run.stopRequests;
    request.unsettledStops.add(engine.name);
    request.run.stopTarget = target.name;
    request.run.staysAtEngine = false;
    StartCall call;
    call.kind = CallKind::StopRun;
    call.runId = request.arrival.callerId;
    call.moveTarget = target.address;
    call.connectTimeout = EngineAnswerLimit;
    call.idleTimeout = MoveTimeout;
    call.needsNewConnection = true;
    call.request = request.arrival.request;
    request.run.stopCall = m_state.calls.start(step, engine, std::move(call));
}

void RunContinuation::continueAtBackup(Step &step, OpenRequest &request,
                                       const AnnouncedServer &engine)
{
    const AnnouncedServer &backup = *m_state.servers.find(request.run.backup);
    ++m_counts.continuedByBackup;
    step.add(LogDecision {
        "run_continued", request.arrival.callerId,
        "from=" + engine.name.text() + " to=" + backup.name.text() + " from_version="
            + versionText(engine.version) + " to_version=" + versionText(backup.version)
            + " by=backup events=" + std::to_string(request.forwardedEvents) + " after_ms="
            + millisecondsText(step.now - request.run.lostAt) + " " + request.run.lossReason});
    StartCall call;
    call.handle = request.arrival.callerId;
    call.handleAddress = backup.address;
    request.run.backup = {};
    startContinuation(step, request, backup, std::move(call));
    m_claims.runMoved(step, request);
}

void RunContinuation::continueWithHandle(Step &step, OpenRequest &request,
                                         const AnnouncedServer &engine,
                                         const AnnouncedServer &target)
{
    ++m_counts.continuedByMove;
    step.add(LogDecision {
        "run_continued", request.arrival.callerId,
        "from=" + engine.name.text() + " to=" + target.name.text() + " from_version="
            + versionText(engine.version) + " to_version=" + versionText(target.version)
            + " by=move events=" + std::to_string(request.forwardedEvents) + " after_ms="
            + millisecondsText(step.now - request.run.lostAt) + " " + request.run.lossReason});
    StartCall call;
    call.handle = request.run.handle;
    call.handleAddress = engine.address;
    if (target.name == engine.name) {
        m_claims.endTarget(step, request, scheduling::ClaimOutcome::OutOfMemory);
    } else if (target.name == request.run.target) {
        m_claims.adoptTarget(step, request,
                             request.run.lostEngine ? scheduling::ClaimOutcome::ConnectionLost
                                                    : scheduling::ClaimOutcome::Cancelled);
    } else {
        request.run.backup = {};
        m_claims.runMoved(step, request);
    }
    startContinuation(step, request, target, std::move(call));
}

void RunContinuation::startContinuation(Step &step, OpenRequest &request,
                                        const AnnouncedServer &server, StartCall call)
{
    if (server.name != request.decodeServer) {
        request.triedServers.insert(request.decodeServer);
        m_placement.removeLoad(request.decodeServer, request.tokenDemand);
        m_placement.addLoad(server.name, request.tokenDemand);
        request.decodeServer = server.name;
    }
    request.run.stopCall = {}; // Its answer would concern the call before.
    request.run.isClosedInDoubt = false;
    request.run.isEngineReplaced = false;
    m_claims.endTarget(step, request, scheduling::ClaimOutcome::Cancelled);
    ++request.run.continuations;
    request.run.stopRequests = 0;
    request.run.lostEngine.reset();
    if (!request.run.engineCheck.isNone()) {
        // Its result would be taken for one of the engine at which the run continues.
        m_state.calls.abandon(step, std::exchange(request.run.engineCheck, {}));
    }
    request.run.isContinuing = true;
    request.handle.clear(); // The first engine has used the result of the prefill.
    call.kind = CallKind::Decode;
    // The relay knows whether events were forwarded; the count here may be older.
    call.isResumption = true;
    call.connectTimeout = EngineAnswerLimit;
    call.needsNewConnection = true;
    if (request.route->isResumable) {
        call.idleTimeout = StreamIdleTimeout;
    }
    prepare(step, request, call);
    m_state.startCall(step, request, server, std::move(call));
}

void RunContinuation::freeHandle(Step &step, const AnnouncedServer &server,
                                 const std::string &handle)
{
    StartCall call;
    call.kind = CallKind::FreeHandle;
    call.handle = handle;
    call.idleTimeout = FreeHandleTimeout;
    m_state.calls.start(step, server, std::move(call));
}

bool RunContinuation::isCloseInDoubt(const OpenRequest &request,
                                     const AnnouncedServer &engine) const
{
    // A newer life answers for runs of which it knows nothing.
    const ServerName latest = m_state.servers.nameOf(engine.instance);
    const bool isSuperseded = request.stopsSent > 0 && !latest.isEmpty() && latest != engine.name;
    return request.run.isEngineReplaced || isSuperseded
        || request.unsettledStops.contains(engine.name);
}

const AnnouncedServer *RunContinuation::usableBackup(const OpenRequest &request,
                                                     TimePoint now) const
{
    const AnnouncedServer *backup = m_state.servers.find(request.run.backup);
    const AnnouncedServer *engine = m_state.servers.find(request.decodeServer);
    const bool isOther = backup && backup->name != request.decodeServer && request.accepts(*backup)
        && (!engine || engine->version == backup->version);
    return isOther && isEnabled(request) && isUsable(*backup, now) ? backup : nullptr;
}

const AnnouncedServer *RunContinuation::usableTarget(const OpenRequest &request,
                                                     TimePoint now) const
{
    const AnnouncedServer *target = m_state.servers.find(request.run.target);
    const bool isOther = target && target->name != request.decodeServer && request.accepts(*target);
    return isOther && isUsable(*target, now) ? target : nullptr;
}

const AnnouncedServer *RunContinuation::anyOtherEngine(const OpenRequest &request,
                                                       TimePoint now) const
{
    const auto engines =
        m_state.servers.candidates(request.service->name, EnginePhase::Decode, now);
    const auto other = std::ranges::find_if(engines, [&](const AnnouncedServer *engine) {
        return engine->name != request.decodeServer && request.accepts(*engine)
            && isUsable(*engine, now);
    });
    return other == engines.end() ? nullptr : *other;
}

bool RunContinuation::isUsable(const AnnouncedServer &server, TimePoint now) const
{
    return !m_state.isBlocked(server.name, now)
        && m_state.servers.availability(server.name, now) != ServerAvailability::Leaving;
}

RunState RunContinuation::stateOf(const OpenRequest &request, TimePoint now) const
{
    RunState run = progressOf(request, now);
    run.hasBackup = usableBackup(request, now) != nullptr;
    run.hasTarget = usableTarget(request, now) != nullptr;
    run.mayRequestTarget = m_claims.isAvailable(now) && request.run.targetClaim.isNone()
        && !request.isVersionUnknown();
    return run;
}

} // namespace indigoway::dispatch
