#pragma once

#include "dispatch/dispatchstate.h"
#include "dispatch/phasebalance.h"

namespace indigoway::dispatch {

/**
 * Has engines change their phase where one phase binds and the other idles. An order is given in
 * two calls: the engine's report tells how many orders it has taken, and the order is void if it
 * has taken another one since. Only the node that holds the right to give orders may.
 */
class PhaseChanges
{
public:
    explicit PhaseChanges(DispatchState &state)
        : m_state(state)
    { }

    /**
     * Asks the scheduler what generations take of the engines; for the node that is to give orders.
     * Grants tell it too, but in a large fleet one node gets a grant every few seconds.
     */
    void askForWork(Step &step, const RouteTable &table);
    /** Gives the orders that are due if it has a token, which proves the right to, now. */
    void orderPhases(Step &step, const RouteTable &table, std::optional<std::uint64_t> token);
    /** Orders are due and there was no token for them. */
    bool wantsToken() const { return m_wantsToken; }
    /** Looks over all engines so far. */
    std::uint64_t looks() const { return m_looks; }
    void reportEnded(Step &step, const OpenCall &call, const CallEnded &event);
    void orderEnded(Step &step, const OpenCall &call, const CallEnded &event);
    /** The engine is changing, or perhaps so: it gets no new work. */
    bool isChanging(const ServerName &server, TimePoint now) const
    {
        return m_orders.isChanging(server, now);
    }
    /** What the scheduler has learnt of the service's generations. */
    void learn(const ServiceName &service, const scheduling::GenerationWork &work)
    {
        m_balance.learn(service, work);
    }

private:
    /** It has not taken the order, and keeps its phase. */
    void stays(Step &step, const ServerName &server);
    /**
     * The platform tells of a new phase seconds after the order. Until then the engine refuses,
     * looks empty for that, and draws claims: one engine lost the prompts of a whole prefill pool.
     * Told twice, before the order and after it, since a datagram may be lost, and since only an
     * engine that has accepted is believed to be in its new phase before it is announced there.
     */
    void tellChanging(Step &step, const ServerName &server, bool isAccepted) const;
    std::string workText(const ServiceName &service) const;

    DispatchState &m_state;
    PhaseBalance m_balance;
    PhaseOrders m_orders;
    bool m_wantsToken = false;
    std::uint64_t m_looks = 0;
    std::uint64_t m_orderToken = 0;
    TimePoint m_orderTokenAt {}; ///< When the token was known to hold.
    TimePoint m_workAskedAt {};
};

} // namespace indigoway::dispatch
