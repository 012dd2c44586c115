#include "dispatch/dispatchplay.h"

using namespace indigoway;
using namespace indigoway::dispatch;

/** Crashes are observed by "server_crashed" log lines. */
class CrashWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashWatchTest);
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
        DispatchPlay play;
        play.useRoutes();
        play.addServer("a");
        play.arrive(0, "plain");
        play.lose(5, play.nextCall(CallKind::Plain));
        const StartCall probe = play.nextCall(CallKind::Probe);
        CPPUNIT_ASSERT(probe.server == ServerName("a"));
        CPPUNIT_ASSERT(probe.request.isNone());
        play.end(6, probe, CallEnd::NotConnected);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, play.recorded("server_crashed").size());
    }

    // The link was reset or one answer was aborted: the server is still running.
    void aServerThatTakesAConnectionLives()
    {
        DispatchPlay play;
        play.useRoutes();
        play.addServer("a");
        play.arrive(0, "plain");
        play.lose(5, play.nextCall(CallKind::Plain));
        play.end(6, play.nextCall(CallKind::Probe), CallEnd::Complete);
        CPPUNIT_ASSERT(play.recorded("server_crashed").empty());
    }

    void manyLossesAtOneServerAreOneProbe()
    {
        DispatchPlay play;
        play.useRoutes();
        play.addServer("a");
        play.arrive(0, "plain");
        play.arrive(1, "plain");
        const StartCall first = play.nextCall(CallKind::Plain);
        const StartCall second = play.nextCall(CallKind::Plain);
        play.lose(5, first);
        play.lose(5, second);
        play.end(6, play.nextCall(CallKind::Probe), CallEnd::NotConnected);
        CPPUNIT_ASSERT(!play.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, play.recorded("server_crashed").size());
    }

    // A draining server may end with open streams, which is not a crash.
    void aServerThatWasLeavingIsNotProbed()
    {
        DispatchPlay play;
        play.useRoutes();
        play.addServer("a");
        play.arrive(0, "plain");
        const StartCall call = play.nextCall(CallKind::Plain);
        play.addServer("a", EnginePhase::None, true);
        play.lose(5, call);
        CPPUNIT_ASSERT(!play.hasCalls());
    }

    // A timeout does not show whether the server is still running.
    void aSilentServerIsNotProbed()
    {
        DispatchPlay play;
        play.useRoutes();
        play.addServer("a");
        play.arrive(0, "plain");
        play.end(500, play.nextCall(CallKind::Plain), CallEnd::Broken);
        CPPUNIT_ASSERT(!play.hasCalls());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashWatchTest);
