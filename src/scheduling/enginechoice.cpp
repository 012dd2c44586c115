#include "enginechoice.h"

#include <algorithm>

namespace indigoway::scheduling {

namespace {

/** A prompt is not sent where it would wait longer: decode memory would lie reserved meanwhile. */
constexpr Duration MostPrefillWait = std::chrono::milliseconds(100);
/** Moving a KV cache to another failure domain takes longer, and its bytes cost more. */
constexpr Duration OtherDomainTime = std::chrono::milliseconds(25);
constexpr double OtherDomainTokens = 1500;
/** Of the engines; where room is kept on all of them, small claims wait for nothing. */
constexpr std::size_t KeptPart = 2;

} // namespace

EngineChoice::EngineChoice(const EngineLedger &ledger, const ServerDirectory &servers,
                           const Service &service, const ServicePace &pace, TimePoint now)
    : m_ledger(ledger)
    , m_pace(pace)
    , m_now(now)
    , m_memory(service.engine ? static_cast<double>(service.engine->memoryTokens) : 0)
{
    for (const auto *server : servers.candidates(service.name, EnginePhase::Decode, now)) {
        if (auto memory = ledger.memoryOutlook(server->name, pace.decode, now)) {
            const double peak = memory->peak();
            m_decode.push_back({server, std::move(*memory), peak, false});
        }
    }
    m_prefill = usablePrefill(servers.candidates(service.name, EnginePhase::Prefill, now));
}

EngineChoice::DecodeRoom *EngineChoice::chooseDecode(const Claim &claim)
{
    DecodeRoom *best = nullptr;
    double bestScore = 0;
    for (DecodeRoom &room : m_decode) {
        if (room.isKept
            || MemoryForecast::peakWith(room.memory, claim.memory, m_pace.decode) > m_memory
            || std::ranges::find(claim.without, room.server->name) != claim.without.end()) {
            continue;
        }
        const double score =
            room.peak + (room.server->domain == claim.domain ? 0 : OtherDomainTokens);
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
                                                   const DomainName &decodeDomain) const
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
            + (server->domain == decodeDomain ? Duration(0) : OtherDomainTime);
        if (!best || time < bestTime) {
            best = server;
            bestTime = time;
        }
    }
    return best;
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

/**
 * Where all have lost their KV caches it is likelier the decode engine that could not take them,
 * and where all have failed, the failing node's link: then all of them are usable.
 */
std::vector<const AnnouncedServer *>
EngineChoice::usablePrefill(const std::vector<const AnnouncedServer *> &all) const
{
    std::vector<const AnnouncedServer *> sound;
    std::vector<const AnnouncedServer *> reachable;
    for (const AnnouncedServer *server : all) {
        if (m_ledger.isAvoided(server->name, m_now)) {
            continue;
        }
        reachable.push_back(server);
        if (!m_ledger.hasLostHandles(server->name, m_now)) {
            sound.push_back(server);
        }
    }
    if (!sound.empty()) {
        return sound;
    }
    return reachable.empty() ? all : reachable;
}

} // namespace indigoway::scheduling
