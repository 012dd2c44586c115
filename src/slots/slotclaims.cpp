#include "slotclaims.h"

#include "core/deadlines.h"

#include <algorithm>
#include <utility>

namespace indigoway::slots {

namespace {

/** Repetition of a claim without any answer; a caller waits for it. */
constexpr Duration UnansweredInterval = std::chrono::milliseconds(40);
/** Repetition of a waiting claim, whose grant may have been lost. */
constexpr Duration WaitingInterval = std::chrono::milliseconds(150);
/** Claims sent without an answer after which the scheduler counts as silent. */
constexpr std::uint32_t MaxUnanswered = 3;
/** Interval of messages to a scheduler that did not respond, until it does. */
constexpr Duration ProbeInterval = std::chrono::seconds(1);
/** Loads in one report, which must fit into a datagram. */
constexpr std::size_t MaxReportedLoads = 8;

} // namespace

void SlotClaims::setScheduler(std::optional<NodeName> scheduler)
{
    if (scheduler == m_scheduler) {
        return;
    }
    m_scheduler = std::move(scheduler);
    m_isSilent = false;
    m_mustReport = m_scheduler.has_value();
    for (const SlotClaimId claim : m_pending) {
        OpenClaim &open = m_claims.at(claim);
        open.unanswered = 0;
        open.sentAt = {};
    }
}

void SlotClaims::recordLoad(const ServiceName &service, const ServerName &server,
                            const ServerLoad &load, TimePoint now)
{
    if (load.workPercent) {
        m_reporting[service][server] = {load, now};
        return;
    }
    const auto it = m_reporting.find(service);
    if (it != m_reporting.end() && it->second.erase(server) > 0 && it->second.empty()) {
        m_reporting.erase(it);
    }
}

void SlotClaims::forget(const ServerName &server)
{
    for (auto it = m_reporting.begin(); it != m_reporting.end();) {
        it->second.erase(server);
        it = it->second.empty() ? m_reporting.erase(it) : std::next(it);
    }
}

SlotClaimId SlotClaims::claim(TimePoint now, RequestNumber request, SlotClaim claim,
                              Messages &messages)
{
    claim.claim = SlotClaimId(++m_lastClaim);
    const SlotClaimId id = claim.claim;
    OpenClaim &open = m_claims[id];
    open.request = request;
    open.startedAt = now;
    open.message = std::move(claim);
    open.sentAt = now;
    m_pending.insert(id);
    sendClaim(now, open, messages);
    return id;
}

SlotClaimId SlotClaims::holdLocally(TimePoint now, RequestNumber request, SlotHeld held,
                                    Messages &messages)
{
    held.claim = SlotClaimId(++m_lastClaim);
    OpenClaim &open = m_claims[held.claim];
    open.request = request;
    open.startedAt = now;
    open.sentAt = now;
    open.message.claim = held.claim;
    open.message.service = held.service;
    open.message.timeLeft = held.timeLeft;
    open.server = held.server;
    const SlotClaimId id = held.claim;
    if (isAvailable()) {
        messages.emplace_back(std::move(held));
    } else if (m_scheduler && now >= m_probedAt + ProbeInterval) {
        m_probedAt = now;
        reportLoads(now, open.message.service, messages);
    }
    return id;
}

void SlotClaims::end(SlotClaimId claim, SlotOutcome outcome, Duration answerTime,
                     const std::optional<ServerLoad> &load, Messages &messages)
{
    const auto it = m_claims.find(claim);
    if (it == m_claims.end()) {
        return;
    }
    if (isAvailable()) {
        messages.emplace_back(SlotEnded {claim, it->second.message.service, it->second.server,
                                         outcome, answerTime, load});
    }
    m_pending.erase(claim);
    m_claims.erase(it);
}

std::optional<SlotDecision> SlotClaims::handleAnswer(TimePoint now,
                                                     const FromPlainScheduler &answer,
                                                     Incarnation life, Messages &messages)
{
    const bool wasSilent = std::exchange(m_isSilent, false);
    if (life != m_life || wasSilent) {
        // The scheduler is new, or it missed the slots assigned while it did not respond.
        m_life = life;
        m_mustReport = false;
        reportState(now, messages);
    }
    const SlotClaimId claim = claimOf(answer);
    const auto it = m_claims.find(claim);
    const auto *granted = std::get_if<SlotGranted>(&answer);
    if (it == m_claims.end()) {
        if (granted) {
            // The request ended before the grant arrived; without this message, the slot would be
            // held until it expires.
            messages.emplace_back(
                SlotEnded {claim, {}, granted->server, SlotOutcome::Cancelled, Duration(0), {}});
        }
        return std::nullopt;
    }
    OpenClaim &open = it->second;
    open.unanswered = 0;
    open.sentAt = now;
    if (!m_pending.contains(claim) || std::holds_alternative<SlotQueued>(answer)) {
        return std::nullopt;
    }
    SlotDecision decision {open.request, claim, SlotDecision::Kind::Granted,
                           {},           {},    now - open.startedAt};
    m_pending.erase(claim);
    if (granted) {
        open.server = granted->server;
        decision.server = granted->server;
        return decision;
    }
    decision.kind = SlotDecision::Kind::Refused;
    if (const auto *refused = std::get_if<SlotRefused>(&answer)) {
        decision.expectedWait = refused->expectedWait;
    }
    m_claims.erase(it);
    return decision;
}

std::vector<SlotDecision> SlotClaims::tick(TimePoint now, Messages &messages)
{
    if (std::exchange(m_mustReport, false)) {
        reportState(now, messages);
    }
    if (!m_scheduler) {
        return withdrawAll(now, messages);
    }
    for (const SlotClaimId claim : m_pending) {
        OpenClaim &open = m_claims.at(claim);
        if (now < open.sentAt + repeatInterval(open)) {
            continue;
        }
        if (open.unanswered >= MaxUnanswered) {
            auto withdrawn = withdrawAll(now, messages);
            m_isSilent = true;
            m_probedAt = now;
            return withdrawn;
        }
        sendClaim(now, open, messages);
    }
    return {};
}

std::optional<TimePoint> SlotClaims::nextTick() const
{
    std::optional<TimePoint> next;
    for (const SlotClaimId claim : m_pending) {
        const OpenClaim &open = m_claims.at(claim);
        next = earlier(next, open.sentAt + repeatInterval(open));
    }
    return next;
}

void SlotClaims::sendClaim(TimePoint now, OpenClaim &open, Messages &messages)
{
    SlotClaim message = open.message;
    message.timeToTarget -= now - open.startedAt;
    message.timeLeft = std::max(Duration(0), message.timeLeft - (now - open.startedAt));
    ++open.unanswered;
    open.sentAt = now;
    messages.emplace_back(std::move(message));
}

void SlotClaims::reportState(TimePoint now, Messages &messages) const
{
    for (const auto &[service, loads] : m_reporting) {
        reportLoads(now, service, messages);
    }
    for (const auto &[claim, open] : m_claims) {
        if (!open.server.isEmpty()) {
            const Duration left =
                std::max(Duration(0), open.message.timeLeft - (now - open.startedAt));
            messages.emplace_back(SlotHeld {claim, open.message.service, open.server, left});
        }
    }
}

void SlotClaims::reportLoads(TimePoint now, const ServiceName &service, Messages &messages) const
{
    LoadReport report;
    report.service = service;
    if (const auto it = m_reporting.find(service); it != m_reporting.end()) {
        for (const auto &[server, known] : it->second) {
            report.loads.push_back({server, known.load, now - known.at});
        }
    }
    if (report.loads.size() > MaxReportedLoads) {
        std::ranges::sort(report.loads, {}, &SeenLoad::age);
        report.loads.resize(MaxReportedLoads);
    }
    messages.emplace_back(std::move(report));
}

std::vector<SlotDecision> SlotClaims::withdrawAll(TimePoint now, Messages &messages)
{
    std::vector<SlotDecision> decisions;
    for (const SlotClaimId claim : m_pending) {
        const auto it = m_claims.find(claim);
        const OpenClaim &open = it->second;
        decisions.push_back(
            {open.request, claim, SlotDecision::Kind::Local, {}, {}, now - open.startedAt});
        if (m_scheduler) {
            // A scheduler that is still running must not hold slots for these claims.
            messages.emplace_back(
                SlotEnded {claim, open.message.service, {}, SlotOutcome::Cancelled, {}, {}});
        }
        m_claims.erase(it);
    }
    m_pending.clear();
    return decisions;
}

Duration SlotClaims::repeatInterval(const OpenClaim &open)
{
    return open.unanswered > 0 ? UnansweredInterval : WaitingInterval;
}

} // namespace indigoway::slots
