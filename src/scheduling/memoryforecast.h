#pragma once

#include "scheduling/generationpace.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace indigoway::scheduling {

using RunNumber = Number<struct EngineRunTag>;

/**
 * The course of one decode engine's memory from now on, if nothing is added. Each run holds its
 * context at once, grows by a token at a time, all at the same pace, and gives all back when it
 * ends; so the memory is at its highest just before one of them ends.
 */
class MemoryOutlook
{
public:
    /** A run that holds @p held tokens and is to make @p remaining more, give or take @p spread. */
    void add(double held, double remaining, double spread);
    /** The highest that the memory comes to. */
    double peak() const { return peakWith(0, 0, 0); }
    /** The same if such a run were added. */
    double peakWith(double held, double remaining, double spread) const;

private:
    struct Share
    {
        double held = 0;
        double remaining = 0;
    };
    std::vector<Share> m_shares; ///< Those that end first come first.
    double m_variance = 0;       ///< Of all that is to be made.
};

/**
 * The runs on one decode engine, and what memory they will want. Where each run counted whole from
 * its start, 0.69 of an engine's memory was in use with answers as long as their prompts, at twice
 * the load that it carries; looked ahead like this, 0.8 to 0.9.
 */
class MemoryForecast
{
public:
    void add(RunNumber run, const MemoryNeed &need);
    /** Its first token is made; until then a run holds its context only. */
    void begin(RunNumber run, TimePoint now);
    /** False if it is not known. */
    bool remove(RunNumber run);
    std::size_t runs() const { return m_runs.size(); }
    /** All that its runs may want, as if all were at their end at the same time. */
    std::uint64_t wholeTokens() const;
    MemoryOutlook outlook(const GenerationPace &pace, TimePoint now) const;
    /** Adds a run that has not begun to @p outlook. */
    static double peakWith(const MemoryOutlook &outlook, const MemoryNeed &need,
                           const GenerationPace &pace);
    static void addTo(MemoryOutlook &outlook, const MemoryNeed &need, const GenerationPace &pace);

private:
    struct Run
    {
        MemoryNeed need;
        std::optional<TimePoint> began;
    };

    std::map<RunNumber, Run> m_runs;
};

} // namespace indigoway::scheduling
