#include "copyturns.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Of the link; the rest is for callers and for news. */
constexpr double PartOfLink = 0.5;
/** Well below the time for which an asker waits. */
constexpr Duration MostAhead = std::chrono::seconds(1);

} // namespace

CopyTurns::CopyTurns(double linkBytesPerSecond)
    : m_bytesPerSecond(linkBytesPerSecond * PartOfLink)
{ }

bool CopyTurns::mayBegin(TimePoint now) const
{
    return m_busyUntil < now + MostAhead;
}

void CopyTurns::begin(TimePoint now, std::size_t bytes)
{
    const std::chrono::duration<double> takes(static_cast<double>(bytes) / m_bytesPerSecond);
    m_busyUntil = std::max(m_busyUntil, now) + std::chrono::duration_cast<Duration>(takes);
}

} // namespace indigoway
