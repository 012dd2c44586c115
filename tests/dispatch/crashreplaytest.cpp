#include "dispatch/dispatchplay.h"

using namespace indigoway;
using namespace indigoway::dispatch;

namespace {

std::string text(const char *words)
{
    return words;
}

constexpr std::uint32_t Prompt = 2'233;
const std::string Crashing = "crashes what runs it";

/** Engines that crash under one content, and serve all others. */
class CrashReplay
{
public:
    CrashReplay()
    {
        m_play.useRoutes();
        for (const char *name : {"d1", "d2", "d3", "d4"}) {
            m_play.addServer(name, EnginePhase::Decode);
        }
        m_play.addServer("p1", EnginePhase::Prefill);
    }

    /** A request from its arrival to its end; how it ended. */
    std::string request(int milliseconds, const std::string &content)
    {
        const auto number = m_play.arrive(milliseconds, "stream", Prompt, {}, content);
        while (m_play.hasCalls()) {
            serve(++milliseconds, m_play.nextCall(), content == Crashing);
        }
        return m_play.outcome(number);
    }
    int crashes() const { return m_crashes; }

private:
    void serve(int milliseconds, const StartCall &call, bool isCrashing)
    {
        switch (call.kind) {
        case CallKind::Reserve:
        case CallKind::Prefill:
            m_play.grant(milliseconds, call);
            return;
        case CallKind::Decode:
        case CallKind::Whole:
            if (isCrashing) {
                ++m_crashes;
                m_play.lose(milliseconds, call);
                return;
            }
            m_play.reduce(milliseconds, StreamBegan {call.call, 200, {}});
            m_play.end(milliseconds, call, CallEnd::Complete, 200);
            return;
        case CallKind::Probe:
            // It is back long before the next request.
            m_play.end(milliseconds, call, CallEnd::NotConnected);
            return;
        default:
            m_play.end(milliseconds, call, CallEnd::Complete, 200);
            return;
        }
    }

    DispatchPlay m_play;
    int m_crashes = 0;
};

} // namespace

class CrashReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashReplayTest);
    CPPUNIT_TEST(noFourthServerEndsUnderOneRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    // A caller sends a summary that no engine survives. It gets a 502 each time and sends it again
    // under a new id, which makes it a new request for the router; at a second's distance twelve
    // engines ended so within thirteen seconds, and each took the streams of other callers along:
    //   outcome=failed ... runs=1 server=i-9c620c6146 prompt=2233 events=0 status=502 closed early
    //   outcome=failed ... runs=1 server=i-5a6f95c4b4 prompt=2233 events=0 status=502 closed early
    // The caller must be refused once three engines have ended; all others are served as before.
    void noFourthServerEndsUnderOneRequest()
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReplayTest);
