#pragma once

#include "edge/storecallcounts.h"
#include "fleet/crashpublisher.h"
#include "fleet/leadership.h"
#include "fleet/nodeannouncer.h"
#include "fleet/nodedirectory.h"
#include "store/keyvaluestore.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace indigoway {

/** Writes this node's entry, the right to give orders to engines, and crash notes to the store. */
class StoreWriter
{
public:
    using RecordHandler = std::function<void(const std::string &kind, const std::string &detail)>;

    struct Dependencies
    {
        std::string nodeKey;
        std::string ordersLeaderKey;
        std::string ordersRecordKey;
        std::string crashesPrefix;
        RecordHandler record;
        std::function<TimePoint()> now; ///< Returns the present time.
    };

    /** The state of this node that its calls to the store depend on. */
    struct NodeStatus
    {
        bool isCurrent = false; ///< Whether its copy of the store is up to date.
        bool isWatcher = false; ///< Whether it watches the store for its failure domain.
        Duration leaseLifetime = NodeAnnouncer::MinLifetime;
    };

    /** @param incarnationId Identifies this run of the process; unique over all nodes. */
    StoreWriter(KeyValueStore &store, StoreCallCounts &counts, Dependencies dependencies,
                std::string incarnationId);

    /** @param self The entry to announce, with the bound addresses. */
    void setSelf(const NodeEntry &self) { m_self = self; }
    /** Starts the calls to the store that are due. */
    void startDueCalls(const NodeStatus &status);
    /** Ends the lease of this node's entry and announces nothing any more. */
    void leave();
    /** Publishes @p note to all nodes, as soon as the store accepts writes. */
    void publish(const StoredNote &note);
    /** Handles the change of an item; @p value is null if it was removed. */
    void handleChange(const std::string &key, const std::string *value, std::uint64_t revision,
                      TimePoint now);
    /** Retries the failed calls at once, since the store has answered this or another node. */
    void handleStoreRecovery(TimePoint now);
    /** Stops giving orders until the next renewal, after this process was suspended. */
    void handleSuspension(TimePoint now) { m_leadership.handleSuspension(now); }

    /** Returns the state of this node as of the last startDueCalls(). */
    const NodeStatus &status() const { return m_status; }
    bool isAnnounced() const { return m_announcer.isAnnounced(); }
    /** Returns whether the store doesn't answer the calls for this node's entry. */
    bool isStoreUnreachable() const { return m_announcer.isStoreUnreachable(); }
    bool holdsOrderRight() const { return m_leadership.isHolder(); }
    /** Records in the store that orders are about to be given, if no node has done so before. */
    void prepareOrders();
    /** Returns the fencing token for orders to engines; nothing if this node may give none now. */
    std::optional<std::uint64_t> orderToken(TimePoint now) const;

private:
    void startAnnouncerCall();
    /** Reports a failed call to the announcer; returns whether the call succeeded. */
    bool handleAnnouncementResult(const std::variant<StoreDone, StoreError> &result);
    /** Asks the store for the right to give orders, if this node may and it is free. */
    void acquireOrderRight();
    void startPublisherCall();
    void writeNotes(const WriteNotesCall &call);
    void handlePublishFailure(StoreError fault);

    KeyValueStore &m_store;
    StoreCallCounts &m_callCounts;
    Dependencies m_dependencies;
    NodeEntry m_self;
    NodeStatus m_status;
    NodeAnnouncer m_announcer;
    Leadership m_leadership;
    CrashPublisher m_publisher;
};

} // namespace indigoway
