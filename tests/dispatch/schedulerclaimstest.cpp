#include "dispatch/dispatchplay.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace indigoway::scheduling;

namespace {

constexpr std::uint32_t Prompt = 5'000;
const Incarnation Life(1);

/** Two engines of each phase, and a node that schedules them. */
void useScheduler(DispatchPlay &play)
{
    play.useRoutes();
    for (const char *name : {"d1", "d2"}) {
        play.addServer(name, EnginePhase::Decode);
    }
    for (const char *name : {"p1", "p2"}) {
        play.addServer(name, EnginePhase::Prefill);
    }
    play.dispatcher().setScheduler(NodeName("scheduler"));
}

ClaimGranted grantOf(const Claim &claim, const char *decode, const char *prefill)
{
    return {claim.claim, ServerName(decode), ServerName(prefill), std::nullopt};
}

} // namespace

class SchedulerClaimsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerClaimsTest);
    CPPUNIT_TEST(usesTheEnginesThatAreGranted);
    CPPUNIT_TEST(readsWholeWhereTheSchedulerSaysSo);
    CPPUNIT_TEST(repeatsAClaimThatIsNotAnswered);
    CPPUNIT_TEST(choosesByItselfWhenTheSchedulerIsSilent);
    CPPUNIT_TEST(aRefusalIsPassedOnAtOnce);
    CPPUNIT_TEST(tellsANewSchedulerWhatIsHeld);
    CPPUNIT_TEST(tellsANewSchedulerBeforeTheNextClaim);
    CPPUNIT_TEST(givesBackAGrantThatComesTooLate);
    CPPUNIT_TEST(claimsAgainWhenTheEngineRefuses);
    CPPUNIT_TEST(aLostReservationIsNoDeadEngine);
    CPPUNIT_TEST(callersWhoComeBackAreToldApart);
    CPPUNIT_TEST_SUITE_END();

public:
    void usesTheEnginesThatAreGranted()
    {
        DispatchPlay play;
        useScheduler(play);
        const auto request = play.arrive(0, "stream", Prompt);
        const auto claim = play.told<Claim>();
        CPPUNIT_ASSERT(!play.hasCalls());
        play.reduce(5, SchedulerAnswered {grantOf(claim, "d2", "p2"), Life});
        const StartCall reserve = play.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT(reserve.server == ServerName("d2"));
        play.grant(8, reserve);
        const StartCall prefill = play.nextCall(CallKind::Prefill);
        CPPUNIT_ASSERT(prefill.server == ServerName("p2"));
        play.grant(150, prefill);
        CPPUNIT_ASSERT(play.told<PrefillEnded>().isDone);
        const StartCall decode = play.nextCall(CallKind::Decode);
        play.reduce(180, StreamBegan {decode.call, 200, {}});
        play.end(3'000, decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT(play.told<ClaimEnded>().outcome == ClaimOutcome::Served);
        CPPUNIT_ASSERT_EQUAL(std::string("streamed"), play.outcome(request));
    }

    void readsWholeWhereTheSchedulerSaysSo()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        ClaimGranted granted = grantOf(play.told<Claim>(), "d2", "");
        granted.prefillsLocally = true;
        play.reduce(5, SchedulerAnswered {granted, Life});
        const StartCall reserve = play.nextCall(CallKind::Reserve);
        // Its answer says that there is no room after all; the next engine is not to read whole.
        play.end(8, reserve, CallEnd::NotExecuted, 503);
        play.told<ClaimEnded>();
        play.reduce(10, SchedulerAnswered {grantOf(play.told<Claim>(), "d1", "p1"), Life});
        play.grant(12, play.nextCall(CallKind::Reserve));
        play.nextCall(CallKind::Prefill);
    }

    void repeatsAClaimThatIsNotAnswered()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        const auto first = play.told<Claim>();
        play.wait(10, 100);
        const auto second = play.told<Claim>();
        CPPUNIT_ASSERT(first.claim == second.claim);
        CPPUNIT_ASSERT(second.timeToTarget < first.timeToTarget);
    }

    // The node that schedules is frozen, or the way to it is cut. Its callers' requests must not
    // wait for it: within a third of a second this node reserves by itself.
    void choosesByItselfWhenTheSchedulerIsSilent()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        play.wait(10, 330);
        play.grant(330, play.nextCall(CallKind::Reserve));
        CPPUNIT_ASSERT(play.nextCall(CallKind::Prefill).server.text().starts_with("p"));
        play.arrive(400, "stream", Prompt);
        CPPUNIT_ASSERT(play.hasCalls());
    }

    void aRefusalIsPassedOnAtOnce()
    {
        DispatchPlay play;
        useScheduler(play);
        const auto request = play.arrive(0, "stream", Prompt);
        const auto claim = play.told<Claim>();
        play.reduce(5, SchedulerAnswered {ClaimRefused {claim.claim, 40, {}}, Life});
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), play.outcome(request));
    }

    // The scheduler dies while a stream runs, and another node takes over. It is told of the
    // memory that the stream holds, or it would give it to somebody else.
    void tellsANewSchedulerWhatIsHeld()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        const auto claim = play.told<Claim>();
        play.reduce(5, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        play.grant(8, play.nextCall(CallKind::Reserve));
        play.dispatcher().setScheduler(NodeName("another"));
        play.arrive(100, "stream", Prompt);
        CPPUNIT_ASSERT(play.told<ReservationReport>().claim == claim.claim);
        const auto second = play.told<Claim>();
        // That datagram may have been lost; the new life's first answer has it told again.
        play.reduce(105, SchedulerAnswered {ClaimQueued {second.claim}, Incarnation(2)});
        const auto held = play.told<ReservationReport>();
        CPPUNIT_ASSERT(held.claim == claim.claim);
        CPPUNIT_ASSERT(held.decodeServer == ServerName("d1"));
    }

    // The scheduler dies, and another node takes over. With two hundred nodes each has a request
    // every few seconds. If they told what they hold only then, the new scheduler would give out
    // memory in use meanwhile: engines refuse, and callers wait for nothing.
    void tellsANewSchedulerBeforeTheNextClaim()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        const auto claim = play.told<Claim>();
        play.reduce(5, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        play.grant(8, play.nextCall(CallKind::Reserve));
        play.dispatcher().setScheduler(NodeName("another"));
        play.reduce(250, TimePassed {});
        const auto held = play.told<ReservationReport>();
        CPPUNIT_ASSERT(held.claim == claim.claim);
        CPPUNIT_ASSERT(held.decodeServer == ServerName("d1"));
    }

    // The caller leaves, and the grant crosses its withdrawal. Room that nobody uses must not
    // stay granted.
    void givesBackAGrantThatComesTooLate()
    {
        DispatchPlay play;
        useScheduler(play);
        const auto request = play.arrive(0, "stream", Prompt);
        const auto claim = play.told<Claim>();
        play.reduce(10, CallerLeft {request});
        CPPUNIT_ASSERT(play.told<ClaimEnded>().outcome == ClaimOutcome::Cancelled);
        play.reduce(12, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        CPPUNIT_ASSERT(play.told<ClaimEnded>().claim == claim.claim);
        CPPUNIT_ASSERT(!play.hasCalls());
    }

    void claimsAgainWhenTheEngineRefuses()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        const auto claim = play.told<Claim>();
        play.reduce(5, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        play.end(8, play.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503);
        CPPUNIT_ASSERT(play.told<ClaimEnded>().outcome == ClaimOutcome::OutOfMemory);
        CPPUNIT_ASSERT(play.told<Claim>().claim != claim.claim);
    }

    // An engine promises room, and its answer is lost on the way. It is well: taken for dead at the
    // first such loss, engines that lose a third of their answers are nearly all left out, and
    // callers are refused while the engines' memory lies free.
    void aLostReservationIsNoDeadEngine()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        const auto claim = play.told<Claim>();
        play.reduce(5, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        play.end(8, play.nextCall(CallKind::Reserve), CallEnd::Broken);
        CPPUNIT_ASSERT(play.told<ClaimEnded>().outcome == ClaimOutcome::EngineFailed);
        const auto second = play.told<Claim>();
        play.reduce(15, SchedulerAnswered {grantOf(second, "d2", "p1"), Life});
        play.end(18, play.nextCall(CallKind::Reserve), CallEnd::NotConnected);
        CPPUNIT_ASSERT(play.told<ClaimEnded>().outcome == ClaimOutcome::Unreachable);
    }

    // Callers hand on what is left of their patience. One who has clearly less than the others
    // was turned away before, and those who can still be served in time go first.
    void callersWhoComeBackAreToldApart()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        CPPUNIT_ASSERT(play.told<Claim>().urgency == Urgency::FirstAttempt);
        play.arrive(10, "stream", Prompt, std::chrono::seconds(10));
        CPPUNIT_ASSERT(play.told<Claim>().urgency == Urgency::Retried);
        play.arrive(20, "stream", Prompt, std::chrono::seconds(12));
        CPPUNIT_ASSERT(play.told<Claim>().urgency == Urgency::FirstAttempt);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerClaimsTest);
