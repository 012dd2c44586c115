#pragma once

#include "fleet/serverdirectory.h"
#include "routing/routetable.h"
#include "scheduling/engineselector.h"
#include "scheduling/enginetracker.h"
#include "scheduling/schedulermessages.h"
#include "scheduling/schedulerstate.h"
#include "scheduling/serviceestimators.h"
#include "scheduling/waitestimator.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway::scheduling {

/** Reply to the node that made a claim. */
struct SchedulerReply
{
    NodeLife to;
    FromScheduler message;
};
using SchedulerReplies = std::vector<SchedulerReply>;

/**
 * Assigns claims of all nodes to the engines that generate tokens. One node runs it for the others.
 *
 * Nodes that choose engines independently don't see each other's prompts, so that some engines have
 * queues while others are idle, with decode memory reserved for the queued prompts. The scheduler
 * knows all prompts of an engine. It sends each to the engine that processes it first, and only if
 * that happens soon.
 *
 * Correctness doesn't depend on the scheduler, because engines refuse what exceeds their memory:
 * two active schedulers, or one with incomplete state, only cost time. Its state is not persistent;
 * nodes report their grants to a new scheduler.
 */
class EngineScheduler
{
public:
    /** Engines and services that the scheduling node knows. */
    struct View
    {
        const ServerDirectory &servers;
        const RouteTable &routes;
    };

    SchedulerReplies handle(TimePoint now, const View &view, const NodeLife &from,
                            const ToScheduler &message);
    /** Grants claims that fit and refuses those that have waited too long. */
    SchedulerReplies tick(TimePoint now, const View &view);
    /** Returns the latest time for the next call of tick(), or nothing if there are no claims. */
    std::optional<TimePoint> nextTick(TimePoint now) const;
    /** Returns the state over the engines of all services. */
    SchedulerState state(TimePoint now, const View &view) const;
    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t granted() const { return m_granted.size(); }
    std::size_t engines() const { return m_tracker.size(); }
    /** Returns the number of engines that were examined for all claims so far. */
    std::uint64_t enginesExamined() const { return m_enginesExamined; }

private:
    struct ClaimKey
    {
        NodeLife owner;
        ClaimId claim;
        auto operator<=>(const ClaimKey &) const = default;
    };
    struct WaitingClaim
    {
        Claim claim;
        TimePoint since {};
        TimePoint latestStart {}; ///< Latest time of a grant that meets the claim's target.
    };
    struct GrantedClaim
    {
        ServiceName service;
        RunNumber run;
        MemoryNeed memory;
        ServerName decodeServer;
        TimePoint since {};
        std::optional<TimePoint> decodeStart;
        TimePoint deadline {};
        std::optional<PrefillAssignment> prefill; ///< Set while the prompt is being processed.
        ClaimGranted reply;                       ///< Repeated if the claim is sent again.
    };
    using WaitingClaims = std::map<ClaimKey, WaitingClaim>;

    void process(TimePoint now, const View &view, const ClaimKey &key, const Claim &claim,
                 SchedulerReplies &replies);
    void process(TimePoint now, const ClaimKey &key, const ReservationReport &reservation);
    void process(TimePoint now, const ClaimKey &key, const PrefillEnded &ended);
    void process(TimePoint now, const View &view, const ClaimKey &key, const ClaimEnded &ended);
    void removeEarlierIncarnations(const NodeLife &owner, TimePoint now);
    /** Records that the prompt has been processed. */
    void beginDecode(GrantedClaim &granted, TimePoint now);
    void releaseResources(const GrantedClaim &granted, TimePoint now);
    void removeGrant(std::map<ClaimKey, GrantedClaim>::iterator it, TimePoint now);
    void removeExpired(TimePoint now);
    void refuseOverdue(TimePoint now, SchedulerReplies &replies);
    /** Expected wait of a new claim. */
    struct WaitEstimate
    {
        std::uint32_t claimsAhead = 0;
        Duration memoryWait {};       ///< Wait for memory on a decode engine.
        Duration timeToFirstEvent {}; ///< From now, including the wait.
    };
    WaitEstimate estimateWait(TimePoint now, const View &view, const Claim &claim);
    WaitEstimate estimateWait(TimePoint now, const EngineSelector &engines,
                              const Claim &claim) const;
    /**
     * Returns whether @p claim would wait too long or miss a target that it could meet on idle
     * engines.
     */
    bool shouldRefuse(TimePoint now, const Claim &claim, const WaitEstimate &expected);
    /** Returns how many engines to examine in each failure domain for the current load. */
    EngineSelector::Limit engineLimit(const View &view, const ServiceName &service) const;
    /**
     * Returns the latest time at which @p claim can be granted and meet its target on idle engines.
     */
    TimePoint latestStart(TimePoint now, const Claim &claim) const;
    const ServiceEstimators &estimatorsOf(const ServiceName &service) const;
    void grantWaiting(TimePoint now, const View &view, SchedulerReplies &replies);
    /** One pass over the claims on a service. */
    struct GrantPass
    {
        EngineSelector engines;
        /** Size of the smallest claim for which no engine has memory; 0 if there is none. */
        std::uint64_t minUnplacedTokens = 0;
        bool isPrefillSaturated = false;
        /** Free memory after serving all waiting claims; negative if it doesn't suffice. */
        double spareTokens = 0;
    };
    /**
     * Grants claims on @p service to at most @p limit engines of each phase in a failure domain.
     * @return False if claims are left and some engines were not examined.
     */
    bool grantForService(TimePoint now, const View &view, const Service &service,
                         EngineSelector::Limit limit, SchedulerReplies &replies);
    /** Returns the claims that wait for @p service in the order in which they are served. */
    std::vector<WaitingClaims::iterator> servingOrder(TimePoint now, Duration prefillWait,
                                                      const ServiceName &service);
    /**
     * Returns the memory that the waiting claims on @p service need, counting their full output.
     */
    double waitingTokens(const ServiceName &service) const;
    bool tryGrant(TimePoint now, GrantPass &pass, const ClaimKey &key, const WaitingClaim &waiting,
                  SchedulerReplies &replies);

    EngineTracker m_tracker;
    WaitingClaims m_waiting;
    std::map<ClaimKey, GrantedClaim> m_granted;
    /** Current incarnation of each node that makes claims. */
    std::map<NodeName, Incarnation> m_incarnations;
    /** Earliest next pass while more than BatchingThreshold claims wait. */
    TimePoint m_nextPass {};
    WaitEstimator m_waitEstimator;
    std::map<ServiceName, ServiceEstimators> m_estimators;
    std::uint64_t m_lastRun = 0;
    std::uint64_t m_enginesExamined = 0;
    std::uint64_t m_refusedAtOnce = 0;
    std::uint64_t m_refusedAfterWait = 0;
};

} // namespace indigoway::scheduling
