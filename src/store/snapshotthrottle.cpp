#include "snapshotthrottle.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Fraction of the bandwidth for snapshots; the rest is left for callers and for updates. */
constexpr double SnapshotBandwidthFraction = 0.5;
/** Longest backlog at which a snapshot is started, well below the timeout of the receiver. */
constexpr Duration MaxBacklog = std::chrono::seconds(1);

} // namespace

SnapshotThrottle::SnapshotThrottle(double linkBytesPerSecond)
    : m_bytesPerSecond(linkBytesPerSecond * SnapshotBandwidthFraction)
{ }

bool SnapshotThrottle::mayStart(TimePoint now) const
{
    return m_busyUntil < now + MaxBacklog;
}

void SnapshotThrottle::start(TimePoint now, std::size_t bytes)
{
    const std::chrono::duration<double> sendTime(static_cast<double>(bytes) / m_bytesPerSecond);
    m_busyUntil = std::max(m_busyUntil, now) + std::chrono::duration_cast<Duration>(sendTime);
}

} // namespace indigoway
