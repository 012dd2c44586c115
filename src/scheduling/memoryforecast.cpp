#include "memoryforecast.h"

#include <algorithm>
#include <cmath>

namespace indigoway::scheduling {

namespace {

/**
 * Standard deviations of the expected output that are kept free. When memory runs out, the engine
 * preempts a run and processes its whole prompt again later.
 */
constexpr double DeviationMargin = 0.75;
/**
 * Expected remaining output of a run that has exceeded its expected length, in standard deviations.
 */
constexpr double OverdueRemainder = 0.6;

/** Bounds the output in standard deviations if its maximum is unknown. */
constexpr double MaxDeviations = 3;

struct ExpectedUsage
{
    double held = 0;
    double remaining = 0;
    double spread = 0;
};

/** Returns the expected memory use of a run that has generated @p generated tokens. */
ExpectedUsage expectedUsage(const MemoryNeed &need, const DecodeEstimator &estimator,
                            double generated)
{
    const double output = static_cast<double>(need.outputTokens) * estimator.outputRatio();
    const auto context = static_cast<double>(need.contextTokens);
    const double most = need.maxOutputTokens > 0
        ? static_cast<double>(need.maxOutputTokens)
        : output * (1 + MaxDeviations * estimator.spread());
    // Runs on an unresponsive engine don't end, and must not grow without bound.
    const double held = std::min(generated, most);
    const double overdue = std::min(output * estimator.spread() * OverdueRemainder, most - held);
    const double remaining = std::max(output - held, overdue);
    return {context + held, remaining, remaining * estimator.spread()};
}

/**
 * Returns the usage before the decode speed is known: the full output from the start until the run
 * ends.
 */
ExpectedUsage fullReservation(const MemoryNeed &need, const DecodeEstimator &estimator)
{
    const double output = static_cast<double>(need.outputTokens);
    return {static_cast<double>(need.contextTokens) + output, 0, output * estimator.spread()};
}

} // namespace

void MemoryProjection::add(double held, double remaining, double spread)
{
    const auto later =
        std::ranges::upper_bound(m_projectedRuns, remaining, {}, &ProjectedRun::remaining);
    m_projectedRuns.insert(later, {held, remaining});
    m_variance += spread * spread;
}

double MemoryProjection::peakWith(double held, double remaining, double spread) const
{
    // Visits runs from the last to end to the first: when a run ends, those visited before it still
    // hold memory.
    double highest = 0;
    double heldAfter = 0;
    double count = 0;
    bool isAdded = false;
    const auto addNew = [&] {
        heldAfter += held;
        count += 1;
        highest = std::max(highest, heldAfter + count * remaining);
        isAdded = true;
    };
    for (auto it = m_projectedRuns.rbegin(); it != m_projectedRuns.rend(); ++it) {
        if (!isAdded && held > 0 && remaining >= it->remaining) {
            addNew();
        }
        heldAfter += it->held;
        count += 1;
        highest = std::max(highest, heldAfter + count * it->remaining);
    }
    if (!isAdded && held > 0) {
        addNew();
    }
    return highest + DeviationMargin * std::sqrt(m_variance + spread * spread);
}

void MemoryForecast::add(RunNumber run, const MemoryNeed &need)
{
    m_runs[run] = {need, std::nullopt};
}

void MemoryForecast::beginDecode(RunNumber run, TimePoint now)
{
    const auto it = m_runs.find(run);
    if (it != m_runs.end()) {
        it->second.decodeStart = now;
    }
}

bool MemoryForecast::remove(RunNumber run)
{
    return m_runs.erase(run) > 0;
}

std::uint64_t MemoryForecast::totalTokens() const
{
    std::uint64_t tokens = 0;
    for (const auto &[number, run] : m_runs) {
        tokens += run.need.totalTokens();
    }
    return tokens;
}

MemoryProjection MemoryForecast::projection(const DecodeEstimator &estimator, TimePoint now) const
{
    const auto secondsPerToken = estimator.secondsPerToken();
    MemoryProjection projection;
    for (const auto &[number, run] : m_runs) {
        ExpectedUsage expected = fullReservation(run.need, estimator);
        if (secondsPerToken) {
            const Duration since = run.decodeStart ? Duration(now - *run.decodeStart) : Duration(0);
            const double seconds =
                std::chrono::duration_cast<std::chrono::duration<double>>(since).count();
            expected = expectedUsage(run.need, estimator, seconds / *secondsPerToken);
        }
        projection.add(expected.held, expected.remaining, expected.spread);
    }
    return projection;
}

double MemoryForecast::peakWith(const MemoryProjection &projection, const MemoryNeed &need,
                                const DecodeEstimator &estimator)
{
    const ExpectedUsage expected = estimator.secondsPerToken() ? expectedUsage(need, estimator, 0)
                                                               : fullReservation(need, estimator);
    return projection.peakWith(expected.held, expected.remaining, expected.spread);
}

void MemoryForecast::addTo(MemoryProjection &projection, const MemoryNeed &need,
                           const DecodeEstimator &estimator)
{
    const ExpectedUsage expected = estimator.secondsPerToken() ? expectedUsage(need, estimator, 0)
                                                               : fullReservation(need, estimator);
    projection.add(expected.held, expected.remaining, expected.spread);
}

} // namespace indigoway::scheduling
