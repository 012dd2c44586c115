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
 * Keeps this node's entry in the store: under a lease, so that the entry of a node that dies
 * vanishes, and written again whenever the lease or the entry was lost while the node is well.
 *
 * Renewals are calls that are paid for. In a large fleet each node renews the less often, so that
 * all of them together renew as often as a smaller one: there a node that has gone is found by the
 * few that turn to it, long before its lease ends. Nodes that all rely on keep a short lease.
 */
class NodeAnnouncer
{
public:
    /** Three renewals may fail before the entry vanishes. */
    static constexpr Duration LeastLifetime = std::chrono::milliseconds(3000);
    /** Of a lease in a fleet of @p nodes. */
    static Duration lifetimeFor(std::size_t nodes);

    /** The lease is moved to another one where it has become far too short or too long. */
    void setWanted(Duration lifetime) { m_wanted = lifetime; }
    /** What to ask the store now; nothing while a call is under way or nothing is due. */
    std::optional<AnnouncerCall> nextCall(TimePoint now);

    void leaseGranted(TimePoint now, const GrantedLease &granted);
    void entryWritten(TimePoint now);
    void leaseRenewed(TimePoint now);
    void failed(TimePoint now, StoreFault fault);
    /** The store answers again, as this node or another one has seen: what failed is due now. */
    void handleStoreRecovery(TimePoint now);
    /** The entry was seen to vanish, though this node has not ended its lease. */
    void entryVanished();
    /** The node leaves: nothing is written any more. The lease to end, if there is one. */
    StoreLease leave();

    bool isAnnounced() const { return m_isWritten; }
    /** None while there is no lease, or the node leaves. */
    StoreLease lease() const { return m_isLeaving ? StoreLease() : m_lease; }
    /** When the last renewal was asked for that the store has answered. */
    TimePoint renewedAt() const { return m_renewedAt; }

private:
    bool shouldMove() const;
    Duration renewEvery() const;

    bool m_isCalling = false;
    bool m_isLeaving = false;
    StoreLease m_lease;
    Duration m_lifetime = LeastLifetime; ///< Of m_lease.
    Duration m_wanted = LeastLifetime;
    bool m_isWritten = false;
    TimePoint m_nextAt {};
    std::uint32_t m_failures = 0; ///< In a row.
    TimePoint m_askedAt {};
    TimePoint m_renewedAt {};
};

} // namespace indigoway
