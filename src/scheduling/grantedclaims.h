#pragma once

#include "scheduling/claimkey.h"
#include "scheduling/enginetracker.h"
#include "scheduling/schedulermessages.h"

#include <functional>
#include <map>
#include <optional>

namespace indigoway::scheduling {

/** A claim whose request runs or is about to. */
struct GrantedClaim
{
    ServiceName service;
    OrganisationName organisation; ///< Empty if none or unknown.
    RunNumber run;
    MemoryNeed memory;
    ServerName decodeServer;
    /** Engine with a copy of the run; empty if there is none. */
    ServerName backupServer;
    /** Whether the copy counts in the memory of backupServer. */
    bool isCopyCounted = false;
    bool hasMoved = false;   ///< Whether the run continues on its backup.
    double tokenSeconds = 0; ///< Memory-time charged to the organisation; 0 if none.
    TimePoint since {};
    std::optional<TimePoint> decodeStart;
    TimePoint deadline {};
    std::optional<PrefillAssignment> prefill; ///< Set while the prompt is being processed.
    ClaimGranted reply;                       ///< Repeated if the claim is sent again.
};

/** Keeps the granted claims and counts their runs and copies in the memory of the engines. */
class GrantedClaims
{
public:
    /** Adds a claim; its run, and its copy if it has one, count from now on. */
    GrantedClaim &add(const ClaimKey &key, GrantedClaim granted, EngineTracker &tracker,
                      TimePoint now);
    /** Returns null if the claim is not granted. */
    GrantedClaim *find(const ClaimKey &key);
    bool contains(const ClaimKey &key) const { return m_claims.contains(key); }
    /** Names @p server as the backup of a claim; the copy counts there from now on. */
    void addBackup(GrantedClaim &granted, const ServerName &server, EngineTracker &tracker,
                   TimePoint now);
    /** Records that the prompt has been processed. */
    static void beginDecode(GrantedClaim &granted, EngineTracker &tracker, TimePoint now);
    /**
     * Counts the run at its backup, and no longer at its first engine.
     * @return False if the claim has no backup.
     */
    bool moveToBackup(GrantedClaim &granted, EngineTracker &tracker, TimePoint now);
    void remove(const ClaimKey &key, EngineTracker &tracker, TimePoint now);
    /** Removes the claims of other incarnations of node @p owner. */
    void removeOtherIncarnations(const NodeLife &owner, EngineTracker &tracker, TimePoint now);
    /** Removes the claims whose requests must have ended. */
    void removeExpired(EngineTracker &tracker, TimePoint now);
    /** Stops counting the copies on engines for which @p isLost holds. */
    void removeCopies(const std::function<bool(const ServerName &)> &isLost,
                      EngineTracker &tracker);

    std::size_t size() const { return m_claims.size(); }
    bool empty() const { return m_claims.empty(); }
    std::size_t copies() const { return m_copies; }
    /** Returns the memory of all copies with their full output, in tokens. */
    std::uint64_t copyTokens() const { return m_copyTokens; }

private:
    using Claims = std::map<ClaimKey, GrantedClaim>;

    template <typename Predicate>
    void removeIf(const Predicate &predicate, EngineTracker &tracker, TimePoint now);
    void countCopy(GrantedClaim &granted, EngineTracker &tracker, TimePoint now);
    void dropCopy(GrantedClaim &granted, EngineTracker &tracker);
    void release(GrantedClaim &granted, EngineTracker &tracker, TimePoint now);

    Claims m_claims;
    std::size_t m_copies = 0;
    std::uint64_t m_copyTokens = 0;
};

} // namespace indigoway::scheduling
