#include "scheduling/schedulerharness.h"

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

const NodeLife NodeA = SchedulerHarness::node("a");
const NodeLife NodeB = SchedulerHarness::node("b");

std::string text(const char *words)
{
    return words;
}

Claim claimWithOutput(std::uint64_t number, std::uint64_t tokens)
{
    Claim claim = SchedulerHarness::claimOf(number);
    claim.memory.outputTokens = tokens;
    return claim;
}

/**
 * Sends two prompts a second to two prefill engines that take 0.12 s for each. Each run generates
 * 100 tokens.
 * @return Number of pairs whose second prompt was queued behind the first.
 */
int sendPromptPairs(SchedulerHarness &harness, int pairs)
{
    harness.addEngine("d", EnginePhase::Decode);
    harness.addEngine("p1", EnginePhase::Prefill);
    harness.addEngine("p2", EnginePhase::Prefill);
    constexpr std::uint64_t OutputTokens = 100;
    int behind = 0;
    for (int pair = 0; pair < pairs; ++pair) {
        const int time = pair * 1'000;
        const auto first = static_cast<std::uint64_t>(2 * pair + 1);
        const std::uint64_t second = first + 1;
        harness.send(time, NodeA, claimWithOutput(first, OutputTokens));
        harness.send(time + 60, NodeA, claimWithOutput(second, OutputTokens));
        const bool isBehind = harness.answer(NodeA, first) == harness.answer(NodeA, second);
        behind += isBehind ? 1 : 0;
        harness.send(time + 180, NodeA, PrefillEnded {ClaimId(first), true});
        harness.send(time + (isBehind ? 300 : 240), NodeA, PrefillEnded {ClaimId(second), true});
        harness.send(time + 400, NodeA,
                     ClaimEnded {ClaimId(first), ClaimOutcome::Served, OutputTokens});
        harness.send(time + 400, NodeA,
                     ClaimEnded {ClaimId(second), ClaimOutcome::Served, OutputTokens});
    }
    return behind;
}

} // namespace

/** Tests how the scheduler adapts to the behaviour of engines and to reports about them. */
class EngineBehaviourTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineBehaviourTest);
    CPPUNIT_TEST(avoidsSlowEngine);
    CPPUNIT_TEST(avoidsEmptyEngineThatRefuses);
    CPPUNIT_TEST(avoidsUnreachableEngine);
    CPPUNIT_TEST(usesPrefillEnginesIfAllAreExcluded);
    CPPUNIT_TEST(faultyDecodeEngineExcludesNoPrefillEngine);
    CPPUNIT_TEST(avoidsEngineOrderedToChangePhase);
    CPPUNIT_TEST(assumesAcceptedPhaseChange);
    CPPUNIT_TEST(lostConnectionsOfCutOffNodesLeaveEnginesUsable);
    CPPUNIT_TEST(reportedFaultsExcludeAnEngine);
    CPPUNIT_TEST(usesFailingEngineOnlyAsLastResort);
    CPPUNIT_TEST(freesQueueTimeOfCancelledPrompt);
    CPPUNIT_TEST(learnsPrefillTimeAtLowLoad);
    CPPUNIT_TEST(reportsWorkOnceKnown);
    CPPUNIT_TEST(misleadingFirstPromptsFloodNoEngine);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against using a prefill engine that succeeds but takes five times as long.
    void avoidsSlowEngine()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("slow", EnginePhase::Prefill);
        harness.addEngine("sound", EnginePhase::Prefill);
        std::map<std::string, int> answers;
        int time = 0;
        for (std::uint64_t i = 1; i <= 40; ++i, time += 1'000) {
            harness.send(time, NodeA, SchedulerHarness::claimOf(i));
            const std::string answer = harness.answer(NodeA, i);
            ++answers[answer];
            harness.send(time + (answer == "d/slow" ? 900 : 170), NodeA,
                         PrefillEnded {ClaimId(i), true});
            harness.send(time + 950, NodeA, ClaimEnded {ClaimId(i), ClaimOutcome::Served});
        }
        CPPUNIT_ASSERT(answers["d/slow"] > 0);
        CPPUNIT_ASSERT(answers["d/sound"] > 3 * answers["d/slow"]);
    }

    // Guards against sending all claims to an engine that refuses them while it changes its phase
    // and therefore appears to have the most free memory.
    void avoidsEmptyEngineThatRefuses()
    {
        SchedulerHarness harness;
        harness.addEngine("changing", EnginePhase::Decode);
        harness.addEngine("sound", EnginePhase::Decode);
        int grants = 0;
        for (int time = 0; time < 1'000; time += 20) {
            const auto claim = static_cast<std::uint64_t>(time + 1);
            harness.send(time, NodeA, SchedulerHarness::claimOf(claim));
            const bool isChanging = harness.answer(NodeA, claim) == "changing/";
            grants += isChanging ? 1 : 0;
            harness.send(
                time + 10, NodeA,
                ClaimEnded {ClaimId(claim),
                            isChanging ? ClaimOutcome::OutOfMemory : ClaimOutcome::Served});
        }
        CPPUNIT_ASSERT(grants <= 3);
    }

    // Guards against every node having to detect an unreachable engine itself.
    void avoidsUnreachableEngine()
    {
        SchedulerHarness harness;
        harness.addEngine("crashed", EnginePhase::Decode);
        harness.addEngine("sound", EnginePhase::Decode);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1));
        CPPUNIT_ASSERT_EQUAL(text("crashed/"), harness.answer(NodeA, 1));
        harness.send(5, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Unreachable});
        harness.send(10, NodeB, SchedulerHarness::claimOf(1));
        CPPUNIT_ASSERT_EQUAL(text("sound/"), harness.answer(NodeB, 1));
    }

    // Guards against excluding all prefill engines because the decode engine fails all transfers.
    void usesPrefillEnginesIfAllAreExcluded()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p", EnginePhase::Prefill);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1));
        harness.send(150, NodeA, PrefillEnded {ClaimId(1), true});
        harness.send(160, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::KvCacheLost});
        harness.send(170, NodeA, SchedulerHarness::claimOf(2));
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 2));
    }

    // Guards against excluding prefill engines for the failures of one decode engine.
    void faultyDecodeEngineExcludesNoPrefillEngine()
    {
        SchedulerHarness harness;
        for (const char *decode : {"d1", "d2", "d3"}) {
            harness.addEngine(decode, EnginePhase::Decode);
        }
        for (int i = 1; i <= 6; ++i) {
            harness.addEngine("p" + std::to_string(i), EnginePhase::Prefill);
        }
        int time = 0;
        for (std::uint64_t i = 1; i <= 24; ++i, time += 30) {
            harness.send(time, NodeA, SchedulerHarness::claimOf(i));
            const std::string answer = harness.answer(NodeA, i);
            harness.send(time + 10, NodeA, PrefillEnded {ClaimId(i), true});
            const bool isLost = answer.starts_with("d1/");
            harness.send(
                time + 20, NodeA,
                ClaimEnded {ClaimId(i), isLost ? ClaimOutcome::KvCacheLost : ClaimOutcome::Served});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {6}, harness.state(time).prefillUsable);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, harness.state(time).decodeUsable);
    }

    // Guards against sending claims to an engine between the order to change its phase and the
    // announcement of the new one.
    void avoidsEngineOrderedToChangePhase()
    {
        SchedulerHarness harness;
        harness.addEngine("d1", EnginePhase::Decode);
        harness.addEngine("d2", EnginePhase::Decode);
        harness.send(
            0, NodeB,
            PhaseChangeNotice {ServerName("d1"), EnginePhase::Prefill, std::chrono::seconds(8)});
        harness.send(10, NodeA, SchedulerHarness::claimOf(1));
        CPPUNIT_ASSERT_EQUAL(text("d2/"), harness.answer(NodeA, 1));
        // The engine is announced in its new phase.
        harness.addEngine("d1", EnginePhase::Prefill);
        harness.send(15, NodeA, SchedulerHarness::claimOf(3));
        CPPUNIT_ASSERT_EQUAL(text("d2/d1"), harness.answer(NodeA, 3));
        harness.addEngine("d1", EnginePhase::Decode);
        // The engine has refused the order.
        harness.send(
            20, NodeB,
            PhaseChangeNotice {ServerName("d1"), EnginePhase::Prefill, std::chrono::seconds(0)});
        harness.send(30, NodeA, SchedulerHarness::claimOf(2));
        CPPUNIT_ASSERT_EQUAL(text("d1/"), harness.answer(NodeA, 2));
    }

    // Guards against idle engines if the store is unavailable and phase changes aren't announced.
    void assumesAcceptedPhaseChange()
    {
        SchedulerHarness harness;
        harness.addEngine("x", EnginePhase::Prefill);
        harness.addEngine("y", EnginePhase::Prefill);
        harness.addEngine("p", EnginePhase::Prefill);
        harness.addEngine("d", EnginePhase::Decode);
        const auto seconds = [](int count) {
            return std::chrono::seconds(count);
        };
        harness.send(0, NodeB,
                     PhaseChangeNotice {ServerName("x"), EnginePhase::Decode, seconds(8), true});
        harness.send(0, NodeB,
                     PhaseChangeNotice {ServerName("y"), EnginePhase::Decode, seconds(8), false});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.state(7'000).prefillUsable);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.state(7'000).decodeUsable);
        // Only the accepted change takes effect.
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, harness.state(9'000).prefillUsable);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, harness.state(9'000).decodeUsable);
        // The assumption has expired.
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, harness.state(40'000).prefillUsable);
        // A restarted engine has accepted no order.
        harness.addEngine("x2", EnginePhase::Prefill);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, harness.state(9'000).prefillUsable);
    }

    // Three of six nodes are cut off, and all their streams at both engines are reset at once. The
    // engines serve the other nodes; put out of use, they would serve nobody.
    void lostConnectionsOfCutOffNodesLeaveEnginesUsable()
    {
        SchedulerHarness harness;
        harness.addEngine("d1", EnginePhase::Decode);
        harness.addEngine("d2", EnginePhase::Decode);
        const std::vector<NodeLife> nodes {SchedulerHarness::node("c1"),
                                           SchedulerHarness::node("c2"),
                                           SchedulerHarness::node("c3")};
        for (const NodeLife &node : nodes) {
            for (std::uint64_t i = 1; i <= 4; ++i) {
                harness.send(0, node, SchedulerHarness::claimOf(i, 3'000));
            }
        }
        for (const NodeLife &node : nodes) {
            for (std::uint64_t i = 1; i <= 4; ++i) {
                harness.send(100, node, ClaimEnded {ClaimId(i), ClaimOutcome::ConnectionLost});
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, harness.state(110).decodeUsable);
        harness.send(110, NodeA, SchedulerHarness::claimOf(1));
        CPPUNIT_ASSERT(harness.answer(NodeA, 1).starts_with("d"));
    }

    // An engine that fails its calls, or that no node reaches, must get no work.
    void reportedFaultsExcludeAnEngine()
    {
        SchedulerHarness harness;
        harness.addEngine("d1", EnginePhase::Decode);
        harness.addEngine("d2", EnginePhase::Decode);
        harness.send(0, NodeA, EngineFault {ServerName("d1"), 4, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.state(10).decodeUsable);
        harness.send(10, NodeA, EngineFault {ServerName("d2"), 1, false});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.state(20).decodeUsable);
    }

    // Guards against excluding an engine that fails some requests while the other is full, and
    // against using both alike.
    void usesFailingEngineOnlyAsLastResort()
    {
        SchedulerHarness harness;
        harness.addEngine("failing", EnginePhase::Decode);
        harness.addEngine("sound", EnginePhase::Decode);
        for (std::uint64_t i = 1; i <= 2; ++i) {
            harness.send(0, NodeA, SchedulerHarness::claimOf(i, 30'000));
            CPPUNIT_ASSERT_EQUAL(text("failing/"), harness.answer(NodeA, i));
            harness.send(5, NodeA, ClaimEnded {ClaimId(i), ClaimOutcome::EngineFailed});
        }
        harness.send(50, NodeA,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(11, 30'000)));
        CPPUNIT_ASSERT_EQUAL(text("sound/"), harness.answer(NodeA, 11));
        harness.send(60, NodeA,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(12, 30'000)));
        CPPUNIT_ASSERT_EQUAL(text("failing/"), harness.answer(NodeA, 12));
        harness.send(70, NodeA, ClaimEnded {ClaimId(12), ClaimOutcome::EngineFailed});
        harness.send(80, NodeA,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(13, 30'000)));
        harness.send(85, NodeA, ClaimEnded {ClaimId(13), ClaimOutcome::EngineFailed});
        // After four consecutive failures the engine is excluded.
        harness.send(90, NodeA,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(14, 30'000)));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 14));
    }

    // Guards against a queue estimate that still includes prompts of callers that have left.
    void freesQueueTimeOfCancelledPrompt()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p", EnginePhase::Prefill);
        for (std::uint64_t i = 1; i <= 4; ++i) {
            harness.send(0, NodeA, SchedulerHarness::claimOf(i, 4'000));
        }
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 2));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 3));
        harness.send(10, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Cancelled});
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 3));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 4));
        // The response isn't earlier than expected without the first prompt, so the queue estimate
        // stays.
        harness.send(90, NodeA, PrefillEnded {ClaimId(2), true});
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 4));
    }

    // Guards against an unknown prefill time at low load, where no prompt queues behind another by
    // chance. Some are queued on purpose, but not all.
    void learnsPrefillTimeAtLowLoad()
    {
        SchedulerHarness harness;
        const int behind = sendPromptPairs(harness, 50);
        CPPUNIT_ASSERT(behind >= 30);
        CPPUNIT_ASSERT(behind < 45);
    }

    // Guards against reporting estimates before there are samples.
    void reportsWorkOnceKnown()
    {
        SchedulerHarness harness;
        harness.send(0, NodeB, WorkQuery {ServiceName("llm")});
        CPPUNIT_ASSERT(!harness.work());
        sendPromptPairs(harness, 50);
        harness.send(50'000, NodeB, WorkQuery {ServiceName("llm")});
        CPPUNIT_ASSERT(harness.work());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.12, harness.work()->prefillSeconds, 0.03);
    }

    // Guards against a compute time of zero after misleading first samples, which would send all
    // prompts to one engine.
    void misleadingFirstPromptsFloodNoEngine()
    {
        SchedulerHarness harness;
        for (const char *name : {"d1", "d2", "d3", "d4", "d5", "d6"}) {
            harness.addEngine(name, EnginePhase::Decode);
        }
        for (const char *name : {"p1", "p2", "p3", "p4"}) {
            harness.addEngine(name, EnginePhase::Prefill);
        }
        int time = 0;
        for (std::uint64_t i = 1; i <= 20; ++i, time += 1'000) {
            const bool isShort = i % 2 == 0;
            harness.send(time, NodeA, SchedulerHarness::claimOf(i, isShort ? 1'000 : 8'000));
            harness.send(time + (isShort ? 600 : 300), NodeA, PrefillEnded {ClaimId(i), true});
            harness.send(time + 700, NodeA, ClaimEnded {ClaimId(i), ClaimOutcome::Served});
        }
        std::map<std::string, int> sent;
        for (std::uint64_t i = 101; i <= 140; ++i) {
            harness.send(time + 10'000, NodeA,
                         SchedulerHarness::withLongWait(SchedulerHarness::claimOf(i)));
            const std::string answer = harness.answer(NodeA, i);
            sent[answer.substr(answer.find('/') + 1)] += answer.find('/') != std::string::npos;
        }
        for (const auto &[engine, prompts] : sent) {
            CPPUNIT_ASSERT_MESSAGE(engine + ": " + std::to_string(prompts), prompts <= 4);
        }
        CPPUNIT_ASSERT(sent.size() >= 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineBehaviourTest);
