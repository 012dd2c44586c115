#pragma once

#include "quotas/quotabucket.h"
#include "ratelimits/ratelimitmessages.h"

#include <indigoway/ids.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace indigoway::ratelimits {

/**
 * Issues the permits of all nodes for servers that announce a request rate limit; one node of the
 * fleet runs it, the one that schedules the engines.
 *
 * Tells all nodes of each limit once, with little delay. A node that misses the notice learns of
 * the limit from an answer of the server.
 *
 * A new rate limiter doesn't know the earlier requests, so its buckets start empty and a change of
 * the limiter grants no second burst. The state is not persistent: each query carries the limit.
 */
class RateLimiter
{
public:
    /** Handles a message; returns the answer to a query. */
    std::optional<PermitAnswer> handle(TimePoint now, const NodeLife &from,
                                       const ToRateLimiter &message);
    /** The maximum number of limits in one notice, which must fit into a datagram. */
    static constexpr std::size_t MaxNoticeSize = 12;
    /** Returns the next notice for all nodes, or nothing if there is none. */
    std::optional<LimitNotice> takeNotice(TimePoint now);
    /** Returns all current limits, for a node that has started. */
    std::vector<LimitNotice> currentLimits(TimePoint now) const;
    bool hasNotice() const { return !m_unannounced.empty(); }
    std::size_t servers() const { return m_accounts.size(); }
    std::uint64_t granted() const { return m_granted; }
    std::uint64_t refused() const { return m_refused; }

    /** Returns the burst of a limit of @p perSecond; the server wants its requests spread out. */
    static double burstOf(double perSecond);
    /**
     * Returns the rate at which permits are issued. Without any request a server that announces 0
     * could not tell that its limit has ended.
     */
    static double effectiveRate(double perSecond);

private:
    struct Account
    {
        quotas::QuotaBucket bucket;
        double perSecond = 0;
        TimePoint announcedAt {};
        /** Set while the server has no limit any more. */
        std::optional<TimePoint> endedAt {};
        TimePoint lastRetryAt {}; ///< Latest retry time given to a node that was refused.
        TimePoint lastQueryAt {};
    };
    struct AnswerKey
    {
        NodeLife node;
        PermitId id;
        auto operator<=>(const AnswerKey &) const = default;
    };
    struct CachedAnswer
    {
        AnswerKey key;
        TimePoint at {};
    };

    Account &update(TimePoint now, const KnownLimit &limit);
    PermitAnswer decide(TimePoint now, const PermitQuery &query);
    void endLimit(TimePoint now, const ServerName &server);
    void removeExpired(TimePoint now);

    std::map<ServerName, Account> m_accounts;
    std::deque<ServerName> m_unannounced;        ///< Limits that nodes have not been told of.
    std::map<AnswerKey, PermitAnswer> m_answers; ///< Recent answers, for repeated queries.
    std::deque<CachedAnswer> m_answerOrder;      ///< Oldest first.
    TimePoint m_accountsCheckedAt {};
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
};

} // namespace indigoway::ratelimits
