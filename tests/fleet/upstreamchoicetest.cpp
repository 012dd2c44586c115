#include "fleet/upstreamchoice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace indigoway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

NodeEntry node(const std::string &name, const std::string &domain)
{
    return {NodeName(name), DomainName(domain), name + ":1", name + ":2"};
}

/** Three domains with @p each nodes, named by domain and number. */
std::vector<NodeEntry> fleet(int each)
{
    std::vector<NodeEntry> nodes;
    for (const std::string domain : {"a", "b", "c"}) {
        for (int i = 1; i <= each; ++i) {
            nodes.push_back(node(domain + std::to_string(i), domain));
        }
    }
    return nodes;
}

UpstreamChoice choiceOf(const std::string &name)
{
    return UpstreamChoice(NodeName(name), DomainName(name.substr(0, 1)));
}

std::string chosen(UpstreamChoice &choice, int milliseconds,
                   const std::vector<NodeEntry> &members = fleet(3),
                   const std::vector<std::string> &seeds = {})
{
    return choice.choose(at(milliseconds), members, seeds).peer.value_or("store");
}

} // namespace

class UpstreamChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamChoiceTest);
    CPPUNIT_TEST(oneNodeOfEachDomainAsksTheStore);
    CPPUNIT_TEST(theLargestNodeOfADomainWatches);
    CPPUNIT_TEST(aNewNodeAsksTheStore);
    CPPUNIT_TEST(aNodeThatKnowsNothingAsksTheStore);
    CPPUNIT_TEST(aDeadWatcherIsLeft);
    CPPUNIT_TEST(otherWatchersMayBeTurnedAwayToo);
    CPPUNIT_TEST(aNodeTurnedAwayAsksOthersAndTriesAgain);
    CPPUNIT_TEST(onlyWatchersGoOnAskingAStoreThatIsAway);
    CPPUNIT_TEST_SUITE_END();

public:
    // Sixty-six nodes that each watched the store would make sixty-six calls a second for
    // nothing; the store's rate is for all nodes together.
    void oneNodeOfEachDomainAsksTheStore()
    {
        const auto members = fleet(22);
        std::set<std::string> watchers;
        for (const NodeEntry &member : members) {
            UpstreamChoice choice(member.name, member.domain);
            if (chosen(choice, 0, members) == "store") {
                watchers.insert(member.name.text());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, watchers.size());
        UpstreamChoice choice = choiceOf("b2");
        CPPUNIT_ASSERT_EQUAL(std::string("b1:2"), chosen(choice, 0, members));
    }

    // A watcher sends each change to all of its domain. On the link of the smallest VM, which was
    // first by name, sixty copies of a change took seconds.
    void theLargestNodeOfADomainWatches()
    {
        auto members = fleet(5);
        for (NodeEntry &member : members) {
            member.processors = member.name.text().ends_with("4") ? 0.5 : 0.12;
        }
        UpstreamChoice choice = choiceOf("b2");
        CPPUNIT_ASSERT_EQUAL(std::string("b4:2"), chosen(choice, 0, members));
        UpstreamChoice watcher = choiceOf("b4");
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(watcher, 0, members));
    }

    void aNewNodeAsksTheStore()
    {
        UpstreamChoice choice = choiceOf("b2");
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(choice, 0, {}));
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(choice, 0, {node("a1", "a")}));
    }

    // All nodes lose power and start again. Each learns of its watcher from the first page of the
    // list; asking it for the rest, a hundred nodes would wait for one small VM's link. Where the
    // store turns this node away, another node's copy is better than none.
    void aNodeThatKnowsNothingAsksTheStore()
    {
        UpstreamChoice choice = choiceOf("b2");
        const Upstream first = choice.choose(at(0), fleet(3), {}, true);
        CPPUNIT_ASSERT(!first.peer);
        choice.failed(at(10), first);
        CPPUNIT_ASSERT(choice.choose(at(20), fleet(3), {}, true).peer.has_value());
        CPPUNIT_ASSERT(!choice.choose(at(2'000), fleet(3), {}, true).peer);
    }

    // The watcher of a domain is killed. The others of its domain must not wait until its entry
    // lapses: changes of that time would come too late.
    void aDeadWatcherIsLeft()
    {
        UpstreamChoice choice = choiceOf("b2");
        choice.failed(at(0), {"b1:2", false});
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(choice, 10));
        CPPUNIT_ASSERT_EQUAL(std::string("b1:2"), chosen(choice, 5'000));
    }

    // The store turns away the watchers of all domains, and no other node. Waiting for one of them
    // after the other, a node would serve an old state for seconds, though the store would answer.
    void otherWatchersMayBeTurnedAwayToo()
    {
        UpstreamChoice choice = choiceOf("b2");
        choice.failed(at(0), {"b1:2", false});
        const Upstream store = choice.choose(at(10), fleet(3), {});
        CPPUNIT_ASSERT(!store.peer && !store.isProbe);
        choice.failed(at(20), store);
        CPPUNIT_ASSERT(chosen(choice, 30) != "store");
        CPPUNIT_ASSERT(chosen(choice, 40) != "b1:2");
    }

    // The store turns a watcher away and serves all others. It asks them, so that its routes and
    // servers stay current, and the store now and then with a short wait.
    void aNodeTurnedAwayAsksOthersAndTriesAgain()
    {
        UpstreamChoice choice = choiceOf("a1");
        const Upstream first = choice.choose(at(0), fleet(3), {});
        CPPUNIT_ASSERT(!first.peer && !first.isProbe);
        choice.failed(at(10), first);
        CPPUNIT_ASSERT(chosen(choice, 20) != "store");
        CPPUNIT_ASSERT_EQUAL(std::string("seed:2"), chosen(choice, 30, {}, {"seed:2"}));
        const Upstream probe = choice.choose(at(2'000), fleet(3), {});
        CPPUNIT_ASSERT(!probe.peer && probe.isProbe);
        choice.succeeded(probe);
        const Upstream again = choice.choose(at(2'010), fleet(3), {});
        CPPUNIT_ASSERT(!again.peer && !again.isProbe);
    }

    // The store is away for twelve seconds. Each call in vain is paid for; the watchers find out
    // that it is back, and the others hear it from them.
    void onlyWatchersGoOnAskingAStoreThatIsAway()
    {
        const auto probes = [](const std::string &name) {
            UpstreamChoice choice = choiceOf(name);
            int asked = 0;
            for (int time = 0; time < 12'000; time += 100) {
                const Upstream upstream = choice.choose(at(time), fleet(30), {});
                asked += upstream.peer ? 0 : 1;
                choice.failed(at(time), upstream);
            }
            return asked;
        };
        CPPUNIT_ASSERT(probes("a1") >= 8);
        CPPUNIT_ASSERT(probes("a2") <= 5);
        CPPUNIT_ASSERT(probes("a2") >= 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamChoiceTest);
