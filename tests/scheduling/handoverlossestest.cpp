#include "scheduling/handoverlosses.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

ServerName numbered(const char *kind, int number)
{
    return ServerName(kind + std::to_string(number));
}

} // namespace

class HandoverLossesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HandoverLossesTest);
    CPPUNIT_TEST(singleFailureBlamesNeither);
    CPPUNIT_TEST(blamesOnlyFaultyTarget);
    CPPUNIT_TEST(blamesOnlyFaultySource);
    CPPUNIT_TEST(severalFaultyTargetsBlameFewSources);
    CPPUNIT_TEST(exclusionExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    void singleFailureBlamesNeither()
    {
        HandoverLosses losses;
        losses.lost(ServerName("p"), ServerName("d"), at(0));
        losses.lost(ServerName("p"), ServerName("d"), at(10));
        CPPUNIT_ASSERT(!losses.isBadSource(ServerName("p"), at(20)));
        CPPUNIT_ASSERT(!losses.isBadTarget(ServerName("d"), at(20)));
    }

    // Guards against excluding prefill engines for the fault of one decode engine.
    void blamesOnlyFaultyTarget()
    {
        HandoverLosses losses;
        for (int i = 0; i < 15; ++i) {
            losses.lost(numbered("p", i), ServerName("d"), at(10 * i));
        }
        CPPUNIT_ASSERT(losses.isBadTarget(ServerName("d"), at(200)));
        for (int i = 0; i < 15; ++i) {
            CPPUNIT_ASSERT(!losses.isBadSource(numbered("p", i), at(200)));
        }
    }

    // Guards against excluding decode engines for the fault of one prefill engine.
    void blamesOnlyFaultySource()
    {
        HandoverLosses losses;
        for (int i = 0; i < 15; ++i) {
            losses.lost(ServerName("p"), numbered("d", i), at(10 * i));
        }
        CPPUNIT_ASSERT(losses.isBadSource(ServerName("p"), at(200)));
        for (int i = 0; i < 15; ++i) {
            CPPUNIT_ASSERT(!losses.isBadTarget(numbered("d", i), at(200)));
        }
    }

    // Guards against excluding prefill engines if several decode engines are faulty at once.
    void severalFaultyTargetsBlameFewSources()
    {
        HandoverLosses losses;
        int time = 0;
        for (int i = 0; i < 60; ++i, time += 7) {
            losses.lost(numbered("p", (i * 7) % 15), numbered("d", i % 4), at(time));
        }
        int sources = 0;
        for (int i = 0; i < 15; ++i) {
            sources += losses.isBadSource(numbered("p", i), at(time)) ? 1 : 0;
        }
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(losses.isBadTarget(numbered("d", i), at(time)));
        }
        CPPUNIT_ASSERT(sources <= 1);
    }

    void exclusionExpires()
    {
        HandoverLosses losses;
        losses.lost(ServerName("p1"), ServerName("d"), at(0));
        losses.lost(ServerName("p2"), ServerName("d"), at(100));
        CPPUNIT_ASSERT(losses.isBadTarget(ServerName("d"), at(2'500)));
        CPPUNIT_ASSERT(!losses.isBadTarget(ServerName("d"), at(2'700)));
        losses.lost(ServerName("p1"), ServerName("d2"), at(3'000));
        CPPUNIT_ASSERT(!losses.isBadSource(ServerName("p1"), at(3'001)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoverLossesTest);
