#include "schedulercodec.h"

#include "core/jsontext.h"

#include <algorithm>

namespace indigoway::scheduling {

namespace {

/** Bounds values in stray or forged datagrams. */
constexpr std::uint64_t MaxTokens = 100'000'000;
constexpr std::uint64_t MaxFailures = 1'000;
constexpr Duration MaxPhaseChangeDuration = std::chrono::minutes(10);

Json::Value header(const char *kind, const NodeLife &from)
{
    Json::Value value;
    value["kind"] = kind;
    value["node"] = from.node.text();
    value["life"] = Json::UInt64(from.incarnation.value());
    return value;
}

Json::Value header(const char *kind, const NodeLife &from, ClaimId claim)
{
    Json::Value value = header(kind, from);
    value["claim"] = Json::UInt64(claim.value());
    return value;
}

Duration durationMember(const Json::Value &value, const char *name)
{
    return value[name].isInt64() ? Duration(value[name].asInt64()) : Duration(0);
}

void write(Json::Value &value, const MemoryNeed &need)
{
    value["context"] = Json::UInt64(need.contextTokens);
    value["output"] = Json::UInt64(need.outputTokens);
    value["most_output"] = Json::UInt64(need.maxOutputTokens);
}

/** Reads a memory need, or nothing if it exceeds MaxTokens. */
std::optional<MemoryNeed> readMemoryNeed(const Json::Value &value)
{
    const MemoryNeed need {numberMember(value, "context"), numberMember(value, "output"),
                           numberMember(value, "most_output")};
    if (std::max({need.contextTokens, need.outputTokens, need.maxOutputTokens}) > MaxTokens) {
        return std::nullopt;
    }
    return need;
}

Json::Value body(const NodeLife &from, const Claim &claim)
{
    Json::Value value = header("claim", from, claim.claim);
    value["service"] = claim.service.text();
    value["domain"] = claim.domain.text();
    value["prompt"] = claim.promptTokens;
    write(value, claim.memory);
    value["urgency"] = static_cast<unsigned>(claim.urgency);
    value["priority"] = claim.priority;
    value["waits_us"] = Json::Int64(claim.maxWait.count());
    value["until_target_us"] = Json::Int64(claim.timeToTarget.count());
    value["lasts_us"] = Json::Int64(claim.maxDuration.count());
    for (const ServerName &server : claim.excludedServers) {
        value["without"].append(server.text());
    }
    if (!claim.organisation.isEmpty()) {
        value["organisation"] = claim.organisation.text();
    }
    if (claim.wantsBackup) {
        value["backup_wanted"] = true;
    }
    if (claim.version) {
        value["version"] = *claim.version;
    }
    return value;
}

/** Adds the backup of a run; a missing member means that there is none. */
void writeBackup(Json::Value &value, const ServerName &backup)
{
    if (!backup.isEmpty()) {
        value["backup"] = backup.text();
    }
}

Json::Value body(const NodeLife &from, const ReservationReport &reservation)
{
    Json::Value value = header("held", from, reservation.claim);
    value["service"] = reservation.service.text();
    write(value, reservation.memory);
    value["decode"] = reservation.decodeServer.text();
    value["lasts_us"] = Json::Int64(reservation.maxDuration.count());
    if (reservation.elapsedDecodeTime) {
        value["decoding_us"] = Json::Int64(reservation.elapsedDecodeTime->count());
    }
    writeBackup(value, reservation.backupServer);
    return value;
}

Json::Value body(const NodeLife &from, const PrefillEnded &ended)
{
    Json::Value value = header("prefilled", from, ended.claim);
    value["done"] = ended.isDone;
    value["reachable"] = ended.isReachable;
    if (ended.isConnectionLost) {
        value["lost"] = true;
    }
    return value;
}

Json::Value body(const NodeLife &from, const ClaimEnded &ended)
{
    Json::Value value = header("ended", from, ended.claim);
    value["how"] = static_cast<unsigned>(ended.outcome);
    value["made"] = Json::UInt64(ended.generatedTokens);
    return value;
}

Json::Value body(const NodeLife &from, const RunMoved &moved)
{
    return header("moved", from, moved.claim);
}

Json::Value body(const NodeLife &from, const PhaseChangeNotice &notice)
{
    Json::Value value = header("changing", from);
    value["server"] = notice.server.text();
    value["to"] = notice.to == EnginePhase::Prefill ? "prefill" : "decode";
    value["lasts_us"] = Json::Int64(notice.maxDuration.count());
    value["accepted"] = notice.isAccepted;
    return value;
}

Json::Value body(const NodeLife &from, const EngineFault &fault)
{
    Json::Value value = header("engine_fault", from);
    value["server"] = fault.server.text();
    value["failures"] = fault.failures;
    value["reachable"] = fault.isReachable;
    return value;
}

Json::Value body(const NodeLife &from, const WorkQuery &query)
{
    Json::Value value = header("work_asked", from);
    value["service"] = query.service.text();
    return value;
}

void write(Json::Value &value, const GenerationWork &work)
{
    value["prefill_s"] = work.prefillSeconds;
    value["decode_token_s"] = work.decodeTokenSeconds;
}

Json::Value body(const NodeLife &from, const WorkReport &report)
{
    Json::Value value = header("work", from);
    value["service"] = report.service.text();
    write(value, report.work);
    return value;
}

Json::Value body(const NodeLife &from, const ClaimQueued &queued)
{
    return header("queued", from, queued.claim);
}

Json::Value body(const NodeLife &from, const ClaimGranted &granted)
{
    Json::Value value = header("granted", from, granted.claim);
    value["decode"] = granted.decodeServer.text();
    value["prefill"] = granted.prefillServer.text();
    value["whole"] = granted.prefillsLocally;
    if (granted.work) {
        write(value, *granted.work);
    }
    writeBackup(value, granted.backupServer);
    return value;
}

Json::Value body(const NodeLife &from, const ClaimRefused &refused)
{
    Json::Value value = header("refused", from, refused.claim);
    value["ahead"] = refused.claimsAhead;
    value["wait_us"] = Json::Int64(refused.expectedWait.count());
    return value;
}

/** Reads the sender, or nothing if the node name is missing. */
std::optional<NodeLife> senderOf(const Json::Value &value)
{
    NodeLife from {NodeName(stringMember(value, "node")), Incarnation(numberMember(value, "life"))};
    return from.node.isEmpty() ? std::nullopt : std::optional(from);
}

std::optional<ToScheduler> readClaim(const Json::Value &value, ClaimId id)
{
    Claim claim;
    claim.claim = id;
    claim.service = ServiceName(stringMember(value, "service"));
    claim.domain = DomainName(stringMember(value, "domain"));
    const std::uint64_t prompt = numberMember(value, "prompt");
    const auto memory = readMemoryNeed(value);
    if (prompt > MaxTokens || !memory) {
        return std::nullopt;
    }
    claim.memory = *memory;
    claim.promptTokens = static_cast<std::uint32_t>(prompt);
    const std::uint64_t urgency = numberMember(value, "urgency");
    if (urgency > static_cast<unsigned>(Urgency::Retried)) {
        return std::nullopt;
    }
    claim.urgency = static_cast<Urgency>(urgency);
    if (value["priority"].isUInt()) {
        claim.priority = value["priority"].asUInt();
    }
    claim.maxWait = durationMember(value, "waits_us");
    claim.timeToTarget = durationMember(value, "until_target_us");
    claim.maxDuration = durationMember(value, "lasts_us");
    if (value["without"].isArray()) {
        for (const Json::Value &server : value["without"]) {
            claim.excludedServers.emplace_back(server.isString() ? server.asString()
                                                                 : std::string());
        }
    }
    claim.organisation = OrganisationName(stringMember(value, "organisation"));
    claim.wantsBackup = value["backup_wanted"].isBool() && value["backup_wanted"].asBool();
    if (value["version"].isString()) {
        claim.version = value["version"].asString();
    }
    return claim;
}

std::optional<ToScheduler> readReservation(const Json::Value &value, ClaimId id)
{
    ReservationReport reservation;
    reservation.claim = id;
    reservation.service = ServiceName(stringMember(value, "service"));
    const auto memory = readMemoryNeed(value);
    if (!memory) {
        return std::nullopt;
    }
    reservation.memory = *memory;
    reservation.decodeServer = ServerName(stringMember(value, "decode"));
    reservation.maxDuration = durationMember(value, "lasts_us");
    if (value["decoding_us"].isInt64()) {
        reservation.elapsedDecodeTime = Duration(value["decoding_us"].asInt64());
    }
    reservation.backupServer = ServerName(stringMember(value, "backup"));
    return reservation;
}

std::optional<ToScheduler> readEnded(const Json::Value &value, ClaimId id)
{
    const std::uint64_t how = numberMember(value, "how");
    const std::uint64_t generated = numberMember(value, "made");
    if (how > static_cast<unsigned>(ClaimOutcome::ConnectionLost) || generated > MaxTokens) {
        return std::nullopt;
    }
    return ClaimEnded {id, static_cast<ClaimOutcome>(how), generated};
}

std::optional<ToScheduler> readPhaseChange(const Json::Value &value)
{
    const bool toPrefill = stringMember(value, "to") == "prefill";
    PhaseChangeNotice notice {ServerName(stringMember(value, "server")),
                              toPrefill ? EnginePhase::Prefill : EnginePhase::Decode,
                              durationMember(value, "lasts_us"),
                              value["accepted"].isBool() && value["accepted"].asBool()};
    const bool isValid = !notice.server.isEmpty() && notice.maxDuration >= Duration(0)
        && notice.maxDuration <= MaxPhaseChangeDuration;
    return isValid ? std::optional<ToScheduler>(std::move(notice)) : std::nullopt;
}

std::optional<ToScheduler> readEngineFault(const Json::Value &value)
{
    const std::uint64_t failures = numberMember(value, "failures");
    EngineFault fault {ServerName(stringMember(value, "server")),
                       static_cast<std::uint32_t>(std::min(failures, MaxFailures)),
                       value["reachable"].isBool() && value["reachable"].asBool()};
    const bool isValid = !fault.server.isEmpty() && failures > 0;
    return isValid ? std::optional<ToScheduler>(std::move(fault)) : std::nullopt;
}

std::optional<ToScheduler> readToScheduler(const Json::Value &value)
{
    const std::string kind = stringMember(value, "kind");
    if (kind == "changing") {
        return readPhaseChange(value);
    }
    if (kind == "engine_fault") {
        return readEngineFault(value);
    }
    if (kind == "work_asked") {
        WorkQuery query {ServiceName(stringMember(value, "service"))};
        return query.service.isEmpty() ? std::nullopt
                                       : std::optional<ToScheduler>(std::move(query));
    }
    const ClaimId id(numberMember(value, "claim"));
    if (id.isNone()) {
        return std::nullopt;
    }
    if (kind == "claim") {
        return readClaim(value, id);
    }
    if (kind == "held") {
        return readReservation(value, id);
    }
    if (kind == "prefilled" && value["done"].isBool() && value["reachable"].isBool()) {
        return PrefillEnded {id, value["done"].asBool(), value["reachable"].asBool(),
                             value["lost"].isBool() && value["lost"].asBool()};
    }
    if (kind == "ended") {
        return readEnded(value, id);
    }
    if (kind == "moved") {
        return RunMoved {id};
    }
    return std::nullopt;
}

std::optional<GenerationWork> readWork(const Json::Value &value)
{
    const GenerationWork work {realMember(value, "prefill_s"), realMember(value, "decode_token_s")};
    return work.prefillSeconds > 0 && work.decodeTokenSeconds > 0 ? std::optional(work)
                                                                  : std::nullopt;
}

std::optional<FromScheduler> readWorkReport(const Json::Value &value)
{
    const auto work = readWork(value);
    ServiceName service(stringMember(value, "service"));
    if (!work || service.isEmpty()) {
        return std::nullopt;
    }
    return WorkReport {std::move(service), *work};
}

std::optional<FromScheduler> readFromScheduler(const Json::Value &value)
{
    const std::string kind = stringMember(value, "kind");
    if (kind == "work") {
        return readWorkReport(value);
    }
    const ClaimId id(numberMember(value, "claim"));
    if (id.isNone()) {
        return std::nullopt;
    }
    if (kind == "queued") {
        return ClaimQueued {id};
    }
    if (kind == "granted") {
        return ClaimGranted {id,
                             ServerName(stringMember(value, "decode")),
                             ServerName(stringMember(value, "prefill")),
                             readWork(value),
                             value["whole"].isBool() && value["whole"].asBool(),
                             ServerName(stringMember(value, "backup"))};
    }
    if (kind == "refused") {
        return ClaimRefused {id, static_cast<std::uint32_t>(numberMember(value, "ahead")),
                             durationMember(value, "wait_us")};
    }
    return std::nullopt;
}

template <typename Message>
std::string encodeDatagram(const Datagram<Message> &datagram)
{
    return jsonText(std::visit([&](const auto &member) { return body(datagram.from, member); },
                               datagram.message));
}

template <typename Message>
std::optional<Datagram<Message>> readDatagram(const Json::Value &value,
                                              std::optional<Message> (*read)(const Json::Value &))
{
    const auto from = senderOf(value);
    auto message = from ? read(value) : std::nullopt;
    if (!message) {
        return std::nullopt;
    }
    return Datagram<Message> {*from, std::move(*message)};
}

} // namespace

std::string encode(const Datagram<ToScheduler> &datagram)
{
    return encodeDatagram(datagram);
}

std::string encode(const Datagram<FromScheduler> &datagram)
{
    return encodeDatagram(datagram);
}

std::optional<Datagram<ToScheduler>> decodeToScheduler(const std::string &text)
{
    return readDatagramToScheduler(parseJson(text));
}

std::optional<Datagram<FromScheduler>> decodeFromScheduler(const std::string &text)
{
    return readDatagramFromScheduler(parseJson(text));
}

std::optional<Datagram<ToScheduler>> readDatagramToScheduler(const Json::Value &value)
{
    return readDatagram<ToScheduler>(value, &readToScheduler);
}

std::optional<Datagram<FromScheduler>> readDatagramFromScheduler(const Json::Value &value)
{
    return readDatagram<FromScheduler>(value, &readFromScheduler);
}

} // namespace indigoway::scheduling
