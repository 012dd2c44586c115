#include "scheduling/kvtransferfaults.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

ServerName numbered(const char *kind, int number)
{
    return ServerName(kind + std::to_string(number));
}

} // namespace

class KvTransferFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KvTransferFaultsTest);
    CPPUNIT_TEST(singleFailureBlamesNeither);
    CPPUNIT_TEST(blamesOnlyFaultyTarget);
    CPPUNIT_TEST(blamesOnlyFaultySource);
    CPPUNIT_TEST(severalFaultyTargetsBlameFewSources);
    CPPUNIT_TEST(exclusionExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    void singleFailureBlamesNeither()
    {
        KvTransferFaults faults;
        faults.recordFailure(ServerName("p"), ServerName("d"), at(0));
        faults.recordFailure(ServerName("p"), ServerName("d"), at(10));
        CPPUNIT_ASSERT(!faults.isFaultySource(ServerName("p"), at(20)));
        CPPUNIT_ASSERT(!faults.isFaultyTarget(ServerName("d"), at(20)));
    }

    // Guards against excluding prefill engines for the fault of one decode engine.
    void blamesOnlyFaultyTarget()
    {
        KvTransferFaults faults;
        for (int i = 0; i < 15; ++i) {
            faults.recordFailure(numbered("p", i), ServerName("d"), at(10 * i));
        }
        CPPUNIT_ASSERT(faults.isFaultyTarget(ServerName("d"), at(200)));
        for (int i = 0; i < 15; ++i) {
            CPPUNIT_ASSERT(!faults.isFaultySource(numbered("p", i), at(200)));
        }
    }

    // Guards against excluding decode engines for the fault of one prefill engine.
    void blamesOnlyFaultySource()
    {
        KvTransferFaults faults;
        for (int i = 0; i < 15; ++i) {
            faults.recordFailure(ServerName("p"), numbered("d", i), at(10 * i));
        }
        CPPUNIT_ASSERT(faults.isFaultySource(ServerName("p"), at(200)));
        for (int i = 0; i < 15; ++i) {
            CPPUNIT_ASSERT(!faults.isFaultyTarget(numbered("d", i), at(200)));
        }
    }

    // Guards against excluding prefill engines if several decode engines are faulty at once.
    void severalFaultyTargetsBlameFewSources()
    {
        KvTransferFaults faults;
        int time = 0;
        for (int i = 0; i < 60; ++i, time += 7) {
            faults.recordFailure(numbered("p", (i * 7) % 15), numbered("d", i % 4), at(time));
        }
        int sources = 0;
        for (int i = 0; i < 15; ++i) {
            sources += faults.isFaultySource(numbered("p", i), at(time)) ? 1 : 0;
        }
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(faults.isFaultyTarget(numbered("d", i), at(time)));
        }
        CPPUNIT_ASSERT(sources <= 1);
    }

    void exclusionExpires()
    {
        KvTransferFaults faults;
        faults.recordFailure(ServerName("p1"), ServerName("d"), at(0));
        faults.recordFailure(ServerName("p2"), ServerName("d"), at(100));
        CPPUNIT_ASSERT(faults.isFaultyTarget(ServerName("d"), at(2'500)));
        CPPUNIT_ASSERT(!faults.isFaultyTarget(ServerName("d"), at(2'700)));
        faults.recordFailure(ServerName("p1"), ServerName("d2"), at(3'000));
        CPPUNIT_ASSERT(!faults.isFaultySource(ServerName("p1"), at(3'001)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KvTransferFaultsTest);
