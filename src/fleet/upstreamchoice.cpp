#include "upstreamchoice.h"

#include <algorithm>
#include <tuple>

namespace indigoway {

namespace {

/** A node that failed as an upstream is left for so long; a killed one is back after seconds. */
constexpr Duration AvoidPeerFor = std::chrono::milliseconds(2000);
/** A store that did not answer is tried again after this; meanwhile other nodes are asked. */
constexpr Duration ProbeStoreEvery = std::chrono::milliseconds(1500);
/**
 * By a node that does not watch for its domain. It hears from a watcher that the store is back;
 * this is for one that reaches none. Each call is paid for, and hundreds of nodes ask in vain.
 */
constexpr Duration ProbeStoreAtLeastEvery = std::chrono::milliseconds(4000);
constexpr std::uint32_t MostDoublings = 2;

/** A watcher tells its whole domain: the VM with most processor time, and so the widest link. */
std::tuple<double, const NodeName &> rankOf(const NodeEntry &node)
{
    return {-node.processors, node.name};
}

} // namespace

UpstreamChoice::UpstreamChoice(NodeName self, DomainName domain)
    : m_self(std::move(self))
    , m_domain(std::move(domain))
{ }

Upstream UpstreamChoice::choose(TimePoint now, const std::vector<NodeEntry> &members,
                                const std::vector<std::string> &seeds, bool needsAll)
{
    const auto watching = watchers(members);
    const bool isOneself = watching.empty() || watching.front().name == m_self;
    const bool mayTryStore =
        m_storeFailures == 0 || now >= m_storeTriedAt + probeEvery(isOneself || needsAll);
    if (needsAll && mayTryStore) {
        m_storeTriedAt = now;
        return {std::nullopt, m_storeFailures > 0};
    }
    if (!isOneself && !isAvoided(watching.front().control, now)) {
        return {watching.front().control, false};
    }
    // A watcher that fails may be turned away by the store, and the other domains' as well; this
    // node may not be. So the store comes next, and only then what other nodes know.
    if (!mayTryStore) {
        if (const auto peer = anyPeer(now, members, seeds)) {
            return *peer;
        }
    }
    m_storeTriedAt = now;
    return {std::nullopt, m_storeFailures > 0};
}

bool UpstreamChoice::isWatcher(const std::vector<NodeEntry> &members) const
{
    const auto watching = watchers(members);
    return !watching.empty() && watching.front().name == m_self;
}

void UpstreamChoice::succeeded(const Upstream &upstream)
{
    if (!upstream.peer) {
        m_storeFailures = 0;
    }
}

void UpstreamChoice::failed(TimePoint now, const Upstream &upstream)
{
    if (upstream.peer) {
        m_avoidedUntil[*upstream.peer] = now + AvoidPeerFor;
    } else {
        ++m_storeFailures;
    }
}

std::vector<NodeEntry> UpstreamChoice::watchers(const std::vector<NodeEntry> &members) const
{
    std::map<DomainName, NodeEntry> first;
    for (const NodeEntry &member : members) {
        const auto [it, isNew] = first.try_emplace(member.domain, member);
        if (!isNew && rankOf(member) < rankOf(it->second)) {
            it->second = member;
        }
    }
    std::vector<NodeEntry> list;
    list.reserve(first.size());
    for (const auto &[domain, member] : first) {
        list.push_back(member);
    }
    std::stable_partition(list.begin(), list.end(),
                          [this](const NodeEntry &member) { return member.domain == m_domain; });
    // Without a member of its own domain, itself included, nothing is known yet.
    if (!list.empty() && list.front().domain != m_domain) {
        return {};
    }
    return list;
}

Duration UpstreamChoice::probeEvery(bool isWatching) const
{
    const std::uint32_t doublings = std::min(m_storeFailures - 1, MostDoublings);
    return isWatching ? ProbeStoreEvery
                      : std::min(ProbeStoreEvery * (1 << doublings), ProbeStoreAtLeastEvery);
}

bool UpstreamChoice::isAvoided(const std::string &address, TimePoint now) const
{
    const auto it = m_avoidedUntil.find(address);
    return it != m_avoidedUntil.end() && now < it->second;
}

std::optional<Upstream> UpstreamChoice::anyPeer(TimePoint now,
                                                const std::vector<NodeEntry> &members,
                                                const std::vector<std::string> &seeds)
{
    std::vector<std::string> addresses;
    for (const NodeEntry &member : members) {
        if (member.name != m_self && !isAvoided(member.control, now)) {
            addresses.push_back(member.control);
        }
    }
    for (const std::string &seed : seeds) {
        if (!isAvoided(seed, now)) {
            addresses.push_back(seed);
        }
    }
    if (addresses.empty()) {
        return std::nullopt;
    }
    return Upstream {addresses[++m_turn % addresses.size()], false};
}

} // namespace indigoway
