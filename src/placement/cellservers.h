#pragma once

#include "placement/cells.h"
#include "placement/serverload.h"

#include <indigoway/events.h>
#include <indigoway/messages.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway {

class Turn;

/**
 * Keeps the load, speed and cached prefixes of a cell's backend servers and chooses among them.
 * CellScheduler decides which claim is granted.
 */
class CellServers
{
public:
    explicit CellServers(Cell cell);

    /** Returns the load of @p server and creates it at the first call. */
    ServerLoad &load(const ServerName &server) { return m_servers[server]; }
    /** Returns the load of @p server, or null if none has been recorded. */
    const ServerLoad *find(const ServerName &server) const;
    /** Returns whether every recorded server has reported; false if none is recorded. */
    bool haveAllReported() const;
    void removeUndeclared(const Deployment &deployment);

    /** Returns the cell's model or service, or null if it is no longer declared. */
    const Target *target(const Turn &turn) const;
    /** Returns whether the server is active, healthy and not in @p avoid. */
    bool isUsable(const Turn &turn, const ServerName &name,
                  const std::vector<ServerName> &avoid) const;
    /** Returns the usable servers of @p role; those in @p avoid only if there is no other. */
    std::vector<ServerName> usableServers(const Turn &turn, Role role,
                                          const std::vector<ServerName> &avoid) const;

    /** Recomputes the cell's median prefill speed and token time. */
    void updateMedians();
    double expectedPrefillSeconds(const Turn &turn, const ServerName &server,
                                  std::uint32_t tokens) const;
    double expectedTokenTime(const Turn &turn, const ServerName &server) const;
    /**
     * Returns the free slots of @p server. A server whose token time exceeded the target has none
     * until the observation has aged, then one for a trial request.
     */
    std::uint32_t freeSlots(const Turn &turn, const Server &server) const;
    std::int64_t totalFreeSlots(const Turn &turn, Role role) const;
    std::int64_t totalSlots(const Turn &turn, Role role) const;

    /** Returns the prompt tokens of @p claim that @p server is expected to have cached. */
    std::uint32_t cachedTokens(const ServerName &server, const ClaimCapacity &claim) const;
    /** Returns the cached prompt tokens on the server that has the most. */
    std::uint32_t maxCachedTokens(const ClaimCapacity &claim) const;
    void recordPrefix(const ServerName &server, const ClaimCapacity &claim);
    void applyCacheEvents(const CacheEventsArrived &events);

    std::optional<ServerName> chooseDecode(const Turn &turn,
                                           const std::vector<ServerName> &avoid) const;
    std::optional<ServerName> chooseService(const Turn &turn, const ClaimCapacity &claim) const;

private:
    Cell m_cell;
    std::map<ServerName, ServerLoad> m_servers;
    std::map<std::uint64_t, std::set<ServerName>> m_serversByPrefix;
    double m_medianPrefillSpeed = 0; ///< In tokens per second.
    double m_medianTokenTime = 0;    ///< In seconds.
};

} // namespace indigoway
