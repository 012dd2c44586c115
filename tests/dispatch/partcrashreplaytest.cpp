#include "dispatch/partcrashfleet.h"

#include <cstdio>

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

/** Sends that users accept once five servers have ended and all nodes had time to hear of it. */
constexpr int MaxCountedSends = 3;
constexpr std::uint64_t Seeds = 6;

std::string textOfParts(const PartCrashResult &result)
{
    std::string text;
    for (const std::string &part : result.refusedParts) {
        text += (text.empty() ? "" : " ") + part;
    }
    return text;
}

/** Plays @p load with several seeds and checks what callers were promised. */
void play(const char *name, PartCrashLoad load, const std::string &refusedParts)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        load.seed = seed;
        const PartCrashResult result = PartCrashFleet(load).run();
        const std::string text = std::string(name) + " seed=" + std::to_string(seed) + " crashes="
            + std::to_string(result.crashes) + " fifth_at_ms=" + std::to_string(result.fifthCrashAt)
            + " counted_sends=" + std::to_string(result.countedSends) + " sound_before="
            + std::to_string(result.begunBefore) + "/" + std::to_string(result.soundBefore)
            + " sound_after=" + std::to_string(result.begunAfter) + "/"
            + std::to_string(result.soundAfter) + " refused=" + textOfParts(result) + " records="
            + std::to_string(result.mostNotes) + " notes=" + std::to_string(result.notesStored)
            + " writes=" + std::to_string(result.messagesStored);
        std::printf("%s\n", text.c_str());
        CPPUNIT_ASSERT_MESSAGE(text, result.countedSends <= MaxCountedSends);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, refusedParts, textOfParts(result));
        if (!load.isFirstPartCrashing && result.soundAfter > 0) {
            // More than half as often as before.
            CPPUNIT_ASSERT_MESSAGE(text,
                                   2 * result.begunAfter * result.soundBefore
                                       > result.begunBefore * result.soundAfter);
        }
    }
}

} // namespace

class PartCrashReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartCrashReplayTest);
    CPPUNIT_TEST(crashingPartIsRefusedAndItsCompanyIsServed);
    CPPUNIT_TEST(crashesInQuickSuccession);
    CPPUNIT_TEST(newsComesLateOrGetsLost);
    CPPUNIT_TEST(partThatWasSoundBefore);
    CPPUNIT_TEST(firstPartMayBeTheCause);
    CPPUNIT_TEST(twoPartsAtOnce);
    CPPUNIT_TEST(enginesThatEndForOtherReasonsAccuseNoPart);
    CPPUNIT_TEST(powerLossOfManyEnginesAccusesNoPart);
    CPPUNIT_TEST(otherCrashesBesideACrashingPart);
    CPPUNIT_TEST(fewRequestsBeforeManyNodes);
    CPPUNIT_TEST(manyNodesWhoseSoundPartTurnsHarmful);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that do not connect the crashes, and against a refusal of the first
    // part.
    void crashingPartIsRefusedAndItsCompanyIsServed() { play("usual", {}, "dead"); }

    // Guards against a series that grows too slowly for crashes that are 0.1 s apart.
    void crashesInQuickSuccession()
    {
        PartCrashLoad load;
        load.crashingPerSecond = 10;
        load.engines = 60;
        play("quick", load, "dead");
    }

    // Guards against a rule that works only if all nodes hear at once.
    void newsComesLateOrGetsLost()
    {
        PartCrashLoad load;
        load.newsDelay = 300;
        load.newsLoss = 0.1;
        play("late news", load, "dead");
        load.crashingPerSecond = 10;
        load.engines = 60;
        play("late news, quick", load, "dead");
    }

    // Guards against answers from before that clear a part for good.
    void partThatWasSoundBefore()
    {
        PartCrashLoad load;
        load.soundUntil = load.crashingFrom;
        play("sound before", load, "dead");
        load.crashingPerSecond = 5;
        load.engines = 60;
        play("sound before, quick", load, "dead");
    }

    void firstPartMayBeTheCause()
    {
        PartCrashLoad load;
        load.isFirstPartCrashing = true;
        play("first part", load, "dead");
    }

    // Guards against one refused part that hides another cause.
    void twoPartsAtOnce()
    {
        PartCrashLoad load;
        load.crashingParts = {"dead", "deae"};
        load.crashingPerSecond = 2.5;
        load.engines = 30;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            load.seed = seed;
            const PartCrashResult result = PartCrashFleet(load).run();
            CPPUNIT_ASSERT_EQUAL(std::size_t {2}, result.refusedParts.size());
            // Two series of at most five each.
            CPPUNIT_ASSERT(result.crashes <= 10);
        }
    }

    void enginesThatEndForOtherReasonsAccuseNoPart()
    {
        PartCrashLoad load;
        load.crashingPerSecond = 0;
        load.randomCrashesPerSecond = 1;
        load.seconds = 120;
        play("other reasons", load, "");
    }

    void powerLossOfManyEnginesAccusesNoPart()
    {
        PartCrashLoad load;
        load.crashingPerSecond = 0;
        load.soundPerSecond = 60;
        load.powerLossAt = 20'000;
        play("power loss", load, "");
    }

    void otherCrashesBesideACrashingPart()
    {
        PartCrashLoad load;
        load.randomCrashesPerSecond = 0.3;
        load.powerLossAt = 11'000;
        play("beside others", load, "dead");
    }

    // Guards against a rule that needs answers, or crashes, at each node itself.
    void fewRequestsBeforeManyNodes()
    {
        PartCrashLoad load;
        load.nodes = 60;
        load.engines = 60;
        load.soundPerSecond = 12;
        play("many nodes", load, "dead");
    }

    // Guards against sessions that are refused because few of many nodes have seen their answers.
    void manyNodesWhoseSoundPartTurnsHarmful()
    {
        PartCrashLoad load;
        load.nodes = 400;
        load.engines = 400;
        load.soundPerSecond = 200;
        load.crashingPerSecond = 10;
        load.seconds = 20;
        load.crashingFrom = 4'000;
        load.crashingUntil = 20'000;
        load.soundUntil = load.crashingFrom;
        load.newsLoss = 0.02;
        load.storeDelay = 300;
        play("400 nodes, sound before", load, "dead");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartCrashReplayTest);
