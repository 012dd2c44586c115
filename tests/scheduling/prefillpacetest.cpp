#include "scheduling/prefillpace.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

Duration took(double secondsPerToken, double fixed, std::uint32_t tokens)
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

class PrefillPaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefillPaceTest);
    CPPUNIT_TEST(learnsEnginesThatDifferTenfold);
    CPPUNIT_TEST(aFewSlowEnginesAreNotAll);
    CPPUNIT_TEST(promptsThatFollowEachOtherTellTheEnginesTime);
    CPPUNIT_TEST(promptsOfOneLengthTellTheirOwnTime);
    CPPUNIT_TEST(aBadStartMakesNoPromptFree);
    CPPUNIT_TEST_SUITE_END();

public:
    // Estimates of another fleet would send prompts into long lines, or hold them back from idle
    // engines, for as long as the fleet runs.
    void learnsEnginesThatDifferTenfold()
    {
        for (const double secondsPerToken : {2e-6, 18e-6, 180e-6}) {
            PrefillPace pace;
            learn(pace, [&](std::uint32_t tokens) { return took(secondsPerToken, 0.02, tokens); });
            CPPUNIT_ASSERT(isNear(pace.work(8'000), took(secondsPerToken, 0, 8'000), 0.15));
            CPPUNIT_ASSERT(isNear(pace.work(5'000) + pace.answerTime(),
                                  took(secondsPerToken, 0.02, 5'000), 0.1));
        }
    }

    void aFewSlowEnginesAreNotAll()
    {
        PrefillPace pace;
        int prompts = 0;
        learn(pace, [&](std::uint32_t tokens) {
            return took(18e-6, 0.02, tokens) * (++prompts % 10 == 0 ? 20 : 1);
        });
        CPPUNIT_ASSERT(pace.work(5'000) + pace.answerTime() < 2 * took(18e-6, 0.02, 5'000));
    }

    // At full load few prompts find their engine idle, and those that do are unlike the others:
    // here the long ones went to the fast engines, so that length seems to cost nothing. Engines
    // that went by it were turned away from prompts while callers waited for them to be read.
    void promptsThatFollowEachOtherTellTheEnginesTime()
    {
        PrefillPace pace;
        for (int i = 0; i < 60; ++i) {
            pace.add(i % 2 == 0 ? 4'000 : 6'000, std::chrono::milliseconds(190));
        }
        CPPUNIT_ASSERT(!pace.isKnown());
        for (int i = 0; i < 40; ++i) {
            const std::uint32_t tokens = i % 2 == 0 ? 3'000 : 7'000;
            pace.addNext(tokens, took(24e-6, 0, tokens));
        }
        CPPUNIT_ASSERT(pace.isKnown());
        CPPUNIT_ASSERT(isNear(pace.work(5'000), took(24e-6, 0, 5'000), 0.03));
        CPPUNIT_ASSERT(
            isNear(pace.work(5'000) + pace.answerTime(), std::chrono::milliseconds(190), 0.03));
    }

    // All nodes were restarted. The first prompts that a new scheduler sees wait for those that
    // other nodes had sent, the short ones by chance the longest, so that length seems to cost
    // nothing.
    void aBadStartMakesNoPromptFree()
    {
        PrefillPace pace;
        for (int i = 0; i < 10; ++i) {
            pace.add(1'000, std::chrono::milliseconds(600));
            pace.add(8'000, std::chrono::milliseconds(300));
        }
        CPPUNIT_ASSERT(pace.work(5'000) > std::chrono::milliseconds(50));
    }

    void promptsOfOneLengthTellTheirOwnTime()
    {
        PrefillPace pace;
        for (int i = 0; i < 200; ++i) {
            pace.add(4'000, took(50e-6, 0, 4'000));
        }
        CPPUNIT_ASSERT(isNear(pace.work(4'000) + pace.answerTime(), took(50e-6, 0, 4'000), 0.05));
    }

private:
    template <typename Time>
    static void learn(PrefillPace &pace, Time timeOf)
    {
        std::mt19937_64 random(20261202);
        std::uniform_int_distribution<std::uint32_t> tokens(500, 11'000);
        for (int i = 0; i < 60; ++i) {
            const std::uint32_t prompt = tokens(random);
            pace.add(prompt, timeOf(prompt));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefillPaceTest);
