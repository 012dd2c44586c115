#include "statesync.h"

#include "edge/mirrorexchange.h"

#include <event2/event.h>

namespace indigoway {

namespace {

/** How long a question is held. Bounds for how long a connection that fell silent is relied on. */
constexpr Duration QuestionWait = std::chrono::milliseconds(1000);
constexpr Duration ProbeWait = std::chrono::milliseconds(50);
constexpr Duration PeerTimeout = QuestionWait + std::chrono::milliseconds(300);
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
                     std::string life)
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
    , m_choice(m_wiring.self.name, m_wiring.self.domain)
    , m_leadership(std::move(life))
{ }

void StateSync::start(const NodeEntry &self)
{
    m_wiring.self = self;
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

void StateSync::takePeerQuestion(ExchangeNumber exchange, std::uint64_t revision)
{
    m_questions[exchange] = {revision, present() + questionWait(), BootClock::now()};
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
    const Upstream upstream =
        m_choice.choose(now, m_wiring.members(), m_wiring.seeds(), !m_mirror.isKnown());
    noteUpstream(upstream);
    if (upstream.peer) {
        askPeer(upstream);
    } else {
        askStore(upstream);
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
                      succeeded(upstream);
                  });
}

void StateSync::askPeer(const Upstream &upstream)
{
    const std::uint64_t generation = m_mirror.generation();
    HttpCall call;
    call.address = *upstream.peer;
    call.path = "/v1/mirror?after=" + std::to_string(m_mirror.beginPeerCall());
    call.timeout = PeerTimeout;
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
                       const auto news = decodeNews(answer.body);
                       if (!news) {
                           failed(upstream, StoreFault::Refused);
                           return;
                       }
                       m_mirror.told(*news);
                       if (news->age) {
                           m_proof.told(askedAt, BootClock::now(), news->held, *news->age);
                       }
                       succeeded(upstream);
                   });
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
        m_isCurrent = false;
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

void StateSync::pumpAnnouncer()
{
    const auto call = m_announcer.nextCall(present());
    if (!call) {
        return;
    }
    if (std::holds_alternative<GrantLeaseCall>(*call)) {
        ++m_calls.leases;
        m_store.grantLease(NodeAnnouncer::LeaseLifetime, [this](const auto &result) {
            if (const auto *fault = std::get_if<StoreFault>(&result)) {
                m_announcer.failed(present(), *fault);
            } else {
                m_announcer.leaseGranted(present(), std::get<GrantedLease>(result).lease);
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
    const bool mayAsk = m_isCurrent && m_choice.isWatcher(m_wiring.members())
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
        const bool hasNews = m_mirror.asOf() > it->second.revision;
        if (!hasNews && m_isCurrent && now < it->second.answerBy) {
            ++it;
            continue;
        }
        const ExchangeNumber exchange = it->first;
        const Question question = it->second;
        it = m_questions.erase(it);
        // A node that does not hear the store itself says nothing of use; the asker goes elsewhere.
        m_wiring.answerPeer(exchange, hasNews || m_isCurrent ? newsSince(question) : std::string());
    }
}

std::string StateSync::newsSince(const Question &question) const
{
    const BootTime now = BootClock::now();
    MirrorNews news = m_mirror.newsSince(question.revision);
    news.age = m_proof.age(now);
    news.held = now - question.arrived;
    return encodeNews(news);
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
