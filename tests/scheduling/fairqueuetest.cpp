#include "scheduling/fairqueue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <tuple>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

using Entry = FairQueue::Entry;

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

OrganisationName organisation(int number)
{
    return number == 0 ? OrganisationName() : OrganisationName("o" + std::to_string(number));
}

Entry entryOf(int number, int latestStart, double tokenSeconds = 10'000)
{
    return {1, 0, at(latestStart), organisation(number), tokenSeconds, std::nullopt};
}

/** Returns the order by urgency, priority and latest start, without fairness. */
std::vector<std::size_t> plainOrder(const std::vector<Entry> &entries)
{
    std::vector<std::size_t> indexes(entries.size());
    std::iota(indexes.begin(), indexes.end(), std::size_t {0});
    std::ranges::stable_sort(indexes, [&](std::size_t a, std::size_t b) {
        return std::tie(entries[a].urgencyClass, entries[a].priority, entries[a].latestStart)
            < std::tie(entries[b].urgencyClass, entries[b].priority, entries[b].latestStart);
    });
    return indexes;
}

/** Returns a random queue with claims of up to @p organisations organisations. */
std::vector<Entry> arbitraryEntries(int organisations)
{
    return *rc::gen::container<std::vector<Entry>>(rc::gen::exec([organisations] {
        Entry entry = entryOf(*rc::gen::inRange(0, organisations), *rc::gen::inRange(0, 30),
                              *rc::gen::inRange(0, 30'000));
        entry.urgencyClass = *rc::gen::inRange(0, 3);
        entry.priority = *rc::gen::inRange<std::uint32_t>(0, 3);
        if (*rc::gen::inRange(0, 4) == 0) {
            entry.overtakenAt = at(*rc::gen::inRange(-3'000, 0));
        }
        return entry;
    }));
}

FairQueue arbitraryQueue()
{
    FairQueue queue;
    for (int i = 0; i < 5; ++i) {
        queue.charge(organisation(i), *rc::gen::inRange(0, 300'000), at(-*rc::gen::inRange(0, 20)),
                     at(0));
    }
    return queue;
}

} // namespace

class FairQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTest);
    CPPUNIT_TEST(orderIsUnchangedWithoutOrganisations);
    CPPUNIT_TEST(keepsEveryClaimAndClass);
    CPPUNIT_TEST(keepsOrderWithinOrganisation);
    CPPUNIT_TEST(leastServedGoesFirst);
    CPPUNIT_TEST(sharesByMemoryTime);
    CPPUNIT_TEST(overtakenClaimGoesFirst);
    CPPUNIT_TEST(forgetsUse);
    CPPUNIT_TEST(correctionRefundsCharge);
    CPPUNIT_TEST(boundsAccounts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a changed order where no claim names an organisation.
    void orderIsUnchangedWithoutOrganisations()
    {
        CPPUNIT_ASSERT(rc::check("no organisation", [] {
            const auto entries = arbitraryEntries(1);
            RC_ASSERT(arbitraryQueue().order(entries, at(0)) == plainOrder(entries));
        }));
    }

    // Guards against lost or repeated claims, and fairness that overrides urgency and priority.
    void keepsEveryClaimAndClass()
    {
        CPPUNIT_ASSERT(rc::check("permutation", [] {
            const auto entries = arbitraryEntries(5);
            const auto order = arbitraryQueue().order(entries, at(0));
            RC_ASSERT(std::ranges::is_permutation(order, plainOrder(entries)));
            RC_ASSERT(std::ranges::is_sorted(order, [&](std::size_t a, std::size_t b) {
                return std::tie(entries[a].urgencyClass, entries[a].priority)
                    < std::tie(entries[b].urgencyClass, entries[b].priority);
            }));
        }));
    }

    // Guards against an organisation whose own claims overtake each other.
    void keepsOrderWithinOrganisation()
    {
        CPPUNIT_ASSERT(rc::check("order within organisation", [] {
            auto entries = arbitraryEntries(5);
            for (Entry &entry : entries) {
                entry.overtakenAt.reset();
            }
            const auto order = arbitraryQueue().order(entries, at(0));
            const auto plain = plainOrder(entries);
            for (int i = 0; i < 5; ++i) {
                const auto isOther = [&](std::size_t index) {
                    return entries[index].organisation != organisation(i);
                };
                auto own = order;
                auto ownPlain = plain;
                std::erase_if(own, isOther);
                std::erase_if(ownPlain, isOther);
                RC_ASSERT(own == ownPlain);
            }
        }));
    }

    // Guards against a burst of one organisation that delays the single claim of another.
    void leastServedGoesFirst()
    {
        FairQueue queue;
        queue.charge(organisation(1), 100'000, at(0), at(0));
        std::vector<Entry> entries;
        for (int i = 0; i < 20; ++i) {
            entries.push_back(entryOf(1, i));
        }
        entries.push_back(entryOf(2, 500));
        CPPUNIT_ASSERT_EQUAL(std::size_t {20}, queue.order(entries, at(0)).front());
    }

    // Guards against counting claims instead of the memory-time that they take.
    void sharesByMemoryTime()
    {
        std::vector<Entry> entries;
        for (int i = 0; i < 40; ++i) {
            entries.push_back(entryOf(1, i, 30'000));
            entries.push_back(entryOf(2, i, 10'000));
        }
        const auto order = FairQueue().order(entries, at(0));
        const auto large = std::count_if(order.begin(), order.begin() + 20, [&](std::size_t index) {
            return entries[index].organisation == organisation(1);
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t {5}, large);
    }

    // Guards against a claim that waits while new claims of other organisations keep arriving.
    void overtakenClaimGoesFirst()
    {
        FairQueue queue;
        queue.charge(organisation(1), 1'000'000, at(0), at(0));
        Entry starved = entryOf(1, 10);
        std::vector<Entry> entries {entryOf(2, 100), entryOf(3, 100), starved};
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, queue.order(entries, at(0)).back());
        entries[2].overtakenAt = at(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, queue.order(entries, at(900)).back());
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, queue.order(entries, at(1'000)).front());
        // Not before claims of a more urgent priority.
        entries[2].priority = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, queue.order(entries, at(1'000)).back());
    }

    // Guards against an organisation that stays behind long after its burst.
    void forgetsUse()
    {
        FairQueue queue;
        queue.charge(organisation(1), 100'000, at(0), at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, queue.usage(at(0)).size());
        CPPUNIT_ASSERT(queue.usage(at(400'000)).empty());
    }

    // Guards against charging the expected memory-time of runs that end at once.
    void correctionRefundsCharge()
    {
        FairQueue queue;
        queue.charge(organisation(1), 50'000, at(0), at(0));
        queue.charge(organisation(2), 50'000, at(0), at(0));
        queue.charge(organisation(1), -50'000, at(0), at(5'000));
        const auto usage = queue.usage(at(5'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, usage.size());
        CPPUNIT_ASSERT(usage.front().organisation == organisation(2));
        // An account is never negative: that would put the organisation before all others.
        queue.charge(organisation(1), -90'000, at(6'000), at(6'000));
        queue.charge(organisation(1), 20'000, at(6'000), at(6'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, queue.usage(at(6'000)).size());
    }

    // Guards against memory that grows with the names in forged datagrams.
    void boundsAccounts()
    {
        FairQueue queue;
        constexpr int Names = static_cast<int>(FairQueue::MaxOrganisations) + 500;
        for (int i = 0; i < Names; ++i) {
            queue.charge(organisation(i), 1'000, at(0), at(0));
        }
        CPPUNIT_ASSERT(queue.usage(at(0)).size() <= FairQueue::MaxOrganisations + 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);
