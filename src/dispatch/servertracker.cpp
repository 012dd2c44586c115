#include "servertracker.h"

#include <algorithm>
#include <cmath>

namespace indigoway::dispatch {

namespace {

/** Weight of one sample in the moving averages, which represent about ten samples. */
constexpr double SampleWeight = 0.2;
/** Answer time for a service without any samples; only relative values matter. */
constexpr double DefaultMilliseconds = 30;
/** Factor on the mean time for a server without recent samples, so that it is tried. */
constexpr double UnknownServerFactor = 0.5;
/** Half-life of the samples, so that slow servers are tried again. */
constexpr Duration HalfLife = std::chrono::seconds(3);
/** Time during which a reported load is considered current. */
constexpr Duration LoadValidity = std::chrono::milliseconds(300);
/** Work time of a server that shares its machine with no other work, in percent. */
constexpr double UsualWorkPercent = 100;
/** Half-life of a reported speed's weight; the speed changes several times a second. */
constexpr Duration WorkPercentHalfLife = std::chrono::milliseconds(150);
/**
 * Consecutive failures after which a server is avoided; a single one also occurs on
 * healthy servers.
 */
constexpr std::uint32_t FailuresToAvoid = 2;
constexpr Duration InitialAvoidance = std::chrono::milliseconds(800);
/** Limits the time until a restarted server is used again. */
constexpr Duration MaxAvoidance = std::chrono::milliseconds(3200);
constexpr std::uint32_t MaxDoublings = 2;

double decayWeight(TimePoint since, TimePoint now)
{
    const double halfLives =
        static_cast<double>((now - since).count()) / static_cast<double>(HalfLife.count());
    return halfLives > 8 ? 0 : 1.0 / static_cast<double>(1U << static_cast<unsigned>(halfLives));
}

} // namespace

void ServerTracker::callStarted(const ServerName &server)
{
    ++m_statistics[server].openCalls;
}

void ServerTracker::callClosed(const ServerName &server)
{
    ServerStatistics &statistics = m_statistics[server];
    if (statistics.openCalls > 0) {
        --statistics.openCalls;
    }
}

void ServerTracker::recordAnswer(const ServerName &server, Duration took, bool isSuccess,
                                 TimePoint now)
{
    callClosed(server);
    ServerStatistics &statistics = m_statistics[server];
    const double milliseconds = static_cast<double>(took.count()) / 1000.0;
    statistics.averageMilliseconds = statistics.averageMilliseconds == 0
        ? milliseconds
        : statistics.averageMilliseconds
            + SampleWeight * (milliseconds - statistics.averageMilliseconds);
    if (statistics.load && statistics.load->workPercent && statistics.loadReportedAt == now) {
        const double percent = *statistics.load->workPercent;
        statistics.averageWorkPercent = statistics.averageWorkPercent == 0
            ? percent
            : statistics.averageWorkPercent
                + SampleWeight * (percent - statistics.averageWorkPercent);
    }
    addFailureSample(statistics, !isSuccess, now);
    statistics.consecutiveFailures = 0;
    statistics.avoidedUntil = {};
}

void ServerTracker::recordRejection(const ServerName &server)
{
    callClosed(server);
}

void ServerTracker::recordFailure(const ServerName &server, TimePoint now)
{
    callClosed(server);
    ServerStatistics &statistics = m_statistics[server];
    addFailureSample(statistics, true, now);
    ++statistics.consecutiveFailures;
    if (statistics.consecutiveFailures < FailuresToAvoid) {
        return;
    }
    const std::uint32_t doublings =
        std::min(statistics.consecutiveFailures - FailuresToAvoid, MaxDoublings);
    statistics.avoidedUntil = now + std::min(InitialAvoidance * (1 << doublings), MaxAvoidance);
}

void ServerTracker::recordUnreachable(const ServerName &server, TimePoint now)
{
    ServerStatistics &statistics = m_statistics[server];
    statistics.consecutiveFailures = std::max(statistics.consecutiveFailures, FailuresToAvoid - 1);
    recordFailure(server, now);
}

void ServerTracker::recordLoad(const ServerName &server, const ServerLoad &load, TimePoint now)
{
    ServerStatistics &statistics = m_statistics[server];
    statistics.load = load;
    statistics.loadReportedAt = now;
}

void ServerTracker::forget(const ServerName &server)
{
    const auto it = m_statistics.find(server);
    if (it != m_statistics.end() && it->second.openCalls == 0) {
        m_statistics.erase(it);
    }
}

std::uint32_t ServerTracker::openCalls(const ServerName &server) const
{
    const auto it = m_statistics.find(server);
    return it == m_statistics.end() ? 0 : it->second.openCalls;
}

std::optional<ServerLoad> ServerTracker::recentLoad(const ServerName &server, TimePoint now) const
{
    const auto it = m_statistics.find(server);
    if (it == m_statistics.end() || !it->second.load
        || now > it->second.loadReportedAt + LoadValidity) {
        return std::nullopt;
    }
    return it->second.load;
}

bool ServerTracker::isAvoided(const ServerName &server, TimePoint now) const
{
    const auto it = m_statistics.find(server);
    return it != m_statistics.end() && now < it->second.avoidedUntil;
}

std::vector<const AnnouncedServer *>
ServerTracker::preferredServers(const std::vector<const AnnouncedServer *> &servers,
                                TimePoint now) const
{
    std::vector<const AnnouncedServer *> usable;
    for (const AnnouncedServer *server : servers) {
        if (!isAvoided(server->name, now)) {
            usable.push_back(server);
        }
    }
    // If most servers fail, this node's own network is the likely cause.
    return usable.size() * 2 < servers.size() ? servers : usable;
}

double
ServerTracker::meanAnswerMilliseconds(const std::vector<const AnnouncedServer *> &servers) const
{
    double sum = 0;
    int count = 0;
    for (const AnnouncedServer *server : servers) {
        const auto it = m_statistics.find(server->name);
        if (it != m_statistics.end() && it->second.averageMilliseconds > 0) {
            sum += it->second.averageMilliseconds;
            ++count;
        }
    }
    return count == 0 ? DefaultMilliseconds : sum / count;
}

double ServerTracker::expectedAnswerMilliseconds(const ServerName &server, double mean,
                                                 TimePoint now) const
{
    const double unknownServer = UnknownServerFactor * mean;
    const auto it = m_statistics.find(server);
    if (it == m_statistics.end()) {
        return unknownServer;
    }
    const ServerStatistics &statistics = it->second;
    const double weight = decayWeight(statistics.lastSampleAt, now);
    const double base = statistics.averageMilliseconds == 0
        ? unknownServer
        : weight * statistics.averageMilliseconds + (1 - weight) * unknownServer;
    double competingCalls = statistics.openCalls;
    if (const auto load = recentLoad(server, now)) {
        const std::uint32_t all = load->running + load->waiting;
        const double beyondSlots = all > load->slots ? all - load->slots : 0;
        competingCalls = std::max(competingCalls, beyondSlots + 0.1 * all);
    }
    // A failure costs a retry, several times the answer time.
    constexpr double FailureCost = 4;
    return base * slowdown(statistics, now) * (1 + competingCalls)
        * (1 + FailureCost * weight * statistics.failureRate);
}

double ServerTracker::slowdown(const ServerStatistics &statistics, TimePoint now) const
{
    if (!statistics.load || !statistics.load->workPercent) {
        return 1;
    }
    const double halfLives = static_cast<double>((now - statistics.loadReportedAt).count())
        / static_cast<double>(WorkPercentHalfLife.count());
    const double usual =
        statistics.averageWorkPercent == 0 ? UsualWorkPercent : statistics.averageWorkPercent;
    return 1 + std::exp2(-halfLives) * (*statistics.load->workPercent / usual - 1);
}

void ServerTracker::addFailureSample(ServerStatistics &statistics, bool isFailure, TimePoint now)
{
    statistics.failureRate += SampleWeight * ((isFailure ? 1.0 : 0.0) - statistics.failureRate);
    statistics.lastSampleAt = now;
}

} // namespace indigoway::dispatch
