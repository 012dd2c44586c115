#include "generationwork.h"

namespace indigoway::scheduling {

namespace {

/** Some two hundred make up the estimate: engines change their phase for lasting shifts only. */
constexpr double Fading = 0.995;
constexpr double FewestSamples = 20;

double secondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::duration<double>>(duration).count();
}

} // namespace

void GenerationsSeen::add(std::uint32_t promptTokens, const MemoryNeed &need)
{
    const auto context = static_cast<double>(need.contextTokens);
    const auto output = static_cast<double>(need.outputTokens);
    m_samples = m_samples * Fading + 1;
    m_prompt = m_prompt * Fading + promptTokens;
    m_context = m_context * Fading + context;
    m_contextTimesOutput = m_contextTimesOutput * Fading + context * output;
    m_squaredOutput = m_squaredOutput * Fading + output * output;
}

std::optional<GenerationWork> GenerationsSeen::work(const PrefillPace &prefill,
                                                    const GenerationPace &decode) const
{
    const auto secondsPerToken = decode.secondsPerToken();
    if (m_samples < FewestSamples || !secondsPerToken || !prefill.isKnown()) {
        return std::nullopt;
    }
    const auto prompt = static_cast<std::uint32_t>(m_prompt / m_samples);
    const double prefillSeconds = secondsOf(prefill.work(prompt));
    // A context is held while its prompt is read, and while the output grows beside it.
    const double made = decode.madeOfGuessed();
    const double whileRead =
        m_context * (prefillSeconds + secondsOf(prefill.answerTime())) / m_samples;
    const double whileMade =
        (m_contextTimesOutput * made + m_squaredOutput * made * made / 2) * *secondsPerToken;
    return GenerationWork {prefillSeconds, whileRead + whileMade / m_samples};
}

} // namespace indigoway::scheduling
