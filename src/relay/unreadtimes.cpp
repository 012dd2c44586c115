#include "unreadtimes.h"

namespace indigoway {

namespace {

/** Shorter times occur on a busy machine; servers wait for some seconds. */
constexpr Duration MinUnreadTime = std::chrono::milliseconds(1000);
/** Time for what the server had sent before, and its close, to arrive. */
constexpr Duration DrainTime = std::chrono::milliseconds(1000);

} // namespace

void UnreadTimes::recordTick(BootTime now)
{
    if (m_lastTick && now - *m_lastTick >= MinUnreadTime) {
        m_unreadSince = m_lastTick;
        m_readAgainAt = m_drainsSince = now;
    }
    m_lastTick = now;
}

std::optional<BootTime> UnreadTimes::unreadSince(BootTime now) const
{
    return m_lastTick && now - *m_lastTick >= MinUnreadTime ? m_lastTick : m_unreadSince;
}

void UnreadTimes::recordPause(BootTime from, BootTime to)
{
    if (to - from >= MinUnreadTime) {
        m_readAgainAt = m_drainsSince = to;
    } else if (m_readAgainAt && from < m_drainsSince + DrainTime) {
        m_drainsSince = to;
    }
}

bool UnreadTimes::mayHaveCutOff(BootTime begun, BootTime now) const
{
    if (m_lastTick && now - *m_lastTick >= MinUnreadTime) {
        return begun < now - MinUnreadTime;
    }
    return m_readAgainAt && begun < *m_readAgainAt && now < m_drainsSince + DrainTime;
}

} // namespace indigoway
