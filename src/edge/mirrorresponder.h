#pragma once

#include "edge/mirrorcodec.h"
#include "http/httpserver.h"
#include "store/mirror.h"
#include "store/snapshotthrottle.h"
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
    MirrorResponder(const Mirror &mirror, const StalenessBound &proof, double linkBytesPerSecond,
                    Duration maxHoldTime);

    /** Adds a poll of the node at @p control for changes after @p revision. */
    void addPoll(ExchangeNumber exchange, std::uint64_t revision, const std::string &control,
                 TimePoint now, BootTime arrivedAt);
    void cancelPoll(ExchangeNumber exchange) { m_polls.erase(exchange); }
    /** Adds a block that another node has sent, as it came. */
    void addPeerUpdate(EncodedUpdate block) { m_newsLog.add(std::move(block)); }
    /** Adds what the store has sent the mirror. */
    void addStoreUpdates(Mirror &mirror);
    /**
     * Removes the polls that can be answered, and returns the replies to them.
     * @param isCurrent Whether this node receives the changes of the store.
     * @param mayBecomeCurrent Whether it does, or may shortly; if so, polls are held.
     */
    std::vector<Reply> takeDueReplies(TimePoint now, BootTime bootNow, bool isCurrent,
                                      bool mayBecomeCurrent);

private:
    struct LongPoll
    {
        std::uint64_t revision = 0;
        TimePoint deadline {};
        BootTime arrivedAt {};
        std::string peer; ///< Its control address.
    };

    bool hasUpdateFor(const LongPoll &poll) const;
    std::string buildResponse(const LongPoll &poll, TimePoint now, BootTime bootNow);
    /** Remembers a node that has, or is about to have, a full copy. */
    void rememberFollower(const std::string &control);

    const Mirror &m_mirror;
    const StalenessBound &m_proof;
    Duration m_maxHoldTime;
    UpdateLog m_newsLog;
    SnapshotThrottle m_copyTurns;
    std::map<ExchangeNumber, LongPoll> m_polls;
    std::deque<std::string> m_followers; ///< Control addresses, the latest last.
};

} // namespace indigoway
