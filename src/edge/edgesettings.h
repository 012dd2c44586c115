#pragma once

#include "settings/flagset.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** Settings of a node that reads the desired state and the servers from a key-value service. */
struct EdgeSettings
{
    NodeName node;
    DomainName domain;
    std::string callers;    ///< Address for callers' requests.
    std::string readiness;  ///< Address of the readiness check.
    std::string directory;  ///< Address at which callers look up the nodes.
    std::string control;    ///< Address for the other nodes.
    std::string metrics;    ///< Address for metrics; empty: not served.
    std::string scheduling; ///< UDP address for claims on engines; empty: not served.
    /** Address for other nodes' connections to backend servers; empty: not served. */
    std::string relay;
    double processors = 0;          ///< CPU share of this VM, in processors.
    std::uint64_t memoryBytes = 0;  ///< Of this VM; limits what is held for clients.
    std::uint32_t descriptors = 0;  ///< That the process may open.
    double linkBytesPerSecond = 0;  ///< Bandwidth of this VM's network link.
    std::string store;              ///< Address of the key-value service.
    std::vector<std::string> peers; ///< Control addresses of some other nodes; may be stale.
    Duration shutdownTimeout {};    ///< From SIGTERM to the process's exit.
    double retryRatio = 0;          ///< Retries per request to a service in a window.
    Duration retryWindow {};
    std::uint32_t retrySlack = 0; ///< Further retries in a window, by all nodes together.
    /** Age limit of the copy of the desired state that API keys are checked by; 0: no limit. */
    Duration maxKeyCopyAge {};
    // Bounds on how far an organisation may exceed its quota.
    Duration quotaWindow {};
    double quotaOverRatio = 0; ///< Excess per window as a fraction of the quota.
    double quotaSlack = 0;     ///< Further excess per window, in units of the quota.
    Duration nodeListTtl {};   ///< How long callers may cache a list of nodes.
    bool operator==(const EdgeSettings &) const = default;
};

FlagSet edgeFlags();

/** Returns the settings from the flags, or the errors in all of them. */
std::variant<EdgeSettings, SettingsErrors> checkedEdgeSettings();

} // namespace indigoway
