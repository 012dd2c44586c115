#include "fleet/upstreamselector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
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

/** Returns three domains with @p each nodes, named by domain and number. */
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

UpstreamSelector selectorOf(const std::string &name)
{
    return UpstreamSelector(node(name, name.substr(0, 1)), 0);
}

NodeDirectory directoryOf(const std::vector<NodeEntry> &members)
{
    NodeDirectory directory({});
    for (const NodeEntry &member : members) {
        directory.announce("k/" + member.name.text(), member);
    }
    return directory;
}

std::string chosen(UpstreamSelector &selector, int milliseconds,
                   const std::vector<NodeEntry> &members = fleet(3),
                   const std::vector<std::string> &seeds = {})
{
    return selector.choose(at(milliseconds), directoryOf(members), seeds).peer.value_or("store");
}

std::string chosenForFirstCopy(UpstreamSelector &selector, int milliseconds,
                               const std::vector<NodeEntry> &members,
                               const std::vector<std::string> &seeds, bool isSeed = false)
{
    const auto upstream =
        selector.chooseForSnapshot(at(milliseconds), directoryOf(members), seeds, isSeed);
    return upstream ? upstream->peer.value_or("store") : "nobody";
}

/** Returns the number of nodes that follow each node of @p members and the store. */
std::map<std::string, std::size_t> followerCounts(const std::vector<NodeEntry> &members)
{
    std::map<std::string, std::size_t> followers;
    const NodeDirectory directory = directoryOf(members);
    for (const NodeEntry &member : members) {
        UpstreamSelector selector(member, 0);
        ++followers[selector.choose(at(0), directory, {}).peer.value_or("store")];
    }
    return followers;
}

} // namespace

class UpstreamSelectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamSelectorTest);
    CPPUNIT_TEST(oneNodePerDomainFollowsStore);
    CPPUNIT_TEST(largestNodeIsWatcher);
    CPPUNIT_TEST(childrenAreBounded);
    CPPUNIT_TEST(treeIsShallow);
    CPPUNIT_TEST(repeatedFailuresGoFurtherUp);
    CPPUNIT_TEST(watcherRetriesSoon);
    CPPUNIT_TEST(backsOffFromLostNode);
    CPPUNIT_TEST(onlySeedsListStoreAtOnce);
    CPPUNIT_TEST(listsStoreAfterSnapshotTimeout);
    CPPUNIT_TEST(followsReferrals);
    CPPUNIT_TEST(newNodeCallsStore);
    CPPUNIT_TEST(newNodeFallsBackToSeeds);
    CPPUNIT_TEST(deadWatcherIsReplaced);
    CPPUNIT_TEST(triesStoreBeforeOtherWatchers);
    CPPUNIT_TEST(refusedWatcherUsesPeersAndProbesStore);
    CPPUNIT_TEST(onlyWatchersKeepProbingStore);
    CPPUNIT_TEST(onlyFirstThreeAreDeputies);
    CPPUNIT_TEST(adoptedSourceIsKeptUntilItFails);
    CPPUNIT_TEST(searchAsksAnyUsablePeer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a watch of the store by each node, since the store's rate limit applies to the
    // whole fleet.
    void oneNodePerDomainFollowsStore()
    {
        const auto members = fleet(22);
        std::set<std::string> watchers;
        for (const NodeEntry &member : members) {
            UpstreamSelector selector(member, 0);
            if (chosen(selector, 0, members) == "store") {
                watchers.insert(member.name.text());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, watchers.size());
        UpstreamSelector selector = selectorOf("b2");
        CPPUNIT_ASSERT_EQUAL(std::string("b1:2"), chosen(selector, 0, members));
    }

    // Guards against a watcher on a small VM, whose bandwidth delays the changes for its domain.
    void largestNodeIsWatcher()
    {
        auto members = fleet(5);
        for (NodeEntry &member : members) {
            member.cpuShare = member.name.text().ends_with("4") ? 0.5 : 0.12;
        }
        UpstreamSelector selector = selectorOf("b2");
        CPPUNIT_ASSERT_EQUAL(std::string("b4:2"), chosen(selector, 0, members));
        UpstreamSelector watcher(members.at(8), 0);
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(watcher, 0, members));
    }

    /** Guards against a watcher whose memory and bandwidth are used up by its followers. */
    void childrenAreBounded()
    {
        constexpr std::size_t MaxChildren = 16;
        for (const int each : {100, 200, 400}) {
            const auto followers = followerCounts(fleet(each));
            for (const auto &[upstream, count] : followers) {
                CPPUNIT_ASSERT(count <= MaxChildren);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t {3}, followers.at("store"));
        }
    }

    /** Guards against cycles and long chains of nodes that wait for each other's changes. */
    void treeIsShallow()
    {
        const auto members = fleet(400);
        const NodeDirectory directory = directoryOf(members);
        std::map<std::string, std::string> parents;
        for (const NodeEntry &member : members) {
            UpstreamSelector selector(member, 0);
            parents[member.controlAddress] =
                selector.choose(at(0), directory, {}).peer.value_or("store");
        }
        for (const auto &[control, first] : parents) {
            std::size_t steps = 1;
            for (std::string next = first; next != "store"; next = parents.at(next)) {
                CPPUNIT_ASSERT(++steps <= 4);
            }
        }
    }

    /**
     * Guards against a node that tries all siblings of its parent, which depend on the same nodes.
     */
    void repeatedFailuresGoFurtherUp()
    {
        const auto members = fleet(200);
        const NodeDirectory directory = directoryOf(members);
        UpstreamSelector selector(members.at(199), 0);
        int asked = 0;
        for (int time = 0; time < 1'000; time += 10) {
            const Upstream upstream = selector.choose(at(time), directory, {});
            ++asked;
            if (!upstream.peer || *upstream.peer == "a1:2") {
                break;
            }
            selector.reportFailure(at(time), upstream);
        }
        CPPUNIT_ASSERT(asked <= 3);
    }

    /** Guards against a delay for a whole domain after a single broken watch. */
    void watcherRetriesSoon()
    {
        UpstreamSelector selector = selectorOf("a1");
        selector.reportFailure(at(0), {std::nullopt, false});
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(selector, 110));
        selector.reportFailure(at(120), {std::nullopt, true});
        CPPUNIT_ASSERT(chosen(selector, 300) != "store");
    }

    /** Guards against frequent calls to a node that is lost for good. */
    void backsOffFromLostNode()
    {
        UpstreamSelector selector = selectorOf("b2");
        int asked = 0;
        for (int time = 0; time < 30'000; time += 50) {
            if (chosen(selector, time) == "b1:2") {
                ++asked;
                selector.reportFailure(at(time), {"b1:2", false});
            }
        }
        CPPUNIT_ASSERT(asked <= 4);
    }

    void newNodeCallsStore()
    {
        UpstreamSelector selector = selectorOf("b2");
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(selector, 0, {}));
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(selector, 0, {node("a1", "a")}));
    }

    /**
     * Guards against hundreds of nodes that list the store at once when the whole fleet restarts.
     */
    void onlySeedsListStoreAtOnce()
    {
        const std::vector<std::string> seeds {"a1:2", "b1:2"};
        UpstreamSelector seed = selectorOf("b1");
        CPPUNIT_ASSERT_EQUAL(std::string("store"),
                             chosenForFirstCopy(seed, 0, fleet(3), seeds, true));
        std::map<std::string, int> followers;
        for (std::uint64_t spread = 0; spread < 100; ++spread) {
            UpstreamSelector selector(node("b2", "b"), spread);
            ++followers[chosenForFirstCopy(selector, 0, {}, seeds)];
        }
        CPPUNIT_ASSERT_EQUAL(50, followers["a1:2"]);
        CPPUNIT_ASSERT_EQUAL(50, followers["b1:2"]);
    }

    /** Guards against an endless wait for a snapshot from nodes that have none themselves. */
    void listsStoreAfterSnapshotTimeout()
    {
        std::set<std::string> late;
        for (std::uint64_t spread = 0; spread < 10; ++spread) {
            UpstreamSelector selector(node("b2", "b"), spread * 500'000);
            chosenForFirstCopy(selector, 0, fleet(3), {"a1:2"});
            CPPUNIT_ASSERT(chosenForFirstCopy(selector, 4'900, fleet(3), {"a1:2"}) != "store");
            late.insert(chosenForFirstCopy(selector, 7'500, fleet(3), {"a1:2"}) == "store"
                            ? "store"
                            : "peer");
            CPPUNIT_ASSERT_EQUAL(std::string("store"),
                                 chosenForFirstCopy(selector, 10'100, fleet(3), {"a1:2"}));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, late.size());
    }

    /** Guards against listing the store because the nodes that have a copy are busy for now. */
    void followsReferrals()
    {
        UpstreamSelector selector = selectorOf("b2");
        CPPUNIT_ASSERT_EQUAL(std::string("a1:2"), chosenForFirstCopy(selector, 0, {}, {"a1:2"}));
        selector.handleReferral(at(10), {"a1:2", false}, {"b2:2", "c7:2"});
        CPPUNIT_ASSERT_EQUAL(std::string("c7:2"), chosenForFirstCopy(selector, 20, {}, {"a1:2"}));
        CPPUNIT_ASSERT_EQUAL(std::string("nobody"), chosenForFirstCopy(selector, 30, {}, {"a1:2"}));
        CPPUNIT_ASSERT_EQUAL(std::string("a1:2"), chosenForFirstCopy(selector, 400, {}, {"a1:2"}));
        // An unreachable peer is no reason to wait.
        selector.reportFailure(at(410), {"a1:2", false});
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosenForFirstCopy(selector, 420, {}, {"a1:2"}));
    }

    // Guards against a new node without any state if the store refuses its calls.
    void newNodeFallsBackToSeeds()
    {
        UpstreamSelector selector = selectorOf("b2");
        const Upstream first = selector.choose(at(0), directoryOf({}), {"a1:2"});
        CPPUNIT_ASSERT(!first.peer);
        selector.reportFailure(at(10), first);
        CPPUNIT_ASSERT(selector.choose(at(20), directoryOf({}), {"a1:2"}).peer.has_value());
        CPPUNIT_ASSERT(!selector.choose(at(2'000), directoryOf({}), {"a1:2"}).peer);
    }

    // Guards against a domain that receives no changes until the entry of its killed watcher
    // expires.
    void deadWatcherIsReplaced()
    {
        UpstreamSelector selector = selectorOf("b2");
        selector.reportFailure(at(0), {"b1:2", false});
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(selector, 10));
        CPPUNIT_ASSERT_EQUAL(std::string("b1:2"), chosen(selector, 5'000));
        // The next node in rank becomes the watcher; the others follow it.
        UpstreamSelector third = selectorOf("b3");
        third.reportFailure(at(0), {"b1:2", false});
        CPPUNIT_ASSERT_EQUAL(std::string("b2:2"), chosen(third, 10));
    }

    // Guards against a node that tries the watchers of all domains in turn while the store refuses
    // only these.
    void triesStoreBeforeOtherWatchers()
    {
        UpstreamSelector selector = selectorOf("b2");
        selector.reportFailure(at(0), {"b1:2", false});
        const Upstream store = selector.choose(at(10), directoryOf(fleet(3)), {});
        CPPUNIT_ASSERT(!store.peer && !store.isProbe);
        selector.reportFailure(at(20), store);
        CPPUNIT_ASSERT(chosen(selector, 30) != "store");
        CPPUNIT_ASSERT(chosen(selector, 40) != "b1:2");
    }

    // Guards against a watcher without changes while the store refuses only its calls.
    void refusedWatcherUsesPeersAndProbesStore()
    {
        UpstreamSelector selector = selectorOf("a1");
        const Upstream first = selector.choose(at(0), directoryOf(fleet(3)), {});
        CPPUNIT_ASSERT(!first.peer && !first.isProbe);
        selector.reportFailure(at(10), first);
        CPPUNIT_ASSERT(chosen(selector, 20) != "store");
        CPPUNIT_ASSERT_EQUAL(std::string("seed:2"), chosen(selector, 30, {}, {"seed:2"}));
        const Upstream probe = selector.choose(at(2'000), directoryOf(fleet(3)), {});
        CPPUNIT_ASSERT(!probe.peer && probe.isProbe);
        selector.reportSuccess(probe);
        const Upstream again = selector.choose(at(2'010), directoryOf(fleet(3)), {});
        CPPUNIT_ASSERT(!again.peer && !again.isProbe);
    }

    // Guards against many billed calls in a store outage: only the first nodes by rank keep
    // retrying here. The others ask the store as SourceSearch allows.
    void onlyWatchersKeepProbingStore()
    {
        const auto probes = [](const std::string &name) {
            UpstreamSelector selector = selectorOf(name);
            int asked = 0;
            const NodeDirectory directory = directoryOf(fleet(30));
            for (int time = 0; time < 12'000; time += 100) {
                const Upstream upstream = selector.choose(at(time), directory, {});
                asked += upstream.peer ? 0 : 1;
                selector.reportFailure(at(time), upstream);
            }
            return asked;
        };
        CPPUNIT_ASSERT(probes("a1") >= 8);
        CPPUNIT_ASSERT(probes("a10") <= 5);
        CPPUNIT_ASSERT(probes("a10") >= 3);
        CPPUNIT_ASSERT_EQUAL(0, probes("a2")); // The eleventh by rank.
    }

    /** Guards against each node of a cut-off domain following the store as the only one left. */
    void onlyFirstThreeAreDeputies()
    {
        const auto members = fleet(30);
        const NodeDirectory directory = directoryOf(members);
        const auto isDeputy = [&](const std::string &name) {
            UpstreamSelector selector = selectorOf(name);
            for (const NodeEntry &member : members) {
                if (member.name.text() != name) {
                    selector.reportSilentPeer(at(0), member.controlAddress);
                }
            }
            return selector.isDeputy(at(10), directory);
        };
        CPPUNIT_ASSERT(isDeputy("a1"));
        CPPUNIT_ASSERT(isDeputy("a10"));
        CPPUNIT_ASSERT(isDeputy("a11"));
        CPPUNIT_ASSERT(!isDeputy("a12"));
        UpstreamSelector second = selectorOf("a10");
        CPPUNIT_ASSERT(!second.isDeputy(at(0), directory));
    }

    /** Guards against a return to a peer that failed before it has answered again. */
    void adoptedSourceIsKeptUntilItFails()
    {
        UpstreamSelector selector = selectorOf("b3");
        selector.reportFailure(at(0), {"b1:2", false});
        selector.adopt({"b2:2", false});
        CPPUNIT_ASSERT(selector.hasFailedPeer(at(10)));
        // The back-off from b1 has ended, but nothing has shown that it answers.
        CPPUNIT_ASSERT(!selector.hasFailedPeer(at(5'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("b2:2"), chosen(selector, 5'000));
        selector.reportFailure(at(5'010), {"b2:2", false});
        CPPUNIT_ASSERT_EQUAL(std::string("b1:2"), chosen(selector, 5'020));
        selector.adopt({std::nullopt, false});
        CPPUNIT_ASSERT_EQUAL(std::string("store"), chosen(selector, 5'030));
        selector.releaseAdopted();
        CPPUNIT_ASSERT_EQUAL(std::string("b1:2"), chosen(selector, 5'040));
    }

    /** Guards against a search that keeps asking silent peers, or only one failure domain. */
    void searchAsksAnyUsablePeer()
    {
        UpstreamSelector selector = selectorOf("b2");
        const NodeDirectory directory = directoryOf(fleet(10));
        selector.reportSilentPeer(at(0), "b1:2");
        std::map<char, int> askedByDomain;
        for (std::uint64_t entropy = 0; entropy < 100; ++entropy) {
            const auto peer = selector.choosePeerToAsk(at(10), directory, entropy * 7'919);
            CPPUNIT_ASSERT(peer.has_value());
            CPPUNIT_ASSERT(*peer != "b1:2" && *peer != "b2:2");
            ++askedByDomain[peer->front()];
        }
        CPPUNIT_ASSERT(askedByDomain['b'] >= 50);
        CPPUNIT_ASSERT(askedByDomain['a'] > 0 && askedByDomain['c'] > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamSelectorTest);
