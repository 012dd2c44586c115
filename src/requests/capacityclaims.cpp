#include "capacityclaims.h"

#include "core/turn.h"
#include "membership/membership.h"

namespace indigoway {

namespace {

/** A claim may wait in the scheduler's queue; past this its scheduler is probed, since a frozen
 * one would leave the caller waiting for its whole patience. With the probe's own time limit this
 * leaves a lookup with a target of 680 ms time to be placed without the scheduler. */
constexpr Duration DoubtAfter = std::chrono::milliseconds(150);
constexpr Duration DoubtAgainAfter = std::chrono::seconds(1);
/** A claim that was lost on its way would wait for its whole patience; so it is made again, which
 * the scheduler knows for the same claim. */
constexpr Duration FirstClaimTimeout = std::chrono::seconds(1);
constexpr int MostClaimDoublings = 4;
/** A scheduler that was silent is not asked for so long, unless it is heard of before. */
constexpr Duration SilenceKept = std::chrono::seconds(1);
constexpr Duration AssignTimeout = std::chrono::milliseconds(300);
constexpr Duration AdoptTimeout = std::chrono::milliseconds(500);
constexpr Duration ReleaseTimeout = std::chrono::seconds(1);
constexpr Duration ReleaseRetryAfter = std::chrono::milliseconds(500);
/** After these the scheduler finds out itself, when it asks about old claims. */
constexpr int MostReleaseTries = 5;

} // namespace

std::optional<ClaimResult> CapacityClaims::claim(Turn &turn, const ClaimCapacity &wanted)
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

std::vector<ClaimResult> CapacityClaims::schedulerSilent(Turn &turn, const NodeName &node)
{
    m_silentUntil[node] = turn.now + SilenceKept;
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

bool CapacityClaims::isAnswering(const Turn &turn, const NodeName &node) const
{
    const MemberUpdate *member = turn.members.member(node);
    const auto silent = m_silentUntil.find(node);
    return member && member->state != MemberState::Suspect
        && (silent == m_silentUntil.end() || turn.now >= silent->second);
}

std::optional<ClaimResult> CapacityClaims::prefillSucceeded(Turn &turn, RequestNumber request,
                                                            Duration elapsed,
                                                            const std::vector<ServerName> &avoid)
{
    const auto it = m_claims.find(request);
    if (it == m_claims.end()) {
        return SchedulerUnreachable {request};
    }
    Claim &claim = it->second;
    PrefillEnded message {claim.number, true, elapsed, avoid};
    if (claim.state == State::Adopting) {
        claim.afterAdoption = message;
        return std::nullopt;
    }
    claim.state = State::Assigning;
    claim.call = turn.ask(claim.scheduler.node, std::move(message), AssignTimeout);
    m_calls[claim.call] = request;
    return std::nullopt;
}

void CapacityClaims::prefillFailed(Turn &turn, RequestNumber request)
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
    m_timers.clear({Timer::Doubt, request.value()});
    m_calls.erase(claim.call);
    ReleaseClaim message = releaseOf(claim);
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
        return answered(turn, claim->second, outcome);
    }
    if (const auto it = m_releases.find(call); it != m_releases.end()) {
        Release release = std::move(it->second);
        m_releases.erase(it);
        if (!reply && ++release.tries < MostReleaseTries) {
            const std::uint64_t retry = ++m_lastRetry;
            m_timers.set({Timer::Retry, retry}, turn.now + turn.jittered(ReleaseRetryAfter));
            m_releasesToRetry.emplace(retry, std::move(release));
        }
    }
    return std::nullopt;
}

std::vector<ClaimResult> CapacityClaims::membersChanged(Turn &turn)
{
    std::vector<ClaimResult> results;
    std::vector<RequestNumber> unreachable;
    for (auto &[request, claim] : m_claims) {
        const NodeLife next = schedulerFor(turn, claim.wanted);
        const MemberUpdate *member = turn.members.member(claim.scheduler.node);
        const bool isGone = !turn.members.mayBeAlive(claim.scheduler);
        const bool isDoubtful = isGone || (member && member->state == MemberState::Suspect);
        if (claim.state == State::Waiting) {
            if (next == claim.scheduler && isDoubtful) {
                unreachable.push_back(request);
            } else if (next != claim.scheduler) {
                withdraw(turn, claim);
                claim.asks = 0;
                if (!sendClaim(turn, claim)) {
                    unreachable.push_back(request);
                }
            }
            continue;
        }
        if (next != claim.scheduler && !next.node.isEmpty()) {
            adoptElsewhere(turn, claim, next);
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
        if (timer == Timer::Doubt) {
            const auto it = m_claims.find(RequestNumber(number));
            if (it != m_claims.end() && it->second.state == State::Waiting) {
                m_doubted.insert(it->second.scheduler.node);
                m_timers.set({Timer::Doubt, number}, turn.now + DoubtAgainAfter);
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
    if (!isAnswering(turn, claim.scheduler.node)) {
        return false;
    }
    const Duration timeout = FirstClaimTimeout * (1 << std::min(claim.asks++, MostClaimDoublings));
    claim.call = turn.ask(claim.scheduler.node, claim.wanted, timeout);
    m_calls[claim.call] = claim.wanted.request;
    if (claim.asks == 1) {
        m_timers.set({Timer::Doubt, claim.wanted.request.value()}, turn.now + DoubtAfter);
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
    m_timers.clear({Timer::Doubt, claim.wanted.request.value()});
    if (turn.members.mayBeAlive(claim.scheduler)) {
        sendRelease(turn, {claim.scheduler, releaseOf(claim), 0});
    }
}

ReleaseClaim CapacityClaims::releaseOf(const Claim &claim) const
{
    ReleaseClaim message;
    message.claim = claim.number;
    message.identity = claim.wanted.identity();
    message.target = claim.wanted.target;
    message.cell = claim.wanted.cell;
    return message;
}

std::optional<ClaimResult> CapacityClaims::answered(Turn &turn, Claim &claim,
                                                    const PeerOutcome &outcome)
{
    const auto *reply = std::get_if<PeerReply>(&outcome);
    switch (claim.state) {
    case State::Waiting:
        return claimAnswered(turn, claim, outcome);
    case State::Assigning:
        return assignAnswered(turn, claim, reply);
    case State::Adopting:
        return adoptAnswered(turn, claim, reply);
    case State::Held:
        break;
    }
    return std::nullopt;
}

std::optional<ClaimResult> CapacityClaims::claimAnswered(Turn &turn, Claim &claim,
                                                         const PeerOutcome &outcome)
{
    const RequestNumber request = claim.wanted.request;
    const auto *reply = std::get_if<PeerReply>(&outcome);
    const auto *failed = std::get_if<PeerFailed>(&outcome);
    if (failed && failed->isTimeout && sendClaim(turn, claim)) {
        return std::nullopt;
    }
    m_timers.clear({Timer::Doubt, request.value()});
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

std::optional<ClaimResult> CapacityClaims::assignAnswered(Turn &turn, Claim &claim,
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
    // The scheduler is gone or has forgotten the claim. The prefill's result lives for less than
    // a second: choosing alone now wastes nothing, asking around would.
    const Release release {claim.scheduler, releaseOf(claim), 0};
    m_claims.erase(request);
    sendRelease(turn, release);
    return SchedulerUnreachable {request};
}

std::optional<ClaimResult> CapacityClaims::adoptAnswered(Turn &turn, Claim &claim,
                                                         const PeerReply *reply)
{
    const RequestNumber request = claim.wanted.request;
    const auto *granted = reply ? std::get_if<Granted>(reply) : nullptr;
    if (granted) {
        claim.state = State::Held;
        claim.number = granted->claim;
    }
    if (!claim.afterAdoption) {
        if (!granted) {
            m_claims.erase(request);
        }
        return std::nullopt;
    }
    const PrefillEnded ended = *claim.afterAdoption;
    claim.afterAdoption.reset();
    if (granted) {
        return prefillSucceeded(turn, request, ended.elapsed, ended.avoid);
    }
    m_claims.erase(request);
    return SchedulerUnreachable {request};
}

void CapacityClaims::adoptElsewhere(Turn &turn, Claim &claim, const NodeLife &next)
{
    std::optional<PrefillEnded> ended = claim.afterAdoption;
    if (claim.state == State::Assigning) {
        m_calls.erase(claim.call);
        ended = PrefillEnded {claim.number, true, Duration::zero(), {}};
    }
    withdraw(turn, claim);
    claim.state = State::Adopting;
    claim.scheduler = next;
    claim.afterAdoption = ended;
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
