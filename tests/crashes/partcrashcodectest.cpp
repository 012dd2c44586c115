#include "crashes/partcrashcodec.h"

#include "core/jsontext.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::crashes;

namespace {

PartCrashNote noteOf(std::uint64_t part)
{
    return {ServiceName("llm"),
            PartId(part),
            {3, 2, true, OrganisationKey(1'000'000'000'000'000'007), true, PartId(9)}};
}

} // namespace

class PartCrashCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartCrashCodecTest);
    CPPUNIT_TEST(notesSurviveDatagramsAndItems);
    CPPUNIT_TEST(datagramsAreShort);
    CPPUNIT_TEST(foreignTextIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void notesSurviveDatagramsAndItems()
    {
        const std::vector<PartCrashNote> notes {noteOf(0xffffffffffffffff), noteOf(1)};
        const auto datagrams = encodeDatagrams(NodeName("n1"), notes);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, datagrams.size());
        CPPUNIT_ASSERT(readPartCrashDatagram(parseJson(datagrams.front())) == notes);
        CPPUNIT_ASSERT(readPartCrashItem(encodeItem(notes.front())) == notes.front());
    }

    // A fragmented datagram is lost with any of its fragments.
    void datagramsAreShort()
    {
        constexpr std::size_t MaxDatagramBytes = 1'400;
        std::vector<PartCrashNote> notes(95, noteOf(0xffffffffffffffff));
        for (PartCrashNote &note : notes) {
            note.service = ServiceName(std::string(40, 's'));
        }
        std::size_t read = 0;
        for (const std::string &datagram : encodeDatagrams(NodeName("edge-1"), notes)) {
            CPPUNIT_ASSERT(datagram.size() <= MaxDatagramBytes);
            read += readPartCrashDatagram(parseJson(datagram))->size();
        }
        CPPUNIT_ASSERT_EQUAL(notes.size(), read);
    }

    void foreignTextIsRejected()
    {
        for (const char *text :
             {"", "{}", "[]", "[\"part-crashes\",\"n\",[[]]]", "[\"part-crashes\",\"n\",{}]",
              "[\"part-crashes\",\"n\",[[\"llm\",\"xyz\",0,1,false,0,false]]]",
              "[\"part-crashes\",\"n\",[[\"llm\",\"a\",-1,1,false,0,false]]]",
              "[\"other\",\"n\",[]]"}) {
            CPPUNIT_ASSERT(!readPartCrashDatagram(parseJson(text)));
            CPPUNIT_ASSERT(!readPartCrashItem(text));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartCrashCodecTest);
