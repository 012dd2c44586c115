#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

using StoreLease = Number<struct StoreLeaseTag>;

struct StoredItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Of its last change.
    std::uint64_t created = 0;  ///< Revision since which it has been there all the time.
};

/** An item was written, or removed if it has no value. */
struct StoredChange
{
    std::string key;
    std::uint64_t revision = 0;
    std::optional<std::string> value;
    std::uint64_t created = 0; ///< Of an item that was written.
};

/** Part of a listing. Pages are no snapshot: items may change between them. */
struct StoredPage
{
    std::vector<StoredItem> items;
    bool hasMore = false;
    std::uint64_t asOf = 0; ///< The store's revision when the page was made.
};

struct StoredChanges
{
    std::vector<StoredChange> changes; ///< Oldest first.
    std::uint64_t asOf = 0;            ///< Watch on from here.
};

struct StoreWrite
{
    std::string key;
    std::string value;
    StoreLease lease; ///< None: stays until it is removed.
};

struct GrantedLease
{
    StoreLease lease;
    Duration lifetime {};
};

enum class StoreFault {
    Unanswered,  ///< Down, cut off or too slow: what was asked may have been done, or be done yet.
    Refused,     ///< Busy: nothing was done.
    HistoryGone, ///< The changes since the revision are no longer kept: list again.
    NoLease,     ///< The lease has ended.
    Conflict,    ///< A condition does not hold: nothing was done.
    Malformed,   ///< An answer that cannot be read.
};

const char *nameOf(StoreFault fault);

template <typename Result>
using StoreHandler = std::function<void(const std::variant<Result, StoreFault> &)>;

struct StoreDone
{
};

/** An item must have this revision; 0: must not exist. */
struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0;
};

/** All of it is done, or none. */
struct StoreCommit
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
};

/**
 * The key-value service that holds all that must last: linearizable, with leases and watches.
 * Every call costs its operator money. Handlers are called once, never from inside the call.
 */
class KeyValueStore
{
public:
    KeyValueStore() = default;
    KeyValueStore(const KeyValueStore &) = delete;
    KeyValueStore &operator=(const KeyValueStore &) = delete;
    virtual ~KeyValueStore() = default;

    /** A page of the items under @p prefix whose keys come after @p after. */
    virtual void list(const std::string &prefix, const std::string &after,
                      StoreHandler<StoredPage> handler) = 0;
    /** Changes under @p prefix after @p revision; answers empty if there is none for @p wait. */
    virtual void watch(const std::string &prefix, std::uint64_t revision, Duration wait,
                       StoreHandler<StoredChanges> handler) = 0;
    virtual void commit(const StoreCommit &commit, StoreHandler<StoreDone> handler) = 0;
    virtual void grantLease(Duration lifetime, StoreHandler<GrantedLease> handler) = 0;
    virtual void renewLease(StoreLease lease, StoreHandler<StoreDone> handler) = 0;
    virtual void endLease(StoreLease lease, StoreHandler<StoreDone> handler) = 0;
};

} // namespace indigoway
