#include "cellscheduler.h"

#include "core/turn.h"
#include "membership/membership.h"

#include <algorithm>
#include <cmath>

namespace indigoway {

namespace {

/** Short prompts that an engine takes into one batch; more would queue in the engine, where
 * neither deadline nor priority orders them. */
constexpr std::uint64_t PrefillBatchTokens = 2048;
/** Work left on a server when the next may be sent, so that it does not idle for a round trip. */
constexpr double PrefillOverlapSeconds = 0.02;
/** A new scheduler waits this long for reports before it believes slots to be free. */
constexpr Duration SettlingTime = std::chrono::milliseconds(600);
/** One grant in so many goes to the oldest late claim. */
constexpr std::uint64_t LateShare = 8;
/** One slot in so many is kept for claims with short targets while there are such. */
constexpr std::int64_t ShortReserve = 16;
constexpr Duration ShortWindow = std::chrono::seconds(30);
constexpr int ShortFactor = 2;
constexpr Duration LeastComeBack = std::chrono::seconds(1);
constexpr Duration MostComeBack = std::chrono::minutes(5);
/** Moves a claim by so much in the queue per step of priority. */
constexpr Duration PriorityStep = std::chrono::milliseconds(250);
constexpr double ReleaseSmoothing = 0.05;

Duration duration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::string stageWord(bool isPrefill)
{
    return isPrefill ? "prefill" : "serving";
}

} // namespace

CellScheduler::CellScheduler(Cell cell, const Turn &turn)
    : m_cell(std::move(cell))
    , m_since(turn.now)
    , m_servers(m_cell)
{ }

void CellScheduler::claim(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim)
{
    const Target *declared = m_servers.target(turn);
    if (!declared) {
        refuse(turn, number, NotGranted::Reason::NoServer, LeastComeBack);
        return;
    }
    if (isRepetition(turn, number, claim)) {
        return;
    }
    Waiting waiting {{number}, claim};
    waiting.arrived = turn.now;
    waiting.deadline = turn.now + claim.untilDeadline;
    waiting.giveUpAt = turn.now + claim.patience;
    waiting.order = waiting.deadline + PriorityStep * (static_cast<int>(claim.priority) - 4);
    if (!claim.isContinuation) {
        noteTarget(turn.now, claim.untilDeadline);
    } else {
        // Somebody is reading this answer: the gap grows with each moment of waiting.
        waiting.order = turn.now;
    }
    waiting.isShort = claim.untilDeadline <= shortTarget() * ShortFactor;
    waiting.cachedTokens = m_servers.mostCachedTokens(claim);
    const Duration wait = waitBehind(backlogBefore(turn, waiting));
    const bool isTooMany = this->waiting() >= declared->maxQueued;
    if (isTooMany || turn.now + wait > waiting.giveUpAt) {
        refuse(turn, number, NotGranted::Reason::Overload, wait);
        return;
    }
    enqueue(std::move(waiting));
    pump(turn);
}

bool CellScheduler::isRepetition(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim)
{
    for (const auto &[granted, grant] : m_grants) {
        if (grant.claim.identity() == claim.identity()) {
            // The grant's answer was lost. Granting anew would hold the capacity twice.
            turn.reply(number, Granted {granted, grant.server});
            return true;
        }
    }
    for (Queue *queue : {&m_onTime, &m_late}) {
        for (Waiting &waiting : *queue) {
            if (waiting.claim.identity() == claim.identity()) {
                waiting.numbers.push_back(number);
                return true;
            }
        }
    }
    return false;
}

void CellScheduler::withdraw(Turn &turn, const ClaimIdentity &identity)
{
    for (Queue *queue : {&m_onTime, &m_late}) {
        std::erase_if(*queue,
                      [&](const Waiting &waiting) { return waiting.claim.identity() == identity; });
    }
    const auto granted = std::find_if(m_grants.begin(), m_grants.end(), [&](const auto &entry) {
        return entry.second.claim.identity() == identity;
    });
    if (granted != m_grants.end()) {
        releaseLost(turn, granted->first);
    }
    pump(turn);
}

void CellScheduler::prefillEnded(Turn &turn, PeerRequestNumber number, const PrefillEnded &ended)
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
        m_servers.load(from).failed(turn.now);
        m_grants.erase(it);
        turn.reply(number, Acknowledged {});
        pump(turn);
        return;
    }
    ServerLoad &prefill = m_servers.load(from);
    prefill.succeeded();
    // Only a prefill that had the server to itself tells the server's speed.
    if (prefill.assigned() == 0) {
        const std::uint32_t cached = m_servers.cachedTokens(from, grant.claim);
        const std::uint32_t computed = grant.claim.promptTokens - cached;
        prefill.observePrefill(turn.now, computed, ended.elapsed);
        m_servers.refreshMedians();
    }
    m_servers.rememberPrefix(from, grant.claim);
    const auto server = m_servers.chooseDecode(turn, ended.avoid);
    if (!server) {
        m_grants.erase(it);
        refuse(turn, number, NotGranted::Reason::NoServer, LeastComeBack);
        pump(turn);
        return;
    }
    grant.stage = Stage::Decode;
    grant.server = *server;
    grant.since = turn.now;
    ServerLoad &load = m_servers.load(*server);
    load.assign(ended.claim, 0);
    const Target *declared = m_servers.target(turn);
    const Pool *itsPool = turn.deployment.pool(turn.deployment.server(*server)->pool);
    if (declared && itsPool && itsPool->linkRate > 0 && declared->kvBytes > 0) {
        const double bytes = static_cast<double>(declared->kvBytes) * grant.claim.promptTokens;
        load.takeLink(turn.now, duration(bytes / static_cast<double>(itsPool->linkRate)));
    }
    turn.reply(number, DecodeAssigned {*server});
    pump(turn);
}

void CellScheduler::release(Turn &turn, PeerRequestNumber number, const ReleaseClaim &release)
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
            noteRelease(turn.now);
            load.observeDecode(turn.now, release.tokens, release.decodeTime);
            m_servers.refreshMedians();
        }
        if (release.serverFailed) {
            load.failed(turn.now);
        } else if (grant.stage != Stage::Prefill) {
            load.succeeded();
        }
    }
    turn.reply(number, Acknowledged {});
    pump(turn);
}

void CellScheduler::adopt(Turn &turn, PeerRequestNumber number, ClaimNumber claim,
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
    grant.since = turn.now;
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

void CellScheduler::report(Turn &turn, const ReportArrived &report)
{
    ServerLoad &load = m_servers.load(report.server);
    if (!report.isOk) {
        load.reportFailed();
        return;
    }
    load.report(turn.now, report.running + report.waiting);
    pump(turn);
}

void CellScheduler::dropDeadOwners(Turn &turn)
{
    std::vector<ClaimNumber> lost;
    for (const auto &[number, grant] : m_grants) {
        if (turn.members.deadSince(grant.claim.owner)) {
            lost.push_back(number);
        }
    }
    for (const ClaimNumber number : lost) {
        releaseLost(turn, number);
    }
    for (Queue *queue : {&m_onTime, &m_late}) {
        std::erase_if(*queue, [&](const Waiting &waiting) {
            return turn.members.deadSince(waiting.claim.owner).has_value();
        });
    }
    pump(turn);
}

void CellScheduler::configurationChanged(Turn &turn)
{
    m_servers.forgetRemoved(turn.deployment);
    pump(turn);
}

void CellScheduler::pump(Turn &turn)
{
    if (!isSettled(turn.now)) {
        return;
    }
    markLate(turn);
    while (waiting() > 0 && grantNext(turn)) { }
}

void CellScheduler::handOver(Turn &turn)
{
    for (Queue *queue : {&m_onTime, &m_late}) {
        for (const Waiting &waiting : *queue) {
            refuse(turn, waiting, NotGranted::Reason::NotScheduler, Duration::zero());
        }
        queue->clear();
    }
}

std::optional<TimePoint> CellScheduler::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const Waiting &waiting : m_onTime) {
        next = earlier(next, waiting.giveUpAt);
        if (!waiting.claim.isContinuation) {
            next = earlier(next, waiting.deadline);
        }
    }
    for (const Waiting &waiting : m_late) {
        next = earlier(next, waiting.giveUpAt);
    }
    return next ? std::optional(std::max(*next, m_since + SettlingTime)) : std::nullopt;
}

std::vector<GrantView> CellScheduler::grants(TimePoint now) const
{
    std::vector<GrantView> views;
    for (const auto &[number, grant] : m_grants) {
        views.push_back({number, grant.claim.owner, grant.claim.request,
                         stageWord(grant.stage == Stage::Prefill), grant.server,
                         now - grant.since});
    }
    return views;
}

std::vector<std::pair<ClaimNumber, EngineRequestName>>
CellScheduler::olderThan(TimePoint now, Duration prefillAge, Duration servingAge) const
{
    std::vector<std::pair<ClaimNumber, EngineRequestName>> found;
    for (const auto &[number, grant] : m_grants) {
        if (now - grant.since >= (grant.stage == Stage::Prefill ? prefillAge : servingAge)) {
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

void CellScheduler::releaseLost(Turn &turn, ClaimNumber claim)
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
    if (now - m_since >= SettlingTime) {
        return true;
    }
    return m_servers.haveAllReported();
}

bool CellScheduler::hasPrefillRoom(const Turn &turn, const ServerName &server,
                                   std::uint32_t tokens) const
{
    const ServerLoad *load = m_servers.find(server);
    if (!load || load->assigned() == 0) {
        return true;
    }
    const std::uint64_t outstanding = load->prefillTokens();
    if (outstanding + tokens <= PrefillBatchTokens) {
        return true;
    }
    if (load->assigned() > 1) {
        return false;
    }
    const auto grant = std::find_if(m_grants.begin(), m_grants.end(), [&](const auto &entry) {
        return entry.second.stage == Stage::Prefill && entry.second.server == server;
    });
    if (grant == m_grants.end()) {
        return true;
    }
    const double expected =
        m_servers.prefillSeconds(turn, server, static_cast<std::uint32_t>(outstanding));
    const double elapsed = std::chrono::duration<double>(turn.now - grant->second.since).count();
    return std::abs(expected - elapsed) < PrefillOverlapSeconds;
}

std::optional<ServerName> CellScheduler::choosePrefill(const Turn &turn, const Waiting &waiting,
                                                       bool &isLong) const
{
    const ClaimCapacity &claim = waiting.claim;
    const std::vector<ServerName> servers = m_servers.usable(turn, Role::Prefill, claim.avoid);
    const double shortSeconds = std::chrono::duration<double>(shortTarget()).count();
    std::size_t longRunning = 0;
    for (const auto &[number, grant] : m_grants) {
        longRunning += grant.stage == Stage::Prefill && grant.isLong ? 1 : 0;
    }
    std::optional<ServerName> best;
    double bestSeconds = 0;
    for (const ServerName &server : servers) {
        const std::uint32_t tokens = claim.promptTokens - m_servers.cachedTokens(server, claim);
        const ServerLoad *load = m_servers.find(server);
        const std::uint64_t queued = load ? load->prefillTokens() : 0;
        const double alone = m_servers.prefillSeconds(turn, server, tokens);
        const bool wouldBeLong = !waiting.isShort && alone > shortSeconds / 2;
        // One server is kept from long prompts: a lookup that comes while all of them prefill a
        // chapter would miss its target, whatever the queue's order.
        if (wouldBeLong && servers.size() > 1 && longRunning + 1 >= servers.size()) {
            continue;
        }
        if (!hasPrefillRoom(turn, server, tokens)) {
            continue;
        }
        const double total =
            alone + m_servers.prefillSeconds(turn, server, static_cast<std::uint32_t>(queued));
        if (!best || total < bestSeconds) {
            best = server;
            bestSeconds = total;
            isLong = wouldBeLong;
        }
    }
    return best;
}

std::int64_t CellScheduler::reserveForShort(const Turn &turn) const
{
    if (shortTarget() == Duration::max()) {
        return 0;
    }
    const std::int64_t total = m_servers.totalSlots(turn, Role::Decode);
    return total < ShortReserve ? 0 : total / ShortReserve;
}

void CellScheduler::noteTarget(TimePoint now, Duration untilDeadline)
{
    if (now >= m_shortWindowEnd) {
        m_shortTargets[1] = m_shortTargets[0];
        m_shortTargets[0] = Duration::max();
        m_shortWindowEnd = now + ShortWindow;
    }
    if (untilDeadline > Duration::zero()) {
        m_shortTargets[0] = std::min(m_shortTargets[0], untilDeadline);
    }
}

Duration CellScheduler::shortTarget() const
{
    const Duration shortest = std::min(m_shortTargets[0], m_shortTargets[1]);
    return shortest == Duration::max() ? Duration::max() / ShortFactor : shortest;
}

CellScheduler::Backlog CellScheduler::backlog(const Turn &turn) const
{
    Backlog backlog;
    const Target *declared = m_servers.target(turn);
    if (!declared) {
        return backlog;
    }
    backlog.freeSlots =
        m_servers.freeInCell(turn, declared->isService ? Role::Service : Role::Decode)
        - static_cast<std::int64_t>(m_prefillInFlight);
    for (const ServerName &server : m_servers.usable(turn, Role::Prefill, {})) {
        const double speed = 1 / m_servers.prefillSeconds(turn, server, 1);
        backlog.bestSpeed = std::max(backlog.bestSpeed, speed);
        backlog.totalSpeed += speed;
    }
    return backlog;
}

CellScheduler::Backlog CellScheduler::backlogBefore(const Turn &turn, const Waiting &waiting) const
{
    Backlog before = backlog(turn);
    for (const Waiting &other : m_onTime) {
        if (other.order > waiting.order) {
            break;
        }
        addTo(before, other);
    }
    return before;
}

void CellScheduler::addTo(Backlog &backlog, const Waiting &waiting)
{
    ++backlog.claims;
    backlog.tokens += waiting.tokensToPrefill();
}

Duration CellScheduler::waitBehind(const Backlog &backlog) const
{
    const double prefill =
        backlog.totalSpeed > 0 ? static_cast<double>(backlog.tokens) / backlog.totalSpeed : 0;
    const auto unserved = static_cast<double>(backlog.claims)
        - static_cast<double>(std::max<std::int64_t>(backlog.freeSlots, 0));
    const double decode = std::max(0.0, unserved) * m_releaseInterval;
    return duration(std::max(prefill, decode));
}

TimePoint CellScheduler::expectedFirstToken(TimePoint now, const Waiting &waiting,
                                            const Backlog &ahead) const
{
    const double prefill = ahead.bestSpeed > 0 ? waiting.tokensToPrefill() / ahead.bestSpeed : 0;
    return now + waitBehind(ahead) + duration(prefill);
}

void CellScheduler::giveUp(Turn &turn, Queue &queue, const Backlog &ahead)
{
    for (auto it = queue.begin(); it != queue.end();) {
        if (turn.now < it->giveUpAt) {
            ++it;
            continue;
        }
        refuse(turn, *it, NotGranted::Reason::Overload, waitBehind(ahead));
        it = queue.erase(it);
    }
}

void CellScheduler::markLate(Turn &turn)
{
    if (waiting() == 0) {
        return;
    }
    const Target *declared = m_servers.target(turn);
    const bool refusesLate = declared && declared->late == LatePolicy::Refuse;
    Backlog ahead = backlog(turn);
    giveUp(turn, m_onTime, ahead);
    for (auto it = m_onTime.begin(); it != m_onTime.end();) {
        const auto present = it++;
        const bool isHopeless = !present->claim.isContinuation
            && expectedFirstToken(turn.now, *present, ahead) > present->deadline;
        if (!isHopeless) {
            addTo(ahead, *present);
        } else if (refusesLate) {
            refuse(turn, *present, NotGranted::Reason::Overload, waitBehind(ahead));
            m_onTime.erase(present);
        } else {
            const auto place =
                std::find_if(m_late.rbegin(), m_late.rend(), [&](const Waiting &late) {
                    return late.arrived <= present->arrived;
                }).base();
            m_late.splice(place, m_onTime, present);
        }
    }
    giveUp(turn, m_late, ahead);
}

bool CellScheduler::Blocked::covers(const Waiting &waiting) const
{
    const auto &from = waiting.isShort ? shortTokens : longTokens;
    return from && waiting.tokensToPrefill() >= *from;
}

void CellScheduler::Blocked::add(const Waiting &waiting)
{
    auto &from = waiting.isShort ? shortTokens : longTokens;
    from = std::min(from.value_or(waiting.tokensToPrefill()), waiting.tokensToPrefill());
}

bool CellScheduler::grantNext(Turn &turn)
{
    const Target *declared = m_servers.target(turn);
    const Role role = declared && declared->isService ? Role::Service : Role::Decode;
    if (!declared
        || m_servers.freeInCell(turn, role) - static_cast<std::int64_t>(m_prefillInFlight) <= 0) {
        return false;
    }
    Blocked blocked;
    const bool isTurnOfLate = m_grantCount % LateShare == LateShare - 1;
    if (isTurnOfLate && !m_onTime.empty() && grantFirstFrom(turn, m_late, blocked)) {
        return true;
    }
    return grantFirstFrom(turn, m_onTime, blocked) || grantFirstFrom(turn, m_late, blocked);
}

bool CellScheduler::grantFirstFrom(Turn &turn, Queue &queue, Blocked &blocked)
{
    for (auto it = queue.begin(); it != queue.end(); ++it) {
        // With a long queue most claims are like one that was just tried in vain.
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

bool CellScheduler::tryGrant(Turn &turn, const Waiting &waiting)
{
    const Target *declared = m_servers.target(turn);
    const ClaimNumber number = turn.numbers.next<ClaimNumber>();
    Grant grant {waiting.claim, Stage::Prefill, {}, turn.now, false};
    if (declared->isService) {
        const auto server = m_servers.chooseService(turn, waiting.claim);
        if (!server) {
            return false;
        }
        grant.stage = Stage::Service;
        grant.server = *server;
        m_servers.load(*server).assign(number, 0);
    } else {
        const std::int64_t reserve =
            waiting.isShort || waiting.claim.isContinuation ? 0 : reserveForShort(turn);
        const std::int64_t free = m_servers.freeInCell(turn, Role::Decode)
            - static_cast<std::int64_t>(m_prefillInFlight) - reserve;
        if (free <= 0) {
            return false;
        }
        const auto server = choosePrefill(turn, waiting, grant.isLong);
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
    for (const PeerRequestNumber asked : waiting.numbers) {
        turn.reply(asked, Granted {number, grant.server});
    }
    return true;
}

void CellScheduler::enqueue(Waiting waiting)
{
    const auto after = std::find_if(m_onTime.rbegin(), m_onTime.rend(), [&](const Waiting &other) {
        return other.order <= waiting.order;
    });
    m_onTime.insert(after.base(), std::move(waiting));
}

void CellScheduler::refuse(Turn &turn, PeerRequestNumber number, NotGranted::Reason reason,
                           Duration retryAfter)
{
    turn.count(Counter::ClaimsRefused);
    turn.reply(number, NotGranted {reason, std::clamp(retryAfter, LeastComeBack, MostComeBack)});
}

void CellScheduler::refuse(Turn &turn, const Waiting &waiting, NotGranted::Reason reason,
                           Duration retryAfter)
{
    for (const PeerRequestNumber number : waiting.numbers) {
        refuse(turn, number, reason, retryAfter);
    }
}

void CellScheduler::noteRelease(TimePoint now)
{
    if (waiting() == 0) {
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
