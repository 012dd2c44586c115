#include "dispatch/dispatcherharness.h"

#include <algorithm>

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

const ServerAdvice Leaving {.isLeaving = true};

std::string text(const char *words)
{
    return words;
}

/** Sends plain requests for five seconds and returns how many reach @p server. */
int requestsTo(DispatcherHarness &harness, const ServerName &server, int from)
{
    int count = 0;
    for (int time = from; time < from + 5000; time += 100) {
        harness.arrive(time, "plain");
        while (harness.hasCalls()) {
            const StartCall call = harness.nextCall(CallKind::Plain);
            count += call.server == server ? 1 : 0;
            harness.end(time + 30, call, CallEnd::Complete, 200);
        }
    }
    return count;
}

} // namespace

/** Servers that say in an answer that they leave, while their entries in the store do not. */
class LeavingServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingServerTest);
    CPPUNIT_TEST(getsNoMoreRequests);
    CPPUNIT_TEST(refusalCountsAsWell);
    CPPUNIT_TEST(staysLeavingWhenItsEntryIsRenewed);
    CPPUNIT_TEST(staysLeavingWhenItsEntryReturns);
    CPPUNIT_TEST(nextLifeIsUsed);
    CPPUNIT_TEST(cancelledDrainInTheStoreIsFollowed);
    CPPUNIT_TEST(requestsWithoutAServerAreRejectedAtOnce);
    CPPUNIT_TEST(decodeEngineThatLeavesIsNotReserved);
    CPPUNIT_TEST(waitingRequestGoesElsewhere);
    CPPUNIT_TEST(schedulerIsToldOfLeavingEngines);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests to a server whose leaving is in its answers but not yet in the store.
    void getsNoMoreRequests()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.addServer("b");
        harness.arrive(0, "plain");
        const StartCall call = harness.nextCall(CallKind::Plain);
        harness.end(30, call, CallEnd::Complete, 200, Leaving);
        CPPUNIT_ASSERT_EQUAL(0, requestsTo(harness, call.server, 2000));
    }

    void refusalCountsAsWell()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.addServer("b");
        harness.arrive(0, "plain");
        const StartCall call = harness.nextCall(CallKind::Plain);
        harness.end(30, call, CallEnd::NotExecuted, 503, Leaving);
        harness.end(60, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(0, requestsTo(harness, call.server, 2000));
    }

    // Guards against an entry from before the server left that takes its leaving back.
    void staysLeavingWhenItsEntryIsRenewed()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.addServer("b");
        harness.arrive(0, "plain");
        const StartCall call = harness.nextCall(CallKind::Plain);
        harness.end(30, call, CallEnd::Complete, 200, Leaving);
        harness.addServer(call.server.text());
        CPPUNIT_ASSERT_EQUAL(0, requestsTo(harness, call.server, 2000));
    }

    // Guards against using the server again because its lease expired while the store was away.
    void staysLeavingWhenItsEntryReturns()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.addServer("b");
        harness.arrive(0, "plain");
        const StartCall call = harness.nextCall(CallKind::Plain);
        harness.end(30, call, CallEnd::Complete, 200, Leaving);
        harness.dispatcher().withdraw(call.server, DispatcherHarness::at(100));
        harness.advance(1500, 3000);
        harness.addServer(call.server.text());
        CPPUNIT_ASSERT_EQUAL(0, requestsTo(harness, call.server, 3000));
    }

    // Guards against keeping a restarted server out of use.
    void nextLifeIsUsed()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        harness.end(30, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200, Leaving);
        harness.dispatcher().remove(ServerName("a"));
        harness.addServer("a@2");
        CPPUNIT_ASSERT_EQUAL(50, requestsTo(harness, ServerName("a@2"), 2000));
    }

    void cancelledDrainInTheStoreIsFollowed()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        harness.end(30, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200, Leaving);
        harness.addServer("a", EnginePhase::None, true);
        harness.addServer("a", EnginePhase::None, false);
        CPPUNIT_ASSERT_EQUAL(50, requestsTo(harness, ServerName("a"), 2000));
    }

    void requestsWithoutAServerAreRejectedAtOnce()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        harness.end(30, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200, Leaving);
        CPPUNIT_ASSERT_EQUAL(text("rejected"), harness.outcome(harness.arrive(2000, "plain")));
    }

    // Guards against overlooking what engines say in answers to reservations.
    void decodeEngineThatLeavesIsNotReserved()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("d2", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.arrive(0, "stream", 500);
        const StartCall first = harness.nextCall(CallKind::Reserve);
        harness.end(5, first, CallEnd::NotExecuted, 503, Leaving);
        harness.advance(10, 200);
        const StartCall second = harness.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT(second.server != first.server);
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against running a request at an engine that has said meanwhile that it leaves.
    void waitingRequestGoesElsewhere()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.arrive(0, "stream", 500);
        harness.grant(5, harness.nextCall(CallKind::Reserve));
        const StartCall prefill = harness.nextCall(CallKind::Prefill);
        harness.arrive(6, "stream", 500);
        const StartCall other = harness.nextCall(CallKind::Reserve);
        harness.end(10, other, CallEnd::NotExecuted, 503, Leaving);
        harness.addServer("d2", EnginePhase::Decode);
        harness.grant(100, prefill);
        while (harness.hasCalls()) {
            const StartCall call = harness.nextCall();
            CPPUNIT_ASSERT(!carriesRequest(call.kind) || call.server == ServerName("d2"));
        }
    }

    // Guards against grants of engines that the scheduling node does not know to leave.
    void schedulerIsToldOfLeavingEngines()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("d1", EnginePhase::Decode);
        harness.addServer("p1", EnginePhase::Prefill);
        harness.arrive(0, "stream", 500);
        harness.end(5, harness.nextCall(CallKind::Reserve), CallEnd::NotExecuted, 503, Leaving);
        harness.dispatcher().setScheduler(NodeName("n"));
        harness.advance(10, 20);
        const auto claim = harness.nextSchedulerMessage<scheduling::Claim>();
        CPPUNIT_ASSERT(std::ranges::find(claim.excludedServers, ServerName("d1"))
                       != claim.excludedServers.end());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingServerTest);
