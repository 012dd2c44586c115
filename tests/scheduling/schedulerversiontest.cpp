#include "scheduling/schedulerharness.h"

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

const NodeLife NodeA = SchedulerHarness::node("a");

std::string text(const char *words)
{
    return words;
}

/** Two decode engines and a prefill engine of each of two software versions. */
struct VersionHarness : SchedulerHarness
{
    VersionHarness()
    {
        for (const std::string version : {"v1", "v2"}) {
            addEngine("d1-" + version, EnginePhase::Decode, "a", version);
            addEngine("d2-" + version, EnginePhase::Decode, "a", version);
            addEngine("p-" + version, EnginePhase::Prefill, "a", version);
        }
    }
};

/** Continues a stream that began at @p version. */
Claim resumedClaim(std::uint64_t number, const std::string &version, std::uint64_t tokens = 5'000)
{
    Claim claim = SchedulerHarness::claimOf(number, tokens);
    claim.promptTokens = 0;
    claim.urgency = Urgency::Resumed;
    claim.version = version;
    return claim;
}

std::string versionIn(const std::string &answer)
{
    return answer.substr(answer.find('-') + 1, 2);
}

} // namespace

class SchedulerVersionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerVersionTest);
    CPPUNIT_TEST(streamsContinueAtTheirVersion);
    CPPUNIT_TEST(prefillAndDecodeHaveOneVersion);
    CPPUNIT_TEST(choosesTheVersionWhosePrefillHasNoQueue);
    CPPUNIT_TEST(versionWithoutPrefillEnginesReadsPromptsWhole);
    CPPUNIT_TEST(refusesAVersionThatIsGoneAtOnce);
    CPPUNIT_TEST(fullVersionHoldsUpNoOther);
    CPPUNIT_TEST(keepsAnEngineForALongWaitingStream);
    CPPUNIT_TEST(backupsHaveTheVersionOfTheRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream that goes on at the engine with the most memory, whatever its
    // version.
    void streamsContinueAtTheirVersion()
    {
        VersionHarness harness;
        for (std::uint64_t i = 1; i <= 8; ++i) {
            harness.send(0, NodeA, resumedClaim(i, "v2"));
            CPPUNIT_ASSERT_EQUAL(text("v2"), versionIn(harness.answer(NodeA, i)));
        }
        harness.send(0, NodeA, resumedClaim(9, "v1"));
        CPPUNIT_ASSERT_EQUAL(text("v1"), versionIn(harness.answer(NodeA, 9)));
    }

    // Guards against a KV cache that another version has to read.
    void prefillAndDecodeHaveOneVersion()
    {
        VersionHarness harness;
        for (std::uint64_t i = 1; i <= 2; ++i) {
            harness.send(static_cast<int>(i) * 300, NodeA, SchedulerHarness::claimOf(i));
            const std::string answer = harness.answer(NodeA, i);
            CPPUNIT_ASSERT_EQUAL(versionIn(answer), answer.substr(answer.find('/') + 3));
        }
    }

    // Guards against prompts that queue at one version while the other one's engines are idle.
    void choosesTheVersionWhosePrefillHasNoQueue()
    {
        VersionHarness harness;
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 11'000));
        harness.send(1, NodeA, SchedulerHarness::claimOf(2, 11'000));
        CPPUNIT_ASSERT(versionIn(harness.answer(NodeA, 1)) != versionIn(harness.answer(NodeA, 2)));
    }

    // Guards against claims that wait for a prefill engine of a version that has none any more.
    void versionWithoutPrefillEnginesReadsPromptsWhole()
    {
        SchedulerHarness harness;
        harness.addEngine("d-v1", EnginePhase::Decode, "a", "v1");
        harness.addEngine("p-v2", EnginePhase::Prefill, "a", "v2");
        harness.send(0, NodeA, SchedulerHarness::claimOf(1));
        CPPUNIT_ASSERT_EQUAL(text("d-v1/whole"), harness.answer(NodeA, 1));
    }

    void refusesAVersionThatIsGoneAtOnce()
    {
        VersionHarness harness;
        harness.send(0, NodeA, resumedClaim(1, "v0"));
        CPPUNIT_ASSERT_EQUAL(text("refused"), harness.answer(NodeA, 1));
    }

    // Guards against streams that wait for their version and keep others from free engines.
    void fullVersionHoldsUpNoOther()
    {
        VersionHarness harness;
        harness.send(0, NodeA, SchedulerHarness::withLongWait(resumedClaim(1, "v1", 49'000)));
        harness.send(0, NodeA, SchedulerHarness::withLongWait(resumedClaim(2, "v1", 49'000)));
        harness.send(0, NodeA, SchedulerHarness::withLongWait(resumedClaim(3, "v1", 10'000)));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 3));
        harness.send(200, NodeA, SchedulerHarness::claimOf(4, 10'000));
        CPPUNIT_ASSERT_EQUAL(text("v2"), versionIn(harness.answer(NodeA, 4)));
        harness.send(400, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Served});
        CPPUNIT_ASSERT_EQUAL(text("v1"), versionIn(harness.answer(NodeA, 3)));
    }

    // Guards against new streams that take all memory of a version for which streams wait.
    void keepsAnEngineForALongWaitingStream()
    {
        VersionHarness harness;
        for (std::uint64_t i = 1; i <= 4; ++i) {
            harness.send(0, NodeA, resumedClaim(i, i <= 2 ? "v1" : "v2", 30'000));
        }
        harness.send(1, NodeA, SchedulerHarness::withLongWait(resumedClaim(5, "v1", 40'000)));
        CPPUNIT_ASSERT_EQUAL(text("queued"), harness.answer(NodeA, 5));
        harness.send(200, NodeA, SchedulerHarness::claimOf(6, 10'000));
        harness.send(201, NodeA, SchedulerHarness::claimOf(7, 10'000));
        harness.send(600, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Served});
        harness.send(601, NodeA, ClaimEnded {ClaimId(2), ClaimOutcome::Served});
        CPPUNIT_ASSERT_EQUAL(text("v1"), versionIn(harness.answer(NodeA, 5)));
    }

    void backupsHaveTheVersionOfTheRun()
    {
        VersionHarness harness;
        harness.setStoreStale(true);
        for (std::uint64_t i = 1; i <= 4; ++i) {
            Claim claim = resumedClaim(i, i % 2 == 0 ? "v1" : "v2");
            claim.wantsBackup = true;
            harness.send(0, NodeA, claim);
            CPPUNIT_ASSERT(!harness.backup(NodeA, i).empty());
            CPPUNIT_ASSERT_EQUAL(versionIn(harness.answer(NodeA, i)),
                                 versionIn(harness.backup(NodeA, i)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerVersionTest);
