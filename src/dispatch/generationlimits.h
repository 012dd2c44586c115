#pragma once

#include "dispatch/openrequests.h"

#include <cstdint>

/** @file Computes the memory demand and time limits of generations. */
namespace indigoway::dispatch {

/** Idle timeout of resumable streams, three times the longest pause of a healthy engine. */
constexpr Duration StreamIdleTimeout = std::chrono::milliseconds(1500);

scheduling::MemoryNeed memoryNeedOf(const ArrivedRequest &arrival);
/** Returns the tokens to reserve at an engine that was chosen without the scheduler. */
std::uint64_t unscheduledReservation(const ArrivedRequest &arrival,
                                     const scheduling::MemoryNeed &need);
/** Returns the tokens to reserve first at an engine that the scheduler has chosen. */
std::uint64_t initialReservation(const scheduling::MemoryNeed &need);

/** Returns the time a request may wait for a reservation before it is rejected. */
Duration maxQueueTime(const OpenRequest &request);
/** Returns the delay after which a rejected caller should retry. */
Duration retryDelay(const OpenRequest &request);

} // namespace indigoway::dispatch
