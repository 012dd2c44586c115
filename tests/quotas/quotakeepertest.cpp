#include "quotas/quotaenforcer.h"
#include "quotas/quotafleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::quotas;
using namespace std::chrono_literals;

namespace {

constexpr QuotaBounds Bounds {8s, 0, 0, 8s};
const Quota WindowOf900 {100, 100, QuotaUnit::Tokens, 1};

OrganisationName organisation()
{
    return OrganisationName("o");
}

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

/** A keeper of a fleet of two nodes, "a" and "b". */
class KeeperHarness
{
public:
    KeeperReplies handle(Duration time, const char *node, const ToKeeper &message)
    {
        const NodeLife from {NodeName(node), Incarnation(1)};
        return m_keeper.handle(at(time), {m_routes, 2}, from, message);
    }
    /** Sends the record of a node that has used nothing in the window. */
    void sendRecord(Duration time, const char *node, std::uint64_t epoch, UsageTotal used = {})
    {
        UsageReport report {Incarnation(7), epoch, true, {}, Bounds.window, true, epoch};
        if (!used.organisation.isEmpty()) {
            report.used.push_back(std::move(used));
        }
        handle(time, node, report);
    }
    bool isGranted(Duration time, const char *node, std::uint64_t query, double units)
    {
        const auto replies = handle(
            time, node, QuotaQuery {QuotaQueryId(query), organisation(), units, std::nullopt});
        return std::get<QuotaAnswer>(replies.front().message).isGranted;
    }

private:
    RouteTable m_routes = QuotaFleet::tableOf(WindowOf900);
    QuotaKeeper m_keeper {Incarnation(7), Bounds};
};

} // namespace

class QuotaKeeperTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaKeeperTest);
    CPPUNIT_TEST(missingNodesCountWithTheirShare);
    CPPUNIT_TEST(recordsCountOnce);
    CPPUNIT_TEST(restartedTotalsReturnNoUnits);
    CPPUNIT_TEST(unlistedTotalsReturnNoUnits);
    CPPUNIT_TEST(repeatedQueriesCountOnce);
    CPPUNIT_TEST(oldNodesCountAfterAWindow);
    CPPUNIT_TEST(oldKeepersAreUnderstood);
    CPPUNIT_TEST(retryTimesAreWhenUnitsAreFreed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against units that a node which is not heard may grant as well.
    void missingNodesCountWithTheirShare()
    {
        KeeperHarness keeper;
        CPPUNIT_ASSERT(!keeper.isGranted(0s, "a", 1, 1));
        keeper.sendRecord(10ms, "a", 1);
        CPPUNIT_ASSERT(!keeper.isGranted(20ms, "a", 2, 451));
        CPPUNIT_ASSERT(keeper.isGranted(20ms, "a", 3, 450));
        keeper.sendRecord(30ms, "b", 1);
        CPPUNIT_ASSERT(keeper.isGranted(40ms, "b", 4, 450));
        CPPUNIT_ASSERT(!keeper.isGranted(40ms, "b", 5, 1));
    }

    // Guards against a record that counts again because its datagram is repeated, and against usage
    // that is counted both as a node's own and as that of all nodes.
    void recordsCountOnce()
    {
        KeeperHarness keeper;
        for (int copy = 0; copy < 3; ++copy) {
            keeper.sendRecord(10ms, "a", 1, {organisation(), 0, {}, {200}, {100}, {250}});
        }
        keeper.sendRecord(10ms, "b", 1, {organisation(), 0, {}, {50}, {}, {250}});
        CPPUNIT_ASSERT(!keeper.isGranted(20ms, "a", 1, 551));
        CPPUNIT_ASSERT(keeper.isGranted(20ms, "a", 2, 550));
    }

    // Guards against totals that have started again at a change of the keeper and back, and are
    // taken for returned units.
    void restartedTotalsReturnNoUnits()
    {
        KeeperHarness keeper;
        keeper.sendRecord(10ms, "a", 1);
        keeper.sendRecord(10ms, "b", 1);
        keeper.handle(
            20ms, "a",
            UsageReport {Incarnation(7), 2, false, {{organisation(), 900}}, 8s, false, 1});
        CPPUNIT_ASSERT(!keeper.isGranted(30ms, "a", 1, 1));
        keeper.sendRecord(2s, "a", 5, {organisation(), 0, {}, {900}});
        keeper.handle(2s, "a",
                      UsageReport {Incarnation(7), 3, false, {{organisation(), 0}}, 8s, false, 1});
        CPPUNIT_ASSERT(!keeper.isGranted(2s, "a", 2, 1));
    }

    // Guards against totals of an earlier epoch that the new record does not list, which would be
    // taken for returned units.
    void unlistedTotalsReturnNoUnits()
    {
        KeeperHarness keeper;
        keeper.sendRecord(10ms, "a", 1);
        keeper.sendRecord(10ms, "b", 1);
        keeper.handle(
            20ms, "a",
            UsageReport {Incarnation(7), 2, false, {{organisation(), 800}}, 8s, false, 1});
        keeper.sendRecord(2s, "a", 5);
        keeper.handle(
            2s, "a", UsageReport {Incarnation(7), 6, false, {{organisation(), 100}}, 8s, false, 5});
        CPPUNIT_ASSERT(!keeper.isGranted(2s, "a", 1, 1));
    }

    // Guards against a query that is counted or decided twice because it was repeated.
    void repeatedQueriesCountOnce()
    {
        KeeperHarness keeper;
        keeper.sendRecord(0s, "a", 1);
        keeper.sendRecord(0s, "b", 1);
        for (int copy = 0; copy < 3; ++copy) {
            CPPUNIT_ASSERT(keeper.isGranted(10ms, "a", 1, 600));
        }
        CPPUNIT_ASSERT(keeper.isGranted(20ms, "a", 2, 300));
        CPPUNIT_ASSERT(keeper.isGranted(30ms, "a", 1, 600));
    }

    // Guards against nodes without records that are taken to have used nothing, or whose requests
    // are refused for good.
    void oldNodesCountAfterAWindow()
    {
        KeeperHarness keeper;
        const auto beat = [&](Duration time, std::uint64_t sequence, double units) {
            for (const char *node : {"a", "b"}) {
                keeper.handle(
                    time, node,
                    UsageReport {Incarnation(7), sequence, true, {{organisation(), units}}});
            }
        };
        beat(0s, 1, 0);
        CPPUNIT_ASSERT(!keeper.isGranted(10ms, "a", 1, 1));
        for (std::uint64_t second = 1; second <= 8; ++second) {
            beat(std::chrono::seconds(second), second + 1, second < 8 ? 0 : 100);
        }
        CPPUNIT_ASSERT(!keeper.isGranted(8100ms, "a", 2, 701));
        CPPUNIT_ASSERT(keeper.isGranted(8100ms, "a", 3, 700));
    }

    // Guards against a node that refuses or grants everything because its keeper states no usage.
    void oldKeepersAreUnderstood()
    {
        QuotaEnforcer enforcer(Bounds, at(-20s));
        enforcer.setEnabled(true);
        enforcer.setNodeCount(2, at(0s));
        enforcer.setKeeper(NodeName("k"));
        QuotaEnforcer::Messages messages;
        enforcer.handleMessage(at(0s), ScarcityReport {}, Incarnation(7), messages);
        const auto decide = [&](Duration time, double units) {
            return enforcer
                .decide(at(time), QuotaQueryId(1), organisation(), WindowOf900, units, 1, messages)
                .kind;
        };
        CPPUNIT_ASSERT(decide(10ms, 800) == QuotaDecision::Kind::Passed);
        enforcer.handleMessage(at(20ms), ScarcityReport {{organisation()}}, Incarnation(7),
                               messages);
        CPPUNIT_ASSERT(decide(30ms, 1) == QuotaDecision::Kind::Pending);
        // The keeper states no usage, so that nothing is left for certain until a window has
        // passed.
        enforcer.setKeeper(std::nullopt);
        CPPUNIT_ASSERT(decide(1s, 1) == QuotaDecision::Kind::Refused);
        CPPUNIT_ASSERT(decide(9s, 450) == QuotaDecision::Kind::Passed);
        CPPUNIT_ASSERT(decide(9s, 1) == QuotaDecision::Kind::Refused);
    }

    // Guards against callers that are told to retry before there is room, or all at the same time.
    void retryTimesAreWhenUnitsAreFreed()
    {
        KeeperHarness keeper;
        keeper.sendRecord(0s, "a", 1);
        keeper.sendRecord(0s, "b", 1);
        CPPUNIT_ASSERT(keeper.isGranted(0s, "a", 1, 900));
        Duration last {};
        for (std::uint64_t query = 2; query < 6; ++query) {
            const auto replies = keeper.handle(
                1s, "a", QuotaQuery {QuotaQueryId(query), organisation(), 90, std::nullopt});
            const auto answer = std::get<QuotaAnswer>(replies.front().message);
            CPPUNIT_ASSERT(!answer.isGranted);
            CPPUNIT_ASSERT(answer.state->used == 900 && answer.state->limit == 900);
            CPPUNIT_ASSERT(answer.retryAfter >= 7s && answer.retryAfter <= 11s);
            CPPUNIT_ASSERT(answer.retryAfter >= last + 700ms);
            last = answer.retryAfter;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaKeeperTest);
