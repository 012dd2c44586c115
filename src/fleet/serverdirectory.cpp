#include "serverdirectory.h"

namespace indigoway {

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
    if (earlier) {
        erase(m_entries.find(*earlier));
    }
    Entry &entry = m_entries[name];
    if (entry.server.service != server.service) {
        m_byService[entry.server.service].erase(name);
    }
    m_byService[server.service][name] = &entry;
    entry.server = std::move(server);
    entry.vanishedAt.reset();
    return earlier;
}

void ServerDirectory::withdraw(const ServerName &name, TimePoint now)
{
    const auto it = m_entries.find(name);
    if (it != m_entries.end() && !it->second.vanishedAt) {
        it->second.vanishedAt = now;
    }
}

void ServerDirectory::remove(const ServerName &name)
{
    erase(m_entries.find(name));
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
        it = erase(it);
    }
    return forgotten;
}

std::map<ServerName, ServerDirectory::Entry>::iterator
ServerDirectory::erase(std::map<ServerName, Entry>::iterator it)
{
    if (it == m_entries.end()) {
        return it;
    }
    const AnnouncedServer &server = it->second.server;
    m_byService[server.service].erase(server.name);
    const auto instance = m_byInstance.find(server.instance);
    if (instance != m_byInstance.end() && instance->second == server.name) {
        m_byInstance.erase(instance);
    }
    return m_entries.erase(it);
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
