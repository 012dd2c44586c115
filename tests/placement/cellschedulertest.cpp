#include "placement/cellscheduler.h"

#include "configuration/schema.h"
#include "core/turn.h"
#include "fakes/deployments.h"
#include "membership/membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace indigoway;
using namespace std::chrono_literals;

namespace {

/** A cell of two prefill and one decode server of 4 slots, or more, and a hand on its scheduler. */
class Bench
{
public:
    explicit Bench(const std::string &more = "")
    {
        m_deployment = std::get<Deployment>(applyText(
            {},
            "model m first-token 5s between-tokens 200ms late finish patience 1min kv-bytes 1000\n"
            "pool prefill role prefill target m\n"
            "pool decode role decode target m link-rate 1000000\n"
            "server p0 pool prefill address 10.0.0.1:1\n"
            "server p1 pool prefill address 10.0.0.1:2\n"
            "server d0 pool decode address 10.0.0.1:3 slots 4\n"
                + more));
        m_cells = CellMap(m_deployment);
        MemberUpdate self;
        self.life = {NodeName("n"), Incarnation(1)};
        m_members.emplace(self);
        act([this](Turn &turn) { m_scheduler.emplace(Cell {TargetName("m"), 0}, turn); });
        m_now += 1s; // Settled.
    }

    /** Runs @p action in a turn of its own; its replies are kept. */
    template <typename Action>
    void act(Action action)
    {
        Effects effects;
        Turn turn(m_now, 1, m_deployment, m_cells, *m_members, m_numbers, effects);
        action(turn);
        for (const Effect &effect : effects) {
            if (const auto *reply = std::get_if<ReplyToPeer>(&effect)) {
                m_replies[reply->number] = reply->reply;
                m_order.push_back(reply->number);
            }
        }
    }

    PeerRequestNumber claim(std::uint64_t request, std::uint32_t tokens, Duration untilDeadline,
                            const std::vector<std::uint64_t> &prefix = {})
    {
        const PeerRequestNumber number(++m_lastNumber);
        ClaimCapacity wanted;
        wanted.owner = {NodeName("n"), Incarnation(1)};
        wanted.request = RequestNumber(request);
        wanted.attempt = 1;
        wanted.target = TargetName("m");
        wanted.promptTokens = tokens;
        wanted.untilDeadline = untilDeadline;
        wanted.patience = 1min;
        wanted.prefixHashes = prefix;
        act([&](Turn &turn) { m_scheduler->claim(turn, number, wanted); });
        return number;
    }

    const Granted *granted(PeerRequestNumber number) const
    {
        const auto it = m_replies.find(number);
        return it == m_replies.end() ? nullptr : std::get_if<Granted>(&it->second);
    }

    /** The decode server that was chosen. */
    std::string prefillEnded(PeerRequestNumber claimed, Duration elapsed)
    {
        const PeerRequestNumber number(++m_lastNumber);
        act([&](Turn &turn) {
            m_scheduler->prefillEnded(turn, number, {granted(claimed)->claim, true, elapsed, {}});
        });
        const auto *assigned = std::get_if<DecodeAssigned>(&m_replies.at(number));
        return assigned ? assigned->server.text() : "";
    }

    void release(PeerRequestNumber claimed, std::uint32_t tokens = 0, Duration decodeTime = {})
    {
        const PeerRequestNumber number(++m_lastNumber);
        ReleaseClaim message;
        message.claim = granted(claimed)->claim;
        message.tokens = tokens;
        message.decodeTime = decodeTime;
        act([&](Turn &turn) { m_scheduler->release(turn, number, message); });
    }

    void pass(Duration time)
    {
        m_now += time;
        act([this](Turn &turn) { m_scheduler->pump(turn); });
    }

    CellScheduler &scheduler() { return *m_scheduler; }
    std::size_t grants() { return m_scheduler->grants(m_now).size(); }

private:
    Deployment m_deployment;
    CellMap m_cells;
    std::optional<Membership> m_members;
    CallNumbers m_numbers;
    TimePoint m_now {1h};
    std::optional<CellScheduler> m_scheduler;
    std::map<PeerRequestNumber, PeerReply> m_replies;
    std::vector<PeerRequestNumber> m_order;
    std::uint64_t m_lastNumber = 0;
};

} // namespace

class CellSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellSchedulerTest);
    CPPUNIT_TEST(startsNoPrefillWithoutADecodeSlot);
    CPPUNIT_TEST(knowsARepeatedClaim);
    CPPUNIT_TEST(keepsAPrefillServerFromChapters);
    CPPUNIT_TEST(servesTheEarlierDeadlineFirst);
    CPPUNIT_TEST(lateClaimsAreNotStarved);
    CPPUNIT_TEST(withdrawnClaimsLeaveNothing);
    CPPUNIT_TEST(prefersTheServerThatHasThePrefix);
    CPPUNIT_TEST(leavesABusyLinkAlone);
    CPPUNIT_TEST(leavesASlowServerAndTriesItAgain);
    CPPUNIT_TEST_SUITE_END();

    // Five claims for four slots. A fifth prefill would have nowhere to go within the second that
    // its result is kept, and would be wasted.
    void startsNoPrefillWithoutADecodeSlot()
    {
        Bench bench;
        std::vector<PeerRequestNumber> claims;
        for (std::uint64_t i = 1; i <= 5; ++i) {
            claims.push_back(bench.claim(i, 10, 5s));
        }
        CPPUNIT_ASSERT(bench.granted(claims[3]));
        CPPUNIT_ASSERT(!bench.granted(claims[4]));
        bench.prefillEnded(claims[0], 10ms);
        CPPUNIT_ASSERT_MESSAGE("it only moved to its decode slot", !bench.granted(claims[4]));
        bench.release(claims[0]);
        CPPUNIT_ASSERT(bench.granted(claims[4]));
    }

    // The grant's answer is lost and the node asks again. Granting anew would hold a slot and a
    // prefill server for nobody.
    void knowsARepeatedClaim()
    {
        Bench bench;
        const PeerRequestNumber first = bench.claim(1, 10, 5s);
        const PeerRequestNumber again = bench.claim(1, 10, 5s);
        CPPUNIT_ASSERT(bench.granted(first) && bench.granted(again));
        CPPUNIT_ASSERT(bench.granted(first)->claim == bench.granted(again)->claim);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, bench.grants());
    }

    // Two chapters of seconds each come first, then a lookup. With both prefill servers at a
    // chapter the lookup would miss its target, whatever its place in the queue.
    void keepsAPrefillServerFromChapters()
    {
        Bench bench;
        bench.claim(1, 10, 500ms); // Tells the cell that there are short targets.
        const PeerRequestNumber chapter = bench.claim(2, 30'000, 20s);
        const PeerRequestNumber second = bench.claim(3, 30'000, 20s);
        const PeerRequestNumber lookup = bench.claim(4, 100, 500ms);
        CPPUNIT_ASSERT(bench.granted(chapter));
        CPPUNIT_ASSERT(!bench.granted(second));
        CPPUNIT_ASSERT(bench.granted(lookup));
        CPPUNIT_ASSERT(bench.granted(lookup)->server != bench.granted(chapter)->server);
    }

    void servesTheEarlierDeadlineFirst()
    {
        Bench bench;
        std::vector<PeerRequestNumber> running;
        for (std::uint64_t i = 1; i <= 4; ++i) {
            running.push_back(bench.claim(i, 10, 5s));
        }
        const PeerRequestNumber later = bench.claim(5, 10, 9s);
        const PeerRequestNumber sooner = bench.claim(6, 10, 3s);
        bench.release(running[0]);
        CPPUNIT_ASSERT(bench.granted(sooner));
        CPPUNIT_ASSERT(!bench.granted(later));
    }

    // A backlog of claims that missed their target waits behind a steady stream of claims that can
    // still meet theirs. A share of the grants goes to the oldest of them all the same.
    void lateClaimsAreNotStarved()
    {
        Bench bench;
        std::vector<PeerRequestNumber> running;
        std::uint64_t request = 0;
        for (int i = 0; i < 4; ++i) {
            running.push_back(bench.claim(++request, 10, 5s));
        }
        const PeerRequestNumber late = bench.claim(++request, 10, 1ms);
        bench.pass(10ms);
        std::size_t served = 0;
        for (; served < 20 && !bench.granted(late); ++served) {
            const PeerRequestNumber next = bench.claim(++request, 10, 5s);
            bench.release(running.at(served % 4));
            if (bench.granted(next)) {
                running.at(served % 4) = next;
            }
        }
        CPPUNIT_ASSERT(bench.granted(late));
        CPPUNIT_ASSERT(served <= 8);
    }

    void withdrawnClaimsLeaveNothing()
    {
        Bench bench;
        bench.claim(1, 10, 5s);
        const ClaimIdentity identity {{NodeName("n"), Incarnation(1)}, RequestNumber(1), 1};
        bench.act([&](Turn &turn) { bench.scheduler().withdraw(turn, identity); });
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, bench.grants());
        for (std::uint64_t i = 2; i <= 5; ++i) {
            CPPUNIT_ASSERT(bench.granted(bench.claim(i, 10, 5s)));
        }
    }

    // Two chapters of one book have their first pages in common. The second goes to the engine that
    // has them cached, until a cache event, however late, says that they were dropped.
    void prefersTheServerThatHasThePrefix()
    {
        Bench bench;
        const std::vector<std::uint64_t> book {11, 12, 13};
        bench.scheduler().cacheEvents({ServerName("p1"), book, {}});
        const PeerRequestNumber first = bench.claim(1, 1500, 5s, book);
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), bench.granted(first)->server.text());
        bench.prefillEnded(first, 50ms);
        const PeerRequestNumber second = bench.claim(2, 1500, 5s, book);
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), bench.granted(second)->server.text());
        bench.prefillEnded(second, 50ms);
        bench.scheduler().cacheEvents({ServerName("p1"), {}, book});
        const PeerRequestNumber third = bench.claim(3, 1500, 5s, book);
        CPPUNIT_ASSERT_EQUAL(std::string("p0"), bench.granted(third)->server.text());
    }

    // A chapter's KV cache takes ten seconds of an engine's link. A lookup sent there would wait
    // for it, although the engine has nothing else to do.
    void leavesABusyLinkAlone()
    {
        Bench bench("server d1 pool decode address 10.0.0.1:4 slots 4\n");
        const PeerRequestNumber chapter = bench.claim(1, 10'000, 20s);
        const std::string busy = bench.prefillEnded(chapter, 1s);
        bench.release(chapter);
        const PeerRequestNumber lookup = bench.claim(2, 10, 5s);
        CPPUNIT_ASSERT(bench.prefillEnded(lookup, 1ms) != busy);
        bench.release(lookup);
        bench.pass(20s);
        const PeerRequestNumber later = bench.claim(3, 10, 5s);
        CPPUNIT_ASSERT_EQUAL(busy, bench.prefillEnded(later, 1ms));
    }

    // An engine takes a second for a token where 200 ms are the target. It gets nothing more while
    // that is fresh; later it gets one request, which tells how it is now.
    void leavesASlowServerAndTriesItAgain()
    {
        Bench bench("server d1 pool decode address 10.0.0.1:4 slots 4\n");
        const PeerRequestNumber healthy = bench.claim(1, 10, 5s);
        const std::string well = bench.prefillEnded(healthy, 1ms);
        const PeerRequestNumber other = bench.claim(2, 10, 5s);
        const std::string slow = bench.prefillEnded(other, 1ms);
        CPPUNIT_ASSERT(well != slow);
        bench.release(healthy, 101, 2s);
        bench.release(other, 11, 10s);
        std::vector<PeerRequestNumber> claims;
        for (std::uint64_t i = 3; i <= 6; ++i) {
            claims.push_back(bench.claim(i, 10, 5s));
            CPPUNIT_ASSERT_EQUAL(well, bench.prefillEnded(claims.back(), 1ms));
        }
        const PeerRequestNumber fifth = bench.claim(7, 10, 60s);
        CPPUNIT_ASSERT(!bench.granted(fifth));
        bench.pass(40s);
        CPPUNIT_ASSERT(bench.granted(fifth));
        CPPUNIT_ASSERT_EQUAL(slow, bench.prefillEnded(fifth, 1ms));
        CPPUNIT_ASSERT(!bench.granted(bench.claim(8, 10, 60s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellSchedulerTest);
