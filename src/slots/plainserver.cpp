#include "plainserver.h"

#include <algorithm>
#include <cmath>

namespace indigoway::slots {

namespace {

/** Weight of a report in the mean speed. A busy server reports many times a second. */
constexpr double MeanSampleWeight = 0.02;
/** Half-life of a reported speed's weight; the speed changes several times a second. */
constexpr Duration WorkPercentHalfLife = std::chrono::milliseconds(150);
/** Half-life of requests that no node has claimed; about the time that they take. */
constexpr Duration OthersHalfLife = std::chrono::milliseconds(100);
/** A report may count the answered request itself, or one whose end is still on its way. */
constexpr std::uint32_t ReportSlack = 1;
/** Time for a granted request to reach its server, with a margin. */
constexpr Duration ArrivalTime = std::chrono::milliseconds(20);

constexpr double OutcomeSampleWeight = 0.1;
/** Half-life of the failure rate, so that a server that has recovered is used again. */
constexpr Duration FailureHalfLife = std::chrono::seconds(3);
/** Cost of a failed call, in answer times: the caller needs a retry and may miss its target. */
constexpr double FailureCost = 4;
/** Calls in a row without an answer after which a server is avoided. */
constexpr std::uint32_t FailuresToAvoid = 2;
constexpr Duration InitialAvoidance = std::chrono::milliseconds(800);
/** Limits the time until a restarted server is used again. */
constexpr Duration MaxAvoidance = std::chrono::milliseconds(3200);
/** Doublings of InitialAvoidance; a further one would exceed MaxAvoidance. */
constexpr std::uint32_t MaxDoublings = 2;
/** Time for which a server that rejected a request is not used; it has ended one by then. */
constexpr Duration FullServerPause = std::chrono::milliseconds(15);

double weightAfter(Duration age, Duration halfLife)
{
    return std::exp2(-static_cast<double>(age.count()) / static_cast<double>(halfLife.count()));
}

} // namespace

double PlainServer::Figures::expectedMilliseconds(double workMilliseconds,
                                                  double meanMilliseconds) const
{
    const double beyondSlots = std::max(0.0, requests() + 1 - slots);
    const double queueing = meanMilliseconds * beyondSlots / std::max(1U, slots);
    return (workMilliseconds + queueing) * workPercent / UsualWorkPercent
        * (1 + FailureCost * failureRate);
}

PlainServer::Figures PlainServer::figures(std::uint32_t slots, TimePoint now) const
{
    Figures figures;
    figures.slots = m_load && m_load->slots > 0 ? m_load->slots : std::max(1U, slots);
    figures.held = m_held.size();
    figures.workPercent = workPercent(now);
    figures.failureRate = m_failureRate * weightAfter(now - m_lastOutcomeAt, FailureHalfLife);
    figures.isAvoided = now < m_avoidedUntil;
    figures.isFull = now < m_fullUntil;
    if (m_load) {
        figures.reportAge = now - m_reportedAt;
        const double reported = static_cast<double>(m_load->running) + m_load->waiting;
        const double unclaimed =
            std::max(0.0, reported - static_cast<double>(m_held.size()) - ReportSlack);
        // A count far above the slots is wrong, and would keep the server without requests.
        figures.others = std::min(unclaimed, 2.0 * figures.slots)
            * weightAfter(*figures.reportAge, OthersHalfLife);
    }
    return figures;
}

std::optional<TimePoint> PlainServer::release(const ClaimKey &key)
{
    const auto it = m_held.find(key);
    if (it == m_held.end()) {
        return std::nullopt;
    }
    const TimePoint grantedAt = it->second;
    m_held.erase(it);
    return grantedAt;
}

void PlainServer::recordLoad(const ServerLoad &load, Duration age, TimePoint now)
{
    const TimePoint reportedAt = now - age;
    if (m_load && reportedAt < m_reportedAt) {
        return;
    }
    m_load = load;
    m_reportedAt = reportedAt;
    if (load.workPercent) {
        const double percent = *load.workPercent;
        m_meanWorkPercent = m_meanWorkPercent == 0
            ? percent
            : m_meanWorkPercent + MeanSampleWeight * (percent - m_meanWorkPercent);
    }
}

void PlainServer::recordOutcome(SlotOutcome outcome, TimePoint now)
{
    if (outcome == SlotOutcome::Cancelled) {
        return;
    }
    if (outcome == SlotOutcome::Rejected) {
        m_fullUntil = now + FullServerPause;
        return;
    }
    const bool isFailure = outcome != SlotOutcome::Answered;
    const double rate = m_failureRate * weightAfter(now - m_lastOutcomeAt, FailureHalfLife);
    m_failureRate = rate + OutcomeSampleWeight * ((isFailure ? 1 : 0) - rate);
    m_lastOutcomeAt = now;
    if (outcome == SlotOutcome::Answered || outcome == SlotOutcome::ServerError) {
        m_consecutiveFailures = 0;
        return;
    }
    // A refused connection is certain evidence; a broken one may concern a single request.
    m_consecutiveFailures = outcome == SlotOutcome::Unreachable
        ? std::max(m_consecutiveFailures + 1, FailuresToAvoid)
        : m_consecutiveFailures + 1;
    if (m_consecutiveFailures >= FailuresToAvoid) {
        const std::uint32_t doublings =
            std::min(m_consecutiveFailures - FailuresToAvoid, MaxDoublings);
        m_avoidedUntil = now + std::min(InitialAvoidance * (1 << doublings), MaxAvoidance);
    }
}

std::optional<ClaimKey> PlainServer::findLostClaim(Duration age, TimePoint now) const
{
    if (!m_load || m_held.empty()) {
        return std::nullopt;
    }
    const auto arrived = static_cast<std::uint64_t>(std::ranges::count_if(
        m_held, [now](const auto &one) { return now > one.second + ArrivalTime; }));
    const std::uint64_t reported = std::uint64_t {m_load->running} + m_load->waiting;
    if (arrived <= reported + ReportSlack) {
        return std::nullopt;
    }
    const auto oldest =
        std::ranges::min_element(m_held, {}, [](const auto &one) { return one.second; });
    return now > oldest->second + age ? std::optional(oldest->first) : std::nullopt;
}

double PlainServer::workPercent(TimePoint now) const
{
    if (!m_load || !m_load->workPercent) {
        return m_meanWorkPercent == 0 ? UsualWorkPercent : m_meanWorkPercent;
    }
    const double weight = weightAfter(now - m_reportedAt, WorkPercentHalfLife);
    return m_meanWorkPercent + weight * (*m_load->workPercent - m_meanWorkPercent);
}

std::string figuresText(const PlainServer::Figures &figures)
{
    const auto age = [&figures] {
        using Milliseconds = std::chrono::milliseconds;
        return figures.reportAge
            ? std::to_string(std::chrono::duration_cast<Milliseconds>(*figures.reportAge).count())
            : std::string("-");
    };
    return "held=" + std::to_string(figures.held) + " others=" + std::to_string(figures.others)
        + " slots=" + std::to_string(figures.slots) + " work_percent="
        + std::to_string(std::lround(figures.workPercent)) + " report_age_ms=" + age()
        + " failure_rate=" + std::to_string(figures.failureRate) + " avoided="
        + (figures.isAvoided ? "yes" : "no") + " full=" + (figures.isFull ? "yes" : "no");
}

} // namespace indigoway::slots
