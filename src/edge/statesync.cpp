#include "statesync.h"

#include <algorithm>
#include <utility>

namespace indigoway {

namespace {

/** How long a poll is held if there are no changes; bounds how long a dead connection is used. */
constexpr Duration PollDuration = std::chrono::milliseconds(1000);
constexpr Duration ProbeDuration = std::chrono::milliseconds(50);
constexpr Duration PeerTimeout = PollDuration + std::chrono::milliseconds(300);
/** For a full copy, which may wait for others on the sender's link. */
constexpr Duration FullCopyTimeout = std::chrono::milliseconds(4000);
/** Time to find another upstream before the nodes that poll this one are sent away. */
constexpr Duration FailoverGracePeriod = std::chrono::milliseconds(250);
/** Name in logs of the store as upstream. */
constexpr char StoreName[] = "store";
// Proofs and held polls per maximum copy age. About half of the age remains for a failover: the
// timeout of a silent peer and the request to the next one.
constexpr int ProofsPerMaxAge = 3;
constexpr int PollsPerMaxAge = 5;
/** Short, since requests with API keys are rejected without a recent proof. */
constexpr Duration ProofRetryDelay = std::chrono::milliseconds(300);

} // namespace

StateSync::StateSync(KeyValueStore &store, Dependencies dependencies, std::string incarnationId,
                     std::uint64_t randomOffset)
    : m_store(store)
    , m_dependencies(std::move(dependencies))
    , m_mirror({},
               [this](const std::string &key, const StoredItem *item, std::uint64_t revision) {
                   handleChange(key, item, revision);
               })
    , m_responder(m_mirror, m_proof, m_dependencies.linkBytesPerSecond, pollDuration())
    , m_upstreamChoice(m_dependencies.self, randomOffset)
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

void StateSync::handlePeerPoll(ExchangeNumber exchange, std::uint64_t revision,
                               const std::string &control)
{
    m_responder.addPoll(exchange, revision, control, m_dependencies.now(),
                        m_dependencies.bootNow());
    sendDueReplies();
}

void StateSync::sendDueReplies()
{
    const TimePoint now = m_dependencies.now();
    const bool mayBecomeCurrent = m_isCurrent || now < m_failoverUntil;
    for (const MirrorResponder::Reply &one :
         m_responder.takeDueReplies(now, m_dependencies.bootNow(), m_isCurrent, mayBecomeCurrent)) {
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
                m_mirror.applyPage(std::get<StoredPage>(result));
                m_responder.addStoreUpdates(m_mirror);
                if (!m_mirror.isListing()) {
                    m_proof.revisionRead(m_listingStartedAt, m_mirror.asOf(), m_mirror.asOf());
                }
                handleCallSuccess(upstream);
            });
        return;
    }
    ++m_callCounts.watches;
    m_store.watch(m_mirror.prefix(), std::get<WatchCall>(call).revision,
                  upstream.isProbe ? ProbeDuration : PollDuration,
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
                      handleCallSuccess(upstream);
                  });
}

void StateSync::requestFromPeer(const Upstream &upstream)
{
    const std::uint64_t generation = m_mirror.generation();
    HttpCall call;
    call.address = *upstream.peer;
    call.path = "/v1/mirror?after=" + std::to_string(m_mirror.beginPeerCall())
        + "&from=" + m_dependencies.self.controlAddress;
    call.timeout = m_mirror.isLoaded() ? PeerTimeout : FullCopyTimeout;
    call.traffic = Traffic::Peers;
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
    handleCallSuccess(upstream);
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

void StateSync::handleCallSuccess(const Upstream &upstream)
{
    m_upstreamChoice.reportSuccess(upstream);
    m_proof.copyAdvanced(m_mirror.asOf());
    if (!m_isCurrent) {
        m_isCurrent = true;
        m_storeWriter.handleStoreRecovery(m_dependencies.now());
        m_dependencies.record("store_copy_current",
                              "from=" + m_upstreamName
                                  + " as_of=" + std::to_string(m_mirror.asOf()));
    }
    sendDueReplies();
    startNextMirrorCall();
}

void StateSync::handleCallFailure(const Upstream &upstream, StoreError fault)
{
    m_mirror.callFailed(m_dependencies.now(), fault);
    if (fault == StoreError::HistoryGone) {
        m_upstreamChoice.reportSuccess(upstream);
    } else {
        m_upstreamChoice.reportFailure(m_dependencies.now(), upstream);
        if (std::exchange(m_isCurrent, false)) {
            m_failoverUntil = m_dependencies.now() + FailoverGracePeriod;
        }
        updateStoreWriter();
        sendDueReplies();
    }
    m_dependencies.record("store_copy_call_failed",
                          "from=" + m_upstreamName + " fault=" + nameOf(fault)
                              + " as_of=" + std::to_string(m_mirror.asOf()));
    startNextMirrorCall();
}

void StateSync::startDueProof()
{
    const TimePoint now = m_dependencies.now();
    const bool followsStore = m_isCurrent && m_upstreamName == StoreName;
    if (!m_dependencies.maxCopyAge || !followsStore || m_isProofPending || now < m_nextProofAt) {
        return;
    }
    const Duration interval = *m_dependencies.maxCopyAge / ProofsPerMaxAge;
    m_isProofPending = true;
    ++m_callCounts.proofs;
    // Every response has the store's revision; listing one small item is the cheapest call.
    m_store.list(m_dependencies.storeWriter.ordersLeaderKey, {},
                 [this, interval, askedAt = m_dependencies.bootNow()](const auto &result) {
                     m_isProofPending = false;
                     if (const auto *page = std::get_if<StoredPage>(&result)) {
                         m_proof.revisionRead(askedAt, page->asOf, m_mirror.asOf());
                         m_nextProofAt = m_dependencies.now() + interval;
                     } else {
                         m_nextProofAt = m_dependencies.now() + std::min(ProofRetryDelay, interval);
                         m_dependencies.record("copy_not_proven",
                                               nameOf(std::get<StoreError>(result)));
                     }
                 });
}

Duration StateSync::pollDuration() const
{
    return m_dependencies.maxCopyAge
        ? std::min(PollDuration, *m_dependencies.maxCopyAge / PollsPerMaxAge)
        : PollDuration;
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
