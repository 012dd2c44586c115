#pragma once

#include "dispatch/dispatchstate.h"
#include "dispatch/engineplacement.h"
#include "dispatch/patienceseen.h"
#include "dispatch/phasechanges.h"
#include "dispatch/schedulerclaims.h"

#include <set>
#include <vector>

namespace indigoway::dispatch {

/**
 * Generations. Room at a decode engine is reserved first, then the prompt is read by a prefill
 * engine, then the decode engine takes its KV cache over and streams. A prompt is never read
 * before there is room for what comes of it: a KV cache that finds no decode engine lapses within
 * a second, and the work is lost. What finds no room waits here, in order, and not at an engine.
 */
class GenerationFlow : public RequestFlow
{
public:
    explicit GenerationFlow(DispatchState &state)
        : m_state(state)
        , m_placement(state.tracker)
        , m_phases(state)
    { }

    /** The engine has vanished for good. */
    void forget(const ServerName &server) { m_placement.forget(server); }
    PhaseChanges &phases() { return m_phases; }
    const PhaseChanges &phases() const { return m_phases; }
    /** The node that schedules the engines; nothing if this node chooses by itself. */
    void setScheduler(std::optional<NodeName> name) { m_claims.setScheduler(std::move(name)); }
    void schedulerAnswered(Step &step, const SchedulerAnswered &event);

    void begin(Step &step, OpenRequest &request) override;
    void streamBegan(Step &step, OpenRequest &request, const StreamBegan &event) override;
    void callEnded(Step &step, OpenRequest &request, const OpenCall &call,
                   const CallEnded &event) override;
    void orphanEnded(Step &step, const OpenCall &call, const CallEnded &event) override;
    void release(Step &step, OpenRequest &request) override;
    std::optional<TimePoint> tick(Step &step) override;
    std::size_t waiting() const { return m_waiting.size(); }

private:
    void enqueue(Step &step, OpenRequest &request);
    void pump(Step &step);
    OpenRequest *nextWaiting(Step &step);
    void rejectHopeless(Step &step);
    void claimForWaiting(Step &step);
    bool reserve(Step &step, OpenRequest &request);
    void reserveAt(Step &step, OpenRequest &request, const AnnouncedServer &server);
    void reserveEnded(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void prefill(Step &step, OpenRequest &request);
    /** The scheduler's choice, once, if it may still be used; else null. */
    const AnnouncedServer *plannedPrefill(Step &step, OpenRequest &request);
    void prefillEnded(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void decode(Step &step, OpenRequest &request, bool isWhole);
    void decodeEnded(Step &step, OpenRequest &request, const OpenCall &call,
                     const CallEnded &event);
    void decodeNotRun(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void decodeBroken(Step &step, OpenRequest &request, const CallEnded &event);
    /**
     * Whether the next call may be sent; else the request has ended. Others may have found out
     * meanwhile that servers crash under it. The first arrival is free, later ones are retries.
     */
    bool maySend(Step &step, OpenRequest &request);
    void noteFailure(Step &step, const ServerName &server, CallEnd end);
    void giveUpNotRun(Step &step, OpenRequest &request, const std::string &why);
    /** Gives back memory charged, reservation, handle and claim. */
    void giveBack(Step &step, OpenRequest &request, scheduling::ClaimOutcome how);
    std::vector<const AnnouncedServer *> engines(Step &step, const OpenRequest &request,
                                                 EnginePhase phase) const;

    DispatchState &m_state;
    EnginePlacement m_placement;
    PhaseChanges m_phases;
    SchedulerClaims m_claims;
    PatienceSeen m_patience;
    std::set<RequestNumber> m_waiting;
    std::uint32_t m_reserving = 0;
};

} // namespace indigoway::dispatch
