#include "originholders.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace indigoway::origins {

namespace {

std::uint64_t hashOf(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

/** Combines two hashes so that each pair gets its own rank. */
std::uint64_t combined(std::uint64_t first, std::uint64_t second)
{
    const std::uint64_t pair[] {first, second};
    return XXH64(static_cast<const void *>(pair), sizeof(pair), 0);
}

/** The nodes of one domain, the best first. */
struct RankedDomain
{
    std::uint64_t rank = 0;
    std::vector<std::pair<std::uint64_t, const Holder *>> nodes;
};

} // namespace

void OriginHolders::setNodes(const std::vector<Holder> &nodes)
{
    m_domains.clear();
    m_size = nodes.size();
    for (const Holder &node : nodes) {
        m_domains[node.domain].push_back({node, hashOf(node.node.text())});
    }
}

std::vector<Holder> OriginHolders::holdersOf(const StreamId &stream, std::size_t count) const
{
    const std::uint64_t key = hashOf(stream.text());
    std::vector<RankedDomain> domains;
    for (const auto &[name, candidates] : m_domains) {
        RankedDomain &domain = domains.emplace_back();
        domain.rank = combined(key, hashOf(name.text()));
        for (const Candidate &candidate : candidates) {
            domain.nodes.emplace_back(combined(key, candidate.hash), &candidate.holder);
        }
        const std::size_t needed = std::min(count, domain.nodes.size());
        std::partial_sort(domain.nodes.begin(),
                          domain.nodes.begin() + static_cast<std::ptrdiff_t>(needed),
                          domain.nodes.end());
    }
    std::ranges::sort(domains, {}, &RankedDomain::rank);
    std::vector<Holder> holders;
    for (std::size_t round = 0; holders.size() < std::min(count, m_size); ++round) {
        for (const RankedDomain &domain : domains) {
            if (round < domain.nodes.size() && holders.size() < count) {
                holders.push_back(*domain.nodes[round].second);
            }
        }
    }
    return holders;
}

std::vector<Holder> recordersAmong(std::vector<Holder> nodes)
{
    constexpr std::size_t NodesPerRecorder = 128;
    constexpr std::size_t MaxRecorders = 8;
    const std::size_t wanted = std::min(1 + nodes.size() / NodesPerRecorder, MaxRecorders);
    std::ranges::sort(nodes, {}, [](const Holder &node) { return hashOf(node.node.text()); });
    nodes.resize(std::min(nodes.size(), wanted));
    return nodes;
}

const Holder &recorderOf(const StreamId &stream, const std::vector<Holder> &recorders)
{
    return recorders.at(hashOf(stream.text()) % recorders.size());
}

} // namespace indigoway::origins
