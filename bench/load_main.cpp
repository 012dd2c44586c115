#include "callers.h"

#include "http/httpserver.h"
#include "settings/flagset.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <cstdio>

ABSL_FLAG(std::string, nodes, "127.0.0.1:8080",
          "Callers' addresses of nodes, separated by commas.");
ABSL_FLAG(std::string, model, "lector-llm", "Model to ask.");
ABSL_FLAG(std::string, service_path, "/lista-web/", "Path of the plain service.");
ABSL_FLAG(std::uint32_t, requests, 100, "Requests in all; at most 100000.");
ABSL_FLAG(std::uint32_t, concurrency, 8, "Requests at a time; at most 4000.");
ABSL_FLAG(std::uint32_t, chapters, 3, "Weight of long summaries.");
ABSL_FLAG(std::uint32_t, lookups, 5, "Weight of short lookups.");
ABSL_FLAG(std::uint32_t, blurbs, 1, "Weight of blurbs that must not be repeated.");
ABSL_FLAG(std::uint32_t, pages, 2, "Weight of calls to the plain service.");
ABSL_FLAG(std::uint32_t, chapter_tokens, 4000, "Prompt tokens of a chapter.");
ABSL_FLAG(std::uint32_t, chapter_output, 80, "Output tokens of a chapter.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the mix.");
ABSL_FLAG(std::string, run_name, "run", "Makes this run's keys and prompts its own.");

namespace {

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

int main(int argc, char **argv)
{
    using namespace indigoway;
    std::signal(SIGPIPE, SIG_IGN);
    parseOrExit(
        {"indigoway-load: callers that check every answer they get. Loopback only.",
         {"nodes", "model", "service_path", "requests", "concurrency", "chapters", "lookups",
          "blurbs", "pages", "chapter_tokens", "chapter_output", "seed", "run_name"}},
        argc, argv);
    constexpr std::uint32_t MostRequests = 100'000;
    constexpr std::uint32_t MostConcurrency = 4000;
    bench::Callers::Plan plan;
    plan.nodes = absl::StrSplit(absl::GetFlag(FLAGS_nodes), ',', absl::SkipEmpty());
    for (const std::string &node : plan.nodes) {
        if (!node.starts_with("127.") || !splitAddress(node)) {
            std::fprintf(stderr, "--nodes: only loopback addresses are loaded, not %s\n",
                         node.c_str());
            return 2;
        }
    }
    plan.model = absl::GetFlag(FLAGS_model);
    plan.servicePath = absl::GetFlag(FLAGS_service_path);
    plan.requests = std::min(absl::GetFlag(FLAGS_requests), MostRequests);
    plan.concurrency = std::min(absl::GetFlag(FLAGS_concurrency), MostConcurrency);
    plan.seed = absl::GetFlag(FLAGS_seed);
    plan.runName = absl::GetFlag(FLAGS_run_name);
    const auto add = [&](const char *name, std::uint32_t prompt, std::uint32_t output,
                         bool isStreamed, bool isRepeatable, bool isService, std::uint32_t weight) {
        if (weight > 0) {
            plan.kinds.push_back(
                {name, prompt, output, isStreamed, isRepeatable, isService, weight});
        }
    };
    add("chapter", absl::GetFlag(FLAGS_chapter_tokens), absl::GetFlag(FLAGS_chapter_output), true,
        true, false, absl::GetFlag(FLAGS_chapters));
    add("lookup", 60, 12, false, true, false, absl::GetFlag(FLAGS_lookups));
    add("blurb", 400, 40, true, false, false, absl::GetFlag(FLAGS_blurbs));
    add("page", 10, 0, false, true, true, absl::GetFlag(FLAGS_pages));
    const EventBase loop {event_base_new()};
    event_base *base = loop.get();
    bench::Callers callers(base, plan);
    callers.run();
    std::printf("%-8s %7s %7s %6s %8s %8s %7s  %s\n", "kind", "sent", "right", "wrong", "in-doubt",
                "refused", "resent", "first token ms p50/p99   whole ms p50/p99");
    bool isAllRight = true;
    for (const auto &[name, result] : callers.results()) {
        std::printf("%-8s %7llu %7llu %6llu %8llu %8llu %7llu  %.1f/%.1f   %.1f/%.1f\n",
                    name.c_str(), static_cast<unsigned long long>(result.sent),
                    static_cast<unsigned long long>(result.right),
                    static_cast<unsigned long long>(result.wrong),
                    static_cast<unsigned long long>(result.inDoubt),
                    static_cast<unsigned long long>(result.refused),
                    static_cast<unsigned long long>(result.resent),
                    quantile(result.firstTokenMs, 0.5), quantile(result.firstTokenMs, 0.99),
                    quantile(result.totalMs, 0.5), quantile(result.totalMs, 0.99));
        // A request not to be repeated may end in doubt when its node dies; never twice or wrong.
        const std::uint64_t mayBeInDoubt = name == "blurb" ? result.inDoubt : 0;
        isAllRight = isAllRight && result.right + mayBeInDoubt == result.sent;
    }
    std::printf("%s\n", isAllRight ? "all answers right" : "SOME ANSWERS NOT RIGHT");
    return isAllRight ? 0 : 1;
}
