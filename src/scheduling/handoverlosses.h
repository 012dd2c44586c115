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
class HandoverLosses
{
public:
    /** How long an engine is excluded; covers a phase change or a restart. */
    static constexpr Duration LeftOutFor = std::chrono::milliseconds(2500);

    void lost(const ServerName &prefill, const ServerName &decode, TimePoint now);
    /** Returns whether transfers from @p prefill fail with any decode engine. */
    bool isBadSource(const ServerName &prefill, TimePoint now) const
    {
        return isLeftOut(m_badSources, prefill, now);
    }
    /** Returns whether transfers to @p decode fail with any prefill engine. */
    bool isBadTarget(const ServerName &decode, TimePoint now) const
    {
        return isLeftOut(m_badTargets, decode, now);
    }

    /** Returns whether @p prefill has a recent failure that is not attributed to an engine yet. */
    bool isInDoubt(const ServerName &prefill, TimePoint now) const;
    /**
     * Returns whether a transfer between the two has failed recently and is not attributed yet.
     * Pairing both with other engines shows which one is at fault.
     */
    bool haveLost(const ServerName &prefill, const ServerName &decode, TimePoint now) const;

private:
    struct Loss
    {
        ServerName prefill;
        ServerName decode;
        TimePoint at {};
    };
    using LeftOut = std::map<ServerName, TimePoint>; ///< End of each engine's exclusion.

    static bool isLeftOut(const LeftOut &engines, const ServerName &engine, TimePoint now);
    /**
     * Returns the number of different partners with which @p engine has failed.
     * @param side Member of Loss that names @p engine.
     * @param otherSide Member of Loss that names its partner.
     */
    std::size_t partners(ServerName Loss::*side, ServerName Loss::*otherSide,
                         const ServerName &engine) const;
    void forgetOld(TimePoint now);

    std::deque<Loss> m_losses; ///< Failures not attributed to an engine yet, oldest first.
    LeftOut m_badSources;
    LeftOut m_badTargets;
};

} // namespace indigoway::scheduling
