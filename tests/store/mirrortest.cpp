#include "store/mirror.h"

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
    return {key, value, revision, 1};
}

/** A mirror that collects its changes. */
struct CollectingMirror
{
    CollectingMirror()
        : mirror("p/", [this](const std::string &key, const StoredItem *item, std::uint64_t) {
            if (item) {
                items[key] = item->value;
            } else {
                items.erase(key);
            }
        })
    { }

    std::map<std::string, std::string> items;
    Mirror mirror;
};

bool isListCall(const MirrorCall &call)
{
    return std::holds_alternative<ListCall>(call);
}

std::uint64_t watchRevision(const MirrorCall &call)
{
    CPPUNIT_ASSERT(std::holds_alternative<WatchCall>(call));
    return std::get<WatchCall>(call).revision;
}

MirrorUpdate snapshotUpdate(std::uint64_t asOf, std::vector<StoredChange> items)
{
    return {0, asOf, true, std::move(items)};
}

/** Passes the changes that @p watcher has got from the store on to @p follower. */
void forwardUpdate(CollectingMirror &watcher, CollectingMirror &follower)
{
    const auto update = watcher.mirror.takeStoreUpdate();
    CPPUNIT_ASSERT(update.has_value());
    CPPUNIT_ASSERT(follower.mirror.applyUpdate(*update));
    CPPUNIT_ASSERT(follower.items == watcher.items);
}

} // namespace

class MirrorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MirrorTest);
    CPPUNIT_TEST(listsAllPagesThenWatches);
    CPPUNIT_TEST(pageAfterASnapshotRemovesNothing);
    CPPUNIT_TEST(watchStartsAtFirstPage);
    CPPUNIT_TEST(listsAgainAfterCompaction);
    CPPUNIT_TEST(neverRevertsToOlderRevision);
    CPPUNIT_TEST(peerReplacesUnreachableStore);
    CPPUNIT_TEST(refreshStartsListingAtOnce);
    CPPUNIT_TEST(backsOffWhileStoreIsUnreachable);
    CPPUNIT_TEST(removalsReachFollowers);
    CPPUNIT_TEST(batchesChangesBetweenWatches);
    CPPUNIT_TEST(allPagesFormOneUpdate);
    CPPUNIT_TEST(itemRemovedDuringListingStaysRemoved);
    CPPUNIT_TEST(rejectsUpdateAfterGap);
    CPPUNIT_TEST(overlappingUpdateIsIdempotent);
    CPPUNIT_TEST(anyOrderEndsAtNewestRevision);
    CPPUNIT_TEST(copiesNoIgnoredItems);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against thousands of short-lived items at each node.
    void copiesNoIgnoredItems()
    {
        std::size_t changes = 0;
        Mirror mirror(
            "p/", [&changes](const std::string &, const StoredItem *, std::uint64_t) { ++changes; },
            "p/ignored/");
        mirror.beginStoreCall();
        mirror.applyPage({{item("p/a", 3), item("p/ignored/b", 4)}, true, 10});
        // The next page begins after the last item, ignored or not.
        CPPUNIT_ASSERT_EQUAL(std::string("p/ignored/b"),
                             std::get<ListCall>(mirror.beginStoreCall()).after);
        mirror.applyPage({{item("p/z", 5)}, false, 10});
        mirror.beginStoreCall();
        mirror.applyWatch(at(0),
                          {{{"p/ignored/c", 11, "v"}, {"p/ignored/b", 12, std::nullopt}}, 12});
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, changes);
        const auto update = mirror.takeStoreUpdate();
        CPPUNIT_ASSERT(update.has_value() && update->changes.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {12}, update->asOf);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, mirror.snapshot().changes.size());
    }

    // Guards against a copy that loses most items for good: a page that answers after a peer's
    // snapshot was taken for a whole listing.
    void pageAfterASnapshotRemovesNothing()
    {
        CollectingMirror one;
        one.mirror.beginStoreCall();
        one.mirror.applyPage({{item("p/a", 3), item("p/b", 4)}, false, 10});
        one.mirror.refresh();
        one.mirror.beginStoreCall();
        CPPUNIT_ASSERT(one.mirror.applyPage({{item("p/a", 3)}, true, 12}));
        one.mirror.beginStoreCall();
        CPPUNIT_ASSERT(one.mirror.applyUpdate(
            snapshotUpdate(14, {{"p/a", 3, "v"}, {"p/b", 4, "v"}, {"p/c", 13, "v"}})));
        CPPUNIT_ASSERT(!one.mirror.applyPage({{item("p/c", 13)}, false, 14}));
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, one.items.size());
        CPPUNIT_ASSERT(!one.mirror.isBusy(at(0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {14}, watchRevision(one.mirror.beginStoreCall()));
    }

    void listsAllPagesThenWatches()
    {
        CollectingMirror one;
        CPPUNIT_ASSERT(isListCall(one.mirror.beginStoreCall()));
        CPPUNIT_ASSERT(one.mirror.isBusy(at(0)));
        one.mirror.applyPage({{item("p/a", 3), item("p/b", 4)}, true, 10});
        const MirrorCall next = one.mirror.beginStoreCall();
        CPPUNIT_ASSERT(isListCall(next));
        CPPUNIT_ASSERT_EQUAL(std::string("p/b"), std::get<ListCall>(next).after);
        one.mirror.applyPage({{item("p/c", 5)}, false, 12});
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, one.items.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {10}, watchRevision(one.mirror.beginStoreCall()));
    }

    // Guards against a missed removal between two pages: the watch must start at the first page's
    // revision.
    void watchStartsAtFirstPage()
    {
        CollectingMirror one;
        one.mirror.beginStoreCall();
        one.mirror.applyPage({{item("p/a", 3)}, true, 10});
        one.mirror.beginStoreCall();
        one.mirror.applyPage({{item("p/b", 12)}, false, 13});
        one.mirror.beginStoreCall();
        one.mirror.applyWatch(at(0), {{{"p/a", 11, std::nullopt}, {"p/b", 12, "v"}}, 13});
        CPPUNIT_ASSERT(!one.items.contains("p/a"));
        CPPUNIT_ASSERT(one.items.contains("p/b"));
    }

    // Guards against a removed item that is kept because the store has compacted the revision of
    // its removal.
    void listsAgainAfterCompaction()
    {
        CollectingMirror one;
        one.mirror.beginStoreCall();
        one.mirror.applyPage({{item("p/a", 3), item("p/b", 4)}, false, 10});
        one.mirror.beginStoreCall();
        one.mirror.callFailed(at(2), StoreError::HistoryGone);
        CPPUNIT_ASSERT(!one.mirror.isBusy(at(2)));
        CPPUNIT_ASSERT(isListCall(one.mirror.beginStoreCall()));
        one.mirror.applyPage({{item("p/b", 4)}, false, 30});
        CPPUNIT_ASSERT(!one.items.contains("p/a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {30}, watchRevision(one.mirror.beginStoreCall()));
    }

    // Guards against older changes from a late watch that overwrite a newer state from a peer.
    void neverRevertsToOlderRevision()
    {
        CollectingMirror one;
        one.mirror.beginStoreCall();
        one.mirror.applyPage({{item("p/a", 3, "old")}, false, 10});
        one.mirror.beginPeerCall();
        one.mirror.applyUpdate(snapshotUpdate(20, {{"p/a", 18, "new"}}));
        one.mirror.applyWatch(at(0), {{{"p/a", 12, "between"}}, 12});
        CPPUNIT_ASSERT_EQUAL(std::string("new"), one.items["p/a"]);
        one.mirror.applyUpdate(snapshotUpdate(15, {{"p/a", 12, "between"}}));
        CPPUNIT_ASSERT_EQUAL(std::string("new"), one.items["p/a"]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {20}, watchRevision(one.mirror.beginStoreCall()));
    }

    // Guards against an empty mirror on a new node while the store refuses its calls.
    void peerReplacesUnreachableStore()
    {
        CollectingMirror one;
        one.mirror.beginStoreCall();
        one.mirror.callFailed(at(1), StoreError::Refused);
        CPPUNIT_ASSERT(!one.mirror.isLoaded());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, one.mirror.beginPeerCall());
        one.mirror.applyUpdate(snapshotUpdate(20, {{"p/a", 18, "v"}}));
        CPPUNIT_ASSERT(one.mirror.isLoaded());
        CPPUNIT_ASSERT(one.items.contains("p/a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {20}, watchRevision(one.mirror.beginStoreCall()));
    }

    // Guards against a removal that followers miss, also if it is detected only by a new listing.
    void removalsReachFollowers()
    {
        CollectingMirror watcher;
        watcher.mirror.beginStoreCall();
        watcher.mirror.applyPage({{item("p/a", 3), item("p/b", 4)}, false, 10});
        CPPUNIT_ASSERT(!watcher.mirror.takeStoreUpdate().has_value());
        CollectingMirror follower;
        follower.mirror.beginPeerCall();
        CPPUNIT_ASSERT(follower.mirror.applyUpdate(watcher.mirror.snapshot()));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, follower.items.size());
        watcher.mirror.applyWatch(at(0), {{{"p/a", 11, std::nullopt}, {"p/c", 12, "v"}}, 12});
        forwardUpdate(watcher, follower);
        watcher.mirror.callFailed(at(1), StoreError::HistoryGone);
        watcher.mirror.beginStoreCall();
        watcher.mirror.applyPage({{item("p/c", 12)}, false, 40});
        forwardUpdate(watcher, follower);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {40}, follower.mirror.asOf());
    }

    /** Guards against followers that get only the last page of a listing. */
    void allPagesFormOneUpdate()
    {
        CollectingMirror watcher;
        watcher.mirror.beginStoreCall();
        watcher.mirror.applyPage({{item("p/a", 3), item("p/b", 4), item("p/c", 5)}, false, 10});
        watcher.mirror.takeStoreUpdate();
        CollectingMirror follower;
        CPPUNIT_ASSERT(follower.mirror.applyUpdate(watcher.mirror.snapshot()));
        watcher.mirror.beginStoreCall();
        watcher.mirror.callFailed(at(1), StoreError::HistoryGone);
        watcher.mirror.beginStoreCall();
        watcher.mirror.applyPage({{item("p/a", 20, "new")}, true, 30});
        CPPUNIT_ASSERT(!watcher.mirror.takeStoreUpdate().has_value());
        watcher.mirror.beginStoreCall();
        watcher.mirror.applyPage({{item("p/c", 21, "new")}, false, 31});
        forwardUpdate(watcher, follower);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), follower.items["p/a"]);
        CPPUNIT_ASSERT(!follower.items.contains("p/b"));
    }

    /** Guards against a removed item that followers get back. */
    void itemRemovedDuringListingStaysRemoved()
    {
        CollectingMirror watcher;
        watcher.mirror.applyUpdate(snapshotUpdate(10, {{"p/a", 9, "v"}}));
        watcher.mirror.refresh();
        watcher.mirror.beginStoreCall();
        watcher.mirror.applyPage({{item("p/b", 12)}, true, 12});
        watcher.mirror.applyUpdate({10, 14, false, {{"p/b", 12, "v"}, {"p/b", 14, std::nullopt}}});
        CollectingMirror follower;
        follower.mirror.applyUpdate(watcher.mirror.snapshot());
        watcher.mirror.beginStoreCall();
        watcher.mirror.applyPage({{item("p/c", 15)}, false, 16});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {14}, watcher.mirror.asOf());
        watcher.mirror.beginStoreCall();
        watcher.mirror.applyWatch(at(0), {{{"p/c", 15, "v"}}, 16});
        forwardUpdate(watcher, follower);
        CPPUNIT_ASSERT(!follower.items.contains("p/b"));
    }

    /** Guards against changes that are lost between two updates. */
    void rejectsUpdateAfterGap()
    {
        CollectingMirror one;
        one.mirror.applyUpdate(snapshotUpdate(10, {{"p/a", 9, "v"}}));
        CPPUNIT_ASSERT(!one.mirror.applyUpdate({12, 14, false, {{"p/a", 13, "new"}}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {10}, one.mirror.asOf());
        CPPUNIT_ASSERT(one.mirror.applyUpdate({8, 14, false, {{"p/a", 13, "new"}}}));
        CPPUNIT_ASSERT_EQUAL(std::string("new"), one.items["p/a"]);
    }

    /** Guards against a removed item that comes back with an overlapping update. */
    void overlappingUpdateIsIdempotent()
    {
        CollectingMirror one;
        one.mirror.applyUpdate(snapshotUpdate(10, {{"p/a", 9, "v"}}));
        const MirrorUpdate first {10, 14, false, {{"p/b", 11, "v"}, {"p/b", 12, std::nullopt}}};
        CPPUNIT_ASSERT(one.mirror.applyUpdate(first));
        CPPUNIT_ASSERT(one.mirror.applyUpdate(
            {10, 15, false, {{"p/b", 11, "v"}, {"p/b", 12, std::nullopt}, {"p/c", 15, "v"}}}));
        CPPUNIT_ASSERT(!one.items.contains("p/b"));
        CPPUNIT_ASSERT(one.items.contains("p/c"));
    }

    void refreshStartsListingAtOnce()
    {
        CollectingMirror one;
        one.mirror.beginStoreCall();
        one.mirror.applyPage({{item("p/a", 3)}, false, 10});
        one.mirror.beginStoreCall();
        const std::uint64_t before = one.mirror.generation();
        one.mirror.refresh();
        CPPUNIT_ASSERT(before != one.mirror.generation());
        CPPUNIT_ASSERT(!one.mirror.isBusy(at(2)));
        CPPUNIT_ASSERT(isListCall(one.mirror.beginStoreCall()));
        one.mirror.applyPage({{}, false, 11});
        CPPUNIT_ASSERT(one.items.empty());
    }

    void backsOffWhileStoreIsUnreachable()
    {
        CollectingMirror one;
        int calls = 0;
        for (int time = 0; time < 10'000; time += 10) {
            if (!one.mirror.isBusy(at(time))) {
                ++calls;
                one.mirror.beginStoreCall();
                one.mirror.callFailed(at(time), StoreError::Unanswered);
            }
        }
        CPPUNIT_ASSERT(calls > 15);
        CPPUNIT_ASSERT(calls < 50);
    }

    // Guards against one billed call for each change when changes are frequent.
    void batchesChangesBetweenWatches()
    {
        CollectingMirror one;
        one.mirror.applyUpdate(snapshotUpdate(10, {{"p/a", 9, "v"}}));
        int calls = 0;
        std::uint64_t revision = 10;
        for (int time = 0; time < 10'000; time += 5) {
            ++revision;
            if (!one.mirror.isBusy(at(time))) {
                ++calls;
                one.mirror.beginStoreCall();
                one.mirror.applyWatch(at(time), {{{"p/a", revision, "v"}}, revision});
            }
        }
        CPPUNIT_ASSERT(calls <= 51);
        // After a watch without changes the next one starts at once, so that a change is not
        // delayed.
        one.mirror.beginStoreCall();
        one.mirror.applyWatch(at(20'000), {{}, revision});
        CPPUNIT_ASSERT(!one.mirror.isBusy(at(20'000)));
    }

    void anyOrderEndsAtNewestRevision()
    {
        const bool isOk = rc::check("mirror follows the newest news", [] {
            const auto revisions = *rc::gen::container<std::vector<std::uint64_t>>(
                rc::gen::inRange<std::uint64_t>(1, 50));
            CollectingMirror one;
            std::uint64_t newest = 0;
            for (const std::uint64_t revision : revisions) {
                newest = std::max(newest, revision);
                one.mirror.applyUpdate(
                    snapshotUpdate(revision, {{"p/a", revision, std::to_string(revision)}}));
                RC_ASSERT(one.mirror.asOf() == newest);
                RC_ASSERT(one.items["p/a"] == std::to_string(newest));
            }
        });
        CPPUNIT_ASSERT(isOk);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MirrorTest);
