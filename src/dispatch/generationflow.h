#pragma once

#include "dispatch/dispatchstate.h"
#include "dispatch/engineplacement.h"
#include "dispatch/phasebalance.h"

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
    { }

    /**
     * Has engines change their phase where one phase binds and the other idles. Only the node
     * that holds the right to give orders may; @p token proves it.
     */
    void orderPhases(Step &step, const RouteTable &table, std::uint64_t token);
    void reportEnded(Step &step, const OpenCall &call, const CallEnded &event);
    void orderEnded(Step &step, const OpenCall &call, const CallEnded &event);

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
    /** Whether a new request would wait in vain. */
    bool isCrowded(TimePoint now) const;
    bool reserve(Step &step, OpenRequest &request);
    void reserveEnded(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void prefill(Step &step, OpenRequest &request);
    void prefillEnded(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void decode(Step &step, OpenRequest &request, bool isWhole);
    void decodeEnded(Step &step, OpenRequest &request, const OpenCall &call,
                     const CallEnded &event);
    void decodeNotRun(Step &step, OpenRequest &request, const OpenCall &call,
                      const CallEnded &event);
    void decodeBroken(Step &step, OpenRequest &request, const CallEnded &event);
    /** Whether the next call may be sent: the first arrival is free, the others are retries. */
    bool takeExtra(Step &step, OpenRequest &request);
    void noteFailure(Step &step, const ServerName &server, CallEnd end);
    void giveUpNotRun(Step &step, OpenRequest &request, const std::string &why);
    void startCall(Step &step, OpenRequest &request, const AnnouncedServer &server, StartCall call);
    /** Gives back memory charged, reservation and handle. */
    void giveBack(Step &step, OpenRequest &request);
    std::vector<const AnnouncedServer *> engines(Step &step, const OpenRequest &request,
                                                 EnginePhase phase) const;

    DispatchState &m_state;
    EnginePlacement m_placement;
    PhaseBalance m_balance;
    PhaseOrders m_orders;
    std::uint64_t m_orderToken = 0;
    TimePoint m_orderTokenAt {}; ///< When the token was known to hold.
    std::set<RequestNumber> m_waiting;
    std::uint32_t m_reserving = 0;
};

} // namespace indigoway::dispatch
