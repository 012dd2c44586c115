#include "crashes/crashingparts.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::crashes;

namespace {

const ServiceName Llm("llm");

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

std::vector<PartId> partsOf(const std::vector<std::string> &names)
{
    std::vector<PartId> parts;
    for (const std::string &name : names) {
        parts.push_back(partIdOf(name));
    }
    return parts;
}

} // namespace

class CrashingPartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashingPartsTest);
    CPPUNIT_TEST(aPartIsRefusedAfterThreeCrashesInARow);
    CPPUNIT_TEST(simultaneousCrashesCountOnce);
    CPPUNIT_TEST(anAnswerAfterACrashEndsTheSeries);
    CPPUNIT_TEST(anAnswerThatBeganBeforeTheCrashDoesNot);
    CPPUNIT_TEST(aRefusedPartExplainsTheCrashesUnderIt);
    CPPUNIT_TEST(theMostSpecificPartIsRefusedFirst);
    CPPUNIT_TEST(theNextSuspectIsRefusedIfTheCrashesGoOn);
    CPPUNIT_TEST(answersAtOtherNodesCount);
    CPPUNIT_TEST(aNodeThatMissedAnAnswerIsCorrected);
    CPPUNIT_TEST(anAnsweredPartNeedsMoreCrashes);
    CPPUNIT_TEST(oneCallerCannotHaveTheOthersRefused);
    CPPUNIT_TEST(madeUpPartsDoNotHideTheGuiltyOne);
    CPPUNIT_TEST(madeUpPartsFillNoTable);
    CPPUNIT_TEST(nodesAgreeInWhateverOrderTheyHear);
    CPPUNIT_TEST(aRefusalEndsAndTheNextCrashRenewsIt);
    CPPUNIT_TEST(otherServicesAreNotRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void aPartIsRefusedAfterThreeCrashesInARow()
    {
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(!isRefused({"a"}));
            crash({"a"});
        }
        CPPUNIT_ASSERT(isRefused({"x", "a", "y"}));
        CPPUNIT_ASSERT(!isRefused({"x", "y"}));
    }

    // Servers that lose power together must not accuse what many of them were working on.
    void simultaneousCrashesCountOnce()
    {
        const LostRun run = runOf({"a"});
        for (int i = 0; i < 6; ++i) {
            m_parts.attribute(Llm, {run}, at(++m_now));
        }
        CPPUNIT_ASSERT_EQUAL(1U, countOf("a"));
    }

    void anAnswerAfterACrashEndsTheSeries()
    {
        crash({"a"});
        crash({"a"});
        const int since = ++m_now;
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, answer({"a"}, since).notes.size());
        CPPUNIT_ASSERT_EQUAL(0U, countOf("a"));
        crash({"a"});
        crash({"a"});
        CPPUNIT_ASSERT(!isRefused({"a"}));
    }

    // The part may have turned harmful since.
    void anAnswerThatBeganBeforeTheCrashDoesNot()
    {
        const int since = ++m_now;
        crash({"a"});
        CPPUNIT_ASSERT(answer({"a"}, since).notes.empty());
        CPPUNIT_ASSERT_EQUAL(1U, countOf("a"));
    }

    void aRefusedPartExplainsTheCrashesUnderIt()
    {
        for (int i = 0; i < 3; ++i) {
            crash({"a"});
        }
        const auto attribution =
            m_parts.attribute(Llm, {runOf({"a", "b"}), runOf({"c"})}, at(++m_now));
        CPPUNIT_ASSERT(attribution.explainedBy == partIdOf("a"));
        CPPUNIT_ASSERT(attribution.notes.empty());
        CPPUNIT_ASSERT_EQUAL(0U, countOf("b"));
        CPPUNIT_ASSERT_EQUAL(0U, countOf("c"));
    }

    // Nothing has been answered yet, so that the first part stands in every crash as well.
    void theMostSpecificPartIsRefusedFirst()
    {
        for (int i = 0; i < 3; ++i) {
            crash({"first", "a"});
        }
        CPPUNIT_ASSERT(isRefused({"a"}));
        CPPUNIT_ASSERT(!isRefused({"first"}));
    }

    // The crashes were those of the next suspect, so that the first one is released.
    void theNextSuspectIsRefusedIfTheCrashesGoOn()
    {
        for (int i = 0; i < 3; ++i) {
            crash({"first", "a"});
        }
        crash({"first", "b"});
        CPPUNIT_ASSERT(isRefused({"first"}));
        CPPUNIT_ASSERT(!isRefused({"a"}));
    }

    // Sessions come to all nodes, so that the node which sees a crash may not know their answers.
    void answersAtOtherNodesCount()
    {
        CrashingParts other;
        other.answered(Llm, partsOf({"a"}), at(0), at(1));
        const auto news = other.merge(crash({"a"}), at(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, news.size());
        CPPUNIT_ASSERT(news.front().crashes.wasAnswered);
        m_parts.merge(news, at(m_now));
        crash({"a"});
        crash({"a"});
        CPPUNIT_ASSERT(!isRefused({"a"}));
    }

    // A node that starts finds crashes in the store whose series may have ended since.
    void aNodeThatMissedAnAnswerIsCorrected()
    {
        CrashingParts started;
        started.merge(crash({"a"}), at(m_now));
        answer({"a"}, ++m_now);
        const auto outdated = started.attribute(
            Llm, {{partsOf({"a"}), started.knownParts(Llm, partsOf({"a"})), {}}}, at(++m_now));
        started.merge(m_parts.merge(outdated.notes, at(m_now)), at(m_now));
        CPPUNIT_ASSERT_EQUAL(0U, started.records().crashesOf({Llm, partIdOf("a")}).count);
    }

    void anAnsweredPartNeedsMoreCrashes()
    {
        answer({"a"}, m_now);
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(!isRefused({"a"}));
            crash({"a"});
        }
        CPPUNIT_ASSERT(isRefused({"a"}));
    }

    // A caller whose own bodies crash servers names a part of others.
    void oneCallerCannotHaveTheOthersRefused()
    {
        const OrganisationKey other(7);
        for (int i = 0; i < 4; ++i) {
            crash({"a"}, OrganisationKey(1));
        }
        CPPUNIT_ASSERT(m_parts.refusal(Llm, partsOf({"a"}), OrganisationKey(1), at(m_now)));
        CPPUNIT_ASSERT(!m_parts.refusal(Llm, partsOf({"a"}), other, at(m_now)));
        crash({"a"}, other);
        CPPUNIT_ASSERT(m_parts.refusal(Llm, partsOf({"a"}), OrganisationKey(9), at(m_now)));
    }

    void madeUpPartsDoNotHideTheGuiltyOne()
    {
        constexpr int Crashes = 40;
        for (int i = 0; i < Crashes && !isRefused({"a"}); ++i) {
            std::vector<std::string> names {"a"};
            for (int made = 0; made < 200; ++made) {
                names.push_back("m" + std::to_string(i * 1'000 + made));
            }
            crash(names);
        }
        CPPUNIT_ASSERT(isRefused({"a"}));
    }

    void madeUpPartsFillNoTable()
    {
        for (int i = 0; i < 3; ++i) {
            crash({"a"});
        }
        for (int i = 0; i < 500; ++i) {
            std::vector<std::string> names;
            for (int made = 0; made < 50; ++made) {
                names.push_back("m" + std::to_string(i * 1'000 + made));
            }
            crash(names);
            answer(names, ++m_now);
        }
        CPPUNIT_ASSERT(m_parts.records().size() <= PartCrashRecords::MaxRecords);
        CPPUNIT_ASSERT(m_parts.answeredParts() <= AnsweredParts::MaxParts);
        CPPUNIT_ASSERT(isRefused({"a"}));
    }

    void nodesAgreeInWhateverOrderTheyHear()
    {
        PartCrashNotes notes;
        for (int i = 0; i < 3; ++i) {
            const auto some = crash({"first", "a"});
            notes.insert(notes.end(), some.begin(), some.end());
        }
        CrashingParts forwards;
        CrashingParts backwards;
        forwards.merge(notes, at(m_now));
        backwards.merge({notes.rbegin(), notes.rend()}, at(m_now));
        for (const CrashingParts *node : {&forwards, &backwards}) {
            CPPUNIT_ASSERT(node->refusal(Llm, partsOf({"a"}), {}, at(m_now)));
            CPPUNIT_ASSERT(!node->refusal(Llm, partsOf({"first"}), {}, at(m_now)));
        }
        // Notes that come again lead to nothing that the other node does not know.
        CPPUNIT_ASSERT(backwards.merge(forwards.merge(notes, at(m_now)), at(m_now)).empty());
    }

    void aRefusalEndsAndTheNextCrashRenewsIt()
    {
        for (int i = 0; i < 3; ++i) {
            crash({"a"});
        }
        m_now += 10 * 60'000;
        CPPUNIT_ASSERT(!isRefused({"a"}));
        crash({"a"});
        CPPUNIT_ASSERT(isRefused({"a"}));
        m_now += 21 * 60'000;
        m_parts.removeExpired(at(m_now));
        CPPUNIT_ASSERT(m_parts.records().isEmpty());
    }

    void otherServicesAreNotRefused()
    {
        for (int i = 0; i < 3; ++i) {
            crash({"a"});
        }
        CPPUNIT_ASSERT(!m_parts.refusal(ServiceName("web"), partsOf({"a"}), {}, at(m_now)));
    }

private:
    LostRun runOf(const std::vector<std::string> &names, OrganisationKey organisation = {})
    {
        const std::vector<PartId> parts = partsOf(names);
        return {parts, m_parts.knownParts(Llm, parts), organisation};
    }

    /** Crashes a server under a request that was sent when all earlier crashes were known. */
    PartCrashNotes crash(const std::vector<std::string> &names, OrganisationKey organisation = {})
    {
        m_now += 10;
        return m_parts.attribute(Llm, {runOf(names, organisation)}, at(m_now)).notes;
    }

    EndedSeries answer(const std::vector<std::string> &names, int since)
    {
        m_now = std::max(m_now, since) + 300;
        return m_parts.answered(Llm, partsOf(names), at(since), at(m_now));
    }

    bool isRefused(const std::vector<std::string> &names) const
    {
        return m_parts.refusal(Llm, partsOf(names), {}, at(m_now)).has_value();
    }

    std::uint32_t countOf(const std::string &name) const
    {
        return m_parts.records().crashesOf({Llm, partIdOf(name)}).count;
    }

    CrashingParts m_parts;
    int m_now = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartsTest);
