#pragma once

#include "fleet/serverdirectory.h"
#include "routing/routetable.h"
#include "scheduling/claimwaits.h"
#include "scheduling/enginechoice.h"
#include "scheduling/engineledger.h"
#include "scheduling/schedulermessages.h"
#include "scheduling/schedulerstate.h"
#include "scheduling/servicepace.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace indigoway::scheduling {

/** An answer to a node's claim. */
struct SchedulerReply
{
    NodeLife to;
    FromScheduler message;
};
using SchedulerReplies = std::vector<SchedulerReply>;

/**
 * Gives out the room of model engines to all nodes: one node runs it for the others.
 *
 * Nodes that choose alone cannot see each other's prompts, which then stand in line at some engines
 * while others are idle, with decode memory reserved for them. Here all prompts of an engine are
 * known, so that each is sent where it is read next, and none before it would be read soon.
 *
 * It is a help, not a guard: engines refuse what does not fit, so that two schedulers at a time,
 * or one that knows too little, cost time and never correctness. It keeps nothing that must last;
 * nodes tell a new one what they hold.
 */
class EngineScheduler
{
public:
    /** What the scheduling node knows of engines and services. */
    struct View
    {
        const ServerDirectory &servers;
        const RouteTable &routes;
    };

    SchedulerReplies handle(TimePoint now, const View &view, const NodeLife &from,
                            const ToScheduler &message);
    /** Grants what has come free and refuses what has waited too long. */
    SchedulerReplies tick(TimePoint now, const View &view);
    /** When tick() is wanted at the latest; nothing while there are no claims. */
    std::optional<TimePoint> nextTick(TimePoint now) const;
    /** Over the engines of all services. */
    SchedulerState state(TimePoint now, const View &view) const;
    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t granted() const { return m_granted.size(); }
    std::size_t engines() const { return m_ledger.size(); }
    /** Engines that were looked at, for all claims so far. */
    std::uint64_t enginesLooked() const { return m_enginesLooked; }

private:
    struct Key
    {
        NodeLife owner;
        ClaimId claim;
        auto operator<=>(const Key &) const = default;
    };
    struct Waiting
    {
        Claim claim;
        TimePoint since {};
        TimePoint startBy {}; ///< A grant that comes later is too late for the target.
    };
    struct Granted
    {
        ServiceName service;
        RunNumber run;
        MemoryNeed memory;
        ServerName decodeServer;
        TimePoint since {};
        std::optional<TimePoint> decodesSince;
        TimePoint endsBy {};
        std::optional<PrefillTurn> prefill; ///< While it is under way.
        ClaimGranted answer;                ///< For a claim that is sent again.
    };
    using WaitingMap = std::map<Key, Waiting>;

    void take(TimePoint now, const View &view, const Key &key, const Claim &claim,
              SchedulerReplies &replies);
    void take(TimePoint now, const Key &key, const RoomHeld &held);
    void take(TimePoint now, const Key &key, const PrefillEnded &ended);
    void take(TimePoint now, const View &view, const Key &key, const ClaimEnded &ended);
    void dropEarlierLives(const NodeLife &owner, TimePoint now);
    /** The prompt has been read. */
    void beginDecode(Granted &granted, TimePoint now);
    void freeRoom(const Granted &granted, TimePoint now);
    void release(std::map<Key, Granted>::iterator it, TimePoint now);
    void expire(TimePoint now);
    void refuseLate(TimePoint now, SchedulerReplies &replies);
    /** What a claim that comes now would wait behind, and for how long. */
    struct Outlook
    {
        std::uint32_t ahead = 0;
        Duration forRoom {};    ///< On a decode engine.
        Duration firstEvent {}; ///< From now; the wait included.
    };
    Outlook outlook(TimePoint now, const View &view, const Claim &claim);
    Outlook outlook(TimePoint now, const EngineChoice &engines, const Claim &claim) const;
    /** Whether @p claim would not be served in time. */
    bool isHopeless(TimePoint now, const Claim &claim, const Outlook &expected);
    /** Engines that are looked at in a failure domain, for the work that there is. */
    EngineChoice::Limit enginesWanted(const View &view, const ServiceName &service) const;
    /** When @p claim has to be granted for its target, on engines that are idle. */
    TimePoint startBy(TimePoint now, const Claim &claim) const;
    const ServicePace &paceOf(const ServiceName &service) const;
    void grant(TimePoint now, const View &view, SchedulerReplies &replies);
    /** Over the claims on one service. */
    struct Pass
    {
        EngineChoice engines;
        std::uint64_t tooLarge = 0; ///< No engine has room for so many tokens; 0: not known.
        bool isPrefillFull = false;
        /** Memory that would be left if all that wait were served at once; may be negative. */
        double spare = 0;
    };
    /** Among so many engines; false if claims are left and there are more engines. */
    bool grantOne(TimePoint now, const View &view, const Service &service,
                  EngineChoice::Limit limit, SchedulerReplies &replies);
    /** Those that wait for @p service, in the order in which they are served. */
    std::vector<WaitingMap::iterator> order(TimePoint now, Duration prefillWait,
                                            const ServiceName &service);
    /** What the claims on @p service that wait want of memory, each at its most. */
    double tokensWaiting(const ServiceName &service) const;
    bool tryGrant(TimePoint now, Pass &pass, const Key &key, const Waiting &waiting,
                  SchedulerReplies &replies);

    EngineLedger m_ledger;
    WaitingMap m_waiting;
    std::map<Key, Granted> m_granted;
    std::map<NodeName, Incarnation> m_lives; ///< Of the nodes that claim.
    TimePoint m_nextPass {};                 ///< While many wait, not each message grants.
    ClaimWaits m_waits;
    std::map<ServiceName, ServicePace> m_paces;
    std::uint64_t m_lastRun = 0;
    std::uint64_t m_enginesLooked = 0;
    std::uint64_t m_refusedAtOnce = 0;
    std::uint64_t m_refusedAfterWait = 0;
};

} // namespace indigoway::scheduling
