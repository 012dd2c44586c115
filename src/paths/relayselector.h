#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** Another node that opens connections to backend servers for this one. */
struct RelayNode
{
    NodeName name;
    std::string address; ///< "IP:port" (TCP).
    /** Whether it tells the end of a server's connection from its own (tunnelframes.h). */
    bool knowsFrames = true;
    bool operator==(const RelayNode &) const = default;
};

/**
 * Chooses the nodes through which this node reaches backend servers that it cannot connect to. Each
 * node keeps to a few that it picked at random and that worked, so that the nodes of a cut-off
 * failure domain spread their connections over the rest and seldom ask each other.
 */
class RelaySelector
{
public:
    /**
     * Sets the other nodes. A node that is missing stays for some time, since entries of healthy
     * nodes expire while the store is unreachable.
     */
    void setNodes(const std::vector<RelayNode> &nodes, TimePoint now);
    bool isEmpty() const { return m_nodes.empty(); }
    /**
     * Returns a node that is not in @p tried, one that has failed lately only if all have. Nodes of
     * earlier versions, which don't know frames, are only used if no other one is usable: answers
     * without a length cannot be completed through them.
     */
    std::optional<RelayNode> pick(const std::vector<NodeName> &tried, TimePoint now,
                                  std::uint64_t entropy) const;
    /** Records that the node has opened a connection to a server. */
    void recordOpened(const NodeName &name);
    /** Records that the node could not be reached, or could not say whether a server can. */
    void recordFailed(const NodeName &name, TimePoint now);

private:
    /** Returns the nodes that have not failed lately. @param knowFrames Only those with frames. */
    std::vector<NodeName> usableNodes(const std::vector<NodeName> &tried, TimePoint now,
                                      std::uint64_t entropy, bool knowFrames) const;
    /** Returns all nodes that are not in @p tried, those that have failed included. */
    std::vector<NodeName> otherNodes(const std::vector<NodeName> &tried) const;
    /** Returns the nodes of which nothing is known now. */
    std::vector<NodeName> untestedNodes(TimePoint now) const;

    struct Node
    {
        std::string address;
        bool knowsFrames = false;
        TimePoint lastSeen {};      ///< When setNodes() last named it.
        std::uint32_t failures = 0; ///< In a row.
        TimePoint avoidedUntil {};
    };

    std::map<NodeName, Node> m_nodes;
    std::vector<NodeName> m_proven; ///< Nodes that worked, oldest first.
};

} // namespace indigoway
