#pragma once

#include <indigoway/ids.h>

#include <cstddef>

namespace indigoway {

/**
 * How many whole copies a node sends at a time: so many as a part of its link carries in the next
 * moment. A node that is asked for more would hold them all in memory, and send each so slowly that
 * its asker gives up and asks anew.
 */
class CopyTurns
{
public:
    /** @p linkBytesPerSecond: of this node's VM. */
    explicit CopyTurns(double linkBytesPerSecond);

    /** Whether another copy would be there in time. */
    bool mayBegin(TimePoint now) const;
    void begin(TimePoint now, std::size_t bytes);

private:
    double m_bytesPerSecond;
    TimePoint m_busyUntil {};
};

} // namespace indigoway
