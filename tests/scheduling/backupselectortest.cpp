#include "scheduling/backupselector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

constexpr double EngineMemory = 40'000;
constexpr double MeanOutput = 400;

BackupSelector::Engine engine(const char *name, const char *domain, double peak)
{
    return {ServerName(name), DomainName(domain), EngineMemory, peak, false};
}

BackupSelector::Run run(double output = MeanOutput)
{
    return {ServerName("d1"), DomainName("a"), 5'000, output};
}

/** Returns a selector of a service whose memory is used to the given share. */
BackupSelector selectorAt(double usedShare)
{
    constexpr double Total = 10 * EngineMemory;
    return {{Total, usedShare * Total}, MeanOutput};
}

std::string chosen(const std::vector<BackupSelector::Engine> &engines)
{
    const auto *engine = selectorAt(0.2).choose(run(), engines);
    return engine ? engine->name.text() : "";
}

} // namespace

class BackupSelectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackupSelectorTest);
    CPPUNIT_TEST(neverChoosesEngineOfRun);
    CPPUNIT_TEST(prefersDomainOfRun);
    CPPUNIT_TEST(prefersFreeMemory);
    CPPUNIT_TEST(avoidsSuspectAndFullEngines);
    CPPUNIT_TEST(keepsMemoryForRuns);
    CPPUNIT_TEST(copiesLongOutputsFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a copy that is lost together with its run.
    void neverChoosesEngineOfRun()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen({engine("d1", "a", 0)}));
        CPPUNIT_ASSERT_EQUAL(std::string("d2"),
                             chosen({engine("d1", "a", 0), engine("d2", "a", 20'000)}));
    }

    // Guards against billed transfers between domains while the run's own domain has room.
    void prefersDomainOfRun()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("d3"),
                             chosen({engine("d2", "b", 5'000), engine("d3", "a", 25'000),
                                     engine("d4", "c", 5'000)}));
        CPPUNIT_ASSERT_EQUAL(std::string("d2"),
                             chosen({engine("d2", "b", 5'000), engine("d3", "a", 39'000)}));
    }

    // Guards against copies that fill one engine while others have room.
    void prefersFreeMemory()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("d3"),
                             chosen({engine("d2", "a", 20'000), engine("d3", "a", 8'000),
                                     engine("d4", "a", 15'000)}));
    }

    // Guards against copies on engines that are about to fail or would refuse their next run.
    void avoidsSuspectAndFullEngines()
    {
        BackupSelector::Engine suspect = engine("d2", "a", 5'000);
        suspect.isSuspect = true;
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen({suspect, engine("d3", "a", 38'000)}));
    }

    // Guards against copies that take the memory of runs that arrive a moment later.
    void keepsMemoryForRuns()
    {
        CPPUNIT_ASSERT(selectorAt(0.60).hasMemoryFor(run()));
        CPPUNIT_ASSERT(!selectorAt(0.70).hasMemoryFor(run()));
        BackupSelector selector = selectorAt(0.60);
        int copies = 0;
        for (; selector.hasMemoryFor(run()) && copies < 100; ++copies) {
            selector.addCopy(run());
        }
        CPPUNIT_ASSERT_EQUAL(4, copies);
    }

    // Guards against spending scarce memory on runs that end soon.
    void copiesLongOutputsFirst()
    {
        CPPUNIT_ASSERT(!selectorAt(0.5).hasMemoryFor(run(MeanOutput / 2)));
        CPPUNIT_ASSERT(selectorAt(0.5).hasMemoryFor(run(MeanOutput)));
        CPPUNIT_ASSERT(selectorAt(0.2).hasMemoryFor(run(MeanOutput / 2)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackupSelectorTest);
