#pragma once

#include <indigoway/ids.h>

#include <cstdint>

namespace indigoway {

/** What all nodes are to know of a content: the count-th crash in a row under it; 0: an answer. */
struct CrashNote
{
    ContentId content;
    std::uint32_t count = 0;
    bool operator==(const CrashNote &) const = default;
};

} // namespace indigoway
