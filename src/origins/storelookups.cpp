#include "storelookups.h"

#include "core/deadlines.h"

#include <algorithm>
#include <utility>

namespace indigoway::origins {

void StoreLookups::add(TimePoint now, const OriginResult &nodesResult,
                       const StreamOrigins::Subject &subject, std::vector<ServiceName> services)
{
    m_lookups.push_back({nodesResult, subject, std::move(services), now, false});
}

void StoreLookups::abandon(RequestNumber request)
{
    std::erase_if(m_lookups,
                  [request](const Lookup &lookup) { return lookup.result.request == request; });
}

bool StoreLookups::takeDueRead(TimePoint now)
{
    if (m_isReading || m_lookups.empty() || now < m_nextReadAt) {
        return false;
    }
    for (Lookup &lookup : m_lookups) {
        lookup.isBeingRead = true;
    }
    m_isReading = true;
    m_nextReadAt = now + MinReadInterval;
    return true;
}

std::vector<OriginResult> StoreLookups::readEnded(TimePoint now,
                                                  const std::optional<StoredOrigins> &found)
{
    m_isReading = false;
    std::vector<OriginResult> results;
    if (!found) {
        m_nextReadAt = now + RetryInterval;
        for (Lookup &lookup : m_lookups) {
            lookup.isBeingRead = false;
        }
        return results;
    }
    for (const Lookup &lookup : m_lookups) {
        if (lookup.isBeingRead) {
            results.push_back(resultOf(lookup, *found));
            results.back().lookupTime += now - lookup.since;
        }
    }
    std::erase_if(m_lookups, [](const Lookup &lookup) { return lookup.isBeingRead; });
    return results;
}

OriginResult StoreLookups::resultOf(const Lookup &lookup, const StoredOrigins &found)
{
    OriginResult result = lookup.result;
    result.source = OriginSource::StoreRecord;
    result.notedVersions = 0;
    for (const ServiceName &service : lookup.services) {
        *result.notedVersions += found.versionsOf(service);
    }
    std::optional<StreamOrigin> origin;
    if (!lookup.subject.isContent) {
        origin = found.originOf(lookup.subject.stream);
    }
    if (!origin && lookup.services.size() == 1) {
        result.source = OriginSource::OnlyVersion;
        origin = found.onlyOriginOf(lookup.services.front());
    }
    if (origin) {
        result.record = OriginRecord {*origin, false, Duration(0)};
    }
    return result;
}

std::vector<OriginResult> StoreLookups::takeOverdue(TimePoint now)
{
    std::vector<OriginResult> results;
    for (const Lookup &lookup : m_lookups) {
        if (now >= lookup.since + MaxLookupTime) {
            OriginResult result = lookup.result;
            result.source = OriginSource::StoreRecord;
            result.fault = OriginFault::Unreachable;
            result.lookupTime += now - lookup.since;
            results.push_back(std::move(result));
        }
    }
    std::erase_if(m_lookups,
                  [now](const Lookup &lookup) { return now >= lookup.since + MaxLookupTime; });
    return results;
}

std::optional<TimePoint> StoreLookups::nextTick() const
{
    if (m_lookups.empty()) {
        return std::nullopt;
    }
    const TimePoint overdue = m_lookups.front().since + MaxLookupTime;
    return m_isReading ? overdue : std::min(overdue, m_nextReadAt);
}

} // namespace indigoway::origins
