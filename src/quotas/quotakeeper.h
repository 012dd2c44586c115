#pragma once

#include "quotas/quotabucket.h"
#include "quotas/quotamessages.h"
#include "routing/routetable.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway::quotas {

/** A message to a node. */
struct KeeperReply
{
    NodeName to;
    FromKeeper message;
};
using KeeperReplies = std::vector<KeeperReply>;

/**
 * Counts what all nodes use of the organisations' quotas: one node runs it for the others.
 *
 * An organisation with plenty left costs its callers no wait: nodes pass its requests and tell
 * what they used. Once half of its burst is gone, nodes are told at once, and ask for each of its
 * requests from then on, so that what is beyond the quota is refused to the token, and what is
 * not is served, whichever nodes the callers come to.
 *
 * A new keeper knows nothing of what was used before, so its buckets begin empty: a keeper that
 * changes hands gives nobody a second burst. Of the rate it gives out the part of the nodes that
 * it hears; those that it does not hear give out theirs by themselves (QuotaGate).
 */
class QuotaKeeper
{
public:
    /** What the node that runs it knows of the fleet. */
    struct View
    {
        const RouteTable &routes;
        std::uint32_t nodes = 0; ///< That serve callers.
    };

    explicit QuotaKeeper(Incarnation self)
        : m_self(self)
    { }

    KeeperReplies handle(TimePoint now, const View &view, const NodeLife &from,
                         const ToKeeper &message);
    /** Organisations whose requests are asked for one by one. */
    std::size_t scarce() const { return m_scarce.size(); }

private:
    /** What a node has used of an organisation's quota, as it told last. */
    struct Sum
    {
        double units = 0;
        std::uint64_t sequence = 0; ///< Of the message that told it.
    };
    struct Decided
    {
        QuotaAnswered answer;
        TimePoint at {};
    };
    /** A node that has told something. */
    struct Heard
    {
        Incarnation life;
        TimePoint at {};
        std::map<OrganisationName, Sum> used;
        std::map<QuotaAskId, Decided> decided; ///< Of late, for questions that are repeated.
    };
    /** All nodes together. */
    struct Account
    {
        QuotaBucket bucket;
        TimePoint promisedUntil {}; ///< Those that were refused have been told times up to here.
    };

    void take(TimePoint now, const View &view, Heard &heard, const UsageTold &told);
    QuotaAnswered answer(TimePoint now, const View &view, Heard &heard, const QuotaAsked &asked);
    QuotaAnswered decide(TimePoint now, const Quota &quota, const QuotaAsked &asked);
    Heard &hear(TimePoint now, const NodeLife &from);
    void countHeard(TimePoint now, const View &view);
    Account &account(TimePoint now, const OrganisationName &name, const Quota &quota);
    BucketSize sizeOf(const Quota &quota) const;
    /** Whether @p name is scarce from now on. */
    void noteLevel(TimePoint now, const OrganisationName &name, const Quota &quota);
    void noteAllLevels(TimePoint now, const View &view);
    StandingTold standing() const;

    Incarnation m_self;
    std::optional<TimePoint> m_since; ///< When it was first told something.
    std::map<NodeName, Heard> m_heard;
    double m_part = 0; ///< Of the fleet's nodes that are heard.
    TimePoint m_countedAt {};
    std::map<OrganisationName, Account> m_accounts;
    std::set<OrganisationName> m_scarce;
};

} // namespace indigoway::quotas
