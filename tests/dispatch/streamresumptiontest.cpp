#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace indigoway::scheduling;
using namespace indigoway::origins;

namespace {

constexpr std::uint32_t Prompt = 5'000;
const Incarnation Life(7);
const NodeName Other("n2");

/** Two decode engines and a prefill engine of each version. */
void useEngines(DispatcherHarness &harness, bool isScheduled = false)
{
    harness.useRoutes();
    for (const std::string version : {"v1", "v2"}) {
        harness.addServer("p-" + version, EnginePhase::Prefill, false, version);
        harness.addServer("d1-" + version, EnginePhase::Decode, false, version);
        harness.addServer("d2-" + version, EnginePhase::Decode, false, version);
    }
    harness.dispatcher().setOriginHolders(DispatcherHarness::at(-1'000),
                                          {{Other, DomainName("d2"), 1}});
    if (isScheduled) {
        harness.dispatcher().setScheduler(NodeName("scheduler"));
    }
}

std::string versionOf(const ServerName &server)
{
    return server.text().substr(server.text().size() - 2);
}

/** Answers a query about the stream @p id as the other node. */
void answerQuery(DispatcherHarness &harness, int milliseconds, const std::string &id,
                 const std::optional<StreamOrigin> &origin)
{
    std::optional<OriginRecord> record;
    if (origin) {
        record = OriginRecord {*origin, false, std::chrono::seconds(1)};
    }
    harness.reduce(milliseconds, OriginMessageArrived {Other, OriginAnswer {StreamId(id), record}});
}

/** A stream on the route "resumable" that has begun at an engine of this node's choice. */
struct Begun
{
    RequestNumber request;
    StartCall decode;
    std::string version;
};

Begun beginStream(DispatcherHarness &harness, int milliseconds)
{
    Begun begun;
    begun.request = harness.arrive(milliseconds, "resumable", Prompt);
    harness.grant(milliseconds + 1, harness.nextCall(CallKind::Reserve));
    const StartCall prefill = harness.nextCall(CallKind::Prefill);
    harness.grant(milliseconds + 100, prefill);
    begun.decode = harness.nextCall(CallKind::Decode);
    begun.version = versionOf(begun.decode.server);
    CPPUNIT_ASSERT_EQUAL(begun.version, versionOf(prefill.server));
    harness.reduce(milliseconds + 150, StreamStarted {begun.decode.call, 200, {}});
    return begun;
}

void breakStream(DispatcherHarness &harness, int milliseconds, const StartCall &call)
{
    CallEnded ended;
    ended.call = call.call;
    ended.end = CallEnd::Broken;
    ended.events = 3;
    ended.reason = "connection reset";
    harness.reduce(milliseconds, ended);
}

} // namespace

class StreamResumptionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamResumptionTest);
    CPPUNIT_TEST(tellsOthersBeforeTheFirstEventLeaves);
    CPPUNIT_TEST(resumesAtTheVersionThatAnotherNodeKnows);
    CPPUNIT_TEST(resumesOwnStreamsWithoutAsking);
    CPPUNIT_TEST(resumesWithinAnAnswerAtTheSameVersion);
    CPPUNIT_TEST(cutsAnAnswerWhoseVersionIsGone);
    CPPUNIT_TEST(rejectsUnknownStreamAtOnce);
    CPPUNIT_TEST(rejectsStreamWhoseVersionIsGone);
    CPPUNIT_TEST(rejectsWaitingStreamWhenItsVersionGoes);
    CPPUNIT_TEST(rejectsWithoutAValidId);
    CPPUNIT_TEST(resumesByContentIfTheCallerNamesNoStream);
    CPPUNIT_TEST(rejectsOnRoutesThatCannotBeResumed);
    CPPUNIT_TEST(rejectsWhenNobodyAnswers);
    CPPUNIT_TEST(oneVersionIsNoReasonToGuess);
    CPPUNIT_TEST(claimNamesTheVersion);
    CPPUNIT_TEST(refusesAGrantOfAnotherVersion);
    CPPUNIT_TEST(serverThatReturnsWithAnotherVersionIsNotUsed);
    CPPUNIT_TEST(checksTheLifeOfAServerWhoseIdMayComeBack);
    CPPUNIT_TEST(callerThatLeavesDuringTheLookupIsForgotten);
    CPPUNIT_TEST(answersQueriesOfOtherNodes);
    CPPUNIT_TEST(resumesAtTheServiceThatBeganTheStream);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller that resumes a stream before any other node knows it.
    void tellsOthersBeforeTheFirstEventLeaves()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Begun begun = beginStream(harness, 0);
        const auto messages = harness.takeNodeMessages();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, messages.size());
        CPPUNIT_ASSERT(messages.front().to == Other);
        const auto &notice = std::get<OriginNotice>(messages.front().message);
        CPPUNIT_ASSERT(notice.stream == StreamId("c1"));
        CPPUNIT_ASSERT_EQUAL(begun.version, notice.origin.version);
        CPPUNIT_ASSERT(notice.keepFor >= std::chrono::milliseconds(13'000));
    }

    void resumesAtTheVersionThatAnotherNodeKnows()
    {
        for (const std::string version : {"v1", "v2"}) {
            DispatcherHarness harness;
            useEngines(harness);
            const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
            CPPUNIT_ASSERT(!harness.hasCalls());
            answerQuery(harness, 3, "elsewhere", StreamOrigin {ServiceName("llm"), version});
            const StartCall reserve = harness.nextCall(CallKind::Reserve);
            CPPUNIT_ASSERT_EQUAL(version, versionOf(reserve.server));
            harness.grant(5, reserve);
            const StartCall run = harness.nextCall(CallKind::Whole);
            CPPUNIT_ASSERT_EQUAL(version, versionOf(run.server));
            harness.takeNodeMessages();
            harness.reduce(200, StreamStarted {run.call, 200, {}});
            // The notice names the first attempt, by which the caller resumes once more.
            const auto messages = harness.takeNodeMessages();
            CPPUNIT_ASSERT(std::get<OriginNotice>(messages.at(0).message).stream
                           == StreamId("elsewhere"));
            harness.end(400, run, CallEnd::Complete, 200);
            CPPUNIT_ASSERT_EQUAL(std::string("streamed"), harness.outcome(request));
        }
    }

    void resumesOwnStreamsWithoutAsking()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Begun begun = beginStream(harness, 0);
        harness.reduce(155, OriginMessageArrived {Other, OriginKept {StreamId("c1")}});
        harness.takeNodeMessages();
        harness.resume(1'000, "resumable", "c1");
        CPPUNIT_ASSERT(harness.takeNodeMessages().empty());
        CPPUNIT_ASSERT_EQUAL(begun.version, versionOf(harness.nextCall(CallKind::Reserve).server));
    }

    void resumesWithinAnAnswerAtTheSameVersion()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Begun begun = beginStream(harness, 0);
        breakStream(harness, 300, begun.decode);
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT(reserve.server != begun.decode.server);
        CPPUNIT_ASSERT_EQUAL(begun.version, versionOf(reserve.server));
    }

    // Guards against an answer that is held open until its time is up.
    void cutsAnAnswerWhoseVersionIsGone()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const Begun begun = beginStream(harness, 0);
        harness.dispatcher().remove(ServerName("d1-" + begun.version));
        harness.dispatcher().remove(ServerName("d2-" + begun.version));
        breakStream(harness, 300, begun.decode);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::string("cut"), harness.outcome(begun.request));
    }

    void rejectsUnknownStreamAtOnce()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const RequestNumber request = harness.resume(0, "resumable", "nobody");
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(request));
        answerQuery(harness, 3, "nobody", std::nullopt);
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    void rejectsStreamWhoseVersionIsGone()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        answerQuery(harness, 3, "elsewhere", StreamOrigin {ServiceName("llm"), "v0"});
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    void rejectsWaitingStreamWhenItsVersionGoes()
    {
        DispatcherHarness harness;
        useEngines(harness, true);
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        answerQuery(harness, 3, "elsewhere", StreamOrigin {ServiceName("llm"), "v1"});
        const auto claim = harness.nextSchedulerMessage<Claim>();
        harness.reduce(5, SchedulerAnswered {ClaimQueued {claim.claim}, Life});
        harness.dispatcher().remove(ServerName("d1-v1"));
        harness.advance(10, 50);
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(request));
        harness.dispatcher().remove(ServerName("d2-v1"));
        harness.advance(60, 80);
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
    }

    void rejectsWithoutAValidId()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const RequestNumber request = harness.resume(0, "resumable", "");
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(harness.takeNodeMessages().empty());
    }

    // Guards against refusing callers of an earlier contract, who name no stream.
    void resumesByContentIfTheCallerNamesNoStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const std::string id = origins::streamIdOf(ContentId("prompt")).text();
        harness.resume(0, "resumable", std::nullopt, Prompt, "prompt");
        answerQuery(harness, 3, id, StreamOrigin {ServiceName("llm"), "v2"});
        CPPUNIT_ASSERT_EQUAL(std::string("v2"),
                             versionOf(harness.nextCall(CallKind::Reserve).server));
        const RequestNumber unknown = harness.resume(10, "resumable", std::nullopt, Prompt, "new");
        answerQuery(harness, 13, origins::streamIdOf(ContentId("new")).text(), std::nullopt);
        CPPUNIT_ASSERT_EQUAL(503, harness.status(unknown));
    }

    void rejectsOnRoutesThatCannotBeResumed()
    {
        DispatcherHarness harness;
        useEngines(harness);
        CPPUNIT_ASSERT_EQUAL(503, harness.status(harness.resume(0, "stream", "c1")));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against callers who wait at a node that is cut off from the others.
    void rejectsWhenNobodyAnswers()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        harness.advance(10, 300);
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(harness.retryAfter(request) > Duration(0));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against a guess by a node whose copy knows only one version.
    void oneVersionIsNoReasonToGuess()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        harness.addServer("p", EnginePhase::Prefill);
        harness.addServer("d", EnginePhase::Decode);
        const RequestNumber early = harness.resume(0, "resumable", "elsewhere");
        CPPUNIT_ASSERT_EQUAL(503, harness.status(early));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    void claimNamesTheVersion()
    {
        DispatcherHarness harness;
        useEngines(harness, true);
        harness.resume(0, "resumable", "elsewhere");
        answerQuery(harness, 3, "elsewhere", StreamOrigin {ServiceName("llm"), "v2"});
        const auto claim = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(claim.version == std::string("v2"));
        CPPUNIT_ASSERT(claim.urgency == Urgency::Resumed);
        harness.arrive(10, "resumable", Prompt);
        CPPUNIT_ASSERT(!harness.nextSchedulerMessage<Claim>().version);
    }

    // Guards against a scheduling node of an earlier release, or with another view of the servers.
    void refusesAGrantOfAnotherVersion()
    {
        DispatcherHarness harness;
        useEngines(harness, true);
        harness.resume(0, "resumable", "elsewhere");
        answerQuery(harness, 3, "elsewhere", StreamOrigin {ServiceName("llm"), "v2"});
        const auto claim = harness.nextSchedulerMessage<Claim>();
        harness.reduce(
            5, SchedulerAnswered {ClaimGranted {claim.claim, ServerName("d1-v1"), {}, {}}, Life});
        CPPUNIT_ASSERT(!harness.hasCalls());
        harness.nextSchedulerMessage<ClaimEnded>();
        const auto next = harness.nextSchedulerMessage<Claim>();
        CPPUNIT_ASSERT(next.excludedServers.front() == ServerName("d1-v1"));
        harness.reduce(
            8, SchedulerAnswered {ClaimGranted {next.claim, ServerName("d1-v2"), {}, {}}, Life});
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).server == ServerName("d1-v2"));
    }

    // Guards against a server id that comes back with another version between two calls.
    void serverThatReturnsWithAnotherVersionIsNotUsed()
    {
        DispatcherHarness harness;
        useEngines(harness);
        harness.resume(0, "resumable", "elsewhere");
        answerQuery(harness, 3, "elsewhere", StreamOrigin {ServiceName("llm"), "v1"});
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        harness.addServer(reserve.server.text(), EnginePhase::Decode, false, "v2");
        harness.grant(10, reserve);
        const StartCall other = harness.nextCall();
        CPPUNIT_ASSERT(other.kind == CallKind::Unreserve || other.kind == CallKind::Reserve);
        CPPUNIT_ASSERT(other.kind == CallKind::Unreserve || other.server != reserve.server);
    }

    // Guards against an id that has come back with another version, which a node that is cut off
    // from the store does not know.
    void checksTheLifeOfAServerWhoseIdMayComeBack()
    {
        DispatcherHarness harness;
        useEngines(harness);
        for (const char *name : {"d1-v1", "d2-v1"}) {
            AnnouncedServer server = *harness.dispatcher().servers().find(ServerName(name));
            server.startedAt = 5;
            harness.dispatcher().announce(server);
        }
        harness.resume(0, "resumable", "elsewhere");
        answerQuery(harness, 3, "elsewhere", StreamOrigin {ServiceName("llm"), "v1"});
        const auto report = [&harness](int milliseconds, const StartCall &call,
                                       std::uint64_t startedAt) {
            CallEnded ended;
            ended.call = call.call;
            ended.end = CallEnd::Complete;
            ended.status = 200;
            ended.report = EngineReport {false, 0, startedAt};
            harness.reduce(milliseconds, ended);
        };
        const StartCall first = harness.nextCall(CallKind::Reserve);
        harness.grant(10, first);
        report(12, harness.nextCall(CallKind::Report), 6);
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Unreserve).server == first.server);
        const StartCall second = harness.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT(second.server != first.server);
        harness.grant(15, second);
        report(17, harness.nextCall(CallKind::Report), 5);
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Whole).server == second.server);
    }

    void callerThatLeavesDuringTheLookupIsForgotten()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        harness.reduce(2, CallerLeft {request});
        answerQuery(harness, 3, "elsewhere", StreamOrigin {ServiceName("llm"), "v1"});
        harness.advance(10, 300);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.dispatcher().open());
    }

    void answersQueriesOfOtherNodes()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StreamOrigin origin {ServiceName("llm"), "v2"};
        const OriginNotice notice {StreamId("theirs"), origin, std::chrono::seconds(9)};
        harness.reduce(0, OriginMessageArrived {Other, notice});
        const auto kept = harness.takeNodeMessages();
        CPPUNIT_ASSERT(std::get<OriginKept>(kept.at(0).message).stream == StreamId("theirs"));
        harness.reduce(50, OriginMessageArrived {Other, OriginQuery {StreamId("theirs")}});
        const auto answers = harness.takeNodeMessages();
        const auto &answer = std::get<OriginAnswer>(answers.at(0).message);
        CPPUNIT_ASSERT(answer.record && answer.record->origin == origin);
        CPPUNIT_ASSERT(answer.record->age == std::chrono::milliseconds(50));
    }

    // Guards against a stream that goes on at another service after a change of its route.
    void resumesAtTheServiceThatBeganTheStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        answerQuery(harness, 3, "elsewhere", StreamOrigin {ServiceName("web"), "v1"});
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamResumptionTest);
