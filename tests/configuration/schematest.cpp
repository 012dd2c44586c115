#include "configuration/schema.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace indigoway;
using namespace std::chrono_literals;

namespace {

rc::Gen<std::string> names()
{
    return rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::element('a', 'b', 'c', '1', '2', '-', '.')));
}

rc::Gen<Duration> durations()
{
    return rc::gen::map(rc::gen::inRange(1, 86'000),
                        [](int ms) { return Duration(std::chrono::milliseconds(ms)); });
}

/** Returns a random valid deployment. */
Deployment arbitraryDeployment()
{
    Deployment deployment;
    for (const std::string &name :
         *rc::gen::nonEmpty(rc::gen::container<std::set<std::string>>(names()))) {
        Target target;
        target.name = TargetName(name);
        target.isService = *rc::gen::arbitrary<bool>();
        if (target.isService) {
            target.prefix = "/" + *names();
        } else {
            target.version = *rc::gen::arbitrary<std::string>();
            std::erase(target.version, '\n');
            target.maxPromptTokens = *rc::gen::inRange(0U, 100'000U);
            target.kvBytes = *rc::gen::inRange(0U, 100'000U);
            target.betweenTokens = *durations();
        }
        target.priority = *rc::gen::inRange(0U, 8U);
        target.firstToken = *durations();
        target.late = *rc::gen::element(LatePolicy::Refuse, LatePolicy::Finish);
        target.repeatable = *rc::gen::arbitrary<bool>();
        deployment.targets[target.name] = target;
    }
    int port = 1;
    for (const auto &[name, target] : deployment.targets) {
        Pool pool;
        pool.name = PoolName("pool-" + name.text());
        pool.target = name;
        pool.role =
            target.isService ? Role::Service : *rc::gen::element(Role::Prefill, Role::Decode);
        pool.linkRate = *rc::gen::inRange<std::uint64_t>(0, 1'000'000'000'000);
        deployment.pools[pool.name] = pool;
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
            Server server;
            server.name = ServerName("server-" + std::to_string(port));
            server.pool = pool.name;
            server.address = "10.0.0.1:" + std::to_string(port++);
            server.domain = DomainName(*rc::gen::element<std::string>("hall-a", "hall b", ""));
            server.slots = *rc::gen::inRange(1U, 100U);
            server.state =
                *rc::gen::element(ServerState::Active, ServerState::Draining, ServerState::Stopped);
            server.checksFencing = *rc::gen::arbitrary<bool>();
            deployment.servers[server.name] = server;
        }
    }
    return deployment;
}

std::string errorOf(const std::string &text)
{
    const auto applied = applyText({}, text);
    const auto *error = std::get_if<LanguageError>(&applied);
    return error ? error->text() : "";
}

} // namespace

class SchemaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchemaTest);
    CPPUNIT_TEST(exportRoundTrips);
    CPPUNIT_TEST(anyTextIsParsedOrRejected);
    CPPUNIT_TEST(errorsNamePositionAndNearestName);
    CPPUNIT_TEST(commandsAreAtomic);
    CPPUNIT_TEST(examplesAreValid);
    CPPUNIT_TEST_SUITE_END();

    void exportRoundTrips()
    {
        const bool isOk = rc::check("export and apply changes nothing", [] {
            const Deployment deployment = arbitraryDeployment();
            const std::string text = declarationsOf(deployment);
            const auto applied = applyText({}, text);
            RC_ASSERT(std::holds_alternative<Deployment>(applied));
            RC_ASSERT(std::get<Deployment>(applied) == deployment);
            RC_ASSERT(declarationsOf(std::get<Deployment>(applied)) == text);
            RC_ASSERT(differences(deployment, std::get<Deployment>(applied)).empty());
        });
        CPPUNIT_ASSERT(isOk);
    }

    // The parser must not throw or hang on any input.
    void anyTextIsParsedOrRejected()
    {
        const bool isOk = rc::check("any text", [](const std::string &input) {
            applyText({}, input);
            applyText({}, "model m " + input);
            parseQuery("show " + input);
        });
        CPPUNIT_ASSERT(isOk);
    }

    void errorsNamePositionAndNearestName()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("line 1, column 9: a model has no attribute frist-token; did you mean "
                        "first-token?"),
            errorOf("model m frist-token 5s"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("line 1, column 9: first-token must be a duration from 1us "
                        "to 1440min, such as 680ms, 5s or 2min, not 5"),
            errorOf("model m first-token 5"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("line 2, column 1: pool p: there is no model or service lector-lm; did you "
                        "mean lector-llm?"),
            errorOf("model lector-llm\npool p role decode target lector-lm"));
        CPPUNIT_ASSERT_EQUAL(std::string("line 1, column 7: there is no server x"),
                             errorOf("drain server x"));
    }

    void commandsAreAtomic()
    {
        const auto base = std::get<Deployment>(applyText({},
                                                         "model m\npool p role decode target m\n"
                                                         "server s pool p address 10.0.0.1:80"));
        const auto applied = applyText(base, "drain server s; remove pool nowhere");
        CPPUNIT_ASSERT(std::holds_alternative<LanguageError>(applied));
        const auto drained = applyText(base, "drain server s");
        const auto &server = *std::get<Deployment>(drained).server(ServerName("s"));
        CPPUNIT_ASSERT(server.state == ServerState::Draining);
        CPPUNIT_ASSERT(base.server(ServerName("s"))->state == ServerState::Active);
    }

    void examplesAreValid()
    {
        for (const char *name : {"lista-viva", "kopje"}) {
            std::ifstream file("examples/" + std::string(name) + "/deployment.indigoway");
            CPPUNIT_ASSERT(file);
            std::ostringstream text;
            text << file.rdbuf();
            CPPUNIT_ASSERT_EQUAL(std::string(), errorOf(text.str()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchemaTest);
