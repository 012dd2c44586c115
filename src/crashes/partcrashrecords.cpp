#include "partcrashrecords.h"

#include <algorithm>
#include <utility>

namespace indigoway::crashes {

namespace {

/** Adds what @p other knows of the same series; returns whether any of it is new. */
bool addEvidence(PartCrashes &crashes, const PartCrashes &other)
{
    const PartCrashes before = crashes;
    crashes.wasAnswered = crashes.wasAnswered || other.wasAnswered;
    crashes.isFromMany =
        crashes.isFromMany || other.isFromMany || crashes.organisation != other.organisation;
    return crashes != before;
}

} // namespace

bool PartCrashRecords::merge(const PartOfService &part, const PartCrashes &crashes, TimePoint now)
{
    if (crashes.epoch == 0 && crashes.count == 0) {
        return false;
    }
    Record &record = recordOf(part);
    PartCrashes &known = record.crashes;
    const bool isSameSeries = crashes.epoch == known.epoch && crashes.count > 0 && known.count > 0;
    const auto orderOf = [](const PartCrashes &one) {
        return std::pair(one.epoch, one.count);
    };
    if (orderOf(crashes) <= orderOf(known)) {
        return isSameSeries && addEvidence(known, crashes);
    }
    if (!isSameSeries) {
        record.seriesKnownSince = now;
    }
    PartCrashes merged = crashes;
    if (isSameSeries) {
        addEvidence(merged, known);
    }
    known = merged;
    record.updatedAt = now;
    return true;
}

PartCrashes PartCrashRecords::crashesOf(const PartOfService &part) const
{
    const auto it = m_records.find(part);
    return it == m_records.end() ? PartCrashes() : it->second.crashes;
}

std::optional<TimePoint> PartCrashRecords::seriesKnownSince(const PartOfService &part) const
{
    const auto it = m_records.find(part);
    const bool hasSeries = it != m_records.end() && it->second.crashes.count > 0;
    return hasSeries ? std::optional(it->second.seriesKnownSince) : std::nullopt;
}

std::optional<TimePoint> PartCrashRecords::refusedUntil(const PartOfService &part,
                                                        OrganisationKey organisation,
                                                        TimePoint now) const
{
    const auto it = m_records.find(part);
    if (it == m_records.end() || !isRefused(it->second, now)) {
        return std::nullopt;
    }
    // An organisation must not be able to have another one's part refused.
    const PartCrashes &crashes = it->second.crashes;
    if (crashes.organisation != organisation && !crashes.isFromMany) {
        return std::nullopt;
    }
    return it->second.updatedAt + RefusalTime;
}

std::size_t PartCrashRecords::refusedCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_records, [now](const auto &entry) { return isRefused(entry.second, now); }));
}

std::vector<PartCrashNote> PartCrashRecords::refusedParts(TimePoint now) const
{
    std::vector<PartCrashNote> notes;
    for (const auto &[part, record] : m_records) {
        if (isRefused(record, now)) {
            notes.push_back({part.service, part.part, record.crashes});
        }
    }
    return notes;
}

void PartCrashRecords::removeExpired(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &entry) {
        return now > entry.second.updatedAt + 2 * RefusalTime;
    });
}

bool PartCrashRecords::isRefused(const Record &record, TimePoint now)
{
    return isAtLimit(record.crashes) && now < record.updatedAt + RefusalTime;
}

PartCrashRecords::Record &PartCrashRecords::recordOf(const PartOfService &part)
{
    if (m_records.size() >= MaxRecords && !m_records.contains(part)) {
        const auto rankOf = [](const auto &entry) {
            return std::pair(entry.second.crashes.count, entry.second.updatedAt);
        };
        m_records.erase(std::ranges::min_element(m_records, {}, rankOf));
    }
    return m_records[part];
}

} // namespace indigoway::crashes
