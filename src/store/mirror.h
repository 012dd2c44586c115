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

/** All items of a prefix at one revision or later; how nodes tell each other. */
struct MirrorSnapshot
{
    std::uint64_t asOf = 0;
    std::vector<StoredItem> items;
};

/**
 * This node's copy of the items under one prefix of the store, and the decision what to ask the
 * store next to keep it. Lists once, then watches; lists again where the store has dropped the
 * history in between. A copy is never taken back to an older revision, whoever brings it.
 */
class Mirror
{
public:
    /** @p value is null where the item is gone. */
    using ChangeHandler = std::function<void(const std::string &key, const std::string *value)>;

    Mirror(std::string prefix, ChangeHandler handler);

    const std::string &prefix() const { return m_prefix; }
    /** What to ask now; nothing while a call is under way or a pause lasts. */
    std::optional<MirrorCall> nextCall(TimePoint now);
    std::optional<TimePoint> pausedUntil() const { return m_pausedUntil; }

    void listed(TimePoint now, const StoredPage &page);
    void watched(TimePoint now, const StoredChanges &changes);
    void failed(TimePoint now, StoreFault fault);
    /** Lists anew, whatever is under way: this process stood still and may have missed changes. */
    void refresh();
    /** Changes with refresh(): results of calls from before it are not to be handed in. */
    std::uint64_t generation() const { return m_generation; }
    /** News from another node; ignored unless newer. True if it was taken. */
    bool takeSnapshot(const MirrorSnapshot &snapshot);

    /** Whether all items are known as of some revision. */
    bool isKnown() const { return m_asOf > 0; }
    std::uint64_t asOf() const { return m_asOf; }
    /** Whether the store has been silent towards this node for longer than it should be. */
    bool isStale(TimePoint now) const;
    std::uint32_t failuresInRow() const { return m_failures; }
    MirrorSnapshot snapshot() const;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    void put(const std::string &key, std::uint64_t revision, const std::string &value);
    void remove(const std::string &key, std::uint64_t revision);
    void removeUnlisted();

    std::string m_prefix;
    ChangeHandler m_handler;
    std::map<std::string, Item> m_items;
    std::uint64_t m_asOf = 0;
    bool m_isCalling = false;
    std::uint64_t m_generation = 0;
    bool m_mustList = true;
    std::string m_listAfter;
    std::uint64_t m_listedFrom = 0; ///< Revision of the first page; changes after it are watched.
    std::map<std::string, std::uint64_t> m_listed;
    std::optional<TimePoint> m_pausedUntil;
    std::uint32_t m_failures = 0;
    TimePoint m_lastHeard {};
};

} // namespace indigoway
