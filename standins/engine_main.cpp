#include "engine.h"

#include "settings/flagset.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address (IP:port) to listen on.");
ABSL_FLAG(std::string, name, "engine", "Name of this engine.");
ABSL_FLAG(std::uint32_t, slots, 20, "Requests decoded at a time.");
ABSL_FLAG(std::uint32_t, queue, 20, "Decodes waiting beyond the slots.");
ABSL_FLAG(std::uint32_t, prefill_speed, 20000, "Prompt tokens a second.");
ABSL_FLAG(std::uint32_t, token_us, 20000, "Time between tokens of a full batch, in microseconds.");
ABSL_FLAG(std::uint32_t, keep_ms, 800, "How long a prefill's result is kept.");
ABSL_FLAG(std::uint32_t, report_lag_ms, 200, "Age that a load report may have.");
ABSL_FLAG(std::uint64_t, link_rate, 0, "Bytes a second of its transfer link; 0: not limited.");
ABSL_FLAG(std::uint32_t, kv_bytes, 0, "KV cache per prompt token, in bytes.");
ABSL_FLAG(bool, checks_fencing, true, "Whether orders with an old fencing number are refused.");

int main(int argc, char **argv)
{
    using namespace indigoway;
    parseOrExit({"indigoway-engine: stand-in of a model engine.",
                 {"listen", "name", "slots", "queue", "prefill_speed", "token_us", "keep_ms",
                  "report_lag_ms", "link_rate", "kv_bytes", "checks_fencing"}},
                argc, argv);
    standins::EngineSettings settings;
    settings.name = absl::GetFlag(FLAGS_name);
    settings.slots = absl::GetFlag(FLAGS_slots);
    settings.queue = absl::GetFlag(FLAGS_queue);
    settings.prefillSpeed = absl::GetFlag(FLAGS_prefill_speed);
    settings.tokenTime = std::chrono::microseconds(absl::GetFlag(FLAGS_token_us));
    settings.keepsResult = std::chrono::milliseconds(absl::GetFlag(FLAGS_keep_ms));
    settings.reportLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
    settings.linkRate = absl::GetFlag(FLAGS_link_rate);
    settings.kvBytes = absl::GetFlag(FLAGS_kv_bytes);
    settings.checksFencing = absl::GetFlag(FLAGS_checks_fencing);
    standins::EventLoop loop;
    standins::Engine engine(loop, settings);
    return standins::announceAndRun(loop, engine.listenOn(absl::GetFlag(FLAGS_listen)));
}
