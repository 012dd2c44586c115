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
constexpr double SpareOfRoot = 0.2;
/** Average memory utilisation of a decode engine that accepts no more requests. */
constexpr double MemoryInUse = 0.85;

/**
 * Minimum throughput ratio that justifies a change, as the estimated work fluctuates and a changing
 * engine is out of service for seconds.
 */
constexpr double LeastGain = 1.05;

/** Returns the generations per second that both phases can process. */
double generationsCarried(std::uint32_t prefill, std::uint32_t decode, const EngineTraits &traits,
                          const scheduling::GenerationWork &work)
{
    const double usable = prefill - SpareOfRoot * std::sqrt(prefill);
    const double memory = decode * static_cast<double>(traits.memoryTokens) * MemoryInUse;
    return std::min(usable / work.prefillSeconds, memory / work.decodeTokenSeconds);
}

/**
 * Keeps one prefill engine if another one fails; prefill on a decode engine takes twice the time.
 */
constexpr std::uint32_t FewestPrefill = 2;
/** Delay of the first decision, until all engines are registered. */
constexpr Duration SettledAfter = std::chrono::milliseconds(1500);
/** Delay of later decisions; most crashes and releases are over by then. */
constexpr Duration LastsFor = std::chrono::milliseconds(15000);
/** Minimum share of the engines for later changes; a smaller change costs more than it gains. */
constexpr double LeastShift = 0.25;
constexpr Duration BetweenBatches = std::chrono::milliseconds(15000);
/** Added to the engine's change time, for late execution and late notification. */
constexpr Duration ChangeSlack = std::chrono::milliseconds(2500);

} // namespace

void PhaseBalance::learn(const ServiceName &service, const scheduling::GenerationWork &work)
{
    m_work[service] = work;
}

const scheduling::GenerationWork *PhaseBalance::work(const ServiceName &service) const
{
    const auto it = m_work.find(service);
    return it == m_work.end() ? nullptr : &it->second;
}

std::uint32_t PhaseBalance::prefillWanted(std::uint32_t all, std::uint32_t present,
                                          const EngineTraits &traits,
                                          const scheduling::GenerationWork &work)
{
    if (all <= FewestPrefill || traits.memoryTokens == 0) {
        return all / 2;
    }
    std::uint32_t best = FewestPrefill;
    double most = 0;
    for (std::uint32_t prefill = FewestPrefill; prefill < all; ++prefill) {
        const double carried = generationsCarried(prefill, all - prefill, traits, work);
        if (carried > most) {
            most = carried;
            best = prefill;
        }
    }
    const bool isPossible = present >= FewestPrefill && present < all;
    return isPossible && generationsCarried(present, all - present, traits, work) * LeastGain > most
        ? present
        : best;
}

std::vector<PhaseOrder> PhaseOrders::decide(TimePoint now, const Service &service,
                                            const ServerDirectory &servers,
                                            const PhaseBalance &balance, bool mayGive)
{
    forget(now);
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
        - static_cast<int>(PhaseBalance::prefillWanted(all, present, *service.engine, *work));
    PerService &state = m_services[service.name];
    const bool isSame =
        (state.difference > 0) == (difference > 0) && (state.difference < 0) == (difference < 0);
    if (state.engines != all || !isSame) {
        state.since = now;
    }
    state.engines = all;
    state.difference = difference;
    const Duration lasting = state.lastBatch ? LastsFor : SettledAfter;
    const int least = state.lastBatch ? std::max(3, static_cast<int>(all * LeastShift)) : 1;
    if (std::abs(difference) < least || now < state.since + lasting
        || (state.lastBatch && now < *state.lastBatch + BetweenBatches)) {
        return {};
    }
    const EnginePhase to = difference > 0 ? EnginePhase::Decode : EnginePhase::Prefill;
    auto &from = difference > 0 ? prefill : decode;
    std::map<DomainName, std::size_t> left;
    for (const AnnouncedServer *server : from) {
        ++left[server->domain];
    }
    std::vector<PhaseOrder> orders;
    for (int i = 0; i < std::abs(difference) && !from.empty(); ++i) {
        // Chooses from the domain with the most candidates, so that each domain keeps some.
        const auto one = std::max_element(from.begin(), from.end(), [&](auto *a, auto *b) {
            return left[a->domain] < left[b->domain];
        });
        --left[(*one)->domain];
        if (!isChanging((*one)->name, now)) {
            orders.push_back({*one, to});
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

void PhaseOrders::refused(const ServerName &server)
{
    m_changing.erase(server);
}

EnginePhase PhaseOrders::orderedPhase(const ServerName &server) const
{
    const auto it = m_changing.find(server);
    return it == m_changing.end() ? EnginePhase::None : it->second.to;
}

bool PhaseOrders::isChanging(const ServerName &server, TimePoint now) const
{
    const auto it = m_changing.find(server);
    return it != m_changing.end() && now < it->second.until;
}

Duration PhaseOrders::changesFor(const ServerName &server, TimePoint now) const
{
    const auto it = m_changing.find(server);
    return it == m_changing.end() ? Duration(0)
                                  : std::max(Duration(it->second.until - now), Duration(0));
}

void PhaseOrders::forget(TimePoint now)
{
    std::erase_if(m_changing, [now](const auto &one) { return now >= one.second.until; });
}

} // namespace indigoway::dispatch
