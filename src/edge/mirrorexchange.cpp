#include "mirrorexchange.h"

#include "core/jsontext.h"

#include <absl/strings/escaping.h>

namespace indigoway {

std::string encodeNews(const MirrorNews &news)
{
    Json::Value value;
    value["as_of"] = Json::UInt64(news.asOf);
    value["whole"] = news.isWhole;
    if (news.age) {
        value["age_us"] = Json::Int64(news.age->count());
        value["held_us"] = Json::Int64(news.held.count());
    }
    Json::Value &changes = value["changes"] = Json::arrayValue;
    for (const StoredChange &change : news.changes) {
        Json::Value one;
        one["key"] = change.key;
        one["revision"] = Json::UInt64(change.revision);
        if (change.value) {
            one["value"] = absl::Base64Escape(*change.value);
            one["created"] = Json::UInt64(change.created);
        }
        changes.append(std::move(one));
    }
    return jsonText(value);
}

std::optional<MirrorNews> decodeNews(const std::string &text)
{
    const Json::Value value = parseJson(text);
    if (!value.isObject() || !value["changes"].isArray() || !value["whole"].isBool()) {
        return std::nullopt;
    }
    MirrorNews news;
    news.asOf = numberMember(value, "as_of");
    news.isWhole = value["whole"].asBool();
    if (value["age_us"].isInt64() && value["held_us"].isInt64()) {
        news.age = Duration(value["age_us"].asInt64());
        news.held = Duration(value["held_us"].asInt64());
    }
    for (const Json::Value &one : value["changes"]) {
        StoredChange change;
        change.key = stringMember(one, "key");
        change.revision = numberMember(one, "revision");
        if (one.isObject() && one.isMember("value")) {
            change.value.emplace();
            change.created = numberMember(one, "created");
            if (!absl::Base64Unescape(stringMember(one, "value"), &*change.value)) {
                return std::nullopt;
            }
        }
        if (change.key.empty() || (news.isWhole && !change.value)) {
            return std::nullopt;
        }
        news.changes.push_back(std::move(change));
    }
    return news;
}

} // namespace indigoway
