#pragma once

#include "origins/originmessages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace indigoway::origins {

/**
 * States in the store that resumable streams may begin at a software version of a service. It
 * outlives all nodes: if one version alone is noted, every stream that can be resumed began at it.
 */
struct VersionNote
{
    StreamOrigin origin;
    Duration patience {};  ///< Time for which callers may resume a stream after its begin.
    bool isEnding = false; ///< No server has the version any more; the note expires by itself.
    bool operator==(const VersionNote &) const = default;
};

/** Encodes a note as a JSON array: service, version, patience in milliseconds, is ending. */
std::string encode(const VersionNote &note);
/** Reads the value of an item; returns nothing if it is not valid. */
std::optional<VersionNote> readVersionNote(const std::string &text);
/** Returns the store key of the note of @p origin. */
std::string versionNoteKey(const std::string &prefix, const StreamOrigin &origin);

/**
 * Keeps this node's copy of the notes and decides which of them have to be written: one when a
 * version appears, one when its last server has gone.
 */
class VersionNotes
{
public:
    /** Versions of the servers of each service whose streams can be resumed. */
    using Present = std::map<ServiceName, std::set<std::string>>;

    /** The write of a note, on condition that its item still has this revision; 0: none exists. */
    struct Write
    {
        VersionNote note;
        std::uint64_t revision = 0;
    };

    /** Shortest patience that is noted, so that usual callers cause no further write. */
    static constexpr Duration MinPatience = std::chrono::seconds(16);
    static constexpr Duration MaxPatience = std::chrono::minutes(10);
    /**
     * Time from the removal of a version's last server to the end of its note. Nodes with an older
     * copy of the store may still begin streams at servers that go on for a while.
     */
    static constexpr Duration EndDelay = std::chrono::seconds(15);
    /** The most writes that fit into one transaction of the store. */
    static constexpr std::size_t MaxWrites = 32;

    /** Applies the item under @p key; @p value is null if it was removed. */
    void apply(const std::string &key, const std::string *value, std::uint64_t revision);
    /** Notes that a caller may resume its stream for @p patience. */
    void recordPatience(Duration patience);

    /** Returns whether streams may begin at @p origin. */
    bool isNoted(const StreamOrigin &origin) const;
    /** Returns the versions of @p service at which streams may have begun that can be resumed. */
    std::set<std::string> versionsOf(const ServiceName &service) const;
    /** Returns the longest time for which streams can be resumed. */
    Duration patience() const;
    std::size_t size() const { return m_notes.size(); }

    /**
     * Returns the writes that are due, and no write again within a second.
     * @param delay how long this node leaves a missing note to the nodes that write first
     */
    std::vector<Write> dueWrites(TimePoint now, const Present &present, Duration delay);

private:
    struct Kept
    {
        VersionNote note;
        std::uint64_t revision = 0;
    };
    /** A note that is not as it should be. */
    struct Missing
    {
        bool isEnding = false;
        TimePoint since {};
        TimePoint retryAt {};
    };

    std::vector<VersionNote> wantedNotes(const Present &present) const;

    std::map<StreamOrigin, Kept> m_notes;
    std::map<std::string, StreamOrigin> m_byKey;
    std::map<StreamOrigin, Missing> m_missing;
    Duration m_patience = MinPatience; ///< Of this node's callers.
};

} // namespace indigoway::origins
