#pragma once

#include "dispatch/servertracker.h"
#include "scheduling/kvtransferfaults.h"

#include <indigoway/announcedserver.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway::dispatch {

/**
 * Chooses the decode and prefill engines of a request. Engines grant or refuse memory themselves;
 * since nodes do not see each other's load, the local estimates only order the candidates.
 */
class EnginePlacement
{
public:
    explicit EnginePlacement(const ServerTracker &tracker)
        : m_serverTracker(tracker)
    { }

    void addLoad(const ServerName &server, std::uint64_t tokens);
    void removeLoad(const ServerName &server, std::uint64_t tokens);
    void reservationStarted(const ServerName &server);
    void reservationGranted(const ServerName &server);
    void reservationRefused(const ServerName &server, std::uint64_t tokens, TimePoint now);
    /** Records that @p decode failed to take over the KV cache held by @p prefill. */
    void handoverLost(const ServerName &prefill, const ServerName &decode, TimePoint now);
    void forget(const ServerName &server) { m_engines.erase(server); }
    /**
     * Returns whether KV caches held by @p prefill are expected to be lost at any decode engine.
     */
    bool isFaultySource(const ServerName &prefill, TimePoint now) const;

    /** Requirements of a request. */
    struct Need
    {
        std::uint64_t tokens = 0;
        DomainName domain; ///< Preferred failure domain.
        const std::set<ServerName> *excluded = nullptr;
        /** Breaks ties, so that nodes do not all choose the same engine. */
        std::uint64_t entropy = 0;
    };

    /**
     * Returns the candidate most likely to have enough memory, or null if none should be asked now.
     */
    const AnnouncedServer *pickDecode(const std::vector<const AnnouncedServer *> &candidates,
                                      const Need &need, TimePoint now) const;
    /** Returns the candidate expected to process the prompt first, or null if there is none. */
    const AnnouncedServer *pickPrefill(const std::vector<const AnnouncedServer *> &candidates,
                                       const Need &need, TimePoint now) const;

private:
    struct Engine
    {
        std::uint64_t tokens = 0;              ///< Tokens of this node's requests.
        std::uint32_t pendingReservations = 0; ///< Reservations in progress.
        std::uint64_t refusedTokens = 0;
        TimePoint refusedAt {};
    };

    /** Returns the cost of a server, lower is better; nothing if it must not be used now. */
    using Cost = std::function<std::optional<double>(const AnnouncedServer &)>;

    static const AnnouncedServer *
    lowestCostEngine(const std::vector<const AnnouncedServer *> &candidates, const Need &need,
                     const Cost &costOf);
    bool mayGrant(const Engine &engine, std::uint64_t tokens, TimePoint now) const;

    const ServerTracker &m_serverTracker;
    std::map<ServerName, Engine> m_engines;
    scheduling::KvTransferFaults m_transferFaults;
};

} // namespace indigoway::dispatch
