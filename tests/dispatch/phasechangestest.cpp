#include "dispatch/dispatchplay.h"

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr std::uint64_t Token = 7;
const ServiceName Engines("llm");
/** Short prompts and long answers: most engines should decode. */
const scheduling::GenerationWork MuchDecoding {0.05, 40'000};

/** Sets up a node with more prefill engines than MuchDecoding needs. */
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
    // Guards against a holder of the order right that knows no work because it gets few grants.
    void asksTheSchedulerForTheWork()
    {
        DispatchPlay play;
        prepare(play);
        pass(play, 0, 500);
        CPPUNIT_ASSERT(play.told<scheduling::WorkAsked>().service == Engines);
        CPPUNIT_ASSERT(!play.hasCalls());
    }

    void ordersByWhatTheSchedulerTells()
    {
        DispatchPlay play;
        prepare(play);
        pass(play, 0, 500);
        play.reduce(
            510, SchedulerAnswered {scheduling::WorkTold {Engines, MuchDecoding}, Incarnation(3)});
        pass(play, 750, 3'000);
        const StartCall report = play.nextCall(CallKind::Report);
        CPPUNIT_ASSERT(report.server.text().starts_with("p"));
        CPPUNIT_ASSERT(report.orderedPhase == EnginePhase::Decode);
    }

    // A token must be requested only when orders are due, and due orders must be given once there
    // is one.
    void wantsATokenOnceOrdersAreDue()
    {
        DispatchPlay play;
        prepare(play);
        play.dispatcher().setOrderRight(true);
        play.reduce(0, TimePassed {});
        play.reduce(
            10, SchedulerAnswered {scheduling::WorkTold {Engines, MuchDecoding}, Incarnation(3)});
        play.wait(20, 1'000);
        CPPUNIT_ASSERT(!play.dispatcher().wantsOrderToken());
        play.wait(1'010, 2'000);
        CPPUNIT_ASSERT(play.dispatcher().wantsOrderToken());
        CPPUNIT_ASSERT(!play.hasCalls());
        pass(play, 2'250, 2'500);
        play.nextCall(CallKind::Report);
        CPPUNIT_ASSERT(!play.dispatcher().wantsOrderToken());
    }

    /** Guards against an evaluation of all engines on each timer. */
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
