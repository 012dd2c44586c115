#pragma once

#include "core/deadlines.h"
#include "placement/cellscheduler.h"

#include <indigoway/events.h>

#include <map>
#include <optional>
#include <vector>

namespace indigoway {

/**
 * The cells that this node looks after. Which ones they are follows from the member view alone;
 * nothing is agreed on, see CellScheduler for why that is enough.
 */
class Scheduler
{
public:
    /** Takes up and hands over cells after a change of members or configuration. */
    void reassign(Turn &turn);

    void handleClaim(Turn &turn, PeerRequestNumber number, const ClaimCapacity &claim);
    void handlePrefillEnded(Turn &turn, PeerRequestNumber number, const PrefillEnded &ended);
    void handleRelease(Turn &turn, PeerRequestNumber number, const ReleaseClaim &release);
    void handleAdopt(Turn &turn, PeerRequestNumber number, const AdoptClaim &adopt);
    void handleReport(Turn &turn, const ReportArrived &report);
    void handleCacheEvents(Turn &turn, const CacheEventsArrived &events);
    /** Returns whether the call was one of this subsystem's. */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const;

    /** Cells looked after now. */
    std::vector<Cell> cells() const;
    /** Backend servers whose reports this node fetches. */
    std::vector<ServerName> servers(const CellMap &map) const;
    std::vector<GrantView> grants(TimePoint now) const;
    std::size_t waiting() const;

private:
    enum class Timer {
        Reports,
        ClaimCheck,
    };
    struct ClaimCheck
    {
        Cell cell;
        std::vector<std::pair<ClaimNumber, EngineRequestName>> claims;
    };

    CellScheduler *cellWith(ClaimNumber claim);
    CellScheduler *cellOfServer(const Turn &turn, const ServerName &server);
    void fetchReports(Turn &turn);
    void checkClaims(Turn &turn);

    std::map<Cell, CellScheduler> m_cells;
    /** Handed over, but with claims not yet released. */
    std::map<Cell, CellScheduler> m_former;
    std::map<PeerCallNumber, ClaimCheck> m_checks;
    Deadlines<Timer> m_timers;
    std::uint64_t m_reportRounds = 0;
};

} // namespace indigoway
