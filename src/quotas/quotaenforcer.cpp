#include "quotaenforcer.h"

#include "core/deadlines.h"

#include <algorithm>

namespace indigoway::quotas {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1000);
/** The retry interval of a heartbeat, longer than a round trip to a busy keeper. */
constexpr Duration HeartbeatRetryInterval = std::chrono::milliseconds(200);
/** The retry interval of a query; a caller waits for its answer. */
constexpr Duration QueryRetryInterval = std::chrono::milliseconds(40);
/** Number of unanswered datagrams in a row after which the keeper is considered unreachable. */
constexpr std::uint32_t MaxUnanswered = 3;
/** The time for which an unreachable keeper is not used again. */
constexpr Duration KeeperBackoff = std::chrono::milliseconds(1000);
/** Fraction of the tolerance that nodes may use locally; the rest covers usage reported late. */
constexpr double LocalToleranceFraction = 0.5;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void QuotaEnforcer::setKeeper(std::optional<NodeName> keeper)
{
    if (keeper == m_keeper) {
        return;
    }
    m_keeper = std::move(keeper);
    m_keeperIncarnation = {};
    m_nextHeartbeatAt = {};
    m_unansweredHeartbeats = 0;
    m_keeperBackoffUntil = {};
}

bool QuotaEnforcer::isKeeperReachable(TimePoint now) const
{
    return m_keeper && !m_keeperIncarnation.isNone() && now >= m_keeperBackoffUntil;
}

QuotaDecision QuotaEnforcer::decide(TimePoint now, QuotaQueryId queryId,
                                    const OrganisationName &organisation, const Quota &quota,
                                    double units, Messages &messages)
{
    if (!isKeeperReachable(now)) {
        QuotaDecision decision;
        const bool isPassed = decideLocally(now, organisation, quota, units, decision.retryAfter);
        decision.kind = isPassed ? QuotaDecision::Kind::Passed : QuotaDecision::Kind::Refused;
        return decision;
    }
    if (!m_scarce.contains(organisation)) {
        m_reportedUsage[organisation] += units;
        reportUsage(organisation, messages);
        return {QuotaDecision::Kind::Passed, true, Duration(0)};
    }
    // A scarce organisation starts with an empty local bucket if the keeper becomes unreachable
    // now.
    m_localBuckets.insert_or_assign(organisation, QuotaBucket(0, now));
    m_pendingQueries[queryId] = {organisation, quota, units, now, 1, false};
    messages.emplace_back(QuotaQuery {queryId, organisation, units});
    return {QuotaDecision::Kind::Pending, true, Duration(0)};
}

void QuotaEnforcer::returnUnits(const OrganisationName &organisation, double units,
                                Messages &messages)
{
    if (m_keeperIncarnation.isNone()) {
        return;
    }
    m_reportedUsage[organisation] -= units;
    reportUsage(organisation, messages);
}

void QuotaEnforcer::abandonQuery(QuotaQueryId queryId)
{
    const auto it = m_pendingQueries.find(queryId);
    if (it != m_pendingQueries.end()) {
        it->second.isAbandoned = true;
    }
}

std::optional<QuotaResult> QuotaEnforcer::handleMessage(TimePoint now, const FromKeeper &message,
                                                        Incarnation incarnation, Messages &messages)
{
    if (incarnation != m_keeperIncarnation) {
        // A new keeper starts with empty buckets and counts the usage from now on.
        m_keeperIncarnation = incarnation;
        m_reportedUsage.clear();
    }
    m_unansweredHeartbeats = 0;
    m_lastMessageAt = now;
    if (const auto *report = std::get_if<ScarcityReport>(&message)) {
        m_scarce = {report->scarce.begin(), report->scarce.end()};
        m_nextHeartbeatAt = std::max(m_nextHeartbeatAt, now + HeartbeatInterval);
        return std::nullopt;
    }
    const auto &answer = std::get<QuotaAnswer>(message);
    const auto it = m_pendingQueries.find(answer.queryId);
    if (it == m_pendingQueries.end()) {
        return std::nullopt;
    }
    const PendingQuery query = it->second;
    m_pendingQueries.erase(it);
    if (query.isAbandoned) {
        if (answer.isGranted) {
            returnUnits(query.organisation, query.units, messages);
        }
        return std::nullopt;
    }
    return QuotaResult {answer.queryId, answer.isGranted, true, answer.retryAfter};
}

std::vector<QuotaResult> QuotaEnforcer::tick(TimePoint now, Messages &messages)
{
    if (!m_isEnabled || !m_keeper) {
        return decideAllLocally(now);
    }
    if (now >= m_nextHeartbeatAt) {
        sendHeartbeat(now, messages);
    }
    bool isKeeperUnreachable = m_unansweredHeartbeats > MaxUnanswered;
    for (auto &[queryId, query] : m_pendingQueries) {
        if (now < query.sentAt + QueryRetryInterval) {
            continue;
        }
        if (query.sendCount >= MaxUnanswered) {
            isKeeperUnreachable = true;
            continue;
        }
        ++query.sendCount;
        query.sentAt = now;
        messages.emplace_back(QuotaQuery {queryId, query.organisation, query.units});
    }
    if (!isKeeperUnreachable) {
        return {};
    }
    m_keeperBackoffUntil = now + KeeperBackoff;
    return decideAllLocally(now);
}

std::optional<TimePoint> QuotaEnforcer::nextTick() const
{
    if (!m_isEnabled || !m_keeper) {
        return std::nullopt;
    }
    std::optional<TimePoint> next = m_nextHeartbeatAt;
    for (const auto &[queryId, query] : m_pendingQueries) {
        next = earlier(next, query.sentAt + QueryRetryInterval);
    }
    return next;
}

bool QuotaEnforcer::decideLocally(TimePoint now, const OrganisationName &organisation,
                                  const Quota &quota, double units, Duration &retryAfter)
{
    QuotaBucket &bucket = localBucket(now, organisation, quota);
    const RateLimit limit = localShare(quota);
    if (bucket.take(limit, units)) {
        return true;
    }
    retryAfter = bucket.timeUntilAvailable(limit, units);
    return false;
}

RateLimit QuotaEnforcer::localShare(const Quota &quota) const
{
    if (m_nodeCount == 0) {
        return {};
    }
    const double unitsInWindow = quota.perSecond * secondsOf(m_bounds.window) + quota.burst;
    const double tolerance = m_bounds.over * unitsInWindow + m_bounds.slack;
    return {quota.perSecond / m_nodeCount,
            (quota.burst + LocalToleranceFraction * tolerance) / m_nodeCount};
}

QuotaBucket &QuotaEnforcer::localBucket(TimePoint now, const OrganisationName &organisation,
                                        const Quota &quota)
{
    // Without any answer from a keeper this node may be one of many that have just restarted, each
    // after it had used its share.
    const bool startsFull = m_lastMessageAt != TimePoint {} && !m_scarce.contains(organisation);
    const RateLimit limit = localShare(quota);
    const auto it =
        m_localBuckets.try_emplace(organisation, QuotaBucket(startsFull ? limit.burst : 0, now))
            .first;
    it->second.refill(limit, now);
    return it->second;
}

void QuotaEnforcer::reportUsage(const OrganisationName &organisation, Messages &messages)
{
    messages.emplace_back(UsageReport {
        m_keeperIncarnation, ++m_sequence, false, {{organisation, m_reportedUsage[organisation]}}});
}

void QuotaEnforcer::sendHeartbeat(TimePoint now, Messages &messages)
{
    UsageReport heartbeat {m_keeperIncarnation, ++m_sequence, true, {}};
    constexpr std::size_t MaxTotals = 40; // Fits into one datagram.
    for (const auto &[organisation, units] : m_reportedUsage) {
        if (heartbeat.used.size() < MaxTotals) {
            heartbeat.used.push_back({organisation, units});
        }
    }
    messages.emplace_back(std::move(heartbeat));
    ++m_unansweredHeartbeats;
    m_nextHeartbeatAt =
        now + (m_unansweredHeartbeats > MaxUnanswered ? HeartbeatInterval : HeartbeatRetryInterval);
}

std::vector<QuotaResult> QuotaEnforcer::decideAllLocally(TimePoint now)
{
    std::vector<QuotaResult> results;
    for (const auto &[queryId, query] : m_pendingQueries) {
        if (query.isAbandoned) {
            continue;
        }
        QuotaResult result {queryId, false, false, Duration(0)};
        result.isGranted =
            decideLocally(now, query.organisation, query.quota, query.units, result.retryAfter);
        results.push_back(result);
    }
    m_pendingQueries.clear();
    return results;
}

} // namespace indigoway::quotas
