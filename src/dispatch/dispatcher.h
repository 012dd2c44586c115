#pragma once

#include "dispatch/crashwatch.h"
#include "dispatch/dispatchstate.h"
#include "dispatch/generationflow.h"
#include "dispatch/plainflow.h"

#include "core/deadlines.h"

#include <memory>
#include <optional>

namespace indigoway::dispatch {

/**
 * The reducer over callers' requests: which backend server gets each, when, and how it ends. It
 * neither waits, reads a clock nor opens a socket; calls and answers are effects.
 */
class Dispatcher
{
public:
    Dispatcher(DispatchSettings settings, TimePoint startedAt);

    /**
     * Open requests keep the table that was in force when they arrived; only those whose key has
     * gone are turned away, unless a server may have begun with them.
     */
    void setRoutes(std::shared_ptr<const RouteTable> table);
    const RouteTable *routes() const { return m_table.get(); }
    /** Nodes that serve callers, this one included; they share the bounds on retries. */
    void setNodes(std::uint32_t nodes, TimePoint now);
    void announce(AnnouncedServer server);
    void withdraw(const ServerName &name, TimePoint now) { m_state.servers.withdraw(name, now); }
    /** That life of a server is over, or was never one to use: nothing is sent to it any more. */
    void remove(const ServerName &name);
    const ServerDirectory &servers() const { return m_state.servers; }
    /** This node may give orders to engines, or will when it has a token. */
    void setOrderRight(bool holds) { m_holdsOrderRight = holds; }
    /** Orders are due, and this node has no token for them. */
    bool wantsOrderToken() const { return m_generations.phases().wantsToken(); }
    /** Looks over all engines for orders so far. */
    std::uint64_t orderLooks() const { return m_generations.phases().looks(); }
    /** The token with which this node may give orders to engines now; nothing if it may not. */
    void setOrderToken(std::optional<std::uint64_t> token) { m_orderToken = token; }
    /**
     * The node that schedules the engines and keeps the quotas; nothing if this node chooses by
     * itself.
     */
    void setScheduler(std::optional<NodeName> name);
    /** This node is asked to end by @p endsAt; what cannot be done by then is turned away. */
    void leave(TimePoint now, TimePoint endsAt);

    /**
     * A node has recorded @p note in the store, at @p revision. Whether its content is refused
     * from now on, or no more.
     */
    bool crashRecorded(const CrashNote &note, std::uint64_t revision, TimePoint now);
    const CrashRecords &crashes() const { return m_state.crashes; }

    DispatchEffects reduce(TimePoint now, std::uint64_t entropy, const DispatchEvent &event);
    /** When TimePassed is wanted at the latest. */
    std::optional<TimePoint> nextDeadline() const;

    std::size_t open() const { return m_state.requests.size(); }
    std::size_t waiting() const { return m_generations.waiting(); }

private:
    void handle(Step &step, const ArrivedRequest &event);
    void handle(Step &step, const CallerLeft &event);
    void handle(Step &step, const StreamBegan &event);
    void handle(Step &step, const CallEnded &event);
    void handle(Step &step, const SchedulerAnswered &event);
    void handle(Step &step, const QuotaKeeperAnswered &event);
    void handle(Step &step, const TimePassed &event);
    void noteCrashOrAnswer(Step &step, const OpenCall &call, const OpenRequest &request,
                           const CallEnded &event);
    bool isTooLateForLeaving(TimePoint now, bool isStream) const;
    void timeOut(Step &step, OpenRequest &request);
    // The steps of a request that has arrived; false: it has been answered.
    bool findRoute(Step &step, OpenRequest &request);
    bool admitCaller(Step &step, OpenRequest &request);
    bool chooseService(Step &step, OpenRequest &request);
    /** Whether it may be sent to a server at all, and can be answered before this node ends. */
    bool mayBegin(Step &step, const OpenRequest &request);
    /** Serves @p request if its organisation's quota has room for it. */
    void serveWithinQuota(Step &step, OpenRequest &request);
    void quotaDecided(Step &step, const quotas::QuotaResult &verdict);
    void rejectOverQuota(Step &step, OpenRequest &request, Duration roomAfter);
    /** Gives back what was not used, and says and decides what is due. */
    void tickQuotas(Step &step);
    /** This node does not know well enough how things are. */
    void rejectByOldCopy(Step &step, const ArrivedRequest &event);
    std::string unknownKeyText(const ArrivedRequest &event) const;
    /** Those whose key is not in the new routes any more. */
    void rejectWithoutKey(Step &step);
    void rejectUnserved(Step &step, const ArrivedRequest &event, int status,
                        std::optional<Duration> retryAfter, const std::string &why);
    void forget(const ServerName &name);
    RequestFlow &flowOf(const OpenRequest &request);

    DispatchState m_state;
    PlainFlow m_plain;
    GenerationFlow m_generations;
    CrashWatch m_crashWatch;
    std::shared_ptr<const RouteTable> m_table;
    quotas::QuotaEnforcer m_quotas;
    bool m_hasNewRoutes = false; ///< Since time passed last.
    Deadlines<RequestNumber> m_timeouts;
    std::optional<TimePoint> m_nextTick;
    bool m_holdsOrderRight = false;
    std::optional<std::uint64_t> m_orderToken;
    TimePoint m_ordersLookedAt {}; ///< Whether orders are due.
    std::optional<TimePoint> m_leavingSince;
    TimePoint m_endsAt {};
};

} // namespace indigoway::dispatch
