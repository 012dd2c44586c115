#pragma once

#include "quotas/quotabucket.h"
#include "quotas/quotamessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway::quotas {

/** By how much a quota may be passed in a window, since no node sees all others at once. */
struct QuotaBounds
{
    Duration window = std::chrono::seconds(10);
    double over = 0;  ///< Of what the quota allows in a window.
    double slack = 0; ///< In the quota's units, beyond that.
};

/** What a node does about one request; the keeper is told in @c messages. */
struct QuotaDecision
{
    enum class Kind {
        Passed,
        Asked, ///< The keeper's answer decides.
        Refused,
    };
    Kind kind = Kind::Passed;
    bool isCounted = false; ///< By the keeper: what is not used is to be given back.
    Duration roomAfter {};  ///< Of one that is refused.
};

/** A question has come to its end. */
struct QuotaVerdict
{
    QuotaAskId ask;
    bool isGranted = false;
    bool isCounted = false; ///< As above.
    Duration roomAfter {};
};

/**
 * A node's part in keeping the organisations to their quotas, which count over all nodes: see
 * QuotaKeeper. While the keeper is silent the node gives out its even share of each rate by
 * itself, and of each burst and of half of what the bound allows beyond: the shares of all nodes
 * add up to the bound, however many are cut off from each other.
 */
class QuotaGate
{
public:
    using Messages = std::vector<ToKeeper>;

    explicit QuotaGate(QuotaBounds bounds)
        : m_bounds(bounds)
    { }

    /** Another keeper, or none; quotas are @p wanted while the desired state has any. */
    void setKeeper(std::optional<NodeName> keeper);
    void setWanted(bool isWanted) { m_isWanted = isWanted; }
    /** That share the quotas while no keeper is heard. */
    void setNodes(std::uint32_t nodes) { m_nodes = nodes; }

    /** @p ask names the request if it comes to a question. */
    QuotaDecision decide(TimePoint now, QuotaAskId ask, const OrganisationName &organisation,
                         const Quota &quota, double units, Messages &messages);
    /** A request that the keeper has counted has not been run. */
    void giveBack(const OrganisationName &organisation, double units, Messages &messages);
    /** Nobody waits for the answer any more; what it grants is given back. */
    void dropQuestion(QuotaAskId ask);
    /** The keeper, in life @p life, has told something. */
    std::optional<QuotaVerdict> answered(TimePoint now, const FromKeeper &message, Incarnation life,
                                         Messages &messages);
    /** Says what is due; the questions that the keeper has left unanswered. */
    std::vector<QuotaVerdict> tick(TimePoint now, Messages &messages);
    /** When tick() is wanted at the latest. */
    std::optional<TimePoint> nextTick() const;
    bool hearsKeeper(TimePoint now) const;

private:
    struct Question
    {
        OrganisationName organisation;
        Quota quota;
        double units = 0;
        TimePoint sentAt {};
        std::uint32_t sent = 0;
        bool isDropped = false;
    };

    bool decideAlone(TimePoint now, const OrganisationName &organisation, const Quota &quota,
                     double units, Duration &roomAfter);
    BucketSize ownShare(const Quota &quota) const;
    QuotaBucket &ownBucket(TimePoint now, const OrganisationName &organisation, const Quota &quota);
    void tellUsed(const OrganisationName &organisation, Messages &messages);
    void sendHeartbeat(TimePoint now, Messages &messages);
    std::vector<QuotaVerdict> decideAllAlone(TimePoint now);

    QuotaBounds m_bounds;
    std::uint32_t m_nodes = 0;
    bool m_isWanted = false;
    std::optional<NodeName> m_keeper;
    Incarnation m_keeperLife;       ///< None until it is heard.
    TimePoint m_heardAt {};         ///< Its standing, the last time.
    TimePoint m_heartbeatAt {};     ///< The next one.
    std::uint32_t m_unanswered = 0; ///< Of the heartbeats, in a row.
    TimePoint m_silentUntil {};
    std::uint64_t m_sequence = 0;
    std::set<OrganisationName> m_scarce;
    std::map<OrganisationName, double> m_used; ///< For the keeper's present life.
    std::map<OrganisationName, QuotaBucket> m_own;
    std::map<QuotaAskId, Question> m_questions;
};

} // namespace indigoway::quotas
