#include "updatelog.h"

#include <utility>

namespace indigoway {

void UpdateLog::startAt(std::uint64_t revision)
{
    m_updates.clear();
    m_logBytes = 0;
    m_snapshot.reset();
    m_startRevision = revision;
    m_asOf = revision;
}

void UpdateLog::add(EncodedUpdate update)
{
    if (update.asOf <= m_asOf) {
        return;
    }
    if (update.isSnapshot) {
        cacheSnapshot(std::move(update));
        return;
    }
    if (update.after > m_asOf) {
        startAt(update.after);
    }
    m_asOf = update.asOf;
    m_logBytes += update.bytes->size();
    m_updates.push_back(std::move(update));
    while (m_logBytes > MaxLogBytes && m_updates.size() > 1) {
        m_logBytes -= m_updates.front().bytes->size();
        m_startRevision = m_updates.front().asOf;
        m_updates.pop_front();
    }
    if (m_snapshot && m_snapshot->asOf < m_startRevision) {
        m_snapshot.reset();
    }
}

void UpdateLog::cacheSnapshot(EncodedUpdate update)
{
    startAt(update.asOf);
    m_snapshot = std::move(update);
}

bool UpdateLog::needsSnapshot(std::uint64_t revision) const
{
    return revision == 0 || revision < m_startRevision;
}

std::vector<EncodedUpdate> UpdateLog::since(std::uint64_t revision,
                                            const EncodeSnapshot &encodeSnapshot)
{
    std::vector<EncodedUpdate> updates;
    if (revision >= m_asOf) {
        return updates;
    }
    if (!needsSnapshot(revision)) {
        appendUpdates(updates, revision);
        return updates;
    }
    if (isSnapshotOutdated()) {
        m_snapshot = encodeSnapshot();
    }
    updates.push_back(*m_snapshot);
    appendUpdates(updates, m_snapshot->asOf);
    return updates;
}

bool UpdateLog::isSnapshotOutdated() const
{
    return !m_snapshot || bytesAfter(m_snapshot->asOf) > m_snapshot->bytes->size() / 2;
}

std::size_t UpdateLog::bytesAfter(std::uint64_t revision) const
{
    std::size_t bytes = 0;
    for (const EncodedUpdate &update : m_updates) {
        bytes += update.asOf > revision ? update.bytes->size() : 0;
    }
    return bytes;
}

void UpdateLog::appendUpdates(std::vector<EncodedUpdate> &updates, std::uint64_t revision) const
{
    std::size_t bytes = 0;
    for (const EncodedUpdate &update : m_updates) {
        if (update.asOf <= revision) {
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
