#include "prefillpace.h"

#include <algorithm>

namespace indigoway::scheduling {

namespace {

/** Some fifty prompts make up the estimate. */
constexpr double Fading = 0.98;
/** Of prompts that follow another: two hundred, so that the engines' speeds and lengths even out.
 */
constexpr double BusyFading = 0.995;
/**
 * Before any prompt was read: a middling engine, 50 tokens a millisecond. Two prompts' weight, so
 * that five real ones outweigh it, on an engine ten times as fast or slow too.
 */
constexpr double SecondsPerTokenAtFirst = 20e-6;
constexpr double FixedSecondsAtFirst = 0.01;
constexpr double ShortPrompt = 500;
constexpr double LongPrompt = 8'000;
constexpr double WeightAtFirst = 1;
/** A sample counts as at most so many times the estimate: one slow engine is not all of them. */
constexpr double MostRatio = 3;
/** Engines' speeds differ by a third; with so many prompts the slope is right to some 6 in 100. */
constexpr std::uint32_t FewestSamples = 30;
constexpr double LeastSecondsPerToken = 1e-8;
/**
 * Of a prompt's time, as work, until prompts that follow each other tell it. The first prompts that
 * a new scheduler sees may be long for other reasons than their length. Taken for free, they all
 * went to one engine, and since free prompts never seem to follow each other it stayed so for
 * fifteen seconds. A quarter keeps lines short enough for that; no engine is known whose answer is
 * three times as long on its way as in the making.
 */
constexpr double LeastWorkPart = 0.25;

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

PrefillPace::PrefillPace()
{
    for (const double tokens : {ShortPrompt, LongPrompt}) {
        addSample(tokens, tokens * SecondsPerTokenAtFirst + FixedSecondsAtFirst, WeightAtFirst);
    }
    m_line = fit();
}

void PrefillPace::add(std::uint32_t tokens, Duration took)
{
    if (tokens == 0) {
        return;
    }
    const double expected = m_line.secondsPerToken * tokens + m_line.fixedSeconds;
    const double seconds = std::chrono::duration_cast<std::chrono::duration<double>>(took).count();
    m_weight *= Fading;
    m_tokens *= Fading;
    m_seconds *= Fading;
    m_squaredTokens *= Fading;
    m_products *= Fading;
    ++m_samples;
    addSample(tokens, std::clamp(seconds, expected / MostRatio, expected * MostRatio), 1);
    m_line = fit();
}

void PrefillPace::addNext(std::uint32_t tokens, Duration after)
{
    if (tokens == 0) {
        return;
    }
    const double expected =
        std::chrono::duration_cast<std::chrono::duration<double>>(work(tokens) + answerTime())
            .count();
    const double seconds = std::chrono::duration_cast<std::chrono::duration<double>>(after).count();
    m_busyPrompts = m_busyPrompts * BusyFading + 1;
    m_busySeconds = m_busySeconds * BusyFading + std::min(seconds, expected * MostRatio);
    m_busyTokens = m_busyTokens * BusyFading + tokens;
    m_line = fit();
}

bool PrefillPace::isKnown() const
{
    return m_samples >= FewestSamples && !wantsNext();
}

bool PrefillPace::wantsNext() const
{
    return m_busyPrompts < FewestSamples;
}

Duration PrefillPace::work(std::uint32_t tokens) const
{
    return durationOf(m_line.secondsPerToken * tokens);
}

Duration PrefillPace::answerTime() const
{
    return durationOf(m_line.fixedSeconds);
}

void PrefillPace::addSample(double tokens, double seconds, double weight)
{
    m_weight += weight;
    m_tokens += weight * tokens;
    m_seconds += weight * seconds;
    m_squaredTokens += weight * tokens * tokens;
    m_products += weight * tokens * seconds;
}

PrefillPace::Line PrefillPace::fit() const
{
    const double meanTokens = m_tokens / m_weight;
    const double meanSeconds = m_seconds / m_weight;
    const double variance = m_squaredTokens / m_weight - meanTokens * meanTokens;
    const double covariance = m_products / m_weight - meanTokens * meanSeconds;
    // Prompts that are all of one length tell nothing about the fixed part.
    const double slope = variance > 1 ? covariance / variance : meanSeconds / meanTokens;
    const double most = std::max(meanSeconds / meanTokens, LeastSecondsPerToken);
    const double perToken = wantsNext()
        ? std::clamp(slope, LeastWorkPart * most, most)
        : std::clamp(m_busySeconds / m_busyTokens, LeastSecondsPerToken, most);
    return {perToken, std::max(meanSeconds - perToken * meanTokens, 0.0)};
}

} // namespace indigoway::scheduling
