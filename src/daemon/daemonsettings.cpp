#include "daemonsettings.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdint>

ABSL_FLAG(std::string, node, "", "Name of this node; unique among the nodes.");
ABSL_FLAG(std::string, domain, "", "Failure domain that this node is in.");
ABSL_FLAG(std::string, callers, "127.0.0.1:8080", "Address (IP:port) on which callers are served.");
ABSL_FLAG(std::string, inner, "127.0.0.1:8081",
          "Address (IP:port) for the other nodes and for operators.");
ABSL_FLAG(std::string, advertise_callers, "",
          "Address that callers are told, if it is not the one listened on.");
ABSL_FLAG(std::string, advertise_inner, "",
          "Address that other nodes are told, if it is not the one listened on.");
ABSL_FLAG(std::string, store, "127.0.0.1:2379",
          "Addresses of the key-value service, separated by commas.");
ABSL_FLAG(std::string, peers, "",
          "Inner addresses of some other nodes, separated by commas; of use when the key-value "
          "service is away at the start.");
ABSL_FLAG(std::string, token, "",
          "Token that nodes show each other; give it in the environment, not on the command line.");
ABSL_FLAG(std::string, operator_tokens, "",
          "Operators as name:token, separated by commas; give it in the environment. The name "
          "goes into the record of changes.");
ABSL_FLAG(std::uint32_t, most_open, 4000, "Requests open at a time; more are refused with 429.");
ABSL_FLAG(std::uint32_t, most_body_kb, 8192, "Largest request body, in KB.");
ABSL_FLAG(
    std::uint32_t, idle_seconds, 15,
    "Time for a request's head, for its body beyond what its size earns, and between requests; "
    "a slower caller is dropped.");
ABSL_FLAG(std::uint32_t, memory_mb, 512,
          "Memory of this VM in MB; limits what the node holds for its clients.");
ABSL_FLAG(std::uint32_t, max_fds, 4096,
          "File descriptors that this process may open; limits the clients' connections.");
ABSL_FLAG(std::uint32_t, keep_seconds, 5,
          "How long callers may keep the list of nodes. A leaving node waits for as long.");
ABSL_FLAG(std::string, log_format, "text", "Format of the log: text or json.");

namespace indigoway {

namespace {

constexpr std::size_t LeastTokenLength = 16;
constexpr std::uint32_t MostKeepSeconds = 600;

std::vector<std::string> listOf(const std::string &text)
{
    return absl::StrSplit(text, ',', absl::SkipEmpty());
}

bool isNodeName(const std::string &name)
{
    return !name.empty() && name.size() <= 64
        && std::all_of(name.begin(), name.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_';
           });
}

void checkAddress(const char *flag, const std::string &address, SettingsErrors &wrong)
{
    if (!splitAddress(address)) {
        wrong.errors.push_back(std::string("--") + flag + ": \"" + address
                               + "\" is not an address (IP:port)");
    }
}

void checkToken(const char *flag, const std::string &token, SettingsErrors &wrong)
{
    if (token.size() < LeastTokenLength) {
        wrong.errors.push_back(std::string("--") + flag + ": a token needs at least "
                               + std::to_string(LeastTokenLength) + " characters");
    }
}

} // namespace

FlagSet daemonFlags()
{
    return {"indigowayd: routes requests to language models to separate prefill and decode pools.\n"
            "Every entry VM runs one. SIGTERM makes it leave without cutting a request.",
            {"node", "domain", "callers", "inner", "advertise_callers", "advertise_inner", "store",
             "peers", "token", "operator_tokens", "most_open", "most_body_kb", "idle_seconds",
             "memory_mb", "max_fds", "keep_seconds", "log_format"}};
}

std::variant<DaemonSettings, SettingsErrors> checkedDaemonSettings(std::uint64_t wallClock)
{
    DaemonSettings settings;
    SettingsErrors wrong;
    const std::string name = absl::GetFlag(FLAGS_node);
    if (!isNodeName(name)) {
        wrong.errors.push_back("--node: must be 1 to 64 letters, digits, - or _");
    }
    settings.node.life = {NodeName(name), Incarnation(wallClock)};
    settings.node.domain = DomainName(absl::GetFlag(FLAGS_domain));
    if (settings.node.domain.isEmpty()) {
        wrong.errors.emplace_back("--domain: the failure domain must be given");
    }
    settings.callers = absl::GetFlag(FLAGS_callers);
    settings.inner = absl::GetFlag(FLAGS_inner);
    checkAddress("callers", settings.callers, wrong);
    checkAddress("inner", settings.inner, wrong);
    settings.node.callerAddress = absl::GetFlag(FLAGS_advertise_callers);
    settings.node.peerAddress = absl::GetFlag(FLAGS_advertise_inner);
    if (!settings.node.callerAddress.empty()) {
        checkAddress("advertise_callers", settings.node.callerAddress, wrong);
    }
    if (!settings.node.peerAddress.empty()) {
        checkAddress("advertise_inner", settings.node.peerAddress, wrong);
    }
    settings.store = listOf(absl::GetFlag(FLAGS_store));
    if (settings.store.empty()) {
        wrong.errors.emplace_back("--store: at least one address must be given");
    }
    for (const std::string &address : settings.store) {
        checkAddress("store", address, wrong);
    }
    for (const std::string &address : listOf(absl::GetFlag(FLAGS_peers))) {
        checkAddress("peers", address, wrong);
        MemberUpdate peer;
        peer.peerAddress = address;
        settings.node.peers.push_back(peer);
    }
    settings.peerToken = absl::GetFlag(FLAGS_token);
    checkToken("token", settings.peerToken, wrong);
    for (const std::string &entry : listOf(absl::GetFlag(FLAGS_operator_tokens))) {
        const std::size_t colon = entry.find(':');
        if (colon == std::string::npos || colon == 0) {
            wrong.errors.emplace_back("--operator_tokens: each entry must be name:token");
            continue;
        }
        checkToken("operator_tokens", entry.substr(colon + 1), wrong);
        settings.operatorTokens[entry.substr(0, colon)] = entry.substr(colon + 1);
    }
    settings.node.limits.mostOpen = absl::GetFlag(FLAGS_most_open);
    settings.limits.connections = std::size_t {2} * absl::GetFlag(FLAGS_most_open);
    settings.limits.bodyBytes = std::size_t {1024} * absl::GetFlag(FLAGS_most_body_kb);
    settings.limits.idle = std::chrono::seconds(absl::GetFlag(FLAGS_idle_seconds));
    constexpr std::uint64_t BytesPerMegabyte = 1'000'000;
    settings.machine = {absl::GetFlag(FLAGS_memory_mb) * BytesPerMegabyte,
                        absl::GetFlag(FLAGS_max_fds)};
    if (settings.machine.memoryBytes == 0 || settings.machine.descriptors == 0) {
        wrong.errors.emplace_back("--memory_mb and --max_fds must be above 0");
    }
    if (settings.node.limits.mostOpen == 0 || settings.limits.bodyBytes == 0
        || settings.limits.idle.count() == 0) {
        wrong.errors.emplace_back("--most_open, --most_body_kb and --idle_seconds must be above 0");
    }
    const std::uint32_t keep = absl::GetFlag(FLAGS_keep_seconds);
    if (keep == 0 || keep > MostKeepSeconds) {
        wrong.errors.emplace_back("--keep_seconds: must be from 1 to 600");
    }
    settings.node.callersKeepList = std::chrono::seconds(keep);
    const std::string format = absl::GetFlag(FLAGS_log_format);
    if (format != "text" && format != "json") {
        wrong.errors.emplace_back("--log_format: must be text or json");
    }
    settings.logsJson = format == "json";
    if (!wrong.errors.empty()) {
        return wrong;
    }
    return settings;
}

} // namespace indigoway
