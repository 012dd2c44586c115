#include "plainscheduler.h"

#include <algorithm>
#include <cmath>

namespace indigoway::slots {

namespace {

/**
 * Requests above the slots that a server gets, so that it is not idle for the round trip between
 * the end of a request and the arrival of the next.
 */
constexpr double RequestsAboveSlots = 1;
/** Cost of a server in another failure domain than the node: the network round trip. */
constexpr double OtherDomainPenaltyMilliseconds = 3;
/** Bounds the cost of a decision for services with many servers. */
constexpr std::size_t MaxServersExamined = 64;
/** Waiting claims that are skipped because they exclude the servers with room. */
constexpr std::size_t MaxClaimsSkipped = 16;
/**
 * Factor by which the expected wait of an accepted claim may exceed its time left: the estimate
 * varies with the speed of the servers, and a refusal cannot be taken back.
 */
constexpr int WaitTolerance = 2;
/** Wait stated in a refusal if the service has no usable server. */
constexpr Duration NoServerWait = std::chrono::milliseconds(250);
constexpr Duration MaxStatedWait = std::chrono::seconds(10);

constexpr Duration TickInterval = std::chrono::milliseconds(20);
/** Interval without waiting claims, in which only expired slots are freed. */
constexpr Duration IdleTickInterval = std::chrono::seconds(1);
/** A node answers its caller at most this long after the deadline, and then frees the slot. */
constexpr Duration ExpiryMargin = std::chrono::milliseconds(300);
/** Nodes repeat waiting claims; after several missing repetitions the node has probably ended. */
constexpr Duration MaxSilenceOfWaiting = std::chrono::milliseconds(600);
/** A slot whose end may have been lost is freed after this multiple of the expected time. */
constexpr double LostClaimFactor = 4;
constexpr Duration MinLostClaimAge = std::chrono::milliseconds(200);
/** A cancelled call that took this multiple of the expected time counts as a failure. */
constexpr double OverdueFactor = 4;
constexpr Duration MinOverdueTime = std::chrono::milliseconds(500);
constexpr Duration ExpiryCheckInterval = std::chrono::milliseconds(100);
/** Time after which an unused service or a silent node is forgotten. */
constexpr Duration Retention = std::chrono::seconds(60);

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

bool excludes(const SlotClaim &claim, const ServerName &server)
{
    return std::ranges::find(claim.excludedServers, server) != claim.excludedServers.end();
}

} // namespace

SlotReplies PlainScheduler::handle(TimePoint now, const ServerDirectory &servers,
                                   const NodeLife &from, const ToPlainScheduler &message)
{
    recordLife(now, from);
    removeExpired(now, servers);
    SlotReplies replies;
    std::visit([&](const auto &alternative) { handle(now, servers, from, alternative, replies); },
               message);
    return replies;
}

void PlainScheduler::handle(TimePoint now, const ServerDirectory &servers, const NodeLife &from,
                            const SlotClaim &claim, SlotReplies &replies)
{
    const ClaimKey key {from, claim.claim};
    if (const auto it = m_claims.find(key); it != m_claims.end()) {
        it->second.heardAt = now;
        if (it->second.server.isEmpty()) {
            replies.push_back({from, SlotQueued {claim.claim}, {}});
        } else {
            replies.push_back({from, SlotGranted {claim.claim, it->second.server}, {}});
        }
        return;
    }
    const Capacity capacity = capacityOf(now, servers, claim.service);
    if (capacity.candidates.empty()) {
        ++m_refused;
        replies.push_back({from, SlotRefused {claim.claim, NoServerWait},
                           "service=" + claim.service.text() + " no server"});
        return;
    }
    ServiceState &service = m_services[claim.service];
    service.usedAt = now;
    OpenClaim &open = m_claims[key];
    open.message = claim;
    open.receivedAt = now;
    open.heardAt = now;
    open.targetAt = now + claim.timeToTarget;
    open.deadline = now + claim.timeLeft;
    open.workMilliseconds = service.work.recordClaim(claim, now);
    QueueClass queueClass {claim.priority, false};
    const Duration answerTime = ServiceWork::expectedAnswer(capacity.speed, open.workMilliseconds);
    const Duration onTimeWait =
        service.work.expectedWait(capacity.speed, false, workAhead(service, queueClass), now);
    queueClass.isLate = onTimeWait + answerTime > claim.timeToTarget
        || onTimeWait > service.work.maxOnTimeWait(capacity.speed, now);
    const Duration wait = queueClass.isLate
        ? service.work.expectedWait(capacity.speed, true, workAhead(service, queueClass), now)
        : onTimeWait;
    enqueue(key, open, queueClass);
    serve(now, servers, claim.service, replies);
    if (!open.server.isEmpty()) {
        return;
    }
    if (wait + answerTime > claim.timeLeft) {
        refuse(now, key, wait, replies);
    } else {
        replies.push_back({from, SlotQueued {claim.claim}, {}});
    }
}

void PlainScheduler::handle(TimePoint now, const ServerDirectory &servers, const NodeLife &from,
                            const SlotHeld &held, SlotReplies & /*replies*/)
{
    PlainServer *server = serverOf(now, servers, held.service, held.server);
    if (!server) {
        return;
    }
    const ClaimKey key {from, held.claim};
    erase(key);
    OpenClaim &open = m_claims[key];
    open.message.claim = held.claim;
    open.message.service = held.service;
    open.receivedAt = now;
    open.server = held.server;
    open.expiresAt = now + held.timeLeft + ExpiryMargin;
    server->hold(key, now);
}

void PlainScheduler::handle(TimePoint now, const ServerDirectory &servers, const NodeLife &from,
                            const SlotEnded &ended, SlotReplies &replies)
{
    const ClaimKey key {from, ended.claim};
    const auto it = m_claims.find(key);
    const bool isKnown = it != m_claims.end();
    const bool hadFreeSlot = isKnown && it->second.hadFreeSlot;
    const ServiceName name = isKnown ? it->second.message.service : ended.service;
    const RouteName route = isKnown ? it->second.message.route : RouteName();
    erase(key);
    PlainServer *server = serverOf(now, servers, name, ended.server);
    if (!server) {
        serve(now, servers, name, replies);
        return;
    }
    ServiceState &service = m_services[name];
    if (ended.load) {
        server->recordLoad(*ended.load, Duration(0), now);
    }
    const PlainServer::Figures figures = server->figures(1, now);
    const double work = service.work.mean();
    const Duration overdueTime = std::max(
        MinOverdueTime, durationOf(OverdueFactor * figures.expectedMilliseconds(work, work)));
    const bool isOverdue =
        ended.outcome == SlotOutcome::Cancelled && ended.answerTime > overdueTime;
    if (isKnown) { // A repeated datagram must not count a failure twice.
        server->recordOutcome(isOverdue ? SlotOutcome::Broken : ended.outcome, now);
    }
    if (hadFreeSlot && ended.outcome == SlotOutcome::Answered) {
        service.work.recordAnswer(route, ended.answerTime, figures.workPercent);
    }
    if (ended.load) {
        freeLostSlots(now, service, *server);
    }
    serve(now, servers, name, replies);
}

void PlainScheduler::handle(TimePoint now, const ServerDirectory &servers, const NodeLife &from,
                            const LoadReport &report, SlotReplies &replies)
{
    for (const SeenLoad &seen : report.loads) {
        if (PlainServer *server = serverOf(now, servers, report.service, seen.server)) {
            server->recordLoad(seen.load, seen.age, now);
        }
    }
    replies.push_back({from, LoadReceived {}, {}});
}

SlotReplies PlainScheduler::tick(TimePoint now, const ServerDirectory &servers)
{
    m_lastTick = now;
    removeExpired(now, servers);
    SlotReplies replies;
    for (auto &[name, service] : m_services) {
        if (service.queues.empty()) {
            continue;
        }
        refuseOverdue(now, service, capacityOf(now, servers, name), replies);
        serve(now, servers, name, replies);
    }
    return replies;
}

std::optional<TimePoint> PlainScheduler::nextTick() const
{
    if (m_services.empty()) {
        return std::nullopt;
    }
    return m_lastTick + (m_waiting > 0 ? TickInterval : IdleTickInterval);
}

PlainScheduler::Capacity PlainScheduler::capacityOf(TimePoint now, const ServerDirectory &servers,
                                                    const ServiceName &name)
{
    Capacity capacity;
    auto announced = servers.candidates(name, EnginePhase::None, now);
    if (announced.empty()) {
        return capacity;
    }
    ServiceState &service = m_services[name];
    if (announced.size() > MaxServersExamined) {
        const auto first = static_cast<std::ptrdiff_t>(service.nextExamined++ % announced.size());
        std::rotate(announced.begin(), announced.begin() + first, announced.end());
        announced.resize(MaxServersExamined);
    }
    for (const AnnouncedServer *server : announced) {
        Candidate candidate;
        candidate.server = server;
        updateCandidate(candidate, service.servers[server->name], now);
        capacity.candidates.push_back(candidate);
    }
    // If calls to most servers get no answer, the network or the nodes are the likely cause, and
    // avoiding the servers would only overload the others.
    const auto isAvoided = [](const Candidate &one) {
        return one.figures.isAvoided;
    };
    const auto avoided =
        static_cast<std::size_t>(std::ranges::count_if(capacity.candidates, isAvoided));
    if (2 * (capacity.candidates.size() - avoided) >= capacity.candidates.size()) {
        std::erase_if(capacity.candidates, isAvoided);
    }
    double slots = 0;
    for (const Candidate &candidate : capacity.candidates) {
        const double percent = candidate.figures.workPercent;
        capacity.speed.workRate += candidate.figures.slots * UsualWorkPercent / percent;
        slots += candidate.figures.slots;
    }
    capacity.speed.workPercent =
        UsualWorkPercent * slots / std::max(capacity.speed.workRate, ServiceWork::MinWorkRate);
    // A server's own queue adds its share of the time of a request.
    const double queued = slots == 0
        ? 0
        : RequestsAboveSlots * static_cast<double>(capacity.candidates.size()) / slots;
    capacity.speed.queueMilliseconds =
        queued * service.work.mean() * capacity.speed.workPercent / UsualWorkPercent;
    capacity.speed.hasRoom = std::ranges::any_of(capacity.candidates, &Candidate::hasRoom);
    return capacity;
}

void PlainScheduler::updateCandidate(Candidate &candidate, const PlainServer &server, TimePoint now)
{
    candidate.figures = server.figures(candidate.server->slots, now);
    candidate.hasRoom = !candidate.figures.isFull
        && candidate.figures.requests() + 1 <= candidate.figures.slots + RequestsAboveSlots;
}

void PlainScheduler::serve(TimePoint now, const ServerDirectory &servers, const ServiceName &name,
                           SlotReplies &replies)
{
    const auto known = m_services.find(name);
    if (known == m_services.end() || known->second.queues.empty()) {
        return;
    }
    ServiceState &service = known->second;
    Capacity capacity = capacityOf(now, servers, name);
    std::size_t skipped = 0;
    for (std::optional<QueueEntry> entry = firstWaiting(service); entry;
         entry = nextWaiting(service, *entry)) {
        if (std::ranges::none_of(capacity.candidates, &Candidate::hasRoom)
            || skipped > MaxClaimsSkipped) {
            return;
        }
        const ClaimKey &key = entry->key;
        OpenClaim &claim = m_claims.at(key);
        if (now > claim.heardAt + MaxSilenceOfWaiting) {
            ++m_expired;
            erase(key);
        } else if (hasMissedTarget(now, capacity, claim)) {
            moveToLate(key, claim);
        } else {
            skipped += grant(now, service, capacity, key, claim, replies) ? 0 : 1;
        }
    }
}

std::optional<PlainScheduler::QueueEntry> PlainScheduler::firstWaiting(const ServiceState &service)
{
    if (service.queues.empty()) {
        return std::nullopt;
    }
    const auto &[queueClass, claims] = *service.queues.begin();
    const auto &[position, key] = *claims.queue.begin();
    return QueueEntry {queueClass, position, key};
}

std::optional<PlainScheduler::QueueEntry> PlainScheduler::nextWaiting(const ServiceState &service,
                                                                      const QueueEntry &entry)
{
    // Queues that became empty were removed.
    auto queue = service.queues.find(entry.queueClass);
    if (queue != service.queues.end()) {
        const auto next = queue->second.queue.upper_bound({entry.position, entry.key});
        if (next != queue->second.queue.end()) {
            return QueueEntry {entry.queueClass, next->first, next->second};
        }
    }
    queue = service.queues.upper_bound(entry.queueClass);
    if (queue == service.queues.end()) {
        return std::nullopt;
    }
    const auto &[position, key] = *queue->second.queue.begin();
    return QueueEntry {queue->first, position, key};
}

bool PlainScheduler::hasMissedTarget(TimePoint now, const Capacity &capacity,
                                     const OpenClaim &claim)
{
    return !claim.queueClass.isLate
        && now + ServiceWork::expectedAnswer(capacity.speed, claim.workMilliseconds)
        > claim.targetAt;
}

void PlainScheduler::moveToLate(const ClaimKey &key, OpenClaim &claim)
{
    dequeue(key, claim);
    enqueue(key, claim, {claim.queueClass.priority, true});
}

bool PlainScheduler::grant(TimePoint now, ServiceState &service, Capacity &capacity,
                           const ClaimKey &key, OpenClaim &claim, SlotReplies &replies)
{
    Candidate *best = nullptr;
    double bestScore = 0;
    for (Candidate &candidate : capacity.candidates) {
        if (!candidate.hasRoom || excludes(claim.message, candidate.server->name)) {
            continue;
        }
        const bool isOtherDomain = candidate.server->domain != claim.message.domain;
        const double score =
            candidate.figures.expectedMilliseconds(claim.workMilliseconds, service.work.mean())
            + (isOtherDomain ? OtherDomainPenaltyMilliseconds : 0);
        if (!best || score < bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    if (!best) {
        return false;
    }
    dequeue(key, claim);
    if (!claim.queueClass.isLate) {
        service.work.recordOnTimeGrant(claim.workMilliseconds, now);
    }
    claim.server = best->server->name;
    claim.expiresAt = claim.deadline + ExpiryMargin;
    claim.hadFreeSlot = best->figures.requests() + 1 <= best->figures.slots;
    ++m_granted;
    replies.push_back({key.node, SlotGranted {key.claim, claim.server},
                       "service=" + claim.message.service.text() + " server=" + claim.server.text()
                           + " waited_ms=" + millisecondsText(now - claim.receivedAt)
                           + " to_target_ms=" + millisecondsText(claim.targetAt - now)
                           + " late=" + (claim.queueClass.isLate ? "yes" : "no")
                           + " expected_ms=" + std::to_string(std::lround(bestScore)) + " "
                           + figuresText(best->figures)});
    PlainServer &server = service.servers[claim.server];
    server.hold(key, now);
    updateCandidate(*best, server, now);
    return true;
}

void PlainScheduler::refuse(TimePoint now, const ClaimKey &key, Duration expectedWait,
                            SlotReplies &replies)
{
    const OpenClaim &claim = m_claims.at(key);
    const Duration stated = std::min(expectedWait, MaxStatedWait);
    replies.push_back({key.node, SlotRefused {key.claim, stated},
                       "service=" + claim.message.service.text()
                           + " waited_ms=" + millisecondsText(now - claim.receivedAt)
                           + " left_ms=" + millisecondsText(claim.deadline - now)
                           + " waiting=" + std::to_string(m_waiting)
                           + " expected_wait_ms=" + millisecondsText(stated)});
    ++m_refused;
    erase(key);
}

void PlainScheduler::refuseOverdue(TimePoint now, ServiceState &service, const Capacity &capacity,
                                   SlotReplies &replies)
{
    double ahead = 0;
    for (std::optional<QueueEntry> entry = firstWaiting(service); entry;
         entry = nextWaiting(service, *entry)) {
        OpenClaim &claim = m_claims.at(entry->key);
        if (hasMissedTarget(now, capacity, claim)) {
            moveToLate(entry->key, claim);
            continue;
        }
        const Duration wait = capacity.candidates.empty()
            ? NoServerWait
            : service.work.expectedWait(capacity.speed, entry->queueClass.isLate, ahead, now);
        const bool isTooLate = now + wait / WaitTolerance
                + ServiceWork::expectedAnswer(capacity.speed, claim.workMilliseconds)
            > claim.deadline;
        if (capacity.candidates.empty() || isTooLate) {
            refuse(now, entry->key, wait, replies);
        } else {
            ahead += claim.workMilliseconds;
        }
    }
}

double PlainScheduler::workAhead(const ServiceState &service, const QueueClass &queueClass)
{
    double work = 0;
    for (const auto &[other, claims] : service.queues) {
        work += other <= queueClass ? claims.workMilliseconds : 0;
    }
    return work;
}

PlainServer *PlainScheduler::serverOf(TimePoint now, const ServerDirectory &servers,
                                      const ServiceName &service, const ServerName &server)
{
    const AnnouncedServer *announced = server.isEmpty() ? nullptr : servers.find(server);
    if (!announced || announced->service != service || announced->phase != EnginePhase::None) {
        return nullptr;
    }
    ServiceState &state = m_services[service];
    state.usedAt = now;
    return &state.servers[server];
}

void PlainScheduler::freeLostSlots(TimePoint now, const ServiceState &service,
                                   const PlainServer &server)
{
    const double expected =
        server.figures(1, now).expectedMilliseconds(service.work.mean(), service.work.mean());
    const Duration age = std::max(MinLostClaimAge, durationOf(LostClaimFactor * expected));
    while (const auto lost = server.findLostClaim(age, now)) {
        ++m_expired;
        erase(*lost);
    }
}

TimePoint PlainScheduler::queuePosition(const OpenClaim &claim)
{
    return claim.queueClass.isLate ? claim.deadline : claim.receivedAt;
}

void PlainScheduler::enqueue(const ClaimKey &key, OpenClaim &claim, const QueueClass &queueClass)
{
    claim.queueClass = queueClass;
    WaitingClaims &waiting = m_services[claim.message.service].queues[queueClass];
    waiting.queue.emplace(queuePosition(claim), key);
    waiting.workMilliseconds += claim.workMilliseconds;
    ++m_waiting;
}

void PlainScheduler::dequeue(const ClaimKey &key, const OpenClaim &claim)
{
    auto &queues = m_services[claim.message.service].queues;
    const auto waiting = queues.find(claim.queueClass);
    if (waiting == queues.end() || waiting->second.queue.erase({queuePosition(claim), key}) == 0) {
        return;
    }
    --m_waiting;
    waiting->second.workMilliseconds -= claim.workMilliseconds;
    if (waiting->second.queue.empty()) {
        queues.erase(waiting);
    }
}

void PlainScheduler::erase(const ClaimKey &key)
{
    const auto it = m_claims.find(key);
    if (it == m_claims.end()) {
        return;
    }
    const OpenClaim &claim = it->second;
    if (claim.server.isEmpty()) {
        dequeue(key, claim);
    } else {
        auto &servers = m_services[claim.message.service].servers;
        if (const auto server = servers.find(claim.server); server != servers.end()) {
            server->second.release(key);
        }
    }
    m_claims.erase(it);
}

void PlainScheduler::recordLife(TimePoint now, const NodeLife &from)
{
    KnownLife &known = m_lives[from.node];
    known.heardAt = now;
    if (known.incarnation == from.incarnation) {
        return;
    }
    known.incarnation = from.incarnation;
    std::vector<ClaimKey> earlier;
    const ClaimKey first {{from.node, Incarnation()}, SlotClaimId()};
    for (auto it = m_claims.lower_bound(first);
         it != m_claims.end() && it->first.node.node == from.node; ++it) {
        if (it->first.node.incarnation != from.incarnation) {
            earlier.push_back(it->first);
        }
    }
    for (const ClaimKey &key : earlier) {
        ++m_expired;
        erase(key);
    }
}

void PlainScheduler::removeExpired(TimePoint now, const ServerDirectory &servers)
{
    if (now < m_expiredCheckedAt + ExpiryCheckInterval) {
        return;
    }
    m_expiredCheckedAt = now;
    std::vector<ClaimKey> expired;
    for (const auto &[key, claim] : m_claims) {
        const bool hasExpired = claim.server.isEmpty()
            ? now > claim.heardAt + MaxSilenceOfWaiting
            : now > claim.expiresAt || !servers.find(claim.server);
        if (hasExpired) {
            expired.push_back(key);
        }
    }
    for (const ClaimKey &key : expired) {
        ++m_expired;
        erase(key);
    }
    for (auto &[name, service] : m_services) {
        std::erase_if(service.servers, [&](const auto &one) { return !servers.find(one.first); });
    }
    std::erase_if(m_services, [now](const auto &one) {
        const bool isEmpty = one.second.queues.empty()
            && std::ranges::all_of(one.second.servers,
                                   [](const auto &server) { return server.second.held() == 0; });
        return isEmpty && now > one.second.usedAt + Retention;
    });
    std::erase_if(m_lives, [now](const auto &one) { return now > one.second.heardAt + Retention; });
}

std::vector<PlainScheduler::ServerState> PlainScheduler::serverStates(TimePoint now,
                                                                      std::size_t maxCount) const
{
    std::vector<ServerState> states;
    for (const auto &[name, service] : m_services) {
        for (const auto &[server, state] : service.servers) {
            if (states.size() >= maxCount) {
                return states;
            }
            states.push_back({name, server, state.figures(0, now)});
        }
    }
    return states;
}

} // namespace indigoway::slots
