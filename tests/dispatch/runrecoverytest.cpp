#include "dispatch/runrecovery.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace indigoway;
using namespace indigoway::dispatch;
using Kind = RecoveryStep::Kind;

namespace {

EngineTraits traitsOf(bool keepsBackups, bool movesRuns)
{
    EngineTraits traits;
    traits.handleKept = std::chrono::milliseconds(500);
    traits.keepsBackups = keepsBackups;
    traits.movesRuns = movesRuns;
    return traits;
}

RunState runWithBackup()
{
    RunState run;
    run.hasBackup = true;
    run.events = 20;
    run.timeLeft = std::chrono::seconds(5);
    return run;
}

CallEnded answerOf(int status, const std::string &handle)
{
    CallEnded ended;
    ended.end = CallEnd::Complete;
    ended.status = status;
    ended.handle = handle;
    return ended;
}

} // namespace

class RunRecoveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunRecoveryTest);
    CPPUNIT_TEST(readsTheAnswerToAStop);
    CPPUNIT_TEST(onlyAStatementSettlesAStop);
    CPPUNIT_TEST(asksAgainForTheHandleOfARunWhoseStreamIsClosed);
    CPPUNIT_TEST(stopsARunWhoseConnectionBroke);
    CPPUNIT_TEST(continuesOnlyWhereTheRunIsOver);
    CPPUNIT_TEST(asksAgainAfterALostAnswer);
    CPPUNIT_TEST(silenceLimitLeavesTimeToReachTheCopy);
    CPPUNIT_TEST(asksTheEngineOfASilentStream);
    CPPUNIT_TEST(movesASilentRunOffALostPath);
    CPPUNIT_TEST(doesNotContinueWithoutTime);
    CPPUNIT_TEST(doesNotContinueBeforeTheFirstEvent);
    CPPUNIT_TEST(limitsContinuations);
    CPPUNIT_TEST_SUITE_END();

public:
    // A misread answer would start a run that is still being executed, or give up one that is over.
    void readsTheAnswerToAStop()
    {
        CallEnded lost;
        lost.end = CallEnd::NotConnected;
        CPPUNIT_ASSERT(stopResultOf(lost) == StopResult::Unreachable);
        lost.isRefused = true;
        CPPUNIT_ASSERT(stopResultOf(lost) == StopResult::Refused);
        lost.isRefused = false;
        lost.end = CallEnd::NoPath;
        CPPUNIT_ASSERT(stopResultOf(lost) == StopResult::Unreachable);
        lost.end = CallEnd::Broken;
        CPPUNIT_ASSERT(stopResultOf(lost) == StopResult::Unknown);
        CPPUNIT_ASSERT(stopResultOf(answerOf(200, "h")) == StopResult::Moved);
        CPPUNIT_ASSERT(stopResultOf(answerOf(200, "")) == StopResult::Unknown);
        CPPUNIT_ASSERT(stopResultOf(answerOf(404, "")) == StopResult::NoSuchRun);
        CPPUNIT_ASSERT(stopResultOf(answerOf(409, "")) == StopResult::NoHandle);
        CPPUNIT_ASSERT(stopResultOf(answerOf(421, "")) == StopResult::OtherInstance);
        CPPUNIT_ASSERT(stopResultOf(answerOf(503, "h")) == StopResult::NotMoved);
        CPPUNIT_ASSERT(stopResultOf(answerOf(503, "")) == StopResult::NoHandle);
        CPPUNIT_ASSERT(stopResultOf(answerOf(500, "")) == StopResult::NoHandle);
        for (const int status : {400, 429, 503}) {
            CallEnded refusal = answerOf(status, "");
            refusal.end = CallEnd::NotExecuted;
            CPPUNIT_ASSERT(stopResultOf(refusal) == StopResult::NotExecuted);
        }
    }

    // Guards against an answer that says nothing of the run and is taken for a proof that its
    // engine has not stopped it.
    void onlyAStatementSettlesAStop()
    {
        for (const StopResult settled :
             {StopResult::Unreachable, StopResult::Refused, StopResult::OtherInstance,
              StopResult::NoSuchRun, StopResult::NotExecuted, StopResult::Moved,
              StopResult::NotMoved}) {
            CPPUNIT_ASSERT(isSettledBy(settled));
        }
        CPPUNIT_ASSERT(!isSettledBy(StopResult::NoHandle));
        CPPUNIT_ASSERT(!isSettledBy(StopResult::Unknown));
    }

    // Guards against a stream that is cut though its engine would name the handle of the run.
    void asksAgainForTheHandleOfARunWhoseStreamIsClosed()
    {
        const EngineTraits traits = traitsOf(true, true);
        RunState run = runWithBackup();
        run.isClosedInDoubt = true;
        run.stopRequests = 1;
        CPPUNIT_ASSERT(RunRecovery(traits).stopEnded(run, StopResult::NoHandle).kind
                       == Kind::StopRun);
        run.stopRequests = 2;
        CPPUNIT_ASSERT(RunRecovery(traits).stopEnded(run, StopResult::NoHandle).kind
                       == Kind::GiveUp);
    }

    // Continuing while the first engine still executes the run would execute it twice.
    void stopsARunWhoseConnectionBroke()
    {
        const EngineTraits both = traitsOf(true, true);
        CPPUNIT_ASSERT(RunRecovery(both).connectionLost(runWithBackup()).kind == Kind::StopRun);
        const EngineTraits backups = traitsOf(true, false);
        CPPUNIT_ASSERT(RunRecovery(backups).connectionLost(runWithBackup()).kind
                       == Kind::AskEngine);
        RunState alone = runWithBackup();
        alone.hasBackup = false;
        CPPUNIT_ASSERT(RunRecovery(both).connectionLost(alone).kind == Kind::StopRun);
        CPPUNIT_ASSERT(RunRecovery(backups).connectionLost(alone).kind == Kind::GiveUp);
        alone.mayRequestTarget = true;
        CPPUNIT_ASSERT(RunRecovery(both).connectionLost(alone).kind == Kind::RequestTarget);
        CPPUNIT_ASSERT(RunRecovery(both).targetDecided(alone).kind == Kind::StopRun);
    }

    // Continuing a run that its engine may still execute would execute it twice.
    void continuesOnlyWhereTheRunIsOver()
    {
        const EngineTraits traits = traitsOf(true, true);
        const RunRecovery recovery(traits);
        const RunState run = runWithBackup();
        RunState alone = run;
        alone.hasBackup = false;
        for (const StopResult over :
             {StopResult::Refused, StopResult::OtherInstance, StopResult::NoSuchRun}) {
            CPPUNIT_ASSERT(recovery.stopEnded(run, over).kind == Kind::ContinueAtBackup);
            CPPUNIT_ASSERT(recovery.stopEnded(alone, over).kind == Kind::GiveUp);
        }
        CPPUNIT_ASSERT(recovery.stopEnded(run, StopResult::Moved).kind == Kind::ContinueAtTarget);
        CPPUNIT_ASSERT(recovery.stopEnded(run, StopResult::NotMoved).kind
                       == Kind::ContinueAtEngine);
        CPPUNIT_ASSERT(recovery.stopEnded(run, StopResult::NoHandle).kind == Kind::GiveUp);
    }

    // After a lost answer it is unknown whether the run is over; only a second answer can tell.
    void asksAgainAfterALostAnswer()
    {
        const EngineTraits traits = traitsOf(true, true);
        RunState run = runWithBackup();
        for (const StopResult open : {StopResult::Unknown, StopResult::Unreachable}) {
            run.stopRequests = 1;
            CPPUNIT_ASSERT(RunRecovery(traits).stopEnded(run, open).kind == Kind::StopRun);
            run.stopRequests = 2;
            CPPUNIT_ASSERT(RunRecovery(traits).stopEnded(run, open).kind == Kind::GiveUp);
        }
    }

    // A copy lives for the handle lifetime after its last part. A later continuation finds none.
    void silenceLimitLeavesTimeToReachTheCopy()
    {
        EngineTraits traits = traitsOf(true, true);
        const auto limit = RunRecovery(traits).silenceLimit(true);
        CPPUNIT_ASSERT(limit.has_value());
        CPPUNIT_ASSERT(*limit + EngineAnswerLimit < traits.handleKept);
        CPPUNIT_ASSERT(*limit >= std::chrono::milliseconds(150));
        traits.handleKept = std::chrono::milliseconds(200);
        CPPUNIT_ASSERT(!RunRecovery(traits).silenceLimit(true));
        traits.handleKept = std::chrono::minutes(1);
        CPPUNIT_ASSERT(*RunRecovery(traits).silenceLimit(true) <= std::chrono::milliseconds(500));
        const EngineTraits noBackups = traitsOf(false, true);
        CPPUNIT_ASSERT(RunRecovery(noBackups).silenceLimit(false).has_value());
        const EngineTraits neither = traitsOf(false, false);
        for (const bool hasBackup : {true, false}) {
            CPPUNIT_ASSERT(!RunRecovery(neither).silenceLimit(hasBackup));
        }
    }

    // An engine that only pauses must keep its run.
    void asksTheEngineOfASilentStream()
    {
        const EngineTraits traits = traitsOf(true, true);
        const RunRecovery recovery(traits);
        const RunState run = runWithBackup();
        CPPUNIT_ASSERT(recovery.streamSilent(run).kind == Kind::AskEngine);
        for (const EngineCheck silent : {EngineCheck::Connected, EngineCheck::NoAnswer}) {
            CPPUNIT_ASSERT(recovery.engineAsked(run, silent, true).kind == Kind::Wait);
            CPPUNIT_ASSERT(recovery.engineAsked(run, silent, false).kind == Kind::GiveUp);
        }
        CPPUNIT_ASSERT(recovery.engineAsked(run, EngineCheck::Relayed, true).kind == Kind::StopRun);
        CPPUNIT_ASSERT(recovery.engineAsked(run, EngineCheck::Refused, true).kind
                       == Kind::ContinueAtBackup);
        RunState alone = run;
        alone.hasBackup = false;
        CPPUNIT_ASSERT(recovery.streamSilent(alone).kind == Kind::Wait);
    }

    // Without a backup, a stream on a lost path would hang until its caller gives up.
    void movesASilentRunOffALostPath()
    {
        const EngineTraits traits = traitsOf(true, true);
        RunState run = runWithBackup();
        run.hasBackup = false;
        run.mayRequestTarget = true;
        CPPUNIT_ASSERT(RunRecovery(traits).streamSilent(run, true).kind == Kind::RequestTarget);
        CPPUNIT_ASSERT(RunRecovery(traits).streamSilent(run, false).kind == Kind::Wait);
        const EngineTraits noMoves = traitsOf(true, false);
        CPPUNIT_ASSERT(RunRecovery(noMoves).streamSilent(run, true).kind == Kind::Wait);
    }

    // Guards against work on a run whose caller no longer waits.
    void doesNotContinueWithoutTime()
    {
        const EngineTraits traits = traitsOf(true, true);
        RunState run = runWithBackup();
        run.timeLeft = Duration(0);
        CPPUNIT_ASSERT(RunRecovery(traits).connectionLost(run).kind == Kind::GiveUp);
        CPPUNIT_ASSERT(RunRecovery(traits).stopEnded(run, StopResult::Refused).kind
                       == Kind::GiveUp);
        CPPUNIT_ASSERT(RunRecovery(traits).streamSilent(run).kind == Kind::Wait);
    }

    // A continuation names the last event; without one it would be a second run of the request.
    void doesNotContinueBeforeTheFirstEvent()
    {
        const EngineTraits traits = traitsOf(true, true);
        RunState run = runWithBackup();
        run.events = 0;
        run.mayRequestTarget = true;
        CPPUNIT_ASSERT(RunRecovery(traits).connectionLost(run).kind == Kind::GiveUp);
        CPPUNIT_ASSERT(RunRecovery(traits).streamSilent(run).kind == Kind::Wait);
        CPPUNIT_ASSERT(RunRecovery(traits).engineLeaving(run, Duration(0)).kind == Kind::Wait);
    }

    // A run whose connection breaks at every engine must end.
    void limitsContinuations()
    {
        const EngineTraits traits = traitsOf(true, true);
        RunState run = runWithBackup();
        run.continuations = 3;
        CPPUNIT_ASSERT(RunRecovery(traits).connectionLost(run).kind == Kind::GiveUp);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunRecoveryTest);
