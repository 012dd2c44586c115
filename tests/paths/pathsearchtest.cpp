#include "paths/pathsearch.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace std::chrono_literals;

class PathSearchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathSearchTest);
    CPPUNIT_TEST(asksAnotherNodeAfterAFailedConnection);
    CPPUNIT_TEST(goesThroughOthersAtOnceWhileIsolated);
    CPPUNIT_TEST(blamesAServerOnlyWhereAnotherNodeFails);
    CPPUNIT_TEST(blamesNoServerWithoutAnotherView);
    CPPUNIT_TEST(isByItselfInADeploymentOfOneNode);
    CPPUNIT_TEST(triesDirectlyIfNoOtherNodeHelps);
    CPPUNIT_TEST(keepsOrdersToItsOwnAddress);
    CPPUNIT_TEST(endsInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_known.relays.setNodes({{NodeName("n1"), "10.0.0.1:1"}, {NodeName("n2"), "10.0.0.2:1"}},
                                m_now);
    }

    // A node with one path to a server fails its callers while other nodes reach the server.
    void asksAnotherNodeAfterAFailedConnection()
    {
        PathSearch search = begin("s1");
        CPPUNIT_ASSERT(search.route().isDirect());
        const auto next = fail(search, ConnectFailure::NoAnswer);
        CPPUNIT_ASSERT(!std::get<ServerRoute>(next).isDirect());
        search.connected(m_known, m_now);
        CPPUNIT_ASSERT(m_known.servers.isRelayed(ServerName("s1")));
        CPPUNIT_ASSERT(!begin("s1").route().isDirect());
        CPPUNIT_ASSERT(begin("s2").route().isDirect());
    }

    // Each call to a server that was not tried yet would wait for a connection in vain.
    void goesThroughOthersAtOnceWhileIsolated()
    {
        isolate();
        CPPUNIT_ASSERT(!begin("s9").route().isDirect());
        m_known.servers.recordConnected(ServerName("s9"), m_now + 5s);
        CPPUNIT_ASSERT(begin("s1").route().isDirect());
    }

    // A server that is down must be avoided, and one that others reach must not.
    void blamesAServerOnlyWhereAnotherNodeFails()
    {
        PathSearch refused = begin("s1");
        fail(refused, ConnectFailure::Refused);
        CPPUNIT_ASSERT(fail(refused, ConnectFailure::Refused) == End(PathSearchEnd::Refused));
        PathSearch silent = begin("s1");
        fail(silent, ConnectFailure::NoAnswer);
        CPPUNIT_ASSERT(fail(silent, ConnectFailure::NoAnswer) == End(PathSearchEnd::Unreachable));
        CPPUNIT_ASSERT(!m_known.servers.isRelayed(ServerName("s1")));
    }

    // A node that is cut off from servers and nodes must not report the servers as down.
    void blamesNoServerWithoutAnotherView()
    {
        PathSearch search = begin("s1");
        fail(search, ConnectFailure::Refused);
        CPPUNIT_ASSERT(
            std::holds_alternative<ServerRoute>(fail(search, ConnectFailure::NotRelayed)));
        CPPUNIT_ASSERT(fail(search, ConnectFailure::NotRelayed) == End(PathSearchEnd::NoPath));
        CPPUNIT_ASSERT(!m_known.servers.isIsolated());
    }

    // With nobody to ask, a failed connection is all there is to know.
    void isByItselfInADeploymentOfOneNode()
    {
        m_known = {};
        PathSearch search = begin("s1");
        CPPUNIT_ASSERT(fail(search, ConnectFailure::Refused) == End(PathSearchEnd::Refused));
        PathSearch silent = begin("s1");
        CPPUNIT_ASSERT(fail(silent, ConnectFailure::NoAnswer) == End(PathSearchEnd::Unreachable));
    }

    // If the other nodes are gone after a cut has healed, calls must not fail until the next test.
    void triesDirectlyIfNoOtherNodeHelps()
    {
        isolate();
        PathSearch search = begin("s1");
        fail(search, ConnectFailure::NotRelayed);
        const auto last = fail(search, ConnectFailure::NotRelayed);
        CPPUNIT_ASSERT(std::get<ServerRoute>(last).isDirect());
        search.connected(m_known, m_now);
        CPPUNIT_ASSERT(!m_known.servers.isIsolated());
    }

    // Engines take orders from one node at a time, which they know by its address.
    void keepsOrdersToItsOwnAddress()
    {
        isolate();
        PathSearch search(ServerName("s1"), true, m_now);
        search.begin(m_known, m_now, 0);
        CPPUNIT_ASSERT(search.route().isDirect());
        CPPUNIT_ASSERT(fail(search, ConnectFailure::Refused) == End(PathSearchEnd::Refused));
    }

    // The request states the time its caller waits as of the start of the call, so a server that is
    // reached late would be given more time than is left.
    void endsInTime()
    {
        PathSearch search = begin("s1");
        fail(search, ConnectFailure::NoAnswer);
        CPPUNIT_ASSERT(search.failed(m_known, ConnectFailure::NotRelayed, "", m_now + 400ms, 0)
                       == End(PathSearchEnd::NoPath));
    }

private:
    using End = std::variant<ServerRoute, PathSearchEnd>;

    PathSearch begin(const std::string &server)
    {
        PathSearch search(ServerName(server), false, m_now);
        search.begin(m_known, m_now, 0);
        return search;
    }
    End fail(PathSearch &search, ConnectFailure failure)
    {
        return search.failed(m_known, failure, "no connection", m_now, 0);
    }
    void isolate()
    {
        for (const char *server : {"s1", "s2"}) {
            PathSearch search = begin(server);
            fail(search, ConnectFailure::NoAnswer);
            search.connected(m_known, m_now);
        }
        CPPUNIT_ASSERT(m_known.servers.isIsolated());
    }

    const TimePoint m_now {Duration(1s)};
    PathKnowledge m_known;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathSearchTest);
