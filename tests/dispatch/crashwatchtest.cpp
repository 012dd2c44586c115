#include "dispatch/dispatchplay.h"

using namespace indigoway;
using namespace indigoway::dispatch;

/** "server_crashed" lines tell the verdicts. */
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
    // A server crashes with a request in hand. Its connection closes, and it takes no other: the
    // request may be what ended it.
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

    // A link is reset, or a server breaks off one answer of many. It lives, and nothing that it
    // was working on is to blame.
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

    // A server that drains ends when it has waited long enough, also with a stream open. That is
    // no crash.
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

    // Only silence: the server or the way to it may be at fault, and the server may run yet.
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
