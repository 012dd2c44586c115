#include "callers.h"

#include "enginemodel.h"

#include "core/jsontext.h"
#include "http/httpclient.h"
#include "settings/flagset.h"

#include <absl/flags/flag.h>

#include <event2/event.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <optional>
#include <sstream>

ABSL_FLAG(std::string, node, "", "Callers' address of the node.");
ABSL_FLAG(std::string, prefill, "", "Address of the prefill engine, for the direct way.");
ABSL_FLAG(std::string, decode, "", "Address of the decode engine, for the direct way.");
ABSL_FLAG(std::uint32_t, pid, 0, "Process id of the node.");
ABSL_FLAG(std::uint32_t, samples, 1000, "Requests each way for the first token.");
ABSL_FLAG(std::uint32_t, streams, 2000, "Streams open at a time for the memory.");
ABSL_FLAG(std::string, part, "latency", "latency, tokens or memory.");

namespace {

using namespace indigoway;
using Clock = std::chrono::steady_clock;

/** One request, streamed; says when its first token came. */
class Probe
{
public:
    explicit Probe(event_base *base)
        : m_base(base)
        , m_client(base)
    { }

    double throughNodeMs(std::uint32_t number)
    {
        const auto start = Clock::now();
        stream(absl::GetFlag(FLAGS_node), "", body(number));
        return std::chrono::duration<double, std::milli>(m_first - start).count();
    }

    /** The two calls that a node makes, without the node. */
    double directMs(std::uint32_t number)
    {
        const auto start = Clock::now();
        const std::string name = "direct.1." + std::to_string(number) + ".1";
        Json::Value prefill = body(number);
        prefill["max_tokens"] = 1;
        prefill["stream"] = false;
        prefill["kv_transfer_params"]["do_remote_decode"] = true;
        const HttpAnswer prefilled = call(absl::GetFlag(FLAGS_prefill), name, prefill);
        Json::Value decode = body(number);
        decode["kv_transfer_params"] = parseJson(prefilled.body)["kv_transfer_params"];
        stream(absl::GetFlag(FLAGS_decode), name, decode);
        return std::chrono::duration<double, std::milli>(m_first - start).count();
    }

private:
    static Json::Value body(std::uint32_t number)
    {
        Json::Value body;
        body["model"] = "m";
        body["prompt"] = "relay " + std::to_string(number);
        body["max_tokens"] = 2;
        body["stream"] = true;
        return body;
    }

    static HttpCall http(const std::string &address, const std::string &name,
                         const Json::Value &body)
    {
        HttpCall http;
        http.address = address;
        http.method = "POST";
        http.path = "/v1/completions";
        http.headers = {{"Content-Type", "application/json"}};
        if (!name.empty()) {
            http.headers.emplace_back("X-Request-Id", name);
        }
        http.body = jsonText(body);
        return http;
    }

    HttpAnswer call(const std::string &address, const std::string &name, const Json::Value &body)
    {
        HttpAnswer result;
        m_client.start(http(address, name, body), [&](const HttpAnswer &answer) {
            result = answer;
            event_base_loopbreak(m_base);
        });
        event_base_dispatch(m_base);
        return result;
    }

    void stream(const std::string &address, const std::string &name, const Json::Value &body)
    {
        m_first = {};
        m_client.start(
            http(address, name, body), [&](const HttpAnswer &) { event_base_loopbreak(m_base); },
            [&](int, const std::string &) {
                if (m_first == Clock::time_point {}) {
                    m_first = Clock::now();
                }
            });
        event_base_dispatch(m_base);
    }

    event_base *m_base;
    HttpClient m_client;
    Clock::time_point m_first;
};

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

/** Processor seconds that the node has used. */
double nodeCpuSeconds()
{
    std::ifstream file("/proc/" + std::to_string(absl::GetFlag(FLAGS_pid)) + "/stat");
    std::string word;
    double ticks = 0;
    constexpr int UserTime = 14;
    constexpr int SystemTime = 15;
    for (int i = 1; i <= SystemTime && file >> word; ++i) {
        ticks += i >= UserTime ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

long nodeMemoryKb()
{
    std::ifstream file("/proc/" + std::to_string(absl::GetFlag(FLAGS_pid)) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

void measureLatency(event_base *base)
{
    Probe probe(base);
    std::vector<double> direct;
    std::vector<double> through;
    // In turns, so that whatever else the machine does falls on both.
    for (std::uint32_t i = 0; i < absl::GetFlag(FLAGS_samples); ++i) {
        direct.push_back(probe.directMs(i));
        through.push_back(probe.throughNodeMs(i));
    }
    std::printf("first token, direct: p50 %.3f ms, p99 %.3f ms\n", quantile(direct, 0.5),
                quantile(direct, 0.99));
    std::printf("first token, through the node: p50 %.3f ms, p99 %.3f ms (ratios %.2f, %.2f)\n",
                quantile(through, 0.5), quantile(through, 0.99),
                quantile(through, 0.5) / quantile(direct, 0.5),
                quantile(through, 0.99) / quantile(direct, 0.99));
    std::printf("added: p50 %.3f ms, p99 %.3f ms\n", quantile(through, 0.5) - quantile(direct, 0.5),
                quantile(through, 0.99) - quantile(direct, 0.99));
}

void measureTokens(event_base *base)
{
    bench::Callers::Plan plan;
    plan.nodes = {absl::GetFlag(FLAGS_node)};
    plan.model = "m";
    constexpr std::uint32_t Output = 500;
    plan.kinds = {{"stream", 20, Output, true, true, false, 1}};
    plan.requests = 200;
    plan.concurrency = 32;
    plan.runName = "tokens";
    bench::Callers callers(base, plan);
    const double before = nodeCpuSeconds();
    const auto start = Clock::now();
    callers.run();
    const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    const double cpu = nodeCpuSeconds() - before;
    const auto &result = callers.results().at("stream");
    const auto tokens = static_cast<double>(result.right * Output);
    std::printf("tokens: %.0f in %.2f s, node's processor time %.2f s: %.0f tokens a second and "
                "core, %.1f us a token; %llu of %llu answers right\n",
                tokens, seconds, cpu, tokens / cpu, cpu / tokens * 1e6,
                static_cast<unsigned long long>(result.right),
                static_cast<unsigned long long>(result.sent));
}

void measureMemory(event_base *base)
{
    const std::uint32_t streams = absl::GetFlag(FLAGS_streams);
    const long before = nodeMemoryKb();
    bench::Callers::Plan plan;
    plan.nodes = {absl::GetFlag(FLAGS_node)};
    plan.model = "m";
    plan.kinds = {{"stream", 300, 60, true, true, false, 1}};
    plan.requests = streams;
    plan.concurrency = streams;
    plan.runName = "memory";
    bench::Callers callers(base, plan);
    long most = 0;
    callers.setProgress([&](std::uint64_t streaming) {
        if (streaming == streams) {
            most = nodeMemoryKb();
        }
    });
    callers.run();
    const auto &result = callers.results().at("stream");
    std::printf("memory: %ld KB idle, %ld KB with %u streams open: %.1f KB a stream; %llu of %llu "
                "answers right\n",
                before, most, streams, static_cast<double>(most - before) / streams,
                static_cast<unsigned long long>(result.right),
                static_cast<unsigned long long>(result.sent));
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    parseOrExit({"indigoway-relay: what a node adds to a request. Run by bench/relay.sh.",
                 {"node", "prefill", "decode", "pid", "samples", "streams", "part"}},
                argc, argv);
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    const EventBase loop {event_base_new()};
    event_base *base = loop.get();
    const std::string part = absl::GetFlag(FLAGS_part);
    if (part == "latency") {
        measureLatency(base);
    } else if (part == "tokens") {
        measureTokens(base);
    } else {
        measureMemory(base);
    }
    return 0;
}
