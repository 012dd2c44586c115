#pragma once

#include "core/deadlines.h"
#include "origins/originholders.h"
#include "origins/originrecords.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace indigoway::origins {

/** Why an origin is not known. */
enum class OriginFault {
    Unknown,     ///< No node that was asked knows the stream.
    Ambiguous,   ///< Streams with the same id began at different origins.
    Unreachable, ///< Some of the nodes that may know it did not answer in time.
};

/** Result of a lookup. */
struct OriginResult
{
    RequestNumber request;
    std::optional<OriginRecord> record; ///< Nothing if there is a fault.
    OriginFault fault = OriginFault::Unknown;
    NodeName learntFrom; ///< Node that knew the origin; empty for this one.
    Duration lookupTime {};
    std::size_t asked = 0; ///< Nodes that were asked.
};

/**
 * Knows where the streams of all nodes began. The node that forwards the first event of a stream
 * tells a few others before the event leaves, so that the origin outlives the node: callers resume
 * streams just when the node that began them has died. A node that resumes a stream asks the same
 * few nodes. Nothing is stored: origins are needed no longer than the streams last.
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

    /** Sets the other nodes. Those that are new, or started again, are told of open streams. */
    void setNodes(TimePoint now, const std::vector<Holder> &nodes);

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
        TimePoint until {};
        std::size_t copies = 0;
        std::vector<Holder> unconfirmed;
        std::vector<Holder> confirmed;
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

} // namespace indigoway::origins
