#pragma once

#include <indigoway/ids.h>

#include <cstddef>

namespace indigoway {

/**
 * Limits the snapshots that a node sends at the same time to what a part of its bandwidth carries
 * in a short time. Without the limit, a node with many followers would hold all snapshots in memory
 * and send each one so slowly that the receivers time out and retry.
 */
class SnapshotThrottle
{
public:
    /** @param linkBytesPerSecond the network bandwidth of this node's VM */
    explicit SnapshotThrottle(double linkBytesPerSecond);

    /** Returns true if another snapshot would arrive in time. */
    bool mayStart(TimePoint now) const;
    void start(TimePoint now, std::size_t bytes);

private:
    double m_bytesPerSecond;
    TimePoint m_busyUntil {};
};

} // namespace indigoway
