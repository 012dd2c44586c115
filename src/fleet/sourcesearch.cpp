#include "sourcesearch.h"

#include <algorithm>

namespace indigoway {

namespace {

/** Interval of the calls to peers within FastPeriod, in which most searches find a source. */
constexpr Duration FastPeerInterval = std::chrono::milliseconds(50);
/** Calls at a time within FastPeriod: half of the peers may be silent. */
constexpr int FastPeerCalls = 2;
constexpr Duration FastPeriod = std::chrono::milliseconds(1500);
/** Interval of the calls to peers later. A change needs several rounds to reach all nodes. */
constexpr Duration PeerInterval = std::chrono::milliseconds(100);
/**
 * The same while the node that this one follows answers, but receives no changes itself: it
 * searches for both, and during an outage of the store other peers have no changes either.
 */
constexpr Duration AnsweredPeerInterval = std::chrono::milliseconds(400);
/** Bounds the calls to the store of a small domain in which each node is cut off for long. */
constexpr Duration MinStoreInterval = std::chrono::milliseconds(1000);

} // namespace

SourceSearch::Step SourceSearch::next(TimePoint now, const Situation &situation)
{
    if (!situation.needsSource) {
        m_startedAt.reset();
        return {};
    }
    if (!m_startedAt) {
        start(now, situation);
    }
    if (situation.isDeputy) {
        m_nextStoreCallAt = std::min(m_nextStoreCallAt, now + DeputyInterval);
    }
    Step step;
    if (now >= m_nextStoreCallAt) {
        step.asksStore = true;
        m_nextStoreCallAt = now + storeInterval(situation);
    }
    if (now >= m_nextPeerCallAt) {
        const bool fast = isFast(now, situation);
        step.peersToAsk = fast ? FastPeerCalls : 1;
        m_nextPeerCallAt = now
            + (situation.doesParentAnswer ? AnsweredPeerInterval
                   : fast                 ? FastPeerInterval
                                          : PeerInterval);
    }
    return step;
}

std::optional<Duration> SourceSearch::elapsed(TimePoint now) const
{
    return m_startedAt ? std::optional(Duration(now - *m_startedAt)) : std::nullopt;
}

void SourceSearch::start(TimePoint now, const Situation &situation)
{
    m_startedAt = now;
    m_nextPeerCallAt = now;
    const std::size_t surplus =
        situation.domainNodes - std::min(situation.domainNodes, SmallDomain);
    const Duration delay = situation.isDeputy ? Duration::zero()
                                              : MinStoreDelay
            + randomUpTo(StoreDelayPerNode * (situation.domainNodes - surplus)
                         + std::chrono::seconds(surplus) / StoreCallsPerSecond);
    // A search that follows another one soon must not call the store more often.
    m_nextStoreCallAt = std::max(m_nextStoreCallAt, now + delay);
}

Duration SourceSearch::storeInterval(const Situation &situation)
{
    if (situation.isDeputy) {
        return DeputyInterval;
    }
    const Duration mean = std::max<Duration>(
        MinStoreInterval, std::chrono::seconds(situation.domainNodes) / StoreCallsPerSecond);
    return mean / 2 + randomUpTo(mean);
}

bool SourceSearch::isFast(TimePoint now, const Situation &situation) const
{
    return !situation.doesParentAnswer && now < *m_startedAt + FastPeriod;
}

Duration SourceSearch::randomUpTo(Duration limit)
{
    return Duration(static_cast<Duration::rep>(randomNumber()
                                               % (static_cast<std::uint64_t>(limit.count()) + 1)));
}

} // namespace indigoway
