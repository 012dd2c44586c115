#include "quotakeeper.h"

#include <algorithm>

namespace indigoway::quotas {

namespace {

/** Nodes tell something every second; one that is not heard for so long is cut off or gone. */
constexpr Duration HeardFor = std::chrono::milliseconds(2000);
constexpr Duration CountEvery = std::chrono::milliseconds(50);
/** A question is repeated for a fraction of a second. */
constexpr Duration AnswerKept = std::chrono::seconds(1);
/** Of the burst: below it each request is asked for, until there is clearly more again. */
constexpr double ScarceBelow = 0.5;
constexpr double PlentyAbove = 0.75;

const Quota *quotaOf(const RouteTable &routes, const OrganisationName &name)
{
    const Organisation *organisation = routes.organisation(name);
    return organisation && organisation->quota ? &*organisation->quota : nullptr;
}

} // namespace

KeeperReplies QuotaKeeper::handle(TimePoint now, const View &view, const NodeLife &from,
                                  const ToKeeper &message)
{
    if (!m_since) {
        m_since = now;
    }
    Heard &heard = hear(now, from);
    countHeard(now, view);
    const std::size_t scarceBefore = m_scarce.size();
    KeeperReplies replies;
    if (const auto *asked = std::get_if<QuotaAsked>(&message)) {
        replies.push_back({from.node, answer(now, view, heard, *asked)});
    } else {
        const auto &told = std::get<UsageTold>(message);
        take(now, view, heard, told);
        if (told.wantsStanding) {
            replies.push_back({from.node, standing()});
        }
    }
    if (m_scarce.size() > scarceBefore) {
        // With the next regular answer a node would hear of it up to a second later, and pass
        // meanwhile what a caller with many times its usual load sends.
        for (const auto &[node, other] : m_heard) {
            replies.push_back({node, standing()});
        }
    }
    return replies;
}

void QuotaKeeper::take(TimePoint now, const View &view, Heard &heard, const UsageTold &told)
{
    if (told.keeper != m_self) {
        return; // The sums are for another keeper, or an earlier life of this one.
    }
    for (const UsedSoFar &used : told.used) {
        const Quota *quota = quotaOf(view.routes, used.organisation);
        Sum &sum = heard.used[used.organisation];
        if (!quota || told.sequence <= sum.sequence) {
            continue;
        }
        account(now, used.organisation, *quota)
            .bucket.charge(sizeOf(*quota), used.units - sum.units);
        sum = {used.units, told.sequence};
        noteLevel(now, used.organisation, *quota);
    }
}

QuotaAnswered QuotaKeeper::answer(TimePoint now, const View &view, Heard &heard,
                                  const QuotaAsked &asked)
{
    std::erase_if(heard.decided, [&](const auto &one) { return now > one.second.at + AnswerKept; });
    if (const auto it = heard.decided.find(asked.ask); it != heard.decided.end()) {
        return it->second.answer;
    }
    const Quota *quota = quotaOf(view.routes, asked.organisation);
    // Without a limit here the node's copy of the desired state is another one; it lets none pass
    // that it should not, since it asks for each request only where it knows of a limit.
    const QuotaAnswered result =
        quota ? decide(now, *quota, asked) : QuotaAnswered {asked.ask, true, Duration(0)};
    heard.decided.emplace(asked.ask, Decided {result, now});
    return result;
}

QuotaAnswered QuotaKeeper::decide(TimePoint now, const Quota &quota, const QuotaAsked &asked)
{
    Account &one = account(now, asked.organisation, quota);
    const BucketSize size = sizeOf(quota);
    const bool isGranted = one.bucket.take(size, asked.units);
    noteLevel(now, asked.organisation, quota);
    if (isGranted) {
        return {asked.ask, true, Duration(0)};
    }
    // Each is told a time of its own, one after the other: all at once would find room for one.
    const TimePoint room =
        std::max(one.promisedUntil, now + one.bucket.untilRoom(size, asked.units));
    const BucketSize whole {quota.perSecond, quota.burst};
    one.promisedUntil = room + QuotaBucket(0, now).untilRoom(whole, asked.units);
    return {asked.ask, false, room - now};
}

QuotaKeeper::Heard &QuotaKeeper::hear(TimePoint now, const NodeLife &from)
{
    Heard &heard = m_heard[from.node];
    if (heard.life != from.incarnation) {
        heard = {};
        heard.life = from.incarnation;
    }
    heard.at = now;
    return heard;
}

void QuotaKeeper::countHeard(TimePoint now, const View &view)
{
    if (now < m_countedAt + CountEvery) {
        return;
    }
    // What came until now came at the part that was heard until now.
    noteAllLevels(now, view);
    m_countedAt = now;
    std::erase_if(m_heard, [&](const auto &one) { return now > one.second.at + HeardFor; });
    const auto heard = static_cast<double>(m_heard.size());
    m_part = heard / std::max(heard, static_cast<double>(view.nodes));
}

QuotaKeeper::Account &QuotaKeeper::account(TimePoint now, const OrganisationName &name,
                                           const Quota &quota)
{
    const auto it = m_accounts.try_emplace(name, Account {QuotaBucket(0, *m_since), {}}).first;
    it->second.bucket.fill(sizeOf(quota), now);
    return it->second;
}

BucketSize QuotaKeeper::sizeOf(const Quota &quota) const
{
    return {quota.perSecond * m_part, quota.burst};
}

void QuotaKeeper::noteLevel(TimePoint now, const OrganisationName &name, const Quota &quota)
{
    const double level = account(now, name, quota).bucket.level();
    if (level > PlentyAbove * quota.burst) {
        m_scarce.erase(name);
    } else if (level < ScarceBelow * quota.burst) {
        m_scarce.insert(name);
    }
}

void QuotaKeeper::noteAllLevels(TimePoint now, const View &view)
{
    for (const Organisation &organisation : view.routes.organisations()) {
        if (organisation.quota) {
            noteLevel(now, organisation.name, *organisation.quota);
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

StandingTold QuotaKeeper::standing() const
{
    return {{m_scarce.begin(), m_scarce.end()}};
}

} // namespace indigoway::quotas
