#include "scheduling/claimqueue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <tuple>

using namespace indigoway;
using namespace indigoway::scheduling;

namespace {

const ServiceName Llm("llm");

TimePoint at(int milliseconds)
{
    return TimePoint {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
}

ClaimKey keyOf(std::uint64_t number)
{
    return {{NodeName("n" + std::to_string(number % 3)), Incarnation(1)}, ClaimId(number)};
}

WaitingClaim waitingClaim(const char *organisation, int latestStart)
{
    WaitingClaim waiting;
    waiting.claim.service = Llm;
    waiting.claim.organisation = OrganisationName(organisation);
    waiting.claim.memory = {5'000, 400, 400};
    waiting.claim.maxWait = std::chrono::milliseconds(700);
    waiting.since = at(0);
    waiting.latestStart = at(latestStart);
    waiting.tokenSeconds = 15'000;
    return waiting;
}

WaitingClaim arbitraryClaim(const char *organisation)
{
    WaitingClaim waiting = waitingClaim(organisation, *rc::gen::inRange(-20, 40));
    waiting.claim.urgency =
        *rc::gen::element(Urgency::Resumed, Urgency::FirstAttempt, Urgency::Retried);
    waiting.claim.priority = *rc::gen::inRange<std::uint32_t>(0, 3);
    if (*rc::gen::inRange(0, 5) == 0) {
        waiting.claim.service = ServiceName("other");
    }
    return waiting;
}

/** Returns the order by urgency, priority and latest start, without fairness. */
std::vector<ClaimKey> plainOrder(const ClaimQueue::Claims &claims, TimePoint now, Duration wait)
{
    std::vector<std::tuple<int, std::uint32_t, TimePoint, ClaimKey>> entries;
    for (const auto &[key, waiting] : claims) {
        if (waiting.claim.service == Llm) {
            const bool isLate =
                waiting.claim.urgency == Urgency::FirstAttempt && now + wait > waiting.latestStart;
            entries.emplace_back(isLate ? 2 : static_cast<int>(waiting.claim.urgency),
                                 waiting.claim.priority, waiting.latestStart, key);
        }
    }
    std::ranges::stable_sort(entries, [](const auto &a, const auto &b) {
        return std::tie(std::get<0>(a), std::get<1>(a), std::get<2>(a))
            < std::tie(std::get<0>(b), std::get<1>(b), std::get<2>(b));
    });
    std::vector<ClaimKey> keys;
    for (const auto &entry : entries) {
        keys.push_back(std::get<3>(entry));
    }
    return keys;
}

std::vector<ClaimKey> servingOrder(const ClaimQueue &queue, TimePoint now, Duration wait)
{
    std::vector<ClaimKey> keys;
    for (const ClaimQueue::Entry *entry : queue.servingOrder(now, wait, Llm)) {
        keys.push_back(entry->first);
    }
    return keys;
}

} // namespace

class ClaimQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimQueueTest);
    CPPUNIT_TEST(orderIsUnchangedWithoutOrganisations);
    CPPUNIT_TEST(countsClaimsServedBefore);
    CPPUNIT_TEST(countsOnlyClaimsServedBeforeInFairOrder);
    CPPUNIT_TEST(overtakenClaimIsServedNext);
    CPPUNIT_TEST(noClaimIsOvertakenByItsOwnOrganisation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a changed order where no claim names an organisation, whatever was granted
    // earlier.
    void orderIsUnchangedWithoutOrganisations()
    {
        CPPUNIT_ASSERT(rc::check("serving order", [] {
            ClaimQueue queue;
            ClaimQueue::Claims claims;
            const auto count = *rc::gen::inRange<std::uint64_t>(0, 40);
            for (std::uint64_t i = 1; i <= count; ++i) {
                const WaitingClaim waiting = arbitraryClaim("");
                claims.emplace(keyOf(i), waiting);
                queue.add(keyOf(i), waiting);
            }
            const Duration wait = std::chrono::milliseconds(*rc::gen::inRange(0, 20));
            for (int round = 0; !claims.empty(); ++round) {
                const TimePoint now = at(round * 400);
                const auto expected = plainOrder(claims, now, wait);
                RC_ASSERT(servingOrder(queue, now, wait) == expected);
                // Grants a claim anywhere in the queue, as if those before it didn't fit.
                const auto granted = std::next(
                    claims.begin(),
                    static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, claims.size())));
                queue.takeGranted(now, granted->first);
                queue.recordOvertaking(now);
                claims.erase(granted);
            }
        }));
    }

    // Guards against a changed estimate of a new claim's wait where no claim names an organisation.
    void countsClaimsServedBefore()
    {
        CPPUNIT_ASSERT(rc::check("claims ahead", [] {
            ClaimQueue queue;
            std::vector<WaitingClaim> claims;
            const auto count = *rc::gen::inRange<std::uint64_t>(0, 40);
            for (std::uint64_t i = 1; i <= count; ++i) {
                claims.push_back(arbitraryClaim(""));
                queue.add(keyOf(i), claims.back());
            }
            const WaitingClaim claim = arbitraryClaim("");
            const auto expected = std::ranges::count_if(claims, [&](const WaitingClaim &other) {
                return other.claim.service == claim.claim.service
                    && std::tie(other.claim.urgency, other.claim.priority, other.latestStart)
                    <= std::tie(claim.claim.urgency, claim.claim.priority, claim.latestStart);
            });
            RC_ASSERT(static_cast<std::ptrdiff_t>(queue.servedBefore(at(0), claim).size())
                      == expected);
        }));
    }

    // Guards against refusing the claim of a small organisation for the queue of a large one.
    void countsOnlyClaimsServedBeforeInFairOrder()
    {
        ClaimQueue queue;
        for (std::uint64_t i = 1; i <= 30; ++i) {
            queue.add(keyOf(i), waitingClaim("large", static_cast<int>(i)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {1},
                             queue.servedBefore(at(0), waitingClaim("small", 500)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {30},
                             queue.servedBefore(at(0), waitingClaim("large", 500)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t {30},
                             queue
                                 .servedBefore(at(0),
                                               [] {
                                                   WaitingClaim later = waitingClaim("small", 500);
                                                   later.claim.priority = 1;
                                                   return later;
                                               }())
                                 .size());
    }

    // Guards against starvation of an organisation behind many others, and of its late claims.
    void overtakenClaimIsServedNext()
    {
        ClaimQueue queue;
        queue.add(keyOf(1), waitingClaim("large", 10));
        for (std::uint64_t i = 2; i <= 5; ++i) {
            queue.add(keyOf(i), waitingClaim("large", -10));
            queue.takeGranted(at(0), keyOf(i));
        }
        queue.recordOvertaking(at(0));
        std::uint64_t next = 100;
        for (int time = 0; time < 2'000; time += 100) {
            queue.add(keyOf(++next), waitingClaim((time / 100 % 2) != 0 ? "a" : "b", 5'000));
            const auto order = servingOrder(queue, at(time), Duration(0));
            const bool isFirst = order.front() == keyOf(1);
            CPPUNIT_ASSERT_EQUAL(time >= 1'000, isFirst);
            queue.takeGranted(at(time), order.back() == keyOf(1) ? order.front() : order.back());
            queue.recordOvertaking(at(time));
        }
    }

    // Guards against a large claim of an organisation that loses its place to small ones.
    void noClaimIsOvertakenByItsOwnOrganisation()
    {
        ClaimQueue queue;
        queue.add(keyOf(1), waitingClaim("a", 10));
        queue.add(keyOf(2), waitingClaim("a", 20));
        queue.add(keyOf(3), waitingClaim("b", 30));
        queue.takeGranted(at(0), keyOf(2));
        queue.recordOvertaking(at(0));
        queue.add(keyOf(4), waitingClaim("b", 5));
        // Neither of the first claims was overtaken by another organisation.
        for (const ClaimQueue::Entry *entry : queue.servingOrder(at(2'000), Duration(0), Llm)) {
            CPPUNIT_ASSERT(!entry->second.overtakenAt);
        }
        queue.takeGranted(at(2'000), keyOf(3));
        queue.recordOvertaking(at(2'000));
        for (const ClaimQueue::Entry *entry : queue.servingOrder(at(2'000), Duration(0), Llm)) {
            CPPUNIT_ASSERT_EQUAL(entry->first == keyOf(1), entry->second.overtakenAt.has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimQueueTest);
