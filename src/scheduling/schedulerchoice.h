#pragma once

#include "fleet/noderoster.h"

#include <optional>
#include <vector>

namespace indigoway::scheduling {

/**
 * Returns the node of @p members that schedules the engines: the one whose VM has the largest CPU
 * share, and among equals the one that announced itself first. A returning node therefore doesn't
 * replace a scheduler that already knows the engines' load. Nodes with the same view of the members
 * agree; otherwise there are temporarily two schedulers, which costs only time.
 * @return Nothing if no member takes claims.
 */
std::optional<NodeEntry> schedulerOf(const std::vector<const NodeEntry *> &members);

} // namespace indigoway::scheduling
