#pragma once

#include "dispatch/dispatchstate.h"
#include "dispatch/phasebalance.h"

namespace indigoway::dispatch {

/**
 * Orders engines to change their phase when one phase limits throughput and the other is idle. An
 * order takes two calls: the report returns the number of accepted orders, and the order is void if
 * that number has changed. Only the holder of the order right may give orders.
 */
class PhaseController
{
public:
    explicit PhaseController(DispatchState &state)
        : m_state(state)
    { }

    /**
     * Requests the work of generations from the scheduler. The grants to this node carry it too,
     * but are rare in a large fleet.
     */
    void requestWork(Step &step, const RouteTable &table);
    /**
     * Sends the orders that are due.
     * @param token The fencing token; without it, due orders only set wantsToken().
     */
    void orderPhases(Step &step, const RouteTable &table, std::optional<std::uint64_t> token);
    /** Returns whether orders are due but the token is missing. */
    bool wantsToken() const { return m_wantsToken; }
    /** Returns the number of evaluations of all engines so far. */
    std::uint64_t evaluations() const { return m_evaluations; }
    void reportEnded(Step &step, const OpenCall &call, const CallEnded &event);
    void orderEnded(Step &step, const OpenCall &call, const CallEnded &event);
    /** Returns whether the engine may be changing its phase; it gets no new work. */
    bool isChanging(const ServerName &server, TimePoint now) const
    {
        return m_orders.isChanging(server, now);
    }
    /** Updates the work of the service's generations, as measured by the scheduler. */
    void updateWork(const ServiceName &service, const scheduling::GenerationWork &work)
    {
        m_balance.updateWork(service, work);
    }

private:
    /** Cancels the order of an engine that keeps its phase. */
    void cancelOrder(Step &step, const ServerName &server);
    /**
     * Reports an ordered change to the scheduler, as the platform announces it seconds later. Until
     * then the engine refuses work, looks idle and attracts claims. The report is sent before and
     * after the order because datagrams may be lost.
     * @param isAccepted Whether the engine has accepted the order; only then the scheduler assumes
     * the new phase.
     */
    void reportChange(Step &step, const ServerName &server, bool isAccepted) const;
    std::string workText(const ServiceName &service) const;

    DispatchState &m_state;
    PhaseBalance m_balance;
    PhaseOrderPlanner m_orders;
    bool m_wantsToken = false;
    std::uint64_t m_evaluations = 0;
    std::uint64_t m_orderToken = 0;
    TimePoint m_orderTokenAt {}; ///< Last time at which the token was valid.
    TimePoint m_workRequestedAt {};
};

} // namespace indigoway::dispatch
