#pragma once

#include <indigoway/ids.h>

#include <cstdint>

namespace indigoway::scheduling {

/**
 * How long a service's engines take for a prompt: a part that grows with its tokens, in which the
 * engine reads no other, and a fixed part, the way there and back. Learnt from prompts that found
 * their engine idle. What prompts take of an engine's time shows better where one follows the
 * other, and is learnt there.
 */
class PrefillPace
{
public:
    PrefillPace();

    /** A prompt that waited for no other was read in @p took. */
    void add(std::uint32_t tokens, Duration took);

    /** The next answer of an engine that always had a prompt to read came @p after the one before.
     */
    void addNext(std::uint32_t tokens, Duration after);

    /** Enough prompts were seen to tell what they take of an engine's time. */
    bool isKnown() const;
    /**
     * Too few prompts followed another one yet. Where engines are idle none would: each goes to
     * an engine without a line.
     */
    bool wantsNext() const;
    /**
     * While which the engine reads no other prompt. By prompts that followed each other, as soon
     * as there are enough: at full load prompts that find their engine idle are few and unlike the
     * others, and by their slope too few engines would be kept for prompts.
     */
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

    // Faded sums over prompts that followed another one.
    double m_busyPrompts = 0;
    double m_busySeconds = 0;
    double m_busyTokens = 0;
};

} // namespace indigoway::scheduling
