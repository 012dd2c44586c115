#include "retryallowance.h"

#include <algorithm>

namespace indigoway::dispatch {

RetryAllowance::RetryAllowance(RetryBounds bounds, TimePoint startedAt)
    : m_bounds(bounds)
    , m_startedAt(startedAt)
{ }

void RetryAllowance::setNodes(std::uint32_t nodes, TimePoint now)
{
    if (nodes >= m_nodes || now > m_mostNodesAt + m_bounds.window) {
        m_nodes = nodes;
        m_mostNodesAt = now;
    }
}

void RetryAllowance::requestSent(TimePoint now)
{
    forget(now);
    m_requests.push_back(now);
}

bool RetryAllowance::take(TimePoint now)
{
    forget(now);
    const double most =
        UsedPart * (m_bounds.ratio * static_cast<double>(m_requests.size()) + slackShare(now));
    if (static_cast<double>(m_retries.size() + 1) > most) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

double RetryAllowance::slackShare(TimePoint now) const
{
    if (m_nodes == 0) {
        return 0;
    }
    const double age = static_cast<double>((now - m_startedAt).count())
        / static_cast<double>(m_bounds.window.count());
    // Rises from none after half a window to all after one and a half.
    const double part = std::clamp(age - 0.5, 0.0, 1.0);
    return part * static_cast<double>(m_bounds.slack) / m_nodes;
}

void RetryAllowance::forget(TimePoint now)
{
    const TimePoint oldest = now - m_bounds.window;
    while (!m_requests.empty() && m_requests.front() < oldest) {
        m_requests.pop_front();
    }
    while (!m_retries.empty() && m_retries.front() < oldest) {
        m_retries.pop_front();
    }
}

} // namespace indigoway::dispatch
