#pragma once

#include <indigoway/ids.h>

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>

namespace indigoway::dispatch {

/**
 * Which contents were at servers that crashed: how often in a row, as all nodes have recorded it.
 * A request that crashes whatever runs it comes again under new ids and at other nodes; each would
 * take it for a new one, and it would end server after server with all that they serve.
 *
 * Three rules keep other callers' requests out of it. Crashes count in a row only if the later run
 * was sent when the earlier crash was known, so that a rack that loses power is one crash for all
 * that ran there. Any whole answer to the same content ends the row. And what is refused is refused
 * for a limited time.
 */
class CrashRecords
{
public:
    /**
     * Crashes in a row after which no server gets the content any more. A caller who shares a
     * server with such a request is cut when it crashes, and may by chance be cut again on coming
     * back; each crash that is waited for spares such callers and costs one more server.
     */
    static constexpr std::uint32_t MostCrashes = 3;
    /** Long enough for whatever sends it again to give up; a wrong verdict ends with it, too. */
    static constexpr Duration KeptFor = std::chrono::minutes(10);
    /** A crash takes some tens of contents along; these are the contents of dozens of crashes. */
    static constexpr std::size_t MostContents = 1024;
    /** Of what this node has seen itself and the store has not confirmed. */
    static constexpr std::uint64_t NotStored = std::numeric_limits<std::uint64_t>::max();

    /** The @p count-th crash in a row, 1 or more; @p revision: of the record in the store. */
    void crashed(const ContentId &content, std::uint32_t count, std::uint64_t revision,
                 TimePoint now);
    /** A server has given a whole answer: the crashes up to @p revision were not its doing. */
    void answered(const ContentId &content, std::uint64_t revision, TimePoint now);
    /** Crashes in a row, MostCrashes at the most. */
    std::uint32_t crashes(const ContentId &content) const;
    /** Until when @p content is refused; nothing if it may be sent to a server. */
    std::optional<TimePoint> refusedUntil(const ContentId &content) const;
    /** Forgets what was last heard of longer ago than KeptFor. */
    void forgetOld(TimePoint now);
    std::size_t size() const { return m_entries.size(); }
    std::size_t refused() const;

private:
    struct Entry
    {
        std::array<std::uint64_t, MostCrashes> crashedAt {}; ///< Revisions, by count; 0: never.
        std::uint64_t answeredAt = 0;
        TimePoint heard {};
    };

    static std::uint32_t crashesOf(const Entry &entry);
    Entry &entryOf(const ContentId &content, TimePoint now);

    std::map<ContentId, Entry> m_entries;
};

} // namespace indigoway::dispatch
