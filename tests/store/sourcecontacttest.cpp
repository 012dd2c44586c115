#include "store/sourcecontact.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;

namespace {

BootTime at(int milliseconds)
{
    return BootTime(std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

} // namespace

class SourceContactTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SourceContactTest);
    CPPUNIT_TEST(neverMovesBack);
    CPPUNIT_TEST(refusesNodesThatDependOnThisOne);
    CPPUNIT_TEST(refusesNodesThatLostTheSameSource);
    CPPUNIT_TEST_SUITE_END();

public:
    void neverMovesBack()
    {
        SourceContact contact;
        CPPUNIT_ASSERT(!contact.age(at(0)).has_value());
        CPPUNIT_ASSERT(contact.isNewer(at(0)));
        contact.advanceTo(at(100));
        contact.advanceTo(at(50));
        CPPUNIT_ASSERT(contact.age(at(130)) == std::chrono::milliseconds(30));
    }

    /** Guards against two nodes that follow each other and take that for a source of changes. */
    void refusesNodesThatDependOnThisOne()
    {
        SourceContact parent;
        parent.advanceTo(at(100));
        SourceContact child;
        child.advanceTo(at(100));
        CPPUNIT_ASSERT(!parent.isNewer(at(100)));
        CPPUNIT_ASSERT(parent.isNewer(at(101)));
    }

    /** Guards against a chain of nodes of which none has noticed yet that its source is gone. */
    void refusesNodesThatLostTheSameSource()
    {
        SourceContact contact;
        contact.advanceTo(at(100));
        contact.sourceLost(at(900));
        CPPUNIT_ASSERT(!contact.isNewer(at(150)));
        CPPUNIT_ASSERT(!contact.isNewer(at(900)));
        CPPUNIT_ASSERT(contact.isNewer(at(950)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SourceContactTest);
