#include "ratelimits/serverpermits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::ratelimits;
using namespace std::chrono_literals;

namespace {

const ServerName Server("s");
const RequestNumber Request(1);

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

} // namespace

class ServerPermitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerPermitsTest);
    CPPUNIT_TEST(serverWithoutALimitNeedsNoPermit);
    CPPUNIT_TEST(asksTheRateLimiterAndRepeats);
    CPPUNIT_TEST(refusalBlocksTheServerUntilTheRetryTime);
    CPPUNIT_TEST(abandonedPermitHasNoResult);
    CPPUNIT_TEST(endOfALimitGrantsPendingPermits);
    CPPUNIT_TEST(reportsTheStartAndEndOfALimit);
    CPPUNIT_TEST(localShareBeginsEmpty);
    CPPUNIT_TEST(removesTheLimitsOfServersThatEnded);
    CPPUNIT_TEST_SUITE_END();

    /** Makes the server announce a limit and returns the permits of a node among four. */
    ServerPermits limited(bool hasLimiter = true)
    {
        ServerPermits permits;
        permits.setNodeCount(4);
        if (hasLimiter) {
            permits.setLimiter(NodeName("n0"));
        }
        permits.record(Server, 2.0, at(0s), at(0s), m_messages);
        m_messages.clear();
        return permits;
    }

    PermitId askedId() const { return std::get<PermitQuery>(m_messages.back()).id; }

    ServerPermits::Messages m_messages;

public:
    void serverWithoutALimitNeedsNoPermit()
    {
        ServerPermits permits;
        CPPUNIT_ASSERT(permits.request(at(0s), Request, Server, m_messages)
                       == PermitDecision::Granted);
        CPPUNIT_ASSERT(m_messages.empty());
    }

    void asksTheRateLimiterAndRepeats()
    {
        ServerPermits permits = limited();
        CPPUNIT_ASSERT(permits.request(at(1s), Request, Server, m_messages)
                       == PermitDecision::Pending);
        const PermitQuery query = std::get<PermitQuery>(m_messages.at(0));
        CPPUNIT_ASSERT(query.limit == (KnownLimit {Server, 2, 1s}));
        CPPUNIT_ASSERT(permits.nextTick() == at(1040ms));
        permits.tick(at(1040ms), m_messages);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_messages.size());
        CPPUNIT_ASSERT(askedId() == query.id);
        const auto result = permits.handleAnswer(at(1050ms), {query.id, true, 0s, false});
        CPPUNIT_ASSERT(result && result->isGranted && result->request == Request);
    }

    void refusalBlocksTheServerUntilTheRetryTime()
    {
        ServerPermits permits = limited();
        permits.request(at(1s), Request, Server, m_messages);
        permits.handleAnswer(at(1s), {askedId(), false, 300ms, false});
        CPPUNIT_ASSERT(permits.request(at(1200ms), Request, Server, m_messages)
                       == PermitDecision::Refused);
        CPPUNIT_ASSERT(!permits.blockedUntil(Server, at(1300ms)));
    }

    // Guards against a permit that continues a request whose caller has left.
    void abandonedPermitHasNoResult()
    {
        ServerPermits permits = limited();
        permits.request(at(1s), Request, Server, m_messages);
        permits.abandon(Request);
        CPPUNIT_ASSERT(!permits.handleAnswer(at(1s), {askedId(), true, 0s, false}));
        CPPUNIT_ASSERT(!permits.nextTick());
    }

    // Guards against a repeated query that reports a limit of 0 for a server that has none any
    // more.
    void endOfALimitGrantsPendingPermits()
    {
        ServerPermits permits = limited();
        permits.request(at(1s), Request, Server, m_messages);
        permits.record(Server, std::nullopt, at(1s), at(1010ms), m_messages);
        m_messages.clear();
        const auto results = permits.tick(at(1040ms), m_messages);
        CPPUNIT_ASSERT(m_messages.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, results.size());
        CPPUNIT_ASSERT(results.front().isGranted && results.front().request == Request);
        CPPUNIT_ASSERT(!permits.nextTick());
    }

    void reportsTheStartAndEndOfALimit()
    {
        ServerPermits permits;
        permits.record(Server, 2.0, at(0s), at(1s), m_messages);
        permits.record(Server, 3.0, at(1s), at(2s), m_messages);
        permits.record(Server, std::nullopt, at(2s), at(3s), m_messages);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_messages.size());
        CPPUNIT_ASSERT(std::holds_alternative<LimitStarted>(m_messages.at(0)));
        CPPUNIT_ASSERT(std::holds_alternative<LimitEnded>(m_messages.at(1)));
    }

    // Guards against a burst from each node when it loses the rate limiter.
    void localShareBeginsEmpty()
    {
        ServerPermits permits = limited(false);
        CPPUNIT_ASSERT(permits.request(at(0s), Request, Server, m_messages)
                       == PermitDecision::Refused);
        CPPUNIT_ASSERT(permits.request(at(2s), Request, Server, m_messages)
                       == PermitDecision::Granted);
        CPPUNIT_ASSERT(permits.request(at(2s), Request, Server, m_messages)
                       == PermitDecision::Refused);
    }

    // Guards against state that grows with each life of each server.
    void removesTheLimitsOfServersThatEnded()
    {
        ServerPermits permits = limited();
        const auto isKnown = [](const ServerName &) {
            return false;
        };
        permits.removeGone(at(1min), isKnown);
        CPPUNIT_ASSERT(permits.isLimited(Server));
        permits.removeGone(at(11min), isKnown);
        CPPUNIT_ASSERT(!permits.isLimited(Server));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPermitsTest);
