#include "quotacodec.h"

#include "scheduling/datagramjson.h"

#include <algorithm>
#include <cmath>

namespace indigoway::quotas {

namespace {

/** Limits the numbers accepted from a stray or forged datagram. */
constexpr double MaxUnits = 1e15;
constexpr std::uint32_t MaxNodes = 100'000;
constexpr Duration MaxRetryDelay = std::chrono::hours(1);

Json::Value profileValue(const UsageProfile &profile)
{
    Json::Value value = Json::arrayValue;
    for (const double units : profile) {
        value.append(Json::Int64(std::ceil(std::clamp(units, 0.0, MaxUnits))));
    }
    return value;
}

/** Writes a profile that is not empty, to keep datagrams small. */
void addProfile(Json::Value &to, const char *name, const UsageProfile &profile)
{
    if (!profile.empty()) {
        to[name] = profileValue(profile);
    }
}

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
        for (const double units : used.byPriority) {
            one["by_priority"].append(units);
        }
        addProfile(one, "recent", used.granted);
        addProfile(one, "recent_local", used.local);
        addProfile(one, "recent_fleet", used.fleet);
    }
    if (report.recordAge) {
        value["record_us"] = Json::Int64(report.recordAge->count());
        value["record"] = report.hasRecord;
        value["epoch"] = Json::UInt64(report.epoch);
        value["nodes"] = report.nodes;
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
    if (query.priority) {
        value["priority"] = *query.priority;
    }
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
    if (report.isRecorded) {
        value["recorded"] = *report.isRecorded;
    }
    if (report.fleet) {
        value["keeper_fraction"] = report.keeperFraction;
        value["fleet"] = Json::arrayValue;
        for (const FleetUsage &usage : *report.fleet) {
            Json::Value &one = value["fleet"].append(Json::objectValue);
            one["organisation"] = usage.organisation.text();
            one["recent"] = profileValue(usage.used);
        }
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
    if (answer.state) {
        value["used"] = answer.state->used;
        value["limit"] = answer.state->limit;
        value["reserve"] = answer.state->reserve;
        value["record_us"] = Json::Int64(answer.state->recordAge.count());
    }
    return value;
}

bool isBounded(double units)
{
    return std::abs(units) <= MaxUnits;
}

/** Reads a profile; empty if absent, nothing if invalid. */
std::optional<UsageProfile> readProfile(const Json::Value &value)
{
    constexpr Json::ArrayIndex MaxSteps =
        QuotaWindow::SlotsInWindow / QuotaWindow::SlotsPerStep + 1;
    if (value.isNull()) {
        return UsageProfile {};
    }
    if (!value.isArray() || value.size() > MaxSteps) {
        return std::nullopt;
    }
    UsageProfile profile;
    for (const Json::Value &units : value) {
        if (!units.isNumeric() || units.asDouble() < 0 || !isBounded(units.asDouble())) {
            return std::nullopt;
        }
        profile.push_back(units.asDouble());
    }
    return profile;
}

std::optional<UsageTotal> readUsageTotal(const Json::Value &value)
{
    const auto granted = readProfile(value["recent"]);
    const auto local = readProfile(value["recent_local"]);
    const auto fleet = readProfile(value["recent_fleet"]);
    if (!granted || !local || !fleet) {
        return std::nullopt;
    }
    UsageTotal used {OrganisationName(stringMember(value, "organisation")),
                     realMember(value, "units"),
                     {},
                     *granted,
                     *local,
                     *fleet};
    if (used.organisation.isEmpty() || !isBounded(used.units)) {
        return std::nullopt;
    }
    if (value["by_priority"].isArray()) {
        for (const Json::Value &units : value["by_priority"]) {
            const bool isValid = units.isNumeric() && isBounded(units.asDouble());
            if (!isValid || used.byPriority.size() >= MaxPriorities) {
                return std::nullopt;
            }
            used.byPriority.push_back(units.asDouble());
        }
    }
    return used;
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
        auto used = one.isObject() ? readUsageTotal(one) : std::nullopt;
        if (!used) {
            return std::nullopt;
        }
        report.used.push_back(std::move(*used));
    }
    if (value["record_us"].isInt64()) {
        report.recordAge = std::max(Duration(0), Duration(value["record_us"].asInt64()));
        report.hasRecord = value["record"].isBool() && value["record"].asBool();
        report.epoch = numberMember(value, "epoch");
        report.nodes = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(numberMember(value, "nodes"), MaxNodes));
    }
    return report;
}

std::optional<ToKeeper> readQuery(const Json::Value &value)
{
    QuotaQuery query {QuotaQueryId(numberMember(value, "ask")),
                      OrganisationName(stringMember(value, "organisation")),
                      realMember(value, "units")};
    if (value["priority"].isUInt()) {
        query.priority = value["priority"].asUInt();
    }
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
    if (value["recorded"].isBool()) {
        report.isRecorded = value["recorded"].asBool();
    }
    if (value["fleet"].isArray()) {
        report.fleet.emplace();
        report.keeperFraction = std::clamp(realMember(value, "keeper_fraction"), 0.0, 1.0);
        for (const Json::Value &one : value["fleet"]) {
            const auto used = one.isObject() ? readProfile(one["recent"]) : std::nullopt;
            if (!used) {
                return std::nullopt;
            }
            report.fleet->push_back({OrganisationName(stringMember(one, "organisation")), *used});
        }
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
    QuotaAnswer answer {queryId, value["granted"].asBool(), retryAfter};
    if (value["record_us"].isInt64()) {
        answer.state = {realMember(value, "used"), realMember(value, "limit"),
                        realMember(value, "reserve"), Duration(value["record_us"].asInt64())};
    }
    return answer;
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
