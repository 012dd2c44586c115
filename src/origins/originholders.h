#pragma once

#include "origins/originmessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace indigoway::origins {

/** A node that can keep origins for others. */
struct Holder
{
    NodeName node;
    DomainName domain;
    std::uint64_t life = 0; ///< Differs between the processes of a node; a new one knows nothing.
    bool operator==(const Holder &) const = default;
};

/**
 * Chooses the nodes that keep the origin of a stream, by rendezvous hashing over failure domains:
 * nodes that know nearly the same members choose nearly the same ones, without any message.
 */
class OriginHolders
{
public:
    void setNodes(const std::vector<Holder> &nodes);
    /** Returns the first @p count nodes for @p stream; consecutive ones are in different domains.
     */
    std::vector<Holder> holdersOf(const StreamId &stream, std::size_t count) const;
    std::size_t size() const { return m_size; }

private:
    struct Candidate
    {
        Holder holder;
        std::uint64_t hash = 0;
    };

    std::map<DomainName, std::vector<Candidate>> m_domains;
    std::size_t m_size = 0;
};

/**
 * Returns the nodes that record origins in the store for all others: few, so that many records
 * share a write.
 */
std::vector<Holder> recordersAmong(std::vector<Holder> nodes);
/** Returns the one of @p recorders that records @p stream; there must be one. */
const Holder &recorderOf(const StreamId &stream, const std::vector<Holder> &recorders);

} // namespace indigoway::origins
