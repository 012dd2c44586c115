#include "stalenessbound.h"

#include <algorithm>

namespace indigoway {

void StalenessBound::revisionRead(BootTime askedAt, std::uint64_t revision, std::uint64_t copyAsOf)
{
    if (copyAsOf >= revision) {
        advanceTo(askedAt);
    } else if (!m_pending) {
        // The pending revision is kept: with frequent changes the copy might never reach the latest
        // one.
        m_pending = PendingRevision {askedAt, revision};
    }
}

void StalenessBound::copyAdvanced(std::uint64_t copyAsOf)
{
    if (m_pending && copyAsOf >= m_pending->revision) {
        advanceTo(m_pending->askedAt);
        m_pending.reset();
    }
}

void StalenessBound::peerAnswered(BootTime askedAt, BootTime now, Duration held, Duration age)
{
    const Duration boundedHeld = std::clamp(held, Duration(0), Duration(now - askedAt));
    advanceTo(askedAt + boundedHeld - std::max(age, Duration(0)));
}

std::optional<Duration> StalenessBound::age(BootTime now) const
{
    return m_freshAt ? std::optional(Duration(now - *m_freshAt)) : std::nullopt;
}

void StalenessBound::advanceTo(BootTime at)
{
    m_freshAt = m_freshAt ? std::max(*m_freshAt, at) : at;
}

} // namespace indigoway
