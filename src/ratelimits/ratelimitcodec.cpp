#include "ratelimitcodec.h"

#include "scheduling/datagramjson.h"

namespace indigoway::ratelimits {

namespace {

/** Limits the values accepted from a stray or forged datagram. */
constexpr double MaxPerSecond = 1e9;
constexpr Duration MaxDuration = std::chrono::hours(24);

/** Adds the members of @p limit to @p value. */
void write(Json::Value &value, const KnownLimit &limit)
{
    value["server"] = limit.server.text();
    value["per_s"] = limit.perSecond;
    value["announced_ago_us"] = Json::Int64(limit.announcedAgo.count());
}

Json::Value body(const PermitQuery &query)
{
    Json::Value value;
    value["kind"] = "permit_query";
    value["id"] = Json::UInt64(query.id.value());
    write(value, query.limit);
    return value;
}

Json::Value body(const LimitStarted &started)
{
    Json::Value value;
    value["kind"] = "limit_started";
    write(value, started.limit);
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

Json::Value body(const LimitNotice &notice)
{
    Json::Value value;
    value["kind"] = "limit_notice";
    value["limits"] = Json::arrayValue;
    for (const KnownLimit &limit : notice.limits) {
        write(value["limits"].append(Json::objectValue), limit);
    }
    return value;
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

std::optional<KnownLimit> readLimit(const Json::Value &value)
{
    if (!value.isObject()) {
        return std::nullopt;
    }
    const auto announcedAgo = durationMember(value, "announced_ago_us");
    KnownLimit limit {ServerName(stringMember(value, "server")), realMember(value, "per_s"),
                      announcedAgo.value_or(Duration(0))};
    const bool isValid = announcedAgo && !limit.server.isEmpty() && limit.perSecond >= 0
        && limit.perSecond <= MaxPerSecond;
    return isValid ? std::optional(std::move(limit)) : std::nullopt;
}

std::optional<ToRateLimiter> readQuery(const Json::Value &value)
{
    const PermitId id(numberMember(value, "id"));
    auto limit = readLimit(value);
    return limit && !id.isNone() ? std::optional<ToRateLimiter>(PermitQuery {id, std::move(*limit)})
                                 : std::nullopt;
}

std::optional<ToRateLimiter> readLimitStarted(const Json::Value &value)
{
    auto limit = readLimit(value);
    return limit ? std::optional<ToRateLimiter>(LimitStarted {std::move(*limit)}) : std::nullopt;
}

std::optional<ToRateLimiter> readLimitEnded(const Json::Value &value)
{
    LimitEnded ended {ServerName(stringMember(value, "server"))};
    return ended.server.isEmpty() ? std::nullopt : std::optional<ToRateLimiter>(std::move(ended));
}

std::optional<FromRateLimiter> readPermitAnswer(const Json::Value &value)
{
    const auto retryAfter = durationMember(value, "retry_after_us");
    const PermitId id(numberMember(value, "id"));
    const bool isValid =
        !id.isNone() && retryAfter && value["granted"].isBool() && value["limit_ended"].isBool();
    return isValid ? std::optional<FromRateLimiter>(PermitAnswer {
               id, value["granted"].asBool(), *retryAfter, value["limit_ended"].asBool()})
                   : std::nullopt;
}

std::optional<FromRateLimiter> readLimitNotice(const Json::Value &value)
{
    if (!value["limits"].isArray()) {
        return std::nullopt;
    }
    LimitNotice notice;
    for (const Json::Value &one : value["limits"]) {
        auto limit = readLimit(one);
        if (!limit) {
            return std::nullopt;
        }
        notice.limits.push_back(std::move(*limit));
    }
    return notice;
}

constexpr std::array<scheduling::MessageReader<ToRateLimiter>, 3> ToReaders {
    {{"permit_query", readQuery},
     {"limit_started", readLimitStarted},
     {"limit_ended", readLimitEnded}}};
constexpr std::array<scheduling::MessageReader<FromRateLimiter>, 2> FromReaders {
    {{"permit_answer", readPermitAnswer}, {"limit_notice", readLimitNotice}}};

constexpr auto BodyOf = [](const auto &message) {
    return body(message);
};

} // namespace

std::string encode(const Datagram<ToRateLimiter> &datagram)
{
    return scheduling::encodeDatagram(datagram, BodyOf);
}

std::string encode(const Datagram<FromRateLimiter> &datagram)
{
    return scheduling::encodeDatagram(datagram, BodyOf);
}

std::optional<Datagram<ToRateLimiter>> readToRateLimiter(const Json::Value &value)
{
    return scheduling::readDatagram(value, ToReaders);
}

std::optional<Datagram<FromRateLimiter>> readFromRateLimiter(const Json::Value &value)
{
    return scheduling::readDatagram(value, FromReaders);
}

} // namespace indigoway::ratelimits
