#include "pathsearch.h"

#include <utility>

namespace indigoway {

namespace {

constexpr std::size_t MaxRelays = 2;
/**
 * Limits the time until the request is sent: it tells the server the time that its caller waits,
 * as of the start of the call.
 */
constexpr Duration MaxSearchTime = std::chrono::milliseconds(350);

} // namespace

PathSearch::PathSearch(ServerName server, bool isDirectOnly, TimePoint now)
    : m_server(std::move(server))
    , m_isDirectOnly(isDirectOnly)
    , m_startedAt(now)
{ }

void PathSearch::begin(const PathKnowledge &known, TimePoint now, std::uint64_t entropy)
{
    if (!m_isDirectOnly && known.servers.isRelayed(m_server)) {
        chooseRelay(known, now, entropy);
    }
}

void PathSearch::connected(PathKnowledge &known, TimePoint now)
{
    if (m_route.isDirect()) {
        known.servers.recordConnected(m_server, now);
    } else {
        known.servers.recordRelayed(m_server, m_route.relay.name.text(), now);
        known.relays.recordOpened(m_route.relay.name);
    }
}

std::variant<ServerRoute, PathSearchEnd> PathSearch::failed(PathKnowledge &known,
                                                            ConnectFailure failure,
                                                            const std::string &reason,
                                                            TimePoint now, std::uint64_t entropy)
{
    if (m_route.isDirect()) {
        known.servers.recordNotConnected(m_server, reason, now);
        return directFailed(known, failure, now, entropy);
    }
    return relayFailed(known, failure, now, entropy);
}

std::variant<ServerRoute, PathSearchEnd> PathSearch::directFailed(PathKnowledge &known,
                                                                  ConnectFailure failure,
                                                                  TimePoint now,
                                                                  std::uint64_t entropy)
{
    m_hasTriedDirect = true;
    if (m_isDirectOnly || known.relays.isEmpty()) {
        return failure == ConnectFailure::Refused ? PathSearchEnd::Refused
                                                  : PathSearchEnd::Unreachable;
    }
    if (m_triedRelays.size() < MaxRelays && chooseRelay(known, now, entropy)) {
        return m_route;
    }
    return PathSearchEnd::NoPath;
}

std::variant<ServerRoute, PathSearchEnd> PathSearch::relayFailed(PathKnowledge &known,
                                                                 ConnectFailure failure,
                                                                 TimePoint now,
                                                                 std::uint64_t entropy)
{
    if (failure != ConnectFailure::NotRelayed) {
        known.servers.recordDown(m_server);
        return failure == ConnectFailure::Refused ? PathSearchEnd::Refused
                                                  : PathSearchEnd::Unreachable;
    }
    known.relays.recordFailed(m_route.relay.name, now);
    if (now > m_startedAt + MaxSearchTime) {
        return PathSearchEnd::NoPath;
    }
    if (m_triedRelays.size() < MaxRelays && chooseRelay(known, now, entropy)) {
        return m_route;
    }
    if (!m_hasTriedDirect) {
        m_route = {};
        return m_route;
    }
    return PathSearchEnd::NoPath;
}

bool PathSearch::chooseRelay(const PathKnowledge &known, TimePoint now, std::uint64_t entropy)
{
    const auto relay = known.relays.pick(m_triedRelays, now, entropy);
    if (!relay) {
        return false;
    }
    m_triedRelays.push_back(relay->name);
    m_route.relay = *relay;
    return true;
}

} // namespace indigoway
