#include "relay/answerreading.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;

namespace {

constexpr std::size_t MoreThanTheSmallestWindow = 8192;

BootTime at(int milliseconds)
{
    return BootTime {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

/** The times of a process that stood still from 1,000 to 4,000 ms. */
UnreadTimes stoodStill()
{
    UnreadTimes times;
    times.recordTick(at(1'000));
    times.recordTick(at(4'000));
    return times;
}

} // namespace

class AnswerReadingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerReadingTest);
    CPPUNIT_TEST(answerThatFilledTheWindowMayBeCutOff);
    CPPUNIT_TEST(answerThatFitsIntoTheWindowIsNotCutOff);
    CPPUNIT_TEST(bytesCountFromTheBeginOfTheTimeWithoutReading);
    CPPUNIT_TEST(pausedConnectionMayBeCutOffWhateverItHolds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a part of an answer that passes for all of it, since its server was kept from
    // writing and has closed the connection.
    void answerThatFilledTheWindowMayBeCutOff()
    {
        AnswerReading reading;
        reading.begin(at(500));
        const UnreadTimes process = stoodStill();
        reading.received(process, MoreThanTheSmallestWindow, at(4'001));
        CPPUNIT_ASSERT(reading.mayBeCutOff(process, at(4'002)));
        CPPUNIT_ASSERT(!reading.mayBeCutOff(process, at(5'002)));
    }

    // Guards against whole streams that are cut, since they have ended while the node stood still.
    void answerThatFitsIntoTheWindowIsNotCutOff()
    {
        AnswerReading reading;
        reading.begin(at(500));
        UnreadTimes process;
        process.recordTick(at(1'000));
        reading.received(process, MoreThanTheSmallestWindow, at(1'001));
        process.recordTick(at(4'000));
        reading.received(process, 500, at(4'001));
        CPPUNIT_ASSERT(!reading.mayBeCutOff(process, at(4'002)));
    }

    // The bytes may be read before the first tick after that time, or partly after it.
    void bytesCountFromTheBeginOfTheTimeWithoutReading()
    {
        AnswerReading reading;
        reading.begin(at(500));
        UnreadTimes process;
        process.recordTick(at(1'000));
        reading.received(process, MoreThanTheSmallestWindow / 2, at(3'999));
        process.recordTick(at(4'000));
        reading.received(process, MoreThanTheSmallestWindow / 2, at(4'001));
        CPPUNIT_ASSERT(reading.mayBeCutOff(process, at(4'002)));
    }

    // A connection is paused for want of room, with bytes that wait.
    void pausedConnectionMayBeCutOffWhateverItHolds()
    {
        AnswerReading reading;
        const UnreadTimes process;
        reading.begin(at(500));
        reading.pause(at(1'000));
        reading.pause(at(2'000));
        reading.resume(at(2'500));
        CPPUNIT_ASSERT(reading.mayBeCutOff(process, at(2'600)));
        reading.begin(at(2'700));
        CPPUNIT_ASSERT(!reading.mayBeCutOff(process, at(2'800)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerReadingTest);
