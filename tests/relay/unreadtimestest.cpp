#include "relay/unreadtimes.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;

namespace {

BootTime at(int milliseconds)
{
    return BootTime {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

/** Ticks four times a second from @p from to @p to. */
void run(UnreadTimes &times, int from, int to)
{
    for (int time = from; time <= to; time += 250) {
        times.recordTick(at(time));
    }
}

} // namespace

class UnreadTimesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnreadTimesTest);
    CPPUNIT_TEST(answerThatWasReadAllTheTimeIsNotCutOff);
    CPPUNIT_TEST(answerIsInDoubtAfterTheProcessStoodStill);
    CPPUNIT_TEST(answerThatGoesOnForAWhileIsNotCutOff);
    CPPUNIT_TEST(answerThatBeganLaterIsNotCutOff);
    CPPUNIT_TEST(pauseOfOneConnectionCountsToo);
    CPPUNIT_TEST(shortPausesProlongTheDoubtOfALongOne);
    CPPUNIT_TEST(shortPausesProlongTheDoubt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against whole answers without a length that fail on a busy machine.
    void answerThatWasReadAllTheTimeIsNotCutOff()
    {
        UnreadTimes times;
        CPPUNIT_ASSERT(!times.mayHaveCutOff(at(0), at(9'000)));
        run(times, 0, 1'000);
        times.recordTick(at(1'900));
        CPPUNIT_ASSERT(!times.mayHaveCutOff(at(100), at(2'000)));
        CPPUNIT_ASSERT(!times.mayHaveCutOff(at(100), at(2'800)));
    }

    // Guards against a part of an answer without a length that passes for all of it, since its
    // server has closed the connection of a node that did not read. The close may be seen before
    // the first tick or after it.
    void answerIsInDoubtAfterTheProcessStoodStill()
    {
        UnreadTimes times;
        run(times, 0, 1'000);
        CPPUNIT_ASSERT(times.mayHaveCutOff(at(500), at(3'000)));
        times.recordTick(at(3'000));
        CPPUNIT_ASSERT(times.mayHaveCutOff(at(500), at(3'010)));
    }

    void answerThatGoesOnForAWhileIsNotCutOff()
    {
        UnreadTimes times;
        run(times, 0, 1'000);
        run(times, 3'000, 5'000);
        CPPUNIT_ASSERT(times.mayHaveCutOff(at(500), at(3'900)));
        CPPUNIT_ASSERT(!times.mayHaveCutOff(at(500), at(4'000)));
    }

    void answerThatBeganLaterIsNotCutOff()
    {
        UnreadTimes times;
        run(times, 0, 1'000);
        times.recordTick(at(3'000));
        CPPUNIT_ASSERT(!times.mayHaveCutOff(at(3'001), at(3'050)));
    }

    // An answer that waits for room is not read either.
    void pauseOfOneConnectionCountsToo()
    {
        UnreadTimes pauses;
        pauses.recordPause(at(500), at(1'400));
        CPPUNIT_ASSERT(!pauses.mayHaveCutOff(at(0), at(1'410)));
        pauses.recordPause(at(2'000), at(4'000));
        CPPUNIT_ASSERT(pauses.mayHaveCutOff(at(0), at(4'100)));
    }

    // Guards against a close that waits behind the rest of an answer, which is read with shorter
    // pauses: the connection has not been read for a second since the long pause.
    void shortPausesProlongTheDoubtOfALongOne()
    {
        UnreadTimes pauses;
        pauses.recordPause(at(1'000), at(4'000));
        pauses.recordPause(at(4'010), at(4'900));
        pauses.recordPause(at(4'910), at(5'800));
        CPPUNIT_ASSERT(pauses.mayHaveCutOff(at(0), at(5'810)));
    }

    // What was sent before the cut arrives late where there is little room: the close that
    // follows it would pass for the end of the answer. A later answer is not concerned.
    void shortPausesProlongTheDoubt()
    {
        UnreadTimes pauses;
        pauses.recordPause(at(0), at(3'000));
        pauses.recordPause(at(3'100), at(3'900));
        pauses.recordPause(at(4'100), at(4'800));
        CPPUNIT_ASSERT(pauses.mayHaveCutOff(at(-100), at(5'700)));
        CPPUNIT_ASSERT(!pauses.mayHaveCutOff(at(3'050), at(4'850)));
        CPPUNIT_ASSERT(!pauses.mayHaveCutOff(at(-100), at(5'900)));
        pauses.recordPause(at(6'000), at(6'500));
        CPPUNIT_ASSERT(!pauses.mayHaveCutOff(at(-100), at(6'600)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadTimesTest);
