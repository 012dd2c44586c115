#include "prefillestimator.h"

#include <algorithm>

namespace indigoway::scheduling {

namespace {

/** Decay per sample; about fifty prompts determine the estimate. */
constexpr double Decay = 0.98;
/** Decay per back-to-back sample; about two hundred, to average over engines and prompt lengths. */
constexpr double BackToBackDecay = 0.995;
/**
 * Prior of 50 tokens per millisecond with the weight of two samples, so that five real samples
 * outweigh it even if the engines are ten times as fast or as slow.
 */
constexpr double InitialSecondsPerToken = 20e-6;
constexpr double InitialFixedSeconds = 0.01;
constexpr double InitialShortPrompt = 500;
constexpr double InitialLongPrompt = 8'000;
constexpr double InitialWeight = 1;
/** Limits the influence of a single slow engine. */
constexpr double MaxSampleRatio = 3;
/** Samples after which the time per token is accurate to several percent. */
constexpr std::uint32_t MinSamples = 30;
constexpr double MinSecondsPerToken = 1e-8;
/**
 * Minimum share of the response time that counts as compute time until there are back-to-back
 * samples. Without it, misleading first samples could make compute time appear as zero, and all
 * prompts would go to one engine.
 */
constexpr double MinComputeShare = 0.25;

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

PrefillEstimator::PrefillEstimator()
{
    for (const double tokens : {InitialShortPrompt, InitialLongPrompt}) {
        addSample(tokens, tokens * InitialSecondsPerToken + InitialFixedSeconds, InitialWeight);
    }
    m_fit = fit();
}

void PrefillEstimator::add(std::uint32_t tokens, Duration elapsed)
{
    if (tokens == 0) {
        return;
    }
    const double expected = m_fit.secondsPerToken * tokens + m_fit.fixedSeconds;
    const double seconds =
        std::chrono::duration_cast<std::chrono::duration<double>>(elapsed).count();
    m_weight *= Decay;
    m_tokens *= Decay;
    m_seconds *= Decay;
    m_squaredTokens *= Decay;
    m_products *= Decay;
    ++m_samples;
    addSample(tokens, std::clamp(seconds, expected / MaxSampleRatio, expected * MaxSampleRatio), 1);
    m_fit = fit();
}

void PrefillEstimator::addBackToBack(std::uint32_t tokens, Duration interval)
{
    if (tokens == 0) {
        return;
    }
    const double expected = std::chrono::duration_cast<std::chrono::duration<double>>(
                                computeTime(tokens) + responseOverhead())
                                .count();
    const double seconds =
        std::chrono::duration_cast<std::chrono::duration<double>>(interval).count();
    m_backToBackPrompts = m_backToBackPrompts * BackToBackDecay + 1;
    m_backToBackSeconds =
        m_backToBackSeconds * BackToBackDecay + std::min(seconds, expected * MaxSampleRatio);
    m_backToBackTokens = m_backToBackTokens * BackToBackDecay + tokens;
    m_fit = fit();
}

bool PrefillEstimator::isKnown() const
{
    return m_samples >= MinSamples && !needsBackToBackSamples();
}

bool PrefillEstimator::needsBackToBackSamples() const
{
    return m_backToBackPrompts < MinSamples;
}

Duration PrefillEstimator::computeTime(std::uint32_t tokens) const
{
    return durationOf(m_fit.secondsPerToken * tokens);
}

Duration PrefillEstimator::responseOverhead() const
{
    return durationOf(m_fit.fixedSeconds);
}

void PrefillEstimator::addSample(double tokens, double seconds, double weight)
{
    m_weight += weight;
    m_tokens += weight * tokens;
    m_seconds += weight * seconds;
    m_squaredTokens += weight * tokens * tokens;
    m_products += weight * tokens * seconds;
}

PrefillEstimator::LinearFit PrefillEstimator::fit() const
{
    const double meanTokens = m_tokens / m_weight;
    const double meanSeconds = m_seconds / m_weight;
    const double variance = m_squaredTokens / m_weight - meanTokens * meanTokens;
    const double covariance = m_products / m_weight - meanTokens * meanSeconds;
    // Prompts of a single length give no information about the fixed overhead.
    const double slope = variance > 1 ? covariance / variance : meanSeconds / meanTokens;
    const double maxSecondsPerToken = std::max(meanSeconds / meanTokens, MinSecondsPerToken);
    const double perToken = needsBackToBackSamples()
        ? std::clamp(slope, MinComputeShare * maxSecondsPerToken, maxSecondsPerToken)
        : std::clamp(m_backToBackSeconds / m_backToBackTokens, MinSecondsPerToken,
                     maxSecondsPerToken);
    return {perToken, std::max(meanSeconds - perToken * meanTokens, 0.0)};
}

} // namespace indigoway::scheduling
