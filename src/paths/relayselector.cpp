#include "relayselector.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Nodes that are used by turns once they have worked. */
constexpr std::size_t ProvenNodes = 4;
/** With fewer proven nodes, others are tried. */
constexpr std::size_t MinProvenNodes = 3;
/** A node that is cut off itself, or restarts, is asked again after this time. */
constexpr Duration Avoidance = std::chrono::seconds(1);
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
            known = {node.address, now, {}};
        }
        known.lastSeen = now;
    }
    std::erase_if(m_nodes,
                  [now](const auto &one) { return now > one.second.lastSeen + Retention; });
    std::erase_if(m_proven, [this](const NodeName &name) { return !m_nodes.contains(name); });
}

std::optional<RelayNode> RelaySelector::pick(const std::vector<NodeName> &tried, TimePoint now,
                                             std::uint64_t entropy) const
{
    std::vector<NodeName> candidates;
    for (const NodeName &name : m_proven) {
        if (!contains(tried, name)) {
            candidates.push_back(name);
        }
    }
    if (candidates.size() < std::min(MinProvenNodes, m_nodes.size())) {
        candidates.clear();
        for (const auto &[name, node] : m_nodes) {
            if (now >= node.avoidedUntil && !contains(tried, name)) {
                candidates.push_back(name);
            }
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const NodeName &chosen = candidates[entropy % candidates.size()];
    return RelayNode {chosen, m_nodes.at(chosen).address};
}

void RelaySelector::recordOpened(const NodeName &name)
{
    const auto it = m_nodes.find(name);
    if (it == m_nodes.end()) {
        return;
    }
    it->second.avoidedUntil = {};
    if (!contains(m_proven, name) && m_proven.size() < ProvenNodes) {
        m_proven.push_back(name);
    }
}

void RelaySelector::recordFailed(const NodeName &name, TimePoint now)
{
    std::erase(m_proven, name);
    const auto it = m_nodes.find(name);
    if (it != m_nodes.end()) {
        it->second.avoidedUntil = now + Avoidance;
    }
}

} // namespace indigoway
