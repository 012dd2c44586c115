#include "cells.h"

#include <xxhash.h>

#include <algorithm>

namespace indigoway {

namespace {

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

CellMap::CellMap(const Deployment &deployment)
{
    std::map<TargetName, std::map<Role, std::size_t>> sizes;
    for (const auto &[name, server] : deployment.servers) {
        if (const Pool *pool = deployment.pool(server.pool)) {
            ++sizes[pool->target][pool->role];
        }
    }
    for (const auto &[name, target] : deployment.targets) {
        std::size_t largestRole = 1;
        for (const auto &[role, size] : sizes[name]) {
            largestRole = std::max(largestRole, size);
        }
        const std::size_t count = (largestRole + MaxServersPerCell - 1) / MaxServersPerCell;
        m_counts[name] = static_cast<std::uint32_t>(count);
        for (std::uint32_t number = 0; number < count; ++number) {
            m_cells.push_back({name, number});
        }
    }
    for (const auto &[name, server] : deployment.servers) {
        const Pool *pool = deployment.pool(server.pool);
        if (!pool) {
            continue;
        }
        const auto number =
            static_cast<std::uint32_t>(hashOf(name.text(), 0) % cellCount(pool->target));
        m_cellOf[name] = {pool->target, number};
        m_servers[{m_cellOf[name], pool->role}].push_back(name);
    }
}

std::uint32_t CellMap::cellCount(const TargetName &target) const
{
    const auto it = m_counts.find(target);
    return it == m_counts.end() ? 1 : it->second;
}

const Cell *CellMap::cellOf(const ServerName &server) const
{
    const auto it = m_cellOf.find(server);
    return it == m_cellOf.end() ? nullptr : &it->second;
}

const std::vector<ServerName> &CellMap::servers(const Cell &cell, Role role) const
{
    static const std::vector<ServerName> None;
    const auto it = m_servers.find({cell, role});
    return it == m_servers.end() ? None : it->second;
}

NodeName schedulerOf(const Cell &cell, const std::vector<NodeName> &eligible)
{
    const std::uint64_t cellHash = hashOf(cell.target.text(), cell.number);
    const NodeName *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const NodeName &node : eligible) {
        const std::uint64_t weight = hashOf(node.text(), cellHash);
        if (!best || weight > bestWeight) {
            best = &node;
            bestWeight = weight;
        }
    }
    return best ? *best : NodeName();
}

} // namespace indigoway
