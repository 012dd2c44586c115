#pragma once

#include "dispatch/dispatcher.h"
#include "slots/plainscheduler.h"
#include "slots/slotcodec.h"

#include "core/jsontext.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace indigoway::dispatch {

/**
 * Simulates the dispatchers of many nodes in virtual time, with a few plain servers whose speed
 * changes several times a second.
 */
class PlainFleet
{
public:
    /** What servers report in their answers, and whether a node schedules them. */
    enum class Mode {
        Unread,       ///< No load, as before the fourth figure was read.
        Local,        ///< Four figures; each node chooses by itself.
        Scheduled,    ///< Four figures and a scheduling node.
        ThreeFigures, ///< Three figures and a scheduling node.
    };

    struct Settings
    {
        Mode mode = Mode::Scheduled;
        std::size_t nodes = 73;
        std::size_t servers = 4;
        double lossRate = 0; ///< Fraction of lost datagrams.
        std::uint64_t seed = 1;
        std::uint32_t slots = 6;
        /** Requests that a server holds beyond its slots before it rejects others. */
        std::uint32_t queue = 6;
    };

    struct Counts
    {
        std::size_t requests = 0;
        std::size_t onTime = 0;
        std::size_t late = 0;
        std::size_t refused = 0; ///< Rejected by the node with a Retry-After.
        std::size_t failed = 0;
        /** Requests on the route that may run once only, and those of them within the target. */
        std::size_t once = 0;
        std::size_t onceOnTime = 0;
        std::size_t refusedAfterWait = 0; ///< Refused more than half a second after the arrival.
        double onceMissed() const
        {
            return once == 0 ? 0 : 1 - static_cast<double>(onceOnTime) / static_cast<double>(once);
        }
        double share() const
        {
            return requests == 0 ? 1 : static_cast<double>(onTime) / static_cast<double>(requests);
        }
    };

    explicit PlainFleet(const Settings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_routes(makeRoutes())
        , m_servers(settings.servers)
        , m_nodes(settings.nodes)
    {
        for (std::size_t node = 0; node < settings.nodes; ++node) {
            start(node);
        }
        setSchedulingNode(settings.mode == Mode::Scheduled || settings.mode == Mode::ThreeFigures
                              ? std::optional<std::size_t>(0)
                              : std::nullopt);
        scheduleArrival();
    }

    TimePoint now() const { return m_now; }
    std::size_t datagrams() const { return m_datagrams; }
    std::size_t datagramBytes() const { return m_datagramBytes; }
    std::size_t largestDatagram() const { return m_largestDatagram; }
    std::size_t arrivals() const { return m_arrivals; }
    std::size_t arrivals(std::size_t server) const { return m_servers[server].arrivals; }
    std::size_t rejections() const { return m_rejections; }
    std::size_t openRequests() const { return m_requests.size(); }
    Counts counts() const
    {
        Counts sum;
        for (const auto &[second, one] : m_seconds) {
            add(sum, one);
        }
        return sum;
    }
    /** Returns the counts of requests that arrived within @p duration from @p start on. */
    Counts countsOf(Duration start, Duration duration) const
    {
        Counts sum;
        for (const auto &[second, one] : m_seconds) {
            if (second >= start && second < start + duration) {
                add(sum, one);
            }
        }
        return sum;
    }
    /** Returns the least share of answers within the target in any second. */
    double worstSecond() const
    {
        double worst = 1;
        for (const auto &[second, one] : m_seconds) {
            worst = one.requests < 20 ? worst : std::min(worst, one.share());
        }
        return worst;
    }
    const slots::PlainScheduler &scheduler(std::size_t node) const
    {
        return m_nodes[node].scheduler;
    }

    void setRate(double requestsPerSecond) { m_rate = requestsPerSecond; }
    /** Sets the fraction of requests that @p server answers with an error of its own. */
    void setFailures(std::size_t server, double rate) { m_servers[server].failureRate = rate; }
    /** Lets @p server report these figures instead of its own. */
    void setReport(std::size_t server, std::optional<ServerLoad> load)
    {
        m_servers[server].falseReport = load;
    }
    /** Lets @p server report three figures only. */
    void setSpeedReported(std::size_t server, bool isReported)
    {
        m_servers[server].isSpeedReported = isReported;
    }
    /** Starts the next process of @p server at the same address; requests of the last are lost. */
    void restartServer(std::size_t index)
    {
        Server &server = m_servers[index];
        ++server.life;
        server.running = 0;
        server.waiting.clear();
        for (Node &node : m_nodes) {
            node.dispatcher->announce(announced(index));
        }
    }
    /** Announces that @p server is draining and gets no new requests. */
    void drainServer(std::size_t index)
    {
        m_servers[index].isDraining = true;
        for (Node &node : m_nodes) {
            node.dispatcher->announce(announced(index));
        }
    }

    void setSchedulingNode(std::optional<std::size_t> node)
    {
        m_schedulingNode = node;
        for (Node &one : m_nodes) {
            setSchedulerOf(one);
        }
    }
    /** Lets the scheduling node receive nothing, while the others still consider it alive. */
    void setSilent(bool isSilent) { m_isSilent = isSilent; }

    /** Starts a new process on @p node; the requests of the last one are lost. */
    void start(std::size_t node)
    {
        Node &one = m_nodes[node];
        ++one.life;
        std::erase_if(m_requests,
                      [node](const auto &request) { return request.second.node == node; });
        one.dispatcher = std::make_unique<Dispatcher>(
            DispatchSettings {domainOf(node), RetryBudgetSettings {}}, m_now);
        one.dispatcher->setRoutes(m_routes);
        for (std::size_t server = 0; server < m_servers.size(); ++server) {
            one.dispatcher->announce(announced(server));
        }
        one.dispatcher->setNodes(static_cast<std::uint32_t>(m_nodes.size()), m_now);
        one.scheduler = {};
        one.tickAt.reset();
        one.wakeAt.reset();
        setSchedulerOf(one);
    }

    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (!m_queue.empty() && m_queue.begin()->first <= end) {
            auto event = m_queue.extract(m_queue.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

    static NodeName nodeName(std::size_t node) { return NodeName("n" + std::to_string(node)); }

private:
    struct Node
    {
        std::unique_ptr<Dispatcher> dispatcher;
        std::uint64_t life = 0;
        std::optional<TimePoint> wakeAt;
        slots::PlainScheduler scheduler;
        std::optional<TimePoint> tickAt;
    };
    struct Job
    {
        std::size_t node = 0;
        CallNumber call;
        double workMilliseconds = 0;
    };
    struct Server
    {
        std::uint64_t life = 1;
        std::uint32_t running = 0;
        std::vector<Job> waiting;
        std::size_t arrivals = 0;
        double failureRate = 0;
        bool isSpeedReported = true;
        bool isDraining = false;
        std::optional<ServerLoad> falseReport;
    };
    struct Request
    {
        std::size_t node = 0;
        TimePoint arrived {};
        Duration target {};
        double workMilliseconds = 0;
        bool isOnce = false;
    };
    using RequestKey = std::pair<std::size_t, RequestNumber>;

    static constexpr std::size_t Domains = 3;

    static void add(Counts &sum, const Counts &one)
    {
        sum.requests += one.requests;
        sum.onTime += one.onTime;
        sum.late += one.late;
        sum.refused += one.refused;
        sum.failed += one.failed;
        sum.once += one.once;
        sum.onceOnTime += one.onceOnTime;
        sum.refusedAfterWait += one.refusedAfterWait;
    }

    static DomainName domainOf(std::size_t index)
    {
        return DomainName("d" + std::to_string(index % Domains));
    }
    static Duration latency(std::size_t from, std::size_t to)
    {
        return from % Domains == to % Domains ? Duration(100) : Duration(1400);
    }

    static Route makeRoute(const std::string &host, Repetition repetition, Duration target,
                           Duration timeout)
    {
        Route route;
        route.name = RouteName(host);
        route.host = host;
        route.prefix = "/";
        route.shares = {{ServiceName("service"), 1}};
        route.repetition = repetition;
        route.maxAttempts = repetition == Repetition::Idempotent ? 2 : 1;
        route.target = target;
        route.timeout = timeout;
        return route;
    }

    static std::shared_ptr<const RouteTable> makeRoutes()
    {
        Service service;
        service.name = ServiceName("service");
        RoutingState state;
        state.version = 1;
        state.routes = {makeRoute("short", Repetition::Idempotent, std::chrono::milliseconds(150),
                                  std::chrono::seconds(1)),
                        makeRoute("long", Repetition::AtMostOnce, std::chrono::milliseconds(300),
                                  std::chrono::seconds(4))};
        state.services[service.name] = service;
        return std::make_shared<const RouteTable>(std::move(state));
    }

    AnnouncedServer announced(std::size_t index) const
    {
        const Server &one = m_servers[index];
        AnnouncedServer server;
        server.instance = "s" + std::to_string(index);
        server.name = ServerName(server.instance + "@" + std::to_string(one.life));
        server.startedAt = one.life;
        server.service = ServiceName("service");
        server.address = server.instance + ":80";
        server.domain = domainOf(index);
        server.slots = m_settings.slots;
        server.isDraining = one.isDraining;
        return server;
    }

    void setSchedulerOf(Node &node) const
    {
        node.dispatcher->setScheduler(m_schedulingNode ? std::optional(nodeName(*m_schedulingNode))
                                                       : std::nullopt);
    }

    /** Returns a number that looks random for each @p value (SplitMix64). */
    static std::uint64_t mixed(std::uint64_t value)
    {
        value += 0x9e3779b97f4a7c15ULL;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

    /** Returns how long work takes at @p server in percent; a new speed each 250 ms on average. */
    std::uint32_t workPercent(std::size_t server, TimePoint time) const
    {
        constexpr Duration Segment = std::chrono::milliseconds(250);
        const auto segment = static_cast<std::uint64_t>(
            (time.time_since_epoch() + Duration(61'000 * server)) / Segment);
        const double fraction =
            static_cast<double>(mixed(m_settings.seed * 7919 + server * 104'729 + segment * 13)
                                >> 11U)
            / static_cast<double>(1ULL << 53U);
        return static_cast<std::uint32_t>(100 * std::pow(2.5, fraction));
    }

    /** Returns when work that starts now ends, with the speed changing meanwhile. */
    TimePoint endOfWork(std::size_t server, double milliseconds) const
    {
        constexpr Duration Part = std::chrono::milliseconds(1);
        TimePoint time = m_now;
        double left = milliseconds;
        while (left > 0) {
            left -= 100.0 / workPercent(server, time);
            time += Part;
        }
        return time;
    }

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
        const double seconds = std::exponential_distribution<>(m_rate)(m_random);
        const auto wait =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        at(m_now + wait, [this] {
            arrive(randomBelow(m_nodes.size()));
            scheduleArrival();
        });
    }

    void arrive(std::size_t node)
    {
        const bool isOnce = randomBelow(2) == 0;
        Request request;
        request.node = node;
        request.arrived = m_now;
        request.isOnce = isOnce;
        request.target = std::chrono::milliseconds(isOnce ? 300 : 150);
        request.workMilliseconds = isOnce ? 60 : 30;
        ArrivedRequest arrival;
        arrival.request = RequestNumber(++m_lastRequest);
        arrival.callerId = "c" + std::to_string(m_lastRequest);
        arrival.content = ContentId(arrival.callerId);
        arrival.host = isOnce ? "long" : "short";
        arrival.path = "/x";
        arrival.patience = std::chrono::seconds(isOnce ? 4 : 1);
        m_requests[{node, arrival.request}] = request;
        Counts &counts = countsAt(request.arrived);
        ++counts.requests;
        counts.once += isOnce ? 1 : 0;
        reduce(node, arrival);
    }

    Counts &countsAt(TimePoint time)
    {
        const Duration second =
            std::chrono::floor<std::chrono::seconds>(Duration(time.time_since_epoch()));
        return m_seconds[second];
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

    /** Counts the end of a request; an answer is a success if it has a status below 500. */
    void finish(std::size_t node, RequestNumber number, bool isAnswered, bool isRefused)
    {
        const auto it = m_requests.find({node, number});
        if (it == m_requests.end()) {
            return;
        }
        const Request request = it->second;
        m_requests.erase(it);
        Counts &counts = countsAt(request.arrived);
        if (!isAnswered) {
            ++(isRefused ? counts.refused : counts.failed);
            const bool hasWaited = m_now > request.arrived + std::chrono::milliseconds(500);
            counts.refusedAfterWait += isRefused && hasWaited ? 1 : 0;
            return;
        }
        const bool isOnTime = m_now <= request.arrived + request.target;
        ++(isOnTime ? counts.onTime : counts.late);
        counts.onceOnTime += isOnTime && request.isOnce ? 1 : 0;
    }

    void run(std::size_t node, const DeliverAnswer &effect)
    {
        finish(node, effect.request, m_statuses[{node, effect.call}] < 500, false);
    }
    void run(std::size_t node, const RejectRequest &effect)
    {
        finish(node, effect.request, false, effect.retryAfter.has_value());
    }

    void run(std::size_t node, const StartCall &call)
    {
        const auto request = m_requests.find({node, call.request});
        if (request == m_requests.end()) {
            return;
        }
        const std::size_t index = std::stoul(call.server.text().substr(1));
        const Job job {node, call.call, request->second.workMilliseconds};
        at(m_now + latency(node, index),
           [this, index, job, name = call.server] { reachServer(index, name, job); });
    }

    void run(std::size_t node, const SendToPlainScheduler &effect)
    {
        if (!m_schedulingNode) {
            return;
        }
        const std::size_t receiver = *m_schedulingNode;
        const slots::Datagram<slots::ToPlainScheduler> datagram {
            {nodeName(node), Incarnation(m_nodes[node].life)}, effect.message};
        sendDatagram(node, receiver, slots::encode(datagram), [this, receiver](const auto &value) {
            const auto read = slots::readToPlainScheduler(value);
            if (read && !m_isSilent) {
                reply(receiver,
                      m_nodes[receiver].scheduler.handle(m_now,
                                                         m_nodes[receiver].dispatcher->servers(),
                                                         read->from, read->message));
            }
        });
    }

    void reply(std::size_t scheduler, const slots::SlotReplies &replies)
    {
        for (const slots::SlotReply &one : replies) {
            const std::size_t node = std::stoul(one.to.node.text().substr(1));
            if (Incarnation(m_nodes[node].life) != one.to.incarnation) {
                continue;
            }
            const slots::Datagram<slots::FromPlainScheduler> datagram {
                {nodeName(scheduler), Incarnation(m_nodes[scheduler].life)}, one.message};
            sendDatagram(scheduler, node, slots::encode(datagram), [this, node](const auto &value) {
                const auto read = slots::readFromPlainScheduler(value);
                if (read) {
                    reduce(node, PlainSchedulerAnswered {read->message, read->from.incarnation});
                }
            });
        }
        armTick(scheduler);
    }

    void armTick(std::size_t scheduler)
    {
        Node &node = m_nodes[scheduler];
        const auto next = node.scheduler.nextTick();
        if (!next || (node.tickAt && *node.tickAt <= *next)) {
            return;
        }
        node.tickAt = next;
        later(scheduler, std::max(Duration(1), Duration(*next - m_now)), [this, scheduler, next] {
            Node &one = m_nodes[scheduler];
            if (one.tickAt != next) {
                return; // An earlier tick has replaced this one.
            }
            one.tickAt.reset();
            if (!m_isSilent) {
                reply(scheduler, one.scheduler.tick(m_now, one.dispatcher->servers()));
            }
        });
    }

    /** Delivers @p text at the other end unless the datagram is lost or the process is replaced. */
    void sendDatagram(std::size_t from, std::size_t to, const std::string &text,
                      std::function<void(const Json::Value &)> receive)
    {
        ++m_datagrams;
        m_datagramBytes += text.size();
        m_largestDatagram = std::max(m_largestDatagram, text.size());
        if (std::bernoulli_distribution(m_settings.lossRate)(m_random)) {
            return;
        }
        later(to, latency(from, to),
              [text, receive = std::move(receive)] { receive(parseJson(text)); });
    }

    void reachServer(std::size_t index, const ServerName &name, const Job &job)
    {
        Server &server = m_servers[index];
        ++server.arrivals;
        ++m_arrivals;
        const bool isOtherLife = announced(index).name != name;
        const bool isFull =
            server.running >= m_settings.slots && server.waiting.size() >= m_settings.queue;
        if (isOtherLife || isFull) {
            ++m_rejections;
            endCall(index, job, CallEnd::NotExecuted, 503);
            return;
        }
        if (server.running < m_settings.slots) {
            execute(index, job);
        } else {
            server.waiting.push_back(job);
        }
    }

    void execute(std::size_t index, const Job &job)
    {
        Server &server = m_servers[index];
        ++server.running;
        at(endOfWork(index, job.workMilliseconds), [this, index, job, life = server.life] {
            Server &one = m_servers[index];
            if (one.life != life) {
                endCall(index, job, CallEnd::Broken, 0);
                return;
            }
            --one.running;
            if (!one.waiting.empty()) {
                const Job next = one.waiting.front();
                one.waiting.erase(one.waiting.begin());
                execute(index, next);
            }
            const bool isFailure = std::bernoulli_distribution(one.failureRate)(m_random);
            endCall(index, job, CallEnd::Complete, isFailure ? 500 : 200);
        });
    }

    std::optional<ServerLoad> reportOf(std::size_t index) const
    {
        const Server &server = m_servers[index];
        if (m_settings.mode == Mode::Unread) {
            return std::nullopt;
        }
        if (server.falseReport) {
            return server.falseReport;
        }
        ServerLoad load {server.running, static_cast<std::uint32_t>(server.waiting.size()),
                         m_settings.slots};
        if (m_settings.mode != Mode::ThreeFigures && server.isSpeedReported) {
            load.workPercent = workPercent(index, m_now);
        }
        return load;
    }

    void endCall(std::size_t index, const Job &job, CallEnd how, int status)
    {
        CallEnded ended;
        ended.call = job.call;
        ended.end = how;
        ended.status = status;
        if (how != CallEnd::Broken) {
            ended.load = reportOf(index);
        }
        later(job.node, latency(index, job.node), [this, node = job.node, ended] {
            m_statuses[{node, ended.call}] = ended.status;
            reduce(node, ended);
            m_statuses.erase({node, ended.call});
        });
    }

    Settings m_settings;
    std::mt19937_64 m_random;
    std::shared_ptr<const RouteTable> m_routes;
    TimePoint m_now = TimePoint {} + std::chrono::hours(1);
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::vector<Server> m_servers;
    std::vector<Node> m_nodes;
    std::optional<std::size_t> m_schedulingNode;
    bool m_isSilent = false;
    double m_rate = 200;
    std::uint64_t m_lastRequest = 0;
    std::map<RequestKey, Request> m_requests; ///< Unanswered requests.
    std::map<std::pair<std::size_t, CallNumber>, int> m_statuses;
    std::map<Duration, Counts> m_seconds; ///< By the second of the arrival.
    std::size_t m_arrivals = 0;
    std::size_t m_rejections = 0;
    std::size_t m_datagrams = 0;
    std::size_t m_datagramBytes = 0;
    std::size_t m_largestDatagram = 0;
};

} // namespace indigoway::dispatch
