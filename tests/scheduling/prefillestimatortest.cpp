#include "scheduling/prefillestimator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

Duration prefillDuration(double secondsPerToken, double fixed, std::uint32_t tokens)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(secondsPerToken * tokens + fixed));
}

bool isNear(Duration one, Duration other, double part)
{
    const auto difference = static_cast<double>(std::abs((one - other).count()));
    return difference < part * static_cast<double>(other.count());
}

} // namespace

class PrefillEstimatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefillEstimatorTest);
    CPPUNIT_TEST(adaptsToEngineSpeed);
    CPPUNIT_TEST(limitsInfluenceOfSlowEngines);
    CPPUNIT_TEST(prefersBackToBackSamples);
    CPPUNIT_TEST(learnsFromPromptsOfOneLength);
    CPPUNIT_TEST(misleadingFirstSamplesKeepMinimumCost);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against assumptions about the speed of engines.
    void adaptsToEngineSpeed()
    {
        for (const double secondsPerToken : {2e-6, 18e-6, 180e-6}) {
            PrefillEstimator estimator;
            learn(estimator, [&](std::uint32_t tokens) {
                return prefillDuration(secondsPerToken, 0.02, tokens);
            });
            CPPUNIT_ASSERT(isNear(estimator.computeTime(8'000),
                                  prefillDuration(secondsPerToken, 0, 8'000), 0.15));
            CPPUNIT_ASSERT(isNear(estimator.computeTime(5'000) + estimator.responseOverhead(),
                                  prefillDuration(secondsPerToken, 0.02, 5'000), 0.1));
        }
    }

    void limitsInfluenceOfSlowEngines()
    {
        PrefillEstimator estimator;
        int prompts = 0;
        learn(estimator, [&](std::uint32_t tokens) {
            return prefillDuration(18e-6, 0.02, tokens) * (++prompts % 10 == 0 ? 20 : 1);
        });
        CPPUNIT_ASSERT(estimator.computeTime(5'000) + estimator.responseOverhead()
                       < 2 * prefillDuration(18e-6, 0.02, 5'000));
    }

    // Guards against the bias of prompts that found their engine idle: at full load, long ones go
    // to the fast engines, so that the length appears to have no effect.
    void prefersBackToBackSamples()
    {
        PrefillEstimator estimator;
        for (int i = 0; i < 60; ++i) {
            estimator.add(i % 2 == 0 ? 4'000 : 6'000, std::chrono::milliseconds(190));
        }
        CPPUNIT_ASSERT(!estimator.isKnown());
        for (int i = 0; i < 40; ++i) {
            const std::uint32_t tokens = i % 2 == 0 ? 3'000 : 7'000;
            estimator.addBackToBack(tokens, prefillDuration(24e-6, 0, tokens));
        }
        CPPUNIT_ASSERT(estimator.isKnown());
        CPPUNIT_ASSERT(
            isNear(estimator.computeTime(5'000), prefillDuration(24e-6, 0, 5'000), 0.03));
        CPPUNIT_ASSERT(isNear(estimator.computeTime(5'000) + estimator.responseOverhead(),
                              std::chrono::milliseconds(190), 0.03));
    }

    // Guards against a compute time of zero after misleading first samples.
    void misleadingFirstSamplesKeepMinimumCost()
    {
        PrefillEstimator estimator;
        for (int i = 0; i < 10; ++i) {
            estimator.add(1'000, std::chrono::milliseconds(600));
            estimator.add(8'000, std::chrono::milliseconds(300));
        }
        CPPUNIT_ASSERT(estimator.computeTime(5'000) > std::chrono::milliseconds(50));
    }

    void learnsFromPromptsOfOneLength()
    {
        PrefillEstimator estimator;
        for (int i = 0; i < 200; ++i) {
            estimator.add(4'000, prefillDuration(50e-6, 0, 4'000));
        }
        CPPUNIT_ASSERT(isNear(estimator.computeTime(4'000) + estimator.responseOverhead(),
                              prefillDuration(50e-6, 0, 4'000), 0.05));
    }

private:
    template <typename Time>
    static void learn(PrefillEstimator &estimator, Time timeOf)
    {
        std::mt19937_64 random(20261202);
        std::uniform_int_distribution<std::uint32_t> tokens(500, 11'000);
        for (int i = 0; i < 60; ++i) {
            const std::uint32_t prompt = tokens(random);
            estimator.add(prompt, timeOf(prompt));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefillEstimatorTest);
