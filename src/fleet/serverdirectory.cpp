#include "serverdirectory.h"

namespace indigoway {

void ServerDirectory::announce(AnnouncedServer server)
{
    const ServerName name = server.name;
    Entry &entry = m_entries[name];
    if (entry.server.service != server.service) {
        m_byService[entry.server.service].erase(name);
    }
    m_byService[server.service][name] = &entry;
    entry.server = std::move(server);
    entry.vanishedAt.reset();
}

void ServerDirectory::withdraw(const ServerName &name, TimePoint now)
{
    const auto it = m_entries.find(name);
    if (it != m_entries.end() && !it->second.vanishedAt) {
        it->second.vanishedAt = now;
    }
}

std::vector<ServerName> ServerDirectory::forgetVanished(TimePoint now)
{
    std::vector<ServerName> forgotten;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const Entry &entry = it->second;
        if (!entry.vanishedAt || now < *entry.vanishedAt + VanishedKept) {
            ++it;
            continue;
        }
        forgotten.push_back(it->first);
        m_byService[entry.server.service].erase(it->first);
        it = m_entries.erase(it);
    }
    return forgotten;
}

const AnnouncedServer *ServerDirectory::find(const ServerName &name) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? nullptr : &it->second.server;
}

Standing ServerDirectory::standing(const ServerName &name, TimePoint now) const
{
    const auto it = m_entries.find(name);
    return it == m_entries.end() ? Standing::Leaving : standingOf(it->second, now);
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
        const Standing standing = standingOf(*entry, now);
        if (standing == Standing::Usable) {
            usable.push_back(&entry->server);
        } else if (standing == Standing::LastResort) {
            lastResorts.push_back(&entry->server);
        }
    }
    return usable.empty() ? lastResorts : usable;
}

std::vector<ServerName> ServerDirectory::names() const
{
    std::vector<ServerName> names;
    for (const auto &[name, entry] : m_entries) {
        names.push_back(name);
    }
    return names;
}

Standing ServerDirectory::standingOf(const Entry &entry, TimePoint now)
{
    if (entry.server.isDraining) {
        return Standing::Leaving;
    }
    if (!entry.vanishedAt) {
        return Standing::Usable;
    }
    return now < *entry.vanishedAt + VanishedKept ? Standing::LastResort : Standing::Leaving;
}

} // namespace indigoway
