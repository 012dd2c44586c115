#pragma once

#include "core/turnrandom.h"

#include <indigoway/ids.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace indigoway {

/**
 * Decides when a node that receives no changes asks further sources: random peers, and the store.
 *
 * Up to half of the nodes may be unreachable, among them all that are ranked better than this one,
 * so trying them one after the other would take too long. Random peers pass on a change within a
 * few rounds once any of them has it. The store is asked by each node at a random time, so that the
 * calls of a failure domain are bounded although its nodes do not know of each other's calls.
 */
class SourceSearch
{
public:
    /** Mean calls to the store by all searching nodes of a failure domain that are not deputies. */
    static constexpr std::size_t StoreCallsPerSecond = 10;
    /** Up to this size, all nodes of a domain may ask the store soon after they lose their source.
     */
    static constexpr std::size_t SmallDomain = 20;
    /**
     * The time until a searching node asks the store, in a domain of up to SmallDomain nodes. A
     * deputy that asks at once usually has a proof for all by then.
     */
    static constexpr Duration MinStoreDelay = std::chrono::milliseconds(200);
    /** Random addition to MinStoreDelay for each node of the domain. */
    static constexpr Duration StoreDelayPerNode = std::chrono::milliseconds(15);
    /**
     * The interval of a deputy's calls to the store. All nodes of the domain wait for it after an
     * outage, and must have a proof within half a second after the store answers.
     */
    static constexpr Duration DeputyInterval = std::chrono::milliseconds(150);
    /** The time for which a peer may take to answer a call that it need not hold. */
    static constexpr Duration AnswerTimeout = std::chrono::milliseconds(150);

    struct Situation
    {
        bool needsSource = false; ///< Whether this node receives no changes or has no proof.
        /** Whether this node calls the store for its domain, see UpstreamSelector::isDeputy(). */
        bool isDeputy = false;
        /** Whether the node that this one regularly follows answers, if only to say it waits. */
        bool doesParentAnswer = false;
        std::size_t domainNodes = 0; ///< Nodes of the failure domain, reachable or not.
    };
    struct Step
    {
        bool asksStore = false;
        int peersToAsk = 0;
    };

    explicit SourceSearch(std::uint64_t seed)
        : m_random(seed)
    { }

    /** Returns what to ask now. */
    Step next(TimePoint now, const Situation &situation);
    /** Returns how long this node has been searching; nothing if it is not. */
    std::optional<Duration> elapsed(TimePoint now) const;
    std::uint64_t randomNumber() { return m_random() >> 16U; }

private:
    void start(TimePoint now, const Situation &situation);
    Duration storeInterval(const Situation &situation);
    bool isFast(TimePoint now, const Situation &situation) const;
    Duration randomUpTo(Duration limit);

    TurnRandom m_random;
    std::optional<TimePoint> m_startedAt;
    TimePoint m_nextStoreCallAt {};
    TimePoint m_nextPeerCallAt {};
};

} // namespace indigoway
