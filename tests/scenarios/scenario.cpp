#include "scenario.h"

#include "configuration/configuration.h"
#include "fakes/deployments.h"
#include "fakes/world.h"

#include <tao/pegtl.hpp>

#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <vector>

namespace indigoway::tests {

namespace pegtl = tao::pegtl;
using namespace std::chrono_literals;

namespace grammar {

using namespace pegtl;

struct Word : plus<sor<alnum, one<'-', '_', '.', '/', ':', '=', '>', '<'>>>
{
};
struct Quoted : seq<one<'"'>, star<not_one<'"', '\n'>>, one<'"'>>
{
};
struct Comment : seq<one<'#'>, until<at<eolf>>>
{
};
struct Token : sor<Quoted, Word>
{
};
struct Line : seq<star<blank>, star<Token, star<blank>>, opt<Comment>>
{
};
struct File : until<eof, seq<Line, must<eolf>>>
{
};

} // namespace grammar

namespace {

struct Step
{
    std::size_t line = 0;
    std::vector<std::string> words;
};

struct Parsed
{
    std::vector<Step> steps;
    Step current;
};

template <typename Rule>
struct Action : pegtl::nothing<Rule>
{
};

template <>
struct Action<grammar::Token>
{
    template <typename Input>
    static void apply(const Input &in, Parsed &parsed)
    {
        std::string word = in.string();
        if (word.front() == '"') {
            word = word.substr(1, word.size() - 2);
        }
        parsed.current.line = in.position().line;
        parsed.current.words.push_back(std::move(word));
    }
};

template <>
struct Action<grammar::Line>
{
    template <typename Input>
    static void apply(const Input & /*in*/, Parsed &parsed)
    {
        if (!parsed.current.words.empty()) {
            parsed.steps.push_back(std::move(parsed.current));
        }
        parsed.current = {};
    }
};

class Failure : public std::runtime_error
{
    using runtime_error::runtime_error;
};

Duration durationOf(const std::string &text)
{
    std::size_t used = 0;
    const long amount = std::stol(text, &used);
    const std::string unit = text.substr(used);
    if (unit == "ms") {
        return std::chrono::milliseconds(amount);
    }
    if (unit == "s") {
        return std::chrono::seconds(amount);
    }
    if (unit == "min") {
        return std::chrono::minutes(amount);
    }
    throw Failure("invalid duration: " + text);
}

class ScenarioRunner
{
public:
    void play(const Step &step)
    {
        const std::vector<std::string> &words = step.words;
        static const std::map<std::string,
                              void (ScenarioRunner::*)(const std::vector<std::string> &)>
            Steps {
                {"nodes", &ScenarioRunner::setNodes},
                {"model", &ScenarioRunner::setModel},
                {"slots", &ScenarioRunner::setSlots},
                {"send", &ScenarioRunner::send},
                {"wait", &ScenarioRunner::wait},
                {"expect", &ScenarioRunner::expect},
                {"kill", &ScenarioRunner::kill},
                {"restart", &ScenarioRunner::restart},
                {"start", &ScenarioRunner::start},
                {"leave", &ScenarioRunner::leave},
                {"freeze", &ScenarioRunner::freeze},
                {"thaw", &ScenarioRunner::thaw},
                {"break", &ScenarioRunner::breakStreams},
                {"stall", &ScenarioRunner::stall},
                {"unstall", &ScenarioRunner::unstall},
                {"slow", &ScenarioRunner::slow},
                {"store", &ScenarioRunner::store},
                {"cut", &ScenarioRunner::cut},
                {"heal", &ScenarioRunner::heal},
                {"caller", &ScenarioRunner::caller},
                {"command", &ScenarioRunner::command},
                {"ignores-fencing", &ScenarioRunner::ignoresFencing},
                {"version", &ScenarioRunner::setVersion},
            };
        const auto it = Steps.find(words.front());
        if (it == Steps.end()) {
            throw Failure("unknown step: " + words.front());
        }
        const bool isSetting =
            words.front() == "nodes" || words.front() == "model" || words.front() == "slots";
        if (!isSetting) {
            startWorld();
        }
        (this->*it->second)(words);
        if (m_world && !m_world->breaches().empty()) {
            throw Failure("invariant violated: " + m_world->breaches().front());
        }
    }

    /** Ends all faults, then checks that every request has ended and no engine holds any. */
    void finish()
    {
        startWorld();
        m_world->heal();
        for (const std::string &name : m_world->engineNames()) {
            m_world->engine(name).setStallsTransfers(false);
            m_world->engine(name).thaw();
        }
        for (std::size_t i = 0; i < m_world->nodeCount(); ++i) {
            m_world->thawNode(i);
        }
        m_world->run(3min);
        for (const std::string &name : m_world->engineNames()) {
            if (!m_world->engine(name).held().empty()) {
                throw Failure("at the end " + name + " still holds "
                              + m_world->engine(name).held().front().text());
            }
        }
        for (const auto &[name, number] : m_requests) {
            const fakes::CallerView &view = m_world->callers()[number];
            if (view.ends != 1 && !view.isLost && !view.isGone) {
                throw Failure("at the end request " + name + " has no answer");
            }
        }
        if (!m_world->breaches().empty()) {
            throw Failure("invariant violated: " + m_world->breaches().front());
        }
    }

private:
    using Words = std::vector<std::string>;

    void startWorld()
    {
        if (m_world) {
            return;
        }
        fakes::WorldSettings settings;
        settings.nodes = m_nodes;
        m_world.emplace(settings);
        addSmallDeployment(*m_world, m_deployment);
        m_world->startAll();
        m_world->run(8s);
    }

    const std::string &at(const Words &words, std::size_t index) const
    {
        if (index >= words.size()) {
            throw Failure("the step has too few arguments");
        }
        return words[index];
    }

    bool schedulesModel(std::size_t node)
    {
        const auto cells = m_world->node(node).scheduler().cells();
        return std::any_of(cells.begin(), cells.end(),
                           [](const Cell &cell) { return cell.target.text() == "m"; });
    }

    std::size_t nodeOf(const std::string &name)
    {
        if (name == "scheduler") {
            for (std::size_t i = 0; i < m_world->nodeCount(); ++i) {
                if (m_world->isUp(i) && schedulesModel(i)) {
                    return i;
                }
            }
            throw Failure("no node schedules the model");
        }
        if (name == "former") {
            return m_lastAffectedNode;
        }
        if (name == "other") {
            for (std::size_t i = 0; i < m_world->nodeCount(); ++i) {
                if (m_world->isUp(i) && !schedulesModel(i)) {
                    return i;
                }
            }
            throw Failure("every node schedules the model");
        }
        return std::stoul(name.substr(1));
    }

    fakes::CallerView view(const std::string &name) const
    {
        const auto it = m_requests.find(name);
        if (it == m_requests.end()) {
            throw Failure("unknown request: " + name);
        }
        return m_world->callers()[it->second];
    }

    void setNodes(const Words &words) { m_nodes = std::stoul(at(words, 1)); }
    void setSlots(const Words &words)
    {
        m_deployment.slots = static_cast<std::uint32_t>(std::stoul(at(words, 1)));
        m_deployment.engine.slots = m_deployment.slots;
    }
    void setModel(const Words &words) { m_deployment.modelAttributes = at(words, 1); }

    // send model|service|once[=KEY] NAME to NODE [prompt N] [output N]
    void send(const Words &words)
    {
        RequestSpec spec = fakes::modelRequest(500, 20);
        const std::string &kind = at(words, 1);
        if (kind == "service") {
            spec = fakes::serviceRequest();
        } else if (kind.starts_with("once=")) {
            spec = fakes::onceRequest(kind.substr(5), 500, 20);
        }
        for (std::size_t i = 5; i + 1 < words.size(); i += 2) {
            const auto number = static_cast<std::uint32_t>(std::stoul(words[i + 1]));
            (words[i] == "prompt" ? spec.promptTokens : spec.maxOutputTokens) = number;
        }
        m_requests[at(words, 2)] = m_world->submit(nodeOf(at(words, 4)), spec);
        m_world->run(0ms);
    }

    // wait DURATION | wait until CONDITION... within DURATION
    void wait(const Words &words)
    {
        if (at(words, 1) != "until") {
            m_world->run(durationOf(words[1]));
            return;
        }
        const Words condition(words.begin() + 2, words.end() - 2);
        const TimePoint end = m_world->now() + durationOf(words.back());
        while (!holds(condition)) {
            if (m_world->now() >= end) {
                throw Failure("condition not met in time: " + describe(condition));
            }
            m_world->run(1ms);
        }
    }

    void expect(const Words &words)
    {
        const Words condition(words.begin() + 1, words.end());
        if (!holds(condition)) {
            throw Failure("condition not met: " + describe(condition));
        }
    }

    std::string describe(const Words &condition) const
    {
        std::string text;
        for (const std::string &word : condition) {
            text += (text.empty() ? "" : " ") + word;
        }
        const auto it = m_requests.find(condition.front());
        if (it != m_requests.end()) {
            const fakes::CallerView &view = m_world->callers()[it->second];
            text += " (ends " + std::to_string(view.ends) + ", tokens "
                + std::to_string(view.tokens)
                + (view.refusal ? ", refused with reason "
                           + std::to_string(static_cast<int>(view.refusal->reason)) + " execution "
                           + std::to_string(static_cast<int>(view.refusal->execution))
                                : "")
                + ")";
        }
        return text;
    }

    std::string stageOf(const std::string &name) const
    {
        const std::size_t number = m_requests.at(name);
        const std::size_t node = m_world->callers()[number].node;
        for (const RequestView &one :
             const_cast<fakes::World &>(*m_world).node(node).requests().views(m_world->now())) {
            const bool isSameRequest = one.tokens == m_world->callers()[number].tokens;
            if (isSameRequest) {
                return stageName(one.stage);
            }
        }
        return "";
    }

    bool holds(const Words &words)
    {
        const std::string &subject = at(words, 0);
        if (subject == "engines") {
            return enginesAre(at(words, 1));
        }
        if (subject == "idle") {
            return m_world->engine(at(words, 1)).held().empty();
        }
        if (subject == "runs") {
            return m_world->runsOf(at(words, 1)) == std::stoi(at(words, 2));
        }
        if (subject == "revision") {
            return allHaveRevision(std::stoul(at(words, 1)));
        }
        if (subject == "quiet") {
            return m_world->now() - m_world->lastStart(at(words, 1)) >= durationOf(at(words, 2));
        }
        if (subject == "version") {
            return m_world->version(at(words, 1)) == at(words, 2);
        }
        if (subject == "orders") {
            return m_world->ordersOf(at(words, 1)).size() == std::stoul(at(words, 2));
        }
        if (subject == "left") {
            return m_world->hasLeft(nodeOf(at(words, 1)));
        }
        if (subject == "named") {
            return isNamed(nodeOf(at(words, 2)), at(words, 1));
        }
        if (subject == "not") {
            return !holds(Words(words.begin() + 1, words.end()));
        }
        if (m_commands.contains(subject)) {
            return commandIs(subject, at(words, 1));
        }
        return requestIs(words);
    }

    bool requestIs(const Words &words)
    {
        const fakes::CallerView request = view(words.front());
        const std::string &state = at(words, 1);
        if (state == "whole") {
            return request.ends == 1 && request.isWhole;
        }
        if (state == "streaming") {
            return request.tokens > 0 && request.ends == 0;
        }
        if (state == "open") {
            return request.ends == 0;
        }
        if (state == "lost") {
            return request.isLost;
        }
        if (state == "decoding" || state == "prefilling" || state == "queued") {
            return request.ends == 0 && stageOf(words.front()) == state;
        }
        if (!request.refusal) {
            return false;
        }
        static const std::map<std::string, Execution> Executions {
            {"not-executed", Execution::NotExecuted},
            {"in-doubt", Execution::InDoubt},
            {"done", Execution::Done},
        };
        const auto execution = Executions.find(state);
        if (execution != Executions.end()) {
            return request.refusal->execution == execution->second;
        }
        static const std::map<std::string, RefusalReason> Reasons {
            {"overload", RefusalReason::Overload},
            {"store-unavailable", RefusalReason::StoreUnavailable},
            {"leaving", RefusalReason::Leaving},
            {"unknown-configuration", RefusalReason::ConfigurationUnknown},
            {"backend-failed", RefusalReason::BackendFailed},
        };
        const auto reason = Reasons.find(state);
        if (reason == Reasons.end()) {
            throw Failure("unknown request state: " + state);
        }
        return request.refusal->reason == reason->second;
    }

    bool enginesAre(const std::string &state)
    {
        if (state != "clean") {
            throw Failure("engines: the only supported state is clean");
        }
        const std::vector<std::string> names = m_world->engineNames();
        return std::all_of(names.begin(), names.end(), [this](const std::string &name) {
            return m_world->engine(name).held().empty();
        });
    }

    bool allHaveRevision(std::uint64_t revision)
    {
        for (std::size_t i = 0; i < m_world->nodeCount(); ++i) {
            if (m_world->isUp(i)
                && m_world->node(i).configuration().revision() != Revision(revision)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether @p node lists the node @p name to callers. */
    bool isNamed(std::size_t node, const std::string &name)
    {
        const auto addresses = m_world->node(node).callerAddresses(DomainName("hall-a"), 1);
        const std::string wanted = "n" + std::to_string(nodeOf(name));
        return std::any_of(addresses.begin(), addresses.end(),
                           [&](const CallerAddress &one) { return one.node.text() == wanted; });
    }

    bool commandIs(const std::string &name, const std::string &state) const
    {
        static const std::map<std::string, CommandOutcome::Kind> Kinds {
            {"accepted", CommandOutcome::Kind::Accepted},
            {"lost-race", CommandOutcome::Kind::LostRace},
            {"unavailable", CommandOutcome::Kind::Unavailable},
            {"unsettled", CommandOutcome::Kind::InDoubt},
            {"refused", CommandOutcome::Kind::SyntaxError},
        };
        const auto &outcome = m_world->commandView(m_commands.at(name)).outcome;
        return outcome && outcome->kind == Kinds.at(state);
    }

    void kill(const Words &words)
    {
        if (at(words, 1) == "node") {
            m_lastAffectedNode = nodeOf(at(words, 2));
            m_world->killNode(m_lastAffectedNode);
        } else {
            m_world->engine(at(words, 2)).kill();
        }
    }
    void restart(const Words &words) { m_world->engine(at(words, 2)).restart(); }
    void start(const Words &words) { m_world->startNode(nodeOf(at(words, 2))); }
    void leave(const Words &words)
    {
        m_lastAffectedNode = nodeOf(at(words, 2));
        m_world->leaveNode(m_lastAffectedNode);
    }
    void freeze(const Words &words)
    {
        if (at(words, 1) == "node") {
            m_lastAffectedNode = nodeOf(at(words, 2));
            m_world->freezeNode(m_lastAffectedNode);
        } else {
            m_world->engine(at(words, 2)).freeze();
        }
    }
    void thaw(const Words &words)
    {
        if (at(words, 1) == "node") {
            m_world->thawNode(nodeOf(at(words, 2)));
        } else {
            m_world->engine(at(words, 2)).thaw();
        }
    }
    void breakStreams(const Words &words) { m_world->engine(at(words, 2)).breakStreams(); }
    void stall(const Words &words) { m_world->engine(at(words, 2)).setStallsTransfers(true); }
    void unstall(const Words &words) { m_world->engine(at(words, 2)).setStallsTransfers(false); }
    void slow(const Words &words)
    {
        m_world->engine(at(words, 2)).setSlowness(std::stod(at(words, 3)));
    }
    void store(const Words &words)
    {
        if (at(words, 1) == "drops") {
            m_world->dropStoreAnswers(std::stoi(at(words, 2)));
        } else {
            m_world->setStoreAway(words[1] == "away");
        }
    }
    void cut(const Words &words)
    {
        const std::size_t node = nodeOf(at(words, 1));
        if (at(words, 2) == "store") {
            m_world->cutFromStore(node);
        } else if (words[2] == "peers") {
            for (std::size_t i = 0; i < m_world->nodeCount(); ++i) {
                if (i != node) {
                    m_world->cut(node, i);
                }
            }
        } else {
            m_world->cut(node, nodeOf(words[2]));
        }
        m_lastAffectedNode = node;
    }
    void heal(const Words & /*words*/) { m_world->heal(); }
    void caller(const Words &words) { m_world->callerLeaves(m_requests.at(at(words, 1))); }
    // command NAME on NODE TEXT
    void command(const Words &words)
    {
        m_commands[at(words, 1)] = m_world->command(nodeOf(at(words, 3)), at(words, 4));
    }
    void ignoresFencing(const Words &words) { m_world->setChecksFencing(at(words, 1), false); }
    void setVersion(const Words &words) { m_world->setVersion(at(words, 1), at(words, 2)); }

    std::size_t m_nodes = 4;
    std::size_t m_lastAffectedNode = 0;
    fakes::SmallDeployment m_deployment;
    std::optional<fakes::World> m_world;
    std::map<std::string, std::size_t> m_requests;
    std::map<std::string, std::size_t> m_commands;
};

} // namespace

std::string playScenario(const std::string &text)
{
    Parsed parsed;
    pegtl::memory_input in(text, "scenario");
    try {
        pegtl::parse<grammar::File, Action>(in, parsed);
    } catch (const pegtl::parse_error &error) {
        return error.what();
    }
    ScenarioRunner runner;
    std::size_t line = 0;
    try {
        for (const Step &step : parsed.steps) {
            line = step.line;
            runner.play(step);
        }
        runner.finish();
    } catch (const std::exception &failure) {
        return "line " + std::to_string(line) + ": " + failure.what();
    }
    return parsed.steps.empty() ? "the scenario is empty" : "";
}

} // namespace indigoway::tests
