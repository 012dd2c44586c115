#pragma once

#include "crashes/partcrashrecords.h"

#include <cstdint>
#include <map>

namespace indigoway::crashes {

/** Remembers the parts of prompts that servers have answered through this node. Bounded in size. */
class AnsweredParts
{
public:
    /** Bounds the memory to some 200 KB. */
    static constexpr std::size_t MaxParts = 2048;
    static constexpr Duration MaxAge = std::chrono::minutes(2);

    void record(const PartOfService &part, TimePoint now);
    bool contains(const PartOfService &part, TimePoint now) const;
    std::size_t size() const { return m_parts.size(); }

private:
    struct Entry
    {
        TimePoint lastAnswer {};
        std::uint32_t answers = 0;
    };

    /** Removes a quarter of the entries: the old ones, and those answered once. */
    void shrink(TimePoint now);

    std::map<PartOfService, Entry> m_parts;
};

} // namespace indigoway::crashes
