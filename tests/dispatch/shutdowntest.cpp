#include "dispatch/answertimes.h"
#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr int End = 7'400;

/** A node that has been asked to end, by End at the latest. */
void startShutdown(DispatcherHarness &harness, Repetition repetition)
{
    harness.useRoutes(repetition);
    harness.addServer("w1");
    harness.addServer("w2");
    harness.addServer("p", EnginePhase::Prefill);
    harness.addServer("d", EnginePhase::Decode);
    harness.dispatcher().startDrain(DispatcherHarness::at(0), DispatcherHarness::at(End));
}

} // namespace

class ShutdownTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShutdownTest);
    CPPUNIT_TEST(takesWhatItsTimeoutEndsBeforeTheNode);
    CPPUNIT_TEST(refusesWhatMayOutliveTheNode);
    CPPUNIT_TEST(refusesACommandWhoseTimeoutIsLongerThanTheRest);
    CPPUNIT_TEST(takesARepeatableRequestThatUsuallyEndsInTime);
    CPPUNIT_TEST(refusesStreamsThatUsuallyLastTooLong);
    CPPUNIT_TEST(answersWhatIsOpenBeforeTheEnd);
    CPPUNIT_TEST(refusesWhatHasNotBeenSentBeforeTheEnd);
    CPPUNIT_TEST(asksToBeWokenForTheEnd);
    CPPUNIT_TEST(streamsGoOnUntilTheProcessEnds);
    CPPUNIT_TEST(forgetsOldAnswerTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    // The route's timeout is 1 s.
    void takesWhatItsTimeoutEndsBeforeTheNode()
    {
        DispatcherHarness harness;
        startShutdown(harness, Repetition::AtMostOnce);
        const RequestNumber request = harness.arrive(End - 1'200, "plain");
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(request));
        const RequestNumber impatient = harness.arrive(End - 500, "plain", 0, 300ms);
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(impatient));
    }

    // Guards against a command that has run and whose caller gets no answer.
    void refusesWhatMayOutliveTheNode()
    {
        DispatcherHarness harness;
        startShutdown(harness, Repetition::AtMostOnce);
        const RequestNumber request = harness.arrive(End - 1'050, "plain");
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(harness.retryAfter(request) > Duration(0));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against a command that a server works on for longer than the node lives, though other
    // requests of its route are answered at once.
    void refusesACommandWhoseTimeoutIsLongerThanTheRest()
    {
        DispatcherHarness harness;
        startShutdown(harness, Repetition::AtMostOnce);
        RoutingState state;
        state.version = 2;
        Route route = DispatcherHarness::plainRoute(Repetition::AtMostOnce);
        route.timeout = 2s;
        state.routes = {route};
        state.services[ServiceName("web")].name = ServiceName("web");
        harness.dispatcher().setRoutes(std::make_shared<const RouteTable>(std::move(state)));
        const RequestNumber early = harness.arrive(End - 2'200, "plain", 0, 4s);
        harness.end(End - 2'150, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::string("delivered"), harness.outcome(early));
        CPPUNIT_ASSERT_EQUAL(503, harness.status(harness.arrive(End - 1'800, "plain", 0, 4s)));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    void takesARepeatableRequestThatUsuallyEndsInTime()
    {
        DispatcherHarness harness;
        startShutdown(harness, Repetition::Idempotent);
        CPPUNIT_ASSERT_EQUAL(503, harness.status(harness.arrive(End - 1'000, "plain")));
        const RequestNumber first = harness.arrive(1'000, "plain");
        harness.end(1'100, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::string("delivered"), harness.outcome(first));
        CPPUNIT_ASSERT_EQUAL(std::string("open"),
                             harness.outcome(harness.arrive(End - 200, "plain")));
        CPPUNIT_ASSERT_EQUAL(503, harness.status(harness.arrive(End - 190, "plain")));
    }

    void refusesStreamsThatUsuallyLastTooLong()
    {
        DispatcherHarness harness;
        startShutdown(harness, Repetition::AtMostOnce);
        CPPUNIT_ASSERT_EQUAL(std::string("open"),
                             harness.outcome(harness.arrive(0, "stream", 5'000)));
        CPPUNIT_ASSERT_EQUAL(503, harness.status(harness.arrive(1'500, "stream", 5'000)));
        // After a stream that took seven seconds none can end in time.
        DispatcherHarness slow;
        startShutdown(slow, Repetition::AtMostOnce);
        slow.arrive(-7'500, "stream", 5'000);
        slow.grant(-7'499, slow.nextCall(CallKind::Reserve));
        slow.grant(-7'400, slow.nextCall(CallKind::Prefill));
        const StartCall decode = slow.nextCall(CallKind::Decode);
        slow.reduce(-7'300, StreamStarted {decode.call, 200, {}});
        slow.end(0, decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(503, slow.status(slow.arrive(10, "stream", 5'000)));
    }

    // Guards against callers whose connection ends without an answer.
    void answersWhatIsOpenBeforeTheEnd()
    {
        DispatcherHarness harness;
        harness.useRoutes(Repetition::AtMostOnce);
        harness.addServer("w1");
        const RequestNumber request = harness.arrive(End - 300, "plain");
        const StartCall call = harness.nextCall(CallKind::Plain);
        harness.dispatcher().startDrain(DispatcherHarness::at(0), DispatcherHarness::at(End));
        harness.advance(End - 50, End - 10);
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(request));
        harness.reduce(End, TimePassed {});
        CPPUNIT_ASSERT_EQUAL(504, harness.status(request));
        CPPUNIT_ASSERT(harness.wasAbandoned(call));
    }

    void refusesWhatHasNotBeenSentBeforeTheEnd()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("p", EnginePhase::Prefill);
        const RequestNumber request = harness.arrive(End - 300, "stream", 5'000);
        harness.dispatcher().startDrain(DispatcherHarness::at(0), DispatcherHarness::at(End));
        harness.reduce(End, TimePassed {});
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
    }

    void asksToBeWokenForTheEnd()
    {
        DispatcherHarness harness;
        startShutdown(harness, Repetition::AtMostOnce);
        harness.arrive(0, "stream", 5'000);
        CPPUNIT_ASSERT(harness.dispatcher().nextDeadline() <= DispatcherHarness::at(End));
    }

    // Guards against a stream that is cut although the process could have waited for it.
    void streamsGoOnUntilTheProcessEnds()
    {
        DispatcherHarness harness;
        startShutdown(harness, Repetition::AtMostOnce);
        const RequestNumber request = harness.arrive(0, "stream", 5'000);
        harness.grant(1, harness.nextCall(CallKind::Reserve));
        harness.grant(100, harness.nextCall(CallKind::Prefill));
        const StartCall decode = harness.nextCall(CallKind::Decode);
        harness.reduce(200, StreamStarted {decode.call, 200, {}});
        harness.reduce(End, TimePassed {});
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(request));
        harness.end(End + 100, decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::string("streamed"), harness.outcome(request));
    }

    void forgetsOldAnswerTimes()
    {
        AnswerTimes times;
        const RouteName route("a");
        const TimePoint start = DispatcherHarness::at(0);
        CPPUNIT_ASSERT(!times.longest(route, start));
        times.record(route, 3s, start);
        times.record(route, 1s, start);
        CPPUNIT_ASSERT(times.longest(route, start + AnswerTimes::WindowTime) == Duration(3s));
        times.record(route, 1s, start + AnswerTimes::WindowTime);
        CPPUNIT_ASSERT(times.longest(route, start + 2 * AnswerTimes::WindowTime) == Duration(1s));
        CPPUNIT_ASSERT(!times.longest(route, start + 5 * AnswerTimes::WindowTime));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);
