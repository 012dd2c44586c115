#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace indigoway::scheduling;

namespace {

constexpr std::uint32_t Prompt = 5'000;
const Incarnation Life(7);

std::string text(const char *words)
{
    return words;
}

/** Adds three decode engines and a prefill engine, which the scheduler assigns. */
void useEngines(DispatcherHarness &harness, bool keepsBackups = true, bool movesRuns = true)
{
    harness.setEngineFeatures(keepsBackups, movesRuns);
    harness.useRoutes();
    for (const char *name : {"d1", "d2", "d3"}) {
        harness.addServer(name, EnginePhase::Decode);
    }
    harness.addServer("p1", EnginePhase::Prefill);
    harness.dispatcher().setScheduler(NodeName("scheduler"));
}

/** A run at d1 with a backup at d2 that has forwarded events. */
struct Run
{
    RequestNumber request;
    ClaimId claim;
    StartCall decode;
};

/** Starts a run at d1 up to its first event. */
Run startRun(DispatcherHarness &harness, const char *route = "stream", const char *backup = "d2")
{
    Run run;
    run.request = harness.arrive(0, route, Prompt);
    run.claim = harness.nextSchedulerMessage<Claim>().claim;
    ClaimGranted grant {run.claim, ServerName("d1"), ServerName("p1"), std::nullopt};
    grant.backupServer = ServerName(backup);
    harness.reduce(5, SchedulerAnswered {grant, Life});
    harness.grant(8, harness.nextCall(CallKind::Reserve));
    harness.grant(100, harness.nextCall(CallKind::Prefill));
    harness.nextSchedulerMessage<PrefillEnded>();
    run.decode = harness.nextCall(CallKind::Decode);
    harness.reduce(150, StreamStarted {run.decode.call, 200, {}});
    return run;
}

/** Ends the connection of @p call after @p events events. */
void breakStream(DispatcherHarness &harness, int milliseconds, const StartCall &call,
                 std::uint32_t events, CallEnd end = CallEnd::Broken)
{
    CallEnded ended;
    ended.call = call.call;
    ended.end = end;
    ended.events = events;
    ended.reason = "connection reset";
    harness.reduce(milliseconds, ended);
}

/** Ends the stream of @p call, which has no length, by the orderly close of its connection. */
void closeStream(DispatcherHarness &harness, int milliseconds, const StartCall &call,
                 std::uint32_t events)
{
    CallEnded ended;
    ended.call = call.call;
    ended.end = CallEnd::Complete;
    ended.status = 200;
    ended.events = events;
    ended.isEndedByClose = true;
    harness.reduce(milliseconds, ended);
}

void answerStop(DispatcherHarness &harness, int milliseconds, const StartCall &call, int status,
                const std::string &handle = {})
{
    CallEnded ended;
    ended.call = call.call;
    ended.end = CallEnd::Complete;
    ended.status = status;
    ended.handle = handle;
    harness.reduce(milliseconds, ended);
}

/** Ends an engine check after @p events events of the stream. */
void endCheck(DispatcherHarness &harness, int milliseconds, const StartCall &check,
              EngineCheck result, std::uint32_t events)
{
    const bool isConnected = result == EngineCheck::Connected || result == EngineCheck::Relayed;
    CallEnded ended;
    ended.call = check.call;
    ended.end = isConnected ? CallEnd::Complete : CallEnd::NotConnected;
    ended.isRefused = result == EngineCheck::Refused;
    ended.relay = NodeName(result == EngineCheck::Relayed ? "n2" : "");
    ended.events = events;
    harness.reduce(milliseconds, ended);
}

/** Lets the engine of the run say that it leaves, 1.3 s after the start. */
void announceLeaving(DispatcherHarness &harness)
{
    harness.addServer("d1", EnginePhase::Decode, true);
    harness.reduce(1'300, TimePassed {});
}

/** Grants the claim for another engine; returns the request to stop the run that follows. */
StartCall grantTarget(DispatcherHarness &harness, int milliseconds, const char *target)
{
    const auto claim = harness.nextSchedulerMessage<Claim>();
    CPPUNIT_ASSERT_EQUAL(0U, claim.promptTokens);
    CPPUNIT_ASSERT(claim.urgency == Urgency::Resumed);
    CPPUNIT_ASSERT(claim.excludedServers.front() == ServerName("d1"));
    const ClaimGranted grant {claim.claim, ServerName(target), {}, std::nullopt};
    harness.reduce(milliseconds, SchedulerAnswered {grant, Life});
    return harness.nextCall(CallKind::StopRun);
}

/** Refuses the claim for another engine. */
void refuseTarget(DispatcherHarness &harness, int milliseconds)
{
    const auto claim = harness.nextSchedulerMessage<Claim>();
    harness.reduce(milliseconds, SchedulerAnswered {ClaimRefused {claim.claim}, Life});
}

void assertContinuesAtBackup(const StartCall &call)
{
    CPPUNIT_ASSERT(call.server == ServerName("d2"));
    CPPUNIT_ASSERT_EQUAL(text("c1"), call.handle);
    CPPUNIT_ASSERT_EQUAL(text("d2:80"), call.handleAddress);
    CPPUNIT_ASSERT(call.isResumption);
    CPPUNIT_ASSERT(call.backupAddress.empty());
}

} // namespace

class RunContinuationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunContinuationTest);
    CPPUNIT_TEST(asksForABackupOnlyWhereItIsConfigured);
    CPPUNIT_TEST(continuesAtTheBackupOfACrashedEngine);
    CPPUNIT_TEST(continuesAtTheBackupIfTheEngineDroppedTheRun);
    CPPUNIT_TEST(movesTheRunOfALivingEngine);
    CPPUNIT_TEST(stopsTheRunWhoseRelayHasEnded);
    CPPUNIT_TEST(continuesAtTheSameEngineIfTheTargetIsFull);
    CPPUNIT_TEST(endsTheStreamIfTheRunWasNotStopped);
    CPPUNIT_TEST(lostAnswerToAStopEndsTheStream);
    CPPUNIT_TEST(lostAnswerOfACrashedEngineContinuesAtTheBackup);
    CPPUNIT_TEST(restartedEngineContinuesAtTheBackup);
    CPPUNIT_TEST(crashedBackupEndsTheStream);
    CPPUNIT_TEST(backupWithoutACopyEndsTheStream);
    CPPUNIT_TEST(backupWithoutACopyResumesAResumableStream);
    CPPUNIT_TEST(refusedMoveResumesAfterTheFirstEvents);
    CPPUNIT_TEST(errorInPlaceOfTheContinuationEndsTheStream);
    CPPUNIT_TEST(leavingBackupIsNotUsed);
    CPPUNIT_TEST(runWithoutATargetGoesOnAtItsEngine);
    CPPUNIT_TEST(onlyEngineCannotBeStopped);
    CPPUNIT_TEST(silentEngineThatIsReachableKeepsItsRun);
    CPPUNIT_TEST(silentEngineWithoutAConnectionKeepsItsRun);
    CPPUNIT_TEST(silentEngineThatHasEndedLosesItsRun);
    CPPUNIT_TEST(abandonedStreamOfANewerLifeGoesOnNowhere);
    CPPUNIT_TEST(streamOnALostPathIsMoved);
    CPPUNIT_TEST(streamWithoutABackupIsMovedOffALostPath);
    CPPUNIT_TEST(eventsDuringACheckKeepTheStream);
    CPPUNIT_TEST(engineWithoutAConnectionIsAskedAgain);
    CPPUNIT_TEST(runBeforeItsFirstEventIsNotContinued);
    CPPUNIT_TEST(disconnectDuringAMoveReleasesAll);
    CPPUNIT_TEST(disconnectDuringAContinuationReleasesAll);
    CPPUNIT_TEST(checksTheEngineIfRunsCannotBeStopped);
    CPPUNIT_TEST(reportsTheBackupToANewScheduler);
    CPPUNIT_TEST(contentThatCrashesEnginesIsNotContinued);
    CPPUNIT_TEST(asksForAnEngineIfThereIsNoBackup);
    CPPUNIT_TEST(silentSchedulerLeavesNoTarget);
    CPPUNIT_TEST(movesRunsOffALeavingEngine);
    CPPUNIT_TEST(leavingEngineKeepsARunThatEndsInTime);
    CPPUNIT_TEST(movesFourRunsAtATimeLongestFirst);
    CPPUNIT_TEST(refusedMoveLeavesTheRunInPlace);
    CPPUNIT_TEST(waitingMoveGetsAnEngineWhosePauseHasEnded);
    CPPUNIT_TEST(runThatEndsDuringItsMoveIsComplete);
    CPPUNIT_TEST(streamThatItsMoveClosesGoesOn);
    CPPUNIT_TEST(streamThatIsClosedByALostStopGoesOn);
    CPPUNIT_TEST(lateStopDoesNotCompleteTheStream);
    CPPUNIT_TEST(streamClosedInDoubtIsCutIfItCannotGoOn);
    CPPUNIT_TEST(streamThatEndedBeforeItsStopIsComplete);
    CPPUNIT_TEST(closeAfterAStopThatWasNotExecutedIsComplete);
    CPPUNIT_TEST(closeAfterAnAnswerWithoutAHandleIsInDoubt);
    CPPUNIT_TEST(closeByAReplacedEngineIsInDoubt);
    CPPUNIT_TEST(closeByAnEngineThatStartedAgainUnderItsIdIsInDoubt);
    CPPUNIT_TEST(unsettledStopOutlastsAContinuationAtItsEngine);
    CPPUNIT_TEST(targetThatIsGrantedDuringAStopCausesNoOther);
    CPPUNIT_TEST(lostPathDuringAStopCausesNoOther);
    CPPUNIT_TEST(streamThatEndedBeforeItsEngineIsComplete);
    CPPUNIT_TEST(lateAnswerToAnEarlierStopChangesNothing);
    CPPUNIT_TEST(runWithoutATargetDoesNotGoOnAtALeavingEngine);
    CPPUNIT_TEST(leavingEngineThatLosesTheConnectionWaitsForTheTarget);
    CPPUNIT_TEST(targetWithoutRoomKeepsTheRunAtItsEngine);
    CPPUNIT_TEST(disconnectDuringAClaimForATargetEndsIt);
    CPPUNIT_TEST(silentSchedulerLeavesTheRunAtItsLeavingEngine);
    CPPUNIT_TEST(crashOfAnEngineIsStillDetected);
    CPPUNIT_TEST(timeoutDuringAMoveReleasesAll);
    CPPUNIT_TEST(nothingIsMovedWithoutTheSetting);
    CPPUNIT_TEST(continuesOnlyAtItsVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    // A service without the two settings must be served as before.
    void asksForABackupOnlyWhereItIsConfigured()
    {
        DispatcherHarness plain;
        useEngines(plain, false, false);
        Run run = startRun(plain);
        CPPUNIT_ASSERT(run.decode.backupAddress.empty());
        CPPUNIT_ASSERT(run.decode.silenceLimit == Duration(0));
        breakStream(plain, 1'000, run.decode, 5);
        CPPUNIT_ASSERT_EQUAL(text("cut"), plain.outcome(run.request));
        CPPUNIT_ASSERT(!plain.hasCalls());
        CPPUNIT_ASSERT(plain.logLines("run_lost").empty());

        DispatcherHarness harness;
        useEngines(harness);
        run = startRun(harness);
        CPPUNIT_ASSERT_EQUAL(text("d2:80"), run.decode.backupAddress);
        CPPUNIT_ASSERT(run.decode.silenceLimit > Duration(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("run_backup").size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.dispatcher().runCounts().withBackup);
    }

    // Guards against a stream that ends incomplete, or a run that is reported wrongly, after a
    // crash.
    void continuesAtTheBackupOfACrashedEngine()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        const StartCall stop = harness.nextCall(CallKind::StopRun);
        CPPUNIT_ASSERT(stop.server == ServerName("d1"));
        CPPUNIT_ASSERT_EQUAL(text("c1"), stop.runId);
        CPPUNIT_ASSERT_EQUAL(text("d2:80"), stop.moveTarget);
        CPPUNIT_ASSERT(stop.connectTimeout == EngineAnswerLimit);
        harness.refuse(1'002, stop);
        const StartCall second = harness.nextCall(CallKind::Decode);
        assertContinuesAtBackup(second);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<RunMoved>().claim == run.claim);
        harness.reduce(1'030, StreamStarted {second.call, 200, {}});
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<RunMoved>().claim == run.claim);
        harness.end(3'000, second, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome == ClaimOutcome::Served);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("run_continued").size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.dispatcher().runCounts().continuedByBackup);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, harness.dispatcher().runCounts().lost);
    }

    // An engine that has dropped the run after a reset has no KV cache to move.
    void continuesAtTheBackupIfTheEngineDroppedTheRun()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        answerStop(harness, 1'003, harness.nextCall(CallKind::StopRun), 404);
        assertContinuesAtBackup(harness.nextCall(CallKind::Decode));
    }

    // An engine that lives may still execute the run; it must be stopped first.
    void movesTheRunOfALivingEngine()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        answerStop(harness, 1'040, harness.nextCall(CallKind::StopRun), 200, "k9");
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d2"));
        CPPUNIT_ASSERT_EQUAL(text("k9"), second.handle);
        CPPUNIT_ASSERT_EQUAL(text("d1:80"), second.handleAddress);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<RunMoved>().claim == run.claim);
        harness.reduce(1'080, StreamStarted {second.call, 200, {}});
        harness.end(3'000, second, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls()); // The handle was used and needs no release.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.dispatcher().runCounts().continuedByMove);
    }

    // The end of the node in between proves nothing about the run: it would run twice.
    void stopsTheRunWhoseRelayHasEnded()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20, CallEnd::PathLost);
        const StartCall stop = harness.nextCall(CallKind::StopRun);
        CPPUNIT_ASSERT(stop.server == ServerName("d1"));
        CPPUNIT_ASSERT(!harness.hasCalls());
        answerStop(harness, 1'040, stop, 404);
        assertContinuesAtBackup(harness.nextCall(CallKind::Decode));
        CPPUNIT_ASSERT(!harness.hasServerProbes());
    }

    // The run has stopped, and its KV cache is still at its engine.
    void continuesAtTheSameEngineIfTheTargetIsFull()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        answerStop(harness, 1'010, harness.nextCall(CallKind::StopRun), 503, "k9");
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d1"));
        CPPUNIT_ASSERT_EQUAL(text("k9"), second.handle);
        CPPUNIT_ASSERT_EQUAL(text("d1:80"), second.handleAddress);
        CPPUNIT_ASSERT_EQUAL(text("d2:80"), second.backupAddress);
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
    }

    // The engine still executes the run, so that continuing it would execute it twice.
    void endsTheStreamIfTheRunWasNotStopped()
    {
        for (const int status : {409, 503, 500}) {
            DispatcherHarness harness;
            useEngines(harness);
            const Run run = startRun(harness);
            breakStream(harness, 1'000, run.decode, 20);
            answerStop(harness, 1'010, harness.nextCall(CallKind::StopRun), status);
            CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
            CPPUNIT_ASSERT(!harness.hasCalls());
            CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome
                           == ClaimOutcome::ConnectionLost);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.dispatcher().runCounts().lost);
        }
    }

    // Without an answer it is unknown whether the run is over.
    void lostAnswerToAStopEndsTheStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        harness.end(1'100, harness.nextCall(CallKind::StopRun), CallEnd::Broken);
        harness.end(1'200, harness.nextCall(CallKind::StopRun), CallEnd::Broken);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // An engine that crashes during the request to stop the run no longer executes it.
    void lostAnswerOfACrashedEngineContinuesAtTheBackup()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        harness.end(1'010, harness.nextCall(CallKind::StopRun), CallEnd::Broken);
        harness.refuse(1'012, harness.nextCall(CallKind::StopRun));
        assertContinuesAtBackup(harness.nextCall(CallKind::Decode));
    }

    // A restarted engine answers at once, but has lost the run.
    void restartedEngineContinuesAtTheBackup()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        const StartCall stop = harness.nextCall(CallKind::StopRun);
        harness.dispatcher().remove(ServerName("d1"));
        answerStop(harness, 1'005, stop, 421);
        assertContinuesAtBackup(harness.nextCall(CallKind::Decode));
    }

    // Guards against a request that stays open after its engine and its backup were lost.
    void crashedBackupEndsTheStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        answerStop(harness, 1'003, harness.nextCall(CallKind::StopRun), 404);
        harness.end(1'010, harness.nextCall(CallKind::Decode), CallEnd::NotConnected);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.dispatcher().runCounts().lost);
    }

    // Also a backup that has restarted at the same address answers that it does not execute it.
    void backupWithoutACopyEndsTheStream()
    {
        for (const int status : {503, 421}) {
            DispatcherHarness harness;
            useEngines(harness);
            const Run run = startRun(harness);
            breakStream(harness, 1'000, run.decode, 20);
            answerStop(harness, 1'003, harness.nextCall(CallKind::StopRun), 404);
            harness.end(1'010, harness.nextCall(CallKind::Decode), CallEnd::NotExecuted, status);
            CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
            CPPUNIT_ASSERT(!harness.hasCalls());
        }
    }

    // A missing copy must not end a stream that may be resumed.
    void backupWithoutACopyResumesAResumableStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness, "resumable");
        breakStream(harness, 1'000, run.decode, 20);
        answerStop(harness, 1'003, harness.nextCall(CallKind::StopRun), 404);
        harness.end(1'010, harness.nextCall(CallKind::Decode), CallEnd::NotExecuted, 503);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
        harness.nextSchedulerMessage<RunMoved>();
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome
                       == ClaimOutcome::EngineFailed);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<Claim>().urgency == Urgency::Resumed);
    }

    // Guards against a caller who gets the first events twice: how many there were is not reported
    // when the target of a move turns the run away.
    void refusedMoveResumesAfterTheFirstEvents()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness, "resumable");
        announceLeaving(harness);
        answerStop(harness, 1'340, grantTarget(harness, 1'305, "d3"), 200, "k9");
        harness.end(1'350, harness.nextCall(CallKind::Decode), CallEnd::NotExecuted, 503);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
        harness.nextSchedulerMessage<ClaimEnded>();
        harness.nextSchedulerMessage<ClaimEnded>();
        const auto claim = harness.nextSchedulerMessage<Claim>();
        ClaimGranted grant {claim.claim, ServerName("d2"), ServerName("p1"), std::nullopt};
        harness.reduce(1'360, SchedulerAnswered {grant, Life});
        harness.nextCall(CallKind::FreeHandle);
        harness.grant(1'370, harness.nextCall(CallKind::Reserve));
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Whole).isResumption);
    }

    // An error response must not complete the stream or reach the caller within it.
    void errorInPlaceOfTheContinuationEndsTheStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        answerStop(harness, 1'003, harness.nextCall(CallKind::StopRun), 404);
        harness.end(1'010, harness.nextCall(CallKind::Decode), CallEnd::Complete, 503);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
    }

    // A leaving engine gets no new requests, and would end the run again.
    void leavingBackupIsNotUsed()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.addServer("d2", EnginePhase::Decode, true);
        breakStream(harness, 1'000, run.decode, 20);
        CPPUNIT_ASSERT(!harness.hasCalls());
        refuseTarget(harness, 1'010);
        const StartCall stop = harness.nextCall(CallKind::StopRun);
        CPPUNIT_ASSERT_EQUAL(text("d3:80"), stop.moveTarget);
        answerStop(harness, 1'020, stop, 404);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against a run at two engines: its answer was lost, its engine still executes it, and
    // no other one has room. It is stopped and goes on where it was.
    void runWithoutATargetGoesOnAtItsEngine()
    {
        for (const int status : {200, 503}) {
            DispatcherHarness harness;
            useEngines(harness, true, true);
            const Run run = startRun(harness, "resumable", "");
            breakStream(harness, 1'000, run.decode, 6);
            refuseTarget(harness, 1'010);
            const StartCall stop = harness.nextCall(CallKind::StopRun);
            CPPUNIT_ASSERT(stop.server == ServerName("d1"));
            CPPUNIT_ASSERT(!harness.hasCalls());
            answerStop(harness, 1'020, stop, status, "k9");
            const StartCall second = harness.nextCall(CallKind::Decode);
            CPPUNIT_ASSERT(second.server == ServerName("d1"));
            CPPUNIT_ASSERT_EQUAL(text("k9"), second.handle);
            CPPUNIT_ASSERT_EQUAL(text("d1:80"), second.handleAddress);
            CPPUNIT_ASSERT(second.isResumption);
            CPPUNIT_ASSERT(!harness.hasSchedulerMessage()); // The claim for d1 stands.
            harness.reduce(1'080, StreamStarted {second.call, 200, {}});
            harness.end(3'000, second, CallEnd::Complete, 200);
            CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
        }
    }

    // Guards against a caller who waits although there is no engine to name in a stop.
    void onlyEngineCannotBeStopped()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness, "stream", "");
        harness.addServer("d2", EnginePhase::Decode, true);
        harness.addServer("d3", EnginePhase::Decode, true);
        breakStream(harness, 1'000, run.decode, 20);
        refuseTarget(harness, 1'010);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // A busy engine pauses for longer than the silence limit; its run must not be disturbed.
    void silentEngineThatIsReachableKeepsItsRun()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        for (const int time : {1'000, 1'300}) {
            harness.reduce(time, StreamSilent {run.decode.call, 12});
            const StartCall check = harness.nextCall(CallKind::Probe);
            CPPUNIT_ASSERT(check.server == ServerName("d1"));
            harness.reduce(time + 1, StreamSilent {run.decode.call, 12});
            CPPUNIT_ASSERT(!harness.hasCalls()); // One check at a time.
            endCheck(harness, time + 2, check, EngineCheck::Connected, 12);
        }
        CPPUNIT_ASSERT(!harness.wasAbandoned(run.decode));
        harness.end(3'000, run.decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
    }

    // A sound engine is silent for a second and takes no connection. Its run goes on afterwards, so
    // that a continuation elsewhere would execute it twice.
    void silentEngineWithoutAConnectionKeepsItsRun()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.reduce(1'000, StreamSilent {run.decode.call, 12});
        const StartCall check = harness.nextCall(CallKind::Probe);
        CPPUNIT_ASSERT(check.connectTimeout == EngineAnswerLimit);
        endCheck(harness, 1'100, check, EngineCheck::NoAnswer, 12);
        CPPUNIT_ASSERT(!harness.wasAbandoned(run.decode));
        CPPUNIT_ASSERT(!harness.hasCalls());
        harness.end(3'000, run.decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
    }

    // The engine's machine refuses connections, so that nothing runs there any more.
    void silentEngineThatHasEndedLosesItsRun()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.reduce(1'000, StreamSilent {run.decode.call, 12});
        endCheck(harness, 1'003, harness.nextCall(CallKind::Probe), EngineCheck::Refused, 12);
        CPPUNIT_ASSERT(harness.wasAbandoned(run.decode));
        assertContinuesAtBackup(harness.nextCall(CallKind::Decode));
    }

    // Guards against a caller who takes the stream up again at the version of the engine's old
    // entry.
    void abandonedStreamOfANewerLifeGoesOnNowhere()
    {
        DispatcherHarness harness;
        useEngines(harness);
        AnnouncedServer newer = *harness.dispatcher().servers().find(ServerName("d1"));
        newer.instance = "d1";
        harness.dispatcher().announce(newer);
        const Run run = startRun(harness, "resumable");
        harness.reduce(1'000, StreamSilent {run.decode.call, 12});
        const StartCall check = harness.nextCall(CallKind::Probe);
        newer.name = ServerName("d1 again");
        newer.version = "v2";
        harness.dispatcher().announce(newer);
        harness.reduce(1'001, TimePassed {});
        endCheck(harness, 1'003, check, EngineCheck::Refused, 12);
        CPPUNIT_ASSERT(harness.wasAbandoned(run.decode));
        harness.advance(1'010, 1'050);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
        const RequestNumber resumed = harness.resume(1'060, "resumable", "c1");
        CPPUNIT_ASSERT_EQUAL(503, harness.status(resumed));
    }

    // This node is cut off from the engine, which another node reaches: the stream would hang until
    // its caller gives up, while the engine executes the run.
    void streamOnALostPathIsMoved()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.reduce(1'000, StreamSilent {run.decode.call, 12});
        endCheck(harness, 1'200, harness.nextCall(CallKind::Probe), EngineCheck::Relayed, 12);
        CPPUNIT_ASSERT(!harness.wasAbandoned(run.decode));
        answerStop(harness, 1'230, harness.nextCall(CallKind::StopRun), 200, "k9");
        CPPUNIT_ASSERT(harness.wasAbandoned(run.decode));
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d2"));
        CPPUNIT_ASSERT_EQUAL(text("k9"), second.handle);
    }

    // As streamOnALostPathIsMoved(), for a run without a backup: the scheduler grants another
    // engine.
    void streamWithoutABackupIsMovedOffALostPath()
    {
        DispatcherHarness harness;
        useEngines(harness, false, true);
        const Run run = startRun(harness);
        CPPUNIT_ASSERT(run.decode.silenceLimit.count() > 0);
        harness.dispatcher().remove(ServerName("d2")); // The backup that the grant names.
        harness.reduce(1'000, StreamSilent {run.decode.call, 12, false});
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
        harness.reduce(1'500, StreamSilent {run.decode.call, 12, true});
        answerStop(harness, 1'530, grantTarget(harness, 1'502, "d3"), 200, "k9");
        CPPUNIT_ASSERT(harness.wasAbandoned(run.decode));
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Decode).server == ServerName("d3"));
    }

    // A lost packet delays a connection attempt although the stream goes on.
    void eventsDuringACheckKeepTheStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.reduce(1'000, StreamSilent {run.decode.call, 12});
        endCheck(harness, 1'100, harness.nextCall(CallKind::Probe), EngineCheck::Refused, 13);
        CPPUNIT_ASSERT(!harness.wasAbandoned(run.decode));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // An engine that gives no connection in time may execute the run: it is asked again, and
    // without an answer the run is not continued.
    void engineWithoutAConnectionIsAskedAgain()
    {
        for (const bool isReachedLater : {true, false}) {
            DispatcherHarness harness;
            useEngines(harness);
            const Run run = startRun(harness);
            breakStream(harness, 1'000, run.decode, 20);
            harness.end(1'200, harness.nextCall(CallKind::StopRun), CallEnd::NotConnected);
            const StartCall again = harness.nextCall(CallKind::StopRun);
            CPPUNIT_ASSERT(again.server == ServerName("d1"));
            if (isReachedLater) {
                answerStop(harness, 1'210, again, 200, "k9");
                CPPUNIT_ASSERT_EQUAL(text("k9"), harness.nextCall(CallKind::Decode).handle);
            } else {
                harness.end(1'400, again, CallEnd::NoPath);
                CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
                CPPUNIT_ASSERT(!harness.hasCalls());
            }
        }
    }

    // Nothing was forwarded yet, so that there is no event to continue after: another engine would
    // begin a second run of a request that may run once.
    void runBeforeItsFirstEventIsNotContinued()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        const ClaimId claim = harness.nextSchedulerMessage<Claim>().claim;
        ClaimGranted grant {claim, ServerName("d1"), ServerName("p1"), std::nullopt};
        grant.backupServer = ServerName("d2");
        harness.reduce(5, SchedulerAnswered {grant, Life});
        harness.grant(8, harness.nextCall(CallKind::Reserve));
        harness.grant(100, harness.nextCall(CallKind::Prefill));
        breakStream(harness, 120, harness.nextCall(CallKind::Decode), 0);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(text("failed 502"), harness.outcome(request));
    }

    // The KV cache of a stopped run occupies memory at both engines until it is used or released.
    void disconnectDuringAMoveReleasesAll()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        const StartCall stop = harness.nextCall(CallKind::StopRun);
        harness.reduce(1'010, CallerLeft {run.request});
        CPPUNIT_ASSERT(!harness.wasAbandoned(stop));
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().claim == run.claim);
        answerStop(harness, 1'040, stop, 200, "k9");
        const StartCall free = harness.nextCall(CallKind::FreeHandle);
        CPPUNIT_ASSERT(free.server == ServerName("d1"));
        CPPUNIT_ASSERT_EQUAL(text("k9"), free.handle);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.dispatcher().open());
    }

    // The call that would have used the handle may not have reached the engine.
    void disconnectDuringAContinuationReleasesAll()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 1'000, run.decode, 20);
        answerStop(harness, 1'040, harness.nextCall(CallKind::StopRun), 200, "k9");
        const StartCall second = harness.nextCall(CallKind::Decode);
        harness.nextSchedulerMessage<RunMoved>();
        harness.reduce(1'050, CallerLeft {run.request});
        CPPUNIT_ASSERT(harness.wasAbandoned(second));
        CPPUNIT_ASSERT_EQUAL(text("k9"), harness.nextCall(CallKind::FreeHandle).handle);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().claim == run.claim);
    }

    // Engines without moves cannot be told to stop; only one that has ended does not run it.
    void checksTheEngineIfRunsCannotBeStopped()
    {
        for (const EngineCheck check : {EngineCheck::Connected, EngineCheck::Relayed,
                                        EngineCheck::NoAnswer, EngineCheck::Refused}) {
            DispatcherHarness harness;
            useEngines(harness, true, false);
            const Run run = startRun(harness);
            breakStream(harness, 1'000, run.decode, 20);
            endCheck(harness, 1'002, harness.nextCall(CallKind::Probe), check, 20);
            if (check == EngineCheck::Refused) {
                assertContinuesAtBackup(harness.nextCall(CallKind::Decode));
            } else {
                CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
                CPPUNIT_ASSERT(!harness.hasCalls());
            }
        }
    }

    // A new scheduler would otherwise grant the memory that copies occupy.
    void reportsTheBackupToANewScheduler()
    {
        DispatcherHarness harness;
        useEngines(harness);
        startRun(harness);
        harness.dispatcher().setScheduler(NodeName("other"));
        harness.reduce(500, TimePassed {});
        const auto report = harness.nextSchedulerMessage<ReservationReport>();
        CPPUNIT_ASSERT(report.decodeServer == ServerName("d1"));
        CPPUNIT_ASSERT(report.backupServer == ServerName("d2"));
    }

    // A request that ends each engine that executes it would end its backups as well.
    void contentThatCrashesEnginesIsNotContinued()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.dispatcher().crashRecorded({ContentId("c1"), CrashRecords::MaxCrashes}, 9,
                                           DispatcherHarness::at(900));
        breakStream(harness, 1'000, run.decode, 20);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Without a backup the run of an engine that lives can still be moved.
    void asksForAnEngineIfThereIsNoBackup()
    {
        DispatcherHarness harness;
        useEngines(harness, false, true);
        const Run run = startRun(harness, "stream", "");
        breakStream(harness, 1'000, run.decode, 20);
        CPPUNIT_ASSERT(!harness.hasCalls());
        const StartCall stop = grantTarget(harness, 1'002, "d3");
        CPPUNIT_ASSERT(stop.server == ServerName("d1"));
        CPPUNIT_ASSERT_EQUAL(text("d3:80"), stop.moveTarget);
        answerStop(harness, 1'040, stop, 200, "k9");
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d3"));
        CPPUNIT_ASSERT_EQUAL(text("k9"), second.handle);
        // The first claim ends, and the second one stands for the run from now on.
        const auto ended = harness.nextSchedulerMessage<ClaimEnded>();
        CPPUNIT_ASSERT(ended.claim == run.claim);
        CPPUNIT_ASSERT(ended.outcome == ClaimOutcome::ConnectionLost);
        harness.reduce(1'080, StreamStarted {second.call, 200, {}});
        harness.end(3'000, second, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
        const auto served = harness.nextSchedulerMessage<ClaimEnded>();
        CPPUNIT_ASSERT(served.claim != run.claim);
        CPPUNIT_ASSERT(served.outcome == ClaimOutcome::Served);
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
    }

    // The caller of a lost run must not wait for a scheduler that does not respond.
    void silentSchedulerLeavesNoTarget()
    {
        DispatcherHarness harness;
        useEngines(harness, false, true);
        const Run run = startRun(harness, "stream", "");
        breakStream(harness, 1'000, run.decode, 20);
        harness.advance(1'000, 1'400);
        answerStop(harness, 1'410, harness.nextCall(CallKind::StopRun), 404);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.dispatcher().open());
    }

    // A run that outlasts its engine would end incomplete with it.
    void movesRunsOffALeavingEngine()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.reduce(1'150, StreamProgress {run.decode.call, 8});
        announceLeaving(harness);
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        CPPUNIT_ASSERT(stop.server == ServerName("d1"));
        CPPUNIT_ASSERT_EQUAL(text("d3:80"), stop.moveTarget);
        CPPUNIT_ASSERT(!harness.wasAbandoned(run.decode));
        breakStream(harness, 1'340, run.decode, 10); // The engine closes the stream.
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
        answerStop(harness, 1'341, stop, 200, "k9");
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d3"));
        CPPUNIT_ASSERT(second.isResumption);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome
                       == ClaimOutcome::Cancelled);
        harness.reduce(1'400, StreamStarted {second.call, 200, {}});
        harness.end(3'000, second, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.dispatcher().runCounts().continuedByMove);
    }

    // Each move costs a transfer and a pause; a run that ends before its engine needs none.
    void leavingEngineKeepsARunThatEndsInTime()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        // 480 of about 500 events in one second.
        harness.reduce(1'150, StreamProgress {run.decode.call, 480});
        harness.addServer("d1", EnginePhase::Decode, true);
        harness.advance(1'200, 2'000);
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // A leaving engine with many runs would overload its link with all of them at once.
    void movesFourRunsAtATimeLongestFirst()
    {
        DispatcherHarness harness;
        useEngines(harness);
        std::vector<Run> runs;
        for (std::uint32_t i = 0; i < 6; ++i) {
            runs.push_back(startRun(harness));
        }
        for (std::uint32_t i = 0; i < 6; ++i) {
            harness.reduce(1'150, StreamProgress {runs[i].decode.call, 10 + 10 * (5 - i)});
        }
        announceLeaving(harness);
        std::vector<StartCall> stops;
        for (int i = 0; i < 4; ++i) {
            stops.push_back(grantTarget(harness, 1'305, "d3"));
            CPPUNIT_ASSERT_EQUAL("c" + std::to_string(6 - i), stops.back().runId);
        }
        harness.reduce(1'420, TimePassed {});
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
        answerStop(harness, 1'430, stops.front(), 200, "k9");
        harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome
                       == ClaimOutcome::Cancelled);
        harness.reduce(1'540, TimePassed {});
        CPPUNIT_ASSERT_EQUAL(text("c2"), grantTarget(harness, 1'545, "d3").runId);
    }

    // Guards against a run that stays at an engine that leaves, because its claim for a target goes
    // on naming an engine as unusable.
    void waitingMoveGetsAnEngineWhosePauseHasEnded()
    {
        DispatcherHarness harness;
        useEngines(harness);
        startRun(harness, "stream", "");
        // Another request makes d3 ask for a pause until 1,350 ms.
        harness.arrive(1'180, "stream", Prompt);
        const ClaimGranted grant {harness.nextSchedulerMessage<Claim>().claim, ServerName("d3"),
                                  ServerName("p1"), std::nullopt};
        harness.reduce(1'185, SchedulerAnswered {grant, Life});
        harness.end(1'190, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503,
                    ServerAdvice {.pause = std::chrono::milliseconds(160)});
        harness.nextSchedulerMessage<ClaimEnded>();
        const auto other = harness.nextSchedulerMessage<Claim>();
        harness.reduce(1'195, SchedulerAnswered {ClaimRefused {other.claim}, Life});
        announceLeaving(harness);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT((claim.excludedServers
                        == std::vector<ServerName> {ServerName("d1"), ServerName("d3")}));
        harness.reduce(1'305, SchedulerAnswered {ClaimQueued {claim.claim}, Life});
        harness.advance(1'310, 1'360);
        const auto repeated = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(repeated.claim == claim.claim);
        CPPUNIT_ASSERT(repeated.excludedServers == std::vector<ServerName> {ServerName("d1")});
    }

    // A run must go on at its leaving engine if there is no other engine, or it cannot be stopped.
    void refusedMoveLeavesTheRunInPlace()
    {
        for (const int status : {0, 404, 409, 503}) {
            DispatcherHarness harness;
            useEngines(harness);
            const Run run = startRun(harness);
            announceLeaving(harness);
            if (status == 0) {
                const auto claim = harness.nextSchedulerMessage<Claim>();
                harness.reduce(1'310, SchedulerAnswered {ClaimRefused {claim.claim}, Life});
            } else {
                answerStop(harness, 1'320, grantTarget(harness, 1'305, "d3"), status);
                CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().claim != run.claim);
            }
            CPPUNIT_ASSERT(!harness.wasAbandoned(run.decode));
            CPPUNIT_ASSERT(!harness.hasCalls());
            harness.end(1'500, run.decode, CallEnd::Complete, 200);
            CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
            CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().claim == run.claim);
        }
    }

    // Guards against a complete answer that is continued or cut by the end of its move.
    void runThatEndsDuringItsMoveIsComplete()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        harness.end(1'310, run.decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome == ClaimOutcome::Served);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome
                       == ClaimOutcome::Cancelled);
        answerStop(harness, 1'311, stop, 404);
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against a part of a stream that ends as complete: an engine that stops a run closes
    // its stream in good order, and a stream without a length has no other end.
    void streamThatItsMoveClosesGoesOn()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        closeStream(harness, 1'310, run.decode, 10);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
        answerStop(harness, 1'340, stop, 200, "k9");
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d3"));
        CPPUNIT_ASSERT(second.isResumption);
        harness.reduce(1'380, StreamStarted {second.call, 200, {}});
        closeStream(harness, 3'000, second, 40);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
    }

    // Guards against the same if the answer to the stop is lost: a second one tells.
    void streamThatIsClosedByALostStopGoesOn()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        closeStream(harness, 1'310, run.decode, 10);
        harness.end(2'310, stop, CallEnd::Broken);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
        answerStop(harness, 2'340, harness.nextCall(CallKind::StopRun), 200, "k9");
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Decode).isResumption);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
    }

    // Guards against the same if the engine carries out the stop long after its answer was lost.
    void lateStopDoesNotCompleteTheStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        harness.end(2'310, grantTarget(harness, 1'305, "d3"), CallEnd::Broken);
        closeStream(harness, 2'400, run.decode, 20);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
        answerStop(harness, 2'410, harness.nextCall(CallKind::StopRun), 404);
        assertContinuesAtBackup(harness.nextCall(CallKind::Decode));
    }

    // Guards against a caller who gets a part as complete if nothing is known of the run any more.
    void streamClosedInDoubtIsCutIfItCannotGoOn()
    {
        DispatcherHarness harness;
        useEngines(harness, false, true);
        const Run run = startRun(harness, "stream", "");
        announceLeaving(harness);
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        closeStream(harness, 1'310, run.decode, 10);
        harness.end(2'310, stop, CallEnd::Broken);
        harness.end(3'310, harness.nextCall(CallKind::StopRun), CallEnd::Broken);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
    }

    // Guards against a whole stream that is cut or repeated, since it ended beside its move.
    void streamThatEndedBeforeItsStopIsComplete()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        closeStream(harness, 1'310, run.decode, 40);
        answerStop(harness, 1'312, stop, 404);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against a second request to stop a run while one is open: the answer to the first
    // would name no open call, and the handle of the run that it has stopped would be freed.
    void targetThatIsGrantedDuringAStopCausesNoOther()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.reduce(1'200, StreamSilent {run.decode.call, 10});
        const StartCall check = harness.nextCall(CallKind::Probe);
        announceLeaving(harness);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        endCheck(harness, 1'302, check, EngineCheck::Relayed, 10);
        const StartCall stop = harness.nextCall(CallKind::StopRun);
        const ClaimGranted grant {claim.claim, ServerName("d3"), {}, std::nullopt};
        harness.reduce(1'305, SchedulerAnswered {grant, Life});
        CPPUNIT_ASSERT(!harness.hasCalls());
        closeStream(harness, 1'310, run.decode, 10);
        answerStop(harness, 1'320, stop, 200, "k9");
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d2"));
        CPPUNIT_ASSERT_EQUAL(text("k9"), second.handle);
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against the same if the path to the engine is lost meanwhile.
    void lostPathDuringAStopCausesNoOther()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        harness.reduce(1'500, StreamSilent {run.decode.call, 10});
        endCheck(harness, 1'510, harness.nextCall(CallKind::Probe), EngineCheck::Relayed, 10);
        CPPUNIT_ASSERT(!harness.hasCalls());
        answerStop(harness, 1'520, stop, 200, "k9");
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d3"));
        CPPUNIT_ASSERT_EQUAL(text("k9"), second.handle);
    }

    // Guards against a whole stream that is cut, since its leaving engine was gone before the stop.
    void streamThatEndedBeforeItsEngineIsComplete()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        closeStream(harness, 1'310, run.decode, 40);
        harness.refuse(1'312, stop);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
    }

    // Guards against a stop of the run at its first engine that is taken for one at the next.
    void lateAnswerToAnEarlierStopChangesNothing()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        harness.reduce(1'500, StreamSilent {run.decode.call, 10});
        endCheck(harness, 1'510, harness.nextCall(CallKind::Probe), EngineCheck::Refused, 10);
        const StartCall second = harness.nextCall(CallKind::Decode);
        assertContinuesAtBackup(second);
        harness.reduce(1'550, StreamStarted {second.call, 200, {}});
        answerStop(harness, 1'560, stop, 200, "k9");
        CPPUNIT_ASSERT(harness.nextCall(CallKind::FreeHandle).server == ServerName("d1"));
        CPPUNIT_ASSERT(!harness.wasAbandoned(second));
        closeStream(harness, 3'000, second, 40);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
    }

    // Guards against a request to an engine that leaves, long after it has said so.
    void runWithoutATargetDoesNotGoOnAtALeavingEngine()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness, "stream", "");
        announceLeaving(harness);
        breakStream(harness, 1'302, run.decode, 10);
        refuseTarget(harness, 1'305);
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against streams that are cut since they were once asked to stop and were not.
    void closeAfterAStopThatWasNotExecutedIsComplete()
    {
        for (const int status : {0, 404, 429, 503}) {
            DispatcherHarness harness;
            useEngines(harness);
            const Run run = startRun(harness);
            announceLeaving(harness);
            const StartCall stop = grantTarget(harness, 1'305, "d3");
            if (status == 0) {
                harness.refuse(1'320, stop);
            } else if (status == 404) {
                answerStop(harness, 1'320, stop, status);
            } else {
                harness.end(1'320, stop, CallEnd::NotExecuted, status);
            }
            closeStream(harness, 1'900, run.decode, 40);
            CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
        }
    }

    // Guards against a part of a stream that ends as complete, since an answer that says nothing of
    // the run was taken for a proof that its engine had not stopped it.
    void closeAfterAnAnswerWithoutAHandleIsInDoubt()
    {
        for (const int status : {400, 409, 500, 503}) {
            for (const bool isClosedFirst : {false, true}) {
                DispatcherHarness harness;
                useEngines(harness, false, true);
                const Run run = startRun(harness, "stream", "");
                announceLeaving(harness);
                const StartCall stop = grantTarget(harness, 1'305, "d3");
                if (isClosedFirst) {
                    closeStream(harness, 1'310, run.decode, 10);
                }
                answerStop(harness, 1'320, stop, status);
                if (!isClosedFirst) {
                    harness.nextSchedulerMessage<ClaimEnded>();
                    closeStream(harness, 1'420, run.decode, 10);
                    answerStop(harness, 1'425, grantTarget(harness, 1'422, "d3"), status);
                }
                CPPUNIT_ASSERT_EQUAL(text(isClosedFirst ? "open" : "cut"),
                                     harness.outcome(run.request));
                if (isClosedFirst) {
                    answerStop(harness, 1'330, harness.nextCall(CallKind::StopRun), 503, "k9");
                    const StartCall second = harness.nextCall(CallKind::Decode);
                    CPPUNIT_ASSERT_EQUAL(text("k9"), second.handle);
                    CPPUNIT_ASSERT(second.isResumption);
                }
            }
        }
    }

    // Guards against the same from an engine whose process has been replaced.
    void closeByAReplacedEngineIsInDoubt()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        answerStop(harness, 1'320, grantTarget(harness, 1'305, "d3"), 421);
        closeStream(harness, 1'420, run.decode, 10);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
        answerStop(harness, 1'425, harness.nextCall(CallKind::StopRun), 421);
        assertContinuesAtBackup(harness.nextCall(CallKind::Decode));
    }

    // Guards against the same from an engine that has started again under its id: the newer life
    // takes the stop, and knows no run of the older one, whose end has closed the stream.
    void closeByAnEngineThatStartedAgainUnderItsIdIsInDoubt()
    {
        DispatcherHarness harness;
        useEngines(harness);
        AnnouncedServer engine = *harness.dispatcher().servers().find(ServerName("d1"));
        engine.instance = "d1";
        harness.dispatcher().announce(engine);
        const Run run = startRun(harness);
        engine.isDraining = true;
        harness.dispatcher().announce(engine);
        harness.reduce(1'300, TimePassed {});
        const StartCall stop = grantTarget(harness, 1'305, "d3");
        closeStream(harness, 1'310, run.decode, 10);
        engine.name = ServerName("d1 again");
        engine.isDraining = false;
        harness.dispatcher().announce(engine);
        harness.reduce(1'315, TimePassed {});
        answerStop(harness, 1'320, stop, 404);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
        assertContinuesAtBackup(harness.nextCall(CallKind::Decode));
    }

    // Guards against the same where the run goes on at the engine whose first stop is not settled.
    void unsettledStopOutlastsAContinuationAtItsEngine()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        answerStop(harness, 1'320, grantTarget(harness, 1'305, "d3"), 500);
        closeStream(harness, 1'420, run.decode, 10);
        answerStop(harness, 1'425, harness.nextCall(CallKind::StopRun), 503, "k9");
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d1"));
        harness.reduce(1'450, StreamStarted {second.call, 200, {}});
        closeStream(harness, 1'600, second, 20);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
    }

    // Guards against a second claim, or a lost run, while the scheduler is being asked for a
    // target.
    void leavingEngineThatLosesTheConnectionWaitsForTheTarget()
    {
        DispatcherHarness harness;
        useEngines(harness, false, true);
        const Run run = startRun(harness, "stream", "");
        announceLeaving(harness);
        breakStream(harness, 1'302, run.decode, 10);
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
        answerStop(harness, 1'340, grantTarget(harness, 1'305, "d3"), 200, "k9");
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Decode).server == ServerName("d3"));
    }

    // The run has stopped although it was not moved; its KV cache is still at its engine.
    void targetWithoutRoomKeepsTheRunAtItsEngine()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        answerStop(harness, 1'340, grantTarget(harness, 1'305, "d3"), 503, "k9");
        CPPUNIT_ASSERT(harness.wasAbandoned(run.decode));
        const StartCall second = harness.nextCall(CallKind::Decode);
        CPPUNIT_ASSERT(second.server == ServerName("d1"));
        // The count of forwarded events may be older than the stream; a restart from the first
        // event would repeat events to the caller.
        CPPUNIT_ASSERT(second.isResumption);
        const auto ended = harness.nextSchedulerMessage<ClaimEnded>();
        CPPUNIT_ASSERT(ended.claim != run.claim);
        CPPUNIT_ASSERT(ended.outcome == ClaimOutcome::OutOfMemory);
    }

    // The scheduler would keep memory for a run that has ended.
    void disconnectDuringAClaimForATargetEndsIt()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        announceLeaving(harness);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        harness.reduce(1'310, CallerLeft {run.request});
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().claim == run.claim);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().claim == claim.claim);
        // A grant that arrives late is returned.
        const ClaimGranted grant {claim.claim, ServerName("d3"), {}, std::nullopt};
        harness.reduce(1'320, SchedulerAnswered {grant, Life});
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().claim == claim.claim);
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Without a scheduler there is no target, but the run must go on while its engine does.
    void silentSchedulerLeavesTheRunAtItsLeavingEngine()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.addServer("d1", EnginePhase::Decode, true);
        harness.advance(1'300, 1'900);
        CPPUNIT_ASSERT(!harness.wasAbandoned(run.decode));
        CPPUNIT_ASSERT(!harness.hasCalls());
        harness.end(2'500, run.decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(text("streamed"), harness.outcome(run.request));
    }

    // A continued run must not hide the crash, which is counted against the content.
    void crashOfAnEngineIsStillDetected()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        harness.loseConnection(1'000, run.decode);
        const StartCall probe = harness.nextServerProbe();
        const StartCall stop = harness.nextCall(CallKind::StopRun);
        harness.end(1'002, probe, CallEnd::NotConnected);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.takeCrashNotes().size());
        harness.refuse(1'002, stop);
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Decode).server == ServerName("d2"));
    }

    // A handle that arrives after the request has timed out occupies memory at both engines.
    void timeoutDuringAMoveReleasesAll()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Run run = startRun(harness);
        breakStream(harness, 13'900, run.decode, 20);
        const StartCall stop = harness.nextCall(CallKind::StopRun);
        harness.reduce(14'200, TimePassed {});
        CPPUNIT_ASSERT_EQUAL(text("cut"), harness.outcome(run.request));
        answerStop(harness, 14'250, stop, 200, "k9");
        CPPUNIT_ASSERT_EQUAL(text("k9"), harness.nextCall(CallKind::FreeHandle).handle);
    }

    // Engines without moves do not know the calls of a move.
    void nothingIsMovedWithoutTheSetting()
    {
        DispatcherHarness harness;
        useEngines(harness, true, false);
        const Run run = startRun(harness);
        CPPUNIT_ASSERT_EQUAL(0U, run.decode.progressEvents);
        harness.addServer("d1", EnginePhase::Decode, true);
        harness.advance(1'000, 2'000);
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against a run whose events come from two software versions.
    void continuesOnlyAtItsVersion()
    {
        DispatcherHarness harness;
        useEngines(harness);
        harness.addServer("d2", EnginePhase::Decode, false, "v2");
        harness.addServer("d3", EnginePhase::Decode, false, "v2");
        const Run run = startRun(harness);
        CPPUNIT_ASSERT_EQUAL(text(""), run.decode.backupAddress);
        harness.addServer("d1", EnginePhase::Decode, true);
        harness.advance(500, 700);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(claim.version == text("v1"));
        const ClaimGranted grant {claim.claim, ServerName("d3"), {}, std::nullopt};
        harness.reduce(705, SchedulerAnswered {grant, Life});
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(text("open"), harness.outcome(run.request));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunContinuationTest);
