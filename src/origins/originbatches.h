#pragma once

#include "origins/storedorigins.h"
#include "store/keyvaluestore.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace indigoway::origins {

struct GrantBatchLeaseCall
{
    Duration lifetime {};
};
struct WriteBatchCall
{
    StoreLease lease;
    std::uint64_t batch = 0; ///< Number of the item, which a later call may write again.
    std::vector<StreamRecord> records;
};
using BatchCall = std::variant<GrantBatchLeaseCall, WriteBatchCall>;

/**
 * Collects the origins of streams that this node records in the store, and decides which call
 * writes them next. Several records share a call, and calls of a short time share an item, which is
 * written again. The items expire by themselves.
 */
class OriginBatches
{
public:
    /** From the first record of a batch to its write; a kill of all nodes loses no more. */
    static constexpr Duration WriteDelay = std::chrono::milliseconds(200);
    /** Time for which the records of this node share an item. */
    static constexpr Duration ItemTime = std::chrono::seconds(2);
    static constexpr std::size_t MaxItemRecords = 500;
    /** Records that wait while the store is away; further ones are dropped. */
    static constexpr std::size_t MaxWaiting = 5'000;
    /** After this time a new lease is granted. */
    static constexpr Duration LeaseRotation = std::chrono::seconds(20);

    void add(const StreamRecord &record, TimePoint now);
    /**
     * Returns the next call to the store, or nothing while one is in flight or none is due.
     * @param patience how long records are needed
     */
    std::optional<BatchCall> nextCall(TimePoint now, Duration patience);
    void leaseGranted(TimePoint now, StoreLease lease);
    void batchWritten(TimePoint now);
    void callFailed(TimePoint now, StoreError error);
    std::size_t waiting() const { return m_waiting.size(); }

private:
    std::vector<StreamRecord> m_waiting;
    TimePoint m_waitingSince {};
    std::vector<StreamRecord> m_item; ///< What the present item holds, or is being written into it.
    std::size_t m_inFlight = 0;       ///< Records at the end of m_item that are being written.
    std::uint64_t m_itemNumber = 0;
    TimePoint m_itemSince {};
    bool m_isCallInFlight = false;
    StoreLease m_lease;
    TimePoint m_leaseRequestedAt {};
    TimePoint m_nextCallAt {};
    std::uint32_t m_failures = 0; ///< Consecutive failed calls.
};

} // namespace indigoway::origins
