#include "dispatch/crashrecords.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

TimePoint at(int seconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::seconds(seconds);
}

const ContentId Content("c");

} // namespace

class CrashRecordsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashRecordsTest);
    CPPUNIT_TEST(highestCountApplies);
    CPPUNIT_TEST(answerClearsEarlierCrashes);
    CPPUNIT_TEST(recordsApplyInAnyOrder);
    CPPUNIT_TEST(entriesExpire);
    CPPUNIT_TEST(entriesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void highestCountApplies()
    {
        CrashRecords records;
        CPPUNIT_ASSERT_EQUAL(0U, records.crashCount(Content));
        records.recordCrash(Content, 2, 10, at(0));
        records.recordCrash(Content, 1, 11, at(0));
        CPPUNIT_ASSERT_EQUAL(2U, records.crashCount(Content));
        CPPUNIT_ASSERT(!records.refusedUntil(Content));
        records.recordCrash(Content, 7, 12, at(1));
        CPPUNIT_ASSERT_EQUAL(3U, records.crashCount(Content));
        CPPUNIT_ASSERT(*records.refusedUntil(Content) == at(1) + CrashRecords::RetentionTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, records.refusedCount());
    }

    void answerClearsEarlierCrashes()
    {
        CrashRecords records;
        records.recordCrash(Content, 3, 10, at(0));
        records.recordAnswer(Content, 11, at(0));
        CPPUNIT_ASSERT_EQUAL(0U, records.crashCount(Content));
        records.recordCrash(Content, 1, 12, at(0));
        CPPUNIT_ASSERT_EQUAL(1U, records.crashCount(Content));
        records.recordAnswer(Content, CrashRecords::UnconfirmedRevision, at(0));
        CPPUNIT_ASSERT_EQUAL(0U, records.crashCount(Content));
    }

    // A starting node reads the records ordered by key, not by revision.
    void recordsApplyInAnyOrder()
    {
        CrashRecords records;
        records.recordAnswer(Content, 11, at(0));
        records.recordCrash(Content, 1, 12, at(0));
        records.recordCrash(Content, 3, 10, at(0));
        CPPUNIT_ASSERT_EQUAL(1U, records.crashCount(Content));
    }

    void entriesExpire()
    {
        CrashRecords records;
        records.recordCrash(Content, 3, 10, at(0));
        records.removeExpired(at(599));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, records.size());
        records.removeExpired(at(601));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, records.size());
    }

    // Requests of other callers at crashed servers must neither exceed the memory bound nor evict
    // refused contents.
    void entriesAreBounded()
    {
        CrashRecords records;
        records.recordCrash(Content, 3, 1, at(0));
        for (int i = 0; i < 5'000; ++i) {
            records.recordCrash(ContentId("other " + std::to_string(i)), 1, 2, at(i / 100));
        }
        CPPUNIT_ASSERT_EQUAL(CrashRecords::MaxContents, records.size());
        CPPUNIT_ASSERT_EQUAL(3U, records.crashCount(Content));
        CPPUNIT_ASSERT_EQUAL(1U, records.crashCount(ContentId("other 4999")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashRecordsTest);
