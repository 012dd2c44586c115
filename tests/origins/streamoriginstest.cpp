#include "origins/originfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>

using namespace indigoway;
using namespace indigoway::origins;
using namespace std::chrono_literals;

namespace {

constexpr Duration LookupLimit = 300ms;

std::string stream(int number)
{
    return "stream-" + std::to_string(number);
}

/** Returns the version that was found, or why there is none. */
std::string textOf(const std::optional<OriginResult> &result)
{
    if (!result) {
        return "open";
    }
    return result->record ? result->record->origin.version : nameOf(result->fault);
}

std::string lookUp(OriginFleet &fleet, int node, const std::string &id,
                   Duration limit = LookupLimit)
{
    const RequestNumber request = fleet.lookUp(node, id);
    fleet.advance(limit);
    return textOf(fleet.result(request));
}

std::string text(const char *words)
{
    return words;
}

} // namespace

class StreamOriginsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamOriginsTest);
    CPPUNIT_TEST(otherNodesKnowAStreamWhoseNodeHasDied);
    CPPUNIT_TEST(ownStreamsNeedNoMessage);
    CPPUNIT_TEST(unknownStreamIsDecidedAtOnce);
    CPPUNIT_TEST(idsThatBeganTwiceAreAmbiguous);
    CPPUNIT_TEST(findsStreamsByTheirContent);
    CPPUNIT_TEST(repeatsLostMessages);
    CPPUNIT_TEST(cutOffNodeTellsOthersAfterTheCut);
    CPPUNIT_TEST(cutOffNodeDecidesInTime);
    CPPUNIT_TEST(restartedHoldersAreToldAgain);
    CPPUNIT_TEST(nodeThatKnowsNoMembersDecidesNothing);
    CPPUNIT_TEST(forgetsStreamsThatCannotBeResumed);
    CPPUNIT_TEST(completeStreamsAreNotToldAgain);
    CPPUNIT_TEST(resumedStreamIsKeptForLonger);
    CPPUNIT_TEST(keepsABoundedNumberOfRecords);
    CPPUNIT_TEST(copiesAreBoundedUnderLoad);
    CPPUNIT_TEST(fewNodesRecordTheStreamsOfAll);
    CPPUNIT_TEST(openStreamsAreRecordedByTheNextNode);
    CPPUNIT_TEST(nothingIsRecordedWhileOneVersionServes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against streams that cannot go on just when the node that began them has died.
    void otherNodesKnowAStreamWhoseNodeHasDied()
    {
        OriginFleet fleet(7, 3);
        fleet.begin(0, "a", "v1");
        fleet.kill(0);
        fleet.advance(2ms);
        for (int node = 1; node < 7; ++node) {
            CPPUNIT_ASSERT_EQUAL(text("v1"), lookUp(fleet, node, "a"));
        }
    }

    void ownStreamsNeedNoMessage()
    {
        OriginFleet fleet(7, 3);
        fleet.begin(0, "a", "v1");
        const std::uint64_t sent = fleet.messages();
        CPPUNIT_ASSERT_EQUAL(text("v1"), lookUp(fleet, 0, "a", 0ms));
        CPPUNIT_ASSERT_EQUAL(sent, fleet.messages());
    }

    // Guards against callers with a false id who hold requests open.
    void unknownStreamIsDecidedAtOnce()
    {
        OriginFleet fleet(74, 4);
        CPPUNIT_ASSERT_EQUAL(text("unknown"), lookUp(fleet, 3, "nobody", 10ms));
    }

    // Guards against a stream that goes on at the version of another one with the same id.
    void idsThatBeganTwiceAreAmbiguous()
    {
        OriginFleet fleet(7, 3);
        fleet.begin(0, "a", "v1");
        fleet.begin(1, "a", "v2");
        fleet.advance(10ms);
        CPPUNIT_ASSERT_EQUAL(text("ambiguous"), lookUp(fleet, 2, "a"));
        fleet.begin(0, "b", "v1");
        fleet.begin(1, "b", "v1");
        fleet.advance(10ms);
        CPPUNIT_ASSERT_EQUAL(text("v1"), lookUp(fleet, 2, "b"));
    }

    // Guards against callers of an earlier contract, who do not name what they resume, being
    // refused, or being served at the version of another caller's stream with the same content.
    void findsStreamsByTheirContent()
    {
        OriginFleet fleet(74, 4);
        fleet.begin(0, "a", "v1");
        fleet.kill(0);
        fleet.advance(2ms);
        const RequestNumber one = fleet.lookUpContent(5, "content-of-a");
        const RequestNumber none = fleet.lookUpContent(5, "content-of-b");
        fleet.advance(LookupLimit);
        CPPUNIT_ASSERT_EQUAL(text("v1"), textOf(fleet.result(one)));
        CPPUNIT_ASSERT(!fleet.result(none)->record);
        for (const int node : {1, 5}) {
            StreamOrigins::Messages messages;
            const OriginNotice other {StreamId("other"),
                                      {ServiceName("llm"), "v2"},
                                      std::chrono::seconds(14),
                                      ContentId("content-of-a")};
            fleet.node(node).begin(fleet.now(), other, messages);
            const RequestNumber both = fleet.lookUpContent(5, "content-of-a");
            fleet.advance(LookupLimit);
            CPPUNIT_ASSERT_EQUAL(text("ambiguous"), textOf(fleet.result(both)));
        }
    }

    void repeatsLostMessages()
    {
        OriginFleet fleet(7, 3);
        fleet.setLoss(1);
        fleet.begin(0, "a", "v1");
        fleet.advance(50ms);
        fleet.setLoss(0);
        fleet.advance(100ms);
        fleet.kill(0);
        CPPUNIT_ASSERT_EQUAL(text("v1"), lookUp(fleet, 5, "a"));
        fleet.setLoss(1);
        const RequestNumber request = fleet.lookUp(4, "a");
        fleet.advance(20ms);
        fleet.setLoss(0);
        fleet.advance(60ms);
        CPPUNIT_ASSERT_EQUAL(text("v1"), textOf(fleet.result(request)));
    }

    void cutOffNodeTellsOthersAfterTheCut()
    {
        OriginFleet fleet(7, 3);
        fleet.cut(0, true);
        fleet.begin(0, "a", "v1");
        fleet.advance(3s);
        CPPUNIT_ASSERT_EQUAL(text("unreachable"), lookUp(fleet, 1, "a"));
        fleet.cut(0, false);
        fleet.advance(1s + 50ms);
        fleet.kill(0);
        CPPUNIT_ASSERT_EQUAL(text("v1"), lookUp(fleet, 1, "a"));
    }

    // Guards against callers who wait at a node that reaches no other one.
    void cutOffNodeDecidesInTime()
    {
        OriginFleet fleet(7, 3);
        fleet.begin(0, "a", "v1");
        fleet.cut(1, true);
        CPPUNIT_ASSERT_EQUAL(text("unreachable"), lookUp(fleet, 1, "a"));
    }

    // Guards against origins that are lost since their holders restarted one after the other.
    void restartedHoldersAreToldAgain()
    {
        OriginFleet fleet(7, 3);
        fleet.begin(0, "a", "v1");
        fleet.advance(20ms);
        for (int node = 1; node < 7; ++node) {
            fleet.kill(node);
            fleet.advance(100ms);
            fleet.restart(node);
            fleet.advance(200ms);
        }
        fleet.kill(0);
        for (int node = 1; node < 7; ++node) {
            CPPUNIT_ASSERT_EQUAL(text("v1"), lookUp(fleet, node, "a"));
        }
    }

    // Guards against a node that has just started and takes a stream for unknown.
    void nodeThatKnowsNoMembersDecidesNothing()
    {
        StreamOrigins origins;
        StreamOrigins::Messages messages;
        const TimePoint now = TimePoint {} + 1h;
        const auto early = origins.lookUp(now, RequestNumber(1), {StreamId("a")}, messages);
        CPPUNIT_ASSERT_EQUAL(text("unreachable"), textOf(early));
        origins.setNodes(now, {});
        const auto alone = origins.lookUp(now, RequestNumber(2), {StreamId("a")}, messages);
        CPPUNIT_ASSERT_EQUAL(text("unknown"), textOf(alone));
    }

    void forgetsStreamsThatCannotBeResumed()
    {
        OriginFleet fleet(7, 3);
        fleet.begin(0, "a", "v1");
        fleet.advance(15s);
        CPPUNIT_ASSERT_EQUAL(text("unknown"), lookUp(fleet, 1, "a"));
        for (int node = 0; node < 7; ++node) {
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.node(node).unconfirmed());
        }
    }

    void completeStreamsAreNotToldAgain()
    {
        OriginFleet fleet(7, 3);
        fleet.begin(0, "a", "v1");
        fleet.advance(20ms);
        fleet.node(0).complete(StreamId("a"));
        const std::uint64_t sent = fleet.messages();
        fleet.kill(1);
        fleet.restart(1);
        fleet.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(sent, fleet.messages());
    }

    // Guards against a stream that can be resumed once only.
    void resumedStreamIsKeptForLonger()
    {
        OriginFleet fleet(7, 3);
        fleet.begin(0, "a", "v1");
        fleet.advance(10s);
        fleet.begin(1, "a", "v1");
        fleet.advance(10s);
        CPPUNIT_ASSERT_EQUAL(text("v1"), lookUp(fleet, 2, "a"));
    }

    // Guards against memory that callers with many ids use up.
    void keepsABoundedNumberOfRecords()
    {
        OriginRecords records;
        const TimePoint now = TimePoint {} + 1h;
        for (std::size_t i = 0; i < OriginRecords::MaxRecords + 100; ++i) {
            records.add(StreamId(std::to_string(i)), {ServiceName("llm"), "v1"},
                        std::chrono::milliseconds(1'000 + i), now);
        }
        CPPUNIT_ASSERT_EQUAL(OriginRecords::MaxRecords, records.size());
        CPPUNIT_ASSERT(!records.find(StreamId("0"), now));
        CPPUNIT_ASSERT(records.find(StreamId("100"), now));
        records.removeExpired(now + 1h);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, records.size());
    }

    // Guards against a message rate that grows with more than the streams of the node.
    void copiesAreBoundedUnderLoad()
    {
        OriginFleet fleet(74, 4);
        constexpr int Streams = 400;
        for (int i = 0; i < Streams; ++i) {
            fleet.begin(0, stream(i), "v1");
            fleet.advance(5ms);
        }
        // Three copies of each, beyond those that may be sent at once at the start.
        CPPUNIT_ASSERT(fleet.node(0).noticesSent() <= Streams * 3 + 18);
    }

    // Guards against a write to the store by each of hundreds of nodes.
    void fewNodesRecordTheStreamsOfAll()
    {
        constexpr int Nodes = 985;
        constexpr int Streams = 300;
        OriginFleet fleet(Nodes, 5);
        fleet.begin(0, "warm-up", "v1");
        fleet.advance(10ms);
        const auto bytesOf = [&fleet](const std::string &prefix) {
            const std::uint64_t bytes = fleet.bytes();
            for (int i = 0; i < Streams; ++i) {
                fleet.begin((i * 7) % Nodes, prefix + std::to_string(i), "v1");
            }
            fleet.advance(20ms);
            return (fleet.bytes() - bytes) / Streams;
        };
        const std::uint64_t before = bytesOf("one-");
        fleet.storeStreams(true);
        fleet.advance(20ms);
        fleet.takeStoreRecords();
        const std::uint64_t after = bytesOf("several-");
        std::printf("bytes a stream: %llu, with a record in the store %llu\n",
                    static_cast<unsigned long long>(before),
                    static_cast<unsigned long long>(after));
        const auto makers = fleet.takeStoreRecords();
        CPPUNIT_ASSERT_EQUAL(std::size_t {Streams}, makers.size());
        std::set<NodeName> recorders;
        for (const auto &[stream, maker] : makers) {
            recorders.insert(maker);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {8}, recorders.size());
    }

    // Guards against streams whose record dies with the node that was about to write it.
    void openStreamsAreRecordedByTheNextNode()
    {
        OriginFleet fleet(7, 3);
        fleet.storeStreams(true);
        fleet.begin(0, "a", "v1");
        fleet.begin(1, "b", "v1");
        fleet.advance(20ms);
        const auto first = fleet.takeStoreRecords();
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, first.size());
        for (int node = 2; node < 7; ++node) {
            if (OriginFleet::nameOf(node) == first.begin()->second) {
                fleet.kill(node);
                fleet.forget(node);
                fleet.advance(100ms);
                CPPUNIT_ASSERT_EQUAL(std::size_t {2}, fleet.takeStoreRecords().size());
            }
        }
    }

    void nothingIsRecordedWhileOneVersionServes()
    {
        OriginFleet fleet(7, 3);
        fleet.begin(0, "a", "v1");
        fleet.advance(100ms);
        CPPUNIT_ASSERT(fleet.takeStoreRecords().empty());
        // When a second version is noted, the streams that are open are recorded.
        fleet.storeStreams(true);
        fleet.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, fleet.takeStoreRecords().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginsTest);
