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
/** Used until the first grant has ended. */
constexpr double InitialHoldSeconds = 3;
/** Weight of a sample in the moving average. */
constexpr double HoldTimeWeight = 0.05;

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
