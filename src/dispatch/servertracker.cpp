#include "servertracker.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

/** Weight of one sample in the moving averages. */
constexpr double SampleWeight = 0.2;
/** Answer time for a service without any samples; only relative values matter. */
constexpr double UnknownMilliseconds = 30;
/** Factor on the typical time for a server without recent samples, so that it is tried. */
constexpr double UnseenPart = 0.5;
/** Half-life of the samples, so that slow servers are tried again. */
constexpr Duration HalfLife = std::chrono::seconds(3);
/** Time during which a reported load is considered current. */
constexpr Duration LoadFresh = std::chrono::milliseconds(300);
/** Consecutive failures after which a server is avoided. */
constexpr std::uint32_t FailuresToAvoid = 2;
constexpr Duration FirstAvoidance = std::chrono::milliseconds(800);
/** Limits the time until a restarted server is used again. */
constexpr Duration LongestAvoidance = std::chrono::milliseconds(3200);
constexpr std::uint32_t MostDoublings = 2;

double fading(TimePoint since, TimePoint now)
{
    const double halfLives =
        static_cast<double>((now - since).count()) / static_cast<double>(HalfLife.count());
    return halfLives > 8 ? 0 : 1.0 / static_cast<double>(1U << static_cast<unsigned>(halfLives));
}

} // namespace

void ServerTracker::callStarted(const ServerName &server)
{
    ++m_seen[server].open;
}

void ServerTracker::callDropped(const ServerName &server)
{
    Seen &seen = m_seen[server];
    if (seen.open > 0) {
        --seen.open;
    }
}

void ServerTracker::answered(const ServerName &server, Duration took, bool wasWell, TimePoint now)
{
    callDropped(server);
    Seen &seen = m_seen[server];
    const double milliseconds = static_cast<double>(took.count()) / 1000.0;
    seen.milliseconds = seen.milliseconds == 0
        ? milliseconds
        : seen.milliseconds + SampleWeight * (milliseconds - seen.milliseconds);
    sampleFailure(seen, !wasWell, now);
    seen.failuresInRow = 0;
    seen.avoidedUntil = {};
}

void ServerTracker::turnedAway(const ServerName &server)
{
    callDropped(server);
}

void ServerTracker::failed(const ServerName &server, TimePoint now)
{
    callDropped(server);
    Seen &seen = m_seen[server];
    sampleFailure(seen, true, now);
    ++seen.failuresInRow;
    if (seen.failuresInRow < FailuresToAvoid) {
        return;
    }
    const std::uint32_t doublings = std::min(seen.failuresInRow - FailuresToAvoid, MostDoublings);
    seen.avoidedUntil = now + std::min(FirstAvoidance * (1 << doublings), LongestAvoidance);
}

void ServerTracker::unreachable(const ServerName &server, TimePoint now)
{
    Seen &seen = m_seen[server];
    seen.failuresInRow = std::max(seen.failuresInRow, FailuresToAvoid - 1);
    failed(server, now);
}

void ServerTracker::loadTold(const ServerName &server, const ServerLoad &load, TimePoint now)
{
    Seen &seen = m_seen[server];
    seen.load = load;
    seen.loadAt = now;
}

void ServerTracker::forget(const ServerName &server)
{
    const auto it = m_seen.find(server);
    if (it != m_seen.end() && it->second.open == 0) {
        m_seen.erase(it);
    }
}

std::uint32_t ServerTracker::openCalls(const ServerName &server) const
{
    const auto it = m_seen.find(server);
    return it == m_seen.end() ? 0 : it->second.open;
}

std::optional<ServerLoad> ServerTracker::freshLoad(const ServerName &server, TimePoint now) const
{
    const auto it = m_seen.find(server);
    if (it == m_seen.end() || !it->second.load || now > it->second.loadAt + LoadFresh) {
        return std::nullopt;
    }
    return it->second.load;
}

bool ServerTracker::isAvoided(const ServerName &server, TimePoint now) const
{
    const auto it = m_seen.find(server);
    return it != m_seen.end() && now < it->second.avoidedUntil;
}

std::vector<const AnnouncedServer *>
ServerTracker::preferred(const std::vector<const AnnouncedServer *> &servers, TimePoint now) const
{
    std::vector<const AnnouncedServer *> good;
    for (const AnnouncedServer *server : servers) {
        if (!isAvoided(server->name, now)) {
            good.push_back(server);
        }
    }
    // If most servers fail, this node's own network is the likely cause.
    return good.size() * 2 < servers.size() ? servers : good;
}

double ServerTracker::typicalMilliseconds(const std::vector<const AnnouncedServer *> &servers) const
{
    double sum = 0;
    int known = 0;
    for (const AnnouncedServer *server : servers) {
        const auto it = m_seen.find(server->name);
        if (it != m_seen.end() && it->second.milliseconds > 0) {
            sum += it->second.milliseconds;
            ++known;
        }
    }
    return known == 0 ? UnknownMilliseconds : sum / known;
}

double ServerTracker::expectedMilliseconds(const ServerName &server, double typical,
                                           TimePoint now) const
{
    const double unseen = UnseenPart * typical;
    const auto it = m_seen.find(server);
    if (it == m_seen.end()) {
        return unseen;
    }
    const Seen &seen = it->second;
    const double weight = fading(seen.lastSample, now);
    const double base =
        seen.milliseconds == 0 ? unseen : weight * seen.milliseconds + (1 - weight) * unseen;
    double others = seen.open;
    if (const auto load = freshLoad(server, now)) {
        const std::uint32_t all = load->running + load->waiting;
        const double beyondSlots = all > load->slots ? all - load->slots : 0;
        others = std::max(others, beyondSlots + 0.1 * all);
    }
    // A failure costs a retry, several times the answer time.
    constexpr double FailureCost = 4;
    return base * (1 + others) * (1 + FailureCost * weight * seen.failureShare);
}

void ServerTracker::sampleFailure(Seen &seen, bool wasFailure, TimePoint now)
{
    seen.failureShare += SampleWeight * ((wasFailure ? 1.0 : 0.0) - seen.failureShare);
    seen.lastSample = now;
}

} // namespace indigoway::dispatch
