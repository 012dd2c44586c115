#include "quotacodec.h"

#include "core/jsontext.h"

#include <cmath>

namespace indigoway::quotas {

namespace {

/** Limits the numbers accepted from a stray or forged datagram. */
constexpr double MaxUnits = 1e15;
constexpr Duration MaxRetryDelay = std::chrono::hours(1);

Json::Value body(const UsageReport &told)
{
    Json::Value value;
    value["kind"] = "quota_used";
    value["keeper"] = Json::UInt64(told.keeper.value());
    value["sequence"] = Json::UInt64(told.sequence);
    value["answer"] = told.wantsScarcity;
    value["used"] = Json::arrayValue;
    for (const UsageTotal &used : told.used) {
        Json::Value &one = value["used"].append(Json::objectValue);
        one["organisation"] = used.organisation.text();
        one["units"] = used.units;
    }
    return value;
}

Json::Value body(const QuotaQuery &asked)
{
    Json::Value value;
    value["kind"] = "quota_asked";
    value["ask"] = Json::UInt64(asked.ask.value());
    value["organisation"] = asked.organisation.text();
    value["units"] = asked.units;
    return value;
}

Json::Value body(const ScarcityReport &standing)
{
    Json::Value value;
    value["kind"] = "quota_standing";
    value["scarce"] = Json::arrayValue;
    for (const OrganisationName &name : standing.scarce) {
        value["scarce"].append(name.text());
    }
    return value;
}

Json::Value body(const QuotaAnswer &answered)
{
    Json::Value value;
    value["kind"] = "quota_answer";
    value["ask"] = Json::UInt64(answered.ask.value());
    value["granted"] = answered.isGranted;
    value["room_after_us"] = Json::Int64(answered.roomAfter.count());
    return value;
}

template <typename Message>
std::string encodeAny(const Datagram<Message> &datagram)
{
    Json::Value value = std::visit([](const auto &one) { return body(one); }, datagram.message);
    value["node"] = datagram.from.node.text();
    value["life"] = Json::UInt64(datagram.from.incarnation.value());
    return jsonText(value);
}

bool isBounded(double units)
{
    return std::abs(units) <= MaxUnits;
}

std::optional<ToKeeper> readUsage(const Json::Value &value)
{
    UsageReport told {Incarnation(numberMember(value, "keeper")),
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
        told.used.push_back(std::move(used));
    }
    return told;
}

std::optional<ToKeeper> readAsked(const Json::Value &value)
{
    QuotaQuery asked {QuotaQueryId(numberMember(value, "ask")),
                      OrganisationName(stringMember(value, "organisation")),
                      realMember(value, "units")};
    const bool isUsable = !asked.ask.isNone() && !asked.organisation.isEmpty() && asked.units >= 0
        && isBounded(asked.units);
    return isUsable ? std::optional<ToKeeper>(std::move(asked)) : std::nullopt;
}

std::optional<FromKeeper> readStanding(const Json::Value &value)
{
    if (!value["scarce"].isArray()) {
        return std::nullopt;
    }
    ScarcityReport standing;
    for (const Json::Value &name : value["scarce"]) {
        standing.scarce.emplace_back(name.isString() ? name.asString() : std::string());
    }
    return standing;
}

std::optional<FromKeeper> readAnswer(const Json::Value &value)
{
    const QuotaQueryId ask(numberMember(value, "ask"));
    if (ask.isNone() || !value["granted"].isBool() || !value["room_after_us"].isInt64()) {
        return std::nullopt;
    }
    const Duration roomAfter(value["room_after_us"].asInt64());
    if (roomAfter < Duration(0) || roomAfter > MaxRetryDelay) {
        return std::nullopt;
    }
    return QuotaAnswer {ask, value["granted"].asBool(), roomAfter};
}

template <typename Message>
std::optional<Datagram<Message>> withSender(const Json::Value &value,
                                            std::optional<Message> message)
{
    NodeLife from {NodeName(stringMember(value, "node")), Incarnation(numberMember(value, "life"))};
    if (!message || from.node.isEmpty()) {
        return std::nullopt;
    }
    return Datagram<Message> {std::move(from), std::move(*message)};
}

} // namespace

std::string encode(const Datagram<ToKeeper> &datagram)
{
    return encodeAny(datagram);
}

std::string encode(const Datagram<FromKeeper> &datagram)
{
    return encodeAny(datagram);
}

std::optional<Datagram<ToKeeper>> readToKeeper(const Json::Value &value)
{
    const std::string kind = stringMember(value, "kind");
    if (kind == "quota_used") {
        return withSender(value, readUsage(value));
    }
    return kind == "quota_asked" ? withSender(value, readAsked(value)) : std::nullopt;
}

std::optional<Datagram<FromKeeper>> readFromKeeper(const Json::Value &value)
{
    const std::string kind = stringMember(value, "kind");
    if (kind == "quota_standing") {
        return withSender(value, readStanding(value));
    }
    return kind == "quota_answer" ? withSender(value, readAnswer(value)) : std::nullopt;
}

} // namespace indigoway::quotas
