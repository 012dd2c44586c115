#include "serverload.h"

#include <algorithm>
#include <cmath>

namespace indigoway {

namespace {

/** Weight of a new sample in the moving averages. A slow server shows after about four samples. */
constexpr double Smoothing = 0.3;
constexpr std::chrono::duration<double> ConfidenceDecay = std::chrono::seconds(10);
constexpr Duration InitialBackoff = std::chrono::milliseconds(500);
constexpr int MaxBackoffDoublings = 5;
/** Consecutive reports that must show an excess, since a single one may lag the assignments. */
constexpr std::size_t ReportsToConfirmExcess = 3;
constexpr int MaxMissedReports = 2;

double smoothed(double before, double observed)
{
    return before == 0 ? observed : before + Smoothing * (observed - before);
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void ServerLoad::assign(ClaimNumber claim, std::uint32_t prefillTokens)
{
    m_claims.insert(claim);
    m_prefillTokens += prefillTokens;
}

void ServerLoad::unassign(ClaimNumber claim, std::uint32_t prefillTokens)
{
    if (m_claims.erase(claim) > 0) {
        m_prefillTokens -= std::min<std::uint64_t>(m_prefillTokens, prefillTokens);
    }
}

void ServerLoad::adopt(ClaimNumber claim)
{
    m_claims.insert(claim);
    m_externalRequests -= std::min<std::uint32_t>(m_externalRequests, 1);
}

void ServerLoad::applyReport(TimePoint /*now*/, std::uint32_t running)
{
    m_recentExcess.push_back(running > assignedClaims() ? running - assignedClaims() : 0);
    if (m_recentExcess.size() > ReportsToConfirmExcess) {
        m_recentExcess.pop_front();
    }
    // The first report counts at once: a new scheduler has no record of earlier grants and would
    // otherwise take their slots for free.
    if (!m_hasReported || m_recentExcess.size() == ReportsToConfirmExcess) {
        m_externalRequests = *std::min_element(m_recentExcess.begin(), m_recentExcess.end());
    }
    m_hasReported = true;
    m_missedReports = 0;
}

void ServerLoad::recordMissedReport()
{
    ++m_missedReports;
}

void ServerLoad::observePrefill(TimePoint now, std::uint32_t tokens, Duration elapsed)
{
    if (tokens == 0 || elapsed <= Duration::zero()) {
        return;
    }
    m_prefillSpeed = smoothed(m_prefillSpeed, tokens / seconds(elapsed));
    m_observedAt = now;
}

void ServerLoad::observeDecode(TimePoint now, std::uint32_t tokens, Duration elapsed)
{
    if (tokens < 2 || elapsed <= Duration::zero()) {
        return;
    }
    m_tokenTime = smoothed(m_tokenTime, seconds(elapsed) / (tokens - 1));
    m_observedAt = now;
}

double ServerLoad::confidence(TimePoint now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_observedAt) / ConfidenceDecay);
}

void ServerLoad::recordFailure(TimePoint now)
{
    m_backoffUntil = now + InitialBackoff * (1 << std::min(m_failures, MaxBackoffDoublings));
    ++m_failures;
}

void ServerLoad::recordSuccess()
{
    m_failures = 0;
}

bool ServerLoad::isUsable(TimePoint now) const
{
    return now >= m_backoffUntil && m_missedReports < MaxMissedReports;
}

void ServerLoad::reserveLink(TimePoint from, Duration transfer)
{
    m_linkFreeAt = std::max(m_linkFreeAt, from) + transfer;
}

} // namespace indigoway
