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

/** One thing that happens in a random story. */
enum class Step {
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

struct Happening
{
    Step step = Step::Wait;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream &operator<<(std::ostream &out, const Happening &one)
{
    return out << '{' << static_cast<int>(one.step) << ',' << one.a << ',' << one.b << '}';
}

} // namespace

namespace rc {

template <>
struct Arbitrary<Happening>
{
    static Gen<Happening> arbitrary()
    {
        return gen::build<Happening>(
            // Requests are drawn more often than faults: faults need work to disturb.
            gen::set(&Happening::step,
                     gen::oneOf(gen::map(gen::inRange(0, static_cast<int>(Step::Size)),
                                         [](int i) { return static_cast<Step>(i); }),
                                gen::element(Step::SendModel, Step::SendOnce, Step::SendOnceAgain,
                                             Step::Wait, Step::Wait))),
            gen::set(&Happening::a, gen::inRange<std::uint32_t>(0, 1000)),
            gen::set(&Happening::b, gen::inRange<std::uint32_t>(0, 1000)));
    }
};

} // namespace rc

namespace {

/** Plays a story over four nodes and holds the promises against it. */
class Story
{
public:
    explicit Story(std::uint64_t seed)
        : m_world(settings(seed))
    {
        addSmallDeployment(m_world, {});
        m_world.startAll();
        m_world.run(8s);
    }

    void play(const Happening &one)
    {
        const std::size_t node = one.a % Nodes;
        const std::vector<std::string> engines = m_world.engineNames();
        const std::string &engine = engines[one.b % engines.size()];
        switch (one.step) {
        case Step::SendModel:
            m_world.submit(node, modelRequest(100 + one.b * 5, 1 + one.a % 60));
            break;
        case Step::SendOnce:
            m_keys.push_back("key-" + std::to_string(m_keys.size()));
            m_world.submit(node, onceRequest(m_keys.back(), 100 + one.b, 1 + one.a % 40));
            break;
        case Step::SendOnceAgain:
            if (!m_keys.empty()) {
                m_world.submit(node, onceRequest(m_keys[one.b % m_keys.size()], 100, 10));
            }
            break;
        case Step::SendService:
            m_world.submit(node, serviceRequest());
            break;
        case Step::CallerLeaves:
            if (!m_world.callers().empty()) {
                m_world.callerLeaves(one.b % m_world.callers().size());
            }
            break;
        case Step::KillNode:
            m_world.killNode(node);
            break;
        case Step::StartNode:
            if (!m_world.isUp(node)) {
                m_world.startNode(node);
            }
            break;
        case Step::FreezeNode:
            m_world.freezeNode(node);
            break;
        case Step::ThawNode:
            m_world.thawNode(node);
            break;
        case Step::LeaveNode:
            m_world.leaveNode(node);
            break;
        case Step::KillEngine:
            m_world.engine(engine).kill();
            break;
        case Step::RestartEngine:
            m_world.engine(engine).restart();
            break;
        case Step::FreezeEngine:
            m_world.engine(engine).freeze();
            break;
        case Step::ThawEngine:
            m_world.engine(engine).thaw();
            break;
        case Step::BreakStreams:
            m_world.engine(engine).breakStreams();
            break;
        case Step::StallTransfers:
            m_world.engine(engine).setStallsTransfers(one.a % 2 == 0);
            break;
        case Step::StoreAway:
            m_world.setStoreAway(true);
            break;
        case Step::StoreBack:
            m_world.setStoreAway(false);
            break;
        case Step::DropStoreAnswers:
            m_world.dropStoreAnswers(1 + static_cast<int>(one.a % 3));
            break;
        case Step::CutNodes:
            m_world.cut(node, one.b % Nodes);
            break;
        case Step::HealNetwork:
            m_world.heal();
            break;
        case Step::DrainServer:
            m_world.command(node, (one.a % 2 == 0 ? "drain server " : "resume server ") + engine);
            break;
        case Step::Wait:
        case Step::Size:
            m_world.run(std::chrono::milliseconds(one.a * 4));
            break;
        }
        m_world.run(std::chrono::milliseconds(20));
    }

    /** All faults end; after a while everything must have ended and be free. */
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
                RC_FAIL("a request has no end");
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

    /** The nodes' states, for a failure's message. */
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
    CPPUNIT_TEST(holdInRandomStories);
    CPPUNIT_TEST_SUITE_END();

    // Requests of all kinds, callers who leave and callers who send the same key again, while
    // nodes and engines die, freeze and wake, links are cut, messages are lost and doubled, and
    // the store goes away and loses answers; in any order. After each step: no request ends
    // twice or with a part, nothing refused as "not executed" was run, no key runs twice. Once
    // the faults are over: every request has ended, and no engine or scheduler holds anything.
    void holdInRandomStories()
    {
        const bool isOk =
            rc::check("promises", [](std::uint16_t seed, const std::vector<Happening> &happenings) {
                Story story(seed);
                for (const Happening &one : happenings) {
                    story.play(one);
                    story.check();
                }
                story.settle();
                story.checkSettled();
            });
        CPPUNIT_ASSERT(isOk);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromisesTest);
