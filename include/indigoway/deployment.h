#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** What a pool's servers do. */
enum class Role {
    Prefill,
    Decode,
    Service,
};

/** Whether a backend server is given new work. */
enum class ServerState {
    Active,
    Draining, ///< No new work; what runs may finish.
    Stopped,  ///< No new work; what runs is cancelled.
};

/** What happens to a request that can no longer meet its target. */
enum class LatePolicy {
    Refuse, ///< Answer at once with when to come back.
    Finish, ///< Serve it with what capacity others leave.
};

/** A backend server as operators declared it. */
struct Server
{
    ServerName name;
    PoolName pool;
    std::string address; ///< "IP:port"
    DomainName domain;
    std::uint32_t slots = 20; ///< Requests it holds at a time (decode, service).
    ServerState state = ServerState::Active;
    bool checksFencing = false; ///< Refuses an order with an old fencing number.
    auto operator<=>(const Server &) const = default;
};

/** Servers of one role for one target. */
struct Pool
{
    PoolName name;
    Role role = Role::Service;
    TargetName target;
    std::uint64_t linkRate = 0; ///< Bytes a second of a server's transfer link; 0: not limited.
    auto operator<=>(const Pool &) const = default;
};

/** A model or plain service with its targets and limits. */
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
    std::uint32_t kvBytes = 0;      ///< KV cache per prompt token in bytes; 0: not known.
    LatePolicy late = LatePolicy::Finish;
    bool repeatable = true; ///< Default for requests that do not say.
    auto operator<=>(const Target &) const = default;
};

/** All that operators have declared; an immutable value per revision. */
struct Deployment
{
    std::map<TargetName, Target> targets;
    std::map<PoolName, Pool> pools;
    std::map<ServerName, Server> servers;

    const Target *target(const TargetName &name) const;
    const Pool *pool(const PoolName &name) const;
    const Server *server(const ServerName &name) const;
    /** The plain service whose path prefix is the longest match of @p path, or null. */
    const Target *serviceFor(const std::string &path) const;
    /** Servers of @p role for @p target, in name order. */
    std::vector<const Server *> serversOf(const TargetName &target, Role role) const;
    /** Role of @p server's pool; nothing if the pool is not declared. */
    std::optional<Role> roleOf(const ServerName &server) const;
    bool operator==(const Deployment &) const = default;
};

} // namespace indigoway
