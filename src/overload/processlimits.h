#pragma once

#include <cstddef>
#include <cstdint>

namespace indigoway {

/** An address at which a process accepts connections. */
enum class Door : std::uint8_t {
    Callers,
    Control, ///< Other nodes' polls for changes of the desired state.
    Directory,
    Relay, ///< Other nodes' connections to backend servers.
    Readiness,
    Metrics,
};
constexpr std::size_t DoorCount = 6;
const char *nameOf(Door door);

/** What the machine of a process gives it. */
struct MachineResources
{
    std::uint64_t memoryBytes = 0;
    std::uint32_t descriptors = 0;
};

/** Bytes of received data that the kernel holds for one accepted connection. */
constexpr std::size_t ReceiveBufferBytes = std::size_t {16} * 1024;

/** Bytes that the kernel holds for one accepted connection and has not sent. */
constexpr std::size_t SendBufferBytes = std::size_t {32} * 1024;

/** Returns the bytes that the process may hold for its clients. */
std::size_t clientBytes(const MachineResources &machine);
/** Returns how many connections may be open at @p door. */
std::size_t maxConnections(const MachineResources &machine, Door door);

} // namespace indigoway
