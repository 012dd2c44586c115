#include "scheduling/schedulerharness.h"

#include <rapidcheck.h>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

const NodeLife NodeA = SchedulerHarness::node("a");
const NodeLife NodeB = SchedulerHarness::node("b");

Claim claimWithBackup(std::uint64_t number, std::uint64_t tokens = 5'000)
{
    Claim claim = SchedulerHarness::withLongWait(SchedulerHarness::claimOf(number, tokens));
    claim.wantsBackup = true;
    return claim;
}

ReservationReport reportOf(std::uint64_t number, std::uint64_t tokens, const char *decode,
                           const char *backup)
{
    return {ClaimId(number),    ServiceName("llm"),       {tokens, 0, 0},
            ServerName(decode), std::chrono::seconds(10), std::chrono::milliseconds(100),
            ServerName(backup)};
}

/** A scheduler with two decode engines whose store can't be reached. */
class BackupHarness : public SchedulerHarness
{
public:
    BackupHarness()
    {
        addEngine("d1", EnginePhase::Decode);
        addEngine("d2", EnginePhase::Decode);
        setStoreStale(true);
    }

    std::size_t copies() { return scheduler().copies(); }
    /** Returns whether a claim of @p tokens is granted at once. */
    bool hasRoomFor(int milliseconds, std::uint64_t tokens)
    {
        const std::uint64_t number = ++m_lastProbe;
        send(milliseconds, NodeB, withLongWait(claimOf(number, tokens)));
        const bool isGranted = answer(NodeB, number).starts_with("d");
        send(milliseconds, NodeB, ClaimEnded {ClaimId(number), ClaimOutcome::Cancelled});
        return isGranted;
    }

private:
    std::uint64_t m_lastProbe = 1'000'000;
};

} // namespace

/** Tests that grants name backups and that copies are counted until they end. */
class SchedulerBackupTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerBackupTest);
    CPPUNIT_TEST(namesBackupOnlyWhereWantedAndWorthwhile);
    CPPUNIT_TEST(movedRunsKeepBackupsWorthwhile);
    CPPUNIT_TEST(namesNoBackupWhileClaimsWait);
    CPPUNIT_TEST(namesNoBackupWhereMemoryIsUsed);
    CPPUNIT_TEST(copyCountsInMemory);
    CPPUNIT_TEST(repeatsBackupForResentClaim);
    CPPUNIT_TEST(endOfClaimReleasesBoth);
    CPPUNIT_TEST(movedRunCountsAtBackup);
    CPPUNIT_TEST(repeatedMoveHasNoEffect);
    CPPUNIT_TEST(ignoresMoveOfUnknownClaim);
    CPPUNIT_TEST(countsReportedCopiesAfterTakeover);
    CPPUNIT_TEST(movesReportedRunAfterTakeover);
    CPPUNIT_TEST(releasesCopiesOfRestartedNode);
    CPPUNIT_TEST(releasesCopiesOfDeadNode);
    CPPUNIT_TEST(releasesCopiesOnBackupThatLeft);
    CPPUNIT_TEST(releasesCopiesOnBackupThatCrashed);
    CPPUNIT_TEST(releasesCopiesOnBackupThatChangedPhase);
    CPPUNIT_TEST(countsRunThatMovedToForgottenCopy);
    CPPUNIT_TEST(anyMessagesLeaveNoAccounts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against copies for services and nodes without them, and while no engine fails.
    void namesBackupOnlyWhereWantedAndWorthwhile()
    {
        BackupHarness harness;
        harness.send(0, NodeA, claimWithBackup(1));
        CPPUNIT_ASSERT_EQUAL(std::string("d1/"), harness.answer(NodeA, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("d2"), harness.backup(NodeA, 1));
        harness.send(1, NodeA, SchedulerHarness::claimOf(2));
        CPPUNIT_ASSERT_EQUAL(std::string(), harness.backup(NodeA, 2));
        harness.setStoreStale(false);
        harness.send(2, NodeA, claimWithBackup(3));
        CPPUNIT_ASSERT_EQUAL(std::string(), harness.backup(NodeA, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.copies());
    }

    // Guards against backups that end because they work: a run that was continued has completed,
    // but would have been lost without its backup.
    void movedRunsKeepBackupsWorthwhile()
    {
        BackupHarness harness;
        harness.setStoreStale(false);
        for (std::uint64_t i = 1; i <= 3; ++i) {
            harness.send(0, NodeA, claimWithBackup(i));
            CPPUNIT_ASSERT_EQUAL(std::string(), harness.backup(NodeA, i));
            harness.send(0, NodeA, ClaimEnded {ClaimId(i), ClaimOutcome::EngineFailed});
        }
        harness.addEngine("d3", EnginePhase::Decode);
        harness.addEngine("d4", EnginePhase::Decode);
        // The losses above have left the window at the end.
        for (int second = 5; second <= 30; second += 5) {
            const auto number = static_cast<std::uint64_t>(second);
            for (const std::uint64_t i : {0, 1, 2}) {
                harness.send(second * 1'000, NodeA, claimWithBackup(number * 10 + i));
                CPPUNIT_ASSERT(!harness.backup(NodeA, number * 10 + i).empty());
            }
            for (const std::uint64_t i : {0, 1, 2}) {
                const ClaimId claim(number * 10 + i);
                harness.send(second * 1'000 + 1, NodeA, RunMoved {claim});
                harness.send(second * 1'000 + 2, NodeA, ClaimEnded {claim, ClaimOutcome::Served});
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {18}, harness.scheduler().runsMoved());
    }

    // Guards against copies that displace runs while memory is short in one piece, although its sum
    // would suffice.
    void namesNoBackupWhileClaimsWait()
    {
        BackupHarness harness;
        harness.addEngine("d3", EnginePhase::Decode);
        harness.addEngine("d4", EnginePhase::Decode);
        for (std::uint64_t i = 1; i <= 4; ++i) {
            harness.send(0, NodeA, SchedulerHarness::claimOf(i, 21'000));
            CPPUNIT_ASSERT(harness.answer(NodeA, i).starts_with("d"));
        }
        harness.send(1, NodeB,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(1, 30'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("queued"), harness.answer(NodeB, 1));
        harness.send(2, NodeA, claimWithBackup(5, 1'000));
        CPPUNIT_ASSERT(harness.answer(NodeA, 5).starts_with("d"));
        CPPUNIT_ASSERT_EQUAL(std::string(), harness.backup(NodeA, 5));
        harness.send(3, NodeB, ClaimEnded {ClaimId(1), ClaimOutcome::Cancelled});
        harness.send(4, NodeA, claimWithBackup(6, 1'000));
        CPPUNIT_ASSERT(!harness.backup(NodeA, 6).empty());
    }

    // Guards against copies that leave no memory for the claims of the next seconds.
    void namesNoBackupWhereMemoryIsUsed()
    {
        BackupHarness harness;
        harness.send(0, NodeA, SchedulerHarness::claimOf(1, 35'000));
        harness.send(1, NodeA, SchedulerHarness::claimOf(2, 30'000));
        harness.send(2, NodeA, claimWithBackup(3, 1'000));
        CPPUNIT_ASSERT_EQUAL(std::string("d2/"), harness.answer(NodeA, 3));
        CPPUNIT_ASSERT_EQUAL(std::string(), harness.backup(NodeA, 3));
    }

    // Guards against granting the memory of a copy to a run, which the engine would refuse.
    void copyCountsInMemory()
    {
        BackupHarness harness;
        CPPUNIT_ASSERT(harness.hasRoomFor(0, 40'000));
        harness.send(1, NodeA, claimWithBackup(1, 20'000));
        CPPUNIT_ASSERT_EQUAL(std::string("d2"), harness.backup(NodeA, 1));
        CPPUNIT_ASSERT(!harness.hasRoomFor(2, 40'000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {20'000}, harness.scheduler().copyTokens());
    }

    // Guards against a lost grant after which the node and the scheduler disagree on the backup.
    void repeatsBackupForResentClaim()
    {
        BackupHarness harness;
        harness.send(0, NodeA, claimWithBackup(1));
        harness.clearAnswers();
        harness.send(90, NodeA, claimWithBackup(1));
        CPPUNIT_ASSERT_EQUAL(std::string("d2"), harness.backup(NodeA, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.copies());
    }

    // Guards against the memory of a copy that stays reserved after the run has ended.
    void endOfClaimReleasesBoth()
    {
        for (const ClaimOutcome outcome :
             {ClaimOutcome::Served, ClaimOutcome::Cancelled, ClaimOutcome::OutOfMemory,
              ClaimOutcome::EngineFailed, ClaimOutcome::KvCacheLost}) {
            BackupHarness harness;
            harness.send(0, NodeA, claimWithBackup(1, 20'000));
            harness.send(10, NodeA, ClaimEnded {ClaimId(1), outcome});
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, harness.scheduler().copyTokens());
            CPPUNIT_ASSERT(harness.hasRoomFor(1'000, 49'000));
            harness.send(1'001, NodeB,
                         SchedulerHarness::withLongWait(SchedulerHarness::claimOf(1, 49'000)));
            harness.send(1'001, NodeB,
                         SchedulerHarness::withLongWait(SchedulerHarness::claimOf(2, 49'000)));
            CPPUNIT_ASSERT(harness.answer(NodeB, 1) != harness.answer(NodeB, 2));
            CPPUNIT_ASSERT(harness.answer(NodeB, 2).starts_with("d"));
        }
    }

    // Guards against counting a continued run at the engine that it has left.
    void movedRunCountsAtBackup()
    {
        BackupHarness harness;
        harness.send(0, NodeA, claimWithBackup(1, 20'000));
        harness.send(10, NodeA, RunMoved {ClaimId(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.scheduler().granted());
        // d1 is free, d2 holds the run.
        harness.send(20, NodeB,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(1, 40'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("d1/"), harness.answer(NodeB, 1));
        CPPUNIT_ASSERT(!harness.hasRoomFor(21, 40'000));
        harness.send(30, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Served});
        CPPUNIT_ASSERT(harness.hasRoomFor(31, 40'000));
    }

    // Guards against a repeated datagram that releases the memory of the run at its new engine.
    void repeatedMoveHasNoEffect()
    {
        BackupHarness harness;
        harness.send(0, NodeA, claimWithBackup(1, 20'000));
        harness.send(10, NodeA, RunMoved {ClaimId(1)});
        harness.send(11, NodeA, RunMoved {ClaimId(1)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.scheduler().runsMoved());
        harness.send(20, NodeB,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(1, 40'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("d1/"), harness.answer(NodeB, 1));
        CPPUNIT_ASSERT(!harness.hasRoomFor(21, 40'000));
    }

    // Guards against reordered datagrams and moves without a backup.
    void ignoresMoveOfUnknownClaim()
    {
        BackupHarness harness;
        harness.send(0, NodeA, RunMoved {ClaimId(7)});
        harness.send(1, NodeA, SchedulerHarness::claimOf(1, 20'000));
        harness.send(2, NodeA, RunMoved {ClaimId(1)});
        harness.send(3, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Served});
        harness.send(4, NodeA, RunMoved {ClaimId(1)});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.scheduler().granted());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, harness.scheduler().runsMoved());
    }

    // Guards against a new scheduler that grants the memory of copies made under the previous one.
    void countsReportedCopiesAfterTakeover()
    {
        BackupHarness harness;
        harness.send(0, NodeA, reportOf(1, 20'000, "d1", "d2"));
        harness.send(1, NodeA, reportOf(1, 20'000, "d1", "d2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.copies());
        CPPUNIT_ASSERT(!harness.hasRoomFor(2, 40'000));
        harness.send(10, NodeA, ClaimEnded {ClaimId(1), ClaimOutcome::Served});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
        // A report that names the engine of the run as its backup names no copy.
        harness.send(11, NodeA, reportOf(2, 20'000, "d1", "d1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
    }

    // Guards against a run that a new scheduler counts at the engine that it has left.
    void movesReportedRunAfterTakeover()
    {
        BackupHarness harness;
        harness.send(0, NodeA, reportOf(1, 20'000, "d1", "d2"));
        harness.send(10, NodeA, RunMoved {ClaimId(1)});
        harness.send(20, NodeB,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(1, 40'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("d1/"), harness.answer(NodeB, 1));
    }

    // Guards against memory that stays reserved for copies of a node that has restarted.
    void releasesCopiesOfRestartedNode()
    {
        BackupHarness harness;
        harness.send(0, NodeA, claimWithBackup(1, 20'000));
        harness.send(1'000, SchedulerHarness::node("a", 2), WorkQuery {ServiceName("llm")});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
        CPPUNIT_ASSERT(harness.hasRoomFor(1'001, 49'000));
    }

    // Guards against memory that stays reserved for copies of a node that has ended.
    void releasesCopiesOfDeadNode()
    {
        BackupHarness harness;
        harness.send(0, NodeA, claimWithBackup(1, 20'000));
        harness.tick(15'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, harness.scheduler().copyTokens());
    }

    // Guards against an account for an engine that is gone, and a repeated grant that names it.
    void releasesCopiesOnBackupThatLeft()
    {
        BackupHarness harness;
        harness.send(0, NodeA, claimWithBackup(1, 20'000));
        harness.removeEngine("d2");
        harness.tick(500);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
        harness.send(501, NodeA, claimWithBackup(1, 20'000));
        CPPUNIT_ASSERT_EQUAL(std::string("d1/"), harness.answer(NodeA, 1));
        CPPUNIT_ASSERT_EQUAL(std::string(), harness.backup(NodeA, 1));
    }

    // Guards against an account for copies on an engine that refuses connections.
    void releasesCopiesOnBackupThatCrashed()
    {
        BackupHarness harness;
        harness.send(0, NodeA, reportOf(1, 10'000, "d1", "d2"));
        harness.send(1, NodeB, reportOf(1, 10'000, "d2", "d1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, harness.copies());
        harness.send(10, NodeB, ClaimEnded {ClaimId(1), ClaimOutcome::Unreachable});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.scheduler().granted());
    }

    // Guards against an account for copies that an engine has dropped with its decode phase.
    void releasesCopiesOnBackupThatChangedPhase()
    {
        BackupHarness harness;
        harness.send(0, NodeA, claimWithBackup(1, 20'000));
        PhaseChangeNotice notice {ServerName("d2"), EnginePhase::Prefill, std::chrono::seconds(3),
                                  false};
        harness.send(10, NodeB, notice);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.copies());
        notice.isAccepted = true;
        harness.send(20, NodeB, notice);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
    }

    // Guards against a run that counts at no engine because its copy was taken for lost too early.
    void countsRunThatMovedToForgottenCopy()
    {
        BackupHarness harness;
        harness.send(0, NodeA, reportOf(1, 20'000, "d1", "d2"));
        harness.send(1, NodeB, reportOf(1, 1'000, "d2", ""));
        harness.send(2, NodeB, ClaimEnded {ClaimId(1), ClaimOutcome::Unreachable});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.copies());
        harness.send(10, NodeA, RunMoved {ClaimId(1)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.scheduler().runsMoved());
        harness.send(5'000, NodeB,
                     SchedulerHarness::withLongWait(SchedulerHarness::claimOf(2, 40'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("d1/"), harness.answer(NodeB, 2));
    }

    // Guards against accounts that stay after lost, repeated and reordered messages, restarts of
    // nodes, and engines that leave or change their phase.
    void anyMessagesLeaveNoAccounts()
    {
        CPPUNIT_ASSERT(rc::check("accounts", [] {
            BackupHarness harness;
            harness.addEngine("d3", EnginePhase::Decode);
            harness.addEngine("d4", EnginePhase::Decode);
            const int steps = *rc::gen::inRange(0, 120);
            for (int time = 0; time < steps * 20; time += 20) {
                sendAny(harness, time);
            }
            RC_ASSERT(harness.copies() <= harness.scheduler().granted());
            constexpr int AllExpired = 40'000;
            harness.tick(AllExpired);
            RC_ASSERT(harness.scheduler().granted() == 0);
            RC_ASSERT(harness.copies() == 0);
            RC_ASSERT(harness.scheduler().copyTokens() == 0);
            harness.setStoreStale(false);
            for (std::uint64_t i = 1; i <= 2; ++i) {
                // Two engines keep decoding all the time.
                const NodeLife node = SchedulerHarness::node("probe");
                harness.send(AllExpired, node,
                             SchedulerHarness::withLongWait(SchedulerHarness::claimOf(i, 49'900)));
                RC_ASSERT(harness.answer(node, i).starts_with("d"));
            }
        }));
    }

private:
    static void sendAny(BackupHarness &harness, int time)
    {
        const NodeLife node = SchedulerHarness::node(*rc::gen::element("a", "b"),
                                                     *rc::gen::inRange<std::uint64_t>(1, 3));
        const auto number = *rc::gen::inRange<std::uint64_t>(1, 12);
        const auto tokens = *rc::gen::inRange<std::uint64_t>(1'000, 20'000);
        const auto engine = [] {
            return *rc::gen::element("d1", "d2", "d3", "d4", "");
        };
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
            harness.send(time, node, claimWithBackup(number, tokens));
            return;
        case 2:
            harness.send(time, node, reportOf(number, tokens, engine(), engine()));
            return;
        case 3:
            harness.send(time, node, RunMoved {ClaimId(number)});
            return;
        case 4:
            harness.send(time, node, PrefillEnded {ClaimId(number), true, true});
            return;
        case 5: {
            const auto outcome =
                *rc::gen::element(ClaimOutcome::Served, ClaimOutcome::EngineFailed,
                                  ClaimOutcome::Unreachable, ClaimOutcome::Cancelled);
            harness.send(time, node, ClaimEnded {ClaimId(number), outcome});
            return;
        }
        case 6:
            harness.send(time, node,
                         PhaseChangeNotice {ServerName("d3"), EnginePhase::Prefill,
                                            std::chrono::seconds(2), true});
            return;
        default:
            *rc::gen::inRange(0, 10) == 0 ? harness.removeEngine("d4") : harness.tick(time);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerBackupTest);
