#pragma once

#include <indigoway/announcedserver.h>

#include <deque>
#include <functional>
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
    /** Forgets the entries that vanished longer ago than VanishedKept; cheap if there are none. */
    std::vector<ServerName> forgetVanished(TimePoint now);

    /** The life that a server announced last; empty if it is not known (any more). */
    ServerName nameOf(const std::string &instance) const;
    /** Null if it is not known (any more). */
    const AnnouncedServer *find(const ServerName &name) const;
    Standing standing(const ServerName &name, TimePoint now) const;
    /** Servers of @p service in name order that may get new work; last resorts if no others. */
    std::vector<const AnnouncedServer *> candidates(const ServiceName &service, EnginePhase phase,
                                                    TimePoint now) const;
    /** False ends the visit. */
    using Visitor = std::function<bool(const AnnouncedServer &)>;
    /** Visits the usable servers of @p service in @p domain in name order. */
    void visitUsable(const ServiceName &service, const DomainName &domain, TimePoint now,
                     const Visitor &visitor) const;
    /** The domains with servers of @p service. */
    std::vector<DomainName> domainsOf(const ServiceName &service) const;
    /** Servers of @p service, whatever their standing. */
    std::size_t sizeOf(const ServiceName &service) const;
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
    void unlist(const AnnouncedServer &server);

    struct Vanished
    {
        ServerName name;
        TimePoint at {};
    };

    std::map<ServerName, Entry> m_entries;
    std::deque<Vanished> m_vanished; ///< Oldest first.
    std::map<std::string, ServerName> m_byInstance;
    using Entries = std::map<ServerName, const Entry *>;

    std::map<ServiceName, Entries> m_byService;
    std::map<ServiceName, std::map<DomainName, Entries>> m_byDomain;
};

} // namespace indigoway
