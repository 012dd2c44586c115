#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** Changes of a copy of the store, encoded once and shared by all who are sent them. */
struct NewsBlock
{
    std::uint64_t after = 0; ///< A copy of this revision or a later one can take it in.
    std::uint64_t upTo = 0;  ///< What such a copy is as of then.
    bool isWhole = false;    ///< All items there are: any copy can take it in.
    std::shared_ptr<const std::string> bytes;
};

/**
 * The latest changes of this node's copy, as other nodes are told of them. What comes from another
 * node is passed on as it came. So the cost of a change is one encoding, however many nodes there
 * are, and bytes in proportion to those who are told.
 */
class NewsLog
{
public:
    /** Encodes this node's whole copy. */
    using EncodeWhole = std::function<NewsBlock()>;

    /** Changes that are kept; a node that is further behind gets the whole. */
    static constexpr std::size_t MostKept = std::size_t {1024} * 1024;
    /** Of changes in one answer, unless one block alone is larger; the rest is asked for next. */
    static constexpr std::size_t MostTold = std::size_t {64} * 1024;

    /** The copy has come to @p revision in a way that is not told block by block. */
    void startAt(std::uint64_t revision);
    /** What follows on the blocks before it; where there is a gap, it begins anew. */
    void add(NewsBlock block);
    /** Whether a copy of @p revision can only be given the whole. */
    bool needsWhole(std::uint64_t revision) const;
    /** What brings a copy of @p revision forward, in order; empty if there is nothing new. */
    std::vector<NewsBlock> since(std::uint64_t revision, const EncodeWhole &encodeWhole);
    std::uint64_t upTo() const { return m_upTo; }
    std::size_t keptBytes() const { return m_keptBytes; }

private:
    void keepWhole(NewsBlock block);
    /** A whole and what follows it are used until encoding it anew makes an answer shorter. */
    bool isWholeWorn() const;
    std::size_t bytesAfter(std::uint64_t revision) const;
    void append(std::vector<NewsBlock> &told, std::uint64_t revision) const;

    std::deque<NewsBlock> m_blocks;
    std::size_t m_keptBytes = 0; ///< Of m_blocks.
    std::uint64_t m_from = 0;    ///< Changes after this revision are all in m_blocks.
    std::uint64_t m_upTo = 0;
    std::optional<NewsBlock> m_whole;
};

} // namespace indigoway
