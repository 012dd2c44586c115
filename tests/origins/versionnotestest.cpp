#include "origins/versionnotes.h"

#include "store/mirror.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::origins;
using namespace std::chrono_literals;

namespace {

const ServiceName Llm("llm");
constexpr char Prefix[] = "versions/";
constexpr Duration Late = std::chrono::milliseconds(400);

TimePoint at(Duration time)
{
    return TimePoint {} + std::chrono::hours(1) + time;
}

/** The notes of one node, and the store that they are written to. */
class Notes
{
public:
    VersionNotes &notes() { return m_notes; }
    /** Writes what is due; returns the number of writes. */
    std::size_t write(Duration time, const std::set<std::string> &present, Duration delay = {})
    {
        const auto writes = m_notes.dueWrites(at(time), {{Llm, present}}, delay);
        for (const VersionNotes::Write &write : writes) {
            put(write.note);
        }
        return writes.size();
    }
    void put(const VersionNote &note)
    {
        const std::string text = encode(note);
        m_notes.apply(versionNoteKey(Prefix, note.origin), &text, ++m_revision);
    }
    void remove(const std::string &version)
    {
        m_notes.apply(versionNoteKey(Prefix, {Llm, version}), nullptr, ++m_revision);
    }

private:
    VersionNotes m_notes;
    std::uint64_t m_revision = 0;
};

} // namespace

class VersionNotesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionNotesTest);
    CPPUNIT_TEST(notesAVersionOnce);
    CPPUNIT_TEST(endsTheNoteOfAVersionWithoutServers);
    CPPUNIT_TEST(versionThatReturnsIsNotedAnew);
    CPPUNIT_TEST(endingVersionStillCountsAsPossible);
    CPPUNIT_TEST(othersWriteWhatTheFirstWriterDoesNot);
    CPPUNIT_TEST(writesAgainWhatWasNotWritten);
    CPPUNIT_TEST(writesUnderTheConditionOfTheKnownRevision);
    CPPUNIT_TEST(noteThatEndedWhileTheHistoryWasGoneIsForgotten);
    CPPUNIT_TEST(longerPatienceIsNotedInFewSteps);
    CPPUNIT_TEST(unreadableItemIsNoNote);
    CPPUNIT_TEST(readsWhatItEncodes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a write for each stream.
    void notesAVersionOnce()
    {
        Notes node;
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, node.write(0ms, {"v1"}));
        CPPUNIT_ASSERT(node.notes().isNoted({Llm, "v1"}));
        for (int second = 0; second < 100; ++second) {
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, node.write(std::chrono::seconds(second), {"v1"}));
        }
    }

    // Guards against several versions being possible for ever after a release, and against a note
    // that ends while nodes with an older copy still begin streams.
    void endsTheNoteOfAVersionWithoutServers()
    {
        Notes node;
        node.write(0ms, {"v1", "v2"});
        const Duration gone = 10s;
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, node.write(gone, {"v2"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0},
                             node.write(gone + VersionNotes::EndDelay - 1ms, {"v2"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, node.write(gone + VersionNotes::EndDelay, {"v2"}));
        CPPUNIT_ASSERT(!node.notes().isNoted({Llm, "v1"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, node.write(gone + 60s, {"v2"}));
    }

    // Guards against a server that comes back just as its version's note has ended.
    void versionThatReturnsIsNotedAnew()
    {
        Notes node;
        node.write(0ms, {"v1", "v2"});
        node.write(1s, {"v2"});
        node.write(1s + VersionNotes::EndDelay, {"v2"});
        CPPUNIT_ASSERT(!node.notes().isNoted({Llm, "v1"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, node.write(20s, {"v1", "v2"}));
        CPPUNIT_ASSERT(node.notes().isNoted({Llm, "v1"}));
        // A short absence ends nothing.
        node.write(21s, {"v2"});
        node.write(22s, {"v1", "v2"});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0},
                             node.write(22s + VersionNotes::EndDelay, {"v1", "v2"}));
    }

    // Guards against a stream of the old version that goes on at the new one after a release.
    void endingVersionStillCountsAsPossible()
    {
        Notes node;
        node.put({{Llm, "v1"}, 16s, true});
        node.put({{Llm, "v2"}, 16s, false});
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, node.notes().versionsOf(Llm).size());
        node.remove("v1");
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, node.notes().versionsOf(Llm).size());
        CPPUNIT_ASSERT(node.notes().versionsOf(ServiceName("other")).empty());
    }

    void othersWriteWhatTheFirstWriterDoesNot()
    {
        Notes node;
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, node.write(0ms, {"v1"}, Late));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, node.write(Late - 1ms, {"v1"}, Late));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, node.write(Late, {"v1"}, Late));
    }

    // Guards against a note that is lost with an answer of the store.
    void writesAgainWhatWasNotWritten()
    {
        VersionNotes notes;
        const VersionNotes::Present present {{Llm, {"v1"}}};
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, notes.dueWrites(at(0ms), present, {}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, notes.dueWrites(at(500ms), present, {}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, notes.dueWrites(at(1000ms), present, {}).size());
    }

    // Guards against a late end that removes the note of a version that has returned.
    void writesUnderTheConditionOfTheKnownRevision()
    {
        VersionNotes notes;
        const VersionNotes::Present present {{Llm, {"v1"}}};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0},
                             notes.dueWrites(at(0ms), present, {}).front().revision);
        const std::string text = encode(VersionNote {{Llm, "v1"}, 16s, false});
        notes.apply(versionNoteKey(Prefix, {Llm, "v1"}), &text, 7);
        notes.dueWrites(at(1s), {}, {});
        const auto ending = notes.dueWrites(at(1s + VersionNotes::EndDelay), {}, {});
        CPPUNIT_ASSERT(ending.front().note.isEnding);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {7}, ending.front().revision);
    }

    // Guards against a version that counts as possible for ever since nobody saw its note end.
    void noteThatEndedWhileTheHistoryWasGoneIsForgotten()
    {
        VersionNotes notes;
        Mirror mirror(
            {}, [&notes](const std::string &key, const StoredItem *item, std::uint64_t revision) {
                notes.apply(key, item ? &item->value : nullptr, revision);
            });
        const auto itemOf = [](const std::string &version, std::uint64_t revision) {
            const VersionNote note {{Llm, version}, 16s, false};
            return StoredItem {versionNoteKey(Prefix, note.origin), encode(note), revision, 1};
        };
        mirror.beginStoreCall();
        mirror.applyPage({{itemOf("v1", 3), itemOf("v2", 4)}, false, 10});
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, notes.versionsOf(Llm).size());
        mirror.beginStoreCall();
        mirror.callFailed(at(0ms), StoreError::HistoryGone);
        mirror.beginStoreCall();
        mirror.applyPage({{itemOf("v2", 4)}, false, 90});
        CPPUNIT_ASSERT(notes.versionsOf(Llm) == std::set<std::string> {"v2"});
    }

    // Guards against a note that expires before patient callers resume their streams.
    void longerPatienceIsNotedInFewSteps()
    {
        Notes node;
        node.write(0ms, {"v1"});
        node.notes().recordPatience(14s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, node.write(1s, {"v1"}));
        std::size_t writes = 0;
        for (int i = 1; i < 2'000; ++i) {
            node.notes().recordPatience(std::chrono::seconds(i));
            writes += node.write(std::chrono::seconds(2 * i), {"v1"});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {6}, writes);
        CPPUNIT_ASSERT(node.notes().patience() == VersionNotes::MaxPatience);
    }

    void unreadableItemIsNoNote()
    {
        VersionNotes notes;
        for (const std::string text :
             {"", "{}", "[]", "[1,2,3,4]", "[\"llm\",\"v1\",\"x\",true]"}) {
            notes.apply("versions/x", &text, 1);
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, notes.size());
        }
    }

    void readsWhatItEncodes()
    {
        const VersionNote note {{Llm, "v\"1"}, 16s, true};
        CPPUNIT_ASSERT(readVersionNote(encode(note)) == note);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionNotesTest);
