#include "quotakeeper.h"

#include <algorithm>

namespace indigoway::quotas {

namespace {

/**
 * The time after which a node without messages is considered unreachable; nodes send one every
 * second.
 */
constexpr Duration NodeTimeout = std::chrono::milliseconds(2000);
constexpr Duration FractionUpdateInterval = std::chrono::milliseconds(50);
/** Longer than the time for which a node repeats a query. */
constexpr Duration AnswerRetention = std::chrono::seconds(1);
/** Fractions of the margin in updateScarcity(); their gap prevents rapid changes of state. */
constexpr double ScarceBelowFraction = 0.5;
constexpr double PlentyAboveFraction = 0.75;
/**
 * Fraction of the tolerance that is granted while all nodes are young. Before they started, they
 * may have used the local fraction of it and units that were reported too late.
 */
constexpr double YoungToleranceFraction = 0.25;
/**
 * Fraction of the tolerance that makes up for units which were reserved and then not used, so that
 * the reserve does not lower the sum that is granted.
 */
constexpr double WithheldToleranceFraction = 1.0 / 8;
/** Interval of the nodes' heartbeats, whose answers state the usage. */
constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
/**
 * Fraction of a window's units after which all nodes are told the usage at once. Usage that no
 * other node knows is forgotten if the keeper and the node that had it fail together. Higher than
 * the usage in a heartbeat interval at the quota's rate.
 */
constexpr double AnnouncementFraction = 1.0 / 6;
constexpr std::size_t MaxFleetUsages = 40; // Fits into one datagram.

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

const Quota *quotaOf(const RouteTable &routes, const OrganisationName &name)
{
    const Organisation *organisation = routes.organisation(name);
    return organisation && organisation->quota ? &*organisation->quota : nullptr;
}

} // namespace

double QuotaKeeper::Account::used(TimePoint now) const
{
    const double earlier =
        limit < loweredFrom ? beforeLowering.used(now) * (1 - limit / loweredFrom) : 0;
    return std::max(0.0, counted.used(now) - earlier)
        + std::max(recorded.used(now), inherited.used(now));
}

void QuotaKeeper::Account::setLimit(TimePoint now, double units)
{
    if (units < limit && beforeLowering.used(now) <= 0) {
        beforeLowering = counted;
        loweredFrom = limit;
    }
    limit = units;
}

UrgencyReserve::FreedWithin QuotaKeeper::Account::freedAfter(TimePoint now,
                                                             const Quota &quota) const
{
    return [this, now, usedNow = used(now), perSecond = quota.perSecond](Duration time) {
        return std::min(usedNow - used(now + time), perSecond * secondsOf(time));
    };
}

UsageProfile QuotaKeeper::Account::profile(TimePoint now) const
{
    QuotaWindow sum = counted;
    sum.add(now, (recorded.used(now) > inherited.used(now) ? recorded : inherited).profile(now));
    return sum.profile(now);
}

KeeperReplies QuotaKeeper::handle(TimePoint now, const View &view, const NodeLife &from,
                                  const ToKeeper &message)
{
    m_startedAt = m_startedAt.value_or(now);
    NodeState &state = touchNode(now, from);
    if (now >= m_fractionUpdatedAt + FractionUpdateInterval) {
        updateKnownFraction(now, view);
    }
    const std::size_t scarceBefore = m_scarce.size();
    KeeperReplies replies;
    if (const auto *query = std::get_if<QuotaQuery>(&message)) {
        replies.push_back({from.node, answer(now, view, state, *query)});
    } else {
        const auto &report = std::get<UsageReport>(message);
        applyReport(now, view, state, report);
        if (report.wantsScarcity) {
            replies.push_back({from.node, answerTo(now, state, report.epoch)});
        }
    }
    if (m_scarce.size() > scarceBefore || !m_toAnnounce.empty()) {
        // Nodes hear of it with their next heartbeat otherwise, and would pass a sudden excess
        // without asking for up to a second.
        for (const auto &[node, other] : m_nodes) {
            replies.push_back({node, scarcityReport(now, m_toAnnounce)});
        }
        m_toAnnounce.clear();
    }
    return replies;
}

void QuotaKeeper::applyReport(TimePoint now, const View &view, NodeState &state,
                              const UsageReport &report)
{
    if (report.keeper != m_self) {
        return; // The report is for another keeper or for an earlier incarnation of this one.
    }
    state.nodeCount = report.nodes;
    const bool isRecord = report.hasRecord && report.epoch > state.epoch;
    if (report.epoch != state.epoch && !isRecord) {
        return; // Out of date, or part of the record that the node is going to send.
    }
    if (isRecord) {
        // Totals start again; the difference to earlier ones would count as returned units.
        state.used.clear();
    }
    for (const UsageTotal &used : report.used) {
        const Quota *quota = quotaOf(view.routes, used.organisation);
        ReportedUsage &total = state.used[used.organisation];
        if (!quota || report.sequence <= total.sequence) {
            continue;
        }
        if (isRecord) {
            applyRecord(now, *quota, account(now, used.organisation, *quota), used);
        } else {
            charge(now, used.organisation, *quota, used.units - total.units);
            chargePriorities(now, account(now, used.organisation, *quota), total.byPriority,
                             used.byPriority);
        }
        total = {used.units, used.byPriority, report.sequence};
        updateScarcity(now, used.organisation, *quota);
    }
    if (isRecord) {
        state.hasRecord = true;
        state.epoch = report.epoch;
        const Duration missing = m_bounds.window - report.recordAge.value_or(Duration(0));
        state.completeAt = std::min(state.completeAt, now + std::max(Duration(0), missing));
        updateKnownFraction(now, view);
    }
}

void QuotaKeeper::applyRecord(TimePoint now, const Quota &quota, Account &account,
                              const UsageTotal &used)
{
    account.recorded.add(now, used.granted);
    account.counted.add(now, used.local);
    // All nodes report the same usage, possibly from different times. It must not be added up, so
    // the largest report is kept.
    QuotaWindow inherited(m_bounds.window);
    inherited.add(now, used.fleet);
    if (inherited.used(now) > account.inherited.used(now)) {
        account.inherited = inherited;
    }
    // The previous keeper may have granted all of it a moment ago.
    account.burst.capLevel(std::max(0.0, burstLimitOf(quota).burst - account.used(now)));
}

QuotaAnswer QuotaKeeper::answer(TimePoint now, const View &view, NodeState &state,
                                const QuotaQuery &query)
{
    std::erase_if(state.recentAnswers,
                  [&](const auto &one) { return now > one.second.at + AnswerRetention; });
    if (const auto it = state.recentAnswers.find(query.queryId); it != state.recentAnswers.end()) {
        return it->second.answer;
    }
    const Quota *quota = quotaOf(view.routes, query.organisation);
    // Without a quota here the node has a different version of the configuration; a node asks only
    // for organisations that it knows to have a quota, so granting is safe.
    const QuotaAnswer result =
        quota ? decide(now, *quota, query) : QuotaAnswer {query.queryId, true};
    state.recentAnswers.emplace(query.queryId, CachedAnswer {result, now});
    return result;
}

QuotaAnswer QuotaKeeper::decide(TimePoint now, const Quota &quota, const QuotaQuery &query)
{
    Account &one = account(now, query.organisation, quota);
    // A request larger than the window is granted by an unused one; otherwise it would never be
    // granted.
    const double needed = std::min(query.units, unitsPerWindow(quota, m_bounds));
    // A node that states no priority knows of no reserve, as if the request were the most urgent.
    const std::uint32_t priority = query.priority.value_or(0);
    const double reserve =
        one.reserve.reserveFor(now, priority, needed, one.limit, one.freedAfter(now, quota));
    const double limit = limitOf(quota)
        + std::min(one.withheld.used(now),
                   WithheldToleranceFraction * m_knownFraction * toleranceOf(quota, m_bounds));
    const double burstLimit = burstLimitOf(quota).burst;
    const double burst = std::min(needed, burstLimit);
    const auto hasRoom = [&](TimePoint at) {
        const double refilled = quota.perSecond * secondsOf(at - now);
        return one.used(at) + needed + reserve <= limit
            && one.burst.level() + refilled >= std::min(burst + reserve, burstLimit);
    };
    one.reserve.ask(now, priority, query.units);
    if (hasRoom(now)) {
        one.reserve.grant(now, priority, query.units);
        charge(now, query.organisation, quota, query.units);
        updateScarcity(now, query.organisation, quota);
        return {query.queryId, true};
    }
    updateScarcity(now, query.organisation, quota);
    if (one.used(now) + needed <= limitOf(quota) && one.burst.level() >= burst) {
        one.withheld.charge(now, needed);
    }
    // Refused callers get successive retry times, so that they do not all compete for the same
    // units.
    const TimePoint retryAt = std::max(one.lastRetryAt, now + one.counted.timeUntil(now, hasRoom));
    const double seconds = std::chrono::duration<double>(m_bounds.window).count()
        * std::min(1.0, needed / std::max(1.0, unitsPerWindow(quota, m_bounds)));
    one.lastRetryAt =
        retryAt + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return {query.queryId, false, retryAt - now,
            QuotaState {one.used(now), limit, reserve, now - *m_startedAt}};
}

QuotaKeeper::NodeState &QuotaKeeper::touchNode(TimePoint now, const NodeLife &from)
{
    const auto [it, isNew] = m_nodes.try_emplace(from.node);
    NodeState &state = it->second;
    if (isNew || state.incarnation != from.incarnation) {
        // This keeper has counted what the node's previous incarnation granted until now, unless it
        // could not be reached.
        const bool isContinuous = !isNew && now <= state.lastMessageAt + NodeTimeout;
        const TimePoint completeAt = isContinuous ? state.completeAt : now + m_bounds.window;
        state = {};
        state.incarnation = from.incarnation;
        state.completeAt = completeAt;
    }
    state.lastMessageAt = now;
    return state;
}

void QuotaKeeper::updateKnownFraction(TimePoint now, const View &view)
{
    m_fractionUpdatedAt = now;
    // The usage of a node that can no longer be reached stays in its record until the window ends.
    std::erase_if(m_nodes, [&](const auto &one) {
        return now > one.second.lastMessageAt + NodeTimeout + m_bounds.window;
    });
    m_nodeCount.add(now, view.nodes);
    std::uint32_t largest = m_nodeCount.count(now);
    for (const auto &[node, state] : m_nodes) {
        if (now <= state.lastMessageAt + m_bounds.window) {
            largest = std::max(largest, state.nodeCount);
        }
    }
    const double nodes = std::max(1U, largest);
    double known = 0;
    double young = 0;
    double youngSeconds = 0;
    for (const auto &[node, state] : m_nodes) {
        if (now > state.lastMessageAt + NodeTimeout) {
            continue;
        }
        if (now >= state.completeAt) {
            ++known;
        } else if (state.hasRecord) {
            ++young;
            const Duration age = m_bounds.window - (state.completeAt - now);
            youngSeconds += std::max(0.0, secondsOf(age - m_bounds.extraBurst));
        }
    }
    m_knownFraction = std::min(1.0, known / nodes);
    m_youngFraction = std::min(1.0 - m_knownFraction, young / nodes);
    m_youngSeconds = young > 0 ? m_youngFraction * youngSeconds / young : 0;
    updateAllScarcity(now, view);
}

QuotaKeeper::Account &QuotaKeeper::account(TimePoint now, const OrganisationName &name,
                                           const Quota &quota)
{
    const auto it = m_accounts.try_emplace(name, m_bounds.window, burstLimitOf(quota), now).first;
    Account &one = it->second;
    one.setLimit(now, unitsPerWindow(quota, m_bounds));
    one.burst.refill(burstLimitOf(quota), now);
    return one;
}

void QuotaKeeper::charge(TimePoint now, const OrganisationName &name, const Quota &quota,
                         double units)
{
    Account &one = account(now, name, quota);
    one.counted.charge(now, units);
    one.burst.charge(burstLimitOf(quota), units);
    if (now > one.unannouncedSince + HeartbeatInterval) {
        one.unannounced = 0;
        one.unannouncedSince = now;
    }
    one.unannounced += units;
    if (one.unannounced >= AnnouncementFraction * one.limit) {
        one.unannounced = 0;
        one.unannouncedSince = now;
        m_toAnnounce.insert(name);
    }
}

void QuotaKeeper::chargePriorities(TimePoint now, Account &account,
                                   const std::vector<double> &before,
                                   const std::vector<double> &after)
{
    for (std::size_t priority = 0; priority < after.size(); ++priority) {
        const double units = after[priority] - (priority < before.size() ? before[priority] : 0);
        if (units > 0) {
            account.reserve.ask(now, static_cast<std::uint32_t>(priority), units);
        }
        if (units != 0) {
            account.reserve.grant(now, static_cast<std::uint32_t>(priority), units);
        }
    }
}

double QuotaKeeper::limitOf(const Quota &quota) const
{
    return unitsPerWindow(quota, m_bounds) * m_knownFraction
        + YoungToleranceFraction * toleranceOf(quota, m_bounds) * m_youngFraction
        + quota.perSecond * m_youngSeconds;
}

RateLimit QuotaKeeper::burstLimitOf(const Quota &quota) const
{
    const double burst = quota.burst + quota.perSecond * secondsOf(m_bounds.extraBurst);
    return {quota.perSecond, std::min(burst, unitsPerWindow(quota, m_bounds))};
}

void QuotaKeeper::updateScarcity(TimePoint now, const OrganisationName &name, const Quota &quota)
{
    // A second of the rate covers the time until nodes have heard of scarcity if the burst is
    // small.
    const double margin =
        std::min(unitsPerWindow(quota, m_bounds), std::max(quota.burst, quota.perSecond));
    const Account &one = account(now, name, quota);
    // The least urgent requests must be asked for before they use the reserve.
    const double reserve = one.reserve.largestReserve(now, one.limit, one.freedAfter(now, quota));
    const double left = std::min(limitOf(quota) - one.used(now), one.burst.level()) - reserve;
    if (left > PlentyAboveFraction * margin) {
        m_scarce.erase(name);
    } else if (left <= ScarceBelowFraction * margin && m_scarce.insert(name).second) {
        m_toAnnounce.insert(name);
    }
}

void QuotaKeeper::updateAllScarcity(TimePoint now, const View &view)
{
    for (const Organisation &organisation : view.routes.organisations()) {
        if (organisation.quota) {
            updateScarcity(now, organisation.name, *organisation.quota);
        }
    }
    const auto isGone = [&](const auto &name) {
        return !quotaOf(view.routes, name);
    };
    std::erase_if(m_scarce, isGone);
    // A quota that is removed and set again does not allow a second window's units.
    std::erase_if(m_accounts,
                  [&](const auto &one) { return isGone(one.first) && one.second.used(now) <= 0; });
}

ScarcityReport QuotaKeeper::answerTo(TimePoint now, const NodeState &state,
                                     std::uint64_t epoch) const
{
    std::set<OrganisationName> names;
    for (const auto &[name, one] : m_accounts) {
        if (names.size() < MaxFleetUsages && one.used(now) > 0) {
            names.insert(name);
        }
    }
    ScarcityReport report = scarcityReport(now, names);
    report.isRecorded = state.hasRecord && state.epoch == epoch;
    return report;
}

ScarcityReport QuotaKeeper::scarcityReport(TimePoint now,
                                           const std::set<OrganisationName> &names) const
{
    ScarcityReport report {{m_scarce.begin(), m_scarce.end()}};
    report.fleet.emplace();
    report.keeperFraction = m_knownFraction;
    for (const OrganisationName &name : names) {
        if (const auto it = m_accounts.find(name); it != m_accounts.end()) {
            report.fleet->push_back({name, it->second.profile(now)});
        }
    }
    return report;
}

} // namespace indigoway::quotas
