#pragma once

#include "store/keyvaluestore.h"

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
    std::uint64_t after = 0; ///< A copy of this revision or a later one can take it in.
    std::uint64_t asOf = 0;  ///< What such a copy is as of then.
    bool isWhole = false;    ///< All items there are; else only what has changed.
    std::vector<StoredChange> changes;
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
    /** A call to another node has been answered. */
    void peerAnswered() { callSucceeded(); }
    /** A node has told. False if that does not follow on this copy; then nothing is taken in. */
    bool told(const MirrorNews &news);
    void failed(TimePoint now, StoreFault fault);
    /** Lists anew, whatever is under way: this process stood still and may have missed changes. */
    void refresh();
    /** Changes with refresh(): results of calls from before it are not to be handed in. */
    std::uint64_t generation() const { return m_generation; }

    /** Whether all items are being listed, or will be next. */
    bool isListing() const { return m_mustList; }
    /** Pages of the listing that is under way. */
    std::size_t pagesListed() const { return m_pagesListed; }
    /** Whether all items are known as of some revision. */
    bool isKnown() const { return m_asOf > 0; }
    std::uint64_t asOf() const { return m_asOf; }
    /** All items there are. */
    MirrorNews whole() const;
    /** What the store has told since this was asked last; nothing if no copy can follow by it. */
    std::optional<MirrorNews> takeHeard();

private:
    void take(const StoredChanges &changes);
    /** False if nothing is new. */
    bool put(const StoredItem &item);
    bool remove(const std::string &key, std::uint64_t revision);
    void noteHeard(const StoredChange &change);
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
    std::size_t m_pagesListed = 0;
    std::map<std::string, std::uint64_t> m_listed;
    std::optional<TimePoint> m_pausedUntil;
    std::uint32_t m_failures = 0;
    MirrorNews m_heard; ///< Of the store, while it is not taken.
};

} // namespace indigoway
