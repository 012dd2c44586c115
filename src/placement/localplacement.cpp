#include "localplacement.h"

#include "core/turn.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Alpha of the paper's latency-aware policy (section 03). */
constexpr double Smoothing = 0.15;
constexpr Duration RestAfterFailure = std::chrono::seconds(1);

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
    std::vector<ServerName> fit;
    for (const ServerName &server : candidates) {
        const bool isFull = quota > 0 && own(server) >= quota;
        if (!isFull && !isResting(turn.now, server)) {
            fit.push_back(server);
        }
    }
    if (fit.empty()) {
        return std::nullopt;
    }
    return (this->*m_chooser)(turn, fit);
}

void LocalPlacement::started(const ServerName &server)
{
    ++m_loads[server].own;
}

void LocalPlacement::ended(TimePoint now, const ServerName &server, Duration elapsed, bool isOk)
{
    Load &load = m_loads[server];
    load.own -= std::min<std::uint32_t>(load.own, 1);
    if (!isOk) {
        load.restsUntil = now + RestAfterFailure;
        return;
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    load.serviceSeconds = load.serviceSeconds == 0
        ? seconds
        : load.serviceSeconds + Smoothing * (seconds - load.serviceSeconds);
}

void LocalPlacement::report(const ReportArrived &report)
{
    if (!report.isOk) {
        return;
    }
    Load &load = m_loads[report.server];
    load.reported = report.running + report.waiting;
    load.ownAtReport = load.own;
}

std::uint32_t LocalPlacement::own(const ServerName &server) const
{
    const auto it = m_loads.find(server);
    return it == m_loads.end() ? 0 : it->second.own;
}

bool LocalPlacement::isResting(TimePoint now, const ServerName &server) const
{
    const auto it = m_loads.find(server);
    return it != m_loads.end() && now < it->second.restsUntil;
}

std::uint32_t LocalPlacement::outstanding(const ServerName &server) const
{
    const auto it = m_loads.find(server);
    if (it == m_loads.end()) {
        return 0;
    }
    // The report, corrected for what this node sent since: the report lags.
    const Load &load = it->second;
    const std::uint32_t sinceReport = load.own > load.ownAtReport ? load.own - load.ownAtReport : 0;
    return std::max(load.own, load.reported + sinceReport);
}

ServerName LocalPlacement::roundRobin(Turn & /*turn*/, const std::vector<ServerName> &candidates)
{
    return candidates[m_cursor++ % candidates.size()];
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
