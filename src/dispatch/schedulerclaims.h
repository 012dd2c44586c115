#pragma once

#include "dispatch/dispatchstate.h"
#include "scheduling/schedulermessages.h"

#include <map>
#include <optional>
#include <vector>

namespace indigoway::dispatch {

/**
 * Manages this node's claims at the scheduler node. Datagrams may be lost and the scheduler may
 * fail, so claims are repeated until they are answered. Each repetition names the engines that this
 * node must not use at that time. After repeated silence the scheduler is not used for a while, and
 * this node chooses engines itself.
 */
class SchedulerClaims
{
public:
    explicit SchedulerClaims(const DispatchState &state)
        : m_state(state)
    { }

    /**
     * Sets the scheduler, or nothing if none is known. The reservations of this node are reported
     * to it at the next tick.
     */
    void setScheduler(std::optional<NodeName> name);
    bool isAvailable(TimePoint now) const { return m_scheduler && now >= m_unavailableUntil; }

    /** Sends a claim for @p request, which must not have one. */
    void claim(Step &step, OpenRequest &request, const DomainName &domain, Duration maxWait);
    /** Sends a claim for an engine to which the run of @p request can be moved. */
    void claimTarget(Step &step, OpenRequest &request, const DomainName &domain, Duration maxWait);
    /** Ends the claim for an engine to which the run should have been moved. */
    void endTarget(Step &step, OpenRequest &request, scheduling::ClaimOutcome result);
    /** Makes the claim for the target the claim of @p request, whose run continues there. */
    void adoptTarget(Step &step, OpenRequest &request, scheduling::ClaimOutcome result);
    /** Reports a reservation that this node made without a claim. */
    void reportReservation(Step &step, OpenRequest &request);
    /** Reports that the run of @p request continues on its backup. */
    void runMoved(Step &step, const OpenRequest &request);
    /** Reports how the call to the prefill engine has ended. */
    void prefillEnded(Step &step, const OpenRequest &request, bool isDone, CallEnd end);
    /** Ends the claim of @p request and releases what it was granted. */
    void end(Step &step, OpenRequest &request, scheduling::ClaimOutcome result);

    /**
     * Handles an answer of the scheduler. All reservations in @p requests are reported to a new
     * incarnation.
     * @param life The incarnation of the scheduler.
     * @return The request whose claim was decided, if it still waits.
     */
    std::optional<RequestNumber> answered(Step &step, const scheduling::FromScheduler &message,
                                          Incarnation life, OpenRequests &requests);
    /**
     * Repeats claims without a decision. Claims are removed from their requests when they are
     * withdrawn.
     * @return The requests whose claims were withdrawn because the scheduler is silent.
     */
    std::vector<RequestNumber> tick(Step &step, OpenRequests &requests);
    std::optional<TimePoint> nextTick() const;
    std::size_t open() const { return m_pending.size(); }

private:
    struct PendingClaim
    {
        RequestNumber request;
        scheduling::Claim message;
        /** Engines that are excluded for as long as the claim waits. */
        std::vector<ServerName> failedServers;
        TimePoint sentAt {};          ///< Time of the last message or answer.
        std::uint32_t unanswered = 0; ///< Repetitions since the last answer.
        /** Time at which the first of the blocked engines may be used; nothing if none is. */
        std::optional<TimePoint> usableAt;
    };

    scheduling::Claim makeClaim(const Step &step, const OpenRequest &request,
                                const DomainName &domain, Duration maxWait);
    void add(Step &step, const OpenRequest &request, scheduling::Claim message,
             std::vector<ServerName> failedServers);
    /** Excludes the engines that this node must not use now, and sends the claim. */
    void sendClaim(Step &step, PendingClaim &pending) const;
    void reportAllReservations(Step &step, OpenRequests &requests);
    /** Returns when a claim without a decision is sent again. */
    static TimePoint repeatTime(const PendingClaim &pending);
    std::vector<RequestNumber> withdrawAll(Step &step, OpenRequests &requests);
    void send(Step &step, scheduling::ToScheduler message) const;

    const DispatchState &m_state;
    std::optional<NodeName> m_scheduler;
    /** Whether the reservations of this node were reported to the scheduler. */
    bool m_hasReportedReservations = true;
    Incarnation m_schedulerIncarnation; ///< Of the scheduler that answered last.
    TimePoint m_unavailableUntil {};
    std::map<scheduling::ClaimId, PendingClaim> m_pending; ///< Claims without a decision.
    std::uint64_t m_lastClaim = 0;
};

} // namespace indigoway::dispatch
