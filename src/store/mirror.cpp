#include "mirror.h"

#include <algorithm>

namespace indigoway {

namespace {

/** After a failure; short, since a change must be in force everywhere within two seconds. */
constexpr Duration FirstPause = std::chrono::milliseconds(60);
/** Bounds the load on a store that is down to a few calls a second and node. */
constexpr Duration LongestPause = std::chrono::milliseconds(400);
constexpr std::uint32_t MostDoublings = 3;
/** A watch answers once a second even if nothing has changed. */
constexpr Duration StaleAfter = std::chrono::milliseconds(1500);

} // namespace

Mirror::Mirror(std::string prefix, ChangeHandler handler)
    : m_prefix(std::move(prefix))
    , m_handler(std::move(handler))
{ }

std::optional<MirrorCall> Mirror::nextCall(TimePoint now)
{
    if (m_isCalling || (m_pausedUntil && now < *m_pausedUntil)) {
        return std::nullopt;
    }
    m_pausedUntil.reset();
    m_isCalling = true;
    if (m_mustList) {
        return ListCall {m_listAfter};
    }
    return WatchCall {m_asOf};
}

void Mirror::listed(TimePoint now, const StoredPage &page)
{
    m_isCalling = false;
    m_failures = 0;
    m_lastHeard = now;
    if (m_listAfter.empty()) {
        m_listed.clear();
        m_listedFrom = page.asOf;
    }
    for (const StoredItem &item : page.items) {
        m_listed[item.key] = item.revision;
        put(item.key, item.revision, item.value);
    }
    if (page.hasMore && !page.items.empty()) {
        m_listAfter = page.items.back().key;
        return;
    }
    m_listAfter.clear();
    m_mustList = false;
    removeUnlisted();
    m_asOf = std::max(m_asOf, m_listedFrom);
}

void Mirror::watched(TimePoint now, const StoredChanges &changes)
{
    m_isCalling = false;
    m_failures = 0;
    m_lastHeard = now;
    for (const StoredChange &change : changes.changes) {
        if (change.value) {
            put(change.key, change.revision, *change.value);
        } else {
            remove(change.key, change.revision);
        }
    }
    m_asOf = std::max(m_asOf, changes.asOf);
}

void Mirror::failed(TimePoint now, StoreFault fault)
{
    m_isCalling = false;
    if (fault == StoreFault::HistoryGone || fault == StoreFault::Malformed) {
        m_mustList = true;
        m_listAfter.clear();
    }
    if (fault == StoreFault::HistoryGone) {
        return; // The store is well; the list is asked for at once.
    }
    const std::uint32_t doublings = std::min(m_failures, MostDoublings);
    ++m_failures;
    m_pausedUntil = now + std::min(FirstPause * (1 << doublings), LongestPause);
}

void Mirror::refresh()
{
    ++m_generation;
    m_isCalling = false;
    m_mustList = true;
    m_listAfter.clear();
    m_pausedUntil.reset();
}

bool Mirror::takeSnapshot(const MirrorSnapshot &snapshot)
{
    if (snapshot.asOf <= m_asOf) {
        return false;
    }
    m_listed.clear();
    m_listedFrom = snapshot.asOf;
    for (const StoredItem &item : snapshot.items) {
        m_listed[item.key] = item.revision;
        put(item.key, item.revision, item.value);
    }
    removeUnlisted();
    m_asOf = snapshot.asOf;
    m_mustList = false;
    m_listAfter.clear();
    return true;
}

bool Mirror::isStale(TimePoint now) const
{
    return m_failures > 1 || now > m_lastHeard + StaleAfter;
}

MirrorSnapshot Mirror::snapshot() const
{
    MirrorSnapshot snapshot;
    snapshot.asOf = m_asOf;
    for (const auto &[key, item] : m_items) {
        snapshot.items.push_back({key, item.value, item.revision});
    }
    return snapshot;
}

void Mirror::put(const std::string &key, std::uint64_t revision, const std::string &value)
{
    Item &item = m_items[key];
    if (revision <= item.revision) {
        return;
    }
    item.revision = revision;
    item.value = value;
    m_handler(key, &item.value);
}

void Mirror::remove(const std::string &key, std::uint64_t revision)
{
    const auto it = m_items.find(key);
    if (it == m_items.end() || revision < it->second.revision) {
        return;
    }
    m_items.erase(it);
    m_handler(key, nullptr);
}

void Mirror::removeUnlisted()
{
    std::vector<std::string> gone;
    for (const auto &[key, item] : m_items) {
        if (!m_listed.contains(key) && item.revision <= m_listedFrom) {
            gone.push_back(key);
        }
    }
    for (const std::string &key : gone) {
        m_items.erase(key);
        m_handler(key, nullptr);
    }
    m_listed.clear();
}

} // namespace indigoway
