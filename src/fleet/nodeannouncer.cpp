#include "nodeannouncer.h"

#include <algorithm>

namespace indigoway {

namespace {

constexpr Duration RenewEvery = std::chrono::milliseconds(800);
constexpr Duration RetryAfter = std::chrono::milliseconds(250);
/**
 * Doubled up to two seconds. A store that is away, or turns this node away, answers none of the
 * calls, and each is paid for: two hundred nodes that ask four times a second make six thousand
 * calls within eight seconds, twice as many as in a quiet minute.
 */
constexpr std::uint32_t MostDoublings = 3;

} // namespace

std::optional<AnnouncerCall> NodeAnnouncer::nextCall(TimePoint now)
{
    if (m_isCalling || m_isLeaving || now < m_nextAt) {
        return std::nullopt;
    }
    m_isCalling = true;
    m_askedAt = now;
    if (m_lease.isNone()) {
        return GrantLeaseCall {};
    }
    if (!m_isWritten) {
        return PutEntryCall {m_lease};
    }
    return RenewLeaseCall {m_lease};
}

void NodeAnnouncer::leaseGranted(TimePoint now, StoreLease lease)
{
    m_isCalling = false;
    m_failures = 0;
    m_lease = lease;
    m_renewedAt = m_askedAt;
    m_isWritten = false;
    m_nextAt = now;
}

void NodeAnnouncer::entryWritten(TimePoint now)
{
    m_isCalling = false;
    m_failures = 0;
    m_isWritten = true;
    m_nextAt = now + RenewEvery;
}

void NodeAnnouncer::leaseRenewed(TimePoint now)
{
    m_isCalling = false;
    m_failures = 0;
    m_renewedAt = m_askedAt;
    m_nextAt = m_isWritten ? now + RenewEvery : now;
}

void NodeAnnouncer::failed(TimePoint now, StoreFault fault)
{
    m_isCalling = false;
    m_nextAt = now + RetryAfter * (1 << std::min(m_failures, MostDoublings));
    ++m_failures;
    if (fault == StoreFault::NoLease) {
        m_lease = {};
        m_isWritten = false;
        m_nextAt = now;
        m_failures = 0; // It answers.
    }
}

void NodeAnnouncer::storeIsBack(TimePoint now)
{
    if (m_failures > 0) {
        m_failures = 0;
        m_nextAt = std::min(m_nextAt, now);
    }
}

void NodeAnnouncer::entryVanished()
{
    m_isWritten = false;
    m_nextAt = {};
}

StoreLease NodeAnnouncer::leave()
{
    m_isLeaving = true;
    return m_lease;
}

} // namespace indigoway
