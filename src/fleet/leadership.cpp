#include "leadership.h"

namespace indigoway {

namespace {

constexpr Duration RetryInterval = std::chrono::milliseconds(1000);

} // namespace

Leadership::Leadership(std::string identity)
    : m_identity(std::move(identity))
{ }

void Leadership::updateHolder(const std::string *holderIdentity, std::uint64_t revision,
                              TimePoint now)
{
    m_hasHolder = holderIdentity != nullptr;
    m_isHolder = holderIdentity && *holderIdentity == m_identity;
    if (!m_isHolder) {
        return;
    }
    m_revision = revision;
    m_holderSince = now;
}

bool Leadership::shouldAcquire(TimePoint now)
{
    if (m_hasHolder
        || (m_acquireRequestedAt != TimePoint {} && now < m_acquireRequestedAt + RetryInterval)) {
        return false;
    }
    m_acquireRequestedAt = now;
    return true;
}

bool Leadership::shouldWriteRecord(TimePoint now)
{
    if (!m_isHolder || m_recordRevision != 0
        || (m_recordRequestedAt != TimePoint {} && now < m_recordRequestedAt + RetryInterval)) {
        return false;
    }
    m_recordRequestedAt = now;
    return true;
}

std::optional<std::uint64_t> Leadership::fencingToken(TimePoint now, TimePoint renewedAt) const
{
    if (!m_isHolder || m_recordRevision == 0 || now > renewedAt + RenewalValidity
        || renewedAt <= m_suspendedAt) {
        return std::nullopt;
    }
    if (m_recordRevision < m_revision && now < m_holderSince + TakeoverDelay) {
        return std::nullopt;
    }
    return m_revision;
}

} // namespace indigoway
