#include "core/queries.h"

#include "fakes/deployments.h"
#include "fakes/world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace std::chrono_literals;

class QueriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QueriesTest);
    CPPUNIT_TEST(filtersAndSorts);
    CPPUNIT_TEST(suggestsNearestTableAndColumn);
    CPPUNIT_TEST(listsNodesThatDidNotAnswer);
    CPPUNIT_TEST(changeHistorySurvivesReplacementOfAllNodes);
    CPPUNIT_TEST_SUITE_END();

    static Query queryOf(const std::string &text) { return std::get<Query>(parseQuery(text)); }

    void filtersAndSorts()
    {
        const Table table {{"name", "age"}, {{"a", "9"}, {"b", "10"}, {"c", "200"}}};
        const auto result = filtered(queryOf("show t where age > 9 sort by age desc"), table);
        const auto &rows = std::get<Table>(result).rows;
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), rows[0][0]);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), rows[1][0]);
    }

    void suggestsNearestTableAndColumn()
    {
        const Table table {{"name", "age"}, {}};
        const auto result = filtered(queryOf("show t where nmae = x"), table);
        CPPUNIT_ASSERT_EQUAL(std::string("there is no column nmae; did you mean name?"),
                             std::get<std::string>(result));
        fakes::World world {{}};
        fakes::addSmallDeployment(world, {});
        world.startAll();
        world.run(8s);
        const std::size_t query = world.query(0, "show sevrers");
        world.run(1s);
        CPPUNIT_ASSERT_EQUAL(
            std::string("line 1, column 6: there is no table sevrers; did you mean servers?"),
            world.commandView(query).answer->error);
    }

    // A node that hangs must not block a query: the answer has the rows of the other nodes and
    // names the missing one.
    void listsNodesThatDidNotAnswer()
    {
        fakes::World world {{}};
        fakes::addSmallDeployment(world, {});
        world.startAll();
        world.run(8s);
        world.freezeNode(2);
        const std::size_t query = world.query(0, "show nodes");
        world.run(2s);
        const auto &answer = world.commandView(query).answer;
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, answer->table.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("no answer from n2"), answer->notes.at(0));
    }

    // The change history must survive the replacement of all entry VMs.
    void changeHistorySurvivesReplacementOfAllNodes()
    {
        fakes::World world {{}};
        fakes::addSmallDeployment(world, {});
        world.startAll();
        world.run(8s);
        world.command(1, "set model m priority 1", "ada");
        world.run(2s);
        for (std::size_t i = 0; i < world.nodeCount(); ++i) {
            world.killNode(i);
        }
        world.run(60s);
        world.startAll();
        world.run(8s);
        const std::size_t query = world.query(3, "show changes");
        world.run(1s);
        const auto &rows = world.commandView(query).answer->table.rows;
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), rows[0][0]);
        CPPUNIT_ASSERT_EQUAL(std::string("ada"), rows[0][3]);
        CPPUNIT_ASSERT_EQUAL(std::string("set model m priority 1"), rows[0][4]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueriesTest);
