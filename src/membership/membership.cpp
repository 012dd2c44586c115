#include "membership.h"

#include "core/turn.h"

#include <algorithm>
#include <bit>

namespace indigoway {

namespace {

constexpr Duration ProbeInterval = std::chrono::seconds(1);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(250);
constexpr Duration IndirectTimeout = std::chrono::milliseconds(700);
/** Long enough for a suspected node to learn of the suspicion through any peer and refute it. */
constexpr Duration SuspicionTimeout = std::chrono::seconds(3);
/** Dead nodes are kept this long so that outdated gossip cannot bring them back. */
constexpr Duration DeadRetention = std::chrono::minutes(5);
constexpr int MaxIndirectProbes = 3;
/** Bounds the size of a message, whatever the number of nodes. */
constexpr std::size_t MaxUpdatesPerMessage = 8;
constexpr int TransmissionsPerDoubling = 3;

/** Orders updates by incarnation, then version, then severity of the state. */
bool isNewer(const MemberUpdate &a, const MemberUpdate &b)
{
    return std::tie(a.life.incarnation, a.version, a.state)
        > std::tie(b.life.incarnation, b.version, b.state);
}

bool isEligible(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

} // namespace

Membership::Membership(MemberUpdate self)
    : m_self(std::move(self))
{ }

std::vector<const MemberUpdate *> Membership::present() const
{
    std::vector<const MemberUpdate *> found;
    for (const auto &[name, member] : m_members) {
        if (member.update.state != MemberState::Dead) {
            found.push_back(&member.update);
        }
    }
    found.push_back(&m_self);
    std::sort(found.begin(), found.end(),
              [](const auto *a, const auto *b) { return a->life < b->life; });
    return found;
}

std::vector<NodeName> Membership::eligible() const
{
    std::vector<NodeName> found;
    for (const MemberUpdate *update : present()) {
        if (isEligible(update->state)) {
            found.push_back(update->life.node);
        }
    }
    return found;
}

std::size_t Membership::presentCount() const
{
    return present().size();
}

std::string Membership::peerAddress(const NodeName &node) const
{
    const MemberUpdate *update = member(node);
    return update ? update->peerAddress : std::string();
}

const MemberUpdate *Membership::member(const NodeName &node) const
{
    if (node == m_self.life.node) {
        return &m_self;
    }
    const auto it = m_members.find(node);
    return it == m_members.end() ? nullptr : &it->second.update;
}

bool Membership::mayBeAlive(const NodeLife &life) const
{
    const MemberUpdate *update = member(life.node);
    return update && update->life == life && update->state != MemberState::Dead;
}

std::optional<TimePoint> Membership::deadSince(const NodeLife &life) const
{
    const auto it = m_members.find(life.node);
    if (it == m_members.end()) {
        return std::nullopt;
    }
    const Member &member = it->second;
    const bool isEarlierLife = member.update.life.incarnation > life.incarnation;
    const bool isDeadLife = member.update.life == life && member.update.state == MemberState::Dead;
    if (!isEarlierLife && !isDeadLife) {
        return std::nullopt;
    }
    return member.since;
}

void Membership::start(Turn &turn)
{
    queueGossip(m_self);
    m_timers.set({Timer::ProbeRound, {}}, turn.now + turn.jittered(ProbeInterval));
}

void Membership::leave(Turn &turn)
{
    m_self.state = MemberState::Leaving;
    ++m_self.version;
    ++m_changes;
    queueGossip(m_self);
    // Sent to all nodes at once: until they learn of it, callers and peers would still choose this
    // node.
    for (const MemberUpdate *update : present()) {
        if (update != &m_self) {
            sendProbe(turn, *update, std::nullopt);
        }
    }
}

void Membership::contact(Turn &turn, const MemberUpdate &listed)
{
    if (listed.life.node == m_self.life.node) {
        return;
    }
    const MemberUpdate *known = member(listed.life.node);
    if (known && known->life.incarnation >= listed.life.incarnation
        && known->state != MemberState::Dead) {
        return;
    }
    const bool isBeingProbed =
        std::any_of(m_probes.begin(), m_probes.end(), [&](const auto &entry) {
            return entry.second.target.life.node == listed.life.node;
        });
    if (!isBeingProbed) {
        sendProbe(turn, listed, std::nullopt);
    }
}

void Membership::probe(Turn &turn, const NodeName &node)
{
    const bool isBeingProbed =
        std::any_of(m_probes.begin(), m_probes.end(),
                    [&](const auto &entry) { return entry.second.target.life.node == node; });
    const MemberUpdate *update = member(node);
    if (isBeingProbed || !update || update == &m_self || m_indirectProbes.contains(node)) {
        return;
    }
    sendProbe(turn, *update, std::nullopt);
}

void Membership::handlePing(Turn &turn, PeerRequestNumber number, const Ping &ping)
{
    apply(turn, ping.from);
    applyAll(turn, ping.updates);
    noteRevision(ping.revision, ping.from.life.node);
    Pong pong {m_self, ping.wantsAll ? allUpdates() : takeGossip(), m_revision};
    // A node that is suspected or declared dead must learn of it to refute it.
    if (const MemberUpdate *known = member(ping.from.life.node);
        known && known != &m_self && known->state != ping.from.state) {
        pong.updates.push_back(*known);
    }
    turn.reply(number, std::move(pong));
}

void Membership::handleIndirectPing(Turn &turn, PeerRequestNumber number,
                                    const IndirectPing &request)
{
    sendProbe(turn, request.target, number);
}

bool Membership::handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome)
{
    const auto *reply = std::get_if<PeerReply>(&outcome);
    if (const auto it = m_probes.find(call); it != m_probes.end()) {
        const Probe probe = it->second;
        m_probes.erase(it);
        const Pong *pong = reply ? std::get_if<Pong>(reply) : nullptr;
        // The address may now belong to another node, whose answer does not prove the target alive.
        const NodeName &expected = probe.target.life.node;
        const bool isAlive = pong && (expected.isEmpty() || pong->from.life.node == expected);
        if (pong) {
            apply(turn, pong->from);
            applyAll(turn, pong->updates);
            noteRevision(pong->revision, pong->from.life.node);
        }
        if (probe.onBehalfOf) {
            turn.reply(*probe.onBehalfOf, ProbeResult {isAlive});
        } else if (!isAlive && !expected.isEmpty()) {
            m_unresponsive.push_back(expected);
            startIndirectProbes(turn, probe.target);
        }
        return true;
    }
    if (const auto it = m_indirectCalls.find(call); it != m_indirectCalls.end()) {
        const NodeName target = it->second;
        m_indirectCalls.erase(it);
        const auto probe = m_indirectProbes.find(target);
        if (probe == m_indirectProbes.end()) {
            return true;
        }
        const auto *result = reply ? std::get_if<ProbeResult>(reply) : nullptr;
        if (result && result->isAlive) {
            m_indirectProbes.erase(probe);
        } else if (--probe->second.indirectPending == 0) {
            const Probe failed = probe->second;
            m_indirectProbes.erase(probe);
            probeFailed(turn, failed);
        }
        return true;
    }
    return false;
}

void Membership::runDue(Turn &turn)
{
    for (const auto &[timer, node] : m_timers.takeDue(turn.now)) {
        if (timer == Timer::ProbeRound) {
            m_timers.set({Timer::ProbeRound, {}}, turn.now + turn.jittered(ProbeInterval));
            removeExpiredDead(turn.now);
            probeNext(turn);
        } else {
            declareDead(turn, node);
        }
    }
}

std::optional<TimePoint> Membership::nextDeadline() const
{
    return m_timers.next();
}

void Membership::apply(Turn &turn, const MemberUpdate &update)
{
    if (update.life.node.isEmpty()) {
        return;
    }
    if (update.life.node == m_self.life.node) {
        applyToSelf(turn, update);
        return;
    }
    const auto it = m_members.find(update.life.node);
    if (it != m_members.end() && !isNewer(update, it->second.update)) {
        return;
    }
    if (it == m_members.end() && update.state == MemberState::Dead) {
        // Kept although it was never a member: reclaiming needs to know about dead nodes too.
        m_members[update.life.node] = {update, turn.now};
        return;
    }
    const bool isNewLife = it == m_members.end() || it->second.update.life != update.life;
    const MemberState before = isNewLife ? MemberState::Dead : it->second.update.state;
    m_members[update.life.node] = {update, turn.now};
    queueGossip(update);
    const TimerKey suspicion {Timer::Suspicion, update.life.node};
    if (update.state == MemberState::Suspect) {
        m_timers.set(suspicion, turn.now + SuspicionTimeout);
        turn.count(Counter::MembersSuspected);
    } else {
        m_timers.clear(suspicion);
    }
    if (isNewLife || isEligible(before) != isEligible(update.state)
        || update.state == MemberState::Dead) {
        ++m_changes;
    }
    if (update.state == MemberState::Dead) {
        turn.count(Counter::MembersDead);
        turn.log("node " + update.life.node.text() + " is dead");
    } else if (isNewLife) {
        turn.log("node " + update.life.node.text() + " has joined");
    }
}

void Membership::applyToSelf(Turn &turn, const MemberUpdate &update)
{
    if (update.life.incarnation != m_self.life.incarnation || update.version < m_self.version
        || update.state == m_self.state) {
        return;
    }
    // Peers have a different state for this incarnation; a higher version overrides it.
    m_self.version = update.version + 1;
    queueGossip(m_self);
    turn.log("refuted a peer's outdated state of this node");
}

void Membership::applyAll(Turn &turn, const std::vector<MemberUpdate> &updates)
{
    for (const MemberUpdate &update : updates) {
        apply(turn, update);
    }
}

void Membership::noteRevision(Revision revision, const NodeName &from)
{
    if (revision > m_highestPeerRevision) {
        m_highestPeerRevision = revision;
        m_highestPeerRevisionSource = from;
    }
}

void Membership::queueGossip(const MemberUpdate &update)
{
    std::erase_if(m_gossipQueue, [&](const QueuedUpdate &queued) {
        return queued.update.life.node == update.life.node;
    });
    const auto doublings = static_cast<int>(std::bit_width(m_members.size() + 1));
    m_gossipQueue.push_back({update, TransmissionsPerDoubling * doublings});
}

std::vector<MemberUpdate> Membership::takeGossip()
{
    std::stable_sort(m_gossipQueue.begin(), m_gossipQueue.end(),
                     [](const QueuedUpdate &a, const QueuedUpdate &b) {
                         return a.transmissionsLeft > b.transmissionsLeft;
                     });
    std::vector<MemberUpdate> updates;
    for (QueuedUpdate &queued : m_gossipQueue) {
        if (updates.size() == MaxUpdatesPerMessage) {
            break;
        }
        updates.push_back(queued.update);
        --queued.transmissionsLeft;
    }
    std::erase_if(m_gossipQueue,
                  [](const QueuedUpdate &queued) { return queued.transmissionsLeft <= 0; });
    return updates;
}

std::vector<MemberUpdate> Membership::allUpdates() const
{
    std::vector<MemberUpdate> updates;
    for (const auto &[name, member] : m_members) {
        updates.push_back(member.update);
    }
    return updates;
}

void Membership::probeNext(Turn &turn)
{
    while (!m_probeOrder.empty()) {
        const NodeName node = m_probeOrder.back();
        m_probeOrder.pop_back();
        const auto it = m_members.find(node);
        if (it == m_members.end() || it->second.update.state == MemberState::Dead) {
            continue;
        }
        probe(turn, node);
        return;
    }
    for (const auto &[name, member] : m_members) {
        if (member.update.state != MemberState::Dead) {
            m_probeOrder.push_back(name);
        }
    }
    std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), turn.random());
    if (!m_probeOrder.empty()) {
        probeNext(turn);
    }
}

void Membership::sendProbe(Turn &turn, const MemberUpdate &target,
                           std::optional<PeerRequestNumber> onBehalfOf)
{
    const MemberUpdate *known = member(target.life.node);
    Ping ping {m_self, takeGossip(), m_revision, !known};
    // The probe carries the suspicion, so that the suspected node can refute it.
    if (known && known->state == MemberState::Suspect) {
        ping.updates.push_back(*known);
    }
    const PeerCallNumber call =
        turn.askAt(target.life.node, target.peerAddress, ping, ProbeTimeout);
    m_probes[call] = {target, 0, false, onBehalfOf};
}

void Membership::startIndirectProbes(Turn &turn, const MemberUpdate &target)
{
    std::vector<NodeName> helpers;
    for (const auto &[name, member] : m_members) {
        if (name != target.life.node && member.update.state == MemberState::Alive) {
            helpers.push_back(name);
        }
    }
    std::shuffle(helpers.begin(), helpers.end(), turn.random());
    helpers.resize(std::min<std::size_t>(helpers.size(), MaxIndirectProbes));
    Probe probe {target, static_cast<int>(helpers.size()), true, std::nullopt};
    if (helpers.empty()) {
        probeFailed(turn, probe);
        return;
    }
    m_indirectProbes[target.life.node] = probe;
    for (const NodeName &helper : helpers) {
        m_indirectCalls[turn.ask(helper, IndirectPing {target}, IndirectTimeout)] =
            target.life.node;
    }
}

void Membership::probeFailed(Turn &turn, const Probe &probe)
{
    const MemberUpdate *known = member(probe.target.life.node);
    if (known && known != &m_self && known->life == probe.target.life
        && (known->state == MemberState::Alive || known->state == MemberState::Leaving)) {
        suspect(turn, *known);
    }
}

void Membership::suspect(Turn &turn, const MemberUpdate &target)
{
    MemberUpdate update = target;
    update.state = MemberState::Suspect;
    apply(turn, update);
}

void Membership::declareDead(Turn &turn, const NodeName &node)
{
    const auto it = m_members.find(node);
    if (it == m_members.end() || it->second.update.state != MemberState::Suspect) {
        return;
    }
    MemberUpdate update = it->second.update;
    update.state = MemberState::Dead;
    apply(turn, update);
}

void Membership::removeExpiredDead(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        return entry.second.update.state == MemberState::Dead
            && now - entry.second.since > DeadRetention;
    });
}

} // namespace indigoway
