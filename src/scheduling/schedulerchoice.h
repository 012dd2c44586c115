#pragma once

#include "fleet/nodedirectory.h"

#include <optional>
#include <vector>

namespace indigoway::scheduling {

/**
 * The node of @p members that schedules the engines: the one whose VM has most processor time;
 * among equals the one that announced itself first, so that a node that comes back takes nothing
 * over: a scheduler that begins has yet to learn what the engines hold. All nodes that know the
 * same members agree; while they do not, there are two schedulers, which costs time only. Nothing
 * if none takes claims.
 */
std::optional<NodeEntry> schedulerOf(const std::vector<const NodeEntry *> &members);

} // namespace indigoway::scheduling
