#pragma once

#include "dispatch/dispatchevents.h"

#include <indigoway/announcedserver.h>

#include <map>
#include <optional>
#include <vector>

namespace indigoway::dispatch {

/**
 * What this node has seen of each backend server by its own calls. Health answers are not asked
 * for: a server can answer them well and fail its requests, and each of them takes a slot.
 */
class ServerTracker
{
public:
    void callStarted(const ServerName &server);
    /** The call ended without an outcome of its own: its caller left, or it was given up. */
    void callDropped(const ServerName &server);
    /** Answered after @p took, well or with a failure of the server's own. */
    void answered(const ServerName &server, Duration took, bool wasWell, TimePoint now);
    /** Turned away, which says nothing of its health. */
    void turnedAway(const ServerName &server);
    /** Broke off, or was silent for too long. */
    void failed(const ServerName &server, TimePoint now);
    /** Took no connection: avoided at once, since no healthy server does so. */
    void unreachable(const ServerName &server, TimePoint now);
    void loadTold(const ServerName &server, const ServerLoad &load, TimePoint now);
    void forget(const ServerName &server);

    std::uint32_t openCalls(const ServerName &server) const;
    std::optional<ServerLoad> freshLoad(const ServerName &server, TimePoint now) const;
    /** Whether new work should go elsewhere if there is an elsewhere. */
    bool isAvoided(const ServerName &server, TimePoint now) const;
    /** @p servers without the avoided ones; all of them if that leaves less than half. */
    std::vector<const AnnouncedServer *>
    preferred(const std::vector<const AnnouncedServer *> &servers, TimePoint now) const;
    /** Mean time of an answer over those of @p servers that have given one. */
    double typicalMilliseconds(const std::vector<const AnnouncedServer *> &servers) const;
    /**
     * Expected time to a good answer of a new call, in milliseconds, from the times, failures
     * and calls seen. For comparing servers of one service, whose @p typical time it takes for
     * one that was not seen, or not for long: as half, so that it is tried.
     */
    double expectedMilliseconds(const ServerName &server, double typical, TimePoint now) const;

private:
    struct Seen
    {
        std::uint32_t open = 0;
        double milliseconds = 0; ///< Moving average; 0: nothing was seen.
        double failureShare = 0; ///< Moving average.
        std::uint32_t failuresInRow = 0;
        TimePoint lastSample {};
        TimePoint avoidedUntil {};
        std::optional<ServerLoad> load;
        TimePoint loadAt {};
    };

    void sampleFailure(Seen &seen, bool wasFailure, TimePoint now);

    std::map<ServerName, Seen> m_seen;
};

} // namespace indigoway::dispatch
