#pragma once

#include <indigoway/ids.h>
#include <indigoway/organisation.h>

namespace indigoway::quotas {

/** A rate, and what may come at once; of a whole quota or of a part of it. */
struct BucketSize
{
    double perSecond = 0;
    double burst = 0;
};

/** A token bucket that may be in debt: what was used before it could be asked is made good first.
 */
class QuotaBucket
{
public:
    /** Holds @p level at @p now. */
    QuotaBucket(double level, TimePoint now)
        : m_level(level)
        , m_filledAt(now)
    { }

    /** Adds what has come since the last time. A burst that has shrunk takes its excess along. */
    void fill(const BucketSize &size, TimePoint now);
    /**
     * Takes @p units if they are there. A request larger than the burst is served from a full
     * bucket, which is in debt then: otherwise it would never be.
     */
    bool take(const BucketSize &size, double units);
    /** Takes what was used already, or gives back if it is negative. */
    void charge(const BucketSize &size, double units);
    /** Until take() of @p units succeeds, if nobody else takes any. */
    Duration untilRoom(const BucketSize &size, double units) const;
    double level() const { return m_level; }

private:
    double m_level = 0;
    TimePoint m_filledAt {};
};

} // namespace indigoway::quotas
