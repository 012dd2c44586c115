#include "store/updatelog.h"

#include "edge/mirrorcodec.h"
#include "store/mirror.h"
#include "store/snapshotthrottle.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

using namespace indigoway;

namespace {

// Sixteen answers of this size take less than half a second at 20 Mbit/s.
constexpr std::size_t MaxAnswerBytes = 65'536;
constexpr std::size_t MaxLogBytes = 1'048'576;

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

EncodedUpdate block(std::uint64_t after, std::uint64_t upTo, std::size_t bytes = 100)
{
    return {after, upTo, false, std::make_shared<const std::string>(bytes, 'b')};
}

/** A log that counts how often a snapshot is encoded. */
struct CountingLog
{
    std::vector<EncodedUpdate> since(std::uint64_t revision)
    {
        return log.since(revision, [this] {
            ++snapshotCount;
            return EncodedUpdate {0, log.asOf(), true,
                                  std::make_shared<const std::string>(snapshotBytes, 'w')};
        });
    }

    UpdateLog log;
    int snapshotCount = 0;
    std::size_t snapshotBytes = 10'000;
};

std::size_t bytesOf(const std::vector<EncodedUpdate> &blocks)
{
    return std::accumulate(
        blocks.begin(), blocks.end(), std::size_t {0},
        [](std::size_t sum, const EncodedUpdate &one) { return sum + one.bytes->size(); });
}

} // namespace

class UpdateLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpdateLogTest);
    CPPUNIT_TEST(returnsFollowingUpdates);
    CPPUNIT_TEST(followersShareOneEncoding);
    CPPUNIT_TEST(answerSizeIsBounded);
    CPPUNIT_TEST(logSizeIsBounded);
    CPPUNIT_TEST(gapRestartsLog);
    CPPUNIT_TEST(receivedSnapshotIsReused);
    CPPUNIT_TEST(registrationTrafficIsProportional);
    CPPUNIT_TEST(concurrentSnapshotsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void returnsFollowingUpdates()
    {
        CountingLog one;
        one.log.startAt(10);
        one.log.add(block(10, 12));
        one.log.add(block(12, 15));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, one.since(10).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, one.since(12).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, one.since(13).size());
        CPPUNIT_ASSERT(one.since(15).empty());
        CPPUNIT_ASSERT_EQUAL(0, one.snapshotCount);
        CPPUNIT_ASSERT(one.since(9).front().isSnapshot);
    }

    /**
     * Guards against an update that is encoded and held in memory for each node that requests it.
     */
    void followersShareOneEncoding()
    {
        for (const int followers : {100, 200}) {
            CountingLog one;
            one.log.startAt(10);
            one.log.add(block(10, 12));
            const std::string *shared = nullptr;
            for (int i = 0; i < followers; ++i) {
                const std::string *bytes = one.since(10).front().bytes.get();
                CPPUNIT_ASSERT(!shared || shared == bytes);
                shared = bytes;
                CPPUNIT_ASSERT(one.since(0).front().isSnapshot);
            }
            CPPUNIT_ASSERT_EQUAL(1, one.snapshotCount);
        }
    }

    /** Guards against answers to nodes far behind that take seconds to send. */
    void answerSizeIsBounded()
    {
        CountingLog one;
        one.log.startAt(10);
        for (std::uint64_t i = 10; i < 110; ++i) {
            one.log.add(block(i, i + 1, 5'000));
        }
        std::uint64_t revision = 10;
        std::size_t answers = 0;
        while (revision < 110) {
            const auto updates = one.since(revision);
            CPPUNIT_ASSERT(!updates.empty());
            CPPUNIT_ASSERT(bytesOf(updates) <= MaxAnswerBytes);
            CPPUNIT_ASSERT_EQUAL(revision, updates.front().after);
            revision = updates.back().asOf;
            ++answers;
        }
        CPPUNIT_ASSERT(answers <= 9);
    }

    void logSizeIsBounded()
    {
        CountingLog one;
        one.log.startAt(10);
        for (std::uint64_t i = 10; i < 1'010; ++i) {
            one.log.add(block(i, i + 1, 5'000));
        }
        CPPUNIT_ASSERT(one.log.logBytes() <= MaxLogBytes);
        CPPUNIT_ASSERT(one.log.needsSnapshot(10));
        CPPUNIT_ASSERT(!one.log.needsSnapshot(1'000));
        CPPUNIT_ASSERT(one.since(10).front().isSnapshot);
    }

    void gapRestartsLog()
    {
        CountingLog one;
        one.log.startAt(10);
        one.log.add(block(10, 12));
        one.log.add(block(14, 16));
        CPPUNIT_ASSERT(one.log.needsSnapshot(12));
        CPPUNIT_ASSERT(!one.log.needsSnapshot(14));
        one.log.add(block(11, 13));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {16}, one.log.asOf());
    }

    /** Guards against each node of a chain encoding a snapshot for the next one. */
    void receivedSnapshotIsReused()
    {
        CountingLog one;
        one.log.add({0, 20, true, std::make_shared<const std::string>(1'000, 'w')});
        one.log.add(block(20, 22, 400));
        const auto updates = one.since(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, updates.size());
        CPPUNIT_ASSERT(updates.front().isSnapshot);
        CPPUNIT_ASSERT_EQUAL(0, one.snapshotCount);
        // The updates have become too long compared with a new snapshot.
        one.log.add(block(22, 24, 400));
        one.snapshotBytes = 1'100;
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, one.since(0).size());
        CPPUNIT_ASSERT_EQUAL(1, one.snapshotCount);
    }

    /**
     * Guards against traffic that grows faster than the number of servers that register when a
     * fleet starts.
     */
    void registrationTrafficIsProportional()
    {
        std::vector<std::size_t> sent;
        for (const std::uint64_t servers : {2'000ULL, 4'000ULL}) {
            Mirror watcher({}, [](const std::string &, const StoredItem *, std::uint64_t) {});
            Mirror follower({}, [](const std::string &, const StoredItem *, std::uint64_t) {});
            CountingLog updateLog;
            watcher.beginStoreCall();
            watcher.applyPage({{{"first", "v", 1, 1}}, false, 1});
            updateLog.log.startAt(1);
            follower.applyUpdate(watcher.snapshot());
            std::size_t bytes = 0;
            for (std::uint64_t revision = 2; revision <= servers; revision += 50) {
                StoredChanges changes;
                for (std::uint64_t i = revision; i < revision + 50; ++i) {
                    changes.changes.push_back({"s" + std::to_string(i), i, "value", i});
                }
                changes.asOf = revision + 49;
                watcher.applyWatch(at(0), changes);
                updateLog.log.add(encodeUpdate(*watcher.takeStoreUpdate()));
                if ((revision / 50) % 10 == 0) { // The follower is slow.
                    for (const EncodedUpdate &one : updateLog.since(follower.asOf())) {
                        bytes += one.bytes->size();
                        CPPUNIT_ASSERT(follower.applyUpdate(*decodeUpdate(*one.bytes)));
                    }
                }
            }
            for (const EncodedUpdate &one : updateLog.since(follower.asOf())) {
                bytes += one.bytes->size();
                CPPUNIT_ASSERT(follower.applyUpdate(*decodeUpdate(*one.bytes)));
            }
            CPPUNIT_ASSERT_EQUAL(watcher.asOf(), follower.asOf());
            sent.push_back(bytes);
        }
        CPPUNIT_ASSERT(sent.at(1) < sent.at(0) * 5 / 2);
    }

    /** Guards against a small VM that sends so many snapshots at once that none arrives in time. */
    void concurrentSnapshotsAreBounded()
    {
        constexpr double BytesPerSecond = 2'500'000;
        constexpr std::size_t SnapshotBytes = 400'000;
        SnapshotThrottle throttle(BytesPerSecond);
        int started = 0;
        for (int i = 0; i < 200; ++i) {
            if (throttle.mayStart(at(0))) {
                throttle.start(at(0), SnapshotBytes);
                ++started;
            }
        }
        CPPUNIT_ASSERT(started >= 3);
        CPPUNIT_ASSERT(started <= 4);
        CPPUNIT_ASSERT(throttle.mayStart(at(500)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpdateLogTest);
