#include "peerlink.h"

#include "core/jsontext.h"
#include "peers/messagecodec.h"

#include <jsonrpccpp/client/batchcall.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <optional>

namespace indigoway {

namespace {

/** The library's own parser of what it has encoded: an envelope of a batch of one. */
Json::Value envelopeOf(const std::string &text)
{
    Json::Value value = parseJson(text);
    if (value.isArray() && value.size() == 1) {
        return value[0];
    }
    return value;
}

} // namespace

/** Lets the library check a call against the known methods; keeps what it was. */
class PeerLink::Procedures : public jsonrpc::IProcedureInvokationHandler
{
public:
    Procedures()
        : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        for (const std::string &method : peerMethods()) {
            m_handler->AddProcedure(
                jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        }
    }

    /** The call in @p text, or nothing; @p envelope is what is to be answered. */
    std::optional<PeerRequest> parse(const std::string &text, std::string *envelope)
    {
        m_parsed.reset();
        m_handler->HandleRequest(text, *envelope);
        return std::exchange(m_parsed, std::nullopt);
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        m_parsed = decodeRequest(procedure.GetProcedureName(), input);
        output = Json::Value(Json::objectValue);
    }

    void HandleNotificationCall(jsonrpc::Procedure & /*procedure*/,
                                const Json::Value & /*input*/) override
    { }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
    std::optional<PeerRequest> m_parsed;
};

PeerLink::PeerLink(HttpClient &client, HttpServer &server, std::string token, Post post)
    : m_client(client)
    , m_server(server)
    , m_token(std::move(token))
    , m_post(std::move(post))
    , m_procedures(std::make_unique<Procedures>())
{ }

PeerLink::~PeerLink() = default;

void PeerLink::take(const HttpRequest &request)
{
    std::string envelope;
    const auto call = m_procedures->parse(request.body, &envelope);
    if (!call) {
        m_server.reply(request.exchange, 400, {{"Content-Type", "application/json"}}, envelope);
        return;
    }
    const PeerRequestNumber number(request.exchange.value());
    m_waiting[number] = std::move(envelope);
    m_post(PeerRequestArrived {number, *call});
}

void PeerLink::run(const SendToPeer &effect)
{
    const EncodedRequest encoded = encodeRequest(effect.request);
    jsonrpc::BatchCall batch;
    batch.addCall(encoded.method, encoded.params);
    HttpCall http;
    http.address = effect.address;
    http.method = "POST";
    http.path = "/rpc";
    http.headers = {{"Content-Type", "application/json"}, {"Authorization", "Bearer " + m_token}};
    http.body = batch.toString();
    http.timeout = effect.timeout;
    http.traffic = Traffic::Peers;
    m_client.start(std::move(http), [this, call = effect.call](const HttpAnswer &answer) {
        constexpr int Ok = 200;
        if (answer.end != HttpAnswer::End::Complete || answer.status != Ok) {
            m_post(PeerAnswered {call,
                                 PeerFailed {"status " + std::to_string(answer.status),
                                             answer.end == HttpAnswer::End::TimedOut}});
            return;
        }
        const auto reply = decodeReply(envelopeOf(answer.body)["result"]);
        if (!reply) {
            m_post(PeerAnswered {call, PeerFailed {"malformed answer"}});
            return;
        }
        m_post(PeerAnswered {call, *reply});
    });
}

void PeerLink::run(const ReplyToPeer &effect)
{
    const auto it = m_waiting.find(effect.number);
    if (it == m_waiting.end()) {
        return;
    }
    Json::Value envelope = envelopeOf(it->second);
    m_waiting.erase(it);
    envelope["result"] = encodeReply(effect.reply);
    m_server.reply(ExchangeNumber(effect.number.value()), 200,
                   {{"Content-Type", "application/json"}}, jsonText(envelope));
}

} // namespace indigoway
