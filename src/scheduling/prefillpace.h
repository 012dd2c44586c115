#pragma once

#include <indigoway/ids.h>

#include <cstdint>

namespace indigoway::scheduling {

/**
 * How long a service's engines take for a prompt: a part that grows with its tokens, in which the
 * engine reads no other, and a fixed part, the way there and back. Learnt from prompts that found
 * their engine idle.
 */
class PrefillPace
{
public:
    PrefillPace();

    /** A prompt that waited for no other was read in @p took. */
    void add(std::uint32_t tokens, Duration took);

    /** Enough prompts were seen to tell the part that grows with them from the fixed one. */
    bool isKnown() const;
    /** While which the engine reads no other prompt. */
    Duration work(std::uint32_t tokens) const;
    /** Beyond work(), from sending a prompt to its answer. */
    Duration answerTime() const;

private:
    struct Line
    {
        double secondsPerToken = 0;
        double fixedSeconds = 0;
    };
    Line fit() const;
    void addSample(double tokens, double seconds, double weight);

    // Faded sums of a fit by least squares.
    double m_weight = 0;
    std::uint32_t m_samples = 0; ///< Seen in all.
    double m_tokens = 0;
    double m_seconds = 0;
    double m_squaredTokens = 0;
    double m_products = 0;
    Line m_line;
};

} // namespace indigoway::scheduling
