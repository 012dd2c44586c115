#include "relayselector.h"

#include <algorithm>

namespace indigoway {

namespace {

/**
 * Nodes that are used by turns once they have worked. With few, the load of a cut-off node would
 * nearly double that of one other node.
 */
constexpr std::size_t ProvenNodes = 32;
/** With fewer proven nodes each call asks a new one, with more only each eighth. */
constexpr std::size_t FewProvenNodes = 8;
constexpr std::uint64_t CallsPerNewNode = 8;
/** A node that is cut off itself, or restarts, is asked again after this time, doubled each time.
 */
constexpr Duration Avoidance = std::chrono::seconds(1);
constexpr std::uint32_t MaxAvoidanceDoublings = 3;
/** Longer than an outage of the store that nodes outlive; nodes that are gone cost a refusal. */
constexpr Duration Retention = std::chrono::seconds(60);

bool contains(const std::vector<NodeName> &names, const NodeName &name)
{
    return std::ranges::find(names, name) != names.end();
}

} // namespace

void RelaySelector::setNodes(const std::vector<RelayNode> &nodes, TimePoint now)
{
    for (const RelayNode &node : nodes) {
        Node &known = m_nodes[node.name];
        if (known.address != node.address) {
            known = {node.address, node.knowsFrames, now, 0, {}};
        }
        known.knowsFrames = node.knowsFrames;
        known.lastSeen = now;
    }
    std::erase_if(m_nodes,
                  [now](const auto &one) { return now > one.second.lastSeen + Retention; });
    std::erase_if(m_proven, [this](const NodeName &name) { return !m_nodes.contains(name); });
}

std::optional<RelayNode> RelaySelector::pick(const std::vector<NodeName> &tried, TimePoint now,
                                             std::uint64_t entropy) const
{
    std::vector<NodeName> candidates = usableNodes(tried, now, entropy, true);
    if (candidates.empty()) {
        candidates = usableNodes(tried, now, entropy, false);
    }
    if (candidates.empty()) {
        // In a small deployment the only node in reach may have been slow once.
        candidates = otherNodes(tried);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const NodeName &chosen = candidates[(entropy / CallsPerNewNode) % candidates.size()];
    const Node &node = m_nodes.at(chosen);
    return RelayNode {chosen, node.address, node.knowsFrames};
}

std::vector<NodeName> RelaySelector::usableNodes(const std::vector<NodeName> &tried, TimePoint now,
                                                 std::uint64_t entropy, bool knowFrames) const
{
    const auto eraseUnusable = [&](std::vector<NodeName> names) {
        std::erase_if(names, [&](const NodeName &name) {
            return contains(tried, name) || (knowFrames && !m_nodes.at(name).knowsFrames);
        });
        return names;
    };
    std::vector<NodeName> proven = eraseUnusable(m_proven);
    // A call that has asked in vain keeps to nodes that worked; others find more of them.
    const bool wantsNew = tried.empty()
        && (proven.size() < FewProvenNodes
            || (proven.size() < ProvenNodes && entropy % CallsPerNewNode == 0));
    if (!proven.empty() && !wantsNew) {
        return proven;
    }
    std::vector<NodeName> untested = eraseUnusable(untestedNodes(now));
    return untested.empty() ? proven : untested;
}

std::vector<NodeName> RelaySelector::otherNodes(const std::vector<NodeName> &tried) const
{
    std::vector<NodeName> names;
    for (const auto &[name, node] : m_nodes) {
        if (!contains(tried, name)) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<NodeName> RelaySelector::untestedNodes(TimePoint now) const
{
    std::vector<NodeName> names;
    for (const auto &[name, node] : m_nodes) {
        if (now >= node.avoidedUntil && !contains(m_proven, name)) {
            names.push_back(name);
        }
    }
    return names;
}

void RelaySelector::recordOpened(const NodeName &name)
{
    const auto it = m_nodes.find(name);
    if (it == m_nodes.end()) {
        return;
    }
    it->second.avoidedUntil = {};
    it->second.failures = 0;
    if (!contains(m_proven, name) && m_proven.size() < ProvenNodes) {
        m_proven.push_back(name);
    }
}

void RelaySelector::recordFailed(const NodeName &name, TimePoint now)
{
    std::erase(m_proven, name);
    const auto it = m_nodes.find(name);
    if (it != m_nodes.end()) {
        Node &node = it->second;
        node.avoidedUntil =
            now + Avoidance * (1U << std::min(node.failures, MaxAvoidanceDoublings));
        ++node.failures;
    }
}

} // namespace indigoway
