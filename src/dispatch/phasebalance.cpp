#include "phasebalance.h"

#include <algorithm>
#include <cmath>

namespace indigoway::dispatch {

namespace {

/**
 * Prefill headroom as a factor of the square root of the number of engines, so that the mean
 * queueing time (M/D/k) is about that of one prompt: a utilisation of 0.88 with three engines, 0.96
 * with thirty.
 */
constexpr double PrefillHeadroom = 0.2;
/** Average memory utilisation of a decode engine that accepts no more requests. */
constexpr double MemoryUtilisation = 0.85;

/**
 * Minimum throughput ratio that justifies a change, as the estimated work fluctuates and a changing
 * engine is out of service for seconds. Without it, engines were changed back and forth within a
 * minute.
 */
constexpr double MinGain = 1.05;

/** Returns the generations per second that both phases can process. */
double throughput(std::uint32_t prefill, std::uint32_t decode, const EngineTraits &traits,
                  const scheduling::GenerationWork &work)
{
    const double usable = prefill - PrefillHeadroom * std::sqrt(prefill);
    const double memory = decode * static_cast<double>(traits.memoryTokens) * MemoryUtilisation;
    return std::min(usable / work.prefillSeconds, memory / work.decodeTokenSeconds);
}

/**
 * Keeps one prefill engine if another one fails; prefill on a decode engine takes twice the time.
 */
constexpr std::uint32_t MinPrefillEngines = 2;
/** Delay of the first decision, until all engines are registered. */
constexpr Duration InitialSettlingTime = std::chrono::milliseconds(1500);
/**
 * Delay of later decisions; most crashes and releases are over by then. An engine that changes its
 * phase during one of them would be missing as well.
 */
constexpr Duration SettlingTime = std::chrono::milliseconds(15000);
/** Minimum share of the engines for later changes; a smaller change costs more than it gains. */
constexpr double MinShiftRatio = 0.25;
constexpr Duration MinBatchInterval = std::chrono::milliseconds(15000);
/** Added to the engine's change time, for late execution and late notification. */
constexpr Duration ChangeSlack = std::chrono::milliseconds(2500);

} // namespace

void PhaseBalance::updateWork(const ServiceName &service, const scheduling::GenerationWork &work)
{
    m_work[service] = work;
}

const scheduling::GenerationWork *PhaseBalance::work(const ServiceName &service) const
{
    const auto it = m_work.find(service);
    return it == m_work.end() ? nullptr : &it->second;
}

std::uint32_t PhaseBalance::preferredPrefillCount(std::uint32_t all, std::uint32_t present,
                                                  const EngineTraits &traits,
                                                  const scheduling::GenerationWork &work)
{
    if (all <= MinPrefillEngines || traits.memoryTokens == 0) {
        return all / 2;
    }
    std::uint32_t best = MinPrefillEngines;
    double highest = 0;
    for (std::uint32_t prefill = MinPrefillEngines; prefill < all; ++prefill) {
        const double candidate = throughput(prefill, all - prefill, traits, work);
        if (candidate > highest) {
            highest = candidate;
            best = prefill;
        }
    }
    const bool isPossible = present >= MinPrefillEngines && present < all;
    return isPossible && throughput(present, all - present, traits, work) * MinGain > highest
        ? present
        : best;
}

std::vector<PhaseOrder> PhaseOrderPlanner::decide(TimePoint now, const Service &service,
                                                  const ServerDirectory &servers,
                                                  const PhaseBalance &balance, bool mayGive)
{
    removeExpired(now);
    std::vector<const AnnouncedServer *> prefill =
        servers.candidates(service.name, EnginePhase::Prefill, now);
    std::vector<const AnnouncedServer *> decode =
        servers.candidates(service.name, EnginePhase::Decode, now);
    const auto all = static_cast<std::uint32_t>(prefill.size() + decode.size());
    const scheduling::GenerationWork *work = balance.work(service.name);
    if (all == 0 || !service.engine || !work) {
        return {};
    }
    const auto present = static_cast<std::uint32_t>(prefill.size());
    const int difference = static_cast<int>(present)
        - static_cast<int>(PhaseBalance::preferredPrefillCount(all, present, *service.engine,
                                                               *work));
    ServiceState &state = m_services[service.name];
    const bool hasSameSign =
        (state.difference > 0) == (difference > 0) && (state.difference < 0) == (difference < 0);
    if (state.engines != all || !hasSameSign) {
        state.since = now;
    }
    state.engines = all;
    state.difference = difference;
    const Duration settlingTime = state.lastBatch ? SettlingTime : InitialSettlingTime;
    const int minShift = state.lastBatch ? std::max(3, static_cast<int>(all * MinShiftRatio)) : 1;
    if (std::abs(difference) < minShift || now < state.since + settlingTime
        || (state.lastBatch && now < *state.lastBatch + MinBatchInterval)) {
        return {};
    }
    const EnginePhase to = difference > 0 ? EnginePhase::Decode : EnginePhase::Prefill;
    auto &from = difference > 0 ? prefill : decode;
    std::map<DomainName, std::size_t> left;
    std::map<std::string, std::size_t> leftOfVersion;
    for (const AnnouncedServer *server : from) {
        ++left[server->domain];
        ++leftOfVersion[server->version];
    }
    // Streams and KV caches of a version need engines of that version in both phases.
    const bool hasSeveralVersions = leftOfVersion.size() > 1;
    std::vector<PhaseOrder> orders;
    for (int i = 0; i < std::abs(difference) && !from.empty(); ++i) {
        // Chooses from the domain with the most candidates, so that each domain keeps some.
        const auto one = std::max_element(from.begin(), from.end(), [&](auto *a, auto *b) {
            return left[a->domain] < left[b->domain];
        });
        --left[(*one)->domain];
        std::size_t &sameVersion = leftOfVersion[(*one)->version];
        const bool isLastOfVersion = hasSeveralVersions && sameVersion == 1;
        if (!isLastOfVersion && !isChanging((*one)->name, now)) {
            orders.push_back({*one, to});
            --sameVersion;
        }
        from.erase(one);
    }
    if (!mayGive || orders.empty()) {
        return orders;
    }
    for (const PhaseOrder &order : orders) {
        m_changing[order.server->name] = {to, now + service.engine->phaseChange + ChangeSlack};
    }
    state.lastBatch = now;
    return orders;
}

void PhaseOrderPlanner::cancel(const ServerName &server)
{
    m_changing.erase(server);
}

EnginePhase PhaseOrderPlanner::orderedPhase(const ServerName &server) const
{
    const auto it = m_changing.find(server);
    return it == m_changing.end() ? EnginePhase::None : it->second.to;
}

bool PhaseOrderPlanner::isChanging(const ServerName &server, TimePoint now) const
{
    const auto it = m_changing.find(server);
    return it != m_changing.end() && now < it->second.until;
}

Duration PhaseOrderPlanner::remainingChangeTime(const ServerName &server, TimePoint now) const
{
    const auto it = m_changing.find(server);
    return it == m_changing.end() ? Duration(0)
                                  : std::max(Duration(it->second.until - now), Duration(0));
}

void PhaseOrderPlanner::removeExpired(TimePoint now)
{
    std::erase_if(m_changing, [now](const auto &one) { return now >= one.second.until; });
}

} // namespace indigoway::dispatch
