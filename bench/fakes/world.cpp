#include "world.h"

#include "configuration/configuration.h"

#include <algorithm>

namespace indigoway::fakes {

namespace {

constexpr Duration StoreTimeout = std::chrono::seconds(2);
/** As in the daemon: what still comes in meanwhile is refused. */
constexpr Duration ExitAfter = std::chrono::milliseconds(200);
constexpr Duration BroadcastInterval = std::chrono::milliseconds(500);

std::string addressOf(std::size_t index)
{
    return "10.0.0." + std::to_string(index + 1) + ":8081";
}

} // namespace

World::World(WorldSettings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_store(m_timeline)
    , m_slots(settings.nodes)
{ }

void World::addEngine(const std::string &name, FakeEngineSettings settings)
{
    m_engines[name] = std::make_unique<FakeEngine>(m_timeline, settings);
}

FakeEngine &World::engine(const std::string &name)
{
    return *m_engines.at(name);
}

std::vector<std::string> World::engineNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, engine] : m_engines) {
        names.push_back(name);
    }
    return names;
}

void World::preload(const std::string &declarations)
{
    StoreTransaction transaction;
    transaction.puts = {{storekeys::Text, "1\n" + declarations, 0}, {storekeys::Head, "1", 0}};
    m_store.call(transaction);
}

void World::startAll()
{
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        startNode(i);
    }
    if (m_settings.reportsToAll) {
        broadcastReports();
    }
}

void World::startNode(std::size_t index)
{
    if (m_slots.at(index).isUp) {
        killNode(index);
    }
    Slot &slot = m_slots.at(index);
    const std::uint64_t life = slot.life + 1;
    slot = {};
    slot.life = life;
    NodeSettings settings;
    settings.life = {NodeName("n" + std::to_string(index)), Incarnation(life)};
    settings.callerAddress = "10.0.0." + std::to_string(index + 1) + ":8080";
    settings.peerAddress = addressOf(index);
    settings.domain = DomainName("hall-" + std::string(1, static_cast<char>('a' + index % 3)));
    settings.mode = m_settings.mode;
    settings.policy = m_settings.policy;
    slot.node = std::make_unique<Node>(settings);
    slot.isUp = true;
    carryOut(index, slot.node->start(now(), m_random()));
    planWake(index);
}

void World::killNode(std::size_t index)
{
    Slot &slot = m_slots.at(index);
    slot.isUp = false;
    slot.isFrozen = false;
    ++slot.wakePlan;
    slot.inbox.clear();
    for (const auto &[number, request] : slot.requests) {
        if (m_callers[request].ends == 0) {
            m_callers[request].isLost = true;
        }
    }
    for (const auto &[call, stream] : slot.streams) {
        if (const auto it = m_engines.find(stream.first.text()); it != m_engines.end()) {
            it->second->detach(stream.second);
        }
    }
    slot.peerRequests.clear();
}

void World::freezeNode(std::size_t index)
{
    m_slots.at(index).isFrozen = m_slots.at(index).isUp;
}

void World::thawNode(std::size_t index)
{
    Slot &slot = m_slots.at(index);
    if (!slot.isFrozen) {
        return;
    }
    slot.isFrozen = false;
    const std::deque<Event> inbox = std::exchange(slot.inbox, {});
    for (const Event &event : inbox) {
        reduce(index, event);
    }
    reduce(index, Tick {});
}

void World::leaveNode(std::size_t index)
{
    post(index, m_slots.at(index).life, ShutdownRequested {});
}

bool World::isUp(std::size_t index) const
{
    return m_slots.at(index).isUp && !m_slots.at(index).isFrozen;
}

std::size_t World::submit(std::size_t node, const RequestSpec &spec)
{
    const std::size_t number = m_callers.size();
    CallerView view;
    view.node = node;
    view.spec = spec;
    view.sent = now();
    Slot &slot = m_slots.at(node);
    if (!slot.isUp) {
        view.isLost = true;
        m_callers.push_back(view);
        return number;
    }
    m_callers.push_back(view);
    const RequestNumber request(++m_lastNumber);
    slot.requests[request] = number;
    post(node, slot.life, RequestArrived {request, spec});
    return number;
}

void World::callerLeaves(std::size_t request)
{
    CallerView &view = m_callers.at(request);
    Slot &slot = m_slots.at(view.node);
    const auto it = std::find_if(slot.requests.begin(), slot.requests.end(),
                                 [&](const auto &entry) { return entry.second == request; });
    if (view.ends > 0 || view.isLost || view.isGone || it == slot.requests.end()) {
        return;
    }
    view.isGone = true;
    post(view.node, slot.life, CallerGone {it->first});
}

std::size_t World::command(std::size_t node, const std::string &text, const std::string &who)
{
    const CommandNumber number(++m_lastNumber);
    m_commands.emplace_back();
    m_slots.at(node).commands[number] = m_commands.size() - 1;
    CommandArrived command;
    command.command = number;
    command.text = text;
    command.who = who;
    command.when = "2026-12-02T00:00:00Z";
    const std::size_t view = m_commands.size() - 1;
    post(node, m_slots.at(node).life, command);
    return view;
}

std::size_t World::query(std::size_t node, const std::string &text)
{
    const CommandNumber number(++m_lastNumber);
    m_commands.emplace_back();
    m_slots.at(node).commands[number] = m_commands.size() - 1;
    const std::size_t view = m_commands.size() - 1;
    post(node, m_slots.at(node).life, QueryArrived {number, text});
    return view;
}

void World::heal()
{
    m_cuts.clear();
    m_cutFromStore.clear();
    m_isStoreAway = false;
}

std::uint64_t World::counter(Counter counter) const
{
    const auto it = m_counters.find(counter);
    return it == m_counters.end() ? 0 : it->second;
}

int World::runsOf(const std::string &key) const
{
    const auto it = m_runs.find(key);
    return it == m_runs.end() ? 0 : it->second;
}

TimePoint World::lastStart(const std::string &server) const
{
    const auto it = m_lastStart.find(server);
    return it == m_lastStart.end() ? TimePoint {} : it->second;
}

void World::post(std::size_t index, std::uint64_t life, const Event &event)
{
    Slot &slot = m_slots.at(index);
    if (!slot.isUp || slot.life != life) {
        return;
    }
    if (slot.isFrozen) {
        slot.inbox.push_back(event);
        return;
    }
    reduce(index, event);
}

void World::reduce(std::size_t index, const Event &event)
{
    Slot &slot = m_slots.at(index);
    carryOut(index, slot.node->reduce(now(), m_random(), event));
    if (!std::holds_alternative<TokensArrived>(event)) {
        planWake(index);
    }
}

void World::carryOut(std::size_t index, const Effects &effects)
{
    for (const Effect &effect : effects) {
        std::visit([&](const auto &one) { run(index, one); }, effect);
    }
}

void World::planWake(std::size_t index)
{
    Slot &slot = m_slots.at(index);
    const auto next = slot.node->nextDeadline();
    if (!next || !slot.isUp) {
        return;
    }
    const std::uint64_t plan = ++slot.wakePlan;
    m_timeline.at(std::max(*next, now() + Duration(1)), [this, index, plan, life = slot.life] {
        if (m_slots[index].wakePlan == plan) {
            post(index, life, Tick {});
        }
    });
}

void World::fromBackend(std::size_t index, std::uint64_t life, CallNumber call, const Event &event,
                        bool isLast)
{
    // Without jitter: what one connection carries stays in order.
    m_timeline.after(m_settings.backendDelay, [=, this] {
        Slot &slot = m_slots[index];
        if (slot.life != life || !slot.calls.contains(call)) {
            return;
        }
        if (isLast) {
            slot.calls.erase(call);
            slot.streams.erase(call);
        }
        post(index, life, event);
    });
}

void World::run(std::size_t index, const StartPrefill &effect)
{
    Slot &slot = m_slots[index];
    slot.calls.insert(effect.call);
    slot.streams[effect.call] = {effect.server, effect.name};
    noteStart(index, effect.request, effect.server);
    const CallerView *view = caller(index, effect.request);
    const std::uint32_t tokens = view ? view->spec.promptTokens + effect.answeredTokens : 1;
    m_timeline.after(jittered(m_settings.backendDelay), [=, this, life = slot.life] {
        m_engines.at(effect.server.text())
            ->prefill(effect.name, tokens, [=, this](CallOutcome outcome) {
                fromBackend(index, life, effect.call, PrefillFinished {effect.call, outcome}, true);
            });
    });
}

FakeEngine::Tokens World::onTokens(std::size_t index, std::uint64_t life, CallNumber call)
{
    return [=, this](const FakeTokens &tokens) {
        fromBackend(index, life, call, TokensArrived {call, tokens.offset, tokens.count}, false);
    };
}

FakeEngine::Done World::onDecoded(std::size_t index, std::uint64_t life, CallNumber call)
{
    return [=, this](CallOutcome outcome) {
        fromBackend(index, life, call, DecodeFinished {call, outcome}, true);
    };
}

void World::run(std::size_t index, const StartDecode &effect)
{
    Slot &slot = m_slots[index];
    slot.calls.insert(effect.call);
    slot.streams[effect.call] = {effect.server, effect.name};
    const CallerView *view = caller(index, effect.request);
    if (!view) {
        return;
    }
    m_lastStart[effect.server.text()] = now();
    const std::uint32_t wanted = std::max(1U, view->spec.maxOutputTokens - effect.answeredTokens);
    const std::uint32_t prompt = view->spec.promptTokens + effect.answeredTokens;
    const auto fetch = [this, name = effect.name] {
        return std::any_of(m_engines.begin(), m_engines.end(),
                           [&](const auto &entry) { return entry.second->takeResult(name); });
    };
    m_timeline.after(jittered(m_settings.backendDelay), [=, this, life = slot.life] {
        m_engines.at(effect.server.text())
            ->decode(effect.name, prompt, wanted, fetch, onTokens(index, life, effect.call),
                     onDecoded(index, life, effect.call));
    });
}

void World::run(std::size_t index, const ResumeDecode &effect)
{
    Slot &slot = m_slots[index];
    slot.calls.insert(effect.call);
    slot.streams[effect.call] = {effect.server, effect.name};
    m_timeline.after(jittered(m_settings.backendDelay), [=, this, life = slot.life] {
        m_engines.at(effect.server.text())
            ->resume(effect.name, effect.offset, onTokens(index, life, effect.call),
                     onDecoded(index, life, effect.call));
    });
}

void World::run(std::size_t index, const CallService &effect)
{
    Slot &slot = m_slots[index];
    slot.calls.insert(effect.call);
    noteStart(index, effect.request, effect.server);
    m_timeline.after(jittered(m_settings.backendDelay), [=, this, life = slot.life] {
        m_engines.at(effect.server.text())
            ->serve(effect.name, m_settings.serviceWork, [=, this](CallOutcome outcome) {
                fromBackend(index, life, effect.call, ServiceFinished {effect.call, outcome}, true);
            });
    });
}

void World::run(std::size_t index, const AbandonCall &effect)
{
    Slot &slot = m_slots[index];
    slot.calls.erase(effect.call);
    const auto it = slot.streams.find(effect.call);
    if (it != slot.streams.end()) {
        m_engines.at(it->second.first.text())->detach(it->second.second);
        slot.streams.erase(it);
    }
}

void World::run(std::size_t index, const CancelOnEngine &effect)
{
    const std::uint64_t life = m_slots[index].life;
    m_timeline.after(jittered(m_settings.backendDelay), [=, this] {
        FakeEngine &engine = *m_engines.at(effect.server.text());
        const bool isConfirmed = engine.isAlive() && !engine.isFrozen();
        if (isConfirmed) {
            engine.cancel(effect.request);
        }
        m_timeline.after(jittered(m_settings.backendDelay), [=, this] {
            post(index, life, CancelFinished {effect.server, effect.request, isConfirmed});
        });
    });
}

ReportArrived World::reportOf(const std::string &server)
{
    const FakeEngine &engine = *m_engines.at(server);
    ReportArrived report;
    report.server = ServerName(server);
    report.isOk = engine.isAlive() && !engine.isFrozen();
    report.running = engine.running();
    report.waiting = engine.waiting();
    return report;
}

void World::run(std::size_t index, const FetchReport &effect)
{
    // What is told is as old as the lag: a report is of the time of the request before it.
    const std::uint64_t life = m_slots[index].life;
    ReportArrived fresh = reportOf(effect.server.text());
    if (fresh.isOk && effect.withRequests) {
        fresh.requests = m_engines.at(effect.server.text())->held();
        fresh.version = m_versions[effect.server.text()];
    }
    m_timeline.after(m_settings.reportLag + m_settings.backendDelay * 2, [=, this] {
        ReportArrived report = fresh;
        report.isOk = fresh.isOk && reportOf(effect.server.text()).isOk;
        post(index, life, report);
    });
}

void World::run(std::size_t index, const IssueOrder &effect)
{
    const std::uint64_t life = m_slots[index].life;
    m_timeline.after(jittered(m_settings.backendDelay), [=, this] {
        const std::string &server = effect.server.text();
        std::vector<std::uint64_t> &taken = m_orders[server];
        const bool isOld = !taken.empty() && effect.fence < taken.back();
        const bool isReachable = reportOf(server).isOk;
        const bool isTaken = isReachable && (!isOld || m_ignoresFencing[server]);
        if (isTaken && isOld) {
            breach(server + ", which ignores fencing numbers, took an old order");
        }
        if (isTaken) {
            taken.push_back(effect.fence);
            m_versions[server] = effect.version;
        }
        m_timeline.after(m_settings.backendDelay, [=, this] {
            post(index, life, OrderFinished {effect.server, effect.fence, isTaken});
        });
    });
}

void World::broadcastReports()
{
    m_timeline.after(BroadcastInterval, [this] { broadcastReports(); });
    for (const auto &[name, engine] : m_engines) {
        const ReportArrived report = reportOf(name);
        m_timeline.after(m_settings.reportLag, [this, report] {
            for (std::size_t i = 0; i < m_slots.size(); ++i) {
                post(i, m_slots[i].life, report);
            }
        });
    }
}

void World::run(std::size_t index, const RelayTokens &effect)
{
    CallerView *view = caller(index, effect.request);
    if (!view) {
        return;
    }
    if (view->ends > 0) {
        breach("tokens after the end of a request");
    }
    if (view->tokens == 0) {
        view->firstToken = now();
    }
    view->lastToken = now();
    view->tokens += effect.count;
}

void World::run(std::size_t index, const FinishAnswer &effect)
{
    CallerView *view = caller(index, effect.request);
    if (!view) {
        return;
    }
    view->ended = now();
    view->isWhole = view->spec.isService || view->tokens == view->spec.maxOutputTokens;
    if (++view->ends > 1) {
        breach("a request ended twice");
    }
    if (!view->isWhole) {
        breach("an answer of " + std::to_string(view->tokens) + " tokens was given for one of "
               + std::to_string(view->spec.maxOutputTokens));
    }
}

void World::run(std::size_t index, const RefuseRequest &effect)
{
    CallerView *view = caller(index, effect.request);
    if (!view) {
        return;
    }
    view->ended = now();
    view->refusal = effect;
    if (++view->ends > 1) {
        breach("a request ended twice");
    }
    const auto number = static_cast<std::size_t>(view - m_callers.data());
    for (const std::string &server : m_startedOn[number]) {
        // A connection that could not be made started nothing.
        const bool mayHaveRun = m_engines.at(server)->isAlive();
        if (effect.execution == Execution::NotExecuted && mayHaveRun) {
            breach("a request refused as not executed was started on " + server);
        }
    }
}

void World::run(std::size_t index, const SendToPeer &effect)
{
    ++m_peerCalls;
    Slot &slot = m_slots[index];
    const std::uint64_t life = slot.life;
    const std::size_t to = findNode(effect.to, effect.address);
    auto isAnswered = std::make_shared<bool>(false);
    const auto answer = [this, index, life, call = effect.call, isAnswered](PeerOutcome outcome) {
        if (!std::exchange(*isAnswered, true)) {
            post(index, life, PeerAnswered {call, std::move(outcome)});
        }
    };
    m_timeline.after(effect.timeout, [answer] { answer(PeerFailed {"timeout", true}); });
    if (happens(m_settings.loseMessages)) {
        return;
    }
    const int copies = happens(m_settings.doubleMessages) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        m_timeline.after(jittered(m_settings.nodeDelay), [=, this] {
            const bool isCut = to < m_slots.size() && m_cuts.contains(std::minmax(index, to));
            if (to >= m_slots.size() || !m_slots[to].isUp || isCut) {
                if (!isCut) {
                    m_timeline.after(m_settings.nodeDelay,
                                     [answer] { answer(PeerFailed {"refused"}); });
                }
                return;
            }
            deliver(to, effect.request, [=, this](const PeerReply &reply) {
                m_timeline.after(jittered(m_settings.nodeDelay), [=, this] {
                    if (!m_cuts.contains(std::minmax(index, to))) {
                        answer(PeerOutcome {reply});
                    }
                });
            });
        });
    }
}

void World::deliver(std::size_t to, PeerRequest request,
                    std::function<void(const PeerReply &)> reply)
{
    Slot &slot = m_slots[to];
    const PeerRequestNumber number(++m_lastNumber);
    slot.peerRequests[number] = std::move(reply);
    post(to, slot.life, PeerRequestArrived {number, std::move(request)});
}

void World::run(std::size_t index, const ReplyToPeer &effect)
{
    Slot &slot = m_slots[index];
    const auto it = slot.peerRequests.find(effect.number);
    if (it == slot.peerRequests.end()) {
        return;
    }
    const auto reply = std::move(it->second);
    slot.peerRequests.erase(it);
    reply(effect.reply);
}

void World::run(std::size_t index, const CallStore &effect)
{
    const std::uint64_t life = m_slots[index].life;
    const bool isWrite = std::holds_alternative<StoreTransaction>(effect.request);
    m_timeline.after(jittered(m_settings.storeDelay), [=, this] {
        const auto fail = [=, this] {
            m_timeline.after(StoreTimeout, [=, this] {
                post(index, life, StoreAnswered {effect.call, StoreFailed {"away"}});
            });
        };
        if (m_isStoreAway || m_cutFromStore.contains(index)) {
            fail();
            return;
        }
        const std::optional<StoreResult> result = m_store.call(effect.request);
        if (!result) {
            post(index, life, StoreAnswered {effect.call, StoreFailed {"refused"}});
            return;
        }
        if (isWrite && m_dropStoreAnswers > 0) {
            --m_dropStoreAnswers;
            fail();
            return;
        }
        m_timeline.after(jittered(m_settings.storeDelay), [=, this] {
            post(index, life, StoreAnswered {effect.call, *result});
        });
    });
}

void World::run(std::size_t index, const AnswerCommand &effect)
{
    const auto it = m_slots[index].commands.find(effect.command);
    if (it != m_slots[index].commands.end()) {
        if (m_commands[it->second].outcome) {
            breach("a command was answered twice");
        }
        m_commands[it->second].outcome = effect.outcome;
    }
}

void World::run(std::size_t index, const AnswerQuery &effect)
{
    const auto it = m_slots[index].commands.find(effect.command);
    if (it != m_slots[index].commands.end()) {
        m_commands[it->second].answer = effect;
    }
}

void World::run(std::size_t /*index*/, const CountUp &effect)
{
    m_counters[effect.counter] += effect.by;
}

void World::run(std::size_t /*index*/, const Observe & /*effect*/) { }

void World::run(std::size_t /*index*/, const LogChange & /*effect*/) { }

void World::run(std::size_t index, const ShutdownFinished &effect)
{
    m_timeline.after(ExitAfter, [this, index, effect, life = m_slots[index].life] {
        Slot &slot = m_slots[index];
        if (!slot.isUp || slot.life != life) {
            return;
        }
        if (slot.isFrozen) {
            run(index, effect); // It exits when it wakes, after what waits for it.
            return;
        }
        slot.hasLeft = true;
        for (const auto &[number, request] : slot.requests) {
            if (m_callers[request].ends == 0 && !m_callers[request].isGone) {
                breach("a node left with a request in flight");
            }
        }
        killNode(index);
    });
}

CallerView *World::caller(std::size_t index, RequestNumber request)
{
    const auto it = m_slots[index].requests.find(request);
    return it == m_slots[index].requests.end() ? nullptr : &m_callers[it->second];
}

void World::noteStart(std::size_t index, RequestNumber request, const ServerName &server)
{
    m_lastStart[server.text()] = now();
    const auto it = m_slots[index].requests.find(request);
    if (it == m_slots[index].requests.end()) {
        return;
    }
    const CallerView &view = m_callers[it->second];
    const FakeEngine &engine = *m_engines.at(server.text());
    if (engine.isAlive()) {
        m_startedOn[it->second].insert(server.text());
    }
    const bool mustNotRepeat = !view.spec.repeatable.value_or(true);
    if (mustNotRepeat && engine.isAlive() && ++m_runs[view.spec.idempotencyKey] > 1) {
        breach("a request not to be repeated was started twice: " + view.spec.idempotencyKey);
    }
}

std::size_t World::findNode(const NodeName &name, const std::string &address) const
{
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        if ("n" + std::to_string(i) == name.text() || (name.isEmpty() && addressOf(i) == address)) {
            return i;
        }
    }
    return m_slots.size();
}

void World::breach(const std::string &what)
{
    m_breaches.push_back(what);
}

Duration World::jittered(Duration delay)
{
    if (delay <= Duration::zero()) {
        return delay;
    }
    std::uniform_int_distribution<std::int64_t> draw(delay.count() * 8 / 10,
                                                     delay.count() * 12 / 10);
    return Duration(draw(m_random));
}

bool World::happens(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

} // namespace indigoway::fakes
