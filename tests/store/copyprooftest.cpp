#include "store/copyproof.h"

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

class CopyProofTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CopyProofTest);
    CPPUNIT_TEST(isAsOldAsTheQuestion);
    CPPUNIT_TEST(waitsForTheCopy);
    CPPUNIT_TEST(anAnswerReadLateIsOldNews);
    CPPUNIT_TEST(agesAddUpAlongTheWay);
    CPPUNIT_TEST(aNodeThatClaimsToHaveHeldTheQuestionForLongerThanItTookIsNotBelieved);
    CPPUNIT_TEST(neverSeemsYoungerThanItIs);
    CPPUNIT_TEST_SUITE_END();

public:
    void isAsOldAsTheQuestion()
    {
        CopyProof proof;
        CPPUNIT_ASSERT(!proof.age(at(0)));
        proof.answered(at(0), 7, 7);
        CPPUNIT_ASSERT(proof.age(at(30)) == Duration(30ms));
        proof.answered(at(-20), 7, 9); // An earlier question, answered later.
        CPPUNIT_ASSERT(proof.age(at(30)) == Duration(30ms));
    }

    // The store's watch holds a change back while the store itself says that there is one. Until
    // the change is there the copy is as old as it was before.
    void waitsForTheCopy()
    {
        CopyProof proof;
        proof.answered(at(0), 7, 7);
        proof.answered(at(1000), 8, 7);
        CPPUNIT_ASSERT(proof.age(at(1010)) == Duration(1010ms));
        proof.answered(at(2000), 9, 7);
        proof.copied(8);
        CPPUNIT_ASSERT(proof.age(at(2010)) == Duration(1010ms));
    }

    // The process asks, stands still for seconds while a key is taken away, and reads then what
    // the store had answered before. The answer looks new, and proves what was long ago.
    void anAnswerReadLateIsOldNews()
    {
        CopyProof proof;
        proof.answered(at(0), 7, 7);
        CPPUNIT_ASSERT(proof.age(at(8000)) == Duration(8s));
    }

    void agesAddUpAlongTheWay()
    {
        CopyProof proof;
        // Asked at 0, held for 0.8 s, and then 1.5 s old: as the store was at -0.7 s.
        proof.told(at(0), at(803), 800ms, 1500ms);
        CPPUNIT_ASSERT(proof.age(at(1000)) == Duration(1700ms));
    }

    void aNodeThatClaimsToHaveHeldTheQuestionForLongerThanItTookIsNotBelieved()
    {
        CopyProof proof;
        proof.told(at(0), at(100), 5s, 0ms);
        CPPUNIT_ASSERT(proof.age(at(100)) == Duration(0ms));
        proof.told(at(0), at(100), -5s, -5s);
        CPPUNIT_ASSERT(proof.age(at(100)) == Duration(0ms));
    }

    // A chain of nodes, the first of which asks the store. Questions and answers take any time,
    // nodes stand still between asking and reading, copies lag behind: whatever the order, no node
    // believes its copy to be newer than it is.
    void neverSeemsYoungerThanItIs()
    {
        const bool isTrue = rc::check([] {
            constexpr std::size_t Nodes = 4;
            std::vector<CopyProof> proofs(Nodes);
            std::vector<std::uint64_t> copies(Nodes, 0);
            std::vector<std::int64_t> changedAt {0}; // By revision.
            std::int64_t now = 0;
            const auto pass = [&] {
                now += *rc::gen::inRange<std::int64_t>(0, 3000);
            };
            const auto check = [&] {
                for (std::size_t node = 0; node < Nodes; ++node) {
                    const auto age = proofs[node].age(at(now));
                    const bool lacksChange = copies[node] + 1 < changedAt.size();
                    if (age && lacksChange) {
                        const auto missingFor =
                            std::chrono::milliseconds(now - changedAt[copies[node] + 1]);
                        RC_ASSERT(*age >= Duration(missingFor));
                    }
                }
            };
            for (int step = 0; step < 40; ++step) {
                pass();
                const auto node = *rc::gen::inRange<std::size_t>(0, Nodes);
                switch (*rc::gen::inRange(0, 3)) {
                case 0: // A change.
                    changedAt.push_back(now);
                    break;
                case 1: { // The first node asks the store.
                    const BootTime asked = at(now);
                    pass();
                    const std::uint64_t revision = changedAt.size() - 1;
                    pass();
                    proofs[0].answered(asked, revision, copies[0]);
                    copies[0] =
                        std::max(copies[0], *rc::gen::inRange<std::uint64_t>(0, changedAt.size()));
                    proofs[0].copied(copies[0]);
                    break;
                }
                default: { // A node asks the one before it.
                    if (node == 0) {
                        break;
                    }
                    const BootTime asked = at(now);
                    pass();
                    const std::int64_t arrived = now;
                    pass();
                    const auto age = proofs[node - 1].age(at(now));
                    const std::uint64_t copy = copies[node - 1];
                    const auto held = std::chrono::milliseconds(now - arrived);
                    pass();
                    copies[node] = std::max(copies[node], copy);
                    if (age) {
                        proofs[node].told(asked, at(now), held, *age);
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

CPPUNIT_TEST_SUITE_REGISTRATION(CopyProofTest);
