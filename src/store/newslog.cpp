#include "newslog.h"

#include <utility>

namespace indigoway {

void NewsLog::startAt(std::uint64_t revision)
{
    m_updates.clear();
    m_logBytes = 0;
    m_snapshot.reset();
    m_startRevision = revision;
    m_asOf = revision;
}

void NewsLog::add(NewsBlock update)
{
    if (update.upTo <= m_asOf) {
        return;
    }
    if (update.isWhole) {
        cacheSnapshot(std::move(update));
        return;
    }
    if (update.after > m_asOf) {
        startAt(update.after);
    }
    m_asOf = update.upTo;
    m_logBytes += update.bytes->size();
    m_updates.push_back(std::move(update));
    while (m_logBytes > MaxLogBytes && m_updates.size() > 1) {
        m_logBytes -= m_updates.front().bytes->size();
        m_startRevision = m_updates.front().upTo;
        m_updates.pop_front();
    }
    if (m_snapshot && m_snapshot->upTo < m_startRevision) {
        m_snapshot.reset();
    }
}

void NewsLog::cacheSnapshot(NewsBlock update)
{
    startAt(update.upTo);
    m_snapshot = std::move(update);
}

bool NewsLog::needsWhole(std::uint64_t revision) const
{
    return revision == 0 || revision < m_startRevision;
}

std::vector<NewsBlock> NewsLog::since(std::uint64_t revision, const EncodeSnapshot &encodeSnapshot)
{
    std::vector<NewsBlock> updates;
    if (revision >= m_asOf) {
        return updates;
    }
    if (!needsWhole(revision)) {
        appendUpdates(updates, revision);
        return updates;
    }
    if (isSnapshotOutdated()) {
        m_snapshot = encodeSnapshot();
    }
    updates.push_back(*m_snapshot);
    appendUpdates(updates, m_snapshot->upTo);
    return updates;
}

bool NewsLog::isSnapshotOutdated() const
{
    return !m_snapshot || bytesAfter(m_snapshot->upTo) > m_snapshot->bytes->size() / 2;
}

std::size_t NewsLog::bytesAfter(std::uint64_t revision) const
{
    std::size_t bytes = 0;
    for (const NewsBlock &update : m_updates) {
        bytes += update.upTo > revision ? update.bytes->size() : 0;
    }
    return bytes;
}

void NewsLog::appendUpdates(std::vector<NewsBlock> &updates, std::uint64_t revision) const
{
    std::size_t bytes = 0;
    for (const NewsBlock &update : m_updates) {
        if (update.upTo <= revision) {
            continue;
        }
        bytes += update.bytes->size();
        if (bytes > MaxAnswerBytes && bytes > update.bytes->size()) {
            return;
        }
        updates.push_back(update);
    }
}

} // namespace indigoway
