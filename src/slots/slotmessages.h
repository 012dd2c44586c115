#pragma once

#include <indigoway/ids.h>
#include <indigoway/routing.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/** @file Messages between nodes and the scheduler of plain services, each sent in one datagram. */
namespace indigoway::slots {

/** Identifies a claim of a slot within one incarnation of a node. */
using SlotClaimId = Number<struct SlotClaimTag>;

/** Request counts that a server reports with its answer. */
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /**
     * How long work currently takes at the server, 100 as usual; nothing if it does not report it.
     */
    std::optional<std::uint32_t> workPercent = {};
    bool operator==(const ServerLoad &) const = default;
};

/** Requests a slot for one request. A repeated claim gets the same answer while it is open. */
struct SlotClaim
{
    SlotClaimId claim;
    ServiceName service;
    RouteName route;            ///< Requests of a route take similar time.
    DomainName domain;          ///< Failure domain of the node that serves the caller.
    std::uint32_t priority = 0; ///< 0 goes first.
    Duration timeToTarget {};   ///< Time left until the target; negative if it has passed.
    Duration timeLeft {};       ///< Time for which the caller still waits.
    std::vector<ServerName> excludedServers;
    bool operator==(const SlotClaim &) const = default;
};

/** Reports a slot that another scheduler, or the node itself, has assigned. */
struct SlotHeld
{
    SlotClaimId claim;
    ServiceName service;
    ServerName server;
    Duration timeLeft {};
    bool operator==(const SlotHeld &) const = default;
};

enum class SlotOutcome {
    Answered,    ///< The server executed the request.
    ServerError, ///< The server answered with an error of its own.
    Broken,      ///< The connection ended or went silent before the answer was complete.
    Rejected,    ///< The server did not take the request; usually it is full.
    Unreachable, ///< The server refused the connection.
    Cancelled,   ///< The node no longer waits for an answer, or sent no request.
};

/** Ends a claim, granted or not, and frees its slot. */
struct SlotEnded
{
    SlotClaimId claim;
    ServiceName service; ///< Empty if the node no longer knows the claim.
    ServerName server;   ///< Empty if no slot was granted.
    SlotOutcome outcome = SlotOutcome::Answered;
    Duration answerTime {}; ///< Time from the start of the call to its end; 0 if none was started.
    std::optional<ServerLoad> load;
    bool operator==(const SlotEnded &) const = default;
};

/** The load of a server as a node saw it in an answer. */
struct SeenLoad
{
    ServerName server;
    ServerLoad load;
    Duration age {};
    bool operator==(const SeenLoad &) const = default;
};

/**
 * Reports the loads seen while the node chose servers itself. The answer shows that the scheduler
 * responds again.
 */
struct LoadReport
{
    ServiceName service;
    std::vector<SeenLoad> loads;
    bool operator==(const LoadReport &) const = default;
};

using ToPlainScheduler = std::variant<SlotClaim, SlotHeld, SlotEnded, LoadReport>;

/** Confirms that the claim is waiting. */
struct SlotQueued
{
    SlotClaimId claim;
    bool operator==(const SlotQueued &) const = default;
};

struct SlotGranted
{
    SlotClaimId claim;
    ServerName server;
    bool operator==(const SlotGranted &) const = default;
};

/** Refuses a claim that cannot be served in its time. */
struct SlotRefused
{
    SlotClaimId claim;
    Duration expectedWait {}; ///< Time until a slot is expected to be free for such a claim.
    bool operator==(const SlotRefused &) const = default;
};

/** Answers a LoadReport. */
struct LoadReceived
{
    bool operator==(const LoadReceived &) const = default;
};

using FromPlainScheduler = std::variant<SlotQueued, SlotGranted, SlotRefused, LoadReceived>;

/** Returns the claim that an answer refers to, or none. */
inline SlotClaimId claimOf(const FromPlainScheduler &message)
{
    return std::visit(
        [](const auto &alternative) {
            if constexpr (requires { alternative.claim; }) {
                return alternative.claim;
            } else {
                return SlotClaimId();
            }
        },
        message);
}

} // namespace indigoway::slots
