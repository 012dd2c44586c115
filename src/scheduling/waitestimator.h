#pragma once

#include "scheduling/claimqueue.h"
#include "scheduling/engineselector.h"
#include "scheduling/enginetracker.h"
#include "scheduling/prefillestimator.h"
#include "scheduling/schedulermessages.h"

#include <cstdint>
#include <map>

namespace indigoway::scheduling {

/** Expected wait of a new claim. */
struct WaitEstimate
{
    std::uint32_t claimsAhead = 0;
    Duration memoryWait {};       ///< Wait for memory on a decode engine.
    Duration timeToFirstEvent {}; ///< From now, including the wait.
};

/** Estimates how long claims wait for decode memory, from how long grants hold it. */
class WaitEstimator
{
public:
    WaitEstimator();

    /** Records that a granted claim held its memory for @p holdTime. */
    void addHoldTime(Duration holdTime);
    /** Returns the mean time for which grants hold their memory. */
    double meanHoldSeconds() const { return m_meanHoldSeconds; }
    /**
     * Returns the latest time at which @p claim can be granted and meet its target on idle engines.
     */
    static TimePoint latestStart(TimePoint now, const Claim &claim, const EngineTracker &tracker,
                                 const PrefillEstimator &estimator);
    /** Returns the expected wait of @p waiting, which is not in @p queue yet. */
    WaitEstimate estimate(TimePoint now, const WaitingClaim &waiting, const ClaimQueue &queue,
                          const EngineSelector &engines, const EngineTracker &tracker,
                          const PrefillEstimator &estimator) const;
    /**
     * Returns whether @p claim would wait too long or miss a target that it could meet on idle
     * engines.
     */
    bool shouldRefuse(TimePoint now, const Claim &claim, const WaitEstimate &expected,
                      const EngineTracker &tracker, const PrefillEstimator &estimator);

private:
    /**
     * Returns the expected time until memory comes free on the decode engines.
     * @param fraction Share of all decode memory that has to come free.
     */
    Duration timeUntilFree(double fraction) const;
    /**
     * Records the prompt length of @p claim and returns the time to subtract from its target, so
     * that claims with longer prompts can meet theirs as well.
     */
    Duration longPromptAllowance(const Claim &claim, const PrefillEstimator &estimator);

    double m_meanHoldSeconds;
    /** Longest prompt of each service in tokens, decaying with every claim. */
    std::map<ServiceName, double> m_longestRecentPrompts;
};

} // namespace indigoway::scheduling
