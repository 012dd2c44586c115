#include "edgesettings.h"

#include "http/httpserver.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <cmath>

ABSL_FLAG(std::string, node_file, "",
          "File with further settings, one NAME=VALUE a line. Read again on SIGHUP and when it "
          "changes.");
ABSL_FLAG(std::string, node, "", "Name of this node; unique among the nodes.");
ABSL_FLAG(std::string, domain, "", "Failure domain that this node is in.");
ABSL_FLAG(std::string, callers, "127.0.0.1:8080", "Address (IP:port) on which callers are served.");
ABSL_FLAG(std::string, readiness, "127.0.0.1:8081",
          "Address (IP:port) that tells whether this node wants callers.");
ABSL_FLAG(std::string, directory, "127.0.0.1:8082",
          "Address (IP:port) that tells callers which nodes to use.");
ABSL_FLAG(std::string, control, "127.0.0.1:8083", "Address (IP:port) for the other nodes.");
ABSL_FLAG(std::string, metrics, "",
          "Address (IP:port) on which metrics are served under /metrics; none if empty.");
ABSL_FLAG(
    std::string, scheduling, "",
    "Address (IP:port, UDP) on which this node takes claims on engines, if it is the one that "
    "schedules them; none if empty.");
ABSL_FLAG(double, processors, 1,
          "This VM's share of processor time, in processors; the node with the most schedules the "
          "engines.");
ABSL_FLAG(double, link_mbps, 1000,
          "This VM's link, in megabits a second; bounds what it sends other nodes at a time.");
ABSL_FLAG(std::string, store, "127.0.0.1:2379", "Address (IP:port) of the key-value service.");
ABSL_FLAG(std::string, peers, "",
          "Control addresses of some other nodes, separated by commas; of use when the key-value "
          "service is away at the start.");
ABSL_FLAG(double, ends_within_s, 8, "Seconds from SIGTERM until the process must be gone.");
ABSL_FLAG(double, retry_ratio, 0.2,
          "Requests that may be sent once more, as a part of those in a window.");
ABSL_FLAG(double, retry_window_s, 10, "Length of that window in seconds.");
ABSL_FLAG(double, retry_slack, 50,
          "Requests that all nodes together may send once more beyond the ratio.");
ABSL_FLAG(double, key_copy_age_ms, 0,
          "Milliseconds after which a copy of the desired state is too old to judge callers' keys "
          "by: a key that was taken away is of no use on any node after that time. 0: no bound.");
ABSL_FLAG(double, quota_window_s, 10,
          "Length of the window in which quotas are judged, in seconds.");
ABSL_FLAG(double, quota_over, 0.1,
          "By how much an organisation's quota may be passed in a window, as a part of it.");
ABSL_FLAG(double, quota_slack, 0,
          "By how much it may be passed beyond that, in the quota's units.");
ABSL_FLAG(double, list_kept_s, 2, "Seconds that callers may keep a list of nodes.");

namespace indigoway {

namespace {

Duration secondsOf(double seconds)
{
    constexpr double MicrosecondsPerSecond = 1e6;
    return Duration(static_cast<std::int64_t>(std::llround(seconds * MicrosecondsPerSecond)));
}

std::string checkedAddress(const char *flag, const std::string &address, CommandLineFaults &wrong)
{
    if (!splitAddress(address)) {
        wrong.faults.push_back(std::string("--") + flag + ": \"" + address
                               + "\" is not an address (IP:port)");
    }
    return address;
}

double checkedPositive(const char *flag, double value, CommandLineFaults &wrong)
{
    constexpr double Most = 1e6;
    if (!(value > 0 && value < Most)) {
        wrong.faults.push_back(std::string("--") + flag + ": must be above 0 and below 1000000");
    }
    return value;
}

double checkedNotNegative(const char *flag, double value, CommandLineFaults &wrong)
{
    constexpr double Most = 1e15;
    if (!(value >= 0 && value <= Most)) {
        wrong.faults.push_back(std::string("--") + flag + ": must be from 0 to 1e15");
        return 0;
    }
    return value;
}

Duration checkedKeyCopyAge(CommandLineFaults &wrong)
{
    constexpr double MillisecondsPerSecond = 1e3;
    // Below that the store would be asked several times a second by each failure domain.
    constexpr double Least = 1000;
    constexpr double Most = 1e9;
    const double age = absl::GetFlag(FLAGS_key_copy_age_ms);
    if (age != 0 && !(age >= Least && age <= Most)) {
        wrong.faults.emplace_back("--key_copy_age_ms: must be 0, or from 1000 to 1000000000");
        return Duration(0);
    }
    return secondsOf(age / MillisecondsPerSecond);
}

} // namespace

FlagSet edgeFlags()
{
    return {"indigoway-edge: routes requests to backend servers that announce themselves in a\n"
            "key-value service, by the desired state that operators keep there.\n"
            "Every entry VM runs one. SIGTERM makes it leave without cutting a request.",
            {"node_file",      "node",        "domain",          "callers",        "readiness",
             "directory",      "control",     "metrics",         "scheduling",     "processors",
             "link_mbps",      "store",       "peers",           "ends_within_s",  "retry_ratio",
             "retry_window_s", "retry_slack", "key_copy_age_ms", "quota_window_s", "quota_over",
             "quota_slack",    "list_kept_s"}};
}

std::variant<EdgeSettings, CommandLineFaults> checkedEdgeSettings()
{
    EdgeSettings settings;
    CommandLineFaults wrong;
    settings.node = NodeName(absl::GetFlag(FLAGS_node));
    if (settings.node.isEmpty()) {
        wrong.faults.emplace_back("--node: the node's name must be given");
    }
    settings.domain = DomainName(absl::GetFlag(FLAGS_domain));
    if (settings.domain.isEmpty()) {
        wrong.faults.emplace_back("--domain: the failure domain must be given");
    }
    settings.callers = checkedAddress("callers", absl::GetFlag(FLAGS_callers), wrong);
    settings.readiness = checkedAddress("readiness", absl::GetFlag(FLAGS_readiness), wrong);
    settings.directory = checkedAddress("directory", absl::GetFlag(FLAGS_directory), wrong);
    settings.control = checkedAddress("control", absl::GetFlag(FLAGS_control), wrong);
    settings.metrics = absl::GetFlag(FLAGS_metrics);
    if (!settings.metrics.empty()) {
        checkedAddress("metrics", settings.metrics, wrong);
    }
    settings.scheduling = absl::GetFlag(FLAGS_scheduling);
    if (!settings.scheduling.empty()) {
        checkedAddress("scheduling", settings.scheduling, wrong);
    }
    settings.processors = checkedPositive("processors", absl::GetFlag(FLAGS_processors), wrong);
    constexpr double BytesPerMegabit = 1e6 / 8;
    settings.linkBytesPerSecond =
        checkedPositive("link_mbps", absl::GetFlag(FLAGS_link_mbps), wrong) * BytesPerMegabit;
    settings.store = checkedAddress("store", absl::GetFlag(FLAGS_store), wrong);
    const std::string peers = absl::GetFlag(FLAGS_peers);
    for (const absl::string_view peer : absl::StrSplit(peers, ',', absl::SkipEmpty())) {
        settings.peers.push_back(checkedAddress("peers", std::string(peer), wrong));
    }
    settings.endsWithin =
        secondsOf(checkedPositive("ends_within_s", absl::GetFlag(FLAGS_ends_within_s), wrong));
    settings.retryRatio = absl::GetFlag(FLAGS_retry_ratio);
    settings.retryWindow =
        secondsOf(checkedPositive("retry_window_s", absl::GetFlag(FLAGS_retry_window_s), wrong));
    const double slack = absl::GetFlag(FLAGS_retry_slack);
    if (settings.retryRatio < 0 || slack < 0) {
        wrong.faults.emplace_back("--retry_ratio and --retry_slack: must not be negative");
    }
    settings.retrySlack = slack < 0 ? 0 : static_cast<std::uint32_t>(slack);
    settings.keyCopyAge = checkedKeyCopyAge(wrong);
    settings.quotaWindow =
        secondsOf(checkedPositive("quota_window_s", absl::GetFlag(FLAGS_quota_window_s), wrong));
    settings.quotaOver = checkedNotNegative("quota_over", absl::GetFlag(FLAGS_quota_over), wrong);
    settings.quotaSlack =
        checkedNotNegative("quota_slack", absl::GetFlag(FLAGS_quota_slack), wrong);
    settings.listKept =
        secondsOf(checkedPositive("list_kept_s", absl::GetFlag(FLAGS_list_kept_s), wrong));
    if (!wrong.faults.empty()) {
        return wrong;
    }
    return settings;
}

} // namespace indigoway
