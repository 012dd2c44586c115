#include "enginechoice.h"

#include <algorithm>
#include <iterator>

namespace indigoway::scheduling {

namespace {

/** A prompt is not sent where it would wait longer: decode memory would lie reserved meanwhile. */
constexpr Duration MostPrefillWait = std::chrono::milliseconds(100);
/** Moving a KV cache to another failure domain takes longer, and its bytes cost more. */
constexpr Duration OtherDomainTime = std::chrono::milliseconds(25);
constexpr double OtherDomainTokens = 1500;
/** Beyond all lines: a pair that has lost a KV cache is taken again only if there is no other. */
constexpr Duration LostBeforeTime = std::chrono::seconds(10);
/** Of the engines; where room is kept on all of them, small claims wait for nothing. */
constexpr std::size_t KeptPart = 2;
/** Of a phase: where fewer look sound, the cause lies elsewhere, and so few cannot serve all. */
constexpr std::size_t LeastSoundPart = 2;

/**
 * Beyond all sound engines: one that fails a part of its requests serves what they have no room
 * for, and fewer callers lose by it than by a refusal.
 */
constexpr double DoubtfulTokens = 1e9;
constexpr Duration DoubtfulTime = std::chrono::seconds(5);

/** Those that are @p isSound; all if they are too few. */
template <typename IsSound>
std::vector<const AnnouncedServer *> mostOf(const std::vector<const AnnouncedServer *> &all,
                                            const IsSound &isSound)
{
    std::vector<const AnnouncedServer *> sound;
    std::ranges::copy_if(all, std::back_inserter(sound), isSound);
    return sound.size() * LeastSoundPart < all.size() ? all : sound;
}

} // namespace

EngineChoice::EngineChoice(const EngineLedger &ledger, const ServerDirectory &servers,
                           const Service &service, const ServicePace &pace, TimePoint now,
                           Limit limit)
    : m_ledger(ledger)
    , m_pace(pace)
    , m_now(now)
    , m_memory(service.engine ? static_cast<double>(service.engine->memoryTokens) : 0)
{
    Phases engines;
    if (limit < servers.serverCount(service.name)) {
        engines = firstEngines(servers, service, limit);
    }
    // Where none is usable, there may be last resorts.
    if (engines.decode.empty() || engines.prefill.empty()) {
        engines = allEngines(servers, service);
    }
    for (const auto *server : usableDecode(engines.decode)) {
        MemoryOutlook memory = ledger.memoryOutlook(server->name, pace.decode, now);
        const double peak = memory.peak();
        m_decode.push_back({server, std::move(memory), peak, false});
    }
    m_prefill = usablePrefill(engines.prefill);
}

EngineChoice::Phases EngineChoice::allEngines(const ServerDirectory &servers,
                                              const Service &service)
{
    Phases engines;
    for (const EnginePhase announced : {EnginePhase::Prefill, EnginePhase::Decode}) {
        for (const auto *server : servers.candidates(service.name, announced, m_now)) {
            const bool isDecode = m_ledger.phaseOf(*server, m_now) == EnginePhase::Decode;
            (isDecode ? engines.decode : engines.prefill).push_back(server);
        }
    }
    m_isLimited = false;
    m_looked += engines.decode.size() + engines.prefill.size();
    return engines;
}

EngineChoice::Phases EngineChoice::firstEngines(const ServerDirectory &servers,
                                                const Service &service, Limit limit)
{
    Phases engines;
    for (const DomainName &domain : servers.domainsOf(service.name)) {
        std::size_t decode = 0;
        std::size_t prefill = 0;
        servers.visitUsable(service.name, domain, m_now, [&](const AnnouncedServer &server) {
            if (decode >= limit && prefill >= limit) {
                m_isLimited = true;
                return false;
            }
            ++m_looked;
            if (server.phase == EnginePhase::None) {
                return true;
            }
            const bool isDecode = m_ledger.phaseOf(server, m_now) == EnginePhase::Decode;
            std::size_t &taken = isDecode ? decode : prefill;
            if (taken >= limit) {
                m_isLimited = true;
            } else if (!m_ledger.isOut(server, m_now)) {
                ++taken;
                (isDecode ? engines.decode : engines.prefill).push_back(&server);
            }
            return true;
        });
    }
    return engines;
}

EngineChoice::DecodeRoom *EngineChoice::chooseDecode(const Claim &claim)
{
    return emptiest(claim, [](const DecodeRoom &) { return true; });
}

EngineChoice::DecodeRoom *EngineChoice::chooseWholeRead(const Claim &claim)
{
    return emptiest(claim, [this](const DecodeRoom &room) {
        return m_ledger.mayReadWhole(room.server->name, m_now);
    });
}

template <typename IsUsable>
EngineChoice::DecodeRoom *EngineChoice::emptiest(const Claim &claim, const IsUsable &isUsable)
{
    DecodeRoom *best = nullptr;
    double bestScore = 0;
    for (DecodeRoom &room : m_decode) {
        if (room.isKept || !isUsable(room)
            || MemoryForecast::peakWith(room.memory, claim.memory, m_pace.decode) > m_memory
            || std::ranges::find(claim.without, room.server->name) != claim.without.end()) {
            continue;
        }
        const double score = room.peak
            + (room.server->domain == claim.domain ? 0 : OtherDomainTokens)
            + (m_ledger.isDoubtful(room.server->name, m_now) ? DoubtfulTokens : 0);
        if (!best || score < bestScore) {
            best = &room;
            bestScore = score;
        }
    }
    return best;
}

void EngineChoice::fill(DecodeRoom &room, const MemoryNeed &need) const
{
    MemoryForecast::addTo(room.memory, need, m_pace.decode);
    room.peak = room.memory.peak();
}

void EngineChoice::keepRoom()
{
    if (m_kept >= m_decode.size() / KeptPart) {
        return;
    }
    DecodeRoom *emptiest = nullptr;
    for (DecodeRoom &room : m_decode) {
        if (!room.isKept && (!emptiest || room.peak < emptiest->peak)) {
            emptiest = &room;
        }
    }
    if (emptiest) {
        emptiest->isKept = true;
        ++m_kept;
    }
}

double EngineChoice::freeFor(const MemoryNeed &need) const
{
    double free = 0;
    for (const DecodeRoom &room : m_decode) {
        const bool fits = MemoryForecast::peakWith(room.memory, need, m_pace.decode) <= m_memory;
        free += fits ? m_memory - room.peak : 0;
    }
    return free;
}

const AnnouncedServer *EngineChoice::choosePrefill(const Claim &claim,
                                                   const AnnouncedServer &decode) const
{
    const AnnouncedServer *best = nullptr;
    Duration bestTime {};
    for (const AnnouncedServer *server : m_prefill) {
        if (m_ledger.prefillWait(server->name, m_now) > MostPrefillWait
            || std::ranges::find(claim.without, server->name) != claim.without.end()) {
            continue;
        }
        const Duration time =
            m_ledger.prefillTime(server->name, claim.promptTokens, m_pace.prefill, m_now)
            + detour(*server, decode);
        if (!best || time < bestTime) {
            best = server;
            bestTime = time;
        }
    }
    return best;
}

Duration EngineChoice::detour(const AnnouncedServer &prefill, const AnnouncedServer &decode) const
{
    Duration time = prefill.domain == decode.domain ? Duration(0) : OtherDomainTime;
    if (m_ledger.handovers().haveLost(prefill.name, decode.name, m_now)) {
        time += LostBeforeTime;
    }
    if (m_ledger.isDoubtful(prefill.name, m_now)) {
        time += DoubtfulTime;
    }
    if (m_pace.prefill.wantsNext() && m_ledger.wouldFollow(prefill.name, m_now)) {
        // Until it is known what prompts take of an engine, some are sent after others: each is
        // read a little later, and without it the split into phases would go by guesses.
        time -= MostPrefillWait + OtherDomainTime;
    }
    return time;
}

Duration EngineChoice::leastPrefillWait() const
{
    Duration least = m_prefill.empty() ? Duration(0) : Duration::max();
    for (const AnnouncedServer *server : m_prefill) {
        least = std::min(least, m_ledger.prefillWait(server->name, m_now));
    }
    return least;
}

Duration EngineChoice::leastPrefillTime(std::uint32_t tokens) const
{
    Duration least = m_prefill.empty() ? Duration(0) : Duration::max();
    for (const AnnouncedServer *server : m_prefill) {
        least = std::min(least, m_ledger.prefillTime(server->name, tokens, m_pace.prefill, m_now));
    }
    return least;
}

EngineChoice::Engines EngineChoice::usableDecode(const Engines &all) const
{
    return mostOf(presentOf(all), [this](const AnnouncedServer *server) {
        return !m_ledger.handovers().isBadTarget(server->name, m_now);
    });
}

EngineChoice::Engines EngineChoice::usablePrefill(const Engines &all) const
{
    const Engines present = presentOf(all);
    // Where none can be reached, it is the asking node's link: then all of them are usable.
    return mostOf(present.empty() ? all : present, [this](const AnnouncedServer *server) {
        return !m_ledger.handovers().isBadSource(server->name, m_now);
    });
}

EngineChoice::Engines EngineChoice::presentOf(const Engines &all) const
{
    Engines present = all;
    std::erase_if(present,
                  [this](const AnnouncedServer *server) { return m_ledger.isOut(*server, m_now); });
    return present;
}

} // namespace indigoway::scheduling
