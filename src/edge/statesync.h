#pragma once

#include "edge/mirrorresponder.h"
#include "edge/storewriter.h"
#include "fleet/upstreamselector.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "store/mirror.h"
#include "store/stalenessbound.h"

#include <functional>
#include <string>
#include <vector>

namespace indigoway {

/**
 * Keeps this node's copy of the store up to date from the store or from another node, and passes
 * the changes on to other nodes.
 */
class StateSync
{
public:
    struct Dependencies
    {
        NodeEntry self;
        StoreWriter::Dependencies storeWriter;
        /** Age limit that the copy is regularly checked to keep; nothing: it is not checked. */
        std::optional<Duration> maxCopyAge;
        /** Handles the change of an item; the item is null if it was removed. */
        std::function<void(const std::string &key, const StoredItem *item)> itemChanged;
        StoreWriter::RecordHandler record;
        std::function<const NodeDirectory &()> roster;
        std::function<std::vector<std::string>()> seeds; ///< Control addresses from the settings.
        /** Whether this node is a seed in the settings of other nodes. */
        std::function<bool()> isSeed;
        /** Whether other nodes depend on this one, so that its failure must be detected soon. */
        std::function<bool()> needsShortLease;
        double linkBytesPerSecond = 0;
        /** Starts a call to another node; the handler is called once, after this has returned. */
        std::function<void(HttpCall, HttpClient::DoneHandler)> startPeerCall;
        /** Sends a response to a polling node; 503 if the body is empty. */
        std::function<void(ExchangeNumber, const std::string &)> replyToPeer;
        std::function<TimePoint()> now;    ///< Returns the present time.
        std::function<BootTime()> bootNow; ///< Returns the present time, suspensions included.
    };

    /** How often the owner calls tick(). */
    static constexpr Duration TickInterval = std::chrono::milliseconds(50);

    /**
     * @param incarnationId Identifies this run of the process; unique over all nodes.
     * @param randomOffset Spreads the nodes over the possible upstreams.
     */
    StateSync(KeyValueStore &store, Dependencies dependencies, std::string incarnationId,
              std::uint64_t randomOffset);

    /** @param self The entry to announce, with the bound addresses. */
    void start(const NodeEntry &self);
    /** Starts the calls and sends the replies that are due. */
    void tick();
    /** Returns whether there is a full copy of the store. */
    bool isKnown() const { return m_mirror.isLoaded(); }
    std::uint64_t asOf() const { return m_mirror.asOf(); }
    /** Returns the maximum age of the copy at @p now; nothing if it is unknown. */
    std::optional<Duration> copyAge(BootTime now) const { return m_proof.age(now); }
    StoreWriter &storeWriter() { return m_storeWriter; }
    /** Lists the store anew and renews this node's rights, after this process was suspended. */
    void handleSuspension(TimePoint now);
    /**
     * Handles a poll of the node at @p control for the changes after @p revision. If there are
     * none, the response is delayed until there are or the poll's hold time is over.
     */
    void handlePeerPoll(ExchangeNumber exchange, std::uint64_t revision,
                        const std::string &control);
    void cancelPeerPoll(ExchangeNumber exchange) { m_responder.cancelPoll(exchange); }

    const StoreCallCounts &storeCallCounts() const { return m_callCounts; }

private:
    /** Starts a call for changes to the store or a peer, unless one is under way. */
    void startNextMirrorCall();
    void requestFromStore(const Upstream &upstream);
    void requestFromPeer(const Upstream &upstream);
    void handlePeerResponse(const Upstream &upstream, BootTime askedAt,
                            const MirrorResponse &response);
    /** Applies a block of changes to the copy; returns false if it is malformed or has a gap. */
    bool applyBlock(const std::string &bytes);
    void handleCallSuccess(const Upstream &upstream);
    void handleCallFailure(const Upstream &upstream, StoreError fault);
    /** Asks the store for its revision if it is time to check that the copy is up to date. */
    void startDueProof();
    /** Passes this node's current status to the store writer. */
    void updateStoreWriter();
    /** Returns how long a poll for changes is held if there are none. */
    Duration pollDuration() const;
    void handleChange(const std::string &key, const StoredItem *item, std::uint64_t revision);
    void sendDueReplies();
    void recordUpstreamChange(const Upstream &upstream);

    KeyValueStore &m_store;
    Dependencies m_dependencies;
    Mirror m_mirror;
    StalenessBound m_proof;
    MirrorResponder m_responder;
    TimePoint m_nextProofAt {};
    bool m_isProofPending = false;
    BootTime m_listingStartedAt {}; ///< Time of the request for the first page.
    UpstreamSelector m_upstreamChoice;
    StoreCallCounts m_callCounts;
    StoreWriter m_storeWriter;
    bool m_isCurrent = false;     ///< Whether the last call for changes succeeded.
    TimePoint m_failoverUntil {}; ///< End of the time to find another upstream.
    std::string m_upstreamName;   ///< Upstream of the last call, for logs.
};

} // namespace indigoway
