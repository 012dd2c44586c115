#include "sharedplatform.h"

#include "core/jsontext.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdio>

namespace indigoway::standins {

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int PreconditionFailed = 412;
constexpr int Misdirected = 421;
constexpr int ServiceUnavailable = 503;
constexpr int StreamEvents = 6;
constexpr std::chrono::milliseconds BetweenEvents {60};
constexpr std::chrono::milliseconds PlainWork {10};
constexpr std::chrono::milliseconds HandleKept {500};
constexpr std::chrono::milliseconds DownAfterCrash {300};

std::uint64_t numberParameter(const HttpRequest &request, const char *name)
{
    return std::strtoull(request.parameter(name).c_str(), nullptr, 10);
}

} // namespace

SharedPlatform::SharedPlatform(EventLoop &loop, Addresses announced,
                               const std::vector<Addresses> &views, int decodeEngines,
                               int prefillEngines)
    : m_loop(loop)
    , m_engineRuns(HandleKept)
    , m_decodeEngines(decodeEngines)
    , m_prefillEngines(prefillEngines)
    , m_resumableEvents(StreamEvents)
    , m_streamEvents(StreamEvents)
    , m_announced(std::move(announced))
{
    m_entrances.push_back(makeEntrance({}));
    for (const Addresses &view : views) {
        m_entrances.push_back(makeEntrance(view));
    }
}

std::unique_ptr<SharedPlatform::Entrance> SharedPlatform::makeEntrance(Addresses addresses)
{
    auto made = std::make_unique<Entrance>();
    Entrance *entrance = made.get();
    made->addresses = std::move(addresses);
    made->server = std::make_unique<HttpServer>(
        m_loop.base(), HttpLimits {.idle = std::chrono::seconds(60)},
        [this, entrance](const HttpRequest &request) { take(*entrance, request); },
        [this, entrance](ExchangeNumber exchange) {
            std::erase_if(m_watches, [&](const Watch &one) {
                return one.entrance == entrance && one.exchange == exchange;
            });
        });
    return made;
}

std::optional<std::string> SharedPlatform::listenOn(const std::string &address)
{
    addWorker("w-1", "");
    addWorker("w-2", "");
    for (int i = 1; i <= m_prefillEngines; ++i) {
        addWorker("p-" + std::to_string(i), "prefill");
    }
    for (int i = 1; i <= m_decodeEngines; ++i) {
        addWorker("d-" + std::to_string(i), "decode");
    }
    writeRouting(1, {});
    for (std::size_t i = 1; i < m_entrances.size(); ++i) {
        std::printf("view%zu %s\n", i - 1,
                    m_entrances[i]->server->listenOn("127.0.0.1:0").value_or("").c_str());
    }
    return m_entrances.front()->server->listenOn(address);
}

void SharedPlatform::take(Entrance &entrance, const HttpRequest &request)
{
    if (request.path == "/control") {
        control(entrance, request);
    } else if (m_isDown) {
        reply(*entrance.server, request, ServiceUnavailable, "{}");
    } else if (request.path == "/kv-range") {
        list(entrance, request);
    } else if (request.path == "/kv-watch") {
        watch(entrance, request);
    } else if (request.path == "/kv-txn") {
        commit(entrance, request);
    } else if (request.path == "/kv-lease") {
        grantLease(entrance, request);
    } else if (request.path.starts_with("/kv-keep/")) {
        const std::uint64_t lease = std::strtoull(request.path.c_str() + 9, nullptr, 10);
        const auto it = m_leases.find(lease);
        if (it != m_leases.end()) {
            ++it->second.renewals;
            planEnd(lease);
        }
        reply(*entrance.server, request, it == m_leases.end() ? NotFound : Ok, "{}");
    } else if (request.path.starts_with("/kv-lease-end/")) {
        endLease(std::strtoull(request.path.c_str() + 14, nullptr, 10));
        reply(*entrance.server, request, Ok, "{}");
    } else {
        reply(*entrance.server, request, NotFound, "{}");
    }
}

void SharedPlatform::list(Entrance &entrance, const HttpRequest &request)
{
    const std::string prefix = request.parameter("prefix");
    constexpr std::size_t PageSize = 4; // Small, so that nodes have to ask for more.
    Json::Value body;
    body["items"] = Json::arrayValue;
    body["has_more"] = false;
    body["at"] = Json::UInt64(m_revision);
    for (auto it = m_items.upper_bound(request.parameter("after")); it != m_items.end(); ++it) {
        if (!it->first.starts_with(prefix)) {
            continue;
        }
        if (body["items"].size() == PageSize) {
            body["has_more"] = true;
            break;
        }
        Json::Value item;
        item["key"] = it->first;
        item["value"] = valueAt(entrance, it->first, it->second);
        item["revision"] = Json::UInt64(it->second.revision);
        item["created"] = Json::UInt64(it->second.created);
        body["items"].append(std::move(item));
    }
    reply(*entrance.server, request, Ok, jsonText(body));
}

void SharedPlatform::watch(Entrance &entrance, const HttpRequest &request)
{
    const Watch one {&entrance, request.exchange, numberParameter(request, "after")};
    if (m_revision > one.after) {
        answerWatch(one);
        return;
    }
    m_watches.push_back(one);
    m_loop.after(std::chrono::milliseconds(numberParameter(request, "wait_ms")),
                 [this, entrance = &entrance, exchange = one.exchange] {
                     const auto it =
                         std::find_if(m_watches.begin(), m_watches.end(), [&](const Watch &w) {
                             return w.entrance == entrance && w.exchange == exchange;
                         });
                     if (it != m_watches.end()) {
                         const Watch ended = *it;
                         m_watches.erase(it);
                         answerWatch(ended);
                     }
                 });
}

void SharedPlatform::answerWatch(const Watch &watch)
{
    Json::Value body;
    body["events"] = Json::arrayValue;
    body["at"] = Json::UInt64(m_revision);
    for (const Change &change : m_changes) {
        if (change.revision <= watch.after) {
            continue;
        }
        Json::Value event;
        event["key"] = change.key;
        event["revision"] = Json::UInt64(change.revision);
        const auto item = m_items.find(change.key);
        if (change.isRemoval || item == m_items.end()) {
            event["removed"] = true;
        } else {
            event["value"] = valueAt(*watch.entrance, change.key, item->second);
            event["created"] = Json::UInt64(item->second.created);
        }
        body["events"].append(std::move(event));
    }
    watch.entrance->server->reply(watch.exchange, Ok, {{"Content-Type", "application/json"}},
                                  jsonText(body));
}

void SharedPlatform::commit(Entrance &entrance, const HttpRequest &request)
{
    const Json::Value body = parseJson(request.body);
    for (const Json::Value &row : body["expected"]) {
        const auto it = m_items.find(stringMember(row, "key"));
        const std::uint64_t present = it == m_items.end() ? 0 : it->second.revision;
        if (present != numberMember(row, "revision")) {
            reply(*entrance.server, request, PreconditionFailed, "{\"items\":[]}");
            return;
        }
    }
    for (const Json::Value &row : body["writes"]) {
        const std::uint64_t lease = numberMember(row, "lease");
        if (lease != 0 && !m_leases.contains(lease)) {
            reply(*entrance.server, request, NotFound, "{}");
            return;
        }
    }
    for (const Json::Value &row : body["writes"]) {
        std::string text;
        absl::Base64Unescape(stringMember(row, "value"), &text);
        put(stringMember(row, "key"), text, numberMember(row, "lease"));
    }
    reply(*entrance.server, request, Ok, "{\"revision\":" + std::to_string(m_revision) + "}");
}

void SharedPlatform::grantLease(Entrance &entrance, const HttpRequest &request)
{
    const std::uint64_t lifetime = numberMember(parseJson(request.body), "ttl_ms");
    const std::uint64_t lease = ++m_lastLease;
    m_leases[lease].lifetime = std::chrono::milliseconds(lifetime);
    planEnd(lease);
    reply(*entrance.server, request, Ok,
          "{\"lease\":" + std::to_string(lease) + ",\"ttl_ms\":" + std::to_string(lifetime) + "}");
}

void SharedPlatform::planEnd(std::uint64_t lease)
{
    const Lease &one = m_leases.at(lease);
    m_loop.after(one.lifetime, [this, lease, renewals = one.renewals] {
        const auto it = m_leases.find(lease);
        if (it != m_leases.end() && it->second.renewals == renewals) {
            endLease(lease);
        }
    });
}

void SharedPlatform::endLease(std::uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> gone;
    for (const auto &[key, item] : m_items) {
        if (lease != 0 && item.lease == lease) {
            gone.push_back(key);
        }
    }
    for (const std::string &key : gone) {
        remove(key);
    }
}

std::string SharedPlatform::valueAt(const Entrance &entrance, const std::string &key,
                                    const Item &item) const
{
    for (std::size_t i = 0; i < std::min(m_workers.size(), entrance.addresses.size()); ++i) {
        if (key == "servers/" + m_workers[i]->name) {
            std::string text;
            absl::Base64Unescape(item.value, &text);
            Json::Value entry = parseJson(text);
            entry["address"] = entrance.addresses[i];
            return absl::Base64Escape(jsonText(entry));
        }
    }
    return item.value;
}

const SharedPlatform::Worker *SharedPlatform::workerAt(const std::string &address) const
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const Worker &worker = *m_workers[i];
        const bool isSeenThere = std::ranges::any_of(m_entrances, [&](const auto &entrance) {
            return i < entrance->addresses.size() && address == entrance->addresses[i];
        });
        if (isSeenThere || address == worker.address || address == worker.announced) {
            return &worker;
        }
    }
    return nullptr;
}

void SharedPlatform::put(const std::string &key, const std::string &text, std::uint64_t lease)
{
    Item &item = m_items[key];
    const std::uint64_t created = item.revision == 0 ? m_revision + 1 : item.created;
    item = {absl::Base64Escape(text), ++m_revision, created, lease};
    changed(key, false);
}

void SharedPlatform::remove(const std::string &key)
{
    m_items.erase(key);
    ++m_revision;
    changed(key, true);
}

void SharedPlatform::changed(const std::string &key, bool isRemoval)
{
    m_changes.push_back({m_revision, key, isRemoval});
    const std::vector<Watch> waiting = std::move(m_watches);
    m_watches.clear();
    for (const Watch &one : waiting) {
        answerWatch(one);
    }
}

void SharedPlatform::control(Entrance &entrance, const HttpRequest &request)
{
    const Json::Value body = parseJson(request.body);
    if (body.isObject() && body["down"].isBool()) {
        m_isDown = body["down"].asBool();
    }
    if (body.isObject() && body["organisations"].isArray()) {
        m_declared = body["organisations"];
    }
    if (body.isObject() && body["engine"].isObject()) {
        m_keepsBackups = body["engine"]["backups"].asBool();
        m_movesRuns = body["engine"]["moves"].asBool();
    }
    if (body.isObject() && body["stream_events"].isInt()) {
        m_streamEvents = body["stream_events"].asInt();
    }
    if (body.isObject() && body["plain_padding"].isUInt()) {
        m_plainPadding = body["plain_padding"].asUInt();
    }
    if (body.isObject() && body["get_padding"].isUInt()) {
        m_getPadding = body["get_padding"].asUInt();
    }
    if (body.isObject() && body["resumable_events"].isInt()) {
        m_resumableEvents = body["resumable_events"].asInt();
    }
    if (body.isObject() && body["kill_after"].isInt()) {
        m_killAfter = body["kill_after"].asInt();
    }
    if (body.isObject() && body["reset_after"].isInt()) {
        m_resetAfter = body["reset_after"].asInt();
    }
    if (body.isObject() && body["version"].isUInt64()) {
        writeRouting(body["version"].asUInt64(), stringMember(body, "prefix"));
    }
    if (body.isObject() && body["advice"].isObject()) {
        advise(body["advice"]);
    }
    if (body.isObject() && body["upgrade"].isObject()) {
        upgrade(body["upgrade"]);
    }
    for (const auto &[name, state] :
         {std::pair {"drain", "draining"}, std::pair {"undrain", "ready"}}) {
        if (body.isObject() && body[name].isString()) {
            setState(body[name].asString(), state);
        }
    }
    Json::Value answer;
    answer["held"] = Json::UInt64(m_held.size());
    answer["copies"] = Json::UInt64(m_engineRuns.copies(std::chrono::steady_clock::now()));
    answer["continued"] = Json::objectValue;
    for (const auto &[id, count] : m_continued) {
        answer["continued"][id] = count;
    }
    answer["crashes"] = m_crashes;
    answer["calls_with_crashing_part"] = Json::UInt64(m_callsWithCrashingPart);
    answer["crashed_now"] = Json::UInt64(
        std::count_if(m_workers.begin(), m_workers.end(),
                      [](const std::unique_ptr<Worker> &worker) { return !worker->server; }));
    answer["revision"] = Json::UInt64(m_revision);
    answer["runs"] = Json::objectValue;
    for (const auto &[id, runs] : m_runs) {
        answer["runs"][id] = runs;
    }
    answer["versions"] = Json::objectValue;
    for (const auto &[id, versions] : m_streamVersions) {
        for (const std::string &version : versions) {
            answer["versions"][id].append(version);
        }
    }
    answer["ran_for"] = Json::objectValue;
    for (const auto &[id, organisation] : m_organisations) {
        answer["ran_for"][id] = organisation;
    }
    answer["keys_seen"] = m_keysSeen;
    for (const auto &worker : m_workers) {
        answer["called"][worker->name] = Json::UInt64(worker->called);
        if (const std::size_t runs = m_engineRuns.runsAt(worker->address)) {
            answer["running_at"][worker->name] = Json::UInt64(runs);
        }
    }
    reply(*entrance.server, request, Ok, jsonText(answer));
}

void SharedPlatform::setState(const std::string &worker, const char *state)
{
    const std::string key = "servers/" + worker;
    std::string text;
    absl::Base64Unescape(m_items[key].value, &text);
    Json::Value entry = parseJson(text);
    entry["state"] = state;
    put(key, jsonText(entry));
}

void SharedPlatform::noteRun(const HttpRequest &request)
{
    const std::string id = request.header("Indigoway-Request-Id");
    ++m_runs[id];
    m_organisations[id] = request.header("Indigoway-Tenant-Id");
    m_keysSeen += request.header("X-Api-Key").empty() ? 0 : 1;
}

void SharedPlatform::addWorker(const std::string &name, const std::string &phase)
{
    auto worker = std::make_unique<Worker>();
    Worker &added = *worker;
    added.name = name;
    added.phase = phase;
    const std::size_t index = m_workers.size();
    if (index < m_announced.size()) {
        added.announced = m_announced[index];
    }
    start(added, "127.0.0.1:0");
    if (!added.announced.empty()) {
        std::printf("worker%zu %s\n", index, added.address.c_str());
    }
    m_workers.push_back(std::move(worker));
}

void SharedPlatform::start(Worker &worker, const std::string &address)
{
    worker.server = std::make_unique<HttpServer>(
        m_loop.base(), HttpLimits {.idle = std::chrono::seconds(60)},
        [this, &worker](const HttpRequest &request) { work(worker, request); },
        [this, &worker](ExchangeNumber exchange) { m_engineRuns.drop(worker.address, exchange); });
    worker.address = worker.server->listenOn(address).value_or("");
    Json::Value entry;
    entry["service"] = worker.phase.empty() ? "web" : "llm";
    entry["address"] = worker.announced.empty() ? worker.address : worker.announced;
    entry["zone"] = "hall-a";
    entry["version"] = worker.version;
    entry["capacity"] = 8;
    entry["warmup_ms"] = 0;
    entry["sequence"] = 1;
    entry["born"] = Json::UInt64(bornAt(worker));
    entry["state"] = "ready";
    if (!worker.phase.empty()) {
        entry["phase"] = worker.phase;
    }
    put("servers/" + worker.name, jsonText(entry));
}

void SharedPlatform::crash(Worker &worker)
{
    ++m_crashes;
    ++worker.lives;
    m_engineRuns.dropAll(worker.address);
    // Its server may not end inside of its own handler. What arrives until then is lost as well.
    m_loop.after(std::chrono::milliseconds(0), [this, &worker] {
        ++worker.lives;
        m_engineRuns.dropAll(worker.address);
        worker.server.reset();
    });
    m_loop.after(DownAfterCrash, [this, &worker] { start(worker, worker.address); });
}

std::uint64_t SharedPlatform::bornAt(const Worker &worker)
{
    constexpr std::uint64_t FirstBorn = 1'700'000'000'000;
    return FirstBorn + worker.lives;
}

bool SharedPlatform::hasCrashingPart(const HttpRequest &request)
{
    const std::string parts = request.header("Indigoway-Prompt-Prefix");
    std::vector<std::string> entries = absl::StrSplit(parts, ',');
    entries.pop_back();
    return std::ranges::any_of(entries,
                               [](const std::string &entry) { return entry.starts_with("dead:"); });
}

bool SharedPlatform::crashes(const HttpRequest &request)
{
    return request.body.starts_with("crash") || hasCrashingPart(request);
}

std::string SharedPlatform::hold(std::chrono::milliseconds lifetime)
{
    std::string id = "h" + std::to_string(++m_lastHold);
    m_held.insert(id);
    m_loop.after(lifetime, [this, id] { unhold(id); });
    return id;
}

void SharedPlatform::advise(const Json::Value &advice)
{
    for (const auto &worker : m_workers) {
        if (worker->name != stringMember(advice, "worker")) {
            continue;
        }
        worker->advice.clear();
        for (const std::string &name : advice["headers"].getMemberNames()) {
            worker->advice.emplace_back(name, advice["headers"][name].asString());
        }
        worker->refusesFor = stringMember(advice, "refuses_for");
    }
}

void SharedPlatform::upgrade(const Json::Value &upgrade)
{
    for (const auto &worker : m_workers) {
        if (worker->name == stringMember(upgrade, "worker") && worker->server) {
            worker->version = stringMember(upgrade, "version");
            crash(*worker);
        }
    }
}

void SharedPlatform::work(Worker &worker, const HttpRequest &request)
{
    const std::string id = request.header("Indigoway-Request-Id");
    HttpHeaders headers {{"Indigoway-Request-Id", id}};
    const bool isRequest = !id.empty();
    worker.called += isRequest ? 1 : 0;
    m_callsWithCrashingPart += isRequest && hasCrashingPart(request) ? 1 : 0;
    if (request.header("Indigoway-Expect-Instance") != worker.name) {
        answer(worker, request, Misdirected, "{}", {{"Indigoway-Not-Executed", "1"}});
    } else if (!worker.refusesFor.empty() && (isRequest || request.path == "/hold-take")) {
        answer(worker, request, ServiceUnavailable, "{}",
               {{"Indigoway-Not-Executed", "1"}, {"Retry-After", worker.refusesFor}});
    } else if (request.path == "/hold-take") {
        const std::uint64_t lifetime = numberMember(parseJson(request.body), "ttl_ms");
        answer(worker, request, Ok,
               "{\"hold\":\"" + hold(std::chrono::milliseconds(lifetime)) + "\"}");
    } else if (request.path.starts_with("/hold-drop/") || request.path.starts_with("/kv-handle/")) {
        const std::string held = request.path.substr(request.path.rfind('/') + 1);
        answer(worker, request, unhold(held) ? Ok : NotFound, "{}");
    } else if (request.path == "/kv-move") {
        moveRun(worker, request);
    } else if (request.path == "/report") {
        answer(worker, request, Ok,
               "{\"busy\":false,\"sequence\":0,\"born\":" + std::to_string(bornAt(worker)) + "}");
    } else if (request.header("Indigoway-Serving-Phase") == "prefill") {
        answer(worker, request, Ok,
               "{\"kv_handle\":\"" + hold(HandleKept) + "\",\"tokens\":1,\"version\":1}", headers);
    } else if (!worker.phase.empty()) {
        generate(worker, request, std::move(headers));
    } else {
        noteRun(request);
        if (crashes(request)) {
            crash(worker);
            return;
        }
        headers.emplace_back("Indigoway-Server-Stamp", "stamp-" + worker.name);
        m_loop.after(PlainWork, [this, &worker, life = worker.lives, request, headers] {
            if (worker.lives == life) {
                answer(
                    worker, request, Ok,
                    request.method + " " + request.path + " " + request.body
                        + std::string(request.method == "GET" ? m_getPadding : m_plainPadding, 'x'),
                    headers);
            }
        });
    }
}

void SharedPlatform::generate(Worker &worker, const HttpRequest &request, HttpHeaders headers)
{
    unhold(request.header("Indigoway-Kv-Hold"));
    if (!takeKvCache(worker, request)) {
        answer(worker, request, ServiceUnavailable, "{}", {{"Indigoway-Not-Executed", "1"}});
        return;
    }
    const std::string lastEvent = request.header("Last-Event-Id");
    const std::string id = request.header("Indigoway-Request-Id");
    if (lastEvent.empty()) {
        noteRun(request);
    } else {
        ++m_continued[id];
    }
    if (crashes(request)) {
        crash(worker);
        return;
    }
    headers.emplace_back("Indigoway-Server-Stamp", "stamp-" + worker.name);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.insert(headers.end(), worker.advice.begin(), worker.advice.end());
    worker.server->startStream(request.exchange, Ok, headers);
    const Worker *backup = workerAt(request.header("Indigoway-Kv-Backup"));
    m_engineRuns.begin(worker.address, id, {request.exchange, backup ? backup->address : ""});
    stream(worker, request, worker.lives, std::atoi(lastEvent.c_str()) + 1);
}

bool SharedPlatform::takeKvCache(const Worker &worker, const HttpRequest &request)
{
    const std::string source = request.header("Indigoway-Kv-Source");
    if (source.empty()) {
        return true;
    }
    const std::size_t slash = source.rfind('/');
    const std::string id = source.substr(slash + 1);
    if (workerAt(source.substr(0, slash)) == &worker
        && id == request.header("Indigoway-Request-Id")) {
        return m_engineRuns.takeCopy(worker.address, id, std::chrono::steady_clock::now());
    }
    return unhold(id);
}

void SharedPlatform::moveRun(Worker &worker, const HttpRequest &request)
{
    const Json::Value body = parseJson(request.body);
    const auto run = m_engineRuns.stop(worker.address, stringMember(body, "id"));
    if (!run) {
        answer(worker, request, NotFound, "{}");
        return;
    }
    worker.server->abort(run->exchange);
    const Worker *target = workerAt(stringMember(body, "to"));
    const bool isTargetUp = target && target->server && target->phase == "decode";
    answer(worker, request, isTargetUp ? Ok : ServiceUnavailable,
           "{\"kv_handle\":\"" + hold(HandleKept) + "\",\"created\":" + std::to_string(run->events)
               + "}");
}

void SharedPlatform::cutRun(Worker &worker, const HttpRequest &request)
{
    // The run goes on without a connection until it is stopped, as at engines that do not notice.
    const std::string id = request.header("Indigoway-Request-Id");
    auto run = m_engineRuns.stop(worker.address, id);
    if (!run) {
        return;
    }
    worker.server->abort(request.exchange);
    run->exchange = {};
    m_engineRuns.begin(worker.address, id, *run);
}

void SharedPlatform::answer(Worker &worker, const HttpRequest &request, int status,
                            const std::string &body, HttpHeaders headers)
{
    headers.insert(headers.end(), worker.advice.begin(), worker.advice.end());
    reply(*worker.server, request, status, body, std::move(headers));
}

void SharedPlatform::stream(Worker &worker, const HttpRequest &request, std::uint64_t life,
                            int event)
{
    const std::string id = request.header("Indigoway-Request-Id");
    if (worker.lives != life || !m_engineRuns.isRunning(worker.address, id, request.exchange)) {
        return;
    }
    const bool isResumable = request.path.starts_with("/resumable/");
    if (event > (isResumable ? m_resumableEvents : m_streamEvents)) {
        m_engineRuns.complete(worker.address, id);
        worker.server->endStream(request.exchange);
        return;
    }
    m_engineRuns.addEvent(worker.address, id, std::chrono::steady_clock::now());
    const std::string resumed = request.header("Resumes");
    m_streamVersions[resumed.empty() ? id : resumed].insert(worker.version);
    const std::string number = std::to_string(event);
    worker.server->send(request.exchange, "id: " + number + "\ndata: token" + number + "\n\n");
    if (event == m_killAfter) {
        m_killAfter = 0;
        // Later, so that the event leaves before the connections are closed.
        m_loop.after(BetweenEvents / 2, [this, &worker] { crash(worker); });
        return;
    }
    if (event == m_resetAfter) {
        m_resetAfter = 0;
        m_loop.after(BetweenEvents / 2, [this, &worker, request] { cutRun(worker, request); });
        return;
    }
    m_loop.after(BetweenEvents, [this, &worker, request, life, event] {
        stream(worker, request, life, event + 1);
    });
}

void SharedPlatform::writeRouting(std::uint64_t version, const std::string &extraPrefix)
{
    Json::Value plain;
    plain["name"] = "plain";
    plain["host"] = "site.example";
    plain["prefix"] = "/plain/";
    plain["kind"] = "non_idempotent";
    plain["timeout_ms"] = 2000;
    plain["slo_ms"] = 150;
    plain["service"] = "web";
    plain["max_attempts"] = 1;
    Json::Value stream = plain;
    stream["name"] = "stream";
    stream["prefix"] = "/stream/";
    stream["kind"] = "streaming";
    stream["timeout_ms"] = 14000;
    stream["slo_ms"] = 900;
    stream["service"] = "llm";
    Json::Value resumable = stream;
    resumable["name"] = "resumable";
    resumable["prefix"] = "/resumable/";
    resumable["resumable"] = true;
    resumable["max_attempts"] = 2;
    Json::Value state;
    state["version"] = Json::UInt64(version);
    state["routes"].append(plain);
    state["routes"].append(stream);
    state["routes"].append(resumable);
    if (!extraPrefix.empty()) {
        plain["name"] = "extra";
        plain["prefix"] = extraPrefix;
        state["routes"].append(plain);
    }
    if (!m_declared.isNull()) {
        state["tenants"] = m_declared;
        plain["name"] = "open";
        plain["prefix"] = "/open/";
        plain["public"] = true;
        state["routes"].append(plain);
    }
    Json::Value web;
    web["name"] = "web";
    Json::Value llm;
    llm["name"] = "llm";
    llm["engine"]["capacity"] = 8;
    llm["engine"]["kv_capacity"] = 50000;
    llm["engine"]["kv_hold_s"] = 0.5;
    llm["engine"]["hold_ms"] = 2000;
    llm["engine"]["reconfig_s"] = 6;
    llm["engine"]["backups"] = m_keepsBackups;
    llm["engine"]["moves"] = m_movesRuns;
    state["services"].append(web);
    state["services"].append(llm);
    state["limits"]["max_header_bytes"] = 16384;
    state["limits"]["max_body_bytes"] = 4194304;
    state["limits"]["header_timeout_ms"] = 3000;
    state["limits"]["idle_timeout_ms"] = 15000;
    put("op/config", jsonText(state));
}

void SharedPlatform::reply(HttpServer &server, const HttpRequest &request, int status,
                           const std::string &body, HttpHeaders headers)
{
    headers.emplace_back("Content-Type", "application/json");
    server.reply(request.exchange, status, headers, body);
}

} // namespace indigoway::standins
