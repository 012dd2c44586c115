#include "phasechanges.h"

namespace indigoway::dispatch {

namespace {

/** An engine takes an order at once; carrying it out is seen in its entry. */
constexpr Duration OrderSilence = std::chrono::milliseconds(1000);
/** After the token was last known to hold: until an engine's report has come back. */
constexpr Duration TokenHolds = std::chrono::milliseconds(300);
/** One datagram; what engines are turned for changes over seconds. */
constexpr Duration AskForWorkEvery = std::chrono::milliseconds(500);

} // namespace

void PhaseChanges::orderPhases(Step &step, const RouteTable &table,
                               std::optional<std::uint64_t> token)
{
    m_wantsToken = false;
    ++m_looks;
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
            call.silentFor = OrderSilence;
            m_state.calls.start(step, *order.server, std::move(call));
            tellChanging(step, order.server->name, false);
        }
    }
    if (token) {
        m_orderToken = *token;
        m_orderTokenAt = step.now;
    }
}

void PhaseChanges::askForWork(Step &step, const RouteTable &table)
{
    if (step.now < m_workAskedAt + AskForWorkEvery) {
        return;
    }
    m_workAskedAt = step.now;
    for (const auto &[name, service] : table.services()) {
        if (service.engine) {
            step.add(TellScheduler {scheduling::WorkQuery {name}});
        }
    }
}

void PhaseChanges::reportEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    m_state.tracker.callDropped(call.server.name);
    // An engine that started again meanwhile counts its orders anew, and its phase is another.
    const bool isSameLife = event.report
        && (event.report->startedAt == 0 || call.server.startedAt == 0
            || event.report->startedAt == call.server.startedAt);
    const bool mayOrder =
        isSameLife && !event.report->isCarryingOutOrder && step.now <= m_orderTokenAt + TokenHolds;
    if (!mayOrder) {
        stays(step, call.server.name);
        step.add(RecordDecision {
            "order_not_given", {}, "server=" + call.server.name.text() + " " + event.why});
        return;
    }
    const EnginePhase phase = m_orders.orderedPhase(call.server.name);
    StartCall order;
    order.kind = CallKind::Order;
    order.orderedPhase = phase;
    order.fencingToken = m_orderToken;
    order.ordersTaken = event.report->ordersTaken;
    order.silentFor = OrderSilence;
    m_state.calls.start(step, call.server, std::move(order));
    step.add(RecordDecision {"order",
                             {},
                             "server=" + call.server.name.text() + " phase="
                                 + (phase == EnginePhase::Prefill ? "prefill" : "decode")
                                 + " token=" + std::to_string(m_orderToken)
                                 + " orders_taken=" + std::to_string(event.report->ordersTaken)
                                 + workText(call.server.service)});
}

void PhaseChanges::stays(Step &step, const ServerName &server)
{
    m_orders.refused(server);
    tellChanging(step, server, false);
}

void PhaseChanges::tellChanging(Step &step, const ServerName &server, bool isAccepted) const
{
    step.add(TellScheduler {scheduling::PhaseChangeNotice {
        server, m_orders.orderedPhase(server), m_orders.changesFor(server, step.now), isAccepted}});
}

std::string PhaseChanges::workText(const ServiceName &service) const
{
    const scheduling::GenerationWork *work = m_balance.work(service);
    return work ? " prefill_s=" + std::to_string(work->prefillSeconds)
            + " decode_token_s=" + std::to_string(work->decodeTokenSeconds)
                : std::string();
}

void PhaseChanges::orderEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    m_state.tracker.callDropped(call.server.name);
    constexpr int Ok = 200;
    constexpr int Accepted = 202;
    const bool isTaken =
        event.end == CallEnd::Complete && (event.status == Ok || event.status == Accepted);
    const bool isRefused = event.end == CallEnd::NotExecuted || event.end == CallEnd::NotConnected
        || (event.end == CallEnd::Complete && !isTaken);
    if (isRefused) {
        stays(step, call.server.name);
    } else {
        tellChanging(step, call.server.name, isTaken);
    }
    // An order without an answer may be carried out yet: the engine counts as changing.
    step.add(RecordDecision {"order_ended",
                             {},
                             "server=" + call.server.name.text() + " end=" + nameOf(event.end)
                                 + " status=" + std::to_string(event.status)});
}

} // namespace indigoway::dispatch
