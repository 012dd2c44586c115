#pragma once

#include "dispatch/dispatchstate.h"
#include "scheduling/generationwork.h"

#include <indigoway/routing.h>

#include <map>
#include <optional>
#include <vector>

namespace indigoway::dispatch {

/**
 * How many of a service's engines should prefill. Decode memory and prefill time are given out
 * from the same engines; where one phase has more than its part, the other one binds while the
 * first idles. It goes by the work that generations were seen to make. Until there is such work,
 * the engines stay as their operators set them up: an estimate from another fleet turned engines
 * before the traffic that had to be turned back in it.
 */
class PhaseBalance
{
public:
    void learn(const ServiceName &service, const scheduling::GenerationWork &work);
    /** Null if nothing has been learnt. */
    const scheduling::GenerationWork *work(const ServiceName &service) const;
    /**
     * Engines of @p all that should prefill for @p work: those that let most generations through.
     * It stays @p present where a change would gain little.
     */
    static std::uint32_t prefillWanted(std::uint32_t all, std::uint32_t present,
                                       const EngineTraits &traits,
                                       const scheduling::GenerationWork &work);

private:
    std::map<ServiceName, scheduling::GenerationWork> m_work;
};

/** An order to be given now. */
struct PhaseOrder
{
    const AnnouncedServer *server = nullptr;
    EnginePhase phase = EnginePhase::None;
};

/**
 * Which engines are to change their phase, and when. An engine that changes is away for seconds,
 * so that only a difference that lasts is acted on, and not again before its effect shows.
 */
class PhaseOrders
{
public:
    /**
     * The orders that are due. They count as given only if @p mayGive: a node whose right to give
     * them is not on record yet finds out so that it needs that.
     */
    std::vector<PhaseOrder> decide(TimePoint now, const Service &service,
                                   const ServerDirectory &servers, const PhaseBalance &balance,
                                   bool mayGive = true);
    /** The engine has refused; it stays what it is for now. */
    void refused(const ServerName &server);
    /** The phase that it was last ordered to take. */
    EnginePhase orderedPhase(const ServerName &server) const;
    /** Changing, or perhaps so: gets no new work. */
    bool isChanging(const ServerName &server, TimePoint now) const;
    /** For how long yet; 0 if it is not. */
    Duration changesFor(const ServerName &server, TimePoint now) const;
    /** The engines that got an order and may still be changing. */
    void forget(TimePoint now);

private:
    struct PerService
    {
        int difference = 0; ///< Prefill engines beyond those wanted.
        TimePoint since {};
        std::size_t engines = 0;
        std::optional<TimePoint> lastBatch;
    };
    struct Change
    {
        EnginePhase to = EnginePhase::None;
        TimePoint until {};
    };

    std::map<ServiceName, PerService> m_services;
    std::map<ServerName, Change> m_changing;
};

} // namespace indigoway::dispatch
