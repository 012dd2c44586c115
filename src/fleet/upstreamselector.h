#pragma once

#include "fleet/nodedirectory.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** The source from which a node requests changes of the store. */
struct Upstream
{
    std::optional<std::string> peer; ///< Control address of a node; nothing for the store itself.
    bool isProbe = false; ///< True if the store failed before and is called with a short timeout.
};

/**
 * Chooses whether this node follows the store itself or another node.
 *
 * Each waiting watch is a billed call that counts against the store's rate limit, so only one node
 * of each failure domain, the watcher, follows the store. The other nodes of the domain form a tree
 * below it in rank order with a bounded number of children per node, so a node's outgoing traffic
 * does not grow with the fleet. A node follows only nodes of a better rank, which rules out cycles.
 * Nodes that are gone, unresponsive or cut off from the store are left out by each node that has
 * detected this.
 */
class UpstreamSelector
{
public:
    /** The maximum number of children of a node. */
    static constexpr std::size_t MaxChildren = 16;
    /**
     * The number of pages of the initial listing that each node reads from the store. Longer
     * listings come from other nodes, so that hundreds of nodes do not list the store at once when
     * the whole fleet restarts.
     */
    static constexpr std::size_t MaxStorePages = 2;

    /**
     * @param self this node's entry
     * @param spread a number that differs between nodes, so that they do not all choose the same
     *     peer
     */
    UpstreamSelector(NodeEntry self, std::uint64_t spread);

    /**
     * Chooses the upstream for changes.
     * @param directory the known nodes, with or without this one
     * @param seeds further control addresses
     */
    Upstream choose(TimePoint now, const NodeDirectory &directory,
                    const std::vector<std::string> &seeds);
    /**
     * Chooses the upstream for the rest of the initial listing.
     * @param isSeed whether other nodes may have this node's address in their settings and ask it
     *     first
     * @return nothing if the peers are busy and should be asked again later
     */
    std::optional<Upstream> chooseForSnapshot(TimePoint now, const NodeDirectory &directory,
                                              const std::vector<std::string> &seeds, bool isSeed);
    /** Handles a peer that is too busy to send a snapshot and names @p others that may have one. */
    void handleReferral(TimePoint now, const Upstream &busy,
                        const std::vector<std::string> &others);
    /**
     * Chooses a random peer to ask for changes while this node receives none: alternately any node
     * and one of the own domain. Returns nothing if no usable one is found.
     */
    std::optional<std::string> choosePeerToAsk(TimePoint now, const NodeDirectory &directory,
                                               std::uint64_t entropy);
    /**
     * Chooses a node to ask whether it has recovered and can be followed instead of the adopted
     * source: the regular parent, or for a node at the store also any node of the domain.
     */
    std::optional<std::string> choosePeerToReview(TimePoint now, const NodeDirectory &directory,
                                                  std::uint64_t entropy);
    /**
     * Returns the node that this one would follow if it had not adopted another source; nothing if
     * it would follow the store.
     */
    std::optional<std::string> regularParent(TimePoint now, const NodeDirectory &directory) const
    {
        return parentNode(now, directory);
    }
    /** Follows @p source, which has just answered, until it fails or is released. */
    void adopt(const Upstream &source) { m_adopted = source; }
    void releaseAdopted() { m_adopted.reset(); }
    bool hasAdoptedStore() const { return m_adopted && !m_adopted->peer; }
    bool hasAdoptedPeer() const { return m_adopted && m_adopted->peer; }
    bool hasAdopted() const { return m_adopted.has_value(); }
    /**
     * Returns true if any peer has failed lately. As long as this is so, a source that answers is
     * left only for one that has been asked and answers as well.
     */
    bool hasFailedPeer(TimePoint now) const;
    /**
     * Returns true if a node that follows @p peer cannot close a cycle: it is ranked better, or no
     * entry of it is known.
     */
    bool mayFollow(const std::string &peer, const NodeDirectory &directory) const;
    /** Returns true if @p peer is in this node's domain. */
    bool isInOwnDomain(const std::string &peer, const NodeDirectory &directory) const;
    /**
     * Returns true if this node calls the store for its domain: it is one of the best-ranked three,
     * and those ranked better have failed.
     */
    bool isDeputy(TimePoint now, const NodeDirectory &directory) const;
    /** Handles a peer that did not answer a call of the search. */
    void reportSilentPeer(TimePoint now, const std::string &peer) { backOff(now, peer); }
    /** Returns true if this node is its domain's watcher; false while it has no entry itself. */
    bool isWatcher(const NodeDirectory &directory) const;
    void reportSuccess(const Upstream &upstream);
    void reportFailure(TimePoint now, const Upstream &upstream);

private:
    struct PeerBackoff
    {
        TimePoint until {};
        /** Consecutive failures; 0 if the peer was only too busy to send a snapshot. */
        std::uint32_t failures = 0;
    };

    /**
     * Returns the control address of this node's parent in the tree of usable nodes, or nothing if
     * it has none. After several consecutive failures it goes further up, since nodes on the same
     * level depend on the same nodes above.
     */
    std::optional<std::string> parentNode(TimePoint now, const NodeDirectory &directory) const;
    /** Returns true if no node of the domain has a better rank. */
    bool isHighestRanked(const NodeDirectory &directory) const;
    std::vector<const NodeEntry *> domainMembers(const NodeDirectory &directory) const;
    /** Returns a random usable one of @p candidates other than this node. */
    std::optional<std::string> chooseRandom(TimePoint now,
                                            const std::vector<const NodeEntry *> &candidates,
                                            std::uint64_t entropy) const;
    /** Returns true if few enough nodes of the domain are ranked better to follow the store. */
    bool isAmongFirst(const NodeDirectory &directory) const;
    void backOff(TimePoint now, const std::string &peer);
    bool isBackedOff(const std::string &address, TimePoint now) const;
    bool mayCallStore(TimePoint now, bool isDomainWatcher) const;
    Upstream chooseStore(TimePoint now);
    /** Returns the time after which a failed store is tried again. */
    Duration storeRetryInterval(bool isDomainWatcher) const;
    std::optional<Upstream> chooseAnyPeer(TimePoint now, const NodeDirectory &directory,
                                          const std::vector<std::string> &seeds);
    std::optional<Upstream> chooseNextOf(TimePoint now, const std::vector<std::string> &addresses);
    /** Returns true if any peer is avoided only because it is too busy to send a snapshot. */
    bool hasBusyPeer(TimePoint now) const;

    NodeRank m_rank;
    DomainName m_domain;
    std::string m_controlAddress;
    std::optional<Upstream> m_adopted; ///< Source found while the regular ones failed.
    /** Peers that are not used for now, by control address. */
    std::map<std::string, PeerBackoff> m_peerBackoffs;
    std::uint32_t m_peerFailures = 0;  ///< Consecutive failures of peers.
    std::uint32_t m_storeFailures = 0; ///< Consecutive failures of the store.
    TimePoint m_storeCalledAt {};
    std::uint64_t m_roundRobinIndex = 0;
    Duration m_snapshotTimeout {}; ///< Time to wait for a snapshot from a peer.
    std::optional<TimePoint> m_snapshotWantedSince;
    /** Control addresses to ask for a snapshot, next one first. */
    std::deque<std::string> m_referrals;
};

} // namespace indigoway
