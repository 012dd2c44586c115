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
    CPPUNIT_TEST(theFirstHolderActsAtOnce);
    CPPUNIT_TEST(aLaterHolderWaits);
    CPPUNIT_TEST(aLaterHolderWaitsInWhateverOrderItHears);
    CPPUNIT_TEST(aHolderBeforeTheFirstOrderCostsNoWait);
    CPPUNIT_TEST(givesNoOrderThatIsNotOnRecord);
    CPPUNIT_TEST(actsOnlyWhileItsLeaseIsRenewed);
    CPPUNIT_TEST(stopsWhenTheRightIsTakenAway);
    CPPUNIT_TEST(standingStillEndsTheRight);
    CPPUNIT_TEST(anEarlierLifeOfTheSameNodeIsAnother);
    CPPUNIT_TEST(asksOnlyWhereNobodyHoldsIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void theFirstHolderActsAtOnce()
    {
        Leadership one(Mine);
        CPPUNIT_ASSERT(!one.token(at(0), at(0)));
        one.holderSeen(&Mine, Token, at(0));
        one.recordSeen(Token + 1);
        CPPUNIT_ASSERT_EQUAL(Token, *one.token(at(10), at(5)));
    }

    // Engines do not check tokens here. The holder before may have renewed its lease a moment
    // before the right was taken from it, and send orders until it learns of that. If the new one
    // began at once, two nodes would give orders by turns.
    void aLaterHolderWaits()
    {
        Leadership one(Mine);
        one.recordSeen(Token - 1);
        one.holderSeen(&Mine, Token, at(0));
        CPPUNIT_ASSERT(!one.token(at(5'000), at(4'900)));
        CPPUNIT_ASSERT(one.token(at(6'100), at(6'000)).has_value());
        const Duration apart = Leadership::WaitBeforeActing - Leadership::ActsAfterRenewal;
        CPPUNIT_ASSERT(apart > std::chrono::milliseconds(3000));
    }

    // The holder before wrote the record and lost the right a moment later. The new one hears of
    // both from another node, of its own right first.
    void aLaterHolderWaitsInWhateverOrderItHears()
    {
        Leadership one(Mine);
        one.holderSeen(&Mine, Token, at(0));
        one.recordSeen(Token - 1);
        CPPUNIT_ASSERT(!one.token(at(5'000), at(4'900)));
        CPPUNIT_ASSERT(one.token(at(6'100), at(6'000)).has_value());
    }

    // The VM that held the right is lost three seconds after the start, before anything was known
    // to order by. Nobody can be acting yet: the record is written under the condition that the
    // right is still the writer's, and is not there.
    void aHolderBeforeTheFirstOrderCostsNoWait()
    {
        Leadership one(Mine);
        one.holderSeen(&Other, Token, at(0));
        one.holderSeen(nullptr, Token + 1, at(3'000));
        CPPUNIT_ASSERT(one.shouldAcquire(at(3'010)));
        one.holderSeen(&Mine, Token + 2, at(3'020));
        CPPUNIT_ASSERT(one.shouldRecord(at(3'030)));
        CPPUNIT_ASSERT_EQUAL(Token + 2, one.revision());
        one.recordSeen(Token + 3);
        CPPUNIT_ASSERT_EQUAL(Token + 2, *one.token(at(3'050), at(3'040)));
    }

    // If an order could leave before the record is there, a next holder would not know to wait.
    void givesNoOrderThatIsNotOnRecord()
    {
        Leadership one(Mine);
        CPPUNIT_ASSERT(!one.shouldRecord(at(0)));
        one.holderSeen(&Mine, Token, at(0));
        CPPUNIT_ASSERT(!one.token(at(10), at(5)));
        CPPUNIT_ASSERT(one.shouldRecord(at(20)));
        CPPUNIT_ASSERT(!one.shouldRecord(at(500)));
        CPPUNIT_ASSERT(one.shouldRecord(at(1'500)));
        one.recordSeen(Token + 1);
        CPPUNIT_ASSERT(!one.shouldRecord(at(3'000)));
        one.holderSeen(&Other, Token + 2, at(4'000));
        CPPUNIT_ASSERT(!one.shouldRecord(at(5'000)));
    }

    void actsOnlyWhileItsLeaseIsRenewed()
    {
        Leadership one(Mine);
        one.holderSeen(&Mine, Token, at(0));
        one.recordSeen(Token + 1);
        CPPUNIT_ASSERT(one.token(at(1'000), at(0)).has_value());
        CPPUNIT_ASSERT(!one.token(at(1'600), at(0)));
        CPPUNIT_ASSERT(one.token(at(1'700), at(1'650)).has_value());
    }

    void stopsWhenTheRightIsTakenAway()
    {
        Leadership one(Mine);
        one.holderSeen(&Mine, Token, at(0));
        one.recordSeen(Token + 1);
        one.holderSeen(nullptr, Token + 1, at(100));
        CPPUNIT_ASSERT(!one.token(at(110), at(105)));
        one.holderSeen(&Other, Token + 2, at(200));
        CPPUNIT_ASSERT(!one.token(at(210), at(205)));
    }

    // The VM is suspended for seconds and its steady clock with it. By that clock the lease is
    // fresh; in truth another node holds the right by now. No order may leave before a renewal
    // that was asked for after the wake has been answered.
    void standingStillEndsTheRight()
    {
        Leadership one(Mine);
        one.holderSeen(&Mine, Token, at(0));
        one.recordSeen(Token + 1);
        one.handleSuspension(at(500));
        CPPUNIT_ASSERT(!one.token(at(510), at(450)));
        CPPUNIT_ASSERT(one.token(at(700), at(600)).has_value());
    }

    void anEarlierLifeOfTheSameNodeIsAnother()
    {
        Leadership one("n1/2");
        one.holderSeen(&Mine, Token, at(0));
        CPPUNIT_ASSERT(!one.token(at(10), at(5)));
        CPPUNIT_ASSERT(!one.shouldAcquire(at(10)));
    }

    void asksOnlyWhereNobodyHoldsIt()
    {
        Leadership one(Mine);
        CPPUNIT_ASSERT(one.shouldAcquire(at(0)));
        CPPUNIT_ASSERT(!one.shouldAcquire(at(500)));
        CPPUNIT_ASSERT(one.shouldAcquire(at(1'500)));
        one.holderSeen(&Other, Token, at(1'600));
        CPPUNIT_ASSERT(!one.shouldAcquire(at(9'000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadershipTest);
