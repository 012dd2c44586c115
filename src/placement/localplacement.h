#pragma once

#include <indigoway/deployment.h>
#include <indigoway/events.h>
#include <indigoway/ids.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

class Turn;

/** How a node that decides alone chooses among a pool's servers. */
enum class LocalPolicy {
    RoundRobin,
    LeastOutstanding, ///< Least of own requests and the latest report.
    EwmaLatency,      ///< Least of (outstanding + 1) times the smoothed service time.
    PowerOfTwo,       ///< The less loaded of two drawn at random (Mitzenmacher, 2001).
};

/**
 * Placement by what one node knows itself. It serves while a cell's scheduler cannot be reached,
 * and as the baselines of the measurements.
 */
class LocalPlacement
{
public:
    explicit LocalPlacement(LocalPolicy policy = LocalPolicy::PowerOfTwo);

    /**
     * Chooses among @p candidates; nothing if there is none. With @p quota above zero, servers
     * on which this node already has that many requests are left out.
     */
    std::optional<ServerName> choose(Turn &turn, const std::vector<ServerName> &candidates,
                                     std::uint32_t quota);
    void started(const ServerName &server);
    void ended(TimePoint now, const ServerName &server, Duration elapsed, bool isOk);
    void report(const ReportArrived &report);
    std::uint32_t own(const ServerName &server) const;
    /** Whether @p server failed a moment ago. */
    bool isResting(TimePoint now, const ServerName &server) const;

private:
    struct Load
    {
        std::uint32_t own = 0;
        std::uint32_t reported = 0;
        std::uint32_t ownAtReport = 0;
        double serviceSeconds = 0;
        TimePoint restsUntil {};
    };
    using Chooser = ServerName (LocalPlacement::*)(Turn &, const std::vector<ServerName> &);

    std::uint32_t outstanding(const ServerName &server) const;
    ServerName roundRobin(Turn &turn, const std::vector<ServerName> &candidates);
    ServerName leastOutstanding(Turn &turn, const std::vector<ServerName> &candidates);
    ServerName ewmaLatency(Turn &turn, const std::vector<ServerName> &candidates);
    ServerName powerOfTwo(Turn &turn, const std::vector<ServerName> &candidates);

    Chooser m_chooser;
    std::map<ServerName, Load> m_loads;
    std::uint64_t m_cursor = 0;
};

} // namespace indigoway
