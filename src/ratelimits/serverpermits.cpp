#include "serverpermits.h"

#include "core/deadlines.h"
#include "ratelimits/ratelimiter.h"

#include <algorithm>

namespace indigoway::ratelimits {

namespace {

/** The retry interval of a query; a caller waits for its answer. */
constexpr Duration QueryRetryInterval = std::chrono::milliseconds(40);
constexpr std::uint32_t MaxQueries = 3;
/** The time for which a rate limiter that did not answer is not used. */
constexpr Duration LimiterBackoff = std::chrono::seconds(1);
/**
 * Part of a limit that nodes use without the rate limiter, which may be issuing the whole limit to
 * the nodes that reach it.
 */
constexpr double LocalFraction = 0.5;
constexpr double LocalBurst = 1; ///< Requests.
/** Longer than outages of the store after which servers return. */
constexpr Duration GoneRetention = std::chrono::minutes(10);
constexpr Duration GoneCheckInterval = std::chrono::seconds(10);

} // namespace

void ServerPermits::setLimiter(std::optional<NodeName> limiter)
{
    if (limiter != m_limiter) {
        m_limiter = std::move(limiter);
        m_backoffUntil = {};
    }
}

bool ServerPermits::record(const ServerName &server, std::optional<double> perSecond,
                           TimePoint callStarted, TimePoint now, Messages &messages)
{
    const bool isFirst = perSecond && !m_limits.find(server);
    const bool isChange = m_limits.record(server, perSecond, callStarted, now);
    if (isFirst) {
        messages.emplace_back(LimitStarted {knownLimit(now, server)});
    }
    if (isChange && !perSecond) {
        endLimit(server);
        messages.emplace_back(LimitEnded {server});
    }
    return isChange;
}

void ServerPermits::forget(const ServerName &server)
{
    m_limits.forget(server);
    endLimit(server);
}

void ServerPermits::removeGone(TimePoint now,
                               const std::function<bool(const ServerName &)> &isKnown)
{
    if (now < m_goneCheckedAt + GoneCheckInterval) {
        return;
    }
    m_goneCheckedAt = now;
    for (const ServerName &server : m_limits.announcedBefore(now - GoneRetention)) {
        if (!isKnown(server)) {
            forget(server);
        }
    }
}

void ServerPermits::endLimit(const ServerName &server)
{
    m_blockedUntil.erase(server);
    m_localBuckets.erase(server);
}

std::optional<TimePoint> ServerPermits::blockedUntil(const ServerName &server, TimePoint now) const
{
    const auto it = m_blockedUntil.find(server);
    return it != m_blockedUntil.end() && now < it->second ? std::optional(it->second)
                                                          : std::nullopt;
}

bool ServerPermits::hasBlockedServers(TimePoint now) const
{
    return std::ranges::any_of(m_blockedUntil, [now](const auto &one) { return now < one.second; });
}

std::vector<ServerName> ServerPermits::blockedServers(TimePoint now) const
{
    std::vector<ServerName> servers;
    for (const auto &[server, until] : m_blockedUntil) {
        if (now < until) {
            servers.push_back(server);
        }
    }
    return servers;
}

PermitDecision ServerPermits::request(TimePoint now, RequestNumber request,
                                      const ServerName &server, Messages &messages)
{
    if (!isLimited(server)) {
        return PermitDecision::Granted;
    }
    if (blockedUntil(server, now)) {
        return PermitDecision::Refused;
    }
    if (!isLimiterReachable(now)) {
        return decideLocally(now, server) ? PermitDecision::Granted : PermitDecision::Refused;
    }
    const PermitId id(++m_lastPermit);
    m_pending[id] = {request, server, now, 1};
    messages.emplace_back(PermitQuery {id, knownLimit(now, server)});
    return PermitDecision::Pending;
}

KnownLimit ServerPermits::knownLimit(TimePoint now, const ServerName &server) const
{
    const AnnouncedLimit *limit = m_limits.find(server);
    return limit ? KnownLimit {server, limit->perSecond, now - limit->announcedAt}
                 : KnownLimit {server, 0, Duration(0)};
}

void ServerPermits::abandon(RequestNumber request)
{
    std::erase_if(m_pending, [request](const auto &one) { return one.second.request == request; });
}

std::optional<PermitResult> ServerPermits::handleAnswer(TimePoint now, const PermitAnswer &answer)
{
    const auto it = m_pending.find(answer.id);
    if (it == m_pending.end()) {
        return std::nullopt;
    }
    const PendingPermit pending = it->second;
    m_pending.erase(it);
    // While the rate limiter answers, the local share does not accumulate beside its permits.
    m_localBuckets.insert_or_assign(pending.server, quotas::QuotaBucket(0, now));
    if (answer.hasLimitEnded) {
        forget(pending.server);
    } else if (!answer.isGranted) {
        m_blockedUntil[pending.server] = now + answer.retryAfter;
    }
    return PermitResult {pending.request, pending.server, answer.isGranted, answer.hasLimitEnded};
}

std::vector<KnownLimit> ServerPermits::handleNotice(TimePoint now, const LimitNotice &notice)
{
    std::vector<KnownLimit> newLimits;
    for (const KnownLimit &limit : notice.limits) {
        if (!isLimited(limit.server)) {
            newLimits.push_back(limit);
        }
        m_limits.recordNotice(limit.server, {limit.perSecond, now - limit.announcedAgo});
    }
    return newLimits;
}

std::vector<PermitResult> ServerPermits::tick(TimePoint now, Messages &messages)
{
    std::vector<PermitResult> results = takeUnlimited();
    if (m_pending.empty()) {
        return results;
    }
    bool isLimiterSilent = !m_limiter;
    for (auto &[id, pending] : m_pending) {
        if (now < pending.sentAt + QueryRetryInterval) {
            continue;
        }
        if (pending.sendCount >= MaxQueries) {
            isLimiterSilent = true;
            continue;
        }
        ++pending.sendCount;
        pending.sentAt = now;
        messages.emplace_back(PermitQuery {id, knownLimit(now, pending.server)});
    }
    if (isLimiterSilent) {
        m_backoffUntil = now + LimiterBackoff;
        const std::vector<PermitResult> local = decideAllLocally(now);
        results.insert(results.end(), local.begin(), local.end());
    }
    return results;
}

std::vector<PermitResult> ServerPermits::takeUnlimited()
{
    std::vector<PermitResult> results;
    std::erase_if(m_pending, [&](const auto &one) {
        const PendingPermit &pending = one.second;
        if (isLimited(pending.server)) {
            return false;
        }
        results.push_back({pending.request, pending.server, true, false});
        return true;
    });
    return results;
}

std::optional<TimePoint> ServerPermits::nextTick() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, pending] : m_pending) {
        next = earlier(next, pending.sentAt + QueryRetryInterval);
    }
    return next;
}

bool ServerPermits::decideLocally(TimePoint now, const ServerName &server)
{
    const AnnouncedLimit *limit = m_limits.find(server);
    if (!limit) {
        return true;
    }
    const double fraction = m_limiter ? LocalFraction : 1;
    const double nodes = std::max(m_nodeCount, 1U);
    const quotas::RateLimit share {RateLimiter::effectiveRate(limit->perSecond) * fraction / nodes,
                                   LocalBurst};
    quotas::QuotaBucket &bucket =
        m_localBuckets.try_emplace(server, quotas::QuotaBucket(0, now)).first->second;
    bucket.refill(share, now);
    if (bucket.take(share, 1)) {
        return true;
    }
    m_blockedUntil[server] = now + std::min(bucket.timeUntilAvailable(share, 1), LimiterBackoff);
    return false;
}

std::vector<PermitResult> ServerPermits::decideAllLocally(TimePoint now)
{
    std::vector<PermitResult> results;
    for (const auto &[id, pending] : m_pending) {
        results.push_back(
            {pending.request, pending.server, decideLocally(now, pending.server), false});
    }
    m_pending.clear();
    return results;
}

} // namespace indigoway::ratelimits
