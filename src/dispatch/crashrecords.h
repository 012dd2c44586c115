#pragma once

#include <indigoway/ids.h>

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>

namespace indigoway::dispatch {

/**
 * Keeps the crash history of request contents, merged from the records of all nodes. A request that
 * crashes its server returns under new ids and at other nodes, so it is recognised by its content.
 * Content that reaches MaxCrashes consecutive crashes is refused for RetentionTime.
 *
 * A crash extends a series only if the run was sent after the previous crash was known; a power
 * loss of many servers is therefore one crash for each content. A complete answer to the same
 * content ends the series.
 */
class CrashRecords
{
public:
    /**
     * Consecutive crashes after which the content is refused. A lower limit refuses requests that
     * only shared a server with the cause; a higher one costs another server.
     */
    static constexpr std::uint32_t MaxCrashes = 3;
    /** Time until an entry expires. A wrong refusal ends with it. */
    static constexpr Duration RetentionTime = std::chrono::minutes(10);
    /** Upper bound of entries. A crash adds a few dozen contents. */
    static constexpr std::size_t MaxContents = 1024;
    /** Revision of a local record that the store has not confirmed yet. */
    static constexpr std::uint64_t UnconfirmedRevision = std::numeric_limits<std::uint64_t>::max();

    /**
     * Records a crash.
     * @param count The position in the series of consecutive crashes, from 1.
     * @param revision The store revision of the record.
     */
    void recordCrash(const ContentId &content, std::uint32_t count, std::uint64_t revision,
                     TimePoint now);
    /** Records a complete answer, which clears crashes up to @p revision. */
    void recordAnswer(const ContentId &content, std::uint64_t revision, TimePoint now);
    /** Returns the number of consecutive crashes, at most MaxCrashes. */
    std::uint32_t crashCount(const ContentId &content) const;
    /**
     * Returns the time until which @p content is refused, or nothing if it may be sent to a server.
     */
    std::optional<TimePoint> refusedUntil(const ContentId &content) const;
    /** Removes entries that were not updated within RetentionTime. */
    void removeExpired(TimePoint now);
    std::size_t size() const { return m_entries.size(); }
    std::size_t refusedCount() const;

private:
    struct Entry
    {
        /** Store revisions, indexed by count - 1; 0 if there was no crash. */
        std::array<std::uint64_t, MaxCrashes> crashRevisions {};
        std::uint64_t answerRevision = 0;
        TimePoint updatedAt {};
    };

    static std::uint32_t crashCountOf(const Entry &entry);
    Entry &updateEntry(const ContentId &content, TimePoint now);

    std::map<ContentId, Entry> m_entries;
};

} // namespace indigoway::dispatch
