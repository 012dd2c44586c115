#pragma once

#include "settings/flagset.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace indigoway {

/** Settings of a node whose desired state and servers come from a shared key-value service. */
struct EdgeSettings
{
    NodeName node;
    DomainName domain;
    std::string callers;           ///< Address for callers' requests.
    std::string readiness;         ///< Address that tells whether this node wants callers.
    std::string directory;         ///< Address that tells callers which nodes to use.
    std::string control;           ///< Address for the other nodes.
    std::string metrics;           ///< Address for metrics; empty: none.
    std::string scheduling;        ///< Address (UDP) for claims on engines; empty: takes none.
    double processors = 0;         ///< This VM's share of processor time, in processors.
    double linkBytesPerSecond = 0; ///< Of this VM's link.
    std::string store;
    std::vector<std::string> peers; ///< Control addresses of some other nodes; may be stale.
    Duration endsWithin {};         ///< From SIGTERM until the process must be gone.
    double retryRatio = 0;
    Duration retryWindow {};
    std::uint32_t retrySlack = 0;
    /** Callers' keys are judged by no older copy of the desired state; 0: by any. */
    Duration keyCopyAge {};
    // By how much an organisation's quota may be passed.
    Duration quotaWindow {};
    double quotaOver = 0;  ///< Of what it allows in a window.
    double quotaSlack = 0; ///< In its own units.
    Duration listKept {};  ///< How long callers may keep a list of nodes.
    bool operator==(const EdgeSettings &) const = default;
};

FlagSet edgeFlags();

/** Reads the flags; all faults of all settings at once. */
std::variant<EdgeSettings, CommandLineFaults> checkedEdgeSettings();

} // namespace indigoway
