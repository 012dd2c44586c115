#include "experiment.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

namespace indigoway::bench {

using namespace std::chrono_literals;

namespace {

constexpr Duration WarmUp = 10s;
constexpr Duration Measured = 60s;
constexpr Duration Drain = 30s;
constexpr Duration FaultFrom = 25s;
constexpr Duration FaultTo = 45s;
constexpr Duration BurstEvery = 20s;
constexpr Duration BurstLasts = 4s;
constexpr double BurstFactor = 2;
constexpr double StragglerFactor = 4;
constexpr std::size_t BacklogSize = 300;
/** Spread of sizes: standard deviation of the logarithm. */
constexpr double SizeSpread = 0.5;
constexpr Duration CallerReconnects = 100ms;

struct Arrival
{
    Duration at {};
    const RequestClass *kind = nullptr;
    std::uint32_t prompt = 0;
    std::uint32_t output = 0;
    std::uint32_t node = 0;
};

std::uint32_t drawSize(std::mt19937_64 &random, double mean, std::uint32_t least)
{
    const double location = std::log(mean) - SizeSpread * SizeSpread / 2;
    std::lognormal_distribution<double> draw(location, SizeSpread);
    const double size = std::min(draw(random), mean * 4);
    return std::max(least, static_cast<std::uint32_t>(size));
}

double rateFactor(Scenario scenario, Duration at)
{
    if (scenario != Scenario::Burst) {
        return 1;
    }
    return at % BurstEvery < BurstLasts ? BurstFactor : 1;
}

Arrival drawArrival(std::mt19937_64 &random, const ExperimentDeployment &deployment, Duration at)
{
    std::vector<double> shares;
    shares.reserve(deployment.classes.size());
    for (const RequestClass &kind : deployment.classes) {
        shares.push_back(kind.share);
    }
    std::discrete_distribution<std::size_t> drawClass(shares.begin(), shares.end());
    const RequestClass &kind = deployment.classes[drawClass(random)];
    Arrival arrival;
    arrival.at = at;
    arrival.kind = &kind;
    arrival.prompt = drawSize(random, kind.promptMean, 16);
    arrival.output = drawSize(random, kind.outputMean, 4);
    arrival.node = static_cast<std::uint32_t>(random());
    return arrival;
}

std::vector<Arrival> drawArrivals(const ExperimentDeployment &deployment, Scenario scenario,
                                  double load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<Arrival> arrivals;
    const double rate = deployment.capacity() * load;
    double seconds = 0;
    for (;;) {
        const auto at =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        if (at > WarmUp + Measured) {
            break;
        }
        std::exponential_distribution<double> gap(rate * rateFactor(scenario, at));
        seconds += gap(random);
        arrivals.push_back(drawArrival(random, deployment, at));
    }
    if (scenario == Scenario::Backlog) {
        // What gathered overnight comes at once.
        const auto isLong = [](const RequestClass &kind) {
            return kind.isLong;
        };
        const auto &longs =
            *std::find_if(deployment.classes.begin(), deployment.classes.end(), isLong);
        for (std::size_t i = 0; i < BacklogSize; ++i) {
            Arrival arrival = drawArrival(random, deployment, WarmUp);
            arrival.kind = &longs;
            arrival.prompt = drawSize(random, longs.promptMean, 16);
            arrival.output = drawSize(random, longs.outputMean, 4);
            arrivals.push_back(arrival);
        }
        std::stable_sort(arrivals.begin(), arrivals.end(),
                         [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    }
    return arrivals;
}

std::string serverLine(const std::string &name, const std::string &pool, int host,
                       std::uint32_t slots)
{
    std::ostringstream line;
    line << "server " << name << " pool " << pool << " address 10.1.0." << host
         << ":8000 domain hall-a slots " << slots << '\n';
    return line.str();
}

std::string declarations(const ExperimentDeployment &deployment, LatePolicy late)
{
    Duration longest = 0s;
    for (const RequestClass &kind : deployment.classes) {
        longest = std::max(longest, kind.firstToken);
    }
    const auto milliseconds = [](Duration duration) {
        return std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(duration).count())
            + "ms";
    };
    std::string text = "model m first-token " + milliseconds(longest) + " between-tokens "
        + milliseconds(deployment.betweenTokens) + " patience 10min late "
        + (late == LatePolicy::Refuse ? "refuse" : "finish")
        + "\npool prefill role prefill target m\npool decode role decode target m\n";
    int host = 1;
    const auto add = [&](const std::string &prefix, const std::string &pool, int count) {
        for (int i = 0; i < count; ++i) {
            text += serverLine(prefix + std::to_string(i), pool, host++, deployment.engine.slots);
        }
    };
    add("p", "prefill", deployment.prefills);
    add("d", "decode", deployment.decodes);
    return text;
}

class Run
{
public:
    Run(const ExperimentDeployment &deployment, Scenario scenario, const Policy &policy,
        std::uint64_t seed)
        : m_deployment(deployment)
        , m_scenario(scenario)
        , m_world(settings(policy, scenario, seed))
    {
        for (int i = 0; i < deployment.prefills; ++i) {
            m_world.addEngine("p" + std::to_string(i), deployment.engine);
        }
        for (int i = 0; i < deployment.decodes; ++i) {
            m_world.addEngine("d" + std::to_string(i), deployment.engine);
        }
        m_world.preload(declarations(deployment, policy.late));
        m_world.startAll();
        m_world.run(8s);
        m_start = m_world.now();
    }

    RunResult play(const std::vector<Arrival> &arrivals)
    {
        planFaults();
        for (const Arrival &arrival : arrivals) {
            m_world.timeline().at(m_start + arrival.at, [this, arrival] { send(arrival); });
        }
        m_world.run(WarmUp + Measured + Drain);
        return result();
    }

private:
    struct Sent
    {
        Arrival arrival;
        std::size_t caller = 0;
    };

    static fakes::WorldSettings settings(const Policy &policy, Scenario scenario,
                                         std::uint64_t seed)
    {
        fakes::WorldSettings settings;
        settings.seed = seed;
        settings.nodes = policy.nodes;
        settings.mode = policy.mode;
        settings.policy = policy.local;
        settings.reportsToAll = policy.mode == PlacementMode::Local;
        if (scenario == Scenario::LostMessages) {
            settings.loseMessages = 0.01;
            settings.doubleMessages = 0.01;
        }
        if (policy.seesAll) {
            settings.nodeDelay = Duration(0);
            settings.reportLag = Duration(0);
        }
        return settings;
    }

    void send(const Arrival &arrival)
    {
        RequestSpec spec;
        spec.target = TargetName("m");
        spec.promptTokens = arrival.prompt;
        spec.maxOutputTokens = arrival.output;
        spec.firstToken = m_start + arrival.at + arrival.kind->firstToken - m_world.now();
        std::size_t node = arrival.node % m_world.nodeCount();
        while (!m_world.isUp(node)) {
            node = (node + 1) % m_world.nodeCount();
        }
        m_sent.push_back({arrival, m_world.submit(node, spec)});
    }

    /** Callers of a dead node send again elsewhere; their targets do not move. */
    void sendLostAgain()
    {
        for (Sent &sent : m_sent) {
            const fakes::CallerView &view = m_world.callers()[sent.caller];
            if (view.isLost && view.ends == 0 && m_resent.insert(sent.caller).second) {
                const Arrival arrival = sent.arrival;
                m_lost.push_back(&sent - m_sent.data());
                m_world.timeline().after(CallerReconnects, [this, arrival] { send(arrival); });
            }
        }
    }

    void planFaults()
    {
        fakes::Timeline &timeline = m_world.timeline();
        const auto between = [&](const std::function<void()> &begin,
                                 const std::function<void()> &end) {
            timeline.at(m_start + WarmUp + FaultFrom, begin);
            timeline.at(m_start + WarmUp + FaultTo, end);
        };
        switch (m_scenario) {
        case Scenario::Straggler:
            between(
                [this] {
                    m_world.engine("d0").setSlowness(StragglerFactor);
                    m_world.engine("p0").setSlowness(StragglerFactor);
                },
                [this] {
                    m_world.engine("d0").setSlowness(1);
                    m_world.engine("p0").setSlowness(1);
                });
            break;
        case Scenario::DecodeDeath:
            between([this] { m_world.engine("d0").kill(); },
                    [this] { m_world.engine("d0").restart(); });
            break;
        case Scenario::NodeDeath:
            if (m_world.nodeCount() > 1) {
                between(
                    [this] {
                        m_victim = schedulingNode();
                        m_world.killNode(m_victim);
                        sendLostAgain();
                    },
                    [this] { m_world.startNode(m_victim); });
            }
            break;
        case Scenario::NodeFreeze:
            if (m_world.nodeCount() > 1) {
                between(
                    [this] {
                        m_victim = schedulingNode();
                        m_world.freezeNode(m_victim);
                    },
                    [this] { m_world.thawNode(m_victim); });
            }
            break;
        case Scenario::StoreAway:
            between([this] { m_world.setStoreAway(true); },
                    [this] { m_world.setStoreAway(false); });
            break;
        default:
            break;
        }
    }

    std::size_t schedulingNode()
    {
        for (std::size_t i = 0; i < m_world.nodeCount(); ++i) {
            if (!m_world.node(i).scheduler().cells().empty()) {
                return i;
            }
        }
        return 0;
    }

    bool isOnTime(const Sent &sent) const
    {
        const fakes::CallerView &view = m_world.callers()[sent.caller];
        if (!view.isWhole || view.ends != 1) {
            return false;
        }
        const TimePoint due = m_start + sent.arrival.at + sent.arrival.kind->firstToken;
        const auto gaps = static_cast<std::int64_t>(std::max(1U, sent.arrival.output - 1));
        return view.firstToken <= due
            && (view.lastToken - view.firstToken) / gaps <= m_deployment.betweenTokens;
    }

    RunResult result()
    {
        RunResult result;
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> ofClass;
        std::uint64_t good = 0;
        std::uint64_t whole = 0;
        const std::set<std::ptrdiff_t> lost(m_lost.begin(), m_lost.end());
        for (const Sent &sent : m_sent) {
            const bool isInCohort = sent.arrival.at >= WarmUp;
            if (!isInCohort || lost.contains(&sent - m_sent.data())) {
                continue; // One that was lost counts where it was sent again.
            }
            const bool isGood = isOnTime(sent);
            ++result.requests;
            good += isGood ? 1 : 0;
            whole += m_world.callers()[sent.caller].isWhole ? 1 : 0;
            auto &[goodOfClass, ofThisClass] = ofClass[sent.arrival.kind->name];
            goodOfClass += isGood ? 1 : 0;
            ++ofThisClass;
        }
        const auto all = static_cast<double>(std::max<std::uint64_t>(1, result.requests));
        result.goodput = static_cast<double>(good) / all;
        result.finished = static_cast<double>(whole) / all;
        for (const auto &[name, counts] : ofClass) {
            result.goodputOf[name] = static_cast<double>(counts.first)
                / static_cast<double>(std::max<std::uint64_t>(1, counts.second));
        }
        std::uint64_t prefilled = 0;
        std::uint64_t wasted = 0;
        for (const std::string &name : m_world.engineNames()) {
            prefilled += m_world.engine(name).prefilledTokens();
            wasted += m_world.engine(name).wastedTokens();
        }
        result.wasted = static_cast<double>(wasted)
            / static_cast<double>(std::max<std::uint64_t>(1, prefilled));
        return result;
    }

    const ExperimentDeployment &m_deployment;
    Scenario m_scenario;
    fakes::World m_world;
    TimePoint m_start {};
    std::size_t m_victim = 0;
    std::vector<Sent> m_sent;
    std::set<std::size_t> m_resent;
    std::vector<std::ptrdiff_t> m_lost;
};

} // namespace

double ExperimentDeployment::capacity() const
{
    double prompt = 0;
    double output = 0;
    double shares = 0;
    for (const RequestClass &kind : classes) {
        prompt += kind.share * kind.promptMean;
        output += kind.share * kind.outputMean;
        shares += kind.share;
    }
    const double token = std::chrono::duration<double>(engine.tokenTime).count();
    const double prefill = prefills * engine.prefillSpeed / (prompt / shares);
    const double decode = decodes * engine.slots / (output / shares * token);
    return std::min(prefill, decode);
}

ExperimentDeployment listaViva()
{
    ExperimentDeployment deployment;
    deployment.name = "lista-viva";
    deployment.prefills = 3;
    deployment.decodes = 6;
    deployment.engine.prefillSpeed = 15'000;
    deployment.engine.tokenTime = 40ms;
    deployment.betweenTokens = 100ms;
    deployment.classes = {{"chapter", 0.3, 8000, 400, 5s, true}, {"note", 0.7, 300, 60, 2s, false}};
    return deployment;
}

ExperimentDeployment kopje()
{
    ExperimentDeployment deployment;
    deployment.name = "kopje";
    deployment.prefills = 8;
    deployment.decodes = 12;
    deployment.engine.prefillSpeed = 15'000;
    deployment.engine.tokenTime = 40ms;
    deployment.betweenTokens = 52ms;
    deployment.classes = {{"summary", 0.2, 6000, 300, 5s, true},
                          {"lookup", 0.8, 400, 40, 680ms, false}};
    return deployment;
}

const char *scenarioName(Scenario scenario)
{
    static const char *const Names[] = {"steady",        "burst",      "straggler",
                                        "decode-death",  "node-death", "node-freeze",
                                        "lost-messages", "store-away", "backlog"};
    return Names[static_cast<std::size_t>(scenario)];
}

RunResult runExperiment(const ExperimentDeployment &deployment, Scenario scenario, double load,
                        const Policy &policy, std::uint64_t seed)
{
    const std::vector<Arrival> arrivals = drawArrivals(deployment, scenario, load, seed);
    return Run(deployment, scenario, policy, seed).play(arrivals);
}

} // namespace indigoway::bench
