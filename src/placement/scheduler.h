#pragma once

#include "core/deadlines.h"
#include "placement/cellscheduler.h"

#include <indigoway/events.h>

#include <map>
#include <optional>
#include <vector>

namespace indigoway {

/**
 * Keeps the cells that this node schedules. The assignment follows from the local member view
 * without agreement between nodes; CellScheduler tolerates two schedulers for a cell.
 */
class Scheduler
{
public:
    /** Starts and stops scheduling cells after a change of members or configuration. */
    void reassign(Turn &turn);

    void handleClaim(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim);
    void handlePrefillEnded(Turn &turn, PeerRequestNumber number, const PrefillEnded &ended);
    void handleRelease(Turn &turn, PeerRequestNumber number, const ReleaseClaim &release);
    void handleAdopt(Turn &turn, PeerRequestNumber number, const AdoptClaim &adopt);
    void handleReport(Turn &turn, const ReportArrived &report);
    void handleCacheEvents(Turn &turn, const CacheEventsArrived &events);
    /** Handles the answer to a claim check. @return whether @p call was made by this class */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const;

    /** Returns the cells that this node schedules. */
    std::vector<Cell> cells() const;
    /** Returns the backend servers whose reports this node fetches. */
    std::vector<ServerName> servers(const CellMap &map) const;
    std::vector<GrantView> grants(TimePoint now) const;
    std::size_t waitingClaims() const;

private:
    enum class Timer {
        FetchReports,
        CheckClaims,
    };
    struct ClaimCheck
    {
        Cell cell;
        std::vector<std::pair<ClaimNumber, EngineRequestName>> claims;
    };

    CellScheduler *cellOfClaim(ClaimNumber claim);
    CellScheduler *cellOfServer(const Turn &turn, const ServerName &server);
    void fetchReports(Turn &turn);
    void checkClaims(Turn &turn);

    std::map<Cell, CellScheduler> m_cells;
    /** Cells that another node now schedules, kept until their claims are released here. */
    std::map<Cell, CellScheduler> m_handedOver;
    std::map<PeerCallNumber, ClaimCheck> m_checks;
    Deadlines<Timer> m_timers;
    std::uint64_t m_reportRounds = 0;
};

} // namespace indigoway
