#include "paths/relayselector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace indigoway;
using namespace std::chrono_literals;

class RelaySelectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelaySelectorTest);
    CPPUNIT_TEST(avoidsNodesThatFailed);
    CPPUNIT_TEST(keepsToProvenNodes);
    CPPUNIT_TEST(prefersNodesThatKnowFrames);
    CPPUNIT_TEST(spreadsTheConnectionsOfACutOffDomain);
    CPPUNIT_TEST(keepsNodesWhoseEntriesHaveExpired);
    CPPUNIT_TEST(forgetsTheFailuresOfAnEarlierAddress);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int i = 0; i < 40; ++i) {
            m_nodes.push_back({NodeName("n" + std::to_string(i)), "10.0.0." + std::to_string(i)});
        }
    }

    // Nodes of the same failure domain are often cut off, too; asking them costs the caller's time.
    void avoidsNodesThatFailed()
    {
        RelaySelector selector;
        selector.setNodes({m_nodes[0], m_nodes[1]}, m_now);
        selector.recordFailed(m_nodes[0].name, m_now);
        for (std::uint64_t entropy = 0; entropy < 10; ++entropy) {
            CPPUNIT_ASSERT(selector.pick({}, m_now, entropy) == m_nodes[1]);
        }
        CPPUNIT_ASSERT(selector.pick({m_nodes[1].name}, m_now, 0) == m_nodes[0]);
        selector.recordFailed(m_nodes[1].name, m_now);
        CPPUNIT_ASSERT(selector.pick({}, m_now, 0)); // Rather a node that failed than none.
        CPPUNIT_ASSERT(!selector.pick({m_nodes[0].name, m_nodes[1].name}, m_now, 0));
    }

    // Through nodes of an earlier version, answers without a length cannot be completed.
    void prefersNodesThatKnowFrames()
    {
        RelaySelector selector;
        m_nodes[0].knowsFrames = false;
        selector.setNodes({m_nodes[0], m_nodes[1], m_nodes[2]}, m_now);
        selector.recordOpened(m_nodes[0].name);
        selector.recordFailed(m_nodes[1].name, m_now);
        for (std::uint64_t entropy = 0; entropy < 100; ++entropy) {
            CPPUNIT_ASSERT(selector.pick({}, m_now, entropy) == m_nodes[2]);
        }
        // Most answers have a length: rather such a node than one that has failed.
        CPPUNIT_ASSERT(selector.pick({m_nodes[2].name}, m_now, 0) == m_nodes[0]);
        // It has been restarted with this version.
        m_nodes[0].knowsFrames = true;
        selector.setNodes({m_nodes[0], m_nodes[1], m_nodes[2]}, m_now);
        CPPUNIT_ASSERT(selector.pick({m_nodes[2].name}, m_now, 0) == m_nodes[0]);
    }

    // Without memory of what worked, half of all calls would ask nodes that are cut off, too.
    void keepsToProvenNodes()
    {
        RelaySelector selector;
        selector.setNodes(m_nodes, m_now);
        selector.recordOpened(m_nodes[0].name);
        // A call that has asked in vain takes the node that worked.
        for (std::uint64_t entropy = 0; entropy < 1'000; ++entropy) {
            CPPUNIT_ASSERT(selector.pick({m_nodes[5].name}, m_now, entropy) == m_nodes[0]);
        }
        for (int i = 1; i < 32; ++i) {
            selector.recordOpened(m_nodes[i].name);
        }
        std::set<std::string> picked;
        for (std::uint64_t entropy = 0; entropy < 1'000; ++entropy) {
            picked.insert(selector.pick({}, m_now, entropy)->name.text());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {32}, picked.size());
        CPPUNIT_ASSERT(!picked.contains(m_nodes[32].name.text()));
        selector.recordFailed(m_nodes[0].name, m_now);
        for (std::uint64_t entropy = 0; entropy < 1'000; ++entropy) {
            CPPUNIT_ASSERT(!(selector.pick({}, m_now, entropy) == m_nodes[0]));
        }
    }

    // If all nodes of a domain chose the same node, it would be overloaded.
    void spreadsTheConnectionsOfACutOffDomain()
    {
        std::map<std::string, int> connections;
        for (std::uint64_t node = 0; node < 200; ++node) {
            RelaySelector selector;
            selector.setNodes(m_nodes, m_now);
            for (std::uint64_t call = 0; call < 50; ++call) {
                const auto picked = selector.pick({}, m_now, m_random());
                selector.recordOpened(picked->name);
                ++connections[picked->name.text()];
            }
        }
        for (const auto &[name, count] : connections) {
            CPPUNIT_ASSERT(count < 2 * 200 * 50 / 40);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {40}, connections.size());
    }

    // The entries of all nodes expire in an outage of the store, in which nodes may be cut off.
    void keepsNodesWhoseEntriesHaveExpired()
    {
        RelaySelector selector;
        selector.setNodes(m_nodes, m_now);
        selector.setNodes({}, m_now + 30s);
        CPPUNIT_ASSERT(selector.pick({}, m_now + 30s, 0));
        selector.setNodes({}, m_now + 90s);
        CPPUNIT_ASSERT(selector.isEmpty());
    }

    // A node that was replaced must not be avoided for what the earlier one did.
    void forgetsTheFailuresOfAnEarlierAddress()
    {
        RelaySelector selector;
        selector.setNodes({m_nodes[0]}, m_now);
        selector.recordFailed(m_nodes[0].name, m_now);
        selector.setNodes({{m_nodes[0].name, "10.0.1.1"}}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.1.1"), selector.pick({}, m_now, 0)->address);
    }

private:
    const TimePoint m_now {Duration(1s)};
    std::mt19937_64 m_random {7};
    std::vector<RelayNode> m_nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaySelectorTest);
