#include "dispatch/dispatcherharness.h"

#include <algorithm>

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr int PauseMilliseconds = 3000;
const ServerAdvice Pause {.pause = std::chrono::milliseconds(PauseMilliseconds)};

std::string text(const char *words)
{
    return words;
}

/** Sends a plain request that succeeds and returns the server that it reached. */
ServerName serveOne(DispatcherHarness &harness, int time)
{
    harness.arrive(time, "plain");
    const StartCall call = harness.nextCall(CallKind::Plain);
    harness.end(time + 30, call, CallEnd::Complete, 200);
    return call.server;
}

/** Lets a server refuse a request and ask for a pause at @p time; returns the server. */
ServerName refuseOne(DispatcherHarness &harness, int time)
{
    harness.arrive(time, "plain");
    const StartCall call = harness.nextCall(CallKind::Plain);
    harness.end(time, call, CallEnd::NotExecuted, 503, Pause);
    while (harness.hasCalls()) {
        harness.end(time + 30, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200);
    }
    return call.server;
}

} // namespace

/** Servers that refuse a request and want no more requests from the node for a time. */
class PausedServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PausedServerTest);
    CPPUNIT_TEST(getsNoRequestsDuringItsPause);
    CPPUNIT_TEST(isUsedAgainAfterItsPause);
    CPPUNIT_TEST(shorterPauseDoesNotEndALongerOne);
    CPPUNIT_TEST(requestsAreRejectedAtOnceIfAllArePaused);
    CPPUNIT_TEST(refusedCallerReturnsAfterThePause);
    CPPUNIT_TEST(nextLifeIsNotPaused);
    CPPUNIT_TEST(otherServerGetsTheRefusedRequest);
    CPPUNIT_TEST(requestWithAPermitRespectsThePause);
    CPPUNIT_TEST(pausedEngineIsNotReserved);
    CPPUNIT_TEST(pausedEngineIsNotGranted);
    CPPUNIT_TEST(pausedPrefillEngineIsNotUsed);
    CPPUNIT_TEST(reservedRequestGoesElsewhere);
    CPPUNIT_TEST(generationsAreRejectedAtOnceIfAllEnginesArePaused);
    CPPUNIT_TEST(generationWaitsForAPauseThatEndsInTime);
    CPPUNIT_TEST(claimWaitsForAPauseThatEndsInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests to a server that has refused one and asked for a pause.
    void getsNoRequestsDuringItsPause()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.addServer("b");
        const ServerName paused = refuseOne(harness, 0);
        for (int time = 100; time < PauseMilliseconds; time += 50) {
            CPPUNIT_ASSERT(serveOne(harness, time) != paused);
        }
    }

    void isUsedAgainAfterItsPause()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.addServer("b");
        const ServerName paused = refuseOne(harness, 0);
        int used = 0;
        for (int time = PauseMilliseconds + 10; time < 2 * PauseMilliseconds; time += 50) {
            used += serveOne(harness, time) == paused ? 1 : 0;
        }
        CPPUNIT_ASSERT(used > 10);
    }

    void shorterPauseDoesNotEndALongerOne()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        harness.arrive(0, "plain");
        const StartCall first = harness.nextCall(CallKind::Plain);
        const StartCall second = harness.nextCall(CallKind::Plain);
        harness.end(10, first, CallEnd::NotExecuted, 503, Pause);
        harness.end(20, second, CallEnd::NotExecuted, 503,
                    ServerAdvice {.pause = std::chrono::milliseconds(500)});
        harness.arrive(1000, "plain");
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against waiting requests, and against callers who return before a server takes them.
    void requestsAreRejectedAtOnceIfAllArePaused()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        refuseOne(harness, 0);
        const auto request = harness.arrive(1000, "plain");
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(text("rejected"), harness.outcome(request));
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(harness.retryAfter(request)
                       >= std::chrono::milliseconds(PauseMilliseconds - 1000));
    }

    // Guards against a caller who returns while the server that refused it still wants no requests.
    void refusedCallerReturnsAfterThePause()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        const auto request = harness.arrive(0, "plain");
        harness.end(5, harness.nextCall(CallKind::Plain), CallEnd::NotExecuted, 503, Pause);
        CPPUNIT_ASSERT_EQUAL(text("rejected"), harness.outcome(request));
        CPPUNIT_ASSERT(harness.retryAfter(request) >= std::chrono::milliseconds(PauseMilliseconds));
    }

    void nextLifeIsNotPaused()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        refuseOne(harness, 0);
        harness.dispatcher().remove(ServerName("a"));
        harness.addServer("a@2");
        CPPUNIT_ASSERT(serveOne(harness, 100) == ServerName("a@2"));
    }

    void otherServerGetsTheRefusedRequest()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.addServer("b");
        const auto request = harness.arrive(0, "plain");
        const StartCall call = harness.nextCall(CallKind::Plain);
        harness.end(5, call, CallEnd::NotExecuted, 503, Pause);
        const StartCall second = harness.nextCall(CallKind::Plain);
        CPPUNIT_ASSERT(second.server != call.server);
        harness.end(35, second, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("delivered"), harness.outcome(request));
    }

    // Guards against sending a request whose permit was asked for before the pause.
    void requestWithAPermitRespectsThePause()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        const StartCall other = harness.nextCall(CallKind::Plain);
        harness.arrive(0, "plain");
        harness.end(10, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200,
                    ServerAdvice {.requestsPerSecond = 100});
        harness.dispatcher().setScheduler(NodeName("n"));
        const auto request = harness.arrive(20, "plain");
        CPPUNIT_ASSERT(!harness.hasCalls());
        harness.end(21, other, CallEnd::NotExecuted, 503,
                    ServerAdvice {.requestsPerSecond = 100, .pause = Pause.pause});
        harness.reduce(22,
                       RateLimiterAnswered {ratelimits::PermitAnswer {ratelimits::PermitId(1), true,
                                                                      Duration(0), false}});
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(text("rejected"), harness.outcome(request));
    }

    // Guards against overlooking the pause in the refusal of a reservation.
    void pausedEngineIsNotReserved()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("d2", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.arrive(0, "stream", 500);
        const StartCall refused = harness.nextCall(CallKind::Reserve);
        harness.end(5, refused, CallEnd::NotExecuted, 503, Pause);
        for (int time = 10; time + 100 < PauseMilliseconds; time += 100) {
            harness.arrive(time, "stream", 500);
            harness.advance(time, time + 90);
            while (harness.hasCalls()) {
                const StartCall call = harness.nextCall();
                CPPUNIT_ASSERT(call.server != refused.server);
                harness.end(time + 95, call, CallEnd::NotExecuted, 503);
            }
        }
    }

    // Guards against a scheduling node that does not know which engines want a pause from this
    // node.
    void pausedEngineIsNotGranted()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("d2", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.arrive(0, "stream", 500);
        const StartCall refused = harness.nextCall(CallKind::Reserve);
        harness.end(5, refused, CallEnd::NotExecuted, 503, Pause);
        while (harness.hasCalls()) {
            harness.nextCall();
        }
        harness.dispatcher().setScheduler(NodeName("n"));
        harness.arrive(100, "stream", 500);
        const auto claim = harness.nextSchedulerMessage<scheduling::Claim>();
        CPPUNIT_ASSERT(std::ranges::find(claim.excludedServers, refused.server)
                       != claim.excludedServers.end());
        harness.reduce(
            110,
            SchedulerAnswered {
                scheduling::ClaimGranted {claim.claim, refused.server, ServerName("p1"), {}, false},
                Incarnation(1)});
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    void pausedPrefillEngineIsNotUsed()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.addServer("p2", EnginePhase::Prefill);
        harness.arrive(0, "stream", 500);
        harness.grant(5, harness.nextCall(CallKind::Reserve));
        const StartCall refused = harness.nextCall(CallKind::Prefill);
        harness.end(10, refused, CallEnd::NotExecuted, 503, Pause);
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Prefill).server != refused.server);
        harness.arrive(100, "stream", 500);
        harness.grant(105, harness.nextCall(CallKind::Reserve));
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Prefill).server != refused.server);
    }

    // Guards against a decode call to an engine that asked for a pause after the reservation.
    void reservedRequestGoesElsewhere()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.arrive(0, "stream", 500);
        harness.grant(5, harness.nextCall(CallKind::Reserve));
        const StartCall prefill = harness.nextCall(CallKind::Prefill);
        harness.arrive(6, "stream", 500);
        harness.end(10, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503, Pause);
        harness.addServer("d2", EnginePhase::Decode);
        harness.grant(100, prefill);
        while (harness.hasCalls()) {
            const StartCall call = harness.nextCall();
            CPPUNIT_ASSERT(!carriesRequest(call.kind) || call.server == ServerName("d2"));
        }
    }

    void generationsAreRejectedAtOnceIfAllEnginesArePaused()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.arrive(0, "stream", 500);
        harness.end(5, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503, Pause);
        const auto request = harness.arrive(1000, "stream", 500);
        CPPUNIT_ASSERT_EQUAL(text("rejected"), harness.outcome(request));
        CPPUNIT_ASSERT(harness.retryAfter(request)
                       >= std::chrono::milliseconds(PauseMilliseconds - 1000));
    }

    // Guards against rejecting callers, or cutting streams, for a pause of a moment.
    void generationWaitsForAPauseThatEndsInTime()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        const auto request = harness.arrive(0, "stream", 500);
        harness.end(5, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503,
                    ServerAdvice {.pause = std::chrono::milliseconds(300)});
        harness.advance(10, 300);
        CPPUNIT_ASSERT(!harness.hasCalls());
        harness.advance(310, 400);
        harness.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(request));
    }

    // Guards against a claim that excludes an engine for longer than its pause.
    void claimWaitsForAPauseThatEndsInTime()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.arrive(0, "stream", 500);
        harness.end(5, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503,
                    ServerAdvice {.pause = std::chrono::milliseconds(300)});
        harness.dispatcher().setScheduler(NodeName("n"));
        harness.advance(10, 300);
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
        harness.advance(310, 450);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<scheduling::Claim>().excludedServers.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PausedServerTest);
