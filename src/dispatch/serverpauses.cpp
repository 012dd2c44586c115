#include "serverpauses.h"

#include <algorithm>

namespace indigoway::dispatch {

void ServerPauses::record(const ServerName &server, Duration duration, TimePoint now)
{
    std::erase_if(m_pausedUntil, [now](const auto &one) { return now >= one.second; });
    TimePoint &until = m_pausedUntil.try_emplace(server, now).first->second;
    until = std::max(until, now + duration);
    m_lastEnd = std::max(m_lastEnd, until);
}

std::optional<TimePoint> ServerPauses::pausedUntil(const ServerName &server, TimePoint now) const
{
    const auto it = m_pausedUntil.find(server);
    return it != m_pausedUntil.end() && now < it->second ? std::optional(it->second) : std::nullopt;
}

std::vector<ServerName> ServerPauses::paused(TimePoint now) const
{
    std::vector<ServerName> servers;
    for (const auto &[server, until] : m_pausedUntil) {
        if (now < until) {
            servers.push_back(server);
        }
    }
    return servers;
}

} // namespace indigoway::dispatch
