#pragma once

#include "scheduling/claimqueue.h"

#include <indigoway/ids.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace indigoway::scheduling {

/** Snapshot of the engine scheduler for logs. */
struct SchedulerState
{
    std::size_t waiting = 0;       ///< Claims that wait for a grant.
    std::size_t granted = 0;       ///< Claims whose requests run or are about to.
    std::size_t decodeEngines = 0; ///< Engines that are announced for decoding.
    std::size_t decodeUsable = 0;  ///< Decode engines that claims may use.
    std::size_t prefillEngines = 0;
    std::size_t prefillUsable = 0;
    std::uint64_t memoryTokens = 0; ///< Total memory of the usable decode engines.
    /** Memory of these engines beyond the projected peak of their runs. */
    std::uint64_t freeTokens = 0;
    /** Shortest queueing delay of the prefill engines; the largest over all services. */
    Duration shortestPrefillWait {};
    std::uint64_t refusedAtOnce = 0; ///< Claims refused without waiting since the process started.
    std::uint64_t refusedAfterWait = 0;
    std::size_t copies = 0;           ///< Copies of runs at their backups.
    std::uint64_t copyTokens = 0;     ///< Memory of all copies with their full output.
    std::uint64_t backupsGranted = 0; ///< Since the process started.
    std::uint64_t runsMoved = 0;      ///< Runs that continued on their backup.
    double lossFraction = 0; ///< Estimated fraction of lost runs; the largest over all services.
    /** Organisations with the most waiting claims and the largest use; their number is bounded. */
    std::vector<ClaimQueue::OrganisationState> organisations;
};

} // namespace indigoway::scheduling
