#include "edge/copyfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

using namespace indigoway;
using namespace std::chrono_literals;

namespace {

constexpr Duration WarmUp = 12s;
constexpr Duration ChangeInterval = 330ms;
/** The time within which a change of the desired state must apply in deployments of 20 nodes. */
constexpr Duration MaxSmallDelay = 2s;
/** The same in deployments of 66 nodes. */
constexpr Duration MaxLargeDelay = 3s;

std::string nameOf(const std::string &address)
{
    return address.substr(0, address.find(':'));
}

std::string milliseconds(Duration duration)
{
    return std::to_string(duration / 1ms) + " ms";
}

/** Draws faults of nodes, of the store and of the network, which overlap. */
class DrawnFaults
{
public:
    DrawnFaults(CopyFleet &fleet, unsigned seed)
        : m_fleet(fleet)
        , m_random(seed)
    {
        for (const auto &[domain, addresses] : fleet.ranked()) {
            m_addresses.insert(m_addresses.end(), addresses.begin(), addresses.end());
        }
    }

    /** Draws a fault now, and the next one later. */
    void strike()
    {
        switch (upTo(6)) {
        case 0:
            restart(anyNode(), std::chrono::milliseconds(upTo(1500)));
            break;
        case 1:
            refuseSome();
            break;
        case 2:
            m_fleet.store.isAvailable = false;
            later(std::chrono::milliseconds(upTo(4500)),
                  [this] { m_fleet.store.isAvailable = true; });
            break;
        case 3:
            cutSome(upTo(1) == 0 ? CopyFleet::Cut::Silent : CopyFleet::Cut::Refused);
            break;
        case 4:
            m_fleet.freeze(anyNode(), std::chrono::milliseconds(300 + upTo(5000)));
            break;
        case 5:
            changeRank(anyNode());
            break;
        default:
            m_fleet.extraLatency = std::chrono::milliseconds(upTo(20));
            break;
        }
        later(std::chrono::milliseconds(20 + upTo(700)), [this] { strike(); });
    }

private:
    unsigned upTo(unsigned most) { return static_cast<unsigned>(m_random() % (most + 1)); }
    const std::string &anyNode() { return m_addresses[m_random() % m_addresses.size()]; }
    void later(Duration delay, std::function<void()> action)
    {
        m_fleet.simulator.schedule(delay, std::move(action));
    }
    void restart(const std::string &address, Duration pause)
    {
        if (!m_fleet.isRunning(address)) {
            return;
        }
        m_fleet.kill(address);
        later(pause, [this, address] { m_fleet.start(address, m_random()); });
    }
    /** The store turns some nodes away; others come back in that moment. */
    void refuseSome()
    {
        for (const std::string &address : m_addresses) {
            if (upTo(2) > 0) {
                continue;
            }
            m_fleet.store.refuse(nameOf(address));
            later(std::chrono::milliseconds(500 + upTo(6000)),
                  [this, address] { m_fleet.store.refusedNodes.erase(nameOf(address)); });
        }
        restart(anyNode(), std::chrono::milliseconds(upTo(60)));
    }
    void cutSome(CopyFleet::Cut how)
    {
        for (const std::string &address : m_addresses) {
            if (upTo(2) == 0) {
                m_fleet.cuts[address] = how;
                later(std::chrono::milliseconds(500 + upTo(4000)),
                      [this, address] { m_fleet.cuts.erase(address); });
            }
        }
    }
    /** A VM of another size takes the node's place. */
    void changeRank(const std::string &address)
    {
        for (const NodeEntry *member : m_fleet.roster.members()) {
            if (member->controlAddress == address) {
                NodeEntry changed = *member;
                changed.cpuShare = upTo(1) == 0 ? 0.12 : 0.5;
                m_fleet.roster.announce("nodes/" + changed.name.text(), changed);
                return;
            }
        }
    }

    CopyFleet &m_fleet;
    std::mt19937 m_random;
    std::vector<std::string> m_addresses;
};

void runWithChanges(CopyFleet &fleet, Duration duration)
{
    for (Duration passed {}; passed < duration; passed += ChangeInterval) {
        fleet.store.write("configuration", "changed");
        fleet.run(ChangeInterval);
    }
}

} // namespace

/** Replays orders of events in which nodes could take each other for the source of changes. */
class SourceCycleReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SourceCycleReplayTest);
    CPPUNIT_TEST(restartedNodeIsNoSourceOfItsSource);
    CPPUNIT_TEST(nodesOfTwoVersionsAreNoSourcesOfEachOther);
    CPPUNIT_TEST(noNodeIsCurrentWithoutTheStore);
    CPPUNIT_TEST(noNodeIsCurrentForLongAmongNodesOfTwoVersions);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against a watcher that loses the store, follows a node that has just listed it and
     * still waits for an answer of this watcher: both would serve a replaced state for seconds.
     */
    void restartedNodeIsNoSourceOfItsSource()
    {
        replayRestart([](CopyFleet &, const std::string &, const std::string &) {});
    }

    /** Guards against the same cycle in a rolling update, if one of both nodes knows no paths. */
    void nodesOfTwoVersionsAreNoSourcesOfEachOther()
    {
        replayRestart([](CopyFleet &fleet, const std::string &watcher, const std::string &) {
            fleet.pathlessNodes.insert(watcher);
        });
        replayRestart([](CopyFleet &fleet, const std::string &, const std::string &restarted) {
            fleet.pathlessNodes.insert(restarted);
        });
    }

    /**
     * Guards against cycles of any length, in one domain or over several, that overlapping faults
     * could leave, and against chains whose loss of the store is noticed too late.
     */
    void noNodeIsCurrentWithoutTheStore()
    {
        replayDrawnFaults(MaxSmallDelay, MaxLargeDelay, [](CopyFleet &) {});
    }

    /** Guards against cycles over nodes of the version before, which only the contact's age ends.
     */
    void noNodeIsCurrentForLongAmongNodesOfTwoVersions()
    {
        constexpr Duration Most = syncdelays::MaxContactAge + syncdelays::PeerHold
            + syncdelays::PeerAnswerMargin + syncdelays::Tick;
        replayDrawnFaults(Most, Most, [](CopyFleet &fleet) {
            for (const auto &[domain, addresses] : fleet.ranked()) {
                for (std::size_t i = 0; i < addresses.size(); i += 2) {
                    fleet.pathlessNodes.insert(addresses[i]);
                }
            }
        });
    }

private:
    using Prepare =
        std::function<void(CopyFleet &, const std::string &watcher, const std::string &restarted)>;

    /** The store refuses the watcher of two nodes while the other one is just starting. */
    static void replayRestart(const Prepare &prepare)
    {
        for (int offset = -120; offset <= 60; offset += 3) {
            CopyFleet fleet(8, 3, std::nullopt, 1);
            const std::vector<std::string> domain = fleet.ranked().at("2");
            CPPUNIT_ASSERT_EQUAL(std::size_t {2}, domain.size());
            prepare(fleet, domain[0], domain[1]);
            fleet.run(WarmUp);
            fleet.maxDelay = fleet.maxFalseTime = {};
            fleet.kill(domain[1]);
            fleet.simulator.schedule(1000ms, [&] { fleet.start(domain[1], 5); });
            fleet.simulator.schedule(1000ms + std::chrono::milliseconds(offset),
                                     [&] { fleet.store.refuse(nameOf(domain[0])); });
            fleet.run(1200ms);
            runWithChanges(fleet, 6s);
            const std::string result = "store refuses the watcher " + std::to_string(offset)
                + " ms after the start: delay " + milliseconds(fleet.maxDelay)
                + ", current without the store for " + milliseconds(fleet.maxFalseTime);
            if (std::getenv("REPLAY_FIGURES")) {
                std::cout << result << "\n";
            }
            CPPUNIT_ASSERT_MESSAGE(result, fleet.maxDelay <= MaxSmallDelay);
            CPPUNIT_ASSERT_MESSAGE(result, fleet.maxFalseTime <= MaxSmallDelay);
        }
    }

    /** REPLAY_SEEDS sets the number of replays for each deployment. */
    static void replayDrawnFaults(Duration maxSmall, Duration maxLarge,
                                  const std::function<void(CopyFleet &)> &prepare)
    {
        struct Deployment
        {
            int nodes;
            int domains;
        };
        constexpr int MostSmall = 20;
        constexpr Deployment Deployments[] = {{2, 1}, {3, 1}, {4, 2}, {8, 3}, {20, 1}, {66, 3}};
        const char *wanted = std::getenv("REPLAY_SEEDS");
        const unsigned seeds = wanted ? static_cast<unsigned>(std::atoi(wanted)) : 20;
        for (const Deployment &deployment : Deployments) {
            Duration most {};
            for (unsigned seed = 1; seed <= seeds; ++seed) {
                CopyFleet fleet(deployment.nodes, deployment.domains, std::nullopt, seed);
                prepare(fleet);
                fleet.run(WarmUp);
                fleet.maxFalseTime = {};
                DrawnFaults faults(fleet, seed);
                faults.strike();
                runWithChanges(fleet, 20s);
                const std::string result = std::to_string(deployment.nodes) + " nodes in "
                    + std::to_string(deployment.domains) + ", seed " + std::to_string(seed)
                    + ": current without the store for " + milliseconds(fleet.maxFalseTime);
                most = std::max(most, fleet.maxFalseTime);
                CPPUNIT_ASSERT_MESSAGE(
                    result,
                    fleet.maxFalseTime <= (deployment.nodes <= MostSmall ? maxSmall : maxLarge));
            }
            if (std::getenv("REPLAY_FIGURES")) {
                std::cout << deployment.nodes << " nodes in " << deployment.domains
                          << ": current without the store for at most " << milliseconds(most)
                          << "\n";
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SourceCycleReplayTest);
