#pragma once

#include "quotas/quotabucket.h"
#include "quotas/quotamessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway::quotas {

/**
 * The tolerance by which the usage in a time window may exceed a quota, since no node knows the
 * usage of all others at any moment.
 */
struct QuotaBounds
{
    Duration window = std::chrono::seconds(10);
    double over = 0;  ///< Fraction of the quota's units in a window.
    double slack = 0; ///< Further units beyond that.
};

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
};

/** The result of a query to the keeper. */
struct QuotaResult
{
    QuotaQueryId queryId;
    bool isGranted = false;
    bool isCounted = false; ///< As in QuotaDecision.
    Duration retryAfter {};
};

/**
 * Enforces the quotas of organisations at one node together with the fleet's QuotaKeeper. While the
 * keeper is unreachable, the node grants requests locally from an equal share of each rate, each
 * burst and half of the tolerance; the shares of all nodes together stay within the tolerance even
 * if all nodes are cut off from each other.
 */
class QuotaEnforcer
{
public:
    using Messages = std::vector<ToKeeper>;

    explicit QuotaEnforcer(QuotaBounds bounds)
        : m_bounds(bounds)
    { }

    /**
     * Sets the keeper, or none. setEnabled() enables the exchange with it while any quota is
     * configured.
     */
    void setKeeper(std::optional<NodeName> keeper);
    void setEnabled(bool isEnabled) { m_isEnabled = isEnabled; }
    /** Sets the number of nodes that share the quotas while the keeper is unreachable. */
    void setNodeCount(std::uint32_t nodes) { m_nodeCount = nodes; }

    /**
     * Decides whether a request of @p units may run.
     * @param queryId the id of the query if the keeper must be asked
     * @param messages receives the messages for the keeper
     */
    QuotaDecision decide(TimePoint now, QuotaQueryId queryId, const OrganisationName &organisation,
                         const Quota &quota, double units, Messages &messages);
    /** Returns the units of a request that the keeper has counted but that did not run. */
    void returnUnits(const OrganisationName &organisation, double units, Messages &messages);
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
        TimePoint sentAt {};
        std::uint32_t sendCount = 0;
        bool isAbandoned = false;
    };

    bool decideLocally(TimePoint now, const OrganisationName &organisation, const Quota &quota,
                       double units, Duration &retryAfter);
    RateLimit localShare(const Quota &quota) const;
    QuotaBucket &localBucket(TimePoint now, const OrganisationName &organisation,
                             const Quota &quota);
    void reportUsage(const OrganisationName &organisation, Messages &messages);
    void sendHeartbeat(TimePoint now, Messages &messages);
    std::vector<QuotaResult> decideAllLocally(TimePoint now);

    QuotaBounds m_bounds;
    std::uint32_t m_nodeCount = 0;
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
    std::map<OrganisationName, double> m_reportedUsage;
    std::map<OrganisationName, QuotaBucket> m_localBuckets;
    std::map<QuotaQueryId, PendingQuery> m_pendingQueries;
};

} // namespace indigoway::quotas
