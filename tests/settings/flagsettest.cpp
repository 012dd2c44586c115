#include "settings/flagset.h"

#include "daemon/daemonsettings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace indigoway;

class FlagSetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FlagSetTest);
    CPPUNIT_TEST(reportsAllErrors);
    CPPUNIT_TEST(commandLineTakesPrecedenceOverEnvironment);
    CPPUNIT_TEST(recognisesTheVersionOption);
    CPPUNIT_TEST(settingsPageMatchesTheFlags);
    CPPUNIT_TEST_SUITE_END();

    static std::variant<CommandLine, SettingsErrors> parse(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "indigowayd");
        std::vector<char *> argv;
        for (std::string &argument : arguments) {
            argv.push_back(argument.data());
        }
        return daemonFlags().parse(static_cast<int>(argv.size()), argv.data());
    }

    void reportsAllErrors()
    {
        const auto parsed = parse({"--most-open=many", "--nonsense=1", "--node"});
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, std::get<SettingsErrors>(parsed).errors.size());
        CPPUNIT_ASSERT(std::holds_alternative<CommandLine>(
            parse({"--node=a.b", "--domain=", "--callers=x", "--token=short", "--most-open=1"})));
        const auto settings = checkedDaemonSettings(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, std::get<SettingsErrors>(settings).errors.size());
    }

    void commandLineTakesPrecedenceOverEnvironment()
    {
        setenv("INDIGOWAY_NODE", "from-environment", 1);
        parse({"--domain=hall-a", "--callers=127.0.0.1:0", "--token=0123456789abcdef"});
        CPPUNIT_ASSERT_EQUAL(
            std::string("from-environment"),
            std::get<DaemonSettings>(checkedDaemonSettings(1)).node.life.node.text());
        parse({"--node=from-line"});
        CPPUNIT_ASSERT_EQUAL(
            std::string("from-line"),
            std::get<DaemonSettings>(checkedDaemonSettings(1)).node.life.node.text());
        unsetenv("INDIGOWAY_NODE");
    }

    void recognisesTheVersionOption()
    {
        CPPUNIT_ASSERT(std::get<CommandLine>(parse({"--version"})).wantsVersion);
        CPPUNIT_ASSERT(!programVersion().empty());
    }

    void settingsPageMatchesTheFlags()
    {
        std::ifstream file("docs/SETTINGS.md");
        std::ostringstream text;
        text << file.rdbuf();
        CPPUNIT_ASSERT_MESSAGE("docs/SETTINGS.md must contain these rows:\n"
                                   + daemonFlags().markdown(),
                               text.str().find(daemonFlags().markdown()) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlagSetTest);
