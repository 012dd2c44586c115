#include "cellservers.h"

#include "core/turn.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Defaults before the first observation in the cell. */
constexpr double AssumedPrefillSpeed = 10'000;
constexpr double AssumedTokenTime = 0.02;
constexpr std::size_t MaxPrefixes = 200'000;
constexpr std::uint32_t FirstPrefixTokens = 256;
/** Ratio of token time to target above which a server counts as slow. */
constexpr double SlowFactor = 1.0;
constexpr double SlownessWeight = 2;

bool contains(const std::vector<ServerName> &names, const ServerName &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/** Chooses between the two middle values of an even number of samples. The faster server's value is
 * used, so that a slow server in a pool of two is not compared with itself. */
enum class MedianTie {
    Lower,
    Upper,
};

double medianOf(std::vector<double> values, MedianTie tie, double fallback)
{
    if (values.empty()) {
        return fallback;
    }
    const std::size_t index = (values.size() - (tie == MedianTie::Lower ? 1 : 0)) / 2;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

CellServers::CellServers(Cell cell)
    : m_cell(std::move(cell))
{
    updateMedians();
}

const ServerLoad *CellServers::find(const ServerName &server) const
{
    const auto it = m_servers.find(server);
    return it == m_servers.end() ? nullptr : &it->second;
}

bool CellServers::haveAllReported() const
{
    return !m_servers.empty()
        && std::all_of(m_servers.begin(), m_servers.end(),
                       [](const auto &entry) { return entry.second.hasReported(); });
}

void CellServers::removeUndeclared(const Deployment &deployment)
{
    std::erase_if(m_servers, [&](const auto &entry) {
        return !deployment.server(entry.first) && entry.second.assignedClaims() == 0;
    });
}

const Target *CellServers::target(const Turn &turn) const
{
    return turn.deployment.target(m_cell.target);
}

bool CellServers::isUsable(const Turn &turn, const ServerName &name,
                           const std::vector<ServerName> &avoid) const
{
    const Server *server = turn.deployment.server(name);
    if (!server || server->state != ServerState::Active || contains(avoid, name)) {
        return false;
    }
    const auto it = m_servers.find(name);
    return it == m_servers.end() || it->second.isUsable(turn.now);
}

std::vector<ServerName> CellServers::usableServers(const Turn &turn, Role role,
                                                   const std::vector<ServerName> &avoid) const
{
    std::vector<ServerName> found;
    for (const ServerName &name : turn.cells.servers(m_cell, role)) {
        if (isUsable(turn, name, avoid)) {
            found.push_back(name);
        }
    }
    if (found.empty() && !avoid.empty()) {
        // Falls back to servers that failed this request before; they may have recovered.
        return usableServers(turn, role, {});
    }
    return found;
}

void CellServers::updateMedians()
{
    std::vector<double> speeds;
    std::vector<double> times;
    for (const auto &[name, load] : m_servers) {
        if (load.prefillSpeed() > 0) {
            speeds.push_back(load.prefillSpeed());
        }
        if (load.tokenTime() > 0) {
            times.push_back(load.tokenTime());
        }
    }
    m_medianPrefillSpeed = medianOf(std::move(speeds), MedianTie::Upper, AssumedPrefillSpeed);
    m_medianTokenTime = medianOf(std::move(times), MedianTie::Lower, AssumedTokenTime);
}

double CellServers::expectedPrefillSeconds(const Turn &turn, const ServerName &server,
                                           std::uint32_t tokens) const
{
    const double median = m_medianPrefillSpeed;
    const auto it = m_servers.find(server);
    double speed = median;
    if (it != m_servers.end() && it->second.prefillSpeed() > 0) {
        const double confidence = it->second.confidence(turn.now);
        speed = confidence * it->second.prefillSpeed() + (1 - confidence) * median;
    }
    return tokens / speed;
}

double CellServers::expectedTokenTime(const Turn &turn, const ServerName &server) const
{
    const double median = m_medianTokenTime;
    const auto it = m_servers.find(server);
    if (it == m_servers.end() || it->second.tokenTime() == 0) {
        return median;
    }
    const double confidence = it->second.confidence(turn.now);
    return confidence * it->second.tokenTime() + (1 - confidence) * median;
}

std::uint32_t CellServers::freeSlots(const Turn &turn, const Server &server) const
{
    const auto it = m_servers.find(server.name);
    if (it == m_servers.end()) {
        return server.slots;
    }
    const ServerLoad &load = it->second;
    std::uint32_t slots = server.slots;
    const Target *cellTarget = target(turn);
    const double maxTokenTime =
        std::chrono::duration<double>(cellTarget->betweenTokens).count() * SlowFactor;
    if (cellTarget->isService || load.tokenTime() <= maxTokenTime) {
        return load.usedSlots() < slots ? slots - load.usedSlots() : 0;
    }
    // A slow server gets no requests until the observation has aged, then one trial request.
    slots = expectedTokenTime(turn, server.name) > maxTokenTime ? 0 : 1;
    return load.usedSlots() < slots ? slots - load.usedSlots() : 0;
}

std::int64_t CellServers::totalFreeSlots(const Turn &turn, Role role) const
{
    std::int64_t free = 0;
    for (const ServerName &name : turn.cells.servers(m_cell, role)) {
        if (isUsable(turn, name, {})) {
            free += freeSlots(turn, *turn.deployment.server(name));
        }
    }
    return free;
}

std::int64_t CellServers::totalSlots(const Turn &turn, Role role) const
{
    std::int64_t total = 0;
    for (const ServerName &name : turn.cells.servers(m_cell, role)) {
        total += isUsable(turn, name, {}) ? turn.deployment.server(name)->slots : 0;
    }
    return total;
}

std::uint32_t CellServers::cachedTokens(const ServerName &server, const ClaimCapacity &claim) const
{
    std::uint32_t cached = 0;
    std::uint32_t length = FirstPrefixTokens;
    for (const std::uint64_t hash : claim.prefixHashes) {
        const auto it = m_serversByPrefix.find(hash);
        if (it != m_serversByPrefix.end() && it->second.contains(server)) {
            cached = length;
        }
        length *= 2;
    }
    return std::min(cached, claim.promptTokens);
}

std::uint32_t CellServers::maxCachedTokens(const ClaimCapacity &claim) const
{
    std::uint32_t cached = 0;
    std::uint32_t length = FirstPrefixTokens;
    for (const std::uint64_t hash : claim.prefixHashes) {
        const auto it = m_serversByPrefix.find(hash);
        if (it != m_serversByPrefix.end() && !it->second.empty()) {
            cached = length;
        }
        length *= 2;
    }
    return std::min(cached, claim.promptTokens);
}

void CellServers::recordPrefix(const ServerName &server, const ClaimCapacity &claim)
{
    if (m_serversByPrefix.size() > MaxPrefixes) {
        m_serversByPrefix.clear();
    }
    for (const std::uint64_t hash : claim.prefixHashes) {
        m_serversByPrefix[hash].insert(server);
    }
}

std::optional<ServerName> CellServers::chooseDecode(const Turn &turn,
                                                    const std::vector<ServerName> &avoid) const
{
    const std::vector<ServerName> servers = usableServers(turn, Role::Decode, avoid);
    const double median = m_medianTokenTime;
    std::optional<ServerName> best;
    double bestScore = 0;
    for (const ServerName &name : servers) {
        const Server &server = *turn.deployment.server(name);
        const auto it = m_servers.find(name);
        const std::uint32_t used = it == m_servers.end() ? 0 : it->second.usedSlots();
        const Duration linkWait = it == m_servers.end()
            ? Duration::zero()
            : std::max(Duration::zero(),
                       std::chrono::duration_cast<Duration>(it->second.linkFreeAt() - turn.now));
        const double slowness = std::max(0.0, expectedTokenTime(turn, name) / median - 1);
        // A full server is chosen last, since its engine would queue the request.
        const double full = freeSlots(turn, server) > 0 ? 0 : 100;
        const double score = full + static_cast<double>(used) / server.slots
            + slowness * SlownessWeight + std::chrono::duration<double>(linkWait).count() * 10;
        if (!best || score < bestScore) {
            best = name;
            bestScore = score;
        }
    }
    return best;
}

std::optional<ServerName> CellServers::chooseService(const Turn &turn,
                                                     const ClaimCapacity &claim) const
{
    std::optional<ServerName> best;
    double bestScore = 0;
    for (const ServerName &name : usableServers(turn, Role::Service, claim.avoid)) {
        const Server &server = *turn.deployment.server(name);
        if (freeSlots(turn, server) == 0) {
            continue;
        }
        const auto it = m_servers.find(name);
        const double used = it == m_servers.end() ? 0 : it->second.usedSlots();
        const double slowness = it == m_servers.end() ? 0 : it->second.tokenTime();
        const double score = (used + 1) / server.slots * (1 + slowness);
        if (!best || score < bestScore) {
            best = name;
            bestScore = score;
        }
    }
    return best;
}

void CellServers::applyCacheEvents(const CacheEventsArrived &events)
{
    for (const std::uint64_t hash : events.stored) {
        m_serversByPrefix[hash].insert(events.server);
    }
    for (const std::uint64_t hash : events.removed) {
        const auto it = m_serversByPrefix.find(hash);
        if (it != m_serversByPrefix.end()) {
            it->second.erase(events.server);
        }
    }
}

} // namespace indigoway
