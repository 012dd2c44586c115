#include "dispatch/dispatchplay.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace indigoway::scheduling;

namespace {

constexpr std::uint32_t Prompt = 5'000;
const Incarnation Life(1);

/** Sets up two engines of each phase and a scheduler node. */
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
        CPPUNIT_ASSERT(play.told<ClaimEnded>().end == ClaimEnd::Served);
        CPPUNIT_ASSERT_EQUAL(std::string("streamed"), play.outcome(request));
    }

    void readsWholeWhereTheSchedulerSaysSo()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        ClaimGranted granted = grantOf(play.told<Claim>(), "d2", "");
        granted.readsWhole = true;
        play.reduce(5, SchedulerAnswered {granted, Life});
        const StartCall reserve = play.nextCall(CallKind::Reserve);
        // The engine refuses; the prefill on the decode engine does not apply to the next grant.
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
        CPPUNIT_ASSERT(second.untilTarget < first.untilTarget);
    }

    // The scheduler does not answer. After about 300 ms the node must reserve engines itself.
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

    // A new scheduler must learn of the memory that open streams hold.
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
        CPPUNIT_ASSERT(play.told<RoomHeld>().claim == claim.claim);
        const auto second = play.told<Claim>();
        // The first report may be lost, so the first answer of a new incarnation triggers another
        // one.
        play.reduce(105, SchedulerAnswered {ClaimQueued {second.claim}, Incarnation(2)});
        const auto held = play.told<RoomHeld>();
        CPPUNIT_ASSERT(held.claim == claim.claim);
        CPPUNIT_ASSERT(held.decodeServer == ServerName("d1"));
    }

    // The reservations must be reported without waiting for the next claim, or the new scheduler
    // would grant memory in use.
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
        const auto held = play.told<RoomHeld>();
        CPPUNIT_ASSERT(held.claim == claim.claim);
        CPPUNIT_ASSERT(held.decodeServer == ServerName("d1"));
    }

    // The caller disconnects before the grant arrives. The granted capacity must be released.
    void givesBackAGrantThatComesTooLate()
    {
        DispatchPlay play;
        useScheduler(play);
        const auto request = play.arrive(0, "stream", Prompt);
        const auto claim = play.told<Claim>();
        play.reduce(10, CallerLeft {request});
        CPPUNIT_ASSERT(play.told<ClaimEnded>().end == ClaimEnd::Dropped);
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
        CPPUNIT_ASSERT(play.told<ClaimEnded>().end == ClaimEnd::HadNoRoom);
        CPPUNIT_ASSERT(play.told<Claim>().claim != claim.claim);
    }

    // The answer to a reservation is lost. The engine must not count as unreachable.
    void aLostReservationIsNoDeadEngine()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        const auto claim = play.told<Claim>();
        play.reduce(5, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        play.end(8, play.nextCall(CallKind::Reserve), CallEnd::Broken);
        CPPUNIT_ASSERT(play.told<ClaimEnded>().end == ClaimEnd::EngineFailed);
        const auto second = play.told<Claim>();
        play.reduce(15, SchedulerAnswered {grantOf(second, "d2", "p1"), Life});
        play.end(18, play.nextCall(CallKind::Reserve), CallEnd::NotConnected);
        CPPUNIT_ASSERT(play.told<ClaimEnded>().end == ClaimEnd::Unreachable);
    }

    // Callers with clearly less time left than others of the route are retries.
    void callersWhoComeBackAreToldApart()
    {
        DispatchPlay play;
        useScheduler(play);
        play.arrive(0, "stream", Prompt);
        CPPUNIT_ASSERT(play.told<Claim>().urgency == Urgency::Fresh);
        play.arrive(10, "stream", Prompt, std::chrono::seconds(10));
        CPPUNIT_ASSERT(play.told<Claim>().urgency == Urgency::ComingBack);
        play.arrive(20, "stream", Prompt, std::chrono::seconds(12));
        CPPUNIT_ASSERT(play.told<Claim>().urgency == Urgency::Fresh);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerClaimsTest);
