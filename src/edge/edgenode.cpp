#include "edgenode.h"

#include "crashes/partcrashcodec.h"
#include "edge/nodemetrics.h"
#include "scheduling/schedulerchoice.h"
#include "settings/flagset.h"

#include <event2/event.h>

#include <algorithm>

namespace indigoway {

namespace {

using dispatch::DispatchSettings;

constexpr timeval TickInterval {0, 250'000};
/** A tick that is late by no more than this is attributed to a busy processor. */
constexpr Duration MaxTickDelay = std::chrono::milliseconds(600);
/** Longer than the error from reading the two clocks one after the other. */
constexpr Duration MinReportedSuspension = std::chrono::milliseconds(300);
/** Part of the shutdown timeout that is reserved for the answers to requests that are open then. */
constexpr Duration ShutdownMargin = std::chrono::milliseconds(600);
/** Part of it that is reserved for the process's exit. */
constexpr Duration ExitMargin = std::chrono::milliseconds(250);
/** Serves callers who resolved this node's address just before it left. */
constexpr Duration MinLeaveTime = std::chrono::milliseconds(1500);
/** Part of the age limit of the copy beyond which the store is taken for unreachable. */
constexpr double MaxFreshAgeShare = 0.75;
/**
 * The holder of the order right writes notes of versions at once, those that watch the store after
 * the first of these times, all other nodes after the second one and up to a second more.
 */
constexpr Duration WatcherNoteDelay = std::chrono::milliseconds(400);
constexpr Duration OtherNoteDelay = std::chrono::milliseconds(1500);
/** Interval between logs of the calls to the store, each of which is billed to the operator. */
constexpr Duration StoreCallsLogInterval = std::chrono::seconds(10);

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/** Returns the time for which the VM was suspended since its boot. */
Duration suspendedTime()
{
    return BootClock::now().time_since_epoch() - steadyNow().time_since_epoch();
}

/** Returns the age limit of the copy of the desired state; nothing if there is no limit. */
std::optional<Duration> maxCopyAge(const EdgeSettings &settings)
{
    // The clocks of two nodes run at slightly different rates.
    constexpr Duration Margin = std::chrono::milliseconds(200);
    return settings.maxKeyCopyAge.count() > 0 ? std::optional(settings.maxKeyCopyAge - Margin)
                                              : std::nullopt;
}

NodeEntry makeNodeEntry(const EdgeSettings &settings)
{
    return {settings.node,       settings.domain, settings.callers,   settings.control,
            settings.scheduling, settings.relay,  settings.processors};
}

DispatchSettings makeDispatchSettings(const EdgeSettings &settings)
{
    return {settings.domain,
            {settings.retryRatio, settings.retryWindow, settings.retrySlack},
            maxCopyAge(settings),
            {settings.quotaWindow, settings.quotaOverRatio, settings.quotaSlack}};
}

} // namespace

EdgeNode::EdgeNode(event_base *base, EdgeSettings settings, HttpClient &client,
                   PlatformAdapters adapters)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_adapters(std::move(adapters))
    , m_incarnation(std::random_device {}())
    , m_log(m_settings.node)
    , m_roster(makeNodeEntry(m_settings))
    , m_guard(base, {m_settings.memoryBytes, m_settings.descriptors})
    , m_dispatcher(makeDispatchSettings(m_settings), steadyNow())
    , m_relay(base, m_guard, m_dispatcher, *m_adapters.dialect, std::random_device {}())
    , m_sync(*m_adapters.store, syncDependencies(*this, client, m_adapters.layout),
             m_settings.node.text() + "/" + std::to_string(m_incarnation.value()),
             std::random_device {}())
    , m_origins(*m_adapters.store, m_sync.storeCallCounts(),
                originStoreDependencies(*this, m_adapters.layout))
    , m_scheduling(base, {m_settings.node, m_incarnation}, schedulingDependencies(*this))
    , m_controlServer(
          base, smallRequestLimits(Door::Control),
          [this](const HttpRequest &request) { handleControl(request); },
          [this](ExchangeNumber exchange) { m_sync.cancelPeerPoll(exchange); }, &m_guard)
    , m_metricsServer(
          base, smallRequestLimits(Door::Metrics),
          [this](const HttpRequest &request) { handleMetrics(request); }, [](ExchangeNumber) {},
          &m_guard)
    , m_timer(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void *self) { static_cast<EdgeNode *>(self)->tick(); }, this))
    , m_syncTimer(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void *self) {
              static_cast<EdgeNode *>(self)->m_sync.tick();
              static_cast<EdgeNode *>(self)->startOriginCalls();
          },
          this))
    , m_random(std::random_device {}())
    , m_noteDelay(std::chrono::milliseconds(m_random() % 1000))
    , m_suspendedTime(suspendedTime())
{
    m_guard.setRecorder([this](Door door, ShedReason reason, const std::string &detail) {
        record("client_refused",
               {{"for", nameOf(door)}, {"reason", nameOf(reason)}, {"detail", detail}});
    });
    m_relay.setCopyAge([this] { return m_sync.copyAge(BootClock::now()); });
    m_relay.setRequestEndedHandler(
        [this](const dispatch::RequestEnded &ended) { m_metrics.add(ended); });
    m_relay.setDecisionHandler([this](const dispatch::LogDecision &decision) {
        m_metrics.add(decision);
        record(decision.kind, {{"request", decision.callerId}, {"detail", decision.detail}});
    });
    m_relay.setCrashHandler(
        [this](const dispatch::PublishCrash &crash) { m_sync.storeWriter().publish(crash.note); });
    m_relay.setPartCrashHandler(
        [this](const dispatch::SharePartCrashes &effect) { sharePartCrashes(effect); });
    m_relay.setSchedulerHandler(
        [this](const scheduling::ToScheduler &message) { m_scheduling.send(message); });
    m_relay.setQuotaHandler(
        [this](const quotas::ToKeeper &message) { m_scheduling.send(message); });
    m_relay.setRateLimitHandler(
        [this](const ratelimits::ToRateLimiter &message) { m_scheduling.send(message); });
    m_relay.setNodeMessageHandler([this](const dispatch::SendToNode &effect) {
        m_scheduling.send(effect.to, effect.message);
    });
    m_relay.setOriginHandlers(
        [this](const dispatch::RecordStreamOrigins &effect) { m_origins.add(effect.records); },
        [this] {
            m_origins.read([this](std::optional<origins::StoredOrigins> found) {
                m_relay.post(dispatch::StoredOriginsRead {std::move(found)});
            });
        });
    m_relay.setPlainSchedulerHandler(
        [this](const slots::ToPlainScheduler &message) { m_scheduling.send(message); });
}

bool EdgeNode::start()
{
    const bool isListening =
        listenOn(m_settings.control,
                 [this](const std::string &address) { return m_controlServer.listenOn(address); })
        && listenOn(m_settings.callers,
                    [this](const std::string &address) { return m_relay.listenOn(address); })
        && (m_settings.scheduling.empty()
            || listenOn(
                m_settings.scheduling,
                [this](const std::string &address) { return m_scheduling.listenOn(address); }))
        && (m_settings.relay.empty()
            || listenOn(
                m_settings.relay,
                [this](const std::string &address) { return m_relay.listenForNodes(address); }))
        && (m_settings.metrics.empty()
            || listenOn(m_settings.metrics, [this](const std::string &address) {
                   return m_metricsServer.listenOn(address);
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
    event_add(m_timer.get(), &TickInterval);
    m_roster.setSelf(makeNodeEntry(m_settings));
    const timeval syncInterval {0, static_cast<suseconds_t>(StateSync::TickInterval.count())};
    event_add(m_syncTimer.get(), &syncInterval);
    m_sync.start(makeNodeEntry(m_settings));
    return true;
}

bool EdgeNode::listenOn(std::string &address, const Binder &bind)
{
    const auto bound = bind(address);
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
    const TimePoint now = steadyNow();
    m_leavingSince = now;
    m_roster.setLeaving();
    m_relay.beginLeaving();
    m_dispatcher.startDrain(now, now + m_settings.shutdownTimeout - ShutdownMargin);
    m_sync.storeWriter().leave();
    record("leave",
           {{"open_requests", std::to_string(m_dispatcher.open())},
            {"busy_tunnels", std::to_string(m_relay.tunnels().busyTunnels(now))}});
}

void EdgeNode::reload(const EdgeSettings &settings)
{
    m_settings.peers = settings.peers;
    m_settings.nodeListTtl = settings.nodeListTtl;
    record("reload", {{"peers", std::to_string(settings.peers.size())}});
}

bool EdgeNode::isReady() const
{
    return !m_leavingSince && m_dispatcher.routes() && m_sync.isKnown();
}

std::vector<std::string> EdgeNode::callerAddresses(std::size_t maxCount)
{
    return m_roster.callerAddresses(steadyNow(), maxCount, m_random());
}

StateSync::Dependencies EdgeNode::syncDependencies(EdgeNode &node, HttpClient &client,
                                                   const StoreLayout &layout)
{
    StateSync::Dependencies dependencies;
    dependencies.self = makeNodeEntry(node.m_settings);
    dependencies.record = [&node](const std::string &kind, const std::string &detail) {
        node.record(kind, {{"detail", detail}});
    };
    dependencies.storeWriter = {layout.nodesPrefix + node.m_settings.node.text(),
                                layout.ordersLeaderKey,
                                layout.ordersRecordKey,
                                layout.crashesPrefix,
                                dependencies.record,
                                steadyNow};
    dependencies.ignoredPrefix = layout.batchesPrefix;
    dependencies.maxCopyAge = maxCopyAge(node.m_settings);
    dependencies.itemChanged = [&node](const std::string &key, const StoredItem *item) {
        node.handleStoreChange(key, item);
    };
    dependencies.roster = [&node]() -> const NodeDirectory & {
        node.m_roster.purgeWithdrawn(steadyNow());
        return node.m_roster;
    };
    dependencies.seeds = [&node] {
        return node.seeds();
    };
    dependencies.isSeed = [&node] {
        return std::ranges::find(node.m_settings.peers, node.m_settings.control)
            != node.m_settings.peers.end();
    };
    dependencies.needsShortLease = [&node] {
        return node.m_scheduler && node.m_scheduler->name == node.m_settings.node;
    };
    dependencies.linkBytesPerSecond = node.m_settings.linkBytesPerSecond;
    dependencies.startPeerCall = [&client](HttpCall call, HttpClient::DoneHandler done) {
        client.start(std::move(call), std::move(done));
    };
    dependencies.now = steadyNow;
    dependencies.bootNow = BootClock::now;
    dependencies.replyToPeer = [&node](ExchangeNumber exchange, const std::string &body) {
        constexpr int Ok = 200;
        constexpr int ServiceUnavailable = 503;
        node.m_controlServer.reply(exchange, body.empty() ? ServiceUnavailable : Ok,
                                   {{"Content-Type", "application/octet-stream"}}, body);
    };
    return dependencies;
}

OriginStore::Dependencies EdgeNode::originStoreDependencies(EdgeNode &node,
                                                            const StoreLayout &layout)
{
    return {layout.originsPrefix,
            layout.versionsPrefix,
            layout.batchesPrefix,
            node.m_settings.node.text() + "/" + std::to_string(node.m_incarnation.value()),
            [&node](const std::string &kind, const std::string &detail) {
                node.record(kind, {{"detail", detail}});
            },
            steadyNow};
}

void EdgeNode::startOriginCalls()
{
    if (!m_sync.isKnown()) {
        return;
    }
    m_origins.startDueCalls(m_dispatcher.versionNotes().patience());
    if (m_leavingSince || !m_sync.isCurrent()) {
        return; // What looks as if it had gone may only be missing in an old copy.
    }
    const auto notes = m_dispatcher.dueVersionNotes(steadyNow(), versionNoteDelay());
    if (!notes.empty()) {
        m_origins.write(notes);
    }
}

Duration EdgeNode::versionNoteDelay() const
{
    const StoreWriter &writer = m_sync.storeWriter();
    if (writer.holdsOrderRight()) {
        return Duration(0);
    }
    return writer.status().isWatcher ? WatcherNoteDelay : OtherNoteDelay + m_noteDelay;
}

SchedulingEndpoint::Dependencies EdgeNode::schedulingDependencies(EdgeNode &node)
{
    SchedulingEndpoint::Dependencies dependencies;
    const EdgeSettings &settings = node.m_settings;
    dependencies.quotaBounds = {settings.quotaWindow, settings.quotaOverRatio, settings.quotaSlack};
    dependencies.schedulerAddress = [&node] {
        return node.m_scheduler ? std::optional(node.m_scheduler->schedulingAddress) : std::nullopt;
    };
    dependencies.view = [&node]() -> std::optional<scheduling::EngineScheduler::View> {
        const RouteTable *routes = node.m_dispatcher.routes();
        if (!routes) {
            return std::nullopt;
        }
        return scheduling::EngineScheduler::View {node.m_dispatcher.servers(), *routes,
                                                  node.isStoreStale()};
    };
    dependencies.nodeCount = [&node] {
        return node.m_roster.count(steadyNow());
    };
    dependencies.nodeAddresses = [&node] {
        std::vector<DatagramAddress> addresses;
        for (const NodeEntry *member : node.m_roster.members()) {
            if (!member->schedulingAddress.empty()) {
                addresses.push_back(member->schedulingAddress);
            }
        }
        return addresses;
    };
    dependencies.deliver = [&node](const dispatch::DispatchEvent &answer) {
        node.m_relay.post(answer);
    };
    dependencies.record = [&node](const std::string &kind, const std::string &detail) {
        node.record(kind, {{"detail", detail}});
    };
    return dependencies;
}

void EdgeNode::updateScheduler(TimePoint now)
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

void EdgeNode::updateNodes(TimePoint now)
{
    if (!m_sync.isKnown() || m_appliedNodeChanges == m_roster.changes()) {
        return;
    }
    m_appliedNodeChanges = m_roster.changes();
    std::vector<RelayNode> relays;
    std::vector<origins::Holder> holders;
    std::optional<origins::Holder> self;
    std::map<NodeName, DatagramAddress> addresses;
    for (const NodeEntry *node : m_roster.members()) {
        if (node->name == m_settings.node) {
            self = origins::Holder {node->name, node->domain, node->announcedAt};
            continue;
        }
        if (!node->relayAddress.empty()) {
            relays.push_back({node->name, node->relayAddress, node->framesRelayed});
        }
        if (!node->schedulingAddress.empty()) {
            holders.push_back({node->name, node->domain, node->announcedAt});
            addresses.emplace(node->name, node->schedulingAddress);
        }
    }
    m_relay.setRelays(relays, now);
    m_scheduling.setNodeAddresses(std::move(addresses));
    m_dispatcher.setOriginHolders(now, holders, self);
}

void EdgeNode::handleStoreChange(const std::string &key, const StoredItem *item)
{
    if (key == m_adapters.layout.routingKey) {
        if (item) {
            applyRouting(item->value);
        }
    } else if (key.starts_with(m_adapters.layout.serversPrefix)) {
        applyServerChange(key, item ? &item->value : nullptr);
    } else if (key.starts_with(m_adapters.layout.nodesPrefix)) {
        applyNodeChange(key, item);
    } else if (key.starts_with(m_adapters.layout.versionsPrefix)) {
        m_dispatcher.applyVersionNote(key, item ? &item->value : nullptr,
                                      item ? item->revision : 0);
    } else if (isPartCrashKey(m_adapters.layout.crashesPrefix, key)) {
        if (item) {
            applyPartCrashes(item->value);
        }
    } else if (const auto note = parseCrashKey(m_adapters.layout.crashesPrefix, key)) {
        // An expired note needs no handling: the node's own crash records expire as early.
        if (item) {
            applyCrashNote(*note, item->revision);
        }
    }
}

void EdgeNode::applyCrashNote(const CrashNote &note, std::uint64_t revision)
{
    if (!m_dispatcher.crashRecorded(note, revision, steadyNow())) {
        return;
    }
    record("content_refused",
           {{"content", note.content.text()},
            {"refused", note.count > 0 ? "yes" : "no"},
            {"crashes", std::to_string(m_dispatcher.crashes().crashCount(note.content))},
            {"revision", std::to_string(revision)}});
}

void EdgeNode::applyPartCrashes(const std::string &value)
{
    const auto note = crashes::readPartCrashItem(value);
    if (!note) {
        record("part_crashes_unreadable", {{"bytes", std::to_string(value.size())}});
        return;
    }
    if (m_dispatcher.partCrashStored(*note, steadyNow())) {
        record("part_crashes_heard", {{"detail", "from=store" + dispatch::partsText({*note})}});
        m_relay.checkDeadlines(); // Requests that are refused now must not be sent.
    }
}

void EdgeNode::sharePartCrashes(const dispatch::SharePartCrashes &effect)
{
    m_scheduling.spread(effect.notes);
    if (!effect.isForStore) {
        return;
    }
    for (const PartCrashNote &note : effect.notes) {
        m_sync.storeWriter().publish(note);
    }
}

void EdgeNode::sendRefusedPartsTo(const NodeEntry &node)
{
    constexpr std::uint32_t ReportingNodes = 8;
    const auto notes = m_dispatcher.crashingParts().records().refusedParts(steadyNow());
    const std::uint32_t nodes = std::max(1U, m_roster.count(steadyNow()));
    if (!notes.empty() && m_random() % nodes < ReportingNodes) {
        m_scheduling.sendTo(node.schedulingAddress, notes);
    }
}

void EdgeNode::applyRouting(const std::string &value)
{
    auto decoded = m_adapters.codec->decodeRouting(value);
    if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
        record("routing_unreadable", {{"fault", fault->reason}});
        return;
    }
    auto &state = std::get<RoutingState>(decoded);
    const RouteTable *old = m_dispatcher.routes();
    record("routing",
           {{"version", std::to_string(state.version)},
            {"before", old ? std::to_string(old->version()) : "none"},
            {"routes", std::to_string(state.routes.size())},
            {"organisations", std::to_string(state.organisations.size())}});
    recordOrganisationChanges(state, old);
    m_relay.setLimits(state.limits);
    m_dispatcher.setRoutes(std::make_shared<const RouteTable>(std::move(state)));
}

void EdgeNode::recordOrganisationChanges(const RoutingState &state, const RouteTable *old)
{
    for (const Organisation &one : state.organisations) {
        const Organisation *before = old ? old->organisation(one.name) : nullptr;
        if (!before || *before == one) {
            continue; // The "routing" line counts the organisations of the first copy.
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

void EdgeNode::applyServerChange(const std::string &key, const std::string *value)
{
    const std::string instance = key.substr(m_adapters.layout.serversPrefix.size());
    const ServerName known = m_dispatcher.servers().nameOf(instance);
    if (!value) {
        m_dispatcher.withdraw(known, steadyNow());
        record("server_vanished", {{"server", known.text()}, {"instance", instance}});
        return;
    }
    auto decoded = m_adapters.codec->decodeServer(instance, *value);
    if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
        // An unreadable item gives no address to send requests to.
        m_dispatcher.remove(known);
        record("server_unreadable",
               {{"instance", instance}, {"before", known.text()}, {"fault", fault->reason}});
        return;
    }
    auto &server = std::get<AnnouncedServer>(decoded);
    const AnnouncedServer *before = m_dispatcher.servers().find(server.name);
    if (m_sync.isKnown() && (!before || !(*before == server))) {
        record("server",
               {{"server", server.name.text()},
                {"before", known.text()},
                {"service", server.service.text()},
                {"version", server.version},
                {"address", server.address},
                {"draining", server.isDraining ? "yes" : "no"}});
    }
    m_dispatcher.announce(std::move(server));
}

void EdgeNode::applyNodeChange(const std::string &key, const StoredItem *item)
{
    if (!item) {
        m_roster.withdraw(key, steadyNow());
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
    if (!entry->schedulingAddress.empty()) {
        m_scheduling.sendLimitsTo(entry->schedulingAddress);
        sendRefusedPartsTo(*entry);
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
        m_sync.handlePeerPoll(request);
    } else {
        m_controlServer.reply(request.exchange, NotFound, {}, "");
    }
}

void EdgeNode::handleMetrics(const HttpRequest &request)
{
    constexpr int Ok = 200;
    constexpr int NotFound = 404;
    if (request.path != "/metrics") {
        m_metricsServer.reply(request.exchange, NotFound, {}, "");
        return;
    }
    m_metricsServer.reply(
        request.exchange, Ok, {{"Content-Type", "text/plain; version=0.0.4"}},
        nodeMetricsText({m_metrics, m_relay, m_dispatcher, m_scheduling, m_sync, m_origins,
                         m_roster, m_log, m_guard, m_leavingSince.has_value()},
                        steadyNow()));
}

void EdgeNode::tick()
{
    const TimePoint now = steadyNow();
    m_relay.recordTick(BootClock::now());
    recordFirstCopy();
    recordCopyFreshness();
    detectSuspension(now);
    updateScheduler(now);
    updateNodes(now);
    m_dispatcher.setOrderRight(m_sync.storeWriter().holdsOrderRight());
    if (m_dispatcher.wantsOrderToken()) {
        m_sync.storeWriter().prepareOrders();
    }
    m_dispatcher.setOrderToken(m_sync.storeWriter().orderToken(now));
    if (m_sync.isKnown()) {
        m_dispatcher.setNodes(m_roster.count(now), now);
    }
    m_dispatcher.setCopyAge(m_sync.contactAge(BootClock::now()));
    m_relay.checkDeadlines();
    m_guard.returnUnusedMemory();
    recordStoreCallCounts(now);
    stopWhenDrained(now);
}

void EdgeNode::recordFirstCopy()
{
    if (m_hasFirstCopy || !m_sync.isKnown()) {
        return;
    }
    m_hasFirstCopy = true;
    record("first_copy",
           {{"as_of", std::to_string(m_sync.asOf())},
            {"nodes", std::to_string(m_roster.members().size())},
            {"servers", std::to_string(m_dispatcher.servers().size())}});
}

void EdgeNode::recordCopyFreshness()
{
    const auto maxAge = maxCopyAge(m_settings);
    if (!maxAge) {
        return;
    }
    const auto age = m_sync.copyAge(BootClock::now());
    const bool isFresh = isFreshEnough(age, maxAge);
    if (isFresh == m_isCopyFresh) {
        return;
    }
    m_isCopyFresh = isFresh;
    record(isFresh ? "copy_proven" : "copy_too_old",
           {{"age_ms", age ? dispatch::millisecondsText(*age) : "-"},
            {"most_ms", dispatch::millisecondsText(*maxAge)},
            {"as_of", std::to_string(m_sync.asOf())}});
}

bool EdgeNode::isStoreStale() const
{
    if (m_sync.storeWriter().isStoreUnreachable()) {
        return true;
    }
    const auto maxAge = maxCopyAge(m_settings);
    return maxAge
        && !isFreshEnough(m_sync.copyAge(BootClock::now()),
                          std::chrono::duration_cast<Duration>(*maxAge * MaxFreshAgeShare));
}

void EdgeNode::recordStoreCallCounts(TimePoint now)
{
    if (now < m_storeCallsLoggedAt + StoreCallsLogInterval) {
        return;
    }
    m_storeCallsLoggedAt = now;
    const StoreCallCounts &calls = m_sync.storeCallCounts();
    record("store_calls",
           {{"lists", std::to_string(calls.lists)},
            {"watches", std::to_string(calls.watches)},
            {"leases", std::to_string(calls.leases)},
            {"renewals", std::to_string(calls.renewals)},
            {"writes", std::to_string(calls.writes)},
            {"proofs", std::to_string(calls.proofs)}});
}

void EdgeNode::detectSuspension(TimePoint now)
{
    // The steady clock does not advance while the VM is suspended, but does while the process is
    // stopped: the first shows as a difference to the boot clock, the second as a late tick.
    const Duration suspended = suspendedTime();
    const Duration late = m_lastTick == TimePoint {} ? Duration(0) : now - m_lastTick;
    const Duration pause = std::max(suspended - m_suspendedTime, late - MaxTickDelay);
    if (pause > MinReportedSuspension) {
        record("woke", {{"stood_still_ms", dispatch::millisecondsText(pause)}});
        m_sync.handleSuspension(now);
    }
    m_suspendedTime = suspended;
    m_lastTick = now;
}

void EdgeNode::stopWhenDrained(TimePoint now)
{
    if (!m_leavingSince) {
        return;
    }
    const std::size_t busyTunnels = m_relay.tunnels().busyTunnels(now);
    const std::size_t unwritten = m_relay.callers().unwrittenAnswers();
    const bool isDone = m_relay.callers().openRequests() == 0 && unwritten == 0 && busyTunnels == 0;
    const bool isTimeUp = now > *m_leavingSince + m_settings.shutdownTimeout - ExitMargin;
    if ((isDone && now > *m_leavingSince + MinLeaveTime) || isTimeUp) {
        record("stop",
               {{"open_requests", std::to_string(m_dispatcher.open())},
                {"unwritten_answers", std::to_string(unwritten)},
                {"busy_tunnels", std::to_string(busyTunnels)}});
        event_base_loopbreak(m_base);
    }
}

void EdgeNode::record(const std::string &kind, const std::vector<LogField> &fields)
{
    m_log.write(steadyNow(), kind, fields);
}

} // namespace indigoway
