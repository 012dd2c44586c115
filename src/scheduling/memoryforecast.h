#pragma once

#include "scheduling/decodeestimator.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace indigoway::scheduling {

using RunNumber = Number<struct EngineRunTag>;

/**
 * Projected memory use of one decode engine without further runs. Each run holds its context from
 * the start, grows by one token at a time, at the same speed as the others, and frees all its
 * memory when it ends. The peak is therefore just before the end of a run.
 */
class MemoryProjection
{
public:
    /**
     * Adds a run.
     * @param held Tokens that the run holds now.
     * @param remaining Expected number of further output tokens.
     * @param spread Standard deviation of @p remaining.
     */
    void add(double held, double remaining, double spread);
    /** Returns the highest expected memory use in tokens, with a safety margin. */
    double peak() const { return peakWith(0, 0, 0); }
    /** Returns the peak with an additional run; the parameters are those of add(). */
    double peakWith(double held, double remaining, double spread) const;

private:
    struct ProjectedRun
    {
        double held = 0;
        double remaining = 0;
    };
    std::vector<ProjectedRun> m_projectedRuns; ///< Sorted by remaining tokens, ascending.
    double m_variance = 0;                     ///< Sum of the variances of the remaining output.
};

/**
 * Runs on one decode engine and their expected memory use. Accounting for growth over time lets
 * more runs share an engine than reserving the whole output of each run from its start, which left
 * a third of the memory unused where outputs are as long as prompts.
 */
class MemoryForecast
{
public:
    void add(RunNumber run, const MemoryNeed &need);
    /** Records the first token of the run; until then it holds only its context. */
    void beginDecode(RunNumber run, TimePoint now);
    /**
     * Removes a run.
     * @return False if the run is unknown.
     */
    bool remove(RunNumber run);
    std::size_t runs() const { return m_runs.size(); }
    /** Returns the context and full output of all runs in tokens. */
    std::uint64_t totalTokens() const;
    MemoryProjection projection(const DecodeEstimator &estimator, TimePoint now) const;
    /** Returns the peak of @p projection with an additional run that has not started decoding. */
    static double peakWith(const MemoryProjection &projection, const MemoryNeed &need,
                           const DecodeEstimator &estimator);
    static void addTo(MemoryProjection &projection, const MemoryNeed &need,
                      const DecodeEstimator &estimator);

private:
    struct Run
    {
        MemoryNeed need;
        std::optional<TimePoint> decodeStart;
    };

    std::map<RunNumber, Run> m_runs;
};

} // namespace indigoway::scheduling
