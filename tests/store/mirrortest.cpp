#include "store/mirror.h"

#include "edge/mirrorexchange.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

using namespace indigoway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

StoredItem item(const std::string &key, std::uint64_t revision, const std::string &value = "v")
{
    return {key, value, revision};
}

/** A mirror whose changes are collected, as its owner sees them. */
struct Watched
{
    Watched()
        : mirror("p/", [this](const std::string &key, const std::string *value) {
            if (value) {
                seen[key] = *value;
            } else {
                seen.erase(key);
            }
        })
    { }

    std::map<std::string, std::string> seen;
    Mirror mirror;
};

bool isList(const std::optional<MirrorCall> &call)
{
    return call && std::holds_alternative<ListCall>(*call);
}

std::uint64_t watchedFrom(const std::optional<MirrorCall> &call)
{
    CPPUNIT_ASSERT(call.has_value());
    CPPUNIT_ASSERT(std::holds_alternative<WatchCall>(*call));
    return std::get<WatchCall>(*call).revision;
}

} // namespace

class MirrorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MirrorTest);
    CPPUNIT_TEST(listsAllPagesThenWatches);
    CPPUNIT_TEST(changesBetweenPagesAreSeen);
    CPPUNIT_TEST(listsAgainWhenHistoryIsGone);
    CPPUNIT_TEST(neverGoesBack);
    CPPUNIT_TEST(newsOfAPeerBridgeAnOutage);
    CPPUNIT_TEST(asksAtOnceAfterStandingStill);
    CPPUNIT_TEST(pausesWhileTheStoreIsAway);
    CPPUNIT_TEST(snapshotsSurviveTheirEncoding);
    CPPUNIT_TEST(anyOrderOfNewsEndsAtTheNewest);
    CPPUNIT_TEST_SUITE_END();

public:
    void listsAllPagesThenWatches()
    {
        Watched one;
        CPPUNIT_ASSERT(isList(one.mirror.nextCall(at(0))));
        CPPUNIT_ASSERT(!one.mirror.nextCall(at(0)).has_value());
        one.mirror.listed(at(1), {{item("p/a", 3), item("p/b", 4)}, true, 10});
        const auto next = one.mirror.nextCall(at(1));
        CPPUNIT_ASSERT(isList(next));
        CPPUNIT_ASSERT_EQUAL(std::string("p/b"), std::get<ListCall>(*next).after);
        one.mirror.listed(at(2), {{item("p/c", 5)}, false, 12});
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, one.seen.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {10}, watchedFrom(one.mirror.nextCall(at(2))));
    }

    // Pages are no snapshot. An item is removed after the first page and before the second: the
    // watch that follows must begin at the first page's revision, or the removal is never seen
    // and requests go to a server that has left.
    void changesBetweenPagesAreSeen()
    {
        Watched one;
        one.mirror.nextCall(at(0));
        one.mirror.listed(at(1), {{item("p/a", 3)}, true, 10});
        one.mirror.nextCall(at(1));
        one.mirror.listed(at(2), {{item("p/b", 12)}, false, 13});
        one.mirror.nextCall(at(2));
        one.mirror.watched(at(3), {{{"p/a", 11, std::nullopt}, {"p/b", 12, "v"}}, 13});
        CPPUNIT_ASSERT(!one.seen.contains("p/a"));
        CPPUNIT_ASSERT(one.seen.contains("p/b"));
    }

    // The store drops its history while a server leaves. The watch cannot tell of it any more;
    // without a new listing the server would stay in the list for good.
    void listsAgainWhenHistoryIsGone()
    {
        Watched one;
        one.mirror.nextCall(at(0));
        one.mirror.listed(at(1), {{item("p/a", 3), item("p/b", 4)}, false, 10});
        one.mirror.nextCall(at(1));
        one.mirror.failed(at(2), StoreFault::HistoryGone);
        CPPUNIT_ASSERT(isList(one.mirror.nextCall(at(2))));
        one.mirror.listed(at(3), {{item("p/b", 4)}, false, 30});
        CPPUNIT_ASSERT(!one.seen.contains("p/a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {30}, watchedFrom(one.mirror.nextCall(at(3))));
    }

    // A node that was cut off hears a newer state from a peer; then its own watch, asked for
    // before, is answered with older changes. What was in force must not come back.
    void neverGoesBack()
    {
        Watched one;
        one.mirror.nextCall(at(0));
        one.mirror.listed(at(1), {{item("p/a", 3, "old")}, false, 10});
        one.mirror.nextCall(at(1));
        CPPUNIT_ASSERT(one.mirror.takeSnapshot({20, {item("p/a", 18, "new")}}));
        one.mirror.watched(at(2), {{{"p/a", 12, "between"}}, 12});
        CPPUNIT_ASSERT_EQUAL(std::string("new"), one.seen["p/a"]);
        CPPUNIT_ASSERT(!one.mirror.takeSnapshot({15, {item("p/a", 12, "between")}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {20}, watchedFrom(one.mirror.nextCall(at(2))));
    }

    // The store turns this node away from its start and serves the others. Without their copies
    // it would know no route and no server until the store answers.
    void newsOfAPeerBridgeAnOutage()
    {
        Watched one;
        one.mirror.nextCall(at(0));
        one.mirror.failed(at(1), StoreFault::Refused);
        CPPUNIT_ASSERT(!one.mirror.isKnown());
        CPPUNIT_ASSERT(one.mirror.isStale(at(2'000)));
        CPPUNIT_ASSERT(one.mirror.takeSnapshot({20, {item("p/a", 18)}}));
        CPPUNIT_ASSERT(one.mirror.isKnown());
        CPPUNIT_ASSERT(one.seen.contains("p/a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {20}, watchedFrom(one.mirror.nextCall(at(2'000))));
    }

    void asksAtOnceAfterStandingStill()
    {
        Watched one;
        one.mirror.nextCall(at(0));
        one.mirror.listed(at(1), {{item("p/a", 3)}, false, 10});
        one.mirror.nextCall(at(1));
        one.mirror.refresh();
        CPPUNIT_ASSERT(isList(one.mirror.nextCall(at(2))));
        one.mirror.listed(at(3), {{}, false, 11});
        CPPUNIT_ASSERT(one.seen.empty());
    }

    void pausesWhileTheStoreIsAway()
    {
        Watched one;
        int calls = 0;
        for (int time = 0; time < 10'000; time += 10) {
            if (one.mirror.nextCall(at(time))) {
                ++calls;
                one.mirror.failed(at(time), StoreFault::Unanswered);
            }
        }
        CPPUNIT_ASSERT(calls > 15);
        CPPUNIT_ASSERT(calls < 40);
    }

    void snapshotsSurviveTheirEncoding()
    {
        const std::string bytes("\0\xff{\"}", 5);
        const auto decoded = decodeSnapshot(encodeSnapshot({9, {item("k", 4, bytes)}}));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {9}, decoded->asOf);
        CPPUNIT_ASSERT_EQUAL(bytes, decoded->items.at(0).value);
        CPPUNIT_ASSERT(!decodeSnapshot("[]").has_value());
        CPPUNIT_ASSERT(!decodeSnapshot(R"({"as_of":1,"items":[{"key":"a","value":"*"}]})"));
    }

    void anyOrderOfNewsEndsAtTheNewest()
    {
        const bool isOk = rc::check("mirror follows the newest news", [] {
            const auto revisions = *rc::gen::container<std::vector<std::uint64_t>>(
                rc::gen::inRange<std::uint64_t>(1, 50));
            Watched one;
            std::uint64_t newest = 0;
            for (const std::uint64_t revision : revisions) {
                newest = std::max(newest, revision);
                one.mirror.takeSnapshot(
                    {revision, {item("p/a", revision, std::to_string(revision))}});
                RC_ASSERT(one.mirror.asOf() == newest);
                RC_ASSERT(one.seen["p/a"] == std::to_string(newest));
            }
        });
        CPPUNIT_ASSERT(isOk);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MirrorTest);
