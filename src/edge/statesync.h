#pragma once

#include "edge/mirrorexchange.h"
#include "fleet/crashpublisher.h"
#include "fleet/leadership.h"
#include "fleet/nodeannouncer.h"
#include "fleet/upstreamchoice.h"
#include "http/eventbase.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "store/copyproof.h"
#include "store/copyturns.h"
#include "store/mirror.h"
#include "store/newslog.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace indigoway {

/**
 * Keeps this node's copy of the store up to date, from the store or from another node, and tells
 * other nodes of it. Also keeps the node's own entry in the store.
 */
class StateSync
{
public:
    using RecordHandler = std::function<void(const std::string &kind, const std::string &detail)>;

    struct Wiring
    {
        NodeEntry self;
        std::string ownKey;
        std::string leaderKey;
        std::string recordKey;
        std::string crashesPrefix;
        /** The copy is kept proven to be no older than this; nothing: it is not proven. */
        std::optional<Duration> mostCopyAge;
        /** An item was written, or is gone if it is null. */
        std::function<void(const std::string &key, const StoredItem *item)> changed;
        RecordHandler record;
        std::function<const NodeRoster &()> roster;
        std::function<std::vector<std::string>()> seeds; ///< Further control addresses.
        /** Whether other nodes may know this one from their settings. */
        std::function<bool()> isSeed;
        /** Whether all nodes rely on this one, so that its end must be noticed soon. */
        std::function<bool()> isReliedOn;
        double linkBytesPerSecond = 0;
        std::function<void(ExchangeNumber, const std::string &)> answerPeer;
    };

    /** @p life: a name that no other life of any node has. @p spread: a random number. */
    StateSync(event_base *base, KeyValueStore &store, HttpClient &client, Wiring wiring,
              std::string life, std::uint64_t spread);

    /** @p self: as it is announced, with the addresses that it listens on. */
    void start(const NodeEntry &self);
    /** Ends this node's entry; nothing is announced any more. */
    void leave();
    bool isKnown() const { return m_mirror.isKnown(); }
    std::uint64_t asOf() const { return m_mirror.asOf(); }
    /** How old the copy may be by @p now, at the most; nothing: not known. */
    std::optional<Duration> copyAge(BootTime now) const { return m_proof.age(now); }
    bool isAnnounced() const { return m_announcer.isAnnounced(); }
    bool holdsOrderRight() const { return m_leadership.isHeldByThis(); }
    /** This node has orders to give: its token holds once that is on record. */
    void prepareOrders();
    /** The token with which this node may give orders now; nothing if it may not. */
    std::optional<std::uint64_t> orderToken(TimePoint now) const;
    /** This process stood still: nothing it knew of its rights holds any more. */
    void stoodStill(TimePoint now);
    /** Lets all nodes know, as soon as the store can be written to. */
    void publish(const CrashNote &note);
    /**
     * Another node, at @p control, asks for what came after @p revision; it is answered when there
     * is something.
     */
    void takePeerQuestion(ExchangeNumber exchange, std::uint64_t revision,
                          const std::string &control);
    void peerGone(ExchangeNumber exchange) { m_questions.erase(exchange); }

    /** Calls to the store by this life of the node, each of which is paid for. */
    struct StoreCalls
    {
        std::uint64_t lists = 0;
        std::uint64_t watches = 0;
        std::uint64_t leases = 0; ///< Granted and ended.
        std::uint64_t renewals = 0;
        std::uint64_t writes = 0;
        std::uint64_t proofs = 0; ///< That the copy is up to date.
    };
    const StoreCalls &storeCalls() const { return m_calls; }

private:
    struct Question
    {
        std::uint64_t revision = 0;
        TimePoint answerBy {};
        BootTime arrived {};
        std::string asker; ///< Its control address.
    };

    void pump();
    void pumpMirror();
    void askStore(const Upstream &upstream);
    void askPeer(const Upstream &upstream);
    void peerAnswered(const Upstream &upstream, BootTime askedAt, const MirrorAnswer &answer);
    /** Takes in a block of news; false if it cannot be read. */
    bool takeBlock(const std::string &bytes);
    /** Others can be told of what the store has told. */
    void passOnHeard();
    void succeeded(const Upstream &upstream);
    void failed(const Upstream &upstream, StoreFault fault);
    void pumpProof();
    /** Whether a question can be answered now; what it is answered by then. */
    bool isDue(const Question &question, TimePoint now) const;
    std::string answerTo(const Question &question, TimePoint now);
    /** Nodes that have had a whole copy of this one, or follow it. */
    void noteFollower(const std::string &control);
    Duration questionWait() const;
    void pumpAnnouncer();
    Duration wantedLifetime() const;
    bool noteAnnouncement(const std::variant<StoreDone, StoreFault> &result);
    void pumpLeadership();
    void pumpPublisher();
    void writeNotes(const WriteNotesCall &call);
    void notesFailed(StoreFault fault);
    void changed(const std::string &key, const StoredItem *item, std::uint64_t revision);
    void answerQuestions();
    void noteUpstream(const Upstream &upstream);

    KeyValueStore &m_store;
    HttpClient &m_client;
    Wiring m_wiring;
    EventHandle m_timer;
    Mirror m_mirror;
    NewsLog m_news;
    CopyTurns m_copyTurns;
    std::deque<std::string> m_followers; ///< Their control addresses, the latest last.
    CopyProof m_proof;
    TimePoint m_proofWantedAt {};
    bool m_isProving = false;  ///< The store is being asked.
    BootTime m_listAskedAt {}; ///< For the first page of the listing that is under way.
    UpstreamChoice m_choice;
    NodeAnnouncer m_announcer;
    Leadership m_leadership;
    CrashPublisher m_publisher;
    std::map<ExchangeNumber, Question> m_questions;
    StoreCalls m_calls;
    bool m_isCurrent = false; ///< The last call succeeded.
    /** Until then the nodes below this one are not told that it hears nothing. */
    TimePoint m_lookingElsewhereUntil {};
    std::string m_upstream; ///< Whom it was made to; for logs.
};

} // namespace indigoway
