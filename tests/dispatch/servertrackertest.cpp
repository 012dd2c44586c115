#include "dispatch/servertracker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace std::chrono_literals;

namespace {

const ServerName Server("s");
const ServerName Other("o");
constexpr double MeanMilliseconds = 60;

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

ServerLoad loadOf(std::optional<std::uint32_t> workPercent)
{
    return {0, 0, 6, workPercent};
}

/** Records an answer after 60 ms that reports @p load. */
void answer(ServerTracker &tracker, const ServerName &server, const ServerLoad &load, TimePoint now)
{
    tracker.recordLoad(server, load, now);
    tracker.recordAnswer(server, 60ms, true, now);
}

double expected(const ServerTracker &tracker, const ServerName &server, TimePoint now)
{
    return tracker.expectedAnswerMilliseconds(server, MeanMilliseconds, now);
}

} // namespace

class ServerTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerTrackerTest);
    CPPUNIT_TEST(avoidsServersThatBecameSlow);
    CPPUNIT_TEST(oldSpeedsLoseTheirWeight);
    CPPUNIT_TEST(answersOfSlowTimesAreNotCountedTwice);
    CPPUNIT_TEST(threeFiguresChangeNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Two servers answered equally fast; one reports since that work takes longer there. Guards
    // against requests to a server that is known to be slow now.
    void avoidsServersThatBecameSlow()
    {
        ServerTracker tracker;
        answer(tracker, Server, loadOf(100), at(0ms));
        answer(tracker, Other, loadOf(100), at(0ms));
        tracker.recordLoad(Server, loadOf(250), at(10ms));
        tracker.recordLoad(Other, loadOf(100), at(10ms));
        const double slow = expected(tracker, Server, at(10ms));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5 * expected(tracker, Other, at(10ms)), slow, 0.01);
    }

    // The speed changes several times a second. Guards against the use of a figure that no longer
    // says anything, which would keep a server without work after it has become fast again.
    void oldSpeedsLoseTheirWeight()
    {
        ServerTracker tracker;
        answer(tracker, Server, loadOf(100), at(0ms));
        answer(tracker, Other, loadOf(100), at(0ms));
        tracker.recordLoad(Server, loadOf(250), at(0ms));
        double last = 2.5;
        for (const Duration age : {50ms, 150ms, 300ms, 1000ms}) {
            const double ratio =
                expected(tracker, Server, at(age)) / expected(tracker, Other, at(age));
            CPPUNIT_ASSERT(ratio < last);
            CPPUNIT_ASSERT(ratio > 1);
            last = ratio;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, last, 0.05);
    }

    // An answer that took long because the server was slow already raises the average answer time.
    void answersOfSlowTimesAreNotCountedTwice()
    {
        ServerTracker tracker;
        answer(tracker, Server, loadOf(250), at(0ms));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(60, expected(tracker, Server, at(0ms)), 0.01);
        tracker.recordLoad(Server, loadOf(100), at(0ms));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(24, expected(tracker, Server, at(0ms)), 0.01);
    }

    // Guards against a change for servers that do not report their speed.
    void threeFiguresChangeNothing()
    {
        ServerTracker tracker;
        answer(tracker, Server, loadOf(std::nullopt), at(0ms));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(60, expected(tracker, Server, at(0ms)), 0.01);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTrackerTest);
