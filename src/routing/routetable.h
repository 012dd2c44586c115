#pragma once

#include <indigoway/routing.h>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace indigoway {

/** One version of the configuration, indexed for lookups. Immutable, as open requests share it. */
class RouteTable
{
public:
    explicit RouteTable(RoutingState state);

    std::uint64_t version() const { return m_state.version; }
    const CallerLimits &limits() const { return m_state.limits; }
    const std::vector<Route> &routes() const { return m_state.routes; }
    const std::map<ServiceName, Service> &services() const { return m_state.services; }
    /** Returns the route of @p host with the longest prefix of @p path, or null. */
    const Route *find(std::string_view host, std::string_view path) const;
    /** Returns null if the service is not configured. */
    const Service *service(const ServiceName &name) const;
    /** Returns whether callers must present a key, except on open routes. */
    bool wantsKeys() const { return m_state.wantsKeys; }
    const std::vector<Organisation> &organisations() const { return m_state.organisations; }
    /** Returns the organisation that owns @p key, or null. */
    const Organisation *organisationByKey(const KeyDigest &key) const;
    /** Returns null if the organisation is not configured. */
    const Organisation *organisation(const OrganisationName &name) const;

private:
    /** Uses the first bytes of the digest, which are uniformly distributed. */
    struct DigestHash
    {
        std::size_t operator()(const KeyDigest &digest) const;
    };

    struct HostRoutes
    {
        std::unordered_map<std::string, std::size_t> byPrefix; ///< Index into the routes.
    };

    RoutingState m_state;
    std::unordered_map<std::string, HostRoutes> m_hosts;
    /** Index into the organisations. */
    std::unordered_map<KeyDigest, std::size_t, DigestHash> m_keys;
    std::unordered_map<OrganisationName, std::size_t> m_organisations;
};

/**
 * Picks one of the services of @p route by weight.
 * @param entropy A random number of the request.
 * @return Null if all weights are 0.
 */
const ServiceName *pickService(const Route &route, std::uint64_t entropy);

/** Returns @p host in lower case and without a port. */
std::string canonicalHost(std::string_view host);

} // namespace indigoway
