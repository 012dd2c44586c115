#pragma once

#include "store/keyvaluestore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** A call to the store that a mirror needs next. */
struct ListCall
{
    std::string after;
};
struct WatchCall
{
    std::uint64_t revision = 0;
};
using MirrorCall = std::variant<ListCall, WatchCall>;

/** A change of the mirrored items as one node sends it to another. */
struct MirrorUpdate
{
    std::uint64_t after = 0; ///< Lowest revision of a mirror that can apply it.
    std::uint64_t asOf = 0;  ///< Revision of the mirror after it is applied.
    bool isSnapshot = false; ///< True if it holds all items, otherwise only the changed ones.
    std::vector<StoredChange> changes;
};

/**
 * Keeps a local copy of the items under one prefix of the store and decides which call updates it
 * next. Lists the items once, then watches for changes, and lists them again if the store has
 * compacted the revisions in between. Neither the store nor a peer can move the copy back to an
 * older revision.
 */
class Mirror
{
public:
    /**
     * Called for each change.
     * @param item the new item; null if it was removed
     * @param revision the revision of the change
     */
    using ChangeHandler =
        std::function<void(const std::string &key, const StoredItem *item, std::uint64_t revision)>;

    /** @param ignoredPrefix Of items that are not copied; empty: all under @p prefix are. */
    Mirror(std::string prefix, ChangeHandler handler, std::string ignoredPrefix = {});

    const std::string &prefix() const { return m_prefix; }
    /** Returns true while a call is in flight or the delay after a call lasts. */
    bool isBusy(TimePoint now) const;
    /** Returns the next call to the store and marks it as in flight. */
    MirrorCall beginStoreCall();
    /**
     * Marks a call to a peer as in flight.
     * @return the revision from which to request changes
     */
    std::uint64_t beginPeerCall();

    /**
     * Applies a page of the listing.
     * @return false, without any effect, if a peer's snapshot has replaced the listing meanwhile
     */
    bool applyPage(const StoredPage &page);
    /** Applies the result of a watch. */
    void applyWatch(TimePoint now, const StoredChanges &changes);
    /** Marks a call to a peer as completed. */
    void completePeerCall() { completeCall(); }
    /**
     * Applies an update from a peer.
     * @return false, without any effect, if the update begins after the revision of this copy
     */
    bool applyUpdate(const MirrorUpdate &update);
    void callFailed(TimePoint now, StoreError error);
    /**
     * Starts a new listing and abandons any call in flight, since changes may have been missed
     * while the process was suspended.
     */
    void refresh();
    /** Abandons the call in flight, since a better source has been found. */
    void abandonCall();
    /**
     * Returns a number that changes with each refresh() and abandonCall(); results of calls from an
     * earlier generation must be discarded.
     */
    std::uint64_t generation() const { return m_generation; }

    /** Returns true while a listing is in progress or due next. */
    bool isListing() const { return m_needsListing; }
    /** Returns the number of pages read by the current listing. */
    std::size_t pagesListed() const { return m_pagesListed; }
    /** Returns true once all items are known as of some revision. */
    bool isLoaded() const { return m_asOf > 0; }
    std::uint64_t asOf() const { return m_asOf; }
    /** Returns an update with all items. */
    MirrorUpdate snapshot() const;
    /**
     * Returns and clears the changes from the store since the last call; nothing if there are none
     * or a listing is in progress.
     */
    std::optional<MirrorUpdate> takeStoreUpdate();

private:
    void applyChanges(const StoredChanges &changes);
    bool isIgnored(const std::string &key) const;
    /** Returns false if @p item is not newer than the known one. */
    bool put(const StoredItem &item);
    bool remove(const std::string &key, std::uint64_t revision);
    void recordStoreChange(const StoredChange &change);
    void removeUnlisted();
    void completeCall();

    std::string m_prefix;
    std::string m_ignoredPrefix;
    ChangeHandler m_handler;
    std::map<std::string, StoredItem> m_items;
    std::uint64_t m_asOf = 0;
    bool m_isCallInFlight = false;
    std::uint64_t m_generation = 0;
    bool m_needsListing = true;
    /** Whether the call in flight is a list call whose page continues the listing. */
    bool m_isPageExpected = false;
    std::string m_listCursor;
    /** Revision of the first page; the watch continues from here. */
    std::uint64_t m_listingRevision = 0;
    std::size_t m_pagesListed = 0;
    std::map<std::string, std::uint64_t> m_listedRevisions;
    std::optional<TimePoint> m_nextCallAt;
    std::uint32_t m_failures = 0;
    MirrorUpdate m_storeUpdate; ///< Changes not yet returned by takeStoreUpdate().
};

} // namespace indigoway
