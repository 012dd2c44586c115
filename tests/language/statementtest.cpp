#include "language/statement.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;

class StatementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StatementTest);
    CPPUNIT_TEST(parsesDeclarationsAndCommands);
    CPPUNIT_TEST(saysWhereAndWhatWasExpected);
    CPPUNIT_TEST(parsesQueries);
    CPPUNIT_TEST(quotesOnlyWhereNeeded);
    CPPUNIT_TEST(namesTheNearestWord);
    CPPUNIT_TEST_SUITE_END();

    void parsesDeclarationsAndCommands()
    {
        const auto parsed = parseStatements("# a comment\n"
                                            "model m first-token 680ms\n"
                                            "drain server s1; set server s2 domain \"hall a\"\n");
        const auto &statements = std::get<Statements>(parsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, statements.size());
        CPPUNIT_ASSERT(statements[0].verb == Verb::Add);
        CPPUNIT_ASSERT_EQUAL(std::string("680ms"), statements[0].settings.at(0).value);
        CPPUNIT_ASSERT(statements[1].verb == Verb::Drain);
        CPPUNIT_ASSERT_EQUAL(std::string("hall a"), statements[2].settings.at(0).value);
    }

    void saysWhereAndWhatWasExpected()
    {
        const auto parsed = parseStatements("model m\nadd sever s1\n");
        const auto &error = std::get<LanguageError>(parsed);
        CPPUNIT_ASSERT_EQUAL(
            std::string("line 2, column 5: expected model, service, pool or server"), error.text());
        const auto query = parseQuery("show servers where pool p");
        CPPUNIT_ASSERT_EQUAL(std::string("line 1, column 25: expected =, !=, < or >"),
                             std::get<LanguageError>(query).text());
    }

    void parsesQueries()
    {
        const auto parsed = parseQuery("show requests where stage = decoding and age-ms > 500 "
                                       "sort by age-ms desc as json");
        const auto &query = std::get<Query>(parsed);
        CPPUNIT_ASSERT_EQUAL(std::string("requests"), query.kind);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, query.conditions.size());
        CPPUNIT_ASSERT(query.conditions[1].comparison == Comparison::Greater);
        CPPUNIT_ASSERT(query.isDescending);
        CPPUNIT_ASSERT(query.asJson);
        CPPUNIT_ASSERT(isQuery("show nodes"));
        CPPUNIT_ASSERT(!isQuery("drain server s1"));
    }

    void quotesOnlyWhereNeeded()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("hall-a"), quoted("hall-a"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"a \\\"b\\\"\""), quoted("a \"b\""));
        CPPUNIT_ASSERT_EQUAL(std::string("\"\""), quoted(""));
    }

    void namesTheNearestWord()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("servers"), nearestWord("sevrers", {"servers", "pools"}));
        CPPUNIT_ASSERT_EQUAL(std::string(), nearestWord("x", {"servers", "pools"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementTest);
