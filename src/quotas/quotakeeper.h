#pragma once

#include "quotas/quotabucket.h"
#include "quotas/quotamessages.h"
#include "routing/routetable.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway::quotas {

/** A message to a node. */
struct KeeperReply
{
    NodeName to;
    FromKeeper message;
};
using KeeperReplies = std::vector<KeeperReply>;

/**
 * Counts the usage of the organisations' quotas by all nodes; one node of the fleet runs it.
 *
 * While an organisation has plenty of units left, nodes grant its requests without delay and report
 * the usage. When less than half of the burst is left, the organisation is scarce: all nodes are
 * notified at once and ask for each of its requests, so the quota is enforced exactly.
 *
 * A new keeper does not know the earlier usage, so its buckets start empty and a change of the
 * keeper grants no second burst. It grants the share of the rate that belongs to the nodes it hears
 * from; the other nodes grant their shares locally, see QuotaEnforcer.
 */
class QuotaKeeper
{
public:
    /** The state of the fleet as known to the node that runs the keeper. */
    struct View
    {
        const RouteTable &routes;
        std::uint32_t nodes = 0; ///< Number of nodes that serve callers.
    };

    explicit QuotaKeeper(Incarnation self)
        : m_self(self)
    { }

    KeeperReplies handle(TimePoint now, const View &view, const NodeLife &from,
                         const ToKeeper &message);
    /** Returns the number of organisations whose requests must be asked for individually. */
    std::size_t scarceCount() const { return m_scarce.size(); }

private:
    /** The total usage of an organisation that a node has reported last. */
    struct ReportedUsage
    {
        double units = 0;
        std::uint64_t sequence = 0; ///< Sequence number of the report.
    };
    struct CachedAnswer
    {
        QuotaAnswer answer;
        TimePoint at {};
    };
    /** The state of a node that has sent a message. */
    struct NodeState
    {
        Incarnation incarnation;
        TimePoint lastMessageAt {};
        std::map<OrganisationName, ReportedUsage> used;
        /** Recent answers, for repeated queries. */
        std::map<QuotaQueryId, CachedAnswer> recentAnswers;
    };
    /** The usage of an organisation by all nodes. */
    struct Account
    {
        QuotaBucket bucket;
        TimePoint lastRetryAt {}; ///< Latest retry time given to a refused request.
    };

    void applyReport(TimePoint now, const View &view, NodeState &state, const UsageReport &report);
    QuotaAnswer answer(TimePoint now, const View &view, NodeState &state, const QuotaQuery &query);
    QuotaAnswer decide(TimePoint now, const Quota &quota, const QuotaQuery &query);
    NodeState &touchNode(TimePoint now, const NodeLife &from);
    void updateReachableFraction(TimePoint now, const View &view);
    Account &account(TimePoint now, const OrganisationName &name, const Quota &quota);
    RateLimit limitOf(const Quota &quota) const;
    /** Updates whether @p name is scarce. */
    void updateScarcity(TimePoint now, const OrganisationName &name, const Quota &quota);
    void updateAllScarcity(TimePoint now, const View &view);
    ScarcityReport scarcityReport() const;

    Incarnation m_self;
    std::optional<TimePoint> m_startedAt; ///< Time of the first message.
    std::map<NodeName, NodeState> m_nodes;
    double m_reachableFraction = 0; ///< Fraction of the fleet's nodes that are reachable.
    TimePoint m_fractionUpdatedAt {};
    std::map<OrganisationName, Account> m_accounts;
    std::set<OrganisationName> m_scarce;
};

} // namespace indigoway::quotas
