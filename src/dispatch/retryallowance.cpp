#include "retryallowance.h"

namespace indigoway::dispatch {

RetryAllowance::RetryAllowance(RetryBounds bounds)
    : m_bounds(bounds)
{ }

void RetryAllowance::requestSent(TimePoint now)
{
    forget(now);
    m_requests.push_back(now);
}

bool RetryAllowance::take(TimePoint now)
{
    forget(now);
    const double most = UsedPart
        * (m_bounds.ratio * static_cast<double>(m_requests.size())
           + static_cast<double>(m_bounds.slack) / m_nodes);
    if (static_cast<double>(m_retries.size() + 1) > most) {
        return false;
    }
    m_retries.push_back(now);
    return true;
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
