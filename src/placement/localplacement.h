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

/** Selects the load-balancing policy of LocalPlacement. */
enum class LocalPolicy {
    RoundRobin,
    LeastOutstanding, ///< Fewest outstanding requests, by own count and latest report.
    EwmaLatency,      ///< Smallest (outstanding + 1) times smoothed service time.
    PowerOfTwo,       ///< Less loaded of two random choices (Mitzenmacher, 2001).
};

/**
 * Chooses servers by the node's own requests and load reports. Used while a cell's scheduler cannot
 * be reached, and as the baseline policies of the benchmarks.
 */
class LocalPlacement
{
public:
    explicit LocalPlacement(LocalPolicy policy = LocalPolicy::PowerOfTwo);

    /**
     * Chooses one of @p candidates, without those that are backing off.
     *
     * @param quota largest number of this node's requests per server; 0 means no limit
     * @return nothing if no candidate is left
     */
    std::optional<ServerName> choose(Turn &turn, const std::vector<ServerName> &candidates,
                                     std::uint32_t quota);
    void recordStart(const ServerName &server);
    void recordEnd(TimePoint now, const ServerName &server, Duration elapsed, bool isOk);
    void applyReport(const ReportArrived &report);
    std::uint32_t ownRequests(const ServerName &server) const;
    /** Returns whether @p server failed recently and gets no requests until its backoff ends. */
    bool isBackingOff(TimePoint now, const ServerName &server) const;

private:
    struct Load
    {
        std::uint32_t ownRequests = 0;
        std::uint32_t reportedRequests = 0;
        std::uint32_t ownAtReport = 0;
        double serviceSeconds = 0;
        TimePoint backoffUntil {};
    };
    using Chooser = ServerName (LocalPlacement::*)(Turn &, const std::vector<ServerName> &);

    std::uint32_t outstanding(const ServerName &server) const;
    ServerName roundRobin(Turn &turn, const std::vector<ServerName> &candidates);
    ServerName leastOutstanding(Turn &turn, const std::vector<ServerName> &candidates);
    ServerName ewmaLatency(Turn &turn, const std::vector<ServerName> &candidates);
    ServerName powerOfTwo(Turn &turn, const std::vector<ServerName> &candidates);

    Chooser m_chooser;
    std::map<ServerName, Load> m_loads;
    std::uint64_t m_nextIndex = 0;
};

} // namespace indigoway
