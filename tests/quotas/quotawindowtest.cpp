#include "quotas/quotawindow.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <numeric>
#include <random>

using namespace indigoway;
using namespace indigoway::quotas;
using namespace std::chrono_literals;

namespace {

constexpr Duration Window = 8s;
constexpr Duration Slot = Window / 128;

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

double sum(const UsageProfile &profile)
{
    return std::accumulate(profile.begin(), profile.end(), 0.0);
}

} // namespace

class QuotaWindowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaWindowTest);
    CPPUNIT_TEST(grantsTheWholeSumAtOnce);
    CPPUNIT_TEST(neverExceedsTheLimitInAnyWindow);
    CPPUNIT_TEST(freesUnitsAfterAWindowAndASlot);
    CPPUNIT_TEST(statesTheTimeUntilAvailable);
    CPPUNIT_TEST(returnsUnits);
    CPPUNIT_TEST(chargesBeyondTheLimit);
    CPPUNIT_TEST(profileNeverExpiresTooEarly);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a refusal of units that the contract allows.
    void grantsTheWholeSumAtOnce()
    {
        QuotaWindow window(Window);
        CPPUNIT_ASSERT(window.take(at(0s), 100, 60));
        CPPUNIT_ASSERT(window.take(at(0s), 100, 40));
        CPPUNIT_ASSERT(!window.take(at(0s), 100, 1));
    }

    // Guards against slots that are freed before the window of their newest units has ended.
    void neverExceedsTheLimitInAnyWindow()
    {
        std::mt19937_64 random(1);
        QuotaWindow window(Window);
        std::deque<std::pair<Duration, double>> taken;
        double inWindow = 0;
        Duration now {};
        for (int step = 0; step < 100'000; ++step) {
            now += std::chrono::microseconds(
                std::uniform_int_distribution<>(0, step % 100 == 0 ? 9'000'000 : 20'000)(random));
            const double units = std::uniform_int_distribution<>(0, 9)(random);
            while (!taken.empty() && taken.front().first < now - Window) {
                inWindow -= taken.front().second;
                taken.pop_front();
            }
            if (window.take(at(now), 1000, units)) {
                taken.emplace_back(now, units);
                inWindow += units;
            }
            CPPUNIT_ASSERT(inWindow <= 1000);
        }
    }

    // Guards against units that are kept for longer than the resolution of the window.
    void freesUnitsAfterAWindowAndASlot()
    {
        for (Duration time {}; time < 2 * Slot; time += 3ms) {
            QuotaWindow window(Window);
            window.charge(at(time), 100);
            CPPUNIT_ASSERT_EQUAL(100.0, window.used(at(time + Window)));
            CPPUNIT_ASSERT_EQUAL(0.0, window.used(at(time + Window + Slot)));
        }
    }

    // Guards against a retry time at which the request is refused again.
    void statesTheTimeUntilAvailable()
    {
        QuotaWindow window(Window);
        window.charge(at(0s), 60);
        window.charge(at(2s), 40);
        CPPUNIT_ASSERT(window.timeUntilAvailable(at(2s), 100, 0) == 0s);
        const Duration first = window.timeUntilAvailable(at(2s), 100, 60);
        CPPUNIT_ASSERT(first >= 6s && first <= 6s + Slot);
        CPPUNIT_ASSERT(window.timeUntilAvailable(at(2s), 100, 61) >= 8s);
        CPPUNIT_ASSERT(!window.take(at(2s) + first - 1ms, 100, 60));
        CPPUNIT_ASSERT(window.take(at(2s) + first, 100, 60));
    }

    // Guards against returned units that are lost, freed too early, or credited beyond zero.
    void returnsUnits()
    {
        QuotaWindow window(Window);
        window.charge(at(0s), 60);
        window.charge(at(4s), 10);
        window.charge(at(5s), -30);
        CPPUNIT_ASSERT_EQUAL(40.0, window.used(at(5s)));
        CPPUNIT_ASSERT_EQUAL(0.0, window.used(at(8s + Slot)));
        window.charge(at(9s), -30);
        CPPUNIT_ASSERT(!window.take(at(9s), 100, 101));
    }

    // Guards against usage that is dropped because it was reported late.
    void chargesBeyondTheLimit()
    {
        QuotaWindow window(Window);
        window.charge(at(0s), 150);
        CPPUNIT_ASSERT(!window.take(at(7s), 100, 1));
        CPPUNIT_ASSERT(window.take(at(8s + Slot), 100, 100));
    }

    // Guards against a new keeper that forgets usage before its window has ended, or later than a
    // step of the profile.
    void profileNeverExpiresTooEarly()
    {
        std::mt19937_64 random(2);
        for (int round = 0; round < 200; ++round) {
            QuotaWindow window(Window);
            Duration now {};
            for (int step = 0; step < 20; ++step) {
                now += std::chrono::milliseconds(std::uniform_int_distribution<>(0, 900)(random));
                window.charge(at(now), 1);
            }
            now += std::chrono::milliseconds(std::uniform_int_distribution<>(0, 4000)(random));
            QuotaWindow copy(Window);
            copy.add(at(now), window.profile(at(now)));
            CPPUNIT_ASSERT_EQUAL(window.used(at(now)), sum(window.profile(at(now))));
            for (Duration later = now; later < now + 2 * Window; later += 50ms) {
                CPPUNIT_ASSERT(copy.used(at(later)) >= window.used(at(later)));
                CPPUNIT_ASSERT(copy.used(at(later + 16 * Slot)) <= window.used(at(later)));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaWindowTest);
