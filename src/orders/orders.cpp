#include "orders.h"

#include "core/turn.h"
#include "membership/membership.h"
#include "placement/scheduler.h"

#include <algorithm>

namespace indigoway {

namespace {

const std::string Prefix = "/indigoway/orders/";
constexpr Duration RoundInterval = std::chrono::seconds(1);
constexpr Duration KeepAliveInterval = std::chrono::seconds(4);
/** An engine loads a model for a while; meanwhile it is not ordered again. */
constexpr Duration OrderAgainAfter = std::chrono::seconds(30);

std::string keyOf(const Cell &cell)
{
    return Prefix + cell.target.text() + '/' + std::to_string(cell.number);
}

} // namespace

void Orders::report(const ReportArrived &report)
{
    if (report.isOk && !report.version.empty()) {
        m_versions[report.server] = report.version;
    }
}

void Orders::finished(Turn &turn, const OrderFinished &event)
{
    if (!event.isAccepted) {
        m_underway.erase(event.server);
        turn.log("backend server " + event.server.text() + " did not take an order");
    }
}

bool Orders::storeAnswered(Turn &turn, const StoreAnswered &answer)
{
    const auto it = m_calls.find(answer.call);
    if (it == m_calls.end()) {
        return false;
    }
    const Call call = it->second;
    m_calls.erase(it);
    const auto *result = std::get_if<StoreResult>(&answer.outcome);
    switch (call.purpose) {
    case Purpose::Lease:
        if (result) {
            m_lease = result->lease;
            m_safeUntil = call.sent + SafeTime;
        }
        break;
    case Purpose::KeepAlive:
        if (result && result->isApplied) {
            // From when it was sent: the store may have extended the lease at any time since.
            m_safeUntil = std::max(m_safeUntil, call.sent + SafeTime);
        } else if (result) {
            loseAll();
        }
        break;
    case Purpose::Take:
        if (result) {
            taken(turn, call.cell, *result);
        } else {
            m_holds.erase(call.cell);
        }
        break;
    case Purpose::Confirm:
        if (result) {
            confirmed(turn, call.cell, *result);
        } else {
            m_holds.erase(call.cell);
        }
        break;
    case Purpose::Release:
        break;
    }
    return true;
}

void Orders::runDue(Turn &turn, const Scheduler &scheduler)
{
    for (const Timer timer : m_timers.takeDue(turn.now)) {
        if (timer == Timer::Round) {
            m_timers.set(timer, turn.now + RoundInterval);
            round(turn, scheduler);
        } else {
            m_timers.set(timer, turn.now + KeepAliveInterval);
            if (m_lease != 0 && !m_holds.empty()) {
                callStore(turn, Purpose::KeepAlive, {}, StoreKeepAlive {m_lease});
            }
        }
    }
}

void Orders::start(Turn &turn)
{
    m_timers.set(Timer::Round, turn.now + RoundInterval);
    m_timers.set(Timer::KeepAlive, turn.now + KeepAliveInterval);
}

std::vector<OrderHoldView> Orders::holds(TimePoint now) const
{
    std::vector<OrderHoldView> views;
    for (const auto &[cell, hold] : m_holds) {
        if (hold.state == State::Held) {
            views.push_back({cell, hold.fence, std::max(Duration(0), Duration(m_safeUntil - now))});
        }
    }
    return views;
}

void Orders::round(Turn &turn, const Scheduler &scheduler)
{
    const std::vector<Cell> cells = scheduler.cells();
    for (const Cell &cell : cells) {
        const bool isHeld = m_holds.contains(cell);
        if (behind(turn, cell).empty()) {
            if (isHeld) {
                release(turn, cell);
            }
        } else if (!isHeld) {
            take(turn, cell);
        } else if (m_holds.at(cell).state == State::Held) {
            give(turn, cell, m_holds.at(cell).fence);
        }
    }
    std::vector<Cell> former;
    for (const auto &[cell, hold] : m_holds) {
        if (std::find(cells.begin(), cells.end(), cell) == cells.end()) {
            former.push_back(cell);
        }
    }
    for (const Cell &cell : former) {
        release(turn, cell);
    }
}

std::vector<ServerName> Orders::behind(const Turn &turn, const Cell &cell) const
{
    std::vector<ServerName> servers;
    const Target *target = turn.deployment.target(cell.target);
    if (!target || target->version.empty()) {
        return servers;
    }
    for (const Role role : {Role::Prefill, Role::Decode}) {
        for (const ServerName &name : turn.cells.servers(cell, role)) {
            const auto version = m_versions.find(name);
            const bool isBehind = version != m_versions.end() && version->second != target->version;
            if (isBehind && turn.deployment.server(name)->state != ServerState::Stopped) {
                servers.push_back(name);
                break;
            }
        }
    }
    return servers;
}

void Orders::take(Turn &turn, const Cell &cell)
{
    if (m_lease == 0) {
        const bool isAsked = std::any_of(m_calls.begin(), m_calls.end(), [](const auto &call) {
            return call.second.purpose == Purpose::Lease;
        });
        if (!isAsked) {
            callStore(turn, Purpose::Lease, cell, StoreGrantLease {LeaseTime});
        }
        return;
    }
    if (turn.now >= m_safeUntil && m_holds.empty()) {
        m_lease = 0; // Not extended while nothing was held; the next round asks for a new one.
        return;
    }
    m_holds[cell] = {};
    StoreTransaction create;
    create.conditions = {{keyOf(cell), 0, std::nullopt}};
    create.puts = {{keyOf(cell), record(turn), m_lease}};
    create.elseGet = {keyOf(cell)};
    callStore(turn, Purpose::Take, cell, create);
}

void Orders::give(Turn &turn, const Cell &cell, std::uint64_t fence)
{
    // First of all, for a holder that was paused wakes here and believes: is there still time?
    const TimePoint notAfter = m_safeUntil - OrderTimeout;
    if (turn.now >= notAfter) {
        return;
    }
    const Target &target = *turn.deployment.target(cell.target);
    for (const ServerName &name : behind(turn, cell)) {
        const auto underway = m_underway.find(name);
        if (underway != m_underway.end() && turn.now - underway->second < OrderAgainAfter) {
            continue;
        }
        m_underway[name] = turn.now;
        turn.add(IssueOrder {name, turn.deployment.server(name)->address, fence, target.name.text(),
                             target.version, notAfter});
        turn.log("orders version " + target.version + " on " + name.text());
    }
}

void Orders::release(Turn &turn, const Cell &cell)
{
    m_holds.erase(cell);
    StoreTransaction transaction;
    transaction.conditions = {{keyOf(cell), 0, record(turn)}};
    transaction.deletes = {keyOf(cell)};
    callStore(turn, Purpose::Release, cell, transaction);
}

void Orders::callStore(Turn &turn, Purpose purpose, const Cell &cell, StoreRequest request)
{
    m_calls[turn.callStore(std::move(request))] = {purpose, cell, turn.now};
}

void Orders::taken(Turn &turn, const Cell &cell, const StoreResult &result)
{
    const auto hold = m_holds.find(cell);
    if (hold == m_holds.end()) {
        return;
    }
    const bool isMine = result.isApplied
        || (!result.entries.empty() && result.entries.front().value == record(turn));
    if (!isMine) {
        m_holds.erase(hold);
        return;
    }
    hold->second.state = State::Confirming;
    callStore(turn, Purpose::Confirm, cell, StoreGet {keyOf(cell)});
}

void Orders::confirmed(Turn &turn, const Cell &cell, const StoreResult &result)
{
    const auto hold = m_holds.find(cell);
    if (hold == m_holds.end()) {
        return;
    }
    if (result.entries.empty() || result.entries.front().value != record(turn)) {
        m_holds.erase(hold);
        return;
    }
    hold->second = {State::Held, static_cast<std::uint64_t>(result.entries.front().modRevision)};
}

void Orders::loseAll()
{
    m_lease = 0;
    m_holds.clear();
}

std::string Orders::record(const Turn &turn) const
{
    // With the lease: a key of this node under an earlier lease is not this hold.
    const NodeLife &life = turn.members.life();
    return life.node.text() + ' ' + std::to_string(life.incarnation.value()) + ' '
        + std::to_string(m_lease);
}

} // namespace indigoway
