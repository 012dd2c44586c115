#include "newslog.h"

#include <utility>

namespace indigoway {

void NewsLog::startAt(std::uint64_t revision)
{
    m_blocks.clear();
    m_keptBytes = 0;
    m_whole.reset();
    m_from = revision;
    m_upTo = revision;
}

void NewsLog::add(NewsBlock block)
{
    if (block.upTo <= m_upTo) {
        return;
    }
    if (block.isWhole) {
        keepWhole(std::move(block));
        return;
    }
    if (block.after > m_upTo) {
        startAt(block.after);
    }
    m_upTo = block.upTo;
    m_keptBytes += block.bytes->size();
    m_blocks.push_back(std::move(block));
    while (m_keptBytes > MostKept && m_blocks.size() > 1) {
        m_keptBytes -= m_blocks.front().bytes->size();
        m_from = m_blocks.front().upTo;
        m_blocks.pop_front();
    }
    if (m_whole && m_whole->upTo < m_from) {
        m_whole.reset();
    }
}

void NewsLog::keepWhole(NewsBlock block)
{
    startAt(block.upTo);
    m_whole = std::move(block);
}

bool NewsLog::needsWhole(std::uint64_t revision) const
{
    return revision == 0 || revision < m_from;
}

std::vector<NewsBlock> NewsLog::since(std::uint64_t revision, const EncodeWhole &encodeWhole)
{
    std::vector<NewsBlock> told;
    if (revision >= m_upTo) {
        return told;
    }
    if (!needsWhole(revision)) {
        append(told, revision);
        return told;
    }
    if (isWholeWorn()) {
        m_whole = encodeWhole();
    }
    told.push_back(*m_whole);
    append(told, m_whole->upTo);
    return told;
}

bool NewsLog::isWholeWorn() const
{
    return !m_whole || bytesAfter(m_whole->upTo) > m_whole->bytes->size() / 2;
}

std::size_t NewsLog::bytesAfter(std::uint64_t revision) const
{
    std::size_t bytes = 0;
    for (const NewsBlock &block : m_blocks) {
        bytes += block.upTo > revision ? block.bytes->size() : 0;
    }
    return bytes;
}

void NewsLog::append(std::vector<NewsBlock> &told, std::uint64_t revision) const
{
    std::size_t bytes = 0;
    for (const NewsBlock &block : m_blocks) {
        if (block.upTo <= revision) {
            continue;
        }
        bytes += block.bytes->size();
        if (bytes > MostTold && bytes > block.bytes->size()) {
            return;
        }
        told.push_back(block);
    }
}

} // namespace indigoway
