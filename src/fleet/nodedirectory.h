#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace indigoway {

/** The entry that a node publishes in the store. */
struct NodeEntry
{
    NodeName name;
    DomainName domain;
    std::string callerAddress;          ///< "IP:port" for callers.
    std::string controlAddress;         ///< "IP:port" for other nodes.
    std::string schedulingAddress = {}; ///< "IP:port" (UDP) for claims on engines; empty if none.
    /** "IP:port" (TCP) for other nodes' connections to backend servers; empty if none. */
    std::string relayAddress = {};
    /** CPU share of the VM; the node with the largest share schedules the engines. */
    double cpuShare = 0;
    /** Whether the node frames what it relays; those of earlier versions do not (tunnelframes.h).
     */
    bool framesRelayed = true;
    // Store revisions, not part of the encoded entry.
    /** Revision since which the entry has existed continuously, across process restarts. */
    std::uint64_t announcedSince = 0;
    std::uint64_t announcedAt = 0; ///< Revision of the last write; each process writes its own.
    bool operator==(const NodeEntry &) const = default;
};

std::string encodeNodeEntry(const NodeEntry &entry);
/** Parses an entry; returns nothing if @p text is invalid. */
std::optional<NodeEntry> decodeNodeEntry(std::string_view text);

/**
 * Orders the nodes of a failure domain by CPU share, largest first, then by name. The largest VM
 * also has the most network bandwidth.
 */
struct NodeRank
{
    double cpuShare = 0;
    NodeName name;
    bool operator<(const NodeRank &other) const;
};

/** The nodes of a failure domain in rank order. */
using RankedNodes = std::map<NodeRank, const NodeEntry *>;

/**
 * Keeps the nodes that serve callers. A removed entry is retained for a short time, since leases of
 * healthy nodes expire while the store is unreachable, and callers would otherwise get an empty
 * list.
 */
class NodeDirectory
{
public:
    static constexpr Duration RetentionTime = std::chrono::milliseconds(1200);

    explicit NodeDirectory(NodeEntry self);

    /** Sets this node's own entry; its addresses are known only after it listens. */
    void setSelf(NodeEntry self) { m_self = std::move(self); }
    void announce(const std::string &key, NodeEntry entry);
    void withdraw(const std::string &key, TimePoint now);
    /** Removes the nodes whose retention time has passed. */
    void purgeWithdrawn(TimePoint now);
    /** Excludes this node from the addresses for callers. */
    void setLeaving() { m_isLeaving = true; }
    /**
     * Returns addresses for callers in random order, starting with this node's own unless it is
     * leaving.
     * @param maxCount the maximum number of addresses
     * @param entropy the seed of the random order
     */
    std::vector<std::string> callerAddresses(TimePoint now, std::size_t maxCount,
                                             std::uint64_t entropy) const;
    /**
     * Returns the nodes that have an entry, including this one if it has; valid until the next
     * change.
     */
    std::vector<const NodeEntry *> members() const;
    /** Returns the nodes in @p domain. */
    const RankedNodes &nodesInDomain(const DomainName &domain) const;
    /** Returns how often members() has changed; it begins with 1. */
    std::uint64_t changes() const { return m_changes; }
    /** Returns the number of entries, including those removed but still retained. */
    std::size_t size() const { return m_nodes.size(); }
    /** Returns the number of nodes that serve callers, including this one. */
    std::uint32_t count(TimePoint now) const;

private:
    struct TrackedNode
    {
        NodeEntry entry;
        std::optional<TimePoint> withdrawnAt;
    };

    struct WithdrawnEntry
    {
        std::string key;
        TimePoint at {};
    };

    static bool isRetained(const TrackedNode &tracked, TimePoint now);
    void removeFromDomain(const NodeEntry &entry);

    NodeEntry m_self;
    bool m_isLeaving = false;
    std::uint64_t m_changes = 1;
    std::map<std::string, TrackedNode> m_nodes; ///< Nodes by store key.
    std::map<DomainName, RankedNodes> m_domains;
    std::deque<WithdrawnEntry> m_withdrawn; ///< Removed entries, oldest first.
};

} // namespace indigoway
