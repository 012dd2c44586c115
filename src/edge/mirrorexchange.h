#pragma once

#include "store/mirror.h"

#include <optional>
#include <string>

namespace indigoway {

/** What one node tells another of its copy of the store; JSON, values in base64. */
std::string encodeNews(const MirrorNews &news);
/** Nothing if @p text is not that. */
std::optional<MirrorNews> decodeNews(const std::string &text);

} // namespace indigoway
