#include "ratelimits/limitedfleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace std::chrono_literals;

class RateLimitFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimitFleetTest);
    CPPUNIT_TEST(nodesTogetherStayWithinTheLimitOfAServer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a server in need getting more requests from all nodes together than it
    // accepts.
    void nodesTogetherStayWithinTheLimitOfAServer()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            LimitedFleet fleet({.seed = seed});
            fleet.run(8s);
            fleet.setLimit(0, 3.7);
            fleet.setLimit(1, 1.9);
            fleet.run(30s);
            CPPUNIT_ASSERT(fleet.mostInWindow(0) <= LimitedFleet::allowedInWindow(3.7));
            CPPUNIT_ASSERT(fleet.mostInWindow(1) <= LimitedFleet::allowedInWindow(1.9));
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.refused() + fleet.failed());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitFleetTest);
