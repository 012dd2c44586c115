#pragma once

#include "edge/storecalls.h"
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

/** What this node writes to the store: its entry, the right to give orders, notes of crashes. */
class StoreRecords
{
public:
    using RecordHandler = std::function<void(const std::string &kind, const std::string &detail)>;

    struct Wiring
    {
        std::string ownKey;
        std::string leaderKey;
        std::string recordKey;
        std::string crashesPrefix;
        RecordHandler record;
    };

    /** How this node stands to the store and to the other nodes. */
    struct Standing
    {
        bool isCurrent = false; ///< Its copy of the store is.
        bool isWatcher = false; ///< It is the first of its domain.
        Duration leaseLifetime = NodeAnnouncer::MinLifetime;
    };

    /** @p life: a name that no other life of any node has. */
    StoreRecords(KeyValueStore &store, StoreCalls &calls, Wiring wiring, std::string life);

    /** @p self: as it is announced, with the addresses that it listens on. */
    void setSelf(const NodeEntry &self) { m_self = self; }
    /** Asks the store for what is due. */
    void pump(const Standing &standing);
    /** Ends this node's entry; nothing is announced any more. */
    void leave();
    /** Lets all nodes know, as soon as the store can be written to. */
    void publish(const CrashNote &note);
    /** An item was written, or is gone if @p value is null. */
    void changed(const std::string &key, const std::string *value, std::uint64_t revision,
                 TimePoint now);
    /** The store answers again, as this node or another one has seen. */
    void storeIsBack(TimePoint now);
    /** This process stood still: nothing it knew of its rights holds any more. */
    void stoodStill(TimePoint now) { m_leadership.requireRenewal(now); }

    bool isAnnounced() const { return m_announcer.isAnnounced(); }
    bool holdsOrderRight() const { return m_leadership.isHolder(); }
    /** This node has orders to give: its token holds once that is on record. */
    void prepareOrders();
    /** The token with which this node may give orders now; nothing if it may not. */
    std::optional<std::uint64_t> orderToken(TimePoint now) const;

private:
    void pumpAnnouncer();
    bool noteAnnouncement(const std::variant<StoreDone, StoreError> &result);
    void pumpLeadership();
    void pumpPublisher();
    void writeNotes(const WriteNotesCall &call);
    void notesFailed(StoreError fault);

    KeyValueStore &m_store;
    StoreCalls &m_calls;
    Wiring m_wiring;
    NodeEntry m_self;
    Standing m_standing;
    NodeAnnouncer m_announcer;
    Leadership m_leadership;
    CrashPublisher m_publisher;
};

} // namespace indigoway
