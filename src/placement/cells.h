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
 * Identifies a bounded subset of a target's servers that is scheduled by one node. The bound
 * keeps a scheduler's work and traffic independent of the fleet's size.
 */
struct Cell
{
    TargetName target;
    std::uint32_t number = 0;
    auto operator<=>(const Cell &) const = default;
};

/** Upper bound of the mean number of servers per cell and role. */
constexpr std::size_t MaxServersPerCell = 64;

/** Assigns the declared servers to cells. Built once per configuration revision. */
class CellMap
{
public:
    CellMap() = default;
    explicit CellMap(const Deployment &deployment);

    /** Returns the number of cells of @p target, at least 1. */
    std::uint32_t cellCount(const TargetName &target) const;
    /** Returns the cell of @p server, or null if the server is not declared. */
    const Cell *cellOf(const ServerName &server) const;
    /** Returns the servers of @p role in @p cell, in name order. */
    const std::vector<ServerName> &servers(const Cell &cell, Role role) const;
    const std::vector<Cell> &cells() const { return m_cells; }

private:
    std::vector<Cell> m_cells;
    std::map<TargetName, std::uint32_t> m_counts;
    std::map<ServerName, Cell> m_cellOf;
    std::map<std::pair<Cell, Role>, std::vector<ServerName>> m_servers;
};

/**
 * Returns the node that schedules @p cell, chosen by rendezvous hashing (Thaler and Ravishankar,
 * 1998) over @p eligible. When a node joins or leaves, only the cells that it gains or loses move.
 *
 * @return an empty name if @p eligible is empty
 */
NodeName schedulerOf(const Cell &cell, const std::vector<NodeName> &eligible);

} // namespace indigoway
