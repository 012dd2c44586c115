#include "originrecords.h"

#include <algorithm>

namespace indigoway::origins {

void OriginRecords::add(const StreamId &stream, const StreamOrigin &origin, Duration keepFor,
                        TimePoint now)
{
    removeExpired(now);
    const auto [it, isNew] = m_records.try_emplace(stream, Kept {origin, false, now, now});
    Kept &kept = it->second;
    kept.isAmbiguous = kept.isAmbiguous || kept.origin != origin;
    kept.until = std::max(kept.until, now + std::clamp(keepFor, Duration(0), MaxKeepTime));
    m_expiries.set(stream, kept.until);
    if (m_records.size() > MaxRecords) {
        const StreamId first = *m_expiries.first();
        m_expiries.clear(first);
        m_records.erase(first);
    }
}

void OriginRecords::correct(const StreamId &stream, const StreamOrigin &origin)
{
    const auto it = m_records.find(stream);
    if (it != m_records.end()) {
        it->second.origin = origin;
        it->second.isAmbiguous = false;
    }
}

std::optional<OriginRecord> OriginRecords::find(const StreamId &stream, TimePoint now) const
{
    const auto it = m_records.find(stream);
    if (it == m_records.end() || it->second.until <= now) {
        return std::nullopt;
    }
    return OriginRecord {it->second.origin, it->second.isAmbiguous, now - it->second.since};
}

void OriginRecords::removeExpired(TimePoint now)
{
    for (const StreamId &stream : m_expiries.takeDue(now)) {
        m_records.erase(stream);
    }
}

} // namespace indigoway::origins
