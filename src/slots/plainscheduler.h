#pragma once

#include "fleet/serverdirectory.h"
#include "slots/plainserver.h"
#include "slots/servicework.h"
#include "slots/slotmessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace indigoway::slots {

/** Answer to the node that sent a message. */
struct SlotReply
{
    NodeLife to;
    FromPlainScheduler message;
    /** For grants and refusals that are not repeated: the figures that determined them. */
    std::string detail;
};
using SlotReplies = std::vector<SlotReply>;

/**
 * Assigns the slots of plain services whose servers report their speed to the requests of all
 * nodes. One node runs it for the others, the one that schedules the engines.
 *
 * Each claim is granted a slot of the server that is expected to answer first, or waits, or is
 * refused if it cannot be served within its time. Claims that can still meet their target go before
 * others of their priority that cannot, so that a short overload does not make all answers late.
 */
class PlainScheduler
{
public:
    SlotReplies handle(TimePoint now, const ServerDirectory &servers, const NodeLife &from,
                       const ToPlainScheduler &message);
    /** Grants claims that fit and refuses those that cannot be served any more. */
    SlotReplies tick(TimePoint now, const ServerDirectory &servers);
    /** Returns the time of the next call of tick(), or nothing if there is no state. */
    std::optional<TimePoint> nextTick() const;

    struct ServerState
    {
        ServiceName service;
        ServerName server;
        PlainServer::Figures figures;
    };
    /** Returns the state of at most @p maxCount servers. */
    std::vector<ServerState> serverStates(TimePoint now, std::size_t maxCount) const;
    std::size_t waiting() const { return m_waiting; }
    std::size_t held() const { return m_claims.size() - m_waiting; }
    std::uint64_t granted() const { return m_granted; }
    std::uint64_t refused() const { return m_refused; }
    /** Returns the number of slots that were freed without a message of their node. */
    std::uint64_t expired() const { return m_expired; }

private:
    /** Waiting claims are served in this order. */
    struct QueueClass
    {
        std::uint32_t priority = 0;
        bool isLate = false; ///< The target cannot be met.
        auto operator<=>(const QueueClass &) const = default;
    };
    /** Claims by arrival while their target can be met, else by deadline. */
    using Queue = std::set<std::pair<TimePoint, ClaimKey>>;
    struct QueueEntry
    {
        QueueClass queueClass;
        TimePoint position {}; ///< See queuePosition().
        ClaimKey key;
    };

    struct OpenClaim
    {
        SlotClaim message;
        TimePoint receivedAt {};
        TimePoint targetAt {};
        TimePoint deadline {};
        QueueClass queueClass;
        ServerName server;    ///< Empty while the claim waits.
        TimePoint heardAt {}; ///< Time of the latest claim message.
        TimePoint expiresAt {};
        bool hadFreeSlot = false;    ///< The server was expected to start the request at once.
        double workMilliseconds = 0; ///< Expected answer time at the usual speed.
    };
    struct WaitingClaims
    {
        Queue queue;
        double workMilliseconds = 0; ///< Sum of the expected work.
    };
    struct ServiceState
    {
        std::map<ServerName, PlainServer> servers;
        std::map<QueueClass, WaitingClaims> queues;
        ServiceWork work;
        TimePoint usedAt {};
        std::size_t nextExamined = 0; ///< Server that is examined first, if there are many.
    };
    /** A usable server with its figures. */
    struct Candidate
    {
        const AnnouncedServer *server = nullptr;
        PlainServer::Figures figures;
        bool hasRoom = false;
    };
    /** The servers of a service at one moment. */
    struct Capacity
    {
        std::vector<Candidate> candidates;
        ServiceSpeed speed;
    };

    void handle(TimePoint now, const ServerDirectory &servers, const NodeLife &from,
                const SlotClaim &claim, SlotReplies &replies);
    void handle(TimePoint now, const ServerDirectory &servers, const NodeLife &from,
                const SlotHeld &held, SlotReplies &replies);
    void handle(TimePoint now, const ServerDirectory &servers, const NodeLife &from,
                const SlotEnded &ended, SlotReplies &replies);
    void handle(TimePoint now, const ServerDirectory &servers, const NodeLife &from,
                const LoadReport &report, SlotReplies &replies);

    Capacity capacityOf(TimePoint now, const ServerDirectory &servers, const ServiceName &name);
    static void updateCandidate(Candidate &candidate, const PlainServer &server, TimePoint now);
    /** Grants, moves and refuses waiting claims of the service. */
    void serve(TimePoint now, const ServerDirectory &servers, const ServiceName &name,
               SlotReplies &replies);
    static std::optional<QueueEntry> firstWaiting(const ServiceState &service);
    /** Returns the claim after @p entry, which may have been removed meanwhile. */
    static std::optional<QueueEntry> nextWaiting(const ServiceState &service,
                                                 const QueueEntry &entry);
    static bool hasMissedTarget(TimePoint now, const Capacity &capacity, const OpenClaim &claim);
    void moveToLate(const ClaimKey &key, OpenClaim &claim);
    /** Grants @p claim a slot; returns false if no server that it may use has room. */
    bool grant(TimePoint now, ServiceState &service, Capacity &capacity, const ClaimKey &key,
               OpenClaim &claim, SlotReplies &replies);
    void refuse(TimePoint now, const ClaimKey &key, Duration expectedWait, SlotReplies &replies);
    /** Reclassifies claims that miss their target and refuses those that would wait too long. */
    void refuseOverdue(TimePoint now, ServiceState &service, const Capacity &capacity,
                       SlotReplies &replies);
    /** Returns the work of the waiting claims that are served before a new one. */
    static double workAhead(const ServiceState &service, const QueueClass &queueClass);

    /** Returns the state of a server, or null if @p service has no such server. */
    PlainServer *serverOf(TimePoint now, const ServerDirectory &servers, const ServiceName &service,
                          const ServerName &server);
    /** Frees slots of @p server whose ends were probably lost. */
    void freeLostSlots(TimePoint now, const ServiceState &service, const PlainServer &server);
    static TimePoint queuePosition(const OpenClaim &claim);
    void enqueue(const ClaimKey &key, OpenClaim &claim, const QueueClass &queueClass);
    void dequeue(const ClaimKey &key, const OpenClaim &claim);
    /** Removes a claim and frees its slot. */
    void erase(const ClaimKey &key);
    /** Removes the claims of earlier incarnations of a node. */
    void recordLife(TimePoint now, const NodeLife &from);
    void removeExpired(TimePoint now, const ServerDirectory &servers);

    struct KnownLife
    {
        Incarnation incarnation;
        TimePoint heardAt {};
    };

    std::map<ServiceName, ServiceState> m_services;
    std::map<ClaimKey, OpenClaim> m_claims; ///< Waiting and granted.
    std::map<NodeName, KnownLife> m_lives;
    std::size_t m_waiting = 0;
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_expired = 0;
    TimePoint m_lastTick {};
    TimePoint m_expiredCheckedAt {};
};

} // namespace indigoway::slots
