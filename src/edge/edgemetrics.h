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
    /** A gauge of one backend server. */
    struct ServerGauge
    {
        std::string name; ///< Without the "indigoway_" prefix.
        std::string server;
        double value = 0;
    };
    /**
     * Formats all metrics.
     * @param gauges Names, without the "indigoway_" prefix, and current values of further gauges.
     * @param serverGauges Gauges of servers, ordered by name.
     */
    std::string prometheusText(const std::vector<std::pair<std::string, std::uint64_t>> &gauges,
                               const std::vector<ServerGauge> &serverGauges = {}) const;

    /** Load of one organisation on the engines of a service, at the node that schedules them. */
    struct OrganisationLoad
    {
        ServiceName service;
        OrganisationName organisation;
        std::uint64_t waiting = 0;
        std::uint64_t usagePermille = 0; ///< Of the memory-time granted recently.
    };
    /** Formats the gauges of the organisations' load. */
    static std::string organisationLoadText(const std::vector<OrganisationLoad> &organisations);

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
