#include "dispatch/retryallowance.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr std::uint32_t Nodes = 8;
const RetryBounds Bounds {0.2, std::chrono::seconds(10), 56};

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

int takeAll(RetryAllowance &allowance, TimePoint now)
{
    int taken = 0;
    while (allowance.take(now)) {
        ++taken;
    }
    return taken;
}

} // namespace

class RetryAllowanceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryAllowanceTest);
    CPPUNIT_TEST(sharesTheSlackBetweenNodes);
    CPPUNIT_TEST(aRestartedNodeDoesNotUseItsShareTwice);
    CPPUNIT_TEST(deadNodesHaveUsedTheirShare);
    CPPUNIT_TEST(countsOnlyTheWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    void sharesTheSlackBetweenNodes()
    {
        RetryAllowance allowance(Bounds, at(0));
        allowance.setNodes(Nodes, at(0));
        const int taken = takeAll(allowance, at(60'000));
        CPPUNIT_ASSERT(taken > 0);
        CPPUNIT_ASSERT(taken * static_cast<int>(Nodes) <= 56);
    }

    // Guards against restarted nodes that use their share of the slack twice in a window.
    void aRestartedNodeDoesNotUseItsShareTwice()
    {
        RetryAllowance before(Bounds, at(-60'000));
        before.setNodes(Nodes, at(0));
        const int taken = takeAll(before, at(0));
        RetryAllowance after(Bounds, at(1'000));
        after.setNodes(Nodes, at(1'000));
        CPPUNIT_ASSERT_EQUAL(0, takeAll(after, at(3'000)));
        RetryAllowance unaware(Bounds, at(-60'000));
        CPPUNIT_ASSERT_EQUAL(0, takeAll(unaware, at(0)));
        CPPUNIT_ASSERT(taken + takeAll(after, at(9'000)) <= 56 / static_cast<int>(Nodes) + 2);
    }

    // Guards against a larger share while the retries of failed nodes are still in the window.
    void deadNodesHaveUsedTheirShare()
    {
        RetryAllowance allowance(Bounds, at(-60'000));
        allowance.setNodes(Nodes, at(0));
        const int share = takeAll(allowance, at(0));
        allowance.setNodes(2, at(2'000));
        CPPUNIT_ASSERT_EQUAL(0, takeAll(allowance, at(2'000)));
        allowance.setNodes(2, at(12'000));
        CPPUNIT_ASSERT(takeAll(allowance, at(12'000)) > share);
    }

    void countsOnlyTheWindow()
    {
        RetryAllowance allowance(Bounds, at(-60'000));
        allowance.setNodes(Nodes, at(0));
        for (int i = 0; i < 100; ++i) {
            allowance.requestSent(at(i));
        }
        const int first = takeAll(allowance, at(100));
        CPPUNIT_ASSERT(first >= 16);
        CPPUNIT_ASSERT_EQUAL(0, takeAll(allowance, at(5'000)));
        CPPUNIT_ASSERT(takeAll(allowance, at(20'000)) > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAllowanceTest);
