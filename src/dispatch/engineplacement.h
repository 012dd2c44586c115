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
 * Which decode engine is asked for room, and which prefill engine reads the prompt. Room itself
 * is promised by the engine: nodes do not see each other's work, so what is known here only
 * orders the asking.
 */
class EnginePlacement
{
public:
    explicit EnginePlacement(const ServerTracker &tracker)
        : m_tracker(tracker)
    { }

    void charge(const ServerName &server, std::uint64_t tokens);
    void discharge(const ServerName &server, std::uint64_t tokens);
    void asking(const ServerName &server);
    void granted(const ServerName &server);
    void refused(const ServerName &server, std::uint64_t tokens, TimePoint now);
    /**
     * @p decode could not take over the KV cache that @p prefill kept. The next ones of the engine
     * that was at fault will likely be lost as well, and each costs a prompt read in vain.
     */
    void handoverLost(const ServerName &prefill, const ServerName &decode, TimePoint now);
    void forget(const ServerName &server) { m_engines.erase(server); }
    /** The KV caches that @p prefill keeps are lost, whichever engine takes them. */
    bool isFaultySource(const ServerName &prefill, TimePoint now) const;

    /** What a request needs of an engine. */
    struct Need
    {
        std::uint64_t tokens = 0;
        DomainName domain; ///< Where the engine is best.
        const std::set<ServerName> *without = nullptr;
        /**
         * Decides between engines that look alike. Nodes that all took the first of them would
         * send it all their work.
         */
        std::uint64_t entropy = 0;
    };

    /** The engine of @p candidates that likeliest has room for @p need; null: ask later. */
    const AnnouncedServer *pickDecode(const std::vector<const AnnouncedServer *> &candidates,
                                      const Need &need, TimePoint now) const;
    /** The engine that likeliest is done first with a prompt for decode in the need's domain. */
    const AnnouncedServer *pickPrefill(const std::vector<const AnnouncedServer *> &candidates,
                                       const Need &need, TimePoint now) const;

private:
    struct Engine
    {
        std::uint64_t tokens = 0; ///< Of this node's own requests.
        std::uint32_t asked = 0;  ///< Reservations under way.
        std::uint64_t refusedTokens = 0;
        TimePoint refusedAt {};
    };

    /** Nothing: not to be used now. The lowest is the best. */
    using Score = std::function<std::optional<double>(const AnnouncedServer &)>;

    static const AnnouncedServer *best(const std::vector<const AnnouncedServer *> &candidates,
                                       const Need &need, const Score &scoreOf);
    bool isWorthAsking(const Engine &engine, std::uint64_t tokens, TimePoint now) const;

    const ServerTracker &m_tracker;
    std::map<ServerName, Engine> m_engines;
    scheduling::KvTransferFaults m_transferFaults;
};

} // namespace indigoway::dispatch
