#pragma once

#include "dispatch/dispatcheffects.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace indigoway {

/**
 * Counters and latency histograms of an edge node in the Prometheus text format. Requests are
 * counted by sort (plain or generation) and outcome, and by organisation and outcome; decisions
 * are counted by kind.
 */
class EdgeMetrics
{
public:
    EdgeMetrics();
    ~EdgeMetrics();
    EdgeMetrics(const EdgeMetrics &) = delete;
    EdgeMetrics &operator=(const EdgeMetrics &) = delete;

    void add(const dispatch::RequestEnded &ended);
    void add(const dispatch::LogDecision &decision) { ++m_decisions[decision.kind]; }
    /**
     * Formats all metrics.
     * @param gauges Names, without the "indigoway_" prefix, and current values of further gauges.
     */
    std::string
    prometheusText(const std::vector<std::pair<std::string, std::uint64_t>> &gauges) const;

private:
    struct Histograms;

    std::map<std::pair<bool, dispatch::RequestOutcome>, std::uint64_t> m_requests;
    std::map<std::pair<OrganisationName, dispatch::RequestOutcome>, std::uint64_t> m_organisations;
    /** Units of quotas by priority, and whether they were refused. */
    std::map<std::pair<std::uint32_t, bool>, double> m_quotaUnits;
    std::map<std::string, std::uint64_t> m_decisions;
    std::unique_ptr<Histograms> m_histograms;
};

} // namespace indigoway
