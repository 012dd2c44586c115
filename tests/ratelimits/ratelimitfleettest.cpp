#include "ratelimits/limitedfleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace std::chrono_literals;

namespace {

void assertWithinLimit(const LimitedFleet &fleet, std::size_t server, double perSecond)
{
    const std::size_t most = fleet.mostInWindow(server);
    const std::size_t allowed = LimitedFleet::allowedInWindow(perSecond);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests, allowed " + std::to_string(allowed),
                           most <= allowed);
}

} // namespace

class RateLimitFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimitFleetTest);
    CPPUNIT_TEST(nodesTogetherStayWithinTheLimitOfAServer);
    CPPUNIT_TEST(serversGetMostOfTheirLimit);
    CPPUNIT_TEST(requestsReachTheServerWithoutALimit);
    CPPUNIT_TEST(endOfALimitReachesAllNodes);
    CPPUNIT_TEST(holdsWhileTheRateLimiterIsSilent);
    CPPUNIT_TEST(holdsWithoutARateLimiter);
    CPPUNIT_TEST(holdsWhenTheRateLimiterChanges);
    CPPUNIT_TEST(holdsWhileNodesRestart);
    CPPUNIT_TEST(holdsWithLostDatagrams);
    CPPUNIT_TEST(holdsForEngines);
    CPPUNIT_TEST(holdsInLargeFleets);
    CPPUNIT_TEST(limitOutlastsAnEntryThatReturns);
    CPPUNIT_TEST(nodesLearnOfLimitsFromOthers);
    CPPUNIT_TEST(startingNodesLearnOfLimitsFromOthers);
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
            assertWithinLimit(fleet, 0, 3.7);
            assertWithinLimit(fleet, 1, 1.9);
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.refused() + fleet.failed());
        }
    }

    // Guards against giving servers much less than they accept while callers are refused.
    void serversGetMostOfTheirLimit()
    {
        for (const std::size_t nodes : {7U, 60U}) {
            LimitedFleet fleet({.nodes = nodes, .requestsPerSecond = 60});
            for (const std::size_t server : {0U, 1U, 2U}) {
                fleet.setLimit(server, 4);
            }
            fleet.run(10s);
            const std::size_t before = fleet.arrivals(0) + fleet.arrivals(1) + fleet.arrivals(2);
            fleet.run(20s);
            const std::size_t sent =
                fleet.arrivals(0) + fleet.arrivals(1) + fleet.arrivals(2) - before;
            const std::size_t accepted = 3 * 4 * 20;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent >= accepted * 85 / 100);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent <= accepted * 105 / 100);
        }
    }

    // Guards against rejecting callers while a server without a limit is free.
    void requestsReachTheServerWithoutALimit()
    {
        for (const bool isGeneration : {false, true}) {
            LimitedFleet fleet(
                {.servers = 14, .requestsPerSecond = 20, .isGeneration = isGeneration});
            for (std::size_t server = 0; server < 12; ++server) {
                fleet.setLimit(server, 0.2);
            }
            fleet.run(30s);
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.refused() + fleet.failed());
        }
    }

    // Guards against nodes that keep to a limit long after the server has ended it.
    void endOfALimitReachesAllNodes()
    {
        LimitedFleet fleet({.nodes = 60, .servers = 1, .requestsPerSecond = 100});
        fleet.setLimit(0, 2);
        fleet.run(20s);
        fleet.setLimit(0, std::nullopt);
        fleet.run(5s);
        const std::size_t served = fleet.served();
        fleet.run(5s);
        CPPUNIT_ASSERT(fleet.served() - served > 100 * 5 * 8 / 10);
    }

    // Guards against nodes that each take the whole limit, or none of it, without a rate limiter.
    void holdsWhileTheRateLimiterIsSilent()
    {
        LimitedFleet fleet({.requestsPerSecond = 60});
        for (const std::size_t server : {0U, 1U, 2U}) {
            fleet.setLimit(server, 10);
        }
        fleet.run(10s);
        fleet.setSilent(true);
        const std::size_t before = fleet.arrivals(0);
        fleet.run(20s);
        CPPUNIT_ASSERT(fleet.arrivals(0) - before >= 10 * 20 * 3 / 10);
        fleet.setSilent(false);
        fleet.run(10s);
        assertWithinLimit(fleet, 0, 10);
    }

    void holdsWithoutARateLimiter()
    {
        LimitedFleet fleet({.requestsPerSecond = 60});
        fleet.setSchedulingNode(std::nullopt);
        fleet.setLimit(0, 10);
        fleet.run(30s);
        assertWithinLimit(fleet, 0, 10);
        CPPUNIT_ASSERT(fleet.arrivals(0) >= 10 * 30 * 6 / 10);
    }

    // Guards against a second burst from each node that takes the rate limiter over.
    void holdsWhenTheRateLimiterChanges()
    {
        LimitedFleet fleet({.requestsPerSecond = 60});
        fleet.setLimit(0, 3);
        for (std::size_t round = 0; round < 20; ++round) {
            fleet.run(1500ms);
            fleet.setSchedulingNode(round % 7);
        }
        assertWithinLimit(fleet, 0, 3);
    }

    void holdsWhileNodesRestart()
    {
        LimitedFleet fleet({.requestsPerSecond = 60});
        fleet.setLimit(0, 3);
        for (std::size_t round = 0; round < 20; ++round) {
            fleet.run(1500ms);
            fleet.start(round % 7);
        }
        assertWithinLimit(fleet, 0, 3);
    }

    // Guards against counting a repeated query twice, and against unlimited requests without
    // answers.
    void holdsWithLostDatagrams()
    {
        for (const double lossRate : {0.05, 0.3, 0.7}) {
            LimitedFleet fleet({.requestsPerSecond = 60, .lossRate = lossRate});
            fleet.setLimit(0, 5);
            fleet.run(30s);
            assertWithinLimit(fleet, 0, 5);
        }
    }

    void holdsForEngines()
    {
        LimitedFleet fleet({.servers = 6, .requestsPerSecond = 20, .isGeneration = true});
        fleet.run(5s);
        fleet.setLimit(0, 1.5); // A prefill engine.
        fleet.setLimit(1, 1.5); // A decode engine.
        fleet.run(30s);
        assertWithinLimit(fleet, 0, 1.5);
        assertWithinLimit(fleet, 1, 1.5);
        CPPUNIT_ASSERT(fleet.arrivals(1) > 1.5 * 30 * 5 / 10);
        CPPUNIT_ASSERT(fleet.served() > 20 * 35 * 9 / 10);
    }

    // Guards against shares of a limit that add up to more than it, or to little, with many nodes.
    void holdsInLargeFleets()
    {
        for (const std::size_t nodes : {400U, 985U}) {
            LimitedFleet fleet({.nodes = nodes, .requestsPerSecond = 500});
            fleet.run(2s);
            fleet.setLimit(0, 20);
            fleet.setLimit(1, 20);
            fleet.run(10s);
            const std::size_t before = fleet.arrivals(0);
            const std::size_t datagrams = fleet.datagrams();
            fleet.run(10s);
            assertWithinLimit(fleet, 0, 20);
            CPPUNIT_ASSERT(fleet.arrivals(0) - before >= 20 * 10 * 8 / 10);
            // At most three queries a request, each with an answer.
            CPPUNIT_ASSERT(fleet.datagrams() - datagrams <= 6 * 500 * 10);
        }
    }

    // Guards against nodes that forget a limit because the server's lease expired while the store
    // was away.
    void limitOutlastsAnEntryThatReturns()
    {
        LimitedFleet fleet({.nodes = 40, .requestsPerSecond = 200});
        fleet.setLimit(0, 2);
        fleet.run(10s);
        for (int round = 0; round < 5; ++round) {
            fleet.withdraw(0);
            fleet.run(2s);
            fleet.announce(0);
            fleet.run(1s);
        }
        assertWithinLimit(fleet, 0, 2);
    }

    // Guards against many nodes that each have to exceed the limit of a server to learn of it.
    void nodesLearnOfLimitsFromOthers()
    {
        LimitedFleet fleet({.nodes = 400, .servers = 100, .requestsPerSecond = 1000});
        fleet.run(2s);
        fleet.setLimit(0, 2);
        fleet.run(20s);
        const std::size_t most = fleet.mostOfAllInWindow(0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= LimitedFleet::allowedInWindow(2));
    }

    // Guards against restarts in turn after which each node has to be told by the server again.
    void startingNodesLearnOfLimitsFromOthers()
    {
        LimitedFleet fleet({.nodes = 200, .servers = 100, .requestsPerSecond = 1000});
        fleet.run(2s);
        fleet.setLimit(0, 2);
        fleet.run(5s);
        for (std::size_t node = 1; node < 200; ++node) {
            fleet.start(node);
            fleet.run(50ms);
        }
        fleet.run(10s);
        const std::size_t most = fleet.mostOfAllInWindow(0);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= LimitedFleet::allowedInWindow(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitFleetTest);
