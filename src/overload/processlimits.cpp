#include "processlimits.h"

#include <algorithm>
#include <array>

namespace indigoway {

namespace {

/** The rest is the program, its knowledge of the fleet, and what the kernel holds. */
constexpr double ClientBytesShare = 0.32;
/** For log, timers and settings files, which take descriptors as sockets do. */
constexpr std::uint32_t FileDescriptors = 200;
/** A connection with full buffers in the kernel and a small request in the process. */
constexpr double MemoryPerConnection = 110.0 * 1024;
constexpr std::size_t MinConnections = 32;

/**
 * Share of the descriptors for the connections of each door, in the order of Door. What they leave,
 * 0.35, is for connections to backend servers, the store and other nodes. A relayed connection
 * takes two descriptors.
 */
constexpr std::array<double, DoorCount> DescriptorShares {0.33, 0.14, 0.08, 0.03, 0.02, 0.02};
/** Share of the memory for connections. Other doors hold only small requests. */
constexpr std::array<double, DoorCount> MemoryShares {0.8, 0.6, 0.3, 0.15, 0.08, 0.08};

} // namespace

const char *nameOf(Door door)
{
    static constexpr std::array<const char *, DoorCount> Names {"callers", "control",   "directory",
                                                                "relay",   "readiness", "metrics"};
    return Names[static_cast<std::size_t>(door)];
}

std::size_t clientBytes(const MachineResources &machine)
{
    return static_cast<std::size_t>(static_cast<double>(machine.memoryBytes) * ClientBytesShare);
}

std::size_t maxConnections(const MachineResources &machine, Door door)
{
    const auto index = static_cast<std::size_t>(door);
    const double sockets =
        machine.descriptors > FileDescriptors ? machine.descriptors - FileDescriptors : 0;
    const double byMemory =
        static_cast<double>(machine.memoryBytes) / MemoryPerConnection * MemoryShares[index];
    return std::max(
        MinConnections,
        static_cast<std::size_t>(std::min(sockets * DescriptorShares[index], byMemory)));
}

} // namespace indigoway
