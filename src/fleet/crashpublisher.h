#pragma once

#include "store/keyvaluestore.h"

#include <indigoway/crashnote.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** The store's key of @p note. One key for each count, so that nodes never overwrite each other. */
std::string crashKey(const std::string &prefix, const CrashNote &note);
/** Nothing if @p key is none of these. */
std::optional<CrashNote> crashNoteIn(const std::string &prefix, const std::string &key);

struct GrantNoteLeaseCall
{
};
struct WriteNotesCall
{
    StoreLease lease;
    std::vector<CrashNote> notes;
};
using PublisherCall = std::variant<GrantNoteLeaseCall, WriteNotesCall>;

/**
 * Writes what this node has seen of crashes to the store: the other nodes hear of it by their
 * copies, and so does one that starts later, also after the end of this one. The notes are under a
 * lease that is never renewed, and so vanish by themselves.
 */
class CrashPublisher
{
public:
    static constexpr Duration LeaseLifetime = std::chrono::minutes(10);
    /** Then notes are written under another lease: each lasts eight minutes or more. */
    static constexpr Duration LeaseUsedFor = std::chrono::minutes(2);
    /** The store takes so many items in one call. */
    static constexpr std::size_t MostAtOnce = 32;
    /** While the store is away. This node goes by what it has seen in any case. */
    static constexpr std::size_t MostWaiting = 256;

    void add(const CrashNote &note);
    /** What to ask the store now; nothing while a call is under way or nothing is due. */
    std::optional<PublisherCall> nextCall(TimePoint now);
    void leaseGranted(TimePoint now, StoreLease lease);
    void written(TimePoint now);
    void failed(TimePoint now, StoreFault fault);
    /** The store answers again: what failed is due now. */
    void handleStoreRecovery(TimePoint now);
    std::size_t waiting() const { return m_waiting.size(); }

private:
    std::deque<CrashNote> m_waiting;
    std::size_t m_writing = 0; ///< The first so many of them.
    bool m_isCalling = false;
    StoreLease m_lease;
    TimePoint m_leaseAt {};
    TimePoint m_nextAt {};
    std::uint32_t m_failures = 0; ///< In a row.
};

} // namespace indigoway
