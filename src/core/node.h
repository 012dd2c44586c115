#pragma once

#include "configuration/configuration.h"
#include "core/queries.h"
#include "core/turn.h"
#include "membership/membership.h"
#include "membership/registry.h"
#include "orders/orders.h"
#include "placement/scheduler.h"
#include "requests/reclaimer.h"
#include "requests/requests.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** What a node is told at its start. */
struct NodeSettings
{
    NodeLife life;
    std::string callerAddress;
    std::string peerAddress;
    DomainName domain;
    RequestLimits limits;
    PlacementMode mode = PlacementMode::Scheduled;
    LocalPolicy policy = LocalPolicy::PowerOfTwo;
    /** Peers known without the store; they are met at the start. */
    std::vector<MemberUpdate> peers;
    /** How long callers may keep the list of nodes; a leaving node waits as long. */
    Duration callersKeepList = std::chrono::seconds(5);
};

/** An address that callers may use. */
struct CallerAddress
{
    NodeName node;
    std::string address;
    DomainName domain;
};

/**
 * One entry VM's node: the reducer over all its events. It neither waits, reads a clock nor
 * draws random numbers; all that goes in is in the arguments, all that comes out is effects.
 */
class Node
{
public:
    explicit Node(NodeSettings settings);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Where this node is reached; known once it listens, and set before start(). */
    void setAddresses(const std::string &callers, const std::string &peers);
    /** Must be called once, before any event. */
    Effects start(TimePoint now, std::uint64_t entropy);
    /**
     * Takes @p event in at @p now, which must not be before an earlier call's. @p entropy is the
     * event's own randomness.
     */
    Effects reduce(TimePoint now, std::uint64_t entropy, const Event &event);
    /** When Tick is wanted at the latest. */
    std::optional<TimePoint> nextDeadline() const;

    const Configuration &configuration() const { return m_configuration; }
    const Membership &membership() const { return m_membership; }
    const Requests &requests() const { return m_requests; }
    const Scheduler &scheduler() const { return m_scheduler; }
    const Orders &orders() const { return m_orders; }
    /** Whether callers should be sent here: configuration known and not leaving. */
    bool isReady() const { return m_configuration.isKnown() && !m_isLeaving; }
    bool isLeaving() const { return m_isLeaving; }
    /**
     * The nodes that callers are to use, best first: @p callerDomain's own, then the others;
     * within these shuffled by @p entropy, so that callers spread. Leaving and suspected nodes
     * are left out unless nobody else is there.
     */
    std::vector<CallerAddress> callerAddresses(const DomainName &callerDomain,
                                               std::uint64_t entropy) const;
    Duration callersKeepList() const { return m_settings.callersKeepList; }

private:
    void dispatch(Turn &turn, const Event &event);
    void handle(Turn &turn, const RequestArrived &event);
    void handle(Turn &turn, const CallerGone &event);
    void handle(Turn &turn, const PrefillFinished &event);
    void handle(Turn &turn, const TokensArrived &event);
    void handle(Turn &turn, const DecodeFinished &event);
    void handle(Turn &turn, const ServiceFinished &event);
    void handle(Turn &turn, const CancelFinished &event);
    void handle(Turn &turn, const ReportArrived &event);
    void handle(Turn &turn, const CacheEventsArrived &event);
    void handle(Turn &turn, const OrderFinished &event);
    void handle(Turn &turn, const PeerRequestArrived &event);
    void handle(Turn &turn, const PeerAnswered &event);
    void handle(Turn &turn, const StoreAnswered &event);
    void handle(Turn &turn, const CommandArrived &event);
    void handle(Turn &turn, const QueryArrived &event);
    void handle(Turn &turn, const ShutdownRequested &event);
    void handle(Turn &turn, const Tick &event);
    void handlePeerRequest(Turn &turn, PeerRequestNumber number, const PeerRequest &request);
    void settle(Turn &turn);
    void checkShutdown(Turn &turn);
    void deliverToSelf(Effects &effects);
    bool isCutOff(TimePoint now) const;
    void addQueries();

    NodeSettings m_settings;
    CallNumbers m_numbers;
    Configuration m_configuration;
    Membership m_membership;
    Registry m_registry;
    Scheduler m_scheduler;
    Requests m_requests;
    Reclaimer m_reclaimer;
    Orders m_orders;
    Queries m_queries;
    std::deque<Event> m_pending; ///< Messages of this node to itself.
    std::uint64_t m_membersSeen = 0;
    TimePoint m_now {};
    TimePoint m_peerSeen {};
    bool m_isLeaving = false;
    TimePoint m_leavingSince {};
    bool m_isFinished = false;
};

} // namespace indigoway
