#include "runrecovery.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

using Kind = RecoveryStep::Kind;

/**
 * Maximum age of the last part of a copy when the last event is forwarded. Engines send several
 * parts a second.
 */
constexpr Duration MaxPartAge = std::chrono::milliseconds(150);
/** Time from the decision until the continuing request has reached the backup. */
constexpr Duration ReachTime = std::chrono::milliseconds(50);
/** Shorter silences are regular pauses between events. */
constexpr Duration MinSilenceLimit = std::chrono::milliseconds(150);
/** Longer silences only delay the caller, however long the copy is kept. */
constexpr Duration MaxSilenceLimit = std::chrono::milliseconds(500);
/** Ends a request that breaks at each engine, for example because of its content. */
constexpr std::uint32_t MaxContinuations = 3;
/**
 * If the answer to the first request to stop the run is lost, the answer to the second shows
 * whether the run has stopped.
 */
constexpr std::uint32_t MaxStopRequests = 2;

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Misdirected = 421;
constexpr int ServiceUnavailable = 503;

} // namespace

StopResult stopResultOf(const CallEnded &event)
{
    if (isUnsent(event.end)) {
        return event.isRefused ? StopResult::Refused : StopResult::Unreachable;
    }
    if (isCutShort(event.end)) {
        return StopResult::Unknown;
    }
    const StopResult withoutHandle =
        event.end == CallEnd::NotExecuted ? StopResult::NotExecuted : StopResult::NoHandle;
    switch (event.status) {
    case Ok:
        return event.handle.empty() ? StopResult::Unknown : StopResult::Moved;
    case NotFound:
        return StopResult::NoSuchRun;
    case Misdirected:
        return StopResult::OtherInstance;
    case ServiceUnavailable:
        return event.handle.empty() ? withoutHandle : StopResult::NotMoved;
    default:
        return withoutHandle;
    }
}

bool isSettledBy(StopResult result)
{
    return result != StopResult::NoHandle && result != StopResult::Unknown;
}

const char *nameOf(StopResult result)
{
    switch (result) {
    case StopResult::Unreachable:
        return "unreachable";
    case StopResult::Refused:
        return "refused";
    case StopResult::OtherInstance:
        return "other_instance";
    case StopResult::NoSuchRun:
        return "no_such_run";
    case StopResult::NotExecuted:
        return "not_executed";
    case StopResult::Moved:
        return "moved";
    case StopResult::NotMoved:
        return "not_moved";
    case StopResult::NoHandle:
        return "no_handle";
    case StopResult::Unknown:
        return "unknown";
    }
    return "";
}

EngineCheck engineCheckOf(const CallEnded &event)
{
    if (event.end == CallEnd::Complete) {
        return event.relay.isEmpty() ? EngineCheck::Connected : EngineCheck::Relayed;
    }
    return event.isRefused ? EngineCheck::Refused : EngineCheck::NoAnswer;
}

std::optional<Duration> RunRecovery::silenceLimit(bool hasBackup) const
{
    if (!hasBackup || !m_traits.keepsBackups) {
        return m_traits.movesRuns ? std::optional(MaxSilenceLimit) : std::nullopt;
    }
    const Duration limit = m_traits.handleKept - MaxPartAge - EngineAnswerLimit - ReachTime;
    if (limit < MinSilenceLimit) {
        return std::nullopt;
    }
    return std::min(limit, MaxSilenceLimit);
}

RecoveryStep RunRecovery::connectionLost(const RunState &run) const
{
    if (run.timeLeft.count() <= 0) {
        return {Kind::GiveUp, "no time left"};
    }
    if (run.continuations >= MaxContinuations) {
        return {Kind::GiveUp, "continued too often"};
    }
    if (run.events == 0) {
        // Without the id of an event, the continuation would be a second run of the request.
        return {Kind::GiveUp, "no event yet"};
    }
    if (m_traits.movesRuns) {
        const bool needsTarget = !run.hasBackup && !run.hasTarget && run.mayRequestTarget;
        return {needsTarget ? Kind::RequestTarget : Kind::StopRun};
    }
    if (run.hasBackup) {
        return {Kind::AskEngine};
    }
    return {Kind::GiveUp, "no other engine"};
}

RecoveryStep RunRecovery::stopEnded(const RunState &run, StopResult result) const
{
    switch (result) {
    case StopResult::Refused:
    case StopResult::OtherInstance:
    case StopResult::NoSuchRun:
        return continueAtBackup(run);
    case StopResult::Moved:
        return {Kind::ContinueAtTarget};
    case StopResult::NotMoved:
        return {Kind::ContinueAtEngine};
    case StopResult::NotExecuted:
        return {Kind::GiveUp, "run not stopped"};
    case StopResult::NoHandle:
        if (!run.isClosedInDoubt) {
            return {Kind::GiveUp, "unknown whether the run was stopped"};
        }
        break; // An engine that has stopped the run names its handle if it is asked again.
    case StopResult::Unreachable:
    case StopResult::Unknown:
        break;
    }
    if (run.stopRequests < MaxStopRequests) {
        return {Kind::StopRun};
    }
    return {Kind::GiveUp, "unknown whether the run is over"};
}

RecoveryStep RunRecovery::streamSilent(const RunState &run, bool isPathLost) const
{
    const bool mayContinue = run.timeLeft.count() > 0 && run.events > 0;
    if (mayContinue && run.hasBackup) {
        return {Kind::AskEngine};
    }
    const bool mayMove =
        m_traits.movesRuns && run.mayRequestTarget && run.continuations < MaxContinuations;
    return {mayContinue && mayMove && isPathLost ? Kind::RequestTarget : Kind::Wait};
}

std::optional<Duration> RunRecovery::remainingTime(const RunState &run)
{
    if (run.events < 2 || run.decodeTime.count() <= 0) {
        return std::nullopt;
    }
    // A run that exceeds its expected length has at least one event to go.
    const std::uint32_t left =
        run.expectedEvents > run.events ? run.expectedEvents - run.events : 1;
    return run.decodeTime / (run.events - 1) * left;
}

RecoveryStep RunRecovery::engineLeaving(const RunState &run, Duration engineTimeLeft) const
{
    const bool mayMove = m_traits.movesRuns && run.mayRequestTarget && run.timeLeft.count() > 0
        && run.continuations < MaxContinuations && run.events > 0;
    const auto remaining = remainingTime(run);
    const bool outlastsEngine = !remaining || *remaining > engineTimeLeft;
    return {mayMove && outlastsEngine ? Kind::RequestTarget : Kind::Wait};
}

RecoveryStep RunRecovery::targetDecided(const RunState &run) const
{
    if (run.timeLeft.count() <= 0) {
        return {Kind::GiveUp, "no time left"};
    }
    // Resumed elsewhere without being stopped, it would run at two engines.
    return {Kind::StopRun};
}

RecoveryStep RunRecovery::engineAsked(const RunState &run, EngineCheck check,
                                      bool isStreamOpen) const
{
    if (check == EngineCheck::Refused) {
        return continueAtBackup(run);
    }
    const bool mayStop = m_traits.movesRuns && (run.hasBackup || run.hasTarget);
    if (isStreamOpen && check == EngineCheck::Relayed && mayStop) {
        return {Kind::StopRun};
    }
    if (isStreamOpen) {
        return {Kind::Wait};
    }
    return {Kind::GiveUp, "the engine may still execute the run"};
}

RecoveryStep RunRecovery::continueAtBackup(const RunState &run)
{
    if (!run.hasBackup) {
        return {Kind::GiveUp, "no backup"};
    }
    if (run.timeLeft.count() <= 0) {
        return {Kind::GiveUp, "no time left"};
    }
    return {Kind::ContinueAtBackup};
}

} // namespace indigoway::dispatch
