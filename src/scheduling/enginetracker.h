#pragma once

#include "scheduling/kvtransferfaults.h"
#include "scheduling/memoryforecast.h"
#include "scheduling/prefillestimator.h"
#include "scheduling/schedulermessages.h"

#include <indigoway/announcedserver.h>
#include <indigoway/ids.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace indigoway::scheduling {

/** Prompt that was assigned to a prefill engine. */
struct PrefillAssignment
{
    ServerName server;
    TimePoint granted {};
    TimePoint expectedEnd {}; ///< Expected arrival of the response, as estimated at the grant.
    Duration queueShift {};   ///< Queue shift of the engine at the grant.
    std::uint32_t tokens = 0;
    bool wasEngineIdle = false; ///< Whether the engine had an empty queue.
    /** Whether the prompt arrives before the engine finishes the preceding one. */
    bool isBackToBack = false;
    Duration computeTime {};    ///< Expected time for which the prompt occupies the engine.
    std::uint64_t sequence = 0; ///< Sequence number in the engine's queue.
};

/** Keeps the state of each engine: reserved memory, queued prompts, failures and speed. */
class EngineTracker
{
public:
    void addRun(const ServerName &server, RunNumber run, const MemoryNeed &need, TimePoint now);
    /** Records that the run generates tokens from now on. */
    void beginDecode(const ServerName &server, RunNumber run, TimePoint now);
    void removeRun(const ServerName &server, RunNumber run);
    /** Returns the projected memory use of the runs on @p server. */
    MemoryProjection memoryProjection(const ServerName &server, const DecodeEstimator &estimator,
                                      TimePoint now) const;

    /** Returns the queueing delay of a prompt that is sent now. */
    Duration prefillWait(const ServerName &server, TimePoint now) const;
    /** Returns the time from sending a prompt to its response. */
    Duration prefillTime(const ServerName &server, std::uint32_t tokens,
                         const PrefillEstimator &estimator, TimePoint now) const;
    /**
     * Returns whether a prompt that is sent now would arrive before the engine finishes the only
     * one in its queue.
     */
    bool wouldRunBackToBack(const ServerName &server, TimePoint now) const;
    PrefillAssignment beginPrefill(const ServerName &server, std::uint32_t tokens,
                                   const PrefillEstimator &estimator, TimePoint now);
    /**
     * Corrects the estimates of the engine's queue and slowdown by the actual response time, and
     * adds a sample, normalised to a typical engine, to @p estimator.
     */
    void completePrefill(const PrefillAssignment &assignment, PrefillEstimator &estimator,
                         TimePoint now);
    /**
     * Removes a prompt that failed on the engine. The failure is no sample of the engine's speed.
     */
    void failPrefill(const PrefillAssignment &assignment, TimePoint now);
    /**
     * Removes a prompt that the engine doesn't process, because it had no memory or its caller
     * left. Prompts queued behind it are processed earlier.
     */
    void cancelPrefill(const PrefillAssignment &assignment, TimePoint now);
    /**
     * Records that a decode engine processes a prompt itself, interleaved with the tokens of its
     * runs.
     */
    void beginLocalPrefill(const ServerName &server, std::uint32_t tokens,
                           const PrefillEstimator &estimator, TimePoint now);
    /**
     * Returns whether enough time has passed since the engine's last local prefill for its runs to
     * progress.
     */
    bool canPrefillLocally(const ServerName &server, TimePoint now) const;
    /** Returns the prefill throughput of a decode engine relative to that of a prefill engine. */
    static double localPrefillRatio();
    /**
     * Records that the engine refused a run for lack of memory.
     * @param memory Total memory of the engine in tokens.
     */
    void recordOutOfMemory(const ServerName &server, std::uint64_t memory, TimePoint now);
    void recordFailure(const ServerName &server, TimePoint now);
    /** Records a refused connection. Unlike a failed request, it excludes the engine at once. */
    void recordUnreachable(const ServerName &server, TimePoint now);
    /** Records that @p decode failed to fetch a KV cache from @p prefill. */
    void recordTransferFailure(const ServerName &prefill, const ServerName &decode, TimePoint now);
    /**
     * Records that the engine has been, or is about to be, ordered to change its phase. It refuses
     * new work until it is announced in its new phase.
     */
    void recordPhaseChange(const PhaseChangeNotice &notice, TimePoint now);
    /**
     * Returns the phase of @p server: the announced one, or the new one if the engine has accepted
     * an order and the time for the change has passed. Announcements arrive through the store;
     * while it is unavailable, changed engines would otherwise stay idle.
     */
    EnginePhase phaseOf(const AnnouncedServer &server, TimePoint now) const;
    void recordSuccess(const ServerName &server);
    /**
     * Removes the state of engines that have had no work for some time. Each start of an engine has
     * a new name, so the map would otherwise grow without bound.
     */
    void removeIdle(TimePoint now);
    std::size_t size() const { return m_engines.size(); }
    /**
     * Returns whether the engine can't be used now, because it refuses connections, fails all
     * requests, has just refused a run for lack of memory, or changes its phase.
     */
    bool isUnavailable(const AnnouncedServer &server, TimePoint now) const;
    /**
     * Returns whether the engine fails some of its requests, so that it is used only if no other
     * engine has enough memory.
     */
    bool isSuspect(const ServerName &server, TimePoint now) const;
    const KvTransferFaults &transferFaults() const { return m_transferFaults; }

private:
    struct QueuedPrompt
    {
        std::uint64_t sequence = 0;
        Duration timeSaved {}; ///< Compute time of cancelled prompts ahead of this one.
    };
    struct Engine
    {
        MemoryForecast memory;
        std::deque<QueuedPrompt> queue; ///< Prompts in the order in which they are processed.
        std::uint64_t lastSequence = 0;
        /** Time of the last response to a prompt; unset after a failed or cancelled one. */
        TimePoint lastResponse {};
        TimePoint busyUntil {};
        Duration queueShift {}; ///< Sum of all corrections of busyUntil.
        double slowdown = 1;    ///< Processing time relative to that of a typical engine.
        TimePoint slowdownUpdatedAt {};
        std::uint32_t consecutiveFailures = 0;
        TimePoint suspectUntil {};
        TimePoint avoidedUntil {};
        TimePoint outOfMemoryUntil {};
        TimePoint localPrefillAfter {};
        TimePoint phaseChangeEnd {};
        EnginePhase targetPhase = EnginePhase::None;
        /** Whether the engine has accepted the change to targetPhase. */
        bool isPhaseChangeAccepted = false;
        TimePoint lastUsed {};
    };

    /**
     * Removes the prompt from its engine's queue.
     * @return Compute time of cancelled prompts that were ahead of it.
     */
    static Duration removeFromQueue(Engine &engine, const PrefillAssignment &assignment,
                                    TimePoint now);
    const Engine *find(const ServerName &server) const;
    static Duration computeTimeOf(const Engine *engine, std::uint32_t tokens,
                                  const PrefillEstimator &estimator, TimePoint now);
    static double slowdownOf(const Engine &engine, TimePoint now);

    std::map<ServerName, Engine> m_engines;
    KvTransferFaults m_transferFaults;
};

} // namespace indigoway::scheduling
