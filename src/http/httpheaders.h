#pragma once

#include <string>
#include <utility>
#include <vector>

namespace indigoway {

/** Names and values in the order in which they were sent. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

} // namespace indigoway
