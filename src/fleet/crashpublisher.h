#pragma once

#include "store/keyvaluestore.h"

#include <indigoway/crashnote.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/**
 * Returns the store key of @p note. Each count has its own key, so nodes never overwrite each
 * other.
 */
std::string crashKey(const std::string &prefix, const CrashNote &note);
/** Returns the store key of @p note; each state of a part has its own. */
std::string crashKey(const std::string &prefix, const PartCrashNote &note);
/** Returns whether @p key was made for a PartCrashNote, which is its item's value. */
bool isPartCrashKey(const std::string &prefix, const std::string &key);
/** Parses a key made for a CrashNote; returns nothing for any other key. */
std::optional<CrashNote> parseCrashKey(const std::string &prefix, const std::string &key);

/** A note that is written to the store. */
using StoredNote = std::variant<CrashNote, PartCrashNote>;

struct GrantNoteLeaseCall
{
};
struct WriteNotesCall
{
    StoreLease lease;
    std::vector<StoredNote> notes;
};
using PublisherCall = std::variant<GrantNoteLeaseCall, WriteNotesCall>;

/**
 * Publishes the crashes that this node has observed to the store, so that other nodes learn of
 * them, including nodes that start after this one has ended. The notes are written under a lease
 * that is never renewed, so they expire without cleanup.
 */
class CrashPublisher
{
public:
    static constexpr Duration LeaseLifetime = std::chrono::minutes(10);
    /** After this time a new lease is granted, so each note lives for at least eight minutes. */
    static constexpr Duration LeaseRotationInterval = std::chrono::minutes(2);
    /** The maximum number of items in one store transaction. */
    static constexpr std::size_t MaxBatchSize = 32;
    /**
     * The maximum number of queued notes while the store is unreachable; further notes are dropped.
     */
    static constexpr std::size_t MaxQueuedNotes = 256;

    void enqueue(const CrashNote &note);
    void enqueue(const PartCrashNote &note);
    /** Returns the next call to the store, or nothing while a call is in flight or none is due. */
    std::optional<PublisherCall> nextCall(TimePoint now);
    void leaseGranted(TimePoint now, StoreLease lease);
    void notesWritten(TimePoint now);
    void callFailed(TimePoint now, StoreError error);
    /** Makes failed calls due at once when the store has become reachable again. */
    void handleStoreRecovery(TimePoint now);
    std::size_t queuedCount() const { return m_queue.size(); }

private:
    /** Removes the queued notes that are not being written and that @p isOutdated names. */
    void removeQueued(const std::function<bool(const StoredNote &)> &isOutdated);
    void add(const StoredNote &note);

    std::deque<StoredNote> m_queue;
    std::size_t m_inFlightCount = 0; ///< Number of notes at the front that are being written.
    bool m_isCallInFlight = false;
    StoreLease m_lease;
    TimePoint m_leaseRequestedAt {};
    TimePoint m_nextCallAt {};
    std::uint32_t m_failures = 0; ///< Consecutive failed calls.
};

} // namespace indigoway
