#include "dispatch/dispatchplay.h"

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr std::uint64_t Token = 7;
const ServiceName Engines("llm");
/** Prompts take little and answers much: most engines should decode. */
const scheduling::GenerationWork MuchDecoding {0.05, 40'000};

/** A node that may give orders, before more prefill engines than MuchDecoding wants. */
void prepare(DispatchPlay &play)
{
    play.useRoutes();
    for (int i = 0; i < 8; ++i) {
        play.addServer("p" + std::to_string(i), EnginePhase::Prefill);
        play.addServer("d" + std::to_string(i), EnginePhase::Decode);
    }
    play.dispatcher().setScheduler(NodeName("s"));
}

void pass(DispatchPlay &play, int from, int to)
{
    constexpr int Tick = 250;
    for (int time = from; time < to; time += Tick) {
        play.dispatcher().setOrderRight(true);
        play.dispatcher().setOrderToken(Token);
        play.reduce(time, TimePassed {});
    }
}

} // namespace

class PhaseChangesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PhaseChangesTest);
    CPPUNIT_TEST(asksTheSchedulerForTheWork);
    CPPUNIT_TEST(ordersByWhatTheSchedulerTells);
    CPPUNIT_TEST(wantsATokenOnceOrdersAreDue);
    CPPUNIT_TEST(looksOverAllEnginesNowAndThen);
    CPPUNIT_TEST(asksOnlyWhileItMayGiveOrders);
    CPPUNIT_TEST_SUITE_END();

public:
    // Two hundred nodes share the callers, and the one that may order engines gets a claim granted
    // every few seconds. Callers are refused for lack of decode memory all that time, while prefill
    // engines idle: what it has to know is at the scheduler.
    void asksTheSchedulerForTheWork()
    {
        DispatchPlay play;
        prepare(play);
        pass(play, 0, 500);
        CPPUNIT_ASSERT(play.told<scheduling::WorkQuery>().service == Engines);
        CPPUNIT_ASSERT(!play.hasCalls());
    }

    void ordersByWhatTheSchedulerTells()
    {
        DispatchPlay play;
        prepare(play);
        pass(play, 0, 500);
        play.reduce(
            510,
            SchedulerAnswered {scheduling::WorkReport {Engines, MuchDecoding}, Incarnation(3)});
        pass(play, 750, 3'000);
        const StartCall report = play.nextCall(CallKind::Report);
        CPPUNIT_ASSERT(report.server.text().starts_with("p"));
        CPPUNIT_ASSERT(report.orderedPhase == EnginePhase::Decode);
    }

    // Until orders are due nothing needs to be on record, and a holder that is lost before costs
    // the next one no wait. What is due without a token is given once there is one.
    void wantsATokenOnceOrdersAreDue()
    {
        DispatchPlay play;
        prepare(play);
        play.dispatcher().setOrderRight(true);
        play.reduce(0, TimePassed {});
        play.reduce(
            10, SchedulerAnswered {scheduling::WorkReport {Engines, MuchDecoding}, Incarnation(3)});
        play.wait(20, 1'000);
        CPPUNIT_ASSERT(!play.dispatcher().wantsOrderToken());
        play.wait(1'010, 2'000);
        CPPUNIT_ASSERT(play.dispatcher().wantsOrderToken());
        CPPUNIT_ASSERT(!play.hasCalls());
        pass(play, 2'250, 2'500);
        play.nextCall(CallKind::Report);
        CPPUNIT_ASSERT(!play.dispatcher().wantsOrderToken());
    }

    /** Guards against a holder that goes over thousands of engines each time a timer is due. */
    void looksOverAllEnginesNowAndThen()
    {
        DispatchPlay play;
        prepare(play);
        play.dispatcher().setOrderRight(true);
        for (int time = 0; time < 1'000; time += 5) {
            play.reduce(time, TimePassed {});
        }
        CPPUNIT_ASSERT(play.dispatcher().orderLooks() >= 4);
        CPPUNIT_ASSERT(play.dispatcher().orderLooks() <= 5);
    }

    void asksOnlyWhileItMayGiveOrders()
    {
        DispatchPlay play;
        prepare(play);
        play.wait(0, 3'000);
        CPPUNIT_ASSERT(!play.hasTold());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PhaseChangesTest);
