#include "ratelimits/ratelimiter.h"
#include "ratelimits/ratelimitcodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::ratelimits;
using namespace std::chrono_literals;

namespace {

const ServerName Server("s");

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

NodeLife node(int number)
{
    return {NodeName("n" + std::to_string(number)), Incarnation(1)};
}

} // namespace

class RateLimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimiterTest);
    CPPUNIT_TEST(startsEmpty);
    CPPUNIT_TEST(repeatedQueryGetsTheSameAnswer);
    CPPUNIT_TEST(refusedNodesGetSuccessiveRetryTimes);
    CPPUNIT_TEST(newestAnnouncementDecides);
    CPPUNIT_TEST(reportsTheEndOfALimit);
    CPPUNIT_TEST(serverThatAcceptsNothingIsTriedSometimes);
    CPPUNIT_TEST(forgetsServersWithoutQueries);
    CPPUNIT_TEST(tellsOfEachLimitOnce);
    CPPUNIT_TEST(noticeFitsIntoADatagram);
    CPPUNIT_TEST_SUITE_END();

    PermitAnswer ask(Duration time, int from, double perSecond = 2, Duration announcedAgo = 0s)
    {
        return *m_limiter.handle(
            at(time), node(from),
            PermitQuery {PermitId(++m_lastId), {Server, perSecond, announcedAgo}});
    }

    RateLimiter m_limiter;
    std::uint64_t m_lastId = 0;

public:
    // Guards against a second burst from a rate limiter that has just taken over.
    void startsEmpty()
    {
        CPPUNIT_ASSERT(!ask(0s, 1).isGranted);
        CPPUNIT_ASSERT(ask(1s, 1).isGranted);
    }

    // Guards against counting a request twice if the answer was lost.
    void repeatedQueryGetsTheSameAnswer()
    {
        ask(0s, 1);
        const PermitQuery query {PermitId(100), {Server, 2, 0s}};
        CPPUNIT_ASSERT(m_limiter.handle(at(500ms), node(1), query)->isGranted);
        CPPUNIT_ASSERT(m_limiter.handle(at(540ms), node(1), query)->isGranted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, m_limiter.granted());
    }

    void refusedNodesGetSuccessiveRetryTimes()
    {
        CPPUNIT_ASSERT(ask(0s, 1).retryAfter == Duration(500ms));
        CPPUNIT_ASSERT(ask(0s, 2).retryAfter == Duration(1000ms));
        CPPUNIT_ASSERT(ask(0s, 3).retryAfter == Duration(1500ms));
    }

    void newestAnnouncementDecides()
    {
        ask(0s, 1, 2, 0s);
        ask(100ms, 2, 100, 5s); // An older announcement with a higher rate.
        CPPUNIT_ASSERT(!ask(200ms, 3, 2, 0s).isGranted);
    }

    // Guards against a limit that holds after one node has seen its end.
    void reportsTheEndOfALimit()
    {
        ask(0s, 1);
        m_limiter.handle(at(1s), node(2), LimitEnded {Server});
        const PermitAnswer answer = ask(2s, 1, 2, 1500ms);
        CPPUNIT_ASSERT(answer.isGranted && answer.hasLimitEnded);
        const PermitAnswer announcedAgain = ask(3s, 1, 2, 500ms);
        CPPUNIT_ASSERT(!announcedAgain.hasLimitEnded);
    }

    // Guards against a server that could never tell that its limit of 0 has ended.
    void serverThatAcceptsNothingIsTriedSometimes()
    {
        int granted = 0;
        for (int second = 0; second < 100; ++second) {
            granted += ask(std::chrono::seconds(second), 1, 0).isGranted ? 1 : 0;
        }
        CPPUNIT_ASSERT(granted >= 10 && granted <= 25);
    }

    // Guards against state that grows with each life of each server.
    void forgetsServersWithoutQueries()
    {
        ask(0s, 1);
        m_limiter.handle(at(10min), node(1), LimitEnded {ServerName("other")});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_limiter.servers());
    }

    // Guards against notices to all nodes with each query.
    void tellsOfEachLimitOnce()
    {
        const KnownLimit limit {Server, 2, 100ms};
        m_limiter.handle(at(0s), node(1), LimitStarted {limit});
        m_limiter.handle(at(0s), node(2), LimitStarted {limit});
        ask(1s, 1);
        const auto notice = m_limiter.takeNotice(at(1s));
        CPPUNIT_ASSERT(notice && notice->limits.size() == 1);
        ask(2s, 1);
        CPPUNIT_ASSERT(!m_limiter.hasNotice());
        m_limiter.handle(at(3s), node(1), LimitEnded {Server});
        ask(4s, 1);
        CPPUNIT_ASSERT(m_limiter.hasNotice());
    }

    void noticeFitsIntoADatagram()
    {
        for (int i = 0; i < 40; ++i) {
            const std::string name = "i-0123456789abcdef@1748952000000" + std::to_string(i);
            m_limiter.handle(at(0s), node(1), LimitStarted {{ServerName(name), 123.456789, 0s}});
        }
        int notices = 0;
        while (const auto notice = m_limiter.takeNotice(at(60s))) {
            const auto text = encode(Datagram<FromRateLimiter> {node(1), *notice});
            CPPUNIT_ASSERT(text.size() < 1400);
            ++notices;
        }
        CPPUNIT_ASSERT_EQUAL(4, notices);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimiterTest);
