#include "announcedratelimits.h"

namespace indigoway::ratelimits {

bool AnnouncedRateLimits::record(const ServerName &server, std::optional<double> perSecond,
                                 TimePoint callStarted, TimePoint now)
{
    const auto it = m_limits.find(server);
    if (perSecond) {
        const bool isChange = it == m_limits.end() || it->second.perSecond != *perSecond;
        m_limits[server] = {*perSecond, now};
        return isChange;
    }
    if (it == m_limits.end() || callStarted < it->second.announcedAt) {
        return false;
    }
    m_limits.erase(it);
    return true;
}

void AnnouncedRateLimits::recordNotice(const ServerName &server, const AnnouncedLimit &limit)
{
    const auto [it, isNew] = m_limits.try_emplace(server, limit);
    if (!isNew && limit.announcedAt > it->second.announcedAt) {
        it->second = limit;
    }
}

std::vector<ServerName> AnnouncedRateLimits::announcedBefore(TimePoint time) const
{
    std::vector<ServerName> servers;
    for (const auto &[server, limit] : m_limits) {
        if (limit.announcedAt < time) {
            servers.push_back(server);
        }
    }
    return servers;
}

const AnnouncedLimit *AnnouncedRateLimits::find(const ServerName &server) const
{
    const auto it = m_limits.find(server);
    return it == m_limits.end() ? nullptr : &it->second;
}

} // namespace indigoway::ratelimits
