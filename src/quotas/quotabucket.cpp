#include "quotabucket.h"

#include <algorithm>

namespace indigoway::quotas {

namespace {

/** Limits the debt that a wrong usage report can cause, in seconds of the quota's rate. */
constexpr double MaxDebtSeconds = 10;
/** The longest retry delay that is reported to a caller. */
constexpr double MaxWaitSeconds = 60;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void QuotaBucket::refill(const RateLimit &limit, TimePoint now)
{
    if (now > m_refilledAt) {
        m_level += secondsOf(now - m_refilledAt) * limit.perSecond;
        m_refilledAt = now;
    }
    m_level = std::min(m_level, limit.burst);
}

bool QuotaBucket::take(const RateLimit &limit, double units)
{
    if (m_level < std::min(units, limit.burst)) {
        return false;
    }
    m_level -= units;
    return true;
}

void QuotaBucket::charge(const RateLimit &limit, double units)
{
    const double minLevel = -(limit.burst + MaxDebtSeconds * limit.perSecond);
    m_level = std::clamp(m_level - units, minLevel, std::max(limit.burst, minLevel));
}

Duration QuotaBucket::timeUntilAvailable(const RateLimit &limit, double units) const
{
    const double missing = std::min(units, limit.burst) - m_level;
    if (missing <= 0) {
        return Duration(0);
    }
    const double seconds =
        limit.perSecond > 0 ? std::min(missing / limit.perSecond, MaxWaitSeconds) : MaxWaitSeconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace indigoway::quotas
