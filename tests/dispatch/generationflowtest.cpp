#include "dispatch/dispatchplay.h"

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr std::uint32_t Prompt = 5'000;

std::string text(const char *words)
{
    return words;
}

/** Two decode and two prefill engines. */
void useEngines(DispatchPlay &play)
{
    play.useRoutes();
    play.addServer("d1", EnginePhase::Decode);
    play.addServer("d2", EnginePhase::Decode);
    play.addServer("p1", EnginePhase::Prefill);
    play.addServer("p2", EnginePhase::Prefill);
}

/** Takes a request up to its decode call, which is returned. */
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

    // The decode engines are full. A prompt read now would lie in a prefill engine's memory and
    // lapse before there is room for it: the work would be lost, and done again later.
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

    // Load above capacity: requests queue. One that can still meet its target goes before those
    // that cannot any more, however long they have waited; else all would be late.
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

    // The KV cache lapses between prefill and decode, or its engine cannot be reached. Nothing has
    // run. The reservation is used up, so room is asked for anew, and the decode engine reads the
    // prompt itself; other requests' prompts go to other prefill engines.
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

    // Every prefill fails, and so does every decode. Each call that a service gets beyond a
    // request's first counts against the bound over all nodes; a prefill that was not done is one.
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

    // The engine dies in the middle of a stream that must not run twice. The caller sees a cut
    // connection, and never an end that looks whole.
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

    // As above, but the route says that another engine may go on after an event. The caller sees
    // one stream without a gap.
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

    // A caller leaves between prefill and decode, and while it waits. Nothing may stay held for
    // it: neither the KV cache, nor the reserved room, nor a running call.
    // Half of a stream has been passed on when its engine crashes. The engine that is to go on
    // answers with a failure, whole and in good order. The caller must not see the half as a whole.
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

    // The engine begins to leave between the reservation and the decode. A request sent there
    // would reach a server that no new work may go to.
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
