#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace indigoway::scheduling;

namespace {

constexpr std::uint32_t Prompt = 5'000;
const Incarnation Life(1);

/** Sets up two engines of each phase and a scheduler node. */
void useScheduler(DispatcherHarness &harness)
{
    harness.useRoutes();
    for (const char *name : {"d1", "d2"}) {
        harness.addServer(name, EnginePhase::Decode);
    }
    for (const char *name : {"p1", "p2"}) {
        harness.addServer(name, EnginePhase::Prefill);
    }
    harness.dispatcher().setScheduler(NodeName("scheduler"));
}

ClaimGranted grantOf(const Claim &claim, const char *decode, const char *prefill)
{
    return {claim.claim, ServerName(decode), ServerName(prefill), std::nullopt};
}

using Servers = std::vector<ServerName>;

/**
 * Sends a request whose reservation at @p engine is refused 3 ms later with a pause.
 * @return The claim that follows.
 */
Claim claimAfterPause(DispatcherHarness &harness, int milliseconds, const char *engine,
                      int pauseMilliseconds)
{
    harness.arrive(milliseconds, "stream", Prompt);
    const auto first = harness.nextSchedulerMessage<Claim>();
    harness.reduce(milliseconds + 2, SchedulerAnswered {grantOf(first, engine, "p1"), Life});
    harness.end(milliseconds + 3, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503,
                ServerAdvice {.pause = std::chrono::milliseconds(pauseMilliseconds)});
    harness.nextSchedulerMessage<ClaimEnded>();
    return harness.nextSchedulerMessage<Claim>();
}

void queue(DispatcherHarness &harness, int milliseconds, const Claim &claim)
{
    harness.reduce(milliseconds, SchedulerAnswered {ClaimQueued {claim.claim}, Life});
}

} // namespace

class SchedulerClaimsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerClaimsTest);
    CPPUNIT_TEST(asksForBackupsWhereTheServiceKeepsThem);
    CPPUNIT_TEST(usesTheGrantedEngines);
    CPPUNIT_TEST(prefillsOnDecodeEngineIfGranted);
    CPPUNIT_TEST(repeatsAnUnansweredClaim);
    CPPUNIT_TEST(unansweredClaimLeavesOutAPauseThatHasEnded);
    CPPUNIT_TEST(queuedClaimNamesAPauseThatHasBegun);
    CPPUNIT_TEST(queuedClaimIsRepeatedWhenAPauseEnds);
    CPPUNIT_TEST(pausesThatEndTogetherCauseOneRepetition);
    CPPUNIT_TEST(repeatedClaimKeepsTheEnginesThatFailed);
    CPPUNIT_TEST(choosesEnginesWithoutTheScheduler);
    CPPUNIT_TEST(refusedClaimRejectsTheRequest);
    CPPUNIT_TEST(reportsReservationsToANewScheduler);
    CPPUNIT_TEST(reportsReservationsBeforeTheNextClaim);
    CPPUNIT_TEST(releasesALateGrant);
    CPPUNIT_TEST(claimsAgainAfterARefusedReservation);
    CPPUNIT_TEST(lostReservationIsNotUnreachable);
    CPPUNIT_TEST(detectsRetriesOfCallers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against copies of runs on services whose engines don't keep any.
    void asksForBackupsWhereTheServiceKeepsThem()
    {
        for (const bool keepsBackups : {false, true}) {
            DispatcherHarness harness;
            useScheduler(harness);
            RoutingState state;
            state.version = 2;
            state.routes = {DispatcherHarness::streamRoute(false)};
            Service llm = *harness.dispatcher().routes()->service(ServiceName("llm"));
            llm.engine->keepsBackups = keepsBackups;
            state.services[llm.name] = llm;
            harness.dispatcher().setRoutes(std::make_shared<const RouteTable>(std::move(state)));
            harness.arrive(0, "stream", Prompt);
            const auto claim = harness.nextSchedulerMessage<Claim>();
            CPPUNIT_ASSERT_EQUAL(keepsBackups, claim.wantsBackup);
            CPPUNIT_ASSERT(claim.organisation.isEmpty());
        }
    }

    void usesTheGrantedEngines()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(!harness.hasCalls());
        harness.reduce(5, SchedulerAnswered {grantOf(claim, "d2", "p2"), Life});
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT(reserve.server == ServerName("d2"));
        harness.grant(8, reserve);
        const StartCall prefill = harness.nextCall(CallKind::Prefill);
        CPPUNIT_ASSERT(prefill.server == ServerName("p2"));
        harness.grant(150, prefill);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<PrefillEnded>().isDone);
        const StartCall decode = harness.nextCall(CallKind::Decode);
        harness.reduce(180, StreamStarted {decode.call, 200, {}});
        harness.end(3'000, decode, CallEnd::Complete, 200);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome == ClaimOutcome::Served);
        CPPUNIT_ASSERT_EQUAL(std::string("streamed"), harness.outcome(request));
    }

    void prefillsOnDecodeEngineIfGranted()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.arrive(0, "stream", Prompt);
        ClaimGranted granted = grantOf(harness.nextSchedulerMessage<Claim>(), "d2", "");
        granted.prefillsLocally = true;
        harness.reduce(5, SchedulerAnswered {granted, Life});
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        // The engine refuses; the prefill on the decode engine does not apply to the next grant.
        harness.end(8, reserve, CallEnd::NotExecuted, 503);
        harness.nextSchedulerMessage<ClaimEnded>();
        harness.reduce(
            10,
            SchedulerAnswered {grantOf(harness.nextSchedulerMessage<Claim>(), "d1", "p1"), Life});
        harness.grant(12, harness.nextCall(CallKind::Reserve));
        harness.nextCall(CallKind::Prefill);
    }

    void repeatsAnUnansweredClaim()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.arrive(0, "stream", Prompt);
        const auto first = harness.nextSchedulerMessage<Claim>();
        harness.advance(10, 100);
        const auto second = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(first.claim == second.claim);
        CPPUNIT_ASSERT(second.timeToTarget < first.timeToTarget);
    }

    // Guards against a claim that keeps naming an engine as unusable after its pause.
    void unansweredClaimLeavesOutAPauseThatHasEnded()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        const Claim claim = claimAfterPause(harness, 0, "d1", 50);
        CPPUNIT_ASSERT(claim.excludedServers == Servers {ServerName("d1")});
        harness.advance(10, 90);
        const auto repeated = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(repeated.claim == claim.claim);
        CPPUNIT_ASSERT(repeated.excludedServers.empty());
    }

    // Guards against the grant of an engine that has asked for a pause while the claim waits.
    void queuedClaimNamesAPauseThatHasBegun()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.arrive(0, "stream", Prompt);
        const auto waiting = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(waiting.excludedServers.empty());
        queue(harness, 2, waiting);
        queue(harness, 20, claimAfterPause(harness, 10, "d2", 3'000));
        harness.advance(30, 160);
        const auto repeated = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(repeated.claim == waiting.claim);
        CPPUNIT_ASSERT(repeated.excludedServers == Servers {ServerName("d2")});
    }

    // Guards against a claim that waits for the next interval, or for its refusal, although an
    // engine can be used.
    void queuedClaimIsRepeatedWhenAPauseEnds()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        const Claim claim = claimAfterPause(harness, 0, "d1", 100);
        queue(harness, 5, claim);
        harness.advance(10, 100);
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
        CPPUNIT_ASSERT(harness.dispatcher().nextDeadline() <= DispatcherHarness::at(103));
        harness.reduce(103, TimePassed {});
        const auto repeated = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(repeated.claim == claim.claim);
        CPPUNIT_ASSERT(repeated.excludedServers.empty());
    }

    // Guards against a datagram for each of many engines that become usable within milliseconds.
    void pausesThatEndTogetherCauseOneRepetition()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.addServer("d3", EnginePhase::Decode);
        queue(harness, 5, claimAfterPause(harness, 0, "d1", 105));
        const Claim claim = claimAfterPause(harness, 10, "d2", 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, claim.excludedServers.size());
        queue(harness, 15, claim);
        // The pauses end at 108 and 113 ms. Each of the two claims is repeated at the first end.
        for (int time = 100; time <= 113; ++time) {
            harness.reduce(time, TimePassed {});
        }
        for (int i = 0; i < 2; ++i) {
            queue(harness, 114, harness.nextSchedulerMessage<Claim>());
        }
        for (int time = 115; time < 139; ++time) {
            harness.reduce(time, TimePassed {});
        }
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
        harness.reduce(139, TimePassed {});
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<Claim>().excludedServers.empty());
    }

    // Guards against the repeated grant of an engine that has failed the request, or whose pause
    // goes on.
    void repeatedClaimKeepsTheEnginesThatFailed()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.addServer("d3", EnginePhase::Decode);
        const Claim second = claimAfterPause(harness, 0, "d1", 100);
        harness.reduce(5, SchedulerAnswered {grantOf(second, "d2", "p1"), Life});
        harness.end(6, harness.nextCall(CallKind::Reserve), CallEnd::NoPath);
        harness.nextSchedulerMessage<ClaimEnded>();
        const auto third = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT((third.excludedServers == Servers {ServerName("d2"), ServerName("d1")}));
        queue(harness, 8, third);
        harness.advance(10, 110);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<Claim>().excludedServers
                       == Servers {ServerName("d2")});
    }

    // The scheduler does not answer. After about 300 ms the node must reserve engines itself.
    void choosesEnginesWithoutTheScheduler()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.arrive(0, "stream", Prompt);
        harness.advance(10, 330);
        harness.grant(330, harness.nextCall(CallKind::Reserve));
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Prefill).server.text().starts_with("p"));
        harness.arrive(400, "stream", Prompt);
        CPPUNIT_ASSERT(harness.hasCalls());
    }

    void refusedClaimRejectsTheRequest()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        harness.reduce(5, SchedulerAnswered {ClaimRefused {claim.claim, 40, {}}, Life});
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), harness.outcome(request));
    }

    // A new scheduler must learn of the memory that open streams hold.
    void reportsReservationsToANewScheduler()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.arrive(0, "stream", Prompt);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        harness.reduce(5, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        harness.grant(8, harness.nextCall(CallKind::Reserve));
        harness.dispatcher().setScheduler(NodeName("another"));
        harness.arrive(100, "stream", Prompt);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ReservationReport>().claim == claim.claim);
        const auto second = harness.nextSchedulerMessage<Claim>();
        // The first report may be lost, so the first answer of a new incarnation triggers another
        // one.
        harness.reduce(105, SchedulerAnswered {ClaimQueued {second.claim}, Incarnation(2)});
        const auto held = harness.nextSchedulerMessage<ReservationReport>();
        CPPUNIT_ASSERT(held.claim == claim.claim);
        CPPUNIT_ASSERT(held.decodeServer == ServerName("d1"));
    }

    // The reservations must be reported without waiting for the next claim, or the new scheduler
    // would grant memory in use.
    void reportsReservationsBeforeTheNextClaim()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.arrive(0, "stream", Prompt);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        harness.reduce(5, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        harness.grant(8, harness.nextCall(CallKind::Reserve));
        harness.dispatcher().setScheduler(NodeName("another"));
        harness.reduce(250, TimePassed {});
        const auto held = harness.nextSchedulerMessage<ReservationReport>();
        CPPUNIT_ASSERT(held.claim == claim.claim);
        CPPUNIT_ASSERT(held.decodeServer == ServerName("d1"));
    }

    // The caller disconnects before the grant arrives. The granted capacity must be released.
    void releasesALateGrant()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        const auto request = harness.arrive(0, "stream", Prompt);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        harness.reduce(10, CallerLeft {request});
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome
                       == ClaimOutcome::Cancelled);
        harness.reduce(12, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().claim == claim.claim);
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    void claimsAgainAfterARefusedReservation()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.arrive(0, "stream", Prompt);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        harness.reduce(5, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        harness.end(8, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome
                       == ClaimOutcome::OutOfMemory);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<Claim>().claim != claim.claim);
    }

    // The answer to a reservation is lost. The engine must not count as unreachable.
    void lostReservationIsNotUnreachable()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.arrive(0, "stream", Prompt);
        const auto claim = harness.nextSchedulerMessage<Claim>();
        harness.reduce(5, SchedulerAnswered {grantOf(claim, "d1", "p1"), Life});
        harness.end(8, harness.nextCall(CallKind::Reserve), CallEnd::Broken);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome
                       == ClaimOutcome::ConnectionLost);
        const auto second = harness.nextSchedulerMessage<Claim>();
        harness.reduce(15, SchedulerAnswered {grantOf(second, "d2", "p1"), Life});
        harness.end(18, harness.nextCall(CallKind::Reserve), CallEnd::NotConnected);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<ClaimEnded>().outcome
                       == ClaimOutcome::Unreachable);
    }

    // Callers with clearly less time left than others of the route are retries.
    void detectsRetriesOfCallers()
    {
        DispatcherHarness harness;
        useScheduler(harness);
        harness.arrive(0, "stream", Prompt);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<Claim>().urgency == Urgency::FirstAttempt);
        harness.arrive(10, "stream", Prompt, std::chrono::seconds(10));
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<Claim>().urgency == Urgency::Retried);
        harness.arrive(20, "stream", Prompt, std::chrono::seconds(12));
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<Claim>().urgency == Urgency::FirstAttempt);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerClaimsTest);
