#include "engine.h"

#include "enginemodel.h"

#include "core/jsontext.h"
#include "http/callergateway.h"

#include <algorithm>

namespace indigoway::standins {

namespace {

constexpr std::chrono::seconds KeepsFinished {5};
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint32_t DefaultOutput = 64;
constexpr std::uint32_t FirstPrefixTokens = 256;
const HttpHeaders JsonType {{"Content-Type", "application/json"}};

std::uint32_t tokensIn(const std::string &prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + BytesPerToken - 1) / BytesPerToken);
}

std::string joinedHead(const std::string &id, bool isChat)
{
    return "data: {\"id\":" + Json::valueToQuotedString(id.c_str()) + ",\"object\":\""
        + (isChat ? "chat.completion.chunk" : "text_completion") + "\",\"choices\":[{\"index\":0,"
        + (isChat ? "\"delta\":{\"content\":" : "\"text\":");
}

} // namespace

Engine::Engine(EventLoop &loop, EngineSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_server(
          loop.base(), HttpLimits {.connections = 100'000, .idle = std::chrono::seconds(60)},
          [this](HttpRequest request) { take(std::move(request)); },
          [this](ExchangeNumber exchange) { gone(exchange); })
    , m_client(loop.base())
{
    refreshReport();
}

std::optional<std::string> Engine::listenOn(const std::string &address)
{
    auto bound = m_server.listenOn(address);
    if (bound && m_settings.address.empty()) {
        m_settings.address = *bound;
    }
    return bound;
}

void Engine::take(HttpRequest request)
{
    if (request.path == "/control") {
        control(request);
        return;
    }
    if (m_faults.isFrozen) {
        m_frozen.push_back(std::move(request));
        return;
    }
    if (m_faults.late.count() > 0) {
        m_loop.after(m_faults.late, [this, request] { route(request); });
        return;
    }
    route(request);
}

void Engine::route(const HttpRequest &request)
{
    static const std::string Requests = "/v1/requests/";
    static const std::string Kv = "/v1/kv/";
    const std::string &path = request.path;
    if (request.method == "POST" && path == "/v1/completions") {
        takeCompletion(request, false);
    } else if (request.method == "POST" && path == "/v1/chat/completions") {
        takeCompletion(request, true);
    } else if (path == "/v1/requests") {
        list(request);
    } else if (request.method == "DELETE" && path.starts_with(Requests)) {
        cancel(request, path.substr(Requests.size()));
    } else if (path.starts_with(Requests) && path.ends_with("/stream")) {
        const std::size_t suffix = std::string("/stream").size();
        resume(request, path.substr(Requests.size(), path.size() - Requests.size() - suffix));
    } else if (path.starts_with(Kv)) {
        giveKv(request, path.substr(Kv.size()));
    } else if (path == "/metrics") {
        metrics(request);
    } else if (path == "/v1/cache_events") {
        cacheEvents(request);
    } else if (path == "/v1/orders") {
        order(request);
    } else {
        error(request.exchange, 404, "nothing is here");
    }
}

void Engine::takeCompletion(const HttpRequest &request, bool isChat)
{
    const Json::Value body = parseJson(request.body);
    const std::string id = request.header("X-Request-Id");
    if (!body.isObject() || id.empty()) {
        error(request.exchange, 400, "a JSON object and X-Request-Id are needed");
        return;
    }
    if (m_faults.rejectNext > 0) {
        --m_faults.rejectNext;
        error(request.exchange, 429, "full");
        return;
    }
    Held held;
    held.id = id;
    held.isChat = isChat;
    held.serial = ++m_lastSerial;
    const std::string urgency = request.header("Priority");
    held.priority = urgency.size() == 3 ? static_cast<std::uint32_t>(urgency[2] - '0') : 4;
    Json::Value messages = body["messages"];
    std::string answered;
    if (isChat && body["continue_final_message"].isBool() && messages.isArray()
        && !messages.empty()) {
        Json::Value last;
        messages.removeIndex(messages.size() - 1, &last);
        answered = stringMember(last, "content");
    }
    Json::Value plain = body;
    plain["messages"] = messages;
    const std::string text = promptText(plain, isChat) + answered;
    const ContinuedPrompt prompt = splitPrompt(text);
    held.prompt = prompt.original;
    held.firstToken = prompt.answered;
    held.promptTokens = tokensIn(text);
    const char *limit =
        body.isMember("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    held.wanted = body[limit].isUInt() ? body[limit].asUInt() : DefaultOutput;
    held.exchange = request.exchange;
    held.transfer = body["kv_transfer_params"];
    if (held.transfer.isObject() && held.transfer["do_remote_decode"].isBool()) {
        m_held[id] = std::move(held);
        startPrefills();
        return;
    }
    takeDecode(request, std::move(held));
}

void Engine::takeDecode(const HttpRequest &request, Held held)
{
    const std::uint32_t present =
        count(Stage::DecodeQueued) + count(Stage::Transferring) + count(Stage::Decoding);
    if (present >= m_settings.slots + m_settings.queue) {
        error(request.exchange, 429, "full");
        return;
    }
    held.stage = Stage::DecodeQueued;
    m_held[held.id] = std::move(held);
    startDecodes();
}

void Engine::startPrefills()
{
    if (count(Stage::Prefilling) > 0) {
        return;
    }
    Held *next = nullptr;
    for (auto &[id, held] : m_held) {
        if (held.stage == Stage::PrefillQueued
            && (!next
                || std::tie(held.priority, held.serial) < std::tie(next->priority, next->serial))) {
            next = &held;
        }
    }
    if (!next) {
        return;
    }
    next->stage = Stage::Prefilling;
    const std::uint32_t cached = std::min(cachedTokens(next->prompt), next->promptTokens);
    const double seconds = (next->promptTokens - cached) / m_settings.prefillSpeed;
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(seconds));
    m_loop.after(wait, [this, id = next->id, serial = next->serial] { prefillDone(id, serial); });
}

void Engine::prefillDone(const std::string &id, std::uint64_t serial)
{
    const auto it = m_held.find(id);
    if (it != m_held.end() && it->second.serial == serial
        && it->second.stage == Stage::Prefilling) {
        Held &held = it->second;
        held.stage = Stage::Exported;
        ++m_prefills;
        remember(held.prompt);
        Json::Value answer;
        answer["id"] = shownId(held);
        answer["object"] = "text_completion";
        answer["kv_transfer_params"]["do_remote_prefill"] = true;
        answer["kv_transfer_params"]["remote_engine_id"] = m_settings.name;
        answer["kv_transfer_params"]["remote_request_id"] = id;
        answer["kv_transfer_params"]["remote_address"] = m_settings.address;
        answer["usage"]["prompt_tokens"] = held.promptTokens;
        if (held.exchange) {
            json(*std::exchange(held.exchange, std::nullopt), answer);
        }
        m_loop.after(m_settings.keepsResult, [this, id, serial] {
            const auto expired = m_held.find(id);
            if (expired != m_held.end() && expired->second.serial == serial
                && expired->second.stage == Stage::Exported) {
                ++m_expired;
                m_held.erase(expired);
            }
        });
    }
    startPrefills();
}

void Engine::giveKv(const HttpRequest &request, const std::string &id)
{
    const auto it = m_held.find(id);
    if (it == m_held.end() || it->second.stage != Stage::Exported) {
        error(request.exchange, 404, "no such result");
        return;
    }
    if (m_faults.stallsTransfers) {
        return;
    }
    const double bytes = static_cast<double>(it->second.promptTokens) * m_settings.kvBytes;
    const double seconds =
        m_settings.linkRate > 0 ? bytes / static_cast<double>(m_settings.linkRate) : 0;
    m_held.erase(it);
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(seconds));
    m_loop.after(wait, [this, exchange = request.exchange] { json(exchange, Json::objectValue); });
}

void Engine::startDecodes()
{
    while (count(Stage::Transferring) + count(Stage::Decoding) < m_settings.slots) {
        Held *next = nullptr;
        for (auto &[id, held] : m_held) {
            if (held.stage == Stage::DecodeQueued
                && (!next
                    || std::tie(held.priority, held.serial)
                        < std::tie(next->priority, next->serial))) {
                next = &held;
            }
        }
        if (!next) {
            return;
        }
        next->stage = Stage::Transferring;
        if (!next->transfer.isObject()) {
            transferDone(next->id, next->serial, true);
            continue;
        }
        HttpCall http;
        http.address = stringMember(next->transfer, "remote_address");
        http.path = "/v1/kv/" + stringMember(next->transfer, "remote_request_id");
        http.timeout = std::chrono::seconds(30);
        m_client.start(std::move(http),
                       [this, id = next->id, serial = next->serial](const HttpAnswer &answer) {
                           transferDone(id, serial, answer.status == 200);
                       });
    }
}

void Engine::transferDone(const std::string &id, std::uint64_t serial, bool isOk)
{
    const auto it = m_held.find(id);
    if (it == m_held.end() || it->second.serial != serial) {
        return;
    }
    Held &held = it->second;
    if (!isOk) {
        if (held.exchange) {
            error(*held.exchange, 404, "the prefill's result has expired");
        }
        m_held.erase(it);
        startDecodes();
        return;
    }
    held.stage = Stage::Decoding;
    ++m_decodes;
    ++m_runs[held.prompt.substr(0, 64)];
    if (held.exchange) {
        m_server.startStream(*held.exchange, 200, {{"Content-Type", "text/event-stream"}});
    }
    scheduleStep();
}

void Engine::scheduleStep()
{
    if (m_isStepping || count(Stage::Decoding) == 0) {
        return;
    }
    m_isStepping = true;
    const double load = static_cast<double>(count(Stage::Decoding)) / m_settings.slots;
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(m_settings.tokenTime
                                                                            * (0.5 + 0.5 * load));
    m_loop.after(wait, [this] {
        m_isStepping = false;
        step();
    });
}

void Engine::step()
{
    if (m_faults.isFrozen) {
        m_loop.after(std::chrono::milliseconds(5), [this] { step(); });
        return;
    }
    std::vector<std::string> finished;
    for (auto &[id, held] : m_held) {
        if (held.stage != Stage::Decoding) {
            continue;
        }
        ++held.generated;
        if (held.generated >= held.wanted) {
            held.stage = Stage::Finished;
            finished.push_back(id);
        }
        sendTokens(held);
    }
    for (const std::string &id : finished) {
        const std::uint64_t serial = m_held.at(id).serial;
        m_loop.after(KeepsFinished, [this, id, serial] {
            const auto it = m_held.find(id);
            if (it != m_held.end() && it->second.serial == serial) {
                m_held.erase(it);
            }
        });
    }
    startDecodes();
    scheduleStep();
}

void Engine::sendTokens(Held &held)
{
    if (!held.exchange) {
        return;
    }
    while (held.exchange && held.sent < held.generated) {
        streamChunk(held, held.sent++);
        if (m_faults.truncateNext > 0 && held.sent >= m_faults.truncateAfter) {
            --m_faults.truncateNext;
            m_server.abort(*std::exchange(held.exchange, std::nullopt));
            return;
        }
        if (m_faults.plainCloseNext > 0 && held.sent >= m_faults.truncateAfter) {
            // A whole HTTP answer that lacks the protocol's own last marker.
            --m_faults.plainCloseNext;
            m_server.endStream(*std::exchange(held.exchange, std::nullopt));
            return;
        }
    }
    if (held.stage == Stage::Finished) {
        endStream(held);
    }
}

std::string Engine::shownId(const Held &held)
{
    if (m_faults.crossNext > 0) {
        --m_faults.crossNext;
        return "crossed-" + held.id;
    }
    return held.id;
}

void Engine::streamChunk(Held &held, std::uint32_t index)
{
    const std::string text = answerToken(held.prompt, held.firstToken + index);
    m_server.send(*held.exchange,
                  joinedHead(shownId(held), held.isChat) + Json::valueToQuotedString(text.c_str())
                      + (held.isChat ? "}" : "")
                      + ",\"finish_reason\":null}],\"usage\":{\"prompt_tokens\":"
                      + std::to_string(held.promptTokens)
                      + ",\"completion_tokens\":" + std::to_string(index + 1) + "}}\n\n");
}

void Engine::endStream(Held &held)
{
    const ExchangeNumber exchange = *std::exchange(held.exchange, std::nullopt);
    m_server.send(exchange,
                  joinedHead(held.id, held.isChat) + "\"\"" + (held.isChat ? "}" : "")
                      + ",\"finish_reason\":\"length\"}],\"usage\":{\"completion_tokens\":"
                      + std::to_string(held.generated) + "}}\n\ndata: [DONE]\n\n");
    m_server.endStream(exchange);
}

void Engine::resume(const HttpRequest &request, const std::string &id)
{
    const auto it = m_held.find(id);
    if (it == m_held.end()
        || (it->second.stage != Stage::Decoding && it->second.stage != Stage::Finished)) {
        error(request.exchange, 404, "no such stream");
        return;
    }
    Held &held = it->second;
    if (held.exchange) {
        m_server.abort(*held.exchange);
    }
    held.exchange = request.exchange;
    const std::string offset = request.parameter("offset");
    held.sent = std::min<std::uint32_t>(
        static_cast<std::uint32_t>(std::strtoul(offset.c_str(), nullptr, 10)), held.generated);
    m_server.startStream(request.exchange, 200, {{"Content-Type", "text/event-stream"}});
    sendTokens(held);
}

void Engine::cancel(const HttpRequest &request, const std::string &id)
{
    const auto it = m_held.find(id);
    if (it == m_held.end()) {
        error(request.exchange, 404, "not held");
        return;
    }
    if (it->second.exchange) {
        m_server.abort(*it->second.exchange);
    }
    m_held.erase(it);
    json(request.exchange, Json::objectValue);
    startPrefills();
    startDecodes();
}

void Engine::list(const HttpRequest &request)
{
    static const char *const Names[] = {"prefill-queued", "prefilling", "exported", "queued",
                                        "transferring",   "decoding",   "finished"};
    Json::Value answer;
    answer["requests"] = Json::Value(Json::arrayValue);
    for (const auto &[id, held] : m_held) {
        if (held.stage == Stage::Finished) {
            continue; // Holds no engine memory.
        }
        Json::Value one;
        one["id"] = id;
        one["stage"] = Names[static_cast<std::size_t>(held.stage)];
        answer["requests"].append(one);
    }
    answer["version"] = m_settings.version;
    json(request.exchange, answer);
}

void Engine::refreshReport()
{
    m_reportedRunning =
        count(Stage::Transferring) + count(Stage::Decoding) + count(Stage::Prefilling);
    m_reportedWaiting = count(Stage::DecodeQueued) + count(Stage::PrefillQueued);
    m_loop.after(m_settings.reportLag, [this] { refreshReport(); });
}

void Engine::metrics(const HttpRequest &request)
{
    const std::string text = "# TYPE num_requests_running gauge\nnum_requests_running "
        + std::to_string(m_reportedRunning)
        + "\n# TYPE num_requests_waiting gauge\nnum_requests_waiting "
        + std::to_string(m_reportedWaiting) + "\n# TYPE prefills_total counter\nprefills_total "
        + std::to_string(m_prefills) + "\n# TYPE decodes_total counter\ndecodes_total "
        + std::to_string(m_decodes)
        + "\n# TYPE results_expired_total counter\nresults_expired_total "
        + std::to_string(m_expired) + "\n";
    m_server.reply(request.exchange, 200, {{"Content-Type", "text/plain; version=0.0.4"}}, text);
}

void Engine::cacheEvents(const HttpRequest &request)
{
    const std::uint64_t since = std::strtoull(request.parameter("since").c_str(), nullptr, 10);
    Json::Value answer;
    answer["stored"] = Json::Value(Json::arrayValue);
    answer["removed"] = Json::Value(Json::arrayValue);
    std::uint64_t next = std::max(since, m_firstCacheEvent);
    while (next < m_firstCacheEvent + m_cacheEvents.size()) {
        const CacheEvent &event = m_cacheEvents[next - m_firstCacheEvent];
        if (event.visibleAt > Clock::now()) {
            break;
        }
        ++next;
        if (m_settings.loosesCacheEvent > 0 && next % m_settings.loosesCacheEvent == 0) {
            continue;
        }
        answer[event.isStored ? "stored" : "removed"].append(Json::UInt64(event.hash));
    }
    answer["next"] = Json::UInt64(next);
    json(request.exchange, answer);
}

void Engine::order(const HttpRequest &request)
{
    if (request.method == "GET") {
        json(request.exchange, m_orders);
        return;
    }
    const Json::Value body = parseJson(request.body);
    if (!body.isObject() || !body["fence"].isUInt64()) {
        error(request.exchange, 400, "a JSON object with a fence is needed");
        return;
    }
    const std::uint64_t fence = body["fence"].asUInt64();
    if (m_settings.checksFencing && fence < m_lastFence) {
        error(request.exchange, 409, "the fencing number is old");
        return;
    }
    m_lastFence = std::max(m_lastFence, fence);
    m_orders.append(body);
    m_loop.after(m_settings.loadTime,
                 [this, version = stringMember(body, "version")] { m_settings.version = version; });
    json(request.exchange, Json::objectValue);
}

void Engine::control(const HttpRequest &request)
{
    const Json::Value body = parseJson(request.body);
    if (request.method == "GET") {
        Json::Value answer;
        answer["held"] = static_cast<Json::UInt>(m_held.size() - count(Stage::Finished));
        answer["prefills"] = Json::UInt64(m_prefills);
        answer["decodes"] = Json::UInt64(m_decodes);
        answer["expired"] = Json::UInt64(m_expired);
        for (const auto &[prompt, runs] : m_runs) {
            answer["runs"][prompt] = runs;
        }
        json(request.exchange, answer);
        return;
    }
    const auto number = [&](const char *name, std::uint32_t &value) {
        if (body.isObject() && body[name].isUInt()) {
            value = body[name].asUInt();
        }
    };
    number("cross_next", m_faults.crossNext);
    number("truncate_next", m_faults.truncateNext);
    number("truncate_after", m_faults.truncateAfter);
    number("reject_next", m_faults.rejectNext);
    number("plain_close_next", m_faults.plainCloseNext);
    std::uint32_t late = static_cast<std::uint32_t>(m_faults.late.count());
    number("late_ms", late);
    m_faults.late = std::chrono::milliseconds(late);
    if (body.isObject() && body["frozen"].isBool()) {
        m_faults.isFrozen = body["frozen"].asBool();
    }
    if (body.isObject() && body["stall_transfers"].isBool()) {
        m_faults.stallsTransfers = body["stall_transfers"].asBool();
    }
    if (!m_faults.isFrozen) {
        for (const HttpRequest &waiting : std::exchange(m_frozen, {})) {
            route(waiting);
        }
    }
    json(request.exchange, Json::objectValue);
}

void Engine::gone(ExchangeNumber exchange)
{
    std::erase_if(m_frozen, [&](const auto &request) { return request.exchange == exchange; });
    for (auto &[id, held] : m_held) {
        if (held.exchange == exchange) {
            // Goes on without a reader, as an engine does that lets streams be resumed.
            held.exchange.reset();
        }
    }
}

std::uint32_t Engine::cachedTokens(const std::string &prompt)
{
    std::uint32_t cached = 0;
    std::uint32_t length = FirstPrefixTokens;
    for (const std::uint64_t hash : prefixHashes(prompt)) {
        if (std::find(m_cacheOrder.begin(), m_cacheOrder.end(), hash) != m_cacheOrder.end()) {
            cached = length;
        }
        length *= 2;
    }
    return cached;
}

void Engine::remember(const std::string &prompt)
{
    const auto publish = [&](std::uint64_t hash, bool isStored) {
        m_cacheEvents.push_back({Clock::now() + m_settings.cacheEventLag, hash, isStored});
    };
    for (const std::uint64_t hash : prefixHashes(prompt)) {
        const auto it = std::find(m_cacheOrder.begin(), m_cacheOrder.end(), hash);
        if (it != m_cacheOrder.end()) {
            m_cacheOrder.erase(it);
        } else {
            publish(hash, true);
        }
        m_cacheOrder.push_back(hash);
    }
    while (m_cacheOrder.size() > m_settings.cachedPrefixes) {
        publish(m_cacheOrder.front(), false);
        m_cacheOrder.pop_front();
    }
    constexpr std::size_t MostEvents = 10'000;
    while (m_cacheEvents.size() > MostEvents) {
        m_cacheEvents.pop_front();
        ++m_firstCacheEvent;
    }
}

std::uint32_t Engine::count(Stage stage) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_held.begin(), m_held.end(),
                      [&](const auto &entry) { return entry.second.stage == stage; }));
}

void Engine::error(ExchangeNumber exchange, int status, const std::string &message)
{
    Json::Value body;
    body["error"]["message"] = message;
    m_server.reply(exchange, status, JsonType, jsonText(body));
}

void Engine::json(ExchangeNumber exchange, const Json::Value &value)
{
    m_server.reply(exchange, 200, JsonType, jsonText(value));
}

} // namespace indigoway::standins
