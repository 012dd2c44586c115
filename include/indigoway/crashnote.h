#pragma once

#include <indigoway/ids.h>

#include <cstdint>

namespace indigoway {

/** The number of consecutive server crashes that a content caused; 0 after a successful answer. */
struct CrashNote
{
    ContentId content;
    std::uint32_t count = 0;
    bool operator==(const CrashNote &) const = default;
};

} // namespace indigoway
