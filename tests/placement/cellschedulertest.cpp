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

/** Runs the scheduler of a cell with two prefill servers and one decode server of 4 slots. */
class SchedulerFixture
{
public:
    /** @param moreServers further server declarations, appended to the deployment's text */
    explicit SchedulerFixture(const std::string &moreServers = "")
    {
        m_deployment = std::get<Deployment>(applyText(
            {},
            "model m first-token 5s between-tokens 200ms late finish patience 1min kv-bytes 1000\n"
            "pool prefill role prefill target m\n"
            "pool decode role decode target m link-rate 1000000\n"
            "server p0 pool prefill address 10.0.0.1:1\n"
            "server p1 pool prefill address 10.0.0.1:2\n"
            "server d0 pool decode address 10.0.0.1:3 slots 4\n"
                + moreServers));
        m_cells = CellMap(m_deployment);
        MemberUpdate self;
        self.life = {NodeName("n"), Incarnation(1)};
        m_members.emplace(self);
        runTurn([this](Turn &turn) { m_scheduler.emplace(Cell {TargetName("m"), 0}, turn); });
        m_now += 1s; // Past the scheduler's settling time.
    }

    /** Runs @p action in a new turn and stores its replies. */
    template <typename Action>
    void runTurn(Action action)
    {
        Effects effects;
        Turn turn(m_now, 1, m_deployment, m_cells, *m_members, m_numbers, effects);
        action(turn);
        for (const Effect &effect : effects) {
            if (const auto *reply = std::get_if<ReplyToPeer>(&effect)) {
                m_replies[reply->number] = reply->reply;
                m_replyOrder.push_back(reply->number);
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
        runTurn([&](Turn &turn) { m_scheduler->handleClaim(turn, number, wanted); });
        return number;
    }

    const Granted *granted(PeerRequestNumber number) const
    {
        const auto it = m_replies.find(number);
        return it == m_replies.end() ? nullptr : std::get_if<Granted>(&it->second);
    }

    /** Reports a successful prefill. @return the assigned decode server, or empty if refused */
    std::string prefillEnded(PeerRequestNumber claimed, Duration elapsed)
    {
        const PeerRequestNumber number(++m_lastNumber);
        runTurn([&](Turn &turn) {
            m_scheduler->handlePrefillEnded(turn, number,
                                            {granted(claimed)->claim, true, elapsed, {}});
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
        runTurn([&](Turn &turn) { m_scheduler->handleRelease(turn, number, message); });
    }

    void advance(Duration time)
    {
        m_now += time;
        runTurn([this](Turn &turn) { m_scheduler->processQueue(turn); });
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
    std::vector<PeerRequestNumber> m_replyOrder;
    std::uint64_t m_lastNumber = 0;
};

} // namespace

class CellSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CellSchedulerTest);
    CPPUNIT_TEST(startsNoPrefillWithoutADecodeSlot);
    CPPUNIT_TEST(answersARepeatedClaimWithTheSameGrant);
    CPPUNIT_TEST(keepsAPrefillServerForShortPrompts);
    CPPUNIT_TEST(servesTheEarlierDeadlineFirst);
    CPPUNIT_TEST(lateClaimsAreNotStarved);
    CPPUNIT_TEST(withdrawalFreesTheGrant);
    CPPUNIT_TEST(prefersTheServerThatHasThePrefix);
    CPPUNIT_TEST(avoidsAServerWithABusyLink);
    CPPUNIT_TEST(avoidsASlowServerAndTriesItAgain);
    CPPUNIT_TEST_SUITE_END();

    // Guards against prefills without a decode slot, whose results would expire unused.
    void startsNoPrefillWithoutADecodeSlot()
    {
        SchedulerFixture fixture;
        std::vector<PeerRequestNumber> claims;
        for (std::uint64_t i = 1; i <= 5; ++i) {
            claims.push_back(fixture.claim(i, 10, 5s));
        }
        CPPUNIT_ASSERT(fixture.granted(claims[3]));
        CPPUNIT_ASSERT(!fixture.granted(claims[4]));
        fixture.prefillEnded(claims[0], 10ms);
        CPPUNIT_ASSERT_MESSAGE("the claim moved to its decode slot without freeing it",
                               !fixture.granted(claims[4]));
        fixture.release(claims[0]);
        CPPUNIT_ASSERT(fixture.granted(claims[4]));
    }

    // Guards against a leaked grant when the answer to a claim is lost and the claim is repeated.
    void answersARepeatedClaimWithTheSameGrant()
    {
        SchedulerFixture fixture;
        const PeerRequestNumber first = fixture.claim(1, 10, 5s);
        const PeerRequestNumber again = fixture.claim(1, 10, 5s);
        CPPUNIT_ASSERT(fixture.granted(first) && fixture.granted(again));
        CPPUNIT_ASSERT(fixture.granted(first)->claim == fixture.granted(again)->claim);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, fixture.grants());
    }

    // Guards against long prompts on all prefill servers, behind which a short prompt would miss
    // its target.
    void keepsAPrefillServerForShortPrompts()
    {
        SchedulerFixture fixture;
        fixture.claim(1, 10, 500ms); // Makes the scheduler reserve for short targets.
        const PeerRequestNumber longPrompt = fixture.claim(2, 30'000, 20s);
        const PeerRequestNumber second = fixture.claim(3, 30'000, 20s);
        const PeerRequestNumber shortPrompt = fixture.claim(4, 100, 500ms);
        CPPUNIT_ASSERT(fixture.granted(longPrompt));
        CPPUNIT_ASSERT(!fixture.granted(second));
        CPPUNIT_ASSERT(fixture.granted(shortPrompt));
        CPPUNIT_ASSERT(fixture.granted(shortPrompt)->server != fixture.granted(longPrompt)->server);
    }

    void servesTheEarlierDeadlineFirst()
    {
        SchedulerFixture fixture;
        std::vector<PeerRequestNumber> running;
        for (std::uint64_t i = 1; i <= 4; ++i) {
            running.push_back(fixture.claim(i, 10, 5s));
        }
        const PeerRequestNumber later = fixture.claim(5, 10, 9s);
        const PeerRequestNumber sooner = fixture.claim(6, 10, 3s);
        fixture.release(running[0]);
        CPPUNIT_ASSERT(fixture.granted(sooner));
        CPPUNIT_ASSERT(!fixture.granted(later));
    }

    // Guards against starvation of late claims by a steady stream of claims that can still meet
    // their target.
    void lateClaimsAreNotStarved()
    {
        SchedulerFixture fixture;
        std::vector<PeerRequestNumber> running;
        std::uint64_t request = 0;
        for (int i = 0; i < 4; ++i) {
            running.push_back(fixture.claim(++request, 10, 5s));
        }
        const PeerRequestNumber late = fixture.claim(++request, 10, 1ms);
        fixture.advance(10ms);
        std::size_t served = 0;
        for (; served < 20 && !fixture.granted(late); ++served) {
            const PeerRequestNumber next = fixture.claim(++request, 10, 5s);
            fixture.release(running.at(served % 4));
            if (fixture.granted(next)) {
                running.at(served % 4) = next;
            }
        }
        CPPUNIT_ASSERT(fixture.granted(late));
        CPPUNIT_ASSERT(served <= 8);
    }

    void withdrawalFreesTheGrant()
    {
        SchedulerFixture fixture;
        fixture.claim(1, 10, 5s);
        const ClaimIdentity identity {{NodeName("n"), Incarnation(1)}, RequestNumber(1), 1};
        fixture.runTurn([&](Turn &turn) { fixture.scheduler().withdraw(turn, identity); });
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fixture.grants());
        for (std::uint64_t i = 2; i <= 5; ++i) {
            CPPUNIT_ASSERT(fixture.granted(fixture.claim(i, 10, 5s)));
        }
    }

    // Prompts with a common prefix go to the server that has it cached, until a cache event reports
    // its removal.
    void prefersTheServerThatHasThePrefix()
    {
        SchedulerFixture fixture;
        const std::vector<std::uint64_t> prefixHashes {11, 12, 13};
        fixture.scheduler().handleCacheEvents({ServerName("p1"), prefixHashes, {}});
        const PeerRequestNumber first = fixture.claim(1, 1500, 5s, prefixHashes);
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), fixture.granted(first)->server.text());
        fixture.prefillEnded(first, 50ms);
        const PeerRequestNumber second = fixture.claim(2, 1500, 5s, prefixHashes);
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), fixture.granted(second)->server.text());
        fixture.prefillEnded(second, 50ms);
        fixture.scheduler().handleCacheEvents({ServerName("p1"), {}, prefixHashes});
        const PeerRequestNumber third = fixture.claim(3, 1500, 5s, prefixHashes);
        CPPUNIT_ASSERT_EQUAL(std::string("p0"), fixture.granted(third)->server.text());
    }

    // Guards against choosing a decode server with free slots whose link is busy with a KV transfer
    // of ten seconds.
    void avoidsAServerWithABusyLink()
    {
        SchedulerFixture fixture("server d1 pool decode address 10.0.0.1:4 slots 4\n");
        const PeerRequestNumber longPrompt = fixture.claim(1, 10'000, 20s);
        const std::string busy = fixture.prefillEnded(longPrompt, 1s);
        fixture.release(longPrompt);
        const PeerRequestNumber shortPrompt = fixture.claim(2, 10, 5s);
        CPPUNIT_ASSERT(fixture.prefillEnded(shortPrompt, 1ms) != busy);
        fixture.release(shortPrompt);
        fixture.advance(20s);
        const PeerRequestNumber later = fixture.claim(3, 10, 5s);
        CPPUNIT_ASSERT_EQUAL(busy, fixture.prefillEnded(later, 1ms));
    }

    // A server with a token time of 1 s at a target of 200 ms gets no requests until the
    // observation has aged, then one trial request.
    void avoidsASlowServerAndTriesItAgain()
    {
        SchedulerFixture fixture("server d1 pool decode address 10.0.0.1:4 slots 4\n");
        const PeerRequestNumber fastClaim = fixture.claim(1, 10, 5s);
        const std::string fast = fixture.prefillEnded(fastClaim, 1ms);
        const PeerRequestNumber slowClaim = fixture.claim(2, 10, 5s);
        const std::string slow = fixture.prefillEnded(slowClaim, 1ms);
        CPPUNIT_ASSERT(fast != slow);
        fixture.release(fastClaim, 101, 2s);
        fixture.release(slowClaim, 11, 10s);
        std::vector<PeerRequestNumber> claims;
        for (std::uint64_t i = 3; i <= 6; ++i) {
            claims.push_back(fixture.claim(i, 10, 5s));
            CPPUNIT_ASSERT_EQUAL(fast, fixture.prefillEnded(claims.back(), 1ms));
        }
        const PeerRequestNumber fifth = fixture.claim(7, 10, 60s);
        CPPUNIT_ASSERT(!fixture.granted(fifth));
        fixture.advance(40s);
        CPPUNIT_ASSERT(fixture.granted(fifth));
        CPPUNIT_ASSERT_EQUAL(slow, fixture.prefillEnded(fifth, 1ms));
        CPPUNIT_ASSERT(!fixture.granted(fixture.claim(8, 10, 60s)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellSchedulerTest);
