#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <deque>

namespace indigoway::dispatch {

/** Limits of the retries to a service, for all nodes together. */
struct RetryBudgetSettings
{
    double ratio = 0.2; ///< Retries per request in a window.
    Duration window = std::chrono::seconds(10);
    std::uint32_t slack = 50; ///< Retries beyond the ratio in a window.
};

/**
 * One node's share of a service's retry budget. The ratio applies to the node's own requests; the
 * slack is divided by the number of nodes.
 *
 * The window spans restarts and failures of nodes, so that the slack is not used twice: a lower
 * number of nodes takes effect after a whole window, and a restarted node gains its slack over
 * time.
 */
class NodeRetryBudget
{
public:
    /** @param startedAt The start time of this process. */
    NodeRetryBudget(RetryBudgetSettings settings, TimePoint startedAt);

    void setNodes(std::uint32_t nodes, TimePoint now);
    void recordRequest(TimePoint now);
    /**
     * Takes one retry.
     * @return False if none is left in the window that ends at @p now.
     */
    bool tryTake(TimePoint now);

private:
    /** Safety factor on the budget, as the windows of the nodes are not synchronised. */
    static constexpr double SafetyFactor = 0.8;

    void removeExpired(TimePoint now);
    double availableSlack(TimePoint now) const;

    RetryBudgetSettings m_settings;
    TimePoint m_startedAt;
    std::uint32_t m_nodes = 0; ///< Highest number within the window; 0 if unknown.
    TimePoint m_maxNodesAt {};
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace indigoway::dispatch
