#pragma once

#include <indigoway/ids.h>

#include <cstdint>

namespace indigoway::scheduling {

/**
 * Estimates the processing time of prompts on a service's engines: a part proportional to the
 * prompt length, during which the engine processes no other prompt, and a fixed overhead, such as
 * the network delay. Samples are prompts that found their engine idle. The time per token is taken
 * from prompts processed back to back, where it is more accurate.
 */
class PrefillEstimator
{
public:
    PrefillEstimator();

    /** Adds the response time of a prompt that was sent to an idle engine. */
    void add(std::uint32_t tokens, Duration elapsed);

    /**
     * Adds a prompt that was already queued when the engine finished the preceding one.
     * @param interval Time between the two responses.
     */
    void addBackToBack(std::uint32_t tokens, Duration interval);

    /** Returns whether there are enough samples for the compute time. */
    bool isKnown() const;
    /**
     * Returns whether there are too few back-to-back samples. At low load there are none by chance,
     * because each prompt goes to an idle engine.
     */
    bool needsBackToBackSamples() const;
    /**
     * Returns the time for which a prompt occupies the engine. It relies on back-to-back samples as
     * soon as there are enough: at full load, prompts that find an engine idle are rare and not
     * representative, and their slope underestimates the need for prefill engines.
     */
    Duration computeTime(std::uint32_t tokens) const;
    /** Returns the response time of a prompt beyond its compute time. */
    Duration responseOverhead() const;

private:
    struct LinearFit
    {
        double secondsPerToken = 0;
        double fixedSeconds = 0;
    };
    LinearFit fit() const;
    void addSample(double tokens, double seconds, double weight);

    // Decaying sums of a least-squares fit.
    double m_weight = 0;
    std::uint32_t m_samples = 0; ///< Total number of samples.
    double m_tokens = 0;
    double m_seconds = 0;
    double m_squaredTokens = 0;
    double m_products = 0;
    LinearFit m_fit;

    // Decaying sums over prompts processed back to back.
    double m_backToBackPrompts = 0;
    double m_backToBackSeconds = 0;
    double m_backToBackTokens = 0;
};

} // namespace indigoway::scheduling
