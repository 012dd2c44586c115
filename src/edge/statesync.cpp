#include "statesync.h"

#include <algorithm>
#include <utility>

namespace indigoway {

namespace {

constexpr Duration ProbeDuration = std::chrono::milliseconds(50);
/** For peers that may not honour the poll's hold time. */
constexpr Duration PeerTimeout = syncdelays::WatchHold + syncdelays::PeerAnswerMargin;
/** Time after a failure for which polls are short, since the next source may fail as well. */
constexpr Duration CautiousPeriod = std::chrono::seconds(5);
/** For a full copy, which may wait for others on the sender's link. */
constexpr Duration FullCopyTimeout = std::chrono::milliseconds(4000);
/** Time to find another upstream before the nodes that poll this one are sent away. */
constexpr Duration FailoverGracePeriod = std::chrono::milliseconds(250);
/** Query parameter of a poll: how many milliseconds it may be held if there are no changes. */
constexpr char HoldParameter[] = "hold_ms";
/** Query parameter of a poll by a node that has no source or no proof. */
constexpr char WaitingParameter[] = "waiting";
/** Name in logs of the store as upstream. */
constexpr char StoreName[] = "store";
/** How often a watcher that follows a peer asks whether the store serves it again. */
constexpr Duration StoreReviewInterval = std::chrono::milliseconds(1500);
/** Short, since requests with API keys are rejected without a recent proof. */
constexpr Duration ProofRetryDelay = std::chrono::milliseconds(300);

/** Returns the time of the latest contact with the store that @p response states. */
std::optional<BootTime> contactOf(const MirrorResponse &response, BootTime askedAt, BootTime now)
{
    if (!response.contactAge) {
        return std::nullopt;
    }
    const Duration held = std::clamp(response.heldFor, Duration(0), Duration(now - askedAt));
    return askedAt + held - std::max(*response.contactAge, Duration(0));
}

} // namespace

StateSync::StateSync(KeyValueStore &store, Dependencies dependencies, std::string incarnationId,
                     std::uint64_t randomOffset)
    : m_store(store)
    , m_dependencies(std::move(dependencies))
    , m_mirror(
          {},
          [this](const std::string &key, const StoredItem *item, std::uint64_t revision) {
              handleChange(key, item, revision);
          },
          m_dependencies.ignoredPrefix)
    , m_responder(m_mirror, m_proof, m_contact, m_path, m_dependencies.linkBytesPerSecond,
                  pollDuration())
    , m_upstreamChoice(m_dependencies.self, randomOffset)
    , m_search(randomOffset)
    , m_storeWriter(store, m_callCounts, m_dependencies.storeWriter, std::move(incarnationId))
{ }

void StateSync::start(const NodeEntry &self)
{
    m_dependencies.self = self;
    m_storeWriter.setSelf(self);
    m_failoverUntil = m_dependencies.now() + FailoverGracePeriod;
    tick();
}

void StateSync::handleSuspension(TimePoint now)
{
    m_storeWriter.handleSuspension(now);
    m_mirror.refresh();
    tick();
}

void StateSync::tick()
{
    startNextMirrorCall();
    startSearchCalls();
    startDueProof();
    updateStoreWriter();
    sendDueReplies();
}

void StateSync::updateStoreWriter()
{
    const NodeDirectory &roster = m_dependencies.roster();
    StoreWriter::NodeStatus status;
    status.isCurrent = m_isCurrent;
    status.isWatcher = m_upstreamChoice.isWatcher(roster);
    const bool needsShortLease =
        status.isWatcher || m_storeWriter.holdsOrderRight() || m_dependencies.needsShortLease();
    if (!needsShortLease) {
        status.leaseLifetime = NodeAnnouncer::lifetimeFor(roster.size());
    }
    m_storeWriter.startDueCalls(status);
}

void StateSync::handlePeerPoll(const HttpRequest &request)
{
    const std::uint64_t revision = std::strtoull(request.parameter("after").c_str(), nullptr, 10);
    MirrorResponder::Poll poll {revision, request.parameter("from")};
    if (const std::string hold = request.parameter(HoldParameter); !hold.empty()) {
        const auto wanted = std::strtoull(hold.c_str(), nullptr, 10);
        const auto limit =
            static_cast<std::uint64_t>(syncdelays::WatchHold / std::chrono::milliseconds(1));
        poll.holdTime = std::chrono::milliseconds(std::min<std::uint64_t>(wanted, limit));
        poll.isWaiting = !request.parameter(WaitingParameter).empty();
    }
    m_responder.addPoll(request.exchange, poll, m_dependencies.now(), m_dependencies.bootNow(),
                        status());
    sendDueReplies();
}

void StateSync::sendDueReplies()
{
    const TimePoint now = m_dependencies.now();
    for (const MirrorResponder::Reply &one :
         m_responder.takeDueReplies(now, m_dependencies.bootNow(), status())) {
        m_dependencies.replyToPeer(one.exchange, one.body);
    }
}

void StateSync::handleChange(const std::string &key, const StoredItem *item, std::uint64_t revision)
{
    m_storeWriter.handleChange(key, item ? &item->value : nullptr, revision, m_dependencies.now());
    m_dependencies.itemChanged(key, item);
}

void StateSync::startNextMirrorCall()
{
    const TimePoint now = m_dependencies.now();
    if (m_mirror.isBusy(now)) {
        return;
    }
    const NodeDirectory &roster = m_dependencies.roster();
    const bool isLongListing =
        !m_mirror.isLoaded() && m_mirror.pagesListed() >= UpstreamSelector::MaxStorePages;
    const std::optional<Upstream> upstream = isLongListing
        ? m_upstreamChoice.chooseForSnapshot(now, roster, m_dependencies.seeds(),
                                             m_dependencies.isSeed())
        : m_upstreamChoice.choose(now, roster, m_dependencies.seeds());
    if (!upstream) {
        return;
    }
    recordUpstreamChange(*upstream);
    if (upstream->peer) {
        requestFromPeer(*upstream);
    } else {
        requestFromStore(*upstream);
    }
}

void StateSync::requestFromStore(const Upstream &upstream)
{
    const std::uint64_t generation = m_mirror.generation();
    const MirrorCall call = m_mirror.beginStoreCall();
    if (const auto *list = std::get_if<ListCall>(&call)) {
        ++m_callCounts.lists;
        if (list->after.empty()) {
            m_listingStartedAt = m_dependencies.bootNow();
        }
        m_store.list(
            m_mirror.prefix(), list->after, [this, upstream, generation](const auto &result) {
                if (generation != m_mirror.generation()) {
                    return;
                }
                if (const auto *fault = std::get_if<StoreError>(&result)) {
                    handleCallFailure(upstream, *fault);
                    return;
                }
                if (!m_mirror.applyPage(std::get<StoredPage>(result))) {
                    startNextMirrorCall(); // The copy may be older than the page: proves nothing.
                    return;
                }
                m_responder.addStoreUpdates(m_mirror);
                if (!m_mirror.isListing()) {
                    m_proof.revisionRead(m_listingStartedAt, m_mirror.asOf(), m_mirror.asOf());
                }
                handleCallSuccess(upstream, m_dependencies.bootNow());
            });
        return;
    }
    ++m_callCounts.watches;
    m_store.watch(m_mirror.prefix(), std::get<WatchCall>(call).revision,
                  upstream.isProbe ? ProbeDuration : syncdelays::WatchHold,
                  [this, upstream, generation](const auto &result) {
                      if (generation != m_mirror.generation()) {
                          return;
                      }
                      if (const auto *fault = std::get_if<StoreError>(&result)) {
                          handleCallFailure(upstream, *fault);
                          return;
                      }
                      m_mirror.applyWatch(m_dependencies.now(), std::get<StoredChanges>(result));
                      m_responder.addStoreUpdates(m_mirror);
                      handleCallSuccess(upstream, m_dependencies.bootNow());
                  });
}

void StateSync::requestFromPeer(const Upstream &upstream)
{
    const std::uint64_t generation = m_mirror.generation();
    m_mirror.beginPeerCall();
    HttpCall call = pollOf(*upstream.peer,
                           m_mirror.isLoaded() ? std::optional(peerPollDuration()) : std::nullopt);
    if (!m_mirror.isLoaded()) {
        call.timeout = FullCopyTimeout;
    } else if (m_holdTimePeer != *upstream.peer) {
        call.timeout = PeerTimeout;
    }
    const BootTime askedAt = m_dependencies.bootNow();
    m_dependencies.startPeerCall(
        std::move(call), [this, upstream, generation, askedAt](const HttpAnswer &answer) {
            if (generation != m_mirror.generation()) {
                return;
            }
            constexpr int Ok = 200;
            if (answer.end != HttpAnswer::End::Complete || answer.status != Ok) {
                handleCallFailure(upstream, StoreError::Unanswered);
                return;
            }
            const auto response = decodeResponse(answer.body);
            if (!response) {
                handleCallFailure(upstream, StoreError::Refused);
                return;
            }
            handlePeerResponse(upstream, askedAt, *response);
        });
}

void StateSync::handlePeerResponse(const Upstream &upstream, BootTime askedAt,
                                   const MirrorResponse &response)
{
    for (const std::string &block : response.blocks) {
        if (!applyBlock(block)) {
            handleCallFailure(upstream, StoreError::Refused);
            return;
        }
    }
    m_mirror.completePeerCall();
    if (!m_mirror.isLoaded()) {
        // The peer is too busy to send a full copy, which is no failure.
        m_upstreamChoice.handleReferral(m_dependencies.now(), upstream, response.alternativePeers);
        startNextMirrorCall();
        return;
    }
    if (response.age) {
        m_proof.peerAnswered(askedAt, m_dependencies.bootNow(), response.heldFor, *response.age);
    }
    if (response.isCurrent) {
        m_holdTimePeer = *upstream.peer;
    }
    const auto contact = contactOf(response, askedAt, m_dependencies.bootNow());
    if (!canFollow(*upstream.peer, response, contact)) {
        m_unfollowedPeer = response.isCurrent.value_or(false) ? *upstream.peer : "";
        handlePeerNotFollowed(upstream, response);
        return;
    }
    followPeer(*upstream.peer, response);
    handleCallSuccess(upstream, contact.value_or(askedAt));
}

void StateSync::handlePeerNotFollowed(const Upstream &upstream, const MirrorResponse &response)
{
    m_upstreamChoice.reportSuccess(upstream);
    m_doesParentAnswer = m_upstreamChoice.mayFollow(*upstream.peer, m_dependencies.roster());
    const bool isSourceOfParent = isOnPathOf(response);
    if (!std::exchange(m_isSourceOfParent, isSourceOfParent) && isSourceOfParent) {
        m_dependencies.record("source_of_parent",
                              "parent=" + *upstream.peer
                                  + " path_nodes=" + std::to_string(response.path->nodes().size()));
    }
    m_proof.copyAdvanced(m_mirror.asOf());
    if (m_upstreamChoice.hasAdoptedPeer()) {
        m_upstreamChoice.releaseAdopted();
    }
    markNotCurrent();
    startNextMirrorCall();
}

bool StateSync::canFollow(const std::string &peer, const MirrorResponse &response,
                          std::optional<BootTime> contact) const
{
    if (!response.isCurrent) {
        return m_upstreamChoice.mayFollow(peer, m_dependencies.roster());
    }
    if (!*response.isCurrent || isOnPathOf(response)
        || (response.path && response.path->nodes().size() >= SourcePath::MaxNodes)) {
        return false;
    }
    // Without its whole path, a better-ranked node may have come to depend on this one.
    const bool isPathKnown = response.path && response.path->isComplete();
    const bool isKnown = m_isCurrent
        && (peer == m_followedPeer
            || (isPathKnown && m_upstreamChoice.mayFollow(peer, m_dependencies.roster())));
    return isKnown || (contact && m_contact.isNewer(*contact));
}

bool StateSync::isOnPathOf(const MirrorResponse &response) const
{
    return response.path
        && response.path->contains(SourcePath::idOf(m_dependencies.self.controlAddress));
}

void StateSync::followPeer(const std::string &peer, const MirrorResponse &response)
{
    m_followedPeer = peer;
    m_isSourceOfParent = false;
    setPath(response.path.value_or(SourcePath({}, false)).extendedBy(SourcePath::idOf(peer)));
}

void StateSync::followStore()
{
    m_followedPeer.clear();
    m_isSourceOfParent = false;
    setPath(SourcePath());
}

void StateSync::setPath(SourcePath path)
{
    if (m_path == path) {
        return;
    }
    m_path = std::move(path);
    ++m_pathChanges;
}

HttpCall StateSync::pollOf(const std::string &peer, std::optional<Duration> hold) const
{
    HttpCall call;
    call.address = peer;
    call.path = "/v1/mirror?after=" + std::to_string(m_mirror.asOf())
        + "&from=" + m_dependencies.self.controlAddress;
    if (hold) {
        call.path += std::string("&") + HoldParameter + "="
            + std::to_string(*hold / std::chrono::milliseconds(1));
        // A peer that is current, but cannot be followed yet, would answer again at once.
        const bool isWaiting = (!m_isCurrent && peer != m_unfollowedPeer)
            || isCopyOlderThan(syncdelays::SearchAgeRatio);
        if (isWaiting) {
            call.path += std::string("&") + WaitingParameter + "=1";
        }
        const bool isCautious = m_dependencies.now() < m_cautiousUntil;
        call.timeout =
            *hold + (isCautious ? syncdelays::CautiousAnswerMargin : syncdelays::PeerAnswerMargin);
    }
    call.traffic = Traffic::Peers;
    return call;
}

bool StateSync::applyBlock(const std::string &bytes)
{
    const auto news = decodeUpdate(bytes);
    if (!news || !m_mirror.applyUpdate(*news)) {
        return false;
    }
    m_responder.addPeerUpdate(
        {news->after, news->asOf, news->isSnapshot, std::make_shared<const std::string>(bytes)});
    return true;
}

void StateSync::handleCallSuccess(const Upstream &upstream, BootTime contact)
{
    m_upstreamChoice.reportSuccess(upstream);
    m_proof.copyAdvanced(m_mirror.asOf());
    if (!upstream.peer) {
        followStore();
    }
    becomeCurrent();
    if (const auto better = reviewSource(upstream)) {
        askPeer(*better, contact);
    } else {
        m_contact.advanceTo(contact);
    }
    sendDueReplies();
    startNextMirrorCall();
}

void StateSync::becomeCurrent()
{
    if (!std::exchange(m_isCurrent, true)) {
        m_storeWriter.handleStoreRecovery(m_dependencies.now());
        m_dependencies.record("store_copy_current",
                              "from=" + m_upstreamName
                                  + " as_of=" + std::to_string(m_mirror.asOf()));
    }
}

void StateSync::markNotCurrent()
{
    const TimePoint now = m_dependencies.now();
    m_cautiousUntil = now + CautiousPeriod;
    if (std::exchange(m_isCurrent, false)) {
        m_contact.sourceLost(m_dependencies.bootNow());
        m_unfollowedPeer.clear();
        m_failoverUntil = now + FailoverGracePeriod;
    }
    updateStoreWriter();
    sendDueReplies();
}

MirrorResponder::Status StateSync::status() const
{
    return {m_isCurrent, m_isCurrent || m_dependencies.now() < m_failoverUntil,
            !isCopyOlderThan(syncdelays::ProvenAgeRatio), m_pathChanges};
}

bool StateSync::isCopyOlderThan(double ratio) const
{
    const auto age = m_proof.age(m_dependencies.bootNow());
    return m_dependencies.maxCopyAge && (!age || *age > *m_dependencies.maxCopyAge * ratio);
}

void StateSync::handleCallFailure(const Upstream &upstream, StoreError fault)
{
    m_mirror.callFailed(m_dependencies.now(), fault);
    if (fault == StoreError::HistoryGone) {
        m_upstreamChoice.reportSuccess(upstream);
    } else {
        m_upstreamChoice.reportFailure(m_dependencies.now(), upstream);
        m_doesParentAnswer = false;
        m_isSourceOfParent = false;
        markNotCurrent();
    }
    m_dependencies.record("store_copy_call_failed",
                          "from=" + m_upstreamName + " fault=" + nameOf(fault)
                              + " as_of=" + std::to_string(m_mirror.asOf()));
    startNextMirrorCall();
}

void StateSync::startSearchCalls()
{
    if (!m_mirror.isLoaded()) {
        return; // UpstreamSelector::chooseForSnapshot() finds the source of the first copy.
    }
    const TimePoint now = m_dependencies.now();
    const NodeDirectory &roster = m_dependencies.roster();
    const auto contactAge = m_contact.age(m_dependencies.bootNow());
    if (m_isCurrent && contactAge && *contactAge > syncdelays::MaxContactAge) {
        m_upstreamChoice.releaseAdopted();
        markNotCurrent();
    }
    SourceSearch::Situation situation;
    situation.needsSource = !m_isCurrent || isCopyOlderThan(syncdelays::SearchAgeRatio);
    if (situation.needsSource) {
        situation.isDeputy = m_isSourceOfParent || m_upstreamChoice.isDeputy(now, roster);
        situation.doesParentAnswer = m_doesParentAnswer;
        situation.domainNodes = roster.nodesInDomain(m_dependencies.self.domain).size();
    }
    const auto searchedFor = m_search.elapsed(now);
    const SourceSearch::Step step = m_search.next(now, situation);
    recordSearch(searchedFor, situation);
    if (step.asksStore) {
        ++m_searchCounts.storeCalls;
        askStoreForRevision();
    }
    for (int i = 0; i < step.peersToAsk; ++i) {
        const auto peer = m_upstreamChoice.choosePeerToAsk(now, roster, m_search.randomNumber());
        if (peer) {
            ++m_searchCounts.peerCalls;
            askPeer(*peer);
        }
    }
}

void StateSync::recordSearch(std::optional<Duration> searchedFor,
                             const SourceSearch::Situation &situation)
{
    const auto text = [](std::optional<Duration> duration) {
        return duration ? std::to_string(*duration / std::chrono::milliseconds(1)) : "-";
    };
    if (searchedFor && !situation.needsSource) {
        m_dependencies.record("source_found",
                              "from=" + m_upstreamName + " after_ms=" + text(searchedFor));
    } else if (!searchedFor && situation.needsSource) {
        ++m_searchCounts.searches;
        const BootTime now = m_dependencies.bootNow();
        m_dependencies.record("source_search",
                              std::string("reason=") + (m_isCurrent ? "no_proof" : "no_source")
                                  + " copy_age_ms=" + text(m_proof.age(now))
                                  + " contact_age_ms=" + text(m_contact.age(now))
                                  + " deputy=" + (situation.isDeputy ? "1" : "0")
                                  + " domain_nodes=" + std::to_string(situation.domainNodes));
    }
}

void StateSync::askStoreForRevision()
{
    ++m_callCounts.proofs;
    m_store.list(m_dependencies.storeWriter.ordersLeaderKey, {},
                 [this, askedAt = m_dependencies.bootNow()](const auto &result) {
                     const auto *page = std::get_if<StoredPage>(&result);
                     if (!page) {
                         return;
                     }
                     m_proof.revisionRead(askedAt, page->asOf, m_mirror.asOf());
                     const bool isWatcher = m_upstreamChoice.isWatcher(m_dependencies.roster());
                     if (m_isCurrent && (!isWatcher || m_followedPeer.empty())) {
                         return;
                     }
                     m_upstreamChoice.reportSuccess({std::nullopt, false});
                     adopt({std::nullopt, false});
                     m_contact.advanceTo(m_dependencies.bootNow());
                     setNextProof();
                     if (m_mirror.asOf() >= page->asOf) {
                         followStore();
                         becomeCurrent();
                         sendDueReplies();
                     }
                 });
}

void StateSync::askPeer(const std::string &peer, std::optional<BootTime> withheld)
{
    HttpCall call = pollOf(peer, Duration::zero());
    call.timeout = SourceSearch::AnswerTimeout;
    m_dependencies.startPeerCall(
        std::move(call),
        [this, peer, withheld, askedAt = m_dependencies.bootNow()](const HttpAnswer &answer) {
            const auto response = answer.end == HttpAnswer::End::Complete
                ? decodeResponse(answer.body)
                : std::nullopt;
            if (!response) {
                m_upstreamChoice.reportSilentPeer(m_dependencies.now(), peer);
            } else if (handleSearchResponse(peer, askedAt, *response)) {
                return; // A contact of the previous source would let nodes close a cycle.
            }
            const auto age = m_contact.age(m_dependencies.bootNow());
            const bool mayWait = response && response->isCurrent.value_or(false);
            if (withheld && m_isCurrent
                && (!mayWait || !age || *age > syncdelays::MaxWithheldContactAge)) {
                m_contact.advanceTo(*withheld);
            }
        });
}

bool StateSync::handleSearchResponse(const std::string &peer, BootTime askedAt,
                                     const MirrorResponse &response)
{
    for (const std::string &block : response.blocks) {
        if (!applyBlock(block)) {
            return false;
        }
    }
    if (response.age) {
        m_proof.peerAnswered(askedAt, m_dependencies.bootNow(), response.heldFor, *response.age);
    }
    m_proof.copyAdvanced(m_mirror.asOf());
    const NodeDirectory &roster = m_dependencies.roster();
    const auto contact = contactOf(response, askedAt, m_dependencies.bootNow());
    const bool isAdopted = response.isCurrent.value_or(false) && contact
        && m_contact.isNewer(*contact) && canFollow(peer, response, contact)
        && m_upstreamChoice.isInOwnDomain(peer, roster);
    if (isAdopted) {
        m_contact.advanceTo(*contact);
        if (m_upstreamChoice.regularParent(m_dependencies.now(), roster) == peer) {
            m_upstreamChoice.releaseAdopted();
        } else {
            m_upstreamChoice.adopt({peer, false});
        }
        m_holdTimePeer = peer;
        followPeer(peer, response);
        m_mirror.abandonCall();
        becomeCurrent();
        startNextMirrorCall();
    }
    sendDueReplies();
    return isAdopted;
}

void StateSync::adopt(const Upstream &source)
{
    m_upstreamChoice.adopt(source);
    m_mirror.abandonCall();
    startNextMirrorCall();
}

std::optional<std::string> StateSync::reviewSource(const Upstream &upstream)
{
    const TimePoint now = m_dependencies.now();
    const NodeDirectory &roster = m_dependencies.roster();
    if (m_upstreamChoice.isWatcher(roster)) {
        if (!upstream.peer) {
            m_upstreamChoice.releaseAdopted();
        } else if (now >= m_nextStoreReviewAt) {
            m_nextStoreReviewAt = now + StoreReviewInterval;
            askStoreForRevision();
        }
        return std::nullopt;
    }
    if (!m_upstreamChoice.hasAdopted()) {
        if (m_upstreamChoice.hasFailedPeer(now)) {
            m_upstreamChoice.adopt(upstream);
        }
        return std::nullopt;
    }
    const std::size_t nodes = roster.nodesInDomain(m_dependencies.self.domain).size();
    if (!upstream.peer && nodes > SourceSearch::SmallDomain && !m_responder.hasFollowers()
        && !m_upstreamChoice.isDeputy(now, roster)) {
        // Nobody can reach this node or needs it: it must not follow the store for good, since each
        // of many nodes may be cut off from all others.
        m_upstreamChoice.releaseAdopted();
        markNotCurrent();
        return std::nullopt;
    }
    auto better = m_upstreamChoice.choosePeerToReview(now, roster, m_search.randomNumber());
    if (!better || *better != upstream.peer.value_or("")) {
        return better;
    }
    if (!m_upstreamChoice.hasFailedPeer(now)) {
        m_upstreamChoice.releaseAdopted();
    }
    return std::nullopt;
}

void StateSync::startDueProof()
{
    const TimePoint now = m_dependencies.now();
    const bool followsStore = m_isCurrent && m_upstreamName == StoreName;
    if (!m_dependencies.maxCopyAge || !followsStore || m_isProofPending || now < m_nextProofAt) {
        return;
    }
    m_isProofPending = true;
    ++m_callCounts.proofs;
    // Every response has the store's revision; listing one small item is the cheapest call.
    m_store.list(m_dependencies.storeWriter.ordersLeaderKey, {},
                 [this, askedAt = m_dependencies.bootNow()](const auto &result) {
                     m_isProofPending = false;
                     if (const auto *page = std::get_if<StoredPage>(&result)) {
                         m_proof.revisionRead(askedAt, page->asOf, m_mirror.asOf());
                         setNextProof();
                         sendDueReplies();
                     } else {
                         m_nextProofAt = m_dependencies.now() + ProofRetryDelay;
                         m_dependencies.record("copy_not_proven",
                                               nameOf(std::get<StoreError>(result)));
                     }
                 });
}

void StateSync::setNextProof()
{
    if (m_dependencies.maxCopyAge) {
        m_nextProofAt =
            m_dependencies.now() + *m_dependencies.maxCopyAge / syncdelays::ProofsPerMaxAge;
    }
}

Duration StateSync::peerPollDuration() const
{
    const bool isCautious = m_dependencies.now() < m_cautiousUntil || !m_isCurrent;
    return std::min(isCautious ? syncdelays::CautiousHold : syncdelays::PeerHold, pollDuration());
}

Duration StateSync::pollDuration() const
{
    using syncdelays::WatchHold;
    return m_dependencies.maxCopyAge
        ? std::min(WatchHold, *m_dependencies.maxCopyAge / syncdelays::PollsPerMaxAge)
        : WatchHold;
}

void StateSync::recordUpstreamChange(const Upstream &upstream)
{
    const std::string name = upstream.peer.value_or(StoreName);
    if (name != m_upstreamName) {
        m_dependencies.record("upstream", "from=" + name + " before=" + m_upstreamName);
        m_upstreamName = name;
    }
}

} // namespace indigoway
