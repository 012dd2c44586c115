#include "generationflow.h"

#include "core/deadlines.h"
#include "dispatch/generationlimits.h"

namespace indigoway::dispatch {

namespace {

using scheduling::ClaimEnd;

constexpr int FirstServerFailure = 500;
constexpr int BadGateway = 502;
/** How often engines are asked again while requests wait and nothing else has happened. */
constexpr Duration AskAgainAfter = std::chrono::milliseconds(30);
/** While the scheduler decides: only what has waited too long is looked for. */
constexpr Duration LookAtClaimsAfter = std::chrono::milliseconds(100);
/** Reservations that are asked for at a time; more would overtake each other's order. */
constexpr std::uint32_t MostReserving = 4;
/** An engine answers a reservation at once; a silent one is down. */
constexpr Duration ReserveSilence = std::chrono::milliseconds(300);
/**
 * Longest prompts take 300 ms to read; at the worst load one in a hundred waits for others up to 2
 * s. A shorter bound sends those again and reads prompts twice when engines have least time to
 * spare; an engine that is down does not take the connection, and is found by that.
 */
constexpr Duration PrefillSilence = std::chrono::milliseconds(2000);
/** Of a stream that can be taken over: the longest pauses of a healthy engine are a third. */
constexpr Duration StreamSilence = std::chrono::milliseconds(1500);
/** The scheduler refuses in time; if it does not, the node does so much later. */
constexpr Duration SchedulerSlack = std::chrono::milliseconds(250);
/** From a reservation to the first event, at the median: prompt read, moved, first token. */
constexpr Duration FirstEventAfter = std::chrono::milliseconds(250);
/** A reservation is not relied on so shortly before its end. */
constexpr Duration ReservationMargin = std::chrono::milliseconds(100);
constexpr std::uint32_t MostPrefills = 2;

EnginePlacement::Need needOf(Step &step, const OpenRequest &request, const DomainName &domain)
{
    return {request.tokens, domain, &request.tried, step.random()};
}

/** What a reservation that was not granted says of its engine. */
ClaimEnd endOfReservation(CallEnd end)
{
    switch (end) {
    case CallEnd::NotExecuted:
    case CallEnd::Complete:
        return ClaimEnd::HadNoRoom;
    case CallEnd::NotConnected:
        return ClaimEnd::Unreachable;
    case CallEnd::Broken:
        break;
    }
    // Only its answer was lost. Taken for unreachable, each engine that loses some answers was out
    // for a second and more, many at once, while callers are refused.
    return ClaimEnd::EngineFailed;
}

} // namespace

void GenerationFlow::begin(Step &step, OpenRequest &request)
{
    m_state.allowance(request.service->name).requestSent(step.now);
    request.memory = memoryNeedOf(request.facts);
    request.tokens = tokensUnplanned(request.facts, request.memory);
    request.isComingBack = m_patience.isComingBack(request);
    enqueue(step, request);
}

void GenerationFlow::streamBegan(Step &step, OpenRequest &request, const StreamBegan &event)
{
    request.streaming = event.call;
    if (request.isForwarding) {
        step.add(ForwardStream {request.facts.request, event.call});
        return;
    }
    request.isForwarding = true;
    request.firstAnswer = step.now;
    request.handle.clear();
    if (event.load) {
        m_state.tracker.loadTold(request.server, *event.load, step.now);
    }
    step.add(ForwardStream {request.facts.request, event.call});
}

void GenerationFlow::callEnded(Step &step, OpenRequest &request, const OpenCall &call,
                               const CallEnded &event)
{
    request.call = {};
    if (event.load) {
        m_state.tracker.loadTold(call.server.name, *event.load, step.now);
    }
    switch (call.kind) {
    case CallKind::Reserve:
        reserveEnded(step, request, call, event);
        break;
    case CallKind::Prefill:
        prefillEnded(step, request, call, event);
        break;
    case CallKind::Decode:
    case CallKind::Whole:
        decodeEnded(step, request, call, event);
        break;
    default:
        break;
    }
    pump(step);
}

void GenerationFlow::orphanEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    m_state.tracker.callDropped(call.server.name);
    if (call.kind != CallKind::Reserve) {
        return;
    }
    --m_reserving;
    m_placement.granted(call.server.name);
    if (!event.reservation.empty()) {
        StartCall unreserve;
        unreserve.kind = CallKind::Unreserve;
        unreserve.reservation = event.reservation;
        unreserve.silentFor = ReserveSilence;
        m_state.calls.start(step, call.server, std::move(unreserve));
    }
}

void GenerationFlow::release(Step &step, OpenRequest &request)
{
    m_waiting.erase(request.facts.request);
    if (!request.call.isNone()) {
        // An answer to a reservation tells what has to be given back; it is waited for.
        if (request.callKind != CallKind::Reserve) {
            m_state.calls.abandon(step, request.call);
        }
        if (request.callKind == CallKind::Prefill) {
            m_placement.discharge(request.prefillServer, request.facts.promptTokens);
        }
        request.call = {};
    }
    giveBack(step, request, ClaimEnd::Dropped);
}

std::optional<TimePoint> GenerationFlow::tick(Step &step)
{
    pump(step);
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    const Duration after = m_claims.isUsable(step.now) ? LookAtClaimsAfter : AskAgainAfter;
    return earlier(step.now + after, m_claims.nextTick());
}

void GenerationFlow::enqueue(Step &step, OpenRequest &request)
{
    request.stage = Stage::Waiting;
    request.waitingSince = step.now;
    m_waiting.insert(request.facts.request);
    pump(step);
}

void GenerationFlow::pump(Step &step)
{
    rejectHopeless(step);
    for (const RequestNumber number : m_claims.tick(step, m_state.requests)) {
        m_state.requests.find(number)->claim = {};
    }
    if (m_claims.isUsable(step.now)) {
        claimForWaiting(step);
        return;
    }
    while (m_reserving < MostReserving) {
        OpenRequest *request = nextWaiting(step);
        if (!request || !reserve(step, *request)) {
            return;
        }
    }
}

OpenRequest *GenerationFlow::nextWaiting(Step &step)
{
    OpenRequest *best = nullptr;
    bool bestIsInTime = false;
    for (const RequestNumber number : m_waiting) {
        OpenRequest *request = m_state.requests.find(number);
        const bool isInTime =
            step.now + FirstEventAfter <= request->arrived + request->route->target;
        if (!best || (isInTime && !bestIsInTime)
            || (isInTime == bestIsInTime && request->arrived < best->arrived)) {
            best = request;
            bestIsInTime = isInTime;
        }
    }
    return best;
}

void GenerationFlow::rejectHopeless(Step &step)
{
    std::vector<RequestNumber> hopeless;
    for (const RequestNumber number : m_waiting) {
        const OpenRequest *request = m_state.requests.find(number);
        // The scheduler answers in time; if it does not, this does.
        const Duration slack = request->claim.isNone() ? Duration(0) : SchedulerSlack;
        if (step.now > request->waitingSince + longestWait(*request) + slack) {
            hopeless.push_back(number);
        }
    }
    for (const RequestNumber number : hopeless) {
        giveUpNotRun(step, *m_state.requests.find(number), "no room at any decode engine");
    }
}

void GenerationFlow::claimForWaiting(Step &step)
{
    for (const RequestNumber number : m_waiting) {
        OpenRequest &request = *m_state.requests.find(number);
        if (request.claim.isNone()) {
            m_claims.claim(step, request, m_state.settings.domain, longestWait(request));
        }
    }
}

void GenerationFlow::schedulerAnswered(Step &step, const SchedulerAnswered &event)
{
    const auto number = m_claims.answered(step, event.message, event.life, m_state.requests);
    if (const auto *told = std::get_if<scheduling::WorkTold>(&event.message)) {
        m_phases.learn(told->service, told->work);
        return;
    }
    OpenRequest *request = number ? m_state.requests.find(*number) : nullptr;
    if (!request) {
        return;
    }
    if (const auto *refused = std::get_if<scheduling::ClaimRefused>(&event.message)) {
        request->claim = {};
        giveUpNotRun(step, *request,
                     "no room, says the scheduler: claims_ahead=" + std::to_string(refused->ahead)
                         + " wait_ms=" + millisecondsText(refused->expectedWait));
        return;
    }
    const auto *granted = std::get_if<scheduling::ClaimGranted>(&event.message);
    if (!granted) {
        return;
    }
    if (granted->work) {
        m_phases.learn(request->service->name, *granted->work);
    }
    const AnnouncedServer *server = m_state.servers.find(granted->decodeServer);
    if (!server
        || m_state.servers.availability(server->name, step.now) == ServerAvailability::Leaving) {
        // What this node knows of the servers is newer.
        m_claims.end(step, *request, scheduling::ClaimEnd::Dropped);
        request->tried.insert(granted->decodeServer);
        pump(step);
        return;
    }
    request->plannedPrefill = granted->prefillServer;
    request->isPlannedWhole = granted->readsWhole;
    reserveAt(step, *request, *server);
}

bool GenerationFlow::reserve(Step &step, OpenRequest &request)
{
    const auto candidates = engines(step, request, EnginePhase::Decode);
    const AnnouncedServer *server = m_placement.pickDecode(
        candidates, needOf(step, request, m_state.settings.domain), step.now);
    if (!server) {
        return false;
    }
    reserveAt(step, request, *server);
    return true;
}

void GenerationFlow::reserveAt(Step &step, OpenRequest &request, const AnnouncedServer &server)
{
    m_waiting.erase(request.facts.request);
    m_placement.asking(server.name);
    ++m_reserving;
    request.stage = Stage::Reserving;
    StartCall call;
    call.kind = CallKind::Reserve;
    call.silentFor = ReserveSilence;
    call.reserveTokens = request.claim.isNone() ? request.tokens : tokensToBegin(request.memory);
    call.reserveFor = request.service->engine->longestReservation;
    m_state.startFor(step, request, server, std::move(call));
}

void GenerationFlow::reserveEnded(Step &step, OpenRequest &request, const OpenCall &call,
                                  const CallEnded &event)
{
    --m_reserving;
    const ServerName &server = call.server.name;
    if (event.end == CallEnd::Complete && !event.reservation.empty()) {
        m_state.tracker.answered(server, step.now - call.started, true, step.now);
        m_placement.granted(server);
        m_placement.charge(server, request.tokens);
        request.decodeServer = server;
        request.reservation = event.reservation;
        request.roomAt = step.now;
        request.reservedUntil = step.now + request.service->engine->longestReservation;
        if (request.claim.isNone()) {
            m_claims.tellHeld(step, request);
        }
        const bool isPlannedWhole = std::exchange(request.isPlannedWhole, false);
        if (isPlannedWhole || request.facts.isContinuation || request.eventsPassed > 0
            || request.readsWhole) {
            decode(step, request, true);
        } else {
            prefill(step, request);
        }
        return;
    }
    m_placement.refused(server, request.tokens, step.now);
    noteFailure(step, server, event.end);
    m_claims.end(step, request, endOfReservation(event.end));
    ++request.refusals;
    request.stage = Stage::Waiting;
    m_waiting.insert(request.facts.request);
}

void GenerationFlow::prefill(Step &step, OpenRequest &request)
{
    const AnnouncedServer *decodeServer = m_state.servers.find(request.decodeServer);
    const DomainName domain = decodeServer ? decodeServer->domain : m_state.settings.domain;
    const AnnouncedServer *server = plannedPrefill(step, request);
    if (!server) {
        server = m_placement.pickPrefill(engines(step, request, EnginePhase::Prefill),
                                         needOf(step, request, domain), step.now);
    }
    if (!server || request.prefillTries >= MostPrefills) {
        decode(step, request, true);
        return;
    }
    if (!maySend(step, request)) {
        return;
    }
    request.arrivals += request.arrivals > 0 ? 1 : 0;
    ++request.prefillTries;
    request.stage = Stage::Prefilling;
    request.prefillServer = server->name;
    m_placement.charge(server->name, request.facts.promptTokens);
    StartCall call;
    call.kind = CallKind::Prefill;
    call.silentFor = PrefillSilence;
    // An engine that fell silent takes no new connection, which shows five times sooner than its
    // silence on a kept one, and without the request having been sent.
    call.needsNewConnection = true;
    m_state.startFor(step, request, *server, std::move(call));
}

const AnnouncedServer *GenerationFlow::plannedPrefill(Step &step, OpenRequest &request)
{
    const ServerName planned = std::exchange(request.plannedPrefill, {});
    const AnnouncedServer *server = m_state.servers.find(planned);
    const bool isUsable = server && !request.tried.contains(planned)
        && m_state.servers.availability(planned, step.now) != ServerAvailability::Leaving
        && !m_placement.isBadSource(planned, step.now);
    return isUsable ? server : nullptr;
}

void GenerationFlow::prefillEnded(Step &step, OpenRequest &request, const OpenCall &call,
                                  const CallEnded &event)
{
    const ServerName &server = call.server.name;
    m_placement.discharge(server, request.facts.promptTokens);
    const bool isDone = event.end == CallEnd::Complete && !event.handle.empty();
    m_claims.prefillEnded(step, request, isDone, event.end != CallEnd::NotConnected);
    if (isDone) {
        m_state.tracker.answered(server, step.now - call.started, true, step.now);
        request.handle = event.handle;
        request.prefilledAt = step.now;
        decode(step, request, false);
        return;
    }
    noteFailure(step, server, event.end);
    if (event.end == CallEnd::NotConnected) {
        --request.prefillTries;
    } else if (request.arrivals == 0) {
        request.arrivals = 1; // Only a prefill that was done does not count as one.
    }
    step.add(RecordDecision {"prefill_failed", request.facts.callerId,
                             "server=" + server.text() + " " + event.why});
    request.tried.insert(server);
    prefill(step, request);
}

void GenerationFlow::decode(Step &step, OpenRequest &request, bool isWhole)
{
    const AnnouncedServer *server = m_state.servers.find(request.decodeServer);
    if (!server
        || m_state.servers.availability(server->name, step.now) == ServerAvailability::Leaving) {
        request.tried.insert(request.decodeServer);
        giveBack(step, request, ClaimEnd::Dropped);
        enqueue(step, request);
        return;
    }
    if (!maySend(step, request)) {
        return;
    }
    request.stage = Stage::Decoding;
    StartCall call;
    call.kind = isWhole ? CallKind::Whole : CallKind::Decode;
    if (step.now + ReservationMargin < request.reservedUntil) {
        call.reservation = request.reservation;
    }
    request.reservation.clear();
    if (!isWhole) {
        const AnnouncedServer *source = m_state.servers.find(request.prefillServer);
        call.handle = request.handle;
        call.handleAddress = source ? source->address : std::string();
    }
    call.goesOn = request.eventsPassed > 0;
    if (request.route->isResumable) {
        call.silentFor = StreamSilence;
    }
    call.needsNewConnection = true;
    ++request.runs;
    ++request.arrivals;
    m_state.startFor(step, request, *server, std::move(call));
}

void GenerationFlow::decodeEnded(Step &step, OpenRequest &request, const OpenCall &call,
                                 const CallEnded &event)
{
    const ServerName &server = call.server.name;
    request.eventsPassed = std::max(request.eventsPassed, event.events);
    switch (event.end) {
    case CallEnd::Complete: {
        if (request.isForwarding && request.streaming != event.call) {
            // Whole, but a failure in place of the rest: passed for the stream's end, the caller
            // would take the part that it has for all.
            m_state.tracker.answered(server, step.now - call.started, false, step.now);
            CallEnded failure = event;
            failure.why = "answered " + std::to_string(event.status) + " in place of going on";
            decodeBroken(step, request, failure);
            return;
        }
        const bool isWell = event.status < FirstServerFailure;
        m_state.tracker.answered(server, step.now - call.started, isWell, step.now);
        if (isWell && !request.isForwarding) {
            request.handle.clear();
        }
        giveBack(step, request, ClaimEnd::Served);
        if (request.isForwarding) {
            m_state.requests.endStream(step, request);
        } else {
            m_state.requests.deliver(step, request, event.call, event.status);
        }
        return;
    }
    case CallEnd::NotExecuted:
    case CallEnd::NotConnected:
        decodeNotRun(step, request, call, event);
        return;
    case CallEnd::Broken:
        m_state.tracker.failed(server, step.now);
        decodeBroken(step, request, event);
        return;
    }
}

void GenerationFlow::decodeNotRun(Step &step, OpenRequest &request, const OpenCall &call,
                                  const CallEnded &event)
{
    --request.runs;
    ClaimEnd how = ClaimEnd::Dropped;
    step.add(RecordDecision {"decode_not_run", request.facts.callerId,
                             "kind=" + std::string(nameOf(call.kind))
                                 + " server=" + call.server.name.text() + " " + event.why});
    noteFailure(step, call.server.name, event.end);
    if (event.end == CallEnd::NotConnected) {
        --request.arrivals;
        request.tried.insert(call.server.name);
        how = ClaimEnd::Unreachable;
    } else if (call.kind == CallKind::Decode) {
        // Room was reserved, so it is the KV cache that could not be had.
        m_placement.handoverLost(request.prefillServer, call.server.name, step.now);
        request.handle.clear();
        request.readsWhole = true;
        how = ClaimEnd::HandleLost;
    }
    giveBack(step, request, how);
    enqueue(step, request);
}

void GenerationFlow::noteFailure(Step &step, const ServerName &server, CallEnd end)
{
    switch (end) {
    case CallEnd::NotExecuted:
    case CallEnd::Complete:
        m_state.tracker.turnedAway(server);
        return;
    case CallEnd::NotConnected:
        m_state.tracker.unreachable(server, step.now);
        return;
    case CallEnd::Broken:
        m_state.tracker.failed(server, step.now);
        return;
    }
}

void GenerationFlow::decodeBroken(Step &step, OpenRequest &request, const CallEnded &event)
{
    request.handle.clear();
    request.tried.insert(request.decodeServer);
    giveBack(step, request, ClaimEnd::EngineFailed);
    const bool mayGoOn = request.route->isResumable && request.runs < request.route->maxAttempts
        && m_state.allowance(request.service->name).take(step.now);
    if (mayGoOn) {
        step.add(RecordDecision {"resume", request.facts.callerId,
                                 "after_events=" + std::to_string(request.eventsPassed) + " "
                                     + event.why});
        request.arrivals = 0; // Its extra arrival is paid for.
        enqueue(step, request);
        return;
    }
    if (request.isForwarding) {
        m_state.requests.breakStream(step, request, event.why);
    } else {
        m_state.requests.failInDoubt(step, request, BadGateway, event.why);
    }
}

bool GenerationFlow::maySend(Step &step, OpenRequest &request)
{
    if (m_state.refusedFor(request.facts.content, step.now)) {
        giveUpNotRun(step, request, CrashesServers);
        return false;
    }
    if (request.arrivals == 0 || m_state.allowance(request.service->name).take(step.now)) {
        return true;
    }
    giveUpNotRun(step, request, "no retries left");
    return false;
}

void GenerationFlow::giveUpNotRun(Step &step, OpenRequest &request, const std::string &why)
{
    release(step, request);
    if (request.isForwarding) {
        m_state.requests.breakStream(step, request, why);
    } else if (request.mayHaveRun()) {
        m_state.requests.failInDoubt(step, request, BadGateway, why);
    } else {
        const auto refused = m_state.refusedFor(request.facts.content, step.now);
        m_state.requests.reject(step, request,
                                refused.value_or(step.spread(comeBackAfter(request))), why);
    }
}

void GenerationFlow::giveBack(Step &step, OpenRequest &request, ClaimEnd how)
{
    m_claims.end(step, request, how);
    if (!request.decodeServer.isEmpty()) {
        m_placement.discharge(request.decodeServer, request.tokens);
        const AnnouncedServer *server = m_state.servers.find(request.decodeServer);
        if (server && !request.reservation.empty()) {
            StartCall call;
            call.kind = CallKind::Unreserve;
            call.reservation = request.reservation;
            call.silentFor = ReserveSilence;
            m_state.calls.start(step, *server, std::move(call));
        }
        request.decodeServer = {};
        request.reservation.clear();
    }
    const AnnouncedServer *source = m_state.servers.find(request.prefillServer);
    if (source && !request.handle.empty()) {
        StartCall call;
        call.kind = CallKind::FreeHandle;
        call.handle = request.handle;
        call.handleAddress = source->address;
        call.silentFor = ReserveSilence;
        m_state.calls.start(step, *source, std::move(call));
    }
    request.handle.clear();
}

std::vector<const AnnouncedServer *> GenerationFlow::engines(Step &step, const OpenRequest &request,
                                                             EnginePhase phase) const
{
    auto servers = m_state.servers.candidates(request.service->name, phase, step.now);
    std::erase_if(servers, [&](const AnnouncedServer *server) {
        return m_phases.isChanging(server->name, step.now);
    });
    return m_state.tracker.preferred(servers, step.now);
}

} // namespace indigoway::dispatch
