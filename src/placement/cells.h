#pragma once

#include <indigoway/deployment.h>
#include <indigoway/ids.h>

#include <compare>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace indigoway {

/**
 * A bounded part of a target's servers that one node schedules. The bound keeps a scheduler's
 * work and traffic independent of the fleet's size.
 */
struct Cell
{
    TargetName target;
    std::uint32_t number = 0;
    auto operator<=>(const Cell &) const = default;
};

/** Servers that a cell holds on average at the most, per role. */
constexpr std::size_t MostServersPerCell = 64;

/** Which cells a deployment has and which servers are in them. Made once per revision. */
class CellMap
{
public:
    CellMap() = default;
    explicit CellMap(const Deployment &deployment);

    /** Number of cells of @p target; at least 1. */
    std::uint32_t count(const TargetName &target) const;
    /** Null for a server that is not declared. */
    const Cell *cellOf(const ServerName &server) const;
    /** The cell's servers of @p role, in name order. */
    const std::vector<ServerName> &servers(const Cell &cell, Role role) const;
    const std::vector<Cell> &cells() const { return m_cells; }

private:
    std::vector<Cell> m_cells;
    std::map<TargetName, std::uint32_t> m_counts;
    std::map<ServerName, Cell> m_cellOf;
    std::map<std::pair<Cell, Role>, std::vector<ServerName>> m_servers;
};

/**
 * The node that looks after @p cell: rendezvous hashing (Thaler and Ravishankar, 1998) over
 * @p eligible, so that a node's coming or going moves only the cells it takes or had.
 * An empty name if nobody is eligible.
 */
NodeName schedulerOf(const Cell &cell, const std::vector<NodeName> &eligible);

} // namespace indigoway
