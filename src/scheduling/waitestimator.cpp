#include "waitestimator.h"

#include <algorithm>

namespace indigoway::scheduling {

namespace {

/**
 * If claims were accepted up to the wait that short prompts tolerate, the longest would never meet
 * their target. All claims therefore reserve half of the additional time that the longest recent
 * prompt needs.
 */
constexpr double LongestPromptDecay = 0.998;
constexpr Duration MaxAllowance = std::chrono::milliseconds(150);
/** Used until the first grant has ended: a prompt and about seventy events. */
constexpr double InitialHoldSeconds = 3;
/** Weight of a sample in the moving average. */
constexpr double HoldTimeWeight = 0.05;

/** Time from the prefill response to the first event: KV cache transfer and first token. */
constexpr Duration FirstEventAfterPrefill = std::chrono::milliseconds(40);
/** If prompts would be processed sooner than this, waiting claims wait for decode memory. */
constexpr Duration LongPrefillWait = std::chrono::milliseconds(100);

} // namespace

WaitEstimator::WaitEstimator()
    : m_meanHoldSeconds(InitialHoldSeconds)
{ }

void WaitEstimator::addHoldTime(Duration holdTime)
{
    const double seconds =
        std::chrono::duration_cast<std::chrono::duration<double>>(holdTime).count();
    m_meanHoldSeconds += HoldTimeWeight * (seconds - m_meanHoldSeconds);
}

TimePoint WaitEstimator::latestStart(TimePoint now, const Claim &claim,
                                     const EngineTracker &tracker,
                                     const PrefillEstimator &estimator)
{
    return now + claim.timeToTarget - FirstEventAfterPrefill
        - tracker.prefillTime(ServerName(), claim.promptTokens, estimator, now);
}

WaitEstimate WaitEstimator::estimate(TimePoint now, const WaitingClaim &waiting,
                                     const ClaimQueue &queue, const EngineSelector &engines,
                                     const EngineTracker &tracker,
                                     const PrefillEstimator &estimator) const
{
    WaitEstimate result;
    const Claim &claim = waiting.claim;
    double tokensAhead = 0;
    Duration promptsAhead {};
    for (const WaitingClaim *other : queue.servedBefore(now, waiting)) {
        ++result.claimsAhead;
        tokensAhead += meanTokens(other->claim.memory);
        promptsAhead += estimator.computeTime(other->claim.promptTokens);
    }
    // If claims wait although a prompt would be processed at once, they wait for memory: the free
    // memory is too fragmented for them or reserved.
    const bool isMemoryShort =
        result.claimsAhead > 0 && engines.shortestPrefillWait() <= LongPrefillWait;
    const double free = isMemoryShort ? 0 : engines.freeMemoryFor(claim.memory);
    const double requiredTokens = tokensAhead + meanTokens(claim.memory) - free;
    if (engines.memory() > 0 && requiredTokens > 0) {
        result.memoryWait = timeUntilFree(requiredTokens / engines.memory());
    }
    // While this claim waits for memory, the prompts ahead of it are processed.
    const Duration idlePrefillTime =
        tracker.prefillTime(ServerName(), claim.promptTokens, estimator, now);
    Duration timeToPrefill {};
    if (claim.promptTokens > 0 && engines.hasPrefillEngines()) {
        // Decode engines also prefill while they have memory for all waiting claims.
        const bool isMemorySpare = engines.freeMemoryFor({}) > queue.waitingTokens(claim.service);
        const double prefillCapacity = static_cast<double>(engines.prefillEngines())
            + (isMemorySpare ? static_cast<double>(engines.decodeEngines())
                       * EngineTracker::localPrefillRatio()
                             : 0);
        timeToPrefill = engines.shortestPrefillTime(claim.promptTokens)
            + Duration(static_cast<Duration::rep>(static_cast<double>(promptsAhead.count())
                                                  / prefillCapacity));
    }
    result.timeToFirstEvent =
        std::max(timeToPrefill, result.memoryWait + idlePrefillTime) + FirstEventAfterPrefill;
    return result;
}

bool WaitEstimator::shouldRefuse(TimePoint now, const Claim &claim, const WaitEstimate &expected,
                                 const EngineTracker &tracker, const PrefillEstimator &estimator)
{
    // A prompt that would miss its target even on idle engines must not be refused forever.
    const bool canMeetTarget = claim.urgency == Urgency::FirstAttempt
        && tracker.prefillTime(ServerName(), claim.promptTokens, estimator, now)
            < claim.timeToTarget;
    const Duration latest = claim.timeToTarget - longPromptAllowance(claim, estimator);
    return expected.memoryWait > claim.maxWait
        || (canMeetTarget && expected.timeToFirstEvent > latest);
}

Duration WaitEstimator::timeUntilFree(double fraction) const
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(fraction * m_meanHoldSeconds));
}

Duration WaitEstimator::longPromptAllowance(const Claim &claim, const PrefillEstimator &estimator)
{
    double &longestPrompt = m_longestRecentPrompts[claim.service];
    longestPrompt =
        std::max(longestPrompt * LongestPromptDecay, static_cast<double>(claim.promptTokens));
    const Duration allowance = estimator.computeTime(static_cast<std::uint32_t>(longestPrompt))
        - estimator.computeTime(claim.promptTokens);
    return std::min(allowance / 2, MaxAllowance);
}

} // namespace indigoway::scheduling
