#include "quotaenforcer.h"

#include "core/deadlines.h"

#include <algorithm>
#include <utility>

namespace indigoway::quotas {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1000);
/** The retry interval of a heartbeat, longer than a round trip to a busy keeper. */
constexpr Duration HeartbeatRetryInterval = std::chrono::milliseconds(200);
/**
 * The retry interval of a query. A caller waits for its answer, and plain requests should be
 * answered within 150 ms.
 */
constexpr Duration QueryRetryInterval = std::chrono::milliseconds(40);
/**
 * Number of unanswered datagrams in a row after which the keeper is considered unreachable. A bad
 * link loses one datagram in twenty, so that three in a row are no random loss.
 */
constexpr std::uint32_t MaxUnanswered = 3;
/** The time for which an unreachable keeper is not used again. */
constexpr Duration KeeperBackoff = std::chrono::milliseconds(1000);

/**
 * Fraction of the units left that a node may use before it hears from the keeper again. Limits the
 * usage of nodes that are cut off but do not know it yet.
 */
constexpr double UnaskedFraction = 1.0 / 8;
/**
 * The same limit as a number of even shares. The lower one applies, since an eighth for each node
 * of a large fleet would be many times what is left.
 */
constexpr double UnaskedShares = 2;

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
    m_isRecorded = false;
}

bool QuotaEnforcer::isKeeperReachable(TimePoint now) const
{
    return m_keeper && !m_keeperIncarnation.isNone() && now >= m_keeperBackoffUntil;
}

QuotaDecision QuotaEnforcer::decide(TimePoint now, QuotaQueryId queryId,
                                    const OrganisationName &organisation, const Quota &quota,
                                    double units, std::optional<std::uint32_t> priority,
                                    Messages &messages)
{
    if (!isKeeperReachable(now)) {
        QuotaDecision decision;
        const bool isPassed =
            decideLocally(now, organisation, quota, units, decision.retryAfter, decision.state);
        decision.kind = isPassed ? QuotaDecision::Kind::Passed : QuotaDecision::Kind::Refused;
        return decision;
    }
    if (passesUnasked(now, organisation, quota, units)) {
        usage(organisation).granted.charge(now, units);
        addUsage(organisation, units, priority);
        reportUsage(now, organisation, messages);
        return {QuotaDecision::Kind::Passed, true, Duration(0)};
    }
    m_pendingQueries[queryId] = {organisation, quota, units, priority, now, 1, false};
    messages.emplace_back(QuotaQuery {queryId, organisation, units, priority});
    return {QuotaDecision::Kind::Pending, true, Duration(0)};
}

bool QuotaEnforcer::passesUnasked(TimePoint now, const OrganisationName &organisation,
                                  const Quota &quota, double units)
{
    if (m_scarce.contains(organisation)) {
        return false;
    }
    if (!m_isFleetUsageStated) {
        return true;
    }
    Usage &known = usage(organisation);
    const double left = m_keeperFraction * unitsPerWindow(quota, m_bounds) - known.fleet.used(now);
    const double fraction =
        std::min(UnaskedFraction,
                 UnaskedShares / std::max(1.0, static_cast<double>(m_nodeCount.count(now))));
    if (known.unasked + units > fraction * left) {
        return false;
    }
    known.unasked += units;
    known.sinceStated += units;
    return true;
}

void QuotaEnforcer::returnUnits(TimePoint now, const OrganisationName &organisation, double units,
                                std::optional<std::uint32_t> priority, Messages &messages)
{
    usage(organisation).granted.charge(now, -units);
    if (m_keeperIncarnation.isNone()) {
        return;
    }
    addUsage(organisation, -units, priority);
    reportUsage(now, organisation, messages);
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
        // A new keeper counts the usage from now on; the heartbeat has the record of that before.
        m_keeperIncarnation = incarnation;
        m_reportedUsage.clear();
        m_isRecorded = false;
        m_epoch = m_sequence + 1;
        sendHeartbeat(now, messages);
    }
    m_unansweredHeartbeats = 0;
    m_lastMessageAt = now;
    for (auto &[organisation, known] : m_usage) {
        known.unasked = 0;
    }
    if (const auto *report = std::get_if<ScarcityReport>(&message)) {
        handleScarcityReport(now, *report, messages);
        return std::nullopt;
    }
    const auto &answer = std::get<QuotaAnswer>(message);
    const auto it = m_pendingQueries.find(answer.queryId);
    if (it == m_pendingQueries.end()) {
        return std::nullopt;
    }
    const PendingQuery query = it->second;
    m_pendingQueries.erase(it);
    if (answer.isGranted) {
        Usage &known = usage(query.organisation);
        known.granted.charge(now, query.units);
        known.sinceStated += query.units;
    }
    if (query.isAbandoned) {
        if (answer.isGranted) {
            returnUnits(now, query.organisation, query.units, query.priority, messages);
        }
        return std::nullopt;
    }
    return QuotaResult {answer.queryId, answer.isGranted, true, answer.retryAfter,
                        answer.state.value_or(QuotaState {})};
}

void QuotaEnforcer::handleScarcityReport(TimePoint now, const ScarcityReport &report,
                                         Messages &messages)
{
    m_scarce = {report.scarce.begin(), report.scarce.end()};
    m_isFleetUsageStated = report.fleet.has_value();
    m_keeperFraction = report.keeperFraction;
    if (report.isRecorded) {
        // An answer to this node lists all organisations that used units.
        for (auto &[organisation, known] : m_usage) {
            known.sinceStated = 0;
        }
    }
    for (const FleetUsage &stated : report.fleet.value_or(std::vector<FleetUsage> {})) {
        Usage &known = usage(stated.organisation);
        known.sinceStated = 0;
        known.fleet = QuotaWindow(m_bounds.window);
        known.fleet.add(now, stated.used);
    }
    const bool wasRecorded = std::exchange(m_isRecorded, report.isRecorded.value_or(m_isRecorded));
    if (m_isRecorded || !report.isRecorded) {
        m_nextHeartbeatAt = std::max(m_nextHeartbeatAt, now + HeartbeatInterval);
    } else if (wasRecorded) {
        sendHeartbeat(now, messages); // The keeper has forgotten this node.
    }
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
        messages.emplace_back(
            QuotaQuery {queryId, query.organisation, query.units, query.priority});
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
                                  const Quota &quota, double units, Duration &retryAfter,
                                  QuotaState &state)
{
    Usage &known = usage(organisation);
    const double share = localShare(now, organisation, quota, known);
    if (known.local.take(now, share, units)) {
        addUsage(organisation, units, std::nullopt);
        return true;
    }
    state = {known.local.used(now), share, 0,
             m_lastMessageAt == TimePoint {} ? recordAge(now) : now - m_lastMessageAt};
    retryAfter = known.local.timeUntil(now, [&](TimePoint at) {
        return known.local.used(at) + units <= localShare(at, organisation, quota, known);
    });
    return false;
}

double QuotaEnforcer::localShare(TimePoint at, const OrganisationName &organisation,
                                 const Quota &quota, const Usage &known) const
{
    // This node may be one of many that have just restarted, each after it had used its share.
    const std::uint32_t nodes = m_nodeCount.count(at);
    if (nodes == 0 || at < m_startedAt + m_bounds.window) {
        return 0;
    }
    const double limit = unitsPerWindow(quota, m_bounds);
    double left = limit;
    double usedSince = 0;
    if (m_lastMessageAt != TimePoint {} && at < m_lastMessageAt + m_bounds.window) {
        if (m_isFleetUsageStated) {
            left = std::max(0.0, limit - known.fleet.used(at));
            usedSince = known.sinceStated;
        } else if (m_scarce.contains(organisation)) {
            return 0;
        } else {
            left = std::min(left, quota.burst);
        }
    }
    const double share = (left + LocalToleranceFraction * toleranceOf(quota, m_bounds)) / nodes;
    return std::max(0.0, share - usedSince);
}

QuotaEnforcer::Usage &QuotaEnforcer::usage(const OrganisationName &organisation)
{
    return m_usage.try_emplace(organisation, m_bounds.window).first->second;
}

Duration QuotaEnforcer::recordAge(TimePoint now) const
{
    return std::clamp(now - m_startedAt, Duration(0), m_bounds.window);
}

void QuotaEnforcer::addUsage(const OrganisationName &organisation, double units,
                             std::optional<std::uint32_t> priority)
{
    UsageTotal &total = m_reportedUsage[organisation];
    total.organisation = organisation;
    total.units += units;
    if (priority) {
        const std::size_t index = std::min(*priority, MaxPriorities - 1);
        total.byPriority.resize(std::max(total.byPriority.size(), index + 1));
        total.byPriority[index] += units;
    }
}

void QuotaEnforcer::reportUsage(TimePoint now, const OrganisationName &organisation,
                                Messages &messages)
{
    messages.emplace_back(UsageReport {m_keeperIncarnation,
                                       ++m_sequence,
                                       false,
                                       {m_reportedUsage[organisation]},
                                       recordAge(now),
                                       false,
                                       m_epoch});
}

void QuotaEnforcer::sendHeartbeat(TimePoint now, Messages &messages)
{
    UsageReport heartbeat {m_keeperIncarnation, ++m_sequence, true, {}, recordAge(now)};
    heartbeat.epoch = m_epoch;
    heartbeat.nodes = m_nodeCount.count(now);
    heartbeat.hasRecord = !m_isRecorded && !m_keeperIncarnation.isNone();
    constexpr std::size_t MaxTotals = 40; // Fits into one datagram.
    std::erase_if(m_usage, [&](const auto &one) {
        const Usage &known = one.second;
        return known.granted.used(now) + known.local.used(now) + known.fleet.used(now) <= 0
            && !m_reportedUsage.contains(one.first);
    });
    for (const auto &[organisation, known] : m_usage) {
        if (heartbeat.used.size() >= MaxTotals) {
            heartbeat.recordAge = Duration(0); // The record is not complete.
            break;
        }
        const auto total = m_reportedUsage.find(organisation);
        UsageTotal used =
            total == m_reportedUsage.end() ? UsageTotal {organisation} : total->second;
        if (heartbeat.hasRecord) {
            used.granted = known.granted.profile(now);
            used.local = known.local.profile(now);
            used.fleet = known.fleet.profile(now);
        }
        heartbeat.used.push_back(std::move(used));
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
        QuotaResult result;
        result.queryId = queryId;
        result.isGranted = decideLocally(now, query.organisation, query.quota, query.units,
                                         result.retryAfter, result.state);
        results.push_back(result);
    }
    m_pendingQueries.clear();
    return results;
}

} // namespace indigoway::quotas
