#include "fakes/deployments.h"
#include "fakes/world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <sstream>

using namespace indigoway;
using namespace indigoway::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Nodes = 4;

/** The kinds of steps in a random run. */
enum class Action {
    SendModel,
    SendOnce,
    SendOnceAgain,
    SendService,
    CallerLeaves,
    KillNode,
    StartNode,
    FreezeNode,
    ThawNode,
    LeaveNode,
    KillEngine,
    RestartEngine,
    FreezeEngine,
    ThawEngine,
    BreakStreams,
    StallTransfers,
    StoreAway,
    StoreBack,
    DropStoreAnswers,
    CutNodes,
    HealNetwork,
    DrainServer,
    Wait,
    Size,
};

struct Step
{
    Action action = Action::Wait;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << '{' << static_cast<int>(step.action) << ',' << step.a << ',' << step.b << '}';
}

} // namespace

namespace rc {

template <>
struct Arbitrary<Step>
{
    static Gen<Step> arbitrary()
    {
        return gen::build<Step>(
            // Requests are drawn more often than faults, so that faults hit running requests.
            gen::set(&Step::action,
                     gen::oneOf(gen::map(gen::inRange(0, static_cast<int>(Action::Size)),
                                         [](int i) { return static_cast<Action>(i); }),
                                gen::element(Action::SendModel, Action::SendOnce,
                                             Action::SendOnceAgain, Action::Wait, Action::Wait))),
            gen::set(&Step::a, gen::inRange<std::uint32_t>(0, 1000)),
            gen::set(&Step::b, gen::inRange<std::uint32_t>(0, 1000)));
    }
};

} // namespace rc

namespace {

/** Applies random steps to four nodes and checks the invariants. */
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed)
        : m_world(settings(seed))
    {
        addSmallDeployment(m_world, {});
        m_world.startAll();
        m_world.run(8s);
    }

    void apply(const Step &step)
    {
        const std::size_t node = step.a % Nodes;
        const std::vector<std::string> engines = m_world.engineNames();
        const std::string &engine = engines[step.b % engines.size()];
        switch (step.action) {
        case Action::SendModel:
            m_world.submit(node, modelRequest(100 + step.b * 5, 1 + step.a % 60));
            break;
        case Action::SendOnce:
            m_keys.push_back("key-" + std::to_string(m_keys.size()));
            m_world.submit(node, onceRequest(m_keys.back(), 100 + step.b, 1 + step.a % 40));
            break;
        case Action::SendOnceAgain:
            if (!m_keys.empty()) {
                m_world.submit(node, onceRequest(m_keys[step.b % m_keys.size()], 100, 10));
            }
            break;
        case Action::SendService:
            m_world.submit(node, serviceRequest());
            break;
        case Action::CallerLeaves:
            if (!m_world.callers().empty()) {
                m_world.callerLeaves(step.b % m_world.callers().size());
            }
            break;
        case Action::KillNode:
            m_world.killNode(node);
            break;
        case Action::StartNode:
            if (!m_world.isUp(node)) {
                m_world.startNode(node);
            }
            break;
        case Action::FreezeNode:
            m_world.freezeNode(node);
            break;
        case Action::ThawNode:
            m_world.thawNode(node);
            break;
        case Action::LeaveNode:
            m_world.leaveNode(node);
            break;
        case Action::KillEngine:
            m_world.engine(engine).kill();
            break;
        case Action::RestartEngine:
            m_world.engine(engine).restart();
            break;
        case Action::FreezeEngine:
            m_world.engine(engine).freeze();
            break;
        case Action::ThawEngine:
            m_world.engine(engine).thaw();
            break;
        case Action::BreakStreams:
            m_world.engine(engine).breakStreams();
            break;
        case Action::StallTransfers:
            m_world.engine(engine).setStallsTransfers(step.a % 2 == 0);
            break;
        case Action::StoreAway:
            m_world.setStoreAway(true);
            break;
        case Action::StoreBack:
            m_world.setStoreAway(false);
            break;
        case Action::DropStoreAnswers:
            m_world.dropStoreAnswers(1 + static_cast<int>(step.a % 3));
            break;
        case Action::CutNodes:
            m_world.cut(node, step.b % Nodes);
            break;
        case Action::HealNetwork:
            m_world.heal();
            break;
        case Action::DrainServer:
            m_world.command(node, (step.a % 2 == 0 ? "drain server " : "resume server ") + engine);
            break;
        case Action::Wait:
        case Action::Size:
            m_world.run(std::chrono::milliseconds(step.a * 4));
            break;
        }
        m_world.run(std::chrono::milliseconds(20));
    }

    /** Ends all faults and lets the remaining requests finish. */
    void settle()
    {
        m_world.heal();
        m_world.stopLosing();
        for (const std::string &name : m_world.engineNames()) {
            m_world.engine(name).setStallsTransfers(false);
            m_world.engine(name).thaw();
            if (!m_world.engine(name).isAlive()) {
                m_world.engine(name).restart();
            }
        }
        for (std::size_t i = 0; i < Nodes; ++i) {
            m_world.thawNode(i);
        }
        m_world.run(10s);
        for (std::size_t i = 0; i < Nodes; ++i) {
            if (!m_world.isUp(i)) {
                m_world.startNode(i);
            }
        }
        m_world.run(4min);
    }

    void check()
    {
        for (const std::string &breach : m_world.breaches()) {
            RC_FAIL(breach);
        }
        for (const std::string &key : m_keys) {
            RC_ASSERT(m_world.runsOf(key) <= 1);
        }
    }

    void checkSettled()
    {
        check();
        for (const CallerView &view : m_world.callers()) {
            const bool hasEnded = view.ends == 1 || view.isLost || view.isGone;
            if (!hasEnded) {
                RC_FAIL("a request has not ended");
            }
        }
        for (const std::string &name : m_world.engineNames()) {
            if (!m_world.engine(name).held().empty()) {
                RC_FAIL(name + " still holds " + m_world.engine(name).held().front().text() + "; "
                        + describe());
            }
        }
        for (std::size_t i = 0; i < Nodes; ++i) {
            RC_ASSERT(m_world.node(i).requests().open() == 0);
            RC_ASSERT(m_world.node(i).scheduler().grants(m_world.now()).empty());
            RC_ASSERT(m_world.node(i).configuration().revision()
                      == m_world.node(0).configuration().revision());
        }
    }

    /** Returns the states of the nodes for a failure message. */
    std::string describe()
    {
        std::string text;
        for (std::size_t i = 0; i < Nodes; ++i) {
            Node &node = m_world.node(i);
            text += "n" + std::to_string(i) + " life "
                + std::to_string(node.membership().life().incarnation.value()) + " sees "
                + std::to_string(node.membership().presentCount()) + " revision "
                + std::to_string(node.configuration().revision().value()) + " cells "
                + std::to_string(node.scheduler().cells().size()) + " unfinished "
                + std::to_string(node.requests().unfinished());
            for (const RequestView &view : node.requests().views(m_world.now())) {
                text += " [" + stageName(view.stage) + " on " + view.server.text() + "]";
            }
            for (std::size_t j = 0; j < Nodes; ++j) {
                const MemberUpdate *other =
                    node.membership().member(NodeName("n" + std::to_string(j)));
                text += other ? " n" + std::to_string(j) + "="
                        + std::to_string(static_cast<int>(other->state)) + "/"
                        + std::to_string(other->life.incarnation.value()) + "/"
                        + std::to_string(other->version)
                              : " n" + std::to_string(j) + "=?";
            }
            text += "; ";
        }
        return text;
    }

private:
    static WorldSettings settings(std::uint64_t seed)
    {
        WorldSettings settings;
        settings.seed = seed;
        settings.nodes = Nodes;
        settings.loseMessages = 0.02;
        settings.doubleMessages = 0.02;
        return settings;
    }

    World m_world;
    std::vector<std::string> m_keys;
};

} // namespace

class PromisesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromisesTest);
    CPPUNIT_TEST(holdUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

    // Under random faults, no request may end twice or incomplete, run after it was refused as "not
    // executed", or run twice with one key. After the faults, all requests end and free their
    // capacity.
    void holdUnderRandomFaults()
    {
        const bool isOk =
            rc::check("promises", [](std::uint16_t seed, const std::vector<Step> &steps) {
                RandomRun run(seed);
                for (const Step &step : steps) {
                    run.apply(step);
                    run.check();
                }
                run.settle();
                run.checkSettled();
            });
        CPPUNIT_ASSERT(isOk);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromisesTest);
