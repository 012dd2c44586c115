#include "capacityclaims.h"

#include "core/turn.h"
#include "membership/membership.h"

namespace indigoway {

namespace {

/** Waiting time after which a claim's scheduler is probed, since a claim at a hung scheduler would
 * wait until its patience expires. Short enough that a request with a first-token target of 680 ms
 * can still be placed locally after a failed probe. */
constexpr Duration ProbeAfter = std::chrono::milliseconds(150);
constexpr Duration ProbeInterval = std::chrono::seconds(1);
/** Time after which an unanswered claim is sent again; the scheduler recognises the repetition. */
constexpr Duration FirstClaimTimeout = std::chrono::seconds(1);
constexpr int MaxClaimTimeoutDoublings = 4;
/** Time for which no claims are sent to a scheduler that did not answer a probe. */
constexpr Duration SilentSchedulerBackoff = std::chrono::seconds(1);
constexpr Duration AssignTimeout = std::chrono::milliseconds(300);
constexpr Duration AdoptTimeout = std::chrono::milliseconds(500);
constexpr Duration ReleaseTimeout = std::chrono::seconds(1);
constexpr Duration ReleaseRetryAfter = std::chrono::milliseconds(500);
/** A release that is lost this often is found by the scheduler's claim check. */
constexpr int MaxReleaseAttempts = 5;

} // namespace

std::optional<ClaimResult> CapacityClaims::requestCapacity(Turn &turn, const ClaimCapacity &wanted)
{
    Claim &claim = m_claims[wanted.request];
    claim = {};
    claim.wanted = wanted;
    if (sendClaim(turn, claim)) {
        return std::nullopt;
    }
    m_claims.erase(wanted.request);
    return SchedulerUnreachable {wanted.request};
}

std::vector<ClaimResult> CapacityClaims::handleSilentScheduler(Turn &turn, const NodeName &node)
{
    m_unreachableUntil[node] = turn.now + SilentSchedulerBackoff;
    std::vector<ClaimResult> results;
    for (auto it = m_claims.begin(); it != m_claims.end();) {
        if (it->second.state != State::Waiting || it->second.scheduler.node != node) {
            ++it;
            continue;
        }
        results.emplace_back(SchedulerUnreachable {it->first});
        withdraw(turn, it->second);
        it = m_claims.erase(it);
    }
    return results;
}

bool CapacityClaims::isReachable(const Turn &turn, const NodeName &node) const
{
    const MemberUpdate *member = turn.members.member(node);
    const auto unreachable = m_unreachableUntil.find(node);
    return member && member->state != MemberState::Suspect
        && (unreachable == m_unreachableUntil.end() || turn.now >= unreachable->second);
}

std::optional<ClaimResult>
CapacityClaims::reportPrefillSuccess(Turn &turn, RequestNumber request, Duration elapsed,
                                     const std::vector<ServerName> &avoid)
{
    const auto it = m_claims.find(request);
    if (it == m_claims.end()) {
        return SchedulerUnreachable {request};
    }
    Claim &claim = it->second;
    PrefillEnded message {claim.number, true, elapsed, avoid};
    if (claim.state == State::Adopting) {
        claim.prefillEnded = message;
        return std::nullopt;
    }
    claim.state = State::Assigning;
    claim.call = turn.ask(claim.scheduler.node, std::move(message), AssignTimeout);
    m_calls[claim.call] = request;
    return std::nullopt;
}

void CapacityClaims::reportPrefillFailure(Turn &turn, RequestNumber request)
{
    const auto it = m_claims.find(request);
    if (it == m_claims.end()) {
        return;
    }
    if (it->second.state == State::Held) {
        turn.ask(it->second.scheduler.node,
                 PrefillEnded {it->second.number, false, Duration::zero(), {}}, AssignTimeout);
        m_claims.erase(it);
        return;
    }
    release(turn, request, 0, Duration::zero(), true);
}

void CapacityClaims::release(Turn &turn, RequestNumber request, std::uint32_t tokens,
                             Duration decodeTime, bool serverFailed)
{
    const auto it = m_claims.find(request);
    if (it == m_claims.end()) {
        return;
    }
    Claim claim = it->second;
    m_claims.erase(it);
    m_timers.clear({Timer::ProbeScheduler, request.value()});
    m_calls.erase(claim.call);
    ReleaseClaim message = releaseMessage(claim);
    message.tokens = tokens;
    message.decodeTime = decodeTime;
    message.serverFailed = serverFailed;
    sendRelease(turn, {claim.scheduler, message, 0});
}

std::optional<ClaimResult> CapacityClaims::handleAnswer(Turn &turn, PeerCallNumber call,
                                                        const PeerOutcome &outcome)
{
    const auto *reply = std::get_if<PeerReply>(&outcome);
    if (const auto it = m_calls.find(call); it != m_calls.end()) {
        const auto claim = m_claims.find(it->second);
        m_calls.erase(it);
        if (claim == m_claims.end()) {
            return std::nullopt;
        }
        return handleClaimReply(turn, claim->second, outcome);
    }
    if (const auto it = m_releases.find(call); it != m_releases.end()) {
        Release release = std::move(it->second);
        m_releases.erase(it);
        if (!reply && ++release.attempts < MaxReleaseAttempts) {
            const std::uint64_t retry = ++m_lastRetry;
            m_timers.set({Timer::RetryRelease, retry}, turn.now + turn.jittered(ReleaseRetryAfter));
            m_releasesToRetry.emplace(retry, std::move(release));
        }
    }
    return std::nullopt;
}

std::vector<ClaimResult> CapacityClaims::handleMembersChanged(Turn &turn)
{
    std::vector<ClaimResult> results;
    std::vector<RequestNumber> unreachable;
    for (auto &[request, claim] : m_claims) {
        const NodeLife next = schedulerFor(turn, claim.wanted);
        const MemberUpdate *member = turn.members.member(claim.scheduler.node);
        const bool isGone = !turn.members.mayBeAlive(claim.scheduler);
        const bool isUnreachable = isGone || (member && member->state == MemberState::Suspect);
        if (claim.state == State::Waiting) {
            if (next == claim.scheduler && isUnreachable) {
                unreachable.push_back(request);
            } else if (next != claim.scheduler) {
                withdraw(turn, claim);
                claim.sends = 0;
                if (!sendClaim(turn, claim)) {
                    unreachable.push_back(request);
                }
            }
            continue;
        }
        if (next != claim.scheduler && !next.node.isEmpty()) {
            requestAdoption(turn, claim, next);
        }
    }
    for (const RequestNumber request : unreachable) {
        withdraw(turn, m_claims.at(request));
        m_claims.erase(request);
        results.emplace_back(SchedulerUnreachable {request});
    }
    return results;
}

void CapacityClaims::runDue(Turn &turn)
{
    for (const auto &[timer, number] : m_timers.takeDue(turn.now)) {
        if (timer == Timer::ProbeScheduler) {
            const auto it = m_claims.find(RequestNumber(number));
            if (it != m_claims.end() && it->second.state == State::Waiting) {
                m_schedulersToProbe.insert(it->second.scheduler.node);
                m_timers.set({Timer::ProbeScheduler, number}, turn.now + ProbeInterval);
            }
            continue;
        }
        auto node = m_releasesToRetry.extract(number);
        if (!node.empty() && turn.members.mayBeAlive(node.mapped().scheduler)) {
            sendRelease(turn, std::move(node.mapped()));
        }
    }
}

bool CapacityClaims::isWaiting(RequestNumber request) const
{
    const auto it = m_claims.find(request);
    return it != m_claims.end() && it->second.state == State::Waiting;
}

bool CapacityClaims::sendClaim(Turn &turn, Claim &claim)
{
    claim.state = State::Waiting;
    claim.scheduler = schedulerFor(turn, claim.wanted);
    if (!isReachable(turn, claim.scheduler.node)) {
        return false;
    }
    const Duration timeout =
        FirstClaimTimeout * (1 << std::min(claim.sends++, MaxClaimTimeoutDoublings));
    claim.call = turn.ask(claim.scheduler.node, claim.wanted, timeout);
    m_calls[claim.call] = claim.wanted.request;
    if (claim.sends == 1) {
        m_timers.set({Timer::ProbeScheduler, claim.wanted.request.value()}, turn.now + ProbeAfter);
    }
    return true;
}

void CapacityClaims::sendRelease(Turn &turn, Release release)
{
    const PeerCallNumber call = turn.ask(release.scheduler.node, release.message, ReleaseTimeout);
    m_releases[call] = std::move(release);
}

void CapacityClaims::withdraw(Turn &turn, const Claim &claim)
{
    m_calls.erase(claim.call);
    m_timers.clear({Timer::ProbeScheduler, claim.wanted.request.value()});
    if (turn.members.mayBeAlive(claim.scheduler)) {
        sendRelease(turn, {claim.scheduler, releaseMessage(claim), 0});
    }
}

ReleaseClaim CapacityClaims::releaseMessage(const Claim &claim) const
{
    ReleaseClaim message;
    message.claim = claim.number;
    message.identity = claim.wanted.identity();
    message.target = claim.wanted.target;
    message.cell = claim.wanted.cell;
    return message;
}

std::optional<ClaimResult> CapacityClaims::handleClaimReply(Turn &turn, Claim &claim,
                                                            const PeerOutcome &outcome)
{
    const auto *reply = std::get_if<PeerReply>(&outcome);
    switch (claim.state) {
    case State::Waiting:
        return handleWaitingReply(turn, claim, outcome);
    case State::Assigning:
        return handleAssigningReply(turn, claim, reply);
    case State::Adopting:
        return handleAdoptingReply(turn, claim, reply);
    case State::Held:
        break;
    }
    return std::nullopt;
}

std::optional<ClaimResult> CapacityClaims::handleWaitingReply(Turn &turn, Claim &claim,
                                                              const PeerOutcome &outcome)
{
    const RequestNumber request = claim.wanted.request;
    const auto *reply = std::get_if<PeerReply>(&outcome);
    const auto *failed = std::get_if<PeerFailed>(&outcome);
    if (failed && failed->isTimeout && sendClaim(turn, claim)) {
        return std::nullopt;
    }
    m_timers.clear({Timer::ProbeScheduler, request.value()});
    if (const auto *granted = reply ? std::get_if<Granted>(reply) : nullptr) {
        claim.state = State::Held;
        claim.number = granted->claim;
        claim.server = granted->server;
        return ClaimGranted {request, granted->server};
    }
    const auto *refused = reply ? std::get_if<NotGranted>(reply) : nullptr;
    m_claims.erase(request);
    if (refused) {
        return ClaimRefused {request, refused->reason, refused->retryAfter};
    }
    return SchedulerUnreachable {request};
}

std::optional<ClaimResult> CapacityClaims::handleAssigningReply(Turn &turn, Claim &claim,
                                                                const PeerReply *reply)
{
    const RequestNumber request = claim.wanted.request;
    if (const auto *assigned = reply ? std::get_if<DecodeAssigned>(reply) : nullptr) {
        claim.state = State::Held;
        claim.server = assigned->server;
        return DecodeChosen {request, assigned->server};
    }
    const auto *refused = reply ? std::get_if<NotGranted>(reply) : nullptr;
    if (refused && refused->reason == NotGranted::Reason::NoServer) {
        m_claims.erase(request);
        return ClaimRefused {request, refused->reason, refused->retryAfter};
    }
    // The scheduler is unreachable or does not know the claim. The engine keeps the prefill's
    // result for less than a second, so the decode server is chosen locally without a retry.
    const Release release {claim.scheduler, releaseMessage(claim), 0};
    m_claims.erase(request);
    sendRelease(turn, release);
    return SchedulerUnreachable {request};
}

std::optional<ClaimResult> CapacityClaims::handleAdoptingReply(Turn &turn, Claim &claim,
                                                               const PeerReply *reply)
{
    const RequestNumber request = claim.wanted.request;
    const auto *granted = reply ? std::get_if<Granted>(reply) : nullptr;
    if (granted) {
        claim.state = State::Held;
        claim.number = granted->claim;
    }
    if (!claim.prefillEnded) {
        if (!granted) {
            m_claims.erase(request);
        }
        return std::nullopt;
    }
    const PrefillEnded ended = *claim.prefillEnded;
    claim.prefillEnded.reset();
    if (granted) {
        return reportPrefillSuccess(turn, request, ended.elapsed, ended.avoid);
    }
    m_claims.erase(request);
    return SchedulerUnreachable {request};
}

void CapacityClaims::requestAdoption(Turn &turn, Claim &claim, const NodeLife &next)
{
    std::optional<PrefillEnded> ended = claim.prefillEnded;
    if (claim.state == State::Assigning) {
        m_calls.erase(claim.call);
        ended = PrefillEnded {claim.number, true, Duration::zero(), {}};
    }
    withdraw(turn, claim);
    claim.state = State::Adopting;
    claim.scheduler = next;
    claim.prefillEnded = ended;
    const AdoptClaim message {claim.wanted.owner,       claim.wanted.request, claim.wanted.attempt,
                              claim.wanted.target,      claim.wanted.cell,    claim.server,
                              claim.wanted.outputTokens};
    claim.call = turn.ask(next.node, message, AdoptTimeout);
    m_calls[claim.call] = claim.wanted.request;
}

NodeLife CapacityClaims::schedulerFor(const Turn &turn, const ClaimCapacity &wanted) const
{
    const NodeName node = schedulerOf({wanted.target, wanted.cell}, turn.members.eligible());
    const MemberUpdate *member = turn.members.member(node);
    return member ? member->life : NodeLife {};
}

} // namespace indigoway
