#pragma once

#include "dispatch/openrequests.h"
#include "dispatch/runrecovery.h"
#include "fleet/serverdirectory.h"

#include <map>
#include <optional>
#include <vector>

namespace indigoway::dispatch {

/**
 * Returns the progress, the attempts so far and the time left of a run. The members about a backup
 * and a target are not set.
 */
RunState progressOf(const OpenRequest &request, TimePoint now);

/** Chooses the runs that are moved off engines that leave. */
class RunMover
{
public:
    /** Maximum of runs of this node that are being moved; more would fill the engines' links. */
    static constexpr std::size_t MaxMoves = 4;

    /** Returns the runs to move now, those with the longest remaining output first. */
    std::vector<RequestNumber> dueMoves(std::map<RequestNumber, OpenRequest> &requests,
                                        const ServerDirectory &servers, TimePoint now);
    /** Returns when dueMoves() is to be called again; nothing if no run can be moved. */
    std::optional<TimePoint> nextCheck() const
    {
        return m_hasRuns ? std::optional(m_nextCheck) : std::nullopt;
    }
    /** Records the start of a run that can be moved. */
    void runStarted() { m_hasRuns = true; }

private:
    /** Leaving engines that execute runs, with the time at which each was first seen to leave. */
    std::map<ServerName, TimePoint> m_leavingSince;
    TimePoint m_nextCheck {};
    bool m_hasRuns = false; ///< Whether runs that can be moved are in progress.
};

} // namespace indigoway::dispatch
