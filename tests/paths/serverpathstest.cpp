#include "paths/serverpaths.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace std::chrono_literals;

class ServerPathsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerPathsTest);
    CPPUNIT_TEST(reportsEachChangeOnce);
    CPPUNIT_TEST(forgetsServersThatEnded);
    CPPUNIT_TEST(isIsolatedOnlyIfOthersReachServers);
    CPPUNIT_TEST(testsItsOwnConnectionsNowAndThen);
    CPPUNIT_TEST_SUITE_END();

public:
    // With a line for each failed call, the log would not show when a server was lost and came
    // back.
    void reportsEachChangeOnce()
    {
        const ServerName server("s-1");
        m_paths.recordConnected(server, m_now);
        CPPUNIT_ASSERT(m_paths.takeChanges().empty());
        m_paths.recordNotConnected(server, "connection refused", m_now);
        m_paths.recordNotConnected(server, "connection refused", m_now + 1s);
        const auto lost = m_paths.takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, lost.size());
        CPPUNIT_ASSERT(!lost.front().isReachable);
        CPPUNIT_ASSERT_EQUAL(std::string("connection refused"), lost.front().reason);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_paths.unreachableServers());
        m_paths.recordConnected(server, m_now + 3s);
        const auto back = m_paths.takeChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, back.size());
        CPPUNIT_ASSERT(back.front().isReachable);
        CPPUNIT_ASSERT(back.front().lasted == Duration(3s));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, back.front().failedCalls);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_paths.unreachableServers());
    }

    // Each start of a server has a new name, so that entries would grow without bound.
    void forgetsServersThatEnded()
    {
        m_paths.recordNotConnected(ServerName("s-1"), "connection refused", m_now);
        m_paths.recordNotConnected(ServerName("s-2"), "connection refused", m_now + 10min);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_paths.unreachableServers());
    }

    // If several servers are down, a node that is not cut off must go on to connect by itself.
    void isIsolatedOnlyIfOthersReachServers()
    {
        m_paths.recordNotConnected(ServerName("s-1"), "connection refused", m_now);
        m_paths.recordNotConnected(ServerName("s-2"), "connection refused", m_now);
        m_paths.recordDown(ServerName("s-1"));
        CPPUNIT_ASSERT(!m_paths.isIsolated());
        m_paths.recordRelayed(ServerName("s-2"), "n2", m_now);
        CPPUNIT_ASSERT(m_paths.isIsolated());
        CPPUNIT_ASSERT(m_paths.isRelayed(ServerName("s-3")));
        const auto changes = m_paths.takeChanges();
        CPPUNIT_ASSERT(changes.back().server.isEmpty());
        m_paths.recordConnected(ServerName("s-3"), m_now + 5s);
        CPPUNIT_ASSERT(!m_paths.isIsolated());
        CPPUNIT_ASSERT(!m_paths.isRelayed(ServerName("s-2")));
    }

    // Without tests a node would go through others for ever; with one for each call, a cut-off
    // fleet would spend its time on them.
    void testsItsOwnConnectionsNowAndThen()
    {
        const ServerName server("s-1");
        CPPUNIT_ASSERT(!m_paths.takeTest(server, m_now));
        m_paths.recordNotConnected(server, "no connection in time", m_now);
        m_paths.recordRelayed(server, "n2", m_now);
        CPPUNIT_ASSERT(!m_paths.takeTest(server, m_now));
        CPPUNIT_ASSERT(m_paths.takeTest(server, m_now + 1s));
        CPPUNIT_ASSERT(!m_paths.takeTest(server, m_now + 1s));
        m_paths.recordNotConnected(ServerName("s-2"), "no connection in time", m_now + 1s);
        m_paths.recordRelayed(ServerName("s-2"), "n2", m_now + 1s);
        int tests = 0;
        for (int millisecond = 0; millisecond < 3000; ++millisecond) {
            const ServerName any("s-" + std::to_string(millisecond));
            tests += m_paths.takeTest(any, m_now + 1s + std::chrono::milliseconds(millisecond));
        }
        CPPUNIT_ASSERT(tests >= 8 && tests <= 10);
    }

private:
    const TimePoint m_now {Duration(1s)};
    ServerPaths m_paths;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPathsTest);
