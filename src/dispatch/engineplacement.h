#pragma once

#include "dispatch/servertracker.h"

#include <indigoway/announcedserver.h>

#include <cstdint>
#include <map>
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

    /** The engine of @p candidates that likeliest has room for @p tokens; null: ask later. */
    const AnnouncedServer *pickDecode(const std::vector<const AnnouncedServer *> &candidates,
                                      std::uint64_t tokens, const std::set<ServerName> &without,
                                      TimePoint now) const;
    /** The engine that likeliest is done first with @p tokens for decode in @p domain. */
    const AnnouncedServer *pickPrefill(const std::vector<const AnnouncedServer *> &candidates,
                                       const DomainName &domain,
                                       const std::set<ServerName> &without, TimePoint now) const;

private:
    struct Engine
    {
        std::uint64_t tokens = 0; ///< Of this node's own requests.
        std::uint32_t asked = 0;  ///< Reservations under way.
        std::uint64_t refusedTokens = 0;
        TimePoint refusedAt {};
    };

    bool isWorthAsking(const Engine &engine, std::uint64_t tokens, TimePoint now) const;

    const ServerTracker &m_tracker;
    std::map<ServerName, Engine> m_engines;
};

} // namespace indigoway::dispatch
