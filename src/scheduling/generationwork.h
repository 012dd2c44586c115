#pragma once

#include "scheduling/generationpace.h"
#include "scheduling/prefillpace.h"

#include <cstdint>
#include <optional>

namespace indigoway::scheduling {

/** What one generation takes of the engines, on average. */
struct GenerationWork
{
    double prefillSeconds = 0;     ///< Of a prefill engine's time.
    double decodeTokenSeconds = 0; ///< Of a decode engine's memory, over the time it is held.
    bool operator==(const GenerationWork &) const = default;
};

/**
 * What the generations of a service are like, from what is claimed for them. With the engines'
 * pace it gives their work, long before the first of them have ended.
 */
class GenerationsSeen
{
public:
    void add(std::uint32_t promptTokens, const MemoryNeed &need);
    /** Nothing until enough is known of the generations and of the engines. */
    std::optional<GenerationWork> work(const PrefillPace &prefill,
                                       const GenerationPace &decode) const;

private:
    double m_samples = 0; ///< Faded, as all sums.
    double m_prompt = 0;
    double m_context = 0;
    double m_contextTimesOutput = 0;
    double m_squaredOutput = 0;
};

} // namespace indigoway::scheduling
