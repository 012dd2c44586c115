#include "engineplacement.h"

namespace indigoway::dispatch {

namespace {

/** Time during which an engine that refused a reservation is not asked again. */
constexpr Duration RefusalPause = std::chrono::milliseconds(60);
/** After a refusal, only requests that are smaller by this divisor's part are tried. */
constexpr std::uint64_t SmallerByParts = 4;
/** Cost, in prompt tokens, of moving a KV cache to another failure domain. */
constexpr double OtherDomainTokens = 3000;
constexpr double TokensPerWaiting = 5000;
/** Cost, in tokens, of a decode engine in another failure domain. */
constexpr double OtherDomainDecodeTokens = 1000;
/** Exceeds any engine's memory: engines that fail to take over KV caches are the last choice. */
constexpr double BadTargetTokens = 1e9;
/** A prefill engine suspected of losing KV caches is the last choice. */
constexpr double InDoubtTokens = 1e9;

} // namespace

void EnginePlacement::charge(const ServerName &server, std::uint64_t tokens)
{
    m_engines[server].tokens += tokens;
}

void EnginePlacement::discharge(const ServerName &server, std::uint64_t tokens)
{
    Engine &engine = m_engines[server];
    engine.tokens -= std::min(engine.tokens, tokens);
    // The released memory invalidates earlier refusals.
    engine.refusedAt = {};
    engine.refusedTokens = 0;
}

void EnginePlacement::asking(const ServerName &server)
{
    ++m_engines[server].asked;
}

void EnginePlacement::granted(const ServerName &server)
{
    Engine &engine = m_engines[server];
    engine.asked -= engine.asked > 0 ? 1 : 0;
    engine.refusedTokens = 0;
}

void EnginePlacement::refused(const ServerName &server, std::uint64_t tokens, TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.asked -= engine.asked > 0 ? 1 : 0;
    engine.refusedTokens = tokens;
    engine.refusedAt = now;
}

void EnginePlacement::handoverLost(const ServerName &prefill, const ServerName &decode,
                                   TimePoint now)
{
    m_handovers.lost(prefill, decode, now);
}

bool EnginePlacement::isBadSource(const ServerName &prefill, TimePoint now) const
{
    return m_handovers.isBadSource(prefill, now);
}

const AnnouncedServer *
EnginePlacement::pickDecode(const std::vector<const AnnouncedServer *> &candidates,
                            const Need &need, TimePoint now) const
{
    return best(candidates, need, [&](const AnnouncedServer &server) -> std::optional<double> {
        double score = server.domain == need.domain ? 0 : OtherDomainDecodeTokens;
        const auto it = m_engines.find(server.name);
        if (it != m_engines.end()) {
            if (!isWorthAsking(it->second, need.tokens, now)) {
                return std::nullopt;
            }
            score += static_cast<double>(it->second.tokens)
                + it->second.asked * static_cast<double>(need.tokens);
        }
        if (const auto load = m_tracker.freshLoad(server.name, now)) {
            score += (load->running + load->waiting) * TokensPerWaiting;
        }
        return score + (m_handovers.isBadTarget(server.name, now) ? BadTargetTokens : 0);
    });
}

const AnnouncedServer *
EnginePlacement::pickPrefill(const std::vector<const AnnouncedServer *> &candidates,
                             const Need &need, TimePoint now) const
{
    return best(candidates, need, [&](const AnnouncedServer &server) -> std::optional<double> {
        const auto it = m_engines.find(server.name);
        if (isBadSource(server.name, now)) {
            return std::nullopt;
        }
        double waiting = it == m_engines.end() ? 0 : static_cast<double>(it->second.tokens);
        if (const auto load = m_tracker.freshLoad(server.name, now)) {
            waiting = std::max(waiting, (load->running + load->waiting) * TokensPerWaiting);
        }
        waiting += m_handovers.isInDoubt(server.name, now) ? InDoubtTokens : 0;
        return waiting + (server.domain == need.domain ? 0 : OtherDomainTokens);
    });
}

const AnnouncedServer *EnginePlacement::best(const std::vector<const AnnouncedServer *> &candidates,
                                             const Need &need, const Score &scoreOf)
{
    const AnnouncedServer *chosen = nullptr;
    double bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const AnnouncedServer *server = candidates[(i + need.entropy) % candidates.size()];
        if (need.without->contains(server->name)) {
            continue;
        }
        const std::optional<double> score = scoreOf(*server);
        if (score && (!chosen || *score < bestScore)) {
            chosen = server;
            bestScore = *score;
        }
    }
    return chosen;
}

bool EnginePlacement::isWorthAsking(const Engine &engine, std::uint64_t tokens, TimePoint now) const
{
    if (engine.refusedTokens == 0 || now >= engine.refusedAt + RefusalPause) {
        return true;
    }
    return tokens + tokens / SmallerByParts < engine.refusedTokens;
}

} // namespace indigoway::dispatch
