#pragma once

#include <indigoway/routing.h>

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace indigoway {

/** One version of the desired state, indexed for lookups. Immutable: open requests share it. */
class RouteTable
{
public:
    explicit RouteTable(RoutingState state);

    std::uint64_t version() const { return m_state.version; }
    const CallerLimits &limits() const { return m_state.limits; }
    const std::vector<Route> &routes() const { return m_state.routes; }
    const std::map<ServiceName, Service> &services() const { return m_state.services; }
    /** The route of @p host with the longest prefix that begins @p path, or null. */
    const Route *find(std::string_view host, std::string_view path) const;
    /** Null if the service is not declared. */
    const Service *service(const ServiceName &name) const;
    /** Whether callers have to show a key, except on open routes. */
    bool wantsKeys() const { return m_state.wantsKeys; }
    const std::vector<Organisation> &organisations() const { return m_state.organisations; }
    /** Null if no organisation holds that key. */
    const Organisation *organisationWith(const KeyDigest &key) const;
    /** Null if it is not declared. */
    const Organisation *organisation(const OrganisationName &name) const;

private:
    /** A digest is as good as random; its first bytes will do. */
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
    std::unordered_map<KeyDigest, std::size_t, DigestHash> m_keys; ///< Index of its organisation.
    std::unordered_map<OrganisationName, std::size_t> m_organisations;
};

/**
 * Picks one of @p route's services by weight. @p entropy is the request's own randomness; null
 * if no share has a weight.
 */
const ServiceName *pickService(const Route &route, std::uint64_t entropy);

/** @p host in lower case and without a port, as routes name it. */
std::string canonicalHost(std::string_view host);

} // namespace indigoway
