#include "dispatch/dispatcherharness.h"

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace indigoway::origins;

namespace {

constexpr std::uint32_t Prompt = 5'000;
const ServiceName Llm("llm");
const NodeName Other("n2");

void addEngines(DispatcherHarness &harness, const std::string &version)
{
    harness.addServer("p-" + version, EnginePhase::Prefill, false, version);
    harness.addServer("d1-" + version, EnginePhase::Decode, false, version);
    harness.addServer("d2-" + version, EnginePhase::Decode, false, version);
}

void removeEngines(DispatcherHarness &harness, const std::string &version)
{
    for (const char *name : {"p-", "d1-", "d2-"}) {
        harness.dispatcher().remove(ServerName(name + version));
    }
}

std::string versionOf(const ServerName &server)
{
    return server.text().substr(server.text().size() - 2);
}

/** What the store knows if these versions are noted. */
StoredOrigins notesOf(const std::vector<std::string> &versions, const ServiceName &service = Llm)
{
    StoredOrigins found;
    for (const std::string &version : versions) {
        found.add(VersionNote {{service, version}, VersionNotes::MinPatience, false});
    }
    return found;
}

/** A node that has just started, as all others have. */
void startNode(DispatcherHarness &harness, const std::vector<std::string> &versions)
{
    harness.useRoutes();
    for (const std::string &version : versions) {
        harness.noteVersion(version);
        addEngines(harness, version);
    }
    harness.setStoredOrigins(notesOf(versions));
    harness.dispatcher().setOriginHolders(DispatcherHarness::at(-1'000), {});
}

/** Returns the version at which the next stream of this node's choice is reserved. */
std::string nextVersion(DispatcherHarness &harness, int milliseconds)
{
    const RequestNumber request = harness.arrive(milliseconds, "resumable", Prompt);
    const StartCall reserve = harness.nextCall(CallKind::Reserve);
    harness.reduce(milliseconds, CallerLeft {request});
    harness.end(milliseconds, reserve, CallEnd::NotExecuted);
    return versionOf(reserve.server);
}

std::set<std::string> nextVersions(DispatcherHarness &harness, int milliseconds)
{
    std::set<std::string> versions;
    for (int i = 0; i < 20; ++i) {
        versions.insert(nextVersion(harness, milliseconds + 200 * i));
    }
    return versions;
}

/** Lets the resumable route lead to two services. */
void splitRoute(DispatcherHarness &harness)
{
    RoutingState state;
    state.version = 2;
    Route route = DispatcherHarness::streamRoute(true);
    route.shares = {{Llm, 1}, {ServiceName("llm2"), 1}};
    state.routes = {route};
    state.services[Llm].name = Llm;
    state.services[Llm].engine = EngineTraits();
    state.services[ServiceName("llm2")].name = ServiceName("llm2");
    harness.dispatcher().setRoutes(std::make_shared<const RouteTable>(std::move(state)));
}

/** Begins a stream, which goes on; returns its version. */
std::string beginStream(DispatcherHarness &harness, int milliseconds)
{
    harness.arrive(milliseconds, "resumable", Prompt);
    harness.grant(milliseconds + 1, harness.nextCall(CallKind::Reserve));
    harness.grant(milliseconds + 100, harness.nextCall(CallKind::Prefill));
    const StartCall decode = harness.nextCall(CallKind::Decode);
    harness.reduce(milliseconds + 150, StreamStarted {decode.call, 200, {}});
    return versionOf(decode.server);
}

} // namespace

class StoredOriginTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoredOriginTest);
    CPPUNIT_TEST(resumesAtTheOnlyNotedVersion);
    CPPUNIT_TEST(resumesByContentAtTheOnlyNotedVersion);
    CPPUNIT_TEST(severalNotedVersionsAreNoProof);
    CPPUNIT_TEST(resumesAtTheRecordedVersion);
    CPPUNIT_TEST(ownCopyIsNoProof);
    CPPUNIT_TEST(readBeginsAfterTheLookup);
    CPPUNIT_TEST(lookupsShareARead);
    CPPUNIT_TEST(storeThatComesBackLateIsWaitedFor);
    CPPUNIT_TEST(storeThatStaysAwayEndsTheWait);
    CPPUNIT_TEST(callerThatLeavesDuringTheReadIsForgotten);
    CPPUNIT_TEST(serviceOfASplitRouteIsNotGuessed);
    CPPUNIT_TEST(versionWithoutServersIsRefused);
    CPPUNIT_TEST(newVersionBeginsNoStreamBeforeItsNote);
    CPPUNIT_TEST(newVersionServesWithoutANoteIfNoOtherCan);
    CPPUNIT_TEST(idThatReturnsWithANewVersionWaitsForItsNote);
    CPPUNIT_TEST(removalThatNamesNoVersionEndsItsNote);
    CPPUNIT_TEST(versionsWithoutAnyNoteServe);
    CPPUNIT_TEST(plainServicesNeedNoNote);
    CPPUNIT_TEST(streamsOfOneVersionAreNotRecorded);
    CPPUNIT_TEST(streamsOfSeveralVersionsAreRecorded);
    CPPUNIT_TEST(streamsOfASplitRouteAreRecorded);
    CPPUNIT_TEST(openStreamsAreRecordedWhenASecondVersionIsNoted);
    CPPUNIT_TEST(recordsWhatAnotherNodeAsksFor);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the loss of all streams when all nodes die while one version serves.
    void resumesAtTheOnlyNotedVersion()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        const StartCall reserve = harness.nextCall(CallKind::Reserve);
        harness.grant(5, reserve);
        const StartCall run = harness.nextCall(CallKind::Whole);
        harness.reduce(200, StreamStarted {run.call, 200, {}});
        harness.end(400, run, CallEnd::Complete, 200);
        CPPUNIT_ASSERT_EQUAL(std::string("streamed"), harness.outcome(request));
    }

    void resumesByContentAtTheOnlyNotedVersion()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        harness.resume(0, "resumable", std::nullopt, Prompt, "prompt");
        CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                             versionOf(harness.nextCall(CallKind::Reserve).server));
    }

    // Guards against a stream of one version that goes on at another one, also after a release,
    // when only the ending note of the old version is left.
    void severalNotedVersionsAreNoProof()
    {
        for (const std::vector<std::string> &serving :
             {std::vector<std::string> {"v1", "v2"}, {"v2"}}) {
            DispatcherHarness harness;
            startNode(harness, serving);
            harness.setStoredOrigins(notesOf({"v1", "v2"}));
            const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
            CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
            CPPUNIT_ASSERT(!harness.hasCalls());
        }
    }

    // Guards against the loss of all streams when all nodes die during a release.
    void resumesAtTheRecordedVersion()
    {
        for (const std::string version : {"v1", "v2"}) {
            DispatcherHarness harness;
            startNode(harness, {"v1", "v2"});
            StoredOrigins found = notesOf({"v1", "v2"});
            found.add({{StreamId("elsewhere"), {Llm, version}}});
            harness.setStoredOrigins(found);
            harness.resume(0, "resumable", "elsewhere");
            CPPUNIT_ASSERT_EQUAL(version, versionOf(harness.nextCall(CallKind::Reserve).server));
        }
    }

    // Guards against a node that was frozen or cut off while a new version joined.
    void ownCopyIsNoProof()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        harness.setStoredOrigins(notesOf({"v1", "v2"}));
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against a read that does not see the note of a version that has begun streams since.
    void readBeginsAfterTheLookup()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        harness.setAnswersStoreReads(false);
        harness.resume(0, "resumable", "first");
        const RequestNumber second = harness.resume(100, "resumable", "second");
        harness.answerStoreRead(110);
        harness.nextCall(CallKind::Reserve);
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(second));
        CPPUNIT_ASSERT_EQUAL(1U, harness.storeReads());
        harness.setStoredOrigins(notesOf({"v1", "v2"}));
        harness.answerStoreRead(120);
        CPPUNIT_ASSERT_EQUAL(503, harness.status(second));
    }

    // Guards against a read of the store for each of thousands of callers.
    void lookupsShareARead()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        harness.setAnswersStoreReads(false);
        for (int i = 0; i < 50; ++i) {
            harness.resume(i, "resumable", "stream-" + std::to_string(i));
        }
        harness.answerStoreRead(60);
        CPPUNIT_ASSERT_EQUAL(1U, harness.storeReads());
        harness.answerStoreRead(70);
        CPPUNIT_ASSERT_EQUAL(0U, harness.storeReads());
    }

    void storeThatComesBackLateIsWaitedFor()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        harness.setAnswersStoreReads(false);
        harness.setStoredOrigins(std::nullopt);
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        harness.answerStoreRead(300);
        CPPUNIT_ASSERT_EQUAL(std::string("open"), harness.outcome(request));
        harness.advance(310, 600);
        harness.setStoredOrigins(notesOf({"v1"}));
        harness.answerStoreRead(610);
        harness.nextCall(CallKind::Reserve);
    }

    // Guards against callers who wait at a node that does not reach the store.
    void storeThatStaysAwayEndsTheWait()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        harness.setAnswersStoreReads(false);
        harness.setStoredOrigins(std::nullopt);
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        harness.advance(10, 2'600);
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(harness.retryAfter(request) > Duration(0));
        harness.answerStoreRead(2'700);
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    void callerThatLeavesDuringTheReadIsForgotten()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        harness.setAnswersStoreReads(false);
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        harness.reduce(5, CallerLeft {request});
        harness.answerStoreRead(10);
        CPPUNIT_ASSERT(!harness.hasCalls());
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, harness.dispatcher().open());
    }

    // Guards against a stream that goes on at another service of its route.
    void serviceOfASplitRouteIsNotGuessed()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        splitRoute(harness);
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
    }

    void versionWithoutServersIsRefused()
    {
        DispatcherHarness harness;
        startNode(harness, {"v2"});
        harness.setStoredOrigins(notesOf({"v1"}));
        const RequestNumber request = harness.resume(0, "resumable", "elsewhere");
        CPPUNIT_ASSERT_EQUAL(503, harness.status(request));
        CPPUNIT_ASSERT(!harness.hasCalls());
    }

    // Guards against streams at a version that nobody can prove if all nodes die.
    void newVersionBeginsNoStreamBeforeItsNote()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        addEngines(harness, "v2");
        CPPUNIT_ASSERT(nextVersions(harness, 0) == std::set<std::string> {"v1"});
        harness.noteVersion("v2");
        CPPUNIT_ASSERT((nextVersions(harness, 10'000) == std::set<std::string> {"v1", "v2"}));
        harness.noteVersion("v2", true);
        CPPUNIT_ASSERT(nextVersions(harness, 20'000) == std::set<std::string> {"v1"});
    }

    // Guards against a service that is not served while the store takes no writes.
    void newVersionServesWithoutANoteIfNoOtherCan()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        addEngines(harness, "v2");
        removeEngines(harness, "v1");
        harness.advance(0, 20);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), nextVersion(harness, 30));
    }

    void idThatReturnsWithANewVersionWaitsForItsNote()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        harness.addServer("d1-v1", EnginePhase::Decode, false, "v2");
        CPPUNIT_ASSERT(harness.dispatcher().servers().availability(ServerName("d1-v1"),
                                                                   DispatcherHarness::at(0))
                       == ServerAvailability::Leaving);
        harness.noteVersion("v2");
        harness.advance(0, 10);
        CPPUNIT_ASSERT(harness.dispatcher().servers().availability(ServerName("d1-v1"),
                                                                   DispatcherHarness::at(10))
                       == ServerAvailability::Usable);
    }

    // Guards against a note that never ends: the removal of an entry has its key only.
    void removalThatNamesNoVersionEndsItsNote()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1", "v2"});
        Dispatcher &dispatcher = harness.dispatcher();
        CPPUNIT_ASSERT(dispatcher.dueVersionNotes(DispatcherHarness::at(0), {}).empty());
        for (const char *name : {"p-v1", "d1-v1", "d2-v1"}) {
            dispatcher.withdraw(ServerName(name), DispatcherHarness::at(0));
        }
        harness.reduce(2'000, TimePassed {});
        CPPUNIT_ASSERT(dispatcher.dueVersionNotes(DispatcherHarness::at(2'000), {}).empty());
        const auto due =
            dispatcher.dueVersionNotes(DispatcherHarness::at(2'000) + VersionNotes::EndDelay, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, due.size());
        CPPUNIT_ASSERT(due.front().note.isEnding);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), due.front().note.origin.version);
    }

    void versionsWithoutAnyNoteServe()
    {
        DispatcherHarness harness;
        harness.useRoutes();
        addEngines(harness, "v1");
        addEngines(harness, "v2");
        CPPUNIT_ASSERT((nextVersions(harness, 0) == std::set<std::string> {"v1", "v2"}));
    }

    void plainServicesNeedNoNote()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        harness.addServer("w", EnginePhase::None, false, "v9");
        harness.arrive(0, "plain");
        CPPUNIT_ASSERT_EQUAL(std::string("w"), harness.nextCall(CallKind::Plain).server.text());
        CPPUNIT_ASSERT(harness.dispatcher().dueVersionNotes(DispatcherHarness::at(0), {}).empty());
    }

    // Guards against a write to the store for streams while one version serves.
    void streamsOfOneVersionAreNotRecorded()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        beginStream(harness, 0);
        CPPUNIT_ASSERT(harness.takeStoreRecords().empty());
    }

    void streamsOfSeveralVersionsAreRecorded()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1", "v2"});
        const std::string version = beginStream(harness, 0);
        const auto records = harness.takeStoreRecords();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, records.size());
        CPPUNIT_ASSERT(records.front() == (StreamRecord {StreamId("c1"), {Llm, version}}));
    }

    // Guards against the loss of all streams of a route that leads to several services, and of
    // those that had begun before it was split.
    void streamsOfASplitRouteAreRecorded()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        beginStream(harness, 0);
        CPPUNIT_ASSERT(harness.takeStoreRecords().empty());
        splitRoute(harness);
        harness.advance(500, 510);
        const StreamRecord begun {StreamId("c1"), {Llm, "v1"}};
        CPPUNIT_ASSERT(harness.takeStoreRecords() == std::vector<StreamRecord> {begun});
        StoredOrigins found = notesOf({"v1"});
        found.add(std::vector<StreamRecord> {{StreamId("elsewhere"), {Llm, "v1"}}});
        harness.setStoredOrigins(found);
        harness.resume(600, "resumable", "elsewhere");
        CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                             versionOf(harness.nextCall(CallKind::Reserve).server));
    }

    // Guards against the loss of streams that had begun before the release.
    void openStreamsAreRecordedWhenASecondVersionIsNoted()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1"});
        beginStream(harness, 0);
        harness.noteVersion("v2");
        harness.advance(500, 510);
        const auto records = harness.takeStoreRecords();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, records.size());
        CPPUNIT_ASSERT(records.front() == (StreamRecord {StreamId("c1"), {Llm, "v1"}}));
    }

    void recordsWhatAnotherNodeAsksFor()
    {
        DispatcherHarness harness;
        startNode(harness, {"v1", "v2"});
        OriginNotice notice {StreamId("theirs"), {Llm, "v2"}, std::chrono::seconds(9)};
        harness.reduce(0, OriginMessageArrived {Other, notice});
        CPPUNIT_ASSERT(harness.takeStoreRecords().empty());
        notice.isForStore = true;
        harness.reduce(1, OriginMessageArrived {Other, notice});
        const auto records = harness.takeStoreRecords();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, records.size());
        CPPUNIT_ASSERT(records.front() == (StreamRecord {StreamId("theirs"), {Llm, "v2"}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoredOriginTest);
