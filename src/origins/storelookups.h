#pragma once

#include "origins/storedorigins.h"
#include "origins/streamorigins.h"

#include <optional>
#include <vector>

namespace indigoway::origins {

/**
 * Looks up in the store the origins of streams that no other node knows, since all that knew them
 * may have died. Lookups share a read of the store, which begins after them: this node's own copy
 * may be older than the stream.
 */
class StoreLookups
{
public:
    /** Callers must not wait for longer. */
    static constexpr Duration MaxLookupTime = std::chrono::milliseconds(2500);
    /** Bounds the reads for callers who name streams that do not exist. */
    static constexpr Duration MinReadInterval = std::chrono::milliseconds(50);
    /** After a read that failed; each call to an unavailable store is billed. */
    static constexpr Duration RetryInterval = std::chrono::milliseconds(250);

    /**
     * @param nodesResult what the other nodes have answered
     * @param services the services at which the stream may have begun
     */
    void add(TimePoint now, const OriginResult &nodesResult, const StreamOrigins::Subject &subject,
             std::vector<ServiceName> services);
    void abandon(RequestNumber request);
    /** Returns whether a read of the store has to start now; it ends with readEnded(). */
    bool takeDueRead(TimePoint now);
    /** Returns the results of the lookups that were waiting when the read began. */
    std::vector<OriginResult> readEnded(TimePoint now, const std::optional<StoredOrigins> &found);
    /** Returns the results of the lookups whose time is up. */
    std::vector<OriginResult> takeOverdue(TimePoint now);
    std::optional<TimePoint> nextTick() const;
    std::size_t size() const { return m_lookups.size(); }

private:
    struct Lookup
    {
        OriginResult result; ///< Of the other nodes.
        StreamOrigins::Subject subject;
        std::vector<ServiceName> services;
        TimePoint since {};
        bool isBeingRead = false; ///< The read in flight began after it.
    };

    static OriginResult resultOf(const Lookup &lookup, const StoredOrigins &found);

    std::vector<Lookup> m_lookups;
    bool m_isReading = false;
    TimePoint m_nextReadAt {};
};

} // namespace indigoway::origins
