#pragma once

#include "dispatch/dispatcher.h"
#include "edge/edgemetrics.h"
#include "edge/edgesettings.h"
#include "edge/originstore.h"
#include "edge/schedulingendpoint.h"
#include "edge/statecodec.h"
#include "edge/statesync.h"
#include "edge/structuredlog.h"
#include "fleet/nodedirectory.h"
#include "http/eventbase.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "overload/overloadguard.h"
#include "relay/dialect.h"
#include "relay/requestrelay.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** The platform-specific parts of a node. */
struct PlatformAdapters
{
    const Dialect *dialect = nullptr;
    const StateCodec *codec = nullptr;
    KeyValueStore *store = nullptr;
    StoreLayout layout;
};

/** The process of one entry VM: connects the dispatcher, the sockets, the store and the peers. */
class EdgeNode
{
public:
    EdgeNode(event_base *base, EdgeSettings settings, HttpClient &client,
             PlatformAdapters adapters);
    EdgeNode(const EdgeNode &) = delete;
    EdgeNode &operator=(const EdgeNode &) = delete;

    /**
     * Binds all addresses and starts the node.
     * @return false if an address cannot be bound.
     */
    bool start();
    /**
     * Starts a graceful shutdown: asks new callers to use other nodes, and ends the event loop
     * when all open requests are answered or the shutdown timeout has passed.
     */
    void leave();
    /** Applies the settings that can change at run time. */
    void reload(const EdgeSettings &settings);

    void recordFault(const std::string &kind, const std::string &fault)
    {
        record(kind, {{"fault", fault}});
    }
    void recordListening(const std::string &purpose, const std::string &address)
    {
        record("listening", {{"for", purpose}, {"address", address}});
    }

    /** Limits what the process holds for its clients. */
    OverloadGuard &overloadGuard() { return m_guard; }
    /** Returns whether new callers should be sent to this node. */
    bool isReady() const;
    /** Returns at most @p maxCount addresses of nodes that serve callers. */
    std::vector<std::string> callerAddresses(std::size_t maxCount);
    /** Returns how long callers may cache a list of nodes. */
    Duration nodeListTtl() const { return m_settings.nodeListTtl; }

private:
    static StateSync::Dependencies syncDependencies(EdgeNode &node, HttpClient &client,
                                                    const StoreLayout &layout);
    static SchedulingEndpoint::Dependencies schedulingDependencies(EdgeNode &node);
    void updateScheduler(TimePoint now);
    /** Applies changes of the other nodes, which open connections and keep origins for this one. */
    void updateNodes(TimePoint now);
    void handleStoreChange(const std::string &key, const StoredItem *item);
    void applyRouting(const std::string &value);
    /** Logs a line for each organisation whose declaration differs from the one in @p old. */
    void recordOrganisationChanges(const RoutingState &state, const RouteTable *old);
    void applyServerChange(const std::string &key, const std::string *value);
    static OriginStore::Dependencies originStoreDependencies(EdgeNode &node,
                                                             const StoreLayout &layout);
    /** Starts the calls to the store about the origins of streams that are due. */
    void startOriginCalls();
    /** Returns how long this node leaves a missing note of a version to others. */
    Duration versionNoteDelay() const;
    void applyCrashNote(const CrashNote &note, std::uint64_t revision);
    void applyPartCrashes(const std::string &value);
    void sharePartCrashes(const dispatch::SharePartCrashes &effect);
    /** Tells a node that has started of the refused parts; some of the other nodes do so. */
    void sendRefusedPartsTo(const NodeEntry &node);
    void applyNodeChange(const std::string &key, const StoredItem *item);
    std::vector<std::string> seeds() const;
    void handleControl(const HttpRequest &request);
    /** Binds an address; returns the bound one, or nothing on failure. */
    using Binder = std::function<std::optional<std::string>(const std::string &address)>;

    /** Binds @p address and replaces it by the bound one; returns false on failure. */
    bool listenOn(std::string &address, const Binder &bind);
    void handleMetrics(const HttpRequest &request);
    void tick();
    /** Detects that the VM was suspended or the process stopped since the last tick. */
    void detectSuspension(TimePoint now);
    /** Logs one line when the first copy of the store is complete. */
    void recordFirstCopy();
    /** Logs a line when the copy becomes fresh enough to check API keys, or too old. */
    void recordCopyFreshness();
    /** Returns whether this node may not have learned of engines that have left. */
    bool isStoreStale() const;
    void recordStoreCallCounts(TimePoint now);
    void stopWhenDrained(TimePoint now);
    void record(const std::string &kind, const std::vector<LogField> &fields);

    event_base *m_base;
    EdgeSettings m_settings;
    PlatformAdapters m_adapters;
    Incarnation m_incarnation;
    StructuredLog m_log;
    EdgeMetrics m_metrics;
    NodeDirectory m_roster;
    OverloadGuard m_guard; ///< Outlives all that holds bytes for clients.
    dispatch::Dispatcher m_dispatcher;
    RequestRelay m_relay;
    StateSync m_sync;
    OriginStore m_origins;
    SchedulingEndpoint m_scheduling;
    HttpServer m_controlServer;
    HttpServer m_metricsServer;
    EventHandle m_timer;
    EventHandle m_syncTimer;
    std::mt19937_64 m_random;
    Duration m_noteDelay {}; ///< Part of versionNoteDelay() that differs between the nodes.
    std::optional<NodeEntry> m_scheduler; ///< The node that schedules the engines.
    std::optional<TimePoint> m_leavingSince;
    std::uint64_t m_appliedNodeChanges = 0; ///< Changes of the roster that were applied.
    bool m_hasFirstCopy = false;
    bool m_isCopyFresh = false;
    TimePoint m_storeCallsLoggedAt {};
    TimePoint m_lastTick {};
    Duration m_suspendedTime {}; ///< Total suspended time of the VM at the last tick.
};

} // namespace indigoway
