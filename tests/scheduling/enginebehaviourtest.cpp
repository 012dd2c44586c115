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

Claim claimWithOutput(std::uint64_t number, std::uint64_t tokens)
{
    Claim claim = SchedulingPlay::claimOf(number);
    claim.memory.outputTokens = tokens;
    return claim;
}

/**
 * Two prompts a second at two prefill engines that take 0.12 s for each, and 100 tokens for each;
 * how often the second was put behind the first.
 */
int playPairs(SchedulingPlay &play, int pairs)
{
    play.addEngine("d", EnginePhase::Decode);
    play.addEngine("p1", EnginePhase::Prefill);
    play.addEngine("p2", EnginePhase::Prefill);
    constexpr std::uint64_t Made = 100;
    int behind = 0;
    for (int pair = 0; pair < pairs; ++pair) {
        const int time = pair * 1'000;
        const auto first = static_cast<std::uint64_t>(2 * pair + 1);
        const std::uint64_t second = first + 1;
        play.tell(time, A, claimWithOutput(first, Made));
        play.tell(time + 60, A, claimWithOutput(second, Made));
        const bool isBehind = play.answer(A, first) == play.answer(A, second);
        behind += isBehind ? 1 : 0;
        play.tell(time + 180, A, PrefillEnded {ClaimId(first), true});
        play.tell(time + (isBehind ? 300 : 240), A, PrefillEnded {ClaimId(second), true});
        play.tell(time + 400, A, ClaimEnded {ClaimId(first), ClaimEnd::Served, Made});
        play.tell(time + 400, A, ClaimEnded {ClaimId(second), ClaimEnd::Served, Made});
    }
    return behind;
}

} // namespace

/** What the scheduler concludes of engines from what they do, and from what it is told of them. */
class EngineBehaviourTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineBehaviourTest);
    CPPUNIT_TEST(leavesASlowEngineOut);
    CPPUNIT_TEST(leavesAnEngineThatRefusesThoughItIsEmpty);
    CPPUNIT_TEST(leavesAnEngineThatCannotBeReached);
    CPPUNIT_TEST(usesPrefillEnginesThatAllSeemBad);
    CPPUNIT_TEST(oneDecodeEngineThatTakesNothingPutsNoPrefillEngineOut);
    CPPUNIT_TEST(givesNothingToAnEngineThatIsOrderedToChange);
    CPPUNIT_TEST(believesAnEngineThatAcceptedAnOrder);
    CPPUNIT_TEST(usesFailingEnginesOnlyForWhatNoOtherHasRoomFor);
    CPPUNIT_TEST(givesBackThePlaceOfAPromptThatNeverCame);
    CPPUNIT_TEST(findsOutWhatPromptsTakeWhereEnginesAreIdle);
    CPPUNIT_TEST(tellsTheWorkOnceItIsKnown);
    CPPUNIT_TEST(floodsNoEngineAfterABadStart);
    CPPUNIT_TEST_SUITE_END();

public:
    // One of two prefill engines takes five times as long. Its answers look well; its prompts are
    // late, and it is seen by that only.
    void leavesASlowEngineOut()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("slow", EnginePhase::Prefill);
        play.addEngine("sound", EnginePhase::Prefill);
        std::map<std::string, int> taken;
        int time = 0;
        for (std::uint64_t i = 1; i <= 40; ++i, time += 1'000) {
            play.tell(time, A, SchedulingPlay::claimOf(i));
            const std::string answer = play.answer(A, i);
            ++taken[answer];
            play.tell(time + (answer == "d/slow" ? 900 : 170), A, PrefillEnded {ClaimId(i), true});
            play.tell(time + 950, A, ClaimEnded {ClaimId(i), ClaimEnd::Served});
        }
        CPPUNIT_ASSERT(taken["d/slow"] > 0);
        CPPUNIT_ASSERT(taken["d/sound"] > 3 * taken["d/slow"]);
    }

    // An engine changes its phase, which the scheduler does not know yet: it refuses all. Being
    // the emptiest it would be chosen for each claim, and every request would fail for seconds.
    void leavesAnEngineThatRefusesThoughItIsEmpty()
    {
        SchedulingPlay play;
        play.addEngine("changing", EnginePhase::Decode);
        play.addEngine("sound", EnginePhase::Decode);
        int asked = 0;
        for (int time = 0; time < 1'000; time += 20) {
            const auto claim = static_cast<std::uint64_t>(time + 1);
            play.tell(time, A, SchedulingPlay::claimOf(claim));
            const bool isChanging = play.answer(A, claim) == "changing/";
            asked += isChanging ? 1 : 0;
            play.tell(
                time + 10, A,
                ClaimEnded {ClaimId(claim), isChanging ? ClaimEnd::HadNoRoom : ClaimEnd::Served});
        }
        CPPUNIT_ASSERT(asked <= 3);
    }

    // An engine has crashed; the platform tells after seconds. One node finds out, and all others
    // need not.
    void leavesAnEngineThatCannotBeReached()
    {
        SchedulingPlay play;
        play.addEngine("crashed", EnginePhase::Decode);
        play.addEngine("sound", EnginePhase::Decode);
        play.tell(0, A, SchedulingPlay::claimOf(1));
        CPPUNIT_ASSERT_EQUAL(text("crashed/"), play.answer(A, 1));
        play.tell(5, A, ClaimEnded {ClaimId(1), ClaimEnd::Unreachable});
        play.tell(10, B, SchedulingPlay::claimOf(1));
        CPPUNIT_ASSERT_EQUAL(text("sound/"), play.answer(B, 1));
    }

    // A decode engine that changes its phase takes no KV cache over, whoever prefilled it. The
    // prefill engines are all blamed; without them no request would be served.
    void usesPrefillEnginesThatAllSeemBad()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("p", EnginePhase::Prefill);
        play.tell(0, A, SchedulingPlay::claimOf(1));
        play.tell(150, A, PrefillEnded {ClaimId(1), true});
        play.tell(160, A, ClaimEnded {ClaimId(1), ClaimEnd::HandleLost});
        play.tell(170, A, SchedulingPlay::claimOf(2));
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(A, 2));
    }

    // One of three decode engines takes no KV cache over, as it does while it changes its phase.
    // Six prefill engines each send a prompt there. Callers pay with a second reading; if all six
    // were left out for it, those after them would wait for the seventh alone and be refused.
    void oneDecodeEngineThatTakesNothingPutsNoPrefillEngineOut()
    {
        SchedulingPlay play;
        for (const char *decode : {"d1", "d2", "d3"}) {
            play.addEngine(decode, EnginePhase::Decode);
        }
        for (int i = 1; i <= 6; ++i) {
            play.addEngine("p" + std::to_string(i), EnginePhase::Prefill);
        }
        int time = 0;
        for (std::uint64_t i = 1; i <= 24; ++i, time += 30) {
            play.tell(time, A, SchedulingPlay::claimOf(i));
            const std::string answer = play.answer(A, i);
            play.tell(time + 10, A, PrefillEnded {ClaimId(i), true});
            const bool isLost = answer.starts_with("d1/");
            play.tell(time + 20, A,
                      ClaimEnded {ClaimId(i), isLost ? ClaimEnd::HandleLost : ClaimEnd::Served});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {6}, play.state(time).prefillUsable);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, play.state(time).decodeUsable);
    }

    // The node that may give orders turns an engine; the platform tells seconds later. Until then
    // it is the emptiest, and each request that is sent there is turned away.
    void givesNothingToAnEngineThatIsOrderedToChange()
    {
        SchedulingPlay play;
        play.addEngine("d1", EnginePhase::Decode);
        play.addEngine("d2", EnginePhase::Decode);
        play.tell(0, B,
                  EngineChanging {ServerName("d1"), EnginePhase::Prefill, std::chrono::seconds(8)});
        play.tell(10, A, SchedulingPlay::claimOf(1));
        CPPUNIT_ASSERT_EQUAL(text("d2/"), play.answer(A, 1));
        // It is announced in its new phase.
        play.addEngine("d1", EnginePhase::Prefill);
        play.tell(15, A, SchedulingPlay::claimOf(3));
        CPPUNIT_ASSERT_EQUAL(text("d2/d1"), play.answer(A, 3));
        play.addEngine("d1", EnginePhase::Decode);
        // It has refused the order.
        play.tell(20, B,
                  EngineChanging {ServerName("d1"), EnginePhase::Prefill, std::chrono::seconds(0)});
        play.tell(30, A, SchedulingPlay::claimOf(2));
        CPPUNIT_ASSERT_EQUAL(text("d1/"), play.answer(A, 2));
    }

    // Engines have accepted orders and change, and the store is away: it tells nobody. Sent what
    // they did before, they would turn it away; sent nothing, they would idle in the burst.
    void believesAnEngineThatAcceptedAnOrder()
    {
        SchedulingPlay play;
        play.addEngine("x", EnginePhase::Prefill);
        play.addEngine("y", EnginePhase::Prefill);
        play.addEngine("p", EnginePhase::Prefill);
        play.addEngine("d", EnginePhase::Decode);
        const auto seconds = [](int count) {
            return std::chrono::seconds(count);
        };
        play.tell(0, B, EngineChanging {ServerName("x"), EnginePhase::Decode, seconds(8), true});
        play.tell(0, B, EngineChanging {ServerName("y"), EnginePhase::Decode, seconds(8), false});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, play.state(7'000).prefillUsable);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, play.state(7'000).decodeUsable);
        // Only what was accepted is believed.
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, play.state(9'000).prefillUsable);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, play.state(9'000).decodeUsable);
        // It is announced otherwise, for far longer than a store is away.
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, play.state(40'000).prefillUsable);
        // A new life of the engine has accepted nothing.
        play.addEngine("x2", EnginePhase::Prefill);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, play.state(9'000).prefillUsable);
    }

    // One of two engines loses a third of its answers. Left out while the other is full, it would
    // cost its callers a refusal; used like the other, it would fail those that need not go there.
    void usesFailingEnginesOnlyForWhatNoOtherHasRoomFor()
    {
        SchedulingPlay play;
        play.addEngine("failing", EnginePhase::Decode);
        play.addEngine("sound", EnginePhase::Decode);
        for (std::uint64_t i = 1; i <= 2; ++i) {
            play.tell(0, A, SchedulingPlay::claimOf(i, 30'000));
            CPPUNIT_ASSERT_EQUAL(text("failing/"), play.answer(A, i));
            play.tell(5, A, ClaimEnded {ClaimId(i), ClaimEnd::EngineFailed});
        }
        play.tell(50, A, SchedulingPlay::patient(SchedulingPlay::claimOf(11, 30'000)));
        CPPUNIT_ASSERT_EQUAL(text("sound/"), play.answer(A, 11));
        play.tell(60, A, SchedulingPlay::patient(SchedulingPlay::claimOf(12, 30'000)));
        CPPUNIT_ASSERT_EQUAL(text("failing/"), play.answer(A, 12));
        play.tell(70, A, ClaimEnded {ClaimId(12), ClaimEnd::EngineFailed});
        play.tell(80, A, SchedulingPlay::patient(SchedulingPlay::claimOf(13, 30'000)));
        play.tell(85, A, ClaimEnded {ClaimId(13), ClaimEnd::EngineFailed});
        // Four in a row: it is dead, and what waits had better wait for the other one.
        play.tell(90, A, SchedulingPlay::patient(SchedulingPlay::claimOf(14, 30'000)));
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(A, 14));
    }

    // A caller leaves before its prompt is read, or no room is had for it. If its place in the line
    // stayed, the next caller would wait for an engine that has nothing to read.
    void givesBackThePlaceOfAPromptThatNeverCame()
    {
        SchedulingPlay play;
        play.addEngine("d", EnginePhase::Decode);
        play.addEngine("p", EnginePhase::Prefill);
        for (std::uint64_t i = 1; i <= 4; ++i) {
            play.tell(0, A, SchedulingPlay::claimOf(i, 4'000));
        }
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(A, 2));
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(A, 3));
        play.tell(10, A, ClaimEnded {ClaimId(1), ClaimEnd::Dropped});
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(A, 3));
        CPPUNIT_ASSERT_EQUAL(text("queued"), play.answer(A, 4));
        // The second one is as early as it was to be without the first: nothing is gained twice.
        play.tell(90, A, PrefillEnded {ClaimId(2), true});
        CPPUNIT_ASSERT_EQUAL(text("d/p"), play.answer(A, 4));
    }

    // Two prefill engines at light load: each prompt finds one that is idle, and how much of its
    // time the engine was kept does not show. Some prompts are put behind others, at most a tenth
    // of a second later; without them no engine could be told to change its phase for good reason.
    void findsOutWhatPromptsTakeWhereEnginesAreIdle()
    {
        SchedulingPlay play;
        const int behind = playPairs(play, 50);
        CPPUNIT_ASSERT(behind >= 30);
        CPPUNIT_ASSERT(behind < 45);
    }

    // The node that orders engines asks before anything was seen, and turns engines by what it is
    // told: no answer is better than one that rests on another fleet's engines.
    void tellsTheWorkOnceItIsKnown()
    {
        SchedulingPlay play;
        play.tell(0, B, WorkAsked {ServiceName("llm")});
        CPPUNIT_ASSERT(!play.work());
        playPairs(play, 50);
        play.tell(50'000, B, WorkAsked {ServiceName("llm")});
        CPPUNIT_ASSERT(play.work());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.12, play.work()->prefillSeconds, 0.03);
    }

    // All nodes were restarted, and the first prompts that a new scheduler sees took long whatever
    // their length. Taken for free, 25 prompts went to one engine within half a second while others
    // idled: room after 7 ms, read after 0.7 s at the median, for fifteen seconds, since prompts
    // that cost nothing never seem to follow each other, and nothing more is learnt.
    void floodsNoEngineAfterABadStart()
    {
        SchedulingPlay play;
        for (const char *name : {"d1", "d2", "d3", "d4", "d5", "d6"}) {
            play.addEngine(name, EnginePhase::Decode);
        }
        for (const char *name : {"p1", "p2", "p3", "p4"}) {
            play.addEngine(name, EnginePhase::Prefill);
        }
        int time = 0;
        for (std::uint64_t i = 1; i <= 20; ++i, time += 1'000) {
            const bool isShort = i % 2 == 0;
            play.tell(time, A, SchedulingPlay::claimOf(i, isShort ? 1'000 : 8'000));
            play.tell(time + (isShort ? 600 : 300), A, PrefillEnded {ClaimId(i), true});
            play.tell(time + 700, A, ClaimEnded {ClaimId(i), ClaimEnd::Served});
        }
        std::map<std::string, int> sent;
        for (std::uint64_t i = 101; i <= 140; ++i) {
            play.tell(time + 10'000, A, SchedulingPlay::patient(SchedulingPlay::claimOf(i)));
            const std::string answer = play.answer(A, i);
            sent[answer.substr(answer.find('/') + 1)] += answer.find('/') != std::string::npos;
        }
        for (const auto &[engine, prompts] : sent) {
            CPPUNIT_ASSERT_MESSAGE(engine + ": " + std::to_string(prompts), prompts <= 4);
        }
        CPPUNIT_ASSERT(sent.size() >= 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineBehaviourTest);
