#include "cli/commands.h"
#include "http/httpserver.h"
#include "settings/flagset.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <unistd.h>

#include <cstdio>

ABSL_FLAG(std::string, address, "127.0.0.1:8081",
          "Inner addresses of nodes, separated by commas; the first that answers is used.");
ABSL_FLAG(std::string, operator_token, "", "Your token; give it in the environment.");
ABSL_FLAG(bool, yes, false, "apply: do not ask.");
ABSL_FLAG(std::uint64_t, expect_revision, 0,
          "Change only this revision; 0: whatever is there when the command comes.");
ABSL_FLAG(std::uint32_t, time_limit, 60, "wait: most seconds.");
ABSL_FLAG(std::uint32_t, watch_seconds, 0, "watch: end after so many seconds; 0: never.");

int main(int argc, char **argv)
{
    using namespace indigoway;
    const FlagSet flags(
        "indigoway: asks and commands a running system.\n\n"
        "  indigoway show TABLE [where A = B and ...] [sort by A [desc]] [as json]\n"
        "  indigoway watch TABLE ...\n"
        "  indigoway add|set KIND NAME [ATTRIBUTE VALUE]...      KIND: model service pool server\n"
        "  indigoway remove KIND NAME\n"
        "  indigoway drain|stop|resume server NAME\n"
        "  indigoway check FILE           checks declarations, without a network\n"
        "  indigoway diff FILE            shows what apply would change\n"
        "  indigoway apply FILE           makes the deployment what the file declares\n"
        "  indigoway export               prints the declarations in force\n"
        "  indigoway wait revision N      until all nodes have revision N\n"
        "  indigoway wait drained SERVER  until no request is left on a backend server\n"
        "  indigoway completion           prints completion for bash",
        {"address", "operator_token", "yes", "expect_revision", "time_limit", "watch_seconds"});
    const std::vector<std::string> words = parseOrExit(flags, argc, argv);
    std::vector<std::string> addresses =
        absl::StrSplit(absl::GetFlag(FLAGS_address), ',', absl::SkipEmpty());
    for (const std::string &address : addresses) {
        if (!splitAddress(address)) {
            std::fprintf(stderr, "--address: \"%s\" is not an address (IP:port)\n",
                         address.c_str());
            return UsageOrSyntax;
        }
    }
    if (words.empty() || addresses.empty()) {
        std::fprintf(stderr, "%s", flags.help().c_str());
        return UsageOrSyntax;
    }
    CliOptions options;
    options.isYes = absl::GetFlag(FLAGS_yes);
    if (absl::GetFlag(FLAGS_expect_revision) > 0) {
        options.expectRevision = absl::GetFlag(FLAGS_expect_revision);
    }
    options.timeLimit = std::chrono::seconds(absl::GetFlag(FLAGS_time_limit));
    options.watchFor = std::chrono::seconds(absl::GetFlag(FLAGS_watch_seconds));
    options.isColoured = isatty(STDOUT_FILENO) != 0;
    OperatorClient client(std::move(addresses), absl::GetFlag(FLAGS_operator_token));
    return runCommand(client, options, words);
}
