#pragma once

#include "fleet/serverdirectory.h"
#include "routing/routetable.h"
#include "scheduling/backupassigner.h"
#include "scheduling/claimqueue.h"
#include "scheduling/engineselector.h"
#include "scheduling/enginetracker.h"
#include "scheduling/grantedclaims.h"
#include "scheduling/schedulermessages.h"
#include "scheduling/schedulerstate.h"
#include "scheduling/serviceestimators.h"
#include "scheduling/waitestimator.h"

#include <map>
#include <optional>
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
        /**
         * Whether the scheduling node can't reach the store, so that engines may leave without its
         * knowledge.
         */
        bool isStoreStale = false;
    };

    SchedulerReplies handle(TimePoint now, const View &view, const NodeLife &from,
                            const ToScheduler &message);
    /** Grants claims that fit and refuses those that have waited too long. */
    SchedulerReplies tick(TimePoint now, const View &view);
    /** Returns the latest time for the next call of tick(), or nothing if there are no claims. */
    std::optional<TimePoint> nextTick(TimePoint now) const;
    /** Returns the state over the engines of all services. */
    SchedulerState state(TimePoint now, const View &view) const;
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t granted() const { return m_granted.size(); }
    std::size_t engines() const { return m_tracker.size(); }
    /** Returns the number of engines that were examined for all claims so far. */
    std::uint64_t enginesExamined() const { return m_enginesExamined; }
    std::size_t copies() const { return m_granted.copies(); }
    std::uint64_t copyTokens() const { return m_granted.copyTokens(); }
    std::uint64_t backupsGranted() const { return m_backupsGranted; }
    std::uint64_t runsMoved() const { return m_runsMoved; }
    /** Returns the estimated fraction of lost runs, the largest over all services. */
    double lossFraction(TimePoint now) const;
    /** Returns the organisations with the most waiting claims and the largest use. */
    std::vector<ClaimQueue::OrganisationState> organisations(TimePoint now) const;

private:
    void process(TimePoint now, const View &view, const ClaimKey &key, const Claim &claim,
                 SchedulerReplies &replies);
    void process(TimePoint now, const ClaimKey &key, const ReservationReport &reservation);
    void process(TimePoint now, const ClaimKey &key, const PrefillEnded &ended);
    void process(TimePoint now, const EngineFault &fault);
    void recordUnreachable(TimePoint now, const ServerName &server);
    void process(TimePoint now, const View &view, const ClaimKey &key, const ClaimEnded &ended);
    void process(TimePoint now, const PhaseChangeNotice &notice);
    /** Handles RunMoved: counts the run at its backup, and its engine as failed. */
    void moveToBackup(TimePoint now, const ClaimKey &key);
    void removeEarlierIncarnations(const NodeLife &owner, TimePoint now);
    /** Records how a run has ended for the estimates of the service and the fair queue. */
    void recordRunEnd(const GrantedClaim &granted, const ClaimEnded &ended, TimePoint now);
    void removeExpired(TimePoint now);
    /** Stops counting copies on engines that have left or no longer decode. */
    void removeLostCopies(TimePoint now, const View &view);
    void refuseOverdue(TimePoint now, SchedulerReplies &replies);
    /**
     * Returns the expected wait of a new claim.
     * @param waiting The claim, which is not in the queue yet.
     */
    WaitEstimate estimateWait(TimePoint now, const View &view, const WaitingClaim &waiting);
    /** Returns how many engines to examine in each failure domain for the current load. */
    EngineSelector::Limit engineLimit(const View &view, const ServiceName &service) const;
    const ServiceEstimators &estimatorsOf(const ServiceName &service) const;
    void grantWaiting(TimePoint now, const View &view, SchedulerReplies &replies);
    /** One pass over the claims on a service. */
    struct GrantPass
    {
        EngineSelector engines;
        /** Size of the smallest claim for which no engine has memory; 0 if there is none. */
        std::uint64_t minUnplacedTokens = 0;
        bool isMemoryShort = false; ///< Whether a claim waits for decode memory.
        bool isPrefillSaturated = false;
        /** Free memory after serving all waiting claims; negative if it doesn't suffice. */
        double spareTokens = 0;
    };
    /**
     * Grants claims on @p service to at most @p limit engines of each phase in a failure domain.
     * @param grants Receives the granted claims.
     * @return False if claims are left and some engines were not examined.
     */
    bool grantForService(TimePoint now, const View &view, const Service &service,
                         EngineSelector::Limit limit, std::vector<NewGrant> &grants);
    bool tryGrant(TimePoint now, GrantPass &pass, const ClaimKey &key, const WaitingClaim &waiting);

    EngineTracker m_tracker;
    ClaimQueue m_queue;
    GrantedClaims m_granted;
    /** Current incarnation of each node that makes claims. */
    std::map<NodeName, Incarnation> m_incarnations;
    /** Earliest next pass while more than BatchingThreshold claims wait. */
    TimePoint m_nextPass {};
    TimePoint m_nextCopyCheck {};
    WaitEstimator m_waitEstimator;
    std::map<ServiceName, ServiceEstimators> m_estimators;
    std::uint64_t m_lastRun = 0;
    std::uint64_t m_enginesExamined = 0;
    std::uint64_t m_refusedAtOnce = 0;
    std::uint64_t m_refusedAfterWait = 0;
    std::uint64_t m_backupsGranted = 0;
    std::uint64_t m_runsMoved = 0;
};

} // namespace indigoway::scheduling
