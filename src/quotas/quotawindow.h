#pragma once

#include <indigoway/ids.h>
#include <indigoway/organisation.h>

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace indigoway::quotas {

/**
 * The units in a window by age, newest first, in steps of an eighth of the window. Units count with
 * the age of the newest in their step, so that a receiver never forgets them too early.
 */
using UsageProfile = std::vector<double>;

/**
 * The units used within the last window, in slots of 1/128 of it. The oldest slot counts whole, so
 * that the units of any moment count for at least the window and at most a slot longer. With longer
 * slots, more requests that the contract allows are refused at the limit.
 */
class QuotaWindow
{
public:
    explicit QuotaWindow(Duration window);

    /** Takes @p units if the units in the window then do not exceed @p limit. */
    bool take(TimePoint now, double limit, double units);
    /**
     * Adds units that have already been used; a negative number returns units. Returned units are
     * deducted from the newest slots, which are freed last.
     */
    void charge(TimePoint now, double units);
    /** Returns the units used in the window that ends at @p now. */
    double used(TimePoint now) const;
    /**
     * Returns the time until take() of @p units can succeed if nothing else is taken; one window
     * and one slot if it cannot.
     */
    Duration timeUntilAvailable(TimePoint now, double limit, double units) const;

    UsageProfile profile(TimePoint now) const;
    /** Adds the units that another window has stated as its profile() at @p now. */
    void add(TimePoint now, const UsageProfile &profile);

    /** Returns the beginning of the slot after that of @p now, when the oldest slot is freed. */
    TimePoint nextSlot(TimePoint now) const;
    /**
     * Returns the time from @p now until @p hasRoom holds, which becomes true as slots are freed;
     * one window and one slot if it does not.
     */
    template <typename HasRoom>
    Duration timeUntil(TimePoint now, const HasRoom &hasRoom) const
    {
        if (hasRoom(now)) {
            return Duration(0);
        }
        const TimePoint first = nextSlot(now);
        std::size_t low = 0;
        std::size_t high = SlotsInWindow;
        while (low < high) {
            const std::size_t middle = (low + high) / 2;
            if (hasRoom(first + static_cast<Duration::rep>(middle) * m_slotLength)) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return first + static_cast<Duration::rep>(low) * m_slotLength - now;
    }

    static constexpr std::size_t SlotsInWindow = 128;
    /** A window that ends within a slot touches one more. */
    static constexpr std::size_t SlotCount = SlotsInWindow + 1;
    static constexpr std::size_t SlotsPerStep = 16;

private:
    std::int64_t slotOf(TimePoint now) const;
    /** Clears the slots that have left the window. */
    void advance(TimePoint now);
    double &unitsIn(std::int64_t slot)
    {
        return m_units[static_cast<std::size_t>(slot) % SlotCount];
    }
    double unitsIn(std::int64_t slot) const
    {
        return m_units[static_cast<std::size_t>(slot) % SlotCount];
    }

    Duration m_slotLength {};
    std::int64_t m_newest = 0;
    std::array<double, SlotCount> m_units {};
    double m_sum = 0; ///< Of all slots.
};

/** The largest of the numbers of nodes that were known within the last window. */
class LargestNodeCount
{
public:
    explicit LargestNodeCount(Duration window)
        : m_window(window)
    { }
    /** Adds the number that holds from @p now on. */
    void add(TimePoint now, std::uint32_t nodes);
    std::uint32_t count(TimePoint now) const;

private:
    struct Seen
    {
        TimePoint until {};
        std::uint32_t nodes = 0;
    };
    Duration m_window;
    std::deque<Seen> m_seen; ///< In the order of time; later ones are smaller.
};

/**
 * The tolerance by which the usage in a time window may exceed a quota, since no node knows the
 * usage of all others at any moment.
 */
struct QuotaBounds
{
    Duration window = std::chrono::seconds(10);
    double over = 0;  ///< Fraction of the quota's units in a window.
    double slack = 0; ///< Further units beyond that.
    /**
     * Time of a quota's rate that may be used at once beyond its burst. After a restart of all
     * nodes nobody knows whether this was used just before, so the rate is withheld for as long: a
     * longer time serves more bursts and refuses more after such a restart.
     */
    Duration extraBurst = std::chrono::seconds(1);
};

/** Bounds the memory of an organisation; less urgent priorities count as the last one. */
constexpr std::uint32_t MaxPriorities = 8;

/** Fraction of the tolerance that nodes may use locally; the rest covers usage reported late. */
constexpr double LocalToleranceFraction = 0.5;

/** Returns the units that @p quota allows within a window, without the tolerance. */
double unitsPerWindow(const Quota &quota, const QuotaBounds &bounds);
/** Returns the units beyond unitsPerWindow() that may be used in a window. */
double toleranceOf(const Quota &quota, const QuotaBounds &bounds);

} // namespace indigoway::quotas
