#pragma once

#include "edge/statesync.h"
#include "support/simulator.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace indigoway {

/** A key-value service in virtual time that counts the calls of each failure domain. */
class SimulatedStore
{
public:
    static constexpr Duration Latency = std::chrono::milliseconds(3);
    static constexpr Duration CallTimeout = std::chrono::milliseconds(1000);
    static constexpr Duration WatchMargin = std::chrono::milliseconds(300);

    explicit SimulatedStore(Simulator &simulator)
        : m_simulator(simulator)
    { }

    void write(const std::string &key, const std::string &value)
    {
        m_log.push_back({key, ++m_revision, value, m_revision});
        writtenAt.push_back(m_simulator.now());
        const auto waiting = std::exchange(m_watches, {});
        for (const auto &answer : waiting) {
            answer();
        }
    }
    std::uint64_t revision() const { return m_revision; }
    StoredPage page() const { return {{}, false, m_revision}; }
    StoredChanges changesAfter(std::uint64_t revision) const
    {
        return {{m_log.begin() + static_cast<std::ptrdiff_t>(revision), m_log.end()}, m_revision};
    }
    void addWatch(std::function<void()> answer) { m_watches.push_back(std::move(answer)); }

    bool isAvailable = true;
    std::set<std::string> refusedNodes; ///< Nodes whose calls are refused.
    std::vector<TimePoint> writtenAt;   ///< Time of each revision.
    /** Calls for changes and proofs by failure domain and second. */
    std::map<std::pair<std::string, std::int64_t>, int> calls;

private:
    Simulator &m_simulator;
    std::uint64_t m_revision = 0;
    std::vector<StoredChange> m_log; ///< The change of revision n is at index n - 1.
    std::vector<std::function<void()>> m_watches;
};

/** The calls of one node to the simulated store. */
class SimulatedStoreClient : public KeyValueStore
{
public:
    SimulatedStoreClient(Simulator &simulator, SimulatedStore &store, const NodeEntry &node)
        : m_simulator(simulator)
        , m_store(store)
        , m_node(node)
    { }

    void list(const std::string & /*prefix*/, const std::string & /*after*/,
              StoreHandler<StoredPage> handler) override
    {
        count();
        call<StoredPage>(std::move(handler), [this] { return m_store.page(); });
    }
    void watch(const std::string & /*prefix*/, std::uint64_t revision, Duration wait,
               StoreHandler<StoredChanges> handler) override
    {
        count();
        const auto once = std::make_shared<StoreHandler<StoredChanges>>(std::move(handler));
        const auto finish = [once](const std::variant<StoredChanges, StoreError> &result) {
            if (const auto done = std::exchange(*once, {})) {
                done(result);
            }
        };
        const auto answer = [this, revision, finish] {
            m_simulator.schedule(SimulatedStore::Latency, [this, revision, finish] {
                if (m_store.isAvailable) {
                    finish(m_store.changesAfter(revision));
                }
            });
        };
        m_simulator.schedule(SimulatedStore::Latency, [this, revision, wait, finish, answer] {
            if (m_store.refusedNodes.contains(m_node.name.text())) {
                finish(StoreError::Refused);
            } else if (m_store.isAvailable) {
                m_store.revision() > revision ? answer() : m_store.addWatch(answer);
                m_simulator.schedule(wait, answer);
            }
        });
        m_simulator.schedule(wait + SimulatedStore::WatchMargin,
                             [finish] { finish(StoreError::Unanswered); });
    }
    void commit(const StoreCommit & /*commit*/, StoreHandler<StoreDone> handler) override
    {
        call<StoreDone>(std::move(handler), [] { return StoreDone {}; });
    }
    void grantLease(Duration lifetime, StoreHandler<GrantedLease> handler) override
    {
        call<GrantedLease>(std::move(handler), [lifetime] {
            return GrantedLease {StoreLease(1), lifetime};
        });
    }
    void renewLease(StoreLease /*lease*/, StoreHandler<StoreDone> handler) override
    {
        call<StoreDone>(std::move(handler), [] { return StoreDone {}; });
    }
    void revokeLease(StoreLease /*lease*/, StoreHandler<StoreDone> handler) override
    {
        call<StoreDone>(std::move(handler), [] { return StoreDone {}; });
    }

private:
    void count()
    {
        const auto second =
            std::chrono::floor<std::chrono::seconds>(m_simulator.now().time_since_epoch());
        ++m_store.calls[{m_node.domain.text(), second.count()}];
    }
    template <typename Result>
    void call(StoreHandler<Result> handler, std::function<Result()> result)
    {
        m_simulator.schedule(SimulatedStore::Latency, [this, handler, result] {
            if (m_store.refusedNodes.contains(m_node.name.text())) {
                handler(StoreError::Refused);
            } else if (m_store.isAvailable) {
                handler(result());
            } else {
                m_simulator.schedule(SimulatedStore::CallTimeout,
                                     [handler] { handler(StoreError::Unanswered); });
            }
        });
    }

    Simulator &m_simulator;
    SimulatedStore &m_store;
    const NodeEntry &m_node;
};

/** Nodes that keep copies of a store, and the calls between them, in virtual time. */
class CopyFleet
{
public:
    enum class Cut {
        Silent, ///< Calls from and to the node are not answered.
        Refused ///< They are refused at once.
    };
    static constexpr Duration DomainLatency = std::chrono::milliseconds(1);
    static constexpr Duration CrossLatency = std::chrono::milliseconds(2);

    CopyFleet(int nodes, int domains, std::optional<Duration> maxCopyAge, unsigned seed = 7)
        : store(simulator)
        , roster(NodeEntry {})
    {
        std::mt19937 random(seed);
        store.write("configuration", "first");
        for (int i = 0; i < nodes; ++i) {
            const std::string name = "n" + std::to_string(1'000 + i);
            NodeEntry entry {NodeName(name), DomainName(std::to_string(i % domains)), name + ":2",
                             name + ":1"};
            entry.cpuShare = i < 2 * domains ? 0.5 : 0.12;
            roster.announce("nodes/" + name, entry);
            m_nodes[entry.controlAddress] = std::make_unique<Node>(*this, entry);
        }
        for (const auto &one : m_nodes) {
            Node &node = *one.second;
            node.sync = std::make_unique<StateSync>(node.client, dependenciesOf(node, maxCopyAge),
                                                    one.first, random());
            simulator.schedule(std::chrono::milliseconds(random() % 300), [&node] {
                node.sync->start(node.entry);
                node.tick();
            });
        }
    }

    /** Returns the control addresses of the nodes of each domain, best-ranked first. */
    std::map<std::string, std::vector<std::string>> ranked() const
    {
        std::map<std::string, std::vector<std::string>> addresses;
        for (const NodeEntry *member : roster.members()) {
            std::vector<std::string> &domain = addresses[member->domain.text()];
            if (domain.empty()) {
                for (const auto &[rank, node] : roster.nodesInDomain(member->domain)) {
                    domain.push_back(node->controlAddress);
                }
            }
        }
        return addresses;
    }
    /** Cuts the best-ranked @p count nodes of each domain off all other nodes. */
    void cutBestRanked(std::size_t count, Cut how)
    {
        for (const auto &[domain, addresses] : ranked()) {
            for (std::size_t i = 0; i < std::min(count, addresses.size()); ++i) {
                cuts[addresses[i]] = how;
            }
        }
    }
    /** Cuts a random half of all nodes off all other nodes. */
    void cutRandomHalf(Cut how, unsigned seed)
    {
        std::vector<std::string> addresses;
        for (const auto &[address, node] : m_nodes) {
            addresses.push_back(address);
        }
        std::shuffle(addresses.begin(), addresses.end(), std::mt19937(seed));
        for (std::size_t i = 0; i < addresses.size() / 2; ++i) {
            cuts[addresses[i]] = how;
        }
    }
    /** Runs for @p duration and records the delays of the nodes that are not cut off. */
    void run(Duration duration)
    {
        constexpr Duration Step = std::chrono::milliseconds(10);
        for (const TimePoint end = simulator.now() + duration; simulator.now() < end;) {
            simulator.schedule(Step, [] {});
            simulator.runUntil(simulator.now() + Step);
            for (const auto &[address, node] : m_nodes) {
                measure(address, *node);
            }
        }
    }
    /** Returns the most calls of a failure domain in one second since @p start. */
    int maxCallsPerSecond(TimePoint start) const
    {
        const auto first = std::chrono::floor<std::chrono::seconds>(start.time_since_epoch());
        int most = 0;
        for (const auto &[key, count] : store.calls) {
            most = key.second >= first.count() ? std::max(most, count) : most;
        }
        return most;
    }
    /** Returns the number of calls of all nodes since @p start. */
    int callsSince(TimePoint start) const
    {
        const auto first = std::chrono::floor<std::chrono::seconds>(start.time_since_epoch());
        int sum = 0;
        for (const auto &[key, count] : store.calls) {
            sum += key.second >= first.count() ? count : 0;
        }
        return sum;
    }
    /** Returns true if all nodes have a proof that is at least as late as @p since. */
    bool allProvenSince(BootTime since) const
    {
        return std::ranges::all_of(m_nodes, [this, since](const auto &one) {
            const auto age = one.second->sync->copyAge(simulator.bootNow());
            return age && simulator.bootNow() - *age >= since;
        });
    }

    std::size_t nodeCount() const { return m_nodes.size(); }

    Simulator simulator;
    SimulatedStore store;
    NodeDirectory roster;
    std::map<std::string, Cut> cuts; ///< Nodes cut off from all others, by control address.
    /** Nodes of an earlier version, which neither state nor honour hold times. */
    std::set<std::string> oldNodes;
    std::uint64_t peerCalls = 0; ///< Calls between nodes.
    Duration maxDelay {};        ///< Longest time until a node that is not cut off had a change.
    Duration maxCutDelay {};     ///< The same of nodes that are cut off.
    Duration maxAge {};          ///< Greatest age of the copy of a node that is not cut off.

private:
    struct Node
    {
        Node(CopyFleet &owner, NodeEntry self)
            : fleet(owner)
            , entry(std::move(self))
            , client(owner.simulator, owner.store, entry)
        { }
        void tick()
        {
            sync->tick();
            fleet.simulator.schedule(StateSync::TickInterval, [this] { tick(); });
        }

        CopyFleet &fleet;
        NodeEntry entry;
        SimulatedStoreClient client;
        std::unique_ptr<StateSync> sync;
    };

    StateSync::Dependencies dependenciesOf(Node &node, std::optional<Duration> maxCopyAge)
    {
        StateSync::Dependencies dependencies;
        dependencies.self = node.entry;
        dependencies.now = [this] {
            return simulator.now();
        };
        dependencies.bootNow = [this] {
            return simulator.bootNow();
        };
        dependencies.record = [](const std::string &, const std::string &) {
        };
        dependencies.storeWriter = {"nodes/" + node.entry.name.text(),
                                    "leader",
                                    "record",
                                    "crashes/",
                                    dependencies.record,
                                    dependencies.now};
        dependencies.maxCopyAge = maxCopyAge;
        dependencies.itemChanged = [](const std::string &, const StoredItem *) {
        };
        dependencies.roster = [this]() -> const NodeDirectory & {
            return roster;
        };
        dependencies.seeds = [] {
            return std::vector<std::string> {};
        };
        dependencies.isSeed = [] {
            return false;
        };
        dependencies.needsShortLease = [] {
            return false;
        };
        dependencies.linkBytesPerSecond = 1'000'000;
        dependencies.startPeerCall = [this, &node](const HttpCall &call, const auto &done) {
            startPeerCall(node, call, done);
        };
        dependencies.replyToPeer = [this](ExchangeNumber exchange, const std::string &body) {
            if (const auto it = m_exchanges.find(exchange); it != m_exchanges.end()) {
                const auto reply = std::move(it->second);
                m_exchanges.erase(it);
                reply(body);
            }
        };
        return dependencies;
    }
    void startPeerCall(Node &from, const HttpCall &call, const HttpClient::DoneHandler &done)
    {
        ++peerCalls;
        Node &to = *m_nodes.at(call.address);
        const bool isSameDomain = from.entry.domain == to.entry.domain;
        const Duration latency = isSameDomain ? DomainLatency : CrossLatency;
        const auto once = std::make_shared<HttpClient::DoneHandler>(done);
        const auto finish = [once](const HttpAnswer &answer) {
            if (const auto handler = std::exchange(*once, {})) {
                handler(answer);
            }
        };
        HttpRequest request;
        request.exchange = ExchangeNumber(++m_lastExchange);
        request.query = call.path.substr(call.path.find('?') + 1);
        if (oldNodes.contains(from.entry.controlAddress)
            || oldNodes.contains(to.entry.controlAddress)) {
            request.query = request.query.substr(0, request.query.find("&hold_ms"));
        }
        m_exchanges[request.exchange] = [this, &from, &to, latency,
                                         finish](const std::string &body) {
            constexpr int Ok = 200;
            constexpr int Unavailable = 503;
            HttpAnswer answer {
                HttpAnswer::End::Complete, body.empty() ? Unavailable : Ok, {}, body};
            simulator.schedule(latency, [this, &from, &to, finish, answer] {
                if (!cutBetween(from, to)) {
                    finish(answer);
                }
            });
        };
        simulator.schedule(latency, [this, &from, &to, request, finish] {
            const auto cut = cutBetween(from, to);
            if (!cut) {
                to.sync->handlePeerPoll(request);
            } else if (*cut == Cut::Refused) {
                finish({HttpAnswer::End::NotConnected, 0, {}, {}});
            }
        });
        simulator.schedule(call.timeout, [this, &to, finish, exchange = request.exchange] {
            if (m_exchanges.erase(exchange) > 0) {
                to.sync->cancelPeerPoll(exchange);
            }
            finish({HttpAnswer::End::TimedOut, 0, {}, {}});
        });
    }
    std::optional<Cut> cutBetween(const Node &from, const Node &to) const
    {
        for (const Node *node : {&from, &to}) {
            if (const auto it = cuts.find(node->entry.controlAddress); it != cuts.end()) {
                return it->second;
            }
        }
        return std::nullopt;
    }
    void measure(const std::string &address, const Node &node)
    {
        const bool isCut = cuts.contains(address);
        const std::uint64_t asOf = node.sync->asOf();
        if (asOf < store.revision()) {
            Duration &most = isCut ? maxCutDelay : maxDelay;
            most = std::max(most, Duration(simulator.now() - store.writtenAt[asOf]));
        }
        if (const auto age = node.sync->copyAge(simulator.bootNow()); age && !isCut) {
            maxAge = std::max(maxAge, *age);
        }
    }

    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<ExchangeNumber, std::function<void(const std::string &)>> m_exchanges;
    std::uint64_t m_lastExchange = 0;
};

} // namespace indigoway
