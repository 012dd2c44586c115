#include "nodeannouncer.h"

namespace indigoway {

namespace {

constexpr Duration RenewEvery = std::chrono::milliseconds(800);
constexpr Duration RetryAfter = std::chrono::milliseconds(250);

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
    m_lease = lease;
    m_renewedAt = m_askedAt;
    m_isWritten = false;
    m_nextAt = now;
}

void NodeAnnouncer::entryWritten(TimePoint now)
{
    m_isCalling = false;
    m_isWritten = true;
    m_nextAt = now + RenewEvery;
}

void NodeAnnouncer::leaseRenewed(TimePoint now)
{
    m_isCalling = false;
    m_renewedAt = m_askedAt;
    m_nextAt = m_isWritten ? now + RenewEvery : now;
}

void NodeAnnouncer::failed(TimePoint now, StoreFault fault)
{
    m_isCalling = false;
    m_nextAt = now + RetryAfter;
    if (fault == StoreFault::NoLease) {
        m_lease = {};
        m_isWritten = false;
        m_nextAt = now;
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
