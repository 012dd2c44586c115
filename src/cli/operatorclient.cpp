#include "operatorclient.h"

#include "core/jsontext.h"
#include "http/httpclient.h"

#include <event2/event.h>

#include <thread>

namespace indigoway {

namespace {

/** Longer than a node takes to settle a command whose write was not answered. */
constexpr Duration CallTimeout = std::chrono::seconds(20);

} // namespace

struct OperatorClient::Loop
{
    EventBase base {event_base_new()};
    HttpClient client {base.get()};
};

OperatorClient::OperatorClient(std::vector<std::string> addresses, std::string token)
    : m_loop(std::make_unique<Loop>())
    , m_addresses(std::move(addresses))
    , m_token(std::move(token))
{ }

OperatorClient::~OperatorClient() = default;

OperatorAnswer OperatorClient::get(const std::string &path)
{
    return call("GET", path, "");
}

OperatorAnswer OperatorClient::post(const std::string &path, const Json::Value &body)
{
    return call("POST", path, jsonText(body));
}

void OperatorClient::sleep(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

OperatorAnswer OperatorClient::call(const std::string &method, const std::string &path,
                                    const std::string &body)
{
    OperatorAnswer result;
    for (const std::string &address : m_addresses) {
        HttpCall http;
        http.address = address;
        http.method = method;
        http.path = path;
        http.headers = {{"Authorization", "Bearer " + m_token},
                        {"Content-Type", "application/json"}};
        http.body = body;
        http.timeout = CallTimeout;
        HttpAnswer::End end = HttpAnswer::End::Broken;
        m_loop->client.start(std::move(http), [&](const HttpAnswer &answer) {
            end = answer.end;
            result.status = answer.status;
            result.body = parseJson(answer.body);
            event_base_loopbreak(m_loop->base.get());
        });
        event_base_dispatch(m_loop->base.get());
        if (end == HttpAnswer::End::Complete) {
            return result;
        }
        result.status = 0;
        result.error = "no answer from " + address;
        if (end != HttpAnswer::End::NotConnected) {
            // Another node must not be given a command that this one may have carried out.
            result.isInDoubt = true;
            return result;
        }
    }
    return result;
}

} // namespace indigoway
