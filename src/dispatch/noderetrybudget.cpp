#include "noderetrybudget.h"

#include <algorithm>

namespace indigoway::dispatch {

NodeRetryBudget::NodeRetryBudget(RetryBudgetSettings settings, TimePoint startedAt)
    : m_settings(settings)
    , m_startedAt(startedAt)
{ }

void NodeRetryBudget::setNodes(std::uint32_t nodes, TimePoint now)
{
    if (nodes >= m_nodes || now > m_maxNodesAt + m_settings.window) {
        m_nodes = nodes;
        m_maxNodesAt = now;
    }
}

void NodeRetryBudget::recordRequest(TimePoint now)
{
    removeExpired(now);
    m_requests.push_back(now);
}

bool NodeRetryBudget::tryTake(TimePoint now)
{
    removeExpired(now);
    const double limit = SafetyFactor
        * (m_settings.ratio * static_cast<double>(m_requests.size()) + availableSlack(now));
    if (static_cast<double>(m_retries.size() + 1) > limit) {
        return false;
    }
    m_retries.push_back(now);
    return true;
}

double NodeRetryBudget::availableSlack(TimePoint now) const
{
    if (m_nodes == 0) {
        return 0;
    }
    const double age = static_cast<double>((now - m_startedAt).count())
        / static_cast<double>(m_settings.window.count());
    // Rises from none after half a window to all after one and a half.
    const double part = std::clamp(age - 0.5, 0.0, 1.0);
    return part * static_cast<double>(m_settings.slack) / m_nodes;
}

void NodeRetryBudget::removeExpired(TimePoint now)
{
    const TimePoint oldest = now - m_settings.window;
    while (!m_requests.empty() && m_requests.front() < oldest) {
        m_requests.pop_front();
    }
    while (!m_retries.empty() && m_retries.front() < oldest) {
        m_retries.pop_front();
    }
}

} // namespace indigoway::dispatch
