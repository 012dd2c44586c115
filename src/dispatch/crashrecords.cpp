#include "crashrecords.h"

#include <algorithm>

namespace indigoway::dispatch {

void CrashRecords::recordCrash(const ContentId &content, std::uint32_t count,
                               std::uint64_t revision, TimePoint now)
{
    const std::size_t index = std::clamp(count, 1U, MaxCrashes) - 1;
    updateEntry(content, now).crashRevisions.at(index) = revision;
}

void CrashRecords::recordAnswer(const ContentId &content, std::uint64_t revision, TimePoint now)
{
    Entry &entry = updateEntry(content, now);
    if (revision == UnconfirmedRevision) {
        entry.crashRevisions = {};
    } else {
        entry.answerRevision = std::max(entry.answerRevision, revision);
    }
}

std::uint32_t CrashRecords::crashCount(const ContentId &content) const
{
    const auto it = m_entries.find(content);
    return it == m_entries.end() ? 0 : crashCountOf(it->second);
}

std::optional<TimePoint> CrashRecords::refusedUntil(const ContentId &content) const
{
    const auto it = m_entries.find(content);
    if (it == m_entries.end() || crashCountOf(it->second) < MaxCrashes) {
        return std::nullopt;
    }
    return it->second.updatedAt + RetentionTime;
}

void CrashRecords::removeExpired(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &entry) {
        return now > entry.second.updatedAt + RetentionTime;
    });
}

std::size_t CrashRecords::refusedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &entry) { return crashCountOf(entry.second) >= MaxCrashes; }));
}

std::uint32_t CrashRecords::crashCountOf(const Entry &entry)
{
    for (std::uint32_t count = MaxCrashes; count > 0; --count) {
        if (entry.crashRevisions.at(count - 1) > entry.answerRevision) {
            return count;
        }
    }
    return 0;
}

CrashRecords::Entry &CrashRecords::updateEntry(const ContentId &content, TimePoint now)
{
    if (m_entries.size() >= MaxContents && !m_entries.contains(content)) {
        const auto rank = [](const auto &entry) {
            return std::pair(crashCountOf(entry.second), entry.second.updatedAt);
        };
        m_entries.erase(
            std::min_element(m_entries.begin(), m_entries.end(),
                             [&](const auto &a, const auto &b) { return rank(a) < rank(b); }));
    }
    Entry &entry = m_entries[content];
    entry.updatedAt = now;
    return entry;
}

} // namespace indigoway::dispatch
