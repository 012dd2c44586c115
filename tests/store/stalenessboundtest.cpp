#include "store/stalenessbound.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <vector>

using namespace indigoway;
using namespace std::chrono_literals;

namespace {

BootTime at(std::int64_t milliseconds)
{
    return BootTime {} + 1h + std::chrono::milliseconds(milliseconds);
}

} // namespace

class StalenessBoundTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StalenessBoundTest);
    CPPUNIT_TEST(ageCountsFromTheRequest);
    CPPUNIT_TEST(ageGrowsUntilCopyCatchesUp);
    CPPUNIT_TEST(lateAnswerIsStale);
    CPPUNIT_TEST(agesAddUpAlongChain);
    CPPUNIT_TEST(boundsHoldTimeOfPeer);
    CPPUNIT_TEST(neverUnderestimatesAge);
    CPPUNIT_TEST_SUITE_END();

public:
    void ageCountsFromTheRequest()
    {
        StalenessBound bound;
        CPPUNIT_ASSERT(!bound.age(at(0)));
        bound.revisionRead(at(0), 7, 7);
        CPPUNIT_ASSERT(bound.age(at(30)) == Duration(30ms));
        bound.revisionRead(at(-20), 7, 9); // An earlier request that is answered later.
        CPPUNIT_ASSERT(bound.age(at(30)) == Duration(30ms));
    }

    // Guards against a copy that counts as fresh before it has reached the store's revision.
    void ageGrowsUntilCopyCatchesUp()
    {
        StalenessBound bound;
        bound.revisionRead(at(0), 7, 7);
        bound.revisionRead(at(1000), 8, 7);
        CPPUNIT_ASSERT(bound.age(at(1010)) == Duration(1010ms));
        bound.revisionRead(at(2000), 9, 7);
        bound.copyAdvanced(8);
        CPPUNIT_ASSERT(bound.age(at(2010)) == Duration(1010ms));
    }

    // Guards against an answer that counts as fresh although it was read late after a suspension.
    void lateAnswerIsStale()
    {
        StalenessBound bound;
        bound.revisionRead(at(0), 7, 7);
        CPPUNIT_ASSERT(bound.age(at(8000)) == Duration(8s));
    }

    void agesAddUpAlongChain()
    {
        StalenessBound bound;
        // Sent at 0, held for 0.8 s, then 1.5 s stale: the store's state at -0.7 s.
        bound.peerAnswered(at(0), at(803), 800ms, 1500ms);
        CPPUNIT_ASSERT(bound.age(at(1000)) == Duration(1700ms));
    }

    void boundsHoldTimeOfPeer()
    {
        StalenessBound bound;
        bound.peerAnswered(at(0), at(100), 5s, 0ms);
        CPPUNIT_ASSERT(bound.age(at(100)) == Duration(0ms));
        bound.peerAnswered(at(0), at(100), -5s, -5s);
        CPPUNIT_ASSERT(bound.age(at(100)) == Duration(0ms));
    }

    // Guards against a node in a chain that underestimates the staleness of its copy, with random
    // delays, suspensions and lag.
    void neverUnderestimatesAge()
    {
        const bool isTrue = rc::check([] {
            constexpr std::size_t Nodes = 4;
            std::vector<StalenessBound> bounds(Nodes);
            std::vector<std::uint64_t> copies(Nodes, 0);
            std::vector<std::int64_t> changedAt {0}; // Indexed by revision.
            std::int64_t now = 0;
            const auto advanceTime = [&] {
                now += *rc::gen::inRange<std::int64_t>(0, 3000);
            };
            const auto check = [&] {
                for (std::size_t node = 0; node < Nodes; ++node) {
                    const auto age = bounds[node].age(at(now));
                    const bool lacksChange = copies[node] + 1 < changedAt.size();
                    if (age && lacksChange) {
                        const auto missingFor =
                            std::chrono::milliseconds(now - changedAt[copies[node] + 1]);
                        RC_ASSERT(*age >= Duration(missingFor));
                    }
                }
            };
            for (int step = 0; step < 40; ++step) {
                advanceTime();
                const auto node = *rc::gen::inRange<std::size_t>(0, Nodes);
                switch (*rc::gen::inRange(0, 3)) {
                case 0: // A change of the store.
                    changedAt.push_back(now);
                    break;
                case 1: { // The first node reads the store's revision.
                    const BootTime askedAt = at(now);
                    advanceTime();
                    const std::uint64_t revision = changedAt.size() - 1;
                    advanceTime();
                    bounds[0].revisionRead(askedAt, revision, copies[0]);
                    copies[0] =
                        std::max(copies[0], *rc::gen::inRange<std::uint64_t>(0, changedAt.size()));
                    bounds[0].copyAdvanced(copies[0]);
                    break;
                }
                default: { // A node requests updates from the previous one.
                    if (node == 0) {
                        break;
                    }
                    const BootTime askedAt = at(now);
                    advanceTime();
                    const std::int64_t arrivedAt = now;
                    advanceTime();
                    const auto age = bounds[node - 1].age(at(now));
                    const std::uint64_t copy = copies[node - 1];
                    const auto held = std::chrono::milliseconds(now - arrivedAt);
                    advanceTime();
                    copies[node] = std::max(copies[node], copy);
                    if (age) {
                        bounds[node].peerAnswered(askedAt, at(now), held, *age);
                    }
                    break;
                }
                }
                check();
            }
        });
        CPPUNIT_ASSERT(isTrue);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StalenessBoundTest);
