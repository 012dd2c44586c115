#pragma once

#include "dispatch/dispatchstate.h"

#include <indigoway/routing.h>

#include <map>
#include <optional>
#include <vector>

namespace indigoway::dispatch {

/** What one generation takes of the engines, as seen by this node. */
struct GenerationWork
{
    /**
     * Of an engine's time, for a prompt of 5,200 tokens: 18 us a token and a step for each piece,
     * measured on engines that were otherwise idle.
     */
    double prefillSeconds = 0.125;
    /** Mean over the memory of a generation and the time that it decodes, measured likewise. */
    double decodeTokenSeconds = 16'000;
};

/**
 * How many of a service's engines should prefill. Decode memory and prefill time are given out
 * from the same engines; where one phase has more than its part, the other one binds while the
 * first idles. At 90 engines of 38,223 tokens 31 prefill engines were a third busy at the burst
 * while requests waited for decode memory.
 */
class PhaseBalance
{
public:
    void decodeSeen(std::uint64_t tokens, Duration took);
    const GenerationWork &work() const { return m_work; }
    /** Engines of @p all that should prefill. */
    std::uint32_t prefillWanted(std::uint32_t all, const EngineTraits &traits) const;

private:
    GenerationWork m_work;
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
    std::vector<PhaseOrder> decide(TimePoint now, const Service &service,
                                   const ServerDirectory &servers, const PhaseBalance &balance);
    /** The engine has refused; it stays what it is for now. */
    void refused(const ServerName &server);
    /** The phase that it was last ordered to take. */
    EnginePhase orderedPhase(const ServerName &server) const;
    /** Changing, or perhaps so: gets no new work. */
    bool isChanging(const ServerName &server, TimePoint now) const;
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
