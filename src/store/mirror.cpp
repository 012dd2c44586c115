#include "mirror.h"

#include <algorithm>

namespace indigoway {

namespace {

/** After a failure; short, since a change must be in force everywhere within two seconds. */
constexpr Duration FirstPause = std::chrono::milliseconds(60);
/** Bounds the load on a store that is down to a few calls a second and node. */
constexpr Duration LongestPause = std::chrono::milliseconds(240);
constexpr std::uint32_t MostDoublings = 2;
/**
 * After a watch that brought changes; those of the meantime come with the next one. While servers
 * of a large fleet are replaced, each change by itself would be a call to the store, and one to
 * each node that asks this one: 36 a second and watcher in place of five. What changes must be in
 * force within two seconds.
 */
constexpr Duration BetweenNews = std::chrono::milliseconds(200);
/** Removals that other nodes can be told of one by one; later askers get the whole. */
constexpr std::size_t MostRemovals = 500;

/** Of a change that is no removal. */
StoredItem itemOf(const StoredChange &change)
{
    return {change.key, *change.value, change.revision, change.created};
}

} // namespace

Mirror::Mirror(std::string prefix, ChangeHandler handler)
    : m_prefix(std::move(prefix))
    , m_handler(std::move(handler))
{ }

bool Mirror::isBusy(TimePoint now) const
{
    return m_isCalling || (m_pausedUntil && now < *m_pausedUntil);
}

MirrorCall Mirror::beginStoreCall()
{
    m_isCalling = true;
    if (m_mustList) {
        return ListCall {m_listAfter};
    }
    return WatchCall {m_asOf};
}

std::uint64_t Mirror::beginPeerCall()
{
    m_isCalling = true;
    return m_asOf;
}

void Mirror::listed(const StoredPage &page)
{
    callSucceeded();
    if (m_listAfter.empty()) {
        m_listed.clear();
        m_listedFrom = page.asOf;
    }
    for (const StoredItem &item : page.items) {
        m_listed[item.key] = item.revision;
        put(item);
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
    callSucceeded();
    take(changes);
    if (!changes.changes.empty()) {
        m_pausedUntil = now + BetweenNews;
    }
}

void Mirror::take(const StoredChanges &changes)
{
    for (const StoredChange &change : changes.changes) {
        if (change.value) {
            put(itemOf(change));
        } else {
            remove(change.key, change.revision);
        }
    }
    m_asOf = std::max(m_asOf, changes.asOf);
}

void Mirror::told(const MirrorNews &news)
{
    callSucceeded();
    if (news.asOf <= m_asOf) {
        return;
    }
    if (!news.isWhole) {
        take({news.changes, news.asOf});
        return;
    }
    m_listed.clear();
    m_listedFrom = news.asOf;
    for (const StoredChange &change : news.changes) {
        m_listed[change.key] = change.revision;
        put(itemOf(change));
    }
    removeUnlisted();
    m_asOf = news.asOf;
    m_mustList = false;
    m_listAfter.clear();
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

MirrorNews Mirror::newsSince(std::uint64_t revision) const
{
    MirrorNews news;
    news.asOf = m_asOf;
    news.isWhole = revision < m_removalsFrom || revision == 0;
    for (const auto &[key, item] : m_items) {
        if (news.isWhole || item.revision > revision) {
            news.changes.push_back({key, item.revision, item.value, item.created});
        }
    }
    if (!news.isWhole) {
        for (const Removal &removal : m_removals) {
            if (removal.revision > revision) {
                news.changes.push_back({removal.key, removal.revision, std::nullopt, 0});
            }
        }
    }
    return news;
}

void Mirror::put(const StoredItem &item)
{
    StoredItem &known = m_items[item.key];
    if (item.revision <= known.revision) {
        return;
    }
    known = item;
    m_handler(known.key, &known, known.revision);
}

void Mirror::remove(const std::string &key, std::uint64_t revision)
{
    const auto it = m_items.find(key);
    if (it == m_items.end() || revision < it->second.revision) {
        return;
    }
    m_items.erase(it);
    m_removals.push_back({key, revision});
    if (m_removals.size() > MostRemovals) {
        m_removalsFrom = std::max(m_removalsFrom, m_removals.front().revision);
        m_removals.pop_front();
    }
    m_handler(key, nullptr, revision);
}

void Mirror::removeUnlisted()
{
    std::vector<std::string> gone;
    for (const auto &[key, item] : m_items) {
        if (!m_listed.contains(key) && item.revision <= m_listedFrom) {
            gone.push_back(key);
        }
    }
    // When each of them went is not known: whoever is behind this listing must get the whole.
    m_removals.clear();
    m_removalsFrom = std::max(m_removalsFrom, m_listedFrom);
    for (const std::string &key : gone) {
        m_items.erase(key);
        m_handler(key, nullptr, m_listedFrom);
    }
    m_listed.clear();
}

void Mirror::callSucceeded()
{
    m_isCalling = false;
    m_failures = 0;
    m_pausedUntil.reset();
}

} // namespace indigoway
