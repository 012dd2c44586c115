#pragma once

#include <indigoway/announcedserver.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway {

/** Whether an announced server may be given requests. */
enum class ServerAvailability {
    Usable,
    /**
     * Its entry was removed recently; its lease may have expired while the store was unreachable.
     */
    LastResort,
    Leaving, ///< Draining, shutting down or gone; it gets no new requests.
};

/**
 * Keeps the announced backend servers. A removed entry is retained for a short time as a last
 * resort: after a store outage the leases of all healthy servers expire at once, and the entries
 * return a moment later. Without it, all requests in between would be refused.
 */
class ServerDirectory
{
public:
    /**
     * The time for which a removed entry stays a last resort. Requests to a server that has left
     * must end within two seconds, which includes the time that a request may wait for its server.
     */
    static constexpr Duration LastResortTime = std::chrono::milliseconds(1500);

    /**
     * Adds or updates @p server. Another software version is another incarnation, also under the
     * same name.
     * @return the name of the server's previous incarnation, which is removed, if there was one
     */
    std::optional<ServerName> announce(AnnouncedServer server);
    void withdraw(const ServerName &name, TimePoint now);
    /**
     * Marks a server that has said itself that it shuts down. Its entry may not say so while the
     * store is unreachable, or may expire and return; the mark holds for the server's incarnation
     * until the entry reports the end of a drain.
     * @return Whether the server was not marked before.
     */
    bool markLeaving(const ServerName &name);
    /** Returns the marked servers whose entries do not say that they are leaving. */
    const std::set<ServerName> &leavingUnannounced() const { return m_leavingUnannounced; }
    /** Removes a server that has gone or must not be used, without keeping it as a last resort. */
    void remove(const ServerName &name);
    /**
     * Removes the entries that were withdrawn longer than LastResortTime ago.
     * @return the names of the removed servers
     */
    std::vector<ServerName> purgeWithdrawn(TimePoint now);

    /** Returns the name of the latest incarnation of @p instance; empty if unknown. */
    ServerName nameOf(const std::string &instance) const;
    /** Returns the server, or null if unknown. */
    const AnnouncedServer *find(const ServerName &name) const;
    ServerAvailability availability(const ServerName &name, TimePoint now) const;
    /**
     * Returns the servers of @p service that may get new requests, ordered by name; only if there
     * are none, the last resorts.
     */
    std::vector<const AnnouncedServer *> candidates(const ServiceName &service, EnginePhase phase,
                                                    TimePoint now) const;
    /** Returns whether one of the candidates() has @p version of the software. */
    bool hasVersion(const ServiceName &service, EnginePhase phase, const std::string &version,
                    TimePoint now) const;
    /** Returns the versions of the servers of @p service, available or not. */
    std::set<std::string> versionsOf(const ServiceName &service) const;
    /**
     * Sets the versions of @p service whose servers must not be used yet; they count as leaving.
     */
    void setClosedVersions(const ServiceName &service, const std::set<std::string> &versions);
    const std::set<std::string> &closedVersions(const ServiceName &service) const;
    /** Returns false to stop the iteration. */
    using Visitor = std::function<bool(const AnnouncedServer &)>;
    /** Visits the usable servers of @p service in @p domain, ordered by name. */
    void visitUsable(const ServiceName &service, const DomainName &domain, TimePoint now,
                     const Visitor &visitor) const;
    /** Returns the failure domains that have servers of @p service. */
    std::vector<DomainName> domainsOf(const ServiceName &service) const;
    /** Returns the number of servers of @p service, available or not. */
    std::size_t serverCount(const ServiceName &service) const;
    std::vector<ServerName> names() const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        AnnouncedServer server;
        std::optional<TimePoint> withdrawnAt;
        bool hasSaidLeaving = false;
        bool isClosed = false; ///< Of a version that must not be used yet.
    };

    std::map<ServerName, Entry>::iterator erase(std::map<ServerName, Entry>::iterator it);
    static ServerAvailability availabilityOf(const Entry &entry, TimePoint now);
    void removeFromIndexes(const AnnouncedServer &server);
    void updateLeavingUnannounced(const Entry &entry);

    struct WithdrawnEntry
    {
        ServerName name;
        TimePoint at {};
    };

    std::map<ServerName, Entry> m_entries;
    /** Marked servers, including those whose entries were removed. */
    std::set<ServerName> m_saidLeaving;
    std::deque<ServerName> m_saidLeavingOrder; ///< Oldest first.
    std::set<ServerName> m_leavingUnannounced;
    std::deque<WithdrawnEntry> m_withdrawn; ///< Removed entries, oldest first.
    std::map<std::string, ServerName> m_byInstance;
    using Entries = std::map<ServerName, const Entry *>;

    std::map<ServiceName, Entries> m_byService;
    std::map<ServiceName, std::map<DomainName, Entries>> m_byDomain;
    /** Number of servers of each version. */
    std::map<ServiceName, std::map<std::string, std::size_t>> m_byVersion;
    std::map<ServiceName, std::set<std::string>> m_closedVersions;
};

} // namespace indigoway
