#include "scheduling/loadreplay.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

constexpr int Organisations = 16;

/**
 * Options of a load of 60 % of the capacity, a quarter of it by the first organisation, which sends
 * six times its usual load from 5 s to 11 s.
 */
LoadReplay::Options burstOptions(bool namesOrganisations)
{
    constexpr double UsualLoad = 0.6 * LoadReplay::Capacity;
    constexpr double LargeShare = 0.25;
    constexpr double BurstFactor = 6;
    LoadReplay::Options options;
    options.organisations = Organisations;
    options.namesOrganisations = namesOrganisations;
    options.maxRate = UsualLoad * LargeShare * BurstFactor;
    options.rate = [](LoadReplay::Offset now, int organisation) {
        const bool isBurst = now >= std::chrono::seconds(5) && now < std::chrono::seconds(11);
        return organisation > 0 ? UsualLoad * (1 - LargeShare) / (Organisations - 1)
                                : UsualLoad * LargeShare * (isBurst ? BurstFactor : 1);
    };
    return options;
}

} // namespace

/** Replays one organisation's burst against fifteen others in virtual time. */
class FairQueueReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueReplayTest);
    CPPUNIT_TEST(burstDelaysOnlyItsOrganisation);
    CPPUNIT_TEST(organisationAloneUsesEverything);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a burst of one organisation that fills the queue for all others.
    void burstDelaysOnlyItsOrganisation()
    {
        constexpr auto Length = std::chrono::seconds(14);
        const auto unfair = LoadReplay(burstOptions(false)).simulate(Length);
        const auto fair = LoadReplay(burstOptions(true)).simulate(Length);
        const LoadReplay::Results othersUnfair = LoadReplay::sum(unfair, 1);
        const LoadReplay::Results othersFair = LoadReplay::sum(fair, 1);
        // The others ask for less than their share all the time.
        CPPUNIT_ASSERT(othersUnfair.onTimeShare() < 0.97);
        CPPUNIT_ASSERT_EQUAL(othersFair.arrived, othersFair.onTime);
        CPPUNIT_ASSERT(othersFair.longestWait < std::chrono::milliseconds(500));
        // What they leave goes to the burst.
        const LoadReplay::Results allUnfair = LoadReplay::sum(unfair, 0);
        const LoadReplay::Results allFair = LoadReplay::sum(fair, 0);
        CPPUNIT_ASSERT(allFair.onTime + allFair.late > 0.98 * (allUnfair.onTime + allUnfair.late));
        CPPUNIT_ASSERT(allFair.late < 0.02 * allFair.arrived);
    }

    // Guards against shares that bind an organisation while the others need nothing.
    void organisationAloneUsesEverything()
    {
        const auto options = [](bool namesOrganisations) {
            LoadReplay::Options alone;
            alone.organisations = 1;
            alone.namesOrganisations = namesOrganisations;
            alone.maxRate = 1.5 * LoadReplay::Capacity;
            alone.rate = [](LoadReplay::Offset, int) {
                return 1.5 * LoadReplay::Capacity;
            };
            return alone;
        };
        constexpr auto Length = std::chrono::seconds(10);
        const auto unnamed = LoadReplay(options(false)).simulate(Length).front();
        const auto named = LoadReplay(options(true)).simulate(Length).front();
        CPPUNIT_ASSERT_EQUAL(unnamed.onTime, named.onTime);
        CPPUNIT_ASSERT_EQUAL(unnamed.late, named.late);
        CPPUNIT_ASSERT_EQUAL(unnamed.refused, named.refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueReplayTest);
