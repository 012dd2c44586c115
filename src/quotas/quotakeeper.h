#pragma once

#include "quotas/quotabucket.h"
#include "quotas/quotamessages.h"
#include "quotas/quotawindow.h"
#include "quotas/urgencyreserve.h"
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
 * the usage. When few are left, the organisation is scarce: all nodes are notified at once and ask
 * for each of its requests, so the quota is enforced exactly.
 *
 * A new keeper does not know the earlier usage. Nodes report their own usage in the window to it,
 * and the usage of all nodes as the previous keeper last stated it. A node whose usage in the
 * window is not known, because it has not reported, cannot be reached or started less than a window
 * ago, counts with an equal share of each quota, which it may grant or have granted locally, see
 * QuotaEnforcer.
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

    QuotaKeeper(Incarnation self, QuotaBounds bounds)
        : m_self(self)
        , m_bounds(bounds)
        , m_nodeCount(bounds.window)
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
        std::vector<double> byPriority;
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
        std::uint32_t nodeCount = 0; ///< As in UsageReport.
        bool hasRecord = false;      ///< True if the node has reported its usage in the window.
        std::uint64_t epoch = 0;     ///< Of the totals in used.
        TimePoint completeAt {};     ///< Time from which all its usage in the window is known.
        std::map<OrganisationName, ReportedUsage> used;
        /** Recent answers, for repeated queries. */
        std::map<QuotaQueryId, CachedAnswer> recentAnswers;
    };
    /** The usage of an organisation by all nodes. */
    struct Account
    {
        Account(Duration window, const RateLimit &burstLimit, TimePoint now)
            : burst(burstLimit.burst, now)
            , counted(window)
            , recorded(window)
            , inherited(window)
            , beforeLowering(window)
            , reserve(window)
            , withheld(window)
        { }
        /** Returns the units that count against the quota in the window that ends at @p now. */
        double used(TimePoint now) const;
        void setLimit(TimePoint now, double units);
        /** Returns the units of @p quota that become available within a time from @p now. */
        UrgencyReserve::FreedWithin freedAfter(TimePoint now, const Quota &quota) const;
        UsageProfile profile(TimePoint now) const;

        QuotaBucket burst;   ///< Bounds what is used at once; see burstLimitOf().
        QuotaWindow counted; ///< Counted by this keeper, or granted by nodes without a keeper.
        // Two accounts of the usage that previous keepers counted; the larger one is used.
        QuotaWindow recorded;  ///< Sum of the nodes' own records.
        QuotaWindow inherited; ///< As a node has heard from a previous keeper.
        double limit = 0;      ///< Units allowed in a window.
        /**
         * The usage counted when the quota was lowered. It was within the earlier quota and counts
         * only with its part of the new one, so that the lower quota binds one window later.
         */
        QuotaWindow beforeLowering;
        UrgencyReserve reserve;
        /** Units refused in the window only because of the reserve. */
        QuotaWindow withheld;
        double loweredFrom = 0; ///< Units allowed in a window before the quota was lowered.
        /** Units charged since the usage was announced, at most for a heartbeat interval. */
        double unannounced = 0;
        TimePoint unannouncedSince {};
        TimePoint lastRetryAt {}; ///< Latest retry time given to a refused request.
    };

    void applyReport(TimePoint now, const View &view, NodeState &state, const UsageReport &report);
    void applyRecord(TimePoint now, const Quota &quota, Account &account, const UsageTotal &used);
    QuotaAnswer answer(TimePoint now, const View &view, NodeState &state, const QuotaQuery &query);
    QuotaAnswer decide(TimePoint now, const Quota &quota, const QuotaQuery &query);
    NodeState &touchNode(TimePoint now, const NodeLife &from);
    /** Updates the fraction of nodes whose usage is known. */
    void updateKnownFraction(TimePoint now, const View &view);
    Account &account(TimePoint now, const OrganisationName &name, const Quota &quota);
    void charge(TimePoint now, const OrganisationName &name, const Quota &quota, double units);
    /** Applies a change of the units that a node reported by priority. */
    static void chargePriorities(TimePoint now, Account &account, const std::vector<double> &before,
                                 const std::vector<double> &after);
    /**
     * Returns the units that this keeper may grant in a window: those of the nodes whose usage is
     * known, and the part of the tolerance that young nodes do not grant locally.
     */
    double limitOf(const Quota &quota) const;
    /** Returns the rate and the size of the bucket that bounds what may be used at once. */
    RateLimit burstLimitOf(const Quota &quota) const;
    /** Updates whether @p name is scarce. */
    void updateScarcity(TimePoint now, const OrganisationName &name, const Quota &quota);
    void updateAllScarcity(TimePoint now, const View &view);
    /** Answers a report of @p state's node with totals of @p epoch. */
    ScarcityReport answerTo(TimePoint now, const NodeState &state, std::uint64_t epoch) const;
    ScarcityReport scarcityReport(TimePoint now, const std::set<OrganisationName> &names) const;

    Incarnation m_self;
    QuotaBounds m_bounds;
    std::optional<TimePoint> m_startedAt; ///< Time of the first message.
    std::map<NodeName, NodeState> m_nodes;
    /** Nodes that left recently may be cut off and still grant requests. */
    LargestNodeCount m_nodeCount;
    double m_knownFraction = 0; ///< Fraction of the fleet's nodes whose usage is known.
    double m_youngFraction = 0; ///< Fraction that started less than a window ago.
    /** Time since young nodes passed the age of QuotaBounds::extraBurst, averaged over all nodes.
     */
    double m_youngSeconds = 0;
    TimePoint m_fractionUpdatedAt {};
    std::map<OrganisationName, Account> m_accounts;
    std::set<OrganisationName> m_scarce;
    /** Organisations whose usage or scarcity must be announced to all nodes at once. */
    std::set<OrganisationName> m_toAnnounce;
};

} // namespace indigoway::quotas
