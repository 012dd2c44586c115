#include "innergateway.h"

#include "core/jsontext.h"
#include "core/node.h"

#include <openssl/crypto.h>

#include <ctime>

namespace indigoway {

namespace {

const std::string Bearer = "Bearer ";
const HttpHeaders JsonType {{"Content-Type", "application/json"}};

/** In time that does not depend on where the two differ. */
bool isSameToken(const std::string &shown, const std::string &expected)
{
    return !expected.empty() && shown.size() == expected.size()
        && CRYPTO_memcmp(shown.data(), expected.data(), expected.size()) == 0;
}

std::string tokenIn(const HttpRequest &request)
{
    const std::string header = request.header("Authorization");
    return header.starts_with(Bearer) ? header.substr(Bearer.size()) : std::string();
}

std::string wallClock()
{
    const std::time_t now = std::time(nullptr);
    std::tm broken {};
    gmtime_r(&now, &broken);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &broken);
    return text;
}

} // namespace

const char *outcomeName(CommandOutcome::Kind kind)
{
    switch (kind) {
    case CommandOutcome::Kind::Accepted:
        return "accepted";
    case CommandOutcome::Kind::Unchanged:
        return "unchanged";
    case CommandOutcome::Kind::SyntaxError:
        return "error";
    case CommandOutcome::Kind::Invalid:
        return "invalid";
    case CommandOutcome::Kind::LostRace:
        return "lost-race";
    case CommandOutcome::Kind::Unavailable:
        return "unavailable";
    case CommandOutcome::Kind::InDoubt:
        return "in-doubt";
    }
    return "";
}

InnerGateway::InnerGateway(event_base *base, OverloadGuard &guard, HttpLimits limits,
                           const Node &node, Tokens tokens, Post post, MetricsText metrics)
    : m_node(node)
    , m_tokens(std::move(tokens))
    , m_post(std::move(post))
    , m_metrics(std::move(metrics))
    , m_server(
          base, limits, [this](const HttpRequest &request) { take(request); },
          [this](ExchangeNumber exchange) {
              m_waiting.erase(CommandNumber(exchange.value()));
              if (m_peerGone) {
                  m_peerGone(exchange);
              }
          },
          &guard)
{ }

void InnerGateway::setPeerHandlers(PeerHandler handler, PeerGoneHandler gone)
{
    m_peerHandler = std::move(handler);
    m_peerGone = std::move(gone);
}

void InnerGateway::answer(const AnswerCommand &effect)
{
    if (m_waiting.erase(effect.command) == 0) {
        return;
    }
    Json::Value body;
    body["outcome"] = outcomeName(effect.outcome.kind);
    body["revision"] = Json::UInt64(effect.outcome.revision.value());
    body["message"] = effect.outcome.message;
    m_server.reply(ExchangeNumber(effect.command.value()), 200, JsonType, jsonText(body));
}

void InnerGateway::answer(const AnswerQuery &effect)
{
    if (m_waiting.erase(effect.command) == 0) {
        return;
    }
    const ExchangeNumber exchange(effect.command.value());
    if (!effect.error.empty()) {
        refuse(exchange, 400, effect.error);
        return;
    }
    Json::Value body;
    body["as_json"] = effect.asJson;
    body["columns"] = Json::Value(Json::arrayValue);
    body["rows"] = Json::Value(Json::arrayValue);
    body["notes"] = Json::Value(Json::arrayValue);
    for (const std::string &column : effect.table.columns) {
        body["columns"].append(column);
    }
    for (const auto &row : effect.table.rows) {
        Json::Value cells(Json::arrayValue);
        for (const std::string &cell : row) {
            cells.append(cell);
        }
        body["rows"].append(cells);
    }
    for (const std::string &note : effect.notes) {
        body["notes"].append(note);
    }
    m_server.reply(exchange, 200, JsonType, jsonText(body));
}

void InnerGateway::take(const HttpRequest &request)
{
    if (request.path == "/healthz" || request.path == "/readyz") {
        const bool isOk = request.path == "/healthz" || m_node.isReady();
        m_server.reply(request.exchange, isOk ? 200 : 503, {{"Content-Type", "text/plain"}},
                       isOk ? "ok\n" : "not ready\n");
        return;
    }
    if (request.path == "/rpc") {
        if (!isSameToken(tokenIn(request), m_tokens.peers)) {
            refuse(request.exchange, 401, "the nodes' token is needed");
            return;
        }
        m_peerHandler(request);
        return;
    }
    const auto who = operatorOf(request);
    if (!who) {
        refuse(request.exchange, 401, "an operator's token is needed");
        return;
    }
    if (request.path == "/metrics" && request.method == "GET") {
        m_server.reply(request.exchange, 200, {{"Content-Type", "text/plain; version=0.0.4"}},
                       m_metrics());
        return;
    }
    if (request.path == "/operator/configuration" && request.method == "GET") {
        Json::Value body;
        body["revision"] = Json::UInt64(m_node.configuration().revision().value());
        body["text"] = m_node.configuration().text();
        m_server.reply(request.exchange, 200, JsonType, jsonText(body));
        return;
    }
    const CommandNumber number(request.exchange.value());
    if (request.path == "/operator/query" && request.method == "POST") {
        m_waiting.insert(number);
        m_post(QueryArrived {number, stringMember(parseJson(request.body), "text")});
        return;
    }
    if (request.path == "/operator/command" && request.method == "POST") {
        takeCommand(request, *who);
        return;
    }
    refuse(request.exchange, 404, "nothing is here");
}

std::optional<std::string> InnerGateway::operatorOf(const HttpRequest &request) const
{
    const std::string shown = tokenIn(request);
    std::optional<std::string> found;
    for (const auto &[name, token] : m_tokens.operators) {
        if (isSameToken(shown, token)) {
            found = name;
        }
    }
    return found;
}

void InnerGateway::takeCommand(const HttpRequest &request, const std::string &who)
{
    const Json::Value body = parseJson(request.body);
    if (!body.isObject() || !body["text"].isString()) {
        refuse(request.exchange, 400, "the body must be a JSON object with a text");
        return;
    }
    CommandArrived command;
    command.command = CommandNumber(request.exchange.value());
    command.text = body["text"].asString();
    command.who = who;
    command.when = wallClock();
    command.isWholeDeployment = body["whole"].isBool() && body["whole"].asBool();
    if (body["expected_revision"].isUInt64()) {
        command.expected = Revision(body["expected_revision"].asUInt64());
    }
    m_waiting.insert(command.command);
    m_post(command);
}

void InnerGateway::refuse(ExchangeNumber exchange, int status, const std::string &message)
{
    Json::Value body;
    body["error"] = message;
    m_server.reply(exchange, status, JsonType, jsonText(body));
}

} // namespace indigoway
