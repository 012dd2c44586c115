#include "routing/routetable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace indigoway;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route one;
    one.name = RouteName(name);
    one.host = host;
    one.prefix = prefix;
    one.shares = {{ServiceName("s-" + name), 1}};
    return one;
}

RouteTable table()
{
    RoutingState state;
    state.version = 7;
    state.routes = {route("short", "a.example", "/one/"), route("long", "a.example", "/one/two/"),
                    route("other", "b.example", "/one/"), route("all", "b.example", "/")};
    return RouteTable(std::move(state));
}

std::string matchedRoute(const RouteTable &table, const char *host, const char *path)
{
    const Route *one = table.find(host, path);
    return one ? one->name.text() : "none";
}

} // namespace

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestPrefixMatches);
    CPPUNIT_TEST(prefixesEndAtSlashes);
    CPPUNIT_TEST(hostsAreComparedWithoutCaseAndPort);
    CPPUNIT_TEST(sharesFollowTheirWeights);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestPrefixMatches()
    {
        const RouteTable one = table();
        CPPUNIT_ASSERT_EQUAL(std::string("short"), matchedRoute(one, "a.example", "/one/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("long"), matchedRoute(one, "a.example", "/one/two/x/y"));
        CPPUNIT_ASSERT_EQUAL(std::string("long"), matchedRoute(one, "a.example", "/one/two/"));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), matchedRoute(one, "b.example", "/elsewhere"));
    }

    void prefixesEndAtSlashes()
    {
        const RouteTable one = table();
        CPPUNIT_ASSERT_EQUAL(std::string("none"), matchedRoute(one, "a.example", "/one"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), matchedRoute(one, "a.example", "/onefold/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("short"), matchedRoute(one, "a.example", "/one/twofold"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), matchedRoute(one, "c.example", "/one/"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), matchedRoute(one, "a.example", ""));
    }

    void hostsAreComparedWithoutCaseAndPort()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("short"),
                             matchedRoute(table(), "A.Example:8080", "/one/"));
    }

    void sharesFollowTheirWeights()
    {
        Route split = route("split", "a", "/");
        split.shares = {{ServiceName("x"), 90}, {ServiceName("none"), 0}, {ServiceName("y"), 10}};
        std::map<std::string, int> counts;
        for (std::uint64_t entropy = 0; entropy < 1000; ++entropy) {
            ++counts[pickService(split, entropy)->text()];
        }
        CPPUNIT_ASSERT_EQUAL(900, counts["x"]);
        CPPUNIT_ASSERT_EQUAL(100, counts["y"]);
        CPPUNIT_ASSERT_EQUAL(0, counts["none"]);
        split.shares = {{ServiceName("none"), 0}};
        CPPUNIT_ASSERT(!pickService(split, 3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
