#include "dispatch/generationlimits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::dispatch;

class GenerationLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GenerationLimitsTest);
    CPPUNIT_TEST(queueTimeFollowsTheRoutesTarget);
    CPPUNIT_TEST(retryDelayFitsTheCallersTime);
    CPPUNIT_TEST(reservesAtMostTheOutputLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one queue time for routes with different targets.
    void queueTimeFollowsTheRoutesTarget()
    {
        m_route.target = std::chrono::milliseconds(900);
        CPPUNIT_ASSERT(maxQueueTime(request()) == std::chrono::milliseconds(810));
        m_route.target = std::chrono::seconds(5);
        CPPUNIT_ASSERT(maxQueueTime(request()) == std::chrono::milliseconds(4'500));
        OpenRequest resumed = request();
        resumed.isForwarding = true;
        CPPUNIT_ASSERT(maxQueueTime(resumed) == std::chrono::seconds(2));
    }

    // Guards against a retry delay beyond the time that the caller has left.
    void retryDelayFitsTheCallersTime()
    {
        OpenRequest one = request();
        CPPUNIT_ASSERT(retryDelay(one) == std::chrono::milliseconds(3'500));
        for (const auto patience : {std::chrono::seconds(3), std::chrono::seconds(14)}) {
            one.arrival.patience = patience;
            CPPUNIT_ASSERT(retryDelay(one) * 3 <= patience);
        }
    }

    void reservesAtMostTheOutputLimit()
    {
        ArrivedRequest arrival;
        arrival.promptTokens = 1'000;
        arrival.maxOutputTokens = 600;
        arrival.likelyOutputTokens = 500;
        const auto need = memoryNeedOf(arrival);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {500}, need.outputTokens);
        CPPUNIT_ASSERT_EQUAL(need.contextTokens + 600, unscheduledReservation(arrival, need));
        CPPUNIT_ASSERT(initialReservation(need) < need.totalTokens());
        arrival.likelyOutputTokens = 9'000;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {600}, memoryNeedOf(arrival).outputTokens);
    }

private:
    OpenRequest request() const
    {
        OpenRequest one;
        one.route = &m_route;
        return one;
    }

    Route m_route;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationLimitsTest);
