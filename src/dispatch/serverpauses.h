#pragma once

#include <indigoway/ids.h>

#include <map>
#include <optional>
#include <vector>

namespace indigoway::dispatch {

/**
 * Keeps the pauses that servers ask this node for when they refuse a request. A pause belongs to an
 * incarnation of a server, so a restarted server has none, and it outlasts an entry in the store
 * that expires and returns.
 */
class ServerPauses
{
public:
    /** Starts a pause of @p duration; it does not end a longer one. */
    void record(const ServerName &server, Duration duration, TimePoint now);
    /** Returns the end of the pause of @p server, or nothing if it has none now. */
    std::optional<TimePoint> pausedUntil(const ServerName &server, TimePoint now) const;
    /** Returns the servers that have a pause now. */
    std::vector<ServerName> paused(TimePoint now) const;
    bool hasPauses(TimePoint now) const { return now < m_lastEnd; }
    std::size_t size() const { return m_pausedUntil.size(); }

private:
    std::map<ServerName, TimePoint> m_pausedUntil;
    TimePoint m_lastEnd {}; ///< The latest end of a pause so far.
};

} // namespace indigoway::dispatch
