#pragma once

#include "dispatch/openrequests.h"
#include "scheduling/schedulermessages.h"

#include <map>
#include <optional>
#include <vector>

namespace indigoway::dispatch {

/**
 * This node's claims at the node that schedules the engines. Datagrams may be lost and the
 * scheduler may die, stand still or be cut off at any moment: each claim is sent again until it is
 * answered, and a scheduler that is silent is left alone for a while, in which this node chooses
 * engines by itself.
 */
class SchedulerClaims
{
public:
    /**
     * Another node, or another life of the same one, schedules from now on; nothing if none is
     * known. It is told at the next tick what this node's requests hold.
     */
    void setScheduler(std::optional<NodeName> name);
    bool isUsable(TimePoint now) const { return m_scheduler && now >= m_silentUntil; }

    /** Claims engines for @p request, which has none yet. */
    void claim(Step &step, OpenRequest &request, const DomainName &domain, Duration maxWait);
    /** Tells of room that this node found by itself. */
    void tellHeld(Step &step, OpenRequest &request);
    void prefillEnded(Step &step, const OpenRequest &request, bool isDone, bool isReachable);
    /** The request gives up its claim, or what it was granted. */
    void end(Step &step, OpenRequest &request, scheduling::ClaimOutcome how);

    /**
     * The scheduler has answered; the request whose claim it decided, if any still waits.
     * @p life: of the scheduler. A new one is told what the requests of @p requests hold.
     */
    std::optional<RequestNumber> answered(Step &step, const scheduling::FromScheduler &message,
                                          Incarnation life, OpenRequests &requests);
    /** Sends again what was not answered; the requests whose claims are void if it is silent. */
    std::vector<RequestNumber> tick(Step &step, OpenRequests &requests);
    std::optional<TimePoint> nextTick() const;
    std::size_t open() const { return m_open.size(); }

private:
    struct Open
    {
        RequestNumber request;
        scheduling::Claim message;
        TimePoint sentAt {};
        std::uint32_t unanswered = 0; ///< Times it was sent since the last answer to it.
    };

    void tellAllHeld(Step &step, OpenRequests &requests);
    static Duration repeatAfter(const Open &open);
    std::vector<RequestNumber> voidAll(Step &step);
    void send(Step &step, scheduling::ToScheduler message) const;

    std::optional<NodeName> m_scheduler;
    bool m_isTold = true; ///< The scheduler, of what this node's requests hold.
    Incarnation m_life;   ///< Of the scheduler that was last heard.
    TimePoint m_silentUntil {};
    std::map<scheduling::ClaimId, Open> m_open; ///< Not decided yet.
    std::uint64_t m_last = 0;
};

} // namespace indigoway::dispatch
