#include "upstreamselector.h"

#include "core/turnrandom.h"

#include <algorithm>

namespace indigoway {

namespace {

/**
 * The initial time for which a failed peer is not used, doubled after each consecutive failure. A
 * restarted process is back after seconds; the entry of a lost one remains until its lease expires.
 */
constexpr Duration FirstPeerBackoff = std::chrono::milliseconds(2000);
constexpr std::uint32_t MaxPeerBackoffDoublings = 3;
/** Failures older than this are forgotten, since a replaced VM may have the same address. */
constexpr Duration FailureRetention = std::chrono::seconds(60);
/** The retry interval of a store that did not answer; meanwhile peers are used. */
constexpr Duration StoreRetryInterval = std::chrono::milliseconds(1500);
/**
 * The longest retry interval of a node that is not its domain's watcher. Such a node normally
 * learns from a watcher that the store has recovered; this limits the billed calls of those that
 * reach none.
 */
constexpr Duration MaxStoreRetryInterval = std::chrono::milliseconds(4000);
constexpr std::uint32_t MaxStoreRetryDoublings = 2;
/**
 * The watcher's first retry. A watch may break while the store is healthy, and the whole domain
 * waits for the watcher.
 */
constexpr Duration FirstWatcherRetryDelay = std::chrono::milliseconds(100);

/**
 * The number of nodes of a domain that follow the store if those ranked better do not answer. The
 * others ask it as SourceSearch allows, since a partition may let each node believe that it is the
 * only one left.
 */
constexpr std::size_t MaxDeputies = 3;

/** The time for which a peer that is too busy to send a snapshot is not asked again. */
constexpr Duration BusyPeerBackoff = std::chrono::milliseconds(300);
/**
 * The time to wait for a snapshot from a peer before listing the store. It is randomised, so that
 * not all nodes turn to the store at once: the first one then serves the others.
 */
constexpr Duration MinSnapshotTimeout = std::chrono::seconds(5);
constexpr Duration SnapshotTimeoutJitter = std::chrono::seconds(5);

} // namespace

UpstreamSelector::UpstreamSelector(NodeEntry self, std::uint64_t spread)
    : m_rank {self.cpuShare, std::move(self.name)}
    , m_domain(std::move(self.domain))
    , m_controlAddress(std::move(self.controlAddress))
    , m_roundRobinIndex(spread)
    , m_snapshotTimeout(MinSnapshotTimeout
                        + Duration(static_cast<Duration::rep>(
                            spread % static_cast<std::uint64_t>(SnapshotTimeoutJitter.count()))))
{ }

Upstream UpstreamSelector::choose(TimePoint now, const NodeDirectory &directory,
                                  const std::vector<std::string> &seeds)
{
    m_snapshotWantedSince.reset();
    if (m_adopted && (!m_adopted->peer || !isBackedOff(*m_adopted->peer, now))) {
        return *m_adopted;
    }
    if (const auto parent = parentNode(now, directory)) {
        return {*parent, false};
    }
    // If the watcher has failed, the store may be refusing all watchers but not this node, so the
    // store is tried before other peers.
    if (!isAmongFirst(directory) || !mayCallStore(now, isHighestRanked(directory))) {
        if (const auto peer = chooseAnyPeer(now, directory, seeds)) {
            return *peer;
        }
    }
    return chooseStore(now);
}

std::optional<Upstream> UpstreamSelector::chooseForSnapshot(TimePoint now,
                                                            const NodeDirectory &directory,
                                                            const std::vector<std::string> &seeds,
                                                            bool isSeed)
{
    if (!m_snapshotWantedSince) {
        m_snapshotWantedSince = now;
    }
    const bool mayWaitForPeer = !isSeed && now < *m_snapshotWantedSince + m_snapshotTimeout;
    if (mayWaitForPeer || !mayCallStore(now, true)) {
        while (!m_referrals.empty()) {
            const std::string address = std::move(m_referrals.front());
            m_referrals.pop_front();
            if (!isBackedOff(address, now)) {
                return Upstream {address, false};
            }
        }
        auto peer = chooseNextOf(now, seeds);
        if (!peer) {
            peer = chooseAnyPeer(now, directory, seeds);
        }
        if (peer || hasBusyPeer(now)) {
            return peer;
        }
    }
    return chooseStore(now);
}

void UpstreamSelector::handleReferral(TimePoint now, const Upstream &busy,
                                      const std::vector<std::string> &others)
{
    if (busy.peer) {
        m_peerBackoffs[*busy.peer] = {now + BusyPeerBackoff, 0};
    }
    m_referrals.assign(others.begin(), others.end());
    std::erase(m_referrals, m_controlAddress);
    if (!m_referrals.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(++m_roundRobinIndex % m_referrals.size());
        std::rotate(m_referrals.begin(), m_referrals.begin() + first, m_referrals.end());
    }
}

std::optional<std::string> UpstreamSelector::choosePeerToAsk(TimePoint now,
                                                             const NodeDirectory &directory,
                                                             std::uint64_t entropy)
{
    const bool asksAny = ++m_roundRobinIndex % 2 == 0;
    return chooseRandom(now, asksAny ? directory.members() : domainMembers(directory), entropy);
}

std::optional<std::string> UpstreamSelector::choosePeerToReview(TimePoint now,
                                                                const NodeDirectory &directory,
                                                                std::uint64_t entropy)
{
    if (hasAdoptedStore() && ++m_roundRobinIndex % 2 == 0) {
        return chooseRandom(now, domainMembers(directory), entropy);
    }
    return parentNode(now, directory);
}

std::vector<const NodeEntry *> UpstreamSelector::domainMembers(const NodeDirectory &directory) const
{
    std::vector<const NodeEntry *> members;
    for (const auto &[rank, node] : directory.nodesInDomain(m_domain)) {
        members.push_back(node);
    }
    return members;
}

std::optional<std::string>
UpstreamSelector::chooseRandom(TimePoint now, const std::vector<const NodeEntry *> &candidates,
                               std::uint64_t entropy) const
{
    constexpr int Attempts = 8;
    TurnRandom random(entropy);
    for (int i = 0; i < Attempts && !candidates.empty(); ++i) {
        std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
        const NodeEntry &node = *candidates[any(random)];
        if (node.name != m_rank.name && !isBackedOff(node.controlAddress, now)) {
            return node.controlAddress;
        }
    }
    return std::nullopt;
}

bool UpstreamSelector::hasFailedPeer(TimePoint now) const
{
    return std::ranges::any_of(m_peerBackoffs, [now](const auto &one) {
        return now < one.second.until && one.second.failures > 0;
    });
}

bool UpstreamSelector::mayFollow(const std::string &peer, const NodeDirectory &directory) const
{
    const auto members = directory.members();
    const auto it = std::ranges::find(members, peer, &NodeEntry::controlAddress);
    return it == members.end() || NodeRank {(*it)->cpuShare, (*it)->name} < m_rank;
}

bool UpstreamSelector::isInOwnDomain(const std::string &peer, const NodeDirectory &directory) const
{
    return std::ranges::any_of(directory.nodesInDomain(m_domain), [&peer](const auto &one) {
        return one.second->controlAddress == peer;
    });
}

bool UpstreamSelector::isDeputy(TimePoint now, const NodeDirectory &directory) const
{
    return isAmongFirst(directory) && !parentNode(now, directory);
}

bool UpstreamSelector::isWatcher(const NodeDirectory &directory) const
{
    const RankedNodes &nodes = directory.nodesInDomain(m_domain);
    return !nodes.empty() && nodes.begin()->first.name == m_rank.name;
}

void UpstreamSelector::reportSuccess(const Upstream &upstream)
{
    if (upstream.peer) {
        m_peerBackoffs.erase(*upstream.peer);
        m_peerFailures = 0;
    } else {
        m_storeFailures = 0;
    }
}

void UpstreamSelector::reportFailure(TimePoint now, const Upstream &upstream)
{
    if (m_adopted && m_adopted->peer == upstream.peer) {
        m_adopted.reset();
    }
    if (upstream.peer) {
        backOff(now, *upstream.peer);
        ++m_peerFailures;
    } else {
        ++m_storeFailures;
    }
}

void UpstreamSelector::backOff(TimePoint now, const std::string &peer)
{
    std::erase_if(m_peerBackoffs,
                  [now](const auto &one) { return now > one.second.until + FailureRetention; });
    PeerBackoff &backoff = m_peerBackoffs[peer];
    backoff.until =
        now + FirstPeerBackoff * (1 << std::min(backoff.failures, MaxPeerBackoffDoublings));
    ++backoff.failures;
}

std::optional<std::string> UpstreamSelector::parentNode(TimePoint now,
                                                        const NodeDirectory &directory) const
{
    std::vector<const NodeEntry *> candidates;
    for (const auto &[rank, node] : directory.nodesInDomain(m_domain)) {
        if (!(rank < m_rank)) {
            break;
        }
        if (!isBackedOff(node->controlAddress, now)) {
            candidates.push_back(node);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::size_t parent = (candidates.size() - 1) / MaxChildren;
    for (std::uint32_t step = 1; step < m_peerFailures && parent > 0; ++step) {
        parent = (parent - 1) / MaxChildren;
    }
    return candidates[parent]->controlAddress;
}

bool UpstreamSelector::hasBusyPeer(TimePoint now) const
{
    return std::ranges::any_of(m_peerBackoffs, [now](const auto &one) {
        return now < one.second.until && one.second.failures == 0;
    });
}

bool UpstreamSelector::isHighestRanked(const NodeDirectory &directory) const
{
    const RankedNodes &nodes = directory.nodesInDomain(m_domain);
    return nodes.empty() || !(nodes.begin()->first < m_rank);
}

bool UpstreamSelector::isAmongFirst(const NodeDirectory &directory) const
{
    std::size_t better = 0;
    for (const auto &[rank, node] : directory.nodesInDomain(m_domain)) {
        if (!(rank < m_rank) || ++better >= MaxDeputies) {
            break;
        }
    }
    return better < MaxDeputies;
}

bool UpstreamSelector::mayCallStore(TimePoint now, bool isDomainWatcher) const
{
    return m_storeFailures == 0 || now >= m_storeCalledAt + storeRetryInterval(isDomainWatcher);
}

Upstream UpstreamSelector::chooseStore(TimePoint now)
{
    m_storeCalledAt = now;
    return {std::nullopt, m_storeFailures > 0};
}

Duration UpstreamSelector::storeRetryInterval(bool isDomainWatcher) const
{
    if (isDomainWatcher && m_storeFailures == 1) {
        return FirstWatcherRetryDelay;
    }
    const std::uint32_t doublings = std::min(m_storeFailures - 1, MaxStoreRetryDoublings);
    return isDomainWatcher ? StoreRetryInterval
                           : std::min(StoreRetryInterval * (1 << doublings), MaxStoreRetryInterval);
}

bool UpstreamSelector::isBackedOff(const std::string &address, TimePoint now) const
{
    const auto it = m_peerBackoffs.find(address);
    return it != m_peerBackoffs.end() && now < it->second.until;
}

std::optional<Upstream> UpstreamSelector::chooseAnyPeer(TimePoint now,
                                                        const NodeDirectory &directory,
                                                        const std::vector<std::string> &seeds)
{
    std::vector<std::string> addresses;
    for (const NodeEntry *member : directory.members()) {
        if (member->name != m_rank.name) {
            addresses.push_back(member->controlAddress);
        }
    }
    addresses.insert(addresses.end(), seeds.begin(), seeds.end());
    return chooseNextOf(now, addresses);
}

std::optional<Upstream> UpstreamSelector::chooseNextOf(TimePoint now,
                                                       const std::vector<std::string> &addresses)
{
    std::vector<const std::string *> usable;
    for (const std::string &address : addresses) {
        if (!isBackedOff(address, now)) {
            usable.push_back(&address);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return Upstream {*usable[++m_roundRobinIndex % usable.size()], false};
}

} // namespace indigoway
