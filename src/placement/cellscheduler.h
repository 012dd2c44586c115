#pragma once

#include "placement/cells.h"
#include "placement/cellservers.h"

#include <indigoway/events.h>
#include <indigoway/messages.h>

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace indigoway {

class Turn;

/** A claim that is granted and not yet released, as shown to operators. */
struct GrantView
{
    ClaimNumber claim;
    NodeLife owner;
    RequestNumber request;
    std::string stage;
    ServerName server;
    Duration age {};
};

/**
 * Queues and grants the capacity claims of one cell. A granted claim occupies one decode slot of
 * the cell from the start of its prefill until its release; the decode server is chosen when the
 * prefill has ended. Waiting claims are served earliest deadline first. Claims that can no longer
 * meet their target are served after the others, but a fixed share of the grants goes to the
 * oldest of them.
 *
 * The scheduler's view of the servers is advisory: engines reject requests that exceed their
 * capacity, so two schedulers of the same cell reduce performance but not correctness.
 */
class CellScheduler
{
public:
    CellScheduler(Cell cell, const Turn &turn);

    void handleClaim(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim);
    void handlePrefillEnded(Turn &turn, PeerRequestNumber number, const PrefillEnded &ended);
    void handleRelease(Turn &turn, PeerRequestNumber number, const ReleaseClaim &release);
    void handleAdopt(Turn &turn, PeerRequestNumber number, ClaimNumber claim,
                     const AdoptClaim &adopted);
    bool hasGrant(ClaimNumber claim) const { return m_grants.contains(claim); }
    /** Removes the claim of @p identity, whether it is waiting or already granted. */
    void withdraw(Turn &turn, const ClaimIdentity &identity);

    void handleReport(Turn &turn, const ReportArrived &report);
    void handleCacheEvents(const CacheEventsArrived &events) { m_servers.applyCacheEvents(events); }
    /** Reclaims the grants of dead nodes and drops their waiting claims. */
    void reclaimFromDeadOwners(Turn &turn);
    /** Removes the load data of undeclared servers and processes the queue. */
    void handleConfigurationChanged(Turn &turn);
    /** Grants waiting claims while there is capacity and refuses those out of patience. */
    void processQueue(Turn &turn);
    /** Refuses all waiting claims because another node now schedules the cell. */
    void refuseWaiting(Turn &turn);

    std::optional<TimePoint> nextDeadline() const;
    std::vector<GrantView> grants(TimePoint now) const;
    std::size_t waitingCount() const { return m_onTime.size() + m_late.size(); }
    /**
     * Returns the claims that have been in their stage for at least @p prefillAge or
     * @p servingAge, so that their owners can be asked whether they still hold them.
     */
    std::vector<std::pair<ClaimNumber, EngineRequestName>>
    claimsOlderThan(TimePoint now, Duration prefillAge, Duration servingAge) const;
    NodeLife ownerOfClaim(ClaimNumber claim) const;
    void reclaim(Turn &turn, ClaimNumber claim);

private:
    enum class Stage {
        Prefill,
        Decode,
        Service,
    };
    struct Grant
    {
        ClaimCapacity claim;
        Stage stage = Stage::Prefill;
        ServerName server;
        TimePoint stageStartedAt {};
        bool isLongPrefill = false;
    };
    struct WaitingClaim
    {
        std::vector<PeerRequestNumber> replyNumbers; ///< Of the claim and its repetitions.
        ClaimCapacity claim;
        TimePoint arrived {};
        TimePoint deadline {};
        TimePoint giveUpAt {};
        TimePoint sortTime {};
        bool hasShortTarget = false;
        std::uint32_t cachedTokens = 0; ///< On the best server at arrival.

        std::uint32_t tokensToPrefill() const { return claim.promptTokens - cachedTokens; }
    };
    using Queue = std::list<WaitingClaim>;

    /** Answers a repeated claim, or queues the answer; returns false if the claim is new. */
    bool answerRepeated(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim);
    bool isSettled(TimePoint now) const;
    std::optional<ServerName> choosePrefill(const Turn &turn, const WaitingClaim &waiting,
                                            bool &isLongPrefill) const;
    bool hasPrefillRoom(const Turn &turn, const ServerName &server, std::uint32_t tokens) const;
    std::int64_t slotsReservedForShortTargets(const Turn &turn) const;
    void recordTarget(TimePoint now, Duration untilDeadline);
    Duration shortestTarget() const;
    /** Work that is served before a claim, and the capacity that serves it. */
    struct Backlog
    {
        std::size_t claims = 0;
        std::uint64_t tokens = 0; ///< Prompt tokens to prefill.
        std::int64_t freeSlots = 0;
        double bestPrefillSpeed = 0; ///< Of the fastest usable server, in tokens per second.
        double totalPrefillSpeed = 0;
    };
    Backlog emptyBacklog(const Turn &turn) const;
    Backlog backlogAhead(const Turn &turn, const WaitingClaim &waiting) const;
    static void addTo(Backlog &backlog, const WaitingClaim &waiting);
    /** Returns the time that a claim behind @p backlog is expected to wait for its grant. */
    Duration expectedWait(const Backlog &backlog) const;
    TimePoint expectedFirstToken(TimePoint now, const WaitingClaim &waiting,
                                 const Backlog &ahead) const;
    void refuseExpired(Turn &turn, Queue &queue, const Backlog &ahead);
    void separateLateClaims(Turn &turn);
    /** Prefill sizes that cannot be granted in the current pass over the queues. */
    struct UnplaceableClaims
    {
        /** Fewest tokens of a claim with a short target, and of any other claim. */
        std::optional<std::uint32_t> shortTargetTokens;
        std::optional<std::uint32_t> otherTokens;

        bool covers(const WaitingClaim &waiting) const;
        void add(const WaitingClaim &waiting);
    };
    bool grantNext(Turn &turn);
    bool grantFirstFrom(Turn &turn, Queue &queue, UnplaceableClaims &blocked);
    bool tryGrant(Turn &turn, const WaitingClaim &waiting);
    void enqueue(WaitingClaim waiting);
    void refuse(Turn &turn, PeerRequestNumber number, NotGranted::Reason reason,
                Duration retryAfter);
    void refuse(Turn &turn, const WaitingClaim &waiting, NotGranted::Reason reason,
                Duration retryAfter);
    void recordRelease(TimePoint now);
    void unassign(ClaimNumber number, const Grant &grant);

    Cell m_cell;
    TimePoint m_startedAt;
    CellServers m_servers;
    std::map<ClaimNumber, Grant> m_grants;
    Queue m_onTime; ///< In order of deadline and priority.
    Queue m_late;   ///< Can no longer meet their target; in order of arrival.
    std::uint64_t m_grantCount = 0;
    /**
     * Smoothed interval between releases in seconds; 0 until two releases have been observed.
     * Measured only while claims wait, since the release rate of an idle cell does not show its
     * capacity.
     */
    double m_releaseInterval = 0;
    TimePoint m_lastRelease {};
    /** Shortest first-token targets in the current and the previous window. */
    Duration m_shortestTargets[2] = {Duration::max(), Duration::max()};
    TimePoint m_targetWindowEnd {};
    std::uint64_t m_prefillInFlight = 0; ///< Granted claims without a decode server.
};

} // namespace indigoway
