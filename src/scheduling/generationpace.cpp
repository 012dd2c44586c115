#include "generationpace.h"

#include <algorithm>
#include <cmath>

namespace indigoway::scheduling {

namespace {

/** Each run's weight fades with those after it: some hundred make up the estimate. */
constexpr double Fading = 0.99;
/** Runs that were short end first; fewer than this would be mostly those. */
constexpr double FewestSamples = 8;
/** Guesses count as unbiased until runs tell otherwise; as much as this many runs say so. */
constexpr double GuessWeight = 5;
/** Of guesses until learnt: half of what is guessed either way, the widest that callers show. */
constexpr double SpreadAtFirst = 0.5;
constexpr double MostMiss = 3;

} // namespace

void GenerationPace::add(std::uint64_t guessed, std::uint64_t made, Duration took)
{
    if (guessed == 0 || made == 0 || took.count() <= 0) {
        return;
    }
    const double expected = static_cast<double>(guessed) * madeOfGuessed();
    const double miss =
        std::min(std::abs(static_cast<double>(made) - expected) / expected, MostMiss);
    m_samples = m_samples * Fading + 1;
    m_guessed = m_guessed * Fading + static_cast<double>(guessed);
    m_made = m_made * Fading + static_cast<double>(made);
    m_seconds = m_seconds * Fading
        + std::chrono::duration_cast<std::chrono::duration<double>>(took).count();
    m_squaredMisses = m_squaredMisses * Fading + miss * miss;
}

std::optional<double> GenerationPace::secondsPerToken() const
{
    return m_samples < FewestSamples ? std::nullopt : std::optional(m_seconds / m_made);
}

double GenerationPace::madeOfGuessed() const
{
    if (m_samples == 0) {
        return 1;
    }
    const double prior = GuessWeight * m_guessed / m_samples;
    return (m_made + prior) / (m_guessed + prior);
}

double GenerationPace::spread() const
{
    const double prior = GuessWeight * SpreadAtFirst * SpreadAtFirst;
    return std::sqrt((m_squaredMisses + prior) / (m_samples + GuessWeight));
}

} // namespace indigoway::scheduling
