#include "scheduling/enginescheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

using Offset = std::chrono::microseconds; ///< Time since the start of the replay.

/** Speed, memory and typical runs of an engine. */
struct EngineKind
{
    double secondsPerToken = 0;
    std::uint64_t memory = 0;
    double promptTokens = 0; ///< Median, as for the output.
    double outputTokens = 0;
    std::uint64_t tokensPerEvent = 1;
};

/** Memory use over the second half of a replay, relative to the engine's memory. */
struct MemoryUsage
{
    double mean = 0;
    /** Share of the time in which the runs needed more than the engine's memory. */
    double overcommitted = 0;
};

/**
 * Simulates one decode engine that gets more requests than it has memory for. Output lengths differ
 * from the callers' estimates by about half.
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

    /** Simulates as many times the duration of a median run. */
    MemoryUsage simulate(int runLengths)
    {
        const auto runTime = seconds(m_kind.outputTokens * m_kind.secondsPerToken);
        m_end = runTime * runLengths;
        const double held = m_kind.promptTokens + m_kind.outputTokens / 2;
        const double concurrentRuns = static_cast<double>(m_kind.memory) / held;
        m_gap = runTime / static_cast<std::int64_t>(2 * concurrentRuns);
        startRequest();
        sample(runTime / 50);
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            m_now = first->first;
            const auto action = std::move(first->second);
            m_events.erase(first);
            action();
        }
        return {m_usageSum / m_samples, m_overcommittedSamples / m_samples};
    }

private:
    struct Run
    {
        double prompt = 0;
        double output = 0;
        Offset start {};
    };

    static Offset seconds(double count) { return Offset(static_cast<std::int64_t>(count * 1e6)); }
    TimePoint now() const { return TimePoint {} + std::chrono::hours(1) + m_now; }
    void schedule(Offset after, std::function<void()> action)
    {
        m_events.emplace(m_now + after, std::move(action));
    }

    double lognormal(double median, double sigma)
    {
        return std::lognormal_distribution<double>(std::log(median), sigma)(m_random);
    }

    void startRequest()
    {
        const std::uint64_t number = ++m_lastNumber;
        const double output = lognormal(m_kind.outputTokens, 0.5);
        m_waiting[number] = {lognormal(m_kind.promptTokens, 0.4), output, {}};
        Claim claim;
        claim.claim = ClaimId(number);
        claim.service = ServiceName("llm");
        claim.memory = {static_cast<std::uint64_t>(m_waiting[number].prompt),
                        static_cast<std::uint64_t>(output * lognormal(1, 0.4)), 0};
        claim.maxWait = m_gap * 10;
        claim.timeToTarget = std::chrono::hours(1);
        claim.maxDuration = std::chrono::hours(100);
        send(claim);
        if (m_now < m_end) {
            schedule(m_gap, [this] { startRequest(); });
        }
    }

    void send(const ToScheduler &message)
    {
        const EngineScheduler::View view {m_servers, *m_routes};
        handleReplies(m_scheduler.handle(now(), view, {NodeName("n"), Incarnation(1)}, message));
        handleReplies(m_scheduler.tick(now(), view));
    }

    void handleReplies(const SchedulerReplies &replies)
    {
        for (const SchedulerReply &reply : replies) {
            if (const auto *granted = std::get_if<ClaimGranted>(&reply.message)) {
                startRun(granted->claim.value());
            }
        }
    }

    void startRun(std::uint64_t number)
    {
        Run run = m_waiting[number];
        run.start = m_now;
        m_running[number] = run;
        schedule(Offset(0), [this, number] { send(PrefillEnded {ClaimId(number), true}); });
        schedule(seconds(run.output * m_kind.secondsPerToken), [this, number, run] {
            m_running.erase(number);
            send(ClaimEnded {ClaimId(number), ClaimOutcome::Served,
                             static_cast<std::uint64_t>(run.output)});
        });
    }

    void sample(Offset every)
    {
        double held = 0;
        for (const auto &[number, run] : m_running) {
            const double since = std::chrono::duration<double>(m_now - run.start).count();
            held += run.prompt + std::min(since / m_kind.secondsPerToken, run.output);
        }
        if (m_now > m_end / 2 && m_now < m_end) {
            ++m_samples;
            m_usageSum += held / static_cast<double>(m_kind.memory);
            m_overcommittedSamples += held > static_cast<double>(m_kind.memory) ? 1 : 0;
        }
        if (m_now < m_end) {
            schedule(every, [this, every] { sample(every); });
        }
    }

    EngineKind m_kind;
    std::mt19937_64 m_random;
    ServerDirectory m_servers;
    std::optional<RouteTable> m_routes;
    EngineScheduler m_scheduler;
    std::multimap<Offset, std::function<void()>> m_events;
    std::map<std::uint64_t, Run> m_waiting;
    std::map<std::uint64_t, Run> m_running;
    std::uint64_t m_lastNumber = 0;
    Offset m_now {};
    Offset m_end {};
    Offset m_gap {};
    double m_samples = 0;
    double m_usageSum = 0;
    double m_overcommittedSamples = 0;
};

} // namespace

class MemoryReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryReplayTest);
    CPPUNIT_TEST(usesMemoryWithLongOutputs);
    CPPUNIT_TEST(adaptsToEngineSpeed);
    CPPUNIT_TEST(countsFullOutputWithoutSamples);
    CPPUNIT_TEST(boundsRunsThatDoNotEnd);
    CPPUNIT_TEST(countsElapsedDecodeTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against unused memory at twice the capacity if outputs are as long as prompts.
    void usesMemoryWithLongOutputs() { check({0.00093, 90'000, 4'700, 3'800, 59}); }

    void adaptsToEngineSpeed()
    {
        check({0.006, 51'000, 4'700, 570, 8});
        check({0.0001, 900'000, 30'000, 20'000, 59});
        check({0.01, 40'000, 600, 2'000, 1});
    }

    // Guards against assuming the speed of another engine before there are samples.
    void countsFullOutputWithoutSamples()
    {
        MemoryForecast forecast;
        const DecodeEstimator unknown;
        forecast.add(RunNumber(1), {5'000, 4'000, 0});
        const MemoryProjection projection = forecast.projection(unknown, TimePoint {});
        CPPUNIT_ASSERT(projection.peak() >= 9'000);
        CPPUNIT_ASSERT(MemoryForecast::peakWith(projection, {5'000, 4'000, 0}, unknown) >= 18'000);
    }

    // Guards against unbounded projected growth of runs on an unresponsive engine.
    void boundsRunsThatDoNotEnd()
    {
        MemoryForecast forecast;
        forecast.add(RunNumber(1), {5'000, 4'000, 7'000});
        forecast.beginDecode(RunNumber(1), TimePoint {});
        const DecodeEstimator estimator = oneThousandTokensPerSecond();
        const auto peakAfter = [&](std::chrono::seconds time) {
            return forecast.projection(estimator, TimePoint {} + time).peak();
        };
        CPPUNIT_ASSERT(peakAfter(std::chrono::seconds(60)) <= 12'001);
        CPPUNIT_ASSERT_EQUAL(peakAfter(std::chrono::seconds(10)),
                             peakAfter(std::chrono::seconds(60)));
    }

    // Guards against counting the full output of runs that started under the previous scheduler.
    void countsElapsedDecodeTime()
    {
        MemoryForecast forecast;
        forecast.add(RunNumber(1), {5'000, 4'000, 0});
        forecast.beginDecode(RunNumber(1), TimePoint {} - std::chrono::seconds(2));
        const double peak = forecast.projection(oneThousandTokensPerSecond(), TimePoint {}).peak();
        CPPUNIT_ASSERT(peak >= 9'000);
        CPPUNIT_ASSERT(peak < 10'000);
    }

private:
    static DecodeEstimator oneThousandTokensPerSecond()
    {
        DecodeEstimator estimator;
        for (int i = 0; i < 200; ++i) {
            estimator.add(4'000, 4'000, std::chrono::seconds(4));
        }
        return estimator;
    }

    static void check(const EngineKind &kind)
    {
        const MemoryUsage usage = MemoryReplay(kind).simulate(60);
        const std::string text = std::to_string(usage.mean) + " used, overflowing "
            + std::to_string(usage.overcommitted);
        CPPUNIT_ASSERT_MESSAGE(text, usage.mean > 0.78);
        CPPUNIT_ASSERT_MESSAGE(text, usage.overcommitted < 0.05);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryReplayTest);
