#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <deque>

namespace indigoway::dispatch {

/** How many requests may be sent to a service once more; a bound over all nodes together. */
struct RetryBounds
{
    double ratio = 0.2;                      ///< Of the requests in a window.
    Duration window = std::chrono::seconds(10);
    std::uint32_t slack = 50;                ///< Beyond the ratio, of all nodes together.
};

/**
 * One node's part of a service's retries. The ratio counts over the node's own requests, which
 * sums up over the nodes by itself; the slack is divided by the number of nodes. Retries that
 * multiply while a service fails for everybody would give it several times its load.
 */
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryBounds bounds);

    void setNodes(std::uint32_t nodes) { m_nodes = nodes == 0 ? 1 : nodes; }
    void setBounds(RetryBounds bounds) { m_bounds = bounds; }
    void requestSent(TimePoint now);
    /** Takes one retry; false if none is left in the window that ends now. */
    bool take(TimePoint now);

private:
    /** Part of the bound that is used: nodes do not see each other's windows at the same time. */
    static constexpr double UsedPart = 0.8;

    void forget(TimePoint now);

    RetryBounds m_bounds;
    std::uint32_t m_nodes = 1;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace indigoway::dispatch
