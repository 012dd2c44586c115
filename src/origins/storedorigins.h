#pragma once

#include "origins/versionnotes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace indigoway::origins {

/** The origin of one stream, as it is recorded in the store. */
struct StreamRecord
{
    StreamId stream;
    StreamOrigin origin;
    bool operator==(const StreamRecord &) const = default;
};

/**
 * Encodes records as a JSON array: for each origin its service, its version and the array of its
 * streams.
 */
std::string encodeBatch(const std::vector<StreamRecord> &records);
/** Reads the value of an item; returns nothing if it is not valid. */
std::optional<std::vector<StreamRecord>> readBatch(const std::string &text);

/** What the store knows of the origins of streams, read at one time. */
class StoredOrigins
{
public:
    void add(const VersionNote &note)
    {
        m_versions[note.origin.service].insert(note.origin.version);
    }
    void add(const std::vector<StreamRecord> &records);

    /** Returns the recorded origin of @p stream; nothing if there is none, or more than one. */
    std::optional<StreamOrigin> originOf(const StreamId &stream) const;
    /** Returns the only origin that a stream of @p service can have; nothing if there are more. */
    std::optional<StreamOrigin> onlyOriginOf(const ServiceName &service) const;
    /** Returns how many versions of @p service are noted. */
    std::size_t versionsOf(const ServiceName &service) const;
    std::size_t records() const { return m_records.size(); }

private:
    std::map<ServiceName, std::set<std::string>> m_versions;
    std::map<StreamId, std::set<StreamOrigin>> m_records;
};

} // namespace indigoway::origins
