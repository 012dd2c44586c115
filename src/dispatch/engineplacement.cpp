#include "engineplacement.h"

namespace indigoway::dispatch {

namespace {

/**
 * Time during which an engine that refused a reservation is not asked again. Its requests run for
 * seconds, so memory comes free a few times a second; asking more often only loads engines and
 * nodes.
 */
constexpr Duration RefusalBackoff = std::chrono::milliseconds(60);
/**
 * After a refusal, only requests that are smaller by this divisor's part are tried; the refusal
 * says nothing about these.
 */
constexpr std::uint64_t SmallerRequestDivisor = 4;
/**
 * Cost, in prompt tokens, of moving a KV cache to another failure domain: the tokens that a prefill
 * engine processes in the additional transfer time, and the price of traffic between domains.
 */
constexpr double PrefillOtherDomainPenalty = 3000;
constexpr double TokensPerRequest = 5000;
/**
 * Cost, in tokens, of a decode engine in another failure domain; decides between engines with
 * nearly the same load.
 */
constexpr double DecodeOtherDomainPenalty = 1000;
/** Exceeds any engine's memory: engines that fail to take over KV caches are the last choice. */
constexpr double BadTargetPenalty = 1e9;
/** A prefill engine suspected of losing KV caches is the last choice. */
constexpr double SuspectSourcePenalty = 1e9;

} // namespace

void EnginePlacement::addLoad(const ServerName &server, std::uint64_t tokens)
{
    m_engines[server].tokens += tokens;
}

void EnginePlacement::removeLoad(const ServerName &server, std::uint64_t tokens)
{
    Engine &engine = m_engines[server];
    engine.tokens -= std::min(engine.tokens, tokens);
    // The released memory invalidates earlier refusals.
    engine.refusedAt = {};
    engine.refusedTokens = 0;
}

void EnginePlacement::reservationStarted(const ServerName &server)
{
    ++m_engines[server].pendingReservations;
}

void EnginePlacement::reservationGranted(const ServerName &server)
{
    Engine &engine = m_engines[server];
    engine.pendingReservations -= engine.pendingReservations > 0 ? 1 : 0;
    engine.refusedTokens = 0;
}

void EnginePlacement::reservationRefused(const ServerName &server, std::uint64_t tokens,
                                         TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.pendingReservations -= engine.pendingReservations > 0 ? 1 : 0;
    engine.refusedTokens = tokens;
    engine.refusedAt = now;
}

void EnginePlacement::handoverLost(const ServerName &prefill, const ServerName &decode,
                                   TimePoint now)
{
    m_transferFaults.recordFailure(prefill, decode, now);
}

bool EnginePlacement::isFaultySource(const ServerName &prefill, TimePoint now) const
{
    return m_transferFaults.isFaultySource(prefill, now);
}

const AnnouncedServer *
EnginePlacement::pickDecode(const std::vector<const AnnouncedServer *> &candidates,
                            const Need &need, TimePoint now) const
{
    return lowestCostEngine(
        candidates, need, [&](const AnnouncedServer &server) -> std::optional<double> {
            double cost = server.domain == need.domain ? 0 : DecodeOtherDomainPenalty;
            const auto it = m_engines.find(server.name);
            if (it != m_engines.end()) {
                if (!mayGrant(it->second, need.tokens, now)) {
                    return std::nullopt;
                }
                cost += static_cast<double>(it->second.tokens)
                    + it->second.pendingReservations * static_cast<double>(need.tokens);
            }
            if (const auto load = m_serverTracker.recentLoad(server.name, now)) {
                cost += (load->running + load->waiting) * TokensPerRequest;
            }
            return cost
                + (m_transferFaults.isFaultyTarget(server.name, now) ? BadTargetPenalty : 0);
        });
}

const AnnouncedServer *
EnginePlacement::pickPrefill(const std::vector<const AnnouncedServer *> &candidates,
                             const Need &need, TimePoint now) const
{
    return lowestCostEngine(
        candidates, need, [&](const AnnouncedServer &server) -> std::optional<double> {
            const auto it = m_engines.find(server.name);
            if (isFaultySource(server.name, now)) {
                return std::nullopt;
            }
            double waiting = it == m_engines.end() ? 0 : static_cast<double>(it->second.tokens);
            if (const auto load = m_serverTracker.recentLoad(server.name, now)) {
                waiting = std::max(waiting, (load->running + load->waiting) * TokensPerRequest);
            }
            waiting += m_transferFaults.hasUnattributedFailure(server.name, now)
                ? SuspectSourcePenalty
                : 0;
            return waiting + (server.domain == need.domain ? 0 : PrefillOtherDomainPenalty);
        });
}

const AnnouncedServer *
EnginePlacement::lowestCostEngine(const std::vector<const AnnouncedServer *> &candidates,
                                  const Need &need, const Cost &costOf)
{
    const AnnouncedServer *chosen = nullptr;
    double lowestCost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const AnnouncedServer *server = candidates[(i + need.entropy) % candidates.size()];
        if (need.excluded->contains(server->name)) {
            continue;
        }
        const std::optional<double> cost = costOf(*server);
        if (cost && (!chosen || *cost < lowestCost)) {
            chosen = server;
            lowestCost = *cost;
        }
    }
    return chosen;
}

bool EnginePlacement::mayGrant(const Engine &engine, std::uint64_t tokens, TimePoint now) const
{
    if (engine.refusedTokens == 0 || now >= engine.refusedAt + RefusalBackoff) {
        return true;
    }
    return tokens + tokens / SmallerRequestDivisor < engine.refusedTokens;
}

} // namespace indigoway::dispatch
