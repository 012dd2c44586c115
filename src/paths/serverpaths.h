#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace indigoway {

/** A change of what a node knows of its connections to a backend server. */
struct PathChange
{
    ServerName server; ///< Empty if the change concerns all servers.
    bool isReachable = false;
    Duration lasted {};            ///< How long the state before lasted; 0 if it is not known.
    std::uint64_t failedCalls = 0; ///< Connection attempts that failed in the state before.
    std::string reason;            ///< How the node knows.
};

/**
 * Knows which backend servers this node can connect to itself, since when and how it knows.
 *
 * A failed connection says nothing of the server alone: it may be down, or this node may be cut off
 * from it. Another node that can connect to it decides: the server is up and is reached through
 * that node (relayed). If the node could connect to none of several servers lately and some of them
 * are up, it is isolated, and reaches all servers through others. It tests its own connection again
 * and again while it is in use.
 */
class ServerPaths
{
public:
    /** Records a connection of this node itself. */
    void recordConnected(const ServerName &server, TimePoint now);
    /** Records a connection attempt of this node itself that failed, and why. */
    void recordNotConnected(const ServerName &server, const std::string &reason, TimePoint now);
    /** Records that another node has opened a connection to the server. */
    void recordRelayed(const ServerName &server, const std::string &node, TimePoint now);
    /** Records that another node, which reaches other servers, cannot connect to it either. */
    void recordDown(const ServerName &server);

    /** Returns whether connections to the server should be opened by another node. */
    bool isRelayed(const ServerName &server) const;
    /** Returns whether this node can connect to no server, while some of them are up. */
    bool isIsolated() const { return m_isIsolated; }
    /**
     * Returns whether this node has connected to a server since @p begun, so that its failure to
     * connect to another one in that time is evidence against that server.
     */
    bool hasConnectedSince(TimePoint begun) const { return m_lastConnected >= begun; }
    /** Returns whether a connection of this node itself is to be tested now; once for each time. */
    bool takeTest(const ServerName &server, TimePoint now);

    /** Returns the changes since the last call. */
    std::vector<PathChange> takeChanges();
    /** Returns the number of servers to which the last connection attempt failed. */
    std::size_t unreachableServers() const { return m_unreachable.size(); }
    std::uint64_t failedConnections() const { return m_failedConnections; }

private:
    struct Unreachable
    {
        TimePoint since {};
        std::uint64_t failedCalls = 0;
        TimePoint lastFailure {};
        bool isRelayed = false;
        TimePoint nextTest {};
    };

    void forgetOld(TimePoint now);
    void endIsolation(TimePoint now);

    std::map<ServerName, Unreachable> m_unreachable;
    /** Servers to which connections failed since the last one that succeeded. */
    std::set<ServerName> m_failedSinceConnected;
    TimePoint m_lastConnected {};
    bool m_isIsolated = false;
    TimePoint m_isolatedSince {};
    TimePoint m_nextTest {}; ///< While isolated.
    std::vector<PathChange> m_changes;
    std::uint64_t m_failedConnections = 0;
};

} // namespace indigoway
