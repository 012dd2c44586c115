#pragma once

#include <indigoway/ids.h>

#include <array>
#include <cstdint>

namespace indigoway::scheduling {

/**
 * Estimates the fraction of a service's runs that are lost with their engine, from the outcomes of
 * claims over a sliding window. Decides whether copies of runs are worth their transfer and memory.
 */
class RunLossEstimator
{
public:
    /** The window over which outcomes are counted; the oldest second counts whole. */
    static constexpr Duration Window = std::chrono::seconds(10);

    void add(bool isLost, TimePoint now);
    /** Returns the estimated fraction of runs that are lost with their engine. */
    double lossFraction(TimePoint now) const;
    /**
     * Returns whether runs should be copied.
     * @param isStoreStale Whether engines may leave without the scheduler's knowledge, which puts
     * all runs at risk.
     */
    bool areBackupsWorthwhile(TimePoint now, bool isStoreStale) const;

private:
    struct Slot
    {
        std::int64_t second = -1; ///< Since the epoch of TimePoint.
        std::uint32_t lost = 0;
        std::uint32_t completed = 0;
    };

    static std::int64_t secondOf(TimePoint time);

    std::array<Slot, std::chrono::duration_cast<std::chrono::seconds>(Window).count()> m_slots;
};

} // namespace indigoway::scheduling
