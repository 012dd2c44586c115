#include "fleet/leadership.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

const std::string Mine = "n1/1";
const std::string Other = "n2/7";
constexpr std::uint64_t Token = 40;

} // namespace

class LeadershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeadershipTest);
    CPPUNIT_TEST(firstHolderActsWithoutDelay);
    CPPUNIT_TEST(nextHolderWaitsForTakeoverDelay);
    CPPUNIT_TEST(takeoverDelayIsIndependentOfEventOrder);
    CPPUNIT_TEST(noTakeoverDelayBeforeFirstOrder);
    CPPUNIT_TEST(noTokenWithoutRecord);
    CPPUNIT_TEST(noTokenWithoutRecentRenewal);
    CPPUNIT_TEST(noTokenAfterLosingTheRight);
    CPPUNIT_TEST(suspensionRequiresNewRenewal);
    CPPUNIT_TEST(earlierIncarnationIsAnotherHolder);
    CPPUNIT_TEST(acquiresOnlyWithoutHolder);
    CPPUNIT_TEST_SUITE_END();

public:
    void firstHolderActsWithoutDelay()
    {
        Leadership leadership(Mine);
        CPPUNIT_ASSERT(!leadership.fencingToken(at(0), at(0)));
        leadership.updateHolder(&Mine, Token, at(0));
        leadership.updateRecord(Token + 1);
        CPPUNIT_ASSERT_EQUAL(Token, *leadership.fencingToken(at(10), at(5)));
    }

    // Guards against two nodes that give orders at the same time: the previous holder may act until
    // its last renewal is too old, and these engines do not check tokens.
    void nextHolderWaitsForTakeoverDelay()
    {
        Leadership leadership(Mine);
        leadership.updateRecord(Token - 1);
        leadership.updateHolder(&Mine, Token, at(0));
        CPPUNIT_ASSERT(!leadership.fencingToken(at(5'000), at(4'900)));
        CPPUNIT_ASSERT(leadership.fencingToken(at(6'100), at(6'000)).has_value());
        const Duration gap = Leadership::TakeoverDelay - Leadership::RenewalValidity;
        CPPUNIT_ASSERT(gap > std::chrono::milliseconds(3000));
    }

    // Guards against a missed delay if the record arrives after the item that gives this node the
    // right.
    void takeoverDelayIsIndependentOfEventOrder()
    {
        Leadership leadership(Mine);
        leadership.updateHolder(&Mine, Token, at(0));
        leadership.updateRecord(Token - 1);
        CPPUNIT_ASSERT(!leadership.fencingToken(at(5'000), at(4'900)));
        CPPUNIT_ASSERT(leadership.fencingToken(at(6'100), at(6'000)).has_value());
    }

    // Guards against an unnecessary delay if the previous holder was lost before any order: the
    // record is written only if its writer still holds the right and no record exists.
    void noTakeoverDelayBeforeFirstOrder()
    {
        Leadership leadership(Mine);
        leadership.updateHolder(&Other, Token, at(0));
        leadership.updateHolder(nullptr, Token + 1, at(3'000));
        CPPUNIT_ASSERT(leadership.shouldAcquire(at(3'010)));
        leadership.updateHolder(&Mine, Token + 2, at(3'020));
        CPPUNIT_ASSERT(leadership.shouldWriteRecord(at(3'030)));
        CPPUNIT_ASSERT_EQUAL(Token + 2, leadership.revision());
        leadership.updateRecord(Token + 3);
        CPPUNIT_ASSERT_EQUAL(Token + 2, *leadership.fencingToken(at(3'050), at(3'040)));
    }

    // Guards against an order without a record, after which the next holder would not wait.
    void noTokenWithoutRecord()
    {
        Leadership leadership(Mine);
        CPPUNIT_ASSERT(!leadership.shouldWriteRecord(at(0)));
        leadership.updateHolder(&Mine, Token, at(0));
        CPPUNIT_ASSERT(!leadership.fencingToken(at(10), at(5)));
        CPPUNIT_ASSERT(leadership.shouldWriteRecord(at(20)));
        CPPUNIT_ASSERT(!leadership.shouldWriteRecord(at(500)));
        CPPUNIT_ASSERT(leadership.shouldWriteRecord(at(1'500)));
        leadership.updateRecord(Token + 1);
        CPPUNIT_ASSERT(!leadership.shouldWriteRecord(at(3'000)));
        leadership.updateHolder(&Other, Token + 2, at(4'000));
        CPPUNIT_ASSERT(!leadership.shouldWriteRecord(at(5'000)));
    }

    void noTokenWithoutRecentRenewal()
    {
        Leadership leadership(Mine);
        leadership.updateHolder(&Mine, Token, at(0));
        leadership.updateRecord(Token + 1);
        CPPUNIT_ASSERT(leadership.fencingToken(at(1'000), at(0)).has_value());
        CPPUNIT_ASSERT(!leadership.fencingToken(at(1'600), at(0)));
        CPPUNIT_ASSERT(leadership.fencingToken(at(1'700), at(1'650)).has_value());
    }

    void noTokenAfterLosingTheRight()
    {
        Leadership leadership(Mine);
        leadership.updateHolder(&Mine, Token, at(0));
        leadership.updateRecord(Token + 1);
        leadership.updateHolder(nullptr, Token + 1, at(100));
        CPPUNIT_ASSERT(!leadership.fencingToken(at(110), at(105)));
        leadership.updateHolder(&Other, Token + 2, at(200));
        CPPUNIT_ASSERT(!leadership.fencingToken(at(210), at(205)));
    }

    // Guards against orders after a suspension of the VM, whose steady clock stops: the lease looks
    // valid while another node may hold the right.
    void suspensionRequiresNewRenewal()
    {
        Leadership leadership(Mine);
        leadership.updateHolder(&Mine, Token, at(0));
        leadership.updateRecord(Token + 1);
        leadership.handleSuspension(at(500));
        CPPUNIT_ASSERT(!leadership.fencingToken(at(510), at(450)));
        CPPUNIT_ASSERT(leadership.fencingToken(at(700), at(600)).has_value());
    }

    void earlierIncarnationIsAnotherHolder()
    {
        Leadership leadership("n1/2");
        leadership.updateHolder(&Mine, Token, at(0));
        CPPUNIT_ASSERT(!leadership.fencingToken(at(10), at(5)));
        CPPUNIT_ASSERT(!leadership.shouldAcquire(at(10)));
    }

    void acquiresOnlyWithoutHolder()
    {
        Leadership leadership(Mine);
        CPPUNIT_ASSERT(leadership.shouldAcquire(at(0)));
        CPPUNIT_ASSERT(!leadership.shouldAcquire(at(500)));
        CPPUNIT_ASSERT(leadership.shouldAcquire(at(1'500)));
        leadership.updateHolder(&Other, Token, at(1'600));
        CPPUNIT_ASSERT(!leadership.shouldAcquire(at(9'000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadershipTest);
