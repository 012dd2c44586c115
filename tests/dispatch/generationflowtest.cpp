#include "dispatch/dispatchplay.h"

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr std::uint32_t Prompt = 5'000;

std::string text(const char *words)
{
    return words;
}

/** Adds two decode and two prefill engines. */
void useEngines(DispatchPlay &play)
{
    play.useRoutes();
    play.addServer("d1", EnginePhase::Decode);
    play.addServer("d2", EnginePhase::Decode);
    play.addServer("p1", EnginePhase::Prefill);
    play.addServer("p2", EnginePhase::Prefill);
}

/** Runs a request up to its decode call, which is returned. */
StartCall playToDecode(DispatchPlay &play, int milliseconds)
{
    play.grant(milliseconds, play.nextCall(CallKind::Reserve));
    play.grant(milliseconds + 100, play.nextCall(CallKind::Prefill));
    return play.nextCall(CallKind::Decode);
}

} // namespace

class GenerationFlowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GenerationFlowTest);
    CPPUNIT_TEST(reservesThenPrefillsThenDecodes);
    CPPUNIT_TEST(readsNoPromptWithoutRoom);
    CPPUNIT_TEST(whatFindsNoRoomIsRejected);
    CPPUNIT_TEST(requestsInTimeGoBeforeLateOnes);
    CPPUNIT_TEST(aFailedPrefillGoesElsewhere);
    CPPUNIT_TEST(aLapsedHandleIsReadByTheDecodeEngine);
    CPPUNIT_TEST(allCallsBeyondTheFirstAreRetries);
    CPPUNIT_TEST(aStreamThatMayNotRunAgainIsCut);
    CPPUNIT_TEST(aResumableStreamGoesOnElsewhere);
    CPPUNIT_TEST(aFailureInPlaceOfTheRestIsNoEnd);
    CPPUNIT_TEST(nothingIsKeptForACallerWhoLeft);
    CPPUNIT_TEST(aReservationGrantedTooLateIsGivenBack);
    CPPUNIT_TEST(readsWholeWithoutPrefillEngines);
    CPPUNIT_TEST(doesNotUseALeavingEngine);
    CPPUNIT_TEST_SUITE_END();

public:
    void reservesThenPrefillsThenDecodes()
    {
        DispatchPlay play;
        useEngines(play);
        const auto request = play.arrive(0, "stream", Prompt);
        const StartCall reserve = play.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT(reserve.reserveTokens >= Prompt + 500);
        play.grant(2, reserve);
        const StartCall prefill = play.nextCall(CallKind::Prefill);
        play.grant(100, prefill);
        const StartCall decode = play.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(decode.server == reserve.server);
        CPPUNIT_ASSERT(!decode.reservation.empty());
        CPPUNIT_ASSERT(!decode.handle.empty());
        CPPUNIT_ASSERT_EQUAL(prefill.address, decode.handleAddress);
        play.reduce(200, StreamBegan {decode.call, 200, {}});
        play.end(3'000, decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), play.outcome(request));
        CPPUNIT_ASSERT(!play.hasCalls());
    }

    // While decode engines are full, prefills must not start: their KV caches would expire unused.
    void readsNoPromptWithoutRoom()
    {
        DispatchPlay play;
        useEngines(play);
        const auto request = play.arrive(0, "stream", Prompt);
        for (int time = 0; time < 500; time += 10) {
            while (play.hasCalls()) {
                play.end(time, play.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503);
            }
            play.reduce(time, TimePassed {});
        }
        CPPUNIT_ASSERT_EQUAL(text("open"), play.outcome(request));
        play.wait(500, 600);
        play.grant(600, play.nextCall(CallKind::Reserve));
    }

    void whatFindsNoRoomIsRejected()
    {
        DispatchPlay play;
        useEngines(play);
        const auto request = play.arrive(0, "stream", Prompt);
        int asked = 0;
        for (int time = 0; time < 3'000; time += 10) {
            while (play.hasCalls()) {
                ++asked;
                play.end(time, play.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503);
            }
            play.reduce(time, TimePassed {});
        }
        CPPUNIT_ASSERT_EQUAL(text("rejected"), play.outcome(request));
        CPPUNIT_ASSERT(asked < 120);
    }

    // Under overload, requests that can still meet their target go before late ones.
    void requestsInTimeGoBeforeLateOnes()
    {
        DispatchPlay play;
        useEngines(play);
        const auto late = play.arrive(0, "stream", Prompt);
        for (int time = 0; time < 680; time += 10) {
            while (play.hasCalls()) {
                play.end(time, play.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503);
            }
            play.reduce(time, TimePassed {});
        }
        const auto inTime = play.arrive(685, "stream", Prompt);
        play.wait(760, 760);
        CPPUNIT_ASSERT(play.hasCalls());
        CPPUNIT_ASSERT(play.nextCall(CallKind::Reserve).request == inTime);
        CPPUNIT_ASSERT_EQUAL(text("open"), play.outcome(late));
    }

    void aFailedPrefillGoesElsewhere()
    {
        DispatchPlay play;
        useEngines(play);
        play.arrive(0, "stream", Prompt);
        play.grant(2, play.nextCall(CallKind::Reserve));
        const StartCall first = play.nextCall(CallKind::Prefill);
        play.end(1'200, first, CallEnd::Broken);
        const StartCall second = play.nextCall(CallKind::Prefill);
        CPPUNIT_ASSERT(first.server != second.server);
        play.end(1'300, second, CallEnd::Broken);
        play.nextCall(CallKind::Whole);
    }

    // The KV cache is lost between prefill and decode. The decode engine must process the prompt
    // itself, and other requests must use other prefill engines.
    void aLapsedHandleIsReadByTheDecodeEngine()
    {
        DispatchPlay play;
        useEngines(play);
        const auto request = play.arrive(0, "stream", Prompt);
        play.grant(2, play.nextCall(CallKind::Reserve));
        const StartCall prefill = play.nextCall(CallKind::Prefill);
        play.grant(102, prefill);
        play.end(110, play.nextCall(CallKind::Decode), CallEnd::NotExecuted, 503);
        play.grant(112, play.nextCall(CallKind::Reserve));
        const StartCall whole = play.nextCall(CallKind::Whole);
        CPPUNIT_ASSERT(!whole.reservation.empty());
        play.reduce(400, StreamBegan {whole.call, 200, {}});
        for (int time = 410; time < 1'000; time += 100) {
            play.arrive(time, "stream", Prompt);
            play.grant(time + 2, play.nextCall(CallKind::Reserve));
            CPPUNIT_ASSERT(play.nextCall(CallKind::Prefill).server != prefill.server);
        }
        play.end(1'100, whole, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), play.outcome(request));
    }

    // All calls beyond a request's first count against the retry budget, except after a successful
    // prefill.
    void allCallsBeyondTheFirstAreRetries()
    {
        DispatchPlay play;
        useEngines(play);
        constexpr int Requests = 100;
        int arrivals = 0;
        for (int i = 0; i < Requests; ++i) {
            play.arrive(i * 50, "stream", Prompt);
            while (play.hasCalls()) {
                const StartCall call = play.nextCall();
                if (call.kind == CallKind::Reserve) {
                    play.grant(i * 50, call);
                } else if (call.kind == CallKind::Prefill || call.kind == CallKind::Decode
                           || call.kind == CallKind::Whole) {
                    ++arrivals;
                    play.end(i * 50 + 1, call, CallEnd::NotExecuted, 503);
                }
            }
        }
        const RetryBounds bounds;
        CPPUNIT_ASSERT(arrivals <= Requests + Requests * bounds.ratio + bounds.slack / 4.0);
    }

    // An engine fails during a stream that must not be repeated. The caller must see an aborted
    // connection.
    void aStreamThatMayNotRunAgainIsCut()
    {
        DispatchPlay play;
        useEngines(play);
        const auto request = play.arrive(0, "stream", Prompt);
        const StartCall decode = playToDecode(play, 2);
        play.reduce(200, StreamBegan {decode.call, 200, {}});
        play.end(900, decode, CallEnd::Broken, 200);
        CPPUNIT_ASSERT(!play.hasCalls());
        CPPUNIT_ASSERT_EQUAL(text("cut"), play.outcome(request));
    }

    // An engine fails during a resumable stream. The caller must see one stream without a gap.
    void aResumableStreamGoesOnElsewhere()
    {
        DispatchPlay play;
        useEngines(play);
        const auto request = play.arrive(0, "resumable", Prompt);
        const StartCall decode = playToDecode(play, 2);
        play.reduce(200, StreamBegan {decode.call, 200, {}});
        CallEnded broken;
        broken.call = decode.call;
        broken.end = CallEnd::Broken;
        broken.events = 5;
        play.reduce(900, broken);
        const StartCall reserve = play.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT(reserve.server != decode.server);
        play.grant(902, reserve);
        const StartCall whole = play.nextCall(CallKind::Whole);
        CPPUNIT_ASSERT(whole.goesOn);
        play.reduce(1'200, StreamBegan {whole.call, 200, {}});
        play.end(2'000, whole, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), play.outcome(request));
    }

    // An engine fails during a stream and the next one answers with an error. The stream must not
    // end as complete.
    void aFailureInPlaceOfTheRestIsNoEnd()
    {
        DispatchPlay play;
        useEngines(play);
        const auto request = play.arrive(0, "resumable", Prompt);
        const StartCall decode = playToDecode(play, 2);
        play.reduce(200, StreamBegan {decode.call, 200, {}});
        CallEnded broken;
        broken.call = decode.call;
        broken.end = CallEnd::Broken;
        broken.events = 3;
        play.reduce(1'000, broken);
        play.grant(1'005, play.nextCall(CallKind::Reserve));
        play.end(1'020, play.nextCall(CallKind::Whole), CallEnd::Complete, 500);
        CPPUNIT_ASSERT_EQUAL(text("cut"), play.outcome(request));
    }

    void nothingIsKeptForACallerWhoLeft()
    {
        DispatchPlay play;
        useEngines(play);
        const auto first = play.arrive(0, "stream", Prompt);
        play.grant(2, play.nextCall(CallKind::Reserve));
        const StartCall prefill = play.nextCall(CallKind::Prefill);
        play.reduce(50, CallerLeft {first});
        CPPUNIT_ASSERT(play.wasAbandoned(prefill));
        play.nextCall(CallKind::Unreserve);

        const auto second = play.arrive(100, "stream", Prompt);
        const StartCall decode = playToDecode(play, 102);
        play.reduce(300, CallerLeft {second});
        CPPUNIT_ASSERT(play.wasAbandoned(decode));
        play.nextCall(CallKind::FreeHandle);
        CPPUNIT_ASSERT(!play.hasCalls());
    }

    void aReservationGrantedTooLateIsGivenBack()
    {
        DispatchPlay play;
        useEngines(play);
        const auto request = play.arrive(0, "stream", Prompt);
        const StartCall reserve = play.nextCall(CallKind::Reserve);
        play.reduce(1, CallerLeft {request});
        CPPUNIT_ASSERT(!play.wasAbandoned(reserve));
        play.grant(3, reserve);
        const StartCall back = play.nextCall(CallKind::Unreserve);
        CPPUNIT_ASSERT(back.server == reserve.server);
        CPPUNIT_ASSERT(!back.reservation.empty());
    }

    void readsWholeWithoutPrefillEngines()
    {
        DispatchPlay play;
        play.useRoutes();
        play.addServer("d1", EnginePhase::Decode);
        play.arrive(0, "stream", Prompt);
        play.grant(2, play.nextCall(CallKind::Reserve));
        const StartCall whole = play.nextCall(CallKind::Whole);
        CPPUNIT_ASSERT(!whole.reservation.empty());
    }

    // An engine starts to drain between reservation and decode. It must not get the request.
    void doesNotUseALeavingEngine()
    {
        DispatchPlay play;
        useEngines(play);
        play.arrive(0, "stream", Prompt);
        const StartCall reserve = play.nextCall(CallKind::Reserve);
        play.grant(2, reserve);
        const StartCall prefill = play.nextCall(CallKind::Prefill);
        play.addServer(reserve.server.text(), EnginePhase::Decode, true);
        play.grant(100, prefill);
        play.nextCall(CallKind::Unreserve);
        play.nextCall(CallKind::FreeHandle);
        CPPUNIT_ASSERT(play.nextCall(CallKind::Reserve).server != reserve.server);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationFlowTest);
