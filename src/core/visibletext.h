#pragma once

#include <algorithm>
#include <string_view>

namespace indigoway {

/** Returns whether @p text has ASCII letters, digits and marks only: no blanks or control bytes. */
inline bool isVisible(std::string_view text)
{
    return std::ranges::all_of(text, [](char byte) { return byte > ' ' && byte < '\x7f'; });
}

} // namespace indigoway
