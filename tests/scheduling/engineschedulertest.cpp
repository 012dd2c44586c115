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

Claim withUrgency(Claim claim, Urgency urgency)
{
    claim.urgency = urgency;
    return claim;
}

} // namespace

class EngineSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineSchedulerTest);
    CPPUNIT_TEST(grantsMemoryOnceAcrossNodes);
    CPPUNIT_TEST(choosesShortestPrefillQueue);
    CPPUNIT_TEST(holdsBackPromptThatWouldQueue);
    CPPUNIT_TEST(refusesClaimThatWouldMissTarget);
    CPPUNIT_TEST(servesPromptTooLongForTarget);
    CPPUNIT_TEST(ordersByUrgency);
    CPPUNIT_TEST(ordersByPriorityWithinUrgency);
    CPPUNIT_TEST(reservesEngineForLargeClaim);
    CPPUNIT_TEST(repeatsGrantForResentClaim);
    CPPUNIT_TEST(grantsAnEngineThatARepeatedClaimNoLongerExcludes);
    CPPUNIT_TEST(doesNotGrantAnEngineThatARepeatedClaimExcludes);
    CPPUNIT_TEST(decodeEnginePrefillsWithoutPrefillEngines);
    CPPUNIT_TEST(prefillsLocallyIfPrefillEnginesAreLate);
    CPPUNIT_TEST(noLocalPrefillIfMemoryIsShort);
    CPPUNIT_TEST(freesGrantsOfDeadNode);
    CPPUNIT_TEST(freesGrantsOfEarlierIncarnation);
    CPPUNIT_TEST(removesIdleEngines);
    CPPUNIT_TEST(countsReservationsBeforeTakeover);
    CPPUNIT_TEST(tracksDecodeStartAfterTakeover);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against granting the same memory to two nodes.
    void grantsMemoryOnceAcrossNodes()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p", EnginePhase::Prefill);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 30'000));
        harness.send(0, NodeB,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(1, 30'000)));
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 1));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeB, 1));
        harness.send(300, NodeA, PrefillEnded {ClaimId(1), true});
        harness.send(400, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Served});
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeB, 1));
    }

    void choosesShortestPrefillQueue()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p1", EnginePhase::Prefill);
        harness.addEngine("p2", EnginePhase::Prefill);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 9'000));
        harness.send(1, NodeB, SchedulerHarness::claimOf(1, 2'000));
        harness.send(2, NodeA, SchedulerHarness::claimOf(2, 2'000));
        CPPUNIT_ASSERT_EQUAL(text("d/p1"), harness.answer(NodeA, 1));
        CPPUNIT_ASSERT_EQUAL(text("d/p2"), harness.answer(NodeB, 1));
        // Both engines have one prompt, but the second one has the shorter queueing delay.
        CPPUNIT_ASSERT_EQUAL(text("d/p2"), harness.answer(NodeA, 2));
    }

    // Guards against reserving decode memory for prompts that queue at a prefill engine.
    void holdsBackPromptThatWouldQueue()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p", EnginePhase::Prefill);
        for (std::uint64_t i = 1; i <= 4; ++i) {
            harness.send(0, NodeA, SchedulerHarness::claimOf(i, 9'000));
        }
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 1));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 2));
        harness.tick(150);
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 2));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 3));
    }

    // Guards against refusing a claim whose node may use an idle engine again.
    void grantsAnEngineThatARepeatedClaimNoLongerExcludes()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p", EnginePhase::Prefill);
        Claim claim = SchedulerHarness::claimOf(1);
        claim.excludedServers = {ServerName("d")};
        harness.send(0, NodeA, claim);
        harness.tick(100);
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 1));
        claim.excludedServers.clear();
        harness.send(150, NodeA, claim);
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.state(150).waiting);
    }

    // Guards against granting an engine that the node must not use since the claim waits.
    void doesNotGrantAnEngineThatARepeatedClaimExcludes()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p", EnginePhase::Prefill);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 30'000));
        Claim claim = SchedulerHarness::withLongWait(SchedulerHarness::claimOf(1, 30'000));
        harness.send(0, NodeB, claim);
        claim.excludedServers = {ServerName("d")};
        harness.send(150, NodeB, claim);
        harness.send(300, NodeA, PrefillEnded {ClaimId(1), true});
        harness.send(400, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Served});
        harness.tick(500);
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeB, 1));
        // The wait counts from the first claim, not from its repetition.
        harness.tick(9'100);
        CPPUNIT_ASSERT_EQUAL(text("refused"), harness.answer(NodeB, 1));
    }

    // Guards against late refusals in a burst of twice the capacity.
    void refusesClaimThatWouldMissTarget()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p1", EnginePhase::Prefill);
        harness.addEngine("p2", EnginePhase::Prefill);
        int refusedAtOnce = 0;
        for (std::uint64_t i = 1; i <= 40; ++i) {
            harness.send(0, NodeA, SchedulerHarness::claimOf(i));
            refusedAtOnce += harness.answer(NodeA, i) == "refused" ? 1 : 0;
        }
        CPPUNIT_ASSERT(refusedAtOnce > 10);
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 11));
    }

    // Guards against refusing a prompt forever because it can't meet its target even on idle
    // engines.
    void servesPromptTooLongForTarget()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p", EnginePhase::Prefill);
        Claim claim = SchedulerHarness::claimOf(1, 48'000);
        claim.promptTokens = 47'000;
        claim.timeToTarget = std::chrono::milliseconds(500);
        harness.send(0, NodeA, claim);
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 1));
    }

    // Guards against serving new and late claims before interrupted streams.
    void ordersByUrgency()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p", EnginePhase::Prefill);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 45'000));
        const Claim any = SchedulerHarness::withLongWait(SchedulerHarness::claimOf(1, 20'000));
        harness.send(1, NodeB, withUrgency(any, Urgency::Retried));
        harness.send(2, NodeB,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(2, 40'000)));
        Claim resumed = withUrgency(
            SchedulerHarness::withLongWait(SchedulerHarness::claimOf(3, 40'000)), Urgency::Resumed);
        resumed.promptTokens = 0;
        harness.send(3, NodeB, resumed);
        harness.send(50, NodeA, PrefillEnded {ClaimId(1), true});
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeB, 3));
        harness.send(60, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Served});
        CPPUNIT_ASSERT_EQUAL(text("d/"), harness.answer(NodeB, 3));
        harness.send(100, NodeB, ClaimEnded {ClaimId(3), ClaimOutcome::Served});
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeB, 2));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeB, 1));
    }

    // Guards against serving claims of equal urgency in order of arrival instead of priority.
    void ordersByPriorityWithinUrgency()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 40'000));
        Claim ordinary = SchedulerHarness::withLongWait(SchedulerHarness::claimOf(2, 30'000));
        ordinary.priority = 2;
        Claim urgent = SchedulerHarness::withLongWait(SchedulerHarness::claimOf(3, 30'000));
        urgent.priority = 1;
        harness.send(10, NodeA, ordinary);
        harness.send(20, NodeB, urgent);
        harness.send(30, NodeA, ClaimEnded {ClaimId(1)});
        CPPUNIT_ASSERT_EQUAL(text("d/"), harness.answer(NodeB, 3));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 2));
    }

    // Guards against small claims that take all memory that comes free while a large one waits.
    void reservesEngineForLargeClaim()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        for (std::uint64_t i = 1; i <= 10; ++i) {
            harness.send(0, NodeA, SchedulerHarness::claimOf(i));
        }
        Claim large = SchedulerHarness::claimOf(1, 11'000);
        large.maxWait = std::chrono::seconds(5);
        large.timeToTarget = std::chrono::milliseconds(1'150);
        harness.send(1, NodeB, large);
        int time = 200;
        for (std::uint64_t i = 1; i <= 3; ++i, time += 10) {
            harness.send(time, NodeA, ClaimEnded {ClaimId(i), ClaimOutcome::Served});
            harness.send(time + 1, NodeA, SchedulerHarness::claimOf(100 + i));
        }
        CPPUNIT_ASSERT_EQUAL(text("d/"), harness.answer(NodeB, 1));
    }

    // Guards against a lost datagram that contained a grant.
    void repeatsGrantForResentClaim()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.addEngine("p", EnginePhase::Prefill);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 30'000));
        harness.clearAnswers();
        harness.send(60, NodeA, SchedulerHarness::claimOf(1, 30'000));
        CPPUNIT_ASSERT_EQUAL(text("d/p"), harness.answer(NodeA, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.scheduler().granted());
    }

    void decodeEnginePrefillsWithoutPrefillEngines()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1));
        CPPUNIT_ASSERT_EQUAL(text("d/"), harness.answer(NodeA, 1));
    }

    // Guards against refusals for lack of prefill capacity while decode engines are idle.
    void prefillsLocallyIfPrefillEnginesAreLate()
    {
        SchedulerHarness harness;
        harness.addEngine("p", EnginePhase::Prefill);
        for (const char *engine : {"d1", "d2", "d3", "d4"}) {
            harness.addEngine(engine, EnginePhase::Decode);
        }
        for (std::uint64_t i = 1; i <= 6; ++i) {
            harness.send(0, NodeA, SchedulerHarness::claimOf(i, 9'000));
        }
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 6));
        harness.tick(100);
        // The prompt can still meet its target.
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 6));
        int localPrefills = 0;
        for (int time = 110; time <= 700; time += 10) {
            harness.tick(time);
        }
        for (std::uint64_t i = 1; i <= 6; ++i) {
            localPrefills += harness.answer(NodeA, i).ends_with("/whole") ? 1 : 0;
            CPPUNIT_ASSERT(harness.answer(NodeA, i) != "refused");
        }
        // At most one per engine, since local prefills are rate-limited.
        CPPUNIT_ASSERT(localPrefills >= 1 && localPrefills <= 4);
    }

    // Guards against local prefills, which prolong runs, while claims wait for decode memory.
    void noLocalPrefillIfMemoryIsShort()
    {
        for (const std::uint64_t waiting : {1, 2}) {
            SchedulerHarness harness;
            harness.addEngine("d", EnginePhase::Decode);
            harness.send(0, NodeA, SchedulerHarness::claimOf(1, 40'000));
            harness.addEngine("p", EnginePhase::Prefill);
            Claim longPrompt = SchedulerHarness::withLongWait(SchedulerHarness::claimOf(2, 5'000));
            longPrompt.promptTokens = 90'000;
            harness.send(10, NodeA, longPrompt);
            for (std::uint64_t i = 1; i <= waiting; ++i) {
                Claim late =
                    SchedulerHarness::withLongWait(SchedulerHarness::claimOf(2 + i, 25'000));
                late.timeToTarget = Duration(0);
                harness.send(20, NodeA, late);
            }
            // Memory comes free for one of the claims.
            harness.send(50, NodeA, ClaimEnded {ClaimId(1)});
            CPPUNIT_ASSERT_EQUAL(text(waiting == 1 ? "d/whole" : "queued"),
                                 harness.answer(NodeA, 3));
        }
    }

    // Guards against memory that stays reserved for a dead node.
    void freesGrantsOfDeadNode()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 45'000));
        harness.tick(15'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.scheduler().granted());
        harness.send(15'001, NodeB, SchedulerHarness::claimOf(1, 45'000));
        CPPUNIT_ASSERT_EQUAL(text("d/"), harness.answer(NodeB, 1));
    }

    void freesGrantsOfEarlierIncarnation()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 45'000));
        const NodeLife restarted = SchedulerHarness::node("a", 2);
        harness.send(1'000, restarted, SchedulerHarness::claimOf(1, 45'000));
        CPPUNIT_ASSERT_EQUAL(text("d/"), harness.answer(restarted, 1));
    }

    // Guards against unbounded growth, since each start of an engine has a new name.
    void removesIdleEngines()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.send(0, NodeA, SchedulerHarness::claimOf(1));
        harness.send(100, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Served});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.scheduler().engines());
        harness.tick(90'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.scheduler().engines());
    }

    // Guards against granting memory again that was granted by the previous scheduler.
    void countsReservationsBeforeTakeover()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        harness.send(0, NodeA,
                     ReservationReport {ClaimId(7),
                                        ServiceName("llm"),
                                        {45'000, 0, 0},
                                        ServerName("d"),
                                        std::chrono::seconds(10),
                                        std::nullopt});
        harness.send(1, NodeB,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(1, 20'000)));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeB, 1));
        harness.send(50, NodeA, ClaimEnded {ClaimId(7), ClaimOutcome::Served});
        CPPUNIT_ASSERT_EQUAL(text("d/"), harness.answer(NodeB, 1));
    }

    // Guards against counting the full output of a run whose prompt was sent under the previous
    // scheduler.
    void tracksDecodeStartAfterTakeover()
    {
        SchedulerHarness harness;
        harness.addEngine("d", EnginePhase::Decode);
        // 100 tokens per second.
        for (std::uint64_t i = 1; i <= 20; ++i) {
            Claim claim = SchedulerHarness::claimOf(i, 1'000);
            claim.memory = {1'000, 100, 100};
            const int time = static_cast<int>(i) * 1'100;
            harness.send(time, NodeA, claim);
            harness.send(time + 1'000, NodeA, ClaimEnded {ClaimId(i), ClaimOutcome::Served, 100});
        }
        constexpr int Start = 30'000;
        harness.send(Start, NodeA,
                     ReservationReport {ClaimId(100),
                                        ServiceName("llm"),
                                        {10'000, 30'000, 30'000},
                                        ServerName("d"),
                                        std::chrono::seconds(400),
                                        std::nullopt});
        harness.send(Start + 100, NodeA, PrefillEnded {ClaimId(100), true});
        // After 290 s the run is nearly finished and frees its memory before the new one grows.
        Claim claim = SchedulerHarness::withLongWait(SchedulerHarness::claimOf(101, 2'000));
        claim.memory = {2'000, 20'000, 20'000};
        harness.send(Start + 290'100, NodeB, claim);
        CPPUNIT_ASSERT_EQUAL(text("d/"), harness.answer(NodeB, 101));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineSchedulerTest);
