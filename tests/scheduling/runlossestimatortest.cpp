#include "scheduling/runlossestimator.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

} // namespace

class RunLossEstimatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunLossEstimatorTest);
    CPPUNIT_TEST(singleLossHasNoEffect);
    CPPUNIT_TEST(lossesOfOneEngineCount);
    CPPUNIT_TEST(forgetsAfterWindow);
    CPPUNIT_TEST(staleStorePutsAllRunsAtRisk);
    CPPUNIT_TEST(replayOfFailingEngines);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against copies of all runs because of one connection that was reset.
    void singleLossHasNoEffect()
    {
        RunLossEstimator losses;
        CPPUNIT_ASSERT(!losses.areBackupsWorthwhile(at(0), false));
        losses.add(true, at(0));
        CPPUNIT_ASSERT(!losses.areBackupsWorthwhile(at(1), false));
    }

    // Guards against waiting for a second crash after an engine has lost all its runs.
    void lossesOfOneEngineCount()
    {
        RunLossEstimator losses;
        for (int i = 0; i < 300; ++i) {
            losses.add(false, at(i * 10));
        }
        for (int i = 0; i < 8; ++i) {
            losses.add(true, at(3'000));
        }
        CPPUNIT_ASSERT(losses.areBackupsWorthwhile(at(3'000), false));
    }

    // Guards against copies long after the engines have stopped failing.
    void forgetsAfterWindow()
    {
        RunLossEstimator losses;
        for (int i = 0; i < 50; ++i) {
            losses.add(true, at(0));
        }
        CPPUNIT_ASSERT(losses.areBackupsWorthwhile(at(9'000), false));
        CPPUNIT_ASSERT(!losses.areBackupsWorthwhile(at(11'000), false));
        // A slot that is used again must not keep its old counts.
        losses.add(false, at(20'000));
        CPPUNIT_ASSERT_EQUAL(0.0, losses.lossFraction(at(20'000)));
    }

    // Guards against lost runs on engines that leave while the store is unreachable.
    void staleStorePutsAllRunsAtRisk()
    {
        const RunLossEstimator losses;
        CPPUNIT_ASSERT(losses.areBackupsWorthwhile(at(0), true));
    }

    /**
     * Replays 60 runs a second, of which five in a hundred are lost between 20 s and 40 s. Backups
     * must be on during that time, off before, and off one window after it.
     */
    void replayOfFailingEngines()
    {
        RunLossEstimator losses;
        constexpr int RunsPerSecond = 60;
        int secondsOnBefore = 0;
        int secondsOnDuring = 0;
        int secondsOnAfter = 0;
        for (int second = 0; second < 70; ++second) {
            const bool isFailing = second >= 20 && second < 40;
            for (int run = 0; run < RunsPerSecond; ++run) {
                const int time = second * 1'000 + run * 1'000 / RunsPerSecond;
                losses.add(isFailing && run % 20 == 7, at(time));
            }
            const bool isOn = losses.areBackupsWorthwhile(at(second * 1'000 + 999), false);
            secondsOnBefore += isOn && second < 20 ? 1 : 0;
            secondsOnDuring += isOn && isFailing ? 1 : 0;
            secondsOnAfter += isOn && second >= 50 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, secondsOnBefore);
        CPPUNIT_ASSERT(secondsOnDuring >= 17);
        CPPUNIT_ASSERT_EQUAL(0, secondsOnAfter);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunLossEstimatorTest);
