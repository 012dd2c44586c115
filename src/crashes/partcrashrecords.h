#pragma once

#include <indigoway/crashnote.h>

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace indigoway::crashes {

/** A part of prompts to the servers of one service. */
struct PartOfService
{
    ServiceName service;
    PartId part;
    auto operator<=>(const PartOfService &) const = default;
};

/**
 * Keeps the series of server crashes under parts of prompts, merged from the records of all nodes.
 * A part with too many consecutive crashes is refused for RefusalTime. The next crash within the
 * same time after that refuses it again at once.
 */
class PartCrashRecords
{
public:
    /** Crashes in a row after which a part that no server has answered is refused. */
    static constexpr std::uint32_t MaxCrashes = 3;
    /**
     * The same for a part that was answered before. It is likely to be shared by sound requests,
     * whose answers end the series in the meantime.
     */
    static constexpr std::uint32_t MaxCrashesOfAnswered = 5;
    /** A wrong refusal ends after this time. */
    static constexpr Duration RefusalTime = std::chrono::minutes(10);
    /** Upper bound of the records; a crash adds at most a few dozen. */
    static constexpr std::size_t MaxRecords = 1024;

    static std::uint32_t limitOf(const PartCrashes &crashes)
    {
        return crashes.wasAnswered ? MaxCrashesOfAnswered : MaxCrashes;
    }
    static bool isAtLimit(const PartCrashes &crashes) { return crashes.count >= limitOf(crashes); }

    /** Merges what a node knows of @p part; returns whether that is news. */
    bool merge(const PartOfService &part, const PartCrashes &crashes, TimePoint now);
    /** Returns the present series of @p part; without crashes if there is none. */
    PartCrashes crashesOf(const PartOfService &part) const;
    /** Returns when the first crash of the present series became known; nothing without one. */
    std::optional<TimePoint> seriesKnownSince(const PartOfService &part) const;
    /** Returns the time until which requests of @p organisation with @p part are refused, if they
     * are. */
    std::optional<TimePoint> refusedUntil(const PartOfService &part, OrganisationKey organisation,
                                          TimePoint now) const;
    bool isEmpty() const { return m_records.empty(); }
    std::size_t size() const { return m_records.size(); }
    std::size_t refusedCount(TimePoint now) const;
    /** Returns the records of all refused parts, for nodes that have started. */
    std::vector<PartCrashNote> refusedParts(TimePoint now) const;
    void removeExpired(TimePoint now);

private:
    struct Record
    {
        PartCrashes crashes;
        TimePoint seriesKnownSince {};
        TimePoint updatedAt {};
    };

    static bool isRefused(const Record &record, TimePoint now);
    Record &recordOf(const PartOfService &part);

    std::map<PartOfService, Record> m_records;
};

} // namespace indigoway::crashes
