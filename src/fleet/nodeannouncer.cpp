#include "nodeannouncer.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Renewals within a lease's lifetime, with a little time left for the last one's answer. */
constexpr double RenewalsInLifetime = 3.75;
/** Of the fleet's nodes in turn: all renewals together are some 250 a second, however many. */
constexpr Duration LifetimeForNode = std::chrono::milliseconds(15);
/** A lease is moved where it is so many times as short, or as long, as it should be. */
constexpr int MoveAt = 2;
constexpr Duration RetryAfter = std::chrono::milliseconds(250);
/**
 * Doubled up to two seconds: a store that is away, or turns this node away, answers none of the
 * calls, and each is paid for.
 */
constexpr std::uint32_t MostDoublings = 3;

} // namespace

Duration NodeAnnouncer::lifetimeFor(std::size_t nodes)
{
    return std::max(LeastLifetime, LifetimeForNode * static_cast<Duration::rep>(nodes));
}

std::optional<AnnouncerCall> NodeAnnouncer::nextCall(TimePoint now)
{
    if (m_isCalling || m_isLeaving || now < m_nextAt) {
        return std::nullopt;
    }
    m_isCalling = true;
    m_askedAt = now;
    // The lease that is left ends by itself, with nothing under it.
    if (m_lease.isNone() || (m_isWritten && shouldMove())) {
        return GrantLeaseCall {m_wanted};
    }
    if (!m_isWritten) {
        return PutEntryCall {m_lease};
    }
    return RenewLeaseCall {m_lease};
}

void NodeAnnouncer::leaseGranted(TimePoint now, const GrantedLease &granted)
{
    m_isCalling = false;
    m_failures = 0;
    m_lease = granted.lease;
    m_lifetime = granted.lifetime;
    m_renewedAt = m_askedAt;
    m_isWritten = false;
    m_nextAt = now;
}

void NodeAnnouncer::entryWritten(TimePoint now)
{
    m_isCalling = false;
    m_failures = 0;
    m_isWritten = true;
    m_nextAt = now + renewEvery();
}

void NodeAnnouncer::leaseRenewed(TimePoint now)
{
    m_isCalling = false;
    m_failures = 0;
    m_renewedAt = m_askedAt;
    m_nextAt = m_isWritten ? now + renewEvery() : now;
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

void NodeAnnouncer::handleStoreRecovery(TimePoint now)
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

bool NodeAnnouncer::shouldMove() const
{
    return m_wanted >= m_lifetime * MoveAt || m_lifetime >= m_wanted * MoveAt;
}

Duration NodeAnnouncer::renewEvery() const
{
    return std::chrono::duration_cast<Duration>(m_lifetime / RenewalsInLifetime);
}

StoreLease NodeAnnouncer::leave()
{
    m_isLeaving = true;
    return m_lease;
}

} // namespace indigoway
