#include "serverload.h"

#include <algorithm>
#include <cmath>

namespace indigoway {

namespace {

/** Smoothing as in the paper's EWMA (section 03), with its alpha of 0.15 doubled: a straggler
 * then shows after some four completions. docs/MEASUREMENTS.md has the trial. */
constexpr double Smoothing = 0.3;
constexpr std::chrono::duration<double> ConfidenceDecay = std::chrono::seconds(10);
constexpr Duration FirstRest = std::chrono::milliseconds(500);
constexpr int MostDoublings = 5;
/** Reports that must all show an excess: a single one is out of step with what was assigned. */
constexpr std::size_t ReportsToBelieve = 3;
constexpr int MostMissedReports = 2;

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
    m_foreign -= std::min<std::uint32_t>(m_foreign, 1);
}

void ServerLoad::report(TimePoint /*now*/, std::uint32_t running)
{
    m_excess.push_back(running > assigned() ? running - assigned() : 0);
    if (m_excess.size() > ReportsToBelieve) {
        m_excess.pop_front();
    }
    // The first report is believed at once: a new scheduler knows nothing of earlier grants, and
    // counting their slots as free would start prefills for which no slot will be there.
    if (!m_hasReported || m_excess.size() == ReportsToBelieve) {
        m_foreign = *std::min_element(m_excess.begin(), m_excess.end());
    }
    m_hasReported = true;
    m_missedReports = 0;
}

void ServerLoad::reportFailed()
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

void ServerLoad::failed(TimePoint now)
{
    m_restsUntil = now + FirstRest * (1 << std::min(m_failures, MostDoublings));
    ++m_failures;
}

void ServerLoad::succeeded()
{
    m_failures = 0;
}

bool ServerLoad::isUsable(TimePoint now) const
{
    return now >= m_restsUntil && m_missedReports < MostMissedReports;
}

void ServerLoad::takeLink(TimePoint from, Duration transfer)
{
    m_linkFreeAt = std::max(m_linkFreeAt, from) + transfer;
}

} // namespace indigoway
