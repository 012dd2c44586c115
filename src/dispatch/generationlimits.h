#pragma once

#include "dispatch/openrequests.h"

#include <cstdint>

/** @file How much a generation asks for and how long it waits, as functions of the request alone.
 */
namespace indigoway::dispatch {

scheduling::MemoryNeed memoryNeedOf(const ArrivedRequest &facts);
/** What is asked of an engine that is chosen without knowing what else it was asked for. */
std::uint64_t tokensUnplanned(const ArrivedRequest &facts, const scheduling::MemoryNeed &need);
/** What is asked of an engine whose memory the scheduler has looked ahead for. */
std::uint64_t tokensToBegin(const scheduling::MemoryNeed &need);

/** For room, before the request is rejected. */
Duration longestWait(const OpenRequest &request);
/** Until a rejected caller is to come back. */
Duration comeBackAfter(const OpenRequest &request);

} // namespace indigoway::dispatch
