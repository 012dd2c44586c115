#include "serverpaths.h"

#include <utility>

namespace indigoway {

namespace {

/** Servers that end are not called again; their entries would otherwise stay. */
constexpr Duration Retention = std::chrono::seconds(60);

} // namespace

void ServerPaths::recordConnected(const ServerName &server, TimePoint now)
{
    const auto node = m_unreachable.extract(server);
    if (!node.empty()) {
        const Unreachable &before = node.mapped();
        m_changes.push_back({server, true, now - before.since, before.failedCalls, "connected"});
    }
}

void ServerPaths::recordNotConnected(const ServerName &server, const std::string &reason,
                                     TimePoint now)
{
    forgetOld(now);
    ++m_failedCalls;
    const auto [it, isNew] = m_unreachable.try_emplace(server);
    ++it->second.failedCalls;
    it->second.lastFailure = now;
    if (isNew) {
        it->second.since = now;
        m_changes.push_back({server, false, Duration(0), 0, reason});
    }
}

std::vector<PathChange> ServerPaths::takeChanges()
{
    return std::exchange(m_changes, {});
}

void ServerPaths::forgetOld(TimePoint now)
{
    std::erase_if(m_unreachable,
                  [now](const auto &one) { return now > one.second.lastFailure + Retention; });
}

} // namespace indigoway
