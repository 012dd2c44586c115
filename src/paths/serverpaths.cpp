#include "serverpaths.h"

#include <utility>

namespace indigoway {

namespace {

/** Servers that end are not called again; their entries would otherwise stay. */
constexpr Duration Retention = std::chrono::seconds(60);
/** Servers without a connection that show a fault of the node rather than of servers. */
constexpr std::size_t MinServersOfIsolation = 2;
/** Interval of tests whether a server can be connected to again. */
constexpr Duration ServerTestInterval = std::chrono::seconds(1);
/** Interval of tests whether the isolation has ended; each takes another server. */
constexpr Duration IsolationTestInterval = std::chrono::milliseconds(300);

} // namespace

void ServerPaths::recordConnected(const ServerName &server, TimePoint now)
{
    m_lastConnected = now;
    m_failedSinceConnected.clear();
    endIsolation(now);
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
    ++m_failedConnections;
    m_failedSinceConnected.insert(server);
    const auto [it, isNew] = m_unreachable.try_emplace(server);
    Unreachable &state = it->second;
    ++state.failedCalls;
    state.lastFailure = now;
    if (isNew) {
        state.since = now;
        m_changes.push_back({server, false, Duration(0), 0, reason});
    }
}

void ServerPaths::recordRelayed(const ServerName &server, const std::string &node, TimePoint now)
{
    const auto it = m_unreachable.find(server);
    if (it != m_unreachable.end() && !it->second.isRelayed) {
        it->second.isRelayed = true;
        it->second.nextTest = now + ServerTestInterval;
        m_changes.push_back({server, false, now - it->second.since, it->second.failedCalls,
                             "reached through " + node});
    }
    if (!m_isIsolated && m_failedSinceConnected.size() >= MinServersOfIsolation) {
        m_isIsolated = true;
        m_isolatedSince = now;
        m_nextTest = now + IsolationTestInterval;
        m_changes.push_back({{},
                             false,
                             now - m_lastConnected,
                             m_failedSinceConnected.size(),
                             "isolated, as " + node + " reaches " + server.text()});
    }
}

void ServerPaths::recordDown(const ServerName &server)
{
    const auto it = m_unreachable.find(server);
    if (it != m_unreachable.end()) {
        it->second.isRelayed = false;
    }
}

bool ServerPaths::isRelayed(const ServerName &server) const
{
    if (m_isIsolated) {
        return true;
    }
    const auto it = m_unreachable.find(server);
    return it != m_unreachable.end() && it->second.isRelayed;
}

bool ServerPaths::takeTest(const ServerName &server, TimePoint now)
{
    if (m_isIsolated) {
        if (now < m_nextTest) {
            return false;
        }
        m_nextTest = now + IsolationTestInterval;
        return true;
    }
    const auto it = m_unreachable.find(server);
    if (it == m_unreachable.end() || !it->second.isRelayed || now < it->second.nextTest) {
        return false;
    }
    it->second.nextTest = now + ServerTestInterval;
    return true;
}

std::vector<PathChange> ServerPaths::takeChanges()
{
    return std::exchange(m_changes, {});
}

void ServerPaths::endIsolation(TimePoint now)
{
    if (!m_isIsolated) {
        return;
    }
    m_isIsolated = false;
    m_changes.push_back({{}, true, now - m_isolatedSince, 0, "connected"});
    // Cuts of all servers mostly heal at once; each server is tried directly again.
    for (auto &[server, state] : m_unreachable) {
        state.isRelayed = false;
    }
}

void ServerPaths::forgetOld(TimePoint now)
{
    std::erase_if(m_unreachable,
                  [now](const auto &one) { return now > one.second.lastFailure + Retention; });
}

} // namespace indigoway
