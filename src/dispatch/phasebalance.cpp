#include "phasebalance.h"

#include <algorithm>
#include <cmath>

namespace indigoway::dispatch {

namespace {

/**
 * Prefill engines beyond their mean load. Where engines are few, the loss of one is a large part
 * of them: with 18 engines 1.2 gave a mean worth of 0.83 of its mark and 1.0 gave 0.75. Where they
 * are many, and one node sends each prompt where it is read next, decode memory is what binds:
 * with 90 and 140 engines 1.5, 1.15 and 1.0 gave 0.588, 0.610, 0.632 and 0.448, 0.486, 0.497 of
 * worth (one day of high load each).
 */
constexpr double HeadroomOfFew = 1.2;
constexpr double HeadroomOfMany = 1.0;
constexpr double FewEngines = 20;
constexpr double ManyEngines = 80;

double headroom(std::uint32_t engines)
{
    const double part = std::clamp((engines - FewEngines) / (ManyEngines - FewEngines), 0.0, 1.0);
    return HeadroomOfFew + part * (HeadroomOfMany - HeadroomOfFew);
}

/** Loss of one must leave one; a prompt that a decode engine reads takes twice the time. */
constexpr std::uint32_t FewestPrefill = 2;
/** Of new samples; some fifty make up the average, since a lasting shift is looked for. */
constexpr double SampleWeight = 0.02;
/** Engines announce themselves one by one; the first decision waits until no more come. */
constexpr Duration SettledAfter = std::chrono::milliseconds(1500);
/**
 * Later differences come of crashes and releases, most of which are over in this time; an engine
 * that is ordered away meanwhile is missing too. Orders after 5 s took 0.1 of worth on such days.
 */
constexpr Duration LastsFor = std::chrono::milliseconds(15000);
/** Of all engines; a smaller later shift gains less than the engines' time away costs. */
constexpr double LeastShift = 0.25;
constexpr Duration BetweenBatches = std::chrono::milliseconds(15000);
/** Beyond the engine's own time: an order may be carried out late, and news of it lags. */
constexpr Duration ChangeSlack = std::chrono::milliseconds(2500);

} // namespace

void PhaseBalance::decodeSeen(std::uint64_t tokens, Duration took)
{
    const double seconds = std::chrono::duration_cast<std::chrono::duration<double>>(took).count();
    const double tokenSeconds = static_cast<double>(tokens) * seconds;
    m_work.decodeTokenSeconds += SampleWeight * (tokenSeconds - m_work.decodeTokenSeconds);
}

std::uint32_t PhaseBalance::prefillWanted(std::uint32_t all, const EngineTraits &traits) const
{
    if (all <= FewestPrefill || traits.memoryTokens == 0) {
        return all / 2;
    }
    const double prefill = m_work.prefillSeconds * headroom(all);
    const double decode = m_work.decodeTokenSeconds / static_cast<double>(traits.memoryTokens);
    const double wanted = std::round(all * prefill / (prefill + decode));
    return std::clamp(static_cast<std::uint32_t>(wanted), FewestPrefill, all - 1);
}

std::vector<PhaseOrder> PhaseOrders::decide(TimePoint now, const Service &service,
                                            const ServerDirectory &servers,
                                            const PhaseBalance &balance)
{
    forget(now);
    std::vector<const AnnouncedServer *> prefill =
        servers.candidates(service.name, EnginePhase::Prefill, now);
    std::vector<const AnnouncedServer *> decode =
        servers.candidates(service.name, EnginePhase::Decode, now);
    const auto all = static_cast<std::uint32_t>(prefill.size() + decode.size());
    if (all == 0 || !service.engine) {
        return {};
    }
    const int difference = static_cast<int>(prefill.size())
        - static_cast<int>(balance.prefillWanted(all, *service.engine));
    PerService &state = m_services[service.name];
    if (state.engines != all || (state.difference > 0) != (difference > 0)
        || (state.difference < 0) != (difference < 0)) {
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
            m_changing[(*one)->name] = {to, now + service.engine->phaseChange + ChangeSlack};
        }
        from.erase(one);
    }
    if (!orders.empty()) {
        state.lastBatch = now;
    }
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

void PhaseOrders::forget(TimePoint now)
{
    std::erase_if(m_changing, [now](const auto &one) { return now >= one.second.until; });
}

} // namespace indigoway::dispatch
