#pragma once

#include <indigoway/effects.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace indigoway {

/** Counters and histograms of one node, in Prometheus' text format. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void add(const CountUp &effect);
    void add(const Observe &effect);
    std::uint64_t value(Counter counter) const;
    /** The exposition; @p gauges are added with their present values. */
    std::string text(const std::vector<std::pair<std::string, double>> &gauges) const;

private:
    struct Histograms;

    std::vector<std::uint64_t> m_counters;
    std::unique_ptr<Histograms> m_histograms;
};

/** The counter's name without its prefix, as operators see it. */
const char *counterName(Counter counter);

} // namespace indigoway
