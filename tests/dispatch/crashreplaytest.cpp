#include "dispatch/dispatcherharness.h"

#include <memory>

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

std::string text(const char *words)
{
    return words;
}

constexpr std::uint32_t Prompt = 2'233;
const std::string Crashing = "crashes what runs it";

/**
 * Simulates nodes whose engines crash on one content and serve all others. Crash notes reach the
 * other nodes with a delay, as with replicas of the store.
 */
class CrashReplay
{
public:
    explicit CrashReplay(std::size_t nodes = 1)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            addNode();
        }
    }

    /** Starts a node, which reads the stored notes. */
    void addNode()
    {
        m_nodes.push_back(std::make_unique<DispatcherHarness>());
        DispatcherHarness &node = *m_nodes.back();
        node.useRoutes();
        for (const char *name : {"d1", "d2", "d3", "d4"}) {
            node.addServer(name, EnginePhase::Decode);
        }
        node.addServer("p1", EnginePhase::Prefill);
        for (const Note &note : m_notes) {
            deliver(node, note);
        }
    }

    /** Runs a request to its end and returns its outcome. */
    std::string request(int milliseconds, const std::string &content, std::size_t node = 0)
    {
        const auto number = arrive(milliseconds, content, node);
        DispatcherHarness &harness = *m_nodes.at(node);
        serveAll(milliseconds + 1, harness, content == Crashing);
        collectNotes(milliseconds + 1, harness);
        return harness.outcome(number);
    }

    /** Runs a request up to its decode call, which stays open. */
    StartCall beginDecode(int milliseconds, const std::string &content, std::size_t node = 0)
    {
        arrive(milliseconds, content, node);
        DispatcherHarness &harness = *m_nodes.at(node);
        harness.grant(milliseconds, harness.nextCall(CallKind::Reserve));
        harness.grant(milliseconds, harness.nextCall(CallKind::Prefill));
        return harness.nextCall(CallKind::Decode);
    }

    /** Crashes the server of @p call. */
    void crash(int milliseconds, const StartCall &call, std::size_t node = 0)
    {
        DispatcherHarness &harness = *m_nodes.at(node);
        harness.loseConnection(milliseconds, call);
        serveAll(milliseconds, harness);
        collectNotes(milliseconds, harness);
    }

    int crashes() const { return m_crashes; }
    DispatcherHarness &node(std::size_t index) { return *m_nodes.at(index); }

private:
    struct Note
    {
        PublishCrash crash;
        std::uint64_t revision = 0;
        int visibleAt = 0; ///< At the other nodes.
        bool isDelivered = false;
    };

    RequestNumber arrive(int milliseconds, const std::string &content, std::size_t node)
    {
        deliverDueNotes(milliseconds);
        return m_nodes.at(node)->arrive(milliseconds, "stream", Prompt, {}, content);
    }

    void collectNotes(int milliseconds, DispatcherHarness &harness)
    {
        /** Time from a write to the store until all replicas have it. */
        constexpr int ReplicationDelay = 300;
        for (const PublishCrash &crash : harness.takeCrashNotes()) {
            m_notes.push_back({crash, ++m_revision, milliseconds + ReplicationDelay});
        }
    }

    void deliverDueNotes(int milliseconds)
    {
        for (Note &note : m_notes) {
            if (note.isDelivered || milliseconds < note.visibleAt) {
                continue;
            }
            note.isDelivered = true;
            for (const auto &node : m_nodes) {
                deliver(*node, note);
            }
        }
    }

    static void deliver(DispatcherHarness &node, const Note &note)
    {
        node.dispatcher().crashRecorded(note.crash.note, note.revision,
                                        DispatcherHarness::at(note.visibleAt));
    }

    /** Answers all calls; the servers that are probed restart long before the next request. */
    void serveAll(int milliseconds, DispatcherHarness &harness, bool isCrashing = false)
    {
        while (harness.hasCalls() || harness.hasServerProbes()) {
            if (harness.hasCalls()) {
                serve(milliseconds, harness, harness.nextCall(), isCrashing);
            } else {
                harness.end(milliseconds, harness.nextServerProbe(), CallEnd::NotConnected);
            }
        }
    }

    void serve(int milliseconds, DispatcherHarness &harness, const StartCall &call, bool isCrashing)
    {
        switch (call.kind) {
        case CallKind::Reserve:
        case CallKind::Prefill:
            harness.grant(milliseconds, call);
            return;
        case CallKind::Decode:
        case CallKind::Whole:
            if (isCrashing) {
                ++m_crashes;
                harness.loseConnection(milliseconds, call);
                return;
            }
            harness.reduce(milliseconds, StreamStarted {call.call, 200, {}});
            harness.end(milliseconds, call, CallEnd::Complete, 200);
            return;
        default:
            harness.end(milliseconds, call, CallEnd::Complete, 200);
            return;
        }
    }

    std::vector<std::unique_ptr<DispatcherHarness>> m_nodes;
    std::vector<Note> m_notes;
    std::uint64_t m_revision = 0;
    int m_crashes = 0;
};

} // namespace

class CrashReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashReplayTest);
    CPPUNIT_TEST(contentIsRefusedAfterThreeCrashes);
    CPPUNIT_TEST(crashesAreCountedAcrossNodes);
    CPPUNIT_TEST(burstsCauseABoundedNumberOfCrashes);
    CPPUNIT_TEST(startingNodeRefusesCrashingContent);
    CPPUNIT_TEST(openRequestIsRejectedAtTheCrashLimit);
    CPPUNIT_TEST(simultaneousCrashesCountOnce);
    CPPUNIT_TEST(answerResetsTheCrashCount);
    CPPUNIT_TEST(refusalExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    // A caller repeats a request that crashes each engine, under new ids. The content must be
    // refused after three crashes, while other requests are served.
    void contentIsRefusedAfterThreeCrashes()
    {
        CrashReplay replay;
        constexpr int Attempts = 12;
        constexpr int Between = 4'000;
        for (int i = 0; i < Attempts; ++i) {
            const std::string end = replay.request(i * Between, Crashing);
            CPPUNIT_ASSERT_EQUAL(text(i < 3 ? "failed 502" : "rejected"), end);
            const std::string other = "another of " + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL(text("streamed"), replay.request(i * Between + 2'000, other));
        }
        CPPUNIT_ASSERT_EQUAL(3, replay.crashes());
    }

    // As above, with the attempts at seven nodes in turn; no node observes three crashes itself.
    void crashesAreCountedAcrossNodes()
    {
        constexpr std::size_t Nodes = 7;
        CrashReplay replay(Nodes);
        constexpr int Attempts = 21;
        constexpr int Between = 4'000;
        for (int i = 0; i < Attempts; ++i) {
            const auto node = static_cast<std::size_t>(i) % Nodes;
            const std::string end = replay.request(i * Between, Crashing, node);
            CPPUNIT_ASSERT_EQUAL(text(i < 3 ? "failed 502" : "rejected"), end);
            CPPUNIT_ASSERT_EQUAL(text("streamed"),
                                 replay.request(i * Between + 2'000, "another", node));
        }
        CPPUNIT_ASSERT_EQUAL(3, replay.crashes());
    }

    // Guards against an unbounded number of crashes in a burst of the same request, which arrives
    // at other nodes before they know of the previous crash.
    void burstsCauseABoundedNumberOfCrashes()
    {
        constexpr std::size_t Nodes = 7;
        CrashReplay replay(Nodes);
        constexpr int Between = 150;
        constexpr int AllowedUntil = 3 * Between + 3'000;
        int late = 0;
        for (int i = 0; i < 60; ++i) {
            const int before = replay.crashes();
            replay.request(i * Between, Crashing, static_cast<std::size_t>(i) % Nodes);
            late += i * Between > AllowedUntil ? replay.crashes() - before : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, late);
        // Three consecutive crashes, each with the runs that were sent before it was known.
        CPPUNIT_ASSERT(replay.crashes() <= 9);
    }

    void startingNodeRefusesCrashingContent()
    {
        CrashReplay replay(2);
        for (int i = 0; i < 4; ++i) {
            replay.request(i * 4'000, Crashing, static_cast<std::size_t>(i) % 2);
        }
        replay.addNode();
        CPPUNIT_ASSERT_EQUAL(text("rejected"), replay.request(20'000, Crashing, 2));
        CPPUNIT_ASSERT_EQUAL(3, replay.crashes());
    }

    // A content reaches the crash limit while another request for it is in prefill. That request
    // must be rejected as not executed.
    void openRequestIsRejectedAtTheCrashLimit()
    {
        CrashReplay replay;
        replay.request(0, Crashing);
        replay.request(1'000, Crashing);
        DispatcherHarness &node = replay.node(0);
        const auto waiting = node.arrive(2'000, "stream", Prompt, {}, Crashing);
        node.grant(2'001, node.nextCall(CallKind::Reserve));
        const StartCall prefill = node.nextCall(CallKind::Prefill);
        node.dispatcher().crashRecorded({ContentId(Crashing), 3}, 90, DispatcherHarness::at(2'010));
        node.grant(2'100, prefill);
        CPPUNIT_ASSERT_EQUAL(text("rejected"), node.outcome(waiting));
        while (node.hasCalls()) {
            const CallKind kind = node.nextCall().kind;
            CPPUNIT_ASSERT(kind == CallKind::Unreserve || kind == CallKind::FreeHandle);
        }
        CPPUNIT_ASSERT_EQUAL(2, replay.crashes());
    }

    // Three servers with the same content lose power at once. The content must not be refused, as
    // all runs started before any crash was known.
    void simultaneousCrashesCountOnce()
    {
        CrashReplay replay(3);
        std::vector<StartCall> runs;
        for (std::size_t node = 0; node < 3; ++node) {
            runs.push_back(replay.beginDecode(0, "popular", node));
        }
        for (std::size_t node = 0; node < 3; ++node) {
            replay.crash(500, runs.at(node), node);
        }
        for (std::size_t node = 0; node < 3; ++node) {
            CPPUNIT_ASSERT_EQUAL(text("streamed"), replay.request(2'000, "popular", node));
        }
    }

    // A content shares servers with crashing requests, but is answered in between. It must never be
    // refused.
    void answerResetsTheCrashCount()
    {
        CrashReplay replay(2);
        for (int round = 0; round < 6; ++round) {
            const int time = round * 4'000;
            const std::size_t node = static_cast<std::size_t>(round) % 2;
            replay.crash(time + 300, replay.beginDecode(time, "job", node), node);
            replay.crash(time + 1'000, replay.beginDecode(time + 700, "job", node), node);
            CPPUNIT_ASSERT_EQUAL(text("streamed"), replay.request(time + 2'000, "job", node));
        }
    }

    // A refusal must expire.
    void refusalExpires()
    {
        CrashReplay replay;
        for (int i = 0; i < 4; ++i) {
            replay.request(i * 4'000, Crashing);
        }
        DispatcherHarness &node = replay.node(0);
        constexpr int Later = 11 * 60'000;
        node.reduce(Later, TimePassed {});
        const auto number = node.arrive(Later, "stream", Prompt, {}, Crashing);
        CPPUNIT_ASSERT_EQUAL(text("open"), node.outcome(number));
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, node.dispatcher().crashes().refusedCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReplayTest);
