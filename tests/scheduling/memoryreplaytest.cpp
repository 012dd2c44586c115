#include "scheduling/enginescheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

using At = std::chrono::microseconds; ///< Since the replay began.

/** One kind of engine. */
struct EngineKind
{
    double secondsPerToken = 0;
    std::uint64_t memory = 0;
    double promptTokens = 0; ///< Median, as the next.
    double outputTokens = 0;
    std::uint64_t tokensPerEvent = 1;
};

/** Of the engine's memory, over the replay's second half. */
struct MemoryUse
{
    double mean = 0;
    double overflowing = 0; ///< Part of the time in which the runs wanted more than there is.
};

/**
 * One decode engine, more requests than it can hold, and the scheduler that lets them in. Outputs
 * differ from what callers guess as the users' do: by half, either way.
 */
class MemoryReplay
{
public:
    explicit MemoryReplay(const EngineKind &kind)
        : m_kind(kind)
        , m_random(20261202)
    {
        RoutingState state;
        Service llm;
        llm.name = ServiceName("llm");
        llm.engine = EngineTraits {64, kind.memory, std::chrono::milliseconds(500),
                                   std::chrono::milliseconds(2000)};
        state.services[llm.name] = llm;
        m_routes.emplace(std::move(state));
        AnnouncedServer server;
        server.name = ServerName("d");
        server.service = llm.name;
        server.phase = EnginePhase::Decode;
        m_servers.announce(std::move(server));
    }

    /** Lasts as many times as long as a run of median length. */
    MemoryUse play(int runLengths)
    {
        const auto runTime = seconds(m_kind.outputTokens * m_kind.secondsPerToken);
        m_end = runTime * runLengths;
        const double held = m_kind.promptTokens + m_kind.outputTokens / 2;
        const double carried = static_cast<double>(m_kind.memory) / held;
        m_gap = runTime / static_cast<std::int64_t>(2 * carried);
        arrive();
        sample(runTime / 50);
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        return {m_sum / m_samples, m_overflows / m_samples};
    }

private:
    struct Run
    {
        double prompt = 0;
        double output = 0;
        At began {};
    };

    static At seconds(double count) { return At(static_cast<std::int64_t>(count * 1e6)); }
    TimePoint now() const { return TimePoint {} + std::chrono::hours(1) + m_now; }
    void plan(At after, std::function<void()> action)
    {
        m_events.emplace(m_now + after, std::move(action));
    }

    double around(double median, double sigma)
    {
        return std::lognormal_distribution<double>(std::log(median), sigma)(m_random);
    }

    void arrive()
    {
        const std::uint64_t number = ++m_last;
        const double output = around(m_kind.outputTokens, 0.5);
        m_waiting[number] = {around(m_kind.promptTokens, 0.4), output, {}};
        Claim claim;
        claim.claim = ClaimId(number);
        claim.service = ServiceName("llm");
        claim.memory = {static_cast<std::uint64_t>(m_waiting[number].prompt),
                        static_cast<std::uint64_t>(output * around(1, 0.4)), 0};
        claim.waitsAtMost = m_gap * 10;
        claim.untilTarget = std::chrono::hours(1);
        claim.lasts = std::chrono::hours(100);
        tell(claim);
        if (m_now < m_end) {
            plan(m_gap, [this] { arrive(); });
        }
    }

    void tell(const ToScheduler &message)
    {
        const EngineScheduler::View view {m_servers, *m_routes};
        take(m_scheduler.handle(now(), view, {NodeName("n"), Incarnation(1)}, message));
        take(m_scheduler.tick(now(), view));
    }

    void take(const SchedulerReplies &replies)
    {
        for (const SchedulerReply &reply : replies) {
            if (const auto *granted = std::get_if<ClaimGranted>(&reply.message)) {
                begin(granted->claim.value());
            }
        }
    }

    void begin(std::uint64_t number)
    {
        Run run = m_waiting[number];
        run.began = m_now;
        m_running[number] = run;
        plan(At(0), [this, number] { tell(PrefillEnded {ClaimId(number), true}); });
        plan(seconds(run.output * m_kind.secondsPerToken), [this, number, run] {
            m_running.erase(number);
            tell(ClaimEnded {ClaimId(number), ClaimEnd::Served,
                             static_cast<std::uint64_t>(run.output)});
        });
    }

    void sample(At every)
    {
        double held = 0;
        for (const auto &[number, run] : m_running) {
            const double since = std::chrono::duration<double>(m_now - run.began).count();
            held += run.prompt + std::min(since / m_kind.secondsPerToken, run.output);
        }
        if (m_now > m_end / 2 && m_now < m_end) {
            ++m_samples;
            m_sum += held / static_cast<double>(m_kind.memory);
            m_overflows += held > static_cast<double>(m_kind.memory) ? 1 : 0;
        }
        if (m_now < m_end) {
            plan(every, [this, every] { sample(every); });
        }
    }

    EngineKind m_kind;
    std::mt19937_64 m_random;
    ServerDirectory m_servers;
    std::optional<RouteTable> m_routes;
    EngineScheduler m_scheduler;
    std::multimap<At, std::function<void()>> m_events;
    std::map<std::uint64_t, Run> m_waiting;
    std::map<std::uint64_t, Run> m_running;
    std::uint64_t m_last = 0;
    At m_now {};
    At m_end {};
    At m_gap {};
    double m_samples = 0;
    double m_sum = 0;
    double m_overflows = 0;
};

} // namespace

class MemoryReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryReplayTest);
    CPPUNIT_TEST(longOutputsShareTheMemoryOverTime);
    CPPUNIT_TEST(enginesThatDifferTenfoldAreLearnt);
    CPPUNIT_TEST(atFirstEachRunCountsWhole);
    CPPUNIT_TEST(runsThatDoNotEndStopGrowing);
    CPPUNIT_TEST(aNewSchedulerKnowsHowFarRunsAre);
    CPPUNIT_TEST_SUITE_END();

public:
    // Callers come at twice what an engine holds, with answers about as long as their prompts. Run
    // by run, the memory is taken only at the end: where each counts whole from its start, a third
    // of the engine lies idle while callers are turned away.
    void longOutputsShareTheMemoryOverTime() { check({0.00093, 90'000, 4'700, 3'800, 59}); }

    void enginesThatDifferTenfoldAreLearnt()
    {
        check({0.006, 51'000, 4'700, 570, 8});
        check({0.0001, 900'000, 30'000, 20'000, 59});
        check({0.01, 40'000, 600, 2'000, 1});
    }

    // Nothing is known of the engine yet. An estimate from another one might let in what it
    // cannot hold.
    void atFirstEachRunCountsWhole()
    {
        MemoryForecast forecast;
        const GenerationPace unknown;
        forecast.add(RunNumber(1), {5'000, 4'000, 0});
        const MemoryOutlook outlook = forecast.outlook(unknown, TimePoint {});
        CPPUNIT_ASSERT(outlook.peak() >= 9'000);
        CPPUNIT_ASSERT(MemoryForecast::peakWith(outlook, {5'000, 4'000, 0}, unknown) >= 18'000);
    }

    // An engine goes silent in the middle of its runs. They do not end, and their callers wait on;
    // if they were thought to grow all that time, the room of others would be kept for nothing.
    void runsThatDoNotEndStopGrowing()
    {
        MemoryForecast forecast;
        forecast.add(RunNumber(1), {5'000, 4'000, 7'000});
        forecast.begin(RunNumber(1), TimePoint {});
        const GenerationPace pace = fourThousandInFourSeconds();
        const auto peakAfter = [&](std::chrono::seconds time) {
            return forecast.outlook(pace, TimePoint {} + time).peak();
        };
        CPPUNIT_ASSERT(peakAfter(std::chrono::seconds(60)) <= 12'001);
        CPPUNIT_ASSERT_EQUAL(peakAfter(std::chrono::seconds(10)),
                             peakAfter(std::chrono::seconds(60)));
    }

    // The scheduler has changed, and nodes tell the new one what they hold. Runs that are half
    // done want half of their output only; counted whole, all engines seem full for seconds, and
    // callers are turned away from idle ones.
    void aNewSchedulerKnowsHowFarRunsAre()
    {
        MemoryForecast forecast;
        forecast.add(RunNumber(1), {5'000, 4'000, 0});
        forecast.begin(RunNumber(1), TimePoint {} - std::chrono::seconds(2));
        const double peak = forecast.outlook(fourThousandInFourSeconds(), TimePoint {}).peak();
        CPPUNIT_ASSERT(peak >= 9'000);
        CPPUNIT_ASSERT(peak < 10'000);
    }

private:
    static GenerationPace fourThousandInFourSeconds()
    {
        GenerationPace pace;
        for (int i = 0; i < 200; ++i) {
            pace.add(4'000, 4'000, std::chrono::seconds(4));
        }
        return pace;
    }

    static void check(const EngineKind &kind)
    {
        const MemoryUse use = MemoryReplay(kind).play(60);
        const std::string text =
            std::to_string(use.mean) + " used, overflowing " + std::to_string(use.overflowing);
        CPPUNIT_ASSERT_MESSAGE(text, use.mean > 0.78);
        CPPUNIT_ASSERT_MESSAGE(text, use.overflowing < 0.05);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryReplayTest);
