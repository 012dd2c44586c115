#pragma once

#include "core/node.h"
#include "http/httpserver.h"
#include "settings/flagset.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** The daemon's settings, checked. */
struct DaemonSettings
{
    NodeSettings node;
    std::string callers; ///< Listening address for callers.
    std::string inner;   ///< Listening address for peers and operators.
    std::vector<std::string> store;
    std::string peerToken;
    std::map<std::string, std::string> operatorTokens; ///< Name to token.
    HttpLimits limits;
    MachineResources machine;
    bool logsJson = false;
};

/** The daemon's flags. */
FlagSet daemonFlags();

/** Takes the flags as they stand; all errors at once. */
std::variant<DaemonSettings, SettingsErrors> checkedDaemonSettings(std::uint64_t wallClock);

} // namespace indigoway
