#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** The kind of work that the servers of a pool do. */
enum class Role {
    Prefill,
    Decode,
    Service,
};

/** Administrative state of a backend server. */
enum class ServerState {
    Active,
    Draining, ///< No new requests; running ones finish.
    Stopped,  ///< No new requests; running ones are cancelled.
};

/** What to do with a request that can no longer meet its latency target. */
enum class LatePolicy {
    Refuse, ///< Refuse at once, with a time after which to retry.
    Finish, ///< Serve it with the capacity that other requests leave free.
};

/** A backend server as declared by operators. */
struct Server
{
    ServerName name;
    PoolName pool;
    std::string address; ///< "IP:port"
    DomainName domain;
    std::uint32_t slots = 20; ///< Concurrent requests (decode and service roles).
    ServerState state = ServerState::Active;
    bool checksFencing = false; ///< The server refuses orders with an old fencing number.
    auto operator<=>(const Server &) const = default;
};

/** Servers of one role for one target. */
struct Pool
{
    PoolName name;
    Role role = Role::Service;
    TargetName target;
    std::uint64_t linkRate = 0; ///< Transfer bandwidth of a server in bytes/s; 0: no limit.
    auto operator<=>(const Pool &) const = default;
};

/** A model or plain service with its latency targets and limits. */
struct Target
{
    TargetName name;
    bool isService = false;
    std::string prefix; ///< Path prefix of a plain service.
    std::string version;
    std::uint32_t priority = 4; ///< 0 (first) to 7, as in RFC 9218.
    Duration firstToken = std::chrono::seconds(5);
    Duration betweenTokens = std::chrono::milliseconds(100);
    Duration patience = std::chrono::minutes(5); ///< Longest wait in the queue.
    std::uint32_t maxPromptTokens = 32768;
    std::uint32_t maxOutputTokens = 4096;
    std::uint32_t maxQueued = 2000; ///< Waiting requests per cell.
    std::uint32_t kvBytes = 0;      ///< KV cache per prompt token in bytes; 0: unknown.
    LatePolicy late = LatePolicy::Finish;
    bool repeatable = true; ///< Default for requests that do not specify it.
    auto operator<=>(const Target &) const = default;
};

/** All declarations of the operators; an immutable value per revision. */
struct Deployment
{
    std::map<TargetName, Target> targets;
    std::map<PoolName, Pool> pools;
    std::map<ServerName, Server> servers;

    const Target *target(const TargetName &name) const;
    const Pool *pool(const PoolName &name) const;
    const Server *server(const ServerName &name) const;
    /** Returns the plain service with the longest path prefix that matches @p path, or null. */
    const Target *serviceFor(const std::string &path) const;
    /** Returns the servers of @p role for @p target, in name order. */
    std::vector<const Server *> serversOf(const TargetName &target, Role role) const;
    /** Returns the role of @p server's pool, or nothing if server or pool is not declared. */
    std::optional<Role> roleOf(const ServerName &server) const;
    bool operator==(const Deployment &) const = default;
};

} // namespace indigoway
