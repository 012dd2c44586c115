#include "backendcalls.h"

#include "core/jsontext.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace indigoway {

namespace {

constexpr Duration CancelTimeout = std::chrono::seconds(2);
constexpr Duration OrderTimeout = std::chrono::seconds(2);
constexpr Duration ReportTimeout = std::chrono::seconds(2);
const std::string RequestNameHeader = "X-Request-Id";
const std::string DataField = "data: ";
const std::string LastMarker = "[DONE]";
/** The reason that engines give for the end of a cancelled request, before the last marker. */
const std::string CancelledReason = "abort";

/** Fields that belong to one connection and are not passed on (RFC 9110, section 7.6.1). */
bool isHopByHop(const std::string &name)
{
    static const char *const Names[] = {"Connection", "Keep-Alive",     "Proxy-Connection",
                                        "TE",         "Trailer",        "Transfer-Encoding",
                                        "Upgrade",    "Content-Length", "Host"};
    return std::any_of(std::begin(Names), std::end(Names),
                       [&](const char *one) { return strcasecmp(one, name.c_str()) == 0; });
}

const char *completionPath(const OpenRequest &request)
{
    return request.isChat ? "/v1/chat/completions" : "/v1/completions";
}

/** The request's body with what was already answered appended, as for a first try. */
Json::Value continued(const OpenRequest &request)
{
    Json::Value body = request.body;
    if (request.answer.empty()) {
        return body;
    }
    if (!request.isChat) {
        body["prompt"] = body["prompt"].asString() + request.answer;
        return body;
    }
    Json::Value message;
    message["role"] = "assistant";
    message["content"] = request.answer;
    body["messages"].append(message);
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
    return body;
}

HttpCall completionCall(const OpenRequest &request, const std::string &address,
                        const EngineRequestName &name, const Json::Value &body)
{
    HttpCall call;
    call.address = address;
    call.method = "POST";
    call.path = completionPath(request);
    call.headers = {{"Content-Type", "application/json"}, {RequestNameHeader, name.text()}};
    if (request.spec.priority) {
        call.headers.emplace_back("Priority", "u=" + std::to_string(*request.spec.priority));
    }
    call.body = jsonText(body);
    return call;
}

std::uint32_t metricIn(const std::string &text, const std::string &name)
{
    std::size_t at = text.starts_with(name) ? 0 : text.find('\n' + name);
    if (at == std::string::npos) {
        return 0;
    }
    at = text.find(' ', at + 1);
    if (at == std::string::npos) {
        return 0;
    }
    double value = 0;
    std::from_chars(text.data() + at + 1, text.data() + text.size(), value);
    return value > 0 ? static_cast<std::uint32_t>(value) : 0;
}

} // namespace

CallOutcome outcomeOf(const HttpAnswer &answer)
{
    switch (answer.end) {
    case HttpAnswer::End::NotConnected:
        return CallOutcome::NotConnected;
    case HttpAnswer::End::Broken:
        return CallOutcome::Truncated;
    case HttpAnswer::End::TimedOut:
        return CallOutcome::TimedOut;
    case HttpAnswer::End::Complete:
        break;
    }
    switch (answer.status) {
    case 200:
        return CallOutcome::Whole;
    case 404:
    case 410:
        return CallOutcome::NotFound;
    case 429:
    case 503:
        return CallOutcome::Rejected;
    default:
        return answer.status >= 400 && answer.status < 500 ? CallOutcome::Invalid
                                                           : CallOutcome::NotFound;
    }
}

BackendCalls::BackendCalls(HttpClient &client, Find find, Post post)
    : m_client(client)
    , m_find(std::move(find))
    , m_post(std::move(post))
{ }

void BackendCalls::run(const StartPrefill &effect)
{
    const OpenRequest *open = m_find(effect.request);
    if (!open) {
        return;
    }
    Json::Value body = continued(*open);
    body.removeMember("max_completion_tokens");
    body["max_tokens"] = 1;
    body["stream"] = false;
    body["kv_transfer_params"]["do_remote_decode"] = true;
    HttpCall http = completionCall(*open, effect.address, effect.name, body);
    http.isFreshConnection = effect.isFreshConnection;
    m_calls[effect.call] =
        m_client.start(std::move(http), [this, effect](const HttpAnswer &answer) {
            m_calls.erase(effect.call);
            CallOutcome outcome = outcomeOf(answer);
            if (outcome == CallOutcome::Whole) {
                const Json::Value reply = parseJson(answer.body);
                OpenRequest *request = m_find(effect.request);
                if (stringMember(reply, "id") != effect.name.text()) {
                    outcome = CallOutcome::Crossed;
                } else if (!reply["kv_transfer_params"].isObject()) {
                    outcome = CallOutcome::Truncated;
                } else if (request) {
                    request->transfer = reply["kv_transfer_params"];
                }
            }
            m_post(PrefillFinished {effect.call, outcome});
        });
}

void BackendCalls::run(const StartDecode &effect)
{
    const OpenRequest *open = m_find(effect.request);
    if (!open) {
        return;
    }
    Json::Value body = continued(*open);
    for (const char *limit : {"max_tokens", "max_completion_tokens"}) {
        if (body.isMember(limit) && body[limit].isUInt()) {
            const std::uint32_t most = body[limit].asUInt();
            body[limit] = most > open->answeredTokens ? most - open->answeredTokens : 1;
        }
    }
    body["stream"] = true;
    body["stream_options"]["include_usage"] = true;
    body["stream_options"]["continuous_usage_stats"] = true;
    body["kv_transfer_params"] = open->transfer;
    startStream(effect.call, effect.request, effect.name, 0,
                completionCall(*open, effect.address, effect.name, body));
}

void BackendCalls::run(const ResumeDecode &effect)
{
    HttpCall http;
    http.address = effect.address;
    http.path =
        "/v1/requests/" + effect.name.text() + "/stream?offset=" + std::to_string(effect.offset);
    startStream(effect.call, effect.request, effect.name, effect.offset, std::move(http));
}

void BackendCalls::startStream(CallNumber call, RequestNumber request,
                               const EngineRequestName &name, std::uint32_t offset, HttpCall http)
{
    auto stream = std::make_shared<Stream>();
    stream->call = call;
    stream->request = request;
    stream->name = name;
    stream->tokens = offset;
    m_calls[call] = m_client.start(
        std::move(http),
        [this, stream](const HttpAnswer &answer) {
            m_calls.erase(stream->call);
            CallOutcome outcome = outcomeOf(answer);
            if (stream->isCrossed) {
                outcome = CallOutcome::Crossed;
            } else if (outcome == CallOutcome::Whole && (!stream->isDone || stream->isCancelled)) {
                outcome = CallOutcome::Truncated;
            }
            m_post(DecodeFinished {stream->call, outcome});
        },
        [this, stream](int status, const std::string &data) { streamData(stream, status, data); });
}

void BackendCalls::streamData(const std::shared_ptr<Stream> &stream, int status,
                              const std::string &data)
{
    constexpr int Ok = 200;
    if (status != Ok) {
        return;
    }
    stream->partial += data;
    std::size_t from = 0;
    for (std::size_t end = stream->partial.find('\n'); end != std::string::npos;
         end = stream->partial.find('\n', from)) {
        const std::string line = stream->partial.substr(from, end - from);
        from = end + 1;
        streamLine(*stream, line);
        if (!m_calls.contains(stream->call)) {
            return; // Abandoned by what the line brought about.
        }
    }
    stream->partial.erase(0, from);
}

void BackendCalls::streamLine(Stream &stream, const std::string &line)
{
    if (!line.starts_with(DataField) || stream.isDone || stream.isCrossed) {
        return;
    }
    if (line.compare(DataField.size(), LastMarker.size(), LastMarker) == 0) {
        stream.isDone = true;
        return;
    }
    const Json::Value chunk = parseJson(line.substr(DataField.size()));
    if (stringMember(chunk, "id") != stream.name.text()) {
        stream.isCrossed = true;
        const auto it = m_calls.find(stream.call);
        if (it != m_calls.end()) {
            m_client.abandon(it->second);
            m_calls.erase(it);
        }
        m_post(DecodeFinished {stream.call, CallOutcome::Crossed});
        return;
    }
    OpenRequest *request = m_find(stream.request);
    const Json::Value &choices = chunk["choices"];
    if (!request || !choices.isArray() || choices.empty() || !choices[0].isObject()) {
        return;
    }
    const Json::Value &choice = choices[0];
    const std::string reason = stringMember(choice, "finish_reason");
    if (reason == CancelledReason) {
        stream.isCancelled = true;
    } else if (!reason.empty()) {
        request->finishReason = reason;
    }
    request->arriving = request->isChat && choice["delta"].isObject()
        ? stringMember(choice["delta"], "content")
        : stringMember(choice, "text");
    const Json::Value &usage = chunk["usage"];
    const bool isCounted = usage.isObject() && usage["completion_tokens"].isUInt();
    const std::uint32_t total = isCounted ? usage["completion_tokens"].asUInt()
                                          : stream.tokens + (request->arriving.empty() ? 0 : 1);
    if (total <= stream.tokens) {
        return;
    }
    const std::uint32_t offset = std::exchange(stream.tokens, total);
    m_post(TokensArrived {stream.call, offset, total - offset});
}

void BackendCalls::run(const CallService &effect)
{
    const OpenRequest *open = m_find(effect.request);
    if (!open) {
        return;
    }
    HttpCall http;
    http.address = effect.address;
    http.method = open->original.method;
    http.path =
        open->original.path + (open->original.query.empty() ? "" : '?' + open->original.query);
    http.body = open->original.body;
    http.isFreshConnection = effect.isFreshConnection;
    for (const auto &[name, value] : open->original.headers) {
        if (!isHopByHop(name) && strcasecmp(name.c_str(), RequestNameHeader.c_str()) != 0) {
            http.headers.emplace_back(name, value);
        }
    }
    http.headers.emplace_back(RequestNameHeader, effect.name.text());
    m_calls[effect.call] =
        m_client.start(std::move(http), [this, effect](const HttpAnswer &answer) {
            m_calls.erase(effect.call);
            CallOutcome outcome = CallOutcome::Whole;
            const std::string echoed = answer.header(RequestNameHeader);
            if (answer.end != HttpAnswer::End::Complete) {
                outcome = outcomeOf(answer);
            } else if (!echoed.empty() && echoed != effect.name.text()) {
                outcome = CallOutcome::Crossed;
            } else if (OpenRequest *request = m_find(effect.request)) {
                request->serviceStatus = answer.status;
                request->serviceBody = answer.body;
                for (const auto &[name, value] : answer.headers) {
                    if (!isHopByHop(name)) {
                        request->serviceHeaders.emplace_back(name, value);
                    }
                }
            }
            m_post(ServiceFinished {effect.call, outcome});
        });
}

void BackendCalls::run(const AbandonCall &effect)
{
    const auto it = m_calls.find(effect.call);
    if (it != m_calls.end()) {
        m_client.abandon(it->second);
        m_calls.erase(it);
    }
}

void BackendCalls::run(const CancelOnEngine &effect)
{
    HttpCall http;
    http.address = effect.address;
    http.method = "DELETE";
    http.path = "/v1/requests/" + effect.request.text();
    http.timeout = CancelTimeout;
    http.traffic = Traffic::Reports;
    m_client.start(std::move(http), [this, effect](const HttpAnswer &answer) {
        const bool isComplete = answer.end == HttpAnswer::End::Complete;
        const bool isConfirmed =
            isComplete && (answer.status == 200 || answer.status == 204 || answer.status == 404);
        m_post(CancelFinished {effect.server, effect.request, isConfirmed});
    });
}

void BackendCalls::run(const FetchReport &effect)
{
    HttpCall http;
    http.address = effect.address;
    http.path = "/metrics";
    http.timeout = ReportTimeout;
    http.traffic = Traffic::Reports;
    m_client.start(std::move(http), [this, effect](const HttpAnswer &answer) {
        ReportArrived report;
        report.server = effect.server;
        report.isOk = answer.end == HttpAnswer::End::Complete && answer.status == 200;
        report.running = metricIn(answer.body, "num_requests_running");
        report.waiting = metricIn(answer.body, "num_requests_waiting");
        if (report.isOk && effect.withRequests) {
            fetchRequests(effect, report);
            fetchCacheEvents(effect);
        } else {
            m_post(report);
        }
    });
}

void BackendCalls::run(const IssueOrder &effect, TimePoint now)
{
    if (now >= effect.notAfter) {
        m_post(OrderFinished {effect.server, effect.fence, false});
        return;
    }
    Json::Value body;
    body["fence"] = Json::UInt64(effect.fence);
    body["model"] = effect.model;
    body["version"] = effect.version;
    HttpCall http;
    http.address = effect.address;
    http.method = "POST";
    http.path = "/v1/orders";
    http.headers = {{"Content-Type", "application/json"}};
    http.body = jsonText(body);
    http.timeout = OrderTimeout;
    http.traffic = Traffic::Reports;
    // A connection kept from before a pause may be half dead: the order could arrive much later.
    http.isFreshConnection = true;
    m_client.start(std::move(http), [this, effect](const HttpAnswer &answer) {
        const bool isAccepted = answer.end == HttpAnswer::End::Complete && answer.status == 200;
        m_post(OrderFinished {effect.server, effect.fence, isAccepted});
    });
}

void BackendCalls::fetchRequests(const FetchReport &effect, const ReportArrived &report)
{
    HttpCall http;
    http.address = effect.address;
    http.path = "/v1/requests";
    http.timeout = ReportTimeout;
    http.traffic = Traffic::Reports;
    m_client.start(std::move(http), [this, report](const HttpAnswer &answer) {
        ReportArrived whole = report;
        const Json::Value body = parseJson(answer.body);
        whole.version = stringMember(body, "version");
        const bool isComplete = answer.end == HttpAnswer::End::Complete;
        if (isComplete && answer.status == 200 && body.isObject() && body["requests"].isArray()) {
            for (const Json::Value &request : body["requests"]) {
                whole.requests.emplace_back(stringMember(request, "id"));
            }
        }
        m_post(whole);
    });
}

void BackendCalls::fetchCacheEvents(const FetchReport &effect)
{
    HttpCall http;
    http.address = effect.address;
    http.path = "/v1/cache_events?since=" + std::to_string(m_cacheCursors[effect.server]);
    http.timeout = ReportTimeout;
    http.traffic = Traffic::Reports;
    m_client.start(std::move(http),
                   [this, effect](const HttpAnswer &answer) { cacheEvents(effect, answer); });
}

void BackendCalls::cacheEvents(const FetchReport &effect, const HttpAnswer &answer)
{
    const Json::Value body = parseJson(answer.body);
    if (answer.end != HttpAnswer::End::Complete || answer.status != 200 || !body.isObject()
        || !body["next"].isUInt64()) {
        return;
    }
    m_cacheCursors[effect.server] = body["next"].asUInt64();
    CacheEventsArrived events;
    events.server = effect.server;
    const auto take = [&](const char *name, std::vector<std::uint64_t> &hashes) {
        if (body[name].isArray()) {
            for (const Json::Value &hash : body[name]) {
                if (hash.isUInt64()) {
                    hashes.push_back(hash.asUInt64());
                }
            }
        }
    };
    take("stored", events.stored);
    take("removed", events.removed);
    if (!events.stored.empty() || !events.removed.empty()) {
        m_post(events);
    }
}

} // namespace indigoway
