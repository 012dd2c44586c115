#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** An encoded update of the mirrored items, shared by all answers that contain it. */
struct EncodedUpdate
{
    std::uint64_t after = 0; ///< Lowest revision of a mirror that can apply it.
    std::uint64_t asOf = 0;  ///< Revision of the mirror after it is applied.
    bool isSnapshot = false; ///< True if it holds all items, so that any mirror can apply it.
    std::shared_ptr<const std::string> bytes;
};

/**
 * Keeps the latest updates of the local copy in encoded form, to be sent to other nodes. Updates
 * from another node are passed on unchanged, so each change is encoded only once in the fleet.
 */
class UpdateLog
{
public:
    /** Encodes all items of the local copy. */
    using EncodeSnapshot = std::function<EncodedUpdate()>;

    /**
     * The maximum size of the kept updates in bytes; a node that is further behind gets a snapshot.
     */
    static constexpr std::size_t MaxLogBytes = std::size_t {1024} * 1024;
    /**
     * The maximum size of the updates in one answer, unless a single one is larger; the receiver
     * requests the rest afterwards.
     */
    static constexpr std::size_t MaxAnswerBytes = std::size_t {64} * 1024;

    /** Clears the log; the local copy has reached @p revision without an encoded update. */
    void startAt(std::uint64_t revision);
    /** Appends an update. If it leaves a gap after the previous ones, the log restarts with it. */
    void add(EncodedUpdate update);
    /** Returns true if a mirror at @p revision can only be updated by a snapshot. */
    bool needsSnapshot(std::uint64_t revision) const;
    /**
     * Returns the updates that follow @p revision in order, after a snapshot if one is needed;
     * empty if there are none.
     */
    std::vector<EncodedUpdate> since(std::uint64_t revision, const EncodeSnapshot &encodeSnapshot);
    std::uint64_t asOf() const { return m_asOf; }
    std::size_t logBytes() const { return m_logBytes; }

private:
    void cacheSnapshot(EncodedUpdate update);
    /**
     * Returns true if there is no cached snapshot, or if the updates after it are so long that a
     * new one makes the answer shorter.
     */
    bool isSnapshotOutdated() const;
    std::size_t bytesAfter(std::uint64_t revision) const;
    void appendUpdates(std::vector<EncodedUpdate> &updates, std::uint64_t revision) const;

    std::deque<EncodedUpdate> m_updates;
    std::size_t m_logBytes = 0;        ///< Size of m_updates in bytes.
    std::uint64_t m_startRevision = 0; ///< Revision after which m_updates holds all changes.
    std::uint64_t m_asOf = 0;
    std::optional<EncodedUpdate> m_snapshot;
};

} // namespace indigoway
