#pragma once

#include "dispatch/dispatchstate.h"
#include "dispatch/engineplacement.h"
#include "dispatch/phasecontroller.h"
#include "dispatch/retrydetector.h"
#include "dispatch/runcontinuation.h"
#include "dispatch/schedulerclaims.h"
#include "dispatch/waitinggenerations.h"

#include <vector>

namespace indigoway::dispatch {

/**
 * Handles generations: reserves memory at a decode engine, has a prefill engine process the prompt,
 * then transfers the KV cache and streams. Prefill starts only after the reservation, as unclaimed
 * KV caches expire. Requests without a reservation are queued here, not at the engines.
 */
class GenerationFlow : public RequestFlow
{
public:
    explicit GenerationFlow(DispatchState &state)
        : m_state(state)
        , m_placement(state.tracker)
        , m_phases(state)
        , m_claims(state)
        , m_runs(state, m_placement, m_claims)
    { }

    /** Removes the statistics of an engine that has been removed. */
    void forget(const ServerName &server) { m_placement.forget(server); }
    PhaseController &phases() { return m_phases; }
    const PhaseController &phases() const { return m_phases; }
    /** Sets the node that schedules the engines; nothing if this node chooses them. */
    void setScheduler(std::optional<NodeName> name) { m_claims.setScheduler(std::move(name)); }
    void schedulerAnswered(Step &step, const SchedulerAnswered &event);

    const RunCounts &runCounts() const { return m_runs.counts(); }
    /** Handles a call with a silence limit whose server sends nothing. */
    void streamSilent(Step &step, OpenRequest &request, const StreamSilent &event)
    {
        m_runs.streamSilent(step, request, event);
    }
    /** Handles the end of a request to stop the run of @p request. */
    void stopEnded(Step &step, OpenRequest &request, const OpenCall &call, const CallEnded &event);
    /** Handles the end of a connection attempt to the engine of @p request. */
    void engineChecked(Step &step, OpenRequest &request, const OpenCall &call,
                       const CallEnded &event);

    void begin(Step &step, OpenRequest &request) override;
    void streamStarted(Step &step, OpenRequest &request, const StreamStarted &event) override;
    void callEnded(Step &step, OpenRequest &request, const OpenCall &call,
                   const CallEnded &event) override;
    void orphanedCallEnded(Step &step, const OpenCall &call, const CallEnded &event) override;
    void permitDecided(Step &step, OpenRequest &request, const ServerName &server,
                       bool isGranted) override;
    void release(Step &step, OpenRequest &request) override;
    std::optional<TimePoint> tick(Step &step) override;
    std::size_t waiting() const { return m_waiting.size(); }

private:
    void enqueue(Step &step, OpenRequest &request);
    void processQueue(Step &step);
    /** Rejects what waits if no decode engine has room or accepts requests in time. */
    void rejectLate(Step &step);
    void claimForWaiting(Step &step);
    bool reserve(Step &step, OpenRequest &request);
    /** Reserves memory at @p server as soon as there is a permit for the run that follows. */
    void reserveAt(Step &step, OpenRequest &request, const AnnouncedServer &server);
    void startReservation(Step &step, OpenRequest &request, const AnnouncedServer &server);
    /** Returns the request to the queue; engines that are blocked now are not chosen again. */
    void waitForOtherEngine(Step &step, OpenRequest &request);
    void reserveEnded(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    /** Chooses a prefill engine and sends it the prompt as soon as there is a permit. */
    void prefill(Step &step, OpenRequest &request);
    void startPrefill(Step &step, OpenRequest &request, const AnnouncedServer &server);
    /** Returns the prefill engine chosen by the scheduler, once, or null if it cannot be used. */
    const AnnouncedServer *plannedPrefill(Step &step, OpenRequest &request);
    void prefillEnded(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void decode(Step &step, OpenRequest &request, bool isWhole);
    /** Handles the answer to startLifeCheck(). */
    void lifeChecked(Step &step, OpenRequest &request, const OpenCall &call,
                     const CallEnded &event);
    void decodeEnded(Step &step, OpenRequest &request, const OpenCall &call,
                     const CallEnded &event);
    void targetDecided(Step &step, OpenRequest &request, const scheduling::ClaimGranted *granted);
    void withdrawClaims(Step &step);
    /** Handles an answer that looks whole and whose events were forwarded. */
    void streamEnded(Step &step, OpenRequest &request, const OpenCall &call,
                     const CallEnded &event);
    /** Resumes or ends the stream of a run that has ended or cannot continue. */
    void conclude(Step &step, OpenRequest &request, RunContinuation::Result result);
    /** @param end What proves that the stream is complete. */
    void completeStream(Step &step, OpenRequest &request, StreamEnd end);
    void decodeNotExecuted(Step &step, OpenRequest &request, const OpenCall &call,
                           const CallEnded &event);
    void decodeFailed(Step &step, OpenRequest &request, const CallEnded &event);
    /**
     * Checks the crash records and the retry budget before a call; the first call is not a retry.
     * @return False if the request has been ended.
     */
    bool maySend(Step &step, OpenRequest &request);
    void recordFailure(Step &step, const ServerName &server, CallEnd end);
    void failUnsent(Step &step, OpenRequest &request, const std::string &reason);
    /** Ends a request that no server's software version allows to continue. */
    void failUnservable(Step &step, OpenRequest &request);
    /** Releases the engine load, reservation, handle and claim of @p request. */
    void releaseResources(Step &step, OpenRequest &request, scheduling::ClaimOutcome result);
    std::vector<const AnnouncedServer *> candidateEngines(Step &step, const OpenRequest &request,
                                                          EnginePhase phase) const;

    DispatchState &m_state;
    EnginePlacement m_placement;
    PhaseController m_phases;
    SchedulerClaims m_claims;
    RunContinuation m_runs;
    RetryDetector m_retryDetector;
    WaitingGenerations m_waiting;
    std::uint32_t m_reservationsInProgress = 0;
};

} // namespace indigoway::dispatch
