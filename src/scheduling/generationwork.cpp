#include "generationwork.h"

namespace indigoway::scheduling {

namespace {

/**
 * Decay per sample; about two hundred claims determine the estimate, so that only lasting changes
 * of the load cause phase changes.
 */
constexpr double Decay = 0.995;
constexpr double MinSamples = 20;

double secondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::duration<double>>(duration).count();
}

} // namespace

void GenerationStatistics::add(std::uint32_t promptTokens, const MemoryNeed &need)
{
    const auto context = static_cast<double>(need.contextTokens);
    const auto output = static_cast<double>(need.outputTokens);
    m_samples = m_samples * Decay + 1;
    m_prompt = m_prompt * Decay + promptTokens;
    m_context = m_context * Decay + context;
    m_output = m_output * Decay + output;
    m_contextTimesOutput = m_contextTimesOutput * Decay + context * output;
    m_squaredOutput = m_squaredOutput * Decay + output * output;
}

std::optional<GenerationWork> GenerationStatistics::work(const PrefillEstimator &prefill,
                                                         const DecodeEstimator &decode) const
{
    const auto secondsPerToken = decode.secondsPerToken();
    if (m_samples < MinSamples || !secondsPerToken || !prefill.isKnown()) {
        return std::nullopt;
    }
    const auto prompt = static_cast<std::uint32_t>(m_prompt / m_samples);
    const double prefillSeconds = secondsOf(prefill.computeTime(prompt));
    // The context is held during prefill and while the output grows.
    const double outputRatio = decode.outputRatio();
    const double whilePrefilling =
        m_context * (prefillSeconds + secondsOf(prefill.responseOverhead())) / m_samples;
    const double whileDecoding =
        (m_contextTimesOutput * outputRatio + m_squaredOutput * outputRatio * outputRatio / 2)
        * *secondsPerToken;
    return GenerationWork {prefillSeconds, whilePrefilling + whileDecoding / m_samples};
}

} // namespace indigoway::scheduling
