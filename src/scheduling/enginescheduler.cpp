#include "enginescheduler.h"

#include <algorithm>
#include <functional>

namespace indigoway::scheduling {

namespace {

/**
 * How long before its latest start a claim that no prefill engine can take goes to a decode engine,
 * where prefill takes longer.
 */
constexpr Duration LocalPrefillLeadTime = std::chrono::milliseconds(250);
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

/** Interval of the check whether backups still decode, which visits all copies. */
constexpr Duration CopyCheckInterval = std::chrono::milliseconds(250);
/** Limits the organisations in a snapshot, which becomes a log line. */
constexpr std::size_t MaxReportedOrganisations = 8;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

SchedulerReplies EngineScheduler::handle(TimePoint now, const View &view, const NodeLife &from,
                                         const ToScheduler &message)
{
    removeEarlierIncarnations(from, now);
    SchedulerReplies replies;
    if (const auto *notice = std::get_if<PhaseChangeNotice>(&message)) {
        process(now, *notice);
        return replies;
    }
    if (const auto *fault = std::get_if<EngineFault>(&message)) {
        process(now, *fault);
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
    } else {
        // RunMoved, which carries nothing but the claim.
        moveToBackup(now, key);
    }
    grantWaiting(now, view, replies);
    if (m_queue.contains(key)) {
        replies.push_back({from, ClaimQueued {key.claim}});
    }
    return replies;
}

SchedulerReplies EngineScheduler::tick(TimePoint now, const View &view)
{
    SchedulerReplies replies;
    removeExpired(now);
    removeLostCopies(now, view);
    refuseOverdue(now, replies);
    grantWaiting(now, view, replies);
    return replies;
}

std::optional<TimePoint> EngineScheduler::nextTick(TimePoint now) const
{
    if (m_queue.size() > BatchingThreshold) {
        return std::max(m_nextPass, now + Duration(1));
    }
    if (!m_queue.empty()) {
        return now + TickInterval;
    }
    return m_granted.empty() ? std::nullopt : std::optional(now + ExpiryCheckInterval);
}

SchedulerState EngineScheduler::state(TimePoint now, const View &view) const
{
    SchedulerState state;
    state.waiting = m_queue.size();
    state.granted = m_granted.size();
    state.refusedAtOnce = m_refusedAtOnce;
    state.refusedAfterWait = m_refusedAfterWait;
    state.copies = copies();
    state.copyTokens = copyTokens();
    state.backupsGranted = m_backupsGranted;
    state.runsMoved = m_runsMoved;
    state.lossFraction = lossFraction(now);
    state.organisations = organisations(now);
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

double EngineScheduler::lossFraction(TimePoint now) const
{
    double largest = 0;
    for (const auto &[service, estimators] : m_estimators) {
        largest = std::max(largest, estimators.losses.lossFraction(now));
    }
    return largest;
}

std::vector<ClaimQueue::OrganisationState> EngineScheduler::organisations(TimePoint now) const
{
    return m_queue.organisations(now, MaxReportedOrganisations);
}

void EngineScheduler::process(TimePoint now, const View &view, const ClaimKey &key,
                              const Claim &claim, SchedulerReplies &replies)
{
    if (const GrantedClaim *granted = m_granted.find(key)) {
        // The reply was lost.
        replies.push_back({key.owner, granted->reply});
        return;
    }
    if (m_queue.contains(key)) {
        m_queue.setExcludedServers(key, claim.excludedServers);
        return;
    }
    if (claim.version
        && !view.servers.hasVersion(claim.service, EnginePhase::Decode, *claim.version, now)) {
        replies.push_back({key.owner, ClaimRefused {key.claim, 0, Duration(0)}});
        return;
    }
    if (claim.urgency == Urgency::FirstAttempt && claim.promptTokens > 0) {
        m_estimators[claim.service].generations.add(claim.promptTokens, claim.memory);
    }
    const PrefillEstimator &prefill = estimatorsOf(claim.service).prefill;
    const WaitingClaim waiting {
        claim, now, WaitEstimator::latestStart(now, claim, m_tracker, prefill),
        meanTokens(claim.memory) * m_waitEstimator.meanHoldSeconds(), std::nullopt};
    const WaitEstimate expected = estimateWait(now, view, waiting);
    if (m_waitEstimator.shouldRefuse(now, claim, expected, m_tracker, prefill)) {
        ++m_refusedAtOnce;
        // Refusing immediately lets the caller retry sooner.
        replies.push_back(
            {key.owner, ClaimRefused {key.claim, expected.claimsAhead, expected.memoryWait}});
        return;
    }
    m_queue.add(key, waiting);
}

void EngineScheduler::process(TimePoint now, const ClaimKey &key,
                              const ReservationReport &reservation)
{
    if (m_granted.contains(key)) {
        return;
    }
    m_queue.remove(key);
    GrantedClaim granted;
    granted.service = reservation.service;
    granted.run = RunNumber(++m_lastRun);
    granted.memory = reservation.memory;
    granted.decodeServer = reservation.decodeServer;
    granted.since = now;
    granted.deadline = now + reservation.maxDuration + ExpirySlack;
    if (reservation.backupServer != reservation.decodeServer) {
        granted.backupServer = reservation.backupServer;
    }
    GrantedClaim &added = m_granted.add(key, std::move(granted), m_tracker, now);
    if (reservation.elapsedDecodeTime) {
        // Without the elapsed time, the forecast would count the full output again, and all engines
        // would appear full after a change of scheduler.
        GrantedClaims::beginDecode(added, m_tracker, now - *reservation.elapsedDecodeTime);
    }
}

void EngineScheduler::process(TimePoint now, const ClaimKey &key, const PrefillEnded &ended)
{
    GrantedClaim *granted = m_granted.find(key);
    if (!granted) {
        return;
    }
    if (!granted->prefill) {
        // The prompt was sent under another scheduler. Unless the start of decoding is recorded,
        // the run counts with its full output until it ends.
        if (ended.isDone && !granted->decodeStart) {
            GrantedClaims::beginDecode(*granted, m_tracker, now);
        }
        return;
    }
    const ServerName server = granted->prefill->server;
    if (ended.isDone) {
        m_tracker.completePrefill(*granted->prefill, m_estimators[granted->service].prefill, now);
        GrantedClaims::beginDecode(*granted, m_tracker, now);
        m_tracker.recordSuccess(server);
    } else {
        m_tracker.failPrefill(*granted->prefill, now);
        if (!ended.isReachable) {
            m_tracker.recordUnreachable(server, now);
        } else if (!ended.isConnectionLost) {
            m_tracker.recordFailure(server, now);
        }
    }
    granted->prefill.reset();
}

void EngineScheduler::process(TimePoint now, const View &view, const ClaimKey &key,
                              const ClaimEnded &ended)
{
    m_queue.remove(key);
    const GrantedClaim *granted = m_granted.find(key);
    if (!granted) {
        return;
    }
    const ServerName server = granted->decodeServer;
    const ServerName prefillServer = granted->reply.prefillServer;
    const Duration holdTime = now - granted->since;
    recordRunEnd(*granted, ended, now);
    m_granted.remove(key, m_tracker, now);
    if (ended.outcome == ClaimOutcome::OutOfMemory) {
        const AnnouncedServer *known = view.servers.find(server);
        const Service *service = known ? view.routes.service(known->service) : nullptr;
        m_tracker.recordOutOfMemory(
            server, service && service->engine ? service->engine->memoryTokens : 0, now);
    } else if (ended.outcome == ClaimOutcome::EngineFailed) {
        m_tracker.recordFailure(server, now);
    } else if (ended.outcome == ClaimOutcome::Unreachable) {
        recordUnreachable(now, server);
    } else if (ended.outcome == ClaimOutcome::KvCacheLost) {
        m_tracker.recordTransferFailure(prefillServer, server, now);
    } else if (ended.outcome == ClaimOutcome::Served) {
        m_tracker.recordSuccess(server);
        m_waitEstimator.addHoldTime(holdTime);
    }
}

void EngineScheduler::process(TimePoint now, const EngineFault &fault)
{
    if (!fault.isReachable) {
        recordUnreachable(now, fault.server);
        return;
    }
    for (std::uint32_t i = 0; i < fault.failures; ++i) {
        m_tracker.recordFailure(fault.server, now);
    }
}

void EngineScheduler::recordUnreachable(TimePoint now, const ServerName &server)
{
    m_tracker.recordUnreachable(server, now);
    // An engine that accepts no connections has crashed, and its copies are lost.
    m_granted.removeCopies([&server](const ServerName &backup) { return backup == server; },
                           m_tracker);
}

void EngineScheduler::moveToBackup(TimePoint now, const ClaimKey &key)
{
    GrantedClaim *granted = m_granted.find(key);
    if (granted && m_granted.moveToBackup(*granted, m_tracker, now)) {
        ++m_runsMoved;
        // Without its backup the run would have been lost. If it counted as completed, backups
        // would end while engines still fail.
        m_estimators[granted->service].losses.add(true, now);
    }
}

void EngineScheduler::process(TimePoint now, const PhaseChangeNotice &notice)
{
    m_tracker.recordPhaseChange(notice, now);
    if (notice.isAccepted && notice.to == EnginePhase::Prefill) {
        m_granted.removeCopies(
            [&notice](const ServerName &backup) { return backup == notice.server; }, m_tracker);
    }
}

void EngineScheduler::recordRunEnd(const GrantedClaim &granted, const ClaimEnded &ended,
                                   TimePoint now)
{
    ServiceEstimators &estimators = m_estimators[granted.service];
    const bool isServed = ended.outcome == ClaimOutcome::Served;
    // The decode time of a run that has moved includes the interruption, which would make the
    // engines look slow.
    if (isServed && granted.decodeStart && !granted.hasMoved) {
        estimators.decode.add(granted.memory.outputTokens, ended.generatedTokens,
                              now - *granted.decodeStart);
    }
    const bool isLost = ended.outcome == ClaimOutcome::EngineFailed
        || ended.outcome == ClaimOutcome::Unreachable
        || ended.outcome == ClaimOutcome::ConnectionLost;
    // A run that has moved was counted as lost by moveToBackup().
    if (isLost || (isServed && !granted.hasMoved)) {
        estimators.losses.add(isLost, now);
    }
    if (granted.tokenSeconds > 0) {
        const double used = meanTokens(granted.memory) * secondsOf(now - granted.since);
        m_queue.recordEnd(granted.service, granted.organisation, granted.tokenSeconds, used,
                          granted.since, now);
    }
}

void EngineScheduler::removeEarlierIncarnations(const NodeLife &owner, TimePoint now)
{
    const auto [known, isNew] = m_incarnations.try_emplace(owner.node, owner.incarnation);
    if (isNew || known->second == owner.incarnation) {
        return;
    }
    known->second = owner.incarnation;
    m_queue.removeOtherIncarnations(owner);
    m_granted.removeOtherIncarnations(owner, m_tracker, now);
}

void EngineScheduler::removeExpired(TimePoint now)
{
    m_granted.removeExpired(m_tracker, now);
    m_tracker.removeIdle(now);
}

void EngineScheduler::removeLostCopies(TimePoint now, const View &view)
{
    if (now < m_nextCopyCheck) {
        return;
    }
    m_nextCopyCheck = now + CopyCheckInterval;
    m_granted.removeCopies(
        [&](const ServerName &backup) {
            const AnnouncedServer *server = view.servers.find(backup);
            return !server || m_tracker.phaseOf(*server, now) != EnginePhase::Decode
                || view.servers.availability(backup, now) == ServerAvailability::Leaving;
        },
        m_tracker);
}

void EngineScheduler::refuseOverdue(TimePoint now, SchedulerReplies &replies)
{
    for (const auto &[key, waited] : m_queue.takeOverdue(now)) {
        ++m_refusedAfterWait;
        replies.push_back({key.owner, ClaimRefused {key.claim, 0, waited}});
    }
}

const ServiceEstimators &EngineScheduler::estimatorsOf(const ServiceName &service) const
{
    static const ServiceEstimators Unknown;
    const auto it = m_estimators.find(service);
    return it == m_estimators.end() ? Unknown : it->second;
}

EngineSelector::Limit EngineScheduler::engineLimit(const View &view,
                                                   const ServiceName &service) const
{
    const std::size_t domains = std::max<std::size_t>(view.servers.domainsOf(service).size(), 1);
    const std::size_t work = m_granted.size() + m_queue.size();
    return std::max(MinEngines, EnginesPerRun * work / domains);
}

WaitEstimate EngineScheduler::estimateWait(TimePoint now, const View &view,
                                           const WaitingClaim &waiting)
{
    const Claim &claim = waiting.claim;
    const Service *service = view.routes.service(claim.service);
    if (!service || !service->engine) {
        return {};
    }
    const ServiceEstimators &estimators = estimatorsOf(claim.service);
    const EngineSelector someEngines(m_tracker, view.servers, *service, estimators, now,
                                     engineLimit(view, claim.service));
    m_enginesExamined += someEngines.examined();
    const WaitEstimate expected =
        m_waitEstimator.estimate(now, waiting, m_queue, someEngines, m_tracker, estimators.prefill);
    if (!someEngines.isLimited()
        || !m_waitEstimator.shouldRefuse(now, claim, expected, m_tracker, estimators.prefill)) {
        return expected;
    }
    // A claim is refused only after all engines were examined.
    const EngineSelector allEngines(m_tracker, view.servers, *service, estimators, now);
    m_enginesExamined += allEngines.examined();
    return m_waitEstimator.estimate(now, waiting, m_queue, allEngines, m_tracker,
                                    estimators.prefill);
}

void EngineScheduler::grantWaiting(TimePoint now, const View &view, SchedulerReplies &replies)
{
    if (m_queue.size() > BatchingThreshold && now < m_nextPass) {
        return;
    }
    m_nextPass = now + PassInterval;
    for (const ServiceName &name : m_queue.services()) {
        const Service *service = view.routes.service(name);
        if (!service || !service->engine) {
            continue;
        }
        std::vector<NewGrant> grants;
        if (!grantForService(now, view, *service, engineLimit(view, name), grants)) {
            grantForService(now, view, *service, EngineSelector::NoLimit, grants);
        }
        for (const NewGrant &grant : grants) {
            replies.push_back({grant.key.owner, m_granted.find(grant.key)->reply});
        }
        m_queue.recordOvertaking(now);
    }
}

bool EngineScheduler::grantForService(TimePoint now, const View &view, const Service &service,
                                      EngineSelector::Limit limit, std::vector<NewGrant> &grants)
{
    GrantPass pass {
        EngineSelector(m_tracker, view.servers, service, estimatorsOf(service.name), now, limit)};
    m_enginesExamined += pass.engines.examined();
    bool isAnyWaiting = false;
    pass.spareTokens = pass.engines.freeMemoryFor({}) - m_queue.waitingTokens(service.name);
    for (const ClaimQueue::Entry *entry :
         m_queue.servingOrder(now, pass.engines.shortestPrefillWait(), service.name)) {
        const auto &[key, waiting] = *entry;
        if (tryGrant(now, pass, key, waiting)) {
            grants.push_back({key, waiting.claim});
            m_queue.takeGranted(now, grants.back().key);
            continue;
        }
        isAnyWaiting = true;
        if (pass.isPrefillSaturated) {
            break;
        }
        if (now > waiting.since + ReserveEngineAfter) {
            pass.engines.reserveEngine(waiting.claim);
        }
    }
    const bool isComplete = !isAnyWaiting || !pass.engines.isLimited();
    const ServiceEstimators &estimators = estimatorsOf(service.name);
    // While claims wait for memory, copies would displace runs.
    if (isComplete && !pass.isMemoryShort
        && estimators.losses.areBackupsWorthwhile(now, view.isStoreStale)) {
        BackupAssigner assigner(view.servers, estimators, pass.engines,
                                m_queue.waitingTokens(service.name));
        m_backupsGranted += assigner.assign(grants, m_granted, m_tracker, now);
    }
    return isComplete;
}

bool EngineScheduler::tryGrant(TimePoint now, GrantPass &pass, const ClaimKey &key,
                               const WaitingClaim &waiting)
{
    const Claim &claim = waiting.claim;
    // A claim that may not use all engines says nothing about the others.
    const bool isUnrestricted = claim.excludedServers.empty() && !claim.version;
    if (pass.minUnplacedTokens != 0 && claim.memory.totalTokens() >= pass.minUnplacedTokens
        && isUnrestricted) {
        pass.isMemoryShort = true;
        return false;
    }
    EngineSelector::DecodeCandidate *candidate = pass.engines.chooseDecodeEngine(claim);
    if (!candidate) {
        pass.isMemoryShort = true;
        if (isUnrestricted) {
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
            const bool isUrgent = now + LocalPrefillLeadTime > waiting.latestStart
                || !pass.engines.hasPrefillEngine(decode->version);
            candidate = isUrgent && pass.spareTokens > 0
                ? pass.engines.chooseLocalPrefillEngine(claim)
                : nullptr;
            if (!candidate) {
                pass.isPrefillSaturated = isUnrestricted && !pass.engines.isPrefillAvailable(claim);
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
    granted.organisation = claim.organisation;
    granted.tokenSeconds = waiting.tokenSeconds;
    granted.since = now;
    granted.deadline = now + claim.maxDuration + ExpirySlack;
    const bool isDecoding = !granted.prefill;
    GrantedClaim &added = m_granted.add(key, std::move(granted), m_tracker, now);
    if (isDecoding) {
        GrantedClaims::beginDecode(added, m_tracker, now);
    }
    pass.engines.addRun(*candidate, claim.memory);
    return true;
}

} // namespace indigoway::scheduling
