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
 * A failure detector and membership protocol after SWIM (Das, Gupta, Motivala, 2002). Each node
 * probes one other per interval, first directly and then through other nodes. Updates travel with
 * the probes, so that a node's traffic does not grow with the number of nodes.
 *
 * The view is eventually consistent and may differ between nodes for some seconds. No safety
 * property relies on two nodes having the same view.
 */
class Membership
{
public:
    explicit Membership(MemberUpdate self);

    const MemberUpdate &self() const { return m_self; }
    NodeLife life() const { return m_self.life; }

    /** Returns the nodes not known to be dead, including this one, in name order. */
    std::vector<const MemberUpdate *> present() const;
    /** Returns the nodes that can schedule a cell: alive or suspected, but not leaving. */
    std::vector<NodeName> eligible() const;
    std::size_t presentCount() const;
    /** Returns the address at which peers reach @p node, or an empty string if it is unknown. */
    std::string peerAddress(const NodeName &node) const;
    /** Returns the latest state of @p node, or null if it is unknown or long dead. */
    const MemberUpdate *member(const NodeName &node) const;
    /** Returns whether @p life is the latest known life of its node and not known to be dead. */
    bool mayBeAlive(const NodeLife &life) const;
    /** Returns since when @p life has been known to be dead, or nothing while it may be alive. */
    std::optional<TimePoint> deadSince(const NodeLife &life) const;
    /** Returns a counter that rises when a node's eligibility changes or it joins or dies. */
    std::uint64_t changes() const { return m_changes; }

    void setAddresses(const std::string &callers, const std::string &peers)
    {
        m_self.callerAddress = callers;
        m_self.peerAddress = peers;
    }
    /** Starts probing. */
    void start(Turn &turn);
    /** Announces to the other nodes that this node is leaving. */
    void leave(Turn &turn);
    /** Pings a node found in the store or the settings, unless it is already a live member. */
    void contact(Turn &turn, const MemberUpdate &listed);
    /** Probes @p node at once instead of in a later probe round. */
    void probe(Turn &turn, const NodeName &node);

    void handlePing(Turn &turn, PeerRequestNumber number, const Ping &ping);
    void handleIndirectPing(Turn &turn, PeerRequestNumber number, const IndirectPing &request);
    /** Returns whether @p call was made by this subsystem. */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const;
    /** Returns the highest configuration revision that a peer has announced. */
    Revision highestPeerRevision() const { return m_highestPeerRevision; }
    /** Returns the first node that announced highestPeerRevision(). */
    const NodeName &highestPeerRevisionSource() const { return m_highestPeerRevisionSource; }
    /** Returns and clears the list of nodes that did not answer a direct probe. */
    std::vector<NodeName> takeUnresponsive() { return std::exchange(m_unresponsive, {}); }
    /** Sets the configuration revision that this node announces to others. */
    void setRevision(Revision revision) { m_revision = revision; }

private:
    struct Member
    {
        MemberUpdate update;
        TimePoint since {}; ///< When this node last changed the entry.
    };
    struct Probe
    {
        MemberUpdate target;
        int indirectPending = 0;
        bool isIndirect = false;
        std::optional<PeerRequestNumber> onBehalfOf;
    };
    struct QueuedUpdate
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
    void noteRevision(Revision revision, const NodeName &from);
    void queueGossip(const MemberUpdate &update);
    std::vector<MemberUpdate> takeGossip();
    std::vector<MemberUpdate> allUpdates() const;
    void probeNext(Turn &turn);
    void sendProbe(Turn &turn, const MemberUpdate &target,
                   std::optional<PeerRequestNumber> onBehalfOf);
    void startIndirectProbes(Turn &turn, const MemberUpdate &target);
    void probeFailed(Turn &turn, const Probe &probe);
    void suspect(Turn &turn, const MemberUpdate &target);
    void declareDead(Turn &turn, const NodeName &node);
    void removeExpiredDead(TimePoint now);

    MemberUpdate m_self;
    Revision m_revision;
    Revision m_highestPeerRevision;
    NodeName m_highestPeerRevisionSource;
    std::map<NodeName, Member> m_members;
    std::vector<NodeName> m_probeOrder;
    std::map<PeerCallNumber, Probe> m_probes;
    std::map<NodeName, Probe> m_indirectProbes;
    std::map<PeerCallNumber, NodeName> m_indirectCalls;
    std::vector<QueuedUpdate> m_gossipQueue;
    std::vector<NodeName> m_unresponsive;
    Deadlines<TimerKey> m_timers;
    std::uint64_t m_changes = 0;
};

} // namespace indigoway
