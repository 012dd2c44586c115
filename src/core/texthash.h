#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace indigoway {

/** Returns a hash of @p text that is the same on all nodes and never zero. */
inline std::uint64_t textHash(std::string_view text)
{
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

} // namespace indigoway
