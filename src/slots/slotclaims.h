#pragma once

#include "slots/slotmessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway::slots {

/** The decision on a claim. */
struct SlotDecision
{
    enum class Kind {
        Granted,
        Refused,
        Local, ///< The scheduler does not respond: the node chooses the server itself.
    };

    RequestNumber request;
    SlotClaimId claim;
    Kind kind = Kind::Local;
    ServerName server;        ///< Of a grant.
    Duration expectedWait {}; ///< Of a refusal.
    Duration waited {};       ///< Time since the claim was made.
};

/**
 * Manages one node's claims of slots at the scheduler of plain services. Claims are made only for
 * services with a server that reports its speed. Claims are repeated until they are answered; while
 * the scheduler does not respond, the node chooses servers itself.
 */
class SlotClaims
{
public:
    using Messages = std::vector<ToPlainScheduler>;

    /** Sets the node that runs the scheduler, or none. Open claims move to it. */
    void setScheduler(std::optional<NodeName> scheduler);
    /** Records the load in an answer of @p server. */
    void recordLoad(const ServiceName &service, const ServerName &server, const ServerLoad &load,
                    TimePoint now);
    /** Removes a server that has ended. */
    void forget(const ServerName &server);
    /** Returns whether a server of @p service reports its speed. */
    bool isScheduled(const ServiceName &service) const { return m_reporting.contains(service); }
    bool isAvailable() const { return m_scheduler && !m_isSilent; }

    /**
     * Claims a slot for @p request; isAvailable() must be true.
     * @param claim All members but the id.
     */
    SlotClaimId claim(TimePoint now, RequestNumber request, SlotClaim claim, Messages &messages);
    /**
     * Records a slot of a server that the node has chosen itself, and reports it to the scheduler.
     * A scheduler that does not respond gets the loads that the node has seen instead, at most once
     * a second; its answer ends the silence.
     */
    SlotClaimId holdLocally(TimePoint now, RequestNumber request, SlotHeld held,
                            Messages &messages);
    /** Ends a claim; there must be no call for it any more. */
    void end(SlotClaimId claim, SlotOutcome outcome, Duration answerTime,
             const std::optional<ServerLoad> &load, Messages &messages);

    /** @param life The incarnation of the scheduler. */
    std::optional<SlotDecision> handleAnswer(TimePoint now, const FromPlainScheduler &answer,
                                             Incarnation life, Messages &messages);
    /**
     * Repeats claims and reports held slots to a new scheduler.
     * @return the requests whose servers the node must choose itself
     */
    std::vector<SlotDecision> tick(TimePoint now, Messages &messages);
    /** Returns the time at which tick() must be called next. */
    std::optional<TimePoint> nextTick() const;
    std::size_t open() const { return m_claims.size(); }
    std::size_t waiting() const { return m_pending.size(); }

private:
    struct OpenClaim
    {
        RequestNumber request;
        SlotClaim message;
        TimePoint startedAt {};
        ServerName server; ///< Empty until a server is granted or chosen.
        TimePoint sentAt {};
        std::uint32_t unanswered = 0; ///< Claims sent since the last answer.
    };

    void sendClaim(TimePoint now, OpenClaim &open, Messages &messages);
    /** Reports the held slots and the loads that the node has seen. */
    void reportState(TimePoint now, Messages &messages) const;
    void reportLoads(TimePoint now, const ServiceName &service, Messages &messages) const;
    /** Withdraws all waiting claims from the scheduler. */
    std::vector<SlotDecision> withdrawAll(TimePoint now, Messages &messages);
    static Duration repeatInterval(const OpenClaim &open);

    struct KnownLoad
    {
        ServerLoad load;
        TimePoint at {};
    };

    std::map<ServiceName, std::map<ServerName, KnownLoad>> m_reporting;
    std::optional<NodeName> m_scheduler;
    Incarnation m_life;        ///< Of the scheduler that answered last.
    bool m_isSilent = false;   ///< The scheduler does not respond.
    TimePoint m_probedAt {};   ///< Time of the last message to a silent scheduler.
    bool m_mustReport = false; ///< A new scheduler has not been told of the held slots.
    std::map<SlotClaimId, OpenClaim> m_claims;
    std::set<SlotClaimId> m_pending; ///< Claims without a decision.
    std::uint64_t m_lastClaim = 0;
};

} // namespace indigoway::slots
