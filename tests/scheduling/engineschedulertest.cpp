#include "scheduling/schedulingplay.h"

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

const NodeLife A = SchedulingPlay::node("a");
const NodeLife B = SchedulingPlay::node("b");

std::string text(const char *words)
{
    return words;
}

Claim withUrgency(Claim claim, Urgency urgency)
{
    claim.urgency = urgency;
    return claim;
}

} // namespace

class EngineSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineSchedulerTest);
    CPPUNIT_TEST(givesRoomOutOnceToAllNodes);
    CPPUNIT_TEST(sendsAPromptWhereItIsReadNext);
    CPPUNIT_TEST(sendsNoPromptThatWouldWaitLong);
    CPPUNIT_TEST(refusesAtOnceWhatCannotBeInTime);
    CPPUNIT_TEST(servesAPromptThatIsLateByItsLength);
    CPPUNIT_TEST(streamsThatGoOnComeFirstAndThoseComingBackLast);
    CPPUNIT_TEST(theMoreUrgentGoFirstAmongThoseInTime);
    CPPUNIT_TEST(keepsRoomForALargeClaim);
    CPPUNIT_TEST(answersARepeatedClaimTheSame);
    CPPUNIT_TEST(theDecodeEngineReadsWithoutPrefillEngines);
    CPPUNIT_TEST(decodeEnginesReadWhatPrefillEnginesCannotInTime);
    CPPUNIT_TEST(decodeEnginesReadNothingWhileTheirRoomIsWanted);
    CPPUNIT_TEST(freesWhatADeadNodeHeld);
    CPPUNIT_TEST(freesWhatAnEarlierLifeHeld);
    CPPUNIT_TEST(forgetsEnginesThatAreGone);
    CPPUNIT_TEST(countsWhatNodesHoldAlready);
    CPPUNIT_TEST(seesRunsBeginThatAnotherSchedulerGranted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Two nodes want the last room of the only engine at the same moment. Nodes that choose alone
    // would both ask the engine, and one would have made the way for nothing.
    void givesRoomOutOnceToAllNodes()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("p", EnginePhase::Prefill);
        play.tell(0, A, SchedulingPlay::claimOf(1, 30'000));
        play.tell(0, B, SchedulingPlay::patient(SchedulingPlay::claimOf(1, 30'000)));
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(A, 1));
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(B, 1));
        play.tell(300, A, PrefillEnded {ClaimId(1), true});
        play.tell(400, A, ClaimEnded {ClaimId(1), ClaimEnd::Served});
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(B, 1));
    }

    void sendsAPromptWhereItIsReadNext()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("p1", EnginePhase::Prefill);
        play.addEngine("p2", EnginePhase::Prefill);
        play.tell(0, A, SchedulingPlay::claimOf(1, 9'000));
        play.tell(1, B, SchedulingPlay::claimOf(1, 2'000));
        play.tell(2, A, SchedulingPlay::claimOf(2, 2'000));
        CPPUNIT_ASSERT_EQUAL(text("d/p1"), play.answer(A, 1));
        CPPUNIT_ASSERT_EQUAL(text("d/p2"), play.answer(B, 1));
        // The second engine has the shorter line, though both have one prompt.
        CPPUNIT_ASSERT_EQUAL(text("d/p2"), play.answer(A, 2));
    }

    // Prompts come faster than they are read. One that is sent anyway lies in the engine's line
    // while its decode memory is kept for it, and for nobody else.
    void sendsNoPromptThatWouldWaitLong()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("p", EnginePhase::Prefill);
        for (std::uint64_t i = 1; i <= 4; ++i) {
            play.tell(0, A, SchedulingPlay::claimOf(i, 9'000));
        }
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(A, 1));
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(A, 2));
        play.tick(150);
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(A, 2));
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(A, 3));
    }

    // A burst of twice what the engines can hold. A caller who is told now can come back in time;
    // one who waits for a refusal has lost that time as well.
    void refusesAtOnceWhatCannotBeInTime()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("p1", EnginePhase::Prefill);
        play.addEngine("p2", EnginePhase::Prefill);
        int refusedAtOnce = 0;
        for (std::uint64_t i = 1; i <= 40; ++i) {
            play.tell(0, A, SchedulingPlay::claimOf(i));
            refusedAtOnce += play.answer(A, i) == "refused" ? 1 : 0;
        }
        CPPUNIT_ASSERT(refusedAtOnce > 10);
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(A, 11));
    }

    // The prompt alone takes longer than the target, on idle engines too. Refusing it because it
    // will be late would refuse all such prompts for ever.
    void servesAPromptThatIsLateByItsLength()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("p", EnginePhase::Prefill);
        Claim claim = SchedulingPlay::claimOf(1, 48'000);
        claim.promptTokens = 47'000;
        claim.untilTarget = std::chrono::milliseconds(500);
        play.tell(0, A, claim);
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(A, 1));
    }

    // The engine is full while three claims wait. Room comes free for one at a time: the stream
    // that its caller is in the middle of, then the one that can be in time, then the one that is
    // late already.
    void streamsThatGoOnComeFirstAndThoseComingBackLast()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("p", EnginePhase::Prefill);
        play.tell(0, A, SchedulingPlay::claimOf(1, 45'000));
        const Claim any = SchedulingPlay::patient(SchedulingPlay::claimOf(1, 20'000));
        play.tell(1, B, withUrgency(any, Urgency::ComingBack));
        play.tell(2, B, SchedulingPlay::patient(SchedulingPlay::claimOf(2, 40'000)));
        Claim goesOn = withUrgency(SchedulingPlay::patient(SchedulingPlay::claimOf(3, 40'000)),
                                   Urgency::GoesOn);
        goesOn.promptTokens = 0;
        play.tell(3, B, goesOn);
        play.tell(50, A, PrefillEnded {ClaimId(1), true});
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(B, 3));
        play.tell(60, A, ClaimEnded {ClaimId(1), ClaimEnd::Served});
        CPPUNIT_ASSERT_EQUAL(text("d/"), play.answer(B, 3));
        play.tell(100, B, ClaimEnded {ClaimId(3), ClaimEnd::Served});
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(B, 2));
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(B, 1));
    }

    // Small requests come all the time, and take each piece of room that comes free. A large one
    // would wait for ever.
    // One engine is full, two organisations wait for it. The one that operators declared to be
    // more urgent is served first, though it came later.
    void theMoreUrgentGoFirstAmongThoseInTime()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.tell(0, A, SchedulingPlay::claimOf(1, 40'000));
        Claim ordinary = SchedulingPlay::patient(SchedulingPlay::claimOf(2, 30'000));
        ordinary.priority = 2;
        Claim urgent = SchedulingPlay::patient(SchedulingPlay::claimOf(3, 30'000));
        urgent.priority = 1;
        play.tell(10, A, ordinary);
        play.tell(20, B, urgent);
        play.tell(30, A, ClaimEnded {ClaimId(1)});
        CPPUNIT_ASSERT_EQUAL(text("d/"), play.answer(B, 3));
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(A, 2));
    }

    void keepsRoomForALargeClaim()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        for (std::uint64_t i = 1; i <= 10; ++i) {
            play.tell(0, A, SchedulingPlay::claimOf(i));
        }
        Claim large = SchedulingPlay::claimOf(1, 11'000);
        large.waitsAtMost = std::chrono::seconds(5);
        large.untilTarget = std::chrono::milliseconds(1'150);
        play.tell(1, B, large);
        int time = 200;
        for (std::uint64_t i = 1; i <= 3; ++i, time += 10) {
            play.tell(time, A, ClaimEnded {ClaimId(i), ClaimEnd::Served});
            play.tell(time + 1, A, SchedulingPlay::claimOf(100 + i));
        }
        CPPUNIT_ASSERT_EQUAL(text("d/"), play.answer(B, 1));
    }

    // The grant's datagram is lost, and the node asks again.
    void answersARepeatedClaimTheSame()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("p", EnginePhase::Prefill);
        play.tell(0, A, SchedulingPlay::claimOf(1, 30'000));
        play.forgetAnswers();
        play.tell(60, A, SchedulingPlay::claimOf(1, 30'000));
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(A, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, play.scheduler().granted());
    }

    void theDecodeEngineReadsWithoutPrefillEngines()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.tell(0, A, SchedulingPlay::claimOf(1));
        CPPUNIT_ASSERT_EQUAL(text("d/"), play.answer(A, 1));
    }

    // A node dies and tells nothing. What it held comes free when its requests have ended at the
    // latest, or the engine would look full for ever.
    // Prompts come twice as fast as the only prefill engine reads them, and decode engines lie
    // idle. Callers whose prompts would be read too late were refused, with all that memory free.
    void decodeEnginesReadWhatPrefillEnginesCannotInTime()
    {
        SchedulingPlay play;
        play.addEngine("p", EnginePhase::Prefill);
        for (const char *engine : {"d1", "d2", "d3", "d4"}) {
            play.addEngine(engine, EnginePhase::Decode);
        }
        for (std::uint64_t i = 1; i <= 6; ++i) {
            play.tell(0, A, SchedulingPlay::claimOf(i, 9'000));
        }
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(A, 6));
        play.tick(100);
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(A, 6)); // It may still be read in time.
        int whole = 0;
        for (int time = 110; time <= 700; time += 10) {
            play.tick(time);
        }
        for (std::uint64_t i = 1; i <= 6; ++i) {
            whole += play.answer(A, i).ends_with("/whole") ? 1 : 0;
            CPPUNIT_ASSERT(play.answer(A, i) != "refused");
        }
        CPPUNIT_ASSERT(whole >= 1
                       && whole <= 4); // One of an engine; then its runs have their time.
    }

    // Memory is as short as prompts' time. An engine that reads slows its runs down, which then
    // hold memory for longer: those who wait for memory would wait more.
    void decodeEnginesReadNothingWhileTheirRoomIsWanted()
    {
        for (const std::uint64_t waiting : {1, 2}) {
            SchedulingPlay play;
            play.addEngine("d", EnginePhase::Decode);
            play.tell(0, A, SchedulingPlay::claimOf(1, 40'000));
            play.addEngine("p", EnginePhase::Prefill);
            Claim longPrompt = SchedulingPlay::patient(SchedulingPlay::claimOf(2, 5'000));
            longPrompt.promptTokens = 90'000;
            play.tell(10, A, longPrompt);
            for (std::uint64_t i = 1; i <= waiting; ++i) {
                Claim late = SchedulingPlay::patient(SchedulingPlay::claimOf(2 + i, 25'000));
                late.untilTarget = Duration(0);
                play.tell(20, A, late);
            }
            // Now there is room for one of them.
            play.tell(50, A, ClaimEnded {ClaimId(1)});
            CPPUNIT_ASSERT_EQUAL(text(waiting == 1 ? "d/whole" : "queued"), play.answer(A, 3));
        }
    }

    void freesWhatADeadNodeHeld()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.tell(0, A, SchedulingPlay::claimOf(1, 45'000));
        play.tick(15'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, play.scheduler().granted());
        play.tell(15'001, B, SchedulingPlay::claimOf(1, 45'000));
        CPPUNIT_ASSERT_EQUAL(text("d/"), play.answer(B, 1));
    }

    void freesWhatAnEarlierLifeHeld()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.tell(0, A, SchedulingPlay::claimOf(1, 45'000));
        const NodeLife reborn = SchedulingPlay::node("a", 2);
        play.tell(1'000, reborn, SchedulingPlay::claimOf(1, 45'000));
        CPPUNIT_ASSERT_EQUAL(text("d/"), play.answer(reborn, 1));
    }

    // Each start of an engine has a new name. Fleets replace engines all day, and a scheduler that
    // kept all their names would grow until it is killed for it.
    void forgetsEnginesThatAreGone()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.tell(0, A, SchedulingPlay::claimOf(1));
        play.tell(100, A, ClaimEnded {ClaimId(1), ClaimEnd::Served});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, play.scheduler().engines());
        play.tick(90'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, play.scheduler().engines());
    }

    // The node that scheduled has died, and this one takes over. It knows nothing; the nodes tell
    // it what their requests hold, or it would give the same room out again.
    void countsWhatNodesHoldAlready()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.tell(0, A,
                  RoomHeld {ClaimId(7),
                            ServiceName("llm"),
                            {45'000, 0, 0},
                            ServerName("d"),
                            std::chrono::seconds(10),
                            std::nullopt});
        play.tell(1, B, SchedulingPlay::patient(SchedulingPlay::claimOf(1, 20'000)));
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(B, 1));
        play.tell(50, A, ClaimEnded {ClaimId(7), ClaimEnd::Served});
        CPPUNIT_ASSERT_EQUAL(text("d/"), play.answer(B, 1));
    }

    // A prompt was under way when the scheduler died. The new one learns of the run before it
    // begins; unless it sees its first token, the run counts whole and as never ending.
    void seesRunsBeginThatAnotherSchedulerGranted()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        // The pace: 100 tokens a second.
        for (std::uint64_t i = 1; i <= 20; ++i) {
            Claim claim = SchedulingPlay::claimOf(i, 1'000);
            claim.memory = {1'000, 100, 100};
            const int time = static_cast<int>(i) * 1'100;
            play.tell(time, A, claim);
            play.tell(time + 1'000, A, ClaimEnded {ClaimId(i), ClaimEnd::Served, 100});
        }
        constexpr int Start = 30'000;
        play.tell(Start, A,
                  RoomHeld {ClaimId(100),
                            ServiceName("llm"),
                            {10'000, 30'000, 30'000},
                            ServerName("d"),
                            std::chrono::seconds(400),
                            std::nullopt});
        play.tell(Start + 100, A, PrefillEnded {ClaimId(100), true});
        // After 290 s the run is nearly done: what it holds comes free before the new one grows.
        Claim claim = SchedulingPlay::patient(SchedulingPlay::claimOf(101, 2'000));
        claim.memory = {2'000, 20'000, 20'000};
        play.tell(Start + 290'100, B, claim);
        CPPUNIT_ASSERT_EQUAL(text("d/"), play.answer(B, 101));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineSchedulerTest);
