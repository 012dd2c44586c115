#include "routetable.h"

#include <algorithm>
#include <cctype>
#include <cstring>

namespace indigoway {

RouteTable::RouteTable(RoutingState state)
    : m_state(std::move(state))
{
    for (std::size_t i = 0; i < m_state.routes.size(); ++i) {
        const Route &route = m_state.routes[i];
        m_hosts[route.host].byPrefix.emplace(route.prefix, i);
    }
    for (std::size_t i = 0; i < m_state.organisations.size(); ++i) {
        const Organisation &organisation = m_state.organisations[i];
        m_organisations.emplace(organisation.name, i);
        for (const KeyDigest &key : organisation.keys) {
            m_keys.emplace(key, i);
        }
    }
}

std::size_t RouteTable::DigestHash::operator()(const KeyDigest &digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof hash);
    return hash;
}

const Organisation *RouteTable::organisationByKey(const KeyDigest &key) const
{
    const auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : &m_state.organisations[it->second];
}

const Organisation *RouteTable::organisation(const OrganisationName &name) const
{
    const auto it = m_organisations.find(name);
    return it == m_organisations.end() ? nullptr : &m_state.organisations[it->second];
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto hostRoutes = m_hosts.find(canonicalHost(host));
    if (hostRoutes == m_hosts.end()) {
        return nullptr;
    }
    const auto &byPrefix = hostRoutes->second.byPrefix;
    // Prefixes end with a slash, so only the parts of the path up to a slash can match.
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
