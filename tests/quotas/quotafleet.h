#pragma once

#include "quotas/quotaenforcer.h"
#include "quotas/quotakeeper.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
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
        double lossRate = 0; ///< Fraction of lost datagrams.
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

    static RouteTable tableOf(const Quota &quota)
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

    void setQuota(const Quota &quota)
    {
        m_settings.quota = quota;
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
        one.enforcer = std::make_unique<QuotaEnforcer>(m_settings.bounds);
        one.enforcer->setEnabled(true);
        one.keeper = std::make_unique<QuotaKeeper>(one.incarnation);
        one.waiting.clear();
    }
    void cut(std::size_t node, bool isCut) { m_nodes[node].isCut = isCut; }
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
                node.enforcer->setNodeCount(knownNodes);
                node.enforcer->setKeeper(keeper ? std::optional(nameOf(*keeper)) : std::nullopt);
            }
        }
    }

    /** Sends a caller's request of @p units to @p node. */
    void request(std::size_t node, double units)
    {
        Node &one = m_nodes[node];
        if (!one.isUp) {
            return;
        }
        const QuotaQueryId queryId(++m_lastQueryId);
        QuotaEnforcer::Messages messages;
        const auto decision = one.enforcer->decide(now(), queryId, OrganisationName("o"),
                                                   m_settings.quota, units, messages);
        send(node, std::move(messages));
        ++m_requests;
        if (decision.kind == QuotaDecision::Kind::Passed) {
            grant(units);
        } else if (decision.kind == QuotaDecision::Kind::Pending) {
            one.waiting[queryId] = units;
        }
    }

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
        const double window = std::chrono::duration<double>(m_settings.bounds.window).count();
        return (m_settings.quota.perSecond * window + m_settings.quota.burst)
            * (1 + m_settings.bounds.over)
            + m_settings.bounds.slack;
    }

private:
    struct Node
    {
        bool isUp = false;
        bool isCut = false; ///< From other nodes and the store, but not from callers.
        Incarnation incarnation;
        std::uint32_t knownNodes = 0;
        std::optional<std::size_t> keeperIndex;
        std::unique_ptr<QuotaEnforcer> enforcer;
        std::unique_ptr<QuotaKeeper> keeper;
        std::map<QuotaQueryId, double> waiting;
    };
    struct Datagram
    {
        Duration at {};
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<ToKeeper, FromKeeper> message;
    };

    static NodeName nameOf(std::size_t node) { return NodeName(std::to_string(node)); }

    void grant(double units)
    {
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
        const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < m_settings.lossRate;
        if (!isPartitioned && !isLost) {
            const auto delay = std::uniform_int_distribution<>(1, 4)(m_random);
            m_datagrams.push_back(
                {m_now + std::chrono::milliseconds(delay), from, to, std::move(message)});
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
                const NodeLife from {nameOf(one.from), m_nodes[one.from].incarnation};
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
                                                         m_nodes[one.from].incarnation, messages);
        send(one.to, std::move(messages));
        if (result) {
            finishRequest(node, *result);
        }
    }

    void finishRequest(Node &node, const QuotaResult &result)
    {
        const auto it = node.waiting.find(result.queryId);
        if (it != node.waiting.end() && result.isGranted) {
            grant(it->second);
        }
        node.waiting.erase(result.queryId);
    }

    void tick(std::size_t node)
    {
        Node &one = m_nodes[node];
        const auto next = one.enforcer->nextTick();
        if (!next || *next > now()) {
            return;
        }
        QuotaEnforcer::Messages messages;
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
    std::uint64_t m_requests = 0;
    double m_grantedUnits = 0;
    std::vector<std::pair<double, double>> m_grants; ///< Time in seconds, units.
};

} // namespace indigoway::quotas
