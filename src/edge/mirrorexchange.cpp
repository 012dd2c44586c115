#include "mirrorexchange.h"

#include "core/jsontext.h"

#include <absl/strings/escaping.h>

namespace indigoway {

std::string encodeSnapshot(const MirrorSnapshot &snapshot)
{
    Json::Value value;
    value["as_of"] = Json::UInt64(snapshot.asOf);
    Json::Value &items = value["items"] = Json::arrayValue;
    for (const StoredItem &item : snapshot.items) {
        Json::Value one;
        one["key"] = item.key;
        one["value"] = absl::Base64Escape(item.value);
        one["revision"] = Json::UInt64(item.revision);
        items.append(std::move(one));
    }
    return jsonText(value);
}

std::optional<MirrorSnapshot> decodeSnapshot(const std::string &text)
{
    const Json::Value value = parseJson(text);
    if (!value.isObject() || !value["items"].isArray()) {
        return std::nullopt;
    }
    MirrorSnapshot snapshot;
    snapshot.asOf = numberMember(value, "as_of");
    for (const Json::Value &one : value["items"]) {
        StoredItem item;
        item.key = stringMember(one, "key");
        item.revision = numberMember(one, "revision");
        if (item.key.empty() || !absl::Base64Unescape(stringMember(one, "value"), &item.value)) {
            return std::nullopt;
        }
        snapshot.items.push_back(std::move(item));
    }
    return snapshot;
}

} // namespace indigoway
