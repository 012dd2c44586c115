#include "engineplacement.h"

namespace indigoway::dispatch {

namespace {

/**
 * How long an engine that had no room is not asked again. Its requests run for seconds, so room
 * comes some times a second; asking more often only takes the engines' and the nodes' time.
 */
constexpr Duration RefusalPause = std::chrono::milliseconds(60);
/** A request counts as at least so much smaller that a refusal for a larger one says nothing. */
constexpr std::uint64_t SmallerByParts = 4;
/**
 * Tokens of prompt that a prefill engine reads in the time that moving a KV cache to another
 * failure domain takes longer, with the price of the bytes between domains.
 */
constexpr double OtherDomainTokens = 3000;
constexpr double TokensPerWaiting = 5000;
/** Between engines that look nearly alike the nearer one is asked first. */
constexpr double OtherDomainDecodeTokens = 1000;
/** Beyond any engine's memory: one that takes no KV cache over is asked only if all are like it. */
constexpr double BadTargetTokens = 1e9;
/** A prefill engine that may be the cause of a loss is taken where all others are in doubt too. */
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
    // Room has come free: a refusal from before does not hold any more.
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
        return score + (m_transferFaults.isFaultyTarget(server.name, now) ? BadTargetTokens : 0);
    });
}

const AnnouncedServer *
EnginePlacement::pickPrefill(const std::vector<const AnnouncedServer *> &candidates,
                             const Need &need, TimePoint now) const
{
    return best(candidates, need, [&](const AnnouncedServer &server) -> std::optional<double> {
        const auto it = m_engines.find(server.name);
        if (isFaultySource(server.name, now)) {
            return std::nullopt;
        }
        double waiting = it == m_engines.end() ? 0 : static_cast<double>(it->second.tokens);
        if (const auto load = m_tracker.freshLoad(server.name, now)) {
            waiting = std::max(waiting, (load->running + load->waiting) * TokensPerWaiting);
        }
        waiting += m_transferFaults.hasUnattributedFailure(server.name, now) ? InDoubtTokens : 0;
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
