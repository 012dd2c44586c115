#include "eventloop.h"

#include "core/jsontext.h"
#include "http/httpserver.h"
#include "settings/flagset.h"

#include <absl/flags/flag.h>

#include <map>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address (IP:port) to listen on.");
ABSL_FLAG(std::uint32_t, work_ms, 20, "Time that a call takes.");

namespace indigoway::standins {

namespace {

/**
 * Stand-in of a plain service: answers any call after a while with what was called, and counts
 * how often it ran a call per idempotency key. Faults and counts are at /control.
 */
class Service
{
public:
    explicit Service(EventLoop &loop)
        : m_loop(loop)
        , m_server(
              loop.base(), HttpLimits {.idle = std::chrono::seconds(60)},
              [this](const HttpRequest &request) { take(request); }, [](ExchangeNumber) {})
    { }

    std::optional<std::string> listenOn(const std::string &address)
    {
        return m_server.listenOn(address);
    }

private:
    void take(const HttpRequest &request)
    {
        if (request.path == "/control") {
            control(request);
            return;
        }
        if (request.path == "/metrics" || request.path == "/v1/requests") {
            report(request);
            return;
        }
        ++m_running;
        const std::string key = request.header("Idempotency-Key");
        ++m_runs[key.empty() ? request.path : key];
        m_loop.after(std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms)),
                     [this, request] { answer(request); });
    }

    void answer(const HttpRequest &request)
    {
        --m_running;
        if (m_truncateNext > 0) {
            --m_truncateNext;
            m_server.abort(request.exchange);
            return;
        }
        Json::Value body;
        body["method"] = request.method;
        body["path"] = request.path;
        body["body"] = request.body;
        const std::string id = m_crossNext > 0 ? "crossed" : request.header("X-Request-Id");
        m_crossNext -= m_crossNext > 0 ? 1 : 0;
        m_server.reply(request.exchange, 200,
                       {{"Content-Type", "application/json"}, {"X-Request-Id", id}},
                       jsonText(body));
    }

    void report(const HttpRequest &request)
    {
        if (request.path == "/metrics") {
            m_server.reply(request.exchange, 200, {{"Content-Type", "text/plain"}},
                           "num_requests_running " + std::to_string(m_running)
                               + "\nnum_requests_waiting 0\n");
            return;
        }
        m_server.reply(request.exchange, 200, {{"Content-Type", "application/json"}},
                       "{\"requests\":[]}");
    }

    void control(const HttpRequest &request)
    {
        const Json::Value body = parseJson(request.body);
        if (body.isObject() && body["truncate_next"].isUInt()) {
            m_truncateNext = body["truncate_next"].asUInt();
        }
        if (body.isObject() && body["cross_next"].isUInt()) {
            m_crossNext = body["cross_next"].asUInt();
        }
        Json::Value reply;
        reply["runs"] = Json::Value(Json::objectValue);
        for (const auto &[key, runs] : m_runs) {
            reply["runs"][key] = runs;
        }
        m_server.reply(request.exchange, 200, {{"Content-Type", "application/json"}},
                       jsonText(reply));
    }

    EventLoop &m_loop;
    HttpServer m_server;
    std::uint32_t m_running = 0;
    std::uint32_t m_truncateNext = 0;
    std::uint32_t m_crossNext = 0;
    std::map<std::string, std::uint32_t> m_runs;
};

} // namespace

} // namespace indigoway::standins

int main(int argc, char **argv)
{
    using namespace indigoway;
    parseOrExit({"indigoway-service: stand-in of a plain service.", {"listen", "work_ms"}}, argc,
                argv);
    standins::EventLoop loop;
    standins::Service service(loop);
    return standins::announceAndRun(loop, service.listenOn(absl::GetFlag(FLAGS_listen)));
}
