#include "scheduling/schedulerchoice.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

NodeEntry node(const std::string &name, double processors, const std::string &address = "x:1")
{
    NodeEntry entry;
    entry.name = NodeName(name);
    entry.cpuShare = processors;
    entry.schedulingAddress = address;
    return entry;
}

std::optional<NodeEntry> schedulerAmong(const std::vector<NodeEntry> &members)
{
    std::vector<const NodeEntry *> pointers;
    for (const NodeEntry &member : members) {
        pointers.push_back(&member);
    }
    return schedulerOf(pointers);
}

} // namespace

class SchedulerChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerChoiceTest);
    CPPUNIT_TEST(theLargestVmSchedules);
    CPPUNIT_TEST(amongEqualsTheFirstByName);
    CPPUNIT_TEST(aNodeThatComesBackTakesNothingOver);
    CPPUNIT_TEST(restartsOfAllChangeNothing);
    CPPUNIT_TEST(onlyNodesThatTakeClaims);
    CPPUNIT_TEST_SUITE_END();

public:
    void theLargestVmSchedules()
    {
        const auto chosen = schedulerAmong({node("a", 0.12), node("b", 0.5), node("c", 0.25)});
        CPPUNIT_ASSERT(chosen->name == NodeName("b"));
    }

    // All nodes must agree, in whatever order they learnt of each other.
    void amongEqualsTheFirstByName()
    {
        CPPUNIT_ASSERT(schedulerAmong({node("b", 1), node("a", 1)})->name == NodeName("a"));
        CPPUNIT_ASSERT(schedulerAmong({node("a", 1), node("b", 1)})->name == NodeName("a"));
    }

    // A node was cut off for a while and announces itself again. If it took over for its name, the
    // one that knows what the engines hold would be replaced by one that knows nothing.
    void aNodeThatComesBackTakesNothingOver()
    {
        NodeEntry back = node("a", 1);
        back.announcedSince = 90;
        NodeEntry present = node("b", 1);
        present.announcedSince = 12;
        CPPUNIT_ASSERT(schedulerAmong({back, present})->name == NodeName("b"));
    }

    // All processes are killed at once and start again one after the other, before their leases
    // end. If the one that has not announced itself anew yet counted as the oldest, the scheduler
    // would change hands with each of them, and each new one would know nothing.
    void restartsOfAllChangeNothing()
    {
        NodeEntry first = node("a", 1);
        first.announcedSince = 5;
        NodeEntry second = node("b", 1);
        second.announcedSince = 7;
        first.announcedAt = 100;
        second.announcedAt = 7;
        CPPUNIT_ASSERT(schedulerAmong({first, second})->name == NodeName("a"));
        second.announcedAt = 101;
        CPPUNIT_ASSERT(schedulerAmong({first, second})->name == NodeName("a"));
    }

    void onlyNodesThatTakeClaims()
    {
        CPPUNIT_ASSERT(schedulerAmong({node("a", 1, ""), node("b", 0.1)})->name == NodeName("b"));
        CPPUNIT_ASSERT(!schedulerAmong({node("a", 1, "")}));
        CPPUNIT_ASSERT(!schedulerAmong({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerChoiceTest);
