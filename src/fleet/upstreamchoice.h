#pragma once

#include "fleet/noderoster.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** Whom a node asks for the store's changes. */
struct Upstream
{
    std::optional<std::string> peer; ///< A node's control address; nothing: the store itself.
    bool isProbe = false; ///< The store failed before: it is asked with a short wait only.
};

/**
 * Which node asks the store itself, and which one asks another node.
 *
 * Every waiting watch is a call that costs money and counts against the store's limit, so one node
 * of each failure domain watches the store. The others of the domain stand below it in a tree by
 * their rank, each node above a bounded number of others: what a node sends does not grow with the
 * fleet. A node asks only nodes of a better rank, so nobody waits in a circle. A node that is gone,
 * silent or itself cut off from the store is left out of the tree by whoever has noticed.
 */
class UpstreamChoice
{
public:
    /** Nodes that ask one node. */
    static constexpr std::size_t MostBelow = 16;
    /**
     * Pages of a first listing that each node asks the store for. What is longer would, after a
     * loss of all nodes, be listed by hundreds of nodes at a time; another node has it, or will.
     */
    static constexpr std::size_t MostOwnPages = 2;

    /** @p spread: differs between nodes, so that they do not all turn to the same one. */
    UpstreamChoice(NodeEntry self, std::uint64_t spread);

    /** @p roster: the nodes known, possibly with this one; @p seeds: further addresses. */
    Upstream choose(TimePoint now, const NodeRoster &roster, const std::vector<std::string> &seeds);
    /**
     * For the rest of a listing by a node that has no copy. @p isSeed: other nodes may know this
     * one from their settings, and ask it first. Nothing: others are busy; ask a moment later.
     */
    std::optional<Upstream> chooseForFirstCopy(TimePoint now, const NodeRoster &roster,
                                               const std::vector<std::string> &seeds, bool isSeed);
    /** A node that is too busy to give a whole copy names others that may have one. */
    void referred(TimePoint now, const Upstream &busy, const std::vector<std::string> &others);
    /** Whether this node is its domain's watcher; false while it is no member itself. */
    bool isWatcher(const NodeRoster &roster) const;
    void succeeded(const Upstream &upstream);
    void failed(TimePoint now, const Upstream &upstream);

private:
    struct Avoided
    {
        TimePoint until {};
        std::uint32_t failures = 0; ///< In a row; 0: it was only too busy to give a copy.
    };

    /**
     * The node above this one, by those that are not avoided; nothing: none is. One that has
     * failed several times in a row goes further up: those beside it hear no more than it does.
     */
    std::optional<std::string> nodeAbove(TimePoint now, const NodeRoster &roster) const;
    /** Whether no node of the domain has a better rank. */
    bool isFirst(const NodeRoster &roster) const;
    bool isAvoided(const std::string &address, TimePoint now) const;
    bool mayTryStore(TimePoint now, bool isWatching) const;
    Upstream store(TimePoint now);
    /** How long a store that has failed is left alone. */
    Duration probeEvery(bool isWatching) const;
    std::optional<Upstream> anyPeer(TimePoint now, const NodeRoster &roster,
                                    const std::vector<std::string> &seeds);
    std::optional<Upstream> nextOf(TimePoint now, const std::vector<std::string> &addresses);
    /** Whether a node that is avoided is only too busy to give a copy. */
    bool isAnyBusy(TimePoint now) const;

    NodeRank m_rank;
    DomainName m_domain;
    std::string m_control;
    std::map<std::string, Avoided> m_avoided; ///< By control address.
    std::uint32_t m_peerFailures = 0;         ///< In a row.
    std::uint32_t m_storeFailures = 0;        ///< In a row.
    TimePoint m_storeTriedAt {};
    std::uint64_t m_turn = 0;
    Duration m_patience {}; ///< For a first copy from another node.
    std::optional<TimePoint> m_wantsCopySince;
    std::deque<std::string> m_referred; ///< Nodes to ask for a whole copy, the next one first.
};

} // namespace indigoway
