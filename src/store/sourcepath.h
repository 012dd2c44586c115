#pragma once

#include "core/texthash.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace indigoway {

/**
 * The nodes over which a node's changes come from the store, nearest first; none if they come from
 * the store itself.
 *
 * Nodes pass it on with their answers, and follow no source on whose path they are themselves.
 * Otherwise two nodes that each lose the store could take the other one for a source: both would
 * be current without any changes. This is what a path vector routing protocol does.
 */
class SourcePath
{
public:
    using NodeId = std::uint64_t;
    /** Far above the depth of the tree; longer paths are not followed. */
    static constexpr std::size_t MaxNodes = 64;

    SourcePath() = default;
    /**
     * @param nodes The nodes, nearest first.
     * @param isComplete Whether there are no further nodes.
     */
    explicit SourcePath(std::vector<NodeId> nodes, bool isComplete = true)
        : m_nodes(std::move(nodes))
        , m_isComplete(isComplete)
    { }

    static NodeId idOf(const std::string &controlAddress) { return textHash(controlAddress); }

    const std::vector<NodeId> &nodes() const { return m_nodes; }
    /** Returns false if it leads over a node of an earlier version, which states no path. */
    bool isComplete() const { return m_isComplete; }
    bool contains(NodeId node) const { return std::ranges::find(m_nodes, node) != m_nodes.end(); }
    /** Returns the path of a node that follows @p source, whose own path this is. */
    SourcePath extendedBy(NodeId source) const
    {
        std::vector<NodeId> nodes {source};
        nodes.insert(nodes.end(), m_nodes.begin(), m_nodes.end());
        return SourcePath(std::move(nodes), m_isComplete);
    }
    bool operator==(const SourcePath &) const = default;

private:
    std::vector<NodeId> m_nodes;
    bool m_isComplete = true;
};

} // namespace indigoway
