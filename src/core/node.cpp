#include "node.h"

#include <algorithm>
#include <random>

namespace indigoway {

namespace {

/** Flags the number of a peer request that a node sent to itself; the other bits are its call. */
constexpr std::uint64_t LocalRequestFlag = std::uint64_t {1} << 63U;
/** After this time without contact to the store or a peer, the configuration may be outdated. */
constexpr Duration IsolationTimeout = std::chrono::seconds(10);
/** Longest time that a leaving node waits for unfinished requests, cancels and records. */
constexpr Duration MaxLeaveTime = std::chrono::minutes(10);
constexpr Duration LeaveCheckInterval = std::chrono::milliseconds(200);

MemberUpdate selfMember(const NodeSettings &settings)
{
    MemberUpdate member;
    member.life = settings.life;
    member.callerAddress = settings.callerAddress;
    member.peerAddress = settings.peerAddress;
    member.domain = settings.domain;
    return member;
}

} // namespace

Node::Node(NodeSettings settings)
    : m_settings(std::move(settings))
    , m_membership(selfMember(m_settings))
    , m_requests(m_settings.mode, m_settings.policy, m_settings.limits)
{
    addQueries();
}

void Node::setAddresses(const std::string &callers, const std::string &peers)
{
    m_settings.callerAddress = callers;
    m_settings.peerAddress = peers;
    m_membership.setAddresses(callers, peers);
}

Effects Node::start(TimePoint now, std::uint64_t entropy)
{
    m_now = now;
    m_lastPeerContact = now;
    Effects effects;
    {
        Turn turn(now, entropy, m_configuration.deployment(), m_configuration.cells(), m_membership,
                  m_numbers, effects);
        m_membership.start(turn);
        m_registry.start(turn);
        m_configuration.start(turn);
        m_orders.start(turn);
        for (const MemberUpdate &peer : m_settings.peers) {
            m_membership.contact(turn, peer);
        }
    }
    deliverLocalMessages(effects);
    return effects;
}

Effects Node::reduce(TimePoint now, std::uint64_t entropy, const Event &event)
{
    m_now = now;
    Effects effects;
    TurnRandom random(entropy);
    m_pending.push_back(event);
    while (!m_pending.empty()) {
        const Event next = std::move(m_pending.front());
        m_pending.pop_front();
        Turn turn(now, random(), m_configuration.deployment(), m_configuration.cells(),
                  m_membership, m_numbers, effects);
        dispatch(turn, next);
        propagateChanges(turn);
        deliverLocalMessages(effects);
    }
    return effects;
}

std::optional<TimePoint> Node::nextDeadline() const
{
    auto next = earlier(earlier(m_configuration.nextDeadline(), m_membership.nextDeadline()),
                        earlier(m_registry.nextDeadline(), m_scheduler.nextDeadline()));
    next = earlier(next, earlier(m_requests.nextDeadline(), m_orders.nextDeadline()));
    if (m_isLeaving && !m_isFinished) {
        next = earlier(next, m_now + LeaveCheckInterval);
    }
    return next;
}

std::vector<CallerAddress> Node::callerAddresses(const DomainName &callerDomain,
                                                 std::uint64_t entropy) const
{
    std::vector<const MemberUpdate *> members = m_membership.present();
    const auto isPreferred = [](const MemberUpdate *member) {
        return member->state == MemberState::Alive;
    };
    if (std::any_of(members.begin(), members.end(), isPreferred)) {
        std::erase_if(members, [&](const auto *member) { return !isPreferred(member); });
    }
    std::shuffle(members.begin(), members.end(), std::mt19937_64(entropy));
    std::stable_partition(members.begin(), members.end(), [&](const MemberUpdate *member) {
        return member->domain == callerDomain;
    });
    std::vector<CallerAddress> addresses;
    addresses.reserve(members.size());
    for (const MemberUpdate *member : members) {
        addresses.push_back({member->life.node, member->callerAddress, member->domain});
    }
    return addresses;
}

void Node::dispatch(Turn &turn, const Event &event)
{
    std::visit([&](const auto &one) { handle(turn, one); }, event);
}

void Node::handle(Turn &turn, const RequestArrived &event)
{
    if (!m_configuration.isKnown() || isIsolated(turn.now)) {
        turn.count(Counter::RequestsArrived);
        turn.count(Counter::RequestsRefused);
        turn.add(RefuseRequest {event.request, RefusalReason::ConfigurationUnknown,
                                Execution::NotExecuted, std::chrono::seconds(1)});
        return;
    }
    m_requests.handleArrival(turn, event);
}

void Node::handle(Turn &turn, const CallerGone &event)
{
    m_requests.handleCallerGone(turn, event);
}

void Node::handle(Turn &turn, const PrefillFinished &event)
{
    m_requests.handlePrefillFinished(turn, event);
}

void Node::handle(Turn &turn, const TokensArrived &event)
{
    m_requests.handleTokens(turn, event);
}

void Node::handle(Turn &turn, const DecodeFinished &event)
{
    m_requests.handleDecodeFinished(turn, event);
}

void Node::handle(Turn &turn, const ServiceFinished &event)
{
    m_requests.handleServiceFinished(turn, event);
}

void Node::handle(Turn &turn, const CancelFinished &event)
{
    m_requests.handleCancelFinished(turn, event);
}

void Node::handle(Turn &turn, const ReportArrived &event)
{
    m_scheduler.handleReport(turn, event);
    m_requests.handleReport(event);
    m_orders.handleReport(event);
    if (event.isOk && !event.requests.empty()) {
        m_reclaimer.handleReport(turn, event, m_requests, m_registry);
    }
}

void Node::handle(Turn &turn, const CacheEventsArrived &event)
{
    m_scheduler.handleCacheEvents(turn, event);
}

void Node::handle(Turn &turn, const OrderFinished &event)
{
    m_orders.handleOrderFinished(turn, event);
}

void Node::handle(Turn &turn, const PeerRequestArrived &event)
{
    handlePeerRequest(turn, event.number, event.request);
}

void Node::handlePeerRequest(Turn &turn, PeerRequestNumber number, const PeerRequest &request)
{
    if (const auto *ping = std::get_if<Ping>(&request)) {
        m_lastPeerContact = turn.now;
        m_membership.handlePing(turn, number, *ping);
    } else if (const auto *indirect = std::get_if<IndirectPing>(&request)) {
        m_membership.handleIndirectPing(turn, number, *indirect);
    } else if (std::holds_alternative<FetchConfiguration>(request)) {
        m_configuration.handleFetch(turn, number);
    } else if (const auto *claim = std::get_if<ClaimCapacity>(&request)) {
        m_scheduler.handleClaim(turn, number, *claim);
    } else if (const auto *ended = std::get_if<PrefillEnded>(&request)) {
        m_scheduler.handlePrefillEnded(turn, number, *ended);
    } else if (const auto *release = std::get_if<ReleaseClaim>(&request)) {
        m_scheduler.handleRelease(turn, number, *release);
    } else if (const auto *adopt = std::get_if<AdoptClaim>(&request)) {
        m_scheduler.handleAdopt(turn, number, *adopt);
    } else if (const auto *fetch = std::get_if<FetchRows>(&request)) {
        m_queries.handleFetch(turn, number, *fetch);
    } else if (const auto *query = std::get_if<FetchOwnedRequests>(&request)) {
        OwnedRequests owned;
        for (const EngineRequestName &name : query->requests) {
            if (m_requests.owns(name)) {
                owned.requests.push_back(name);
            }
        }
        turn.reply(number, std::move(owned));
    }
}

void Node::handle(Turn &turn, const PeerAnswered &event)
{
    // Only probes always go to another node; all other calls may be to this node itself.
    const auto *reply = std::get_if<PeerReply>(&event.outcome);
    if (reply && std::holds_alternative<Pong>(*reply)) {
        m_lastPeerContact = turn.now;
    }
    m_membership.handleAnswer(turn, event.call, event.outcome)
        || m_configuration.handleAnswer(turn, event.call, event.outcome)
        || m_scheduler.handleAnswer(turn, event.call, event.outcome)
        || m_reclaimer.handleAnswer(turn, event.call, event.outcome, m_requests)
        || m_queries.handleAnswer(turn, event.call, event.outcome)
        || m_requests.handleAnswer(turn, event.call, event.outcome);
}

void Node::handle(Turn &turn, const StoreAnswered &event)
{
    if (m_configuration.storeAnswered(turn, event) || m_queries.storeAnswered(turn, event)
        || m_orders.storeAnswered(turn, event)) {
        return;
    }
    if (!m_registry.storeAnswered(turn, event)) {
        m_requests.storeAnswered(turn, event);
        return;
    }
    for (const MemberUpdate &listed : m_registry.takeDiscovered()) {
        m_membership.contact(turn, listed);
    }
}

void Node::handle(Turn &turn, const CommandArrived &event)
{
    m_configuration.command(turn, event);
}

void Node::handle(Turn &turn, const QueryArrived &event)
{
    m_queries.query(turn, event);
}

void Node::handle(Turn &turn, const ShutdownRequested & /*event*/)
{
    if (m_isLeaving) {
        return;
    }
    m_isLeaving = true;
    m_leaveStartedAt = turn.now;
    turn.log("shutdown requested; leaving");
    m_membership.leave(turn);
    m_registry.leave(turn);
}

void Node::handle(Turn &turn, const Tick & /*event*/)
{
    m_membership.runDue(turn);
    m_registry.runDue(turn);
    m_configuration.runDue(turn);
    m_scheduler.runDue(turn);
    m_orders.runDue(turn, m_scheduler);
    m_requests.runDue(turn);
}

/** Passes the changes of one subsystem on to the others that depend on them. */
void Node::propagateChanges(Turn &turn)
{
    m_configuration.setPolling(m_registry.isRegistered());
    m_configuration.fetchIfNewer(turn, m_membership.highestPeerRevision(),
                                 m_membership.highestPeerRevisionSource());
    const bool hasConfigurationChanged = m_configuration.takeChanged();
    if (hasConfigurationChanged) {
        m_membership.setRevision(m_configuration.revision());
    }
    if (hasConfigurationChanged || m_handledMemberChanges != m_membership.changes()) {
        m_handledMemberChanges = m_membership.changes();
        m_scheduler.reassign(turn);
        m_requests.handleMembersChanged(turn);
    }
    if (hasConfigurationChanged) {
        m_requests.handleConfigurationChanged(turn);
    }
    for (const NodeName &silent : m_membership.takeUnresponsive()) {
        m_requests.handleSilentScheduler(turn, silent);
    }
    for (const NodeName &doubted : m_requests.takeSchedulersToProbe()) {
        m_membership.probe(turn, doubted);
    }
    checkShutdown(turn);
}

void Node::checkShutdown(Turn &turn)
{
    if (!m_isLeaving || m_isFinished) {
        return;
    }
    const Duration leaving = turn.now - m_leaveStartedAt;
    // Callers may use a cached node list until it expires, so requests that arrive before that are
    // still served.
    if (leaving >= m_settings.callersKeepList) {
        m_requests.leave();
    }
    const bool isDone = leaving >= m_settings.callersKeepList && m_requests.unfinished() == 0;
    if (isDone || leaving >= MaxLeaveTime) {
        m_isFinished = true;
        turn.add(ShutdownFinished {});
    }
}

void Node::deliverLocalMessages(Effects &effects)
{
    Effects kept;
    kept.reserve(effects.size());
    for (Effect &effect : effects) {
        if (auto *send = std::get_if<SendToPeer>(&effect);
            send && send->to == m_settings.life.node) {
            m_pending.emplace_back(
                PeerRequestArrived {PeerRequestNumber(send->call.value() | LocalRequestFlag),
                                    std::move(send->request)});
        } else if (auto *reply = std::get_if<ReplyToPeer>(&effect);
                   reply && (reply->number.value() & LocalRequestFlag) != 0) {
            m_pending.emplace_back(
                PeerAnswered {PeerCallNumber(reply->number.value() & ~LocalRequestFlag),
                              PeerOutcome {std::move(reply->reply)}});
        } else {
            kept.push_back(std::move(effect));
        }
    }
    effects = std::move(kept);
}

bool Node::isIsolated(TimePoint now) const
{
    if (!m_registry.hasDiscoveredOthers() && m_membership.presentCount() == 1) {
        // The only node: the configuration cannot have been changed through another one.
        return false;
    }
    const TimePoint lastStoreAnswer = m_configuration.lastStoreAnswer().value_or(TimePoint {});
    return now - std::max(lastStoreAnswer, m_lastPeerContact) > IsolationTimeout;
}

} // namespace indigoway
