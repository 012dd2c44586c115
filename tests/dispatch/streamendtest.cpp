#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr auto Patience = std::chrono::milliseconds(3'000);

std::string text(const char *words)
{
    return words;
}

/** Ends @p call with an answer that has no length; @p suspended: of the time since its start. */
void close(DispatcherHarness &harness, int milliseconds, const StartCall &call,
           Duration suspended = {}, int status = 200)
{
    CallEnded ended;
    ended.call = call.call;
    ended.end = CallEnd::Complete;
    ended.status = status;
    ended.events = 10;
    ended.isEndedByClose = true;
    ended.lasted = suspended + std::chrono::milliseconds(milliseconds);
    harness.reduce(milliseconds, ended);
}

struct Call
{
    RequestNumber request;
    StartCall call;
};

/** Starts a plain request that a server answers from time 0 on. */
Call startPlain(DispatcherHarness &harness, const char *route)
{
    harness.useRoutes(Repetition::Idempotent);
    harness.addServer("w1");
    Call started;
    started.request = harness.arrive(0, route, 0, Patience);
    started.call = harness.nextCall(CallKind::Plain);
    return started;
}

/** Starts a stream of a generation that has brought its first event. */
Call startStream(DispatcherHarness &harness, const char *route = "stream")
{
    harness.useRoutes();
    harness.addServer("e1", EnginePhase::Decode);
    harness.addServer("e2", EnginePhase::Decode);
    Call started;
    started.request = harness.arrive(0, route, 5'000, Patience);
    harness.grant(0, harness.nextCall(CallKind::Reserve));
    started.call = harness.nextCall(CallKind::Whole);
    harness.reduce(10, StreamStarted {started.call.call, 200, {}});
    return started;
}

} // namespace

class StreamEndTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamEndTest);
    CPPUNIT_TEST(streamThatIsClosedWhenItsTimeIsOverIsCut);
    CPPUNIT_TEST(streamThatIsClosedBeforeItsTimeIsOverIsWhole);
    CPPUNIT_TEST(streamWithFramingIsWholeWheneverItEnds);
    CPPUNIT_TEST(suspensionCountsAsTimeOfTheServer);
    CPPUNIT_TEST(continuationWithoutAnEventCompletesTheStream);
    CPPUNIT_TEST(plainAnswerThatIsClosedWhenItsTimeIsOverFails);
    CPPUNIT_TEST(failureWithoutALengthIsDeliveredWheneverItEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a part of a stream that ends as complete, since its server stops work when the
    // time that it was given is over, and closes the connection in good order.
    void streamThatIsClosedWhenItsTimeIsOverIsCut()
    {
        for (const char *route : {"stream", "resumable"}) {
            for (const int closed : {2'990, 3'000, 3'100}) {
                DispatcherHarness harness;
                const Call stream = startStream(harness, route);
                close(harness, closed, stream.call);
                CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(stream.request));
                CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.dispatcher().open());
            }
        }
    }

    void streamThatIsClosedBeforeItsTimeIsOverIsWhole()
    {
        DispatcherHarness harness;
        const Call stream = startStream(harness);
        close(harness, 2'900, stream.call);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(stream.request));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("request_end").size());
        CPPUNIT_ASSERT(harness.logLines("request_end").front().find("stream_end=close stops=0")
                       != std::string::npos);
    }

    // Guards against whole streams that are cut since they end late.
    void streamWithFramingIsWholeWheneverItEnds()
    {
        DispatcherHarness harness;
        const Call stream = startStream(harness);
        harness.end(3'100, stream.call, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(stream.request));
    }

    // Guards against the same at a node whose VM was suspended: its own time goes slower.
    void suspensionCountsAsTimeOfTheServer()
    {
        DispatcherHarness harness;
        const Call stream = startStream(harness);
        close(harness, 1'000, stream.call, std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(stream.request));
    }

    // Guards against a whole stream that is cut, since its run was stopped after the last event, so
    // that the engine that continues it has nothing left to send.
    void continuationWithoutAnEventCompletesTheStream()
    {
        for (const bool isEmptyRest : {false, true}) {
            DispatcherHarness harness;
            const Call stream = startStream(harness, "resumable");
            harness.end(1'000, stream.call, CallEnd::Broken);
            harness.grant(1'010, harness.nextCall(CallKind::Reserve));
            const StartCall rest = harness.nextCall(CallKind::Whole);
            CPPUNIT_ASSERT(rest.isResumption);
            CallEnded ended;
            ended.call = rest.call;
            ended.end = CallEnd::Complete;
            ended.status = 200;
            ended.isEmptyRest = isEmptyRest;
            harness.reduce(1'100, ended);
            CPPUNIT_ASSERT_EQUAL(text(isEmptyRest ? "streamed" : "cut"),
                                 harness.outcome(stream.request));
        }
    }

    // Guards against a part of a plain answer that is delivered as all of it.
    void plainAnswerThatIsClosedWhenItsTimeIsOverFails()
    {
        DispatcherHarness harness;
        const Call plain = startPlain(harness, "plain");
        close(harness, 995, plain.call);
        CPPUNIT_ASSERT_EQUAL(text("failed 504"), harness.outcome(plain.request));

        DispatcherHarness other;
        const Call whole = startPlain(other, "plain");
        close(other, 900, whole.call);
        CPPUNIT_ASSERT_EQUAL(text("delivered"), other.outcome(whole.request));
    }

    // A server's own answer that its time is over is better than one of the node.
    void failureWithoutALengthIsDeliveredWheneverItEnds()
    {
        DispatcherHarness harness;
        const Call plain = startPlain(harness, "plain");
        close(harness, 1'010, plain.call, {}, 504);
        CPPUNIT_ASSERT_EQUAL(text("delivered"), harness.outcome(plain.request));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamEndTest);
