#include "nodeannouncer.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Renewals per lease lifetime; the fraction leaves time for the answer to the last one. */
constexpr double RenewalsPerLifetime = 3.75;
/**
 * Lease lifetime per node of the fleet; it bounds the renewals of all nodes to about 250 per
 * second.
 */
constexpr Duration LifetimePerNode = std::chrono::milliseconds(15);
/** Factor by which the lifetimes of the current and the target lease must differ to replace it. */
constexpr int ReplacementFactor = 2;
constexpr Duration FirstRetryDelay = std::chrono::milliseconds(250);
/** Limits the retry delay to two seconds; each call to an unavailable store is billed. */
constexpr std::uint32_t MaxRetryDoublings = 3;

} // namespace

Duration NodeAnnouncer::lifetimeFor(std::size_t nodes)
{
    return std::max(MinLifetime, LifetimePerNode * static_cast<Duration::rep>(nodes));
}

std::optional<AnnouncerCall> NodeAnnouncer::nextCall(TimePoint now)
{
    if (m_isCallInFlight || m_isLeaving || now < m_nextCallAt) {
        return std::nullopt;
    }
    m_isCallInFlight = true;
    m_callStartedAt = now;
    // A replaced lease expires on its own; no item is attached to it any more.
    if (m_lease.isNone() || (m_isEntryWritten && shouldReplaceLease())) {
        return GrantLeaseCall {m_targetLifetime};
    }
    if (!m_isEntryWritten) {
        return PutEntryCall {m_lease};
    }
    return RenewLeaseCall {m_lease};
}

void NodeAnnouncer::leaseGranted(TimePoint now, const GrantedLease &granted)
{
    m_isCallInFlight = false;
    m_failures = 0;
    m_lease = granted.lease;
    m_lifetime = granted.lifetime;
    m_renewedAt = m_callStartedAt;
    m_isEntryWritten = false;
    m_nextCallAt = now;
}

void NodeAnnouncer::entryWritten(TimePoint now)
{
    m_isCallInFlight = false;
    m_failures = 0;
    m_isEntryWritten = true;
    m_nextCallAt = now + renewalInterval();
}

void NodeAnnouncer::leaseRenewed(TimePoint now)
{
    m_isCallInFlight = false;
    m_failures = 0;
    m_renewedAt = m_callStartedAt;
    m_nextCallAt = m_isEntryWritten ? now + renewalInterval() : now;
}

void NodeAnnouncer::callFailed(TimePoint now, StoreError error)
{
    m_isCallInFlight = false;
    m_nextCallAt = now + FirstRetryDelay * (1 << std::min(m_failures, MaxRetryDoublings));
    ++m_failures;
    if (error == StoreError::NoLease) {
        m_lease = {};
        m_isEntryWritten = false;
        m_nextCallAt = now;
        m_failures = 0; // The store is reachable.
    }
}

void NodeAnnouncer::handleStoreRecovery(TimePoint now)
{
    if (m_failures > 0) {
        m_failures = 0;
        m_nextCallAt = std::min(m_nextCallAt, now);
    }
}

void NodeAnnouncer::entryRemoved()
{
    m_isEntryWritten = false;
    m_nextCallAt = {};
}

bool NodeAnnouncer::shouldReplaceLease() const
{
    return m_targetLifetime >= m_lifetime * ReplacementFactor
        || m_lifetime >= m_targetLifetime * ReplacementFactor;
}

Duration NodeAnnouncer::renewalInterval() const
{
    return std::chrono::duration_cast<Duration>(m_lifetime / RenewalsPerLifetime);
}

StoreLease NodeAnnouncer::leave()
{
    m_isLeaving = true;
    return m_lease;
}

} // namespace indigoway
