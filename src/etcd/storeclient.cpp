#include "storeclient.h"

#include "core/jsontext.h"

#include <absl/strings/escaping.h>

namespace indigoway {

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(2);

std::string encoded(const std::string &text)
{
    return absl::Base64Escape(text);
}

std::string decoded(const std::string &text)
{
    std::string plain;
    return absl::Base64Unescape(text, &plain) ? plain : std::string();
}

/** The end of the range of all keys that begin with @p prefix (etcd's convention). */
std::string prefixEnd(std::string prefix)
{
    constexpr unsigned char Highest = 0xff;
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == Highest) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');
    }
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

/** 64-bit numbers are strings in the gateway's JSON. */
std::int64_t int64Member(const Json::Value &object, const char *name)
{
    if (!object.isObject()) {
        return 0;
    }
    const Json::Value &value = object[name];
    if (value.isInt64()) {
        return value.asInt64();
    }
    return value.isString() ? std::strtoll(value.asCString(), nullptr, 10) : 0;
}

void takeEntries(const Json::Value &range, std::vector<StoreEntry> &entries)
{
    if (!range.isObject() || !range["kvs"].isArray()) {
        return;
    }
    for (const Json::Value &kv : range["kvs"]) {
        entries.push_back({decoded(stringMember(kv, "key")), decoded(stringMember(kv, "value")),
                           int64Member(kv, "mod_revision")});
    }
}

Json::Value rangeRequest(const std::string &key)
{
    Json::Value request;
    request["key"] = encoded(key);
    return request;
}

Json::Value compareRequest(const StoreCompare &condition)
{
    Json::Value compare;
    compare["key"] = encoded(condition.key);
    compare["result"] = "EQUAL";
    if (condition.value) {
        compare["target"] = "VALUE";
        compare["value"] = encoded(*condition.value);
    } else {
        compare["target"] = "MOD";
        compare["mod_revision"] = std::to_string(condition.modRevision);
    }
    return compare;
}

Json::Value transactionRequest(const StoreTransaction &transaction)
{
    Json::Value request;
    for (const StoreCompare &condition : transaction.conditions) {
        request["compare"].append(compareRequest(condition));
    }
    for (const StorePut &put : transaction.puts) {
        Json::Value operation;
        operation["request_put"]["key"] = encoded(put.key);
        operation["request_put"]["value"] = encoded(put.value);
        if (put.lease != 0) {
            operation["request_put"]["lease"] = std::to_string(put.lease);
        }
        request["success"].append(operation);
    }
    for (const std::string &key : transaction.deletes) {
        Json::Value operation;
        operation["request_delete_range"]["key"] = encoded(key);
        request["success"].append(operation);
    }
    for (const std::string &key : transaction.elseGet) {
        Json::Value operation;
        operation["request_range"] = rangeRequest(key);
        request["failure"].append(operation);
    }
    return request;
}

StoreResult parseRange(const std::string &body)
{
    StoreResult result;
    result.isApplied = true;
    takeEntries(parseJson(body), result.entries);
    return result;
}

StoreResult parseTransaction(const std::string &body)
{
    StoreResult result;
    const Json::Value answer = parseJson(body);
    result.isApplied =
        answer.isObject() && answer["succeeded"].isBool() && answer["succeeded"].asBool();
    if (answer.isObject() && answer["responses"].isArray()) {
        for (const Json::Value &response : answer["responses"]) {
            if (response.isObject()) {
                takeEntries(response["response_range"], result.entries);
            }
        }
    }
    return result;
}

StoreResult parseLease(const std::string &body)
{
    const Json::Value answer = parseJson(body);
    StoreResult result;
    result.lease = int64Member(answer, "ID");
    result.isApplied = result.lease != 0;
    return result;
}

StoreResult parseKeepAlive(const std::string &body)
{
    const Json::Value answer = parseJson(body);
    StoreResult result;
    result.isApplied = answer.isObject() && int64Member(answer["result"], "TTL") > 0;
    return result;
}

} // namespace

StoreClient::StoreClient(HttpClient &client, std::vector<std::string> endpoints, Post post)
    : m_client(client)
    , m_endpoints(std::move(endpoints))
    , m_post(std::move(post))
{ }

void StoreClient::run(const CallStore &effect)
{
    if (const auto *get = std::get_if<StoreGet>(&effect.request)) {
        Json::Value request = rangeRequest(get->key);
        if (get->isPrefix) {
            request["range_end"] = encoded(prefixEnd(get->key));
        }
        if (get->limit > 0) {
            request["limit"] = std::to_string(get->limit);
        }
        if (get->newestFirst) {
            request["sort_order"] = "DESCEND";
            request["sort_target"] = "KEY";
        }
        send(effect.call, "/v3/kv/range", jsonText(request), parseRange);
    } else if (const auto *transaction = std::get_if<StoreTransaction>(&effect.request)) {
        send(effect.call, "/v3/kv/txn", jsonText(transactionRequest(*transaction)),
             parseTransaction);
    } else if (const auto *grant = std::get_if<StoreGrantLease>(&effect.request)) {
        Json::Value request;
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(grant->timeToLive);
        request["TTL"] = std::to_string(seconds.count());
        send(effect.call, "/v3/lease/grant", jsonText(request), parseLease);
    } else if (const auto *keepAlive = std::get_if<StoreKeepAlive>(&effect.request)) {
        Json::Value request;
        request["ID"] = std::to_string(keepAlive->lease);
        send(effect.call, "/v3/lease/keepalive", jsonText(request), parseKeepAlive);
    }
}

void StoreClient::send(StoreCallNumber call, const std::string &path, const std::string &body,
                       std::function<StoreResult(const std::string &)> parse)
{
    HttpCall http;
    http.address = m_endpoints[m_current];
    http.method = "POST";
    http.path = path;
    http.headers = {{"Content-Type", "application/json"}};
    http.body = body;
    http.timeout = CallTimeout;
    http.traffic = Traffic::Store;
    m_client.start(
        std::move(http), [this, call, parse = std::move(parse)](const HttpAnswer &answer) {
            constexpr int Ok = 200;
            if (answer.end == HttpAnswer::End::Complete && answer.status == Ok) {
                m_post(StoreAnswered {call, parse(answer.body)});
                return;
            }
            m_current = (m_current + 1) % m_endpoints.size();
            m_post(StoreAnswered {call, StoreFailed {"status " + std::to_string(answer.status)}});
        });
}

} // namespace indigoway
