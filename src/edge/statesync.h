#pragma once

#include "edge/newsanswers.h"
#include "edge/storerecords.h"
#include "fleet/upstreamselector.h"
#include "http/eventbase.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "store/mirror.h"
#include "store/stalenessbound.h"

#include <functional>
#include <string>
#include <vector>

namespace indigoway {

/**
 * Keeps this node's copy of the store up to date, from the store or from another node, and tells
 * other nodes of it.
 */
class StateSync
{
public:
    struct Wiring
    {
        NodeEntry self;
        StoreRecords::Wiring records;
        /** The copy is kept proven to be no older than this; nothing: it is not proven. */
        std::optional<Duration> mostCopyAge;
        /** An item was written, or is gone if it is null. */
        std::function<void(const std::string &key, const StoredItem *item)> changed;
        StoreRecords::RecordHandler record;
        std::function<const NodeDirectory &()> roster;
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
    bool isKnown() const { return m_mirror.isLoaded(); }
    std::uint64_t asOf() const { return m_mirror.asOf(); }
    /** How old the copy may be by @p now, at the most; nothing: not known. */
    std::optional<Duration> copyAge(BootTime now) const { return m_proof.age(now); }
    /** What this node writes to the store. */
    StoreRecords &records() { return m_records; }
    /** This process stood still: nothing it knew of its rights holds any more. */
    void stoodStill(TimePoint now);
    /**
     * Another node, at @p control, asks for what came after @p revision; it is answered when there
     * is something.
     */
    void takePeerQuestion(ExchangeNumber exchange, std::uint64_t revision,
                          const std::string &control);
    void peerGone(ExchangeNumber exchange) { m_answers.askerGone(exchange); }

    const StoreCalls &storeCalls() const { return m_calls; }

private:
    void pump();
    void pumpMirror();
    void askStore(const Upstream &upstream);
    void askPeer(const Upstream &upstream);
    void peerAnswered(const Upstream &upstream, BootTime askedAt, const MirrorAnswer &answer);
    /** Takes in a block of news; false if it cannot be read. */
    bool takeBlock(const std::string &bytes);
    void succeeded(const Upstream &upstream);
    void failed(const Upstream &upstream, StoreError fault);
    void pumpProof();
    void pumpRecords();
    Duration questionWait() const;
    void changed(const std::string &key, const StoredItem *item, std::uint64_t revision);
    void answerQuestions();
    void noteUpstream(const Upstream &upstream);

    KeyValueStore &m_store;
    HttpClient &m_client;
    Wiring m_wiring;
    EventHandle m_timer;
    Mirror m_mirror;
    StalenessBound m_proof;
    NewsAnswers m_answers;
    TimePoint m_proofWantedAt {};
    bool m_isProving = false;  ///< The store is being asked.
    BootTime m_listAskedAt {}; ///< For the first page of the listing that is under way.
    UpstreamSelector m_choice;
    StoreCalls m_calls;
    StoreRecords m_records;
    bool m_isCurrent = false; ///< The last call succeeded.
    /** Until then the nodes below this one are not told that it hears nothing. */
    TimePoint m_lookingElsewhereUntil {};
    std::string m_upstream; ///< Whom it was made to; for logs.
};

} // namespace indigoway
