#pragma once

#include "store/keyvaluestore.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

namespace indigoway {

struct GrantLeaseCall
{
    Duration lifetime {};
};
struct PutEntryCall
{
    StoreLease lease;
};
struct RenewLeaseCall
{
    StoreLease lease;
};
using AnnouncerCall = std::variant<GrantLeaseCall, PutEntryCall, RenewLeaseCall>;

/**
 * Keeps this node's entry in the store. The entry is attached to a lease, so it is removed when the
 * node fails; it is written again if the lease or the entry is lost while the node runs.
 *
 * Each renewal is a billed call, so the lease lifetime grows with the fleet and the total renewal
 * rate stays bounded. A failed node in a large fleet is detected by the nodes that connect to it
 * long before its lease expires. Nodes that all others depend on keep a short lease.
 */
class NodeAnnouncer
{
public:
    /** The shortest lease lifetime; it covers three failed renewals. */
    static constexpr Duration MinLifetime = std::chrono::milliseconds(3000);
    /** Returns the lease lifetime for a fleet of @p nodes. */
    static Duration lifetimeFor(std::size_t nodes);

    /**
     * Sets the target lifetime. The lease is replaced if its lifetime differs from the target by a
     * factor of two or more.
     */
    void setTargetLifetime(Duration lifetime) { m_targetLifetime = lifetime; }
    /** Returns the next call to the store, or nothing while a call is in flight or none is due. */
    std::optional<AnnouncerCall> nextCall(TimePoint now);

    void leaseGranted(TimePoint now, const GrantedLease &granted);
    void entryWritten(TimePoint now);
    void leaseRenewed(TimePoint now);
    void callFailed(TimePoint now, StoreError error);
    /** Makes a failed call due at once when this or another node has reached the store again. */
    void handleStoreRecovery(TimePoint now);
    /** Handles the removal of the entry while this node has not revoked its lease. */
    void entryRemoved();
    /**
     * Stops all further writes.
     * @return the lease to revoke, or none
     */
    StoreLease leave();

    bool isAnnounced() const { return m_isEntryWritten; }
    /** Returns whether the store doesn't answer; a single call may fail for other reasons. */
    bool isStoreUnreachable() const { return m_failures >= MinFailuresToReport; }
    /** Returns the current lease; none before the first grant and after leave(). */
    StoreLease lease() const { return m_isLeaving ? StoreLease() : m_lease; }
    /** Returns the time when the last successful renewal was requested. */
    TimePoint renewedAt() const { return m_renewedAt; }

private:
    static constexpr std::uint32_t MinFailuresToReport = 2;

    bool shouldReplaceLease() const;
    Duration renewalInterval() const;

    bool m_isCallInFlight = false;
    bool m_isLeaving = false;
    StoreLease m_lease;
    Duration m_lifetime = MinLifetime; ///< Lifetime of m_lease.
    Duration m_targetLifetime = MinLifetime;
    bool m_isEntryWritten = false;
    TimePoint m_nextCallAt {};
    std::uint32_t m_failures = 0; ///< Consecutive failed calls.
    TimePoint m_callStartedAt {};
    TimePoint m_renewedAt {};
};

} // namespace indigoway
