#include "unsettledstops.h"

namespace indigoway::dispatch {

void UnsettledStops::settle(const ServerName &engine, StopResult result)
{
    const auto it = m_stops.find(engine);
    if (it == m_stops.end() || !isSettledBy(result)) {
        return;
    }
    if (--it->second == 0) {
        m_stops.erase(it);
    }
}

std::uint32_t UnsettledStops::count(const ServerName &engine) const
{
    const auto it = m_stops.find(engine);
    return it == m_stops.end() ? 0 : it->second;
}

} // namespace indigoway::dispatch
