#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace indigoway::origins;

namespace {

constexpr std::uint32_t Prompt = 5'000;
const NodeName Other("n2");

/** Announces the life of engine @p id that began at @p startedAt. */
void announce(DispatcherHarness &harness, const std::string &id, int startedAt,
              const std::string &version)
{
    AnnouncedServer server;
    server.name = ServerName(id + "@" + std::to_string(startedAt));
    server.instance = id;
    server.startedAt = static_cast<std::uint64_t>(startedAt);
    server.version = version;
    server.service = ServiceName("llm");
    server.address = id + ":80";
    server.domain = DomainName("d1");
    server.phase = EnginePhase::Decode;
    harness.dispatcher().announce(std::move(server));
}

void useEngines(DispatcherHarness &harness)
{
    harness.useRoutes();
    announce(harness, "a", 5, "v1");
    harness.dispatcher().setOriginHolders(DispatcherHarness::at(-1'000),
                                          {{Other, DomainName("d2"), 1}});
}

/** A run at engine "a", whose prompt it reads itself. */
StartCall startRun(DispatcherHarness &harness, int milliseconds)
{
    harness.arrive(milliseconds, "resumable", Prompt);
    harness.grant(milliseconds + 1, harness.nextCall(CallKind::Reserve));
    return harness.nextCall(CallKind::Whole);
}

void breakRun(DispatcherHarness &harness, int milliseconds, const StartCall &call,
              std::uint32_t events)
{
    CallEnded ended;
    ended.call = call.call;
    ended.end = CallEnd::Broken;
    ended.events = events;
    ended.isConnectionLost = true;
    harness.reduce(milliseconds, ended);
}

/** Returns the versions of the notices that have been sent since the last call. */
std::vector<std::string> noticedVersions(DispatcherHarness &harness)
{
    std::vector<std::string> versions;
    for (const SendToNode &sent : harness.takeNodeMessages()) {
        const auto &notice = std::get<OriginNotice>(sent.message);
        versions.push_back(notice.origin.version + (notice.isCorrection ? " corrected" : ""));
    }
    return versions;
}

/** Two engines that could continue a stream of either version. */
void addOthers(DispatcherHarness &harness)
{
    announce(harness, "b", 5, "v1");
    announce(harness, "c", 5, "v2");
}

} // namespace

class ServerLivesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLivesTest);
    CPPUNIT_TEST(streamThatLivesOnIsTheNewerLifes);
    CPPUNIT_TEST(streamThatIsSilentAfterTheNewsDoesNotGoOn);
    CPPUNIT_TEST(bytesOnTheirWayAreNoProof);
    CPPUNIT_TEST(firstEventAfterTheNewsIsTheNewerLifes);
    CPPUNIT_TEST(newerLifeDoesNotContinueAStream);
    CPPUNIT_TEST(newerLifeOfTheSameVersionChangesNothing);
    CPPUNIT_TEST(streamThatEndsWellIsDelivered);
    CPPUNIT_TEST(correctionReplacesWhatOthersKnow);
    CPPUNIT_TEST(oldCopyIsNoProofOfALife);
    CPPUNIT_TEST(confirmedLifeMayBeContinued);
    CPPUNIT_TEST(unansweredQuestionIsAskedAgain);
    CPPUNIT_TEST(breakBeforeTheAnswerLeavesTheVersionUnknown);
    CPPUNIT_TEST(newsOfTheOtherLifeTellsItsVersion);
    CPPUNIT_TEST(otherLifeOfTheSameVersionIsAsGood);
    CPPUNIT_TEST(recentCopyAsksNothing);
    CPPUNIT_TEST(severalVersionsAskForTheLife);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against streams that begin at a server that has come back with other software, and go
    // on at the version that its old entry named.
    void streamThatLivesOnIsTheNewerLifes()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startRun(harness, 0);
        harness.reduce(100, StreamStarted {run.call, 200, {}});
        CPPUNIT_ASSERT(noticedVersions(harness) == std::vector<std::string> {"v1"});
        announce(harness, "a", 6, "v2");
        harness.reduce(200, TimePassed {});
        harness.reduce(600, StreamProgress {run.call, 7});
        CPPUNIT_ASSERT(noticedVersions(harness).back() == "v2 corrected");
        addOthers(harness);
        breakRun(harness, 700, run, 9);
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).server != ServerName("b@5"));
    }

    void streamThatIsSilentAfterTheNewsDoesNotGoOn()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startRun(harness, 0);
        harness.reduce(100, StreamStarted {run.call, 200, {}});
        announce(harness, "a", 6, "v2");
        harness.reduce(200, TimePassed {});
        addOthers(harness);
        breakRun(harness, 600, run, 3);
        harness.advance(610, 650);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::string("cut"), harness.outcome(RequestNumber(1)));
        // Its caller cannot resume it either.
        harness.resume(700, "resumable", "c1");
        CPPUNIT_ASSERT_EQUAL(503, harness.status(RequestNumber(2)));
    }

    // Guards against a node that stood still: it reads the news before the last bytes of the
    // server's old life.
    void bytesOnTheirWayAreNoProof()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startRun(harness, 0);
        harness.reduce(100, StreamStarted {run.call, 200, {}});
        announce(harness, "a", 6, "v2");
        harness.reduce(3'000, TimePassed {});
        harness.reduce(3'001, StreamProgress {run.call, 7});
        addOthers(harness);
        breakRun(harness, 3'002, run, 7);
        harness.advance(3'010, 3'050);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::string("cut"), harness.outcome(RequestNumber(1)));
    }

    void firstEventAfterTheNewsIsTheNewerLifes()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startRun(harness, 0);
        announce(harness, "a", 6, "v2");
        harness.reduce(100, TimePassed {});
        harness.reduce(500, StreamStarted {run.call, 200, {}});
        CPPUNIT_ASSERT(noticedVersions(harness) == std::vector<std::string> {"v2"});
    }

    void newerLifeDoesNotContinueAStream()
    {
        DispatcherHarness harness;
        useEngines(harness);
        harness.resume(0, "resumable", "elsewhere");
        harness.reduce(3,
                       OriginMessageArrived {
                           Other,
                           OriginAnswer {StreamId("elsewhere"),
                                         OriginRecord {{ServiceName("llm"), "v1"}, false, {}}}});
        harness.grant(10, harness.nextCall(CallKind::Reserve));
        CallEnded report;
        report.call = harness.nextCall(CallKind::Report).call;
        report.end = CallEnd::Complete;
        report.status = 200;
        report.report = EngineReport {false, 0, 5};
        harness.reduce(12, report);
        const StartCall run = harness.nextCall(CallKind::Whole);
        announce(harness, "a", 6, "v2");
        announce(harness, "b", 5, "v1");
        harness.reduce(100, StreamStarted {run.call, 200, {}});
        CPPUNIT_ASSERT(harness.wasAbandoned(run));
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).server == ServerName("b@5"));
    }

    void newerLifeOfTheSameVersionChangesNothing()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startRun(harness, 0);
        harness.reduce(100, StreamStarted {run.call, 200, {}});
        announce(harness, "a", 6, "v1");
        harness.reduce(200, TimePassed {});
        addOthers(harness);
        breakRun(harness, 300, run, 3);
        const ServerName next = harness.nextCall(CallKind::Reserve).server;
        CPPUNIT_ASSERT(next == ServerName("b@5") || next == ServerName("a@6"));
    }

    void streamThatEndsWellIsDelivered()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startRun(harness, 0);
        harness.reduce(100, StreamStarted {run.call, 200, {}});
        announce(harness, "a", 6, "v2");
        harness.reduce(200, TimePassed {});
        harness.end(250, run, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::string("streamed"), harness.outcome(RequestNumber(1)));
    }

    void correctionReplacesWhatOthersKnow()
    {
        DispatcherHarness harness;
        useEngines(harness);
        announce(harness, "b", 5, "v2");
        OriginNotice notice {StreamId("theirs"), {ServiceName("llm"), "v1"}, MaxKeep};
        harness.reduce(0, OriginMessageArrived {Other, notice});
        notice.origin.version = "v2";
        notice.isCorrection = true;
        harness.reduce(1, OriginMessageArrived {Other, notice});
        harness.resume(10, "resumable", "theirs");
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).server == ServerName("b@5"));
    }

    // Guards against streams that go on at the version of an old entry: the store was away as their
    // server came back with other software, and they broke before the news.
    void oldCopyIsNoProofOfALife()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startStreamWithOldCopy(harness);
        answerReport(harness, 110, harness.nextCall(CallKind::Report), 6);
        breakRun(harness, 200, run, 3);
        assertCut(harness);
    }

    void confirmedLifeMayBeContinued()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startStreamWithOldCopy(harness);
        answerReport(harness, 110, harness.nextCall(CallKind::Report), 5);
        breakRun(harness, 200, run, 3);
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).server == ServerName("b@5"));
    }

    void unansweredQuestionIsAskedAgain()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startStreamWithOldCopy(harness);
        CallEnded unanswered;
        unanswered.call = harness.nextCall(CallKind::Report).call;
        unanswered.end = CallEnd::Broken;
        harness.reduce(150, unanswered);
        harness.reduce(160, StreamProgress {run.call, 2});
        CPPUNIT_ASSERT(!harness.hasCalls());
        harness.reduce(410, StreamProgress {run.call, 3});
        answerReport(harness, 420, harness.nextCall(CallKind::Report), 5);
        harness.reduce(430, StreamProgress {run.call, 4});
        CPPUNIT_ASSERT(!harness.hasCalls());
        breakRun(harness, 500, run, 4);
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).server == ServerName("b@5"));
    }

    void breakBeforeTheAnswerLeavesTheVersionUnknown()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startStreamWithOldCopy(harness);
        const StartCall report = harness.nextCall(CallKind::Report);
        breakRun(harness, 200, run, 3);
        answerReport(harness, 210, report, 5);
        assertCut(harness);
    }

    void newsOfTheOtherLifeTellsItsVersion()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startStreamWithOldCopy(harness);
        answerReport(harness, 110, harness.nextCall(CallKind::Report), 6);
        announce(harness, "a", 6, "v2");
        harness.reduce(200, TimePassed {});
        harness.reduce(600, StreamProgress {run.call, 7});
        breakRun(harness, 700, run, 9);
        CPPUNIT_ASSERT(harness.nextCall(CallKind::Reserve).server != ServerName("b@5"));
    }

    void otherLifeOfTheSameVersionIsAsGood()
    {
        DispatcherHarness harness;
        useEngines(harness);
        const StartCall run = startStreamWithOldCopy(harness);
        answerReport(harness, 110, harness.nextCall(CallKind::Report), 6);
        announce(harness, "a", 6, "v1");
        harness.reduce(200, TimePassed {});
        breakRun(harness, 300, run, 3);
        const ServerName next = harness.nextCall(CallKind::Reserve).server;
        CPPUNIT_ASSERT(next == ServerName("b@5") || next == ServerName("a@6"));
    }

    // The servers would answer a call for each stream.
    void recentCopyAsksNothing()
    {
        DispatcherHarness harness;
        useEngines(harness);
        harness.dispatcher().setCopyAge(std::chrono::milliseconds(1'500));
        const StartCall run = startRun(harness, 0);
        harness.reduce(100, StreamStarted {run.call, 200, {}});
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // During a release, servers come back with other software all the time, and the news takes up
    // to a second on its way.
    void severalVersionsAskForTheLife()
    {
        DispatcherHarness harness;
        useEngines(harness);
        harness.noteVersion("v1");
        harness.noteVersion("v2");
        const StartCall run = startRun(harness, 0);
        harness.reduce(100, StreamStarted {run.call, 200, {}});
        addOthers(harness);
        answerReport(harness, 110, harness.nextCall(CallKind::Report), 6);
        breakRun(harness, 200, run, 3);
        assertCut(harness);
    }

private:
    /** A stream at engine "a" that begins while the node gets no changes of the store. */
    static StartCall startStreamWithOldCopy(DispatcherHarness &harness)
    {
        harness.dispatcher().setCopyAge(std::nullopt);
        const StartCall run = startRun(harness, 0);
        harness.reduce(100, StreamStarted {run.call, 200, {}});
        addOthers(harness);
        return run;
    }

    static void answerReport(DispatcherHarness &harness, int milliseconds, const StartCall &call,
                             std::uint64_t startedAt)
    {
        CallEnded ended;
        ended.call = call.call;
        ended.end = CallEnd::Complete;
        ended.status = 200;
        ended.report = EngineReport {false, 0, startedAt};
        harness.reduce(milliseconds, ended);
    }

    /** Asserts that the first stream is not continued, here or by its caller. */
    static void assertCut(DispatcherHarness &harness)
    {
        harness.advance(610, 650);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::string("cut"), harness.outcome(RequestNumber(1)));
        harness.resume(700, "resumable", "c1");
        CPPUNIT_ASSERT_EQUAL(503, harness.status(RequestNumber(2)));
    }

    static constexpr Duration MaxKeep = std::chrono::seconds(9);
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLivesTest);
