#include "slots/slotclaims.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace indigoway;
using namespace indigoway::slots;
using namespace std::chrono_literals;

namespace {

const ServiceName Web("web");
const ServerName Server("s1");
const Incarnation Life(5);

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

SlotClaim makeClaim()
{
    SlotClaim claim;
    claim.service = Web;
    claim.timeToTarget = 150ms;
    claim.timeLeft = 1s;
    return claim;
}

template <typename Message>
const Message &only(const SlotClaims::Messages &messages)
{
    CPPUNIT_ASSERT_EQUAL(std::size_t {1}, messages.size());
    CPPUNIT_ASSERT(std::holds_alternative<Message>(messages.front()));
    return std::get<Message>(messages.front());
}

template <typename Message>
std::size_t count(const SlotClaims::Messages &messages)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        messages, [](const auto &one) { return std::holds_alternative<Message>(one); }));
}

/** Returns claims at a scheduler that has answered. */
SlotClaims makeClaims()
{
    SlotClaims claims;
    claims.setScheduler(NodeName("n1"));
    SlotClaims::Messages ignored;
    claims.handleAnswer(at(-1s), LoadReceived {}, Life, ignored);
    claims.tick(at(-1s), ignored);
    return claims;
}

} // namespace

class SlotClaimsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotClaimsTest);
    CPPUNIT_TEST(onlyServicesThatReportTheirSpeedAreScheduled);
    CPPUNIT_TEST(repeatsUnansweredClaims);
    CPPUNIT_TEST(fallsBackAfterThreeUnansweredClaims);
    CPPUNIT_TEST(usesASchedulerThatRespondsAgain);
    CPPUNIT_TEST(fallsBackWithoutAScheduler);
    CPPUNIT_TEST(claimsMoveToANewScheduler);
    CPPUNIT_TEST(reportsHeldSlotsToANewLife);
    CPPUNIT_TEST(returnsGrantsOfEndedRequests);
    CPPUNIT_TEST(ignoresRepeatedAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against messages for services whose servers report no speed, or no longer do.
    void onlyServicesThatReportTheirSpeedAreScheduled()
    {
        SlotClaims claims = makeClaims();
        claims.recordLoad(Web, Server, {1, 0, 6}, at(0ms));
        CPPUNIT_ASSERT(!claims.isScheduled(Web));
        claims.recordLoad(Web, Server, {1, 0, 6, 100}, at(0ms));
        CPPUNIT_ASSERT(claims.isScheduled(Web));
        claims.recordLoad(Web, ServerName("s2"), {1, 0, 6, 100}, at(0ms));
        claims.recordLoad(Web, Server, {1, 0, 6}, at(1ms));
        CPPUNIT_ASSERT(claims.isScheduled(Web));
        claims.forget(ServerName("s2"));
        CPPUNIT_ASSERT(!claims.isScheduled(Web));
    }

    // Datagrams are lost. Guards against requests that wait for an answer that never comes.
    void repeatsUnansweredClaims()
    {
        SlotClaims claims = makeClaims();
        SlotClaims::Messages messages;
        const SlotClaimId id = claims.claim(at(0ms), RequestNumber(7), makeClaim(), messages);
        CPPUNIT_ASSERT(only<SlotClaim>(messages).timeToTarget == 150ms);
        messages.clear();
        CPPUNIT_ASSERT(claims.nextTick() == at(40ms));
        CPPUNIT_ASSERT(claims.tick(at(39ms), messages).empty());
        CPPUNIT_ASSERT(messages.empty());
        claims.tick(at(40ms), messages);
        const SlotClaim repeated = only<SlotClaim>(messages);
        CPPUNIT_ASSERT(repeated.claim == id);
        CPPUNIT_ASSERT(repeated.timeToTarget == 110ms);
        CPPUNIT_ASSERT(repeated.timeLeft == 960ms);
        messages.clear();
        claims.handleAnswer(at(42ms), SlotQueued {id}, Life, messages);
        CPPUNIT_ASSERT(claims.nextTick() == at(192ms));
        const auto decision =
            claims.handleAnswer(at(50ms), SlotGranted {id, Server}, Life, messages);
        CPPUNIT_ASSERT(decision && decision->kind == SlotDecision::Kind::Granted);
        CPPUNIT_ASSERT(decision->request == RequestNumber(7) && decision->server == Server);
        CPPUNIT_ASSERT(!claims.nextTick());
        claims.end(id, SlotOutcome::Answered, 30ms, ServerLoad {1, 0, 6, 100}, messages);
        const SlotEnded ended = only<SlotEnded>(messages);
        CPPUNIT_ASSERT(ended.server == Server && ended.load->workPercent == 100U);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, claims.open());
    }

    // The scheduler does not respond. Guards against requests that wait for it for longer than
    // three datagrams, and against waiting again with the next request.
    void fallsBackAfterThreeUnansweredClaims()
    {
        SlotClaims claims = makeClaims();
        SlotClaims::Messages messages;
        claims.claim(at(0ms), RequestNumber(7), makeClaim(), messages);
        std::vector<SlotDecision> decisions;
        Duration time {};
        while (decisions.empty() && time < 1s) {
            time += 10ms;
            decisions = claims.tick(at(time), messages);
        }
        CPPUNIT_ASSERT(time == 120ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, count<SlotClaim>(messages));
        CPPUNIT_ASSERT(decisions.front().kind == SlotDecision::Kind::Local);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, count<SlotEnded>(messages));
        CPPUNIT_ASSERT(!claims.isAvailable());
    }

    // Guards against a scheduler that stays unused, and against requests that wait to find out.
    void usesASchedulerThatRespondsAgain()
    {
        SlotClaims claims = makeClaims();
        claims.recordLoad(Web, Server, {1, 0, 6, 130}, at(0ms));
        SlotClaims::Messages messages;
        claims.claim(at(0ms), RequestNumber(7), makeClaim(), messages);
        for (const Duration time : {40ms, 80ms, 120ms}) {
            claims.tick(at(time), messages);
        }
        messages.clear();
        claims.holdLocally(at(500ms), RequestNumber(8), {{}, Web, Server, 1s}, messages);
        CPPUNIT_ASSERT(messages.empty());
        claims.holdLocally(at(1200ms), RequestNumber(9), {{}, Web, Server, 1s}, messages);
        const LoadReport report = only<LoadReport>(messages);
        CPPUNIT_ASSERT(report.loads.front().load.workPercent == 130U);
        CPPUNIT_ASSERT(report.loads.front().age == 1200ms);
        messages.clear();
        claims.holdLocally(at(1300ms), RequestNumber(10), {{}, Web, Server, 1s}, messages);
        CPPUNIT_ASSERT(messages.empty());
        claims.handleAnswer(at(1301ms), LoadReceived {}, Life, messages);
        CPPUNIT_ASSERT(claims.isAvailable());
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, count<SlotHeld>(messages));
    }

    void fallsBackWithoutAScheduler()
    {
        SlotClaims claims = makeClaims();
        SlotClaims::Messages messages;
        claims.claim(at(0ms), RequestNumber(7), makeClaim(), messages);
        claims.setScheduler(std::nullopt);
        messages.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, claims.tick(at(1ms), messages).size());
        CPPUNIT_ASSERT(messages.empty());
        CPPUNIT_ASSERT(!claims.isAvailable());
    }

    // Guards against claims that wait for a scheduler that is gone, and against a new one that
    // does not know of the slots in use.
    void claimsMoveToANewScheduler()
    {
        SlotClaims claims = makeClaims();
        SlotClaims::Messages messages;
        const SlotClaimId held = claims.claim(at(0ms), RequestNumber(7), makeClaim(), messages);
        claims.handleAnswer(at(2ms), SlotGranted {held, Server}, Life, messages);
        claims.claim(at(3ms), RequestNumber(8), makeClaim(), messages);
        claims.tick(at(45ms), messages);
        claims.tick(at(86ms), messages);
        claims.setScheduler(NodeName("n2"));
        messages.clear();
        CPPUNIT_ASSERT(claims.tick(at(100ms), messages).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, count<SlotClaim>(messages));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, count<SlotHeld>(messages));
        // The new scheduler has three datagrams, too.
        CPPUNIT_ASSERT(claims.tick(at(140ms), messages).empty());
        CPPUNIT_ASSERT(claims.tick(at(180ms), messages).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, claims.tick(at(220ms), messages).size());
    }

    // The process of the scheduling node has started anew; its name is the same.
    void reportsHeldSlotsToANewLife()
    {
        SlotClaims claims = makeClaims();
        SlotClaims::Messages messages;
        const SlotClaimId held = claims.claim(at(0ms), RequestNumber(7), makeClaim(), messages);
        claims.handleAnswer(at(2ms), SlotGranted {held, Server}, Life, messages);
        messages.clear();
        claims.handleAnswer(at(100ms), LoadReceived {}, Incarnation(6), messages);
        const SlotHeld report = only<SlotHeld>(messages);
        CPPUNIT_ASSERT(report.server == Server && report.timeLeft == 900ms);
    }

    // The caller left while the claim was answered. Guards against a slot that nobody frees.
    void returnsGrantsOfEndedRequests()
    {
        SlotClaims claims = makeClaims();
        SlotClaims::Messages messages;
        const SlotClaimId id = claims.claim(at(0ms), RequestNumber(7), makeClaim(), messages);
        claims.end(id, SlotOutcome::Cancelled, 0ms, std::nullopt, messages);
        messages.clear();
        CPPUNIT_ASSERT(!claims.handleAnswer(at(5ms), SlotGranted {id, Server}, Life, messages));
        CPPUNIT_ASSERT(only<SlotEnded>(messages).outcome == SlotOutcome::Cancelled);
    }

    // Datagrams may be repeated. Guards against a request that is sent twice.
    void ignoresRepeatedAnswers()
    {
        SlotClaims claims = makeClaims();
        SlotClaims::Messages messages;
        const SlotClaimId id = claims.claim(at(0ms), RequestNumber(7), makeClaim(), messages);
        messages.clear();
        CPPUNIT_ASSERT(claims.handleAnswer(at(5ms), SlotGranted {id, Server}, Life, messages));
        CPPUNIT_ASSERT(!claims.handleAnswer(at(6ms), SlotGranted {id, Server}, Life, messages));
        CPPUNIT_ASSERT(!claims.handleAnswer(at(7ms), SlotRefused {id, 10ms}, Life, messages));
        CPPUNIT_ASSERT(messages.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, claims.open());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotClaimsTest);
