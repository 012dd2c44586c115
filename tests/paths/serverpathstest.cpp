#include "paths/serverpaths.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace std::chrono_literals;

class ServerPathsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerPathsTest);
    CPPUNIT_TEST(reportsEachChangeOnce);
    CPPUNIT_TEST(forgetsServersThatEnded);
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

private:
    const TimePoint m_now {Duration(1s)};
    ServerPaths m_paths;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPathsTest);
