#include "urgencyreserve.h"

#include <algorithm>
#include <cmath>

namespace indigoway::quotas {

namespace {

constexpr std::uint32_t MaxPriority = MaxPriorities - 1;
/** Time constant of the rates asked; short, since the end of an overload must free the reserve. */
constexpr double LearningSeconds = 0.5;
/**
 * Fraction of the window for which units are reserved. In replays a longer time refuses fewer
 * urgent requests, but more requests that the contract allows if the overload ends soon.
 */
constexpr double HorizonFraction = 1.0 / 16;
constexpr int HorizonSteps = 8;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void UrgencyReserve::ask(TimePoint now, std::uint32_t priority, double units)
{
    Use &one = use(priority);
    one.askedPerSecond = rateOf(now, one) + std::max(0.0, units) / LearningSeconds;
    one.askedAt = std::max(one.askedAt, now);
}

void UrgencyReserve::grant(TimePoint now, std::uint32_t priority, double units)
{
    use(priority).granted.charge(now, units);
}

double UrgencyReserve::reserveFor(TimePoint now, std::uint32_t priority, double units, double limit,
                                  const FreedWithin &freedWithin) const
{
    const std::uint32_t known = std::min(priority, MaxPriority);
    const auto it = m_uses.find(known);
    const double granted = it == m_uses.end() ? 0 : it->second.granted.used(now);
    if (granted + units <= MinShare * limit) {
        return 0;
    }
    return expectedNeed(now, known, freedWithin) + sharesOfOthers(now, known, limit);
}

double UrgencyReserve::largestReserve(TimePoint now, double limit,
                                      const FreedWithin &freedWithin) const
{
    return m_uses.size() < 2 ? 0
                             : reserveFor(now, m_uses.rbegin()->first, limit, limit, freedWithin);
}

UrgencyReserve::Use &UrgencyReserve::use(std::uint32_t priority)
{
    return m_uses.try_emplace(std::min(priority, MaxPriority), m_window).first->second;
}

double UrgencyReserve::rateOf(TimePoint now, const Use &use)
{
    const double age = std::max(0.0, secondsOf(now - use.askedAt));
    return use.askedPerSecond * std::exp(-age / LearningSeconds);
}

double UrgencyReserve::expectedNeed(TimePoint now, std::uint32_t priority,
                                    const FreedWithin &freedWithin) const
{
    double perSecond = 0;
    for (const auto &[other, use] : m_uses) {
        perSecond += other < priority ? rateOf(now, use) : 0;
    }
    double need = 0;
    for (int step = 1; step <= HorizonSteps && perSecond > 0; ++step) {
        const auto time =
            std::chrono::duration_cast<Duration>(m_window * HorizonFraction * step / HorizonSteps);
        need = std::max(need, perSecond * secondsOf(time) - freedWithin(time));
    }
    return need;
}

double UrgencyReserve::sharesOfOthers(TimePoint now, std::uint32_t priority, double limit) const
{
    double units = 0;
    for (const auto &[other, use] : m_uses) {
        if (other != priority) {
            const double share = std::min(MinShare * limit, rateOf(now, use) * secondsOf(m_window));
            units += std::max(0.0, share - use.granted.used(now));
        }
    }
    return units;
}

} // namespace indigoway::quotas
