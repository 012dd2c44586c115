#include "fleet/sourcesearch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

using namespace indigoway;

namespace {

constexpr Duration Tick = std::chrono::milliseconds(50);

TimePoint at(Duration time)
{
    return TimePoint {} + std::chrono::hours(1) + time;
}

struct Calls
{
    std::map<std::int64_t, std::size_t> storeBySecond; ///< Calls to the store of all nodes.
    std::size_t store = 0;
    std::size_t peers = 0;
    std::optional<Duration> firstStoreCall;
};

/** Lets @p nodes nodes of a domain search for @p duration. */
Calls search(std::size_t nodes, Duration duration, SourceSearch::Situation situation = {})
{
    situation.needsSource = true;
    situation.domainNodes = nodes;
    Calls calls;
    std::mt19937 seeds(3);
    for (std::size_t node = 0; node < nodes; ++node) {
        SourceSearch search(seeds());
        for (Duration time {}; time < duration; time += Tick) {
            const SourceSearch::Step step = search.next(at(time), situation);
            calls.peers += static_cast<std::size_t>(step.peersToAsk);
            if (step.asksStore) {
                ++calls.store;
                ++calls.storeBySecond[time / std::chrono::seconds(1)];
                calls.firstStoreCall = std::min(time, calls.firstStoreCall.value_or(time));
            }
        }
    }
    return calls;
}

} // namespace

class SourceSearchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SourceSearchTest);
    CPPUNIT_TEST(storeCallsAreBoundedForAnyNumberOfNodes);
    CPPUNIT_TEST(someNodeAsksStoreSoon);
    CPPUNIT_TEST(deputyAsksStoreAtOnceAndOften);
    CPPUNIT_TEST(repeatedSearchesAskStoreNoMoreOften);
    CPPUNIT_TEST(asksFewPeersWhileFollowedNodeAnswers);
    CPPUNIT_TEST(endsWithTheNeed);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against billed calls that grow with the nodes of a cut-off domain. */
    void storeCallsAreBoundedForAnyNumberOfNodes()
    {
        for (const std::size_t nodes : {3, 20, 22, 73, 197, 400}) {
            const Calls calls = search(nodes, std::chrono::seconds(8));
            for (const auto &[second, count] : calls.storeBySecond) {
                CPPUNIT_ASSERT(count <= SourceSearch::SmallDomain * 3 / 2);
            }
            CPPUNIT_ASSERT(calls.store <= SourceSearch::SmallDomain * 8);
        }
    }

    /** Guards against a domain in which all wait for each other. */
    void someNodeAsksStoreSoon()
    {
        for (const std::size_t nodes : {3, 20, 22, 73, 197, 400}) {
            const Calls calls = search(nodes, std::chrono::seconds(2));
            CPPUNIT_ASSERT(calls.firstStoreCall.has_value());
            CPPUNIT_ASSERT(*calls.firstStoreCall
                           <= SourceSearch::MinStoreDelay + std::chrono::milliseconds(200));
        }
    }

    /** Guards against a domain that hears late that the store answers again. */
    void deputyAsksStoreAtOnceAndOften()
    {
        SourceSearch::Situation deputy;
        deputy.isDeputy = true;
        const Calls calls = search(1, std::chrono::seconds(3), deputy);
        CPPUNIT_ASSERT(calls.firstStoreCall == Duration::zero());
        CPPUNIT_ASSERT_EQUAL(std::chrono::seconds(3) / SourceSearch::DeputyInterval,
                             static_cast<std::int64_t>(calls.store));
    }

    /** Guards against a node that calls the store each time it finds a source and loses it. */
    void repeatedSearchesAskStoreNoMoreOften()
    {
        SourceSearch search(1);
        SourceSearch::Situation situation;
        situation.domainNodes = 100;
        int storeCalls = 0;
        for (Duration time {}; time < std::chrono::seconds(20); time += Tick) {
            situation.needsSource = time / Tick % 4 != 0;
            storeCalls += search.next(at(time), situation).asksStore ? 1 : 0;
        }
        CPPUNIT_ASSERT(storeCalls <= 5);
    }

    /** Guards against connections to many peers in an outage, when none has news. */
    void asksFewPeersWhileFollowedNodeAnswers()
    {
        SourceSearch::Situation situation;
        const std::size_t alone = search(1, std::chrono::seconds(4), situation).peers;
        situation.doesParentAnswer = true;
        const std::size_t inOutage = search(1, std::chrono::seconds(4), situation).peers;
        CPPUNIT_ASSERT(alone >= 50);
        CPPUNIT_ASSERT(inOutage <= 10);
    }

    void endsWithTheNeed()
    {
        SourceSearch search(1);
        SourceSearch::Situation situation {true, true, false, 10};
        CPPUNIT_ASSERT(search.next(at(Duration(0)), situation).peersToAsk > 0);
        CPPUNIT_ASSERT(search.elapsed(at(Tick)) == Tick);
        situation.needsSource = false;
        const SourceSearch::Step step = search.next(at(Tick), situation);
        CPPUNIT_ASSERT(step.peersToAsk == 0 && !step.asksStore);
        CPPUNIT_ASSERT(!search.elapsed(at(Tick)).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SourceSearchTest);
