#pragma once

#include "fleet/noderoster.h"

#include <indigoway/ids.h>

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
 * Which node asks the store itself, and which one asks another node. Every waiting watch is a
 * call that costs money and counts against the store's limit; with 65 nodes the watches alone
 * were four fifths of all costs. So one node of each failure domain watches the store, and the
 * others wait for what it tells. A node whose watcher is gone, silent or itself cut off from the
 * store asks the store; one that the store turns away asks any node.
 */
class UpstreamChoice
{
public:
    explicit UpstreamChoice(NodeName self, DomainName domain);

    /**
     * @p members: the nodes known, possibly with this one; @p seeds: further addresses.
     * @p needsAll: this node knows nothing yet. It asks the store, whose link is made for that:
     * after the end of all of 300 nodes, a watcher of a domain had to send a hundred whole copies
     * of 3,000 servers over the link of a small VM, and most nodes served nothing for 30 s.
     */
    Upstream choose(TimePoint now, const std::vector<NodeEntry> &members,
                    const std::vector<std::string> &seeds, bool needsAll = false);
    /** Whether this node is its domain's watcher; false while it is no member itself. */
    bool isWatcher(const std::vector<NodeEntry> &members) const;
    void succeeded(const Upstream &upstream);
    void failed(TimePoint now, const Upstream &upstream);

private:
    /** One node of each domain, this node's own domain first. */
    std::vector<NodeEntry> watchers(const std::vector<NodeEntry> &members) const;
    bool isAvoided(const std::string &address, TimePoint now) const;
    /** How long a store that has failed is left alone. */
    Duration probeEvery(bool isWatching) const;
    std::optional<Upstream> anyPeer(TimePoint now, const std::vector<NodeEntry> &members,
                                    const std::vector<std::string> &seeds);

    NodeName m_self;
    DomainName m_domain;
    std::map<std::string, TimePoint> m_avoidedUntil; ///< By control address.
    std::uint32_t m_storeFailures = 0;               ///< In a row.
    TimePoint m_storeTriedAt {};
    std::size_t m_turn = 0;
};

} // namespace indigoway
