#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <optional>

namespace indigoway::scheduling {

/** Decode memory that a run needs, in tokens. */
struct MemoryNeed
{
    /** Held from the start: the prompt and the output of earlier attempts. */
    std::uint64_t contextTokens = 0;
    std::uint64_t outputTokens = 0;    ///< Output length as estimated by the caller.
    std::uint64_t maxOutputTokens = 0; ///< Maximum output length; 0 if unknown.
    std::uint64_t totalTokens() const { return contextTokens + outputTokens; }
    bool operator==(const MemoryNeed &) const = default;
};

/**
 * Estimates decode speed and output length of a service from its finished runs. There is no default
 * speed, because engines differ by a factor of ten.
 */
class DecodeEstimator
{
public:
    /**
     * Adds a finished run.
     * @param estimated Output tokens that the caller estimated.
     * @param generated Output tokens of the run.
     * @param elapsed Time from the first to the last token.
     */
    void add(std::uint64_t estimated, std::uint64_t generated, Duration elapsed);

    /** Returns the time between two tokens of a run, or nothing until enough runs have finished. */
    std::optional<double> secondsPerToken() const;
    /** Returns the ratio of generated to estimated output tokens. */
    double outputRatio() const;
    /** Returns the relative standard deviation of the output length. */
    double spread() const;

private:
    /** Number of samples, decaying like all sums here. */
    double m_samples = 0;
    double m_estimatedTokens = 0;
    double m_generatedTokens = 0;
    double m_seconds = 0;
    double m_squaredErrors = 0; ///< Squares of the relative error of the expected output length.
};

} // namespace indigoway::scheduling
