#include "serverdirectory.h"

namespace indigoway {

namespace {

/** Bounds the memory of marks of servers that have gone. */
constexpr std::size_t MaxLeavingMarks = 10'000;

} // namespace

std::optional<ServerName> ServerDirectory::announce(AnnouncedServer server)
{
    const ServerName name = server.name;
    std::optional<ServerName> earlier;
    if (!server.instance.empty()) {
        ServerName &known = m_byInstance[server.instance];
        if (!known.isEmpty() && known != name) {
            earlier = known;
        }
        known = name;
    }
    const auto existing = m_entries.find(name);
    if (existing != m_entries.end() && existing->second.server.version != server.version) {
        earlier = name;
        m_saidLeaving.erase(name);
    }
    if (earlier) {
        erase(m_entries.find(*earlier));
        if (!server.instance.empty()) {
            m_byInstance[server.instance] = name;
        }
    }
    Entry &entry = m_entries[name];
    if (entry.server.isDraining && !server.isDraining) {
        m_saidLeaving.erase(name);
    }
    entry.hasSaidLeaving = m_saidLeaving.contains(name);
    removeFromIndexes(entry.server);
    m_byService[server.service][name] = &entry;
    ++m_byVersion[server.service][server.version];
    entry.isClosed = closedVersions(server.service).contains(server.version);
    m_byDomain[server.service][server.domain][name] = &entry;
    entry.server = std::move(server);
    entry.withdrawnAt.reset();
    updateLeavingUnannounced(entry);
    return earlier;
}

void ServerDirectory::withdraw(const ServerName &name, TimePoint now)
{
    const auto it = m_entries.find(name);
    if (it != m_entries.end() && !it->second.withdrawnAt) {
        it->second.withdrawnAt = now;
        m_withdrawn.push_back({name, now});
    }
}

bool ServerDirectory::markLeaving(const ServerName &name)
{
    if (!m_saidLeaving.insert(name).second) {
        return false;
    }
    m_saidLeavingOrder.push_back(name);
    if (m_saidLeavingOrder.size() > MaxLeavingMarks) {
        m_saidLeaving.erase(m_saidLeavingOrder.front());
        m_saidLeavingOrder.pop_front();
    }
    const auto it = m_entries.find(name);
    if (it != m_entries.end()) {
        it->second.hasSaidLeaving = true;
        updateLeavingUnannounced(it->second);
    }
    return true;
}

void ServerDirectory::updateLeavingUnannounced(const Entry &entry)
{
    if (entry.hasSaidLeaving && !entry.server.isDraining) {
        m_leavingUnannounced.insert(entry.server.name);
    } else {
        m_leavingUnannounced.erase(entry.server.name);
    }
}

void ServerDirectory::remove(const ServerName &name)
{
    erase(m_entries.find(name));
}

std::vector<ServerName> ServerDirectory::purgeWithdrawn(TimePoint now)
{
    std::vector<ServerName> removed;
    for (; !m_withdrawn.empty() && now >= m_withdrawn.front().at + LastResortTime;
         m_withdrawn.pop_front()) {
        const auto it = m_entries.find(m_withdrawn.front().name);
        // The entry may have been restored and removed again since.
        const bool isExpired = it != m_entries.end() && it->second.withdrawnAt
            && now >= *it->second.withdrawnAt + LastResortTime;
        if (isExpired) {
            removed.push_back(it->first);
            erase(it);
        }
    }
    return removed;
}

std::map<ServerName, ServerDirectory::Entry>::iterator
ServerDirectory::erase(std::map<ServerName, Entry>::iterator it)
{
    if (it == m_entries.end()) {
        return it;
    }
    const AnnouncedServer &server = it->second.server;
    removeFromIndexes(server);
    m_leavingUnannounced.erase(server.name);
    const auto instance = m_byInstance.find(server.instance);
    if (instance != m_byInstance.end() && instance->second == server.name) {
        m_byInstance.erase(instance);
    }
    return m_entries.erase(it);
}

void ServerDirectory::removeFromIndexes(const AnnouncedServer &server)
{
    const auto service = m_byService.find(server.service);
    if (service == m_byService.end()) {
        return;
    }
    if (service->second.erase(server.name) > 0) {
        auto &versions = m_byVersion[server.service];
        if (--versions[server.version] == 0) {
            versions.erase(server.version);
        }
    }
    m_byDomain[server.service][server.domain].erase(server.name);
}

void ServerDirectory::visitUsable(const ServiceName &service, const DomainName &domain,
                                  TimePoint now, const Visitor &visitor) const
{
    const auto domains = m_byDomain.find(service);
    if (domains == m_byDomain.end()) {
        return;
    }
    const auto servers = domains->second.find(domain);
    if (servers == domains->second.end()) {
        return;
    }
    for (const auto &[name, entry] : servers->second) {
        if (availabilityOf(*entry, now) == ServerAvailability::Usable && !visitor(entry->server)) {
            return;
        }
    }
}

std::vector<DomainName> ServerDirectory::domainsOf(const ServiceName &service) const
{
    std::vector<DomainName> names;
    const auto domains = m_byDomain.find(service);
    if (domains != m_byDomain.end()) {
        for (const auto &[name, servers] : domains->second) {
            names.push_back(name);
        }
    }
    return names;
}

std::size_t ServerDirectory::serverCount(const ServiceName &service) const
{
    const auto servers = m_byService.find(service);
    return servers == m_byService.end() ? 0 : servers->second.size();
}

ServerName ServerDirectory::nameOf(const std::string &instance) const
{
    const auto it = m_byInstance.find(instance);
    return it == m_byInstance.end() ? ServerName() : it->second;
}

const AnnouncedServer *ServerDirectory::find(const ServerName &name) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? nullptr : &it->second.server;
}

ServerAvailability ServerDirectory::availability(const ServerName &name, TimePoint now) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? ServerAvailability::Leaving : availabilityOf(it->second, now);
}

std::vector<const AnnouncedServer *>
ServerDirectory::candidates(const ServiceName &service, EnginePhase phase, TimePoint now) const
{
    std::vector<const AnnouncedServer *> usable;
    std::vector<const AnnouncedServer *> lastResorts;
    const auto members = m_byService.find(service);
    if (members == m_byService.end()) {
        return usable;
    }
    for (const auto &[name, entry] : members->second) {
        if (entry->server.phase != phase) {
            continue;
        }
        const ServerAvailability availability = availabilityOf(*entry, now);
        if (availability == ServerAvailability::Usable) {
            usable.push_back(&entry->server);
        } else if (availability == ServerAvailability::LastResort) {
            lastResorts.push_back(&entry->server);
        }
    }
    return usable.empty() ? lastResorts : usable;
}

bool ServerDirectory::hasVersion(const ServiceName &service, EnginePhase phase,
                                 const std::string &version, TimePoint now) const
{
    const auto members = m_byService.find(service);
    if (members == m_byService.end()) {
        return false;
    }
    bool isAnyUsable = false;
    bool isLastResort = false;
    for (const auto &[name, entry] : members->second) {
        const ServerAvailability availability = availabilityOf(*entry, now);
        if (entry->server.phase != phase || availability == ServerAvailability::Leaving) {
            continue;
        }
        const bool isUsable = availability == ServerAvailability::Usable;
        const bool hasVersion = entry->server.version == version;
        if (isUsable && hasVersion) {
            return true;
        }
        isAnyUsable = isAnyUsable || isUsable;
        isLastResort = isLastResort || hasVersion;
    }
    return !isAnyUsable && isLastResort;
}

std::set<std::string> ServerDirectory::versionsOf(const ServiceName &service) const
{
    std::set<std::string> versions;
    const auto counts = m_byVersion.find(service);
    if (counts != m_byVersion.end()) {
        for (const auto &[version, count] : counts->second) {
            versions.insert(version);
        }
    }
    return versions;
}

void ServerDirectory::setClosedVersions(const ServiceName &service,
                                        const std::set<std::string> &versions)
{
    if (versions == closedVersions(service)) {
        return;
    }
    m_closedVersions[service] = versions;
    const auto servers = m_byService.find(service);
    if (servers == m_byService.end()) {
        return;
    }
    for (const auto &[name, entry] : servers->second) {
        m_entries.at(name).isClosed = versions.contains(entry->server.version);
    }
}

const std::set<std::string> &ServerDirectory::closedVersions(const ServiceName &service) const
{
    static const std::set<std::string> None;
    const auto it = m_closedVersions.find(service);
    return it == m_closedVersions.end() ? None : it->second;
}

std::vector<ServerName> ServerDirectory::names() const
{
    std::vector<ServerName> names;
    for (const auto &[name, entry] : m_entries) {
        names.push_back(name);
    }
    return names;
}

ServerAvailability ServerDirectory::availabilityOf(const Entry &entry, TimePoint now)
{
    if (entry.server.isDraining || entry.hasSaidLeaving || entry.isClosed) {
        return ServerAvailability::Leaving;
    }
    if (!entry.withdrawnAt) {
        return ServerAvailability::Usable;
    }
    return now < *entry.withdrawnAt + LastResortTime ? ServerAvailability::LastResort
                                                     : ServerAvailability::Leaving;
}

} // namespace indigoway
