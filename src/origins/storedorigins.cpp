#include "storedorigins.h"

#include "core/jsontext.h"

namespace indigoway::origins {

namespace {

enum Position : Json::ArrayIndex {
    Service,
    Version,
    Streams,
    FieldCount,
};

bool isGroup(const Json::Value &value)
{
    return value.isArray() && value.size() == FieldCount && value[Service].isString()
        && value[Version].isString() && value[Streams].isArray();
}

} // namespace

std::string encodeBatch(const std::vector<StreamRecord> &records)
{
    std::map<StreamOrigin, Json::Value> groups;
    for (const StreamRecord &record : records) {
        groups.try_emplace(record.origin, Json::arrayValue)
            .first->second.append(record.stream.text());
    }
    Json::Value value(Json::arrayValue);
    for (const auto &[origin, streams] : groups) {
        Json::Value group(Json::arrayValue);
        group.append(origin.service.text());
        group.append(origin.version);
        group.append(streams);
        value.append(group);
    }
    return jsonText(value);
}

std::optional<std::vector<StreamRecord>> readBatch(const std::string &text)
{
    const Json::Value value = parseJson(text);
    if (!value.isArray()) {
        return std::nullopt;
    }
    std::vector<StreamRecord> records;
    for (const Json::Value &group : value) {
        if (!isGroup(group)) {
            return std::nullopt;
        }
        const StreamOrigin origin {ServiceName(group[Service].asString()),
                                   group[Version].asString()};
        for (const Json::Value &stream : group[Streams]) {
            if (!stream.isString()) {
                return std::nullopt;
            }
            records.push_back({StreamId(stream.asString()), origin});
        }
    }
    return records;
}

void StoredOrigins::add(const std::vector<StreamRecord> &records)
{
    for (const StreamRecord &record : records) {
        m_records[record.stream].insert(record.origin);
    }
}

std::optional<StreamOrigin> StoredOrigins::originOf(const StreamId &stream) const
{
    const auto it = m_records.find(stream);
    if (it == m_records.end() || it->second.size() != 1) {
        return std::nullopt;
    }
    return *it->second.begin();
}

std::optional<StreamOrigin> StoredOrigins::onlyOriginOf(const ServiceName &service) const
{
    const auto it = m_versions.find(service);
    if (it == m_versions.end() || it->second.size() != 1) {
        return std::nullopt;
    }
    return StreamOrigin {service, *it->second.begin()};
}

std::size_t StoredOrigins::versionsOf(const ServiceName &service) const
{
    const auto it = m_versions.find(service);
    return it == m_versions.end() ? 0 : it->second.size();
}

} // namespace indigoway::origins
