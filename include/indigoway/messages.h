#pragma once

#include <indigoway/ids.h>
#include <indigoway/table.h>

#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * Messages between nodes. Times are sent as durations relative to the sender's current time,
 * because the clocks of different VMs are not comparable.
 */
namespace indigoway {

enum class MemberState {
    Alive,
    Leaving, ///< Finishes open requests; is not listed to callers and schedules no cell.
    Suspect,
    Dead,
};

/** The state of one node, spread by gossip. */
struct MemberUpdate
{
    NodeLife life;
    MemberState state = MemberState::Alive;
    /** Raised by the node itself to refute a suspicion. */
    std::uint64_t version = 0;
    std::string callerAddress; ///< Address for callers.
    std::string peerAddress;   ///< Address for peers.
    DomainName domain;
    bool operator==(const MemberUpdate &) const = default;
};

/** A liveness probe; gossip is exchanged with it in both directions. */
struct Ping
{
    MemberUpdate from;
    std::vector<MemberUpdate> updates;
    Revision revision;
    bool wantsAll = false; ///< Asks for the whole member list, when joining.
};

/** Asks the receiver to probe @p target (an indirect probe). */
struct IndirectPing
{
    MemberUpdate target;
};

/** Asks for the receiver's active configuration. */
struct FetchConfiguration
{
};

/** Identifies a claim by the request that made it, also if the grant was lost. */
struct ClaimIdentity
{
    NodeLife owner;
    RequestNumber request;
    std::uint32_t attempt = 0;
    auto operator<=>(const ClaimIdentity &) const = default;
};

/** Asks a cell's scheduler for capacity. Answered once the claim is granted or refused. */
struct ClaimCapacity
{
    NodeLife owner;
    RequestNumber request;
    std::uint32_t attempt = 0;
    TargetName target;
    std::uint32_t cell = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Expected number, at most the caller's limit.
    Duration untilDeadline {};      ///< Time to the first-token target; negative if missed.
    Duration patience {};           ///< Longest wait for the grant.
    std::uint32_t priority = 4;
    bool isContinuation = false;             ///< Continues a partly delivered answer.
    std::vector<std::uint64_t> prefixHashes; ///< Hashes of the prompt's prefixes, shortest first.
    std::vector<ServerName> avoid;           ///< Servers that have failed this request.

    ClaimIdentity identity() const { return {owner, request, attempt}; }
};

/** Reports the end of a claim's prefill and asks for the decode server. */
struct PrefillEnded
{
    ClaimNumber claim;
    bool isOk = false;
    Duration elapsed {};
    std::vector<ServerName> avoid;
};

/**
 * Releases a claim and reports how its servers performed. If the claim is withdrawn before its
 * grant has arrived, @p claim is none.
 */
struct ReleaseClaim
{
    ClaimNumber claim;
    ClaimIdentity identity;
    TargetName target;
    std::uint32_t cell = 0;
    std::uint32_t tokens = 0; ///< Output tokens of this attempt.
    Duration decodeTime {};   ///< Time from the first to the last token.
    bool serverFailed = false;
};

/** Registers a claim granted by an earlier scheduler of the cell with the current one. */
struct AdoptClaim
{
    NodeLife owner;
    RequestNumber request;
    std::uint32_t attempt = 0;
    TargetName target;
    std::uint32_t cell = 0;
    ServerName server;
    std::uint32_t outputTokens = 0;
};

/** Asks the receiver which of @p requests it still owns. */
struct FetchOwnedRequests
{
    std::vector<EngineRequestName> requests;
};

/** Asks for the receiver's rows of a table that an operator queries. */
struct FetchRows
{
    std::string kind;
};

using PeerRequest =
    std::variant<Ping, IndirectPing, FetchConfiguration, ClaimCapacity, PrefillEnded, ReleaseClaim,
                 AdoptClaim, FetchOwnedRequests, FetchRows>;

/** Answer to Ping. */
struct Pong
{
    MemberUpdate from;
    std::vector<MemberUpdate> updates;
    Revision revision;
};

/** Answer to IndirectPing. */
struct ProbeResult
{
    bool isAlive = false;
};

/** Answer to FetchConfiguration. */
struct ConfigurationText
{
    Revision revision;
    std::string text;
};

/** Answer to ClaimCapacity and AdoptClaim. For a plain service, @p server is the one to call. */
struct Granted
{
    ClaimNumber claim;
    ServerName server;
};

/** Answer to PrefillEnded. */
struct DecodeAssigned
{
    ServerName server;
};

/** The claim was refused. */
struct NotGranted
{
    enum class Reason {
        Overload,     ///< The target cannot be met or the queue is full.
        NoServer,     ///< The cell has no usable server.
        NotScheduler, ///< The receiver does not schedule the cell.
        UnknownClaim,
    };
    Reason reason = Reason::Overload;
    Duration retryAfter {};
};

/** Answer to FetchOwnedRequests. */
struct OwnedRequests
{
    std::vector<EngineRequestName> requests;
};

/** Answer to FetchRows. */
struct Rows
{
    Table table;
};

/** Success without a result. */
struct Acknowledged
{
};

using PeerReply = std::variant<Pong, ProbeResult, ConfigurationText, Granted, DecodeAssigned,
                               NotGranted, OwnedRequests, Rows, Acknowledged>;

/** The call failed: refused, lost, timed out, or the answer was malformed. */
struct PeerFailed
{
    std::string reason;
    bool isTimeout = false; ///< Not answered in time; the call may have taken effect.
};

using PeerOutcome = std::variant<PeerReply, PeerFailed>;

} // namespace indigoway
