#include "store.h"

#include "core/jsontext.h"

#include <absl/strings/escaping.h>

#include <algorithm>

namespace indigoway::standins {

namespace {

constexpr std::size_t MostValueBytes = std::size_t {1024} * 1024;
const HttpHeaders JsonType {{"Content-Type", "application/json"}};

std::string decodedMember(const Json::Value &object, const char *name)
{
    std::string plain;
    return absl::Base64Unescape(stringMember(object, name), &plain) ? plain : std::string();
}

std::int64_t int64Member(const Json::Value &object, const char *name)
{
    const Json::Value &value = object[name];
    if (value.isString()) {
        return std::strtoll(value.asCString(), nullptr, 10);
    }
    return value.isInt64() ? value.asInt64() : 0;
}

} // namespace

Store::Store(EventLoop &loop)
    : m_loop(loop)
    , m_server(
          loop.base(),
          HttpLimits {.bodyBytes = std::size_t {4} * 1024 * 1024,
                      .connections = 100'000,
                      .idle = std::chrono::seconds(60)},
          [this](const HttpRequest &request) { take(request); }, [](ExchangeNumber) {})
{ }

void Store::take(const HttpRequest &request)
{
    if (request.path == "/control") {
        control(request);
        return;
    }
    ++m_calls[request.path];
    if (m_isAway) {
        m_server.abort(request.exchange);
        return;
    }
    if (m_slow.count() > 0) {
        m_loop.after(m_slow, [this, request] { answer(request); });
        return;
    }
    answer(request);
}

void Store::answer(const HttpRequest &request)
{
    expire();
    const Json::Value body = parseJson(request.body);
    Json::Value reply;
    if (!body.isObject()) {
        m_server.reply(request.exchange, 400, JsonType, "{}");
        return;
    }
    if (request.path == "/v3/kv/range") {
        reply = range(body);
    } else if (request.path == "/v3/kv/txn") {
        reply = transaction(body);
    } else if (request.path == "/v3/lease/grant") {
        reply = grant(body);
    } else if (request.path == "/v3/lease/keepalive") {
        reply = keepAlive(body);
    } else {
        m_server.reply(request.exchange, 404, JsonType, "{}");
        return;
    }
    if (reply.isNull()) {
        m_server.reply(request.exchange, 400, JsonType,
                       "{\"error\":\"request is too large or its lease has ended\"}");
        return;
    }
    if (m_dropNextAnswers > 0 && request.path == "/v3/kv/txn") {
        // The write has taken effect, its answer is lost.
        --m_dropNextAnswers;
        m_server.abort(request.exchange);
        return;
    }
    m_server.reply(request.exchange, 200, JsonType, jsonText(reply));
}

Json::Value Store::range(const Json::Value &request)
{
    const std::string key = decodedMember(request, "key");
    const std::string end = decodedMember(request, "range_end");
    const std::int64_t limit = int64Member(request, "limit");
    auto from = m_values.lower_bound(key);
    auto to = end.empty() ? m_values.upper_bound(key) : m_values.lower_bound(end);
    std::vector<std::map<std::string, Value>::const_iterator> found;
    for (auto it = from; it != to; ++it) {
        found.push_back(it);
    }
    if (stringMember(request, "sort_order") == "DESCEND") {
        std::reverse(found.begin(), found.end());
    }
    if (limit > 0 && found.size() > static_cast<std::size_t>(limit)) {
        found.resize(static_cast<std::size_t>(limit));
    }
    Json::Value reply;
    reply["header"]["revision"] = std::to_string(m_revision);
    for (const auto &it : found) {
        Json::Value kv;
        kv["key"] = absl::Base64Escape(it->first);
        kv["value"] = absl::Base64Escape(it->second.text);
        kv["mod_revision"] = std::to_string(it->second.modRevision);
        reply["kvs"].append(kv);
    }
    return reply;
}

bool Store::holds(const Json::Value &compare) const
{
    const auto it = m_values.find(decodedMember(compare, "key"));
    if (stringMember(compare, "target") == "VALUE") {
        return it != m_values.end() && it->second.text == decodedMember(compare, "value");
    }
    const std::int64_t present = it == m_values.end() ? 0 : it->second.modRevision;
    return present == int64Member(compare, "mod_revision");
}

Json::Value Store::transaction(const Json::Value &request)
{
    const bool isHeld = std::all_of(request["compare"].begin(), request["compare"].end(),
                                    [this](const Json::Value &compare) { return holds(compare); });
    for (const Json::Value &operation : request["success"]) {
        if (decodedMember(operation["request_put"], "value").size() > MostValueBytes) {
            return {};
        }
        const std::int64_t lease = int64Member(operation["request_put"], "lease");
        if (lease != 0 && !m_leases.contains(lease)) {
            return {};
        }
    }
    Json::Value reply;
    reply["succeeded"] = isHeld;
    const Json::Value &operations = request[isHeld ? "success" : "failure"];
    if (isHeld) {
        ++m_revision;
    }
    for (const Json::Value &operation : operations) {
        Json::Value response;
        if (operation.isMember("request_put")) {
            const Json::Value &put = operation["request_put"];
            m_values[decodedMember(put, "key")] = {decodedMember(put, "value"), m_revision,
                                                   int64Member(put, "lease")};
            response["response_put"] = Json::objectValue;
        } else if (operation.isMember("request_delete_range")) {
            m_values.erase(decodedMember(operation["request_delete_range"], "key"));
            response["response_delete_range"] = Json::objectValue;
        } else {
            response["response_range"] = range(operation["request_range"]);
        }
        reply["responses"].append(response);
    }
    return reply;
}

Json::Value Store::grant(const Json::Value &request)
{
    const std::chrono::seconds timeToLive(int64Member(request, "TTL"));
    const std::int64_t id = ++m_lastLease;
    m_leases[id] = {timeToLive, Clock::now() + timeToLive};
    Json::Value reply;
    reply["ID"] = std::to_string(id);
    reply["TTL"] = std::to_string(timeToLive.count());
    return reply;
}

Json::Value Store::keepAlive(const Json::Value &request)
{
    const auto it = m_leases.find(int64Member(request, "ID"));
    Json::Value reply;
    reply["result"]["ID"] = stringMember(request, "ID");
    if (it != m_leases.end()) {
        it->second.ends = Clock::now() + it->second.timeToLive;
        reply["result"]["TTL"] = std::to_string(it->second.timeToLive.count());
    }
    return reply;
}

void Store::expire()
{
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (it->second.ends > Clock::now()) {
            ++it;
            continue;
        }
        std::erase_if(m_values, [&](const auto &entry) { return entry.second.lease == it->first; });
        it = m_leases.erase(it);
    }
}

void Store::control(const HttpRequest &request)
{
    const Json::Value body = parseJson(request.body);
    if (request.method == "GET") {
        Json::Value reply;
        for (const auto &[path, count] : m_calls) {
            reply["calls"][path] = Json::UInt64(count);
        }
        m_server.reply(request.exchange, 200, JsonType, jsonText(reply));
        return;
    }
    if (body.isObject() && body["away"].isBool()) {
        m_isAway = body["away"].asBool();
    }
    if (body.isObject() && body["slow_ms"].isUInt()) {
        m_slow = std::chrono::milliseconds(body["slow_ms"].asUInt());
    }
    if (body.isObject() && body["drop_next_answers"].isUInt()) {
        m_dropNextAnswers = body["drop_next_answers"].asUInt();
    }
    m_server.reply(request.exchange, 200, JsonType, "{}");
}

} // namespace indigoway::standins
