#pragma once

#include <indigoway/deployment.h>
#include <indigoway/ids.h>

#include <cstdint>
#include <deque>
#include <set>

namespace indigoway {

/**
 * What a cell's scheduler knows of one backend server: what it assigned, what the server
 * reported (late), how fast it has been, and whether it is to be left alone for a while.
 */
class ServerLoad
{
public:
    std::uint32_t assigned() const { return static_cast<std::uint32_t>(m_claims.size()); }
    /** Slots in use: own assignments and what others, unknown here, seem to run. */
    std::uint32_t used() const { return assigned() + m_foreign; }
    /** Prompt tokens assigned for prefill and not yet reported done. */
    std::uint64_t prefillTokens() const { return m_prefillTokens; }

    void assign(ClaimNumber claim, std::uint32_t prefillTokens);
    void unassign(ClaimNumber claim, std::uint32_t prefillTokens);
    /** Assigns what an earlier scheduler had granted; it is no longer foreign. */
    void adopt(ClaimNumber claim);

    /** Takes in a report. What it counts beyond the assignments of its time is foreign. */
    void report(TimePoint now, std::uint32_t running);
    void reportFailed();
    bool hasReported() const { return m_hasReported; }

    /** Prefill speed in tokens a second, smoothed; 0 before the first observation. */
    double prefillSpeed() const { return m_prefillSpeed; }
    void observePrefill(TimePoint now, std::uint32_t tokens, Duration elapsed);
    /** Time between tokens in seconds, smoothed; 0 before the first observation. */
    double tokenTime() const { return m_tokenTime; }
    void observeDecode(TimePoint now, std::uint32_t tokens, Duration elapsed);
    /**
     * Weight of the server's own observations against its pool's median: 1 when fresh, falling
     * towards 0. A server once seen slow is so tried again and found well.
     */
    double confidence(TimePoint now) const;

    void failed(TimePoint now);
    void succeeded();
    /** Neither resting after failures nor silent. */
    bool isUsable(TimePoint now) const;

    /** Until when its transfer link is taken by assigned transfers. */
    TimePoint linkFreeAt() const { return m_linkFreeAt; }
    void takeLink(TimePoint from, Duration transfer);

private:
    std::set<ClaimNumber> m_claims;
    std::uint64_t m_prefillTokens = 0;
    std::uint32_t m_foreign = 0;
    std::deque<std::uint32_t> m_excess; ///< Of the latest reports.
    bool m_hasReported = false;
    int m_missedReports = 0;
    double m_prefillSpeed = 0;
    double m_tokenTime = 0;
    TimePoint m_observedAt {};
    int m_failures = 0;
    TimePoint m_restsUntil {};
    TimePoint m_linkFreeAt {};
};

} // namespace indigoway
