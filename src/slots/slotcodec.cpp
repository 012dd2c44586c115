#include "slotcodec.h"

#include "scheduling/datagramjson.h"

#include <limits>

namespace indigoway::slots {

namespace {

// Limit the values accepted from a stray or forged datagram.
constexpr Duration MaxDuration = std::chrono::hours(24);
constexpr std::size_t MaxServers = 64; ///< In one message; more would not fit into a datagram.
constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
/** The largest speed that the dialect accepts from a server. */
constexpr std::uint64_t MaxWorkPercent = 100'000;

constexpr std::array<std::pair<SlotOutcome, const char *>, 6> OutcomeNames {
    {{SlotOutcome::Answered, "answered"},
     {SlotOutcome::ServerError, "server_error"},
     {SlotOutcome::Broken, "broken"},
     {SlotOutcome::Rejected, "rejected"},
     {SlotOutcome::Unreachable, "unreachable"},
     {SlotOutcome::Cancelled, "cancelled"}}};

const char *outcomeName(SlotOutcome outcome)
{
    const auto it =
        std::ranges::find(OutcomeNames, outcome, &decltype(OutcomeNames)::value_type::first);
    return it->second;
}

std::optional<SlotOutcome> outcomeOf(const std::string &name)
{
    const auto it =
        std::ranges::find(OutcomeNames, name, &decltype(OutcomeNames)::value_type::second);
    return it == OutcomeNames.end() ? std::nullopt : std::optional(it->first);
}

Json::Value microseconds(Duration duration)
{
    return Json::Int64(duration.count());
}

Json::Value toJson(const ServerLoad &load)
{
    Json::Value value = Json::arrayValue;
    value.append(load.running);
    value.append(load.waiting);
    value.append(load.slots);
    if (load.workPercent) {
        value.append(*load.workPercent);
    }
    return value;
}

Json::Value body(const SlotClaim &claim)
{
    Json::Value value;
    value["kind"] = "slot_claim";
    value["claim"] = Json::UInt64(claim.claim.value());
    value["service"] = claim.service.text();
    value["route"] = claim.route.text();
    value["domain"] = claim.domain.text();
    value["priority"] = claim.priority;
    value["to_target_us"] = microseconds(claim.timeToTarget);
    value["left_us"] = microseconds(claim.timeLeft);
    for (const ServerName &server : claim.excludedServers) {
        value["excluded"].append(server.text());
    }
    return value;
}

Json::Value body(const SlotHeld &held)
{
    Json::Value value;
    value["kind"] = "slot_held";
    value["claim"] = Json::UInt64(held.claim.value());
    value["service"] = held.service.text();
    value["server"] = held.server.text();
    value["left_us"] = microseconds(held.timeLeft);
    return value;
}

Json::Value body(const SlotEnded &ended)
{
    Json::Value value;
    value["kind"] = "slot_ended";
    value["claim"] = Json::UInt64(ended.claim.value());
    value["service"] = ended.service.text();
    value["server"] = ended.server.text();
    value["outcome"] = outcomeName(ended.outcome);
    value["took_us"] = microseconds(ended.answerTime);
    if (ended.load) {
        value["load"] = toJson(*ended.load);
    }
    return value;
}

Json::Value body(const LoadReport &report)
{
    Json::Value value;
    value["kind"] = "slot_loads";
    value["service"] = report.service.text();
    value["loads"] = Json::arrayValue;
    for (const SeenLoad &seen : report.loads) {
        Json::Value &one = value["loads"].append(Json::objectValue);
        one["server"] = seen.server.text();
        one["load"] = toJson(seen.load);
        one["age_us"] = microseconds(seen.age);
    }
    return value;
}

Json::Value body(const SlotQueued &queued)
{
    Json::Value value;
    value["kind"] = "slot_queued";
    value["claim"] = Json::UInt64(queued.claim.value());
    return value;
}

Json::Value body(const SlotGranted &granted)
{
    Json::Value value;
    value["kind"] = "slot_granted";
    value["claim"] = Json::UInt64(granted.claim.value());
    value["server"] = granted.server.text();
    return value;
}

Json::Value body(const SlotRefused &refused)
{
    Json::Value value;
    value["kind"] = "slot_refused";
    value["claim"] = Json::UInt64(refused.claim.value());
    value["wait_us"] = microseconds(refused.expectedWait);
    return value;
}

Json::Value body(const LoadReceived & /*received*/)
{
    Json::Value value;
    value["kind"] = "slot_loads_received";
    return value;
}

/** Returns nothing if the member is missing or unreasonably large. */
std::optional<Duration> signedDurationMember(const Json::Value &value, const char *name)
{
    if (!value[name].isInt64()) {
        return std::nullopt;
    }
    const Duration duration(value[name].asInt64());
    const bool isReasonable = duration >= -MaxDuration && duration <= MaxDuration;
    return isReasonable ? std::optional(duration) : std::nullopt;
}

/** As signedDurationMember(), but returns nothing if the duration is negative. */
std::optional<Duration> durationMember(const Json::Value &value, const char *name)
{
    const auto duration = signedDurationMember(value, name);
    return duration && *duration >= Duration(0) ? duration : std::nullopt;
}

/** Reads a list of names; nothing if it is invalid. A missing list is empty. */
std::optional<std::vector<ServerName>> serversMember(const Json::Value &value, const char *name)
{
    const Json::Value &list = value[name];
    if (!list.isNull() && (!list.isArray() || list.size() > MaxServers)) {
        return std::nullopt;
    }
    std::vector<ServerName> servers;
    for (const Json::Value &one : list) {
        if (!one.isString() || one.asString().empty()) {
            return std::nullopt;
        }
        servers.emplace_back(one.asString());
    }
    return servers;
}

std::optional<ServerLoad> readLoad(const Json::Value &value)
{
    if (!value.isArray() || value.size() < 3) {
        return std::nullopt;
    }
    for (const Json::Value &figure : value) {
        if (!figure.isUInt64() || figure.asUInt64() > MaxCount) {
            return std::nullopt;
        }
    }
    ServerLoad load {value[0].asUInt(), value[1].asUInt(), value[2].asUInt()};
    if (value.size() > 3) {
        if (value[3].asUInt64() == 0 || value[3].asUInt64() > MaxWorkPercent) {
            return std::nullopt;
        }
        load.workPercent = value[3].asUInt();
    }
    return load;
}

std::optional<ToPlainScheduler> readClaim(const Json::Value &value)
{
    SlotClaim claim;
    claim.claim = SlotClaimId(numberMember(value, "claim"));
    claim.service = ServiceName(stringMember(value, "service"));
    claim.route = RouteName(stringMember(value, "route"));
    claim.domain = DomainName(stringMember(value, "domain"));
    const std::uint64_t priority = numberMember(value, "priority");
    const auto timeToTarget = signedDurationMember(value, "to_target_us");
    const auto timeLeft = durationMember(value, "left_us");
    auto excluded = serversMember(value, "excluded");
    if (claim.claim.isNone() || claim.service.isEmpty() || priority > MaxCount || !timeToTarget
        || !timeLeft || !excluded) {
        return std::nullopt;
    }
    claim.priority = static_cast<std::uint32_t>(priority);
    claim.timeToTarget = *timeToTarget;
    claim.timeLeft = *timeLeft;
    claim.excludedServers = std::move(*excluded);
    return claim;
}

std::optional<ToPlainScheduler> readHeld(const Json::Value &value)
{
    const auto timeLeft = durationMember(value, "left_us");
    SlotHeld held {SlotClaimId(numberMember(value, "claim")),
                   ServiceName(stringMember(value, "service")),
                   ServerName(stringMember(value, "server")), timeLeft.value_or(Duration(0))};
    const bool isValid =
        timeLeft && !held.claim.isNone() && !held.service.isEmpty() && !held.server.isEmpty();
    return isValid ? std::optional<ToPlainScheduler>(std::move(held)) : std::nullopt;
}

std::optional<ToPlainScheduler> readEnded(const Json::Value &value)
{
    const auto outcome = outcomeOf(stringMember(value, "outcome"));
    const auto answerTime = durationMember(value, "took_us");
    SlotEnded ended;
    ended.claim = SlotClaimId(numberMember(value, "claim"));
    ended.service = ServiceName(stringMember(value, "service"));
    ended.server = ServerName(stringMember(value, "server"));
    if (ended.claim.isNone() || !outcome || !answerTime) {
        return std::nullopt;
    }
    ended.outcome = *outcome;
    ended.answerTime = *answerTime;
    if (!value["load"].isNull()) {
        ended.load = readLoad(value["load"]);
        if (!ended.load) {
            return std::nullopt;
        }
    }
    return ended;
}

std::optional<ToPlainScheduler> readLoadReport(const Json::Value &value)
{
    LoadReport report;
    report.service = ServiceName(stringMember(value, "service"));
    if (report.service.isEmpty() || !value["loads"].isArray()
        || value["loads"].size() > MaxServers) {
        return std::nullopt;
    }
    for (const Json::Value &one : value["loads"]) {
        if (!one.isObject()) {
            return std::nullopt;
        }
        const auto load = readLoad(one["load"]);
        const auto age = durationMember(one, "age_us");
        ServerName server(stringMember(one, "server"));
        if (!load || !age || server.isEmpty()) {
            return std::nullopt;
        }
        report.loads.push_back({std::move(server), *load, *age});
    }
    return report;
}

std::optional<FromPlainScheduler> readQueued(const Json::Value &value)
{
    const SlotClaimId claim(numberMember(value, "claim"));
    return claim.isNone() ? std::nullopt : std::optional<FromPlainScheduler>(SlotQueued {claim});
}

std::optional<FromPlainScheduler> readGranted(const Json::Value &value)
{
    SlotGranted granted {SlotClaimId(numberMember(value, "claim")),
                         ServerName(stringMember(value, "server"))};
    const bool isValid = !granted.claim.isNone() && !granted.server.isEmpty();
    return isValid ? std::optional<FromPlainScheduler>(std::move(granted)) : std::nullopt;
}

std::optional<FromPlainScheduler> readRefused(const Json::Value &value)
{
    const SlotClaimId claim(numberMember(value, "claim"));
    const auto wait = durationMember(value, "wait_us");
    return claim.isNone() || !wait ? std::nullopt
                                   : std::optional<FromPlainScheduler>(SlotRefused {claim, *wait});
}

std::optional<FromPlainScheduler> readReceived(const Json::Value & /*value*/)
{
    return LoadReceived {};
}

constexpr std::array<scheduling::MessageReader<ToPlainScheduler>, 4> ToReaders {
    {{"slot_claim", readClaim},
     {"slot_held", readHeld},
     {"slot_ended", readEnded},
     {"slot_loads", readLoadReport}}};
constexpr std::array<scheduling::MessageReader<FromPlainScheduler>, 4> FromReaders {
    {{"slot_queued", readQueued},
     {"slot_granted", readGranted},
     {"slot_refused", readRefused},
     {"slot_loads_received", readReceived}}};

constexpr auto BodyOf = [](const auto &message) {
    return body(message);
};

} // namespace

std::string encode(const Datagram<ToPlainScheduler> &datagram)
{
    return scheduling::encodeDatagram(datagram, BodyOf);
}

std::string encode(const Datagram<FromPlainScheduler> &datagram)
{
    return scheduling::encodeDatagram(datagram, BodyOf);
}

std::optional<Datagram<ToPlainScheduler>> readToPlainScheduler(const Json::Value &value)
{
    return scheduling::readDatagram(value, ToReaders);
}

std::optional<Datagram<FromPlainScheduler>> readFromPlainScheduler(const Json::Value &value)
{
    return scheduling::readDatagram(value, FromReaders);
}

} // namespace indigoway::slots
