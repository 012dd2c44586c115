#pragma once

#include "edge/mirrorcodec.h"
#include "http/httpserver.h"
#include "store/mirror.h"
#include "store/snapshotthrottle.h"
#include "store/sourcecontact.h"
#include "store/stalenessbound.h"
#include "store/updatelog.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** Answers the long polls of other nodes for changes of this node's mirror of the store. */
class MirrorResponder
{
public:
    struct Reply
    {
        ExchangeNumber exchange;
        std::string body; ///< Empty: the peer has to use another upstream.
    };

    /** @param maxHoldTime How long a poll is held if there are no changes. */
    MirrorResponder(const Mirror &mirror, const StalenessBound &proof, const SourceContact &contact,
                    const SourcePath &path, double linkBytesPerSecond, Duration maxHoldTime);

    /** A request for changes. */
    struct Poll
    {
        std::uint64_t revision = 0; ///< Revision of the requesting node's copy.
        std::string peer;           ///< Its control address.
        /**
         * How long to wait for changes. Nothing: the node is of an earlier version, is answered
         * after the longest hold time, and reads an answer as proof that this node is current.
         */
        std::optional<Duration> holdTime = {};
        /** Whether the requesting node waits for a source or a proof rather than for changes. */
        bool isWaiting = false;
    };

    /** What this node can tell others about its copy. */
    struct Status
    {
        bool isCurrent = false; ///< Whether this node receives the changes of the store.
        /** Whether it does, or may shortly; if so, polls are held. */
        bool mayBecomeCurrent = false;
        bool isProven = false;         ///< Whether there is a recent proof, or none is required.
        std::uint64_t pathChanges = 0; ///< How often this node's path has changed.
    };

    void addPoll(ExchangeNumber exchange, const Poll &poll, TimePoint now, BootTime arrivedAt,
                 const Status &status);
    void cancelPoll(ExchangeNumber exchange) { m_polls.erase(exchange); }
    /** Returns true if other nodes wait for changes of this one. */
    bool hasFollowers() const { return !m_polls.empty(); }
    /** Adds a block that another node has sent, as it came. */
    void addPeerUpdate(EncodedUpdate block) { m_newsLog.add(std::move(block)); }
    /** Adds what the store has sent the mirror. */
    void addStoreUpdates(Mirror &mirror);
    /** Removes the polls that can be answered, and returns the replies to them. */
    std::vector<Reply> takeDueReplies(TimePoint now, BootTime bootNow, const Status &status);

private:
    struct LongPoll
    {
        Poll poll;
        TimePoint deadline {};
        BootTime arrivedAt {};
        Status status; ///< Status when the poll arrived.
    };

    bool hasUpdateFor(const LongPoll &waiting) const;
    /** Returns whether a node that waits for this one must hear at once of what it now says. */
    static bool isUnchanged(const LongPoll &waiting, const Status &status);
    std::string buildResponse(const LongPoll &waiting, TimePoint now, BootTime bootNow,
                              bool isCurrent);
    /** Remembers a node that has, or is about to have, a full copy. */
    void rememberFollower(const std::string &control);

    const Mirror &m_mirror;
    const StalenessBound &m_proof;
    const SourceContact &m_contact;
    const SourcePath &m_path;
    Duration m_maxHoldTime;
    UpdateLog m_newsLog;
    SnapshotThrottle m_copyTurns;
    std::map<ExchangeNumber, LongPoll> m_polls;
    std::deque<std::string> m_followers; ///< Control addresses, the latest last.
};

} // namespace indigoway
