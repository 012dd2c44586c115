#pragma once

#include "quotas/quotabucket.h"
#include "ratelimits/announcedratelimits.h"
#include "ratelimits/ratelimitmessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace indigoway::ratelimits {

enum class PermitDecision {
    Granted,
    Pending, ///< The rate limiter's answer decides.
    Refused,
};

/** The result of a pending permit. */
struct PermitResult
{
    RequestNumber request;
    ServerName server;
    bool isGranted = false;
    bool hasLimitEnded = false; ///< The server has no limit any more.
};

/**
 * Obtains the permits of one node for requests to servers that announce a rate limit. The limit
 * holds for all nodes together, so the fleet's RateLimiter issues the permits. While it is
 * unreachable, the node issues them from its own share of the limit.
 */
class ServerPermits
{
public:
    using Messages = std::vector<ToRateLimiter>;

    /** Sets the node that runs the rate limiter, or none. */
    void setLimiter(std::optional<NodeName> limiter);
    /** Sets the number of nodes that share the limits while the rate limiter is unreachable. */
    void setNodeCount(std::uint32_t nodes) { m_nodeCount = nodes; }

    /** Records the limit in an answer, see AnnouncedRateLimits::record(). */
    bool record(const ServerName &server, std::optional<double> perSecond, TimePoint callStarted,
                TimePoint now, Messages &messages);
    /** Removes an incarnation of a server that has been replaced by the next. */
    void forget(const ServerName &server);
    /**
     * Removes the limits of servers that ended long ago. The entry of a server may expire and
     * return while the store is unreachable, so its limit outlasts the entry.
     */
    void removeGone(TimePoint now, const std::function<bool(const ServerName &)> &isKnown);
    bool isLimited(const ServerName &server) const { return m_limits.find(server) != nullptr; }
    /** Returns the time until which @p server gets no requests of this node, if there is one. */
    std::optional<TimePoint> blockedUntil(const ServerName &server, TimePoint now) const;
    bool hasBlockedServers(TimePoint now) const;
    /** Returns the servers that get no requests of this node now. */
    std::vector<ServerName> blockedServers(TimePoint now) const;
    bool isLimiterReachable(TimePoint now) const { return m_limiter && now >= m_backoffUntil; }
    std::size_t limitedServers() const { return m_limits.size(); }

    /**
     * Requests a permit to send @p request to @p server. A server without a limit needs none.
     * @param messages receives the messages for the rate limiter
     */
    PermitDecision request(TimePoint now, RequestNumber request, const ServerName &server,
                           Messages &messages);
    /** Abandons the pending permit of a request that has ended. */
    void abandon(RequestNumber request);
    /** Returns the result of a pending permit, if the message answers one. */
    std::optional<PermitResult> handleAnswer(TimePoint now, const PermitAnswer &answer);
    /**
     * Records limits that servers have announced to other nodes.
     * @return the limits that are new to this node
     */
    std::vector<KnownLimit> handleNotice(TimePoint now, const LimitNotice &notice);
    /**
     * Repeats queries that are not answered.
     * @return the permits decided locally, because the rate limiter does not answer or the server
     * has no limit any more
     */
    std::vector<PermitResult> tick(TimePoint now, Messages &messages);
    /** Returns the time at which tick() must be called next. */
    std::optional<TimePoint> nextTick() const;

private:
    struct PendingPermit
    {
        RequestNumber request;
        ServerName server;
        TimePoint sentAt {};
        std::uint32_t sendCount = 0;
    };

    KnownLimit knownLimit(TimePoint now, const ServerName &server) const;
    bool decideLocally(TimePoint now, const ServerName &server);
    std::vector<PermitResult> decideAllLocally(TimePoint now);
    /** Grants the pending permits for servers that have no limit any more. */
    std::vector<PermitResult> takeUnlimited();
    void endLimit(const ServerName &server);

    AnnouncedRateLimits m_limits;
    std::uint32_t m_nodeCount = 0;
    std::optional<NodeName> m_limiter;
    TimePoint m_backoffUntil {};
    std::map<ServerName, TimePoint> m_blockedUntil;
    std::map<ServerName, quotas::QuotaBucket> m_localBuckets;
    std::map<PermitId, PendingPermit> m_pending;
    std::uint64_t m_lastPermit = 0;
    TimePoint m_goneCheckedAt {};
};

} // namespace indigoway::ratelimits
