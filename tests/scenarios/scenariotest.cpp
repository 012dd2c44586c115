#include "scenarios/scenario.h"

#include <cppunit/TestCaller.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace indigoway;

namespace {

std::vector<std::filesystem::path> scenarioFiles()
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator("tests/scenarios")) {
        if (entry.path().extension() == ".scenario") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

std::string textOf(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

/** Runs each file in tests/scenarios as a test case with the name of the file. */
class ScenarioTest : public CppUnit::TestFixture
{
public:
    static CppUnit::Test *suite()
    {
        auto *suite = new CppUnit::TestSuite("ScenarioTest");
        for (const std::filesystem::path &path : scenarioFiles()) {
            suite->addTest(new FileCase(path));
        }
        return suite;
    }

private:
    class FileCase : public CppUnit::TestCase
    {
    public:
        explicit FileCase(const std::filesystem::path &path)
            : TestCase(path.stem().string())
            , m_path(path)
        { }
        void runTest() override
        {
            const std::string text = textOf(m_path);
            // Each file must begin with a description of the guarded failure.
            const std::string opening = text.substr(0, text.find("\n\n"));
            const auto comments = std::count(opening.begin(), opening.end(), '#');
            CPPUNIT_ASSERT_MESSAGE("a scenario must begin with two to five comment lines",
                                   comments >= 2 && comments <= 5);
            const std::string failure = tests::playScenario(text);
            CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
        }

    private:
        std::filesystem::path m_path;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTest);
