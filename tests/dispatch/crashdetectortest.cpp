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
        const StartCall probe = harness.nextCall(CallKind::Probe);
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
        harness.end(6, harness.nextCall(CallKind::Probe), CallEnd::Complete);
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
        harness.end(6, harness.nextCall(CallKind::Probe), CallEnd::NotConnected);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("server_crashed").size());
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
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // A timeout does not show whether the server is still running.
    void aSilentServerIsNotProbed()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("a");
        harness.arrive(0, "plain");
        harness.end(500, harness.nextCall(CallKind::Plain), CallEnd::Broken);
        CPPUNIT_ASSERT(!harness.hasCalls());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);
