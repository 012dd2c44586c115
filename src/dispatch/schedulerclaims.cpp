#include "schedulerclaims.h"

#include "core/deadlines.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

using namespace scheduling;

/** A way there and back takes some milliseconds; the scheduler may have a few things to do first.
 */
constexpr Duration RepeatUnanswered = std::chrono::milliseconds(80);
/** A claim that is known to wait; its grant may have been lost. */
constexpr Duration RepeatQueued = std::chrono::milliseconds(150);
/** One datagram in twenty may be lost on a bad link; four in a row are no accident. */
constexpr std::uint32_t MostUnanswered = 3;
/** A killed node is back after seconds, or another one takes over. */
constexpr Duration LeftAlone = std::chrono::milliseconds(1000);

} // namespace

void SchedulerClaims::setScheduler(std::optional<NodeName> name)
{
    m_scheduler = std::move(name);
    m_silentUntil = {};
    m_isTold = !m_scheduler;
}

void SchedulerClaims::claim(Step &step, OpenRequest &request, const DomainName &domain,
                            Duration maxWait)
{
    request.claim = ClaimId(++m_last);
    const bool readsWhole =
        request.facts.isContinuation || request.eventsPassed > 0 || request.readsWhole;
    Claim message;
    message.claim = request.claim;
    message.service = request.service->name;
    message.domain = domain;
    message.promptTokens = readsWhole ? 0 : request.facts.promptTokens;
    message.memory = request.memory;
    message.urgency = request.urgency();
    message.priority = request.priority();
    message.maxWait = maxWait;
    message.timeToTarget = request.arrived + request.route->target - step.now;
    message.maxDuration = request.answerBy - step.now;
    message.excludedServers.assign(request.tried.begin(), request.tried.end());
    m_open[request.claim] = {request.facts.request, message, step.now, 1};
    send(step, std::move(message));
}

void SchedulerClaims::tellHeld(Step &step, OpenRequest &request)
{
    if (!isUsable(step.now)) {
        return;
    }
    if (request.claim.isNone()) {
        request.claim = ClaimId(++m_last);
    }
    ReservationReport held {request.claim,        request.service->name,       request.memory,
                            request.decodeServer, request.answerBy - step.now, std::nullopt};
    if (request.firstAnswer != TimePoint {}) {
        held.elapsedDecodeTime = step.now - request.firstAnswer;
    }
    send(step, std::move(held));
}

void SchedulerClaims::prefillEnded(Step &step, const OpenRequest &request, bool isDone,
                                   bool isReachable)
{
    if (!request.claim.isNone()) {
        send(step, PrefillEnded {request.claim, isDone, isReachable});
    }
}

void SchedulerClaims::end(Step &step, OpenRequest &request, ClaimOutcome how)
{
    if (request.claim.isNone()) {
        return;
    }
    m_open.erase(request.claim);
    const std::uint64_t made = how == ClaimOutcome::Served
        ? std::uint64_t {request.eventsPassed} * request.service->engine->tokensPerEvent
        : 0;
    send(step, ClaimEnded {request.claim, how, made});
    request.claim = {};
}

std::optional<RequestNumber> SchedulerClaims::answered(Step &step, const FromScheduler &message,
                                                       Incarnation life, OpenRequests &requests)
{
    const bool isNew = life != m_life;
    m_life = life;
    m_silentUntil = {};
    if (isNew) {
        tellAllHeld(step, requests);
    }
    const ClaimId claim = scheduling::claimOf(message);
    const auto it = m_open.find(claim);
    if (it == m_open.end()) {
        if (std::holds_alternative<ClaimGranted>(message)) {
            // Granted to a request that has left meanwhile, or that went its own way.
            const bool isHeld = std::ranges::any_of(
                requests.all(), [claim](const auto &one) { return one.second.claim == claim; });
            if (!isHeld) {
                send(step, ClaimEnded {claim, ClaimOutcome::Cancelled});
            }
        }
        return std::nullopt;
    }
    it->second.unanswered = 0;
    it->second.sentAt = step.now;
    if (std::holds_alternative<ClaimQueued>(message)) {
        return std::nullopt;
    }
    const RequestNumber request = it->second.request;
    m_open.erase(it);
    return request;
}

void SchedulerClaims::tellAllHeld(Step &step, OpenRequests &requests)
{
    for (auto &[number, request] : requests.all()) {
        if (!request.decodeServer.isEmpty()) {
            tellHeld(step, request);
        }
    }
}

std::vector<RequestNumber> SchedulerClaims::tick(Step &step, OpenRequests &requests)
{
    if (!m_isTold) {
        // Not only with the next claim: with hundreds of nodes each has one every few seconds, and
        // until all have told, the new scheduler gives out memory that is in use.
        m_isTold = true;
        tellAllHeld(step, requests);
    }
    if (!m_open.empty() && !m_scheduler) {
        return voidAll(step);
    }
    for (auto &[number, open] : m_open) {
        if (step.now < open.sentAt + repeatAfter(open)) {
            continue;
        }
        if (open.unanswered >= MostUnanswered) {
            m_silentUntil = step.now + LeftAlone;
            step.add(RecordDecision {"scheduler_silent",
                                     {},
                                     "scheduler=" + m_scheduler->text()
                                         + " claims=" + std::to_string(m_open.size())});
            return voidAll(step);
        }
        ++open.unanswered;
        open.message.timeToTarget -= step.now - open.sentAt;
        open.message.maxDuration -= step.now - open.sentAt;
        open.sentAt = step.now;
        send(step, open.message);
    }
    return {};
}

std::optional<TimePoint> SchedulerClaims::nextTick() const
{
    std::optional<TimePoint> next;
    for (const auto &[number, open] : m_open) {
        next = earlier(next, open.sentAt + repeatAfter(open));
    }
    return next;
}

Duration SchedulerClaims::repeatAfter(const Open &open)
{
    return open.unanswered > 0 ? RepeatUnanswered : RepeatQueued;
}

std::vector<RequestNumber> SchedulerClaims::voidAll(Step &step)
{
    std::vector<RequestNumber> requests;
    for (const auto &[number, open] : m_open) {
        requests.push_back(open.request);
        // If it is heard after all, it must not hold room for them.
        send(step, ClaimEnded {number, ClaimOutcome::Cancelled});
    }
    m_open.clear();
    return requests;
}

void SchedulerClaims::send(Step &step, ToScheduler message) const
{
    step.add(TellScheduler {std::move(message)});
}

} // namespace indigoway::dispatch
