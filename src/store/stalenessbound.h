#pragma once

#include "core/boottime.h"

#include <cstdint>
#include <optional>

namespace indigoway {

/**
 * Keeps an upper bound on the staleness of the local copy of the store.
 *
 * A silent watch proves nothing, since its connection may be dead or the store may delay its
 * events. So the store's current revision is read periodically: once the copy has reached that
 * revision, it is as fresh as the time at which the read was sent. The send time also covers
 * answers that are read late because the process was suspended. Nodes pass the staleness on to each
 * other and add the time in transit.
 */
class StalenessBound
{
public:
    /**
     * Handles a read of the store's revision.
     * @param askedAt the time when the request was sent
     * @param revision the store's revision
     * @param copyAsOf the revision of the local copy
     */
    void revisionRead(BootTime askedAt, std::uint64_t revision, std::uint64_t copyAsOf);
    /** Handles an advance of the local copy to revision @p copyAsOf. */
    void copyAdvanced(std::uint64_t copyAsOf);
    /**
     * Handles the answer of a peer whose changes have been applied to the local copy.
     * @param askedAt the time when the request was sent
     * @param now the time when the answer was read
     * @param held the time for which the peer held the request
     * @param age the staleness of the peer's copy when it answered
     */
    void peerAnswered(BootTime askedAt, BootTime now, Duration held, Duration age);
    /** Returns the staleness of the local copy; nothing if it is unknown. */
    std::optional<Duration> age(BootTime now) const;

private:
    /** A revision of the store that the local copy has not reached yet. */
    struct PendingRevision
    {
        BootTime askedAt {};
        std::uint64_t revision = 0;
    };

    void advanceTo(BootTime at);

    std::optional<BootTime> m_freshAt;
    std::optional<PendingRevision> m_pending;
};

} // namespace indigoway
