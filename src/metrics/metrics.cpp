#include "metrics.h"

#include <boost/histogram.hpp>

#include <spdlog/fmt/fmt.h>

namespace indigoway {

namespace {

namespace bh = boost::histogram;

constexpr const char *CounterNames[] = {
    "requests_arrived",  "answers_whole",   "requests_refused",
    "requests_failed",   "callers_gone",    "prefills_started",
    "prefills_wasted",   "decodes_started", "decodes_resumed",
    "retries",           "cancels_sent",    "cancels_confirmed",
    "reclaimed",         "claims_granted",  "claims_refused",
    "local_placements",  "peer_calls",      "store_calls",
    "members_suspected", "members_dead",    "late_answers_ignored",
};
static_assert(std::size(CounterNames) == static_cast<std::size_t>(Counter::Size));

constexpr const char *HistogramNames[] = {
    "first_token_seconds",
    "between_tokens_seconds",
    "queue_wait_seconds",
    "prefill_seconds",
};
static_assert(std::size(HistogramNames) == static_cast<std::size_t>(Histogram::Size));

/** Four buckets per decade, from 0.1 ms to 100 s. */
constexpr unsigned BucketCount = 24;
constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 100;

auto makeHistogram()
{
    using Axis = bh::axis::regular<double, bh::axis::transform::log>;
    return bh::make_histogram(Axis(BucketCount, MinSeconds, MaxSeconds));
}

} // namespace

struct Metrics::Histograms
{
    std::vector<decltype(makeHistogram())> histograms;
    std::vector<double> sums;
};

const char *counterName(Counter counter)
{
    return CounterNames[static_cast<std::size_t>(counter)];
}

Metrics::Metrics()
    : m_counters(static_cast<std::size_t>(Counter::Size))
    , m_histograms(std::make_unique<Histograms>())
{
    for (std::size_t i = 0; i < static_cast<std::size_t>(Histogram::Size); ++i) {
        m_histograms->histograms.push_back(makeHistogram());
        m_histograms->sums.push_back(0);
    }
}

Metrics::~Metrics() = default;

void Metrics::add(const CountUp &effect)
{
    m_counters[static_cast<std::size_t>(effect.counter)] += effect.by;
}

void Metrics::add(const Observe &effect)
{
    const double seconds = std::chrono::duration<double>(effect.value).count();
    const auto index = static_cast<std::size_t>(effect.histogram);
    m_histograms->histograms[index](seconds);
    m_histograms->sums[index] += seconds;
}

std::uint64_t Metrics::value(Counter counter) const
{
    return m_counters[static_cast<std::size_t>(counter)];
}

std::string Metrics::prometheusText(const std::vector<std::pair<std::string, double>> &gauges) const
{
    std::string text;
    for (std::size_t i = 0; i < m_counters.size(); ++i) {
        text += fmt::format("# TYPE indigoway_{0}_total counter\nindigoway_{0}_total {1}\n",
                            CounterNames[i], m_counters[i]);
    }
    for (const auto &[name, value] : gauges) {
        text += fmt::format("# TYPE indigoway_{0} gauge\nindigoway_{0} {1:.0f}\n", name, value);
    }
    for (std::size_t i = 0; i < m_histograms->histograms.size(); ++i) {
        const auto &histogram = m_histograms->histograms[i];
        const char *name = HistogramNames[i];
        text += fmt::format("# TYPE indigoway_{} histogram\n", name);
        double count = 0;
        for (auto &&bin : bh::indexed(histogram, bh::coverage::all)) {
            count += *bin;
            if (bin.index() < 0 || static_cast<unsigned>(bin.index()) >= BucketCount) {
                continue;
            }
            text += fmt::format("indigoway_{}_bucket{{le=\"{:.6g}\"}} {}\n", name,
                                bin.bin().upper(), count);
        }
        text += fmt::format("indigoway_{0}_bucket{{le=\"+Inf\"}} {1}\nindigoway_{0}_sum {2}\n"
                            "indigoway_{0}_count {1}\n",
                            name, count, m_histograms->sums[i]);
    }
    return text;
}

} // namespace indigoway
