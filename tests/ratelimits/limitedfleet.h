#pragma once

#include "dispatch/dispatcher.h"
#include "ratelimits/ratelimiter.h"
#include "scheduling/enginescheduler.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace indigoway::dispatch {

/**
 * Simulates the dispatchers of several nodes in virtual time, with backend servers that announce
 * request rate limits in their answers.
 */
class LimitedFleet
{
public:
    struct Settings
    {
        std::size_t nodes = 7;
        std::size_t servers = 3;
        double requestsPerSecond = 25; ///< Of all callers, at random nodes.
        bool isGeneration = false;     ///< The servers are engines; the even ones prefill.
        double lossRate = 0;           ///< Fraction of lost datagrams.
        std::uint64_t seed = 1;
    };

    explicit LimitedFleet(const Settings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_routes(makeRoutes())
    {
        m_servers.resize(settings.servers);
        m_nodes.resize(settings.nodes);
        for (std::size_t node = 0; node < settings.nodes; ++node) {
            start(node);
        }
        setSchedulingNode(0);
        scheduleArrival();
    }

    TimePoint now() const { return m_now; }
    std::size_t served() const { return m_served; }
    std::size_t refused() const { return m_refused; }
    std::size_t failed() const { return m_failed; }
    std::size_t arrivals(std::size_t server) const { return m_servers[server].arrivals.size(); }
    std::size_t datagrams() const { return m_datagrams; }
    Dispatcher &dispatcher(std::size_t node) { return *m_nodes[node].dispatcher; }

    /** Makes all nodes use @p node as their scheduler and rate limiter, or none. */
    void setSchedulingNode(std::optional<std::size_t> node)
    {
        m_schedulingNode = node;
        for (Node &one : m_nodes) {
            setSchedulerOf(one);
        }
    }
    /** Lets the scheduling node receive nothing, while the others still consider it alive. */
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    static ServerName serverName(std::size_t index)
    {
        return ServerName("s" + std::to_string(index));
    }

    /** Starts a new process on @p node. */
    void start(std::size_t node)
    {
        Node &one = m_nodes[node];
        ++one.life;
        one.dispatcher = std::make_unique<Dispatcher>(
            DispatchSettings {DomainName("d1"), RetryBudgetSettings {}}, m_now);
        one.dispatcher->setRoutes(m_routes);
        for (std::size_t server = 0; server < m_servers.size(); ++server) {
            one.dispatcher->announce(announced(server));
            m_servers[server].toldAt.erase(node);
        }
        one.dispatcher->setNodes(static_cast<std::uint32_t>(m_nodes.size()), m_now);
        one.scheduler = {};
        one.limiter = {};
        setSchedulerOf(one);
        constexpr Duration EntryDelay = std::chrono::milliseconds(300);
        at(m_now + EntryDelay, [this, node] { sendLimitsTo(node); });
    }

    /** Removes the entry of @p server from the store. */
    void withdraw(std::size_t server)
    {
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            m_nodes[node].dispatcher->withdraw(serverName(server), m_now);
            later(node, ServerDirectory::LastResortTime,
                  [this, node] { reduce(node, TimePassed {}); });
        }
    }
    void announce(std::size_t server)
    {
        for (Node &node : m_nodes) {
            node.dispatcher->announce(announced(server));
        }
    }

    /** Announces the limit in the answers of @p server from now on; nothing to end it. */
    void setLimit(std::size_t server, std::optional<double> perSecond)
    {
        m_servers[server].limit = perSecond;
        m_servers[server].limitedSince = m_now;
        m_servers[server].toldAt.clear();
    }

    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (!m_queue.empty() && m_queue.begin()->first <= end) {
            const auto event = m_queue.extract(m_queue.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

    /**
     * Returns the largest number of requests that reached @p server within four seconds from nodes
     * that had known its limit for half a second.
     */
    std::size_t mostInWindow(std::size_t server) const
    {
        return mostInWindow(m_servers[server].informedArrivals);
    }

    /** As mostInWindow(), but counts all nodes and starts three seconds after the announcement. */
    std::size_t mostOfAllInWindow(std::size_t server) const
    {
        constexpr Duration Settling = std::chrono::seconds(3);
        const Server &one = m_servers[server];
        const auto first = std::ranges::lower_bound(one.arrivals, one.limitedSince + Settling);
        return mostInWindow({first, one.arrivals.end()});
    }

    static std::size_t mostInWindow(const std::vector<TimePoint> &times)
    {
        constexpr Duration Window = std::chrono::seconds(4);
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[first] + Window < times[last]) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    /** Returns how many requests the server's limit allows within four seconds. */
    static std::size_t allowedInWindow(double perSecond)
    {
        return static_cast<std::size_t>(1.5 * 4 * perSecond + 5);
    }

private:
    struct Node
    {
        std::unique_ptr<Dispatcher> dispatcher;
        std::uint64_t life = 0; ///< Changes with each start; earlier answers are dropped.
        std::optional<TimePoint> wakeAt;
        scheduling::EngineScheduler scheduler;
        ratelimits::RateLimiter limiter;
    };
    struct Server
    {
        std::optional<double> limit;
        TimePoint limitedSince {};
        std::map<std::size_t, TimePoint> toldAt; ///< Nodes that got an answer with the limit.
        std::vector<TimePoint> arrivals;
        std::vector<TimePoint> informedArrivals; ///< From nodes that had known the limit.
    };

    static constexpr Duration Latency = std::chrono::milliseconds(2);

    std::shared_ptr<const RouteTable> makeRoutes() const
    {
        Route route;
        route.name = RouteName("route");
        route.host = "host";
        route.prefix = "/";
        route.shares = {{ServiceName("service"), 1}};
        route.isStream = m_settings.isGeneration;
        route.repetition =
            m_settings.isGeneration ? Repetition::AtMostOnce : Repetition::Idempotent;
        route.maxAttempts = m_settings.isGeneration ? 1 : 2;
        route.target = std::chrono::milliseconds(m_settings.isGeneration ? 900 : 150);
        route.timeout = std::chrono::seconds(m_settings.isGeneration ? 14 : 1);
        Service service;
        service.name = ServiceName("service");
        if (m_settings.isGeneration) {
            service.engine = EngineTraits {64, 50'000, std::chrono::milliseconds(500),
                                           std::chrono::milliseconds(2000)};
        }
        RoutingState state;
        state.version = 1;
        state.routes = {route};
        state.services[service.name] = service;
        return std::make_shared<const RouteTable>(std::move(state));
    }

    AnnouncedServer announced(std::size_t index) const
    {
        AnnouncedServer server;
        server.name = serverName(index);
        server.instance = server.name.text();
        server.service = ServiceName("service");
        server.address = server.name.text() + ":80";
        server.domain = DomainName("d1");
        server.slots = 64;
        if (m_settings.isGeneration) {
            server.phase = index % 2 == 0 ? EnginePhase::Prefill : EnginePhase::Decode;
        }
        return server;
    }

    void setSchedulerOf(Node &node) const
    {
        node.dispatcher->setScheduler(m_schedulingNode ? std::optional(nodeName(*m_schedulingNode))
                                                       : std::nullopt);
    }

    /** Runs @p action at the other end of the network unless the datagram is lost. */
    void sendDatagram(std::function<void()> action)
    {
        ++m_datagrams;
        if (!std::bernoulli_distribution(m_settings.lossRate)(m_random)) {
            at(m_now + Latency, std::move(action));
        }
    }

    bool isSchedulingNodeReachable() const { return m_schedulingNode && !m_isSilent; }

    void at(TimePoint time, std::function<void()> action)
    {
        m_queue.emplace(time, std::move(action));
    }

    /** Runs @p action after @p delay unless the process of @p node has been restarted. */
    void later(std::size_t node, Duration delay, std::function<void()> action)
    {
        at(m_now + delay, [this, node, life = m_nodes[node].life, action = std::move(action)] {
            if (m_nodes[node].life == life) {
                action();
            }
        });
    }

    std::size_t randomBelow(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    void scheduleArrival()
    {
        const double seconds =
            std::exponential_distribution<>(m_settings.requestsPerSecond)(m_random);
        const auto wait =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        at(m_now + wait, [this] {
            arrive(randomBelow(m_nodes.size()));
            scheduleArrival();
        });
    }

    void arrive(std::size_t node)
    {
        ArrivedRequest request;
        request.request = RequestNumber(++m_lastRequest);
        request.callerId = "c" + std::to_string(m_lastRequest);
        request.content = ContentId(request.callerId);
        request.host = "host";
        request.path = "/x";
        request.patience = std::chrono::seconds(m_settings.isGeneration ? 14 : 1);
        request.promptTokens = m_settings.isGeneration ? 500 : 0;
        request.maxOutputTokens = m_settings.isGeneration ? 50 : 0;
        reduce(node, request);
    }

    void reduce(std::size_t node, const DispatchEvent &event)
    {
        const DispatchEffects effects = m_nodes[node].dispatcher->reduce(m_now, m_random(), event);
        for (const DispatchEffect &effect : effects) {
            std::visit([&](const auto &one) { run(node, one); }, effect);
        }
        const auto next = m_nodes[node].dispatcher->nextDeadline();
        if (!next || (m_nodes[node].wakeAt && *m_nodes[node].wakeAt <= *next)) {
            return;
        }
        m_nodes[node].wakeAt = next;
        later(node, std::max(Duration(1), Duration(*next - m_now)), [this, node] {
            m_nodes[node].wakeAt.reset();
            reduce(node, TimePassed {});
        });
    }

    template <typename Effect>
    void run(std::size_t /*node*/, const Effect & /*effect*/)
    { }

    void run(std::size_t /*node*/, const DeliverAnswer & /*effect*/) { ++m_served; }
    void run(std::size_t /*node*/, const EndStream & /*effect*/) { ++m_served; }
    void run(std::size_t /*node*/, const BreakStream & /*effect*/) { ++m_failed; }
    void run(std::size_t /*node*/, const RejectRequest &effect)
    {
        ++(effect.retryAfter ? m_refused : m_failed);
    }

    void run(std::size_t node, const StartCall &call)
    {
        later(node, Latency, [this, node, call] { reachServer(node, call); });
    }

    void run(std::size_t node, const SendToScheduler &effect)
    {
        sendDatagram([this, node, life = m_nodes[node].life, message = effect.message] {
            if (!isSchedulingNodeReachable()) {
                return;
            }
            Node &receiver = m_nodes[*m_schedulingNode];
            const scheduling::EngineScheduler::View view {receiver.dispatcher->servers(),
                                                          *m_routes};
            const NodeLife from {nodeName(node), Incarnation(life)};
            for (const auto &reply : receiver.scheduler.handle(m_now, view, from, message)) {
                deliver(reply);
            }
        });
    }

    void deliver(const scheduling::SchedulerReply &reply)
    {
        const std::size_t node = std::stoul(reply.to.node.text().substr(1));
        const Incarnation scheduler(m_nodes[*m_schedulingNode].life);
        sendDatagram([this, node, scheduler, message = reply.message] {
            reduce(node, SchedulerAnswered {message, scheduler});
        });
    }

    void run(std::size_t node, const SendToRateLimiter &effect)
    {
        sendDatagram([this, node, life = m_nodes[node].life, message = effect.message] {
            if (!isSchedulingNodeReachable()) {
                return;
            }
            const NodeLife from {nodeName(node), Incarnation(life)};
            scheduleNotice();
            const auto answer = m_nodes[*m_schedulingNode].limiter.handle(m_now, from, message);
            if (answer) {
                sendDatagram([this, node, life, answer] {
                    if (m_nodes[node].life == life) {
                        reduce(node, RateLimiterAnswered {*answer});
                    }
                });
            }
        });
    }

    /** The scheduling node has seen the entry of a process that has started. */
    void sendLimitsTo(std::size_t node)
    {
        if (!isSchedulingNodeReachable()) {
            return;
        }
        for (const auto &notice : m_nodes[*m_schedulingNode].limiter.currentLimits(m_now)) {
            sendNotice(node, notice);
        }
    }

    void sendNotice(std::size_t node, const ratelimits::LimitNotice &notice)
    {
        sendDatagram([this, node, life = m_nodes[node].life, notice] {
            if (m_nodes[node].life == life) {
                reduce(node, RateLimiterAnswered {notice});
            }
        });
    }

    void scheduleNotice()
    {
        if (std::exchange(m_isNoticeScheduled, true)) {
            return;
        }
        at(m_now + std::chrono::milliseconds(200), [this] {
            m_isNoticeScheduled = false;
            const auto notice = isSchedulingNodeReachable()
                ? m_nodes[*m_schedulingNode].limiter.takeNotice(m_now)
                : std::nullopt;
            for (std::size_t node = 0; notice && node < m_nodes.size(); ++node) {
                sendNotice(node, *notice);
            }
        });
    }

    static NodeName nodeName(std::size_t node) { return NodeName("n" + std::to_string(node)); }

    void reachServer(std::size_t node, const StartCall &call)
    {
        const std::size_t index = std::stoul(call.server.text().substr(1));
        Server &server = m_servers[index];
        if (carriesRequest(call.kind)) {
            constexpr Duration Informed = std::chrono::milliseconds(500);
            server.arrivals.push_back(m_now);
            const auto told = server.toldAt.find(node);
            if (told != server.toldAt.end() && told->second + Informed <= m_now) {
                server.informedArrivals.push_back(m_now);
            }
        }
        constexpr Duration ControlTime = std::chrono::milliseconds(1);
        constexpr Duration AnswerTime = std::chrono::milliseconds(30);
        later(node, carriesRequest(call.kind) ? AnswerTime : ControlTime,
              [this, node, index, call] { answer(node, index, call); });
    }

    void answer(std::size_t node, std::size_t index, const StartCall &call)
    {
        Server &server = m_servers[index];
        const ServerAdvice advice {server.limit};
        later(node, Latency, [this, node, index, call, advice] {
            if (advice.requestsPerSecond) {
                m_servers[index].toldAt.try_emplace(node, m_now);
            }
            if (call.kind == CallKind::Decode || call.kind == CallKind::Whole) {
                reduce(node, StreamStarted {call.call, 200, {}, advice});
                later(node, std::chrono::milliseconds(300),
                      [this, node, call] { endCall(node, call, {}); });
            } else {
                endCall(node, call, advice);
            }
        });
    }

    void endCall(std::size_t node, const StartCall &call, std::optional<ServerAdvice> advice)
    {
        CallEnded ended;
        ended.call = call.call;
        ended.end = CallEnd::Complete;
        ended.status = 200;
        ended.advice = advice;
        ended.reservation = call.kind == CallKind::Reserve ? "r" : "";
        ended.handle = call.kind == CallKind::Prefill ? "h" : "";
        reduce(node, ended);
    }

    Settings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now = TimePoint {} + std::chrono::hours(1);
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::shared_ptr<const RouteTable> m_routes;
    std::vector<Node> m_nodes;
    std::optional<std::size_t> m_schedulingNode;
    bool m_isSilent = false;
    bool m_isNoticeScheduled = false;
    std::size_t m_datagrams = 0;
    std::vector<Server> m_servers;
    std::uint64_t m_lastRequest = 0;
    std::size_t m_served = 0;
    std::size_t m_refused = 0;
    std::size_t m_failed = 0;
};

} // namespace indigoway::dispatch
