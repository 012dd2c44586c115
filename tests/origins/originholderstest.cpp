#include "origins/originholders.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>

using namespace indigoway;
using namespace indigoway::origins;

namespace {

std::vector<Holder> makeNodes(int count, int domains)
{
    std::vector<Holder> nodes;
    for (int i = 0; i < count; ++i) {
        nodes.push_back(
            {NodeName("n" + std::to_string(i)), DomainName("d" + std::to_string(i % domains)), 1});
    }
    return nodes;
}

StreamId stream(int number)
{
    return StreamId("stream-" + std::to_string(number));
}

bool contains(const std::vector<Holder> &holders, const NodeName &node)
{
    return std::ranges::find(holders, node, &Holder::node) != holders.end();
}

} // namespace

class OriginHoldersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OriginHoldersTest);
    CPPUNIT_TEST(firstHoldersAreInDifferentDomains);
    CPPUNIT_TEST(spreadsStreamsOverAllNodes);
    CPPUNIT_TEST(namesAllNodesOfASmallFleet);
    CPPUNIT_TEST(survivingHoldersAreFoundAfterDeaths);
    CPPUNIT_TEST(holdersAreFoundAfterNodesWereAdded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against origins that are lost with one failure domain.
    void firstHoldersAreInDifferentDomains()
    {
        OriginHolders holders;
        holders.setNodes(makeNodes(74, 4));
        for (int i = 0; i < 200; ++i) {
            std::set<DomainName> domains;
            for (const Holder &holder : holders.holdersOf(stream(i), 3)) {
                domains.insert(holder.domain);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t {3}, domains.size());
        }
    }

    // Guards against a few nodes that keep the origins of all streams.
    void spreadsStreamsOverAllNodes()
    {
        constexpr int Streams = 4'000;
        OriginHolders holders;
        holders.setNodes(makeNodes(40, 4));
        std::map<NodeName, int> kept;
        for (int i = 0; i < Streams; ++i) {
            for (const Holder &holder : holders.holdersOf(stream(i), 3)) {
                ++kept[holder.node];
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {40}, kept.size());
        for (const auto &[node, count] : kept) {
            CPPUNIT_ASSERT(count > Streams * 3 / 40 / 2 && count < Streams * 3 / 40 * 2);
        }
    }

    void namesAllNodesOfASmallFleet()
    {
        OriginHolders holders;
        CPPUNIT_ASSERT(holders.holdersOf(stream(1), 3).empty());
        holders.setNodes(makeNodes(5, 3));
        const auto all = holders.holdersOf(stream(1), 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t {5}, all.size());
        std::set<NodeName> names;
        for (const Holder &holder : all) {
            names.insert(holder.node);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {5}, names.size());
    }

    // Guards against nodes that look for an origin where nobody put it: a node that knows of deaths
    // asks all holders that are left.
    void survivingHoldersAreFoundAfterDeaths()
    {
        std::vector<Holder> nodes = makeNodes(40, 4);
        OriginHolders before;
        before.setNodes(nodes);
        nodes.erase(nodes.begin(), nodes.begin() + 15);
        OriginHolders after;
        after.setNodes(nodes);
        for (int i = 0; i < 300; ++i) {
            const auto asked = after.holdersOf(stream(i), 3);
            for (const Holder &holder : before.holdersOf(stream(i), 3)) {
                const bool isAlive = contains(nodes, holder.node);
                CPPUNIT_ASSERT(!isAlive || contains(asked, holder.node));
            }
        }
    }

    // Guards against the same when nodes have joined since the stream began.
    void holdersAreFoundAfterNodesWereAdded()
    {
        std::vector<Holder> nodes = makeNodes(40, 4);
        OriginHolders before;
        before.setNodes({nodes.begin(), nodes.begin() + 30});
        OriginHolders after;
        after.setNodes(nodes);
        for (int i = 0; i < 300; ++i) {
            const auto asked = after.holdersOf(stream(i), 8);
            const auto told = before.holdersOf(stream(i), 3);
            CPPUNIT_ASSERT(std::ranges::any_of(
                told, [&asked](const Holder &holder) { return contains(asked, holder.node); }));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginHoldersTest);
