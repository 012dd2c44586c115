#pragma once

#include "cli/operatorclient.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** Exit codes of the command-line tool; docs/OPERATING.md lists them. */
enum ExitCode {
    Ok = 0,
    Unavailable = 1,
    UsageOrSyntax = 2,
    LostRace = 3,
    InDoubt = 4,
    TimedOut = 5,
    Declined = 6,
};

struct CliOptions
{
    bool isYes = false;
    std::optional<std::uint64_t> expectRevision;
    std::chrono::seconds timeLimit {60};
    std::chrono::seconds watchFor {};
    bool isColoured = false;
};

/** What the operator typed, carried out; the exit code. */
int runCommand(OperatorClient &client, const CliOptions &options,
               const std::vector<std::string> &words);

} // namespace indigoway
