#pragma once

#include "scheduling/decodeestimator.h"
#include "scheduling/prefillestimator.h"

#include <cstdint>
#include <optional>

namespace indigoway::scheduling {

/** Mean engine resources that a generation of a service uses. */
struct GenerationWork
{
    double prefillSeconds = 0; ///< Time on a prefill engine.
    /** Decode memory, integrated over the time it is held, in token seconds. */
    double decodeTokenSeconds = 0;
    bool operator==(const GenerationWork &) const = default;
};

/**
 * Collects prompt and output lengths of a service's claims. With the speed of the engines, they
 * give the work of a generation before any has finished.
 */
class GenerationStatistics
{
public:
    void add(std::uint32_t promptTokens, const MemoryNeed &need);
    /**
     * Returns the mean work of a generation, or nothing until there are enough samples of claims
     * and engines.
     */
    std::optional<GenerationWork> work(const PrefillEstimator &prefill,
                                       const DecodeEstimator &decode) const;

    /** Returns the mean estimate of the output length; 0 if unknown. */
    double meanOutputTokens() const { return m_samples > 0 ? m_output / m_samples : 0; }

private:
    /** Number of samples, decaying like all sums here. */
    double m_samples = 0;
    double m_prompt = 0;
    double m_context = 0;
    double m_output = 0;
    double m_contextTimesOutput = 0;
    double m_squaredOutput = 0;
};

} // namespace indigoway::scheduling
