#pragma once

#include "dispatch/dispatchevents.h"

#include <indigoway/routing.h>

#include <cstdint>
#include <optional>

namespace indigoway::dispatch {

/** Time after which an engine that accepts no connection is unreachable. */
constexpr Duration EngineAnswerLimit = std::chrono::milliseconds(100);

/** What the node knows of a run whose engine may be lost. */
struct RunState
{
    bool hasBackup = false;           ///< An engine is asked to keep a copy of the KV cache.
    bool hasTarget = false;           ///< The scheduler has granted another engine.
    bool mayRequestTarget = false;    ///< The scheduler responds and was not asked yet.
    std::uint32_t stopRequests = 0;   ///< Requests to stop the run at its present engine.
    bool isClosedInDoubt = false;     ///< Its stream was closed in good order, maybe by a stop.
    std::uint32_t continuations = 0;  ///< How often the run continued elsewhere.
    std::uint32_t events = 0;         ///< Events forwarded to the caller.
    std::uint32_t expectedEvents = 0; ///< Of the complete answer.
    Duration decodeTime {};           ///< From the first event to the last one.
    Duration timeLeft {};             ///< Until the caller gives up.
};

/** Result of a request to stop a run. */
enum class StopResult {
    Unreachable,   ///< No connection in time; the engine may go on with the run.
    Refused,       ///< No process listens at the engine's address.
    OtherInstance, ///< The engine was replaced or has restarted.
    NoSuchRun,
    NotExecuted, ///< The engine states that it did not and will not carry out the request.
    Moved,       ///< Stopped; the KV cache is at the target.
    NotMoved,    ///< Stopped; the KV cache is still at the engine.
    NoHandle,    ///< Any other answer; whether the run was stopped is not known.
    Unknown,     ///< The answer was lost or cannot be read.
};

StopResult stopResultOf(const CallEnded &event);
/**
 * Returns whether @p result proves what has become of the request to stop the run: it was not sent,
 * the engine has not carried it out and will not, or has returned the handle of the stopped run.
 */
bool isSettledBy(StopResult result);
const char *nameOf(StopResult result);

/** Result of a connection to an engine whose stream was lost or is silent. */
enum class EngineCheck {
    Connected, ///< By this node itself.
    Relayed,   ///< Only by another node: the path of this node is lost.
    NoAnswer,  ///< No connection in time; the engine may go on with the run.
    Refused,   ///< No process listens at the engine's address.
};

EngineCheck engineCheckOf(const CallEnded &event);

/** The next step for a run whose engine may be lost. */
struct RecoveryStep
{
    enum class Kind {
        Wait,          ///< Leaves the stream open.
        AskEngine,     ///< Opens a connection to the engine without stopping the run.
        RequestTarget, ///< Asks the scheduler for another engine.
        /**
         * Stops the run and moves its KV cache to the target or the backup. Without these it goes
         * on at its engine.
         */
        StopRun,
        ContinueAtBackup, ///< Continues with the copy at the backup.
        ContinueAtTarget, ///< Continues with the handle where the KV cache was moved to.
        ContinueAtEngine, ///< Continues with the handle at the engine that executed the run.
        GiveUp,           ///< Resumes the stream if the route allows it, else ends it.
    };
    Kind kind = Kind::Wait;
    const char *reason = ""; ///< Of GiveUp.
    bool operator==(const RecoveryStep &other) const { return kind == other.kind; }
};

/**
 * Decides how a run continues whose engine may be lost. A run continues elsewhere only if it is
 * over at its engine: the engine says so, was replaced, or its machine refuses connections. Silence
 * is no proof, however the engine is asked: a sound engine may be silent for a second and go on.
 */
class RunRecovery
{
public:
    explicit RunRecovery(const EngineTraits &traits)
        : m_traits(traits)
    { }

    /**
     * Returns the time without an event that is reported; nothing if nothing follows from it. The
     * copy of a run with a backup is dropped soon after its engine has ended.
     */
    std::optional<Duration> silenceLimit(bool hasBackup) const;
    /** Decides after the connection of the run's stream has ended early. */
    RecoveryStep connectionLost(const RunState &run) const;
    /** Decides after a request to stop the run has ended. */
    RecoveryStep stopEnded(const RunState &run, StopResult result) const;
    /** Decides when the stream has been silent for longer than the silence limit. */
    RecoveryStep streamSilent(const RunState &run, bool isPathLost = false) const;
    /** Returns how long the run is expected to go on; nothing if its speed is unknown. */
    static std::optional<Duration> remainingTime(const RunState &run);
    /**
     * Decides for a run whose engine leaves.
     * @param engineTimeLeft How long the engine is expected to go on.
     */
    RecoveryStep engineLeaving(const RunState &run, Duration engineTimeLeft) const;
    /** Decides for a run that has lost its engine, after the scheduler has answered RequestTarget.
     */
    RecoveryStep targetDecided(const RunState &run) const;
    /**
     * Decides after AskEngine.
     * @param isStreamOpen Whether the stream's connection is still open.
     */
    RecoveryStep engineAsked(const RunState &run, EngineCheck check, bool isStreamOpen) const;

private:
    static RecoveryStep continueAtBackup(const RunState &run);

    const EngineTraits &m_traits;
};

} // namespace indigoway::dispatch
