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
    std::uint64_t revision = 0; ///< Revision of the last change.
    std::uint64_t created = 0;  ///< Revision since which the item has existed continuously.
};

/** A write of an item, or its removal if it has no value. */
struct StoredChange
{
    std::string key;
    std::uint64_t revision = 0;
    std::optional<std::string> value;
    std::uint64_t created = 0; ///< Revision since which a written item has existed.
};

/** A page of a listing. The pages are not a consistent snapshot: items may change between them. */
struct StoredPage
{
    std::vector<StoredItem> items;
    bool hasMore = false;
    std::uint64_t asOf = 0; ///< Revision of the store when the page was read.
};

struct StoredChanges
{
    std::vector<StoredChange> changes; ///< Changes in revision order.
    std::uint64_t asOf = 0;            ///< Revision from which to continue the watch.
};

struct StoreWrite
{
    std::string key;
    std::string value;
    StoreLease lease; ///< None if the item does not expire.
};

struct GrantedLease
{
    StoreLease lease;
    Duration lifetime {};
};

enum class StoreError {
    /** Timeout or connection failure; the call may have taken effect or still take effect. */
    Unanswered,
    Refused,     ///< The store is overloaded; the call had no effect.
    HistoryGone, ///< The requested revisions have been compacted; the items must be listed again.
    NoLease,     ///< The lease has expired or been revoked.
    Conflict,    ///< A condition does not hold; the call had no effect.
    Malformed,   ///< The answer cannot be parsed.
};

const char *nameOf(StoreError error);

template <typename Result>
using StoreHandler = std::function<void(const std::variant<Result, StoreError> &)>;

struct StoreDone
{
};

/** Requires that an item has this revision; 0: that it does not exist. */
struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0;
};

/** A transaction: the writes are applied only if all conditions hold. */
struct StoreCommit
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
};

/**
 * A linearizable key-value service with leases and watches that holds all durable state. Each call
 * is billed. A handler is called exactly once, and never from inside the call that it was passed
 * to.
 */
class KeyValueStore
{
public:
    KeyValueStore() = default;
    KeyValueStore(const KeyValueStore &) = delete;
    KeyValueStore &operator=(const KeyValueStore &) = delete;
    virtual ~KeyValueStore() = default;

    /** Reads a page of the items under @p prefix whose keys sort after @p after. */
    virtual void list(const std::string &prefix, const std::string &after,
                      StoreHandler<StoredPage> handler) = 0;
    /**
     * Waits for changes under @p prefix after @p revision; answers without changes after @p wait.
     */
    virtual void watch(const std::string &prefix, std::uint64_t revision, Duration wait,
                       StoreHandler<StoredChanges> handler) = 0;
    virtual void commit(const StoreCommit &commit, StoreHandler<StoreDone> handler) = 0;
    virtual void grantLease(Duration lifetime, StoreHandler<GrantedLease> handler) = 0;
    virtual void renewLease(StoreLease lease, StoreHandler<StoreDone> handler) = 0;
    virtual void revokeLease(StoreLease lease, StoreHandler<StoreDone> handler) = 0;
};

} // namespace indigoway
