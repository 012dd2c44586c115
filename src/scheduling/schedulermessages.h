#pragma once

#include "scheduling/generationwork.h"

#include <indigoway/announcedserver.h>
#include <indigoway/ids.h>
#include <indigoway/routing.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** @file Messages between nodes and the engine scheduler, each sent in one datagram. */
namespace indigoway::scheduling {

/** Identifies a claim within one incarnation of a node. */
using ClaimId = Number<struct SchedulerClaimTag>;

/** Serving order of claims while engines are short. */
enum class Urgency {
    Resumed,      ///< Continues an interrupted stream that its caller is already receiving.
    FirstAttempt, ///< Can meet its target.
    Retried,      ///< Was refused before and is late already; served after all others.
};

/**
 * Requests memory on a decode engine and a prefill engine. Sending a claim again replaces its
 * excluded engines while it waits, and has no further effect.
 */
struct Claim
{
    ClaimId claim;
    ServiceName service;
    DomainName domain;              ///< Failure domain of the node that serves the caller.
    std::uint32_t promptTokens = 0; ///< Tokens to prefill; 0 if only a decode engine is needed.
    MemoryNeed memory;              ///< Memory needed on the decode engine.
    /** Software version that the engine must have, since it continues a stream; nothing for any. */
    std::optional<std::string> version;
    Urgency urgency = Urgency::FirstAttempt;
    std::uint32_t priority = 0; ///< Order among claims of the same urgency; 0 goes first.
    Duration maxWait {};        ///< Maximum wait, after which the claim is refused.
    /** Time left until the target for the first event; negative if it has passed. */
    Duration timeToTarget {};
    Duration maxDuration {}; ///< Time after which the request has ended in any case.
    /** Engines that have already failed this request, or that its node must not use now. */
    std::vector<ServerName> excludedServers;
    OrganisationName organisation; ///< Empty if the caller belongs to none.
    /** Whether the service keeps backups of runs, so that a grant may name a backup. */
    bool wantsBackup = false;
    bool operator==(const Claim &) const = default;
};

/**
 * Reports memory that a request holds and that another scheduler, or the node itself, had assigned.
 */
struct ReservationReport
{
    ClaimId claim;
    ServiceName service;
    MemoryNeed memory;
    ServerName decodeServer;
    Duration maxDuration {};
    std::optional<Duration> elapsedDecodeTime; ///< Time since the first token; unset before it.
    ServerName backupServer {};                ///< Engine with a copy of the run; empty if none.
    bool operator==(const ReservationReport &) const = default;
};

struct PrefillEnded
{
    ClaimId claim;
    bool isDone = false;     ///< False if the engine failed.
    bool isReachable = true; ///< False if the engine refused the connection.
    /** The connection broke during the prefill; EngineFault follows if that is the engine's fault.
     */
    bool isConnectionLost = false;
    bool operator==(const PrefillEnded &) const = default;
};

enum class ClaimOutcome {
    Served,       ///< The decode engine completed its part.
    Cancelled,    ///< The request no longer needs its grant.
    OutOfMemory,  ///< The decode engine refused the run for lack of memory.
    EngineFailed, ///< The decode engine failed during the run.
    Unreachable,  ///< The decode engine refused the connection.
    KvCacheLost,  ///< The KV cache of the prefill engine was no longer available.
    /** The connection broke during the run; EngineFault follows if that is the engine's fault. */
    ConnectionLost,
};

struct ClaimEnded
{
    ClaimId claim;
    ClaimOutcome outcome = ClaimOutcome::Served;
    std::uint64_t generatedTokens = 0; ///< Output tokens of a served run; 0 if unknown.
    bool operator==(const ClaimEnded &) const = default;
};

/**
 * Reports that the run continues on its backup: it counts as a run there from now on, and no longer
 * at the first engine. Sending it again has no further effect.
 */
struct RunMoved
{
    ClaimId claim;
    bool operator==(const RunMoved &) const = default;
};

/**
 * Reports that an engine is ordered to change its phase; it refuses work until it is announced in
 * the new one.
 */
struct PhaseChangeNotice
{
    ServerName server;
    EnginePhase to = EnginePhase::None;
    /** Maximum duration from now; 0 if the engine keeps its phase after all. */
    Duration maxDuration {};
    bool isAccepted = false; ///< Whether the engine has accepted the order.
    bool operator==(const PhaseChangeNotice &) const = default;
};

/**
 * Asks for the mean work of a service's generations. Sent by the node that orders phase changes.
 */
struct WorkQuery
{
    ServiceName service;
    bool operator==(const WorkQuery &) const = default;
};

/**
 * Reports failures at an engine for which its node is not to blame: it has connected to the engine
 * itself afterwards, or other nodes cannot connect to it either.
 */
struct EngineFault
{
    ServerName server;
    std::uint32_t failures = 1; ///< Calls that failed.
    bool isReachable = true;    ///< False if the engine accepts no connection.
    bool operator==(const EngineFault &) const = default;
};

using ToScheduler = std::variant<Claim, ReservationReport, PrefillEnded, ClaimEnded,
                                 PhaseChangeNotice, WorkQuery, RunMoved, EngineFault>;

/** Confirms that the claim is waiting. */
struct ClaimQueued
{
    ClaimId claim;
    bool operator==(const ClaimQueued &) const = default;
};

struct ClaimGranted
{
    ClaimId claim;
    ServerName decodeServer;
    ServerName prefillServer;           ///< Empty if the decode engine processes the prompt.
    std::optional<GenerationWork> work; ///< Mean work of the service's generations, if known.
    /** Whether the decode engine processes the prompt because prefill engines would be too late. */
    bool prefillsLocally = false;
    ServerName backupServer {}; ///< Engine to which the run is copied; empty if none.
    bool operator==(const ClaimGranted &) const = default;
};

/** Refuses a claim for which no memory will be free in time. */
struct ClaimRefused
{
    ClaimId claim;
    std::uint32_t claimsAhead = 0; ///< Claims that wait ahead of this one.
    Duration expectedWait {};
    bool operator==(const ClaimRefused &) const = default;
};

/** Answers WorkQuery; not sent until the work is known. */
struct WorkReport
{
    ServiceName service;
    GenerationWork work;
    bool operator==(const WorkReport &) const = default;
};

using FromScheduler = std::variant<ClaimQueued, ClaimGranted, ClaimRefused, WorkReport>;

/**
 * Returns the claim that a ToScheduler or FromScheduler @p message refers to, or none if it refers
 * to no claim.
 */
template <typename Message>
ClaimId claimOf(const Message &message)
{
    return std::visit(
        [](const auto &alternative) {
            if constexpr (requires { alternative.claim; }) {
                return alternative.claim;
            } else {
                return ClaimId();
            }
        },
        message);
}

} // namespace indigoway::scheduling
