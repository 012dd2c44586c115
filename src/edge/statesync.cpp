#include "statesync.h"

#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace indigoway {

namespace {

/** How long a question is held. Bounds for how long a connection that fell silent is relied on. */
constexpr Duration QuestionWait = std::chrono::milliseconds(1000);
constexpr Duration ProbeWait = std::chrono::milliseconds(50);
constexpr Duration PeerTimeout = QuestionWait + std::chrono::milliseconds(300);
/** For a whole copy, which may take its turn on the sender's link. */
constexpr Duration CopyTimeout = std::chrono::milliseconds(4000);
/** A node whose upstream has failed finds another one before those below it turn elsewhere. */
constexpr Duration LooksElsewhereFor = std::chrono::milliseconds(250);
/** The upstream's name in logs, where it is no node. */
constexpr char Store[] = "store";
constexpr timeval TickEvery {0, 50'000};
/**
 * Of the age that the copy may come to: how often the store is asked for a proof, and how long
 * another node's question is held. Together they leave half of it for what fails on the way: a
 * node that fell silent, and the next one that is asked.
 */
constexpr int ProofsInAge = 3;
constexpr int QuestionsInAge = 5;
/** After a proof that could not be had; short, since nobody is served for a key without one. */
constexpr Duration ProveAgainAfter = std::chrono::milliseconds(300);

TimePoint present()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

StateSync::StateSync(event_base *base, KeyValueStore &store, HttpClient &client, Wiring wiring,
                     std::string life, std::uint64_t spread)
    : m_store(store)
    , m_client(client)
    , m_wiring(std::move(wiring))
    , m_timer(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void *self) { static_cast<StateSync *>(self)->pump(); }, this))
    , m_mirror({},
               [this](const std::string &key, const StoredItem *item, std::uint64_t revision) {
                   changed(key, item, revision);
               })
    , m_answers(m_mirror, m_proof, m_wiring.linkBytesPerSecond, questionWait())
    , m_choice(m_wiring.self, spread)
    , m_records(store, m_calls, m_wiring.records, std::move(life))
{ }

void StateSync::start(const NodeEntry &self)
{
    m_wiring.self = self;
    m_records.setSelf(self);
    m_lookingElsewhereUntil = present() + LooksElsewhereFor;
    event_add(m_timer.get(), &TickEvery);
    pump();
}

void StateSync::stoodStill(TimePoint now)
{
    m_records.stoodStill(now);
    m_mirror.refresh();
    pump();
}

void StateSync::pump()
{
    pumpMirror();
    pumpProof();
    pumpRecords();
    answerQuestions();
}

void StateSync::pumpRecords()
{
    const NodeDirectory &roster = m_wiring.roster();
    StoreRecords::Standing standing;
    standing.isCurrent = m_isCurrent;
    standing.isWatcher = m_choice.isWatcher(roster);
    const bool isReliedOn =
        standing.isWatcher || m_records.holdsOrderRight() || m_wiring.isReliedOn();
    if (!isReliedOn) {
        standing.leaseLifetime = NodeAnnouncer::lifetimeFor(roster.size());
    }
    m_records.pump(standing);
}

void StateSync::takePeerQuestion(ExchangeNumber exchange, std::uint64_t revision,
                                 const std::string &control)
{
    m_answers.take(exchange, revision, control, present(), BootClock::now());
    answerQuestions();
}

void StateSync::answerQuestions()
{
    const TimePoint now = present();
    const bool mayHear = m_isCurrent || now < m_lookingElsewhereUntil;
    for (const NewsAnswers::Answered &one :
         m_answers.due(now, BootClock::now(), m_isCurrent, mayHear)) {
        m_wiring.answerPeer(one.exchange, one.body);
    }
}

void StateSync::changed(const std::string &key, const StoredItem *item, std::uint64_t revision)
{
    m_records.changed(key, item ? &item->value : nullptr, revision, present());
    m_wiring.changed(key, item);
}

void StateSync::pumpMirror()
{
    const TimePoint now = present();
    if (m_mirror.isBusy(now)) {
        return;
    }
    const NodeDirectory &roster = m_wiring.roster();
    const bool isLongListing =
        !m_mirror.isLoaded() && m_mirror.pagesListed() >= UpstreamSelector::MaxStorePages;
    const std::optional<Upstream> upstream = isLongListing
        ? m_choice.chooseForSnapshot(now, roster, m_wiring.seeds(), m_wiring.isSeed())
        : m_choice.choose(now, roster, m_wiring.seeds());
    if (!upstream) {
        return;
    }
    noteUpstream(*upstream);
    if (upstream->peer) {
        askPeer(*upstream);
    } else {
        askStore(*upstream);
    }
}

void StateSync::askStore(const Upstream &upstream)
{
    const std::uint64_t generation = m_mirror.generation();
    const MirrorCall call = m_mirror.beginStoreCall();
    if (const auto *list = std::get_if<ListCall>(&call)) {
        ++m_calls.lists;
        if (list->after.empty()) {
            m_listAskedAt = BootClock::now();
        }
        m_store.list(m_mirror.prefix(), list->after,
                     [this, upstream, generation](const auto &result) {
                         if (generation != m_mirror.generation()) {
                             return;
                         }
                         if (const auto *fault = std::get_if<StoreError>(&result)) {
                             failed(upstream, *fault);
                             return;
                         }
                         m_mirror.applyPage(std::get<StoredPage>(result));
                         m_answers.passOnHeard(m_mirror);
                         if (!m_mirror.isListing()) {
                             m_proof.revisionRead(m_listAskedAt, m_mirror.asOf(), m_mirror.asOf());
                         }
                         succeeded(upstream);
                     });
        return;
    }
    ++m_calls.watches;
    m_store.watch(m_mirror.prefix(), std::get<WatchCall>(call).revision,
                  upstream.isProbe ? ProbeWait : QuestionWait,
                  [this, upstream, generation](const auto &result) {
                      if (generation != m_mirror.generation()) {
                          return;
                      }
                      if (const auto *fault = std::get_if<StoreError>(&result)) {
                          failed(upstream, *fault);
                          return;
                      }
                      m_mirror.applyWatch(present(), std::get<StoredChanges>(result));
                      m_answers.passOnHeard(m_mirror);
                      succeeded(upstream);
                  });
}

void StateSync::askPeer(const Upstream &upstream)
{
    const std::uint64_t generation = m_mirror.generation();
    HttpCall call;
    call.address = *upstream.peer;
    call.path = "/v1/mirror?after=" + std::to_string(m_mirror.beginPeerCall())
        + "&from=" + m_wiring.self.controlAddress;
    call.timeout = m_mirror.isLoaded() ? PeerTimeout : CopyTimeout;
    call.traffic = Traffic::Peers;
    const BootTime askedAt = BootClock::now();
    m_client.start(std::move(call),
                   [this, upstream, generation, askedAt](const HttpAnswer &answer) {
                       if (generation != m_mirror.generation()) {
                           return;
                       }
                       constexpr int Ok = 200;
                       if (answer.end != HttpAnswer::End::Complete || answer.status != Ok) {
                           failed(upstream, StoreError::Unanswered);
                           return;
                       }
                       const auto told = decodeAnswer(answer.body);
                       if (!told) {
                           failed(upstream, StoreError::Refused);
                           return;
                       }
                       peerAnswered(upstream, askedAt, *told);
                   });
}

void StateSync::peerAnswered(const Upstream &upstream, BootTime askedAt, const MirrorAnswer &answer)
{
    for (const std::string &block : answer.blocks) {
        if (!takeBlock(block)) {
            failed(upstream, StoreError::Refused);
            return;
        }
    }
    m_mirror.completePeerCall();
    if (!m_mirror.isLoaded()) {
        // Not at fault, and not of use yet.
        m_choice.handleReferral(present(), upstream, answer.elsewhere);
        pumpMirror();
        return;
    }
    if (answer.age) {
        m_proof.peerAnswered(askedAt, BootClock::now(), answer.held, *answer.age);
    }
    succeeded(upstream);
}

bool StateSync::takeBlock(const std::string &bytes)
{
    const auto news = decodeUpdate(bytes);
    if (!news || !m_mirror.applyUpdate(*news)) {
        return false;
    }
    m_answers.passOn(
        {news->after, news->asOf, news->isSnapshot, std::make_shared<const std::string>(bytes)});
    return true;
}

void StateSync::succeeded(const Upstream &upstream)
{
    m_choice.reportSuccess(upstream);
    m_proof.copyAdvanced(m_mirror.asOf());
    if (!m_isCurrent) {
        m_isCurrent = true;
        m_records.storeIsBack(present());
        m_wiring.record("store_copy_current",
                        "from=" + m_upstream + " as_of=" + std::to_string(m_mirror.asOf()));
    }
    answerQuestions();
    pumpMirror();
}

void StateSync::failed(const Upstream &upstream, StoreError fault)
{
    m_mirror.callFailed(present(), fault);
    if (fault == StoreError::HistoryGone) {
        m_choice.reportSuccess(upstream);
    } else {
        m_choice.reportFailure(present(), upstream);
        if (std::exchange(m_isCurrent, false)) {
            m_lookingElsewhereUntil = present() + LooksElsewhereFor;
        }
        pumpRecords();
        answerQuestions();
    }
    m_wiring.record("store_copy_call_failed",
                    "from=" + m_upstream + " fault=" + nameOf(fault)
                        + " as_of=" + std::to_string(m_mirror.asOf()));
    pumpMirror();
}

void StateSync::pumpProof()
{
    const TimePoint now = present();
    const bool hearsStore = m_isCurrent && m_upstream == Store;
    if (!m_wiring.mostCopyAge || !hearsStore || m_isProving || now < m_proofWantedAt) {
        return;
    }
    const Duration usualPause = *m_wiring.mostCopyAge / ProofsInAge;
    m_isProving = true;
    ++m_calls.proofs;
    // Any answer tells the store's revision; that of one small item is the cheapest.
    m_store.list(m_wiring.records.leaderKey, {},
                 [this, usualPause, askedAt = BootClock::now()](const auto &result) {
                     m_isProving = false;
                     if (const auto *page = std::get_if<StoredPage>(&result)) {
                         m_proof.revisionRead(askedAt, page->asOf, m_mirror.asOf());
                         m_proofWantedAt = present() + usualPause;
                     } else {
                         m_proofWantedAt = present() + std::min(ProveAgainAfter, usualPause);
                         m_wiring.record("copy_not_proven", nameOf(std::get<StoreError>(result)));
                     }
                 });
}

Duration StateSync::questionWait() const
{
    return m_wiring.mostCopyAge ? std::min(QuestionWait, *m_wiring.mostCopyAge / QuestionsInAge)
                                : QuestionWait;
}

void StateSync::noteUpstream(const Upstream &upstream)
{
    const std::string name = upstream.peer.value_or(Store);
    if (name != m_upstream) {
        m_wiring.record("upstream", "from=" + name + " before=" + m_upstream);
        m_upstream = name;
    }
}

} // namespace indigoway
