#pragma once

#include "quotas/quotawindow.h"

#include <cstdint>
#include <functional>
#include <map>

namespace indigoway::quotas {

/**
 * Learns how many units an organisation's requests of each priority ask for, and reserves units for
 * the more urgent ones when few are left in the window.
 *
 * Each priority that asks keeps MinShare of the window: requests within it are not subject to the
 * reserve, and it is reserved against all other priorities.
 */
class UrgencyReserve
{
public:
    /** Returns the units that are freed in the window within a time from now. */
    using FreedWithin = std::function<double(Duration)>;

    explicit UrgencyReserve(Duration window)
        : m_window(window)
    { }

    /** Records that requests of @p priority ask for @p units; 0 is the most urgent priority. */
    void ask(TimePoint now, std::uint32_t priority, double units);
    /** Records granted units; a negative number returns units. */
    void grant(TimePoint now, std::uint32_t priority, double units);
    /**
     * Returns the units that must be left after a request of @p units has been granted.
     * @param limit the units that the quota allows in a window
     */
    double reserveFor(TimePoint now, std::uint32_t priority, double units, double limit,
                      const FreedWithin &freedWithin) const;
    /** Returns the largest reserve that applies to any request. */
    double largestReserve(TimePoint now, double limit, const FreedWithin &freedWithin) const;

    /** The fraction of the window's units that each priority keeps if it asks for them. */
    static constexpr double MinShare = 0.05;

private:
    struct Use
    {
        explicit Use(Duration window)
            : granted(window)
        { }
        double askedPerSecond = 0; ///< Exponentially weighted mean as of askedAt.
        TimePoint askedAt {};
        QuotaWindow granted;
    };

    Use &use(std::uint32_t priority);
    static double rateOf(TimePoint now, const Use &use);
    double expectedNeed(TimePoint now, std::uint32_t priority,
                        const FreedWithin &freedWithin) const;
    double sharesOfOthers(TimePoint now, std::uint32_t priority, double limit) const;

    Duration m_window {};
    std::map<std::uint32_t, Use> m_uses;
};

} // namespace indigoway::quotas
