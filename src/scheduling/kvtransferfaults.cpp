#include "kvtransferfaults.h"

#include <algorithm>
#include <set>

namespace indigoway::scheduling {

namespace {

/**
 * Two engines failing with the same partner by chance are less likely than a fault of the partner.
 */
constexpr std::size_t PartnersToBlame = 2;
/**
 * Bounds the unattributed failures that are kept; a busy fleet with many faults has ten a second.
 */
constexpr std::size_t MaxFailures = 100;

} // namespace

void KvTransferFaults::recordFailure(const ServerName &prefill, const ServerName &decode,
                                     TimePoint now)
{
    removeExpired(now);
    if (isFaultyTarget(decode, now)) {
        m_faultyTargets[decode] = now + ExclusionTime;
        return;
    }
    if (isFaultySource(prefill, now)) {
        m_faultySources[prefill] = now + ExclusionTime;
        return;
    }
    m_failures.push_back({prefill, decode, now});
    const std::size_t sources = partnerCount(&Failure::decode, &Failure::prefill, decode);
    const std::size_t targets = partnerCount(&Failure::prefill, &Failure::decode, prefill);
    if (std::max(sources, targets) < PartnersToBlame) {
        return;
    }
    if (sources >= targets) {
        m_faultyTargets[decode] = now + ExclusionTime;
        std::erase_if(m_failures, [&](const Failure &failure) { return failure.decode == decode; });
    } else {
        m_faultySources[prefill] = now + ExclusionTime;
        std::erase_if(m_failures,
                      [&](const Failure &failure) { return failure.prefill == prefill; });
    }
}

bool KvTransferFaults::haveFailedTogether(const ServerName &prefill, const ServerName &decode,
                                          TimePoint now) const
{
    return std::ranges::any_of(m_failures, [&](const Failure &failure) {
        return failure.prefill == prefill && failure.decode == decode
            && now <= failure.at + ExclusionTime;
    });
}

bool KvTransferFaults::hasUnattributedFailure(const ServerName &prefill, TimePoint now) const
{
    return std::ranges::any_of(m_failures, [&](const Failure &failure) {
        return failure.prefill == prefill && now <= failure.at + ExclusionTime;
    });
}

bool KvTransferFaults::isExcluded(const Exclusions &engines, const ServerName &engine,
                                  TimePoint now)
{
    const auto it = engines.find(engine);
    return it != engines.end() && now < it->second;
}

std::size_t KvTransferFaults::partnerCount(ServerName Failure::*side,
                                           ServerName Failure::*otherSide,
                                           const ServerName &engine) const
{
    std::set<ServerName> others;
    for (const Failure &failure : m_failures) {
        if (failure.*side == engine) {
            others.insert(failure.*otherSide);
        }
    }
    return others.size();
}

void KvTransferFaults::removeExpired(TimePoint now)
{
    while (!m_failures.empty()
           && (now > m_failures.front().at + ExclusionTime || m_failures.size() > MaxFailures)) {
        m_failures.pop_front();
    }
    const auto isExpired = [now](const auto &one) {
        return now >= one.second;
    };
    std::erase_if(m_faultySources, isExpired);
    std::erase_if(m_faultyTargets, isExpired);
}

} // namespace indigoway::scheduling
