#include "crashpublisher.h"

#include <algorithm>

namespace indigoway {

namespace {

constexpr Duration RetryAfter = std::chrono::milliseconds(250);
/** Up to four seconds: each call to a store that is away is paid for, too. */
constexpr std::uint32_t MostDoublings = 4;
/** An id of another writer's making may have any length. */
constexpr std::size_t LongestContent = 64;

} // namespace

std::string crashKey(const std::string &prefix, const CrashNote &note)
{
    return prefix + note.content.text() + "/" + std::to_string(note.count);
}

std::optional<CrashNote> crashNoteIn(const std::string &prefix, const std::string &key)
{
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    const std::size_t slash = key.find('/', prefix.size());
    const bool hasDigit = slash != std::string::npos && slash + 2 == key.size()
        && key[slash + 1] >= '0' && key[slash + 1] <= '9';
    const std::size_t length = hasDigit ? slash - prefix.size() : 0;
    if (length == 0 || length > LongestContent) {
        return std::nullopt;
    }
    return CrashNote {ContentId(key.substr(prefix.size(), length)),
                      static_cast<std::uint32_t>(key[slash + 1] - '0')};
}

void CrashPublisher::add(const CrashNote &note)
{
    if (note.count == 0) {
        // Written after the answer, an earlier crash would count as one that came after it.
        const auto first = m_waiting.begin() + static_cast<std::ptrdiff_t>(m_writing);
        m_waiting.erase(
            std::remove_if(first, m_waiting.end(),
                           [&](const CrashNote &one) { return one.content == note.content; }),
            m_waiting.end());
    }
    const bool isWaiting = std::find(m_waiting.begin(), m_waiting.end(), note) != m_waiting.end();
    if (!isWaiting && m_waiting.size() < MostWaiting) {
        m_waiting.push_back(note);
    }
}

std::optional<PublisherCall> CrashPublisher::nextCall(TimePoint now)
{
    if (m_isCalling || m_waiting.empty() || now < m_nextAt) {
        return std::nullopt;
    }
    m_isCalling = true;
    if (m_lease.isNone() || now > m_leaseAt + LeaseUsedFor) {
        m_leaseAt = now;
        return GrantNoteLeaseCall {};
    }
    m_writing = std::min(m_waiting.size(), MostAtOnce);
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(m_writing);
    return WriteNotesCall {m_lease, {m_waiting.begin(), end}};
}

void CrashPublisher::leaseGranted(TimePoint now, StoreLease lease)
{
    m_isCalling = false;
    m_failures = 0;
    m_lease = lease;
    m_nextAt = now;
}

void CrashPublisher::written(TimePoint now)
{
    m_isCalling = false;
    m_failures = 0;
    m_nextAt = now;
    m_waiting.erase(m_waiting.begin(),
                    m_waiting.begin() + static_cast<std::ptrdiff_t>(std::exchange(m_writing, 0)));
}

void CrashPublisher::failed(TimePoint now, StoreFault fault)
{
    m_isCalling = false;
    m_writing = 0;
    m_nextAt = now + RetryAfter * (1 << std::min(m_failures, MostDoublings));
    ++m_failures;
    if (fault == StoreFault::NoLease) {
        m_lease = {};
        m_nextAt = now;
    }
}

void CrashPublisher::handleStoreRecovery(TimePoint now)
{
    m_failures = 0;
    m_nextAt = std::min(m_nextAt, now);
}

} // namespace indigoway
