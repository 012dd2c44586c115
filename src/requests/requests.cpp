#include "requests.h"

#include "core/turn.h"
#include "membership/membership.h"

#include <algorithm>

namespace indigoway {

namespace {

constexpr std::uint32_t MaxFailures = 4;
constexpr std::uint32_t MaxResumes = 3;
constexpr std::uint32_t MaxEngineRejections = 4;
constexpr std::uint32_t MaxWrongSchedulerReplies = 3;
constexpr Duration RetryDelay = std::chrono::milliseconds(50);
constexpr int MaxRetryDoublings = 4;
constexpr Duration ResumeDelay = std::chrono::milliseconds(40);
constexpr Duration RejectedRetryDelay = std::chrono::milliseconds(60);
constexpr Duration PlacementRetryDelay = std::chrono::milliseconds(100);
constexpr Duration ShortRetryAfter = std::chrono::seconds(1);
/** Time without progress after which a call counts as failed. The limit of a prefill grows with its
 * tokens, at a speed well below that of any engine. */
constexpr Duration PrefillStallLimit = std::chrono::seconds(5);
constexpr Duration PrefillStallLimitPerToken = std::chrono::microseconds(500);
constexpr Duration DecodeStallLimit = std::chrono::seconds(4);
constexpr Duration LocalModeStallLimit = std::chrono::seconds(60);
constexpr Duration ServiceStallLimit = std::chrono::minutes(2);

bool isCertainlyNotExecuted(CallOutcome outcome)
{
    return outcome == CallOutcome::NotConnected || outcome == CallOutcome::Rejected
        || outcome == CallOutcome::Invalid;
}

} // namespace

std::string stageName(RequestStage stage)
{
    static const std::map<RequestStage, std::string> Names {
        {RequestStage::Reserving, "reserving"},   {RequestStage::Queued, "queued"},
        {RequestStage::Prefilling, "prefilling"}, {RequestStage::Assigning, "assigning"},
        {RequestStage::Decoding, "decoding"},     {RequestStage::Resuming, "resuming"},
        {RequestStage::Waiting, "waiting"},       {RequestStage::Serving, "serving"},
    };
    return Names.at(stage);
}

Requests::Requests(PlacementMode mode, LocalPolicy policy, RequestLimits limits)
    : m_mode(mode)
    , m_limits(limits)
    , m_localPlacement(policy)
{ }

void Requests::handleArrival(Turn &turn, const RequestArrived &event)
{
    turn.count(Counter::RequestsArrived);
    m_retryBudget.requestArrived();
    m_life = turn.members.life();
    const RequestNumber number = event.request;
    Request &request = m_requests[number];
    request.spec = event.spec;
    request.arrived = turn.now;
    const Target *target = turn.deployment.target(event.spec.target);
    if (m_isLeaving) {
        refuse(turn, number, RefusalReason::Leaving, Duration::zero());
        return;
    }
    if (!target || target->isService != event.spec.isService) {
        refuse(turn, number, RefusalReason::UnknownTarget, Duration::zero());
        return;
    }
    if (event.spec.promptTokens > target->maxPromptTokens) {
        refuse(turn, number, RefusalReason::PromptTooLong, Duration::zero());
        return;
    }
    if (m_requests.size() > m_limits.mostOpen) {
        refuse(turn, number, RefusalReason::TooManyOpen, ShortRetryAfter);
        return;
    }
    request.isRepeatable = event.spec.repeatable.value_or(target->repeatable);
    request.priority = event.spec.priority.value_or(target->priority);
    request.deadline = turn.now + event.spec.firstToken.value_or(target->firstToken);
    request.giveUpAt = turn.now + target->patience;
    request.maxOutputTokens = event.spec.maxOutputTokens == 0
        ? target->maxOutputTokens
        : std::min(event.spec.maxOutputTokens, target->maxOutputTokens);
    if (request.isRepeatable) {
        requestCapacity(turn, number, request);
        return;
    }
    if (event.spec.idempotencyKey.empty()) {
        refuse(turn, number, RefusalReason::KeyRequired, Duration::zero());
        return;
    }
    request.stage = RequestStage::Reserving;
    request.isReserved = true;
    m_reservations.reserve(turn, number, event.spec.idempotencyKey);
}

void Requests::handleCallerGone(Turn &turn, const CallerGone &event)
{
    const auto it = m_requests.find(event.request);
    if (it == m_requests.end()) {
        return;
    }
    turn.count(Counter::CallersGone);
    releaseResources(turn, event.request, it->second, false);
    m_reservations.end(turn, event.request,
                       it->second.wasDispatched ? ReservationEnd::InDoubt
                                                : ReservationEnd::NotExecuted);
    m_requests.erase(it);
}

void Requests::handlePrefillFinished(Turn &turn, const PrefillFinished &event)
{
    RequestNumber number;
    Request *request = requestOf(event.call, &number);
    if (!request || request->stage != RequestStage::Prefilling) {
        turn.count(Counter::LateAnswersIgnored);
        return;
    }
    m_calls.erase(event.call);
    m_timers.clear({Timer::Stall, number});
    const Duration elapsed = turn.now - request->callStarted;
    m_localPlacement.recordEnd(turn.now, request->prefill, elapsed,
                               event.outcome == CallOutcome::Whole);
    if (event.outcome != CallOutcome::Whole) {
        handlePrefillFailure(turn, number, event.outcome);
        return;
    }
    turn.add(Observe {Histogram::PrefillTime, elapsed});
    request->stage = RequestStage::Assigning;
    if (!request->isPlacedLocally) {
        const auto result = m_claims.reportPrefillSuccess(turn, number, elapsed, request->avoid);
        if (result) {
            handleResult(turn, *result);
        }
        return;
    }
    if (m_mode == PlacementMode::Local || request->decode.isEmpty()) {
        const auto server = chooseLocally(turn, *request, Role::Decode);
        if (!server) {
            turn.count(Counter::PrefillsWasted);
            retryOrRefuse(turn, number, {}, false);
            return;
        }
        request->decode = *server;
        m_localPlacement.recordStart(*server);
    }
    startDecode(turn, number, *request);
}

void Requests::handleTokens(Turn &turn, const TokensArrived &event)
{
    RequestNumber number;
    Request *request = requestOf(event.call, &number);
    if (!request || request->stage != RequestStage::Decoding) {
        turn.count(Counter::LateAnswersIgnored);
        return;
    }
    if (event.offset + event.count <= request->attemptTokens) {
        return;
    }
    if (event.offset != request->attemptTokens) {
        // Tokens are missing or overlap; relaying them would corrupt the caller's answer.
        abandonCall(turn, *request);
        handleDecodeFailure(turn, number, CallOutcome::Truncated);
        return;
    }
    request->lastProgress = turn.now;
    if (request->deliveredTokens == 0) {
        request->firstToken = turn.now;
        turn.add(Observe {Histogram::FirstToken, turn.now - request->arrived});
    }
    if (request->attemptTokens == 0) {
        request->attemptFirstToken = turn.now;
    }
    request->attemptTokens += event.count;
    request->deliveredTokens += event.count;
    turn.add(RelayTokens {number, event.count});
}

void Requests::handleDecodeFinished(Turn &turn, const DecodeFinished &event)
{
    RequestNumber number;
    Request *request = requestOf(event.call, &number);
    if (!request || request->stage != RequestStage::Decoding) {
        turn.count(Counter::LateAnswersIgnored);
        return;
    }
    m_calls.erase(event.call);
    if (event.outcome == CallOutcome::Whole) {
        finish(turn, number);
        return;
    }
    request->call = {};
    handleDecodeFailure(turn, number, event.outcome);
}

void Requests::handleServiceFinished(Turn &turn, const ServiceFinished &event)
{
    RequestNumber number;
    Request *request = requestOf(event.call, &number);
    if (!request || request->stage != RequestStage::Serving) {
        turn.count(Counter::LateAnswersIgnored);
        return;
    }
    m_calls.erase(event.call);
    request->call = {};
    m_timers.clear({Timer::Stall, number});
    const Duration elapsed = turn.now - request->callStarted;
    const bool isWhole = event.outcome == CallOutcome::Whole;
    m_localPlacement.recordEnd(turn.now, request->decode, elapsed, isWhole);
    if (isWhole) {
        request->attemptFirstToken = request->callStarted;
        finish(turn, number);
        return;
    }
    const ServerName failed = std::exchange(request->decode, {});
    m_claims.release(turn, number, 0, Duration::zero(), true);
    retryOrRefuse(turn, number, failed, isCertainlyNotExecuted(event.outcome));
}

void Requests::handleCancelFinished(Turn &turn, const CancelFinished &event)
{
    m_cancels.handleFinished(turn, event);
}

bool Requests::handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome)
{
    if (const auto result = m_claims.handleAnswer(turn, call, outcome)) {
        handleResult(turn, *result);
        return true;
    }
    return false;
}

void Requests::storeAnswered(Turn &turn, const StoreAnswered &answer)
{
    if (const auto result = m_reservations.handleAnswer(turn, answer)) {
        handleReservation(turn, *result);
    }
}

void Requests::handleMembersChanged(Turn &turn)
{
    for (const ClaimResult &result : m_claims.handleMembersChanged(turn)) {
        handleResult(turn, result);
    }
}

void Requests::handleSilentScheduler(Turn &turn, const NodeName &node)
{
    for (const ClaimResult &result : m_claims.handleSilentScheduler(turn, node)) {
        handleResult(turn, result);
    }
}

void Requests::handleConfigurationChanged(Turn &turn)
{
    std::vector<RequestNumber> stopped;
    for (const auto &[number, request] : m_requests) {
        const ServerName &name =
            request.stage == RequestStage::Prefilling ? request.prefill : request.decode;
        if (name.isEmpty() || request.call.isNone()) {
            continue;
        }
        const Server *server = turn.deployment.server(name);
        if (!server || server->state == ServerState::Stopped) {
            stopped.push_back(number);
        }
    }
    for (const RequestNumber number : stopped) {
        Request &request = m_requests.at(number);
        const RequestStage stage = request.stage;
        abandonCall(turn, request);
        // The server is still running, and a decode that fails as NotFound sends no cancel.
        cancelAttempt(turn, number, request);
        if (stage == RequestStage::Prefilling) {
            handlePrefillFailure(turn, number, CallOutcome::NotFound);
        } else if (stage == RequestStage::Decoding) {
            handleDecodeFailure(turn, number, CallOutcome::NotFound);
        } else {
            m_claims.release(turn, number, 0, Duration::zero(), true);
            retryOrRefuse(turn, number, std::exchange(request.decode, {}), false);
        }
    }
}

void Requests::runDue(Turn &turn)
{
    m_claims.runDue(turn);
    m_cancels.runDue(turn);
    for (const ReservationResult &result : m_reservations.runDue(turn)) {
        handleReservation(turn, result);
    }
    for (const auto &[timer, number] : m_timers.takeDue(turn.now)) {
        if (!m_requests.contains(number)) {
            continue;
        }
        if (timer == Timer::Stall) {
            handleStall(turn, number);
        } else {
            handleRetry(turn, number);
        }
    }
}

std::optional<TimePoint> Requests::nextDeadline() const
{
    return earlier(earlier(m_timers.next(), m_claims.nextDeadline()),
                   earlier(m_cancels.nextDeadline(), m_reservations.nextDeadline()));
}

void Requests::reclaim(Turn &turn, const ServerName &server, const EngineRequestName &name)
{
    m_cancels.cancel(turn, server, name);
}

bool Requests::owns(const EngineRequestName &name) const
{
    const std::size_t dot = name.text().rfind('.');
    if (!m_life || ownerOf(name) != *m_life || dot == std::string::npos) {
        return false;
    }
    const std::size_t before = name.text().rfind('.', dot - 1);
    const auto number =
        RequestNumber(std::stoull(name.text().substr(before + 1, dot - before - 1)));
    const auto it = m_requests.find(number);
    return it != m_requests.end()
        && std::to_string(it->second.attempt) == name.text().substr(dot + 1);
}

std::size_t Requests::unfinished() const
{
    return m_requests.size() + m_cancels.pending() + m_reservations.unfinished();
}

std::vector<RequestView> Requests::views(TimePoint now) const
{
    std::vector<RequestView> found;
    for (const auto &[number, request] : m_requests) {
        found.push_back({number, request.spec.target, request.spec.organisation, request.stage,
                         now - request.arrived, request.deliveredTokens,
                         request.decode.isEmpty() ? request.prefill : request.decode});
    }
    return found;
}

Requests::Request *Requests::requestOf(CallNumber call, RequestNumber *number)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return nullptr;
    }
    *number = it->second;
    return &m_requests.at(it->second);
}

EngineRequestName Requests::engineNameOf(const Turn &turn, RequestNumber number,
                                         const Request &request) const
{
    return engineRequestName(turn.members.life(), number, request.attempt);
}

void Requests::requestCapacity(Turn &turn, RequestNumber number, Request &request)
{
    ++request.attempt;
    request.deliveredBeforeAttempt = request.deliveredTokens;
    request.attemptTokens = 0;
    request.prefill = {};
    request.decode = {};
    request.isPlacedLocally = m_mode == PlacementMode::Local;
    if (request.isPlacedLocally) {
        placeLocally(turn, number, request);
        return;
    }
    request.stage = RequestStage::Queued;
    ClaimCapacity wanted;
    wanted.owner = turn.members.life();
    wanted.request = number;
    wanted.attempt = request.attempt;
    wanted.target = request.spec.target;
    const std::uint32_t cells = turn.cells.cellCount(request.spec.target);
    // The hash of the prompt's first tokens selects the cell, so that cached prefixes are reused.
    wanted.cell = static_cast<std::uint32_t>(
        (request.spec.prefixHashes.empty() ? turn.below(cells) : request.spec.prefixHashes.front())
        % cells);
    wanted.promptTokens = request.spec.promptTokens + request.deliveredTokens;
    wanted.outputTokens =
        request.maxOutputTokens - std::min(request.maxOutputTokens, request.deliveredTokens);
    wanted.untilDeadline = request.deadline - turn.now;
    wanted.patience = std::max(Duration::zero(), Duration(request.giveUpAt - turn.now));
    wanted.priority = request.priority;
    wanted.isContinuation = request.deliveredTokens > 0;
    wanted.prefixHashes = request.spec.prefixHashes;
    wanted.avoid = request.avoid;
    if (const auto result = m_claims.requestCapacity(turn, wanted)) {
        handleResult(turn, *result);
    }
}

void Requests::handleResult(Turn &turn, const ClaimResult &result)
{
    std::visit([&](const auto &one) { handleResult(turn, one); }, result);
}

void Requests::handleResult(Turn &turn, const ClaimGranted &granted)
{
    const auto it = m_requests.find(granted.request);
    if (it == m_requests.end()) {
        return;
    }
    Request &request = it->second;
    if (request.spec.isService) {
        request.decode = granted.server;
        startService(turn, granted.request, request);
    } else {
        request.prefill = granted.server;
        startPrefill(turn, granted.request, request);
    }
}

void Requests::handleResult(Turn &turn, const DecodeChosen &chosen)
{
    const auto it = m_requests.find(chosen.request);
    if (it == m_requests.end()) {
        return;
    }
    it->second.decode = chosen.server;
    startDecode(turn, chosen.request, it->second);
}

void Requests::handleResult(Turn &turn, const ClaimRefused &refused)
{
    const auto it = m_requests.find(refused.request);
    if (it == m_requests.end()) {
        return;
    }
    Request &request = it->second;
    if (request.stage == RequestStage::Assigning) {
        turn.count(Counter::PrefillsWasted);
        retryOrRefuse(turn, refused.request, {}, false);
        return;
    }
    if (refused.reason == NotGranted::Reason::Overload) {
        refuse(turn, refused.request, RefusalReason::Overload, refused.retryAfter);
        return;
    }
    if (refused.reason == NotGranted::Reason::NotScheduler
        && ++request.wrongSchedulerReplies > MaxWrongSchedulerReplies) {
        request.wrongSchedulerReplies = 0;
        placeLocally(turn, refused.request, request);
        return;
    }
    request.stage = RequestStage::Waiting;
    m_timers.set({Timer::Retry, refused.request}, turn.now + turn.jittered(PlacementRetryDelay));
}

void Requests::handleResult(Turn &turn, const SchedulerUnreachable &unreachable)
{
    const auto it = m_requests.find(unreachable.request);
    if (it == m_requests.end()) {
        return;
    }
    Request &request = it->second;
    request.isPlacedLocally = true;
    if (request.stage != RequestStage::Assigning) {
        placeLocally(turn, unreachable.request, request);
        return;
    }
    const auto server = chooseLocally(turn, request, Role::Decode);
    if (!server) {
        turn.count(Counter::PrefillsWasted);
        retryOrRefuse(turn, unreachable.request, {}, false);
        return;
    }
    turn.count(Counter::LocalPlacements);
    request.decode = *server;
    m_localPlacement.recordStart(*server);
    startDecode(turn, unreachable.request, request);
}

void Requests::handleReservation(Turn &turn, const ReservationResult &result)
{
    const RequestNumber number = std::visit([](const auto &one) { return one.request; }, result);
    const auto it = m_requests.find(number);
    if (it == m_requests.end()) {
        return;
    }
    Request &request = it->second;
    if (std::holds_alternative<Reserved>(result)) {
        requestCapacity(turn, number, request);
        return;
    }
    if (const auto *other = std::get_if<ReservedByOther>(&result)) {
        // The record belongs to the earlier request and must not be changed.
        request.isReserved = false;
        refuse(turn, number,
               other->isDone ? RefusalReason::AlreadyDone : RefusalReason::AlreadyRunning,
               other->mayRun ? ShortRetryAfter : Duration::zero());
        return;
    }
    refuse(turn, number, RefusalReason::StoreUnavailable, ShortRetryAfter * 5);
}

void Requests::placeLocally(Turn &turn, RequestNumber number, Request &request)
{
    request.isPlacedLocally = true;
    const bool isService = request.spec.isService;
    const auto first = chooseLocally(turn, request, isService ? Role::Service : Role::Prefill);
    // The decode server is chosen before the prefill, within this node's quota; otherwise a
    // prefill could start without a decode slot for its result.
    std::optional<ServerName> second;
    if (first && !isService && m_mode == PlacementMode::Scheduled) {
        second = chooseLocally(turn, request, Role::Decode);
    }
    const bool isComplete = first && (isService || m_mode == PlacementMode::Local || second);
    if (!isComplete) {
        const Target *target = turn.deployment.target(request.spec.target);
        const bool isLate = target && target->late == LatePolicy::Refuse
            && turn.now >= request.deadline && request.deliveredTokens == 0;
        if (turn.now >= request.giveUpAt || isLate) {
            refuse(turn, number, RefusalReason::NoServer, ShortRetryAfter);
            return;
        }
        request.stage = RequestStage::Waiting;
        m_timers.set({Timer::Retry, number}, turn.now + turn.jittered(PlacementRetryDelay));
        return;
    }
    turn.count(Counter::LocalPlacements);
    m_localPlacement.recordStart(*first);
    if (isService) {
        request.decode = *first;
        startService(turn, number, request);
        return;
    }
    request.prefill = *first;
    if (second) {
        request.decode = *second;
        m_localPlacement.recordStart(*second);
    }
    startPrefill(turn, number, request);
}

std::optional<ServerName> Requests::chooseLocally(Turn &turn, const Request &request, Role role)
{
    std::vector<ServerName> candidates;
    std::vector<ServerName> avoided;
    std::uint32_t slots = 0;
    const std::uint32_t cells = turn.cells.cellCount(request.spec.target);
    for (std::uint32_t cell = 0; cell < cells; ++cell) {
        for (const ServerName &name : turn.cells.servers({request.spec.target, cell}, role)) {
            const Server *server = turn.deployment.server(name);
            const bool isAvoided =
                std::find(request.avoid.begin(), request.avoid.end(), name) != request.avoid.end();
            if (server->state == ServerState::Active) {
                (isAvoided ? avoided : candidates).push_back(name);
                slots = std::max(slots, server->slots);
            }
        }
    }
    if (candidates.empty()) {
        candidates = std::move(avoided);
    }
    if (m_mode == PlacementMode::Local) {
        return m_localPlacement.choose(turn, candidates, 0);
    }
    const auto nodes = static_cast<std::uint32_t>(turn.members.presentCount());
    return m_localPlacement.choose(turn, candidates, role == Role::Prefill ? 1 : slots / nodes + 1);
}

void Requests::startPrefill(Turn &turn, RequestNumber number, Request &request)
{
    const Server *server = turn.deployment.server(request.prefill);
    if (!server) {
        retryOrRefuse(turn, number, request.prefill, true);
        return;
    }
    beginCall(turn, number, request, RequestStage::Prefilling);
    turn.count(Counter::PrefillsStarted);
    turn.add(StartPrefill {request.call, number, engineNameOf(turn, number, request),
                           request.prefill, server->address, request.deliveredTokens,
                           !request.isRepeatable});
}

void Requests::startDecode(Turn &turn, RequestNumber number, Request &request)
{
    const Server *server = turn.deployment.server(request.decode);
    if (!server) {
        retryOrRefuse(turn, number, request.decode, false);
        return;
    }
    beginCall(turn, number, request, RequestStage::Decoding);
    turn.count(Counter::DecodesStarted);
    turn.add(StartDecode {request.call, number, engineNameOf(turn, number, request), request.decode,
                          server->address, request.deliveredTokens});
}

void Requests::startService(Turn &turn, RequestNumber number, Request &request)
{
    const Server *server = turn.deployment.server(request.decode);
    if (!server) {
        retryOrRefuse(turn, number, request.decode, true);
        return;
    }
    beginCall(turn, number, request, RequestStage::Serving);
    turn.add(CallService {request.call, number, engineNameOf(turn, number, request), request.decode,
                          server->address, !request.isRepeatable});
}

void Requests::resume(Turn &turn, RequestNumber number, Request &request)
{
    const Server *server = turn.deployment.server(request.decode);
    if (!server) {
        handleDecodeFailure(turn, number, CallOutcome::NotFound);
        return;
    }
    beginCall(turn, number, request, RequestStage::Decoding);
    turn.count(Counter::DecodesResumed);
    turn.add(ResumeDecode {request.call, number, engineNameOf(turn, number, request),
                           request.decode, server->address, request.attemptTokens});
}

void Requests::beginCall(Turn &turn, RequestNumber number, Request &request, RequestStage stage)
{
    request.call = turn.numbers.next<CallNumber>();
    request.stage = stage;
    request.wasDispatchedBefore = std::exchange(request.wasDispatched, true);
    request.callStarted = turn.now;
    request.lastProgress = turn.now;
    m_calls[request.call] = number;
    m_timers.set({Timer::Stall, number}, turn.now + stallLimit(request));
}

void Requests::abandonCall(Turn &turn, Request &request)
{
    if (request.call.isNone()) {
        return;
    }
    turn.add(AbandonCall {request.call});
    m_calls.erase(request.call);
    request.call = {};
}

void Requests::handlePrefillFailure(Turn &turn, RequestNumber number, CallOutcome outcome)
{
    Request &request = m_requests.at(number);
    request.call = {};
    if (!isCertainlyNotExecuted(outcome)) {
        cancelAttempt(turn, number, request);
    }
    if (request.isPlacedLocally && !request.decode.isEmpty()) {
        m_localPlacement.recordEnd(turn.now, request.decode, Duration::zero(), true);
    }
    m_claims.reportPrefillFailure(turn, number);
    if (outcome == CallOutcome::Invalid) {
        request.wasDispatched = request.wasDispatchedBefore;
        refuse(turn, number, RefusalReason::RejectedByBackend, Duration::zero());
        return;
    }
    retryOrRefuse(turn, number, request.prefill, isCertainlyNotExecuted(outcome));
}

void Requests::handleDecodeFailure(Turn &turn, RequestNumber number, CallOutcome outcome)
{
    Request &request = m_requests.at(number);
    m_timers.clear({Timer::Stall, number});
    request.call = {};
    const bool isBroken = outcome == CallOutcome::Truncated || outcome == CallOutcome::Crossed;
    if (isBroken && request.resumes < MaxResumes) {
        ++request.resumes;
        request.stage = RequestStage::Resuming;
        m_timers.set({Timer::Retry, number},
                     turn.now + turn.jittered(ResumeDelay * (1 << request.resumes)));
        return;
    }
    if (outcome == CallOutcome::Rejected && request.engineRejections < MaxEngineRejections) {
        // The engine is temporarily full and the prefill's result is still available.
        ++request.engineRejections;
        request.stage = RequestStage::Waiting;
        m_timers.set({Timer::Retry, number}, turn.now + turn.jittered(RejectedRetryDelay));
        return;
    }
    if (request.attemptTokens == 0) {
        turn.count(Counter::PrefillsWasted);
    }
    if (outcome != CallOutcome::NotFound) {
        cancelAttempt(turn, number, request);
    }
    const ServerName failed = std::exchange(request.decode, {});
    if (request.isPlacedLocally) {
        m_localPlacement.recordEnd(turn.now, failed, Duration::zero(), false);
    }
    const bool isServerFault = outcome != CallOutcome::NotFound && outcome != CallOutcome::Rejected;
    m_claims.release(turn, number, 0, Duration::zero(), isServerFault);
    if (request.deliveredTokens >= request.maxOutputTokens && request.maxOutputTokens > 0) {
        // All tokens have been delivered; only the engine's end marker was lost.
        finish(turn, number);
        return;
    }
    retryOrRefuse(turn, number, isServerFault ? failed : ServerName(), false);
}

void Requests::retryOrRefuse(Turn &turn, RequestNumber number, const ServerName &failed,
                             bool isNotExecuted)
{
    Request &request = m_requests.at(number);
    m_timers.clear({Timer::Stall, number});
    m_claims.release(turn, number, 0, Duration::zero(), false);
    if (isNotExecuted) {
        request.wasDispatched = request.wasDispatchedBefore;
    }
    if (!request.isRepeatable && !isNotExecuted) {
        refuse(turn, number, RefusalReason::BackendFailed, Duration::zero());
        return;
    }
    ++request.failures;
    if (!failed.isEmpty()) {
        request.avoid.push_back(failed);
    }
    if (request.failures > MaxFailures || turn.now >= request.giveUpAt
        || !m_retryBudget.tryConsume()) {
        refuse(turn, number, RefusalReason::BackendFailed, ShortRetryAfter);
        return;
    }
    turn.count(Counter::Retries);
    request.stage = RequestStage::Waiting;
    request.decode = {};
    request.prefill = {};
    request.resumes = 0;
    request.engineRejections = 0;
    const int doublings = std::min<int>(static_cast<int>(request.failures), MaxRetryDoublings);
    m_timers.set({Timer::Retry, number},
                 turn.now + turn.jittered(RetryDelay * (1 << (doublings - 1))));
}

void Requests::handleStall(Turn &turn, RequestNumber number)
{
    Request &request = m_requests.at(number);
    if (request.call.isNone()) {
        return;
    }
    const TimePoint due = request.lastProgress + stallLimit(request);
    if (turn.now < due) {
        m_timers.set({Timer::Stall, number}, due);
        return;
    }
    const RequestStage stage = request.stage;
    abandonCall(turn, request);
    if (stage == RequestStage::Prefilling) {
        m_localPlacement.recordEnd(turn.now, request.prefill, Duration::zero(), false);
        handlePrefillFailure(turn, number, CallOutcome::TimedOut);
    } else if (stage == RequestStage::Decoding) {
        handleDecodeFailure(turn, number, CallOutcome::TimedOut);
    } else {
        const ServerName failed = std::exchange(request.decode, {});
        m_localPlacement.recordEnd(turn.now, failed, Duration::zero(), false);
        m_claims.release(turn, number, 0, Duration::zero(), true);
        retryOrRefuse(turn, number, failed, false);
    }
}

void Requests::handleRetry(Turn &turn, RequestNumber number)
{
    Request &request = m_requests.at(number);
    if (request.stage == RequestStage::Resuming) {
        resume(turn, number, request);
        return;
    }
    if (request.stage != RequestStage::Waiting) {
        return;
    }
    if (!request.decode.isEmpty() && request.call.isNone() && request.engineRejections > 0) {
        startDecode(turn, number, request);
        return;
    }
    if (turn.now >= request.giveUpAt) {
        refuse(turn, number, RefusalReason::Overload, ShortRetryAfter);
        return;
    }
    requestCapacity(turn, number, request);
}

void Requests::finish(Turn &turn, RequestNumber number)
{
    Request &request = m_requests.at(number);
    const Duration decodeTime = turn.now - request.attemptFirstToken;
    if (request.deliveredTokens > 1 && !request.spec.isService) {
        turn.add(Observe {Histogram::BetweenTokens,
                          (turn.now - request.firstToken) / (request.deliveredTokens - 1)});
    }
    if (!request.decode.isEmpty() && request.isPlacedLocally && !request.spec.isService) {
        m_localPlacement.recordEnd(turn.now, request.decode, turn.now - request.callStarted, true);
    }
    const std::uint32_t tokens = request.spec.isService ? 2 : request.attemptTokens;
    m_claims.release(turn, number, tokens, decodeTime, false);
    m_reservations.end(turn, number, ReservationEnd::Done);
    m_timers.clear({Timer::Stall, number});
    m_timers.clear({Timer::Retry, number});
    turn.count(Counter::AnswersWhole);
    turn.add(FinishAnswer {number});
    m_requests.erase(number);
}

void Requests::refuse(Turn &turn, RequestNumber number, RefusalReason reason, Duration retryAfter)
{
    Request &request = m_requests.at(number);
    releaseResources(turn, number, request, false);
    Execution execution = request.wasDispatched ? Execution::InDoubt : Execution::NotExecuted;
    if (reason == RefusalReason::AlreadyDone) {
        execution = Execution::Done;
    } else if (reason == RefusalReason::AlreadyRunning) {
        execution = Execution::InDoubt;
    }
    if (request.isReserved) {
        m_reservations.end(turn, number,
                           request.wasDispatched ? ReservationEnd::InDoubt
                                                 : ReservationEnd::NotExecuted);
    }
    turn.count(request.wasDispatched ? Counter::RequestsFailed : Counter::RequestsRefused);
    turn.add(RefuseRequest {number, reason, execution, retryAfter});
    m_requests.erase(number);
}

void Requests::releaseResources(Turn &turn, RequestNumber number, Request &request,
                                bool serverFailed)
{
    const bool isRunning = !request.call.isNone() || request.stage == RequestStage::Assigning
        || request.stage == RequestStage::Resuming || !request.decode.isEmpty();
    abandonCall(turn, request);
    if (isRunning) {
        cancelAttempt(turn, number, request);
    }
    if (request.isPlacedLocally) {
        for (const ServerName &server : {request.decode, request.prefill}) {
            const bool isCounted = !server.isEmpty()
                && (server == request.decode || request.stage == RequestStage::Prefilling);
            if (isCounted) {
                m_localPlacement.recordEnd(turn.now, server, Duration::zero(), true);
            }
        }
    }
    if (request.stage == RequestStage::Decoding && request.attemptTokens == 0) {
        turn.count(Counter::PrefillsWasted);
    }
    m_claims.release(turn, number, 0, Duration::zero(), serverFailed);
    m_timers.clear({Timer::Stall, number});
    m_timers.clear({Timer::Retry, number});
}

void Requests::cancelAttempt(Turn &turn, RequestNumber number, const Request &request)
{
    if (request.spec.isService) {
        return;
    }
    // The prefill server is included because it keeps the exported KV cache until it expires.
    for (const ServerName &server : {request.prefill, request.decode}) {
        if (!server.isEmpty()) {
            m_cancels.cancel(turn, server, engineNameOf(turn, number, request));
        }
    }
}

Duration Requests::stallLimit(const Request &request) const
{
    if (m_mode == PlacementMode::Local) {
        // Without admission control, calls also wait in the engines' own queues.
        return LocalModeStallLimit;
    }
    switch (request.stage) {
    case RequestStage::Prefilling:
        return PrefillStallLimit
            + PrefillStallLimitPerToken * (request.spec.promptTokens + request.deliveredTokens);
    case RequestStage::Serving:
        return ServiceStallLimit;
    default:
        return DecodeStallLimit;
    }
}

} // namespace indigoway
