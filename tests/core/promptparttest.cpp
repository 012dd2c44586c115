#include <indigoway/promptpart.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;

class PromptPartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromptPartTest);
    CPPUNIT_TEST(spellingsOfANumberAreOnePart);
    CPPUNIT_TEST(anyOtherNameIsAPart);
    CPPUNIT_TEST(theLastPartIsNotShared);
    CPPUNIT_TEST_SUITE_END();

public:
    void spellingsOfANumberAreOnePart()
    {
        CPPUNIT_ASSERT(partIdOf("5C1e07a2") == partIdOf("0005c1e07A2"));
        CPPUNIT_ASSERT_EQUAL(std::string("5c1e07a2"), textOf(partIdOf("5c1e07a2")));
        CPPUNIT_ASSERT(parsePartId("5c1e07a2") == partIdOf("5c1e07a2"));
        CPPUNIT_ASSERT(!parsePartId(""));
        CPPUNIT_ASSERT(!parsePartId("0"));
        CPPUNIT_ASSERT(!parsePartId("10000000000000000"));
    }

    // A part with an unreadable id must not escape notice, nor be taken for "none".
    void anyOtherNameIsAPart()
    {
        CPPUNIT_ASSERT(!partIdOf("").isNone());
        CPPUNIT_ASSERT(!partIdOf("000").isNone());
        CPPUNIT_ASSERT(partIdOf("no number") != partIdOf("another"));
        CPPUNIT_ASSERT(partIdOf(std::string(10'000, 'f')) != partIdOf(std::string(9'999, 'f')));
    }

    // The last part is the request's own; if it also stands before, that one is shared.
    void theLastPartIsNotShared()
    {
        PromptPartList list;
        CPPUNIT_ASSERT(list.takeShared().empty());
        list.add("a");
        CPPUNIT_ASSERT(list.takeShared().empty());
        for (const char *name : {"a", "b", "a", "b"}) {
            list.add(name);
        }
        const std::vector<PartId> shared = list.takeShared();
        CPPUNIT_ASSERT(shared == std::vector({partIdOf("a"), partIdOf("b")}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptPartTest);
