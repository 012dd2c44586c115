#include "phasebalance.h"

#include <algorithm>
#include <cmath>

namespace indigoway::dispatch {

namespace {

/**
 * Of the square root of the prefill engines' number: prompts come unevenly, and what is kept free
 * for that grows as the root of the load. Three engines are planned to be busy for 0.88 of the
 * time and wait as long as one prompt takes (queue of fixed times, M/D/k); thirty for 0.96.
 */
constexpr double SpareOfRoot = 0.2;
/** Of a decode engine's memory that is in use on average when it is full. */
constexpr double MemoryInUse = 0.85;

/**
 * An engine is away for seconds, and what is known of the work wavers by some parts in a hundred:
 * without a least gain engines were turned and turned back within a minute.
 */
constexpr double LeastGain = 1.05;

/** Generations a second that go through both phases. */
double generationsCarried(std::uint32_t prefill, std::uint32_t decode, const EngineTraits &traits,
                          const scheduling::GenerationWork &work)
{
    const double usable = prefill - SpareOfRoot * std::sqrt(prefill);
    const double memory = decode * static_cast<double>(traits.memoryTokens) * MemoryInUse;
    return std::min(usable / work.prefillSeconds, memory / work.decodeTokenSeconds);
}

/** Loss of one must leave one; a prompt that a decode engine reads takes twice the time. */
constexpr std::uint32_t FewestPrefill = 2;
/** Engines announce themselves one by one; the first decision waits until no more come. */
constexpr Duration SettledAfter = std::chrono::milliseconds(1500);
/**
 * Later differences come of crashes and releases, most of which are over in this time; an engine
 * that is ordered away meanwhile is missing too.
 */
constexpr Duration LastsFor = std::chrono::milliseconds(15000);
/** Of all engines; a smaller later shift gains less than the engines' time away costs. */
constexpr double LeastShift = 0.25;
constexpr Duration BetweenBatches = std::chrono::milliseconds(15000);
/** Beyond the engine's own time: an order may be carried out late, and news of it lags. */
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
        // From the domain that has the most of them, so that each keeps some.
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
