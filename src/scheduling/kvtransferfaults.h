#pragma once

#include <indigoway/ids.h>

#include <deque>
#include <map>

namespace indigoway::scheduling {

/**
 * Determines which engine is at fault for failed KV cache transfers: the prefill engine that kept
 * the cache, or the decode engine that was to fetch it.
 *
 * Both report the same error, so a single failure blames neither. An engine that fails with two
 * different partners is at fault; failures that it explains don't count against its partners. If
 * prefill engines were always blamed, a single decode engine that changes its phase would exclude
 * all of them.
 */
class KvTransferFaults
{
public:
    /** How long an engine is excluded; covers a phase change or a restart. */
    static constexpr Duration ExclusionTime = std::chrono::milliseconds(2500);

    void recordFailure(const ServerName &prefill, const ServerName &decode, TimePoint now);
    /** Returns whether transfers from @p prefill fail with any decode engine. */
    bool isFaultySource(const ServerName &prefill, TimePoint now) const
    {
        return isExcluded(m_faultySources, prefill, now);
    }
    /** Returns whether transfers to @p decode fail with any prefill engine. */
    bool isFaultyTarget(const ServerName &decode, TimePoint now) const
    {
        return isExcluded(m_faultyTargets, decode, now);
    }

    /** Returns whether @p prefill has a recent failure that is not attributed to an engine yet. */
    bool hasUnattributedFailure(const ServerName &prefill, TimePoint now) const;
    /**
     * Returns whether a transfer between the two has failed recently and is not attributed yet.
     * Pairing both with other engines shows which one is at fault.
     */
    bool haveFailedTogether(const ServerName &prefill, const ServerName &decode,
                            TimePoint now) const;

private:
    struct Failure
    {
        ServerName prefill;
        ServerName decode;
        TimePoint at {};
    };
    using Exclusions = std::map<ServerName, TimePoint>; ///< End of each engine's exclusion.

    static bool isExcluded(const Exclusions &engines, const ServerName &engine, TimePoint now);
    /**
     * Returns the number of different partners with which @p engine has failed.
     * @param side Member of Failure that names @p engine.
     * @param otherSide Member of Failure that names its partner.
     */
    std::size_t partnerCount(ServerName Failure::*side, ServerName Failure::*otherSide,
                             const ServerName &engine) const;
    void removeExpired(TimePoint now);

    std::deque<Failure> m_failures; ///< Failures not attributed to an engine yet, oldest first.
    Exclusions m_faultySources;
    Exclusions m_faultyTargets;
};

} // namespace indigoway::scheduling
