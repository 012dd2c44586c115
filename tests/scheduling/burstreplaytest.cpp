#include "scheduling/enginescheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

constexpr int Nodes = 65;
constexpr int PrefillEngines = 20;
constexpr int DecodeEngines = 70;
constexpr std::uint64_t Memory = 38'000;
constexpr auto Target = std::chrono::milliseconds(900);
/** Time for which a run holds decode memory after its prefill. */
constexpr auto DecodeTime = std::chrono::milliseconds(2'600);
/** Requests per second for which the decode engines have memory. */
constexpr double Capacity = 165;

using Offset = std::chrono::microseconds; ///< Time since the start of the replay.

struct ReplayResults
{
    int arrived = 0;
    int onTime = 0;
    int late = 0;
    int refusedAtOnce = 0; ///< Refused within an eighth of the target.
    int refusedLate = 0;
    int largeArrived = 0;
    int largeServed = 0;
    std::vector<Duration> prefillTimes;

    Duration prefillTime(double quantile)
    {
        std::sort(prefillTimes.begin(), prefillTimes.end());
        return prefillTimes[static_cast<std::size_t>(quantile * (prefillTimes.size() - 1.0))];
    }
};

/**
 * Simulates engines and a burst of callers around a scheduler in virtual time. Each prefill engine
 * processes one prompt at a time.
 */
class Replay
{
public:
    explicit Replay(double load)
        : m_load(load)
        , m_random(20261202)
    {
        RoutingState state;
        Service llm;
        llm.name = ServiceName("llm");
        llm.engine = EngineTraits {64, Memory, std::chrono::milliseconds(500),
                                   std::chrono::milliseconds(2000)};
        state.services[llm.name] = llm;
        m_routes.emplace(std::move(state));
        for (int i = 0; i < PrefillEngines + DecodeEngines; ++i) {
            AnnouncedServer server;
            server.name = ServerName((i < PrefillEngines ? "p" : "d") + std::to_string(i));
            server.service = llm.name;
            server.domain = DomainName(std::to_string(i % 3));
            server.phase = i < PrefillEngines ? EnginePhase::Prefill : EnginePhase::Decode;
            m_servers.announce(std::move(server));
        }
    }

    ReplayResults simulate(std::chrono::seconds duration)
    {
        scheduleNextArrival(duration);
        schedule(Offset(0), [this] { tick(); });
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        return std::move(m_results);
    }

private:
    struct Request
    {
        Offset arrived {};
        std::uint32_t prompt = 0;
    };

    TimePoint now() const { return TimePoint {} + std::chrono::hours(1) + m_now; }
    EngineScheduler::View view() const { return {m_servers, *m_routes}; }
    static NodeLife ownerOf(std::uint64_t claim)
    {
        return {NodeName("n" + std::to_string(claim % Nodes)), Incarnation(1)};
    }

    void schedule(Offset at, std::function<void()> action)
    {
        m_events.emplace(at, std::move(action));
    }

    void scheduleNextArrival(std::chrono::seconds duration)
    {
        std::exponential_distribution<double> gap(m_load * Capacity);
        const Offset at = m_now + Offset(static_cast<std::int64_t>(gap(m_random) * 1e6));
        if (at < duration) {
            schedule(at, [this, duration] {
                startRequest();
                scheduleNextArrival(duration);
            });
        }
    }

    void startRequest()
    {
        std::lognormal_distribution<double> size(std::log(4'700), 0.45);
        const std::uint64_t number = ++m_lastNumber;
        const auto prompt = static_cast<std::uint32_t>(std::clamp(size(m_random), 500.0, 11e3));
        m_requests[number] = {m_now, prompt};
        ++m_results.arrived;
        m_results.largeArrived += isLarge(prompt) ? 1 : 0;
        Claim claim;
        claim.claim = ClaimId(number);
        claim.service = ServiceName("llm");
        claim.domain = DomainName(std::to_string(number % 3));
        claim.promptTokens = prompt;
        claim.memory = {prompt + 600, 0, 0};
        claim.maxWait = std::chrono::milliseconds(800);
        claim.timeToTarget = Target;
        claim.maxDuration = std::chrono::seconds(14);
        send(number, claim);
    }

    static bool isLarge(std::uint32_t prompt) { return prompt > 8'500; }

    void send(std::uint64_t number, const ToScheduler &message)
    {
        handleReplies(m_scheduler.handle(now(), view(), ownerOf(number), message));
    }

    void tick()
    {
        handleReplies(m_scheduler.tick(now(), view()));
        if (m_events.size() > 0) {
            schedule(m_now + std::chrono::milliseconds(25), [this] { tick(); });
        }
    }

    void handleReplies(const SchedulerReplies &replies)
    {
        for (const SchedulerReply &reply : replies) {
            if (const auto *granted = std::get_if<ClaimGranted>(&reply.message)) {
                prefill(granted->claim.value(), granted->prefillServer);
            } else if (const auto *refused = std::get_if<ClaimRefused>(&reply.message)) {
                const Duration waited = m_now - m_requests[refused->claim.value()].arrived;
                ++(waited <= Target / 8 ? m_results.refusedAtOnce : m_results.refusedLate);
            }
        }
    }

    void prefill(std::uint64_t number, const ServerName &server)
    {
        Offset &busyUntil = m_busyUntil[server];
        // Every third engine is slower; the scheduler isn't told.
        const double slowdown = server.text().back() % 3 == 0 ? 1.3 : 1;
        const Offset work(
            static_cast<std::int64_t>(slowdown * (m_requests[number].prompt * 18 + 15'000)));
        busyUntil = std::max(busyUntil, m_now) + work;
        const Offset done = busyUntil + std::chrono::milliseconds(60);
        m_results.prefillTimes.push_back(done - m_now);
        schedule(done, [this, number] { decode(number); });
    }

    void decode(std::uint64_t number)
    {
        const Request &request = m_requests[number];
        const Duration first = m_now + std::chrono::milliseconds(25) - request.arrived;
        ++(first <= Target ? m_results.onTime : m_results.late);
        m_results.largeServed += isLarge(request.prompt) ? 1 : 0;
        send(number, PrefillEnded {ClaimId(number), true});
        schedule(m_now + DecodeTime, [this, number] {
            send(number, ClaimEnded {ClaimId(number), ClaimOutcome::Served});
        });
    }

    double m_load;
    std::mt19937_64 m_random;
    ServerDirectory m_servers;
    std::optional<RouteTable> m_routes;
    EngineScheduler m_scheduler;
    std::multimap<Offset, std::function<void()>> m_events;
    Offset m_now {};
    std::map<std::uint64_t, Request> m_requests;
    std::map<ServerName, Offset> m_busyUntil;
    std::uint64_t m_lastNumber = 0;
    ReplayResults m_results;
};

} // namespace

class BurstReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BurstReplayTest);
    CPPUNIT_TEST(servesAllOnTimeAtHalfLoad);
    CPPUNIT_TEST(servesOnTimeInBurst);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against prompts that queue while other engines are idle.
    void servesAllOnTimeAtHalfLoad()
    {
        ReplayResults results = Replay(0.5).simulate(std::chrono::seconds(20));
        CPPUNIT_ASSERT_EQUAL(results.arrived, results.onTime);
        CPPUNIT_ASSERT(results.prefillTime(0.5) < std::chrono::milliseconds(180));
        CPPUNIT_ASSERT(results.prefillTime(0.99) < std::chrono::milliseconds(400));
    }

    // Guards against late answers, late refusals, unused engines and starved large prompts at twice
    // the capacity.
    void servesOnTimeInBurst()
    {
        ReplayResults results = Replay(2).simulate(std::chrono::seconds(10));
        const int served = results.onTime + results.late;
        CPPUNIT_ASSERT(served > 0.8 * Capacity * 10);
        CPPUNIT_ASSERT(results.onTime > 0.93 * served);
        CPPUNIT_ASSERT(results.refusedAtOnce > 3 * results.refusedLate);
        const double servedShare = static_cast<double>(served) / results.arrived;
        const double servedLargeShare =
            static_cast<double>(results.largeServed) / results.largeArrived;
        CPPUNIT_ASSERT(servedLargeShare > 0.5 * servedShare);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurstReplayTest);
