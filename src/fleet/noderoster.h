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

/** A node as it announced itself. */
struct NodeEntry
{
    NodeName name;
    DomainName domain;
    std::string callers;         ///< "IP:port" for callers.
    std::string control;         ///< "IP:port" for the other nodes.
    std::string scheduling = {}; ///< "IP:port" (UDP) for claims on engines; empty: none.
    double processors = 0;       ///< Its VM's share; the node with the most schedules the engines.
    // Revisions of the store; not part of what is announced.
    std::uint64_t announcedSince = 0; ///< There without a gap, also over restarts of its process.
    std::uint64_t announcedAt = 0;    ///< Of the latest announcement: each life makes its own.
    bool operator==(const NodeEntry &) const = default;
};

std::string encodeNodeEntry(const NodeEntry &entry);
/** Nothing if @p text is no entry. */
std::optional<NodeEntry> decodeNodeEntry(std::string_view text);

/** Orders the nodes of a failure domain: who has most processor time, and so the widest link. */
struct NodeRank
{
    double processors = 0;
    NodeName name;
    bool operator<(const NodeRank &other) const;
};

/** The nodes of a failure domain, the first in rank first. */
using RankedNodes = std::map<NodeRank, const NodeEntry *>;

/**
 * The nodes that serve callers. An entry that vanishes is kept for a moment: when the store has
 * been away, leases of healthy nodes lapse, and an empty list would send callers nowhere.
 */
class NodeRoster
{
public:
    static constexpr Duration VanishedKept = std::chrono::milliseconds(1200);

    explicit NodeRoster(NodeEntry self);

    /** This node's addresses are known once it listens. */
    void setSelf(NodeEntry self) { m_self = std::move(self); }
    void announce(const std::string &key, NodeEntry entry);
    void withdraw(const std::string &key, TimePoint now);
    /** Drops the nodes whose moment is over; cheap where there are none. */
    void forgetVanished(TimePoint now);
    /** This node asks callers to go elsewhere. */
    void setLeaving() { m_isLeaving = true; }
    /** Addresses for callers, at most @p most; this node's own unless it leaves. */
    std::vector<std::string> callerAddresses(TimePoint now, std::size_t most,
                                             std::uint64_t entropy) const;
    /** The nodes that have announced themselves, this one included if it has; until a change. */
    std::vector<const NodeEntry *> members() const;
    /** Those of them in @p domain. */
    const RankedNodes &inDomain(const DomainName &domain) const;
    /** Those that have announced themselves, until they are forgotten. */
    std::size_t size() const { return m_nodes.size(); }
    /** Nodes that serve callers, this one included. */
    std::uint32_t count(TimePoint now) const;

private:
    struct Known
    {
        NodeEntry entry;
        std::optional<TimePoint> vanishedAt;
    };

    struct Vanished
    {
        std::string key;
        TimePoint at {};
    };

    static bool isPresent(const Known &known, TimePoint now);
    void dropRank(const NodeEntry &entry);

    NodeEntry m_self;
    bool m_isLeaving = false;
    std::map<std::string, Known> m_nodes; ///< By key.
    std::map<DomainName, RankedNodes> m_domains;
    std::deque<Vanished> m_vanished; ///< Oldest first.
};

} // namespace indigoway
