#pragma once

#include "dispatch/dispatchstate.h"
#include "scheduling/generationwork.h"

#include <indigoway/routing.h>

#include <map>
#include <optional>
#include <vector>

namespace indigoway::dispatch {

/**
 * Computes how many engines of a service should prefill, from the work of observed generations.
 * Without observations the engines keep their configured phases.
 */
class PhaseBalance
{
public:
    void updateWork(const ServiceName &service, const scheduling::GenerationWork &work);
    /** Returns null if no work has been observed. */
    const scheduling::GenerationWork *work(const ServiceName &service) const;
    /**
     * Returns the number of engines, out of @p all, that should prefill for the highest throughput
     * with @p work. Returns @p present if a change would gain little.
     */
    static std::uint32_t preferredPrefillCount(std::uint32_t all, std::uint32_t present,
                                               const EngineTraits &traits,
                                               const scheduling::GenerationWork &work);

private:
    std::map<ServiceName, scheduling::GenerationWork> m_work;
};

/** An order for an engine to change its phase. */
struct PhaseOrder
{
    const AnnouncedServer *server = nullptr;
    EnginePhase phase = EnginePhase::None;
};

/**
 * Plans which engines change their phase. A changing engine is out of service for seconds, so only
 * lasting differences are corrected, and the effect of earlier orders is awaited.
 */
class PhaseOrderPlanner
{
public:
    /**
     * Returns the orders that are due.
     * @param mayGive Whether the orders are recorded as given. A node without a registered order
     * right passes false to check whether it needs one.
     */
    std::vector<PhaseOrder> decide(TimePoint now, const Service &service,
                                   const ServerDirectory &servers, const PhaseBalance &balance,
                                   bool mayGive = true);
    /** Cancels the order of an engine that refused it. */
    void cancel(const ServerName &server);
    /** Returns the phase of the last order. */
    EnginePhase orderedPhase(const ServerName &server) const;
    /** Returns whether the engine may be changing its phase; it gets no new work. */
    bool isChanging(const ServerName &server, TimePoint now) const;
    /** Returns the remaining time of the change; 0 if there is none. */
    Duration remainingChangeTime(const ServerName &server, TimePoint now) const;
    /** Removes changes that have ended. */
    void removeExpired(TimePoint now);

private:
    struct ServiceState
    {
        int difference = 0; ///< Prefill engines beyond the wanted number.
        TimePoint since {};
        std::size_t engines = 0;
        std::optional<TimePoint> lastBatch;
    };
    struct Change
    {
        EnginePhase to = EnginePhase::None;
        TimePoint until {};
    };

    std::map<ServiceName, ServiceState> m_services;
    std::map<ServerName, Change> m_changing;
};

} // namespace indigoway::dispatch
