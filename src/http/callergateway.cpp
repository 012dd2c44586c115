#include "callergateway.h"

#include "core/jsontext.h"
#include "core/node.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <random>

namespace indigoway {

namespace {

/** Tokens are not counted here: bytes by this are near enough for admission and placement. */
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t FirstPrefixBytes = 1024;
constexpr std::size_t MostPrefixes = 8;
constexpr std::size_t MostKeyBytes = 256;
constexpr std::size_t MostOrganisationBytes = 128;

/** Each value takes some hundred bytes once it is parsed, whatever its length. */
constexpr std::size_t MaxJsonValues = 65'536;
/** The body as it was sent, parsed, and written for the backend server. */
constexpr std::uint32_t RequestCopies = 3;

HttpLimits callerLimits(HttpLimits limits)
{
    limits.door = Door::Callers;
    limits.copies = RequestCopies;
    return limits;
}

const char *const ExecutionHeader = "Indigoway-Execution";

struct ReasonText
{
    RefusalReason reason;
    int status;
    const char *title;
};

constexpr ReasonText ReasonTexts[] = {
    {RefusalReason::UnknownTarget, 404, "No such model or service"},
    {RefusalReason::PromptTooLong, 413, "Prompt too long"},
    {RefusalReason::KeyRequired, 400, "A request not to be repeated needs an Idempotency-Key"},
    {RefusalReason::TooManyOpen, 429, "Too many open requests on this node"},
    {RefusalReason::Overload, 503, "The target cannot be met now"},
    {RefusalReason::NoServer, 503, "No backend server can take it now"},
    {RefusalReason::Leaving, 503, "This node is leaving; use another"},
    {RefusalReason::StoreUnavailable, 503, "At-most-once cannot be ensured now"},
    {RefusalReason::AlreadyDone, 409, "A request with this key was executed"},
    {RefusalReason::AlreadyRunning, 409, "A request with this key was begun"},
    {RefusalReason::BackendFailed, 502, "The backend servers failed"},
    {RefusalReason::RejectedByBackend, 422, "The backend server found the request at fault"},
    {RefusalReason::ConfigurationUnknown, 503, "This node does not know its configuration"},
};

/** A leaving node lets go of its connections: a caller's next request on one would be cut. */
HttpHeaders withConnection(HttpHeaders headers, bool isLeaving)
{
    if (isLeaving) {
        headers.emplace_back("Connection", "close");
    }
    return headers;
}

const char *executionText(Execution execution)
{
    switch (execution) {
    case Execution::NotExecuted:
        return "not-executed";
    case Execution::InDoubt:
        return "in-doubt";
    case Execution::Done:
        return "done";
    }
    return "";
}

bool hasJsonContentType(const HttpRequest &request)
{
    const std::string type = request.header("Content-Type");
    return type.starts_with("application/json");
}

template <typename Integer>
std::optional<Integer> integerIn(const std::string &text)
{
    Integer number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc {} && stop == end ? std::optional(number) : std::nullopt;
}

/** The urgency in a Priority header (RFC 9218, "u=0" to "u=7"); nothing without one. */
std::optional<std::uint32_t> urgencyIn(const std::string &header)
{
    const std::size_t at = header.find("u=");
    if (at == std::string::npos || at + 2 >= header.size()) {
        return std::nullopt;
    }
    const char digit = header[at + 2];
    if (digit < '0' || digit > '7') {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(digit - '0');
}

/** Narrow enough for a store key, and without a separator that a caller could forge. */
std::string storeKeyFor(const RequestSpec &spec, const std::string &key)
{
    const std::string whole = spec.organisation + '\n' + spec.target.text() + '\n' + key;
    const XXH128_hash_t hash = XXH3_128bits(whole.data(), whole.size());
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text;
}

std::string contentText(const Json::Value &content)
{
    if (content.isString()) {
        return content.asString();
    }
    std::string text;
    if (content.isArray()) {
        for (const Json::Value &part : content) {
            text += stringMember(part, "text");
        }
    }
    return text;
}

std::int64_t retrySeconds(Duration duration)
{
    return std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(duration).count());
}

} // namespace

std::string promptText(const Json::Value &body, bool isChat)
{
    if (!isChat) {
        return contentText(body["prompt"]);
    }
    std::string text;
    if (body["messages"].isArray()) {
        for (const Json::Value &message : body["messages"]) {
            if (message.isObject()) {
                text +=
                    stringMember(message, "role") + ": " + contentText(message["content"]) + '\n';
            }
        }
    }
    return text;
}

std::vector<std::uint64_t> prefixHashes(const std::string &prompt)
{
    std::vector<std::uint64_t> hashes;
    for (std::size_t length = FirstPrefixBytes;
         length <= prompt.size() && hashes.size() < MostPrefixes; length *= 2) {
        hashes.push_back(XXH64(prompt.data(), length, 0));
    }
    return hashes;
}

CallerGateway::CallerGateway(event_base *base, OverloadGuard &guard, HttpLimits limits,
                             const Node &node, Post post)
    : m_node(node)
    , m_post(std::move(post))
    , m_server(
          base, callerLimits(limits), [this](HttpRequest request) { take(std::move(request)); },
          [this](ExchangeNumber exchange) {
              const RequestNumber request(exchange.value());
              if (m_open.erase(request) > 0) {
                  m_post(CallerGone {request});
              }
          },
          &guard)
{ }

OpenRequest *CallerGateway::open(RequestNumber request)
{
    const auto it = m_open.find(request);
    return it == m_open.end() ? nullptr : &it->second;
}

void CallerGateway::relay(const RelayTokens &effect)
{
    OpenRequest *request = open(effect.request);
    if (!request) {
        return;
    }
    request->answer += request->arriving;
    request->answeredTokens += effect.count;
    if (!request->isStreamed) {
        return;
    }
    startStream(*request);
    const std::string chunk = request->chunkHead
        + Json::valueToQuotedString(request->arriving.c_str())
        + (request->isChat ? "},\"finish_reason\":null}]}\n\n" : ",\"finish_reason\":null}]}\n\n");
    if (!m_server.send(request->original.exchange, chunk)) {
        // The caller does not read: held back output must not pile up in this process.
        const ExchangeNumber exchange = request->original.exchange;
        m_open.erase(effect.request);
        m_server.abort(exchange);
        m_post(CallerGone {effect.request});
    }
}

void CallerGateway::finish(const FinishAnswer &effect)
{
    const auto it = m_open.find(effect.request);
    if (it == m_open.end()) {
        return;
    }
    OpenRequest request = std::move(it->second);
    m_open.erase(it);
    const ExchangeNumber exchange = request.original.exchange;
    if (request.spec.isService) {
        m_server.reply(exchange, request.serviceStatus,
                       withConnection(request.serviceHeaders, m_node.isLeaving()),
                       request.serviceBody);
        return;
    }
    const std::string finishReason = request.finishReason.empty() ? "length" : request.finishReason;
    Json::Value usage;
    usage["prompt_tokens"] = request.spec.promptTokens;
    usage["completion_tokens"] = request.answeredTokens;
    usage["total_tokens"] = request.spec.promptTokens + request.answeredTokens;
    if (request.isStreamed) {
        startStream(request);
        const std::string end = request.chunkHead + "\"\"" + (request.isChat ? "}" : "")
            + ",\"finish_reason\":" + Json::valueToQuotedString(finishReason.c_str())
            + "}],\"usage\":" + jsonText(usage) + "}\n\ndata: [DONE]\n\n";
        m_server.send(exchange, end);
        m_server.endStream(exchange);
        return;
    }
    Json::Value answer;
    answer["id"] = "cmpl-" + std::to_string(exchange.value());
    answer["object"] = request.isChat ? "chat.completion" : "text_completion";
    answer["created"] = Json::Int64(std::time(nullptr));
    answer["model"] = request.spec.target.text();
    Json::Value choice;
    choice["index"] = 0;
    choice["finish_reason"] = finishReason;
    if (request.isChat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = request.answer;
    } else {
        choice["text"] = request.answer;
    }
    answer["choices"].append(choice);
    answer["usage"] = usage;
    m_server.reply(exchange, 200,
                   withConnection({{"Content-Type", "application/json"}}, m_node.isLeaving()),
                   jsonText(answer));
}

void CallerGateway::refuse(const RefuseRequest &effect)
{
    const auto it = m_open.find(effect.request);
    if (it == m_open.end()) {
        return;
    }
    const OpenRequest request = std::move(it->second);
    m_open.erase(it);
    const auto *text = std::find_if(std::begin(ReasonTexts), std::end(ReasonTexts),
                                    [&](const auto &one) { return one.reason == effect.reason; });
    if (!request.hasStarted) {
        problem(request.original.exchange, text->status, text->title, "", effect.execution,
                effect.retryAfter);
        return;
    }
    // The head is sent, so the status cannot tell any more: an error event, and then a connection
    // that ends without the last marker, so that nobody takes the answer for whole.
    Json::Value error;
    error["error"]["message"] = text->title;
    error["error"]["execution"] = executionText(effect.execution);
    m_server.send(request.original.exchange, "data: " + jsonText(error) + "\n\n");
    m_server.abort(request.original.exchange);
}

void CallerGateway::take(HttpRequest request)
{
    if (request.path == "/v1/completions" || request.path == "/v1/chat/completions") {
        const bool isChat = request.path == "/v1/chat/completions";
        takeCompletion(std::move(request), isChat);
        return;
    }
    if (request.path == "/v1/nodes" && request.method == "GET") {
        answerNodes(request);
        return;
    }
    if (request.path == "/v1/models" && request.method == "GET") {
        answerModels(request);
        return;
    }
    if (request.path == "/healthz" || request.path == "/readyz") {
        answerHealth(request);
        return;
    }
    const Target *service = m_node.configuration().deployment().serviceFor(request.path);
    if (service) {
        takeService(std::move(request), *service);
        return;
    }
    problem(request.exchange, 404, "Nothing is here", request.path, Execution::NotExecuted, {});
}

void CallerGateway::takeCompletion(HttpRequest request, bool isChat)
{
    const ExchangeNumber exchange = request.exchange;
    const auto bad = [&](int status, const char *title) {
        problem(exchange, status, title, "", Execution::NotExecuted, {});
    };
    if (request.method != "POST") {
        bad(405, "Completions take POST");
        return;
    }
    if (!hasJsonContentType(request)) {
        bad(415, "Content-Type must be application/json");
        return;
    }
    if (jsonValueCount(request.body) > MaxJsonValues) {
        bad(413, "The body has too many values");
        return;
    }
    OpenRequest open;
    open.body = parseJson(request.body);
    if (!open.body.isObject()) {
        bad(400, "The body is not a JSON object");
        return;
    }
    const Json::Value &body = open.body;
    if (!body["model"].isString()) {
        bad(400, "model must be a string");
        return;
    }
    const bool hasPrompt = isChat ? body["messages"].isArray() && !body["messages"].empty()
                                  : body["prompt"].isString();
    if (!hasPrompt) {
        bad(400, isChat ? "messages must be an array with entries" : "prompt must be a string");
        return;
    }
    if (body.isMember("stream") && !body["stream"].isBool()) {
        bad(400, "stream must be true or false");
        return;
    }
    if (body.isMember("n") && body["n"] != Json::Value(1)) {
        bad(400, "n must be 1");
        return;
    }
    const char *limitName =
        isChat && body.isMember("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    if (body.isMember(limitName) && (!body[limitName].isUInt() || body[limitName].asUInt() == 0)) {
        bad(400, "max_tokens must be a positive whole number");
        return;
    }
    const std::string prompt = promptText(body, isChat);
    open.isChat = isChat;
    open.isStreamed = body["stream"].isBool() && body["stream"].asBool();
    open.spec.target = TargetName(body["model"].asString());
    open.spec.promptTokens =
        static_cast<std::uint32_t>((prompt.size() + BytesPerToken - 1) / BytesPerToken);
    open.spec.maxOutputTokens = body.isMember(limitName) ? body[limitName].asUInt() : 0;
    open.spec.prefixHashes = prefixHashes(prompt);
    request.body.clear();
    open.original = std::move(request);
    if (takeHeaders(open)) {
        arrived(std::move(open));
    }
}

void CallerGateway::takeService(HttpRequest request, const Target &target)
{
    OpenRequest open;
    open.spec.target = target.name;
    open.spec.isService = true;
    open.original = std::move(request);
    if (takeHeaders(open)) {
        arrived(std::move(open));
    }
}

bool CallerGateway::takeHeaders(OpenRequest &open)
{
    const HttpRequest &request = open.original;
    const auto bad = [&](const char *title) {
        problem(request.exchange, 400, title, "", Execution::NotExecuted, {});
        return false;
    };
    const std::string organisation = request.header("OpenAI-Organization");
    const std::string key = request.header("Idempotency-Key");
    if (organisation.size() > MostOrganisationBytes || key.size() > MostKeyBytes) {
        return bad("OpenAI-Organization or Idempotency-Key is too long");
    }
    open.spec.organisation = organisation;
    if (!key.empty()) {
        open.spec.idempotencyKey = storeKeyFor(open.spec, key);
    }
    open.spec.priority = urgencyIn(request.header("Priority"));
    const std::string repeatable = request.header("Indigoway-Repeatable");
    if (!repeatable.empty()) {
        if (repeatable != "yes" && repeatable != "no") {
            return bad("Indigoway-Repeatable must be yes or no");
        }
        open.spec.repeatable = repeatable == "yes";
    }
    const std::string firstToken = request.header("Indigoway-First-Token-Ms");
    if (!firstToken.empty()) {
        const auto number = integerIn<std::uint32_t>(firstToken);
        if (!number || *number == 0 || *number > 86'400'000) {
            return bad("Indigoway-First-Token-Ms must be a number of milliseconds");
        }
        open.spec.firstToken = std::chrono::milliseconds(*number);
    }
    return true;
}

void CallerGateway::arrived(OpenRequest open)
{
    const RequestNumber number(open.original.exchange.value());
    open.chunkHead = "data: {\"id\":\"cmpl-" + std::to_string(number.value()) + "\",\"object\":\""
        + (open.isChat ? "chat.completion.chunk" : "text_completion")
        + "\",\"created\":" + std::to_string(std::time(nullptr))
        + ",\"model\":" + Json::valueToQuotedString(open.spec.target.text().c_str())
        + ",\"choices\":[{\"index\":0," + (open.isChat ? "\"delta\":{\"content\":" : "\"text\":");
    const RequestSpec spec = open.spec;
    m_open.emplace(number, std::move(open));
    m_post(RequestArrived {number, spec});
}

void CallerGateway::startStream(OpenRequest &request)
{
    if (request.hasStarted) {
        return;
    }
    request.hasStarted = true;
    m_server.startStream(
        request.original.exchange, 200,
        withConnection({{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}},
                       m_node.isLeaving()));
}

void CallerGateway::answerNodes(const HttpRequest &request)
{
    Json::Value answer;
    answer["nodes"] = nodeList(DomainName(request.parameter("domain")));
    const auto keep =
        std::chrono::duration_cast<std::chrono::seconds>(m_node.callersKeepList()).count();
    answer["keep_seconds"] = Json::Int64(keep);
    m_server.reply(request.exchange, 200,
                   {{"Content-Type", "application/json"},
                    {"Cache-Control", "max-age=" + std::to_string(keep)}},
                   jsonText(answer));
}

Json::Value CallerGateway::nodeList(const DomainName &domain) const
{
    static std::mt19937_64 random {std::random_device {}()};
    Json::Value nodes(Json::arrayValue);
    for (const CallerAddress &address : m_node.callerAddresses(domain, random())) {
        Json::Value node;
        node["node"] = address.node.text();
        node["address"] = address.address;
        node["domain"] = address.domain.text();
        nodes.append(node);
    }
    return nodes;
}

void CallerGateway::answerModels(const HttpRequest &request)
{
    Json::Value answer;
    answer["object"] = "list";
    answer["data"] = Json::Value(Json::arrayValue);
    for (const auto &[name, target] : m_node.configuration().deployment().targets) {
        if (!target.isService) {
            Json::Value model;
            model["id"] = name.text();
            model["object"] = "model";
            model["owned_by"] = "indigoway";
            answer["data"].append(model);
        }
    }
    m_server.reply(request.exchange, 200, {{"Content-Type", "application/json"}}, jsonText(answer));
}

void CallerGateway::answerHealth(const HttpRequest &request)
{
    const bool isOk = request.path == "/healthz" || m_node.isReady();
    m_server.reply(request.exchange, isOk ? 200 : 503, {{"Content-Type", "text/plain"}},
                   isOk ? "ok\n" : "not ready\n");
}

void CallerGateway::problem(ExchangeNumber exchange, int status, const std::string &title,
                            const std::string &detail, Execution execution, Duration retryAfter)
{
    Json::Value body;
    body["type"] = "about:blank";
    body["title"] = title;
    body["status"] = status;
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    body["execution"] = executionText(execution);
    HttpHeaders headers {{"Content-Type", "application/problem+json"},
                         {ExecutionHeader, executionText(execution)}};
    if (retryAfter > Duration::zero()) {
        headers.emplace_back("Retry-After", std::to_string(retrySeconds(retryAfter)));
        body["retry_after_ms"] =
            Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count());
    }
    if (m_node.isLeaving()) {
        body["nodes"] = nodeList(m_node.membership().self().domain);
    }
    m_server.reply(exchange, status, withConnection(headers, m_node.isLeaving()), jsonText(body));
}

} // namespace indigoway
