#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <optional>

namespace indigoway::scheduling {

/** What a run takes of a decode engine's memory, as far as it is known before. In tokens. */
struct MemoryNeed
{
    std::uint64_t contextTokens = 0; ///< Held from the start: the prompt, and what was made before.
    std::uint64_t outputTokens = 0;  ///< To be made, as the caller guesses.
    std::uint64_t mostOutputTokens = 0; ///< It ends by then at the latest; 0: not known.
    std::uint64_t whole() const { return contextTokens + outputTokens; }
    bool operator==(const MemoryNeed &) const = default;
};

/**
 * How fast the engines of a service make tokens, and how many they make of those that callers
 * guess; learnt from runs that have ended. Nothing is assumed before: engines differ tenfold.
 */
class GenerationPace
{
public:
    /** A run made @p made tokens in @p took, of which its caller had guessed @p guessed. */
    void add(std::uint64_t guessed, std::uint64_t made, Duration took);

    /** Of one run, between its tokens; nothing until enough runs have ended. */
    std::optional<double> secondsPerToken() const;
    /** Tokens made for each one guessed. */
    double madeOfGuessed() const;
    /** Standard deviation of the tokens made, as a part of those expected. */
    double spread() const;

private:
    double m_samples = 0; ///< Faded, as all sums.
    double m_guessed = 0;
    double m_made = 0;
    double m_seconds = 0;
    double m_squaredMisses = 0; ///< Of made against expected, relative.
};

} // namespace indigoway::scheduling
