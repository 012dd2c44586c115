#include "dispatch/phasebalance.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

Service service(std::uint64_t memoryTokens)
{
    Service one;
    one.name = ServiceName("llm");
    one.engine = EngineTraits {64, memoryTokens, std::chrono::milliseconds(500),
                               std::chrono::seconds(2), std::chrono::seconds(6)};
    return one;
}

/** Prompts of 5,200 tokens at 18 us each and about seventy events of 47 ms. */
const scheduling::GenerationWork Usual {0.125, 16'000};

PhaseBalance usualBalance()
{
    PhaseBalance balance;
    balance.updateWork(ServiceName("llm"), Usual);
    return balance;
}

std::uint32_t wanted(std::uint32_t all, std::uint64_t memory, scheduling::GenerationWork work)
{
    return PhaseBalance::preferredPrefillCount(all, 0, *service(memory).engine, work);
}

void addEngines(ServerDirectory &servers, const std::string &kind, EnginePhase phase, int count)
{
    for (int i = 0; i < count; ++i) {
        AnnouncedServer server;
        server.name = ServerName(kind + std::to_string(i));
        server.service = ServiceName("llm");
        server.domain = DomainName(std::to_string(i % 3));
        server.phase = phase;
        servers.announce(server);
    }
}

} // namespace

class PhaseBalanceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PhaseBalanceTest);
    CPPUNIT_TEST(enginesAreDividedByTheWork);
    CPPUNIT_TEST(keepsEnginesOfBothPhases);
    CPPUNIT_TEST(smallGainChangesNoEngine);
    CPPUNIT_TEST(longerAnswersNeedMoreDecode);
    CPPUNIT_TEST(changesNoEngineWithoutObservedWork);
    CPPUNIT_TEST(waitsUntilAllEnginesAreRegistered);
    CPPUNIT_TEST(crashedEnginesCauseNoOrders);
    CPPUNIT_TEST(ordersComeFromAllDomains);
    CPPUNIT_TEST(refusedOrderKeepsTheEngineInUse);
    CPPUNIT_TEST(keepsAnEngineOfEachVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    void enginesAreDividedByTheWork()
    {
        CPPUNIT_ASSERT_EQUAL(3U, wanted(9, 65'205, Usual));
        CPPUNIT_ASSERT_EQUAL(5U, wanted(18, 51'867, Usual));
        const std::uint32_t many = wanted(90, 38'223, Usual);
        CPPUNIT_ASSERT(many > 18 && many < 27);
        // With more engines the variation of the prompts evens out, so the headroom shrinks.
        CPPUNIT_ASSERT(many < 5 * wanted(18, 38'223, Usual));
    }

    void keepsEnginesOfBothPhases()
    {
        CPPUNIT_ASSERT_EQUAL(1U, wanted(2, 50'000, Usual));
        CPPUNIT_ASSERT_EQUAL(2U, wanted(3, 1'000'000'000, Usual));
        CPPUNIT_ASSERT_EQUAL(2U, wanted(8, 1'000, Usual));
    }

    // Guards against changes on each fluctuation of the estimated work.
    void smallGainChangesNoEngine()
    {
        const EngineTraits traits = *service(38'223).engine;
        const std::uint32_t best = PhaseBalance::preferredPrefillCount(90, 0, traits, Usual);
        CPPUNIT_ASSERT_EQUAL(best + 1,
                             PhaseBalance::preferredPrefillCount(90, best + 1, traits, Usual));
        CPPUNIT_ASSERT_EQUAL(best,
                             PhaseBalance::preferredPrefillCount(90, best + 9, traits, Usual));
    }

    void longerAnswersNeedMoreDecode()
    {
        CPPUNIT_ASSERT(wanted(90, 38'223, {0.125, 32'000}) < wanted(90, 38'223, Usual));
    }

    // Without observed work the engines must keep their phases.
    void changesNoEngineWithoutObservedWork()
    {
        PhaseOrderPlanner orders;
        ServerDirectory servers;
        addEngines(servers, "d", EnginePhase::Decode, 2);
        addEngines(servers, "p", EnginePhase::Prefill, 16);
        PhaseBalance balance;
        for (int time = 0; time < 60'000; time += 250) {
            CPPUNIT_ASSERT(orders.decide(at(time), service(51'867), servers, balance).empty());
        }
        balance.updateWork(ServiceName("llm"), Usual);
        orders.decide(at(60'000), service(51'867), servers, balance);
        CPPUNIT_ASSERT_EQUAL(std::size_t {11},
                             orders.decide(at(62'000), service(51'867), servers, balance).size());
    }

    // Guards against orders before all engines have registered.
    void waitsUntilAllEnginesAreRegistered()
    {
        PhaseOrderPlanner orders;
        const PhaseBalance balance = usualBalance();
        ServerDirectory servers;
        int given = 0;
        for (int i = 1; i <= 6; ++i) {
            addEngines(servers, "d", EnginePhase::Decode, i);
            given += static_cast<int>(
                orders.decide(at(i * 700), service(65'205), servers, balance).size());
        }
        addEngines(servers, "p", EnginePhase::Prefill, 3);
        for (int time = 5'000; time < 60'000; time += 250) {
            given +=
                static_cast<int>(orders.decide(at(time), service(65'205), servers, balance).size());
        }
        CPPUNIT_ASSERT_EQUAL(0, given);
    }

    // Guards against orders because of prefill engines that restart after a crash.
    void crashedEnginesCauseNoOrders()
    {
        PhaseOrderPlanner orders;
        const PhaseBalance balance = usualBalance();
        ServerDirectory servers;
        addEngines(servers, "d", EnginePhase::Decode, 12);
        addEngines(servers, "p", EnginePhase::Prefill, 8);
        const Service one = service(51'867);
        CPPUNIT_ASSERT(orders.decide(at(0), one, servers, balance).empty());
        CPPUNIT_ASSERT(!orders.decide(at(2'000), one, servers, balance).empty());
        servers.withdraw(ServerName("p1"), at(20'000));
        servers.withdraw(ServerName("p2"), at(20'000));
        servers.withdraw(ServerName("p3"), at(20'000));
        for (int time = 20'000; time < 26'000; time += 250) {
            servers.purgeWithdrawn(at(time));
            CPPUNIT_ASSERT(orders.decide(at(time), one, servers, balance).empty());
        }
    }

    void ordersComeFromAllDomains()
    {
        PhaseOrderPlanner orders;
        const PhaseBalance balance = usualBalance();
        ServerDirectory servers;
        addEngines(servers, "d", EnginePhase::Decode, 59);
        addEngines(servers, "p", EnginePhase::Prefill, 31);
        const Service one = service(38'223);
        orders.decide(at(0), one, servers, balance);
        const auto given = orders.decide(at(2'000), one, servers, balance);
        CPPUNIT_ASSERT(given.size() >= 4);
        std::map<DomainName, int> counts;
        for (const PhaseOrder &order : given) {
            CPPUNIT_ASSERT(order.phase == EnginePhase::Decode);
            CPPUNIT_ASSERT(orders.isChanging(order.server->name, at(2'100)));
            ++counts[order.server->domain];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, counts.size());
    }

    void refusedOrderKeepsTheEngineInUse()
    {
        PhaseOrderPlanner orders;
        const PhaseBalance balance = usualBalance();
        ServerDirectory servers;
        addEngines(servers, "d", EnginePhase::Decode, 12);
        addEngines(servers, "p", EnginePhase::Prefill, 8);
        orders.decide(at(0), service(51'867), servers, balance);
        const auto given = orders.decide(at(2'000), service(51'867), servers, balance);
        CPPUNIT_ASSERT(!given.empty());
        const ServerName name = given.front().server->name;
        CPPUNIT_ASSERT(orders.orderedPhase(name) == EnginePhase::Decode);
        orders.cancel(name);
        CPPUNIT_ASSERT(!orders.isChanging(name, at(2'100)));
    }

    // Guards against streams of a version that lose its last decode engine to another phase.
    void keepsAnEngineOfEachVersion()
    {
        PhaseOrderPlanner orders;
        const PhaseBalance balance = usualBalance();
        ServerDirectory servers;
        addEngines(servers, "d", EnginePhase::Decode, 12);
        addEngines(servers, "p", EnginePhase::Prefill, 2);
        AnnouncedServer last = *servers.find(ServerName("d0"));
        last.version = "v0";
        servers.announce(last);
        orders.decide(at(0), service(51'867), servers, balance);
        const auto given = orders.decide(at(2'000), service(51'867), servers, balance);
        CPPUNIT_ASSERT(!given.empty());
        for (const PhaseOrder &order : given) {
            CPPUNIT_ASSERT(order.phase == EnginePhase::Prefill);
            CPPUNIT_ASSERT(order.server->name != ServerName("d0"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PhaseBalanceTest);
