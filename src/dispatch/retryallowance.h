#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <deque>

namespace indigoway::dispatch {

/** How many requests may be sent to a service once more; a bound over all nodes together. */
struct RetryBounds
{
    double ratio = 0.2; ///< Of the requests in a window.
    Duration window = std::chrono::seconds(10);
    std::uint32_t slack = 50; ///< Beyond the ratio, of all nodes together.
};

/**
 * One node's part of a service's retries. The ratio counts over the node's own requests, which
 * sums up over the nodes by itself; the slack is divided by the number of nodes. Retries that
 * multiply while a service fails for everybody would give it several times its load.
 *
 * The window is over all nodes and their lives, and a node knows only its own. Two failures would
 * hand out the slack more than once: nodes that die have used theirs in the window already, so a
 * smaller number of nodes counts only after a whole window; and a node that was restarted may have
 * used its share in its life before, so its slack comes with time.
 */
class RetryAllowance
{
public:
    /** @p startedAt: of this node's life. */
    RetryAllowance(RetryBounds bounds, TimePoint startedAt);

    void setNodes(std::uint32_t nodes, TimePoint now);
    void requestSent(TimePoint now);
    /** Takes one retry; false if none is left in the window that ends now. */
    bool take(TimePoint now);

private:
    /** Part of the bound that is used: nodes do not see each other's windows at the same time. */
    static constexpr double UsedPart = 0.8;

    void forget(TimePoint now);
    double slackShare(TimePoint now) const;

    RetryBounds m_bounds;
    TimePoint m_startedAt;
    std::uint32_t m_nodes = 0; ///< The most of the window; 0: not known yet.
    TimePoint m_mostNodesAt {};
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace indigoway::dispatch
