#pragma once

#include "fleet/serverdirectory.h"
#include "scheduling/backupselector.h"
#include "scheduling/enginetracker.h"
#include "scheduling/schedulermessages.h"
#include "scheduling/serviceestimators.h"

#include <cstddef>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace indigoway::scheduling {

/**
 * Selects engines of one service during one scheduling pass: the decode engine that has memory for
 * a claim, and the prefill engine that processes its prompt first.
 *
 * The cost of a pass depends on the engines that it examines. Of a large service it examines only
 * as many as the load requires, and the same ones in each pass, so that the cost of a claim doesn't
 * grow with the fleet.
 */
class EngineSelector
{
public:
    /** Decode engine that is available to claims. */
    struct DecodeCandidate
    {
        const AnnouncedServer *server = nullptr;
        MemoryProjection memory;
        double peak = 0; ///< Projected peak in tokens, without further runs.
        bool isReserved = false;
    };

    /** Maximum number of engines of each phase to examine in a failure domain. */
    using Limit = std::size_t;
    static constexpr Limit NoLimit = std::numeric_limits<Limit>::max();

    EngineSelector(const EngineTracker &tracker, const ServerDirectory &servers,
                   const Service &service, const ServiceEstimators &estimators, TimePoint now,
                   Limit limit = NoLimit);

    /** Returns whether some engines were not examined. */
    bool isLimited() const { return m_isLimited; }
    std::size_t examined() const { return m_examined; }

    /**
     * Returns the decode engine with the lowest memory peak that has memory for @p claim. One whose
     * version no prefill engine has, or none without a long queue, is the last choice.
     * @return Null if no engine has enough memory.
     */
    DecodeCandidate *chooseDecodeEngine(const Claim &claim);
    /**
     * Returns a decode engine that also processes the prompt of @p claim.
     * @return Null if no engine has enough memory or may prefill now.
     */
    DecodeCandidate *chooseLocalPrefillEngine(const Claim &claim);
    /** Adds a granted run to the projection of @p candidate. */
    void addRun(DecodeCandidate &candidate, const MemoryNeed &need) const;
    /** Returns the decode engines that may keep a copy of a run of @p claim on @p decode. */
    std::vector<BackupSelector::Engine> backupEngines(const Claim &claim,
                                                      const AnnouncedServer &decode) const;
    /** Adds a copy to the projection of @p server. */
    void addCopy(const ServerName &server, const MemoryNeed &need);
    /**
     * Reserves the engine with the lowest memory peak that may serve @p claim, which has waited
     * long. Other claims no longer get it in this pass.
     */
    void reserveEngine(const Claim &claim);
    /** Returns the total memory of the decode engines in tokens. */
    double memory() const { return m_memory * static_cast<double>(m_decode.size()); }
    /** Returns the free tokens on the decode engines that have memory for a run of @p need. */
    double freeMemoryFor(const MemoryNeed &need) const;

    bool hasPrefillEngines() const { return !m_prefill.empty(); }
    bool hasPrefillEngine(const std::string &version) const;
    /** Returns whether a prefill engine of any version takes the prompt of @p claim now. */
    bool isPrefillAvailable(const Claim &claim) const;
    /**
     * Returns the prefill engine for a run on @p decode. KV caches of one software version cannot
     * be used by another one.
     * @return Null if there is none of that version, or the prompt would wait too long at each.
     */
    const AnnouncedServer *choosePrefillEngine(const Claim &claim,
                                               const AnnouncedServer &decode) const;
    /** Returns the shortest queueing delay of the prefill engines, or 0 if there are none. */
    Duration shortestPrefillWait() const;
    /**
     * Returns the shortest time to process a prompt of @p tokens that is sent now, including the
     * queueing delay, or 0 if there are no prefill engines.
     */
    Duration shortestPrefillTime(std::uint32_t tokens) const;
    std::size_t prefillEngines() const { return m_prefill.size(); }
    std::size_t decodeEngines() const { return m_decode.size(); }

private:
    using Engines = std::vector<const AnnouncedServer *>;

    bool mayPrefill(const AnnouncedServer &prefill, const Claim &claim) const;
    /** Returns the versions of the decode engines whose prompts a prefill engine takes now. */
    std::set<std::string> versionsWithPrefill(const Claim &claim) const;
    /**
     * Returns the candidate with the lowest memory peak for which @p isUsable holds, or null if
     * none has enough memory.
     */
    template <typename IsUsable>
    DecodeCandidate *leastLoaded(const Claim &claim, const IsUsable &isUsable);
    struct EnginesByPhase
    {
        Engines decode;
        Engines prefill;
    };

    EnginesByPhase allEngines(const ServerDirectory &servers, const Service &service);
    EnginesByPhase limitedEngines(const ServerDirectory &servers, const Service &service,
                                  Limit limit);
    /**
     * Returns the time that is added to the pair's prefill time to rank it. A negative time prefers
     * the pair.
     */
    Duration pairingPenalty(const AnnouncedServer &prefill, const AnnouncedServer &decode) const;
    Engines usableDecodeEngines(const Engines &all) const;
    Engines usablePrefillEngines(const Engines &all) const;
    /** Returns the engines that accept work now. */
    Engines availableEngines(const Engines &all) const;

    const EngineTracker &m_tracker;
    const ServiceEstimators &m_estimators;
    TimePoint m_now;
    double m_memory = 0; ///< Memory of one engine in tokens.
    std::vector<DecodeCandidate> m_decode;
    Engines m_prefill;
    bool m_hasSeveralVersions = false;
    bool m_isLimited = false;
    std::size_t m_examined = 0;
    std::size_t m_reservedEngines = 0;
};

} // namespace indigoway::scheduling
