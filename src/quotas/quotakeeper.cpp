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
/** Fractions of the burst; the gap between them prevents rapid changes of state. */
constexpr double ScarceBelowFraction = 0.5;
constexpr double PlentyAboveFraction = 0.75;

const Quota *quotaOf(const RouteTable &routes, const OrganisationName &name)
{
    const Organisation *organisation = routes.organisation(name);
    return organisation && organisation->quota ? &*organisation->quota : nullptr;
}

} // namespace

KeeperReplies QuotaKeeper::handle(TimePoint now, const View &view, const NodeLife &from,
                                  const ToKeeper &message)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    NodeState &state = touchNode(now, from);
    updateReachableFraction(now, view);
    const std::size_t scarceBefore = m_scarce.size();
    KeeperReplies replies;
    if (const auto *query = std::get_if<QuotaQuery>(&message)) {
        replies.push_back({from.node, answer(now, view, state, *query)});
    } else {
        const auto &report = std::get<UsageReport>(message);
        applyReport(now, view, state, report);
        if (report.wantsScarcity) {
            replies.push_back({from.node, scarcityReport()});
        }
    }
    if (m_scarce.size() > scarceBefore) {
        // The next periodic answer could be a second away, and nodes would grant a sudden excess
        // until then.
        for (const auto &[node, other] : m_nodes) {
            replies.push_back({node, scarcityReport()});
        }
    }
    return replies;
}

void QuotaKeeper::applyReport(TimePoint now, const View &view, NodeState &state,
                              const UsageReport &report)
{
    if (report.keeper != m_self) {
        return; // The report is for another keeper or for an earlier incarnation of this one.
    }
    for (const UsageTotal &used : report.used) {
        const Quota *quota = quotaOf(view.routes, used.organisation);
        ReportedUsage &total = state.used[used.organisation];
        if (!quota || report.sequence <= total.sequence) {
            continue;
        }
        account(now, used.organisation, *quota)
            .bucket.charge(limitOf(*quota), used.units - total.units);
        total = {used.units, report.sequence};
        updateScarcity(now, used.organisation, *quota);
    }
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
        quota ? decide(now, *quota, query) : QuotaAnswer {query.queryId, true, Duration(0)};
    state.recentAnswers.emplace(query.queryId, CachedAnswer {result, now});
    return result;
}

QuotaAnswer QuotaKeeper::decide(TimePoint now, const Quota &quota, const QuotaQuery &query)
{
    Account &one = account(now, query.organisation, quota);
    const RateLimit limit = limitOf(quota);
    const bool isGranted = one.bucket.take(limit, query.units);
    updateScarcity(now, query.organisation, quota);
    if (isGranted) {
        return {query.queryId, true, Duration(0)};
    }
    // Refused callers get successive retry times, so that they do not all compete for the same
    // units.
    const TimePoint retryAt =
        std::max(one.lastRetryAt, now + one.bucket.timeUntilAvailable(limit, query.units));
    const RateLimit fleetLimit {quota.perSecond, quota.burst};
    one.lastRetryAt = retryAt + QuotaBucket(0, now).timeUntilAvailable(fleetLimit, query.units);
    return {query.queryId, false, retryAt - now};
}

QuotaKeeper::NodeState &QuotaKeeper::touchNode(TimePoint now, const NodeLife &from)
{
    NodeState &state = m_nodes[from.node];
    if (state.incarnation != from.incarnation) {
        state = {};
        state.incarnation = from.incarnation;
    }
    state.lastMessageAt = now;
    return state;
}

void QuotaKeeper::updateReachableFraction(TimePoint now, const View &view)
{
    if (now < m_fractionUpdatedAt + FractionUpdateInterval) {
        return;
    }
    // The units accrued so far count with the share of nodes reachable until now.
    updateAllScarcity(now, view);
    m_fractionUpdatedAt = now;
    std::erase_if(m_nodes,
                  [&](const auto &one) { return now > one.second.lastMessageAt + NodeTimeout; });
    const auto reachable = static_cast<double>(m_nodes.size());
    m_reachableFraction = reachable / std::max(reachable, static_cast<double>(view.nodes));
}

QuotaKeeper::Account &QuotaKeeper::account(TimePoint now, const OrganisationName &name,
                                           const Quota &quota)
{
    const auto it = m_accounts.try_emplace(name, Account {QuotaBucket(0, *m_startedAt), {}}).first;
    it->second.bucket.refill(limitOf(quota), now);
    return it->second;
}

RateLimit QuotaKeeper::limitOf(const Quota &quota) const
{
    return {quota.perSecond * m_reachableFraction, quota.burst};
}

void QuotaKeeper::updateScarcity(TimePoint now, const OrganisationName &name, const Quota &quota)
{
    const double level = account(now, name, quota).bucket.level();
    if (level > PlentyAboveFraction * quota.burst) {
        m_scarce.erase(name);
    } else if (level < ScarceBelowFraction * quota.burst) {
        m_scarce.insert(name);
    }
}

void QuotaKeeper::updateAllScarcity(TimePoint now, const View &view)
{
    for (const Organisation &organisation : view.routes.organisations()) {
        if (organisation.quota) {
            updateScarcity(now, organisation.name, *organisation.quota);
        } else {
            m_scarce.erase(organisation.name);
        }
    }
    const auto isGone = [&](const auto &name) {
        return !quotaOf(view.routes, name);
    };
    std::erase_if(m_scarce, isGone);
    std::erase_if(m_accounts, [&](const auto &one) { return isGone(one.first); });
}

ScarcityReport QuotaKeeper::scarcityReport() const
{
    return {{m_scarce.begin(), m_scarce.end()}};
}

} // namespace indigoway::quotas
