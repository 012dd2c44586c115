#include "fleet/serverdirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

AnnouncedServer server(const std::string &name, const std::string &service = "web")
{
    AnnouncedServer one;
    one.name = ServerName(name);
    one.service = ServiceName(service);
    one.address = "10.0.0.1:80";
    return one;
}

std::string candidates(const ServerDirectory &directory, TimePoint now)
{
    std::string names;
    for (const AnnouncedServer *one :
         directory.candidates(ServiceName("web"), EnginePhase::None, now)) {
        names += one->name.text();
    }
    return names;
}

} // namespace

class ServerDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerDirectoryTest);
    CPPUNIT_TEST(drainingServerIsNoCandidate);
    CPPUNIT_TEST(markedServerStaysLeavingUntilItsDrainEnds);
    CPPUNIT_TEST(withdrawnServerIsLastResort);
    CPPUNIT_TEST(expiredEntriesReturn);
    CPPUNIT_TEST(serverChangesService);
    CPPUNIT_TEST(newIncarnationReplacesEarlierOne);
    CPPUNIT_TEST(removedServerIsNoLastResort);
    CPPUNIT_TEST(otherVersionIsAnotherIncarnation);
    CPPUNIT_TEST(knowsTheVersionsThatServe);
    CPPUNIT_TEST_SUITE_END();

public:
    void drainingServerIsNoCandidate()
    {
        ServerDirectory directory;
        directory.announce(server("a"));
        AnnouncedServer leaving = server("b");
        leaving.isDraining = true;
        directory.announce(leaving);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), candidates(directory, at(0)));
        CPPUNIT_ASSERT(directory.availability(ServerName("b"), at(0))
                       == ServerAvailability::Leaving);
    }

    // Guards against an entry that expired or is late taking back what the server has said.
    void markedServerStaysLeavingUntilItsDrainEnds()
    {
        ServerDirectory directory;
        directory.announce(server("a"));
        CPPUNIT_ASSERT(directory.markLeaving(ServerName("a")));
        CPPUNIT_ASSERT(!directory.markLeaving(ServerName("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, directory.leavingUnannounced().size());
        directory.remove(ServerName("a"));
        directory.announce(server("a"));
        CPPUNIT_ASSERT_EQUAL(std::string(), candidates(directory, at(0)));
        AnnouncedServer draining = server("a");
        draining.isDraining = true;
        directory.announce(draining);
        CPPUNIT_ASSERT(directory.leavingUnannounced().empty());
        directory.announce(server("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), candidates(directory, at(0)));
    }

    // Guards against requests to the earlier incarnation of a server, kept as a last resort, after
    // the server has restarted.
    void newIncarnationReplacesEarlierOne()
    {
        ServerDirectory directory;
        AnnouncedServer first = server("a@1");
        first.instance = "a";
        CPPUNIT_ASSERT(!directory.announce(first));
        CPPUNIT_ASSERT(!directory.announce(first));
        directory.withdraw(directory.nameOf("a"), at(0));
        AnnouncedServer second = server("a@2");
        second.instance = "a";
        CPPUNIT_ASSERT(directory.announce(second) == ServerName("a@1"));
        CPPUNIT_ASSERT_EQUAL(std::string("a@2"), candidates(directory, at(10)));
        CPPUNIT_ASSERT(directory.availability(ServerName("a@1"), at(10))
                       == ServerAvailability::Leaving);
        CPPUNIT_ASSERT(directory.nameOf("a") == ServerName("a@2"));
    }

    void removedServerIsNoLastResort()
    {
        ServerDirectory directory;
        AnnouncedServer one = server("a");
        one.instance = "a";
        directory.announce(one);
        directory.remove(directory.nameOf("a"));
        directory.remove(directory.nameOf("a"));
        CPPUNIT_ASSERT_EQUAL(std::string(), candidates(directory, at(0)));
        CPPUNIT_ASSERT(directory.nameOf("a").isEmpty());
        directory.announce(one);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), candidates(directory, at(0)));
    }

    void withdrawnServerIsLastResort()
    {
        ServerDirectory directory;
        directory.announce(server("a"));
        directory.announce(server("b"));
        directory.withdraw(ServerName("b"), at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), candidates(directory, at(10)));
    }

    // Guards against refused requests when the entries of all healthy servers expire in a store
    // outage.
    void expiredEntriesReturn()
    {
        ServerDirectory directory;
        directory.announce(server("a"));
        directory.announce(server("b"));
        directory.withdraw(ServerName("a"), at(0));
        directory.withdraw(ServerName("b"), at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), candidates(directory, at(100)));
        directory.announce(server("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), candidates(directory, at(200)));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), candidates(directory, at(5'000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, directory.purgeWithdrawn(at(5'000)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, directory.size());
    }

    void serverChangesService()
    {
        ServerDirectory directory;
        directory.announce(server("a"));
        directory.announce(server("a", "other"));
        CPPUNIT_ASSERT_EQUAL(std::string(), candidates(directory, at(0)));
    }

    // Guards against what was recorded of a server being used for its successor of another version.
    void otherVersionIsAnotherIncarnation()
    {
        ServerDirectory directory;
        AnnouncedServer first = server("a");
        first.instance = "a";
        first.version = "v1";
        CPPUNIT_ASSERT(!directory.announce(first));
        directory.markLeaving(ServerName("a"));
        AnnouncedServer second = first;
        second.version = "v2";
        CPPUNIT_ASSERT(directory.announce(second) == ServerName("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), candidates(directory, at(0)));
        CPPUNIT_ASSERT(directory.nameOf("a") == ServerName("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), directory.find(ServerName("a"))->version);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, directory.size());
    }

    void knowsTheVersionsThatServe()
    {
        ServerDirectory directory;
        AnnouncedServer one = server("a");
        one.version = "v1";
        directory.announce(one);
        const auto has = [&directory](const char *version) {
            return directory.hasVersion(ServiceName("web"), EnginePhase::None, version, at(10));
        };
        CPPUNIT_ASSERT(has("v1") && !has("v2"));
        // Entries of healthy servers expire during a store outage.
        directory.withdraw(ServerName("a"), at(0));
        CPPUNIT_ASSERT(has("v1"));
        AnnouncedServer other = server("b");
        other.version = "v2";
        directory.announce(other);
        CPPUNIT_ASSERT(!has("v1") && has("v2"));
        other.isDraining = true;
        directory.announce(other);
        CPPUNIT_ASSERT(!has("v2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerDirectoryTest);
