#include "dispatch/runrecovery.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <string>

using namespace indigoway;
using namespace indigoway::dispatch;
using Kind = RecoveryStep::Kind;

namespace {

enum class Fault {
    Crash,          ///< The engine refuses connections.
    Silent,         ///< The engine sends nothing and takes no connection, and goes on later.
    PathLost,       ///< Only other nodes reach the engine, which goes on with the run.
    Reset,          ///< The connection ends; the engine drops the run.
    ResetUnnoticed, ///< The connection ends; the engine goes on with the run.
    Pause,          ///< The engine is busy; the stream goes on later.
};
constexpr int FaultCount = 6;

Duration milliseconds(int count)
{
    return std::chrono::milliseconds(count);
}

/** One run in virtual time. Times count from the last event before the fault. */
class LostRun
{
public:
    LostRun(const EngineTraits &traits, Fault fault, std::mt19937_64 &random)
        : m_recovery(traits)
        , m_traits(traits)
        , m_fault(fault)
        , m_random(random)
        , m_isExecuting(fault != Fault::Crash && fault != Fault::Reset)
        , m_lastPart(-milliseconds(draw(0, 140)))
        , m_losesAnswers(draw(0, 9) == 0)
    {
        m_state.hasBackup = true;
        m_state.events = static_cast<std::uint32_t>(draw(1, 70));
        m_state.timeLeft = std::chrono::seconds(5);
    }

    /** Returns "backup", "move", "open" if the stream goes on, or "lost". */
    std::string end()
    {
        RecoveryStep next;
        if (isSilent()) {
            m_now = *m_recovery.silenceLimit(true);
            next = m_recovery.streamSilent(m_state);
        } else {
            next = m_recovery.connectionLost(m_state);
        }
        for (;;) {
            switch (next.kind) {
            case Kind::AskEngine:
                m_now += connectTime();
                next = m_recovery.engineAsked(m_state, check(), isSilent());
                break;
            case Kind::StopRun:
                next = m_recovery.stopEnded(m_state, stop());
                break;
            case Kind::ContinueAtBackup:
                assertOver();
                m_now += milliseconds(draw(1, 40));
                return m_now < m_lastPart + m_traits.handleKept ? "backup" : "lost";
            case Kind::ContinueAtTarget:
            case Kind::ContinueAtEngine:
                assertOver();
                return "move";
            case Kind::Wait:
                return "open";
            case Kind::RequestTarget:
            case Kind::GiveUp:
                return "lost";
            }
        }
    }
    bool losesAnswers() const { return m_losesAnswers; }

private:
    int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }
    bool isSilent() const
    {
        return m_fault == Fault::Silent || m_fault == Fault::PathLost || m_fault == Fault::Pause;
    }
    EngineCheck check() const
    {
        static const std::map<Fault, EngineCheck> Checks {{Fault::Crash, EngineCheck::Refused},
                                                          {Fault::Silent, EngineCheck::NoAnswer},
                                                          {Fault::PathLost, EngineCheck::Relayed}};
        const auto it = Checks.find(m_fault);
        return it == Checks.end() ? EngineCheck::Connected : it->second;
    }
    Duration connectTime()
    {
        return m_fault == Fault::Silent ? EngineAnswerLimit : milliseconds(draw(1, 4));
    }

    StopResult stop()
    {
        ++m_state.stopRequests;
        m_now += connectTime();
        if (m_fault == Fault::Crash) {
            return StopResult::Refused;
        }
        const bool wasExecuting = std::exchange(m_isExecuting, false);
        if (m_losesAnswers && m_state.stopRequests == 1) {
            m_now += milliseconds(1000);
            return StopResult::Unknown;
        }
        if (!wasExecuting) {
            return StopResult::NoSuchRun;
        }
        return draw(0, 3) == 0 ? StopResult::NotMoved : StopResult::Moved;
    }

    void assertOver() const
    {
        CPPUNIT_ASSERT_MESSAGE("the run would be executed twice", !m_isExecuting);
    }

    RunRecovery m_recovery;
    const EngineTraits &m_traits;
    Fault m_fault;
    std::mt19937_64 &m_random;
    bool m_isExecuting;
    Duration m_now {};
    Duration m_lastPart; ///< When the last part of the copy arrived.
    bool m_losesAnswers;
    RunState m_state;
};

} // namespace

class RunRecoveryReplayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunRecoveryReplayTest);
    CPPUNIT_TEST(runsContinueOnceAndInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Replays 6,000 lost runs with parts of copies 140 ms apart. Guards against a run that
    // continues while its first engine executes it, a copy that is reached too late, and a paused
    // engine that loses its run.
    void runsContinueOnceAndInTime()
    {
        EngineTraits traits;
        traits.handleKept = milliseconds(500);
        traits.keepsBackups = true;
        traits.movesRuns = true;
        std::mt19937_64 random(20261203);
        std::map<std::string, int> ends;
        for (int i = 0; i < 6'000; ++i) {
            const auto fault = static_cast<Fault>(i % FaultCount);
            LostRun run(traits, fault, random);
            const std::string end = run.end();
            ++ends[end];
            const bool isStopped =
                fault == Fault::Reset || fault == Fault::ResetUnnoticed || fault == Fault::PathLost;
            const bool mayBeLost = run.losesAnswers() && isStopped;
            CPPUNIT_ASSERT_EQUAL(fault == Fault::Pause || fault == Fault::Silent, end == "open");
            CPPUNIT_ASSERT(mayBeLost || end != "lost");
        }
        CPPUNIT_ASSERT_EQUAL(2'000, ends["open"]);
        CPPUNIT_ASSERT(ends["backup"] >= 1'800);
        CPPUNIT_ASSERT(ends["move"] >= 1'600);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunRecoveryReplayTest);
