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

/** Start-up settings of a node. */
struct NodeSettings
{
    NodeLife life;
    std::string callerAddress;
    std::string peerAddress;
    DomainName domain;
    RequestLimits limits;
    PlacementMode mode = PlacementMode::Scheduled;
    LocalPolicy policy = LocalPolicy::PowerOfTwo;
    /** Seed peers, contacted at start without asking the store. */
    std::vector<MemberUpdate> peers;
    /** How long callers may cache the node list; a leaving node serves new requests that long. */
    Duration callersKeepList = std::chrono::seconds(5);
};

/** An address at which callers can reach a node. */
struct CallerAddress
{
    NodeName node;
    std::string address;
    DomainName domain;
};

/**
 * The node of one entry VM: a deterministic reducer that turns events into effects. It does not
 * block, read a clock or generate random numbers; time and entropy are passed as arguments.
 */
class Node
{
public:
    explicit Node(NodeSettings settings);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Sets the addresses that this node listens on. Must be called before start(). */
    void setAddresses(const std::string &callers, const std::string &peers);
    /** Starts all subsystems. Must be called once, before any event. */
    Effects start(TimePoint now, std::uint64_t entropy);
    /**
     * Handles @p event and returns the effects to carry out.
     * @param now time of the event; must not decrease between calls
     * @param entropy seed of the event's random numbers
     */
    Effects reduce(TimePoint now, std::uint64_t entropy, const Event &event);
    /** Returns the time at which the next Tick is due, or nothing if no timer is set. */
    std::optional<TimePoint> nextDeadline() const;

    const Configuration &configuration() const { return m_configuration; }
    const Membership &membership() const { return m_membership; }
    const Requests &requests() const { return m_requests; }
    const Scheduler &scheduler() const { return m_scheduler; }
    const Orders &orders() const { return m_orders; }
    /** Returns whether the node can take requests: its configuration is known and it is not
     * leaving. */
    bool isReady() const { return m_configuration.isKnown() && !m_isLeaving; }
    bool isLeaving() const { return m_isLeaving; }
    /**
     * Returns the nodes that callers should use, those in @p callerDomain first. Each group is
     * shuffled with @p entropy to distribute the load. Leaving and suspected nodes are listed only
     * if no node is alive.
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
    void propagateChanges(Turn &turn);
    void checkShutdown(Turn &turn);
    void deliverLocalMessages(Effects &effects);
    bool isIsolated(TimePoint now) const;
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
    std::deque<Event> m_pending; ///< Events to handle, with this node's messages to itself.
    std::uint64_t m_handledMemberChanges = 0;
    TimePoint m_now {};
    TimePoint m_lastPeerContact {};
    bool m_isLeaving = false;
    TimePoint m_leaveStartedAt {};
    bool m_isFinished = false;
};

} // namespace indigoway
