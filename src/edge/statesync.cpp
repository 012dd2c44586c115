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
/** Nodes that an asker is referred to. */
constexpr std::size_t MostFollowers = 16;
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
    , m_copyTurns(m_wiring.linkBytesPerSecond)
    , m_choice(m_wiring.self, spread)
    , m_leadership(std::move(life))
{ }

void StateSync::start(const NodeEntry &self)
{
    m_wiring.self = self;
    m_lookingElsewhereUntil = present() + LooksElsewhereFor;
    event_add(m_timer.get(), &TickEvery);
    pump();
}

void StateSync::leave()
{
    const StoreLease lease = m_announcer.leave();
    if (lease.isNone()) {
        return;
    }
    ++m_calls.leases;
    m_store.endLease(lease, [this](const std::variant<StoreDone, StoreFault> &result) {
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            m_wiring.record("entry_not_ended", nameOf(*fault));
        }
    });
}

std::optional<std::uint64_t> StateSync::orderToken(TimePoint now) const
{
    return m_isCurrent ? m_leadership.token(now, m_announcer.renewedAt()) : std::nullopt;
}

void StateSync::stoodStill(TimePoint now)
{
    m_leadership.stoodStill(now);
    m_mirror.refresh();
    pump();
}

void StateSync::takePeerQuestion(ExchangeNumber exchange, std::uint64_t revision,
                                 const std::string &control)
{
    m_questions[exchange] = {revision, present() + questionWait(), BootClock::now(), control};
    answerQuestions();
}

void StateSync::pump()
{
    pumpMirror();
    pumpProof();
    pumpAnnouncer();
    pumpLeadership();
    pumpPublisher();
    answerQuestions();
}

void StateSync::publish(const CrashNote &note)
{
    m_publisher.add(note);
    pumpPublisher();
}

void StateSync::changed(const std::string &key, const StoredItem *item, std::uint64_t revision)
{
    const std::string *value = item ? &item->value : nullptr;
    if (!value && key == m_wiring.ownKey) {
        m_announcer.entryVanished();
    }
    if (key == m_wiring.recordKey && value) {
        m_leadership.recordSeen(revision);
    }
    if (key == m_wiring.leaderKey) {
        m_leadership.holderSeen(value, revision, present());
        m_wiring.record("order_right",
                        "holder=" + (value ? *value : std::string("none"))
                            + " token=" + std::to_string(revision));
    }
    m_wiring.changed(key, item);
}

void StateSync::pumpMirror()
{
    const TimePoint now = present();
    if (m_mirror.isBusy(now)) {
        return;
    }
    const NodeRoster &roster = m_wiring.roster();
    const bool isLongListing =
        !m_mirror.isKnown() && m_mirror.pagesListed() >= UpstreamChoice::MostOwnPages;
    const std::optional<Upstream> upstream = isLongListing
        ? m_choice.chooseForFirstCopy(now, roster, m_wiring.seeds(), m_wiring.isSeed())
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
                         if (const auto *fault = std::get_if<StoreFault>(&result)) {
                             failed(upstream, *fault);
                             return;
                         }
                         m_mirror.listed(std::get<StoredPage>(result));
                         passOnHeard();
                         if (!m_mirror.isListing()) {
                             m_proof.answered(m_listAskedAt, m_mirror.asOf(), m_mirror.asOf());
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
                      if (const auto *fault = std::get_if<StoreFault>(&result)) {
                          failed(upstream, *fault);
                          return;
                      }
                      m_mirror.watched(present(), std::get<StoredChanges>(result));
                      passOnHeard();
                      succeeded(upstream);
                  });
}

void StateSync::askPeer(const Upstream &upstream)
{
    const std::uint64_t generation = m_mirror.generation();
    HttpCall call;
    call.address = *upstream.peer;
    call.path = "/v1/mirror?after=" + std::to_string(m_mirror.beginPeerCall())
        + "&from=" + m_wiring.self.control;
    call.timeout = m_mirror.isKnown() ? PeerTimeout : CopyTimeout;
    call.traffic = Traffic::Peers;
    const BootTime askedAt = BootClock::now();
    m_client.start(std::move(call),
                   [this, upstream, generation, askedAt](const HttpAnswer &answer) {
                       if (generation != m_mirror.generation()) {
                           return;
                       }
                       constexpr int Ok = 200;
                       if (answer.end != HttpAnswer::End::Complete || answer.status != Ok) {
                           failed(upstream, StoreFault::Unanswered);
                           return;
                       }
                       const auto told = decodeAnswer(answer.body);
                       if (!told) {
                           failed(upstream, StoreFault::Refused);
                           return;
                       }
                       peerAnswered(upstream, askedAt, *told);
                   });
}

void StateSync::peerAnswered(const Upstream &upstream, BootTime askedAt, const MirrorAnswer &answer)
{
    for (const std::string &block : answer.blocks) {
        if (!takeBlock(block)) {
            failed(upstream, StoreFault::Refused);
            return;
        }
    }
    m_mirror.peerAnswered();
    if (!m_mirror.isKnown()) {
        // Not at fault, and not of use yet.
        m_choice.referred(present(), upstream, answer.elsewhere);
        pumpMirror();
        return;
    }
    if (answer.age) {
        m_proof.told(askedAt, BootClock::now(), answer.held, *answer.age);
    }
    succeeded(upstream);
}

bool StateSync::takeBlock(const std::string &bytes)
{
    const auto news = decodeNews(bytes);
    if (!news || !m_mirror.told(*news)) {
        return false;
    }
    m_news.add(
        {news->after, news->asOf, news->isWhole, std::make_shared<const std::string>(bytes)});
    return true;
}

void StateSync::passOnHeard()
{
    if (const auto heard = m_mirror.takeHeard()) {
        m_news.add(encodeNews(*heard));
    } else if (m_news.upTo() < m_mirror.asOf()) {
        m_news.startAt(m_mirror.asOf());
    }
}

void StateSync::succeeded(const Upstream &upstream)
{
    m_choice.succeeded(upstream);
    m_proof.copied(m_mirror.asOf());
    if (!m_isCurrent) {
        m_isCurrent = true;
        m_announcer.storeIsBack(present());
        m_publisher.storeIsBack(present());
        m_wiring.record("store_copy_current",
                        "from=" + m_upstream + " as_of=" + std::to_string(m_mirror.asOf()));
    }
    answerQuestions();
    pumpMirror();
}

void StateSync::failed(const Upstream &upstream, StoreFault fault)
{
    m_mirror.failed(present(), fault);
    if (fault == StoreFault::HistoryGone) {
        m_choice.succeeded(upstream);
    } else {
        m_choice.failed(present(), upstream);
        if (std::exchange(m_isCurrent, false) && upstream.peer) {
            // One that hears the store itself tells at once: whoever is above it is gone.
            m_lookingElsewhereUntil = present() + LooksElsewhereFor;
        }
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
    m_store.list(m_wiring.leaderKey, {},
                 [this, usualPause, askedAt = BootClock::now()](const auto &result) {
                     m_isProving = false;
                     if (const auto *page = std::get_if<StoredPage>(&result)) {
                         m_proof.answered(askedAt, page->asOf, m_mirror.asOf());
                         m_proofWantedAt = present() + usualPause;
                     } else {
                         m_proofWantedAt = present() + std::min(ProveAgainAfter, usualPause);
                         m_wiring.record("copy_not_proven", nameOf(std::get<StoreFault>(result)));
                     }
                 });
}

Duration StateSync::questionWait() const
{
    return m_wiring.mostCopyAge ? std::min(QuestionWait, *m_wiring.mostCopyAge / QuestionsInAge)
                                : QuestionWait;
}

Duration StateSync::wantedLifetime() const
{
    const NodeRoster &roster = m_wiring.roster();
    const bool isReliedOn =
        m_choice.isWatcher(roster) || m_leadership.isHeldByThis() || m_wiring.isReliedOn();
    return isReliedOn ? NodeAnnouncer::LeastLifetime : NodeAnnouncer::lifetimeFor(roster.size());
}

void StateSync::pumpAnnouncer()
{
    m_announcer.setWanted(wantedLifetime());
    const auto call = m_announcer.nextCall(present());
    if (!call) {
        return;
    }
    if (const auto *grant = std::get_if<GrantLeaseCall>(&*call)) {
        ++m_calls.leases;
        m_store.grantLease(grant->lifetime, [this](const auto &result) {
            if (const auto *fault = std::get_if<StoreFault>(&result)) {
                m_announcer.failed(present(), *fault);
            } else {
                m_announcer.leaseGranted(present(), std::get<GrantedLease>(result));
            }
            pumpAnnouncer();
        });
    } else if (const auto *put = std::get_if<PutEntryCall>(&*call)) {
        StoreCommit commit;
        commit.writes.push_back({m_wiring.ownKey, encodeNodeEntry(m_wiring.self), put->lease});
        ++m_calls.writes;
        m_store.commit(commit, [this](const auto &result) {
            if (noteAnnouncement(result)) {
                m_announcer.entryWritten(present());
            }
            pumpAnnouncer();
        });
    } else {
        ++m_calls.renewals;
        m_store.renewLease(std::get<RenewLeaseCall>(*call).lease, [this](const auto &result) {
            if (noteAnnouncement(result)) {
                m_announcer.leaseRenewed(present());
            }
            pumpAnnouncer();
        });
    }
}

void StateSync::pumpLeadership()
{
    const bool mayAsk = m_isCurrent && m_choice.isWatcher(m_wiring.roster())
        && m_announcer.isAnnounced() && !m_announcer.lease().isNone();
    if (!mayAsk || !m_leadership.shouldAcquire(present())) {
        return;
    }
    StoreCommit commit;
    commit.conditions.push_back({m_wiring.leaderKey, 0});
    commit.writes.push_back({m_wiring.leaderKey, m_leadership.life(), m_announcer.lease()});
    // Whether it was done shows in the copy of the store, also where the answer is lost.
    ++m_calls.writes;
    m_store.commit(commit, [this](const std::variant<StoreDone, StoreFault> &result) {
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            m_wiring.record("order_right_not_taken", nameOf(*fault));
        }
    });
}

void StateSync::prepareOrders()
{
    if (!m_isCurrent || !m_leadership.shouldRecord(present())) {
        return;
    }
    StoreCommit commit;
    commit.conditions.push_back({m_wiring.leaderKey, m_leadership.revision()});
    commit.conditions.push_back({m_wiring.recordKey, 0});
    commit.writes.push_back({m_wiring.recordKey, m_leadership.life(), StoreLease()});
    ++m_calls.writes;
    m_store.commit(commit, [this](const std::variant<StoreDone, StoreFault> &result) {
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            m_wiring.record("orders_not_prepared", nameOf(*fault));
        }
    });
}

void StateSync::pumpPublisher()
{
    const auto call = m_publisher.nextCall(present());
    if (!call) {
        return;
    }
    if (const auto *write = std::get_if<WriteNotesCall>(&*call)) {
        writeNotes(*write);
        return;
    }
    ++m_calls.leases;
    m_store.grantLease(CrashPublisher::LeaseLifetime, [this](const auto &result) {
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            notesFailed(*fault);
        } else {
            m_publisher.leaseGranted(present(), std::get<GrantedLease>(result).lease);
        }
        pumpPublisher();
    });
}

void StateSync::writeNotes(const WriteNotesCall &call)
{
    StoreCommit commit;
    for (const CrashNote &note : call.notes) {
        commit.writes.push_back(
            {crashKey(m_wiring.crashesPrefix, note), m_wiring.self.name.text(), call.lease});
    }
    ++m_calls.writes;
    m_store.commit(commit, [this](const auto &result) {
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            notesFailed(*fault);
        } else {
            m_publisher.written(present());
        }
        pumpPublisher();
    });
}

void StateSync::notesFailed(StoreFault fault)
{
    m_publisher.failed(present(), fault);
    m_wiring.record("crash_not_shared",
                    std::string(nameOf(fault))
                        + " waiting=" + std::to_string(m_publisher.waiting()));
}

bool StateSync::noteAnnouncement(const std::variant<StoreDone, StoreFault> &result)
{
    const auto *fault = std::get_if<StoreFault>(&result);
    if (!fault) {
        return true;
    }
    m_announcer.failed(present(), *fault);
    m_wiring.record("entry_not_kept", nameOf(*fault));
    return false;
}

void StateSync::answerQuestions()
{
    const TimePoint now = present();
    for (auto it = m_questions.begin(); it != m_questions.end();) {
        if (!isDue(it->second, now)) {
            ++it;
            continue;
        }
        const ExchangeNumber exchange = it->first;
        const Question question = it->second;
        it = m_questions.erase(it);
        m_wiring.answerPeer(exchange, answerTo(question, now));
    }
}

bool StateSync::isDue(const Question &question, TimePoint now) const
{
    const bool hasNews = m_mirror.isKnown() && m_mirror.asOf() > question.revision;
    const bool mayHear = m_isCurrent || now < m_lookingElsewhereUntil;
    return hasNews || !mayHear || now >= question.answerBy;
}

std::string StateSync::answerTo(const Question &question, TimePoint now)
{
    const bool hasNews = m_mirror.isKnown() && m_mirror.asOf() > question.revision;
    if (!hasNews && !m_isCurrent) {
        // A node that does not hear the store says nothing of use; the asker goes elsewhere.
        return {};
    }
    MirrorAnswer answer;
    answer.held = BootClock::now() - question.arrived;
    if (m_news.needsWhole(question.revision) && !m_copyTurns.mayBegin(now)) {
        answer.elsewhere = {m_followers.begin(), m_followers.end()};
        return encodeAnswer(answer);
    }
    const auto blocks =
        m_news.since(question.revision, [this] { return encodeNews(m_mirror.whole()); });
    for (const NewsBlock &block : blocks) {
        answer.blocks.push_back(*block.bytes);
        if (block.isWhole) {
            m_copyTurns.begin(now, block.bytes->size());
        }
    }
    if (blocks.empty() || blocks.back().upTo == m_mirror.asOf()) {
        answer.age = m_proof.age(BootClock::now());
    }
    if (question.revision > 0 || !blocks.empty()) {
        noteFollower(question.asker);
    }
    return encodeAnswer(answer);
}

void StateSync::noteFollower(const std::string &control)
{
    if (control.empty() || std::ranges::find(m_followers, control) != m_followers.end()) {
        return;
    }
    m_followers.push_back(control);
    if (m_followers.size() > MostFollowers) {
        m_followers.pop_front();
    }
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
