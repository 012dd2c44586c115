#include "leadership.h"

namespace indigoway {

namespace {

constexpr Duration AskAgainAfter = std::chrono::milliseconds(1000);

} // namespace

Leadership::Leadership(std::string life)
    : m_life(std::move(life))
{ }

void Leadership::holderSeen(const std::string *life, std::uint64_t revision, TimePoint now)
{
    m_isHeld = life != nullptr;
    m_isMine = life && *life == m_life;
    if (!m_isMine) {
        return;
    }
    m_revision = revision;
    m_mineSince = now;
}

bool Leadership::shouldAcquire(TimePoint now)
{
    if (m_isHeld || (m_askedAt != TimePoint {} && now < m_askedAt + AskAgainAfter)) {
        return false;
    }
    m_askedAt = now;
    return true;
}

bool Leadership::shouldRecord(TimePoint now)
{
    if (!m_isMine || m_recordAt != 0
        || (m_recordAskedAt != TimePoint {} && now < m_recordAskedAt + AskAgainAfter)) {
        return false;
    }
    m_recordAskedAt = now;
    return true;
}

std::optional<std::uint64_t> Leadership::token(TimePoint now, TimePoint renewedAt) const
{
    if (!m_isMine || m_recordAt == 0 || now > renewedAt + ActsAfterRenewal
        || renewedAt <= m_suspendedAt) {
        return std::nullopt;
    }
    if (m_recordAt < m_revision && now < m_mineSince + WaitBeforeActing) {
        return std::nullopt;
    }
    return m_revision;
}

} // namespace indigoway
