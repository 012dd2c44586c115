#include "mirror.h"

#include <algorithm>
#include <utility>

namespace indigoway {

namespace {

/**
 * Initial delay after a failure; short, since a change must take effect on all nodes within two
 * seconds.
 */
constexpr Duration FirstRetryDelay = std::chrono::milliseconds(60);
/** Limits the calls of each node to a few per second while the store is unreachable. */
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(240);
constexpr std::uint32_t MaxRetryDoublings = 2;
/**
 * Delay after a watch that returned changes, so that several changes are batched into one call to
 * the store and one update to each follower.
 */
constexpr Duration BatchingDelay = std::chrono::milliseconds(200);

/** Converts a change that is not a removal. */
StoredItem itemOf(const StoredChange &change)
{
    return {change.key, *change.value, change.revision, change.created};
}

} // namespace

Mirror::Mirror(std::string prefix, ChangeHandler handler, std::string ignoredPrefix)
    : m_prefix(std::move(prefix))
    , m_ignoredPrefix(std::move(ignoredPrefix))
    , m_handler(std::move(handler))
{ }

bool Mirror::isBusy(TimePoint now) const
{
    return m_isCallInFlight || (m_nextCallAt && now < *m_nextCallAt);
}

MirrorCall Mirror::beginStoreCall()
{
    m_isCallInFlight = true;
    m_isPageExpected = m_needsListing;
    if (m_needsListing) {
        return ListCall {m_listCursor};
    }
    return WatchCall {m_asOf};
}

std::uint64_t Mirror::beginPeerCall()
{
    m_isCallInFlight = true;
    m_isPageExpected = false;
    return m_asOf;
}

bool Mirror::applyPage(const StoredPage &page)
{
    completeCall();
    if (!std::exchange(m_isPageExpected, false)) {
        // A later page would be taken for the first one, and all items of the others for removed.
        return false;
    }
    if (m_listCursor.empty()) {
        m_listedRevisions.clear();
        m_listingRevision = page.asOf;
        m_pagesListed = 0;
    }
    ++m_pagesListed;
    for (const StoredItem &item : page.items) {
        if (isIgnored(item.key)) {
            continue;
        }
        m_listedRevisions[item.key] = item.revision;
        if (put(item)) {
            recordStoreChange({item.key, item.revision, item.value, item.created});
        }
    }
    if (page.hasMore && !page.items.empty()) {
        m_listCursor = page.items.back().key;
        return true;
    }
    m_listCursor.clear();
    m_needsListing = false;
    m_storeUpdate.after = m_asOf;
    // A peer may have reported the removal of an item that an earlier page contains.
    std::erase_if(m_storeUpdate.changes,
                  [this](const StoredChange &change) { return !m_items.contains(change.key); });
    removeUnlisted();
    m_asOf = std::max(m_asOf, m_listingRevision);
    m_storeUpdate.asOf = m_asOf;
    return true;
}

void Mirror::applyWatch(TimePoint now, const StoredChanges &changes)
{
    completeCall();
    m_storeUpdate.after = m_asOf;
    for (const StoredChange &change : changes.changes) {
        if (!isIgnored(change.key)) {
            recordStoreChange(change);
        }
    }
    applyChanges(changes);
    m_storeUpdate.asOf = m_asOf;
    if (!changes.changes.empty()) {
        m_nextCallAt = now + BatchingDelay;
    }
}

bool Mirror::isIgnored(const std::string &key) const
{
    return !m_ignoredPrefix.empty() && key.starts_with(m_ignoredPrefix);
}

void Mirror::applyChanges(const StoredChanges &changes)
{
    for (const StoredChange &change : changes.changes) {
        if (isIgnored(change.key)) {
            continue;
        }
        if (change.value) {
            put(itemOf(change));
        } else {
            remove(change.key, change.revision);
        }
    }
    m_asOf = std::max(m_asOf, changes.asOf);
}

bool Mirror::applyUpdate(const MirrorUpdate &update)
{
    if (update.asOf <= m_asOf) {
        return true;
    }
    if (!update.isSnapshot) {
        if (update.after > m_asOf) {
            return false;
        }
        applyChanges({update.changes, update.asOf});
        return true;
    }
    m_listedRevisions.clear();
    m_listingRevision = update.asOf;
    for (const StoredChange &change : update.changes) {
        m_listedRevisions[change.key] = change.revision;
        put(itemOf(change));
    }
    removeUnlisted();
    m_asOf = update.asOf;
    m_needsListing = false;
    m_isPageExpected = false;
    m_listCursor.clear();
    // Followers get the same update unchanged, see UpdateLog.
    m_storeUpdate = {};
    return true;
}

void Mirror::callFailed(TimePoint now, StoreError error)
{
    m_isCallInFlight = false;
    if (error == StoreError::HistoryGone || error == StoreError::Malformed) {
        m_needsListing = true;
        m_listCursor.clear();
    }
    if (error == StoreError::HistoryGone) {
        return; // The store is reachable, so the listing starts without delay.
    }
    const std::uint32_t doublings = std::min(m_failures, MaxRetryDoublings);
    ++m_failures;
    m_nextCallAt = now + std::min(FirstRetryDelay * (1 << doublings), MaxRetryDelay);
}

void Mirror::refresh()
{
    ++m_generation;
    m_isCallInFlight = false;
    m_needsListing = true;
    m_listCursor.clear();
    m_nextCallAt.reset();
}

void Mirror::abandonCall()
{
    ++m_generation;
    m_isCallInFlight = false;
    m_nextCallAt.reset();
}

MirrorUpdate Mirror::snapshot() const
{
    MirrorUpdate update;
    update.asOf = m_asOf;
    update.isSnapshot = true;
    update.changes.reserve(m_items.size());
    for (const auto &[key, item] : m_items) {
        update.changes.push_back({key, item.revision, item.value, item.created});
    }
    return update;
}

std::optional<MirrorUpdate> Mirror::takeStoreUpdate()
{
    if (m_needsListing) {
        return std::nullopt; // All pages of a listing are passed on as one update.
    }
    MirrorUpdate update = std::exchange(m_storeUpdate, {});
    if (update.after == 0 || update.asOf <= update.after) {
        return std::nullopt;
    }
    return update;
}

void Mirror::recordStoreChange(const StoredChange &change)
{
    if (m_asOf > 0) {
        m_storeUpdate.changes.push_back(change);
    }
}

bool Mirror::put(const StoredItem &item)
{
    StoredItem &known = m_items[item.key];
    if (item.revision <= known.revision) {
        return false;
    }
    known = item;
    m_handler(known.key, &known, known.revision);
    return true;
}

bool Mirror::remove(const std::string &key, std::uint64_t revision)
{
    const auto it = m_items.find(key);
    if (it == m_items.end() || revision < it->second.revision) {
        return false;
    }
    m_items.erase(it);
    m_handler(key, nullptr, revision);
    return true;
}

void Mirror::removeUnlisted()
{
    std::vector<std::string> removedKeys;
    for (const auto &[key, item] : m_items) {
        if (!m_listedRevisions.contains(key) && item.revision <= m_listingRevision) {
            removedKeys.push_back(key);
        }
    }
    for (const std::string &key : removedKeys) {
        remove(key, m_listingRevision);
        recordStoreChange({key, m_listingRevision, std::nullopt, 0});
    }
    m_listedRevisions.clear();
}

void Mirror::completeCall()
{
    m_isCallInFlight = false;
    m_failures = 0;
    m_nextCallAt.reset();
}

} // namespace indigoway
