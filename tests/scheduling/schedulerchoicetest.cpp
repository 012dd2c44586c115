#include "scheduling/schedulerchoice.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

NodeEntry node(const std::string &name, double processors, const std::string &address = "x:1")
{
    NodeEntry entry;
    entry.name = NodeName(name);
    entry.processors = processors;
    entry.scheduling = address;
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
    CPPUNIT_TEST(choosesLargestVm);
    CPPUNIT_TEST(choosesFirstNameAmongEquals);
    CPPUNIT_TEST(returningNodeDoesNotTakeOver);
    CPPUNIT_TEST(simultaneousRestartsChangeNothing);
    CPPUNIT_TEST(ignoresNodesWithoutSchedulingAddress);
    CPPUNIT_TEST_SUITE_END();

public:
    void choosesLargestVm()
    {
        const auto chosen = schedulerAmong({node("a", 0.12), node("b", 0.5), node("c", 0.25)});
        CPPUNIT_ASSERT(chosen->name == NodeName("b"));
    }

    // Guards against a choice that depends on the order of the members.
    void choosesFirstNameAmongEquals()
    {
        CPPUNIT_ASSERT(schedulerAmong({node("b", 1), node("a", 1)})->name == NodeName("a"));
        CPPUNIT_ASSERT(schedulerAmong({node("a", 1), node("b", 1)})->name == NodeName("a"));
    }

    // Guards against replacing an active scheduler by a returning node that has no state.
    void returningNodeDoesNotTakeOver()
    {
        NodeEntry back = node("a", 1);
        back.announcedSince = 90;
        NodeEntry available = node("b", 1);
        available.announcedSince = 12;
        CPPUNIT_ASSERT(schedulerAmong({back, available})->name == NodeName("b"));
    }

    // Guards against changing the scheduler with each node while all processes restart in turn.
    void simultaneousRestartsChangeNothing()
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

    void ignoresNodesWithoutSchedulingAddress()
    {
        CPPUNIT_ASSERT(schedulerAmong({node("a", 1, ""), node("b", 0.1)})->name == NodeName("b"));
        CPPUNIT_ASSERT(!schedulerAmong({node("a", 1, "")}));
        CPPUNIT_ASSERT(!schedulerAmong({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerChoiceTest);
