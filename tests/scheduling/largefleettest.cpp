#include "scheduling/schedulerharness.h"

#include <array>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

constexpr std::array Domains {"a", "b", "c", "d", "e"};

/** Adds engines across all failure domains; four out of five decode. */
void addEngines(SchedulerHarness &harness, int engines)
{
    constexpr int PrefillEvery = 5;
    for (int i = 0; i < engines; ++i) {
        const bool isPrefill = i / static_cast<int>(Domains.size()) % PrefillEvery == 0;
        harness.addEngine("e" + std::to_string(100'000 + i),
                          isPrefill ? EnginePhase::Prefill : EnginePhase::Decode,
                          Domains.at(static_cast<std::size_t>(i) % Domains.size()));
    }
}

Claim claimIn(const std::string &domain, std::uint64_t number)
{
    Claim claim = SchedulerHarness::claimOf(number);
    claim.domain = DomainName(domain);
    return claim;
}

} // namespace

/** Tests a service with thousands of engines. */
class LargeFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LargeFleetTest);
    CPPUNIT_TEST(claimCostIsIndependentOfFleetSize);
    CPPUNIT_TEST(burstExaminesMoreEngines);
    CPPUNIT_TEST(skipsUnavailableEngines);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a cost per claim that grows with the number of idle engines. */
    void claimCostIsIndependentOfFleetSize()
    {
        std::vector<std::uint64_t> examined;
        for (const int engines : {2'500, 5'000, 10'000}) {
            SchedulerHarness harness;
            addEngines(harness, engines);
            for (std::uint64_t i = 0; i < 100; ++i) {
                const std::string domain = Domains.at(i % Domains.size());
                harness.send(static_cast<int>(i) * 10, harness.node("n1"), claimIn(domain, i));
                CPPUNIT_ASSERT(harness.answer(harness.node("n1"), i).find('/')
                               != std::string::npos);
            }
            examined.push_back(harness.scheduler().enginesExamined());
        }
        CPPUNIT_ASSERT_EQUAL(examined.at(0), examined.at(1));
        CPPUNIT_ASSERT_EQUAL(examined.at(0), examined.at(2));
    }

    /** Guards against refusals while engines that were not examined are idle. */
    void burstExaminesMoreEngines()
    {
        SchedulerHarness harness;
        addEngines(harness, 1'500);
        constexpr std::uint64_t Claims = 600;
        for (std::uint64_t i = 0; i < Claims; ++i) {
            harness.send(0, harness.node("n1"), claimIn("a", i));
        }
        for (std::uint64_t i = 0; i < Claims; ++i) {
            CPPUNIT_ASSERT(harness.answer(harness.node("n1"), i) != "refused");
        }
        CPPUNIT_ASSERT(harness.scheduler().granted() >= Claims / 3);
    }

    /** Guards against refusals because the first engines of a failure domain are unreachable. */
    void skipsUnavailableEngines()
    {
        SchedulerHarness harness;
        addEngines(harness, 1'000);
        std::uint64_t claim = 0;
        for (int round = 0; round < 400; ++round) {
            const NodeLife node = harness.node("n1");
            harness.send(round, node, claimIn("a", ++claim));
            const std::string answer = harness.answer(node, claim);
            CPPUNIT_ASSERT(answer.find('/') != std::string::npos);
            harness.send(round, node, ClaimEnded {ClaimId(claim), ClaimOutcome::Unreachable, 0});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeFleetTest);
