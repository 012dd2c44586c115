#include "quotawindow.h"

#include <algorithm>
#include <utility>

namespace indigoway::quotas {

namespace {

constexpr auto Slots = static_cast<std::int64_t>(QuotaWindow::SlotCount);

} // namespace

QuotaWindow::QuotaWindow(Duration window)
    // Rounded up, so that the slots cover the window.
    : m_slotLength(std::max(Duration(1),
                            (window + Duration(SlotsInWindow - 1))
                                / static_cast<Duration::rep>(SlotsInWindow)))
{ }

bool QuotaWindow::take(TimePoint now, double limit, double units)
{
    if (used(now) + units > limit) {
        return false;
    }
    charge(now, units);
    return true;
}

void QuotaWindow::charge(TimePoint now, double units)
{
    advance(now);
    if (units >= 0) {
        unitsIn(m_newest) += units;
        m_sum += units;
        return;
    }
    double remaining = -units;
    for (std::int64_t age = 0; age < Slots && remaining > 0; ++age) {
        double &slot = unitsIn(m_newest + Slots - age);
        const double returned = std::min(slot, remaining);
        slot -= returned;
        m_sum -= returned;
        remaining -= returned;
    }
}

double QuotaWindow::used(TimePoint now) const
{
    const std::int64_t expired = slotOf(now) - m_newest;
    if (expired >= Slots) {
        return 0;
    }
    double sum = m_sum;
    for (std::int64_t slot = 1; slot <= expired; ++slot) {
        sum -= unitsIn(m_newest + slot);
    }
    return std::max(0.0, sum);
}

Duration QuotaWindow::timeUntilAvailable(TimePoint now, double limit, double units) const
{
    return timeUntil(now, [&](TimePoint at) { return used(at) + units <= limit; });
}

UsageProfile QuotaWindow::profile(TimePoint now) const
{
    UsageProfile profile;
    const std::int64_t current = slotOf(now);
    for (std::int64_t slot = m_newest; slot > std::max(current, m_newest) - Slots; --slot) {
        if (slot <= m_newest - Slots || unitsIn(slot + Slots) <= 0) {
            continue;
        }
        const auto age = static_cast<std::size_t>(std::max<std::int64_t>(0, current - slot));
        profile.resize(std::max(profile.size(), age / SlotsPerStep + 1));
        profile[age / SlotsPerStep] += unitsIn(slot + Slots);
    }
    return profile;
}

void QuotaWindow::add(TimePoint now, const UsageProfile &profile)
{
    advance(now);
    for (std::size_t step = 0; step < profile.size() && step * SlotsPerStep < SlotCount; ++step) {
        unitsIn(m_newest + Slots - static_cast<std::int64_t>(step * SlotsPerStep)) += profile[step];
        m_sum += profile[step];
    }
}

TimePoint QuotaWindow::nextSlot(TimePoint now) const
{
    return TimePoint {} + (slotOf(now) + 1) * m_slotLength;
}

std::int64_t QuotaWindow::slotOf(TimePoint now) const
{
    return now.time_since_epoch() / m_slotLength;
}

void QuotaWindow::advance(TimePoint now)
{
    const std::int64_t current = slotOf(now);
    if (current - m_newest >= Slots) {
        m_units.fill(0);
        m_sum = 0;
        m_newest = current;
    }
    while (m_newest < current) {
        m_sum = std::max(0.0, m_sum - std::exchange(unitsIn(++m_newest), 0));
    }
}

void LargestNodeCount::add(TimePoint now, std::uint32_t nodes)
{
    if (!m_seen.empty()) {
        m_seen.back().until = now;
    }
    while (!m_seen.empty() && m_seen.back().nodes <= nodes) {
        m_seen.pop_back();
    }
    while (!m_seen.empty() && now > m_seen.front().until + m_window) {
        m_seen.pop_front();
    }
    m_seen.push_back({now, nodes});
}

std::uint32_t LargestNodeCount::count(TimePoint now) const
{
    for (const Seen &seen : m_seen) {
        if (now <= seen.until + m_window) {
            return seen.nodes;
        }
    }
    return m_seen.empty() ? 0 : m_seen.back().nodes;
}

double unitsPerWindow(const Quota &quota, const QuotaBounds &bounds)
{
    return quota.perSecond * std::chrono::duration<double>(bounds.window).count() + quota.burst;
}

double toleranceOf(const Quota &quota, const QuotaBounds &bounds)
{
    return bounds.over * unitsPerWindow(quota, bounds) + bounds.slack;
}

} // namespace indigoway::quotas
