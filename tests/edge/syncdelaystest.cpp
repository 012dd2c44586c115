#include "edge/syncdelays.h"

#include "fleet/leadership.h"
#include "fleet/nodeannouncer.h"
#include "fleet/upstreamselector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <string>

using namespace indigoway;
using namespace indigoway::syncdelays;

namespace {

using std::chrono::milliseconds;

/** Time kept free in each sum for messages, and for processes that are given little time. */
constexpr Duration Margin = milliseconds(100);
/** The bounds of the contract, less half a second. */
constexpr Duration MaxSmallDelay = milliseconds(1500);
constexpr Duration MaxAge = milliseconds(4500);
constexpr Duration MaxRecovery = milliseconds(500);
/** The maximum age of a copy as nodes use it: 5 s less 0.2 s for clocks, see EdgeNode. */
constexpr Duration MaxCopyAge = milliseconds(4800);
/** Nodes of a failure domain in the largest fleet: 2,000 in five domains. */
constexpr std::size_t MaxDomainNodes = 400;

/** Returns the number of nodes between the watcher and the lowest level of the regular tree. */
int hopsBelowWatcher()
{
    int hops = 0;
    std::size_t level = 1;
    for (std::size_t placed = 1; placed < MaxDomainNodes; placed += level) {
        level *= UpstreamSelector::MaxChildren;
        ++hops;
    }
    return hops;
}

Duration partOf(double ratio, Duration whole)
{
    return std::chrono::duration_cast<Duration>(ratio * whole);
}

/** Returns the sum that docs/design/whole-fleet.md lists for @p chain, in milliseconds. */
int listedSum(const std::string &chain)
{
    std::ifstream page("docs/design/whole-fleet.md");
    for (std::string line; std::getline(page, line);) {
        if (!line.starts_with("| " + chain + " |")) {
            continue;
        }
        std::string sum;
        for (const char one : line.substr(line.find("= ") + 2)) {
            if (one == ' ') {
                break;
            }
            if (one != ',') {
                sum += one;
            }
        }
        return std::stoi(sum);
    }
    return -1;
}

/** Checks a sum against its bound and against the page. */
void checkChain(const std::string &chain, Duration sum, Duration bound)
{
    CPPUNIT_ASSERT_MESSAGE(chain, sum <= bound);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(chain, static_cast<int>(sum / milliseconds(1)), listedSum(chain));
}

} // namespace

/** Computes the worst sums of fixed delays from their constants; see the page for the chains. */
class SyncDelaysTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SyncDelaysTest);
    CPPUNIT_TEST(changeAfterLossOfSource);
    CPPUNIT_TEST(changeAfterNextLoss);
    CPPUNIT_TEST(proofWithoutSource);
    CPPUNIT_TEST(proofAfterOutage);
    CPPUNIT_TEST(regularProofPreventsSearch);
    CPPUNIT_TEST(contactReachesLowestLevel);
    CPPUNIT_TEST(ordersOfTwoHolders);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a delay that uses up the bound of small deployments. */
    void changeAfterLossOfSource()
    {
        checkChain("change, source silent", lossNoticed() + storeAsked(), MaxSmallDelay - Margin);
    }

    /** A source is adopted with all changes from before the loss, so only the next one counts. */
    void changeAfterNextLoss()
    {
        checkChain("change, next source silent", nextLossNoticed() + storeAsked(),
                   MaxSmallDelay - Margin);
    }

    void proofWithoutSource()
    {
        checkChain("proof, source without one",
                   partOf(SearchAgeRatio, MaxCopyAge) + Tick + storeAsked(), MaxAge - Margin);
    }

    void proofAfterOutage()
    {
        checkChain("proof after an outage", SourceSearch::DeputyInterval + Tick,
                   MaxRecovery - Margin);
    }

    /** Guards against searches, and calls to the store, without any fault. */
    void regularProofPreventsSearch()
    {
        checkChain("regular proof, lowest level",
                   MaxCopyAge / ProofsPerMaxAge + Tick + hopsBelowWatcher() * PeerHold,
                   partOf(SearchAgeRatio, MaxCopyAge) - Margin);
    }

    /** Guards against nodes that take a source for lost because its contact arrives late. */
    void contactReachesLowestLevel()
    {
        checkChain("contact, lowest level",
                   MaxWithheldContactAge + WatchHold + hopsBelowWatcher() * PeerHold,
                   MaxContactAge - Margin);
    }

    /** Guards against engines that obey two nodes alternately. */
    void ordersOfTwoHolders()
    {
        constexpr Duration MinTimeBetweenHolders = milliseconds(3000);
        checkChain("orders of two holders", Leadership::RenewalValidity + MinTimeBetweenHolders,
                   Leadership::TakeoverDelay - Margin);
        CPPUNIT_ASSERT(Leadership::RenewalValidity < NodeAnnouncer::MinLifetime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SyncDelaysTest);
