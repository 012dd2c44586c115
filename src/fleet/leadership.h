#pragma once

#include "store/keyvaluestore.h"

#include <optional>
#include <string>

namespace indigoway {

/**
 * Whether this node may give orders to engines. The right is an item in the store, under the
 * lease of the node's own entry; the item's revision is the fencing token. Engines that do not
 * check tokens would follow two nodes by turns, so a holder acts only while it surely holds the
 * right, and a new one waits until the one before has surely stopped.
 */
class Leadership
{
public:
    /**
     * A holder whose last renewal is older acts no more; with the lease's three seconds there is
     * time to stop before another node can take the right.
     */
    static constexpr Duration ActsAfterRenewal = std::chrono::milliseconds(1500);
    /**
     * A new holder's wait: the right may have been taken away from one that had just renewed and
     * acts on for that time, and orders of two holders must be three seconds apart.
     */
    static constexpr Duration WaitBeforeActing = std::chrono::milliseconds(6000);

    /** @p life names this node's life: a restarted process does not hold what it held before. */
    explicit Leadership(std::string life);

    const std::string &life() const { return m_life; }
    /** The store's item as this node's copy has it; null: nobody holds the right. */
    void holderSeen(const std::string *life, std::uint64_t revision, TimePoint now);
    /**
     * Some node has been about to give orders since @p revision: one that held the right then may
     * still act. The order in which this and holderSeen() are told does not matter; news that come
     * from another node are not in the order in which the store was written.
     */
    void recordSeen(std::uint64_t revision) { m_recordAt = revision; }
    bool isHeldByThis() const { return m_isMine; }
    /** Of the item that gives this node the right. */
    std::uint64_t revision() const { return m_revision; }
    /**
     * Whether to write the record now, under the condition that the right is still this node's and
     * there is no record: it is about to give the first order of all. A right that changes hands
     * before that costs the next holder no wait. At most once a second.
     */
    bool shouldRecord(TimePoint now);
    /** Whether to ask the store for the right now. At most once a second. */
    bool shouldAcquire(TimePoint now);
    /**
     * The fencing token with which this node may act now; nothing if it may not. @p renewedAt:
     * when the renewal was asked for that the store answered last.
     */
    std::optional<std::uint64_t> token(TimePoint now, TimePoint renewedAt) const;
    /** This process stood still: what it knew is old. It acts again after a new renewal. */
    void handleSuspension(TimePoint now) { m_suspendedAt = now; }

private:
    std::string m_life;
    bool m_isHeld = false; ///< By any node.
    bool m_isMine = false;
    std::uint64_t m_revision = 0;
    TimePoint m_mineSince {};
    std::uint64_t m_recordAt = 0; ///< It is written once; 0: not yet.
    TimePoint m_askedAt {};
    TimePoint m_recordAskedAt {};
    TimePoint m_suspendedAt {};
};

} // namespace indigoway
