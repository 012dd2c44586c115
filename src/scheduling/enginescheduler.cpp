#include "enginescheduler.h"

#include <algorithm>
#include <tuple>

namespace indigoway::scheduling {

namespace {

/**
 * Before the latest start that keeps its target, a claim that no prefill engine can take yet is
 * read by a decode engine, which takes longer.
 */
constexpr Duration WholeReadBefore = std::chrono::milliseconds(250);
/** From the prompt's answer to the first event: the KV cache is moved, a token is made. */
constexpr Duration FirstEventAfterPrefill = std::chrono::milliseconds(40);
/** While a prompt would be read sooner, those that wait do so for decode memory. */
constexpr Duration LongPrefillWait = std::chrono::milliseconds(100);
/**
 * A claim waits so long before room is kept for it, on an engine of its own. Without that, each
 * piece of room that comes free goes to the small ones, and hardly a large one is served.
 */
constexpr Duration KeepRoomAfter = std::chrono::milliseconds(100);
/**
 * With hundreds waiting and a thousand messages a second the scheduler would do nothing but pass
 * over them, and nodes would take it for dead.
 */
constexpr std::size_t ManyWaiting = 20;
constexpr Duration BetweenPasses = std::chrono::milliseconds(5);
/** While claims wait and no message comes. */
constexpr Duration TickEvery = std::chrono::milliseconds(25);
/** While nothing waits, only what dead nodes have left behind is looked for. */
constexpr Duration LookForDeadEvery = std::chrono::seconds(1);
/** A node that died tells nothing; its claims end with their requests' time, and a little later. */
constexpr Duration ExpirySlack = std::chrono::milliseconds(500);

/** Engines of each phase that are looked at in a failure domain, however little work there is. */
constexpr std::size_t LeastEngines = 64;
/** Engines looked at for each run and claim: most find an engine that is idle. */
constexpr std::size_t EnginesForRun = 2;

/** Of a run's memory over its time: its output grows from nothing. */
double meanTokens(const MemoryNeed &need)
{
    return static_cast<double>(need.contextTokens) + static_cast<double>(need.outputTokens) / 2;
}

} // namespace

SchedulerReplies EngineScheduler::handle(TimePoint now, const View &view, const NodeLife &from,
                                         const ToScheduler &message)
{
    dropEarlierLives(from, now);
    SchedulerReplies replies;
    if (const auto *changing = std::get_if<EngineChanging>(&message)) {
        m_ledger.changesPhase(*changing, now);
        return replies;
    }
    if (const auto *asked = std::get_if<WorkAsked>(&message)) {
        if (const auto work = paceOf(asked->service).work()) {
            replies.push_back({from, WorkTold {asked->service, *work}});
        }
        return replies;
    }
    const Key key {from, claimOf(message)};
    if (const auto *claim = std::get_if<Claim>(&message)) {
        take(now, view, key, *claim, replies);
    } else if (const auto *held = std::get_if<RoomHeld>(&message)) {
        take(now, key, *held);
    } else if (const auto *prefill = std::get_if<PrefillEnded>(&message)) {
        take(now, key, *prefill);
    } else {
        take(now, view, key, std::get<ClaimEnded>(message));
    }
    grant(now, view, replies);
    if (m_waiting.contains(key)) {
        replies.push_back({from, ClaimQueued {key.claim}});
    }
    return replies;
}

SchedulerReplies EngineScheduler::tick(TimePoint now, const View &view)
{
    SchedulerReplies replies;
    expire(now);
    refuseLate(now, replies);
    grant(now, view, replies);
    return replies;
}

std::optional<TimePoint> EngineScheduler::nextTick(TimePoint now) const
{
    if (m_waiting.size() > ManyWaiting) {
        return std::max(m_nextPass, now + Duration(1));
    }
    if (!m_waiting.empty()) {
        return now + TickEvery;
    }
    return m_granted.empty() ? std::nullopt : std::optional(now + LookForDeadEvery);
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
        const EngineChoice engines(m_ledger, view.servers, service, paceOf(name), now);
        state.decodeEngines += view.servers.candidates(name, EnginePhase::Decode, now).size();
        state.decodeUsable += engines.decodeEngines();
        state.prefillEngines += view.servers.candidates(name, EnginePhase::Prefill, now).size();
        state.prefillUsable += engines.prefillEngines();
        state.memoryTokens += static_cast<std::uint64_t>(engines.memory());
        state.freeTokens += static_cast<std::uint64_t>(engines.freeFor({}));
        state.leastPrefillWait = std::max(state.leastPrefillWait, engines.leastPrefillWait());
    }
    return state;
}

void EngineScheduler::take(TimePoint now, const View &view, const Key &key, const Claim &claim,
                           SchedulerReplies &replies)
{
    const auto granted = m_granted.find(key);
    if (granted != m_granted.end()) {
        // The answer was lost on its way.
        replies.push_back({key.owner, granted->second.answer});
        return;
    }
    if (m_waiting.contains(key)) {
        return;
    }
    if (claim.urgency == Urgency::Fresh && claim.promptTokens > 0) {
        m_paces[claim.service].generations.add(claim.promptTokens, claim.memory);
    }
    const Outlook expected = outlook(now, view, claim);
    if (isHopeless(now, claim, expected)) {
        ++m_refusedAtOnce;
        // Known now: the caller learns at once when to come back, and waits for nothing.
        replies.push_back({key.owner, ClaimRefused {key.claim, expected.ahead, expected.forRoom}});
        return;
    }
    m_waiting.emplace(key, Waiting {claim, now, startBy(now, claim)});
}

void EngineScheduler::take(TimePoint now, const Key &key, const RoomHeld &held)
{
    if (m_granted.contains(key)) {
        return;
    }
    m_waiting.erase(key);
    Granted granted;
    granted.service = held.service;
    granted.run = RunNumber(++m_lastRun);
    granted.memory = held.memory;
    granted.decodeServer = held.decodeServer;
    granted.since = now;
    granted.endsBy = now + held.lasts + ExpirySlack;
    m_ledger.charge(held.decodeServer, granted.run, held.memory, now);
    if (held.decodingFor) {
        // Counted from now, a run half done would seem to want its whole output once more: after
        // a change of scheduler all engines looked full for as long as their runs went on.
        beginDecode(granted, now - *held.decodingFor);
    }
    m_granted.emplace(key, std::move(granted));
}

void EngineScheduler::take(TimePoint now, const Key &key, const PrefillEnded &ended)
{
    const auto it = m_granted.find(key);
    if (it == m_granted.end()) {
        return;
    }
    if (!it->second.prefill) {
        // Another scheduler had sent the prompt. Unless this one sees the run begin, it counts
        // whole to its end.
        if (ended.isDone && !it->second.decodesSince) {
            beginDecode(it->second, now);
        }
        return;
    }
    const ServerName server = it->second.prefill->server;
    if (ended.isDone) {
        m_ledger.endPrefill(*it->second.prefill, m_paces[it->second.service].prefill, now);
        beginDecode(it->second, now);
        m_ledger.workedWell(server);
    } else {
        m_ledger.dropPrefill(*it->second.prefill, now);
        ended.isReachable ? m_ledger.failed(server, now) : m_ledger.unreachable(server, now);
    }
    it->second.prefill.reset();
}

void EngineScheduler::take(TimePoint now, const View &view, const Key &key, const ClaimEnded &ended)
{
    m_waiting.erase(key);
    const auto it = m_granted.find(key);
    if (it == m_granted.end()) {
        return;
    }
    const ServerName server = it->second.decodeServer;
    const ServerName prefillServer = it->second.answer.prefillServer;
    const Duration held = now - it->second.since;
    if (ended.end == ClaimEnd::Served && it->second.decodesSince) {
        m_paces[it->second.service].decode.add(it->second.memory.outputTokens, ended.madeTokens,
                                               now - *it->second.decodesSince);
    }
    release(it, now);
    if (ended.end == ClaimEnd::HadNoRoom) {
        const AnnouncedServer *known = view.servers.find(server);
        const Service *service = known ? view.routes.service(known->service) : nullptr;
        m_ledger.refusedRoom(server, service && service->engine ? service->engine->memoryTokens : 0,
                             now);
    } else if (ended.end == ClaimEnd::EngineFailed) {
        m_ledger.failed(server, now);
    } else if (ended.end == ClaimEnd::Unreachable) {
        m_ledger.unreachable(server, now);
    } else if (ended.end == ClaimEnd::HandleLost) {
        m_ledger.lostHandover(prefillServer, server, now);
    } else if (ended.end == ClaimEnd::Served) {
        m_ledger.workedWell(server);
        m_waits.addHeld(held);
    }
}

void EngineScheduler::dropEarlierLives(const NodeLife &owner, TimePoint now)
{
    const auto [known, isNew] = m_lives.try_emplace(owner.node, owner.incarnation);
    if (isNew || known->second == owner.incarnation) {
        return;
    }
    known->second = owner.incarnation;
    const auto isEarlier = [&owner](const Key &key) {
        return key.owner.node == owner.node && key.owner.incarnation != owner.incarnation;
    };
    std::erase_if(m_waiting, [&](const auto &one) { return isEarlier(one.first); });
    std::erase_if(m_granted, [&](const auto &one) {
        if (!isEarlier(one.first)) {
            return false;
        }
        freeRoom(one.second, now);
        return true;
    });
}

void EngineScheduler::beginDecode(Granted &granted, TimePoint now)
{
    granted.decodesSince = now;
    m_ledger.beginDecode(granted.decodeServer, granted.run, now);
}

void EngineScheduler::freeRoom(const Granted &granted, TimePoint now)
{
    m_ledger.discharge(granted.decodeServer, granted.run);
    if (granted.prefill) {
        m_ledger.withdrawPrefill(*granted.prefill, now);
    }
}

void EngineScheduler::release(std::map<Key, Granted>::iterator it, TimePoint now)
{
    freeRoom(it->second, now);
    m_granted.erase(it);
}

void EngineScheduler::expire(TimePoint now)
{
    for (auto it = m_granted.begin(); it != m_granted.end();) {
        const auto next = std::next(it);
        if (now > it->second.endsBy) {
            release(it, now);
        }
        it = next;
    }
    m_ledger.forgetIdle(now);
}

void EngineScheduler::refuseLate(TimePoint now, SchedulerReplies &replies)
{
    std::erase_if(m_waiting, [&](const auto &one) {
        const Duration waited = now - one.second.since;
        const bool isOver = waited > one.second.claim.waitsAtMost;
        if (isOver) {
            ++m_refusedAfterWait;
            replies.push_back({one.first.owner, ClaimRefused {one.first.claim, 0, waited}});
        }
        return isOver;
    });
}

const ServicePace &EngineScheduler::paceOf(const ServiceName &service) const
{
    static const ServicePace Unknown;
    const auto it = m_paces.find(service);
    return it == m_paces.end() ? Unknown : it->second;
}

TimePoint EngineScheduler::startBy(TimePoint now, const Claim &claim) const
{
    return now + claim.untilTarget - FirstEventAfterPrefill
        - m_ledger.prefillTime(ServerName(), claim.promptTokens, paceOf(claim.service).prefill,
                               now);
}

bool EngineScheduler::isHopeless(TimePoint now, const Claim &claim, const Outlook &expected)
{
    const PrefillPace &pace = paceOf(claim.service).prefill;
    // A prompt so long that even idle engines would be late is no reason to refuse it for ever.
    const bool couldBeInTime = claim.urgency == Urgency::Fresh
        && m_ledger.prefillTime(ServerName(), claim.promptTokens, pace, now) < claim.untilTarget;
    const Duration latest = claim.untilTarget - m_waits.allowanceForLarge(claim, pace);
    return expected.forRoom > claim.waitsAtMost || (couldBeInTime && expected.firstEvent > latest);
}

EngineChoice::Limit EngineScheduler::enginesWanted(const View &view,
                                                   const ServiceName &service) const
{
    const std::size_t domains = std::max<std::size_t>(view.servers.domainsOf(service).size(), 1);
    const std::size_t work = m_granted.size() + m_waiting.size();
    return std::max(LeastEngines, EnginesForRun * work / domains);
}

EngineScheduler::Outlook EngineScheduler::outlook(TimePoint now, const View &view,
                                                  const Claim &claim)
{
    const Service *service = view.routes.service(claim.service);
    if (!service || !service->engine) {
        return {};
    }
    const ServicePace &pace = paceOf(claim.service);
    const EngineChoice some(m_ledger, view.servers, *service, pace, now,
                            enginesWanted(view, claim.service));
    m_enginesLooked += some.looked();
    const Outlook expected = outlook(now, some, claim);
    if (!some.isLimited() || !isHopeless(now, claim, expected)) {
        return expected;
    }
    // No claim is refused for engines that were not looked at.
    const EngineChoice all(m_ledger, view.servers, *service, pace, now);
    m_enginesLooked += all.looked();
    return outlook(now, all, claim);
}

EngineScheduler::Outlook EngineScheduler::outlook(TimePoint now, const EngineChoice &engines,
                                                  const Claim &claim) const
{
    Outlook result;
    const PrefillPace &prefillPace = paceOf(claim.service).prefill;
    double tokensAhead = 0;
    Duration promptsAhead {};
    const TimePoint latest = startBy(now, claim);
    for (const auto &[key, waiting] : m_waiting) {
        const bool goesBefore =
            std::tie(waiting.claim.urgency, waiting.claim.priority, waiting.startBy)
            <= std::tie(claim.urgency, claim.priority, latest);
        if (waiting.claim.service == claim.service && goesBefore) {
            ++result.ahead;
            tokensAhead += meanTokens(waiting.claim.memory);
            promptsAhead += prefillPace.work(waiting.claim.promptTokens);
        }
    }
    // Those who wait though a prompt would be read at once wait for room: what is free is too
    // small for them, or kept for one of them.
    const bool isRoomShort = result.ahead > 0 && engines.leastPrefillWait() <= LongPrefillWait;
    const double free = isRoomShort ? 0 : engines.freeFor(claim.memory);
    const double wanted = tokensAhead + meanTokens(claim.memory) - free;
    if (engines.memory() > 0 && wanted > 0) {
        result.forRoom = m_waits.untilFree(wanted / engines.memory());
    }
    // While it waits for room, the prompts before it are read.
    const Duration least = m_ledger.prefillTime(ServerName(), claim.promptTokens, prefillPace, now);
    Duration untilRead {};
    if (claim.promptTokens > 0 && engines.hasPrefill()) {
        // Decode engines read, too, while they have room for all.
        const bool hasSpare = engines.freeFor({}) > tokensWaiting(claim.service);
        const double readers = static_cast<double>(engines.prefillEngines())
            + (hasSpare ? static_cast<double>(engines.decodeEngines())
                       * EngineLedger::wholeReadsOfPrefill()
                        : 0);
        untilRead = engines.leastPrefillTime(claim.promptTokens)
            + Duration(static_cast<Duration::rep>(static_cast<double>(promptsAhead.count())
                                                  / readers));
    }
    result.firstEvent = std::max(untilRead, result.forRoom + least) + FirstEventAfterPrefill;
    return result;
}

std::vector<EngineScheduler::WaitingMap::iterator>
EngineScheduler::order(TimePoint now, Duration prefillWait, const ServiceName &service)
{
    struct Place
    {
        int rank = 0;
        std::uint32_t priority = 0;
        TimePoint startBy {};
        WaitingMap::iterator waiting;
    };
    constexpr int Late = 2;
    std::vector<Place> places;
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        const Waiting &waiting = it->second;
        if (waiting.claim.service == service) {
            const bool isLate =
                waiting.claim.urgency == Urgency::Fresh && now + prefillWait > waiting.startBy;
            const int rank = isLate ? Late : static_cast<int>(waiting.claim.urgency);
            places.push_back({rank, waiting.claim.priority, waiting.startBy, it});
        }
    }
    std::stable_sort(places.begin(), places.end(), [](const Place &a, const Place &b) {
        return std::tie(a.rank, a.priority, a.startBy) < std::tie(b.rank, b.priority, b.startBy);
    });
    std::vector<WaitingMap::iterator> ordered;
    ordered.reserve(places.size());
    for (const Place &place : places) {
        ordered.push_back(place.waiting);
    }
    return ordered;
}

void EngineScheduler::grant(TimePoint now, const View &view, SchedulerReplies &replies)
{
    if (m_waiting.size() > ManyWaiting && now < m_nextPass) {
        return;
    }
    m_nextPass = now + BetweenPasses;
    std::set<ServiceName> services;
    for (const auto &[key, waiting] : m_waiting) {
        services.insert(waiting.claim.service);
    }
    for (const ServiceName &name : services) {
        const Service *service = view.routes.service(name);
        if (service && service->engine
            && !grantOne(now, view, *service, enginesWanted(view, name), replies)) {
            grantOne(now, view, *service, EngineChoice::All, replies);
        }
    }
}

bool EngineScheduler::grantOne(TimePoint now, const View &view, const Service &service,
                               EngineChoice::Limit limit, SchedulerReplies &replies)
{
    Pass pass {EngineChoice(m_ledger, view.servers, service, paceOf(service.name), now, limit)};
    m_enginesLooked += pass.engines.looked();
    bool isAnyLeft = false;
    pass.spare = pass.engines.freeFor({}) - tokensWaiting(service.name);
    for (const auto it : order(now, pass.engines.leastPrefillWait(), service.name)) {
        if (tryGrant(now, pass, it->first, it->second, replies)) {
            m_waiting.erase(it);
            continue;
        }
        isAnyLeft = true;
        if (pass.isPrefillFull) {
            break;
        }
        if (now > it->second.since + KeepRoomAfter) {
            pass.engines.keepRoom();
        }
    }
    return !isAnyLeft || !pass.engines.isLimited();
}

double EngineScheduler::tokensWaiting(const ServiceName &service) const
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

bool EngineScheduler::tryGrant(TimePoint now, Pass &pass, const Key &key, const Waiting &waiting,
                               SchedulerReplies &replies)
{
    const Claim &claim = waiting.claim;
    if (pass.tooLarge != 0 && claim.memory.whole() >= pass.tooLarge && claim.without.empty()) {
        return false;
    }
    EngineChoice::DecodeRoom *room = pass.engines.chooseDecode(claim);
    if (!room) {
        if (claim.without.empty()) {
            pass.tooLarge = claim.memory.whole();
        }
        return false;
    }
    const AnnouncedServer *decode = room->server;
    Granted granted;
    const ServicePace &pace = paceOf(claim.service);
    granted.answer = {key.claim, decode->name, {}, pace.work()};
    if (claim.promptTokens > 0 && pass.engines.hasPrefill()) {
        const AnnouncedServer *prefill = pass.engines.choosePrefill(claim, *decode);
        if (prefill) {
            granted.prefill =
                m_ledger.beginPrefill(prefill->name, claim.promptTokens, pace.prefill, now);
            granted.answer.prefillServer = prefill->name;
        } else {
            // Prompts are what binds, while memory for them all lies idle on decode engines.
            const bool isPressed = now + WholeReadBefore > waiting.startBy;
            room = isPressed && pass.spare > 0 ? pass.engines.chooseWholeRead(claim) : nullptr;
            if (!room) {
                pass.isPrefillFull = claim.without.empty();
                return false;
            }
            decode = room->server;
            granted.answer.decodeServer = decode->name;
            granted.answer.readsWhole = true;
            m_ledger.beginWholeRead(decode->name, claim.promptTokens, pace.prefill, now);
        }
    }
    granted.service = claim.service;
    granted.run = RunNumber(++m_lastRun);
    granted.memory = claim.memory;
    granted.decodeServer = decode->name;
    granted.since = now;
    granted.endsBy = now + claim.lasts + ExpirySlack;
    m_ledger.charge(decode->name, granted.run, claim.memory, now);
    if (!granted.prefill) {
        beginDecode(granted, now);
    }
    pass.engines.fill(*room, claim.memory);
    replies.push_back({key.owner, granted.answer});
    m_granted.emplace(key, std::move(granted));
    return true;
}

} // namespace indigoway::scheduling
