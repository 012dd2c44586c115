#include "memoryforecast.h"

#include <algorithm>
#include <cmath>

namespace indigoway::scheduling {

namespace {

/**
 * Standard deviations of what is to be made that are kept free. Where memory runs out the engine
 * preempts a run: its caller sees a pause, and its whole prompt is read again. What is kept free
 * beyond that serves nobody.
 */
constexpr double Margin = 0.75;
/**
 * A run that has made all that was expected of it goes on all the same. Of lengths that spread
 * widely, those that are past their mean still have a part of it before them: this much of it for
 * each unit of spread.
 */
constexpr double RestOfOverdue = 0.6;

/** Where the most is not known: hardly any run makes more than so much beyond its mean. */
constexpr double MostDeviations = 3;

struct Expectation
{
    double held = 0;
    double remaining = 0;
    double spread = 0;
};

/** @p made: tokens so far. */
Expectation expectationOf(const MemoryNeed &need, const GenerationPace &pace, double made)
{
    const double output = static_cast<double>(need.outputTokens) * pace.madeOfGuessed();
    const auto context = static_cast<double>(need.contextTokens);
    const double most = need.mostOutputTokens > 0 ? static_cast<double>(need.mostOutputTokens)
                                                  : output * (1 + MostDeviations * pace.spread());
    // The engine may have gone silent: its runs do not end, nor do they grow for ever.
    const double held = std::min(made, most);
    const double overdue = std::min(output * pace.spread() * RestOfOverdue, most - held);
    const double remaining = std::max(output - held, overdue);
    return {context + held, remaining, remaining * pace.spread()};
}

/** Until the pace is known: the whole of it at once, and until the run is told to have ended. */
Expectation unknownCourse(const MemoryNeed &need, const GenerationPace &pace)
{
    const double output = static_cast<double>(need.outputTokens);
    return {static_cast<double>(need.contextTokens) + output, 0, output * pace.spread()};
}

} // namespace

void MemoryOutlook::add(double held, double remaining, double spread)
{
    const auto later = std::ranges::upper_bound(m_shares, remaining, {}, &Share::remaining);
    m_shares.insert(later, {held, remaining});
    m_variance += spread * spread;
}

double MemoryOutlook::peakWith(double held, double remaining, double spread) const
{
    // From the last to end to the first: at the end of each, those after it are still there.
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
    for (auto it = m_shares.rbegin(); it != m_shares.rend(); ++it) {
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
    return highest + Margin * std::sqrt(m_variance + spread * spread);
}

void MemoryForecast::add(RunNumber run, const MemoryNeed &need)
{
    m_runs[run] = {need, std::nullopt};
}

void MemoryForecast::begin(RunNumber run, TimePoint now)
{
    const auto it = m_runs.find(run);
    if (it != m_runs.end()) {
        it->second.began = now;
    }
}

bool MemoryForecast::remove(RunNumber run)
{
    return m_runs.erase(run) > 0;
}

std::uint64_t MemoryForecast::wholeTokens() const
{
    std::uint64_t tokens = 0;
    for (const auto &[number, run] : m_runs) {
        tokens += run.need.whole();
    }
    return tokens;
}

MemoryOutlook MemoryForecast::outlook(const GenerationPace &pace, TimePoint now) const
{
    const auto secondsPerToken = pace.secondsPerToken();
    MemoryOutlook outlook;
    for (const auto &[number, run] : m_runs) {
        Expectation expected = unknownCourse(run.need, pace);
        if (secondsPerToken) {
            const Duration since = run.began ? Duration(now - *run.began) : Duration(0);
            const double seconds =
                std::chrono::duration_cast<std::chrono::duration<double>>(since).count();
            expected = expectationOf(run.need, pace, seconds / *secondsPerToken);
        }
        outlook.add(expected.held, expected.remaining, expected.spread);
    }
    return outlook;
}

double MemoryForecast::peakWith(const MemoryOutlook &outlook, const MemoryNeed &need,
                                const GenerationPace &pace)
{
    const Expectation expected =
        pace.secondsPerToken() ? expectationOf(need, pace, 0) : unknownCourse(need, pace);
    return outlook.peakWith(expected.held, expected.remaining, expected.spread);
}

void MemoryForecast::addTo(MemoryOutlook &outlook, const MemoryNeed &need,
                           const GenerationPace &pace)
{
    const Expectation expected =
        pace.secondsPerToken() ? expectationOf(need, pace, 0) : unknownCourse(need, pace);
    outlook.add(expected.held, expected.remaining, expected.spread);
}

} // namespace indigoway::scheduling
