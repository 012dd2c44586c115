#include "scheduler.h"

#include "core/turn.h"
#include "membership/membership.h"

#include <algorithm>

namespace indigoway {

namespace {

constexpr Duration ReportInterval = std::chrono::milliseconds(500);
/** Every n-th report also lists the requests that the server holds; see Reclaimer. */
constexpr std::uint64_t RoundsPerRequestList = 4;
constexpr Duration ClaimCheckInterval = std::chrono::seconds(2);
/** Ages from which a claim's owner is asked whether it still holds the claim, since the release may
 * have been lost. A prefill is checked earlier, as it blocks its server. */
constexpr Duration PrefillClaimAge = std::chrono::seconds(2);
constexpr Duration ServingClaimAge = std::chrono::seconds(10);
constexpr Duration CheckTimeout = std::chrono::seconds(1);

} // namespace

void Scheduler::reassign(Turn &turn)
{
    const std::vector<NodeName> eligible = turn.members.eligible();
    const NodeName &self = turn.members.self().life.node;
    std::map<Cell, CellScheduler> next;
    for (const Cell &cell : turn.cells.cells()) {
        if (schedulerOf(cell, eligible) != self) {
            continue;
        }
        auto node = m_cells.extract(cell);
        if (!node.empty()) {
            next.insert(std::move(node));
            continue;
        }
        m_handedOver.erase(cell);
        next.emplace(cell, CellScheduler(cell, turn));
        turn.log("scheduling cell " + cell.target.text() + "/" + std::to_string(cell.number));
    }
    for (auto &[cell, scheduler] : m_cells) {
        scheduler.refuseWaiting(turn);
        turn.log("stopped scheduling cell " + cell.target.text() + "/"
                 + std::to_string(cell.number));
        m_handedOver.insert_or_assign(cell, std::move(scheduler));
    }
    m_cells = std::move(next);
    for (auto &[cell, scheduler] : m_cells) {
        scheduler.handleConfigurationChanged(turn);
        scheduler.reclaimFromDeadOwners(turn);
    }
    if (!m_timers.contains(Timer::FetchReports)) {
        m_timers.set(Timer::FetchReports, turn.now);
        m_timers.set(Timer::CheckClaims, turn.now + ClaimCheckInterval);
    }
}

void Scheduler::handleClaim(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim)
{
    const auto it = m_cells.find({claim.target, claim.cell});
    if (it == m_cells.end()) {
        turn.reply(number, NotGranted {NotGranted::Reason::NotScheduler, {}});
        return;
    }
    it->second.handleClaim(turn, number, claim);
}

void Scheduler::handlePrefillEnded(Turn &turn, PeerRequestNumber number, const PrefillEnded &ended)
{
    CellScheduler *cell = cellOfClaim(ended.claim);
    if (!cell) {
        turn.reply(number, NotGranted {NotGranted::Reason::UnknownClaim, {}});
        return;
    }
    cell->handlePrefillEnded(turn, number, ended);
}

void Scheduler::handleRelease(Turn &turn, PeerRequestNumber number, const ReleaseClaim &release)
{
    if (CellScheduler *cell = cellOfClaim(release.claim)) {
        cell->handleRelease(turn, number, release);
        return;
    }
    const Cell cell {release.target, release.cell};
    for (auto *cells : {&m_cells, &m_handedOver}) {
        if (const auto it = cells->find(cell); it != cells->end()) {
            it->second.withdraw(turn, release.identity);
        }
    }
    turn.reply(number, Acknowledged {});
}

void Scheduler::handleAdopt(Turn &turn, PeerRequestNumber number, const AdoptClaim &adopt)
{
    const auto it = m_cells.find({adopt.target, adopt.cell});
    if (it == m_cells.end()) {
        turn.reply(number, NotGranted {NotGranted::Reason::NotScheduler, {}});
        return;
    }
    it->second.handleAdopt(turn, number, turn.numbers.next<ClaimNumber>(), adopt);
}

void Scheduler::handleReport(Turn &turn, const ReportArrived &report)
{
    if (CellScheduler *cell = cellOfServer(turn, report.server)) {
        cell->handleReport(turn, report);
    }
}

void Scheduler::handleCacheEvents(Turn &turn, const CacheEventsArrived &events)
{
    if (CellScheduler *cell = cellOfServer(turn, events.server)) {
        cell->handleCacheEvents(events);
    }
}

bool Scheduler::handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome)
{
    const auto it = m_checks.find(call);
    if (it == m_checks.end()) {
        return false;
    }
    const ClaimCheck check = std::move(it->second);
    m_checks.erase(it);
    const auto *reply = std::get_if<PeerReply>(&outcome);
    const auto *owned = reply ? std::get_if<OwnedRequests>(reply) : nullptr;
    const auto cell = m_cells.find(check.cell);
    if (!owned || cell == m_cells.end()) {
        return true;
    }
    for (const auto &[claim, name] : check.claims) {
        if (std::find(owned->requests.begin(), owned->requests.end(), name)
            == owned->requests.end()) {
            cell->second.reclaim(turn, claim);
        }
    }
    cell->second.processQueue(turn);
    return true;
}

void Scheduler::runDue(Turn &turn)
{
    for (const Timer timer : m_timers.takeDue(turn.now)) {
        if (timer == Timer::FetchReports) {
            m_timers.set(timer, turn.now + ReportInterval);
            fetchReports(turn);
        } else {
            m_timers.set(timer, turn.now + ClaimCheckInterval);
            checkClaims(turn);
        }
    }
    for (auto &[cell, scheduler] : m_cells) {
        const auto next = scheduler.nextDeadline();
        if (next && *next <= turn.now) {
            scheduler.processQueue(turn);
        }
    }
}

std::optional<TimePoint> Scheduler::nextDeadline() const
{
    std::optional<TimePoint> next = m_timers.next();
    for (const auto &[cell, scheduler] : m_cells) {
        next = earlier(next, scheduler.nextDeadline());
    }
    return next;
}

std::vector<Cell> Scheduler::cells() const
{
    std::vector<Cell> found;
    for (const auto &[cell, scheduler] : m_cells) {
        found.push_back(cell);
    }
    return found;
}

std::vector<ServerName> Scheduler::servers(const CellMap &map) const
{
    std::vector<ServerName> found;
    for (const auto &[cell, scheduler] : m_cells) {
        for (const Role role : {Role::Prefill, Role::Decode, Role::Service}) {
            const std::vector<ServerName> &part = map.servers(cell, role);
            found.insert(found.end(), part.begin(), part.end());
        }
    }
    return found;
}

std::vector<GrantView> Scheduler::grants(TimePoint now) const
{
    std::vector<GrantView> views;
    for (const auto &[cell, scheduler] : m_cells) {
        const auto part = scheduler.grants(now);
        views.insert(views.end(), part.begin(), part.end());
    }
    return views;
}

std::size_t Scheduler::waitingClaims() const
{
    std::size_t count = 0;
    for (const auto &[cell, scheduler] : m_cells) {
        count += scheduler.waitingCount();
    }
    return count;
}

CellScheduler *Scheduler::cellOfClaim(ClaimNumber claim)
{
    for (auto *cells : {&m_cells, &m_handedOver}) {
        for (auto &[cell, scheduler] : *cells) {
            if (scheduler.hasGrant(claim)) {
                return &scheduler;
            }
        }
    }
    return nullptr;
}

CellScheduler *Scheduler::cellOfServer(const Turn &turn, const ServerName &server)
{
    const Cell *cell = turn.cells.cellOf(server);
    const auto it = cell ? m_cells.find(*cell) : m_cells.end();
    return it == m_cells.end() ? nullptr : &it->second;
}

void Scheduler::fetchReports(Turn &turn)
{
    const bool withRequests = m_reportRounds++ % RoundsPerRequestList == 0;
    for (const ServerName &name : servers(turn.cells)) {
        turn.add(FetchReport {name, turn.deployment.server(name)->address, withRequests});
    }
}

void Scheduler::checkClaims(Turn &turn)
{
    for (auto &[cell, scheduler] : m_cells) {
        std::map<NodeLife, ClaimCheck> byOwner;
        for (auto &[claim, name] :
             scheduler.claimsOlderThan(turn.now, PrefillClaimAge, ServingClaimAge)) {
            ClaimCheck &check = byOwner[scheduler.ownerOfClaim(claim)];
            check.cell = cell;
            check.claims.emplace_back(claim, name);
        }
        for (auto &[owner, check] : byOwner) {
            if (!turn.members.mayBeAlive(owner)) {
                continue;
            }
            FetchOwnedRequests question;
            for (const auto &[claim, name] : check.claims) {
                question.requests.push_back(name);
            }
            m_checks[turn.ask(owner.node, question, CheckTimeout)] = std::move(check);
        }
    }
}

} // namespace indigoway
