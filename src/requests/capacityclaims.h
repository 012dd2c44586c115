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

/** The claim was granted: @p server prefills it, or serves it if it is a plain service's. */
struct ClaimGranted
{
    RequestNumber request;
    ServerName server;
};

/** The prefill's result goes to @p server. */
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

/** No scheduler answers; whoever asked has to decide alone. */
struct SchedulerUnreachable
{
    RequestNumber request;
};

using ClaimResult = std::variant<ClaimGranted, DecodeChosen, ClaimRefused, SchedulerUnreachable>;

/**
 * This node's side of the claims that schedulers grant: one per request at a time. Follows a
 * cell to its next scheduler, and gives back what is granted too late to be wanted.
 */
class CapacityClaims
{
public:
    /** Asks for capacity; a ClaimResult follows, or is returned if no scheduler can be asked. */
    std::optional<ClaimResult> claim(Turn &turn, const ClaimCapacity &wanted);
    /**
     * Tells the scheduler that the prefill is done; a ClaimResult with the server follows. It is
     * returned at once if the claim was lost with its scheduler.
     */
    std::optional<ClaimResult> prefillSucceeded(Turn &turn, RequestNumber request, Duration elapsed,
                                                const std::vector<ServerName> &avoid);
    /** Tells the scheduler that the prefill failed, which ends the claim. */
    void prefillFailed(Turn &turn, RequestNumber request);
    /** Ends the claim whatever its state; nothing if there is none. */
    void release(Turn &turn, RequestNumber request, std::uint32_t tokens, Duration decodeTime,
                 bool serverFailed);

    std::optional<ClaimResult> handleAnswer(Turn &turn, PeerCallNumber call,
                                            const PeerOutcome &outcome);
    /** @p node let a probe go unanswered: claims that wait for it are given up for now. */
    std::vector<ClaimResult> schedulerSilent(Turn &turn, const NodeName &node);
    /** Moves claims whose scheduler has changed or died. */
    std::vector<ClaimResult> membersChanged(Turn &turn);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    /** Schedulers that have let a claim wait long enough to be worth a probe. */
    std::set<NodeName> takeDoubted() { return std::exchange(m_doubted, {}); }
    bool isWaiting(RequestNumber request) const;
    std::size_t count() const { return m_claims.size(); }

private:
    enum class State {
        Waiting, ///< Asked for, not answered.
        Held,
        Assigning, ///< Waits for the decode server.
        Adopting,  ///< Made known to a new scheduler, not answered.
    };
    struct Claim
    {
        ClaimCapacity wanted;
        State state = State::Waiting;
        NodeLife scheduler;
        PeerCallNumber call;
        ClaimNumber number;
        ServerName server;
        std::optional<PrefillEnded> afterAdoption; ///< The prefill ended meanwhile.
        int asks = 0;
    };
    struct Release
    {
        NodeLife scheduler;
        ReleaseClaim message;
        int tries = 0;
    };
    enum class Timer {
        Doubt,
        Retry,
    };
    using TimerKey = std::pair<Timer, std::uint64_t>;

    /** False if the scheduler is known not to answer. */
    bool sendClaim(Turn &turn, Claim &claim);
    bool isAnswering(const Turn &turn, const NodeName &node) const;
    void sendRelease(Turn &turn, Release release);
    /** Takes back a claim that was not answered; the scheduler may or may not have granted it. */
    void withdraw(Turn &turn, const Claim &claim);
    ReleaseClaim releaseOf(const Claim &claim) const;
    std::optional<ClaimResult> answered(Turn &turn, Claim &claim, const PeerOutcome &outcome);
    std::optional<ClaimResult> claimAnswered(Turn &turn, Claim &claim, const PeerOutcome &outcome);
    std::optional<ClaimResult> assignAnswered(Turn &turn, Claim &claim, const PeerReply *reply);
    std::optional<ClaimResult> adoptAnswered(Turn &turn, Claim &claim, const PeerReply *reply);
    void adoptElsewhere(Turn &turn, Claim &claim, const NodeLife &next);
    NodeLife schedulerFor(const Turn &turn, const ClaimCapacity &wanted) const;

    std::map<RequestNumber, Claim> m_claims;
    std::map<PeerCallNumber, RequestNumber> m_calls;
    std::map<PeerCallNumber, Release> m_releases;
    std::map<std::uint64_t, Release> m_releasesToRetry;
    std::uint64_t m_lastRetry = 0;
    Deadlines<TimerKey> m_timers;
    std::set<NodeName> m_doubted;
    std::map<NodeName, TimePoint> m_silentUntil;
};

} // namespace indigoway
