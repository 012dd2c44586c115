#include "edgesettings.h"

#include "http/httpserver.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <cmath>

ABSL_FLAG(std::string, node_file, "",
          "File with further settings, one NAME=VALUE per line. Reloaded on SIGHUP and when it "
          "changes.");
ABSL_FLAG(std::string, node, "", "Name of this node; unique among the nodes.");
ABSL_FLAG(std::string, domain, "", "Failure domain of this node.");
ABSL_FLAG(std::string, callers, "127.0.0.1:8080", "Address (IP:port) for callers' requests.");
ABSL_FLAG(std::string, readiness, "127.0.0.1:8081", "Address (IP:port) of the readiness check.");
ABSL_FLAG(std::string, directory, "127.0.0.1:8082",
          "Address (IP:port) at which callers look up the nodes to use.");
ABSL_FLAG(std::string, control, "127.0.0.1:8083", "Address (IP:port) for the other nodes.");
ABSL_FLAG(std::string, metrics, "",
          "Address (IP:port) at which metrics are served under /metrics; not served if empty.");
ABSL_FLAG(std::string, scheduling, "",
          "UDP address (IP:port) for claims on engines while this node is the scheduler; if empty, "
          "the node takes no part in scheduling.");
ABSL_FLAG(std::string, relay, "",
          "Address (IP:port) at which other nodes ask for connections to backend servers that they "
          "cannot reach themselves; if empty, this node opens none for them.");
ABSL_FLAG(double, processors, 1,
          "CPU share of this VM, in processors; the node with the largest schedules the engines.");
ABSL_FLAG(double, memory_mb, 256,
          "Memory of this VM in MB; limits what the node holds for its clients.");
ABSL_FLAG(double, max_fds, 4096,
          "File descriptors that this process may open; limits the clients' connections.");
ABSL_FLAG(double, link_mbps, 1000,
          "Bandwidth of this VM's network link in Mbit/s; limits concurrent transfers of full "
          "copies to other nodes.");
ABSL_FLAG(std::string, store, "127.0.0.1:2379", "Address (IP:port) of the key-value service.");
ABSL_FLAG(std::string, peers, "",
          "Comma-separated control addresses of some other nodes; used when the key-value service "
          "is unavailable at the start.");
ABSL_FLAG(double, ends_within_s, 8,
          "Time limit in seconds from SIGTERM to the exit of the process.");
ABSL_FLAG(
    double, retry_ratio, 0.2,
    "Maximum number of retries to a service in a window, as a fraction of the requests to it.");
ABSL_FLAG(double, retry_window_s, 10, "Length of the retry window in seconds.");
ABSL_FLAG(double, retry_slack, 50,
          "Number of retries to a service in a window that all nodes together may make beyond the "
          "ratio.");
ABSL_FLAG(double, key_copy_age_ms, 0,
          "Maximum age in milliseconds of the copy of the desired state that callers' API keys are "
          "checked by: no node accepts a revoked key after this time. 0: no limit.");
ABSL_FLAG(double, quota_window_s, 10,
          "Length in seconds of the window in which quotas are enforced.");
ABSL_FLAG(double, quota_over, 0.1,
          "Fraction of an organisation's quota by which it may be exceeded in a window.");
ABSL_FLAG(double, quota_slack, 0,
          "Amount by which a quota may be exceeded beyond that, in units of the quota.");
ABSL_FLAG(double, list_kept_s, 2, "Time in seconds for which callers may cache a list of nodes.");

namespace indigoway {

namespace {

Duration durationFromSeconds(double seconds)
{
    constexpr double MicrosecondsPerSecond = 1e6;
    return Duration(static_cast<std::int64_t>(std::llround(seconds * MicrosecondsPerSecond)));
}

std::string checkedAddress(const char *flag, const std::string &address, SettingsErrors &invalid)
{
    if (!splitAddress(address)) {
        invalid.errors.push_back(std::string("--") + flag + ": \"" + address
                                 + "\" is not an address (IP:port)");
    }
    return address;
}

double checkedPositive(const char *flag, double value, SettingsErrors &invalid)
{
    constexpr double Max = 1e6;
    if (!(value > 0 && value < Max)) {
        invalid.errors.push_back(std::string("--") + flag + ": must be above 0 and below 1000000");
    }
    return value;
}

double checkedNotNegative(const char *flag, double value, SettingsErrors &invalid)
{
    constexpr double Max = 1e15;
    if (!(value >= 0 && value <= Max)) {
        invalid.errors.push_back(std::string("--") + flag + ": must be from 0 to 1e15");
        return 0;
    }
    return value;
}

Duration checkedMaxKeyCopyAge(SettingsErrors &invalid)
{
    constexpr double MillisecondsPerSecond = 1e3;
    // A lower limit would make each failure domain poll the store several times a second.
    constexpr double Min = 1000;
    constexpr double Max = 1e9;
    const double age = absl::GetFlag(FLAGS_key_copy_age_ms);
    if (age != 0 && !(age >= Min && age <= Max)) {
        invalid.errors.emplace_back("--key_copy_age_ms: must be 0, or from 1000 to 1000000000");
        return Duration(0);
    }
    return durationFromSeconds(age / MillisecondsPerSecond);
}

} // namespace

FlagSet edgeFlags()
{
    return {
        "indigoway-edge: routes requests to backend servers that register in a key-value\n"
        "service, according to the desired state that operators keep there.\n"
        "Runs on each entry VM. SIGTERM starts a graceful shutdown: open requests are finished.",
        {"node_file",       "node",           "domain",      "callers",        "readiness",
         "directory",       "control",        "metrics",     "scheduling",     "relay",
         "processors",      "memory_mb",      "max_fds",     "link_mbps",      "store",
         "peers",           "ends_within_s",  "retry_ratio", "retry_window_s", "retry_slack",
         "key_copy_age_ms", "quota_window_s", "quota_over",  "quota_slack",    "list_kept_s"}};
}

std::variant<EdgeSettings, SettingsErrors> checkedEdgeSettings()
{
    EdgeSettings settings;
    SettingsErrors invalid;
    settings.node = NodeName(absl::GetFlag(FLAGS_node));
    if (settings.node.isEmpty()) {
        invalid.errors.emplace_back("--node: the node's name must be given");
    }
    settings.domain = DomainName(absl::GetFlag(FLAGS_domain));
    if (settings.domain.isEmpty()) {
        invalid.errors.emplace_back("--domain: the failure domain must be given");
    }
    settings.callers = checkedAddress("callers", absl::GetFlag(FLAGS_callers), invalid);
    settings.readiness = checkedAddress("readiness", absl::GetFlag(FLAGS_readiness), invalid);
    settings.directory = checkedAddress("directory", absl::GetFlag(FLAGS_directory), invalid);
    settings.control = checkedAddress("control", absl::GetFlag(FLAGS_control), invalid);
    settings.metrics = absl::GetFlag(FLAGS_metrics);
    if (!settings.metrics.empty()) {
        checkedAddress("metrics", settings.metrics, invalid);
    }
    settings.scheduling = absl::GetFlag(FLAGS_scheduling);
    if (!settings.scheduling.empty()) {
        checkedAddress("scheduling", settings.scheduling, invalid);
    }
    settings.relay = absl::GetFlag(FLAGS_relay);
    if (!settings.relay.empty()) {
        checkedAddress("relay", settings.relay, invalid);
    }
    settings.processors = checkedPositive("processors", absl::GetFlag(FLAGS_processors), invalid);
    constexpr double BytesPerMegabyte = 1e6;
    settings.memoryBytes = static_cast<std::uint64_t>(
        checkedPositive("memory_mb", absl::GetFlag(FLAGS_memory_mb), invalid) * BytesPerMegabyte);
    settings.descriptors = static_cast<std::uint32_t>(
        checkedPositive("max_fds", absl::GetFlag(FLAGS_max_fds), invalid));
    constexpr double BytesPerMegabit = 1e6 / 8;
    settings.linkBytesPerSecond =
        checkedPositive("link_mbps", absl::GetFlag(FLAGS_link_mbps), invalid) * BytesPerMegabit;
    settings.store = checkedAddress("store", absl::GetFlag(FLAGS_store), invalid);
    const std::string peers = absl::GetFlag(FLAGS_peers);
    for (const absl::string_view peer : absl::StrSplit(peers, ',', absl::SkipEmpty())) {
        settings.peers.push_back(checkedAddress("peers", std::string(peer), invalid));
    }
    settings.shutdownTimeout = durationFromSeconds(
        checkedPositive("ends_within_s", absl::GetFlag(FLAGS_ends_within_s), invalid));
    settings.retryRatio = absl::GetFlag(FLAGS_retry_ratio);
    settings.retryWindow = durationFromSeconds(
        checkedPositive("retry_window_s", absl::GetFlag(FLAGS_retry_window_s), invalid));
    const double slack = absl::GetFlag(FLAGS_retry_slack);
    if (settings.retryRatio < 0 || slack < 0) {
        invalid.errors.emplace_back("--retry_ratio and --retry_slack: must not be negative");
    }
    settings.retrySlack = slack < 0 ? 0 : static_cast<std::uint32_t>(slack);
    settings.maxKeyCopyAge = checkedMaxKeyCopyAge(invalid);
    settings.quotaWindow = durationFromSeconds(
        checkedPositive("quota_window_s", absl::GetFlag(FLAGS_quota_window_s), invalid));
    settings.quotaOverRatio =
        checkedNotNegative("quota_over", absl::GetFlag(FLAGS_quota_over), invalid);
    settings.quotaSlack =
        checkedNotNegative("quota_slack", absl::GetFlag(FLAGS_quota_slack), invalid);
    settings.nodeListTtl = durationFromSeconds(
        checkedPositive("list_kept_s", absl::GetFlag(FLAGS_list_kept_s), invalid));
    if (!invalid.errors.empty()) {
        return invalid;
    }
    return settings;
}

} // namespace indigoway
