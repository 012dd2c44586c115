#pragma once

#include "core/deadlines.h"
#include "origins/originholders.h"
#include "origins/originrecords.h"
#include "origins/storedorigins.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace indigoway::origins {

/** Why an origin is not known. */
enum class OriginFault {
    Unknown,     ///< No node that was asked knows the stream.
    Ambiguous,   ///< Streams with the same id began at different origins.
    Unreachable, ///< Some of the nodes that may know it did not answer in time.
};

/** Who has told an origin. */
enum class OriginSource {
    Nodes,       ///< This node or another one.
    StoreRecord, ///< A record of the stream in the store.
    OnlyVersion, ///< The store has a note of one version only, see VersionNote.
};

/** Result of a lookup. */
struct OriginResult
{
    RequestNumber request;
    std::optional<OriginRecord> record; ///< Nothing if there is a fault.
    OriginFault fault = OriginFault::Unknown;
    OriginSource source = OriginSource::Nodes;
    NodeName learntFrom; ///< Node that knew the origin; empty for this one.
    Duration lookupTime {};
    std::size_t asked = 0; ///< Nodes that were asked.
    /** Versions of the route's services that are noted in the store; nothing if it was not read. */
    std::optional<std::size_t> notedVersions;
};

/**
 * Knows where the streams of all nodes began. The node that forwards the first event of a stream
 * tells a few others before the event leaves, so that the origin outlives the node: callers resume
 * streams just when the node that began them has died. A node that resumes a stream asks the same
 * few nodes. While streams of a service may have begun at several versions, one node also records
 * their origins in the store, where they outlive all nodes.
 */
class StreamOrigins
{
public:
    struct Outgoing
    {
        NodeName to;
        OriginMessage message;
    };
    using Messages = std::vector<Outgoing>;

    /**
     * Sets the other nodes. Those that are new, or started again, are told of open streams.
     * @param self This node; nothing if it keeps no origins for others.
     */
    void setNodes(TimePoint now, const std::vector<Holder> &nodes,
                  const std::optional<Holder> &self = {});
    /** Sets the services whose streams are recorded in the store; open ones are, too. */
    void setStoredServices(TimePoint now, std::set<ServiceName> services);
    /** Returns and clears the origins that this node has to record in the store. */
    std::vector<StreamRecord> takeStoreRecords() { return std::exchange(m_storeRecords, {}); }

    /**
     * Records that the first event of a stream, or the first one after a resumption, is about to be
     * forwarded, and tells the holders.
     */
    void begin(TimePoint now, const OriginNotice &stream, Messages &messages);
    /** Ends the repetition of notices, since the caller has the complete stream. */
    void complete(const StreamId &stream);

    /** What a caller resumes. */
    struct Subject
    {
        StreamId stream;
        /**
         * Whether the caller names no stream, so that it is found by its content, see streamIdOf().
         * The holders are then not known, and many nodes are asked.
         */
        bool isContent = false;
    };

    /**
     * Looks up the origin of @p subject for @p request.
     * @return The result if no other node needs to be asked; otherwise it follows from handle() or
     * tick().
     */
    std::optional<OriginResult> lookUp(TimePoint now, RequestNumber request, const Subject &subject,
                                       Messages &messages);
    void abandon(RequestNumber request) { m_lookups.erase(request); }

    /** Handles a message of @p from and returns the results of lookups that it decides. */
    std::vector<OriginResult> handle(TimePoint now, const NodeName &from,
                                     const OriginMessage &message, Messages &messages);
    /** Repeats unanswered messages and returns the results of lookups whose time is up. */
    std::vector<OriginResult> tick(TimePoint now, Messages &messages);
    std::optional<TimePoint> nextTick() const;

    std::size_t records() const { return m_records.size(); }
    std::size_t unconfirmed() const { return m_notices.size(); }
    std::uint64_t noticesSent() const { return m_noticesSent; }
    std::uint64_t queriesSent() const { return m_queriesSent; }

private:
    /** A stream of this node whose holders are being told. */
    struct Notice
    {
        StreamOrigin origin;
        ContentId content;
        bool isCorrection = false;
        TimePoint until {};
        std::size_t copies = 0;
        std::vector<Holder> unconfirmed;
        std::vector<Holder> confirmed;
        /** The node that was asked to record it in the store; nothing if it need not be. */
        std::optional<Holder> recorder;
        Duration interval {}; ///< Until the next repetition.
    };
    struct Lookup
    {
        Subject subject;
        TimePoint since {};
        std::uint32_t rounds = 0;
        TimePoint nextRound {};
        std::vector<NodeName> silent; ///< Nodes that have not answered yet.
        std::size_t asked = 0;
        std::optional<OriginRecord> found; ///< What the answers so far say.
        NodeName foundAt;
    };

    void keep(TimePoint now, const OriginNotice &notice);
    /** Adds what @p from knows; another origin than that of earlier answers makes it ambiguous. */
    static void addAnswer(Lookup &lookup, const OriginRecord &record, const NodeName &from);

    /** Asks the node that records @p stream in the store to do so, if its service is recorded. */
    void requestRecord(const StreamId &stream, Notice &notice);
    /** Returns how many nodes to tell of a stream now, within the message rate. */
    std::size_t copiesFor(TimePoint now);
    void sendNotice(TimePoint now, const StreamId &stream, const Notice &notice,
                    const Holder &holder, Messages &messages);
    void repeat(TimePoint now, const StreamId &stream, Messages &messages);
    void ask(TimePoint now, Lookup &lookup, Messages &messages);
    std::vector<OriginResult> handleAnswer(TimePoint now, const NodeName &from,
                                           const OriginAnswer &answer, Messages &messages);
    static OriginResult resultOf(RequestNumber request, const Lookup &lookup, TimePoint now);

    OriginHolders m_holders;
    std::vector<Holder> m_recorders; ///< The nodes that write to the store; the same at each node.
    NodeName m_self;
    std::set<ServiceName> m_storedServices;
    std::vector<StreamRecord> m_storeRecords;
    bool m_hasNodes = false; ///< Whether setNodes() was called.
    OriginRecords m_records;
    std::map<StreamId, Notice> m_notices;
    Deadlines<StreamId> m_repetitions;
    std::map<RequestNumber, Lookup> m_lookups;
    double m_noticeAllowance = 0; ///< Notices that may be sent now, if more than the least.
    TimePoint m_allowanceUpdatedAt {};
    std::uint64_t m_noticesSent = 0;
    std::uint64_t m_queriesSent = 0;
};

const char *nameOf(OriginFault fault);
const char *nameOf(OriginSource source);

} // namespace indigoway::origins
