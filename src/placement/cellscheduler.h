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

/** A claim that was granted and not yet released, as operators see it. */
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
 * Grants the capacity of one cell. A claim holds a decode slot of the cell from before its
 * prefill until its release; which decode server it is, is decided when the prefill has ended.
 * Waiting claims are served earliest deadline first; those that can no longer meet their target
 * come after those that can, but a fixed share of grants goes to the oldest of them.
 *
 * What is known here is a help, not a guard: engines refuse what does not fit them, and a second
 * scheduler of the same cell costs performance, never correctness.
 */
class CellScheduler
{
public:
    CellScheduler(Cell cell, const Turn &turn);

    void claim(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim);
    void prefillEnded(Turn &turn, PeerRequestNumber number, const PrefillEnded &ended);
    void release(Turn &turn, PeerRequestNumber number, const ReleaseClaim &release);
    void adopt(Turn &turn, PeerRequestNumber number, ClaimNumber claim, const AdoptClaim &adopted);
    bool holds(ClaimNumber claim) const { return m_grants.contains(claim); }
    /** Drops a claim whose owner has not heard of its grant, granted or not. */
    void withdraw(Turn &turn, const ClaimIdentity &identity);

    void report(Turn &turn, const ReportArrived &report);
    void cacheEvents(const CacheEventsArrived &events) { m_servers.cacheEvents(events); }
    /** Releases what dead nodes held and refuses what they waited for. */
    void dropDeadOwners(Turn &turn);
    /** Takes in servers added and removed. */
    void configurationChanged(Turn &turn);
    /** Grants what can be granted and refuses what has waited too long. */
    void pump(Turn &turn);
    /** Refuses all that wait: the cell is now another node's. */
    void handOver(Turn &turn);

    std::optional<TimePoint> nextDeadline() const;
    std::vector<GrantView> grants(TimePoint now) const;
    std::size_t waiting() const { return m_onTime.size() + m_late.size(); }
    /** Claims older than @p age, for the check whether their owners still know them. */
    std::vector<std::pair<ClaimNumber, EngineRequestName>>
    olderThan(TimePoint now, Duration prefillAge, Duration servingAge) const;
    NodeLife ownerOfClaim(ClaimNumber claim) const;
    void releaseLost(Turn &turn, ClaimNumber claim);

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
        TimePoint since {};
        bool isLong = false;
    };
    struct Waiting
    {
        std::vector<PeerRequestNumber> numbers; ///< Of the call, and of its repetitions.
        ClaimCapacity claim;
        TimePoint arrived {};
        TimePoint deadline {};
        TimePoint giveUpAt {};
        TimePoint order {};
        bool isShort = false;
        std::uint32_t cachedTokens = 0; ///< On the best server, when it came.

        std::uint32_t tokensToPrefill() const { return claim.promptTokens - cachedTokens; }
    };
    using Queue = std::list<Waiting>;

    /** Answers a claim that was made before; false if this one is new. */
    bool isRepetition(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim);
    bool isSettled(TimePoint now) const;
    std::optional<ServerName> choosePrefill(const Turn &turn, const Waiting &waiting,
                                            bool &isLong) const;
    bool hasPrefillRoom(const Turn &turn, const ServerName &server, std::uint32_t tokens) const;
    std::int64_t reserveForShort(const Turn &turn) const;
    void noteTarget(TimePoint now, Duration untilDeadline);
    Duration shortTarget() const;
    /** What waits before a claim, and what there is to serve it; made once per pass. */
    struct Backlog
    {
        std::size_t claims = 0;
        std::uint64_t tokens = 0; ///< Prompt tokens, those being prefilled included.
        std::int64_t freeSlots = 0;
        double bestSpeed = 0; ///< Tokens a second of the fastest usable prefill server.
        double totalSpeed = 0;
    };
    Backlog backlog(const Turn &turn) const;
    Backlog backlogBefore(const Turn &turn, const Waiting &waiting) const;
    static void addTo(Backlog &backlog, const Waiting &waiting);
    /** How long a claim behind @p backlog is expected to wait for its grant. */
    Duration waitBehind(const Backlog &backlog) const;
    TimePoint expectedFirstToken(TimePoint now, const Waiting &waiting, const Backlog &ahead) const;
    void giveUp(Turn &turn, Queue &queue, const Backlog &ahead);
    void markLate(Turn &turn);
    /** What one pass over the queues found that cannot be granted now. */
    struct Blocked
    {
        std::optional<std::uint32_t> shortTokens; ///< Short claims from this many tokens on.
        std::optional<std::uint32_t> longTokens;

        bool covers(const Waiting &waiting) const;
        void add(const Waiting &waiting);
    };
    bool grantNext(Turn &turn);
    bool grantFirstFrom(Turn &turn, Queue &queue, Blocked &blocked);
    bool tryGrant(Turn &turn, const Waiting &waiting);
    void enqueue(Waiting waiting);
    void refuse(Turn &turn, PeerRequestNumber number, NotGranted::Reason reason,
                Duration retryAfter);
    void refuse(Turn &turn, const Waiting &waiting, NotGranted::Reason reason, Duration retryAfter);
    void noteRelease(TimePoint now);
    void unassign(ClaimNumber number, const Grant &grant);

    Cell m_cell;
    TimePoint m_since;
    CellServers m_servers;
    std::map<ClaimNumber, Grant> m_grants;
    Queue m_onTime; ///< By deadline and priority.
    Queue m_late;   ///< Cannot meet their target any more; by arrival.
    std::uint64_t m_grantCount = 0;
    /** Between releases while claims wait, smoothed, in seconds; 0 before two such. Taken only
     * then: the pace of an idle cell says nothing of its capacity. */
    double m_releaseInterval = 0;
    TimePoint m_lastRelease {};
    Duration m_shortTargets[2] = {Duration::max(), Duration::max()};
    TimePoint m_shortWindowEnd {};
    std::uint64_t m_prefillInFlight = 0; ///< Claims without a decode server yet.
};

} // namespace indigoway
