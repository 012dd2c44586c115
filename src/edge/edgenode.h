#pragma once

#include "dispatch/dispatcher.h"
#include "edge/decisionlog.h"
#include "edge/edgemetrics.h"
#include "edge/edgesettings.h"
#include "edge/schedulingexchange.h"
#include "edge/statecodec.h"
#include "edge/statesync.h"
#include "fleet/nodedirectory.h"
#include "http/eventbase.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "relay/dialect.h"
#include "relay/requestrelay.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** What binds a node to the platform it runs on. */
struct EdgePorts
{
    const Dialect *dialect = nullptr;
    const StateCodec *codec = nullptr;
    KeyValueStore *store = nullptr;
    StoreLayout layout;
};

/** One entry VM's process: wires the dispatcher, the sockets, the store and the other nodes. */
class EdgeNode
{
public:
    EdgeNode(event_base *base, EdgeSettings settings, HttpClient &client, EdgePorts ports);
    EdgeNode(const EdgeNode &) = delete;
    EdgeNode &operator=(const EdgeNode &) = delete;

    /** False if an address cannot be listened on. */
    bool start();
    /** SIGTERM: no new callers; ends the loop when all is answered or time is up. */
    void leave();
    /** Settings that may change while the node runs are taken over. */
    void reload(const EdgeSettings &settings);

    void recordFault(const std::string &kind, const std::string &what)
    {
        record(kind, {{"fault", what}});
    }
    void recordListening(const std::string &what, const std::string &address)
    {
        record("listening", {{"for", what}, {"address", address}});
    }

    /** Whether new callers should be sent here. */
    bool isReady() const;
    std::vector<std::string> callerAddresses(std::size_t most);
    Duration listKept() const { return m_settings.listKept; }

private:
    static StateSync::Wiring wiringOf(EdgeNode &node, const StoreLayout &layout);
    static SchedulingExchange::Wiring schedulingWiringOf(EdgeNode &node);
    void chooseScheduler(TimePoint now);
    void storeChanged(const std::string &key, const StoredItem *item);
    void routingChanged(const std::string &value);
    /** A line for each organisation that is declared otherwise than before. */
    void recordOrganisations(const RoutingState &state, const RouteTable *old);
    void serverChanged(const std::string &key, const std::string *value);
    void crashRecorded(const CrashNote &note, std::uint64_t revision);
    void nodeChanged(const std::string &key, const StoredItem *item);
    std::vector<std::string> seeds() const;
    void handleControl(const HttpRequest &request);
    /** Listens on an address; where that is, if it can. */
    using Listen = std::function<std::optional<std::string>(const std::string &address)>;

    bool listenOn(std::string &address, const Listen &listen);
    void expose(const HttpRequest &request);
    std::string metricsText() const;
    void tick();
    void noticeFreeze(TimePoint now);
    /** One line for all that a node learns at its start; a line for each change after it. */
    void recordFirstCopy();
    /** A line when this node begins and ceases to know whose keys are good. */
    void noteCopyAge();
    void recordStoreCalls(TimePoint now);
    void endIfDone(TimePoint now);
    void record(const std::string &kind, const std::vector<LogField> &fields);

    event_base *m_base;
    EdgeSettings m_settings;
    EdgePorts m_ports;
    Incarnation m_life;
    DecisionLog m_log;
    EdgeMetrics m_metrics;
    NodeDirectory m_roster;
    dispatch::Dispatcher m_dispatcher;
    RequestRelay m_relay;
    StateSync m_sync;
    SchedulingExchange m_scheduling;
    HttpServer m_control;
    HttpServer m_exposition;
    EventHandle m_timer;
    std::mt19937_64 m_random;
    std::optional<NodeEntry> m_scheduler; ///< The node that schedules the engines.
    std::optional<TimePoint> m_leavingSince;
    bool m_hasCopy = false; ///< Of the store; changes are told one by one from then on.
    bool m_isCopyProven = false;
    TimePoint m_storeCallsRecordedAt {};
    TimePoint m_lastTick {};
    Duration m_frozen {}; ///< Time that the steady clock did not count, as last seen.
};

} // namespace indigoway
