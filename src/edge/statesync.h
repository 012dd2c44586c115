#pragma once

#include "edge/mirrorresponder.h"
#include "edge/storewriter.h"
#include "edge/syncdelays.h"
#include "fleet/sourcesearch.h"
#include "fleet/upstreamselector.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "store/mirror.h"
#include "store/sourcecontact.h"
#include "store/sourcepath.h"
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
        std::string ignoredPrefix; ///< Of items that nodes do not copy.
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
    static constexpr Duration TickInterval = syncdelays::Tick;

    /** Numbers of searches for a source of changes and of their calls since the start. */
    struct SearchCounts
    {
        std::uint64_t searches = 0;
        std::uint64_t peerCalls = 0;
        std::uint64_t storeCalls = 0;
    };

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
    /** Returns whether this node receives the changes of the store, as far as it knows. */
    bool isCurrent() const { return m_isCurrent; }
    /** Returns the control address of the node that is followed; empty for the store. */
    const std::string &source() const { return m_followedPeer; }
    /** Returns the maximum age of the copy at @p now; nothing if it is unknown. */
    std::optional<Duration> copyAge(BootTime now) const { return m_proof.age(now); }
    /**
     * Returns the time since the latest contact with the store by way of the present source;
     * nothing if there is none.
     */
    std::optional<Duration> contactAge(BootTime now) const
    {
        return m_isCurrent ? m_contact.age(now) : std::nullopt;
    }
    StoreWriter &storeWriter() { return m_storeWriter; }
    const StoreWriter &storeWriter() const { return m_storeWriter; }
    /** Lists the store anew and renews this node's rights, after this process was suspended. */
    void handleSuspension(TimePoint now);
    /**
     * Handles another node's poll for changes. If there are none, the response is delayed until
     * there are or the poll's hold time is over.
     */
    void handlePeerPoll(const HttpRequest &request);
    void cancelPeerPoll(ExchangeNumber exchange) { m_responder.cancelPoll(exchange); }

    const SearchCounts &searchCounts() const { return m_searchCounts; }
    const StoreCallCounts &storeCallCounts() const { return m_callCounts; }
    /** Counts the calls to the store that others make for this node. */
    StoreCallCounts &storeCallCounts() { return m_callCounts; }

private:
    /** Starts a call for changes to the store or a peer, unless one is under way. */
    void startNextMirrorCall();
    void requestFromStore(const Upstream &upstream);
    void requestFromPeer(const Upstream &upstream);
    void handlePeerResponse(const Upstream &upstream, BootTime askedAt,
                            const MirrorResponse &response);
    /** Applies a block of changes to the copy; returns false if it is malformed or has a gap. */
    bool applyBlock(const std::string &bytes);
    /** @param contact The latest contact with the store of @p upstream, or now for the store. */
    void handleCallSuccess(const Upstream &upstream, BootTime contact);
    /**
     * Handles a peer that answers but cannot be followed: it receives no changes itself, or over
     * this node, or has no newer contact with the store than this node.
     */
    void handlePeerNotFollowed(const Upstream &upstream, const MirrorResponse &response);
    void becomeCurrent();
    /** Stops confirming to other nodes that there are no changes, unless it recovers soon. */
    void markNotCurrent();
    /** Returns what this node can tell others about its copy. */
    MirrorResponder::Status status() const;
    /** Returns true if the copy is older than @p ratio of its maximum age, if it has one. */
    bool isCopyOlderThan(double ratio) const;
    /** Asks further sources while the regular ones give no changes or proof. */
    void startSearchCalls();
    /** @param searchedFor How long this node had been searching before; nothing if it was not. */
    void recordSearch(std::optional<Duration> searchedFor,
                      const SourceSearch::Situation &situation);
    void askStoreForRevision();
    /**
     * Asks @p peer for changes that it has and whether it can be followed.
     * @param withheld a contact with the store that is recorded only if the peer is not followed,
     *     see SourceContact
     */
    void askPeer(const std::string &peer, std::optional<BootTime> withheld = {});
    /** Returns true if this node follows @p peer from now on. */
    bool handleSearchResponse(const std::string &peer, BootTime askedAt,
                              const MirrorResponse &response);
    /**
     * Returns true if this node may rest on @p peer from now on: to start to follow it, or to go
     * on. Any way of following a node asks this after each answer, so that a node that is current
     * rests on a chain of nodes that ends at the store, without itself in it.
     * @param contact the peer's latest contact with the store, if it says
     */
    bool canFollow(const std::string &peer, const MirrorResponse &response,
                   std::optional<BootTime> contact) const;
    /** Returns true if the changes of the sender of @p response come over this node. */
    bool isOnPathOf(const MirrorResponse &response) const;
    /** Sets the source of this node's changes: @p peer with its answer, or the store. */
    void followPeer(const std::string &peer, const MirrorResponse &response);
    void followStore();
    void setPath(SourcePath path);
    /** Follows @p source, which has answered and is current, from now on. */
    void adopt(const Upstream &source);
    /**
     * Decides after an answer of @p upstream whether this node goes on following it, and which
     * better source than an adopted one to ask whether it has recovered.
     * @return another source to ask
     */
    std::optional<std::string> reviewSource(const Upstream &upstream);
    /** Requests changes from @p peer that it holds for at most @p hold. */
    HttpCall pollOf(const std::string &peer, std::optional<Duration> hold) const;
    void handleCallFailure(const Upstream &upstream, StoreError fault);
    /** Asks the store for its revision if it is time to check that the copy is up to date. */
    void startDueProof();
    void setNextProof();
    /** Passes this node's current status to the store writer. */
    void updateStoreWriter();
    /** Returns how long a poll for changes is held if there are none. */
    Duration pollDuration() const;
    /** Returns the same for a poll of another node. */
    Duration peerPollDuration() const;
    void handleChange(const std::string &key, const StoredItem *item, std::uint64_t revision);
    void sendDueReplies();
    void recordUpstreamChange(const Upstream &upstream);

    KeyValueStore &m_store;
    Dependencies m_dependencies;
    Mirror m_mirror;
    StalenessBound m_proof;
    SourceContact m_contact;
    SourcePath m_path; ///< Of the source at the last success.
    std::uint64_t m_pathChanges = 0;
    MirrorResponder m_responder;
    TimePoint m_nextProofAt {};
    bool m_isProofPending = false;
    BootTime m_listingStartedAt {}; ///< Time of the request for the first page.
    UpstreamSelector m_upstreamChoice;
    SourceSearch m_search;
    StoreCallCounts m_callCounts;
    SearchCounts m_searchCounts;
    StoreWriter m_storeWriter;
    bool m_doesParentAnswer = false; ///< Whether the followed node answers but gets no changes.
    /** Whether the changes of the followed node come over this one, which must find a source. */
    bool m_isSourceOfParent = false;
    bool m_isCurrent = false;     ///< Whether the last call for changes succeeded.
    TimePoint m_failoverUntil {}; ///< End of the time to find another upstream.
    TimePoint m_cautiousUntil {}; ///< Until then, polls are short: the next source may fail, too.
    std::string m_followedPeer;   ///< Node followed at the last success; empty for the store.
    TimePoint m_nextStoreReviewAt {};
    std::string m_unfollowedPeer; ///< Peer that was current, but without a newer contact.
    std::string m_holdTimePeer;   ///< Latest peer that is known to honour a poll's hold time.
    std::string m_upstreamName;   ///< Upstream of the last call, for logs.
};

} // namespace indigoway
