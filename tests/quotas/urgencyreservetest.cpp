#include "quotas/urgencyreserve.h"
#include "quotas/quotakeeper.h"

#include "quotas/quotafleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::quotas;
using namespace std::chrono_literals;

namespace {

constexpr Duration Window = 8s;
constexpr double Limit = 10'000;

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

/** A window that frees nothing for now. */
double freesNothing(Duration)
{
    return 0;
}

/** Asks for a hundred units of @p priority each 10 ms for two seconds. */
void askFor(UrgencyReserve &reserve, std::uint32_t priority)
{
    for (Duration time {}; time < 2s; time += 10ms) {
        reserve.ask(at(time), priority, 100);
    }
}

} // namespace

class UrgencyReserveTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UrgencyReserveTest);
    CPPUNIT_TEST(reservesWhatUrgentRequestsNeed);
    CPPUNIT_TEST(reservesNothingThatTheWindowFrees);
    CPPUNIT_TEST(releasesTheReserveAfterAnOverload);
    CPPUNIT_TEST(eachPriorityKeepsAShare);
    CPPUNIT_TEST(onePriorityHasNoReserve);
    CPPUNIT_TEST(noPriorityIsStarved);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against less urgent requests that use the units which urgent ones need.
    void reservesWhatUrgentRequestsNeed()
    {
        UrgencyReserve reserve(Window);
        askFor(reserve, 1);
        reserve.grant(at(2s), 0, Limit);
        reserve.grant(at(2s), 1, Limit);
        reserve.grant(at(2s), 2, Limit);
        const double need = reserve.reserveFor(at(2s), 2, 100, Limit, freesNothing);
        CPPUNIT_ASSERT(need > 0.9 * 5'000 && need < 1.1 * 5'000); // Half a second at 10,000.
        CPPUNIT_ASSERT_EQUAL(0.0, reserve.reserveFor(at(2s), 1, 100, Limit, freesNothing));
        CPPUNIT_ASSERT_EQUAL(0.0, reserve.reserveFor(at(2s), 0, 100, Limit, freesNothing));
    }

    // Guards against refusals although the window frees units as fast as urgent requests need them.
    void reservesNothingThatTheWindowFrees()
    {
        UrgencyReserve reserve(Window);
        askFor(reserve, 0);
        reserve.grant(at(2s), 0, Limit);
        reserve.grant(at(2s), 1, Limit);
        const auto frees = [](Duration time) {
            return 11'000 * std::chrono::duration<double>(time).count();
        };
        CPPUNIT_ASSERT_EQUAL(0.0, reserve.reserveFor(at(2s), 1, 100, Limit, frees));
    }

    // Guards against units that stay reserved for urgent requests that no longer come.
    void releasesTheReserveAfterAnOverload()
    {
        UrgencyReserve reserve(Window);
        askFor(reserve, 0);
        reserve.grant(at(2s), 0, Limit);
        reserve.grant(at(2s), 1, Limit);
        CPPUNIT_ASSERT(reserve.reserveFor(at(4s), 1, 100, Limit, freesNothing) < 0.01 * Limit);
    }

    // Guards against a priority that gets nothing because others ask for everything.
    void eachPriorityKeepsAShare()
    {
        UrgencyReserve reserve(Window);
        askFor(reserve, 0);
        askFor(reserve, 2);
        reserve.grant(at(2s), 0, Limit);
        const double share = UrgencyReserve::MinShare * Limit;
        CPPUNIT_ASSERT_EQUAL(0.0, reserve.reserveFor(at(2s), 2, share, Limit, freesNothing));
        CPPUNIT_ASSERT(reserve.reserveFor(at(2s), 2, share + 1, Limit, freesNothing) > share);
        // The share is reserved against urgent requests until it is used.
        CPPUNIT_ASSERT_EQUAL(share, reserve.reserveFor(at(2s), 0, 100, Limit, freesNothing));
        reserve.grant(at(2s), 2, share);
        CPPUNIT_ASSERT_EQUAL(0.0, reserve.reserveFor(at(2s), 0, 100, Limit, freesNothing));
    }

    // Guards against a change where all requests have the same priority.
    void onePriorityHasNoReserve()
    {
        UrgencyReserve reserve(Window);
        askFor(reserve, 3);
        CPPUNIT_ASSERT_EQUAL(0.0, reserve.reserveFor(at(2s), 3, 100, Limit, freesNothing));
        CPPUNIT_ASSERT_EQUAL(0.0, reserve.largestReserve(at(2s), Limit, freesNothing));
    }

    // Guards against a priority that is refused for a whole window while others use several times
    // the rate, whichever of them is the urgent one.
    void noPriorityIsStarved()
    {
        for (const std::uint32_t modest : {0U, 1U, 2U}) {
            QuotaFleet::Settings settings;
            settings.nodes = 10;
            settings.quota = {100'000, 50'000, QuotaUnit::Tokens, 200};
            settings.bounds = {Window, 0.1, 190'000, Window};
            settings.age = Window;
            QuotaFleet fleet(settings);
            fleet.run(2s);
            std::vector<std::uint64_t> requests;
            for (int round = 0; round < 3'400; ++round) {
                for (std::uint32_t priority = 0; priority < 3; ++priority) {
                    // The others ask for two and a half times the rate each.
                    const bool asks = priority != modest || round % 20 == 0;
                    if (asks) {
                        const auto node = static_cast<std::size_t>(round) % fleet.size();
                        const std::uint64_t number = fleet.request(node, 2'500, priority);
                        if (priority == modest) {
                            requests.push_back(number);
                        }
                    }
                }
                fleet.run(10ms);
            }
            // Three windows: the quota's sum is granted in each, of which every priority has its
            // share or what it asked for.
            double granted = 0;
            for (const std::uint64_t number : requests) {
                granted += fleet.wasGranted(number) ? 2'500 : 0;
            }
            const double asked = 2'500.0 * static_cast<double>(requests.size());
            const double share = UrgencyReserve::MinShare * 850'000;
            CPPUNIT_ASSERT(granted >= std::min(asked, 4 * share) * 0.95);
            CPPUNIT_ASSERT(fleet.maxUnitsInWindow(8) <= fleet.maxAllowedUnits());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UrgencyReserveTest);
