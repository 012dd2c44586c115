#pragma once

#include "core/deadlines.h"
#include "origins/originmessages.h"

#include <cstddef>
#include <map>
#include <optional>

namespace indigoway::origins {

/** Keeps the origins of streams until no caller can resume them. Bounded in size. */
class OriginRecords
{
public:
    /** Bounds the memory of records to some ten megabytes. */
    static constexpr std::size_t MaxRecords = 50'000;
    static constexpr Duration MaxKeepTime = std::chrono::minutes(11);

    /** Adds a record, or keeps the existing one for at least @p keepFor. */
    void add(const StreamId &stream, const StreamOrigin &origin, Duration keepFor, TimePoint now);
    /** Replaces the origin of a record by @p origin, if there is one. */
    void correct(const StreamId &stream, const StreamOrigin &origin);
    std::optional<OriginRecord> find(const StreamId &stream, TimePoint now) const;
    void removeExpired(TimePoint now);
    std::size_t size() const { return m_records.size(); }

private:
    struct Kept
    {
        StreamOrigin origin;
        bool isAmbiguous = false;
        TimePoint since {};
        TimePoint until {};
    };

    std::map<StreamId, Kept> m_records;
    Deadlines<StreamId> m_expiries;
};

} // namespace indigoway::origins
