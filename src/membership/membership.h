#pragma once

#include "core/deadlines.h"

#include <indigoway/ids.h>
#include <indigoway/messages.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

class Turn;

/**
 * Which nodes live, by probing and gossip in the manner of SWIM (Das, Gupta, Motivala, 2002):
 * each node probes one other per interval, directly and then through others, and passes news on
 * with the probes, so that a node's traffic does not grow with the fleet.
 *
 * The view is soft state and may differ between nodes for some seconds. Nothing that must hold
 * relies on two nodes having the same view.
 */
class Membership
{
public:
    explicit Membership(MemberUpdate self);

    const MemberUpdate &self() const { return m_self; }
    NodeLife life() const { return m_self.life; }

    /** Nodes not known to be dead, self included, in name order. */
    std::vector<const MemberUpdate *> present() const;
    /** Nodes that may look after a cell: alive or suspected, not leaving. */
    std::vector<NodeName> eligible() const;
    std::size_t presentCount() const;
    /** Where peers connect to @p node; empty if not known. */
    std::string peerAddress(const NodeName &node) const;
    /** Null if never heard of, or long dead. */
    const MemberUpdate *member(const NodeName &node) const;
    /** Whether @p life may still be running: it is this life and not known to be dead. */
    bool mayLive(const NodeLife &life) const;
    /** Since when @p life is known to be dead; nothing while it may live. */
    std::optional<TimePoint> deadSince(const NodeLife &life) const;
    /** Rises with each change of who is eligible or dead. */
    std::uint64_t changes() const { return m_changes; }

    void setAddresses(const std::string &callers, const std::string &peers)
    {
        m_self.callerAddress = callers;
        m_self.peerAddress = peers;
    }
    /** Begins probing. */
    void start(Turn &turn);
    /** Tells the others that this node takes nothing new. */
    void leave(Turn &turn);
    /** A node that the store lists; it is pinged unless it is known to live. */
    void meet(Turn &turn, const MemberUpdate &listed);
    /** Probes @p node now, out of turn. */
    void probe(Turn &turn, const NodeName &node);

    void handlePing(Turn &turn, PeerRequestNumber number, const Ping &ping);
    void handlePingOnBehalf(Turn &turn, PeerRequestNumber number, const PingOnBehalf &request);
    /** Returns whether the call was one of this subsystem's. */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const;
    /** The largest revision heard of, with a node that has it. */
    Revision heardRevision() const { return m_heardRevision; }
    const NodeName &heardRevisionFrom() const { return m_heardRevisionFrom; }
    /** Nodes that have just let a direct probe go unanswered; taken once. */
    std::vector<NodeName> takeSilent() { return std::exchange(m_silent, {}); }
    /** What this node tells others of its configuration. */
    void setRevision(Revision revision) { m_revision = revision; }

private:
    struct Member
    {
        MemberUpdate update;
        TimePoint since {}; ///< When the state was last changed here.
    };
    struct Probe
    {
        MemberUpdate target;
        int indirectPending = 0;
        bool isIndirect = false;
        std::optional<PeerRequestNumber> onBehalfOf;
    };
    struct News
    {
        MemberUpdate update;
        int transmissionsLeft = 0;
    };
    enum class Timer {
        ProbeRound,
        Suspicion,
    };
    using TimerKey = std::pair<Timer, NodeName>;

    void apply(Turn &turn, const MemberUpdate &update);
    void applyToSelf(Turn &turn, const MemberUpdate &update);
    void applyAll(Turn &turn, const std::vector<MemberUpdate> &updates);
    void hearRevision(Revision revision, const NodeName &from);
    void publish(const MemberUpdate &update);
    std::vector<MemberUpdate> takeNews();
    std::vector<MemberUpdate> everything() const;
    void probeNext(Turn &turn);
    void sendProbe(Turn &turn, const MemberUpdate &target,
                   std::optional<PeerRequestNumber> onBehalfOf);
    void askOthersToProbe(Turn &turn, const MemberUpdate &target);
    void probeFailed(Turn &turn, const Probe &probe);
    void suspect(Turn &turn, const MemberUpdate &target);
    void declareDead(Turn &turn, const NodeName &node);
    void forgetLongDead(TimePoint now);

    MemberUpdate m_self;
    Revision m_revision;
    Revision m_heardRevision;
    NodeName m_heardRevisionFrom;
    std::map<NodeName, Member> m_members;
    std::vector<NodeName> m_probeOrder;
    std::map<PeerCallNumber, Probe> m_probes;
    std::map<NodeName, Probe> m_indirectProbes;
    std::map<PeerCallNumber, NodeName> m_indirectCalls;
    std::vector<News> m_news;
    std::vector<NodeName> m_silent;
    Deadlines<TimerKey> m_timers;
    std::uint64_t m_changes = 0;
};

} // namespace indigoway
