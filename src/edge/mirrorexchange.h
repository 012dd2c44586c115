#pragma once

#include "store/mirror.h"

#include <optional>
#include <string>

namespace indigoway {

/** What one node tells another of its copy of the store; JSON, values in base64. */
std::string encodeSnapshot(const MirrorSnapshot &snapshot);
/** Nothing if @p text is no snapshot. */
std::optional<MirrorSnapshot> decodeSnapshot(const std::string &text);

} // namespace indigoway
