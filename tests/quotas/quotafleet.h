#pragma once

#include "quotas/quotaenforcer.h"
#include "quotas/quotakeeper.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace indigoway::quotas {

/**
 * Simulates the quota exchange of nodes in virtual time: datagrams take a few milliseconds and may
 * be lost, and nodes fail, restart, are cut off, and learn of each other late.
 */
class QuotaFleet
{
public:
    struct Settings
    {
        std::size_t nodes = 8;
        Quota quota;
        QuotaBounds bounds;
        double lossRate = 0;   ///< Fraction of lost datagrams.
        double repeatRate = 0; ///< Fraction of datagrams that arrive twice.
        double lateRate = 0;   ///< Fraction of datagrams that take up to two seconds.
        /** Fraction of granted requests that are not executed, so that their units are returned. */
        double returnRate = 0;
        Duration age {}; ///< Age of the nodes at the beginning.
        /** Time after which a node that is cut off can check no key, so that it serves nothing. */
        std::optional<Duration> cutOffServes = {};
        std::uint64_t seed = 1;
    };

    explicit QuotaFleet(Settings settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_routes(tableOf(settings.quota))
    {
        for (std::size_t node = 0; node < settings.nodes; ++node) {
            m_nodes.push_back({});
            start(node);
        }
        updateMembership();
    }

    static RouteTable tableOf(const std::optional<Quota> &quota)
    {
        RoutingState state;
        state.version = 1;
        state.wantsKeys = true;
        Organisation organisation;
        organisation.name = OrganisationName("o");
        organisation.quota = quota;
        state.organisations = {organisation};
        return RouteTable(std::move(state));
    }

    /** Sets or removes the quota; requests need one. */
    void setQuota(const std::optional<Quota> &quota)
    {
        m_settings.quota = quota.value_or(Quota {});
        m_routes = tableOf(quota);
    }

    TimePoint now() const { return TimePoint {} + std::chrono::hours(1) + m_now; }
    double seconds() const { return std::chrono::duration<double>(m_now).count(); }

    void kill(std::size_t node) { m_nodes[node].isUp = false; }
    void start(std::size_t node)
    {
        Node &one = m_nodes[node];
        one.isUp = true;
        one.incarnation = Incarnation(++m_incarnations);
        one.enforcer = std::make_unique<QuotaEnforcer>(
            m_settings.bounds, m_now > Duration(0) ? now() : now() - m_settings.age);
        one.enforcer->setEnabled(true);
        one.keeper = std::make_unique<QuotaKeeper>(one.incarnation, m_settings.bounds);
        one.waiting.clear();
        one.unused.clear();
    }
    void cut(std::size_t node, bool isCut)
    {
        m_nodes[node].isCut = isCut;
        m_nodes[node].cutAt = m_now;
    }
    std::size_t size() const { return m_nodes.size(); }

    /** Informs all nodes that are not cut off of the nodes present and of the keeper. */
    void updateMembership()
    {
        std::uint32_t knownNodes = 0;
        std::optional<std::size_t> keeper;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            if (m_nodes[node].isUp && !m_nodes[node].isCut) {
                ++knownNodes;
                keeper = keeper.value_or(node);
            }
        }
        for (Node &node : m_nodes) {
            if (node.isUp && !node.isCut) {
                node.knownNodes = knownNodes;
                node.keeperIndex = keeper;
                node.enforcer->setNodeCount(knownNodes, now());
                node.enforcer->setKeeper(keeper ? std::optional(nameOf(*keeper)) : std::nullopt);
            }
        }
    }

    /**
     * Sends a caller's request of @p units to @p node.
     * @return its number for wasGranted()
     */
    std::uint64_t request(std::size_t node, double units,
                          std::optional<std::uint32_t> priority = {})
    {
        Node &one = m_nodes[node];
        const bool isCutForLong =
            one.isCut && m_settings.cutOffServes && m_now > one.cutAt + *m_settings.cutOffServes;
        if (!one.isUp || isCutForLong) {
            return 0;
        }
        const QuotaQueryId queryId(++m_lastQueryId);
        QuotaEnforcer::Messages messages;
        const auto decision = one.enforcer->decide(now(), queryId, OrganisationName("o"),
                                                   m_settings.quota, units, priority, messages);
        send(node, std::move(messages));
        if (decision.kind == QuotaDecision::Kind::Passed) {
            grant(one, queryId, units, decision.isCounted);
        } else if (decision.kind == QuotaDecision::Kind::Pending) {
            one.waiting[queryId] = units;
        }
        return queryId.value();
    }
    bool wasGranted(std::uint64_t request) const { return m_grantedRequests.contains(request); }

    void run(Duration duration)
    {
        const Duration end = m_now + duration;
        for (; m_now < end; m_now += std::chrono::milliseconds(1)) {
            deliver();
            for (std::size_t node = 0; node < m_nodes.size(); ++node) {
                if (m_nodes[node].isUp) {
                    tick(node);
                }
            }
        }
    }

    double grantedUnits() const { return m_grantedUnits; }
    /** Returns the maximum number of units granted in any window of @p seconds. */
    double maxUnitsInWindow(double seconds) const
    {
        double maxUnits = 0;
        double sum = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_grants.size(); ++last) {
            sum += m_grants[last].second;
            while (m_grants[last].first - m_grants[first].first > seconds) {
                sum -= m_grants[first++].second;
            }
            maxUnits = std::max(maxUnits, sum);
        }
        return maxUnits;
    }
    double maxAllowedUnits() const
    {
        return unitsPerWindow(m_settings.quota, m_settings.bounds)
            + toleranceOf(m_settings.quota, m_settings.bounds);
    }

private:
    struct Node
    {
        bool isUp = false;
        bool isCut = false; ///< From other nodes and the store, but not from callers.
        Duration cutAt {};
        Incarnation incarnation;
        std::uint32_t knownNodes = 0;
        std::optional<std::size_t> keeperIndex;
        std::unique_ptr<QuotaEnforcer> enforcer;
        std::unique_ptr<QuotaKeeper> keeper;
        std::map<QuotaQueryId, double> waiting;
        std::vector<double> unused; ///< Units of requests that were not executed.
    };
    struct Datagram
    {
        Duration at {};
        std::size_t from = 0;
        std::size_t to = 0;
        Incarnation incarnation; ///< Of the sender.
        std::variant<ToKeeper, FromKeeper> message;
    };

    static NodeName nameOf(std::size_t node) { return NodeName(std::to_string(node)); }

    void grant(Node &node, QuotaQueryId queryId, double units, bool isCounted)
    {
        m_grantedRequests.insert(queryId.value());
        if (isCounted && std::uniform_real_distribution<>(0, 1)(m_random) < m_settings.returnRate) {
            node.unused.push_back(units);
            return;
        }
        m_grantedUnits += units;
        m_grants.emplace_back(seconds(), units);
    }

    void send(std::size_t node, QuotaEnforcer::Messages messages)
    {
        for (ToKeeper &message : messages) {
            if (m_nodes[node].keeperIndex) {
                post(node, *m_nodes[node].keeperIndex, std::move(message));
            }
        }
    }

    template <typename Message>
    void post(std::size_t from, std::size_t to, Message message)
    {
        const bool isPartitioned = from != to && (m_nodes[from].isCut || m_nodes[to].isCut);
        const auto happens = [this](double rate) {
            return std::uniform_real_distribution<>(0, 1)(m_random) < rate;
        };
        if (isPartitioned || happens(m_settings.lossRate)) {
            return;
        }
        for (int copies = happens(m_settings.repeatRate) ? 2 : 1; copies > 0; --copies) {
            const int most = happens(m_settings.lateRate) ? 2000 : 4;
            const auto delay = std::uniform_int_distribution<>(1, most)(m_random);
            m_datagrams.push_back({m_now + std::chrono::milliseconds(delay), from, to,
                                   m_nodes[from].incarnation, message});
        }
    }

    void deliver()
    {
        std::deque<Datagram> due;
        std::erase_if(m_datagrams, [&](Datagram &one) {
            const bool isDue = one.at <= m_now;
            if (isDue) {
                due.push_back(std::move(one));
            }
            return isDue;
        });
        for (const Datagram &one : due) {
            Node &to = m_nodes[one.to];
            if (!to.isUp) {
                continue;
            }
            if (const auto *query = std::get_if<ToKeeper>(&one.message)) {
                const QuotaKeeper::View view {m_routes, to.knownNodes};
                const NodeLife from {nameOf(one.from), one.incarnation};
                for (KeeperReply &reply : to.keeper->handle(now(), view, from, *query)) {
                    post(one.to, std::stoul(reply.to.text()), std::move(reply.message));
                }
            } else {
                handleAnswer(one);
            }
        }
    }

    void handleAnswer(const Datagram &one)
    {
        Node &node = m_nodes[one.to];
        if (node.keeperIndex != one.from) {
            return;
        }
        QuotaEnforcer::Messages messages;
        const auto result = node.enforcer->handleMessage(now(), std::get<FromKeeper>(one.message),
                                                         one.incarnation, messages);
        send(one.to, std::move(messages));
        if (result) {
            finishRequest(node, *result);
        }
    }

    void finishRequest(Node &node, const QuotaResult &result)
    {
        const auto it = node.waiting.find(result.queryId);
        if (it != node.waiting.end() && result.isGranted) {
            grant(node, result.queryId, it->second, result.isCounted);
        }
        node.waiting.erase(result.queryId);
    }

    void tick(std::size_t node)
    {
        Node &one = m_nodes[node];
        QuotaEnforcer::Messages messages;
        for (const double units : std::exchange(one.unused, {})) {
            one.enforcer->returnUnits(now(), OrganisationName("o"), units, std::nullopt, messages);
        }
        const auto next = one.enforcer->nextTick();
        if (!next || *next > now()) {
            send(node, std::move(messages));
            return;
        }
        const auto results = one.enforcer->tick(now(), messages);
        send(node, std::move(messages));
        for (const QuotaResult &result : results) {
            finishRequest(one, result);
        }
    }

    Settings m_settings;
    std::mt19937_64 m_random;
    RouteTable m_routes;
    Duration m_now {};
    std::vector<Node> m_nodes;
    std::deque<Datagram> m_datagrams;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_lastQueryId = 0;
    std::set<std::uint64_t> m_grantedRequests;
    double m_grantedUnits = 0;
    std::vector<std::pair<double, double>> m_grants; ///< Time in seconds, units.
};

} // namespace indigoway::quotas
