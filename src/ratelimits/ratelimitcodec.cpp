#include "ratelimitcodec.h"

#include "core/jsontext.h"

namespace indigoway::ratelimits {

namespace {

/** Limits the values accepted from a stray or forged datagram. */
constexpr double MaxPerSecond = 1e9;
constexpr Duration MaxDuration = std::chrono::hours(24);

Json::Value body(const PermitQuery &query)
{
    Json::Value value;
    value["kind"] = "permit_query";
    value["id"] = Json::UInt64(query.id.value());
    value["server"] = query.server.text();
    value["per_s"] = query.perSecond;
    value["announced_ago_us"] = Json::Int64(query.announcedAgo.count());
    return value;
}

Json::Value body(const LimitEnded &ended)
{
    Json::Value value;
    value["kind"] = "limit_ended";
    value["server"] = ended.server.text();
    return value;
}

Json::Value body(const PermitAnswer &answer)
{
    Json::Value value;
    value["kind"] = "permit_answer";
    value["id"] = Json::UInt64(answer.id.value());
    value["granted"] = answer.isGranted;
    value["retry_after_us"] = Json::Int64(answer.retryAfter.count());
    value["limit_ended"] = answer.hasLimitEnded;
    return value;
}

std::string encodeFrom(const NodeLife &from, Json::Value value)
{
    value["node"] = from.node.text();
    value["life"] = Json::UInt64(from.incarnation.value());
    return jsonText(value);
}

/** Returns nothing if the member is missing, negative or unreasonably large. */
std::optional<Duration> durationMember(const Json::Value &value, const char *name)
{
    if (!value[name].isInt64()) {
        return std::nullopt;
    }
    const Duration duration(value[name].asInt64());
    return duration >= Duration(0) && duration <= MaxDuration ? std::optional(duration)
                                                              : std::nullopt;
}

std::optional<NodeLife> senderOf(const Json::Value &value)
{
    NodeLife from {NodeName(stringMember(value, "node")), Incarnation(numberMember(value, "life"))};
    return from.node.isEmpty() ? std::nullopt : std::optional(std::move(from));
}

std::optional<ToRateLimiter> readQuery(const Json::Value &value)
{
    const auto announcedAgo = durationMember(value, "announced_ago_us");
    PermitQuery query {PermitId(numberMember(value, "id")),
                       ServerName(stringMember(value, "server")), realMember(value, "per_s"),
                       announcedAgo.value_or(Duration(0))};
    const bool isValid = announcedAgo && !query.id.isNone() && !query.server.isEmpty()
        && query.perSecond >= 0 && query.perSecond <= MaxPerSecond;
    return isValid ? std::optional<ToRateLimiter>(std::move(query)) : std::nullopt;
}

std::optional<ToRateLimiter> readLimitEnded(const Json::Value &value)
{
    LimitEnded ended {ServerName(stringMember(value, "server"))};
    return ended.server.isEmpty() ? std::nullopt : std::optional<ToRateLimiter>(std::move(ended));
}

} // namespace

std::string encode(const Datagram<ToRateLimiter> &datagram)
{
    return encodeFrom(datagram.from,
                      std::visit([](const auto &one) { return body(one); }, datagram.message));
}

std::string encode(const Datagram<PermitAnswer> &datagram)
{
    return encodeFrom(datagram.from, body(datagram.message));
}

std::optional<Datagram<ToRateLimiter>> readToRateLimiter(const Json::Value &value)
{
    const std::string kind = stringMember(value, "kind");
    const auto from = senderOf(value);
    if (!from || (kind != "permit_query" && kind != "limit_ended")) {
        return std::nullopt;
    }
    const auto message = kind == "permit_query" ? readQuery(value) : readLimitEnded(value);
    return message ? std::optional(Datagram<ToRateLimiter> {*from, *message}) : std::nullopt;
}

std::optional<Datagram<PermitAnswer>> readPermitAnswer(const Json::Value &value)
{
    const auto from = senderOf(value);
    if (!from || stringMember(value, "kind") != "permit_answer") {
        return std::nullopt;
    }
    const auto retryAfter = durationMember(value, "retry_after_us");
    const PermitId id(numberMember(value, "id"));
    if (id.isNone() || !retryAfter || !value["granted"].isBool()
        || !value["limit_ended"].isBool()) {
        return std::nullopt;
    }
    return Datagram<PermitAnswer> {
        *from, {id, value["granted"].asBool(), *retryAfter, value["limit_ended"].asBool()}};
}

} // namespace indigoway::ratelimits
