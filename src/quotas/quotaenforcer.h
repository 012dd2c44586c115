#pragma once

#include "quotas/quotamessages.h"
#include "quotas/quotawindow.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway::quotas {

/** The decision on a request; messages for the keeper are returned separately. */
struct QuotaDecision
{
    enum class Kind {
        Passed,
        Pending, ///< The keeper's answer decides.
        Refused,
    };
    Kind kind = Kind::Passed;
    /** True if the keeper counts the request, so that unused units must be returned. */
    bool isCounted = false;
    Duration retryAfter {}; ///< Retry delay of a refused request.
    QuotaState state = {};  ///< Of a refused request.
};

/** The result of a query to the keeper. */
struct QuotaResult
{
    QuotaQueryId queryId;
    bool isGranted = false;
    bool isCounted = false; ///< As in QuotaDecision.
    Duration retryAfter {};
    QuotaState state = {};
};

/**
 * Enforces the quotas of organisations at one node together with the fleet's QuotaKeeper. While the
 * keeper is unreachable, the node grants requests locally from an equal share of the units that the
 * keeper last stated as left in the window, of those freed since, and of half of the tolerance. The
 * shares of all nodes together stay within the tolerance even if all nodes are cut off from each
 * other.
 *
 * The node keeps its own usage in the window, and reports it to a keeper that does not know it.
 */
class QuotaEnforcer
{
public:
    using Messages = std::vector<ToKeeper>;

    /** @param startedAt the start of this node, which does not know its usage before */
    QuotaEnforcer(QuotaBounds bounds, TimePoint startedAt)
        : m_bounds(bounds)
        , m_startedAt(startedAt)
        , m_nodeCount(bounds.window)
    { }

    /**
     * Sets the keeper, or none. setEnabled() enables the exchange with it while any quota is
     * configured.
     */
    void setKeeper(std::optional<NodeName> keeper);
    void setEnabled(bool isEnabled) { m_isEnabled = isEnabled; }
    /** Sets the number of nodes that share the quotas while the keeper is unreachable. */
    void setNodeCount(std::uint32_t nodes, TimePoint now) { m_nodeCount.add(now, nodes); }

    /**
     * Decides whether a request of @p units may run.
     * @param queryId the id of the query if the keeper must be asked
     * @param priority the request's priority; if absent, no units are reserved against it
     * @param messages receives the messages for the keeper
     */
    QuotaDecision decide(TimePoint now, QuotaQueryId queryId, const OrganisationName &organisation,
                         const Quota &quota, double units, std::optional<std::uint32_t> priority,
                         Messages &messages);
    /** Returns the units of a request that the keeper has counted but that did not run. */
    void returnUnits(TimePoint now, const OrganisationName &organisation, double units,
                     std::optional<std::uint32_t> priority, Messages &messages);
    /** Abandons a query whose caller has left; units granted for it are returned. */
    void abandonQuery(QuotaQueryId queryId);
    /**
     * Handles a message from the keeper.
     * @param incarnation the incarnation of the keeper
     * @return the result of a query, if the message answers one that has not been abandoned
     */
    std::optional<QuotaResult> handleMessage(TimePoint now, const FromKeeper &message,
                                             Incarnation incarnation, Messages &messages);
    /**
     * Sends due heartbeats and repeated queries.
     * @return the queries decided locally because the keeper does not answer
     */
    std::vector<QuotaResult> tick(TimePoint now, Messages &messages);
    /** Returns the time at which tick() must be called next. */
    std::optional<TimePoint> nextTick() const;
    bool isKeeperReachable(TimePoint now) const;

private:
    struct PendingQuery
    {
        OrganisationName organisation;
        Quota quota;
        double units = 0;
        std::optional<std::uint32_t> priority;
        TimePoint sentAt {};
        std::uint32_t sendCount = 0;
        bool isAbandoned = false;
    };

    /** The usage of an organisation in the window as known to this node. */
    struct Usage
    {
        explicit Usage(Duration window)
            : granted(window)
            , local(window)
            , fleet(window)
        { }
        QuotaWindow granted; ///< By requests of this node that a keeper counted.
        QuotaWindow local;   ///< By requests that this node granted without a keeper.
        QuotaWindow fleet;   ///< By all nodes as the keeper last stated it.
        /** Units passed without asking since the last message of the keeper. */
        double unasked = 0;
        /** Units granted by the keeper, or unasked, since it last stated the usage of all nodes. */
        double sinceStated = 0;
    };

    /** Returns whether a request may pass without asking the keeper. */
    bool passesUnasked(TimePoint now, const OrganisationName &organisation, const Quota &quota,
                       double units);
    bool decideLocally(TimePoint now, const OrganisationName &organisation, const Quota &quota,
                       double units, Duration &retryAfter, QuotaState &state);
    /** Returns the units that this node may grant locally in the window that ends at @p at. */
    double localShare(TimePoint at, const OrganisationName &organisation, const Quota &quota,
                      const Usage &known) const;
    Usage &usage(const OrganisationName &organisation);
    void handleScarcityReport(TimePoint now, const ScarcityReport &report, Messages &messages);
    void addUsage(const OrganisationName &organisation, double units,
                  std::optional<std::uint32_t> priority);
    void reportUsage(TimePoint now, const OrganisationName &organisation, Messages &messages);
    /** Returns the time that the record of this node's usage covers. */
    Duration recordAge(TimePoint now) const;
    void sendHeartbeat(TimePoint now, Messages &messages);
    std::vector<QuotaResult> decideAllLocally(TimePoint now);

    QuotaBounds m_bounds;
    TimePoint m_startedAt {};
    /** Counts nodes for a window after they left, since others may not know of that yet. */
    LargestNodeCount m_nodeCount;
    bool m_isEnabled = false;
    std::optional<NodeName> m_keeper;
    Incarnation m_keeperIncarnation;          ///< None until the keeper has answered.
    TimePoint m_lastMessageAt {};             ///< Time of its last message.
    TimePoint m_nextHeartbeatAt {};           ///< Time of the next heartbeat.
    std::uint32_t m_unansweredHeartbeats = 0; ///< Consecutive unanswered heartbeats.
    TimePoint m_keeperBackoffUntil {};
    std::uint64_t m_sequence = 0;
    std::set<OrganisationName> m_scarce;
    /** Units reported to the current incarnation of the keeper. */
    std::map<OrganisationName, UsageTotal> m_reportedUsage;
    std::map<OrganisationName, Usage> m_usage;
    /** True if the keeper has the record of this node's usage. */
    bool m_isRecorded = false;
    /** True if the keeper states the usage of all nodes. */
    bool m_isFleetUsageStated = false;
    double m_keeperFraction = 0; ///< As in ScarcityReport.
    std::uint64_t m_epoch = 0;   ///< As in UsageReport.
    std::map<QuotaQueryId, PendingQuery> m_pendingQueries;
};

} // namespace indigoway::quotas
