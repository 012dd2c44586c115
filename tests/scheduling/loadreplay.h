#pragma once

#include "scheduling/enginescheduler.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace indigoway::scheduling {

/**
 * Replays the load of several organisations on a scheduler in virtual time, with engines that crash
 * while they run. Each prefill engine processes one prompt at a time.
 */
class LoadReplay
{
public:
    using Offset = std::chrono::microseconds; ///< Time since the start of the replay.

    struct Options
    {
        int organisations = 1;
        bool namesOrganisations = false;
        bool wantsBackups = false;
        bool isStoreStale = false;
        /** Returns the requests per second of an organisation. */
        std::function<double(Offset now, int organisation)> rate;
        double maxRate = 0; ///< The highest value of rate.
        Offset minDecodeTime = std::chrono::milliseconds(2'600);
        Offset maxDecodeTime = std::chrono::milliseconds(2'600);
        Offset crashInterval {}; ///< Between crashes of decode engines; 0 for none.
    };
    struct Results
    {
        int arrived = 0;
        int onTime = 0;
        int late = 0;
        int refused = 0;
        int lost = 0;      ///< Runs that ended with their engine.
        int continued = 0; ///< Runs that continued on their backup.
        int backups = 0;   ///< Grants that named a backup.
        Duration longestWait {};
        double onTimeShare() const { return static_cast<double>(onTime) / arrived; }
    };

    explicit LoadReplay(Options options)
        : m_options(std::move(options))
        , m_random(20261203)
        , m_results(static_cast<std::size_t>(m_options.organisations))
    {
        RoutingState state;
        Service llm;
        llm.name = ServiceName("llm");
        llm.engine = EngineTraits {64, Memory, std::chrono::milliseconds(500),
                                   std::chrono::milliseconds(2000)};
        state.services[llm.name] = llm;
        m_routes.emplace(std::move(state));
        for (int i = 0; i < PrefillEngines + DecodeEngines; ++i) {
            addEngine((i < PrefillEngines ? "p" : "d") + std::to_string(i), i,
                      i < PrefillEngines ? EnginePhase::Prefill : EnginePhase::Decode);
        }
    }

    /** Returns the results of each organisation. */
    std::vector<Results> simulate(std::chrono::seconds duration)
    {
        m_end = duration;
        for (int i = 0; i < m_options.organisations; ++i) {
            scheduleNextArrival(i);
        }
        if (m_options.crashInterval > Offset(0)) {
            schedule(m_options.crashInterval, [this] { crashEngine(); });
        }
        schedule(Offset(0), [this] { tick(); });
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        return m_results;
    }
    std::size_t grantedAtEnd() const { return m_scheduler.granted(); }
    std::size_t copiesAtEnd() const { return m_scheduler.copies(); }

    static Results sum(const std::vector<Results> &results, std::size_t first)
    {
        Results sum;
        for (std::size_t i = first; i < results.size(); ++i) {
            sum.arrived += results[i].arrived;
            sum.onTime += results[i].onTime;
            sum.late += results[i].late;
            sum.refused += results[i].refused;
            sum.lost += results[i].lost;
            sum.continued += results[i].continued;
            sum.backups += results[i].backups;
            sum.longestWait = std::max(sum.longestWait, results[i].longestWait);
        }
        return sum;
    }

    /** Requests per second for which the decode engines have memory with the default options. */
    static constexpr double Capacity = 165;

private:
    static constexpr int Nodes = 65;
    static constexpr int PrefillEngines = 20;
    static constexpr int DecodeEngines = 70;
    static constexpr std::uint64_t Memory = 38'000;
    static constexpr auto Target = std::chrono::milliseconds(900); ///< For the first event.
    static constexpr double TokensPerSecond = 70;                  ///< Of a run that decodes.

    struct Request
    {
        int organisation = 0;
        Offset arrived {};
        std::uint32_t prompt = 0;
        Offset decodeTime {};
        ServerName decode;
        ServerName backup;
    };

    TimePoint now() const { return TimePoint {} + std::chrono::hours(1) + m_now; }
    EngineScheduler::View view() const { return {m_servers, *m_routes, m_options.isStoreStale}; }
    static NodeLife ownerOf(std::uint64_t claim)
    {
        return {NodeName("n" + std::to_string(claim % Nodes)), Incarnation(1)};
    }
    Results &resultsOf(const Request &request)
    {
        return m_results[static_cast<std::size_t>(request.organisation)];
    }

    void addEngine(const std::string &name, int number, EnginePhase phase)
    {
        AnnouncedServer server;
        server.name = ServerName(name);
        server.instance = name;
        server.service = ServiceName("llm");
        server.domain = DomainName(std::to_string(number % 3));
        server.phase = phase;
        if (phase == EnginePhase::Decode) {
            m_decodeEngines.push_back({server.name, number});
        }
        m_servers.announce(std::move(server));
    }

    void schedule(Offset at, std::function<void()> action)
    {
        m_events.emplace(at, std::move(action));
    }

    /** Draws arrivals at the highest rate and skips some of them while the rate is lower. */
    void scheduleNextArrival(int organisation)
    {
        std::exponential_distribution<double> gap(m_options.maxRate);
        const Offset at = m_now + Offset(static_cast<std::int64_t>(gap(m_random) * 1e6));
        if (at >= m_end) {
            return;
        }
        schedule(at, [this, organisation] {
            std::uniform_real_distribution<double> level(0, m_options.maxRate);
            if (level(m_random) < m_options.rate(m_now, organisation)) {
                startRequest(organisation);
            }
            scheduleNextArrival(organisation);
        });
    }

    void startRequest(int organisation)
    {
        std::lognormal_distribution<double> size(std::log(4'700), 0.45);
        std::uniform_real_distribution<double> length(0, 1);
        const std::uint64_t number = ++m_lastNumber;
        Request &request = m_requests[number];
        request.organisation = organisation;
        request.arrived = m_now;
        request.prompt = static_cast<std::uint32_t>(std::clamp(size(m_random), 500.0, 11e3));
        const auto range = m_options.maxDecodeTime - m_options.minDecodeTime;
        request.decodeTime = m_options.minDecodeTime
            + Offset(static_cast<std::int64_t>(static_cast<double>(range.count())
                                               * length(m_random)));
        ++resultsOf(request).arrived;
        Claim claim;
        claim.claim = ClaimId(number);
        claim.service = ServiceName("llm");
        claim.domain = DomainName(std::to_string(number % 3));
        claim.promptTokens = request.prompt;
        claim.memory = {request.prompt, outputOf(request), outputOf(request)};
        claim.maxWait = std::chrono::milliseconds(800);
        claim.timeToTarget = Target;
        claim.maxDuration = std::chrono::seconds(14);
        claim.wantsBackup = m_options.wantsBackups;
        if (m_options.namesOrganisations) {
            claim.organisation = OrganisationName("o" + std::to_string(organisation));
        }
        send(number, claim);
    }

    static std::uint64_t outputOf(const Request &request)
    {
        return static_cast<std::uint64_t>(std::chrono::duration<double>(request.decodeTime).count()
                                          * TokensPerSecond);
    }

    void send(std::uint64_t number, const ToScheduler &message)
    {
        handleReplies(m_scheduler.handle(now(), view(), ownerOf(number), message));
    }

    void tick()
    {
        handleReplies(m_scheduler.tick(now(), view()));
        if (!m_events.empty()) {
            schedule(m_now + std::chrono::milliseconds(25), [this] { tick(); });
        }
    }

    void handleReplies(const SchedulerReplies &replies)
    {
        for (const SchedulerReply &reply : replies) {
            if (const auto *granted = std::get_if<ClaimGranted>(&reply.message)) {
                Request &request = m_requests[granted->claim.value()];
                request.decode = granted->decodeServer;
                request.backup = granted->backupServer;
                Results &results = resultsOf(request);
                results.backups += request.backup.isEmpty() ? 0 : 1;
                results.longestWait =
                    std::max(results.longestWait, Duration(m_now - request.arrived));
                m_running.insert(granted->claim.value());
                prefill(granted->claim.value(), granted->prefillServer);
            } else if (const auto *refused = std::get_if<ClaimRefused>(&reply.message)) {
                ++resultsOf(m_requests[refused->claim.value()]).refused;
            }
        }
    }

    void prefill(std::uint64_t number, const ServerName &server)
    {
        Offset &busyUntil = m_busyUntil[server];
        constexpr int MicrosecondsPerPromptToken = 18;
        constexpr int MicrosecondsPerPrompt = 15'000;
        constexpr auto KvCacheTransfer = std::chrono::milliseconds(60);
        const Offset work(m_requests[number].prompt * MicrosecondsPerPromptToken
                          + MicrosecondsPerPrompt);
        busyUntil = std::max(busyUntil, m_now) + work;
        schedule(busyUntil + KvCacheTransfer, [this, number] { decode(number); });
    }

    void decode(std::uint64_t number)
    {
        if (!m_running.contains(number)) {
            return;
        }
        const Request &request = m_requests[number];
        constexpr auto FirstDecodeStep = std::chrono::milliseconds(25);
        const Duration timeToFirstEvent = m_now + FirstDecodeStep - request.arrived;
        ++(timeToFirstEvent <= Target ? resultsOf(request).onTime : resultsOf(request).late);
        send(number, PrefillEnded {ClaimId(number), true});
        schedule(m_now + request.decodeTime, [this, number] {
            if (m_running.erase(number) > 0) {
                send(number,
                     ClaimEnded {ClaimId(number), ClaimOutcome::Served,
                                 outputOf(m_requests[number])});
            }
        });
    }

    /** Ends an engine with all its runs; it restarts under another name. */
    void crashEngine()
    {
        std::uniform_int_distribution<std::size_t> choice(0, m_decodeEngines.size() - 1);
        const auto it = m_decodeEngines.begin() + static_cast<std::ptrdiff_t>(choice(m_random));
        const auto [name, number] = *it;
        m_decodeEngines.erase(it);
        m_servers.remove(name);
        addEngine("d" + std::to_string(number) + "-" + std::to_string(++m_restarts), number,
                  EnginePhase::Decode);
        const std::set<std::uint64_t> running = m_running;
        for (const std::uint64_t claim : running) {
            Request &request = m_requests[claim];
            if (request.backup == name) {
                request.backup = {};
            }
            if (request.decode != name) {
                continue;
            }
            if (request.backup.isEmpty()) {
                ++resultsOf(request).lost;
                m_running.erase(claim);
                send(claim, ClaimEnded {ClaimId(claim), ClaimOutcome::EngineFailed});
            } else {
                ++resultsOf(request).continued;
                request.decode = std::exchange(request.backup, {});
                send(claim, RunMoved {ClaimId(claim)});
            }
        }
        if (m_now + m_options.crashInterval < m_end) {
            schedule(m_now + m_options.crashInterval, [this] { crashEngine(); });
        }
    }

    Options m_options;
    std::mt19937_64 m_random;
    ServerDirectory m_servers;
    std::optional<RouteTable> m_routes;
    EngineScheduler m_scheduler;
    std::multimap<Offset, std::function<void()>> m_events;
    Offset m_now {};
    Offset m_end {};
    std::map<std::uint64_t, Request> m_requests;
    std::set<std::uint64_t> m_running;
    std::vector<std::pair<ServerName, int>> m_decodeEngines;
    std::map<ServerName, Offset> m_busyUntil;
    std::uint64_t m_lastNumber = 0;
    int m_restarts = 0;
    std::vector<Results> m_results;
};

} // namespace indigoway::scheduling
