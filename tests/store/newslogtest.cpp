#include "store/newslog.h"

#include "edge/mirrorcodec.h"
#include "store/copyturns.h"
#include "store/mirror.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

using namespace indigoway;

namespace {

// On a link of 20 Mbit/s, 16 answers take less than half a second.
constexpr std::size_t MostInAnAnswer = 65'536;
constexpr std::size_t MostKept = 1'048'576;

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

NewsBlock block(std::uint64_t after, std::uint64_t upTo, std::size_t bytes = 100)
{
    return {after, upTo, false, std::make_shared<const std::string>(bytes, 'b')};
}

/** A log whose whole copies are counted. */
struct Counted
{
    std::vector<NewsBlock> since(std::uint64_t revision)
    {
        return log.since(revision, [this] {
            ++encoded;
            return NewsBlock {0, log.upTo(), true,
                              std::make_shared<const std::string>(wholeBytes, 'w')};
        });
    }

    NewsLog log;
    int encoded = 0;
    std::size_t wholeBytes = 10'000;
};

std::size_t bytesOf(const std::vector<NewsBlock> &blocks)
{
    return std::accumulate(
        blocks.begin(), blocks.end(), std::size_t {0},
        [](std::size_t sum, const NewsBlock &one) { return sum + one.bytes->size(); });
}

} // namespace

class NewsLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NewsLogTest);
    CPPUNIT_TEST(tellsWhatFollows);
    CPPUNIT_TEST(askersShareOneEncoding);
    CPPUNIT_TEST(anAnswerIsBounded);
    CPPUNIT_TEST(whatIsKeptIsBounded);
    CPPUNIT_TEST(aGapBeginsAnew);
    CPPUNIT_TEST(aWholeIsPassedOnAsItCame);
    CPPUNIT_TEST(manyRegistrationsReachAFollower);
    CPPUNIT_TEST(copiesTakeTurnsOnTheLink);
    CPPUNIT_TEST_SUITE_END();

public:
    void tellsWhatFollows()
    {
        Counted one;
        one.log.startAt(10);
        one.log.add(block(10, 12));
        one.log.add(block(12, 15));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, one.since(10).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, one.since(12).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, one.since(13).size());
        CPPUNIT_ASSERT(one.since(15).empty());
        CPPUNIT_ASSERT_EQUAL(0, one.encoded);
        CPPUNIT_ASSERT(one.since(9).front().isWhole);
    }

    /** Guards against news that are encoded anew, and held in memory, for each node that asks. */
    void askersShareOneEncoding()
    {
        for (const int askers : {100, 200}) {
            Counted one;
            one.log.startAt(10);
            one.log.add(block(10, 12));
            const std::string *shared = nullptr;
            for (int i = 0; i < askers; ++i) {
                const std::string *bytes = one.since(10).front().bytes.get();
                CPPUNIT_ASSERT(!shared || shared == bytes);
                shared = bytes;
                CPPUNIT_ASSERT(one.since(0).front().isWhole);
            }
            CPPUNIT_ASSERT_EQUAL(1, one.encoded);
        }
    }

    /** Guards against askers far behind that are sent all at once what a link takes seconds for. */
    void anAnswerIsBounded()
    {
        Counted one;
        one.log.startAt(10);
        for (std::uint64_t i = 10; i < 110; ++i) {
            one.log.add(block(i, i + 1, 5'000));
        }
        std::uint64_t revision = 10;
        std::size_t answers = 0;
        while (revision < 110) {
            const auto told = one.since(revision);
            CPPUNIT_ASSERT(!told.empty());
            CPPUNIT_ASSERT(bytesOf(told) <= MostInAnAnswer);
            CPPUNIT_ASSERT_EQUAL(revision, told.front().after);
            revision = told.back().upTo;
            ++answers;
        }
        CPPUNIT_ASSERT(answers <= 9);
    }

    void whatIsKeptIsBounded()
    {
        Counted one;
        one.log.startAt(10);
        for (std::uint64_t i = 10; i < 1'010; ++i) {
            one.log.add(block(i, i + 1, 5'000));
        }
        CPPUNIT_ASSERT(one.log.keptBytes() <= MostKept);
        CPPUNIT_ASSERT(one.log.needsWhole(10));
        CPPUNIT_ASSERT(!one.log.needsWhole(1'000));
        CPPUNIT_ASSERT(one.since(10).front().isWhole);
    }

    void aGapBeginsAnew()
    {
        Counted one;
        one.log.startAt(10);
        one.log.add(block(10, 12));
        one.log.add(block(14, 16));
        CPPUNIT_ASSERT(one.log.needsWhole(12));
        CPPUNIT_ASSERT(!one.log.needsWhole(14));
        one.log.add(block(11, 13));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {16}, one.log.upTo());
    }

    /** Guards against each node of a long line encoding its whole copy for the next one. */
    void aWholeIsPassedOnAsItCame()
    {
        Counted one;
        one.log.add({0, 20, true, std::make_shared<const std::string>(1'000, 'w')});
        one.log.add(block(20, 22, 400));
        const auto told = one.since(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, told.size());
        CPPUNIT_ASSERT(told.front().isWhole);
        CPPUNIT_ASSERT_EQUAL(0, one.encoded);
        // What follows has become longer than it saves.
        one.log.add(block(22, 24, 400));
        one.wholeBytes = 1'100;
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, one.since(0).size());
        CPPUNIT_ASSERT_EQUAL(1, one.encoded);
    }

    /**
     * Guards against the start of a fleet: thousands of servers register within seconds, and what
     * a watcher sends to each node must be in proportion to them, whatever the nodes do meanwhile.
     */
    void manyRegistrationsReachAFollower()
    {
        std::vector<std::size_t> sent;
        for (const std::uint64_t servers : {2'000ULL, 4'000ULL}) {
            Mirror watcher({}, [](const std::string &, const StoredItem *, std::uint64_t) {});
            Mirror follower({}, [](const std::string &, const StoredItem *, std::uint64_t) {});
            Counted news;
            watcher.listed({{{"first", "v", 1, 1}}, false, 1});
            news.log.startAt(1);
            follower.told(watcher.whole());
            std::size_t bytes = 0;
            for (std::uint64_t revision = 2; revision <= servers; revision += 50) {
                StoredChanges changes;
                for (std::uint64_t i = revision; i < revision + 50; ++i) {
                    changes.changes.push_back({"s" + std::to_string(i), i, "value", i});
                }
                changes.asOf = revision + 49;
                watcher.watched(at(0), changes);
                news.log.add(encodeNews(*watcher.takeHeard()));
                if ((revision / 50) % 10 == 0) { // The follower is slow.
                    for (const NewsBlock &one : news.since(follower.asOf())) {
                        bytes += one.bytes->size();
                        CPPUNIT_ASSERT(follower.told(*decodeNews(*one.bytes)));
                    }
                }
            }
            for (const NewsBlock &one : news.since(follower.asOf())) {
                bytes += one.bytes->size();
                CPPUNIT_ASSERT(follower.told(*decodeNews(*one.bytes)));
            }
            CPPUNIT_ASSERT_EQUAL(watcher.asOf(), follower.asOf());
            sent.push_back(bytes);
        }
        CPPUNIT_ASSERT(sent.at(1) < sent.at(0) * 5 / 2);
    }

    /** Guards against a small VM that sends its copy to hundreds of nodes at a time, and to none.
     */
    void copiesTakeTurnsOnTheLink()
    {
        constexpr double BytesPerSecond = 2'500'000;
        constexpr std::size_t Copy = 400'000;
        CopyTurns turns(BytesPerSecond);
        int begun = 0;
        for (int i = 0; i < 200; ++i) {
            if (turns.mayBegin(at(0))) {
                turns.begin(at(0), Copy);
                ++begun;
            }
        }
        CPPUNIT_ASSERT(begun >= 3);
        CPPUNIT_ASSERT(begun <= 4);
        CPPUNIT_ASSERT(turns.mayBegin(at(500)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NewsLogTest);
