#include "quotacodec.h"

#include "scheduling/datagramjson.h"

#include <cmath>

namespace indigoway::quotas {

namespace {

/** Limits the numbers accepted from a stray or forged datagram. */
constexpr double MaxUnits = 1e15;
constexpr Duration MaxRetryDelay = std::chrono::hours(1);

Json::Value body(const UsageReport &report)
{
    Json::Value value;
    value["kind"] = "quota_used";
    value["keeper"] = Json::UInt64(report.keeper.value());
    value["sequence"] = Json::UInt64(report.sequence);
    value["answer"] = report.wantsScarcity;
    value["used"] = Json::arrayValue;
    for (const UsageTotal &used : report.used) {
        Json::Value &one = value["used"].append(Json::objectValue);
        one["organisation"] = used.organisation.text();
        one["units"] = used.units;
    }
    return value;
}

Json::Value body(const QuotaQuery &query)
{
    Json::Value value;
    value["kind"] = "quota_asked";
    value["ask"] = Json::UInt64(query.queryId.value());
    value["organisation"] = query.organisation.text();
    value["units"] = query.units;
    return value;
}

Json::Value body(const ScarcityReport &report)
{
    Json::Value value;
    value["kind"] = "quota_standing";
    value["scarce"] = Json::arrayValue;
    for (const OrganisationName &name : report.scarce) {
        value["scarce"].append(name.text());
    }
    return value;
}

Json::Value body(const QuotaAnswer &answer)
{
    Json::Value value;
    value["kind"] = "quota_answer";
    value["ask"] = Json::UInt64(answer.queryId.value());
    value["granted"] = answer.isGranted;
    value["room_after_us"] = Json::Int64(answer.retryAfter.count());
    return value;
}

bool isBounded(double units)
{
    return std::abs(units) <= MaxUnits;
}

std::optional<ToKeeper> readUsageReport(const Json::Value &value)
{
    UsageReport report {Incarnation(numberMember(value, "keeper")),
                        numberMember(value, "sequence"),
                        value["answer"].isBool() && value["answer"].asBool(),
                        {}};
    if (!value["used"].isArray()) {
        return std::nullopt;
    }
    for (const Json::Value &one : value["used"]) {
        UsageTotal used {OrganisationName(stringMember(one, "organisation")),
                         realMember(one, "units")};
        if (used.organisation.isEmpty() || !isBounded(used.units)) {
            return std::nullopt;
        }
        report.used.push_back(std::move(used));
    }
    return report;
}

std::optional<ToKeeper> readQuery(const Json::Value &value)
{
    QuotaQuery query {QuotaQueryId(numberMember(value, "ask")),
                      OrganisationName(stringMember(value, "organisation")),
                      realMember(value, "units")};
    const bool isValid = !query.queryId.isNone() && !query.organisation.isEmpty()
        && query.units >= 0 && isBounded(query.units);
    return isValid ? std::optional<ToKeeper>(std::move(query)) : std::nullopt;
}

std::optional<FromKeeper> readScarcityReport(const Json::Value &value)
{
    if (!value["scarce"].isArray()) {
        return std::nullopt;
    }
    ScarcityReport report;
    for (const Json::Value &name : value["scarce"]) {
        report.scarce.emplace_back(name.isString() ? name.asString() : std::string());
    }
    return report;
}

std::optional<FromKeeper> readAnswer(const Json::Value &value)
{
    const QuotaQueryId queryId(numberMember(value, "ask"));
    if (queryId.isNone() || !value["granted"].isBool() || !value["room_after_us"].isInt64()) {
        return std::nullopt;
    }
    const Duration retryAfter(value["room_after_us"].asInt64());
    if (retryAfter < Duration(0) || retryAfter > MaxRetryDelay) {
        return std::nullopt;
    }
    return QuotaAnswer {queryId, value["granted"].asBool(), retryAfter};
}

constexpr std::array<scheduling::MessageReader<ToKeeper>, 2> ToReaders {
    {{"quota_used", readUsageReport}, {"quota_asked", readQuery}}};
constexpr std::array<scheduling::MessageReader<FromKeeper>, 2> FromReaders {
    {{"quota_standing", readScarcityReport}, {"quota_answer", readAnswer}}};

constexpr auto BodyOf = [](const auto &message) {
    return body(message);
};

} // namespace

std::string encode(const Datagram<ToKeeper> &datagram)
{
    return scheduling::encodeDatagram(datagram, BodyOf);
}

std::string encode(const Datagram<FromKeeper> &datagram)
{
    return scheduling::encodeDatagram(datagram, BodyOf);
}

std::optional<Datagram<ToKeeper>> readToKeeper(const Json::Value &value)
{
    return scheduling::readDatagram(value, ToReaders);
}

std::optional<Datagram<FromKeeper>> readFromKeeper(const Json::Value &value)
{
    return scheduling::readDatagram(value, FromReaders);
}

} // namespace indigoway::quotas
