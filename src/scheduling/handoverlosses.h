#pragma once

#include <indigoway/ids.h>

#include <deque>
#include <map>

namespace indigoway::scheduling {

/**
 * Which engine a KV cache that could not be handed over speaks against: the prefill engine that
 * kept it, or the decode engine that was to take it.
 *
 * Both answer alike, and one loss alone accuses neither. An engine that has lost hand-overs with
 * two different partners is the likely cause of both; a loss that one engine explains counts no
 * more against the other. Blaming the prefill engine each time, one decode engine that had begun
 * to change its phase put a whole pool of prefill engines out within two seconds.
 */
class HandoverLosses
{
public:
    /** How long an engine is left out; one that changes its phase, or restarts, is back by then. */
    static constexpr Duration LeftOutFor = std::chrono::milliseconds(2500);

    void lost(const ServerName &prefill, const ServerName &decode, TimePoint now);
    /** Its KV caches are lost at whichever engine takes them. */
    bool isBadSource(const ServerName &prefill, TimePoint now) const
    {
        return isLeftOut(m_badSources, prefill, now);
    }
    /** It takes no KV cache over, whoever has made it. */
    bool isBadTarget(const ServerName &decode, TimePoint now) const
    {
        return isLeftOut(m_badTargets, decode, now);
    }

    /** It has lost one, and nothing tells yet whose fault that was. */
    bool isInDoubt(const ServerName &prefill, TimePoint now) const;
    /**
     * They have lost one with each other, and it is not known whose fault it was. Paired with
     * others, each shows it soon; paired again, they would lose the next one as well.
     */
    bool haveLost(const ServerName &prefill, const ServerName &decode, TimePoint now) const;

private:
    struct Loss
    {
        ServerName prefill;
        ServerName decode;
        TimePoint at {};
    };
    using LeftOut = std::map<ServerName, TimePoint>; ///< Until when.

    static bool isLeftOut(const LeftOut &engines, const ServerName &engine, TimePoint now);
    /** Different engines that @p engine, named by @p side, has lost hand-overs with. */
    std::size_t partners(ServerName Loss::*side, ServerName Loss::*otherSide,
                         const ServerName &engine) const;
    void forgetOld(TimePoint now);

    std::deque<Loss> m_losses; ///< Not explained yet; oldest first.
    LeftOut m_badSources;
    LeftOut m_badTargets;
};

} // namespace indigoway::scheduling
