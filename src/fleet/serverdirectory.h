#pragma once

#include <indigoway/announcedserver.h>

#include <map>
#include <optional>
#include <vector>

namespace indigoway {

/** What an announced server may be used for at a moment. */
enum class Standing {
    Usable,
    LastResort, ///< Its entry vanished a moment ago; it may only have lapsed.
    Leaving,    ///< Draining or gone: no new work.
};

/**
 * The backend servers that have announced themselves. An entry that vanishes is kept for a moment
 * as a last resort: while the store was away, entries of healthy servers lapse, all at the same
 * time, and are back a moment after it returns. Dropping them at once would refuse every request
 * of that moment.
 */
class ServerDirectory
{
public:
    /**
     * How long a vanished entry stays a last resort. Below the two seconds within which requests
     * to a server that has left must stop, by the time that a request may wait for its server.
     */
    static constexpr Duration VanishedKept = std::chrono::milliseconds(1500);

    /** The earlier life of that server, if this is a new one; it is forgotten. */
    std::optional<ServerName> announce(AnnouncedServer server);
    void withdraw(const ServerName &name, TimePoint now);
    /** Known to be gone, or not to be used: no last resort either. */
    void remove(const ServerName &name);
    /** Forgets the entries that vanished longer ago than VanishedKept. */
    std::vector<ServerName> forgetVanished(TimePoint now);

    /** The life that a server announced last; empty if it is not known (any more). */
    ServerName nameOf(const std::string &instance) const;
    /** Null if it is not known (any more). */
    const AnnouncedServer *find(const ServerName &name) const;
    Standing standing(const ServerName &name, TimePoint now) const;
    /** Servers of @p service in name order that may get new work; last resorts if no others. */
    std::vector<const AnnouncedServer *> candidates(const ServiceName &service, EnginePhase phase,
                                                    TimePoint now) const;
    std::vector<ServerName> names() const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        AnnouncedServer server;
        std::optional<TimePoint> vanishedAt;
    };

    std::map<ServerName, Entry>::iterator erase(std::map<ServerName, Entry>::iterator it);
    static Standing standingOf(const Entry &entry, TimePoint now);

    std::map<ServerName, Entry> m_entries;
    std::map<std::string, ServerName> m_byInstance;
    std::map<ServiceName, std::map<ServerName, const Entry *>> m_byService;
};

} // namespace indigoway
