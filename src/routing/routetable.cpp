#include "routetable.h"

#include <algorithm>
#include <cctype>

namespace indigoway {

RouteTable::RouteTable(RoutingState state)
    : m_state(std::move(state))
{
    for (std::size_t i = 0; i < m_state.routes.size(); ++i) {
        const Route &route = m_state.routes[i];
        m_hosts[route.host].byPrefix.emplace(route.prefix, i);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto hostRoutes = m_hosts.find(canonicalHost(host));
    if (hostRoutes == m_hosts.end()) {
        return nullptr;
    }
    const auto &byPrefix = hostRoutes->second.byPrefix;
    // A prefix ends with a slash, so only the path's parts up to a slash can match.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = byPrefix.find(std::string(path.substr(0, slash + 1)));
        if (found != byPrefix.end()) {
            return &m_state.routes[found->second];
        }
    }
    return nullptr;
}

const Service *RouteTable::service(const ServiceName &name) const
{
    const auto it = m_state.services.find(name);
    return it == m_state.services.end() ? nullptr : &it->second;
}

const ServiceName *pickService(const Route &route, std::uint64_t entropy)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.shares) {
        total += share.weight;
    }
    if (total == 0) {
        return nullptr;
    }
    std::uint64_t point = entropy % total;
    for (const ServiceShare &share : route.shares) {
        if (point < share.weight) {
            return &share.service;
        }
        point -= share.weight;
    }
    return nullptr;
}

std::string canonicalHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace indigoway
