#include "edgenode.h"

#include "scheduling/schedulerchoice.h"
#include "settings/flagset.h"

#include <event2/event.h>

#include <algorithm>

namespace indigoway {

namespace {

using dispatch::DispatchSettings;

constexpr timeval TickEvery {0, 250'000};
/** A look at the time that comes so late may be due to a busy processor. */
constexpr Duration LateTick = std::chrono::milliseconds(600);
/** A jump of the clocks against each other beyond what reading both one after the other makes. */
constexpr Duration FreezeNoticed = std::chrono::milliseconds(300);
/** Left of the time to end for the last bytes and for the process's own end. */
constexpr Duration EndMargin = std::chrono::milliseconds(600);
/** Callers who learnt of this node a moment ago still come; they are served before it ends. */
constexpr Duration LeaveAtLeast = std::chrono::milliseconds(1500);

/** What this life has asked of the store so far; each call costs the operator money. */
constexpr Duration RecordStoreCallsEvery = std::chrono::seconds(10);

TimePoint present()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/** Time for which the machine stood still since it started. */
Duration frozenTime()
{
    return BootClock::now().time_since_epoch() - present().time_since_epoch();
}

/** Nothing: any copy of the desired state will do. */
std::optional<Duration> mostCopyAge(const EdgeSettings &settings)
{
    // For the clocks of nodes, which do not go at quite the same rate.
    constexpr Duration Margin = std::chrono::milliseconds(200);
    return settings.keyCopyAge.count() > 0 ? std::optional(settings.keyCopyAge - Margin)
                                           : std::nullopt;
}

NodeEntry entryOf(const EdgeSettings &settings)
{
    return {settings.node,    settings.domain,     settings.callers,
            settings.control, settings.scheduling, settings.processors};
}

DispatchSettings dispatchSettingsOf(const EdgeSettings &settings)
{
    return {settings.domain,
            {settings.retryRatio, settings.retryWindow, settings.retrySlack},
            mostCopyAge(settings),
            {settings.quotaWindow, settings.quotaOver, settings.quotaSlack}};
}

} // namespace

EdgeNode::EdgeNode(event_base *base, EdgeSettings settings, HttpClient &client, EdgePorts ports)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_ports(std::move(ports))
    , m_life(std::random_device {}())
    , m_log(m_settings.node)
    , m_roster(entryOf(m_settings))
    , m_dispatcher(dispatchSettingsOf(m_settings), present())
    , m_relay(base, m_dispatcher, *m_ports.dialect, std::random_device {}())
    , m_sync(base, *m_ports.store, client, wiringOf(*this, m_ports.layout),
             m_settings.node.text() + "/" + std::to_string(m_life.value()), std::random_device {}())
    , m_scheduling(base, {m_settings.node, m_life}, schedulingWiringOf(*this))
    , m_control(
          base, HttpLimits {}, [this](const HttpRequest &request) { handleControl(request); },
          [this](ExchangeNumber exchange) { m_sync.peerGone(exchange); })
    , m_exposition(
          base, HttpLimits {}, [this](const HttpRequest &request) { expose(request); },
          [](ExchangeNumber) {})
    , m_timer(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void *self) { static_cast<EdgeNode *>(self)->tick(); }, this))
    , m_random(std::random_device {}())
    , m_frozen(frozenTime())
{
    m_relay.setCopyAge([this] { return m_sync.copyAge(BootClock::now()); });
    m_relay.setEndedHandler([this](const dispatch::RequestEnded &ended) { m_metrics.add(ended); });
    m_relay.setRecordHandler([this](const dispatch::RecordDecision &decision) {
        m_metrics.add(decision);
        record(decision.kind, {{"request", decision.callerId}, {"detail", decision.detail}});
    });
    m_relay.setCrashHandler(
        [this](const dispatch::ShareCrash &crash) { m_sync.records().publish(crash.note); });
    m_relay.setSchedulerHandler(
        [this](const scheduling::ToScheduler &message) { m_scheduling.tell(message); });
    m_relay.setQuotaHandler(
        [this](const quotas::ToKeeper &message) { m_scheduling.tell(message); });
}

bool EdgeNode::start()
{
    const bool isListening =
        listenOn(m_settings.control,
                 [this](const std::string &address) { return m_control.listenOn(address); })
        && listenOn(m_settings.callers,
                    [this](const std::string &address) { return m_relay.listenOn(address); })
        && (m_settings.scheduling.empty()
            || listenOn(
                m_settings.scheduling,
                [this](const std::string &address) { return m_scheduling.listenOn(address); }))
        && (m_settings.metrics.empty()
            || listenOn(m_settings.metrics, [this](const std::string &address) {
                   return m_exposition.listenOn(address);
               }));
    if (!isListening) {
        return false;
    }
    record("start",
           {{"version", programVersion()},
            {"callers", m_settings.callers},
            {"control", m_settings.control},
            {"metrics", m_settings.metrics},
            {"domain", m_settings.domain.text()}});
    event_add(m_timer.get(), &TickEvery);
    m_roster.setSelf(entryOf(m_settings));
    m_sync.start(entryOf(m_settings));
    return true;
}

bool EdgeNode::listenOn(std::string &address, const Listen &listen)
{
    const auto bound = listen(address);
    if (!bound) {
        record("cannot_listen", {{"address", address}});
        return false;
    }
    address = *bound;
    return true;
}

void EdgeNode::leave()
{
    if (m_leavingSince) {
        return;
    }
    const TimePoint now = present();
    m_leavingSince = now;
    m_roster.setLeaving();
    m_relay.beginLeaving();
    m_dispatcher.leave(now, now + m_settings.endsWithin - EndMargin);
    m_sync.records().leave();
    record("leave", {{"open_requests", std::to_string(m_dispatcher.open())}});
}

void EdgeNode::reload(const EdgeSettings &settings)
{
    m_settings.peers = settings.peers;
    m_settings.listKept = settings.listKept;
    record("reload", {{"peers", std::to_string(settings.peers.size())}});
}

bool EdgeNode::isReady() const
{
    return !m_leavingSince && m_dispatcher.routes() && m_sync.isKnown();
}

std::vector<std::string> EdgeNode::callerAddresses(std::size_t most)
{
    return m_roster.callerAddresses(present(), most, m_random());
}

StateSync::Wiring EdgeNode::wiringOf(EdgeNode &node, const StoreLayout &layout)
{
    StateSync::Wiring wiring;
    wiring.self = entryOf(node.m_settings);
    wiring.record = [&node](const std::string &kind, const std::string &detail) {
        node.record(kind, {{"detail", detail}});
    };
    wiring.records = {layout.nodesPrefix + node.m_settings.node.text(), layout.leaderKey,
                      layout.recordKey, layout.crashesPrefix, wiring.record};
    wiring.mostCopyAge = mostCopyAge(node.m_settings);
    wiring.changed = [&node](const std::string &key, const StoredItem *item) {
        node.storeChanged(key, item);
    };
    wiring.roster = [&node]() -> const NodeDirectory & {
        node.m_roster.purgeWithdrawn(present());
        return node.m_roster;
    };
    wiring.seeds = [&node] {
        return node.seeds();
    };
    wiring.isSeed = [&node] {
        return std::ranges::find(node.m_settings.peers, node.m_settings.control)
            != node.m_settings.peers.end();
    };
    wiring.isReliedOn = [&node] {
        return node.m_scheduler && node.m_scheduler->name == node.m_settings.node;
    };
    wiring.linkBytesPerSecond = node.m_settings.linkBytesPerSecond;
    wiring.answerPeer = [&node](ExchangeNumber exchange, const std::string &body) {
        constexpr int Ok = 200;
        constexpr int ServiceUnavailable = 503;
        node.m_control.reply(exchange, body.empty() ? ServiceUnavailable : Ok,
                             {{"Content-Type", "application/octet-stream"}}, body);
    };
    return wiring;
}

SchedulingExchange::Wiring EdgeNode::schedulingWiringOf(EdgeNode &node)
{
    SchedulingExchange::Wiring wiring;
    wiring.scheduler = [&node] {
        return node.m_scheduler ? std::optional(node.m_scheduler->schedulingAddress) : std::nullopt;
    };
    wiring.view = [&node]() -> std::optional<scheduling::EngineScheduler::View> {
        const RouteTable *routes = node.m_dispatcher.routes();
        if (!routes) {
            return std::nullopt;
        }
        return scheduling::EngineScheduler::View {node.m_dispatcher.servers(), *routes};
    };
    wiring.nodes = [&node] {
        return node.m_roster.count(present());
    };
    wiring.answered = [&node](const dispatch::DispatchEvent &answer) {
        node.m_relay.post(answer);
    };
    wiring.record = [&node](const std::string &kind, const std::string &detail) {
        node.record(kind, {{"detail", detail}});
    };
    return wiring;
}

void EdgeNode::chooseScheduler(TimePoint now)
{
    m_roster.purgeWithdrawn(now);
    auto chosen =
        m_settings.scheduling.empty() ? std::nullopt : scheduling::schedulerOf(m_roster.members());
    if (chosen == m_scheduler) {
        return;
    }
    record("scheduler",
           {{"scheduler", chosen ? chosen->name.text() : "none"},
            {"before", m_scheduler ? m_scheduler->name.text() : "none"}});
    m_scheduler = std::move(chosen);
    m_dispatcher.setScheduler(m_scheduler ? std::optional(m_scheduler->name) : std::nullopt);
}

void EdgeNode::storeChanged(const std::string &key, const StoredItem *item)
{
    if (key == m_ports.layout.routingKey) {
        if (item) {
            routingChanged(item->value);
        }
    } else if (key.starts_with(m_ports.layout.serversPrefix)) {
        serverChanged(key, item ? &item->value : nullptr);
    } else if (key.starts_with(m_ports.layout.nodesPrefix)) {
        nodeChanged(key, item);
    } else if (const auto note = parseCrashKey(m_ports.layout.crashesPrefix, key)) {
        if (item) {
            crashRecorded(*note, item->revision);
        }
        // An item that goes with its lease is as old as what this node forgets by itself.
    }
}

void EdgeNode::crashRecorded(const CrashNote &note, std::uint64_t revision)
{
    if (!m_dispatcher.crashRecorded(note, revision, present())) {
        return;
    }
    record("content_refused",
           {{"content", note.content.text()},
            {"refused", note.count > 0 ? "yes" : "no"},
            {"crashes", std::to_string(m_dispatcher.crashes().crashes(note.content))},
            {"revision", std::to_string(revision)}});
}

void EdgeNode::routingChanged(const std::string &value)
{
    auto decoded = m_ports.codec->decodeRouting(value);
    if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
        record("routing_unreadable", {{"fault", fault->what}});
        return;
    }
    auto &state = std::get<RoutingState>(decoded);
    const RouteTable *old = m_dispatcher.routes();
    record("routing",
           {{"version", std::to_string(state.version)},
            {"before", old ? std::to_string(old->version()) : "none"},
            {"routes", std::to_string(state.routes.size())},
            {"organisations", std::to_string(state.organisations.size())}});
    recordOrganisations(state, old);
    m_relay.setLimits(state.limits);
    m_dispatcher.setRoutes(std::make_shared<const RouteTable>(std::move(state)));
}

void EdgeNode::recordOrganisations(const RoutingState &state, const RouteTable *old)
{
    for (const Organisation &one : state.organisations) {
        const Organisation *before = old ? old->organisation(one.name) : nullptr;
        if (!before || *before == one) {
            continue; // A first copy is told by how many there are.
        }
        record("organisation",
               {{"organisation", one.name.text()},
                {"keys", std::to_string(one.keys.size())},
                {"keys_before", std::to_string(before->keys.size())},
                {"priority", one.priority ? std::to_string(*one.priority) : "-"},
                {"per_s", one.quota ? std::to_string(one.quota->perSecond) : "-"},
                {"burst", one.quota ? std::to_string(one.quota->burst) : "-"}});
    }
}

void EdgeNode::serverChanged(const std::string &key, const std::string *value)
{
    const std::string instance = key.substr(m_ports.layout.serversPrefix.size());
    const ServerName known = m_dispatcher.servers().nameOf(instance);
    if (!value) {
        m_dispatcher.withdraw(known, present());
        record("server_vanished", {{"server", known.text()}, {"instance", instance}});
        return;
    }
    auto decoded = m_ports.codec->decodeServer(instance, *value);
    if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
        // Written by something else than that server: it names none that requests may go to.
        m_dispatcher.remove(known);
        record("server_unreadable",
               {{"instance", instance}, {"before", known.text()}, {"fault", fault->what}});
        return;
    }
    auto &server = std::get<AnnouncedServer>(decoded);
    const AnnouncedServer *before = m_dispatcher.servers().find(server.name);
    if (m_sync.isKnown() && (!before || !(*before == server))) {
        record("server",
               {{"server", server.name.text()},
                {"before", known.text()},
                {"service", server.service.text()},
                {"address", server.address},
                {"draining", server.isDraining ? "yes" : "no"}});
    }
    m_dispatcher.announce(std::move(server));
}

void EdgeNode::nodeChanged(const std::string &key, const StoredItem *item)
{
    if (!item) {
        m_roster.withdraw(key, present());
        record("node_vanished", {{"key", key}});
        return;
    }
    auto entry = decodeNodeEntry(item->value);
    if (!entry) {
        record("node_unreadable", {{"key", key}});
        return;
    }
    if (m_sync.isKnown()) {
        record("node", {{"key", key}, {"callers", entry->callerAddress}});
    }
    entry->announcedSince = item->created;
    entry->announcedAt = item->revision;
    m_roster.announce(key, std::move(*entry));
}

std::vector<std::string> EdgeNode::seeds() const
{
    std::vector<std::string> addresses;
    for (const std::string &peer : m_settings.peers) {
        if (peer != m_settings.control) {
            addresses.push_back(peer);
        }
    }
    return addresses;
}

void EdgeNode::handleControl(const HttpRequest &request)
{
    constexpr int NotFound = 404;
    if (request.path == "/v1/mirror") {
        m_sync.takePeerQuestion(request.exchange,
                                std::strtoull(request.parameter("after").c_str(), nullptr, 10),
                                request.parameter("from"));
    } else {
        m_control.reply(request.exchange, NotFound, {}, "");
    }
}

void EdgeNode::expose(const HttpRequest &request)
{
    constexpr int Ok = 200;
    constexpr int NotFound = 404;
    if (request.path != "/metrics") {
        m_exposition.reply(request.exchange, NotFound, {}, "");
        return;
    }
    m_exposition.reply(request.exchange, Ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                       metricsText());
}

std::string EdgeNode::metricsText() const
{
    return m_metrics.text({
        {"requests_open", m_dispatcher.open()},
        {"requests_waiting", m_dispatcher.waiting()},
        {"caller_connections", m_relay.callers().connections()},
        {"server_connections_kept", m_relay.serverConnections().kept()},
        {"server_connections_made", m_relay.serverConnections().connectionsMade()},
        {"log_lines_dropped", m_log.dropped()},
        {"routing_version", m_dispatcher.routes() ? m_dispatcher.routes()->version() : 0},
        {"store_revision", m_sync.asOf()},
        {"store_lists", m_sync.storeCalls().lists},
        {"store_watches", m_sync.storeCalls().watches},
        {"store_leases", m_sync.storeCalls().leases},
        {"store_renewals", m_sync.storeCalls().renewals},
        {"store_writes", m_sync.storeCalls().writes},
        {"store_proofs", m_sync.storeCalls().proofs},
        {"servers_known", m_dispatcher.servers().size()},
        {"nodes_known", m_roster.count(present())},
        {"scheduler_waiting", m_scheduling.scheduler().waiting()},
        {"scheduler_granted", m_scheduling.scheduler().granted()},
        {"scheduler_engines_looked", m_scheduling.scheduler().enginesLooked()},
        {"scheduler_unsent", m_scheduling.unsent()},
        {"order_looks", m_dispatcher.orderLooks()},
        {"quotas_scarce", m_scheduling.quotaKeeper().scarceCount()},
        {"contents_crashed", m_dispatcher.crashes().size()},
        {"contents_refused", m_dispatcher.crashes().refused()},
        {"leaving", m_leavingSince ? 1U : 0U},
    });
}

void EdgeNode::tick()
{
    const TimePoint now = present();
    recordFirstCopy();
    noteCopyAge();
    noticeFreeze(now);
    chooseScheduler(now);
    m_dispatcher.setOrderRight(m_sync.records().holdsOrderRight());
    if (m_dispatcher.wantsOrderToken()) {
        m_sync.records().prepareOrders();
    }
    m_dispatcher.setOrderToken(m_sync.records().orderToken(now));
    if (m_sync.isKnown()) {
        m_dispatcher.setNodes(m_roster.count(now), now);
    }
    m_relay.wake();
    recordStoreCalls(now);
    endIfDone(now);
}

void EdgeNode::recordFirstCopy()
{
    if (m_hasCopy || !m_sync.isKnown()) {
        return;
    }
    m_hasCopy = true;
    record("first_copy",
           {{"as_of", std::to_string(m_sync.asOf())},
            {"nodes", std::to_string(m_roster.members().size())},
            {"servers", std::to_string(m_dispatcher.servers().size())}});
}

void EdgeNode::noteCopyAge()
{
    const auto most = mostCopyAge(m_settings);
    if (!most) {
        return;
    }
    const auto age = m_sync.copyAge(BootClock::now());
    const bool isProven = isFreshEnough(age, most);
    if (isProven == m_isCopyProven) {
        return;
    }
    m_isCopyProven = isProven;
    record(isProven ? "copy_proven" : "copy_too_old",
           {{"age_ms", age ? dispatch::millisecondsText(*age) : "-"},
            {"most_ms", dispatch::millisecondsText(*most)},
            {"as_of", std::to_string(m_sync.asOf())}});
}

void EdgeNode::recordStoreCalls(TimePoint now)
{
    if (now < m_storeCallsRecordedAt + RecordStoreCallsEvery) {
        return;
    }
    m_storeCallsRecordedAt = now;
    const StoreCalls &calls = m_sync.storeCalls();
    record("store_calls",
           {{"lists", std::to_string(calls.lists)},
            {"watches", std::to_string(calls.watches)},
            {"leases", std::to_string(calls.leases)},
            {"renewals", std::to_string(calls.renewals)},
            {"writes", std::to_string(calls.writes)},
            {"proofs", std::to_string(calls.proofs)}});
}

void EdgeNode::noticeFreeze(TimePoint now)
{
    // A suspended VM's steady clock stands still with it, a stopped process's goes on; the first
    // shows against the clock that counts suspension, the second in a look that comes late.
    const Duration frozen = frozenTime();
    const Duration late = m_lastTick == TimePoint {} ? Duration(0) : now - m_lastTick;
    const Duration stoodStill = std::max(frozen - m_frozen, late - LateTick);
    if (stoodStill > FreezeNoticed) {
        record("woke", {{"stood_still_ms", dispatch::millisecondsText(stoodStill)}});
        m_sync.stoodStill(now);
    }
    m_frozen = frozen;
    m_lastTick = now;
}

void EdgeNode::endIfDone(TimePoint now)
{
    if (!m_leavingSince) {
        return;
    }
    const bool isDone = m_relay.callers().openRequests() == 0;
    const bool isTimeUp = now > *m_leavingSince + m_settings.endsWithin - EndMargin;
    if ((isDone && now > *m_leavingSince + LeaveAtLeast) || isTimeUp) {
        record("stop", {{"open_requests", std::to_string(m_dispatcher.open())}});
        event_base_loopbreak(m_base);
    }
}

void EdgeNode::record(const std::string &kind, const std::vector<LogField> &fields)
{
    m_log.write(present(), kind, fields);
}

} // namespace indigoway
