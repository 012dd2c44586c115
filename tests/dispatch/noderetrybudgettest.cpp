#include "dispatch/noderetrybudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

constexpr std::uint32_t Nodes = 8;
const RetryBudgetSettings Bounds {0.2, std::chrono::seconds(10), 56};

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

int takeAll(NodeRetryBudget &retryBudget, TimePoint now)
{
    int taken = 0;
    while (retryBudget.tryTake(now)) {
        ++taken;
    }
    return taken;
}

} // namespace

class NodeRetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeRetryBudgetTest);
    CPPUNIT_TEST(sharesTheSlackBetweenNodes);
    CPPUNIT_TEST(restartedNodeDoesNotUseItsShareTwice);
    CPPUNIT_TEST(failedNodesHaveUsedTheirShare);
    CPPUNIT_TEST(countsOnlyTheWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    void sharesTheSlackBetweenNodes()
    {
        NodeRetryBudget retryBudget(Bounds, at(0));
        retryBudget.setNodes(Nodes, at(0));
        const int taken = takeAll(retryBudget, at(60'000));
        CPPUNIT_ASSERT(taken > 0);
        CPPUNIT_ASSERT(taken * static_cast<int>(Nodes) <= 56);
    }

    // Guards against restarted nodes that use their share of the slack twice in a window.
    void restartedNodeDoesNotUseItsShareTwice()
    {
        NodeRetryBudget before(Bounds, at(-60'000));
        before.setNodes(Nodes, at(0));
        const int taken = takeAll(before, at(0));
        NodeRetryBudget after(Bounds, at(1'000));
        after.setNodes(Nodes, at(1'000));
        CPPUNIT_ASSERT_EQUAL(0, takeAll(after, at(3'000)));
        NodeRetryBudget unaware(Bounds, at(-60'000));
        CPPUNIT_ASSERT_EQUAL(0, takeAll(unaware, at(0)));
        CPPUNIT_ASSERT(taken + takeAll(after, at(9'000)) <= 56 / static_cast<int>(Nodes) + 2);
    }

    // Guards against a larger share while the retries of failed nodes are still in the window.
    void failedNodesHaveUsedTheirShare()
    {
        NodeRetryBudget retryBudget(Bounds, at(-60'000));
        retryBudget.setNodes(Nodes, at(0));
        const int share = takeAll(retryBudget, at(0));
        retryBudget.setNodes(2, at(2'000));
        CPPUNIT_ASSERT_EQUAL(0, takeAll(retryBudget, at(2'000)));
        retryBudget.setNodes(2, at(12'000));
        CPPUNIT_ASSERT(takeAll(retryBudget, at(12'000)) > share);
    }

    void countsOnlyTheWindow()
    {
        NodeRetryBudget retryBudget(Bounds, at(-60'000));
        retryBudget.setNodes(Nodes, at(0));
        for (int i = 0; i < 100; ++i) {
            retryBudget.recordRequest(at(i));
        }
        const int first = takeAll(retryBudget, at(100));
        CPPUNIT_ASSERT(first >= 16);
        CPPUNIT_ASSERT_EQUAL(0, takeAll(retryBudget, at(5'000)));
        CPPUNIT_ASSERT(takeAll(retryBudget, at(20'000)) > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeRetryBudgetTest);
