#pragma once

#include "dispatch/dispatcherharness.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace indigoway::dispatch {

/** How a simulated fleet is loaded, and what its engines crash on. */
struct PartCrashLoad
{
    std::size_t nodes = 7;
    std::size_t engines = 18;
    int seconds = 60;
    double soundPerSecond = 18;
    double crashingPerSecond = 1.25;
    int crashingFrom = 9'000; ///< In milliseconds.
    int crashingUntil = 60'000;
    /** Parts that crash engines; a crashing request has one of them behind its first part. */
    std::vector<std::string> crashingParts = {"dead"};
    /** Whether the first part of crashing requests, which sound requests share, is their only one.
     */
    bool isFirstPartCrashing = false;
    int newsDelay = 20;  ///< Until the other nodes have what one has shared.
    double newsLoss = 0; ///< Share of the messages that are lost.
    int storeDelay = 0;  ///< Until all nodes have what was stored; 0 if the store is away.
    double randomCrashesPerSecond = 0; ///< Of engines that end by themselves.
    int powerLossAt = 0;               ///< A third of the engines end at once; 0 for never.
    int soundUntil = 0;                ///< Until then, crashing parts are sound; 0 for never.
    std::uint64_t seed = 1;
};

struct PartCrashResult
{
    int crashes = 0;
    int fifthCrashAt = 0; ///< In milliseconds; 0 if there were fewer.
    int countedSends = 0; ///< Sends of crashing requests later than 3 s after the fifth crash.
    int soundBefore =
        0; ///< Sound requests before the first crash, and later than 6 s after the fifth.
    int begunBefore = 0;
    int soundAfter = 0;
    int begunAfter = 0;
    std::vector<std::string> refusedParts; ///< At any node at the end.
    std::size_t mostNotes = 0;             ///< Most records at a node.
    int notesStored = 0;
    int messagesStored = 0; ///< Each of them is one write to the store at the most.
};

/**
 * Simulates nodes before engines that crash when they begin to write an answer on a part of a
 * prompt. Sound requests share the first part, and some of them a second one, with each other.
 */
class PartCrashFleet
{
public:
    explicit PartCrashFleet(const PartCrashLoad &load)
        : m_load(load)
        , m_random(load.seed)
        , m_engines(load.engines)
    {
        for (std::size_t i = 0; i < load.nodes; ++i) {
            m_nodes.push_back(std::make_unique<DispatcherHarness>());
            m_nodes.back()->dispatcher().setNodes(static_cast<std::uint32_t>(load.nodes),
                                                  DispatcherHarness::at(-1'000));
            m_nodes.back()->useRoutes();
            for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
                announce(*m_nodes.back(), engine);
            }
        }
    }

    PartCrashResult run()
    {
        plan(0, [this] { soundArrives(); });
        if (m_load.crashingPerSecond > 0) {
            plan(m_load.soundUntil > 0 ? 0 : m_load.crashingFrom, [this] { crashingArrives(); });
        }
        if (m_load.randomCrashesPerSecond > 0) {
            plan(1'000, [this] { randomCrash(); });
        }
        if (m_load.powerLossAt > 0) {
            plan(m_load.powerLossAt, [this] { losePower(); });
        }
        plan(0, [this] { tick(); });
        while (!m_events.empty() && m_events.top().at <= m_load.seconds * 1'000) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        for (const auto &node : m_nodes) {
            const auto &records = node->dispatcher().crashingParts().records();
            m_result.mostNotes = std::max(m_result.mostNotes, records.size());
            for (const PartCrashNote &note : records.refusedParts(DispatcherHarness::at(m_now))) {
                const std::string part = textOf(note.part);
                if (std::ranges::find(m_result.refusedParts, part) == m_result.refusedParts.end()) {
                    m_result.refusedParts.push_back(part);
                }
            }
        }
        return m_result;
    }

private:
    struct Event
    {
        int at = 0;
        int order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct Engine
    {
        bool isUp = true;
        int life = 1;
        std::vector<std::pair<std::size_t, StartCall>> calls; ///< Node and open decode call.
    };
    struct Request
    {
        bool isCrashing = false;
        int arrivedAt = 0;
        bool hasBegun = false;
    };
    using RequestKey = std::pair<std::size_t, RequestNumber>;

    static constexpr int PrefillTime = 200;
    static constexpr int BeginTime = 20;
    static constexpr int CrashTime = 60;
    static constexpr int StreamTime = 1'000;
    static constexpr int ContactTime = 3'000;

    static bool isPrefill(std::size_t engine) { return engine % 4 == 3; }
    std::string nameOf(std::size_t engine) const
    {
        return "e" + std::to_string(engine) + "." + std::to_string(m_engines[engine].life);
    }
    void announce(DispatcherHarness &node, std::size_t engine) const
    {
        node.addServer(nameOf(engine),
                       isPrefill(engine) ? EnginePhase::Prefill : EnginePhase::Decode);
    }
    std::size_t engineOf(const StartCall &call) const
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_engines[i].isUp && nameOf(i) == call.server.text()) {
                return i;
            }
        }
        return m_engines.size();
    }
    void plan(int at, std::function<void()> action)
    {
        m_events.push({at, ++m_lastOrder, std::move(action)});
    }
    int interval(double perSecond)
    {
        return 1
            + static_cast<int>(std::exponential_distribution<double>(perSecond / 1'000)(m_random));
    }
    std::size_t below(std::size_t bound) { return m_random() % bound; }

    void soundArrives()
    {
        plan(m_now + interval(m_load.soundPerSecond), [this] { soundArrives(); });
        const std::string first = m_load.isFirstPartCrashing ? "5f" : firstPart();
        // Some sessions come often, most once.
        const std::string second = below(3) == 0 ? "5" + std::to_string(below(5))
                                                 : "6" + std::to_string(m_random() % 100'000);
        arrive({first, second}, false);
    }
    void crashingArrives()
    {
        const bool isSoundYet = m_now < m_load.soundUntil;
        if (m_now < m_load.crashingUntil) {
            plan(m_now + interval(m_load.crashingPerSecond), [this] { crashingArrives(); });
        }
        const std::string &part = m_load.crashingParts[below(m_load.crashingParts.size())];
        const std::string session = "5" + std::to_string(below(5));
        std::vector<std::string> parts {firstPart(), part, session};
        if (m_load.isFirstPartCrashing) {
            parts = {part, session};
        } else if (below(2) == 0) {
            parts = {firstPart(), session, part};
        }
        arrive(parts, !isSoundYet);
    }
    static std::string firstPart() { return "f1"; }

    void arrive(const std::vector<std::string> &parts, bool isCrashing)
    {
        const std::size_t node = below(m_nodes.size());
        m_nodes[node]->setSharedParts(parts);
        const std::uint32_t tokens = 1'000 + static_cast<std::uint32_t>(below(5'000));
        const RequestNumber number = m_nodes[node]->arrive(m_now, "stream", tokens);
        const Request request {isCrashing, m_now, false};
        m_requests.emplace(RequestKey {node, number}, request);
        countSound(request, false);
        drain(node);
    }
    void countSound(const Request &request, bool hasBegun)
    {
        if (request.isCrashing) {
            return;
        }
        if (request.arrivedAt < m_load.crashingFrom) {
            (hasBegun ? m_result.begunBefore : m_result.soundBefore) += 1;
        } else if (m_result.fifthCrashAt > 0
                   && request.arrivedAt > m_result.fifthCrashAt + 2 * ContactTime) {
            (hasBegun ? m_result.begunAfter : m_result.soundAfter) += 1;
        }
    }

    void drain(std::size_t node)
    {
        DispatcherHarness &harness = *m_nodes[node];
        while (harness.hasServerProbes()) {
            const StartCall probe = harness.nextServerProbe();
            plan(m_now + 2, [this, node, probe] {
                const bool isUp = engineOf(probe) < m_engines.size();
                m_nodes[node]->end(m_now, probe, isUp ? CallEnd::Complete : CallEnd::NotConnected);
                drain(node);
            });
        }
        while (harness.hasCalls()) {
            start(node, harness.nextCall());
        }
        share(node);
    }

    void start(std::size_t node, const StartCall &call)
    {
        const auto it = m_requests.find({node, call.request});
        const bool isCrashing = it != m_requests.end() && it->second.isCrashing;
        const bool isSend = carriesRequest(call.kind);
        if (isCrashing && isSend && m_result.fifthCrashAt > 0
            && m_now > m_result.fifthCrashAt + ContactTime) {
            ++m_result.countedSends;
        }
        if (engineOf(call) >= m_engines.size()) {
            plan(m_now + 1, [this, node, call] { finish(node, call, CallEnd::NotConnected); });
        } else if (call.kind == CallKind::Decode || call.kind == CallKind::Whole) {
            m_engines[engineOf(call)].calls.emplace_back(node, call);
            const int began = call.kind == CallKind::Whole ? PrefillTime : BeginTime;
            plan(m_now + began, [this, node, call, isCrashing] { begin(node, call, isCrashing); });
        } else {
            const int time = call.kind == CallKind::Prefill ? PrefillTime : 1;
            plan(m_now + time, [this, node, call] { finish(node, call, CallEnd::Complete); });
        }
    }

    void finish(std::size_t node, const StartCall &call, CallEnd end)
    {
        if (end == CallEnd::Complete
            && (call.kind == CallKind::Reserve || call.kind == CallKind::Prefill)) {
            m_nodes[node]->grant(m_now, call);
        } else {
            m_nodes[node]->end(m_now, call, end, 200);
        }
        drain(node);
    }

    void begin(std::size_t node, const StartCall &call, bool isCrashing)
    {
        const std::size_t engine = engineOf(call);
        if (engine >= m_engines.size() || m_nodes[node]->wasAbandoned(call)) {
            return;
        }
        if (isCrashing) {
            const int life = m_engines[engine].life;
            plan(m_now + CrashTime, [this, engine, life] {
                if (m_engines[engine].isUp && m_engines[engine].life == life) {
                    ++m_result.crashes;
                    m_result.fifthCrashAt = m_result.crashes == 5 ? m_now : m_result.fifthCrashAt;
                    crash(engine);
                }
            });
            return;
        }
        Request &request = m_requests.at({node, call.request});
        if (!std::exchange(request.hasBegun, true)) {
            countSound(request, true);
        }
        m_nodes[node]->reduce(m_now, StreamStarted {call.call, 200, {}});
        drain(node);
        plan(m_now + StreamTime, [this, node, call] {
            const std::size_t at = engineOf(call);
            if (at < m_engines.size()) {
                std::erase_if(m_engines[at].calls, [&](const auto &open) {
                    return open.first == node && open.second.call == call.call;
                });
                m_nodes[node]->end(m_now, call, CallEnd::Complete, 200);
                drain(node);
            }
        });
    }

    void crash(std::size_t engine)
    {
        const auto calls = std::exchange(m_engines[engine].calls, {});
        m_engines[engine].isUp = false;
        const std::string old = nameOf(engine);
        for (const auto &[node, call] : calls) {
            m_nodes[node]->loseConnection(m_now, call);
        }
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            drain(node);
        }
        plan(m_now + 3'000, [this, old] {
            for (const auto &node : m_nodes) {
                node->dispatcher().remove(ServerName(old));
            }
        });
        plan(m_now + 4'000, [this, engine] {
            m_engines[engine].isUp = true;
            ++m_engines[engine].life;
            for (const auto &node : m_nodes) {
                announce(*node, engine);
            }
        });
    }
    void randomCrash()
    {
        plan(m_now + interval(m_load.randomCrashesPerSecond), [this] { randomCrash(); });
        const std::size_t engine = below(m_engines.size());
        if (m_engines[engine].isUp) {
            crash(engine);
        }
    }
    void losePower()
    {
        for (std::size_t engine = 0; engine < m_engines.size(); engine += 3) {
            if (m_engines[engine].isUp) {
                crash(engine);
            }
        }
    }

    void share(std::size_t from)
    {
        constexpr int Targets = 8;
        for (const SharePartCrashes &shared : m_nodes[from]->takePartCrashes()) {
            if (shared.isForStore) {
                store(shared.notes);
            }
            for (int i = 0; i < std::min<int>(Targets, static_cast<int>(m_nodes.size()) - 1); ++i) {
                if (!std::bernoulli_distribution(m_load.newsLoss)(m_random)) {
                    const std::size_t node = m_nodes.size() <= Targets
                        ? (from + 1 + static_cast<std::size_t>(i)) % m_nodes.size()
                        : below(m_nodes.size());
                    plan(m_now + m_load.newsDelay, [this, node, notes = shared.notes] {
                        m_nodes[node]->reduce(m_now, PartCrashesArrived {notes});
                        drain(node);
                    });
                }
            }
        }
    }
    void store(const std::vector<PartCrashNote> &notes)
    {
        ++m_result.messagesStored;
        m_result.notesStored += static_cast<int>(notes.size());
        if (m_load.storeDelay == 0) {
            return;
        }
        plan(m_now + m_load.storeDelay, [this, notes] {
            for (const auto &node : m_nodes) {
                for (const PartCrashNote &note : notes) {
                    node->dispatcher().partCrashStored(note, DispatcherHarness::at(m_now));
                }
            }
        });
    }
    void tick()
    {
        constexpr int TickTime = 10;
        plan(m_now + TickTime, [this] { tick(); });
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            m_nodes[node]->reduce(m_now, TimePassed {});
            drain(node);
        }
    }

    PartCrashLoad m_load;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<DispatcherHarness>> m_nodes;
    std::priority_queue<Event> m_events;
    std::map<RequestKey, Request> m_requests;
    PartCrashResult m_result;
    int m_now = 0;
    int m_lastOrder = 0;
};

} // namespace indigoway::dispatch
