#include "localplacement.h"

#include "core/turn.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Weight of a new sample in the moving average of the service time. */
constexpr double LatencySmoothing = 0.15;
constexpr Duration FailureBackoff = std::chrono::seconds(1);

} // namespace

LocalPlacement::LocalPlacement(LocalPolicy policy)
{
    static const std::map<LocalPolicy, Chooser> Choosers {
        {LocalPolicy::RoundRobin, &LocalPlacement::roundRobin},
        {LocalPolicy::LeastOutstanding, &LocalPlacement::leastOutstanding},
        {LocalPolicy::EwmaLatency, &LocalPlacement::ewmaLatency},
        {LocalPolicy::PowerOfTwo, &LocalPlacement::powerOfTwo},
    };
    m_chooser = Choosers.at(policy);
}

std::optional<ServerName>
LocalPlacement::choose(Turn &turn, const std::vector<ServerName> &candidates, std::uint32_t quota)
{
    std::vector<ServerName> eligible;
    for (const ServerName &server : candidates) {
        const bool isFull = quota > 0 && ownRequests(server) >= quota;
        if (!isFull && !isBackingOff(turn.now, server)) {
            eligible.push_back(server);
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    return (this->*m_chooser)(turn, eligible);
}

void LocalPlacement::recordStart(const ServerName &server)
{
    ++m_loads[server].ownRequests;
}

void LocalPlacement::recordEnd(TimePoint now, const ServerName &server, Duration elapsed, bool isOk)
{
    Load &load = m_loads[server];
    load.ownRequests -= std::min<std::uint32_t>(load.ownRequests, 1);
    if (!isOk) {
        load.backoffUntil = now + FailureBackoff;
        return;
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    load.serviceSeconds = load.serviceSeconds == 0
        ? seconds
        : load.serviceSeconds + LatencySmoothing * (seconds - load.serviceSeconds);
}

void LocalPlacement::applyReport(const ReportArrived &report)
{
    if (!report.isOk) {
        return;
    }
    Load &load = m_loads[report.server];
    load.reportedRequests = report.running + report.waiting;
    load.ownAtReport = load.ownRequests;
}

std::uint32_t LocalPlacement::ownRequests(const ServerName &server) const
{
    const auto it = m_loads.find(server);
    return it == m_loads.end() ? 0 : it->second.ownRequests;
}

bool LocalPlacement::isBackingOff(TimePoint now, const ServerName &server) const
{
    const auto it = m_loads.find(server);
    return it != m_loads.end() && now < it->second.backoffUntil;
}

std::uint32_t LocalPlacement::outstanding(const ServerName &server) const
{
    const auto it = m_loads.find(server);
    if (it == m_loads.end()) {
        return 0;
    }
    // Adds the requests that this node has sent since the report.
    const Load &load = it->second;
    const std::uint32_t sinceReport =
        load.ownRequests > load.ownAtReport ? load.ownRequests - load.ownAtReport : 0;
    return std::max(load.ownRequests, load.reportedRequests + sinceReport);
}

ServerName LocalPlacement::roundRobin(Turn & /*turn*/, const std::vector<ServerName> &candidates)
{
    return candidates[m_nextIndex++ % candidates.size()];
}

ServerName LocalPlacement::leastOutstanding(Turn & /*turn*/,
                                            const std::vector<ServerName> &candidates)
{
    return *std::min_element(candidates.begin(), candidates.end(),
                             [this](const ServerName &a, const ServerName &b) {
                                 return outstanding(a) < outstanding(b);
                             });
}

ServerName LocalPlacement::ewmaLatency(Turn & /*turn*/, const std::vector<ServerName> &candidates)
{
    const auto cost = [this](const ServerName &server) {
        const auto it = m_loads.find(server);
        const double seconds = it == m_loads.end() ? 0 : it->second.serviceSeconds;
        return (outstanding(server) + 1) * seconds;
    };
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [&](const ServerName &a, const ServerName &b) { return cost(a) < cost(b); });
}

ServerName LocalPlacement::powerOfTwo(Turn &turn, const std::vector<ServerName> &candidates)
{
    const ServerName &first = candidates[turn.below(candidates.size())];
    const ServerName &second = candidates[turn.below(candidates.size())];
    return outstanding(second) < outstanding(first) ? second : first;
}

} // namespace indigoway
