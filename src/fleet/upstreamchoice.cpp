#include "upstreamchoice.h"

#include <algorithm>

namespace indigoway {

namespace {

/**
 * A node that failed as an upstream is left for so long; a killed one is back after seconds. Twice
 * as long after each further failure: one that is gone for good stays known until its lease ends.
 */
constexpr Duration AvoidPeerFor = std::chrono::milliseconds(2000);
constexpr std::uint32_t MostAvoidDoublings = 3;
/** VMs are replaced for ever; a failure so long ago says nothing of who has the address now. */
constexpr Duration RememberFailureFor = std::chrono::seconds(60);
/** A store that did not answer is tried again after this; meanwhile other nodes are asked. */
constexpr Duration ProbeStoreEvery = std::chrono::milliseconds(1500);
/**
 * By a node that does not watch for its domain. It hears from a watcher that the store is back;
 * this is for one that reaches none. Each call is paid for, and hundreds of nodes ask in vain.
 */
constexpr Duration ProbeStoreAtLeastEvery = std::chrono::milliseconds(4000);
constexpr std::uint32_t MostDoublings = 2;
/** By the watcher, once: a watch may be cut though the store is well, and a domain waits for it. */
constexpr Duration ProbeStoreFirstAfter = std::chrono::milliseconds(100);

/** A node that is too busy to give a whole copy has others to give by then. */
constexpr Duration BusyFor = std::chrono::milliseconds(300);
/**
 * For a whole copy to come from another node. Spread, so that those who give up do not all turn
 * to the store at once: the first of them serves the others.
 */
constexpr Duration LeastPatience = std::chrono::seconds(5);
constexpr Duration PatienceSpread = std::chrono::seconds(5);

} // namespace

UpstreamChoice::UpstreamChoice(NodeEntry self, std::uint64_t spread)
    : m_rank {self.processors, std::move(self.name)}
    , m_domain(std::move(self.domain))
    , m_control(std::move(self.control))
    , m_turn(spread)
    , m_patience(LeastPatience
                 + Duration(static_cast<Duration::rep>(
                     spread % static_cast<std::uint64_t>(PatienceSpread.count()))))
{ }

Upstream UpstreamChoice::choose(TimePoint now, const NodeRoster &roster,
                                const std::vector<std::string> &seeds)
{
    m_wantsCopySince.reset();
    if (const auto above = nodeAbove(now, roster)) {
        return {*above, false};
    }
    // A watcher that fails may be turned away by the store, and the other domains' as well; this
    // node may not be. So the store comes next, and only then what other nodes know.
    if (!mayTryStore(now, isFirst(roster))) {
        if (const auto peer = anyPeer(now, roster, seeds)) {
            return *peer;
        }
    }
    return store(now);
}

std::optional<Upstream> UpstreamChoice::chooseForFirstCopy(TimePoint now, const NodeRoster &roster,
                                                           const std::vector<std::string> &seeds,
                                                           bool isSeed)
{
    if (!m_wantsCopySince) {
        m_wantsCopySince = now;
    }
    const bool isPatient = !isSeed && now < *m_wantsCopySince + m_patience;
    if (isPatient || !mayTryStore(now, true)) {
        while (!m_referred.empty()) {
            const std::string address = std::move(m_referred.front());
            m_referred.pop_front();
            if (!isAvoided(address, now)) {
                return Upstream {address, false};
            }
        }
        auto peer = nextOf(now, seeds);
        if (!peer) {
            peer = anyPeer(now, roster, seeds);
        }
        if (peer || isAnyBusy(now)) {
            return peer;
        }
    }
    return store(now);
}

void UpstreamChoice::referred(TimePoint now, const Upstream &busy,
                              const std::vector<std::string> &others)
{
    if (busy.peer) {
        m_avoided[*busy.peer] = {now + BusyFor, 0};
    }
    m_referred.assign(others.begin(), others.end());
    std::erase(m_referred, m_control);
    if (!m_referred.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(++m_turn % m_referred.size());
        std::rotate(m_referred.begin(), m_referred.begin() + first, m_referred.end());
    }
}

bool UpstreamChoice::isWatcher(const NodeRoster &roster) const
{
    const RankedNodes &nodes = roster.inDomain(m_domain);
    return !nodes.empty() && nodes.begin()->first.name == m_rank.name;
}

void UpstreamChoice::succeeded(const Upstream &upstream)
{
    if (upstream.peer) {
        m_avoided.erase(*upstream.peer);
        m_peerFailures = 0;
    } else {
        m_storeFailures = 0;
    }
}

void UpstreamChoice::failed(TimePoint now, const Upstream &upstream)
{
    if (upstream.peer) {
        std::erase_if(m_avoided, [now](const auto &one) {
            return now > one.second.until + RememberFailureFor;
        });
        Avoided &avoided = m_avoided[*upstream.peer];
        avoided.until = now + AvoidPeerFor * (1 << std::min(avoided.failures, MostAvoidDoublings));
        ++avoided.failures;
        ++m_peerFailures;
    } else {
        ++m_storeFailures;
    }
}

std::optional<std::string> UpstreamChoice::nodeAbove(TimePoint now, const NodeRoster &roster) const
{
    std::vector<const NodeEntry *> better;
    for (const auto &[rank, node] : roster.inDomain(m_domain)) {
        if (!(rank < m_rank)) {
            break;
        }
        if (!isAvoided(node->control, now)) {
            better.push_back(node);
        }
    }
    if (better.empty()) {
        return std::nullopt;
    }
    std::size_t above = (better.size() - 1) / MostBelow;
    for (std::uint32_t step = 1; step < m_peerFailures && above > 0; ++step) {
        above = (above - 1) / MostBelow;
    }
    return better[above]->control;
}

bool UpstreamChoice::isAnyBusy(TimePoint now) const
{
    return std::ranges::any_of(m_avoided, [now](const auto &one) {
        return now < one.second.until && one.second.failures == 0;
    });
}

bool UpstreamChoice::isFirst(const NodeRoster &roster) const
{
    const RankedNodes &nodes = roster.inDomain(m_domain);
    return nodes.empty() || !(nodes.begin()->first < m_rank);
}

bool UpstreamChoice::mayTryStore(TimePoint now, bool isWatching) const
{
    return m_storeFailures == 0 || now >= m_storeTriedAt + probeEvery(isWatching);
}

Upstream UpstreamChoice::store(TimePoint now)
{
    m_storeTriedAt = now;
    return {std::nullopt, m_storeFailures > 0};
}

Duration UpstreamChoice::probeEvery(bool isWatching) const
{
    if (isWatching && m_storeFailures == 1) {
        return ProbeStoreFirstAfter;
    }
    const std::uint32_t doublings = std::min(m_storeFailures - 1, MostDoublings);
    return isWatching ? ProbeStoreEvery
                      : std::min(ProbeStoreEvery * (1 << doublings), ProbeStoreAtLeastEvery);
}

bool UpstreamChoice::isAvoided(const std::string &address, TimePoint now) const
{
    const auto it = m_avoided.find(address);
    return it != m_avoided.end() && now < it->second.until;
}

std::optional<Upstream> UpstreamChoice::anyPeer(TimePoint now, const NodeRoster &roster,
                                                const std::vector<std::string> &seeds)
{
    std::vector<std::string> addresses;
    for (const NodeEntry *member : roster.members()) {
        if (member->name != m_rank.name) {
            addresses.push_back(member->control);
        }
    }
    addresses.insert(addresses.end(), seeds.begin(), seeds.end());
    return nextOf(now, addresses);
}

std::optional<Upstream> UpstreamChoice::nextOf(TimePoint now,
                                               const std::vector<std::string> &addresses)
{
    std::vector<const std::string *> usable;
    for (const std::string &address : addresses) {
        if (!isAvoided(address, now)) {
            usable.push_back(&address);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return Upstream {*usable[++m_turn % usable.size()], false};
}

} // namespace indigoway
