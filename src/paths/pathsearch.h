#pragma once

#include "paths/relayselector.h"
#include "paths/serverpaths.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** How a connection to a backend server is opened. */
struct ServerRoute
{
    RelayNode relay; ///< The node that opens it; without a name for a connection of this node.
    bool isDirect() const { return relay.name.isEmpty(); }
    bool operator==(const ServerRoute &) const = default;
};

/** Why a connection attempt has failed. */
enum class ConnectFailure {
    Refused,    ///< The server's machine refuses connections.
    NoAnswer,   ///< No answer in time.
    NotRelayed, ///< The other node cannot be reached or cannot say whether the server can.
};

/** Result of a search that found no path. */
enum class PathSearchEnd {
    Refused,     ///< No process listens at the server's address.
    Unreachable, ///< The server does not answer this node or another one that reaches servers.
    NoPath,      ///< Only this node's own view: the server may be up.
};

/** What the path searches of a node share. */
struct PathKnowledge
{
    ServerPaths servers;
    RelaySelector relays;
};

/**
 * Finds a path for one call: a connection of this node itself, then through other nodes; the other
 * way around for servers that this node is known not to reach.
 */
class PathSearch
{
public:
    /** @param isDirectOnly Whether the call must come from this node's own address. */
    PathSearch(ServerName server, bool isDirectOnly, TimePoint now);

    const ServerName &server() const { return m_server; }
    const ServerRoute &route() const { return m_route; }
    /** Chooses the first route. */
    void begin(const PathKnowledge &known, TimePoint now, std::uint64_t entropy);
    /** Records that the connection on the present route is open. */
    void connected(PathKnowledge &known, TimePoint now);
    /**
     * Records a failure of the present route.
     * @return The next route, or how the search has ended.
     */
    std::variant<ServerRoute, PathSearchEnd> failed(PathKnowledge &known, ConnectFailure failure,
                                                    const std::string &reason, TimePoint now,
                                                    std::uint64_t entropy);

private:
    std::variant<ServerRoute, PathSearchEnd> directFailed(PathKnowledge &known,
                                                          ConnectFailure failure, TimePoint now,
                                                          std::uint64_t entropy);
    std::variant<ServerRoute, PathSearchEnd>
    relayFailed(PathKnowledge &known, ConnectFailure failure, TimePoint now, std::uint64_t entropy);
    bool chooseRelay(const PathKnowledge &known, TimePoint now, std::uint64_t entropy);

    ServerName m_server;
    bool m_isDirectOnly = false;
    TimePoint m_startedAt {};
    ServerRoute m_route;
    bool m_hasTriedDirect = false;
    std::vector<NodeName> m_triedRelays;
};

} // namespace indigoway
