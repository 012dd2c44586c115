#pragma once

#include "store/keyvaluestore.h"

#include <optional>
#include <string>

namespace indigoway {

/**
 * Decides whether this node may give orders to engines. The right is an item in the store under the
 * lease of the node's own entry; the item's revision is the fencing token. Engines that do not
 * check tokens would obey two nodes alternately, so a holder acts only while its lease is certainly
 * valid, and a new holder waits until the previous one has certainly stopped.
 */
class Leadership
{
public:
    /**
     * The time after the last renewal for which a holder may act. It is shorter than the lease
     * lifetime of three seconds, so the holder stops before another node can acquire the right.
     */
    static constexpr Duration RenewalValidity = std::chrono::milliseconds(1500);
    /**
     * The delay before a new holder acts. The previous holder may act for RenewalValidity after it
     * has lost the right, and orders of two holders must be at least three seconds apart.
     */
    static constexpr Duration TakeoverDelay = std::chrono::milliseconds(6000);

    /**
     * @param identity identifies this process; a restarted process does not inherit the right.
     */
    explicit Leadership(std::string identity);

    const std::string &identity() const { return m_identity; }
    /**
     * Handles a change of the store's item.
     * @param holderIdentity the holder's identity, or null if no node holds the right
     * @param revision the item's revision
     */
    void updateHolder(const std::string *holderIdentity, std::uint64_t revision, TimePoint now);
    /**
     * Handles the record that some node was about to give orders at @p revision; the node that held
     * the right then may still be acting. This and updateHolder() may be called in any order, since
     * changes that arrive through another node are not in the order of the store's revisions.
     */
    void updateRecord(std::uint64_t revision) { m_recordRevision = revision; }
    bool isHolder() const { return m_isHolder; }
    /** Returns the revision of the item that gives this node the right. */
    std::uint64_t revision() const { return m_revision; }
    /**
     * Returns true at most once a second, if this node holds the right and no record exists yet.
     * The record must be written before the first order, on condition that this node still holds
     * the right. If the right changes hands before that, the next holder need not wait.
     */
    bool shouldWriteRecord(TimePoint now);
    /**
     * Returns true at most once a second, if no node holds the right and this one should request
     * it.
     */
    bool shouldAcquire(TimePoint now);
    /**
     * Returns the fencing token if this node may act now, otherwise nothing.
     * @param renewedAt the time when the last successful lease renewal was requested
     */
    std::optional<std::uint64_t> fencingToken(TimePoint now, TimePoint renewedAt) const;
    /**
     * Handles a suspension of the process: cached state may be stale, so this node does not act
     * until its lease is renewed again.
     */
    void handleSuspension(TimePoint now) { m_suspendedAt = now; }

private:
    std::string m_identity;
    bool m_hasHolder = false; ///< True if any node holds the right.
    bool m_isHolder = false;
    std::uint64_t m_revision = 0;
    TimePoint m_holderSince {};
    /** Revision of the record, which is written only once; 0 if there is none yet. */
    std::uint64_t m_recordRevision = 0;
    TimePoint m_acquireRequestedAt {};
    TimePoint m_recordRequestedAt {};
    TimePoint m_suspendedAt {};
};

} // namespace indigoway
