#include "ratelimits/announcedratelimits.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::ratelimits;
using namespace std::chrono_literals;

namespace {

const ServerName Server("s");

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

} // namespace

class AnnouncedRateLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnnouncedRateLimitsTest);
    CPPUNIT_TEST(reportsChanges);
    CPPUNIT_TEST(answerToAnEarlierCallDoesNotEndALimit);
    CPPUNIT_TEST(forgetsAServer);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsChanges()
    {
        AnnouncedRateLimits limits;
        CPPUNIT_ASSERT(!limits.record(Server, std::nullopt, at(0s), at(1s)));
        CPPUNIT_ASSERT(limits.record(Server, 3.7, at(1s), at(2s)));
        CPPUNIT_ASSERT(!limits.record(Server, 3.7, at(2s), at(3s)));
        CPPUNIT_ASSERT(limits.record(Server, 1.9, at(3s), at(4s)));
        CPPUNIT_ASSERT_EQUAL(1.9, limits.find(Server)->perSecond);
        CPPUNIT_ASSERT(limits.record(Server, std::nullopt, at(5s), at(6s)));
        CPPUNIT_ASSERT(!limits.find(Server));
    }

    // Guards against ending a limit because of an answer that the server sent before announcing it.
    void answerToAnEarlierCallDoesNotEndALimit()
    {
        AnnouncedRateLimits limits;
        limits.record(Server, 3.7, at(1s), at(2s));
        CPPUNIT_ASSERT(!limits.record(Server, std::nullopt, at(1s), at(3s)));
        CPPUNIT_ASSERT(limits.find(Server));
    }

    void forgetsAServer()
    {
        AnnouncedRateLimits limits;
        limits.record(Server, 3.7, at(1s), at(2s));
        CPPUNIT_ASSERT(limits.announcedBefore(at(2s)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, limits.announcedBefore(at(3s)).size());
        limits.forget(Server);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, limits.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncedRateLimitsTest);
