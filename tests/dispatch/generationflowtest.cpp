#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr std::uint32_t Prompt = 5'000;

std::string text(const char *words)
{
    return words;
}

/** Adds two decode and two prefill engines. */
void useEngines(DispatcherHarness &harness)
{
    harness.useRoutes();
    harness.addServer("d1", EnginePhase::Decode);
    harness.addServer("d2", EnginePhase::Decode);
    harness.addServer("p1", EnginePhase::Prefill);
    harness.addServer("p2", EnginePhase::Prefill);
}

/** Runs a request up to its decode call, which is returned. */
StartCall runToDecode(DispatcherHarness &harness, int milliseconds)
{
    harness.grant(milliseconds, harness.nextCall(CallKind::Reserve));
    harness.grant(milliseconds + 100, harness.nextCall(CallKind::Prefill));
    return harness.nextCall(CallKind::Decode);
}

} // namespace

class GenerationFlowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GenerationFlowTest);
    CPPUNIT_TEST(reservesThenPrefillsThenDecodes);
    CPPUNIT_TEST(startsNoPrefillWithoutReservation);
    CPPUNIT_TEST(rejectsRequestsWithoutReservation);
    CPPUNIT_TEST(requestsInTimePrecedeLateOnes);
    CPPUNIT_TEST(failedPrefillIsRetriedElsewhere);
    CPPUNIT_TEST(lostHandleMovesPrefillToTheDecodeEngine);
    CPPUNIT_TEST(allCallsBeyondTheFirstAreRetries);
    CPPUNIT_TEST(nonResumableStreamIsAborted);
    CPPUNIT_TEST(resumableStreamContinuesElsewhere);
    CPPUNIT_TEST(errorResponseDoesNotCompleteAStream);
    CPPUNIT_TEST(disconnectReleasesAllResources);
    CPPUNIT_TEST(lateReservationIsReleased);
    CPPUNIT_TEST(prefillsOnDecodeEngineWithoutPrefillEngines);
    CPPUNIT_TEST(doesNotUseADrainingEngine);
    CPPUNIT_TEST(waitingClaimGetsAnEngineWhoseLimitAllowsRequestsAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void reservesThenPrefillsThenDecodes()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT(reserve.reserveTokens >= Prompt + 500);
        harness.grant(2, reserve);
        const StartCall prefill = harness.nextCall(CallKind::Prefill);
        harness.grant(100, prefill);
        const StartCall decode = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(decode.server == reserve.server);
        CPPUNIT_ASSERT(!decode.reservation.empty());
        CPPUNIT_ASSERT(!decode.handle.empty());
        CPPUNIT_ASSERT_EQUAL(prefill.address, decode.handleAddress);
        harness.reduce(200, StreamStarted {decode.call, 200, {}});
        harness.end(3'000, decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // While decode engines are full, prefills must not start: their KV caches would expire unused.
    void startsNoPrefillWithoutReservation()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        for (int time = 0; time < 500; time += 10) {
            while (harness.hasCalls()) {
                harness.end(time, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503);
            }
            harness.reduce(time, TimePassed {});
        }
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(request));
        harness.advance(500, 600);
        harness.grant(600, harness.nextCall(CallKind::Reserve));
    }

    void rejectsRequestsWithoutReservation()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        int asked = 0;
        for (int time = 0; time < 3'000; time += 10) {
            while (harness.hasCalls()) {
                ++asked;
                harness.end(time, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503);
            }
            harness.reduce(time, TimePassed {});
        }
        CPPUNIT_ASSERT_EQUAL(text("rejected"), harness.outcome(request));
        CPPUNIT_ASSERT(asked < 120);
    }

    // Under overload, requests that can still meet their target go before late ones.
    void requestsInTimePrecedeLateOnes()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto late = harness.arrive(0, "stream", Prompt);
        for (int time = 0; time < 680; time += 10) {
            while (harness.hasCalls()) {
                harness.end(time, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503);
            }
            harness.reduce(time, TimePassed {});
        }
        const auto inTime = harness.arrive(685, "stream", Prompt);
        harness.advance(760, 760);
        CPPUNIT_ASSERT(harness.hasCalls());
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).request == inTime);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(late));
    }

    void failedPrefillIsRetriedElsewhere()
    {
        DispatcherHarness harness;
        useEngines(harness);
        harness.arrive(0, "stream", Prompt);
        harness.grant(2, harness.nextCall(CallKind::Reserve));
        const StartCall first = harness.nextCall(CallKind::Prefill);
        harness.end(1'200, first, CallEnd::Broken);
        const StartCall second = harness.nextCall(CallKind::Prefill);
        CPPUNIT_ASSERT(first.server != second.server);
        harness.end(1'300, second, CallEnd::Broken);
        harness.nextCall(CallKind::Whole);
    }

    // The KV cache is lost between prefill and decode. The decode engine must process the prompt
    // itself, and other requests must use other prefill engines.
    void lostHandleMovesPrefillToTheDecodeEngine()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        harness.grant(2, harness.nextCall(CallKind::Reserve));
        const StartCall prefill = harness.nextCall(CallKind::Prefill);
        harness.grant(102, prefill);
        harness.end(110, harness.nextCall(CallKind::Decode), CallEnd::NotExecuted, 503);
        harness.grant(112, harness.nextCall(CallKind::Reserve));
        const StartCall whole = harness.nextCall(CallKind::Whole);
        CPPUNIT_ASSERT(!whole.reservation.empty());
        harness.reduce(400, StreamStarted {whole.call, 200, {}});
        for (int time = 410; time < 1'000; time += 100) {
            harness.arrive(time, "stream", Prompt);
            harness.grant(time + 2, harness.nextCall(CallKind::Reserve));
            CPPUNIT_ASSERT(harness.nextCall(CallKind::Prefill).server != prefill.server);
        }
        harness.end(1'100, whole, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(request));
    }

    // All calls beyond a request's first count against the retry budget, except after a successful
    // prefill.
    void allCallsBeyondTheFirstAreRetries()
    {
        DispatcherHarness harness;
        useEngines(harness);
        constexpr int Requests = 100;
        int arrivals = 0;
        for (int i = 0; i < Requests; ++i) {
            harness.arrive(i * 50, "stream", Prompt);
            while (harness.hasCalls()) {
                const StartCall call = harness.nextCall();
                if (call.kind == CallKind::Reserve) {
                    harness.grant(i * 50, call);
                } else if (call.kind == CallKind::Prefill || call.kind == CallKind::Decode
                           || call.kind == CallKind::Whole) {
                    ++arrivals;
                    harness.end(i * 50 + 1, call, CallEnd::NotExecuted, 503);
                }
            }
        }
        const RetryBudgetSettings bounds;
        CPPUNIT_ASSERT(arrivals <= Requests + Requests * bounds.ratio + bounds.slack / 4.0);
    }

    // An engine fails during a stream that must not be repeated. The caller must see an aborted
    // connection.
    void nonResumableStreamIsAborted()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        const StartCall decode = runToDecode(harness, 2);
        harness.reduce(200, StreamStarted {decode.call, 200, {}});
        harness.end(900, decode, CallEnd::Broken, 200);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(request));
    }

    // An engine fails during a resumable stream. The caller must see one stream without a gap.
    void resumableStreamContinuesElsewhere()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto request = harness.arrive(0, "resumable", Prompt);
        const StartCall decode = runToDecode(harness, 2);
        harness.reduce(200, StreamStarted {decode.call, 200, {}});
        CallEnded broken;
        broken.call = decode.call;
        broken.end = CallEnd::Broken;
        broken.events = 5;
        harness.reduce(900, broken);
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT(reserve.server != decode.server);
        harness.grant(902, reserve);
        const StartCall whole = harness.nextCall(CallKind::Whole);
        CPPUNIT_ASSERT(whole.isResumption);
        harness.reduce(1'200, StreamStarted {whole.call, 200, {}});
        harness.end(2'000, whole, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(request));
    }

    // An engine fails during a stream and the next one answers with an error. The stream must not
    // end as complete.
    void errorResponseDoesNotCompleteAStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto request = harness.arrive(0, "resumable", Prompt);
        const StartCall decode = runToDecode(harness, 2);
        harness.reduce(200, StreamStarted {decode.call, 200, {}});
        CallEnded broken;
        broken.call = decode.call;
        broken.end = CallEnd::Broken;
        broken.events = 3;
        harness.reduce(1'000, broken);
        harness.grant(1'005, harness.nextCall(CallKind::Reserve));
        harness.end(1'020, harness.nextCall(CallKind::Whole), CallEnd::Complete, 500);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(request));
    }

    void disconnectReleasesAllResources()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto first = harness.arrive(0, "stream", Prompt);
        harness.grant(2, harness.nextCall(CallKind::Reserve));
        const StartCall prefill = harness.nextCall(CallKind::Prefill);
        harness.reduce(50, CallerLeft {first});
        CPPUNIT_ASSERT(harness.wasAbandoned(prefill));
        harness.nextCall(CallKind::Unreserve);

        const auto second = harness.arrive(100, "stream", Prompt);
        const StartCall decode = runToDecode(harness, 102);
        harness.reduce(300, CallerLeft {second});
        CPPUNIT_ASSERT(harness.wasAbandoned(decode));
        harness.nextCall(CallKind::FreeHandle);
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    void lateReservationIsReleased()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        harness.reduce(1, CallerLeft {request});
        CPPUNIT_ASSERT(!harness.wasAbandoned(reserve));
        harness.grant(3, reserve);
        const StartCall back = harness.nextCall(CallKind::Unreserve);
        CPPUNIT_ASSERT(back.server == reserve.server);
        CPPUNIT_ASSERT(!back.reservation.empty());
    }

    void prefillsOnDecodeEngineWithoutPrefillEngines()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.arrive(0, "stream", Prompt);
        harness.grant(2, harness.nextCall(CallKind::Reserve));
        const StartCall whole = harness.nextCall(CallKind::Whole);
        CPPUNIT_ASSERT(!whole.reservation.empty());
    }

    // An engine starts to drain between reservation and decode. It must not get the request.
    void doesNotUseADrainingEngine()
    {
        DispatcherHarness harness;
        useEngines(harness);
        harness.arrive(0, "stream", Prompt);
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        harness.grant(2, reserve);
        const StartCall prefill = harness.nextCall(CallKind::Prefill);
        harness.addServer(reserve.server.text(), EnginePhase::Decode, true);
        harness.grant(100, prefill);
        harness.nextCall(CallKind::Unreserve);
        harness.nextCall(CallKind::FreeHandle);
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).server != reserve.server);
    }

    // The only decode engine with room has a rate limit of 0, under which it may be asked from time
    // to time. Guards against a claim that names it as unusable until the scheduler refuses it.
    void waitingClaimGetsAnEngineWhoseLimitAllowsRequestsAgain()
    {
        const Incarnation life(1);
        DispatcherHarness harness;
        useEngines(harness);
        harness.dispatcher().setScheduler(NodeName("scheduler"));
        const auto grantOf = [](const scheduling::Claim &claim) {
            return scheduling::ClaimGranted {claim.claim, ServerName("d1"), ServerName("p1"),
                                             std::nullopt};
        };
        harness.arrive(0, "stream", Prompt);
        harness.reduce(
            1,
            SchedulerAnswered {grantOf(harness.nextSchedulerMessage<scheduling::Claim>()), life});
        harness.end(2, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503,
                    ServerAdvice {.requestsPerSecond = 0});
        harness.nextSchedulerMessage<scheduling::ClaimEnded>();
        harness.reduce(
            3,
            SchedulerAnswered {grantOf(harness.nextSchedulerMessage<scheduling::Claim>()), life});
        harness.reduce(4,
                       RateLimiterAnswered {ratelimits::PermitAnswer {
                           ratelimits::PermitId(1), false, std::chrono::milliseconds(17), false}});
        harness.nextSchedulerMessage<scheduling::ClaimEnded>();
        const auto claim = harness.nextSchedulerMessage<scheduling::Claim>();
        CPPUNIT_ASSERT(claim.excludedServers == std::vector<ServerName> {ServerName("d1")});
        harness.reduce(5, SchedulerAnswered {scheduling::ClaimQueued {claim.claim}, life});
        harness.advance(10, 40);
        const auto repeated = harness.nextSchedulerMessage<scheduling::Claim>();
        CPPUNIT_ASSERT(repeated.claim == claim.claim);
        CPPUNIT_ASSERT(repeated.excludedServers.empty());
        harness.reduce(42, SchedulerAnswered {grantOf(repeated), life});
        harness.reduce(43,
                       RateLimiterAnswered {ratelimits::PermitAnswer {ratelimits::PermitId(2), true,
                                                                      Duration(0), false}});
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).server == ServerName("d1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationFlowTest);
