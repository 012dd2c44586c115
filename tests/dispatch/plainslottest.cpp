#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace std::chrono_literals;

namespace {

const Incarnation Life(3);
constexpr ServerLoad Uneven {1, 0, 6, 120};

/** A node that has seen a server of the service report its speed. */
class SlotHarness : public DispatcherHarness
{
public:
    explicit SlotHarness(Repetition repetition = Repetition::AtMostOnce)
    {
        useRoutes(repetition);
        addServer("a");
        addServer("b");
        dispatcher().setScheduler(NodeName("n1"));
        arrive(-100, "plain");
        end(-70, nextCall(), CallEnd::Complete, 200, {}, Uneven);
        answer(-60, slots::LoadReceived {});
        takeSlotMessages();
    }

    /** Returns the only message since the last call. */
    template <typename Message>
    Message takeOnly()
    {
        const auto messages = takeSlotMessages();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, messages.size());
        CPPUNIT_ASSERT(std::holds_alternative<Message>(messages.front()));
        return std::get<Message>(messages.front());
    }

    void answer(int milliseconds, const slots::FromPlainScheduler &message)
    {
        reduce(milliseconds, PlainSchedulerAnswered {message, Life});
    }

    /** Grants the claim that was sent last a slot of @p server and returns the call. */
    StartCall grantSlot(int milliseconds, const std::string &server)
    {
        const slots::SlotClaim claim = takeOnly<slots::SlotClaim>();
        answer(milliseconds, slots::SlotGranted {claim.claim, ServerName(server)});
        return nextCall(CallKind::Plain);
    }
};

} // namespace

class PlainSlotTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlainSlotTest);
    CPPUNIT_TEST(noMessagesWithoutTheFourthFigure);
    CPPUNIT_TEST(noMessagesWithoutAScheduler);
    CPPUNIT_TEST(usesTheGrantedServer);
    CPPUNIT_TEST(claimNamesTimesAndExcludedServers);
    CPPUNIT_TEST(rejectsARefusedRequest);
    CPPUNIT_TEST(refusedRetryIsNotRejected);
    CPPUNIT_TEST(choosesItselfWhileTheSchedulerIsSilent);
    CPPUNIT_TEST(doesNotUseAGrantOfALeavingServer);
    CPPUNIT_TEST(doesNotUseAGrantOfAPausedServer);
    CPPUNIT_TEST(freesTheSlotIfTheCallerLeaves);
    CPPUNIT_TEST(withdrawsTheClaimIfTheCallerLeaves);
    CPPUNIT_TEST(rejectsAtTheDeadlineWhileWaiting);
    CPPUNIT_TEST(reportsHowCallsEnded);
    CPPUNIT_TEST(lostPathIsNoVerdict);
    CPPUNIT_TEST(logsLoadsThatCannotBeRead);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against any change for services whose servers report three figures or none.
    void noMessagesWithoutTheFourthFigure()
    {
        DispatcherHarness harness;
        harness.useRoutes(Repetition::Idempotent);
        harness.addServer("a");
        harness.addServer("b");
        harness.dispatcher().setScheduler(NodeName("n1"));
        for (int i = 0; i < 50; ++i) {
            const auto load = i % 2 == 0 ? std::optional(ServerLoad {1, 0, 6}) : std::nullopt;
            const auto request = harness.arrive(i * 20, "plain");
            harness.end(i * 20 + 10, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200, {},
                        load);
            CPPUNIT_ASSERT_EQUAL(std::string("delivered"), harness.outcome(request));
        }
        CPPUNIT_ASSERT(harness.takeSlotMessages().empty());
    }

    // Guards against requests that wait for a scheduler that is not known.
    void noMessagesWithoutAScheduler()
    {
        SlotHarness harness;
        harness.dispatcher().setScheduler(std::nullopt);
        const auto request = harness.arrive(0, "plain");
        harness.end(30, harness.nextCall(), CallEnd::Complete, 200, {}, Uneven);
        CPPUNIT_ASSERT_EQUAL(std::string("delivered"), harness.outcome(request));
        CPPUNIT_ASSERT(harness.takeSlotMessages().empty());
    }

    // Guards against a call to another server than the granted one, and a slot that is not freed.
    void usesTheGrantedServer()
    {
        for (const std::string server : {"a", "b"}) {
            SlotHarness harness;
            const auto request = harness.arrive(0, "plain");
            CPPUNIT_ASSERT(!harness.hasCalls());
            const StartCall call = harness.grantSlot(3, server);
            CPPUNIT_ASSERT(call.server == ServerName(server));
            harness.end(43, call, CallEnd::Complete, 200, {}, Uneven);
            CPPUNIT_ASSERT_EQUAL(std::string("delivered"), harness.outcome(request));
            const auto ended = harness.takeOnly<slots::SlotEnded>();
            CPPUNIT_ASSERT(ended.outcome == slots::SlotOutcome::Answered);
            CPPUNIT_ASSERT(ended.server == ServerName(server) && ended.answerTime == 40ms);
            CPPUNIT_ASSERT(ended.load == Uneven);
            CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("slot_granted").size());
        }
    }

    // Guards against a grant of the server that failed, and a decision from wrong time limits.
    void claimNamesTimesAndExcludedServers()
    {
        SlotHarness harness(Repetition::Idempotent);
        harness.arrive(0, "plain");
        const StartCall first = harness.grantSlot(10, "a");
        harness.end(50, first, CallEnd::Complete, 500, {}, Uneven);
        const auto messages = harness.takeSlotMessages();
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, messages.size());
        const auto &claim = std::get<slots::SlotClaim>(messages.back());
        CPPUNIT_ASSERT(claim.service == ServiceName("web") && claim.route == RouteName("plain"));
        CPPUNIT_ASSERT(claim.timeToTarget == 100ms && claim.timeLeft == 950ms);
        CPPUNIT_ASSERT(claim.excludedServers == std::vector<ServerName> {ServerName("a")});
    }

    // A request that cannot be served in time must be rejected at once, with a Retry-After.
    void rejectsARefusedRequest()
    {
        SlotHarness harness;
        const auto request = harness.arrive(0, "plain");
        const auto claim = harness.takeOnly<slots::SlotClaim>();
        harness.answer(3, slots::SlotRefused {claim.claim, 800ms});
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), harness.outcome(request));
        CPPUNIT_ASSERT(harness.retryAfter(request) >= 400ms);
        CPPUNIT_ASSERT(harness.takeSlotMessages().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("slot_refused").size());
    }

    // The first call of an idempotent request may have been executed. Guards against an answer that
    // says that it was not.
    void refusedRetryIsNotRejected()
    {
        SlotHarness harness(Repetition::Idempotent);
        const auto request = harness.arrive(0, "plain");
        harness.end(50, harness.grantSlot(3, "a"), CallEnd::Broken);
        const auto messages = harness.takeSlotMessages();
        const auto &claim = std::get<slots::SlotClaim>(messages.back());
        harness.answer(53, slots::SlotRefused {claim.claim, 800ms});
        const StartCall second = harness.nextCall(CallKind::Plain);
        CPPUNIT_ASSERT(second.server == ServerName("b"));
        harness.end(90, second, CallEnd::Complete, 200, {}, Uneven);
        CPPUNIT_ASSERT_EQUAL(std::string("delivered"), harness.outcome(request));
    }

    // Guards against requests that wait for a scheduler that does not respond.
    void choosesItselfWhileTheSchedulerIsSilent()
    {
        SlotHarness harness;
        const auto request = harness.arrive(0, "plain");
        harness.advance(0, 110);
        CPPUNIT_ASSERT(!harness.hasCalls());
        harness.advance(120, 120);
        harness.end(150, harness.nextCall(CallKind::Plain), CallEnd::Complete, 200, {}, Uneven);
        CPPUNIT_ASSERT_EQUAL(std::string("delivered"), harness.outcome(request));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.logLines("plain_scheduler_silent").size());
        harness.arrive(200, "plain");
        CPPUNIT_ASSERT(harness.hasCalls());
    }

    // The scheduler's copy of the store may be older than what this node has heard.
    void doesNotUseAGrantOfALeavingServer()
    {
        SlotHarness harness;
        harness.arrive(0, "plain");
        const auto claim = harness.takeOnly<slots::SlotClaim>();
        harness.addServer("a", EnginePhase::None, true);
        harness.answer(3, slots::SlotGranted {claim.claim, ServerName("a")});
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Plain).server == ServerName("b"));
        const auto messages = harness.takeSlotMessages();
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, messages.size());
        CPPUNIT_ASSERT(std::get<slots::SlotEnded>(messages.front()).outcome
                       == slots::SlotOutcome::Cancelled);
        CPPUNIT_ASSERT(std::get<slots::SlotHeld>(messages.back()).server == ServerName("b"));
    }

    // A server that asked for a pause must not be called although the scheduler grants it.
    void doesNotUseAGrantOfAPausedServer()
    {
        SlotHarness harness;
        harness.arrive(0, "plain");
        const StartCall first = harness.grantSlot(3, "a");
        harness.arrive(4, "plain");
        const auto claim = std::get<slots::SlotClaim>(harness.takeSlotMessages().front());
        harness.end(5, first, CallEnd::NotExecuted, 503, ServerAdvice {{}, false, 900ms});
        harness.takeSlotMessages();
        harness.answer(6, slots::SlotGranted {claim.claim, ServerName("a")});
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Plain).server == ServerName("b"));
    }

    // Guards against a slot that stays taken by a call that was abandoned.
    void freesTheSlotIfTheCallerLeaves()
    {
        SlotHarness harness;
        const auto request = harness.arrive(0, "plain");
        const StartCall call = harness.grantSlot(3, "a");
        harness.reduce(30, CallerLeft {request});
        CPPUNIT_ASSERT(harness.wasAbandoned(call));
        const auto ended = harness.takeOnly<slots::SlotEnded>();
        CPPUNIT_ASSERT(ended.outcome == slots::SlotOutcome::Cancelled);
        CPPUNIT_ASSERT(ended.answerTime == 27ms);
    }

    // Guards against a slot that is granted too late and stays taken.
    void withdrawsTheClaimIfTheCallerLeaves()
    {
        SlotHarness harness;
        const auto request = harness.arrive(0, "plain");
        const auto claim = harness.takeOnly<slots::SlotClaim>();
        harness.reduce(30, CallerLeft {request});
        CPPUNIT_ASSERT(harness.takeOnly<slots::SlotEnded>().claim == claim.claim);
        harness.answer(31, slots::SlotGranted {claim.claim, ServerName("a")});
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT(harness.takeOnly<slots::SlotEnded>().server == ServerName("a"));
    }

    // A scheduler keeps a claim waiting although it has no slot in time. Guards against a request
    // that is answered as possibly executed.
    void rejectsAtTheDeadlineWhileWaiting()
    {
        SlotHarness harness;
        const auto request = harness.arrive(0, "plain");
        const auto claim = harness.takeOnly<slots::SlotClaim>();
        for (int time = 10; time <= 1200; time += 10) {
            harness.answer(time, slots::SlotQueued {claim.claim});
            harness.advance(time, time);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), harness.outcome(request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against failures of a server that the scheduler does not learn of.
    void reportsHowCallsEnded()
    {
        const std::pair<CallEnd, slots::SlotOutcome> ends[] = {
            {CallEnd::NotExecuted, slots::SlotOutcome::Rejected},
            {CallEnd::NotConnected, slots::SlotOutcome::Unreachable},
            {CallEnd::Broken, slots::SlotOutcome::Broken}};
        for (const auto &[end, outcome] : ends) {
            SlotHarness harness;
            harness.arrive(0, "plain");
            harness.end(20, harness.grantSlot(3, "a"), end, 0, {}, Uneven);
            const auto messages = harness.takeSlotMessages();
            CPPUNIT_ASSERT(std::get<slots::SlotEnded>(messages.front()).outcome == outcome);
        }
    }

    // A node that does not reach the server itself must not put it out of use for all nodes.
    void lostPathIsNoVerdict()
    {
        for (const CallEnd end : {CallEnd::Broken, CallEnd::NoPath, CallEnd::PathLost}) {
            SlotHarness harness;
            harness.arrive(0, "plain");
            CallEnded ended;
            ended.call = harness.grantSlot(3, "a").call;
            ended.end = end;
            ended.isPathSuspect = end != CallEnd::PathLost;
            harness.reduce(900, ended);
            const auto message = std::get<slots::SlotEnded>(harness.takeSlotMessages().front());
            CPPUNIT_ASSERT(message.outcome == slots::SlotOutcome::Cancelled);
            CPPUNIT_ASSERT_EQUAL(Duration(0).count(), message.answerTime.count());
        }
    }

    // Guards against a malformed load that is ignored without a log line.
    void logsLoadsThatCannotBeRead()
    {
        SlotHarness harness;
        harness.arrive(0, "plain");
        const StartCall call = harness.grantSlot(3, "a");
        CallEnded ended;
        ended.call = call.call;
        ended.end = CallEnd::Complete;
        ended.status = 200;
        ended.isLoadMalformed = true;
        harness.reduce(30, ended);
        CPPUNIT_ASSERT_EQUAL(std::string("server=a"),
                             harness.logLines("server_load_malformed").front());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlainSlotTest);
