#include "crashrecords.h"

#include <algorithm>

namespace indigoway::dispatch {

void CrashRecords::crashed(const ContentId &content, std::uint32_t count, std::uint64_t revision,
                           TimePoint now)
{
    const std::size_t index = std::clamp(count, 1U, MostCrashes) - 1;
    entryOf(content, now).crashedAt.at(index) = revision;
}

void CrashRecords::answered(const ContentId &content, std::uint64_t revision, TimePoint now)
{
    Entry &entry = entryOf(content, now);
    if (revision == NotStored) {
        entry.crashedAt = {};
    } else {
        entry.answeredAt = std::max(entry.answeredAt, revision);
    }
}

std::uint32_t CrashRecords::crashes(const ContentId &content) const
{
    const auto it = m_entries.find(content);
    return it == m_entries.end() ? 0 : crashesOf(it->second);
}

std::optional<TimePoint> CrashRecords::refusedUntil(const ContentId &content) const
{
    const auto it = m_entries.find(content);
    if (it == m_entries.end() || crashesOf(it->second) < MostCrashes) {
        return std::nullopt;
    }
    return it->second.heard + KeptFor;
}

void CrashRecords::forgetOld(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &one) { return now > one.second.heard + KeptFor; });
}

std::size_t CrashRecords::refused() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &one) { return crashesOf(one.second) >= MostCrashes; }));
}

std::uint32_t CrashRecords::crashesOf(const Entry &entry)
{
    for (std::uint32_t count = MostCrashes; count > 0; --count) {
        if (entry.crashedAt.at(count - 1) > entry.answeredAt) {
            return count;
        }
    }
    return 0;
}

CrashRecords::Entry &CrashRecords::entryOf(const ContentId &content, TimePoint now)
{
    if (m_entries.size() >= MostContents && !m_entries.contains(content)) {
        const auto rank = [](const auto &one) {
            return std::pair(crashesOf(one.second), one.second.heard);
        };
        m_entries.erase(
            std::min_element(m_entries.begin(), m_entries.end(),
                             [&](const auto &a, const auto &b) { return rank(a) < rank(b); }));
    }
    Entry &entry = m_entries[content];
    entry.heard = now;
    return entry;
}

} // namespace indigoway::dispatch
