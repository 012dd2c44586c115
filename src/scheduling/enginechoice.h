#pragma once

#include "fleet/serverdirectory.h"
#include "scheduling/engineledger.h"
#include "scheduling/schedulermessages.h"
#include "scheduling/servicepace.h"

#include <cstddef>
#include <limits>
#include <vector>

namespace indigoway::scheduling {

/**
 * The engines of one service at a moment, for one pass over the claims on them: which decode
 * engine has room for a claim, and which prefill engine reads its prompt next.
 *
 * A pass costs by the engines that it looks at. Of a large service only so many are looked at as
 * the work needs, the same ones from pass to pass, so that a claim costs no more in a larger
 * fleet.
 */
class EngineChoice
{
public:
    /** A decode engine that is not avoided. */
    struct DecodeRoom
    {
        const AnnouncedServer *server = nullptr;
        MemoryOutlook memory;
        double peak = 0; ///< Of memory, if nothing is added.
        bool isKept = false;
    };

    /** Engines of each phase that are looked at in a failure domain, at the most. */
    using Limit = std::size_t;
    static constexpr Limit All = std::numeric_limits<Limit>::max();

    EngineChoice(const EngineLedger &ledger, const ServerDirectory &servers, const Service &service,
                 const ServicePace &pace, TimePoint now, Limit limit = All);

    /** Whether there are engines that were not looked at. */
    bool isLimited() const { return m_isLimited; }
    std::size_t looked() const { return m_looked; }

    /** Null if none has room. */
    DecodeRoom *chooseDecode(const Claim &claim);
    /** As above, to read the prompt as well. */
    DecodeRoom *chooseWholeRead(const Claim &claim);
    /** Counts a run in that was granted @p room. */
    void fill(DecodeRoom &room, const MemoryNeed &need) const;
    /** Keeps the engine that will have room for a large claim first from the other claims. */
    void keepRoom();
    /** All decode engines' memory. */
    double memory() const { return m_memory * static_cast<double>(m_decode.size()); }
    /** What of it is free where a run of @p need would fit; other room is none for it. */
    double freeFor(const MemoryNeed &need) const;

    bool hasPrefill() const { return !m_prefill.empty(); }
    /** For a run on @p decode; null if a prompt would wait too long at each. */
    const AnnouncedServer *choosePrefill(const Claim &claim, const AnnouncedServer &decode) const;
    /** At the prefill engine with the shortest line; 0 if there is none. */
    Duration leastPrefillWait() const;
    /** Until a prompt that is sent now could be read; 0 if there is no prefill engine. */
    Duration leastPrefillTime(std::uint32_t tokens) const;
    std::size_t prefillEngines() const { return m_prefill.size(); }
    std::size_t decodeEngines() const { return m_decode.size(); }

private:
    using Engines = std::vector<const AnnouncedServer *>;

    /** Of those that @p isUsable; null if none has room. */
    template <typename IsUsable>
    DecodeRoom *emptiest(const Claim &claim, const IsUsable &isUsable);
    struct Phases
    {
        Engines decode;
        Engines prefill;
    };

    Phases allEngines(const ServerDirectory &servers, const Service &service);
    Phases firstEngines(const ServerDirectory &servers, const Service &service, Limit limit);
    /** Time that the pair is ranked behind others for; negative: before them. */
    Duration detour(const AnnouncedServer &prefill, const AnnouncedServer &decode) const;
    Engines usableDecode(const Engines &all) const;
    Engines usablePrefill(const Engines &all) const;
    /** Those that can take work at all. */
    Engines presentOf(const Engines &all) const;

    const EngineLedger &m_ledger;
    const ServicePace &m_pace;
    TimePoint m_now;
    double m_memory = 0; ///< Of one engine, in tokens.
    std::vector<DecodeRoom> m_decode;
    Engines m_prefill;
    bool m_isLimited = false;
    std::size_t m_looked = 0;
    std::size_t m_kept = 0; ///< Engines whose room collects for claims that wait for long.
};

} // namespace indigoway::scheduling
