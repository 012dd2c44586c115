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
/** Of a decode engine's memory, from the prompt's end on; the streams' own length. */
constexpr auto DecodeTime = std::chrono::milliseconds(2'600);
/** Requests a second that the decode engines' memory carries. */
constexpr double Capacity = 165;

using At = std::chrono::microseconds; ///< Since the replay began.

struct Figures
{
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refusedAtOnce = 0; ///< Within an eighth of the target.
    int refusedLate = 0;
    int largeAsked = 0;
    int largeServed = 0;
    std::vector<Duration> prefillTimes;

    Duration prefillTime(double part)
    {
        std::sort(prefillTimes.begin(), prefillTimes.end());
        return prefillTimes[static_cast<std::size_t>(part * (prefillTimes.size() - 1.0))];
    }
};

/**
 * Engines that behave as the users' do, callers that come in a burst, and the scheduler between
 * them, in virtual time. Each prefill engine reads one prompt after the other.
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

    Figures play(std::chrono::seconds lasts)
    {
        arriveNext(lasts);
        plan(At(0), [this] { tick(); });
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        return std::move(m_figures);
    }

private:
    struct Request
    {
        At arrived {};
        std::uint32_t prompt = 0;
    };

    TimePoint now() const { return TimePoint {} + std::chrono::hours(1) + m_now; }
    EngineScheduler::View view() const { return {m_servers, *m_routes}; }
    static NodeLife ownerOf(std::uint64_t claim)
    {
        return {NodeName("n" + std::to_string(claim % Nodes)), Incarnation(1)};
    }

    void plan(At at, std::function<void()> action) { m_events.emplace(at, std::move(action)); }

    void arriveNext(std::chrono::seconds lasts)
    {
        std::exponential_distribution<double> gap(m_load * Capacity);
        const At at = m_now + At(static_cast<std::int64_t>(gap(m_random) * 1e6));
        if (at < lasts) {
            plan(at, [this, lasts] {
                arrive();
                arriveNext(lasts);
            });
        }
    }

    void arrive()
    {
        std::lognormal_distribution<double> size(std::log(4'700), 0.45);
        const std::uint64_t number = ++m_last;
        const auto prompt = static_cast<std::uint32_t>(std::clamp(size(m_random), 500.0, 11e3));
        m_requests[number] = {m_now, prompt};
        ++m_figures.asked;
        m_figures.largeAsked += isLarge(prompt) ? 1 : 0;
        Claim claim;
        claim.claim = ClaimId(number);
        claim.service = ServiceName("llm");
        claim.domain = DomainName(std::to_string(number % 3));
        claim.promptTokens = prompt;
        claim.memory = {prompt + 600, 0, 0};
        claim.waitsAtMost = std::chrono::milliseconds(800);
        claim.untilTarget = Target;
        claim.lasts = std::chrono::seconds(14);
        tell(number, claim);
    }

    static bool isLarge(std::uint32_t prompt) { return prompt > 8'500; }

    void tell(std::uint64_t number, const ToScheduler &message)
    {
        take(m_scheduler.handle(now(), view(), ownerOf(number), message));
    }

    void tick()
    {
        take(m_scheduler.tick(now(), view()));
        if (m_events.size() > 0) {
            plan(m_now + std::chrono::milliseconds(25), [this] { tick(); });
        }
    }

    void take(const SchedulerReplies &replies)
    {
        for (const SchedulerReply &reply : replies) {
            if (const auto *granted = std::get_if<ClaimGranted>(&reply.message)) {
                prefill(granted->claim.value(), granted->prefillServer);
            } else if (const auto *refused = std::get_if<ClaimRefused>(&reply.message)) {
                const Duration waited = m_now - m_requests[refused->claim.value()].arrived;
                ++(waited <= Target / 8 ? m_figures.refusedAtOnce : m_figures.refusedLate);
            }
        }
    }

    void prefill(std::uint64_t number, const ServerName &server)
    {
        At &busyUntil = m_busyUntil[server];
        // Every third engine is slower; none tells so.
        const double slowness = server.text().back() % 3 == 0 ? 1.3 : 1;
        const At work(
            static_cast<std::int64_t>(slowness * (m_requests[number].prompt * 18 + 15'000)));
        busyUntil = std::max(busyUntil, m_now) + work;
        const At done = busyUntil + std::chrono::milliseconds(60);
        m_figures.prefillTimes.push_back(done - m_now);
        plan(done, [this, number] { decode(number); });
    }

    void decode(std::uint64_t number)
    {
        const Request &request = m_requests[number];
        const Duration first = m_now + std::chrono::milliseconds(25) - request.arrived;
        ++(first <= Target ? m_figures.inTime : m_figures.late);
        m_figures.largeServed += isLarge(request.prompt) ? 1 : 0;
        tell(number, PrefillEnded {ClaimId(number), true});
        plan(m_now + DecodeTime, [this, number] {
            tell(number, ClaimEnded {ClaimId(number), ClaimEnd::Served});
        });
    }

    double m_load;
    std::mt19937_64 m_random;
    ServerDirectory m_servers;
    std::optional<RouteTable> m_routes;
    EngineScheduler m_scheduler;
    std::multimap<At, std::function<void()>> m_events;
    At m_now {};
    std::map<std::uint64_t, Request> m_requests;
    std::map<ServerName, At> m_busyUntil;
    std::uint64_t m_last = 0;
    Figures m_figures;
};

} // namespace

class BurstReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BurstReplayTest);
    CPPUNIT_TEST(atHalfLoadNothingWaits);
    CPPUNIT_TEST(inABurstWhatIsServedIsInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Sixty-five nodes at half of what the engines carry. Nodes that choose alone put prompts
    // behind others now and then while engines are idle.
    void atHalfLoadNothingWaits()
    {
        Figures figures = Replay(0.5).play(std::chrono::seconds(20));
        CPPUNIT_ASSERT_EQUAL(figures.asked, figures.inTime);
        CPPUNIT_ASSERT(figures.prefillTime(0.5) < std::chrono::milliseconds(180));
        CPPUNIT_ASSERT(figures.prefillTime(0.99) < std::chrono::milliseconds(400));
    }

    // Twice what the engines carry, for ten seconds. The engines stay full of what is in time; the
    // rest learns so at once, and large prompts are served not less than half as often.
    void inABurstWhatIsServedIsInTime()
    {
        Figures figures = Replay(2).play(std::chrono::seconds(10));
        const int served = figures.inTime + figures.late;
        CPPUNIT_ASSERT(served > 0.8 * Capacity * 10);
        CPPUNIT_ASSERT(figures.inTime > 0.93 * served);
        CPPUNIT_ASSERT(figures.refusedAtOnce > 3 * figures.refusedLate);
        const double all = static_cast<double>(served) / figures.asked;
        const double large = static_cast<double>(figures.largeServed) / figures.largeAsked;
        CPPUNIT_ASSERT(large > 0.5 * all);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurstReplayTest);
