#pragma once

#include "core/node.h"
#include "fakes/fakeengine.h"
#include "fakes/fakestore.h"
#include "fakes/timeline.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace indigoway::fakes {

struct WorldSettings
{
    std::uint64_t seed = 1;
    std::size_t nodes = 4;
    Duration nodeDelay = std::chrono::microseconds(1500);    ///< One way, between nodes.
    Duration backendDelay = std::chrono::microseconds(1000); ///< One way.
    Duration storeDelay = std::chrono::milliseconds(2);
    Duration reportLag = std::chrono::milliseconds(500);
    double loseMessages = 0;   ///< Share of calls between nodes that are lost.
    double doubleMessages = 0; ///< Share of calls between nodes that arrive twice.
    PlacementMode mode = PlacementMode::Scheduled;
    LocalPolicy policy = LocalPolicy::PowerOfTwo;
    bool reportsToAll = false; ///< Every node hears every report, as the baselines need.
    Duration serviceWork = std::chrono::milliseconds(20);
};

/** What became of one request, as its caller saw it. */
struct CallerView
{
    std::size_t node = 0;
    RequestSpec spec;
    TimePoint sent {};
    std::uint32_t tokens = 0;
    TimePoint firstToken {};
    TimePoint lastToken {};
    int ends = 0; ///< FinishAnswer and RefuseRequest, together; more than one is a fault.
    bool isWhole = false;
    std::optional<RefuseRequest> refusal;
    TimePoint ended {};
    bool isLost = false; ///< Its node died.
    bool isGone = false; ///< The caller left.
};

/** An operator's command and its answer. */
struct CommandView
{
    std::optional<CommandOutcome> outcome;
    std::optional<AnswerQuery> answer;
};

/**
 * Several nodes' reducers, engines, a key-value service and callers in one process and in
 * virtual time. Carries effects out, with delays and the faults that a test or experiment sets,
 * and notes each breach of a promise that it sees.
 */
class World
{
public:
    explicit World(WorldSettings settings);

    Timeline &timeline() { return m_timeline; }
    TimePoint now() const { return m_timeline.now(); }
    void run(Duration time) { m_timeline.runUntil(now() + time); }

    void addEngine(const std::string &name, FakeEngineSettings settings);
    FakeEngine &engine(const std::string &name);
    std::vector<std::string> engineNames() const;

    /** Puts @p declarations into the store as revision 1, before the nodes start. */
    void preload(const std::string &declarations);
    void startAll();
    void startNode(std::size_t index);
    void killNode(std::size_t index);
    void freezeNode(std::size_t index);
    void thawNode(std::size_t index);
    void leaveNode(std::size_t index);
    bool isUp(std::size_t index) const;
    bool hasLeft(std::size_t index) const { return m_slots.at(index).hasLeft; }
    Node &node(std::size_t index) { return *m_slots.at(index).node; }
    std::size_t nodeCount() const { return m_slots.size(); }

    /** A caller's request to a node; its number in this world. */
    std::size_t submit(std::size_t node, const RequestSpec &spec);
    void callerLeaves(std::size_t request);
    const std::vector<CallerView> &callers() const { return m_callers; }
    std::size_t command(std::size_t node, const std::string &text, const std::string &who = "ada");
    std::size_t query(std::size_t node, const std::string &text);
    const CommandView &commandView(std::size_t command) const { return m_commands.at(command); }

    /** Orders that a server took, by their fencing numbers. */
    const std::vector<std::uint64_t> &ordersOf(const std::string &server)
    {
        return m_orders[server];
    }
    /** Whether the server refuses an old fencing number; it does unless told so. */
    void setChecksFencing(const std::string &server, bool checks)
    {
        m_ignoresFencing[server] = !checks;
    }
    void setVersion(const std::string &server, const std::string &version)
    {
        m_versions[server] = version;
    }
    std::string version(const std::string &server) { return m_versions[server]; }

    void setStoreAway(bool isAway) { m_isStoreAway = isAway; }
    /** The next writes take effect, but their answers are lost. */
    void dropStoreAnswers(int count) { m_dropStoreAnswers = count; }
    /** Calls between the two nodes fail, both ways, until healed. */
    void cut(std::size_t a, std::size_t b) { m_cuts.insert(std::minmax(a, b)); }
    void cutFromStore(std::size_t node) { m_cutFromStore.insert(node); }
    void heal();
    void stopLosing() { m_settings.loseMessages = m_settings.doubleMessages = 0; }

    FakeStore &store() { return m_store; }
    /** Promises seen broken, in words. */
    const std::vector<std::string> &breaches() const { return m_breaches; }
    std::uint64_t counter(Counter counter) const;
    /** Work that servers began for the requests with @p key. */
    int runsOf(const std::string &key) const;
    /** When @p server was last given new work. */
    TimePoint lastStart(const std::string &server) const;
    std::uint64_t peerCalls() const { return m_peerCalls; }

private:
    struct Slot
    {
        std::unique_ptr<Node> node;
        std::uint64_t life = 0;
        bool isUp = false;
        bool isFrozen = false;
        bool hasLeft = false;
        std::deque<Event> inbox; ///< Of a frozen node.
        std::uint64_t wakePlan = 0;
        std::map<RequestNumber, std::size_t> requests;
        std::map<CommandNumber, std::size_t> commands;
        std::map<PeerRequestNumber, std::function<void(const PeerReply &)>> peerRequests;
        std::set<CallNumber> calls; ///< To backend servers, not abandoned.
        std::map<CallNumber, std::pair<ServerName, EngineRequestName>> streams;
        std::map<ServerName, ReportArrived> lagging;
    };

    void post(std::size_t index, std::uint64_t life, const Event &event);
    void reduce(std::size_t index, const Event &event);
    void carryOut(std::size_t index, const Effects &effects);
    void planWake(std::size_t index);
    void run(std::size_t index, const StartPrefill &effect);
    void run(std::size_t index, const StartDecode &effect);
    void run(std::size_t index, const ResumeDecode &effect);
    void run(std::size_t index, const CallService &effect);
    void run(std::size_t index, const AbandonCall &effect);
    void run(std::size_t index, const CancelOnEngine &effect);
    void run(std::size_t index, const FetchReport &effect);
    void run(std::size_t index, const IssueOrder &effect);
    void run(std::size_t index, const RelayTokens &effect);
    void run(std::size_t index, const FinishAnswer &effect);
    void run(std::size_t index, const RefuseRequest &effect);
    void run(std::size_t index, const SendToPeer &effect);
    void run(std::size_t index, const ReplyToPeer &effect);
    void run(std::size_t index, const CallStore &effect);
    void run(std::size_t index, const AnswerCommand &effect);
    void run(std::size_t index, const AnswerQuery &effect);
    void run(std::size_t index, const CountUp &effect);
    void run(std::size_t index, const Observe &effect);
    void run(std::size_t index, const LogChange &effect);
    void run(std::size_t index, const ShutdownFinished &effect);
    /** Delivers a backend server's news unless the call was abandoned or its node died. */
    void fromBackend(std::size_t index, std::uint64_t life, CallNumber call, const Event &event,
                     bool isLast);
    FakeEngine::Tokens onTokens(std::size_t index, std::uint64_t life, CallNumber call);
    FakeEngine::Done onDecoded(std::size_t index, std::uint64_t life, CallNumber call);
    CallerView *caller(std::size_t index, RequestNumber request);
    void noteStart(std::size_t index, RequestNumber request, const ServerName &server);
    void deliver(std::size_t to, PeerRequest request, std::function<void(const PeerReply &)> reply);
    std::size_t findNode(const NodeName &name, const std::string &address) const;
    void breach(const std::string &what);
    void broadcastReports();
    ReportArrived reportOf(const std::string &server);
    Duration jittered(Duration delay);
    bool happens(double share);

    WorldSettings m_settings;
    Timeline m_timeline;
    std::mt19937_64 m_random;
    FakeStore m_store;
    std::map<std::string, std::unique_ptr<FakeEngine>> m_engines;
    std::vector<Slot> m_slots;
    std::vector<CallerView> m_callers;
    std::vector<CommandView> m_commands;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::set<std::size_t> m_cutFromStore;
    std::vector<std::string> m_breaches;
    std::map<Counter, std::uint64_t> m_counters;
    std::map<std::string, int> m_runs;
    std::map<std::size_t, std::set<std::string>> m_startedOn;
    std::map<std::string, TimePoint> m_lastStart;
    std::map<std::string, std::vector<std::uint64_t>> m_orders;
    std::map<std::string, bool> m_ignoresFencing;
    std::map<std::string, std::string> m_versions;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_peerCalls = 0;
    int m_dropStoreAnswers = 0;
    bool m_isStoreAway = false;
};

} // namespace indigoway::fakes
