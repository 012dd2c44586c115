#pragma once

#include "dispatch/dispatchstate.h"
#include "dispatch/engineplacement.h"
#include "dispatch/runmover.h"
#include "dispatch/runrecovery.h"
#include "dispatch/schedulerclaims.h"

namespace indigoway::dispatch {

/** Counts of runs whose engine was lost, and of those that were prepared for it. */
struct RunCounts
{
    std::uint64_t withBackup = 0;
    std::uint64_t continuedByBackup = 0;
    std::uint64_t continuedByMove = 0;
    std::uint64_t lost = 0;
    std::uint64_t closedInDoubt = 0; ///< Closes of streams that a stop may have caused.
};

/**
 * Carries out the steps of RunRecovery: asks engines, stops runs and continues them at other
 * engines. Has no effect for services whose engines neither keep backups nor move runs.
 */
class RunContinuation
{
public:
    /** Whether the flow has to resume or end the stream of the request. */
    enum class Result {
        InProgress, ///< No: the run goes on or its continuation is being prepared.
        Lost,       ///< Yes: the run cannot continue.
        Complete,   ///< Yes: the stream has come to its end.
    };

    RunContinuation(DispatchState &state, EnginePlacement &placement, SchedulerClaims &claims)
        : m_state(state)
        , m_placement(placement)
        , m_claims(claims)
    { }

    /**
     * Adds the backup, the silence limit and progress reports to a call that starts or continues
     * the run of @p request.
     */
    void prepare(Step &step, OpenRequest &request, StartCall &call);
    /** Records that the stream of the current call has begun. */
    void streamStarted(Step &step, OpenRequest &request);
    Result connectionLost(Step &step, OpenRequest &request, const OpenCall &call,
                          const CallEnded &event);
    /**
     * Handles the end of a stream that nothing but the orderly close of its connection says. An
     * engine that stops a run closes its stream in the same way.
     */
    Result streamClosed(Step &step, OpenRequest &request, const OpenCall &call,
                        const CallEnded &event);
    Result stopEnded(Step &step, OpenRequest &request, const OpenCall &call,
                     const CallEnded &event);
    /**
     * Handles the decision on the claim for an engine to move the run to.
     * @param granted Null if the claim was refused or withdrawn.
     */
    Result targetDecided(Step &step, OpenRequest &request, const scheduling::ClaimGranted *granted);
    /** Begins to move runs off engines that leave. */
    void tick(Step &step);
    std::optional<TimePoint> nextTick() const { return m_mover.nextCheck(); }
    /** Handles the refusal of the call that should have continued the run. */
    Result continuationRefused(Step &step, OpenRequest &request, const OpenCall &call,
                               const CallEnded &event);
    void streamSilent(Step &step, OpenRequest &request, const StreamSilent &event);
    Result engineChecked(Step &step, OpenRequest &request, const OpenCall &call,
                         const CallEnded &event);
    /** Handles the end of a StopRun whose request has ended. */
    void orphanedStopEnded(Step &step, const OpenCall &call, const CallEnded &event);
    /** Ends the engine check and the claim for a target, and frees the handle of @p request. */
    void release(Step &step, OpenRequest &request);
    const RunCounts &counts() const { return m_counts; }

private:
    /**
     * Carries out @p next.
     * @param engine The engine that executes or executed the run.
     */
    Result apply(Step &step, OpenRequest &request, const AnnouncedServer &engine,
                 const RecoveryStep &next);
    void checkEngine(Step &step, OpenRequest &request, const AnnouncedServer &engine);
    void requestTarget(Step &step, OpenRequest &request);
    void stopRun(Step &step, OpenRequest &request, const AnnouncedServer &engine,
                 const AnnouncedServer &target);
    void continueAtBackup(Step &step, OpenRequest &request, const AnnouncedServer &engine);
    void continueWithHandle(Step &step, OpenRequest &request, const AnnouncedServer &engine,
                            const AnnouncedServer &target);
    void startContinuation(Step &step, OpenRequest &request, const AnnouncedServer &server,
                           StartCall call);
    void freeHandle(Step &step, const AnnouncedServer &server, const std::string &handle);
    /**
     * Returns whether anything but the run's own end may have closed its stream at @p engine in
     * good order.
     */
    bool isCloseInDoubt(const OpenRequest &request, const AnnouncedServer &engine) const;
    /** Returns the engine that keeps the copy, or null if the run cannot continue there. */
    const AnnouncedServer *usableBackup(const OpenRequest &request, TimePoint now) const;
    /** Returns the engine that the scheduler has granted, or null. */
    const AnnouncedServer *usableTarget(const OpenRequest &request, TimePoint now) const;
    /** Returns an engine to name in a request that is only to stop the run; null if none is left.
     */
    const AnnouncedServer *anyOtherEngine(const OpenRequest &request, TimePoint now) const;
    bool isUsable(const AnnouncedServer &server, TimePoint now) const;
    RunState stateOf(const OpenRequest &request, TimePoint now) const;

    DispatchState &m_state;
    EnginePlacement &m_placement;
    SchedulerClaims &m_claims;
    RunMover m_mover;
    RunCounts m_counts;
};

} // namespace indigoway::dispatch
