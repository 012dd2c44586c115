#pragma once

#include <indigoway/ids.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace indigoway::ratelimits {

/** A limit of requests that a server announced in an answer. */
struct AnnouncedLimit
{
    double perSecond = 0; ///< Requests a second that the server accepts from all nodes together.
    TimePoint announcedAt {};
};

/** Keeps the request rate limits that servers announce in their answers to this node. */
class AnnouncedRateLimits
{
public:
    /**
     * Records the limit in an answer of @p server.
     * @param perSecond The announced limit; nothing if the answer announces none.
     * @param callStarted The start of the call. An answer without a limit ends the limit only if
     * the call started after the limit was announced; earlier calls may have been answered before.
     * @return Whether the server's limit has changed.
     */
    bool record(const ServerName &server, std::optional<double> perSecond, TimePoint callStarted,
                TimePoint now);
    /** Records a limit that another node has been told; a newer announcement is kept. */
    void recordNotice(const ServerName &server, const AnnouncedLimit &limit);
    /** Removes a server that has ended. */
    void forget(const ServerName &server) { m_limits.erase(server); }
    /** Returns the limit of @p server, or null if it has none. */
    const AnnouncedLimit *find(const ServerName &server) const;
    /** Returns the servers that have not announced their limit since @p time. */
    std::vector<ServerName> announcedBefore(TimePoint time) const;
    std::size_t size() const { return m_limits.size(); }

private:
    std::map<ServerName, AnnouncedLimit> m_limits;
};

} // namespace indigoway::ratelimits
