#include "slots/plainscheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace indigoway;
using namespace indigoway::slots;
using namespace std::chrono_literals;

namespace {

const ServiceName Web("web");
const NodeLife NodeA {NodeName("a"), Incarnation(1)};
const NodeLife NodeB {NodeName("b"), Incarnation(2)};

TimePoint at(Duration time)
{
    return TimePoint {} + 1h + time;
}

ServerName serverName(int index)
{
    return ServerName("s" + std::to_string(index));
}

/** Runs a scheduler over servers of two slots. */
class Harness
{
public:
    explicit Harness(int servers)
    {
        for (int index = 0; index < servers; ++index) {
            announce(index);
        }
    }

    void announce(int index, bool isDraining = false)
    {
        AnnouncedServer server;
        server.name = serverName(index);
        server.instance = server.name.text();
        server.service = Web;
        server.address = server.name.text() + ":80";
        server.domain = DomainName("d1");
        server.slots = 2;
        server.isDraining = isDraining;
        m_servers.announce(server);
    }

    SlotReplies send(Duration time, const NodeLife &from, const ToPlainScheduler &message)
    {
        return m_scheduler.handle(at(time), m_servers, from, message);
    }

    /** Sends a claim and returns the answer to it. */
    FromPlainScheduler claim(Duration time, const NodeLife &from, std::uint64_t id,
                             std::uint32_t priority = 0, Duration timeLeft = 1s,
                             std::vector<ServerName> excluded = {})
    {
        const SlotClaim message {SlotClaimId(id), Web,   RouteName("r"), DomainName("d1"),
                                 priority,        150ms, timeLeft,       std::move(excluded)};
        const SlotReplies replies = send(time, from, message);
        // Other claims may be granted at the same time.
        const auto answer = std::ranges::find_if(replies, [&](const SlotReply &reply) {
            return reply.to == from && claimOf(reply.message) == SlotClaimId(id);
        });
        CPPUNIT_ASSERT(answer != replies.end());
        return answer->message;
    }

    /** Sends a claim that must be granted and returns the server. */
    ServerName granted(Duration time, const NodeLife &from, std::uint64_t id,
                       std::vector<ServerName> excluded = {})
    {
        const auto answer = claim(time, from, id, 0, 1s, std::move(excluded));
        CPPUNIT_ASSERT(std::holds_alternative<SlotGranted>(answer));
        return std::get<SlotGranted>(answer).server;
    }

    SlotReplies end(Duration time, const NodeLife &from, std::uint64_t id, const ServerName &server,
                    SlotOutcome outcome = SlotOutcome::Answered,
                    std::optional<ServerLoad> load = {}, Duration answerTime = 50ms)
    {
        return send(time, from,
                    SlotEnded {SlotClaimId(id), Web, server, outcome, answerTime, load});
    }

    /** Reports the load of a server without a claim. */
    void report(Duration time, int server, const ServerLoad &load)
    {
        send(time, NodeB, LoadReport {Web, {{serverName(server), load, 0ms}}});
    }

    PlainScheduler &scheduler() { return m_scheduler; }
    ServerDirectory &servers() { return m_servers; }

private:
    ServerDirectory m_servers;
    PlainScheduler m_scheduler;
};

bool isQueued(const FromPlainScheduler &answer)
{
    return std::holds_alternative<SlotQueued>(answer);
}

} // namespace

class PlainSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlainSchedulerTest);
    CPPUNIT_TEST(choosesTheFasterServer);
    CPPUNIT_TEST(oldSpeedsLoseTheirWeight);
    CPPUNIT_TEST(ignoresReportsThatArriveLate);
    CPPUNIT_TEST(keepsARequestBeyondTheSlots);
    CPPUNIT_TEST(countsRequestsThatNoNodeHasClaimed);
    CPPUNIT_TEST(repeatedClaimGetsTheSameGrant);
    CPPUNIT_TEST(servesByPriority);
    CPPUNIT_TEST(servesClaimsThatMeetTheirTargetFirst);
    CPPUNIT_TEST(refusesAtOnceWhatCannotBeServedInTime);
    CPPUNIT_TEST(refusesWithoutServers);
    CPPUNIT_TEST(respectsExcludedServers);
    CPPUNIT_TEST(slotsOfEndedNodesExpire);
    CPPUNIT_TEST(newLifeOfANodeFreesTheSlotsOfTheLast);
    CPPUNIT_TEST(waitingClaimsOfEndedNodesAreDropped);
    CPPUNIT_TEST(freesSlotsWhoseEndWasLost);
    CPPUNIT_TEST(newSchedulerCountsHeldSlots);
    CPPUNIT_TEST(unreachableServerIsTriedAgain);
    CPPUNIT_TEST(hangingServerLosesRequests);
    CPPUNIT_TEST(fullServerGetsAPause);
    CPPUNIT_TEST(slotsOfReplacedServersAreDropped);
    CPPUNIT_TEST(ignoresMessagesAboutUnknownServers);
    CPPUNIT_TEST(stateStaysBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void choosesTheFasterServer()
    {
        Harness harness(2);
        harness.report(0ms, 0, {0, 0, 2, 250});
        harness.report(0ms, 1, {0, 0, 2, 100});
        CPPUNIT_ASSERT(harness.granted(1ms, NodeA, 1) == serverName(1));
        harness.report(2ms, 0, {0, 0, 2, 100});
        harness.report(2ms, 1, {0, 0, 2, 250});
        CPPUNIT_ASSERT(harness.granted(3ms, NodeA, 2) == serverName(0));
    }

    // The speed changes several times a second. Guards against a server that stays unused because
    // of the last figure that it reported.
    void oldSpeedsLoseTheirWeight()
    {
        Harness harness(1);
        const auto percentAt = [&harness](Duration time) {
            return harness.scheduler().serverStates(at(time), 1).front().figures.workPercent;
        };
        harness.report(0ms, 0, {0, 0, 2, 100});
        harness.report(1ms, 0, {0, 0, 2, 250});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(250, percentAt(1ms), 0.1);
        CPPUNIT_ASSERT(percentAt(150ms) < 190);
        CPPUNIT_ASSERT(percentAt(150ms) > 120);
        CPPUNIT_ASSERT(percentAt(2s) < 105);
    }

    // Datagrams are reordered. Guards against an old figure that replaces a newer one.
    void ignoresReportsThatArriveLate()
    {
        Harness harness(1);
        harness.report(100ms, 0, {0, 0, 2, 100});
        harness.send(110ms, NodeB, LoadReport {Web, {{serverName(0), {2, 9, 2, 250}, 90ms}}});
        const auto states = harness.scheduler().serverStates(at(110ms), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, states.front().figures.workPercent, 0.1);
    }

    // Guards against a server that is idle for the round trip between two requests, and against a
    // queue at a server while the scheduler could still choose another.
    void keepsARequestBeyondTheSlots()
    {
        Harness harness(1);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            CPPUNIT_ASSERT(harness.granted(0ms, NodeA, id) == serverName(0));
        }
        CPPUNIT_ASSERT(isQueued(harness.claim(0ms, NodeA, 4)));
        const SlotReplies replies = harness.end(30ms, NodeA, 1, serverName(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, replies.size());
        CPPUNIT_ASSERT(replies.front().message
                       == FromPlainScheduler(SlotGranted {SlotClaimId(4), serverName(0)}));
        CPPUNIT_ASSERT(replies.front().detail.find("work_percent=") != std::string::npos);
        CPPUNIT_ASSERT(replies.front().detail.find("report_age_ms=") != std::string::npos);
    }

    // Nodes that the scheduler does not hear choose servers themselves. Guards against slots that
    // are assigned although such requests use them.
    void countsRequestsThatNoNodeHasClaimed()
    {
        Harness harness(1);
        harness.report(0ms, 0, {2, 4, 2, 100});
        CPPUNIT_ASSERT(isQueued(harness.claim(1ms, NodeA, 1)));
        harness.report(20ms, 0, {0, 0, 2, 100});
        const SlotReplies replies = harness.scheduler().tick(at(21ms), harness.servers());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, replies.size());
        CPPUNIT_ASSERT(std::holds_alternative<SlotGranted>(replies.front().message));
    }

    // The grant was lost. Guards against a second slot for the same request.
    void repeatedClaimGetsTheSameGrant()
    {
        Harness harness(2);
        const ServerName server = harness.granted(0ms, NodeA, 1);
        CPPUNIT_ASSERT(harness.granted(40ms, NodeA, 1) == server);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.scheduler().held());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.scheduler().granted());
        for (std::uint64_t id = 2; id <= 6; ++id) {
            harness.granted(41ms, NodeA, id);
        }
        CPPUNIT_ASSERT(isQueued(harness.claim(42ms, NodeB, 1)));
        CPPUNIT_ASSERT(isQueued(harness.claim(192ms, NodeB, 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.scheduler().waiting());
    }

    void servesByPriority()
    {
        Harness harness(1);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            harness.granted(0ms, NodeA, id);
        }
        CPPUNIT_ASSERT(isQueued(harness.claim(1ms, NodeA, 4, 1)));
        CPPUNIT_ASSERT(isQueued(harness.claim(2ms, NodeA, 5, 0)));
        const SlotReplies replies = harness.end(10ms, NodeA, 1, serverName(0));
        CPPUNIT_ASSERT(claimOf(replies.front().message) == SlotClaimId(5));
    }

    // A request has waited for so long that its target is missed. Guards against an overload after
    // which every answer is late, each a little.
    void servesClaimsThatMeetTheirTargetFirst()
    {
        Harness harness(1);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            harness.granted(0ms, NodeA, id);
        }
        CPPUNIT_ASSERT(isQueued(harness.claim(1ms, NodeA, 4)));
        harness.scheduler().tick(at(120ms), harness.servers());
        CPPUNIT_ASSERT(isQueued(harness.claim(130ms, NodeA, 5)));
        const SlotReplies first = harness.end(140ms, NodeA, 1, serverName(0));
        CPPUNIT_ASSERT(claimOf(first.front().message) == SlotClaimId(5));
        const SlotReplies second = harness.end(150ms, NodeA, 2, serverName(0));
        CPPUNIT_ASSERT(claimOf(second.front().message) == SlotClaimId(4));
    }

    // Guards against callers that wait until their deadline for a refusal.
    void refusesAtOnceWhatCannotBeServedInTime()
    {
        Harness harness(1);
        std::size_t refused = 0;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            const auto answer = harness.claim(Duration(id * 100), NodeA, id);
            if (const auto *refusal = std::get_if<SlotRefused>(&answer)) {
                ++refused;
                CPPUNIT_ASSERT(refusal->expectedWait > 0ms);
            }
        }
        CPPUNIT_ASSERT(refused > 100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {refused}, harness.scheduler().refused());
        CPPUNIT_ASSERT(harness.scheduler().waiting() > 5);
    }

    void refusesWithoutServers()
    {
        Harness harness(0);
        CPPUNIT_ASSERT(std::holds_alternative<SlotRefused>(harness.claim(0ms, NodeA, 1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.scheduler().waiting());
    }

    // A retry must not reach the server that failed it, nor hold up the claims behind it.
    void respectsExcludedServers()
    {
        Harness harness(2);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            CPPUNIT_ASSERT(harness.granted(0ms, NodeA, id, {serverName(1)}) == serverName(0));
        }
        CPPUNIT_ASSERT(isQueued(harness.claim(1ms, NodeA, 4, 0, 1s, {serverName(1)})));
        CPPUNIT_ASSERT(harness.granted(2ms, NodeA, 5) == serverName(1));
    }

    // A node ends with slots held. Guards against slots that are lost for good.
    void slotsOfEndedNodesExpire()
    {
        Harness harness(1);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            harness.granted(0ms, NodeA, id);
        }
        CPPUNIT_ASSERT(isQueued(harness.claim(1ms, NodeB, 1)));
        harness.claim(500ms, NodeB, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, harness.scheduler().held());
        harness.claim(900ms, NodeB, 1);
        for (const Duration time : {1100ms, 1301ms, 1450ms}) {
            harness.scheduler().tick(at(time), harness.servers());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.scheduler().waiting());
        CPPUNIT_ASSERT(harness.scheduler().held() <= 1);
        CPPUNIT_ASSERT(harness.scheduler().expired() >= 3);
    }

    // A node restarts. Its new life does not know the claims of the last.
    void newLifeOfANodeFreesTheSlotsOfTheLast()
    {
        Harness harness(1);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            harness.granted(0ms, NodeA, id);
        }
        const NodeLife next {NodeA.node, Incarnation(9)};
        harness.granted(5ms, next, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.scheduler().held());
    }

    // Guards against a slot that is granted to a node that has ended while it waited.
    void waitingClaimsOfEndedNodesAreDropped()
    {
        Harness harness(1);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            harness.claim(0ms, NodeA, id, 0, 4s);
        }
        CPPUNIT_ASSERT(isQueued(harness.claim(1ms, NodeB, 1, 0, 4s)));
        CPPUNIT_ASSERT(harness.end(700ms, NodeA, 1, serverName(0)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.scheduler().waiting());
    }

    // Messages of ends were lost. The server's report shows that it has fewer requests.
    void freesSlotsWhoseEndWasLost()
    {
        Harness harness(1);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            harness.claim(0ms, NodeA, id, 0, 4s);
        }
        harness.end(400ms, NodeA, 3, serverName(0), SlotOutcome::Answered,
                    ServerLoad {2, 0, 2, 100});
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, harness.scheduler().held());
        harness.granted(401ms, NodeA, 4);
        harness.end(450ms, NodeA, 4, serverName(0), SlotOutcome::Answered,
                    ServerLoad {0, 0, 2, 100});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, harness.scheduler().held());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, harness.scheduler().expired());
    }

    // A new scheduler hears of held slots from the nodes. Guards against slots assigned twice.
    void newSchedulerCountsHeldSlots()
    {
        Harness harness(1);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            const SlotHeld held {SlotClaimId(id), Web, serverName(0), 900ms};
            harness.send(0ms, NodeA, held);
            harness.send(1ms, NodeA, held); // Datagrams may be repeated.
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, harness.scheduler().held());
        CPPUNIT_ASSERT(isQueued(harness.claim(2ms, NodeB, 1)));
        const SlotReplies replies = harness.end(10ms, NodeA, 2, serverName(0));
        CPPUNIT_ASSERT(claimOf(replies.front().message) == SlotClaimId(1));
    }

    void unreachableServerIsTriedAgain()
    {
        Harness harness(2);
        const ServerName server = harness.granted(0ms, NodeA, 1);
        harness.end(1ms, NodeA, 1, server, SlotOutcome::Unreachable, {}, 1ms);
        for (std::uint64_t id = 2; id <= 4; ++id) {
            CPPUNIT_ASSERT(harness.granted(2ms, NodeA, id) != server);
        }
        CPPUNIT_ASSERT(isQueued(harness.claim(3ms, NodeA, 5)));
        // The last attempt is avoided for 800 ms; then the server takes part again.
        bool isUsed = false;
        for (std::uint64_t id = 6; id <= 9; ++id) {
            isUsed |= harness.granted(1500ms, NodeB, id) == server;
        }
        CPPUNIT_ASSERT(isUsed);
    }

    // A server accepts requests and never answers. Guards against its getting as many as others
    // after its callers have left.
    void hangingServerLosesRequests()
    {
        Harness harness(2);
        int sentThere = 0;
        std::uint64_t id = 0;
        for (int round = 0; round < 40; ++round) {
            const Duration time = round * 50ms;
            const ServerName server = harness.granted(time, NodeA, ++id);
            const bool isHanging = server == serverName(0);
            sentThere += isHanging ? 1 : 0;
            harness.end(time + 40ms, NodeA, id, server,
                        isHanging ? SlotOutcome::Cancelled : SlotOutcome::Answered, {},
                        isHanging ? 1000ms : 40ms);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sentThere), sentThere < 10);
    }

    // A full server rejects a request. Guards against sending it the next at once.
    void fullServerGetsAPause()
    {
        Harness harness(2);
        const ServerName full = harness.granted(0ms, NodeA, 1);
        harness.end(1ms, NodeA, 1, full, SlotOutcome::Rejected, {}, 1ms);
        CPPUNIT_ASSERT(harness.granted(2ms, NodeA, 2) != full);
        CPPUNIT_ASSERT(harness.granted(20ms, NodeA, 3) == full);
    }

    // A server leaves or its next life is announced. Guards against slots of a server that is gone.
    void slotsOfReplacedServersAreDropped()
    {
        Harness harness(2);
        const ServerName server = harness.granted(0ms, NodeA, 1);
        harness.servers().remove(server);
        for (std::uint64_t id = 2; id <= 4; ++id) {
            CPPUNIT_ASSERT(harness.granted(200ms, NodeA, id) != server);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, harness.scheduler().held());
        CPPUNIT_ASSERT(harness.end(210ms, NodeA, 1, server).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1},
                             harness.scheduler().serverStates(at(400ms), 10).size());
    }

    // Guards against state that grows with invented names.
    void ignoresMessagesAboutUnknownServers()
    {
        Harness harness(1);
        harness.end(0ms, NodeA, 1, ServerName("none"), SlotOutcome::Answered, ServerLoad {1, 1, 1});
        harness.send(0ms, NodeA, SlotHeld {SlotClaimId(1), Web, ServerName("none"), 1s});
        harness.send(0ms, NodeA,
                     SlotHeld {SlotClaimId(2), ServiceName("other"), serverName(0), 1s});
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.scheduler().held());
        CPPUNIT_ASSERT(harness.scheduler().serverStates(at(0ms), 10).empty());
    }

    // Guards against memory that grows with the requests of a long life.
    void stateStaysBounded()
    {
        Harness harness(3);
        std::uint64_t id = 0;
        for (int round = 0; round < 20'000; ++round) {
            const Duration time = round * 20ms;
            const NodeLife node {NodeName("n" + std::to_string(round % 500)), Incarnation(1)};
            const auto answer = harness.claim(time, node, ++id);
            const auto *grant = std::get_if<SlotGranted>(&answer);
            if (grant && round % 3 != 0) {
                harness.end(time + 10ms, node, id, grant->server);
            }
        }
        CPPUNIT_ASSERT(harness.scheduler().held() + harness.scheduler().waiting() < 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlainSchedulerTest);
