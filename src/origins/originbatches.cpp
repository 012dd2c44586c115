#include "originbatches.h"

#include <algorithm>
#include <utility>

namespace indigoway::origins {

namespace {

constexpr Duration FirstRetryDelay = std::chrono::milliseconds(250);
/** Limits the retry delay to two seconds; each call to an unavailable store is billed. */
constexpr std::uint32_t MaxRetryDoublings = 3;
constexpr Duration LeaseMargin = std::chrono::seconds(5);
constexpr Duration MaxLeaseLifetime = std::chrono::minutes(10);

} // namespace

void OriginBatches::add(const StreamRecord &record, TimePoint now)
{
    if (m_waiting.size() >= MaxWaiting) {
        return;
    }
    if (m_waiting.empty()) {
        m_waitingSince = now;
    }
    m_waiting.push_back(record);
}

std::optional<BatchCall> OriginBatches::nextCall(TimePoint now, Duration patience)
{
    if (m_isCallInFlight || m_waiting.empty() || now < m_nextCallAt) {
        return std::nullopt;
    }
    if (m_lease.isNone() || now >= m_leaseRequestedAt + LeaseRotation) {
        m_isCallInFlight = true;
        m_leaseRequestedAt = now;
        return GrantBatchLeaseCall {
            std::min(patience + LeaseRotation + LeaseMargin, MaxLeaseLifetime)};
    }
    if (now < m_waitingSince + WriteDelay) {
        return std::nullopt;
    }
    if (now >= m_itemSince + ItemTime || m_item.size() >= MaxItemRecords) {
        m_item.clear();
        m_itemSince = now;
        ++m_itemNumber;
    }
    m_inFlight = std::min(m_waiting.size(), MaxItemRecords);
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(m_inFlight);
    m_item.insert(m_item.end(), m_waiting.begin(), end);
    m_waiting.erase(m_waiting.begin(), end);
    m_waitingSince = now;
    m_isCallInFlight = true;
    return WriteBatchCall {m_lease, m_itemNumber, m_item};
}

void OriginBatches::leaseGranted(TimePoint now, StoreLease lease)
{
    m_isCallInFlight = false;
    m_failures = 0;
    m_lease = lease;
    m_nextCallAt = now;
    m_itemSince = {}; // An item must not outlive its records by being moved to another lease.
}

void OriginBatches::batchWritten(TimePoint now)
{
    m_isCallInFlight = false;
    m_failures = 0;
    m_inFlight = 0;
    m_nextCallAt = now;
}

void OriginBatches::callFailed(TimePoint now, StoreError error)
{
    m_isCallInFlight = false;
    // The call may have been carried out, which does no harm when its records are written again.
    const auto failed = m_item.end() - static_cast<std::ptrdiff_t>(m_inFlight);
    m_waiting.insert(m_waiting.begin(), failed, m_item.end());
    m_item.erase(failed, m_item.end());
    m_inFlight = 0;
    m_nextCallAt = now + FirstRetryDelay * (1 << std::min(m_failures, MaxRetryDoublings));
    ++m_failures;
    if (error == StoreError::NoLease) {
        m_lease = {};
        m_nextCallAt = now;
    }
}

} // namespace indigoway::origins
