#include "engineselector.h"

#include <algorithm>
#include <iterator>

namespace indigoway::scheduling {

namespace {

/**
 * Longest acceptable prefill queue. A prompt that waits longer would reserve decode memory
 * meanwhile.
 */
constexpr Duration MaxPrefillWait = std::chrono::milliseconds(100);
/** Cost of a KV cache transfer to another failure domain. */
constexpr Duration CrossDomainDelay = std::chrono::milliseconds(25);
constexpr double CrossDomainTokens = 1500;
/**
 * Exceeds all queueing delays: a pair whose last transfer failed is used only if there is no other.
 */
constexpr Duration FailedPairPenalty = std::chrono::seconds(10);
/** One in so many engines may be reserved, so that small claims find memory on the others. */
constexpr std::size_t ReservableDivisor = 2;
/**
 * If fewer than one in so many engines of a phase appear healthy, the cause is probably elsewhere,
 * and all are used.
 */
constexpr std::size_t MinHealthyDivisor = 2;

/**
 * Exceeds all other scores: an engine that fails some of its requests is used only if no other has
 * memory, since a refusal would be worse for the caller.
 */
constexpr double SuspectTokens = 1e9;
constexpr Duration SuspectDelay = std::chrono::seconds(5);

bool isVersionOf(const Claim &claim, const EngineSelector::DecodeCandidate &candidate)
{
    return !claim.version || *claim.version == candidate.server->version;
}

/** Returns the servers for which @p isHealthy holds, or all if those are too few. */
template <typename IsHealthy>
std::vector<const AnnouncedServer *> healthyOrAll(const std::vector<const AnnouncedServer *> &all,
                                                  const IsHealthy &isHealthy)
{
    std::vector<const AnnouncedServer *> healthy;
    std::ranges::copy_if(all, std::back_inserter(healthy), isHealthy);
    return healthy.size() * MinHealthyDivisor < all.size() ? all : healthy;
}

} // namespace

EngineSelector::EngineSelector(const EngineTracker &tracker, const ServerDirectory &servers,
                               const Service &service, const ServiceEstimators &estimators,
                               TimePoint now, Limit limit)
    : m_tracker(tracker)
    , m_estimators(estimators)
    , m_now(now)
    , m_memory(service.engine ? static_cast<double>(service.engine->memoryTokens) : 0)
{
    EnginesByPhase engines;
    if (limit < servers.serverCount(service.name)) {
        engines = limitedEngines(servers, service, limit);
    }
    // The full set may contain usable engines, or engines to use as a last resort.
    if (engines.decode.empty() || engines.prefill.empty()) {
        engines = allEngines(servers, service);
    }
    for (const auto *server : usableDecodeEngines(engines.decode)) {
        MemoryProjection memory = tracker.memoryProjection(server->name, estimators.decode, now);
        const double peak = memory.peak();
        m_decode.push_back({server, std::move(memory), peak, false});
    }
    m_prefill = usablePrefillEngines(engines.prefill);
    m_hasSeveralVersions = std::ranges::any_of(m_decode, [this](const DecodeCandidate &candidate) {
        return candidate.server->version != m_decode.front().server->version;
    });
}

EngineSelector::EnginesByPhase EngineSelector::allEngines(const ServerDirectory &servers,
                                                          const Service &service)
{
    EnginesByPhase engines;
    for (const EnginePhase announced : {EnginePhase::Prefill, EnginePhase::Decode}) {
        for (const auto *server : servers.candidates(service.name, announced, m_now)) {
            const bool isDecode = m_tracker.phaseOf(*server, m_now) == EnginePhase::Decode;
            (isDecode ? engines.decode : engines.prefill).push_back(server);
        }
    }
    m_isLimited = false;
    m_examined += engines.decode.size() + engines.prefill.size();
    return engines;
}

EngineSelector::EnginesByPhase EngineSelector::limitedEngines(const ServerDirectory &servers,
                                                              const Service &service, Limit limit)
{
    EnginesByPhase engines;
    for (const DomainName &domain : servers.domainsOf(service.name)) {
        std::size_t decode = 0;
        std::size_t prefill = 0;
        servers.visitUsable(service.name, domain, m_now, [&](const AnnouncedServer &server) {
            if (decode >= limit && prefill >= limit) {
                m_isLimited = true;
                return false;
            }
            ++m_examined;
            if (server.phase == EnginePhase::None) {
                return true;
            }
            const bool isDecode = m_tracker.phaseOf(server, m_now) == EnginePhase::Decode;
            std::size_t &selected = isDecode ? decode : prefill;
            if (selected >= limit) {
                m_isLimited = true;
            } else if (!m_tracker.isUnavailable(server, m_now)) {
                ++selected;
                (isDecode ? engines.decode : engines.prefill).push_back(&server);
            }
            return true;
        });
    }
    return engines;
}

EngineSelector::DecodeCandidate *EngineSelector::chooseDecodeEngine(const Claim &claim)
{
    if (m_hasSeveralVersions && claim.promptTokens > 0) {
        const std::set<std::string> versions = versionsWithPrefill(claim);
        const auto hasPrefill = [&versions](const DecodeCandidate &candidate) {
            return versions.contains(candidate.server->version);
        };
        if (DecodeCandidate *candidate = leastLoaded(claim, hasPrefill)) {
            return candidate;
        }
    }
    return leastLoaded(claim, [](const DecodeCandidate &) { return true; });
}

bool EngineSelector::hasPrefillEngine(const std::string &version) const
{
    return std::ranges::any_of(m_prefill, [&version](const AnnouncedServer *server) {
        return server->version == version;
    });
}

bool EngineSelector::isPrefillAvailable(const Claim &claim) const
{
    return std::ranges::any_of(m_prefill, [this, &claim](const AnnouncedServer *server) {
        return mayPrefill(*server, claim);
    });
}

std::set<std::string> EngineSelector::versionsWithPrefill(const Claim &claim) const
{
    std::set<std::string> versions;
    for (const AnnouncedServer *server : m_prefill) {
        if (mayPrefill(*server, claim)) {
            versions.insert(server->version);
        }
    }
    return versions;
}

bool EngineSelector::mayPrefill(const AnnouncedServer &prefill, const Claim &claim) const
{
    return m_tracker.prefillWait(prefill.name, m_now) <= MaxPrefillWait
        && std::ranges::find(claim.excludedServers, prefill.name) == claim.excludedServers.end();
}

EngineSelector::DecodeCandidate *EngineSelector::chooseLocalPrefillEngine(const Claim &claim)
{
    return leastLoaded(claim, [this](const DecodeCandidate &candidate) {
        return m_tracker.canPrefillLocally(candidate.server->name, m_now);
    });
}

template <typename IsUsable>
EngineSelector::DecodeCandidate *EngineSelector::leastLoaded(const Claim &claim,
                                                             const IsUsable &isUsable)
{
    DecodeCandidate *best = nullptr;
    double bestScore = 0;
    for (DecodeCandidate &candidate : m_decode) {
        if (candidate.isReserved || !isUsable(candidate) || !isVersionOf(claim, candidate)
            || MemoryForecast::peakWith(candidate.memory, claim.memory, m_estimators.decode)
                > m_memory
            || std::ranges::find(claim.excludedServers, candidate.server->name)
                != claim.excludedServers.end()) {
            continue;
        }
        const double score = candidate.peak
            + (candidate.server->domain == claim.domain ? 0 : CrossDomainTokens)
            + (m_tracker.isSuspect(candidate.server->name, m_now) ? SuspectTokens : 0);
        if (!best || score < bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best;
}

void EngineSelector::addRun(DecodeCandidate &candidate, const MemoryNeed &need) const
{
    MemoryForecast::addTo(candidate.memory, need, m_estimators.decode);
    candidate.peak = candidate.memory.peak();
}

std::vector<BackupSelector::Engine>
EngineSelector::backupEngines(const Claim &claim, const AnnouncedServer &decode) const
{
    std::vector<BackupSelector::Engine> engines;
    for (const DecodeCandidate &candidate : m_decode) {
        const AnnouncedServer &server = *candidate.server;
        if (!candidate.isReserved && server.version == decode.version
            && std::ranges::find(claim.excludedServers, server.name)
                == claim.excludedServers.end()) {
            engines.push_back(
                {server.name, server.domain, m_memory,
                 MemoryForecast::peakWith(candidate.memory, claim.memory, m_estimators.decode),
                 m_tracker.isSuspect(server.name, m_now)});
        }
    }
    return engines;
}

void EngineSelector::addCopy(const ServerName &server, const MemoryNeed &need)
{
    for (DecodeCandidate &candidate : m_decode) {
        if (candidate.server->name == server) {
            addRun(candidate, need);
            return;
        }
    }
}

void EngineSelector::reserveEngine(const Claim &claim)
{
    if (m_reservedEngines >= m_decode.size() / ReservableDivisor) {
        return;
    }
    DecodeCandidate *leastLoaded = nullptr;
    for (DecodeCandidate &candidate : m_decode) {
        if (!candidate.isReserved && isVersionOf(claim, candidate)
            && (!leastLoaded || candidate.peak < leastLoaded->peak)) {
            leastLoaded = &candidate;
        }
    }
    if (leastLoaded) {
        leastLoaded->isReserved = true;
        ++m_reservedEngines;
    }
}

double EngineSelector::freeMemoryFor(const MemoryNeed &need) const
{
    double free = 0;
    for (const DecodeCandidate &candidate : m_decode) {
        const bool fits =
            MemoryForecast::peakWith(candidate.memory, need, m_estimators.decode) <= m_memory;
        free += fits ? m_memory - candidate.peak : 0;
    }
    return free;
}

const AnnouncedServer *EngineSelector::choosePrefillEngine(const Claim &claim,
                                                           const AnnouncedServer &decode) const
{
    const AnnouncedServer *best = nullptr;
    Duration bestTime {};
    for (const AnnouncedServer *server : m_prefill) {
        if (server->version != decode.version || !mayPrefill(*server, claim)) {
            continue;
        }
        const Duration time =
            m_tracker.prefillTime(server->name, claim.promptTokens, m_estimators.prefill, m_now)
            + pairingPenalty(*server, decode);
        if (!best || time < bestTime) {
            best = server;
            bestTime = time;
        }
    }
    return best;
}

Duration EngineSelector::pairingPenalty(const AnnouncedServer &prefill,
                                        const AnnouncedServer &decode) const
{
    Duration time = prefill.domain == decode.domain ? Duration(0) : CrossDomainDelay;
    if (m_tracker.transferFaults().haveFailedTogether(prefill.name, decode.name, m_now)) {
        time += FailedPairPenalty;
    }
    if (m_tracker.isSuspect(prefill.name, m_now)) {
        time += SuspectDelay;
    }
    if (m_estimators.prefill.needsBackToBackSamples()
        && m_tracker.wouldRunBackToBack(prefill.name, m_now)) {
        // Queues some prompts behind others to obtain back-to-back samples, which the ratio of
        // prefill to decode engines is based on. Each is delayed by at most MaxPrefillWait.
        time -= MaxPrefillWait + CrossDomainDelay;
    }
    return time;
}

Duration EngineSelector::shortestPrefillWait() const
{
    Duration least = m_prefill.empty() ? Duration(0) : Duration::max();
    for (const AnnouncedServer *server : m_prefill) {
        least = std::min(least, m_tracker.prefillWait(server->name, m_now));
    }
    return least;
}

Duration EngineSelector::shortestPrefillTime(std::uint32_t tokens) const
{
    Duration least = m_prefill.empty() ? Duration(0) : Duration::max();
    for (const AnnouncedServer *server : m_prefill) {
        least = std::min(least,
                         m_tracker.prefillTime(server->name, tokens, m_estimators.prefill, m_now));
    }
    return least;
}

EngineSelector::Engines EngineSelector::usableDecodeEngines(const Engines &all) const
{
    return healthyOrAll(availableEngines(all), [this](const AnnouncedServer *server) {
        return !m_tracker.transferFaults().isFaultyTarget(server->name, m_now);
    });
}

EngineSelector::Engines EngineSelector::usablePrefillEngines(const Engines &all) const
{
    const Engines available = availableEngines(all);
    // If no prefill engine is reachable, this node's link is probably down: use all of them.
    return healthyOrAll(available.empty() ? all : available, [this](const AnnouncedServer *server) {
        return !m_tracker.transferFaults().isFaultySource(server->name, m_now);
    });
}

EngineSelector::Engines EngineSelector::availableEngines(const Engines &all) const
{
    Engines available = all;
    std::erase_if(available, [this](const AnnouncedServer *server) {
        return m_tracker.isUnavailable(*server, m_now);
    });
    return available;
}

} // namespace indigoway::scheduling
