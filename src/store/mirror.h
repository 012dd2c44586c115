#pragma once

#include "store/keyvaluestore.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** The next thing a mirror wants of the store. */
struct ListCall
{
    std::string after;
};
struct WatchCall
{
    std::uint64_t revision = 0;
};
using MirrorCall = std::variant<ListCall, WatchCall>;

/** What one node tells another of its copy. */
struct MirrorNews
{
    std::uint64_t asOf = 0;
    bool isWhole = false; ///< All items there are; else only what has changed.
    std::vector<StoredChange> changes;
    std::optional<Duration> age = {}; ///< Of the copy, as it was told; nothing: not known.
    Duration held {};                 ///< From the question until then.
};

/**
 * This node's copy of the items under one prefix of the store, and the decision what to ask the
 * store next to keep it. Lists once, then watches; lists again where the store has dropped the
 * history in between. A copy is never taken back to an older revision, whoever brings it.
 */
class Mirror
{
public:
    /** @p item is null where it is gone; @p revision is of the change. */
    using ChangeHandler =
        std::function<void(const std::string &key, const StoredItem *item, std::uint64_t revision)>;

    Mirror(std::string prefix, ChangeHandler handler);

    const std::string &prefix() const { return m_prefix; }
    /** Whether a call is under way, or a pause lasts after one that failed. */
    bool isBusy(TimePoint now) const;
    /** What to ask the store; a call is under way from now on. */
    MirrorCall beginStoreCall();
    /** A call to another node is under way from now on; the revision to ask from. */
    std::uint64_t beginPeerCall();

    void listed(const StoredPage &page);
    /** Changes that a watch of the store has brought. */
    void watched(TimePoint now, const StoredChanges &changes);
    /** A node has told; false if it has nothing to go on from. */
    void told(const MirrorNews &news);
    void failed(TimePoint now, StoreFault fault);
    /** Lists anew, whatever is under way: this process stood still and may have missed changes. */
    void refresh();
    /** Changes with refresh(): results of calls from before it are not to be handed in. */
    std::uint64_t generation() const { return m_generation; }

    /** Whether all items are being listed, or will be next. */
    bool isListing() const { return m_mustList; }
    /** Whether all items are known as of some revision. */
    bool isKnown() const { return m_asOf > 0; }
    std::uint64_t asOf() const { return m_asOf; }
    /** What has changed after @p revision; the whole where that is not known any more. */
    MirrorNews newsSince(std::uint64_t revision) const;

private:
    struct Removal
    {
        std::string key;
        std::uint64_t revision = 0;
    };

    void take(const StoredChanges &changes);
    void put(const StoredItem &item);
    void remove(const std::string &key, std::uint64_t revision);
    void removeUnlisted();
    void callSucceeded();

    std::string m_prefix;
    ChangeHandler m_handler;
    std::map<std::string, StoredItem> m_items;
    std::uint64_t m_asOf = 0;
    bool m_isCalling = false;
    std::uint64_t m_generation = 0;
    bool m_mustList = true;
    std::string m_listAfter;
    std::uint64_t m_listedFrom = 0; ///< Revision of the first page; changes after it are watched.
    std::map<std::string, std::uint64_t> m_listed;
    std::optional<TimePoint> m_pausedUntil;
    std::uint32_t m_failures = 0;
    std::deque<Removal> m_removals;   ///< The latest, oldest first.
    std::uint64_t m_removalsFrom = 0; ///< Removals after this revision are all there.
};

} // namespace indigoway
