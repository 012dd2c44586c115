#include "edge/copyfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <iostream>

using namespace indigoway;

namespace {

using Cut = CopyFleet::Cut;

constexpr Duration MaxCopyAge = std::chrono::milliseconds(4800);
constexpr Duration WarmUp = std::chrono::seconds(12);
constexpr Duration FaultTime = std::chrono::seconds(8);
/** The bound on the age of a copy, less half a second. */
constexpr Duration MaxAge = std::chrono::milliseconds(4500);
/** The bound on a change, less half a second, in large deployments and in those of 20 nodes. */
constexpr Duration MaxDelay = std::chrono::milliseconds(2500);
constexpr Duration MaxSmallDelay = std::chrono::milliseconds(1500);
constexpr Duration MaxRecovery = std::chrono::milliseconds(500);
/** A bound for any number of nodes; without faults it is 3. */
constexpr int MaxCallsPerSecond = 60;

/** Bound on the calls of a node to others; guards against nodes that poll each other in a loop. */
constexpr int MaxPeerCallsPerSecond = 40;

struct Deployment
{
    int nodes;
    int domains;
    unsigned seeds; ///< Number of replays with different random numbers.
};

constexpr Deployment Deployments[] = {{7, 3, 8},  {9, 3, 8},  {20, 1, 8},  {20, 3, 8}, {22, 3, 4},
                                      {66, 3, 4}, {71, 3, 2}, {220, 3, 2}, {985, 5, 1}};

std::string milliseconds(Duration duration)
{
    return std::to_string(duration / std::chrono::milliseconds(1)) + " ms";
}

/** Returns the mean number of calls of a node to others since @p start. */
int peerCallsPerSecond(const CopyFleet &fleet, std::uint64_t before, TimePoint start)
{
    const std::chrono::duration<double> elapsed = fleet.simulator.now() - start;
    return static_cast<int>(static_cast<double>(fleet.peerCalls - before)
                            / static_cast<double>(fleet.nodeCount()) / elapsed.count());
}

/** Runs for @p duration with a change every 700 ms; calls @p beforeEach before each of them. */
void runWithChanges(
    CopyFleet &fleet, Duration duration, const std::function<void(int)> &beforeEach = [](int) {})
{
    constexpr Duration Interval = std::chrono::milliseconds(700);
    int changes = 0;
    for (Duration passed {}; passed < duration; passed += Interval) {
        beforeEach(changes);
        fleet.store.write("configuration", std::to_string(++changes));
        fleet.run(Interval);
    }
}

/**
 * Replays @p fault in each deployment and checks the delay of changes and the age of the copies at
 * the nodes that are not cut off, and the calls to the store.
 */
void replayAll(const std::string &name, const std::function<void(CopyFleet &, unsigned)> &fault,
               std::optional<Duration> maxCopyAge = MaxCopyAge)
{
    for (const Deployment &deployment : Deployments) {
        const Duration maxDelay = deployment.nodes <= 20 ? MaxSmallDelay : MaxDelay;
        for (unsigned seed = 1; seed <= deployment.seeds; ++seed) {
            CopyFleet fleet(deployment.nodes, deployment.domains, maxCopyAge, seed);
            // The polls and proofs of different replays are at different points of their course.
            fleet.run(WarmUp + std::chrono::milliseconds(130) * seed);
            fleet.maxDelay = fleet.maxAge = {};
            const TimePoint start = fleet.simulator.now();
            const std::uint64_t before = fleet.peerCalls;
            fault(fleet, seed);
            const int peerCalls = peerCallsPerSecond(fleet, before, start);
            const int calls = fleet.maxCallsPerSecond(start);
            const std::string result = name + ", " + std::to_string(deployment.nodes) + " nodes in "
                + std::to_string(deployment.domains) + ", seed " + std::to_string(seed) + ": delay "
                + milliseconds(fleet.maxDelay) + ", age " + milliseconds(fleet.maxAge) + ", calls "
                + std::to_string(calls) + "/s, peer calls " + std::to_string(peerCalls) + "/s";
            if (std::getenv("REPLAY_FIGURES")) {
                std::cout << result << "\n";
            }
            CPPUNIT_ASSERT_MESSAGE(result, fleet.maxDelay <= maxDelay);
            CPPUNIT_ASSERT_MESSAGE(result, !maxCopyAge || fleet.maxAge <= MaxAge);
            CPPUNIT_ASSERT_MESSAGE(result, calls <= MaxCallsPerSecond);
            CPPUNIT_ASSERT_MESSAGE(result, peerCalls <= MaxPeerCallsPerSecond);
        }
    }
}

} // namespace

/** Replays faults of the network and of the store in fleets of 7 to 985 nodes. */
class PartitionReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartitionReplayTest);
    CPPUNIT_TEST(changesArriveWhileBetterRankedNodesAreSilent);
    CPPUNIT_TEST(changesArriveWhileBetterRankedNodesRefuse);
    CPPUNIT_TEST(changesArriveWhileAnyHalfIsSilent);
    CPPUNIT_TEST(changesArriveWithoutWatchers);
    CPPUNIT_TEST(changesArriveWithoutFirstTwoLevels);
    CPPUNIT_TEST(changesArriveWhileBestRankedNodesFailInTurn);
    CPPUNIT_TEST(changesArriveWhileStoreRefusesWatchers);
    CPPUNIT_TEST(changesArriveWithoutAgeLimit);
    CPPUNIT_TEST(changesArriveInMixedVersions);
    CPPUNIT_TEST(changesArriveInMixedVersionsWithoutWatchers);
    CPPUNIT_TEST(copiesAreProvenAfterOutage);
    CPPUNIT_TEST(callsWithoutFaultsAreUnchanged);
    CPPUNIT_TEST(regularTreeIsRestoredAfterFault);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a node that tries its unreachable better-ranked peers one after the other. */
    void changesArriveWhileBetterRankedNodesAreSilent()
    {
        replayAll("better half silent", [](CopyFleet &fleet, unsigned) {
            fleet.cutBestRanked(fleet.ranked().begin()->second.size() / 2, Cut::Silent);
            runWithChanges(fleet, FaultTime);
        });
    }

    /** Guards against the same with refused connections, which use up the retries quickly. */
    void changesArriveWhileBetterRankedNodesRefuse()
    {
        replayAll("better half refuses", [](CopyFleet &fleet, unsigned) {
            fleet.cutBestRanked(fleet.ranked().begin()->second.size() / 2, Cut::Refused);
            runWithChanges(fleet, FaultTime);
        });
    }

    /** Guards against a failover that relies on certain nodes below the failed ones. */
    void changesArriveWhileAnyHalfIsSilent()
    {
        replayAll("any half silent", [](CopyFleet &fleet, unsigned seed) {
            fleet.cutRandomHalf(Cut::Silent, seed);
            runWithChanges(fleet, FaultTime);
        });
    }

    void changesArriveWithoutWatchers()
    {
        replayAll("watchers silent", [](CopyFleet &fleet, unsigned) {
            fleet.cutBestRanked(1, Cut::Silent);
            runWithChanges(fleet, FaultTime);
        });
    }

    /** Guards against a whole domain whose nodes all lose the nodes that they know. */
    void changesArriveWithoutFirstTwoLevels()
    {
        replayAll("two levels silent", [](CopyFleet &fleet, unsigned) {
            const std::size_t half = fleet.ranked().begin()->second.size() / 2;
            fleet.cutBestRanked(std::min(half, 1 + UpstreamSelector::MaxChildren), Cut::Silent);
            runWithChanges(fleet, FaultTime);
        });
    }

    /** Guards against a node whose next source fails before the loss of the first is over. */
    void changesArriveWhileBestRankedNodesFailInTurn()
    {
        replayAll("best-ranked in turn", [](CopyFleet &fleet, unsigned) {
            const std::size_t half = fleet.ranked().begin()->second.size() / 2;
            runWithChanges(fleet, FaultTime, [&fleet, half](int changes) {
                fleet.cutBestRanked(std::min<std::size_t>(half, 1 + changes), Cut::Silent);
            });
        });
    }

    /** Guards against watchers that keep their domains waiting while the store serves others. */
    void changesArriveWhileStoreRefusesWatchers()
    {
        replayAll("store refuses watchers", [](CopyFleet &fleet, unsigned) {
            for (const auto &[domain, addresses] : fleet.ranked()) {
                const std::string &watcher = addresses.front();
                fleet.store.refusedNodes.insert(watcher.substr(0, watcher.find(':')));
            }
            runWithChanges(fleet, FaultTime);
        });
    }

    /** Guards against nodes that take those of an earlier version for failed ones. */
    void changesArriveInMixedVersions()
    {
        replayAll("mixed versions", [](CopyFleet &fleet, unsigned) {
            for (const auto &[domain, addresses] : fleet.ranked()) {
                for (std::size_t i = 0; i < addresses.size(); i += 2) {
                    fleet.oldNodes.insert(addresses[i]);
                }
            }
            runWithChanges(fleet, FaultTime);
            CPPUNIT_ASSERT(fleet.maxDelay < std::chrono::milliseconds(700));
        });
    }

    /** Guards against a search that relies on the proofs, which only revocable keys require. */
    void changesArriveWithoutAgeLimit()
    {
        replayAll(
            "no age limit, better half silent",
            [](CopyFleet &fleet, unsigned) {
                fleet.cutBestRanked(fleet.ranked().begin()->second.size() / 2, Cut::Silent);
                runWithChanges(fleet, FaultTime);
            },
            std::nullopt);
    }

    /** Guards against a rolling update during which the loss of a node is noticed too late. */
    void changesArriveInMixedVersionsWithoutWatchers()
    {
        replayAll("mixed versions, watchers silent", [](CopyFleet &fleet, unsigned) {
            for (const auto &[domain, addresses] : fleet.ranked()) {
                for (std::size_t i = 1; i < addresses.size(); i += 2) {
                    fleet.oldNodes.insert(addresses[i]);
                }
            }
            runWithChanges(fleet, std::chrono::seconds(4));
            fleet.cutBestRanked(1, Cut::Silent);
            runWithChanges(fleet, FaultTime);
        });
    }

    /** Guards against nodes that hear late that the store answers again. */
    void copiesAreProvenAfterOutage()
    {
        for (const Deployment &deployment : Deployments) {
            for (unsigned seed = 1; seed <= deployment.seeds; ++seed) {
                CopyFleet fleet(deployment.nodes, deployment.domains, MaxCopyAge, seed);
                fleet.run(WarmUp + std::chrono::milliseconds(130) * seed);
                const TimePoint start = fleet.simulator.now();
                const std::uint64_t before = fleet.peerCalls;
                fleet.store.isAvailable = false;
                fleet.run(std::chrono::milliseconds(4500));
                fleet.store.isAvailable = true;
                // The age of a proof includes the time of the messages that passed it on.
                constexpr Duration Transit = std::chrono::milliseconds(20);
                const BootTime back = fleet.simulator.bootNow() - Transit;
                while (!fleet.allProvenSince(back)
                       && fleet.simulator.bootNow() < back + Transit + MaxRecovery) {
                    fleet.run(std::chrono::milliseconds(10));
                }
                const int calls = fleet.maxCallsPerSecond(start);
                const int peerCalls = peerCallsPerSecond(fleet, before, start);
                const std::string result = "outage, " + std::to_string(deployment.nodes)
                    + " nodes in " + std::to_string(deployment.domains) + ", seed "
                    + std::to_string(seed) + ": proven after "
                    + milliseconds(fleet.simulator.bootNow() - back) + ", calls "
                    + std::to_string(calls) + "/s, " + std::to_string(fleet.callsSince(start))
                    + ", peer calls " + std::to_string(peerCalls) + "/s";
                if (std::getenv("REPLAY_FIGURES")) {
                    std::cout << result << "\n";
                }
                CPPUNIT_ASSERT_MESSAGE(result, fleet.allProvenSince(back));
                CPPUNIT_ASSERT_MESSAGE(result, calls <= MaxCallsPerSecond);
                CPPUNIT_ASSERT_MESSAGE(result, peerCalls <= MaxPeerCallsPerSecond);
            }
        }
    }

    /** Guards against calls to the store that grow with the number of nodes. */
    void callsWithoutFaultsAreUnchanged()
    {
        for (const Deployment &deployment : Deployments) {
            CopyFleet fleet(deployment.nodes, deployment.domains, MaxCopyAge);
            fleet.run(WarmUp);
            const TimePoint start = fleet.simulator.now();
            fleet.run(std::chrono::seconds(8));
            // Measured before the search was added: 39 calls in three domains, 65 in five.
            constexpr int CallsPerDomain = 13;
            CPPUNIT_ASSERT(fleet.callsSince(start) <= CallsPerDomain * deployment.domains);
        }
    }

    /** Guards against nodes that stay with the sources, and the store, that a fault led them to. */
    void regularTreeIsRestoredAfterFault()
    {
        for (const Deployment &deployment : Deployments) {
            CopyFleet fleet(deployment.nodes, deployment.domains, MaxCopyAge);
            fleet.run(WarmUp);
            fleet.cutBestRanked(fleet.ranked().begin()->second.size() / 2, Cut::Silent);
            runWithChanges(fleet, FaultTime);
            fleet.cuts.clear();
            // Failed peers are asked again after at most 16 s.
            fleet.run(std::chrono::seconds(30));
            const TimePoint start = fleet.simulator.now();
            fleet.run(std::chrono::seconds(8));
            constexpr int CallsPerDomain = 13;
            // The calls of a period depend on its phase by one for each domain.
            CPPUNIT_ASSERT(fleet.callsSince(start) <= (CallsPerDomain + 1) * deployment.domains);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionReplayTest);
