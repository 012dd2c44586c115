#pragma once

#include <indigoway/deployment.h>
#include <indigoway/ids.h>

#include <cstdint>
#include <deque>
#include <set>

namespace indigoway {

/**
 * Keeps a scheduler's view of one backend server: the assigned claims, the reported load, the
 * measured speed and the backoff after failures.
 */
class ServerLoad
{
public:
    std::uint32_t assignedClaims() const { return static_cast<std::uint32_t>(m_claims.size()); }
    /** Returns the slots in use by assigned claims and by external requests. */
    std::uint32_t usedSlots() const { return assignedClaims() + m_externalRequests; }
    /** Returns the prompt tokens of the assigned prefills. */
    std::uint64_t prefillTokens() const { return m_prefillTokens; }

    void assign(ClaimNumber claim, std::uint32_t prefillTokens);
    void unassign(ClaimNumber claim, std::uint32_t prefillTokens);
    /** Assigns a claim that an earlier scheduler granted and no longer counts it as external. */
    void adopt(ClaimNumber claim);

    /** Updates the external requests by the excess of @p running over the assigned claims. */
    void applyReport(TimePoint now, std::uint32_t running);
    void recordMissedReport();
    bool hasReported() const { return m_hasReported; }

    /** Returns the smoothed prefill speed in tokens per second; 0 before the first observation. */
    double prefillSpeed() const { return m_prefillSpeed; }
    void observePrefill(TimePoint now, std::uint32_t tokens, Duration elapsed);
    /** Returns the smoothed time between tokens in seconds; 0 before the first observation. */
    double tokenTime() const { return m_tokenTime; }
    void observeDecode(TimePoint now, std::uint32_t tokens, Duration elapsed);
    /**
     * Returns the weight of the server's own observations against the cell's median. It decays from
     * 1 towards 0, so that a slow server is tried again.
     */
    double confidence(TimePoint now) const;

    void recordFailure(TimePoint now);
    void recordSuccess();
    /** Returns whether the server is neither backing off after failures nor missing reports. */
    bool isUsable(TimePoint now) const;

    /** Returns the time at which the assigned transfers will have left the transfer link. */
    TimePoint linkFreeAt() const { return m_linkFreeAt; }
    void reserveLink(TimePoint from, Duration transfer);

private:
    std::set<ClaimNumber> m_claims;
    std::uint64_t m_prefillTokens = 0;
    std::uint32_t m_externalRequests = 0;     ///< Reported beyond the assigned claims.
    std::deque<std::uint32_t> m_recentExcess; ///< Of the latest reports, in requests.
    bool m_hasReported = false;
    int m_missedReports = 0;
    double m_prefillSpeed = 0;
    double m_tokenTime = 0;
    TimePoint m_observedAt {};
    int m_failures = 0;
    TimePoint m_backoffUntil {};
    TimePoint m_linkFreeAt {};
};

} // namespace indigoway
