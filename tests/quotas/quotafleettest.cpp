#include "quotas/quotafleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

using namespace indigoway;
using namespace indigoway::quotas;
using namespace std::chrono_literals;

namespace {

constexpr double PerSecond = 50'000;
constexpr double Units = 3'700; ///< Units of one request.

QuotaFleet::Settings settingsOf(std::uint64_t seed)
{
    QuotaFleet::Settings settings;
    settings.quota = {PerSecond, PerSecond, QuotaUnit::Tokens, 200};
    settings.bounds = {8s, 0.1, 190'000};
    settings.seed = seed;
    return settings;
}

/** Sends requests at @p factor the quota's rate to random nodes. */
class Load
{
public:
    Load(QuotaFleet &fleet, std::uint64_t seed)
        : m_fleet(fleet)
        , m_random(seed)
    { }

    void run(Duration duration, double factor)
    {
        const double gap = Units / (PerSecond * factor);
        const double end = m_fleet.seconds() + std::chrono::duration<double>(duration).count();
        while (m_fleet.seconds() < end) {
            const double wait = std::exponential_distribution<>(1 / gap)(m_random);
            m_fleet.run(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)));
            m_fleet.request(
                std::uniform_int_distribution<std::size_t>(0, m_fleet.size() - 1)(m_random), Units);
            m_requestedUnits += Units;
        }
    }
    double requestedUnits() const { return m_requestedUnits; }

private:
    QuotaFleet &m_fleet;
    std::mt19937_64 m_random;
    double m_requestedUnits = 0;
};

} // namespace

class QuotaFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaFleetTest);
    CPPUNIT_TEST(grantsUsageWithinQuota);
    CPPUNIT_TEST(refusesOnlyExcess);
    CPPUNIT_TEST(limitsSuddenExcessAtOnce);
    CPPUNIT_TEST(keeperFailureGrantsNoSecondBurst);
    CPPUNIT_TEST(partitionedNodesStayWithinTolerance);
    CPPUNIT_TEST(loweredQuotaAppliesAtOnce);
    CPPUNIT_TEST(neverExceedsTolerance);
    CPPUNIT_TEST_SUITE_END();

public:
    void grantsUsageWithinQuota()
    {
        QuotaFleet fleet(settingsOf(1));
        Load load(fleet, 1);
        fleet.run(2s); // The keeper's buckets start empty.
        load.run(20s, 0.55);
        CPPUNIT_ASSERT(fleet.grantedUnits() >= 0.995 * load.requestedUnits());
    }

    void refusesOnlyExcess()
    {
        QuotaFleet fleet(settingsOf(2));
        Load load(fleet, 2);
        fleet.run(2s);
        load.run(20s, 3);
        const double limit = PerSecond * 20 + PerSecond;
        CPPUNIT_ASSERT(fleet.grantedUnits() <= 1.05 * limit);
        CPPUNIT_ASSERT(fleet.grantedUnits() >= 0.95 * limit);
    }

    // Guards against an excess that is granted until all nodes have learnt that an organisation is
    // scarce.
    void limitsSuddenExcessAtOnce()
    {
        QuotaFleet::Settings settings = settingsOf(3);
        settings.nodes = 60;
        QuotaFleet fleet(settings);
        Load load(fleet, 3);
        fleet.run(2s);
        load.run(4s, 0.5);
        load.run(10s, 4);
        CPPUNIT_ASSERT(fleet.maxUnitsInWindow(8) <= 1.05 * (PerSecond * 8 + PerSecond));
    }

    // Guards against a second burst after the node that runs the keeper has failed.
    void keeperFailureGrantsNoSecondBurst()
    {
        QuotaFleet fleet(settingsOf(4));
        Load load(fleet, 4);
        for (std::size_t node = 0; node < 4; ++node) {
            load.run(2500ms, 4);
            fleet.kill(node);
            load.run(1500ms, 4);
            fleet.updateMembership();
        }
        CPPUNIT_ASSERT(fleet.maxUnitsInWindow(8) <= fleet.maxAllowedUnits());
    }

    // Guards against an excess while some nodes are cut off from the keeper and grant their shares
    // locally.
    void partitionedNodesStayWithinTolerance()
    {
        QuotaFleet::Settings settings = settingsOf(5);
        settings.nodes = 30;
        QuotaFleet fleet(settings);
        Load load(fleet, 5);
        load.run(4s, 4);
        for (std::size_t node = 1; node <= 10; ++node) {
            fleet.cut(node, true);
        }
        load.run(8s, 4);
        CPPUNIT_ASSERT(fleet.maxUnitsInWindow(8) <= fleet.maxAllowedUnits());
        CPPUNIT_ASSERT(fleet.grantedUnits() >= 0.6 * PerSecond * 12);
    }

    void loweredQuotaAppliesAtOnce()
    {
        QuotaFleet fleet(settingsOf(6));
        Load load(fleet, 6);
        load.run(10s, 0.9);
        const double before = fleet.grantedUnits();
        fleet.setQuota({PerSecond / 10, PerSecond / 10, QuotaUnit::Tokens, 200});
        load.run(10s, 0.9);
        CPPUNIT_ASSERT(fleet.grantedUnits() - before <= 1.2 * (PerSecond + PerSecond / 10));
    }

    // Guards against usage beyond the tolerance with random failures, restarts, partitions, late
    // membership and lost datagrams.
    void neverExceedsTolerance()
    {
        const bool isTrue = rc::check([] {
            QuotaFleet::Settings settings = settingsOf(*rc::gen::arbitrary<std::uint64_t>());
            settings.nodes = *rc::gen::inRange<std::size_t>(1, 20);
            settings.lossRate = *rc::gen::element(0.0, 0.03, 0.3);
            QuotaFleet fleet(settings);
            Load load(fleet, settings.seed);
            for (int step = 0; step < 15; ++step) {
                load.run(std::chrono::milliseconds(*rc::gen::inRange(100, 1500)),
                         *rc::gen::element(0.5, 2.0, 5.0));
                const auto node = *rc::gen::inRange<std::size_t>(0, settings.nodes);
                switch (*rc::gen::inRange(0, 5)) {
                case 0:
                    fleet.kill(node);
                    break;
                case 1:
                    fleet.start(node);
                    break;
                case 2:
                    fleet.cut(node, true);
                    break;
                case 3:
                    fleet.cut(node, false);
                    break;
                default:
                    break;
                }
                if (*rc::gen::inRange(0, 2) == 0) {
                    fleet.updateMembership();
                }
            }
            RC_ASSERT(fleet.maxUnitsInWindow(8) <= fleet.maxAllowedUnits());
        });
        CPPUNIT_ASSERT(isTrue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaFleetTest);
