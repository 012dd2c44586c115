#pragma once

#include "core/boottime.h"

#include <optional>

namespace indigoway {

/**
 * Records when this process has not read its connections for so long that servers may have cut off
 * their answers: it stood still, its VM was suspended, or it had no room for what was to be read. A
 * server that cuts off an answer closes its connection, as at the end of one without a length.
 */
class UnreadTimes
{
public:
    /** Records that the process reads its connections; called several times a second. */
    void recordTick(BootTime now);
    /**
     * Records that one connection was not read from @p from to @p to. Short pauses soon after a
     * long one prolong the time in which what the server had sent before may still arrive.
     */
    void recordPause(BootTime from, BootTime to);
    /**
     * Returns whether a server may have cut off an answer that is read since @p begun and ends at
     * @p now. Once its connection has been read for a while, it has not.
     */
    bool mayHaveCutOff(BootTime begun, BootTime now) const;

    /** Returns the begin of the present or last long time without reading of the process. */
    std::optional<BootTime> unreadSince(BootTime now) const;

private:
    std::optional<BootTime> m_lastTick;
    std::optional<BootTime> m_unreadSince;
    std::optional<BootTime> m_readAgainAt; ///< After the last long time without reading.
    BootTime m_drainsSince {}; ///< The same, or after the last short pause that followed.
};

} // namespace indigoway
