#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace indigoway {

/** A change of what a node knows of its connections to a backend server. */
struct PathChange
{
    ServerName server;
    bool isReachable = false;
    Duration lasted {};            ///< How long the state before lasted; 0 if it is not known.
    std::uint64_t failedCalls = 0; ///< Calls without a connection in the state before.
    std::string reason;            ///< How the node knows.
};

/** Records which backend servers this node can connect to, since when and how it knows. */
class ServerPaths
{
public:
    /** Records a connection attempt that succeeded. */
    void recordConnected(const ServerName &server, TimePoint now);
    /** Records a connection attempt that failed, and why. */
    void recordNotConnected(const ServerName &server, const std::string &reason, TimePoint now);

    /** Returns the changes since the last call. */
    std::vector<PathChange> takeChanges();
    /** Returns the number of servers to which the last connection attempt failed. */
    std::size_t unreachableServers() const { return m_unreachable.size(); }
    std::uint64_t failedCalls() const { return m_failedCalls; }

private:
    struct Unreachable
    {
        TimePoint since {};
        std::uint64_t failedCalls = 0;
        TimePoint lastFailure {};
    };

    void forgetOld(TimePoint now);

    std::map<ServerName, Unreachable> m_unreachable;
    std::vector<PathChange> m_changes;
    std::uint64_t m_failedCalls = 0;
};

} // namespace indigoway
