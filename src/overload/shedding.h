#pragma once

#include "overload/processlimits.h"

#include <indigoway/ids.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace indigoway {

/** What a client waits for, or keeps the process waiting for. */
enum class HolderStage : std::uint8_t {
    Head,      ///< The head of its request has not arrived completely.
    Body,      ///< The body has not arrived completely.
    Answering, ///< Its request may have reached a backend server.
    Unread,    ///< It has not read its answer.
    Idle,      ///< It may send a next request.
    Ending,    ///< It has been refused, and its connection is about to be closed.
};

const char *nameOf(HolderStage stage);

/** One connection of a client and what is held for it. */
struct Holder
{
    Door door = Door::Callers;
    std::uint64_t number = 0; ///< Of the connection; unique at its door.
    HolderStage stage = HolderStage::Head;
    bool hasBeenServed = false; ///< It has sent a complete request before.
    std::size_t heldBytes = 0;
    std::uint64_t movedBytes = 0; ///< In this stage.
    TimePoint since {};           ///< Begin of the stage.
};

/** Returns the bytes a second that @p holder moves. */
double bytesPerSecond(const Holder &holder, TimePoint now);

/**
 * Returns whom to give up until @p excess bytes are free: first those that hardly move, then those
 * whose requests have not arrived completely and may be sent again, then those that read their
 * answers, and last those whose requests may run. Among these, those that hold the most and move
 * the least come first, however many small ones there are.
 * @param includesAnswering Whether these may be given up at all.
 */
std::vector<Holder> chooseForBytes(std::vector<Holder> holders, std::size_t excess,
                                   bool includesAnswering, TimePoint now);

/**
 * Returns whom to close so that a door at its limit can accept new connections: those that have
 * been refused, then those that have not sent a head for the longest time, that do not read, that
 * send their bodies slowly, new ones, and last an idle connection. Empty if all wait for answers.
 */
std::vector<Holder> chooseForConnections(const std::vector<Holder> &holders, TimePoint now);

} // namespace indigoway
