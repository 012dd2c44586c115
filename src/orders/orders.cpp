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
/** Time for loading a model, in which an engine gets no further order. */
constexpr Duration OrderRetryInterval = std::chrono::seconds(30);

std::string keyOf(const Cell &cell)
{
    return Prefix + cell.target.text() + '/' + std::to_string(cell.number);
}

} // namespace

void Orders::handleReport(const ReportArrived &report)
{
    if (report.isOk && !report.version.empty()) {
        m_reportedVersions[report.server] = report.version;
    }
}

void Orders::handleOrderFinished(Turn &turn, const OrderFinished &event)
{
    if (!event.isAccepted) {
        m_issuedAt.erase(event.server);
        turn.log("backend server " + event.server.text() + " did not accept an order");
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
    case Purpose::GrantLease:
        if (result) {
            m_lease = result->lease;
            m_lockValidUntil = call.sent + SafeTime;
        }
        break;
    case Purpose::KeepAlive:
        if (result && result->isApplied) {
            // Counted from when the call was sent, since the store may have extended the lease
            // at any time after that.
            m_lockValidUntil = std::max(m_lockValidUntil, call.sent + SafeTime);
        } else if (result) {
            dropAllLocks();
        }
        break;
    case Purpose::AcquireLock:
        if (result) {
            handleAcquireAnswer(turn, call.cell, *result);
        } else {
            m_locks.erase(call.cell);
        }
        break;
    case Purpose::ConfirmLock:
        if (result) {
            handleConfirmAnswer(turn, call.cell, *result);
        } else {
            m_locks.erase(call.cell);
        }
        break;
    case Purpose::ReleaseLock:
        break;
    }
    return true;
}

void Orders::runDue(Turn &turn, const Scheduler &scheduler)
{
    for (const Timer timer : m_timers.takeDue(turn.now)) {
        if (timer == Timer::Round) {
            m_timers.set(timer, turn.now + RoundInterval);
            runRound(turn, scheduler);
        } else {
            m_timers.set(timer, turn.now + KeepAliveInterval);
            if (m_lease != 0 && !m_locks.empty()) {
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

std::vector<OrderLockView> Orders::locks(TimePoint now) const
{
    std::vector<OrderLockView> views;
    for (const auto &[cell, lock] : m_locks) {
        if (lock.state == State::Held) {
            views.push_back(
                {cell, lock.fence, std::max(Duration(0), Duration(m_lockValidUntil - now))});
        }
    }
    return views;
}

void Orders::runRound(Turn &turn, const Scheduler &scheduler)
{
    const std::vector<Cell> cells = scheduler.cells();
    for (const Cell &cell : cells) {
        const bool isHeld = m_locks.contains(cell);
        if (outdatedServers(turn, cell).empty()) {
            if (isHeld) {
                releaseLock(turn, cell);
            }
        } else if (!isHeld) {
            acquireLock(turn, cell);
        } else if (m_locks.at(cell).state == State::Held) {
            issueOrders(turn, cell, m_locks.at(cell).fence);
        }
    }
    std::vector<Cell> former;
    for (const auto &[cell, lock] : m_locks) {
        if (std::find(cells.begin(), cells.end(), cell) == cells.end()) {
            former.push_back(cell);
        }
    }
    for (const Cell &cell : former) {
        releaseLock(turn, cell);
    }
}

std::vector<ServerName> Orders::outdatedServers(const Turn &turn, const Cell &cell) const
{
    std::vector<ServerName> servers;
    const Target *target = turn.deployment.target(cell.target);
    if (!target || target->version.empty()) {
        return servers;
    }
    for (const Role role : {Role::Prefill, Role::Decode}) {
        for (const ServerName &name : turn.cells.servers(cell, role)) {
            const auto version = m_reportedVersions.find(name);
            const bool isBehind =
                version != m_reportedVersions.end() && version->second != target->version;
            if (isBehind && turn.deployment.server(name)->state != ServerState::Stopped) {
                servers.push_back(name);
                break;
            }
        }
    }
    return servers;
}

void Orders::acquireLock(Turn &turn, const Cell &cell)
{
    if (m_lease == 0) {
        const bool isRequested = std::any_of(m_calls.begin(), m_calls.end(), [](const auto &call) {
            return call.second.purpose == Purpose::GrantLease;
        });
        if (!isRequested) {
            callStore(turn, Purpose::GrantLease, cell, StoreGrantLease {LeaseTime});
        }
        return;
    }
    if (turn.now >= m_lockValidUntil && m_locks.empty()) {
        // The lease is not extended while no lock is held; the next round requests a new one.
        m_lease = 0;
        return;
    }
    m_locks[cell] = {};
    StoreTransaction create;
    create.conditions = {{keyOf(cell), 0, std::nullopt}};
    create.puts = {{keyOf(cell), recordText(turn), m_lease}};
    create.elseGet = {keyOf(cell)};
    callStore(turn, Purpose::AcquireLock, cell, create);
}

void Orders::issueOrders(Turn &turn, const Cell &cell, std::uint64_t fence)
{
    // Checked first, since the lease may have expired while this process was paused.
    const TimePoint notAfter = m_lockValidUntil - OrderTimeout;
    if (turn.now >= notAfter) {
        return;
    }
    const Target &target = *turn.deployment.target(cell.target);
    for (const ServerName &name : outdatedServers(turn, cell)) {
        const auto issued = m_issuedAt.find(name);
        if (issued != m_issuedAt.end() && turn.now - issued->second < OrderRetryInterval) {
            continue;
        }
        m_issuedAt[name] = turn.now;
        turn.add(IssueOrder {name, turn.deployment.server(name)->address, fence, target.name.text(),
                             target.version, notAfter});
        turn.log("ordered version " + target.version + " on backend server " + name.text());
    }
}

void Orders::releaseLock(Turn &turn, const Cell &cell)
{
    m_locks.erase(cell);
    StoreTransaction transaction;
    transaction.conditions = {{keyOf(cell), 0, recordText(turn)}};
    transaction.deletes = {keyOf(cell)};
    callStore(turn, Purpose::ReleaseLock, cell, transaction);
}

void Orders::callStore(Turn &turn, Purpose purpose, const Cell &cell, StoreRequest request)
{
    m_calls[turn.callStore(std::move(request))] = {purpose, cell, turn.now};
}

void Orders::handleAcquireAnswer(Turn &turn, const Cell &cell, const StoreResult &result)
{
    const auto lock = m_locks.find(cell);
    if (lock == m_locks.end()) {
        return;
    }
    const bool isOwn = result.isApplied
        || (!result.entries.empty() && result.entries.front().value == recordText(turn));
    if (!isOwn) {
        m_locks.erase(lock);
        return;
    }
    lock->second.state = State::Confirming;
    callStore(turn, Purpose::ConfirmLock, cell, StoreGet {keyOf(cell)});
}

void Orders::handleConfirmAnswer(Turn &turn, const Cell &cell, const StoreResult &result)
{
    const auto lock = m_locks.find(cell);
    if (lock == m_locks.end()) {
        return;
    }
    if (result.entries.empty() || result.entries.front().value != recordText(turn)) {
        m_locks.erase(lock);
        return;
    }
    lock->second = {State::Held, static_cast<std::uint64_t>(result.entries.front().modRevision)};
}

void Orders::dropAllLocks()
{
    m_lease = 0;
    m_locks.clear();
}

std::string Orders::recordText(const Turn &turn) const
{
    // Includes the lease, so that a key under an earlier lease of this node does not match.
    const NodeLife &life = turn.members.life();
    return life.node.text() + ' ' + std::to_string(life.incarnation.value()) + ' '
        + std::to_string(m_lease);
}

} // namespace indigoway
