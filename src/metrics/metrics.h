#pragma once

#include <indigoway/effects.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace indigoway {

/** Keeps the counters and histograms of one node and exports them to Prometheus. */
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
    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @param gauges Names, without the prefix "indigoway_", and current values to add.
     */
    std::string prometheusText(const std::vector<std::pair<std::string, double>> &gauges) const;

private:
    struct Histograms;

    std::vector<std::uint64_t> m_counters;
    std::unique_ptr<Histograms> m_histograms;
};

/** Returns the exported name of @p counter without "indigoway_" and "_total". */
const char *counterName(Counter counter);

} // namespace indigoway
