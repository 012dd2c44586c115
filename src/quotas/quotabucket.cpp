#include "quotabucket.h"

#include <algorithm>

namespace indigoway::quotas {

namespace {

/** Bounds what a wrong report of use can cost an organisation; the quota's own time, in seconds. */
constexpr double MostDebtSeconds = 10;
/** Beyond that a caller is told no more than that it is long. */
constexpr double LongestWaitSeconds = 60;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void QuotaBucket::fill(const BucketSize &size, TimePoint now)
{
    if (now > m_filledAt) {
        m_level += secondsOf(now - m_filledAt) * size.perSecond;
        m_filledAt = now;
    }
    m_level = std::min(m_level, size.burst);
}

bool QuotaBucket::take(const BucketSize &size, double units)
{
    if (m_level < std::min(units, size.burst)) {
        return false;
    }
    m_level -= units;
    return true;
}

void QuotaBucket::charge(const BucketSize &size, double units)
{
    const double least = -(size.burst + MostDebtSeconds * size.perSecond);
    m_level = std::clamp(m_level - units, least, std::max(size.burst, least));
}

Duration QuotaBucket::untilRoom(const BucketSize &size, double units) const
{
    const double missing = std::min(units, size.burst) - m_level;
    if (missing <= 0) {
        return Duration(0);
    }
    const double seconds = size.perSecond > 0
        ? std::min(missing / size.perSecond, LongestWaitSeconds)
        : LongestWaitSeconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace indigoway::quotas
