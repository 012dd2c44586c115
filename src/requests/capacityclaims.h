#pragma once

#include "core/deadlines.h"
#include "placement/cells.h"

#include <indigoway/events.h>
#include <indigoway/ids.h>
#include <indigoway/messages.h>

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace indigoway {

class Turn;

/** The claim is granted: @p server runs the prefill, or the whole request of a plain service. */
struct ClaimGranted
{
    RequestNumber request;
    ServerName server;
};

/** @p server is assigned to decode the prefill's result. */
struct DecodeChosen
{
    RequestNumber request;
    ServerName server;
};

struct ClaimRefused
{
    RequestNumber request;
    NotGranted::Reason reason = NotGranted::Reason::Overload;
    Duration retryAfter {};
};

/** No scheduler can be reached; the request has to be placed locally. */
struct SchedulerUnreachable
{
    RequestNumber request;
};

using ClaimResult = std::variant<ClaimGranted, DecodeChosen, ClaimRefused, SchedulerUnreachable>;

/**
 * Makes this node's capacity claims at the cells' schedulers, one per request at a time. Moves
 * claims when a cell gets another scheduler, and releases claims that are no longer needed.
 */
class CapacityClaims
{
public:
    /**
     * Requests capacity from the cell's scheduler.
     *
     * @return a result if no scheduler can be reached; otherwise handleAnswer() returns it later
     */
    std::optional<ClaimResult> requestCapacity(Turn &turn, const ClaimCapacity &wanted);
    /**
     * Reports a finished prefill to the scheduler and requests the decode server.
     *
     * @return a result if the claim was lost with its scheduler; otherwise handleAnswer() returns
     *         it later
     */
    std::optional<ClaimResult> reportPrefillSuccess(Turn &turn, RequestNumber request,
                                                    Duration elapsed,
                                                    const std::vector<ServerName> &avoid);
    /** Reports a failed prefill to the scheduler, which ends the claim. */
    void reportPrefillFailure(Turn &turn, RequestNumber request);
    /** Releases the request's claim in any state; does nothing if there is none. */
    void release(Turn &turn, RequestNumber request, std::uint32_t tokens, Duration decodeTime,
                 bool serverFailed);

    std::optional<ClaimResult> handleAnswer(Turn &turn, PeerCallNumber call,
                                            const PeerOutcome &outcome);
    /** Withdraws the claims that wait at @p node, which did not answer a probe. */
    std::vector<ClaimResult> handleSilentScheduler(Turn &turn, const NodeName &node);
    /** Moves the claims whose scheduler has changed or died. */
    std::vector<ClaimResult> handleMembersChanged(Turn &turn);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    /** Returns and clears the schedulers that should be probed because a claim waits long. */
    std::set<NodeName> takeSchedulersToProbe() { return std::exchange(m_schedulersToProbe, {}); }
    bool isWaiting(RequestNumber request) const;
    std::size_t count() const { return m_claims.size(); }

private:
    enum class State {
        Waiting, ///< Sent and not answered.
        Held,
        Assigning, ///< Waiting for the decode server.
        Adopting,  ///< Sent to a new scheduler and not answered.
    };
    struct Claim
    {
        ClaimCapacity wanted;
        State state = State::Waiting;
        NodeLife scheduler;
        PeerCallNumber call;
        ClaimNumber number;
        ServerName server;
        std::optional<PrefillEnded> prefillEnded; ///< Sent once the claim is adopted.
        int sends = 0;
    };
    struct Release
    {
        NodeLife scheduler;
        ReleaseClaim message;
        int attempts = 0;
    };
    enum class Timer {
        ProbeScheduler,
        RetryRelease,
    };
    using TimerKey = std::pair<Timer, std::uint64_t>;

    /** Sends the claim; returns false if the scheduler is not reachable. */
    bool sendClaim(Turn &turn, Claim &claim);
    bool isReachable(const Turn &turn, const NodeName &node) const;
    void sendRelease(Turn &turn, Release release);
    /** Releases a claim at a scheduler that may or may not have granted it. */
    void withdraw(Turn &turn, const Claim &claim);
    ReleaseClaim releaseMessage(const Claim &claim) const;
    std::optional<ClaimResult> handleClaimReply(Turn &turn, Claim &claim,
                                                const PeerOutcome &outcome);
    std::optional<ClaimResult> handleWaitingReply(Turn &turn, Claim &claim,
                                                  const PeerOutcome &outcome);
    std::optional<ClaimResult> handleAssigningReply(Turn &turn, Claim &claim,
                                                    const PeerReply *reply);
    std::optional<ClaimResult> handleAdoptingReply(Turn &turn, Claim &claim,
                                                   const PeerReply *reply);
    void requestAdoption(Turn &turn, Claim &claim, const NodeLife &next);
    NodeLife schedulerFor(const Turn &turn, const ClaimCapacity &wanted) const;

    std::map<RequestNumber, Claim> m_claims;
    std::map<PeerCallNumber, RequestNumber> m_calls;
    std::map<PeerCallNumber, Release> m_releases;
    std::map<std::uint64_t, Release> m_releasesToRetry;
    std::uint64_t m_lastRetry = 0;
    Deadlines<TimerKey> m_timers;
    std::set<NodeName> m_schedulersToProbe;
    std::map<NodeName, TimePoint> m_unreachableUntil;
};

} // namespace indigoway
