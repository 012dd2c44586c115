#include "streamversions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace indigoway::dispatch {

namespace {

std::set<ServiceName> targetsOf(const Route &route)
{
    std::set<ServiceName> targets;
    for (const ServiceShare &share : route.shares) {
        if (share.weight > 0) {
            targets.insert(share.service);
        }
    }
    return targets;
}

} // namespace

void StreamVersions::setRoutes(const RouteTable &table)
{
    std::set<ServiceName> services;
    m_splitServices.clear();
    for (const Route &route : table.routes()) {
        if (!route.isStream || !route.isResumable) {
            continue;
        }
        const std::set<ServiceName> targets = targetsOf(route);
        services.insert(targets.begin(), targets.end());
        if (targets.size() > 1) {
            m_splitServices.insert(targets.begin(), targets.end());
        }
    }
    for (const ServiceName &service : m_services) {
        if (!services.contains(service)) {
            m_state.servers.setClosedVersions(service, {});
        }
    }
    m_services = std::move(services);
    m_isChanged = true;
}

void StreamVersions::applyNote(const std::string &key, const std::string *value,
                               std::uint64_t revision)
{
    m_state.versionNotes.apply(key, value, revision);
    m_isChanged = true;
}

void StreamVersions::serverAnnounced(const AnnouncedServer &server)
{
    m_isChanged = true;
    const bool needsNote = m_services.contains(server.service)
        && !m_state.versionNotes.isNoted({server.service, server.version});
    if (needsNote && !m_state.versionNotes.versionsOf(server.service).empty()) {
        std::set<std::string> closed = m_state.servers.closedVersions(server.service);
        closed.insert(server.version);
        m_state.servers.setClosedVersions(server.service, closed);
    }
}

void StreamVersions::review(TimePoint now)
{
    if (!m_isChanged && !m_isAnyClosed) {
        return;
    }
    m_isChanged = false;
    m_isAnyClosed = false;
    std::set<ServiceName> stored = m_splitServices;
    for (const ServiceName &service : m_services) {
        std::set<std::string> noted;
        std::set<std::string> closed;
        for (const std::string &version : m_state.servers.versionsOf(service)) {
            const bool isNoted = m_state.versionNotes.isNoted({service, version});
            (isNoted ? noted : closed).insert(version);
        }
        std::set<std::string> possible = m_state.versionNotes.versionsOf(service);
        if (!isAnyUsable(service, noted, now)) {
            possible.merge(closed);
            closed.clear();
        }
        m_state.servers.setClosedVersions(service, closed);
        m_isAnyClosed = m_isAnyClosed || !closed.empty();
        if (possible.size() > 1) {
            stored.insert(service);
        }
    }
    m_state.origins.setStoredServices(now, std::move(stored));
}

bool StreamVersions::isAnyUsable(const ServiceName &service, const std::set<std::string> &versions,
                                 TimePoint now) const
{
    return std::ranges::any_of(versions, [&](const std::string &version) {
        return m_state.servers.hasVersion(service, EnginePhase::Decode, version, now)
            || m_state.servers.hasVersion(service, EnginePhase::None, version, now);
    });
}

std::vector<origins::VersionNotes::Write> StreamVersions::dueWrites(TimePoint now, Duration delay)
{
    origins::VersionNotes::Present present;
    for (const ServiceName &service : m_services) {
        present[service] = m_state.servers.versionsOf(service);
    }
    return m_state.versionNotes.dueWrites(now, present, delay);
}

} // namespace indigoway::dispatch
