#include "dispatch/generationlimits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::dispatch;

class GenerationLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GenerationLimitsTest);
    CPPUNIT_TEST(waitsBelongToTheRoutesTarget);
    CPPUNIT_TEST(callersComeBackWithinTheirPatience);
    CPPUNIT_TEST(asksForNoMoreThanTheMost);
    CPPUNIT_TEST_SUITE_END();

public:
    // Two customers' routes aim at 0.9 s and at 5 s. With one wait for both, the second one's
    // callers would be turned away with most of their time left.
    void waitsBelongToTheRoutesTarget()
    {
        m_route.target = std::chrono::milliseconds(900);
        CPPUNIT_ASSERT(longestWait(request()) == std::chrono::milliseconds(810));
        m_route.target = std::chrono::seconds(5);
        CPPUNIT_ASSERT(longestWait(request()) == std::chrono::milliseconds(4'500));
        OpenRequest goesOn = request();
        goesOn.isForwarding = true;
        CPPUNIT_ASSERT(longestWait(goesOn) == std::chrono::seconds(2));
    }

    // A caller with three seconds of patience is told to come back after three and a half, and
    // does not.
    void callersComeBackWithinTheirPatience()
    {
        OpenRequest one = request();
        CPPUNIT_ASSERT(comeBackAfter(one) == std::chrono::milliseconds(3'500));
        for (const auto patience : {std::chrono::seconds(3), std::chrono::seconds(14)}) {
            one.facts.patience = patience;
            CPPUNIT_ASSERT(comeBackAfter(one) * 3 <= patience);
        }
    }

    void asksForNoMoreThanTheMost()
    {
        ArrivedRequest facts;
        facts.promptTokens = 1'000;
        facts.maxOutputTokens = 600;
        facts.likelyOutputTokens = 500;
        const auto need = memoryNeedOf(facts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {500}, need.outputTokens);
        CPPUNIT_ASSERT_EQUAL(need.contextTokens + 600, tokensUnplanned(facts, need));
        CPPUNIT_ASSERT(tokensToBegin(need) < need.totalTokens());
        facts.likelyOutputTokens = 9'000;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {600}, memoryNeedOf(facts).outputTokens);
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
