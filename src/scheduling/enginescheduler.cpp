#include "enginescheduler.h"

#include <algorithm>
#include <tuple>

namespace indigoway::scheduling {

namespace {

/**
 * How long before its latest start a claim that no prefill engine can take goes to a decode engine,
 * where prefill takes longer.
 */
constexpr Duration LocalPrefillLeadTime = std::chrono::milliseconds(250);
/** Time from the prefill response to the first event: KV cache transfer and first token. */
constexpr Duration FirstEventAfterPrefill = std::chrono::milliseconds(40);
/** If prompts would be processed sooner than this, waiting claims wait for decode memory. */
constexpr Duration LongPrefillWait = std::chrono::milliseconds(100);
/**
 * Wait after which an engine is reserved for a claim. Otherwise small claims would take all memory
 * that comes free, and large ones would starve.
 */
constexpr Duration ReserveEngineAfter = std::chrono::milliseconds(100);
/**
 * If more claims wait, passes are limited to one per PassInterval. Otherwise passes would use all
 * CPU time under load, and nodes would consider the scheduler dead.
 */
constexpr std::size_t BatchingThreshold = 20;
constexpr Duration PassInterval = std::chrono::milliseconds(5);
/** Used while claims wait. */
constexpr Duration TickInterval = std::chrono::milliseconds(25);
/** Used while no claims wait; expires grants of dead nodes. */
constexpr Duration ExpiryCheckInterval = std::chrono::seconds(1);
/** Grants of a dead node expire this long after the time limit of their requests. */
constexpr Duration ExpirySlack = std::chrono::milliseconds(500);

/** Minimum number of engines of each phase to examine in a failure domain. */
constexpr std::size_t MinEngines = 64;
/** Engines to examine for each run and claim, so that most claims find an idle engine. */
constexpr std::size_t EnginesPerRun = 2;

/** Returns the mean memory of a run over its lifetime; its output grows linearly. */
double meanTokens(const MemoryNeed &need)
{
    return static_cast<double>(need.contextTokens) + static_cast<double>(need.outputTokens) / 2;
}

} // namespace

SchedulerReplies EngineScheduler::handle(TimePoint now, const View &view, const NodeLife &from,
                                         const ToScheduler &message)
{
    removeEarlierIncarnations(from, now);
    SchedulerReplies replies;
    if (const auto *notice = std::get_if<PhaseChangeNotice>(&message)) {
        m_tracker.recordPhaseChange(*notice, now);
        return replies;
    }
    if (const auto *query = std::get_if<WorkQuery>(&message)) {
        if (const auto work = estimatorsOf(query->service).work()) {
            replies.push_back({from, WorkReport {query->service, *work}});
        }
        return replies;
    }
    const ClaimKey key {from, claimOf(message)};
    if (const auto *claim = std::get_if<Claim>(&message)) {
        process(now, view, key, *claim, replies);
    } else if (const auto *reservation = std::get_if<ReservationReport>(&message)) {
        process(now, key, *reservation);
    } else if (const auto *prefill = std::get_if<PrefillEnded>(&message)) {
        process(now, key, *prefill);
    } else if (const auto *ended = std::get_if<ClaimEnded>(&message)) {
        process(now, view, key, *ended);
    }
    grantWaiting(now, view, replies);
    if (m_waiting.contains(key)) {
        replies.push_back({from, ClaimQueued {key.claim}});
    }
    return replies;
}

SchedulerReplies EngineScheduler::tick(TimePoint now, const View &view)
{
    SchedulerReplies replies;
    removeExpired(now);
    refuseOverdue(now, replies);
    grantWaiting(now, view, replies);
    return replies;
}

std::optional<TimePoint> EngineScheduler::nextTick(TimePoint now) const
{
    if (m_waiting.size() > BatchingThreshold) {
        return std::max(m_nextPass, now + Duration(1));
    }
    if (!m_waiting.empty()) {
        return now + TickInterval;
    }
    return m_granted.empty() ? std::nullopt : std::optional(now + ExpiryCheckInterval);
}

SchedulerState EngineScheduler::state(TimePoint now, const View &view) const
{
    SchedulerState state;
    state.waiting = m_waiting.size();
    state.granted = m_granted.size();
    state.refusedAtOnce = m_refusedAtOnce;
    state.refusedAfterWait = m_refusedAfterWait;
    for (const auto &[name, service] : view.routes.services()) {
        if (!service.engine) {
            continue;
        }
        const EngineSelector engines(m_tracker, view.servers, service, estimatorsOf(name), now);
        state.decodeEngines += view.servers.candidates(name, EnginePhase::Decode, now).size();
        state.decodeUsable += engines.decodeEngines();
        state.prefillEngines += view.servers.candidates(name, EnginePhase::Prefill, now).size();
        state.prefillUsable += engines.prefillEngines();
        state.memoryTokens += static_cast<std::uint64_t>(engines.memory());
        state.freeTokens += static_cast<std::uint64_t>(engines.freeMemoryFor({}));
        state.shortestPrefillWait =
            std::max(state.shortestPrefillWait, engines.shortestPrefillWait());
    }
    return state;
}

void EngineScheduler::process(TimePoint now, const View &view, const ClaimKey &key,
                              const Claim &claim, SchedulerReplies &replies)
{
    const auto granted = m_granted.find(key);
    if (granted != m_granted.end()) {
        // The reply was lost.
        replies.push_back({key.owner, granted->second.reply});
        return;
    }
    if (m_waiting.contains(key)) {
        return;
    }
    if (claim.urgency == Urgency::FirstAttempt && claim.promptTokens > 0) {
        m_estimators[claim.service].generations.add(claim.promptTokens, claim.memory);
    }
    const WaitEstimate expected = estimateWait(now, view, claim);
    if (shouldRefuse(now, claim, expected)) {
        ++m_refusedAtOnce;
        // Refusing immediately lets the caller retry sooner.
        replies.push_back(
            {key.owner, ClaimRefused {key.claim, expected.claimsAhead, expected.memoryWait}});
        return;
    }
    m_waiting.emplace(key, WaitingClaim {claim, now, latestStart(now, claim)});
}

void EngineScheduler::process(TimePoint now, const ClaimKey &key,
                              const ReservationReport &reservation)
{
    if (m_granted.contains(key)) {
        return;
    }
    m_waiting.erase(key);
    GrantedClaim granted;
    granted.service = reservation.service;
    granted.run = RunNumber(++m_lastRun);
    granted.memory = reservation.memory;
    granted.decodeServer = reservation.decodeServer;
    granted.since = now;
    granted.deadline = now + reservation.maxDuration + ExpirySlack;
    m_tracker.addRun(reservation.decodeServer, granted.run, reservation.memory, now);
    if (reservation.elapsedDecodeTime) {
        // Without the elapsed time, the forecast would count the full output again, and all engines
        // would appear full after a change of scheduler.
        beginDecode(granted, now - *reservation.elapsedDecodeTime);
    }
    m_granted.emplace(key, std::move(granted));
}

void EngineScheduler::process(TimePoint now, const ClaimKey &key, const PrefillEnded &ended)
{
    const auto it = m_granted.find(key);
    if (it == m_granted.end()) {
        return;
    }
    if (!it->second.prefill) {
        // The prompt was sent under another scheduler. Unless the start of decoding is recorded,
        // the run counts with its full output until it ends.
        if (ended.isDone && !it->second.decodeStart) {
            beginDecode(it->second, now);
        }
        return;
    }
    const ServerName server = it->second.prefill->server;
    if (ended.isDone) {
        m_tracker.completePrefill(*it->second.prefill, m_estimators[it->second.service].prefill,
                                  now);
        beginDecode(it->second, now);
        m_tracker.recordSuccess(server);
    } else {
        m_tracker.failPrefill(*it->second.prefill, now);
        ended.isReachable ? m_tracker.recordFailure(server, now)
                          : m_tracker.recordUnreachable(server, now);
    }
    it->second.prefill.reset();
}

void EngineScheduler::process(TimePoint now, const View &view, const ClaimKey &key,
                              const ClaimEnded &ended)
{
    m_waiting.erase(key);
    const auto it = m_granted.find(key);
    if (it == m_granted.end()) {
        return;
    }
    const ServerName server = it->second.decodeServer;
    const ServerName prefillServer = it->second.reply.prefillServer;
    const Duration holdTime = now - it->second.since;
    if (ended.outcome == ClaimOutcome::Served && it->second.decodeStart) {
        m_estimators[it->second.service].decode.add(
            it->second.memory.outputTokens, ended.generatedTokens, now - *it->second.decodeStart);
    }
    removeGrant(it, now);
    if (ended.outcome == ClaimOutcome::OutOfMemory) {
        const AnnouncedServer *known = view.servers.find(server);
        const Service *service = known ? view.routes.service(known->service) : nullptr;
        m_tracker.recordOutOfMemory(
            server, service && service->engine ? service->engine->memoryTokens : 0, now);
    } else if (ended.outcome == ClaimOutcome::EngineFailed) {
        m_tracker.recordFailure(server, now);
    } else if (ended.outcome == ClaimOutcome::Unreachable) {
        m_tracker.recordUnreachable(server, now);
    } else if (ended.outcome == ClaimOutcome::KvCacheLost) {
        m_tracker.recordTransferFailure(prefillServer, server, now);
    } else if (ended.outcome == ClaimOutcome::Served) {
        m_tracker.recordSuccess(server);
        m_waitEstimator.addHoldTime(holdTime);
    }
}

void EngineScheduler::removeEarlierIncarnations(const NodeLife &owner, TimePoint now)
{
    const auto [known, isNew] = m_incarnations.try_emplace(owner.node, owner.incarnation);
    if (isNew || known->second == owner.incarnation) {
        return;
    }
    known->second = owner.incarnation;
    const auto isEarlier = [&owner](const ClaimKey &key) {
        return key.owner.node == owner.node && key.owner.incarnation != owner.incarnation;
    };
    std::erase_if(m_waiting, [&](const auto &one) { return isEarlier(one.first); });
    std::erase_if(m_granted, [&](const auto &one) {
        if (!isEarlier(one.first)) {
            return false;
        }
        releaseResources(one.second, now);
        return true;
    });
}

void EngineScheduler::beginDecode(GrantedClaim &granted, TimePoint now)
{
    granted.decodeStart = now;
    m_tracker.beginDecode(granted.decodeServer, granted.run, now);
}

void EngineScheduler::releaseResources(const GrantedClaim &granted, TimePoint now)
{
    m_tracker.removeRun(granted.decodeServer, granted.run);
    if (granted.prefill) {
        m_tracker.cancelPrefill(*granted.prefill, now);
    }
}

void EngineScheduler::removeGrant(std::map<ClaimKey, GrantedClaim>::iterator it, TimePoint now)
{
    releaseResources(it->second, now);
    m_granted.erase(it);
}

void EngineScheduler::removeExpired(TimePoint now)
{
    for (auto it = m_granted.begin(); it != m_granted.end();) {
        const auto next = std::next(it);
        if (now > it->second.deadline) {
            removeGrant(it, now);
        }
        it = next;
    }
    m_tracker.removeIdle(now);
}

void EngineScheduler::refuseOverdue(TimePoint now, SchedulerReplies &replies)
{
    std::erase_if(m_waiting, [&](const auto &one) {
        const Duration waited = now - one.second.since;
        const bool isOverdue = waited > one.second.claim.maxWait;
        if (isOverdue) {
            ++m_refusedAfterWait;
            replies.push_back({one.first.owner, ClaimRefused {one.first.claim, 0, waited}});
        }
        return isOverdue;
    });
}

const ServiceEstimators &EngineScheduler::estimatorsOf(const ServiceName &service) const
{
    static const ServiceEstimators Unknown;
    const auto it = m_estimators.find(service);
    return it == m_estimators.end() ? Unknown : it->second;
}

TimePoint EngineScheduler::latestStart(TimePoint now, const Claim &claim) const
{
    return now + claim.timeToTarget - FirstEventAfterPrefill
        - m_tracker.prefillTime(ServerName(), claim.promptTokens,
                                estimatorsOf(claim.service).prefill, now);
}

bool EngineScheduler::shouldRefuse(TimePoint now, const Claim &claim, const WaitEstimate &expected)
{
    const PrefillEstimator &estimator = estimatorsOf(claim.service).prefill;
    // A prompt that would miss its target even on idle engines must not be refused forever.
    const bool canMeetTarget = claim.urgency == Urgency::FirstAttempt
        && m_tracker.prefillTime(ServerName(), claim.promptTokens, estimator, now)
            < claim.timeToTarget;
    const Duration latest =
        claim.timeToTarget - m_waitEstimator.longPromptAllowance(claim, estimator);
    return expected.memoryWait > claim.maxWait
        || (canMeetTarget && expected.timeToFirstEvent > latest);
}

EngineSelector::Limit EngineScheduler::engineLimit(const View &view,
                                                   const ServiceName &service) const
{
    const std::size_t domains = std::max<std::size_t>(view.servers.domainsOf(service).size(), 1);
    const std::size_t work = m_granted.size() + m_waiting.size();
    return std::max(MinEngines, EnginesPerRun * work / domains);
}

EngineScheduler::WaitEstimate EngineScheduler::estimateWait(TimePoint now, const View &view,
                                                            const Claim &claim)
{
    const Service *service = view.routes.service(claim.service);
    if (!service || !service->engine) {
        return {};
    }
    const ServiceEstimators &estimators = estimatorsOf(claim.service);
    const EngineSelector someEngines(m_tracker, view.servers, *service, estimators, now,
                                     engineLimit(view, claim.service));
    m_enginesExamined += someEngines.examined();
    const WaitEstimate expected = estimateWait(now, someEngines, claim);
    if (!someEngines.isLimited() || !shouldRefuse(now, claim, expected)) {
        return expected;
    }
    // A claim is refused only after all engines were examined.
    const EngineSelector allEngines(m_tracker, view.servers, *service, estimators, now);
    m_enginesExamined += allEngines.examined();
    return estimateWait(now, allEngines, claim);
}

EngineScheduler::WaitEstimate EngineScheduler::estimateWait(TimePoint now,
                                                            const EngineSelector &engines,
                                                            const Claim &claim) const
{
    WaitEstimate result;
    const PrefillEstimator &prefillEstimator = estimatorsOf(claim.service).prefill;
    double tokensAhead = 0;
    Duration promptsAhead {};
    const TimePoint latest = latestStart(now, claim);
    for (const auto &[key, waiting] : m_waiting) {
        const bool isAhead =
            std::tie(waiting.claim.urgency, waiting.claim.priority, waiting.latestStart)
            <= std::tie(claim.urgency, claim.priority, latest);
        if (waiting.claim.service == claim.service && isAhead) {
            ++result.claimsAhead;
            tokensAhead += meanTokens(waiting.claim.memory);
            promptsAhead += prefillEstimator.computeTime(waiting.claim.promptTokens);
        }
    }
    // If claims wait although a prompt would be processed at once, they wait for memory: the free
    // memory is too fragmented for them or reserved.
    const bool isMemoryShort =
        result.claimsAhead > 0 && engines.shortestPrefillWait() <= LongPrefillWait;
    const double free = isMemoryShort ? 0 : engines.freeMemoryFor(claim.memory);
    const double requiredTokens = tokensAhead + meanTokens(claim.memory) - free;
    if (engines.memory() > 0 && requiredTokens > 0) {
        result.memoryWait = m_waitEstimator.timeUntilFree(requiredTokens / engines.memory());
    }
    // While this claim waits for memory, the prompts ahead of it are processed.
    const Duration idlePrefillTime =
        m_tracker.prefillTime(ServerName(), claim.promptTokens, prefillEstimator, now);
    Duration timeToPrefill {};
    if (claim.promptTokens > 0 && engines.hasPrefillEngines()) {
        // Decode engines also prefill while they have memory for all waiting claims.
        const bool isMemorySpare = engines.freeMemoryFor({}) > waitingTokens(claim.service);
        const double prefillCapacity = static_cast<double>(engines.prefillEngines())
            + (isMemorySpare ? static_cast<double>(engines.decodeEngines())
                       * EngineTracker::localPrefillRatio()
                             : 0);
        timeToPrefill = engines.shortestPrefillTime(claim.promptTokens)
            + Duration(static_cast<Duration::rep>(static_cast<double>(promptsAhead.count())
                                                  / prefillCapacity));
    }
    result.timeToFirstEvent =
        std::max(timeToPrefill, result.memoryWait + idlePrefillTime) + FirstEventAfterPrefill;
    return result;
}

std::vector<EngineScheduler::WaitingClaims::iterator>
EngineScheduler::servingOrder(TimePoint now, Duration prefillWait, const ServiceName &service)
{
    struct Entry
    {
        int rank = 0;
        std::uint32_t priority = 0;
        TimePoint latestStart {};
        WaitingClaims::iterator waiting;
    };
    constexpr int LateRank = 2;
    std::vector<Entry> entries;
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        const WaitingClaim &waiting = it->second;
        if (waiting.claim.service == service) {
            const bool isLate = waiting.claim.urgency == Urgency::FirstAttempt
                && now + prefillWait > waiting.latestStart;
            const int rank = isLate ? LateRank : static_cast<int>(waiting.claim.urgency);
            entries.push_back({rank, waiting.claim.priority, waiting.latestStart, it});
        }
    }
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &a, const Entry &b) {
        return std::tie(a.rank, a.priority, a.latestStart)
            < std::tie(b.rank, b.priority, b.latestStart);
    });
    std::vector<WaitingClaims::iterator> ordered;
    ordered.reserve(entries.size());
    for (const Entry &entry : entries) {
        ordered.push_back(entry.waiting);
    }
    return ordered;
}

void EngineScheduler::grantWaiting(TimePoint now, const View &view, SchedulerReplies &replies)
{
    if (m_waiting.size() > BatchingThreshold && now < m_nextPass) {
        return;
    }
    m_nextPass = now + PassInterval;
    std::set<ServiceName> services;
    for (const auto &[key, waiting] : m_waiting) {
        services.insert(waiting.claim.service);
    }
    for (const ServiceName &name : services) {
        const Service *service = view.routes.service(name);
        if (service && service->engine
            && !grantForService(now, view, *service, engineLimit(view, name), replies)) {
            grantForService(now, view, *service, EngineSelector::NoLimit, replies);
        }
    }
}

bool EngineScheduler::grantForService(TimePoint now, const View &view, const Service &service,
                                      EngineSelector::Limit limit, SchedulerReplies &replies)
{
    GrantPass pass {
        EngineSelector(m_tracker, view.servers, service, estimatorsOf(service.name), now, limit)};
    m_enginesExamined += pass.engines.examined();
    bool isAnyWaiting = false;
    pass.spareTokens = pass.engines.freeMemoryFor({}) - waitingTokens(service.name);
    for (const auto it : servingOrder(now, pass.engines.shortestPrefillWait(), service.name)) {
        if (tryGrant(now, pass, it->first, it->second, replies)) {
            m_waiting.erase(it);
            continue;
        }
        isAnyWaiting = true;
        if (pass.isPrefillSaturated) {
            break;
        }
        if (now > it->second.since + ReserveEngineAfter) {
            pass.engines.reserveEngine();
        }
    }
    return !isAnyWaiting || !pass.engines.isLimited();
}

double EngineScheduler::waitingTokens(const ServiceName &service) const
{
    double tokens = 0;
    for (const auto &[key, waiting] : m_waiting) {
        if (waiting.claim.service == service) {
            tokens += static_cast<double>(waiting.claim.memory.contextTokens
                                          + waiting.claim.memory.outputTokens);
        }
    }
    return tokens;
}

bool EngineScheduler::tryGrant(TimePoint now, GrantPass &pass, const ClaimKey &key,
                               const WaitingClaim &waiting, SchedulerReplies &replies)
{
    const Claim &claim = waiting.claim;
    if (pass.minUnplacedTokens != 0 && claim.memory.totalTokens() >= pass.minUnplacedTokens
        && claim.excludedServers.empty()) {
        return false;
    }
    EngineSelector::DecodeCandidate *candidate = pass.engines.chooseDecodeEngine(claim);
    if (!candidate) {
        if (claim.excludedServers.empty()) {
            pass.minUnplacedTokens = claim.memory.totalTokens();
        }
        return false;
    }
    const AnnouncedServer *decode = candidate->server;
    GrantedClaim granted;
    const ServiceEstimators &estimators = estimatorsOf(claim.service);
    granted.reply = {key.claim, decode->name, {}, estimators.work()};
    if (claim.promptTokens > 0 && pass.engines.hasPrefillEngines()) {
        const AnnouncedServer *prefill = pass.engines.choosePrefillEngine(claim, *decode);
        if (prefill) {
            granted.prefill =
                m_tracker.beginPrefill(prefill->name, claim.promptTokens, estimators.prefill, now);
            granted.reply.prefillServer = prefill->name;
        } else {
            // Prefill is the bottleneck while decode engines have memory for all waiting claims.
            const bool isUrgent = now + LocalPrefillLeadTime > waiting.latestStart;
            candidate = isUrgent && pass.spareTokens > 0
                ? pass.engines.chooseLocalPrefillEngine(claim)
                : nullptr;
            if (!candidate) {
                pass.isPrefillSaturated = claim.excludedServers.empty();
                return false;
            }
            decode = candidate->server;
            granted.reply.decodeServer = decode->name;
            granted.reply.prefillsLocally = true;
            m_tracker.beginLocalPrefill(decode->name, claim.promptTokens, estimators.prefill, now);
        }
    }
    granted.service = claim.service;
    granted.run = RunNumber(++m_lastRun);
    granted.memory = claim.memory;
    granted.decodeServer = decode->name;
    granted.since = now;
    granted.deadline = now + claim.maxDuration + ExpirySlack;
    m_tracker.addRun(decode->name, granted.run, claim.memory, now);
    if (!granted.prefill) {
        beginDecode(granted, now);
    }
    pass.engines.addRun(*candidate, claim.memory);
    replies.push_back({key.owner, granted.reply});
    m_granted.emplace(key, std::move(granted));
    return true;
}

} // namespace indigoway::scheduling
