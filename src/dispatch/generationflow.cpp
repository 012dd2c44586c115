#include "generationflow.h"

namespace indigoway::dispatch {

namespace {

constexpr int FirstServerFailure = 500;
constexpr int BadGateway = 502;
/** How often engines are asked again while requests wait and nothing else has happened. */
constexpr Duration AskAgainAfter = std::chrono::milliseconds(30);
/** Reservations that are asked for at a time; more would overtake each other's order. */
constexpr std::uint32_t MostReserving = 4;
/** An engine answers a reservation at once; a silent one is down. */
constexpr Duration ReserveSilence = std::chrono::milliseconds(300);
/** Longest prompts take 200 ms to read; an engine with several in line takes some times that. */
constexpr Duration PrefillSilence = std::chrono::milliseconds(1200);
/** Of a stream that can be taken over: the longest pauses of a healthy engine are a third. */
constexpr Duration StreamSilence = std::chrono::milliseconds(1500);
/** A request that found no room for so long is rejected: what comes first now comes sooner. */
constexpr Duration LongestWait = std::chrono::milliseconds(2000);
/** From a reservation to the first event, at the median: prompt read, moved, first token. */
constexpr Duration FirstEventAfter = std::chrono::milliseconds(250);
/** A decode engine's requests take some seconds; a fraction of them are done after one. */
constexpr Duration ComeBackAfter = std::chrono::milliseconds(1200);
/** A reservation is not relied on so shortly before its end. */
constexpr Duration ReservationMargin = std::chrono::milliseconds(100);
constexpr std::uint32_t MostPrefills = 2;
/** Memory is given out by blocks of so many tokens. */
constexpr std::uint64_t BlockTokens = 16;

std::uint64_t expectedTokens(const ArrivedRequest &facts)
{
    const std::uint64_t output =
        std::min(facts.mostOutputTokens, facts.likelyOutputTokens.value_or(facts.mostOutputTokens));
    return facts.promptTokens + output + BlockTokens;
}

EnginePlacement::Need needOf(Step &step, const OpenRequest &request, const DomainName &domain)
{
    return {request.tokens, domain, &request.tried, step.random()};
}

} // namespace

void GenerationFlow::begin(Step &step, OpenRequest &request)
{
    m_state.allowance(request.service->name).requestSent(step.now);
    request.tokens = expectedTokens(request.facts);
    enqueue(step, request);
}

void GenerationFlow::streamBegan(Step &step, OpenRequest &request, const StreamBegan &event)
{
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
    giveBack(step, request);
}

std::optional<TimePoint> GenerationFlow::tick(Step &step)
{
    pump(step);
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    return step.now + AskAgainAfter;
}

void GenerationFlow::enqueue(Step &step, OpenRequest &request)
{
    request.stage = Stage::Waiting;
    m_waiting.insert(request.facts.request);
    pump(step);
}

void GenerationFlow::pump(Step &step)
{
    rejectHopeless(step);
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
        if (step.now > request->arrived + LongestWait) {
            hopeless.push_back(number);
        }
    }
    for (const RequestNumber number : hopeless) {
        giveUpNotRun(step, *m_state.requests.find(number), "no room at any decode engine");
    }
}

bool GenerationFlow::reserve(Step &step, OpenRequest &request)
{
    const auto candidates = engines(step, request, EnginePhase::Decode);
    const AnnouncedServer *server = m_placement.pickDecode(
        candidates, needOf(step, request, m_state.settings.domain), step.now);
    if (!server) {
        return false;
    }
    m_waiting.erase(request.facts.request);
    m_placement.asking(server->name);
    ++m_reserving;
    request.stage = Stage::Reserving;
    StartCall call;
    call.kind = CallKind::Reserve;
    call.silentFor = ReserveSilence;
    call.reserveTokens = request.tokens;
    call.reserveFor = request.service->engine->longestReservation;
    startCall(step, request, *server, std::move(call));
    return true;
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
        request.reservedUntil = step.now + request.service->engine->longestReservation;
        if (request.facts.isContinuation || request.eventsPassed > 0) {
            decode(step, request, true);
        } else {
            prefill(step, request);
        }
        return;
    }
    m_placement.refused(server, request.tokens, step.now);
    if (event.end == CallEnd::NotConnected || event.end == CallEnd::Broken) {
        m_state.tracker.failed(server, step.now);
    } else {
        m_state.tracker.turnedAway(server);
    }
    ++request.refusals;
    request.stage = Stage::Waiting;
    m_waiting.insert(request.facts.request);
}

void GenerationFlow::prefill(Step &step, OpenRequest &request)
{
    const AnnouncedServer *decodeServer = m_state.servers.find(request.decodeServer);
    const DomainName domain = decodeServer ? decodeServer->domain : m_state.settings.domain;
    const AnnouncedServer *server = m_placement.pickPrefill(
        engines(step, request, EnginePhase::Prefill), needOf(step, request, domain), step.now);
    if (!server || request.prefillTries >= MostPrefills) {
        decode(step, request, true);
        return;
    }
    if (!takeExtra(step, request, request.prefillTries)) {
        return;
    }
    ++request.prefillTries;
    request.stage = Stage::Prefilling;
    request.prefillServer = server->name;
    m_placement.charge(server->name, request.facts.promptTokens);
    StartCall call;
    call.kind = CallKind::Prefill;
    call.silentFor = PrefillSilence;
    startCall(step, request, *server, std::move(call));
}

void GenerationFlow::prefillEnded(Step &step, OpenRequest &request, const OpenCall &call,
                                  const CallEnded &event)
{
    const ServerName &server = call.server.name;
    m_placement.discharge(server, request.facts.promptTokens);
    if (event.end == CallEnd::Complete && !event.handle.empty()) {
        m_state.tracker.answered(server, step.now - call.started, true, step.now);
        request.handle = event.handle;
        decode(step, request, false);
        return;
    }
    if (event.end == CallEnd::NotExecuted) {
        m_state.tracker.turnedAway(server);
    } else {
        m_state.tracker.failed(server, step.now);
    }
    if (event.end == CallEnd::NotConnected) {
        --request.prefillTries;
    }
    step.add(RecordDecision {"prefill_failed", request.facts.callerId,
                             "server=" + server.text() + " " + event.why});
    request.tried.insert(server);
    prefill(step, request);
}

void GenerationFlow::decode(Step &step, OpenRequest &request, bool isWhole)
{
    const AnnouncedServer *server = m_state.servers.find(request.decodeServer);
    if (!server || m_state.servers.standing(server->name, step.now) == Standing::Leaving) {
        giveBack(step, request);
        request.tried.insert(request.decodeServer);
        enqueue(step, request);
        return;
    }
    if (!takeExtra(step, request, request.arrivals)) {
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
    startCall(step, request, *server, std::move(call));
}

void GenerationFlow::decodeEnded(Step &step, OpenRequest &request, const OpenCall &call,
                                 const CallEnded &event)
{
    const ServerName &server = call.server.name;
    request.eventsPassed = std::max(request.eventsPassed, event.events);
    switch (event.end) {
    case CallEnd::Complete: {
        const bool isWell = event.status < FirstServerFailure;
        m_state.tracker.answered(server, step.now - call.started, isWell, step.now);
        if (isWell && !request.isForwarding) {
            request.handle.clear();
        }
        giveBack(step, request);
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
    step.add(RecordDecision {"decode_not_run", request.facts.callerId,
                             "kind=" + std::string(nameOf(call.kind))
                                 + " server=" + call.server.name.text() + " " + event.why});
    if (event.end == CallEnd::NotConnected) {
        --request.arrivals;
        m_state.tracker.failed(call.server.name, step.now);
        request.tried.insert(call.server.name);
    } else {
        m_state.tracker.turnedAway(call.server.name);
        if (call.kind == CallKind::Decode) {
            // Room was reserved, so it is the KV cache that could not be had: it lapsed, or the
            // engine that keeps it cannot be reached. The decode engine reads the prompt itself.
            m_state.tracker.failed(request.prefillServer, step.now);
            request.handle.clear();
            decode(step, request, true);
            return;
        }
    }
    giveBack(step, request);
    enqueue(step, request);
}

void GenerationFlow::decodeBroken(Step &step, OpenRequest &request, const CallEnded &event)
{
    request.handle.clear();
    request.tried.insert(request.decodeServer);
    giveBack(step, request);
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

bool GenerationFlow::takeExtra(Step &step, OpenRequest &request, std::uint32_t sentBefore)
{
    if (sentBefore == 0 || m_state.allowance(request.service->name).take(step.now)) {
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
        m_state.requests.reject(step, request, step.spread(ComeBackAfter), why);
    }
}

void GenerationFlow::startCall(Step &step, OpenRequest &request, const AnnouncedServer &server,
                               StartCall call)
{
    call.request = request.facts.request;
    call.patience = request.answerBy - step.now;
    request.server = server.name;
    request.callKind = call.kind;
    request.callStarted = step.now;
    request.call = m_state.calls.start(step, server, std::move(call));
}

void GenerationFlow::giveBack(Step &step, OpenRequest &request)
{
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
    return m_state.tracker.preferred(
        m_state.servers.candidates(request.service->name, phase, step.now), step.now);
}

} // namespace indigoway::dispatch
