#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr std::uint64_t Token = 7;
const ServiceName Engines("llm");
/** Short prompts and long answers: most engines should decode. */
const scheduling::GenerationWork MuchDecoding {0.05, 40'000};

/** Sets up a node with more prefill engines than MuchDecoding needs. */
void prepare(DispatcherHarness &harness)
{
    harness.useRoutes();
    for (int i = 0; i < 8; ++i) {
        harness.addServer("p" + std::to_string(i), EnginePhase::Prefill);
        harness.addServer("d" + std::to_string(i), EnginePhase::Decode);
    }
    harness.dispatcher().setScheduler(NodeName("s"));
}

void pass(DispatcherHarness &harness, int from, int to)
{
    constexpr int Tick = 250;
    for (int time = from; time < to; time += Tick) {
        harness.dispatcher().setOrderRight(true);
        harness.dispatcher().setOrderToken(Token);
        harness.reduce(time, TimePassed {});
    }
}

} // namespace

class PhaseControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PhaseControllerTest);
    CPPUNIT_TEST(requestsTheWorkFromTheScheduler);
    CPPUNIT_TEST(givesOrdersByTheSchedulersWork);
    CPPUNIT_TEST(wantsATokenWhenOrdersAreDue);
    CPPUNIT_TEST(limitsTheEvaluationsOfAllEngines);
    CPPUNIT_TEST(requestsWorkOnlyWithTheOrderRight);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a holder of the order right that knows no work because it gets few grants.
    void requestsTheWorkFromTheScheduler()
    {
        DispatcherHarness harness;
        prepare(harness);
        pass(harness, 0, 500);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<scheduling::WorkQuery>().service == Engines);
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    void givesOrdersByTheSchedulersWork()
    {
        DispatcherHarness harness;
        prepare(harness);
        pass(harness, 0, 500);
        harness.reduce(
            510,
            SchedulerAnswered {scheduling::WorkReport {Engines, MuchDecoding}, Incarnation(3)});
        pass(harness, 750, 3'000);
        const StartCall report = harness.nextCall(CallKind::Report);
        CPPUNIT_ASSERT(report.server.text().starts_with("p"));
        CPPUNIT_ASSERT(report.orderedPhase == EnginePhase::Decode);
    }

    // A token must be requested only when orders are due, and due orders must be given once there
    // is one.
    void wantsATokenWhenOrdersAreDue()
    {
        DispatcherHarness harness;
        prepare(harness);
        harness.dispatcher().setOrderRight(true);
        harness.reduce(0, TimePassed {});
        harness.reduce(
            10, SchedulerAnswered {scheduling::WorkReport {Engines, MuchDecoding}, Incarnation(3)});
        harness.advance(20, 1'000);
        CPPUNIT_ASSERT(!harness.dispatcher().wantsOrderToken());
        harness.advance(1'010, 2'000);
        CPPUNIT_ASSERT(harness.dispatcher().wantsOrderToken());
        CPPUNIT_ASSERT(!harness.hasCalls());
        pass(harness, 2'250, 2'500);
        harness.nextCall(CallKind::Report);
        CPPUNIT_ASSERT(!harness.dispatcher().wantsOrderToken());
    }

    /** Guards against an evaluation of all engines on each timer. */
    void limitsTheEvaluationsOfAllEngines()
    {
        DispatcherHarness harness;
        prepare(harness);
        harness.dispatcher().setOrderRight(true);
        for (int time = 0; time < 1'000; time += 5) {
            harness.reduce(time, TimePassed {});
        }
        CPPUNIT_ASSERT(harness.dispatcher().orderEvaluations() >= 4);
        CPPUNIT_ASSERT(harness.dispatcher().orderEvaluations() <= 5);
    }

    void requestsWorkOnlyWithTheOrderRight()
    {
        DispatcherHarness harness;
        prepare(harness);
        harness.advance(0, 3'000);
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PhaseControllerTest);
