#pragma once

#include <indigoway/ids.h>

#include <chrono>

namespace indigoway {

/**
 * Time limits for opening a connection to a backend server. They depend on each other: a node that
 * asks another one to open the connection waits longer than that node tries.
 */
struct PathTimeLimits
{
    /**
     * Detects servers that don't respond to SYN packets: a stopped VM, a network partition, or a
     * full listen queue.
     */
    Duration connect = std::chrono::milliseconds(250);
    /** The same, if another node is asked afterwards. */
    Duration connectBeforeRelay = std::chrono::milliseconds(150);
    /** For another node's answer: covers its own limits. */
    Duration relay = std::chrono::milliseconds(150);
    /** At the other node. */
    Duration connectAtRelay = std::chrono::milliseconds(90);
    /** For the other node's check that it reaches any server. */
    Duration checkAtRelay = std::chrono::milliseconds(40);
};

} // namespace indigoway
