#pragma once

#include <indigoway/ids.h>
#include <indigoway/organisation.h>

#include <algorithm>

namespace indigoway::quotas {

/** The rate and burst of a quota or of a share of it. */
struct RateLimit
{
    double perSecond = 0;
    double burst = 0;
};

/** A token bucket whose level may be negative: usage that is reported late is charged as a debt. */
class QuotaBucket
{
public:
    /** Creates a bucket that holds @p level units at @p now. */
    QuotaBucket(double level, TimePoint now)
        : m_level(level)
        , m_refilledAt(now)
    { }

    /** Adds the units accrued since the last call, up to the burst. */
    void refill(const RateLimit &limit, TimePoint now);
    /**
     * Takes @p units if the bucket holds them. A request larger than the burst is granted by a full
     * bucket, which is then in debt; otherwise it would never be granted.
     */
    bool take(const RateLimit &limit, double units);
    /** Deducts units that have already been used; a negative number returns units. */
    void charge(const RateLimit &limit, double units);
    /** Returns the time until take() of @p units can succeed if nothing else is taken. */
    Duration timeUntilAvailable(const RateLimit &limit, double units) const;
    double level() const { return m_level; }
    /** Lowers the level to @p most units if it is higher. */
    void capLevel(double most) { m_level = std::min(m_level, most); }

private:
    double m_level = 0;
    TimePoint m_refilledAt {};
};

} // namespace indigoway::quotas
