#pragma once

#include "dispatch/openrequests.h"

#include <cstdint>

/** @file Computes the memory demand and time limits of generations. */
namespace indigoway::dispatch {

scheduling::MemoryNeed memoryNeedOf(const ArrivedRequest &facts);
/** Returns the tokens to reserve at an engine that was chosen without the scheduler. */
std::uint64_t tokensUnplanned(const ArrivedRequest &facts, const scheduling::MemoryNeed &need);
/** Returns the tokens to reserve first at an engine that the scheduler has chosen. */
std::uint64_t tokensToBegin(const scheduling::MemoryNeed &need);

/** Returns the time a request may wait for a reservation before it is rejected. */
Duration longestWait(const OpenRequest &request);
/** Returns the delay after which a rejected caller should retry. */
Duration comeBackAfter(const OpenRequest &request);

} // namespace indigoway::dispatch
