#include "decodeestimator.h"

#include <algorithm>
#include <cmath>

namespace indigoway::scheduling {

namespace {

/** Decay per sample; about a hundred runs determine the estimate. */
constexpr double Decay = 0.99;
/** Short runs finish first, so fewer samples would be biased towards them. */
constexpr double MinSamples = 8;
/** Number of samples that the prior counts for: output estimates are assumed to be unbiased. */
constexpr double PriorWeight = 5;
/** Relative spread of output estimates before there are samples. */
constexpr double InitialSpread = 0.5;
constexpr double MaxError = 3;

} // namespace

void DecodeEstimator::add(std::uint64_t estimated, std::uint64_t generated, Duration elapsed)
{
    if (estimated == 0 || generated == 0 || elapsed.count() <= 0) {
        return;
    }
    const double expected = static_cast<double>(estimated) * outputRatio();
    const double error =
        std::min(std::abs(static_cast<double>(generated) - expected) / expected, MaxError);
    m_samples = m_samples * Decay + 1;
    m_estimatedTokens = m_estimatedTokens * Decay + static_cast<double>(estimated);
    m_generatedTokens = m_generatedTokens * Decay + static_cast<double>(generated);
    m_seconds = m_seconds * Decay
        + std::chrono::duration_cast<std::chrono::duration<double>>(elapsed).count();
    m_squaredErrors = m_squaredErrors * Decay + error * error;
}

std::optional<double> DecodeEstimator::secondsPerToken() const
{
    return m_samples < MinSamples ? std::nullopt : std::optional(m_seconds / m_generatedTokens);
}

double DecodeEstimator::outputRatio() const
{
    if (m_samples == 0) {
        return 1;
    }
    const double prior = PriorWeight * m_estimatedTokens / m_samples;
    return (m_generatedTokens + prior) / (m_estimatedTokens + prior);
}

double DecodeEstimator::spread() const
{
    const double prior = PriorWeight * InitialSpread * InitialSpread;
    return std::sqrt((m_squaredErrors + prior) / (m_samples + PriorWeight));
}

} // namespace indigoway::scheduling
