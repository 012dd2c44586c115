#include "quotas/quotafleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

using namespace indigoway;
using namespace indigoway::quotas;
using namespace std::chrono_literals;

namespace {

constexpr double PerSecond = 50'000;
constexpr double Units = 3'700; ///< Of one request.

QuotaFleet::Settings settingsOf(std::uint64_t seed)
{
    QuotaFleet::Settings settings;
    settings.quota = {PerSecond, PerSecond, QuotaUnit::Tokens, 200};
    settings.bounds = {8s, 0.1, 190'000};
    settings.seed = seed;
    return settings;
}

/** Sends requests at @p times the quota's rate to nodes drawn at random. */
class Load
{
public:
    Load(QuotaFleet &fleet, std::uint64_t seed)
        : m_fleet(fleet)
        , m_random(seed)
    { }

    void run(Duration duration, double times)
    {
        const double gap = Units / (PerSecond * times);
        const double end = m_fleet.seconds() + std::chrono::duration<double>(duration).count();
        while (m_fleet.seconds() < end) {
            const double wait = std::exponential_distribution<>(1 / gap)(m_random);
            m_fleet.run(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)));
            m_fleet.request(
                std::uniform_int_distribution<std::size_t>(0, m_fleet.size() - 1)(m_random), Units);
            m_asked += Units;
        }
    }
    double asked() const { return m_asked; }

private:
    QuotaFleet &m_fleet;
    std::mt19937_64 m_random;
    double m_asked = 0;
};

} // namespace

class QuotaFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaFleetTest);
    CPPUNIT_TEST(whatIsUnderTheQuotaIsServed);
    CPPUNIT_TEST(whatIsOverItIsRefusedAndNoMore);
    CPPUNIT_TEST(aCallerWithManyTimesItsLoadIsHeldFromTheFirstSecond);
    CPPUNIT_TEST(aKeeperThatDiesGivesNobodyASecondBurst);
    CPPUNIT_TEST(nodesThatAreCutOffTogetherStayBelowTheBound);
    CPPUNIT_TEST(aLimitThatFallsBindsAtOnce);
    CPPUNIT_TEST(neverAboveTheBoundWhateverHappens);
    CPPUNIT_TEST_SUITE_END();

public:
    void whatIsUnderTheQuotaIsServed()
    {
        QuotaFleet fleet(settingsOf(1));
        Load load(fleet, 1);
        fleet.run(2s); // The keeper's buckets begin empty.
        load.run(20s, 0.55);
        CPPUNIT_ASSERT(fleet.passed() >= 0.995 * load.asked());
    }

    void whatIsOverItIsRefusedAndNoMore()
    {
        QuotaFleet fleet(settingsOf(2));
        Load load(fleet, 2);
        fleet.run(2s);
        load.run(20s, 3);
        const double limit = PerSecond * 20 + PerSecond;
        CPPUNIT_ASSERT(fleet.passed() <= 1.05 * limit);
        CPPUNIT_ASSERT(fleet.passed() >= 0.95 * limit);
    }

    // An organisation sends four times its quota from one moment on, over all nodes. Nodes pass
    // its requests until they hear that little is left. If each heard it only once a second, it
    // would be served the whole excess meanwhile.
    void aCallerWithManyTimesItsLoadIsHeldFromTheFirstSecond()
    {
        QuotaFleet::Settings settings = settingsOf(3);
        settings.nodes = 60;
        QuotaFleet fleet(settings);
        Load load(fleet, 3);
        fleet.run(2s);
        load.run(4s, 0.5);
        load.run(10s, 4);
        CPPUNIT_ASSERT(fleet.mostInWindow(8) <= 1.05 * (PerSecond * 8 + PerSecond));
    }

    // The node that keeps the quotas dies every few seconds; the next one knows nothing of what
    // was used. If it began with full buckets, each death would be worth a burst.
    void aKeeperThatDiesGivesNobodyASecondBurst()
    {
        QuotaFleet fleet(settingsOf(4));
        Load load(fleet, 4);
        for (std::size_t node = 0; node < 4; ++node) {
            load.run(2500ms, 4);
            fleet.kill(node);
            load.run(1500ms, 4);
            fleet.spreadNews();
        }
        CPPUNIT_ASSERT(fleet.mostInWindow(8) <= fleet.mostAllowed());
    }

    // A third of the nodes is cut off from all others while callers still reach them. They go on
    // with their own shares, and the keeper gives out no more than the others'.
    void nodesThatAreCutOffTogetherStayBelowTheBound()
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
        CPPUNIT_ASSERT(fleet.mostInWindow(8) <= fleet.mostAllowed());
        CPPUNIT_ASSERT(fleet.passed() >= 0.6 * PerSecond * 12);
    }

    void aLimitThatFallsBindsAtOnce()
    {
        QuotaFleet fleet(settingsOf(6));
        Load load(fleet, 6);
        load.run(10s, 0.9);
        const double before = fleet.passed();
        fleet.setQuota({PerSecond / 10, PerSecond / 10, QuotaUnit::Tokens, 200});
        load.run(10s, 0.9);
        CPPUNIT_ASSERT(fleet.passed() - before <= 1.2 * (PerSecond + PerSecond / 10));
    }

    // Nodes die, come back, are cut off and heal, news of that come late, datagrams are lost, and
    // callers send up to five times the quota all the while.
    void neverAboveTheBoundWhateverHappens()
    {
        const bool isTrue = rc::check([] {
            QuotaFleet::Settings settings = settingsOf(*rc::gen::arbitrary<std::uint64_t>());
            settings.nodes = *rc::gen::inRange<std::size_t>(1, 20);
            settings.lost = *rc::gen::element(0.0, 0.03, 0.3);
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
                    fleet.spreadNews();
                }
            }
            RC_ASSERT(fleet.mostInWindow(8) <= fleet.mostAllowed());
        });
        CPPUNIT_ASSERT(isTrue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaFleetTest);
