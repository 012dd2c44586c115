#include "phasecontroller.h"

#include "dispatch/streamresumption.h"

namespace indigoway::dispatch {

namespace {

/** Engines answer orders immediately; the change itself is seen in the announcement. */
constexpr Duration OrderTimeout = std::chrono::milliseconds(1000);
/** Validity of a token after its last check; covers the report call. */
constexpr Duration TokenValidity = std::chrono::milliseconds(300);
/** Interval between requests for the work of generations. */
constexpr Duration WorkRequestInterval = std::chrono::milliseconds(500);

} // namespace

void PhaseController::orderPhases(Step &step, const RouteTable &table,
                                  std::optional<std::uint64_t> token)
{
    m_wantsToken = false;
    ++m_evaluations;
    for (const auto &[name, service] : table.services()) {
        const auto orders =
            m_orders.decide(step.now, service, m_state.servers, m_balance, token.has_value());
        if (!token) {
            m_wantsToken |= !orders.empty();
            continue;
        }
        for (const PhaseOrder &order : orders) {
            StartCall call;
            call.kind = CallKind::Report;
            call.orderedPhase = order.phase;
            call.idleTimeout = OrderTimeout;
            m_state.calls.start(step, *order.server, std::move(call));
            reportChange(step, order.server->name, false);
        }
    }
    if (token) {
        m_orderToken = *token;
        m_orderTokenAt = step.now;
    }
}

void PhaseController::requestWork(Step &step, const RouteTable &table)
{
    if (step.now < m_workRequestedAt + WorkRequestInterval) {
        return;
    }
    m_workRequestedAt = step.now;
    for (const auto &[name, service] : table.services()) {
        if (service.engine) {
            step.add(SendToScheduler {scheduling::WorkQuery {name}});
        }
    }
}

void PhaseController::reportEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    m_state.tracker.callClosed(call.server.name);
    // A restarted engine has a new order count and possibly another phase.
    const bool mayOrder = isSameLife(call, event) && !event.report->isExecutingOrder
        && step.now <= m_orderTokenAt + TokenValidity;
    if (!mayOrder) {
        cancelOrder(step, call.server.name);
        step.add(LogDecision {
            "order_not_given", {}, "server=" + call.server.name.text() + " " + event.reason});
        return;
    }
    const EnginePhase phase = m_orders.orderedPhase(call.server.name);
    StartCall order;
    order.kind = CallKind::Order;
    order.orderedPhase = phase;
    order.fencingToken = m_orderToken;
    order.ordersTaken = event.report->ordersTaken;
    order.idleTimeout = OrderTimeout;
    m_state.calls.start(step, call.server, std::move(order));
    step.add(LogDecision {"order",
                          {},
                          "server=" + call.server.name.text()
                              + " phase=" + (phase == EnginePhase::Prefill ? "prefill" : "decode")
                              + " token=" + std::to_string(m_orderToken)
                              + " orders_taken=" + std::to_string(event.report->ordersTaken)
                              + workText(call.server.service)});
}

void PhaseController::cancelOrder(Step &step, const ServerName &server)
{
    m_orders.cancel(server);
    reportChange(step, server, false);
}

void PhaseController::reportChange(Step &step, const ServerName &server, bool isAccepted) const
{
    step.add(SendToScheduler {scheduling::PhaseChangeNotice {
        server, m_orders.orderedPhase(server), m_orders.remainingChangeTime(server, step.now),
        isAccepted}});
}

std::string PhaseController::workText(const ServiceName &service) const
{
    const scheduling::GenerationWork *work = m_balance.work(service);
    return work ? " prefill_s=" + std::to_string(work->prefillSeconds)
            + " decode_token_s=" + std::to_string(work->decodeTokenSeconds)
                : std::string();
}

void PhaseController::orderEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    m_state.tracker.callClosed(call.server.name);
    constexpr int Ok = 200;
    constexpr int Accepted = 202;
    const bool isTaken =
        event.end == CallEnd::Complete && (event.status == Ok || event.status == Accepted);
    const bool isRefused = event.end == CallEnd::NotExecuted || isUnsent(event.end)
        || (event.end == CallEnd::Complete && !isTaken);
    if (isRefused) {
        cancelOrder(step, call.server.name);
    } else {
        reportChange(step, call.server.name, isTaken);
    }
    // An order without an answer may still be executed, so the engine counts as changing.
    step.add(LogDecision {"order_ended",
                          {},
                          "server=" + call.server.name.text() + " end=" + nameOf(event.end)
                              + " status=" + std::to_string(event.status)});
}

} // namespace indigoway::dispatch
