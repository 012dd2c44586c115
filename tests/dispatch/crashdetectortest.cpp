#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;

/** Crashes are observed by "server_crashed" log lines. */
class CrashDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashDetectorTest);
    CPPUNIT_TEST(aServerThatTakesNoConnectionHasCrashed);
    CPPUNIT_TEST(aServerThatTakesAConnectionLives);
    CPPUNIT_TEST(manyLossesAtOneServerAreOneProbe);
    CPPUNIT_TEST(aServerThatWasLeavingIsNotProbed);
    CPPUNIT_TEST(aSilentServerIsNotProbed);
    CPPUNIT_TEST(aRelayThatEndsIsNoEvidenceAgainstServers);
    CPPUNIT_TEST(aResetOfAllConnectionsIsNoEvidenceAgainstServers);
    CPPUNIT_TEST(failuresOfAReachableEngineAreReported);
    CPPUNIT_TEST(anEngineThatNobodyReachesIsReported);
    CPPUNIT_TEST(aNodeWithoutAnyPathReportsNothing);
    CPPUNIT_TEST(aCrashIsLoggedWithThePartsOfTheLostPrompts);
    CPPUNIT_TEST(aCrashIsAttributedToPartsThatWereNotBeingAnswered);
    CPPUNIT_TEST(aRunThatMayHaveCrashedItsEngineIsNotSentOn);
    CPPUNIT_TEST(waitingRequestsEndWhenTheirPartIsRefused);
    CPPUNIT_TEST(refusedPartsAreSentOnNoWay);
    CPPUNIT_TEST_SUITE_END();

public:
    // The connection closes during a request and the server accepts no other one: it has crashed.
    void aServerThatTakesNoConnectionHasCrashed()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        harness.loseConnection(5, harness.nextCall(CallKind::Plain));
        const StartCall probe = harness.nextServerProbe();
        CPPUNIT_ASSERT(probe.server == ServerName("a"));
        CPPUNIT_ASSERT(probe.request.isNone());
        harness.end(6, probe, CallEnd::NotConnected);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("server_crashed").size());
    }

    // The link was reset or one answer was aborted: the server is still running.
    void aServerThatTakesAConnectionLives()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        harness.loseConnection(5, harness.nextCall(CallKind::Plain));
        harness.end(6, harness.nextServerProbe(), CallEnd::Complete);
        CPPUNIT_ASSERT(harness.logLines("server_crashed").empty());
    }

    void manyLossesAtOneServerAreOneProbe()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        harness.arrive(1, "plain");
        const StartCall first = harness.nextCall(CallKind::Plain);
        const StartCall second = harness.nextCall(CallKind::Plain);
        harness.loseConnection(5, first);
        harness.loseConnection(5, second);
        harness.end(6, harness.nextServerProbe(), CallEnd::NotConnected);
        CPPUNIT_ASSERT(!harness.hasServerProbes());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("server_crashed").size());
    }

    // The node that had opened the connections was killed: sound prompts would be refused, and an
    // engine put out of use for all nodes.
    void aRelayThatEndsIsNoEvidenceAgainstServers()
    {
        DispatcherHarness harness;
        harness.setSharedParts({"f1", "sound"});
        harness.end(100, startDecode(harness), CallEnd::PathLost);
        CPPUNIT_ASSERT(!harness.hasServerProbes());
        CPPUNIT_ASSERT(harness.logLines("server_crashed").empty());
        CPPUNIT_ASSERT(harness.takePartCrashes().empty());
    }

    // A draining server may end with open streams, which is not a crash.
    void aServerThatWasLeavingIsNotProbed()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        const StartCall call = harness.nextCall(CallKind::Plain);
        harness.addServer("a", EnginePhase::None, true);
        harness.loseConnection(5, call);
        CPPUNIT_ASSERT(!harness.hasServerProbes());
    }

    // A timeout does not show whether the server is still running.
    void aSilentServerIsNotProbed()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        harness.end(500, harness.nextCall(CallKind::Plain), CallEnd::Broken);
        CPPUNIT_ASSERT(!harness.hasServerProbes());
    }

    // A node is cut off and its connections are reset. Engines that other nodes reach must neither
    // be put out of use for all, nor must contents count as crashing.
    void aResetOfAllConnectionsIsNoEvidenceAgainstServers()
    {
        DispatcherHarness harness;
        const StartCall decode = startDecode(harness);
        harness.loseConnection(100, decode);
        CPPUNIT_ASSERT(harness.nextSchedulerMessage<scheduling::ClaimEnded>().outcome
                       == scheduling::ClaimOutcome::ConnectionLost);
        CallEnded probed;
        probed.call = harness.nextServerProbe().call;
        probed.end = CallEnd::Complete;
        probed.relay = NodeName("n2");
        harness.reduce(110, probed);
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
        CPPUNIT_ASSERT(harness.takeCrashNotes().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("path_at_fault").size());
    }

    void aCrashIsLoggedWithThePartsOfTheLostPrompts()
    {
        DispatcherHarness harness;
        harness.setSharedParts({"f1", "dead"});
        harness.loseConnection(100, startDecode(harness));
        harness.end(110, harness.nextServerProbe(), CallEnd::NotConnected);
        const std::string &line = harness.logLines("server_crashed").front();
        CPPUNIT_ASSERT(line.find(":parts=f1,dead") != std::string::npos);
        CPPUNIT_ASSERT(line.find(":events=0") != std::string::npos);
    }

    // A stream that has been written for a while cannot be what crashes its engine.
    void aCrashIsAttributedToPartsThatWereNotBeingAnswered()
    {
        DispatcherHarness harness;
        harness.setSharedParts({"f1", "dead"});
        const StartCall decode = startDecode(harness);
        harness.loseConnection(100, decode);
        harness.end(110, harness.nextServerProbe(), CallEnd::NotConnected);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, harness.takePartCrashes().front().notes.size());

        DispatcherHarness writing;
        writing.setSharedParts({"f1", "dead"});
        const StartCall stream = startDecode(writing);
        writing.reduce(100, StreamStarted {stream.call, 200, {}});
        writing.loseConnection(400, stream);
        writing.end(410, writing.nextServerProbe(), CallEnd::NotConnected);
        CPPUNIT_ASSERT(writing.takePartCrashes().empty());
    }

    // The users' record shows a crashing request at a second engine within one attempt.
    void aRunThatMayHaveCrashedItsEngineIsNotSentOn()
    {
        for (const bool isKnownToBeSound : {false, true}) {
            DispatcherHarness harness;
            harness.useRoutes();
            harness.addServer("d1", EnginePhase::Decode);
            harness.addServer("d2", EnginePhase::Decode);
            harness.setSharedParts({"f1"});
            if (isKnownToBeSound) {
                serve(harness, 0, harness.arrive(0, "resumable", 1'000));
            }
            const auto request = harness.arrive(5'000, "resumable", 1'000);
            harness.loseConnection(5'100, beginWhole(harness, 5'000));
            CPPUNIT_ASSERT_EQUAL(std::string(isKnownToBeSound ? "open" : "failed 502"),
                                 harness.outcome(request));
        }
    }

    // What cannot run must not wait for its deadline.
    void waitingRequestsEndWhenTheirPartIsRefused()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.setSharedParts({"f1", "dead"});
        const auto prefilling = harness.arrive(0, "stream", 1'000);
        harness.grant(1, harness.nextCall(CallKind::Reserve));
        const StartCall prefill = harness.nextCall(CallKind::Prefill);
        const auto reserving = harness.arrive(2, "stream", 1'000);
        harness.setSharedParts({"f1"});
        const auto sound = harness.arrive(3, "stream", 1'000);
        harness.reduce(10, refusal());
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), harness.outcome(prefilling));
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), harness.outcome(reserving));
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(sound));
        CPPUNIT_ASSERT(harness.wasAbandoned(prefill));
        CPPUNIT_ASSERT_EQUAL(503, harness.status(prefilling));
    }

    void refusedPartsAreSentOnNoWay()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.addServer("d1", EnginePhase::Decode);
        harness.reduce(0, refusal());
        harness.reduce(0, refusal("web"));
        harness.setSharedParts({"f1", "dead"});
        for (const char *host : {"stream", "resumable", "plain"}) {
            const auto request = harness.arrive(10, host, 1'000);
            CPPUNIT_ASSERT_EQUAL(std::string("rejected"), harness.outcome(request));
            CPPUNIT_ASSERT(!harness.hasCalls());
        }
    }

    // An engine that resets its streams while it accepts connections must lose its work.
    void failuresOfAReachableEngineAreReported()
    {
        DispatcherHarness harness;
        const StartCall decode = startDecode(harness);
        harness.loseConnection(100, decode);
        harness.nextSchedulerMessage<scheduling::ClaimEnded>();
        harness.end(110, harness.nextServerProbe(), CallEnd::Complete);
        const auto fault = harness.nextSchedulerMessage<scheduling::EngineFault>();
        CPPUNIT_ASSERT(fault.server == decode.server);
        CPPUNIT_ASSERT(fault.isReachable);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t {1}, fault.failures);
    }

    void anEngineThatNobodyReachesIsReported()
    {
        DispatcherHarness harness;
        harness.loseConnection(100, startDecode(harness));
        harness.nextSchedulerMessage<scheduling::ClaimEnded>();
        harness.end(110, harness.nextServerProbe(), CallEnd::NotConnected);
        CPPUNIT_ASSERT(!harness.nextSchedulerMessage<scheduling::EngineFault>().isReachable);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.takeCrashNotes().size());
    }

    // A node that reaches neither servers nor other nodes knows nothing of the servers.
    void aNodeWithoutAnyPathReportsNothing()
    {
        DispatcherHarness harness;
        harness.loseConnection(100, startDecode(harness));
        harness.nextSchedulerMessage<scheduling::ClaimEnded>();
        harness.end(110, harness.nextServerProbe(), CallEnd::NoPath);
        CPPUNIT_ASSERT(!harness.hasSchedulerMessage());
        CPPUNIT_ASSERT(harness.takeCrashNotes().empty());
    }

private:
    /** What another node tells when it refuses the part "dead". */
    static PartCrashesArrived refusal(const char *service = "llm")
    {
        PartCrashNote note {ServiceName(service), partIdOf("dead"), {}};
        note.crashes.count = crashes::PartCrashRecords::MaxCrashes;
        return {{note}};
    }

    /** Grants calls until the one that generates the answer. */
    static StartCall beginWhole(DispatcherHarness &harness, int milliseconds)
    {
        for (;;) {
            const StartCall call = harness.nextCall();
            if (call.kind == CallKind::Whole || call.kind == CallKind::Decode) {
                return call;
            }
            harness.grant(milliseconds, call);
        }
    }

    static void serve(DispatcherHarness &harness, int milliseconds, RequestNumber request)
    {
        const StartCall call = beginWhole(harness, milliseconds);
        harness.reduce(milliseconds, StreamStarted {call.call, 200, {}});
        harness.end(milliseconds + 1'000, call, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::string("streamed"), harness.outcome(request));
        while (harness.hasCalls()) {
            harness.nextCall();
        }
    }

    /** Starts a generation under a scheduler, up to its decode call. */
    static StartCall startDecode(DispatcherHarness &harness)
    {
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.dispatcher().setScheduler(NodeName("n9"));
        harness.arrive(0, "stream", 1'000);
        const auto claim = harness.nextSchedulerMessage<scheduling::Claim>().claim;
        harness.reduce(5,
                       SchedulerAnswered {scheduling::ClaimGranted {claim, ServerName("d1"),
                                                                    ServerName("p1"), std::nullopt},
                                          Incarnation(1)});
        harness.grant(8, harness.nextCall(CallKind::Reserve));
        harness.grant(50, harness.nextCall(CallKind::Prefill));
        harness.nextSchedulerMessage<scheduling::PrefillEnded>();
        return harness.nextCall(CallKind::Decode);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);
