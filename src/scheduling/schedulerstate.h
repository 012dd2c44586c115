#pragma once

#include <indigoway/ids.h>

#include <cstddef>
#include <cstdint>

namespace indigoway::scheduling {

/** What the scheduler of engines goes by at a moment; for logs. */
struct SchedulerState
{
    std::size_t waiting = 0;       ///< Claims.
    std::size_t granted = 0;       ///< Claims whose requests run, or are about to.
    std::size_t decodeEngines = 0; ///< That are told to serve.
    std::size_t decodeUsable = 0;  ///< Of them, those that claims may go to.
    std::size_t prefillEngines = 0;
    std::size_t prefillUsable = 0;
    std::uint64_t memoryTokens = 0;  ///< Of the usable decode engines.
    std::uint64_t freeTokens = 0;    ///< Of it, beyond what runs will come to.
    Duration leastPrefillWait {};    ///< At the prefill engine with the shortest line.
    std::uint64_t refusedAtOnce = 0; ///< Claims, since this life began.
    std::uint64_t refusedAfterWait = 0;
};

} // namespace indigoway::scheduling
