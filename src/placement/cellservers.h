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
 * A cell's backend servers as its scheduler knows them: load, speed, cached prefixes; and the
 * choice among them. Who gets capacity at all is decided in CellScheduler.
 */
class CellServers
{
public:
    explicit CellServers(Cell cell);

    /** The server's load; there is one for every name from the first call on. */
    ServerLoad &load(const ServerName &server) { return m_servers[server]; }
    /** Null if nothing is known of it yet. */
    const ServerLoad *find(const ServerName &server) const;
    /** Whether every known server has reported; false if none is known. */
    bool haveAllReported() const;
    void forgetRemoved(const Deployment &deployment);

    /** The cell's model or service; null if it is no longer declared. */
    const Target *target(const Turn &turn) const;
    /** Active, answering, and not in @p avoid. */
    bool isUsable(const Turn &turn, const ServerName &name,
                  const std::vector<ServerName> &avoid) const;
    /** Usable servers of @p role; those in @p avoid only if there is no other. */
    std::vector<ServerName> usable(const Turn &turn, Role role,
                                   const std::vector<ServerName> &avoid) const;

    /** Takes new observations into the pool's medians. */
    void refreshMedians();
    double prefillSeconds(const Turn &turn, const ServerName &server, std::uint32_t tokens) const;
    double expectedTokenTime(const Turn &turn, const ServerName &server) const;
    /** Slots of @p server that may be filled now; a server seen slow gets one request to try. */
    std::uint32_t freeSlots(const Turn &turn, const Server &server) const;
    std::int64_t freeInCell(const Turn &turn, Role role) const;
    std::int64_t totalSlots(const Turn &turn, Role role) const;

    /** Tokens of the claim's prompt that @p server has cached, as far as is known. */
    std::uint32_t cachedTokens(const ServerName &server, const ClaimCapacity &claim) const;
    /** The same on the server that has the most. */
    std::uint32_t mostCachedTokens(const ClaimCapacity &claim) const;
    void rememberPrefix(const ServerName &server, const ClaimCapacity &claim);
    void cacheEvents(const CacheEventsArrived &events);

    std::optional<ServerName> chooseDecode(const Turn &turn,
                                           const std::vector<ServerName> &avoid) const;
    std::optional<ServerName> chooseService(const Turn &turn, const ClaimCapacity &claim) const;

private:
    Cell m_cell;
    std::map<ServerName, ServerLoad> m_servers;
    std::map<std::uint64_t, std::set<ServerName>> m_prefixes;
    double m_medianPrefillSpeed = 0; ///< Tokens a second.
    double m_medianTokenTime = 0;    ///< Seconds.
};

} // namespace indigoway
