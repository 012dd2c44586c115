#include "cellscheduler.h"

#include "core/turn.h"
#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace indigoway {

namespace {

/** Prompt tokens assigned to a prefill server as one batch. More would wait in the engine's own
 * queue, which ignores deadlines and priorities. */
constexpr std::uint64_t PrefillBatchTokens = 2048;
/** Remaining prefill time at which the next prompt is sent, so that the server does not idle for a
 * round trip. */
constexpr double PrefillOverlapSeconds = 0.02;
/** Time for which a new scheduler waits for load reports before its first grant. */
constexpr Duration SettlingTime = std::chrono::milliseconds(600);
/** Every n-th grant goes to the oldest late claim. */
constexpr std::uint64_t GrantsPerLateGrant = 8;
/** One of n decode slots is reserved for short targets, if such claims arrived recently. */
constexpr std::int64_t SlotsPerReservedSlot = 16;
constexpr Duration TargetWindow = std::chrono::seconds(30);
constexpr int ShortTargetFactor = 2;
constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::minutes(5);
/** Shift of a claim's place in the queue per step of priority. */
constexpr Duration PriorityStep = std::chrono::milliseconds(250);
constexpr double ReleaseSmoothing = 0.05;

Duration duration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::string stageText(bool isPrefill)
{
    return isPrefill ? "prefill" : "serving";
}

} // namespace

CellScheduler::CellScheduler(Cell cell, const Turn &turn)
    : m_cell(std::move(cell))
    , m_startedAt(turn.now)
    , m_servers(m_cell)
{ }

void CellScheduler::handleClaim(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim)
{
    const Target *target = m_servers.target(turn);
    if (!target) {
        refuse(turn, number, NotGranted::Reason::NoServer, MinRetryAfter);
        return;
    }
    if (answerRepeated(turn, number, claim)) {
        return;
    }
    WaitingClaim waiting {{number}, claim};
    waiting.arrived = turn.now;
    waiting.deadline = turn.now + claim.untilDeadline;
    waiting.giveUpAt = turn.now + claim.patience;
    waiting.sortTime = waiting.deadline + PriorityStep * (static_cast<int>(claim.priority) - 4);
    if (!claim.isContinuation) {
        recordTarget(turn.now, claim.untilDeadline);
    } else {
        // The caller already receives tokens, so the wait shows as a gap in the stream.
        waiting.sortTime = turn.now;
    }
    waiting.hasShortTarget = claim.untilDeadline <= shortestTarget() * ShortTargetFactor;
    waiting.cachedTokens = m_servers.maxCachedTokens(claim);
    const Duration wait = expectedWait(backlogAhead(turn, waiting));
    const bool isQueueFull = this->waitingCount() >= target->maxQueued;
    if (isQueueFull || turn.now + wait > waiting.giveUpAt) {
        refuse(turn, number, NotGranted::Reason::Overload, wait);
        return;
    }
    enqueue(std::move(waiting));
    processQueue(turn);
}

bool CellScheduler::answerRepeated(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim)
{
    for (const auto &[granted, grant] : m_grants) {
        if (grant.claim.identity() == claim.identity()) {
            // The answer to the first claim was lost; a second grant would leak capacity.
            turn.reply(number, Granted {granted, grant.server});
            return true;
        }
    }
    for (Queue *queue : {&m_onTime, &m_late}) {
        for (WaitingClaim &waiting : *queue) {
            if (waiting.claim.identity() == claim.identity()) {
                waiting.replyNumbers.push_back(number);
                return true;
            }
        }
    }
    return false;
}

void CellScheduler::withdraw(Turn &turn, const ClaimIdentity &identity)
{
    for (Queue *queue : {&m_onTime, &m_late}) {
        std::erase_if(*queue, [&](const WaitingClaim &waiting) {
            return waiting.claim.identity() == identity;
        });
    }
    const auto granted = std::find_if(m_grants.begin(), m_grants.end(), [&](const auto &entry) {
        return entry.second.claim.identity() == identity;
    });
    if (granted != m_grants.end()) {
        reclaim(turn, granted->first);
    }
    processQueue(turn);
}

void CellScheduler::handlePrefillEnded(Turn &turn, PeerRequestNumber number,
                                       const PrefillEnded &ended)
{
    const auto it = m_grants.find(ended.claim);
    if (it == m_grants.end() || it->second.stage != Stage::Prefill) {
        refuse(turn, number, NotGranted::Reason::UnknownClaim, Duration::zero());
        return;
    }
    Grant &grant = it->second;
    const ServerName from = grant.server;
    unassign(ended.claim, grant);
    --m_prefillInFlight;
    if (!ended.isOk) {
        m_servers.load(from).recordFailure(turn.now);
        m_grants.erase(it);
        turn.reply(number, Acknowledged {});
        processQueue(turn);
        return;
    }
    ServerLoad &prefill = m_servers.load(from);
    prefill.recordSuccess();
    // The speed is measured only by a prefill that ends with no other on the server.
    if (prefill.assignedClaims() == 0) {
        const std::uint32_t cached = m_servers.cachedTokens(from, grant.claim);
        const std::uint32_t computed = grant.claim.promptTokens - cached;
        prefill.observePrefill(turn.now, computed, ended.elapsed);
        m_servers.updateMedians();
    }
    m_servers.recordPrefix(from, grant.claim);
    const auto server = m_servers.chooseDecode(turn, ended.avoid);
    if (!server) {
        m_grants.erase(it);
        refuse(turn, number, NotGranted::Reason::NoServer, MinRetryAfter);
        processQueue(turn);
        return;
    }
    grant.stage = Stage::Decode;
    grant.server = *server;
    grant.stageStartedAt = turn.now;
    ServerLoad &load = m_servers.load(*server);
    load.assign(ended.claim, 0);
    const Target *target = m_servers.target(turn);
    const Pool *pool = turn.deployment.pool(turn.deployment.server(*server)->pool);
    if (target && pool && pool->linkRate > 0 && target->kvBytes > 0) {
        const double bytes = static_cast<double>(target->kvBytes) * grant.claim.promptTokens;
        load.reserveLink(turn.now, duration(bytes / static_cast<double>(pool->linkRate)));
    }
    turn.reply(number, DecodeAssigned {*server});
    processQueue(turn);
}

void CellScheduler::handleRelease(Turn &turn, PeerRequestNumber number, const ReleaseClaim &release)
{
    const auto it = m_grants.find(release.claim);
    if (it != m_grants.end()) {
        const Grant grant = it->second;
        unassign(release.claim, grant);
        m_grants.erase(it);
        ServerLoad &load = m_servers.load(grant.server);
        if (grant.stage == Stage::Prefill) {
            --m_prefillInFlight;
        } else {
            recordRelease(turn.now);
            load.observeDecode(turn.now, release.tokens, release.decodeTime);
            m_servers.updateMedians();
        }
        if (release.serverFailed) {
            load.recordFailure(turn.now);
        } else if (grant.stage != Stage::Prefill) {
            load.recordSuccess();
        }
    }
    turn.reply(number, Acknowledged {});
    processQueue(turn);
}

void CellScheduler::handleAdopt(Turn &turn, PeerRequestNumber number, ClaimNumber claim,
                                const AdoptClaim &adopted)
{
    const Server *server = turn.deployment.server(adopted.server);
    if (!server) {
        refuse(turn, number, NotGranted::Reason::NoServer, Duration::zero());
        return;
    }
    Grant grant;
    grant.claim.owner = adopted.owner;
    grant.claim.request = adopted.request;
    grant.claim.attempt = adopted.attempt;
    grant.claim.target = adopted.target;
    grant.claim.outputTokens = adopted.outputTokens;
    grant.server = adopted.server;
    grant.stageStartedAt = turn.now;
    const auto role = turn.deployment.roleOf(adopted.server);
    grant.stage = role == Role::Prefill ? Stage::Prefill
        : role == Role::Decode          ? Stage::Decode
                                        : Stage::Service;
    if (grant.stage == Stage::Prefill) {
        ++m_prefillInFlight;
    }
    m_servers.load(adopted.server).adopt(claim);
    m_grants[claim] = grant;
    turn.reply(number, Granted {claim, adopted.server});
}

void CellScheduler::handleReport(Turn &turn, const ReportArrived &report)
{
    ServerLoad &load = m_servers.load(report.server);
    if (!report.isOk) {
        load.recordMissedReport();
        return;
    }
    load.applyReport(turn.now, report.running + report.waiting);
    processQueue(turn);
}

void CellScheduler::reclaimFromDeadOwners(Turn &turn)
{
    std::vector<ClaimNumber> lost;
    for (const auto &[number, grant] : m_grants) {
        if (turn.members.deadSince(grant.claim.owner)) {
            lost.push_back(number);
        }
    }
    for (const ClaimNumber number : lost) {
        reclaim(turn, number);
    }
    for (Queue *queue : {&m_onTime, &m_late}) {
        std::erase_if(*queue, [&](const WaitingClaim &waiting) {
            return turn.members.deadSince(waiting.claim.owner).has_value();
        });
    }
    processQueue(turn);
}

void CellScheduler::handleConfigurationChanged(Turn &turn)
{
    m_servers.removeUndeclared(turn.deployment);
    processQueue(turn);
}

void CellScheduler::processQueue(Turn &turn)
{
    if (!isSettled(turn.now)) {
        return;
    }
    separateLateClaims(turn);
    while (waitingCount() > 0 && grantNext(turn)) { }
}

void CellScheduler::refuseWaiting(Turn &turn)
{
    for (Queue *queue : {&m_onTime, &m_late}) {
        for (const WaitingClaim &waiting : *queue) {
            refuse(turn, waiting, NotGranted::Reason::NotScheduler, Duration::zero());
        }
        queue->clear();
    }
}

std::optional<TimePoint> CellScheduler::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const WaitingClaim &waiting : m_onTime) {
        next = earlier(next, waiting.giveUpAt);
        if (!waiting.claim.isContinuation) {
            next = earlier(next, waiting.deadline);
        }
    }
    for (const WaitingClaim &waiting : m_late) {
        next = earlier(next, waiting.giveUpAt);
    }
    return next ? std::optional(std::max(*next, m_startedAt + SettlingTime)) : std::nullopt;
}

std::vector<GrantView> CellScheduler::grants(TimePoint now) const
{
    std::vector<GrantView> views;
    for (const auto &[number, grant] : m_grants) {
        views.push_back({number, grant.claim.owner, grant.claim.request,
                         stageText(grant.stage == Stage::Prefill), grant.server,
                         now - grant.stageStartedAt});
    }
    return views;
}

std::vector<std::pair<ClaimNumber, EngineRequestName>>
CellScheduler::claimsOlderThan(TimePoint now, Duration prefillAge, Duration servingAge) const
{
    std::vector<std::pair<ClaimNumber, EngineRequestName>> found;
    for (const auto &[number, grant] : m_grants) {
        if (now - grant.stageStartedAt
            >= (grant.stage == Stage::Prefill ? prefillAge : servingAge)) {
            found.emplace_back(
                number,
                engineRequestName(grant.claim.owner, grant.claim.request, grant.claim.attempt));
        }
    }
    return found;
}

NodeLife CellScheduler::ownerOfClaim(ClaimNumber claim) const
{
    const auto it = m_grants.find(claim);
    return it == m_grants.end() ? NodeLife {} : it->second.claim.owner;
}

void CellScheduler::reclaim(Turn &turn, ClaimNumber claim)
{
    const auto it = m_grants.find(claim);
    if (it == m_grants.end()) {
        return;
    }
    if (it->second.stage == Stage::Prefill) {
        --m_prefillInFlight;
    }
    unassign(claim, it->second);
    m_grants.erase(it);
    turn.count(Counter::Reclaimed);
}

bool CellScheduler::isSettled(TimePoint now) const
{
    if (now - m_startedAt >= SettlingTime) {
        return true;
    }
    return m_servers.haveAllReported();
}

bool CellScheduler::hasPrefillRoom(const Turn &turn, const ServerName &server,
                                   std::uint32_t tokens) const
{
    const ServerLoad *load = m_servers.find(server);
    if (!load || load->assignedClaims() == 0) {
        return true;
    }
    const std::uint64_t outstanding = load->prefillTokens();
    if (outstanding + tokens <= PrefillBatchTokens) {
        return true;
    }
    if (load->assignedClaims() > 1) {
        return false;
    }
    const auto grant = std::find_if(m_grants.begin(), m_grants.end(), [&](const auto &entry) {
        return entry.second.stage == Stage::Prefill && entry.second.server == server;
    });
    if (grant == m_grants.end()) {
        return true;
    }
    const double expected =
        m_servers.expectedPrefillSeconds(turn, server, static_cast<std::uint32_t>(outstanding));
    const double elapsed =
        std::chrono::duration<double>(turn.now - grant->second.stageStartedAt).count();
    return std::abs(expected - elapsed) < PrefillOverlapSeconds;
}

std::optional<ServerName> CellScheduler::choosePrefill(const Turn &turn,
                                                       const WaitingClaim &waiting,
                                                       bool &isLongPrefill) const
{
    const ClaimCapacity &claim = waiting.claim;
    const std::vector<ServerName> servers =
        m_servers.usableServers(turn, Role::Prefill, claim.avoid);
    const double shortSeconds = std::chrono::duration<double>(shortestTarget()).count();
    std::size_t longPrefills = 0;
    for (const auto &[number, grant] : m_grants) {
        longPrefills += grant.stage == Stage::Prefill && grant.isLongPrefill ? 1 : 0;
    }
    std::optional<ServerName> best;
    double bestSeconds = 0;
    for (const ServerName &server : servers) {
        const std::uint32_t tokens = claim.promptTokens - m_servers.cachedTokens(server, claim);
        const ServerLoad *load = m_servers.find(server);
        const std::uint64_t queued = load ? load->prefillTokens() : 0;
        const double alone = m_servers.expectedPrefillSeconds(turn, server, tokens);
        const bool exceedsShortTarget = !waiting.hasShortTarget && alone > shortSeconds / 2;
        // One server is kept free of long prompts; otherwise a short prompt that arrives while
        // all servers run long prefills would miss its target.
        if (exceedsShortTarget && servers.size() > 1 && longPrefills + 1 >= servers.size()) {
            continue;
        }
        if (!hasPrefillRoom(turn, server, tokens)) {
            continue;
        }
        const double total = alone
            + m_servers.expectedPrefillSeconds(turn, server, static_cast<std::uint32_t>(queued));
        if (!best || total < bestSeconds) {
            best = server;
            bestSeconds = total;
            isLongPrefill = exceedsShortTarget;
        }
    }
    return best;
}

std::int64_t CellScheduler::slotsReservedForShortTargets(const Turn &turn) const
{
    if (shortestTarget() == Duration::max()) {
        return 0;
    }
    const std::int64_t total = m_servers.totalSlots(turn, Role::Decode);
    return total < SlotsPerReservedSlot ? 0 : total / SlotsPerReservedSlot;
}

void CellScheduler::recordTarget(TimePoint now, Duration untilDeadline)
{
    if (now >= m_targetWindowEnd) {
        m_shortestTargets[1] = m_shortestTargets[0];
        m_shortestTargets[0] = Duration::max();
        m_targetWindowEnd = now + TargetWindow;
    }
    if (untilDeadline > Duration::zero()) {
        m_shortestTargets[0] = std::min(m_shortestTargets[0], untilDeadline);
    }
}

Duration CellScheduler::shortestTarget() const
{
    const Duration shortest = std::min(m_shortestTargets[0], m_shortestTargets[1]);
    return shortest == Duration::max() ? Duration::max() / ShortTargetFactor : shortest;
}

CellScheduler::Backlog CellScheduler::emptyBacklog(const Turn &turn) const
{
    Backlog backlog;
    const Target *target = m_servers.target(turn);
    if (!target) {
        return backlog;
    }
    backlog.freeSlots =
        m_servers.totalFreeSlots(turn, target->isService ? Role::Service : Role::Decode)
        - static_cast<std::int64_t>(m_prefillInFlight);
    for (const ServerName &server : m_servers.usableServers(turn, Role::Prefill, {})) {
        const double speed = 1 / m_servers.expectedPrefillSeconds(turn, server, 1);
        backlog.bestPrefillSpeed = std::max(backlog.bestPrefillSpeed, speed);
        backlog.totalPrefillSpeed += speed;
    }
    return backlog;
}

CellScheduler::Backlog CellScheduler::backlogAhead(const Turn &turn,
                                                   const WaitingClaim &waiting) const
{
    Backlog before = emptyBacklog(turn);
    for (const WaitingClaim &other : m_onTime) {
        if (other.sortTime > waiting.sortTime) {
            break;
        }
        addTo(before, other);
    }
    return before;
}

void CellScheduler::addTo(Backlog &backlog, const WaitingClaim &waiting)
{
    ++backlog.claims;
    backlog.tokens += waiting.tokensToPrefill();
}

Duration CellScheduler::expectedWait(const Backlog &backlog) const
{
    const double prefill = backlog.totalPrefillSpeed > 0
        ? static_cast<double>(backlog.tokens) / backlog.totalPrefillSpeed
        : 0;
    const auto unserved = static_cast<double>(backlog.claims)
        - static_cast<double>(std::max<std::int64_t>(backlog.freeSlots, 0));
    const double decode = std::max(0.0, unserved) * m_releaseInterval;
    return duration(std::max(prefill, decode));
}

TimePoint CellScheduler::expectedFirstToken(TimePoint now, const WaitingClaim &waiting,
                                            const Backlog &ahead) const
{
    const double prefill =
        ahead.bestPrefillSpeed > 0 ? waiting.tokensToPrefill() / ahead.bestPrefillSpeed : 0;
    return now + expectedWait(ahead) + duration(prefill);
}

void CellScheduler::refuseExpired(Turn &turn, Queue &queue, const Backlog &ahead)
{
    for (auto it = queue.begin(); it != queue.end();) {
        if (turn.now < it->giveUpAt) {
            ++it;
            continue;
        }
        refuse(turn, *it, NotGranted::Reason::Overload, expectedWait(ahead));
        it = queue.erase(it);
    }
}

void CellScheduler::separateLateClaims(Turn &turn)
{
    if (waitingCount() == 0) {
        return;
    }
    const Target *target = m_servers.target(turn);
    const bool refusesLate = target && target->late == LatePolicy::Refuse;
    Backlog ahead = emptyBacklog(turn);
    refuseExpired(turn, m_onTime, ahead);
    for (auto it = m_onTime.begin(); it != m_onTime.end();) {
        const auto current = it++;
        const bool missesTarget = !current->claim.isContinuation
            && expectedFirstToken(turn.now, *current, ahead) > current->deadline;
        if (!missesTarget) {
            addTo(ahead, *current);
        } else if (refusesLate) {
            refuse(turn, *current, NotGranted::Reason::Overload, expectedWait(ahead));
            m_onTime.erase(current);
        } else {
            const auto place =
                std::find_if(m_late.rbegin(), m_late.rend(), [&](const WaitingClaim &late) {
                    return late.arrived <= current->arrived;
                }).base();
            m_late.splice(place, m_onTime, current);
        }
    }
    refuseExpired(turn, m_late, ahead);
}

bool CellScheduler::UnplaceableClaims::covers(const WaitingClaim &waiting) const
{
    const auto &from = waiting.hasShortTarget ? shortTargetTokens : otherTokens;
    return from && waiting.tokensToPrefill() >= *from;
}

void CellScheduler::UnplaceableClaims::add(const WaitingClaim &waiting)
{
    auto &from = waiting.hasShortTarget ? shortTargetTokens : otherTokens;
    from = std::min(from.value_or(waiting.tokensToPrefill()), waiting.tokensToPrefill());
}

bool CellScheduler::grantNext(Turn &turn)
{
    const Target *target = m_servers.target(turn);
    const Role role = target && target->isService ? Role::Service : Role::Decode;
    if (!target
        || m_servers.totalFreeSlots(turn, role) - static_cast<std::int64_t>(m_prefillInFlight)
            <= 0) {
        return false;
    }
    UnplaceableClaims blocked;
    const bool prefersLate = m_grantCount % GrantsPerLateGrant == GrantsPerLateGrant - 1;
    if (prefersLate && !m_onTime.empty() && grantFirstFrom(turn, m_late, blocked)) {
        return true;
    }
    return grantFirstFrom(turn, m_onTime, blocked) || grantFirstFrom(turn, m_late, blocked);
}

bool CellScheduler::grantFirstFrom(Turn &turn, Queue &queue, UnplaceableClaims &blocked)
{
    for (auto it = queue.begin(); it != queue.end(); ++it) {
        // Skips claims at least as large as one that could not be placed in this pass.
        if (blocked.covers(*it)) {
            continue;
        }
        if (tryGrant(turn, *it)) {
            queue.erase(it);
            return true;
        }
        blocked.add(*it);
    }
    return false;
}

bool CellScheduler::tryGrant(Turn &turn, const WaitingClaim &waiting)
{
    const Target *target = m_servers.target(turn);
    const ClaimNumber number = turn.numbers.next<ClaimNumber>();
    Grant grant {waiting.claim, Stage::Prefill, {}, turn.now, false};
    if (target->isService) {
        const auto server = m_servers.chooseService(turn, waiting.claim);
        if (!server) {
            return false;
        }
        grant.stage = Stage::Service;
        grant.server = *server;
        m_servers.load(*server).assign(number, 0);
    } else {
        const std::int64_t reserve = waiting.hasShortTarget || waiting.claim.isContinuation
            ? 0
            : slotsReservedForShortTargets(turn);
        const std::int64_t free = m_servers.totalFreeSlots(turn, Role::Decode)
            - static_cast<std::int64_t>(m_prefillInFlight) - reserve;
        if (free <= 0) {
            return false;
        }
        const auto server = choosePrefill(turn, waiting, grant.isLongPrefill);
        if (!server) {
            return false;
        }
        grant.server = *server;
        m_servers.load(*server).assign(number, waiting.claim.promptTokens);
        ++m_prefillInFlight;
    }
    m_grants[number] = grant;
    ++m_grantCount;
    turn.count(Counter::ClaimsGranted);
    turn.add(Observe {Histogram::QueueWait, turn.now - waiting.arrived});
    for (const PeerRequestNumber replyNumber : waiting.replyNumbers) {
        turn.reply(replyNumber, Granted {number, grant.server});
    }
    return true;
}

void CellScheduler::enqueue(WaitingClaim waiting)
{
    const auto after =
        std::find_if(m_onTime.rbegin(), m_onTime.rend(),
                     [&](const WaitingClaim &other) { return other.sortTime <= waiting.sortTime; });
    m_onTime.insert(after.base(), std::move(waiting));
}

void CellScheduler::refuse(Turn &turn, PeerRequestNumber number, NotGranted::Reason reason,
                           Duration retryAfter)
{
    turn.count(Counter::ClaimsRefused);
    turn.reply(number, NotGranted {reason, std::clamp(retryAfter, MinRetryAfter, MaxRetryAfter)});
}

void CellScheduler::refuse(Turn &turn, const WaitingClaim &waiting, NotGranted::Reason reason,
                           Duration retryAfter)
{
    for (const PeerRequestNumber number : waiting.replyNumbers) {
        refuse(turn, number, reason, retryAfter);
    }
}

void CellScheduler::recordRelease(TimePoint now)
{
    if (waitingCount() == 0) {
        m_lastRelease = {};
        return;
    }
    if (m_lastRelease != TimePoint {}) {
        const double interval =
            std::min(std::chrono::duration<double>(now - m_lastRelease).count(), 10.0);
        m_releaseInterval = m_releaseInterval == 0
            ? interval
            : m_releaseInterval + ReleaseSmoothing * (interval - m_releaseInterval);
    }
    m_lastRelease = now;
}

void CellScheduler::unassign(ClaimNumber number, const Grant &grant)
{
    const std::uint32_t tokens = grant.stage == Stage::Prefill ? grant.claim.promptTokens : 0;
    m_servers.load(grant.server).unassign(number, tokens);
}

} // namespace indigoway
