#include "copyproof.h"

#include <algorithm>

namespace indigoway {

void CopyProof::answered(BootTime askedAt, std::uint64_t revision, std::uint64_t copyAsOf)
{
    if (copyAsOf >= revision) {
        prove(askedAt);
    } else if (!m_pending) {
        // A later answer does not take its place: changes may come faster than they are copied.
        m_pending = Pending {askedAt, revision};
    }
}

void CopyProof::copied(std::uint64_t copyAsOf)
{
    if (m_pending && copyAsOf >= m_pending->revision) {
        prove(m_pending->askedAt);
        m_pending.reset();
    }
}

void CopyProof::told(BootTime askedAt, BootTime now, Duration held, Duration age)
{
    const Duration heldAtMost = std::clamp(held, Duration(0), Duration(now - askedAt));
    prove(askedAt + heldAtMost - std::max(age, Duration(0)));
}

std::optional<Duration> CopyProof::age(BootTime now) const
{
    return m_provenAt ? std::optional(Duration(now - *m_provenAt)) : std::nullopt;
}

void CopyProof::prove(BootTime at)
{
    m_provenAt = m_provenAt ? std::max(*m_provenAt, at) : at;
}

} // namespace indigoway
