#include "crashpublisher.h"

#include "core/texthash.h"
#include "crashes/partcrashcodec.h"

#include <algorithm>

namespace indigoway {

namespace {

constexpr Duration FirstRetryDelay = std::chrono::milliseconds(250);
/** Limits the retry delay to four seconds; each call to an unavailable store is billed. */
constexpr std::uint32_t MaxRetryDoublings = 4;
constexpr char PartsFolder[] = "parts/";
/** The maximum length of a content id; keys written by others are not trusted. */
constexpr std::size_t MaxContentIdLength = 64;

} // namespace

std::string crashKey(const std::string &prefix, const CrashNote &note)
{
    return prefix + note.content.text() + "/" + std::to_string(note.count);
}

std::string crashKey(const std::string &prefix, const PartCrashNote &note)
{
    // Nodes that know different things must not overwrite each other.
    return prefix + PartsFolder + std::to_string(textHash(crashes::encodeItem(note)));
}

bool isPartCrashKey(const std::string &prefix, const std::string &key)
{
    return key.starts_with(prefix + PartsFolder);
}

std::optional<CrashNote> parseCrashKey(const std::string &prefix, const std::string &key)
{
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    const std::size_t slash = key.find('/', prefix.size());
    const bool hasDigit = slash != std::string::npos && slash + 2 == key.size()
        && key[slash + 1] >= '0' && key[slash + 1] <= '9';
    const std::size_t length = hasDigit ? slash - prefix.size() : 0;
    if (length == 0 || length > MaxContentIdLength) {
        return std::nullopt;
    }
    return CrashNote {ContentId(key.substr(prefix.size(), length)),
                      static_cast<std::uint32_t>(key[slash + 1] - '0')};
}

void CrashPublisher::enqueue(const CrashNote &note)
{
    if (note.count == 0) {
        // A queued crash would be written after this reset and count as a newer crash.
        removeQueued([&note](const StoredNote &queued) {
            const auto *one = std::get_if<CrashNote>(&queued);
            return one && one->content == note.content;
        });
    }
    add(note);
}

void CrashPublisher::enqueue(const PartCrashNote &note)
{
    // A newer state of a part includes the older ones.
    removeQueued([&note](const StoredNote &queued) {
        const auto *one = std::get_if<PartCrashNote>(&queued);
        return one && one->service == note.service && one->part == note.part;
    });
    add(note);
}

void CrashPublisher::removeQueued(const std::function<bool(const StoredNote &)> &isOutdated)
{
    const auto first = m_queue.begin() + static_cast<std::ptrdiff_t>(m_inFlightCount);
    m_queue.erase(std::remove_if(first, m_queue.end(), isOutdated), m_queue.end());
}

void CrashPublisher::add(const StoredNote &note)
{
    const bool isQueued = std::find(m_queue.begin(), m_queue.end(), note) != m_queue.end();
    if (!isQueued && m_queue.size() < MaxQueuedNotes) {
        m_queue.push_back(note);
    }
}

std::optional<PublisherCall> CrashPublisher::nextCall(TimePoint now)
{
    if (m_isCallInFlight || m_queue.empty() || now < m_nextCallAt) {
        return std::nullopt;
    }
    m_isCallInFlight = true;
    if (m_lease.isNone() || now > m_leaseRequestedAt + LeaseRotationInterval) {
        m_leaseRequestedAt = now;
        return GrantNoteLeaseCall {};
    }
    m_inFlightCount = std::min(m_queue.size(), MaxBatchSize);
    const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(m_inFlightCount);
    return WriteNotesCall {m_lease, {m_queue.begin(), end}};
}

void CrashPublisher::leaseGranted(TimePoint now, StoreLease lease)
{
    m_isCallInFlight = false;
    m_failures = 0;
    m_lease = lease;
    m_nextCallAt = now;
}

void CrashPublisher::notesWritten(TimePoint now)
{
    m_isCallInFlight = false;
    m_failures = 0;
    m_nextCallAt = now;
    m_queue.erase(m_queue.begin(),
                  m_queue.begin() + static_cast<std::ptrdiff_t>(std::exchange(m_inFlightCount, 0)));
}

void CrashPublisher::callFailed(TimePoint now, StoreError error)
{
    m_isCallInFlight = false;
    m_inFlightCount = 0;
    m_nextCallAt = now + FirstRetryDelay * (1 << std::min(m_failures, MaxRetryDoublings));
    ++m_failures;
    if (error == StoreError::NoLease) {
        m_lease = {};
        m_nextCallAt = now;
    }
}

void CrashPublisher::handleStoreRecovery(TimePoint now)
{
    m_failures = 0;
    m_nextCallAt = std::min(m_nextCallAt, now);
}

} // namespace indigoway
