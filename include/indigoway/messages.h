#pragma once

#include <indigoway/ids.h>
#include <indigoway/table.h>

#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * What nodes say to each other. Times are durations relative to the sender's "now", since
 * clocks of different VMs are never compared.
 */
namespace indigoway {

enum class MemberState {
    Alive,
    Leaving, ///< Finishes what it has; takes nothing new and looks after nothing.
    Suspect,
    Dead,
};

/** One node's state as gossip carries it. */
struct MemberUpdate
{
    NodeLife life;
    MemberState state = MemberState::Alive;
    /** Raised by the node itself to refute a suspicion within one life. */
    std::uint64_t version = 0;
    std::string callerAddress; ///< Where callers connect.
    std::string peerAddress;   ///< Where peers connect.
    DomainName domain;
    bool operator==(const MemberUpdate &) const = default;
};

/** Liveness probe; carries gossip both ways. */
struct Ping
{
    MemberUpdate from;
    std::vector<MemberUpdate> updates;
    Revision revision;
    bool wantsAll = false; ///< A joiner asks for the whole member list.
};

/** Asks the receiver to probe @p target on the sender's behalf. */
struct PingOnBehalf
{
    MemberUpdate target;
};

/** Asks for the configuration the receiver has. */
struct FetchConfiguration
{
};

/** Names a claim by who made it, which both sides know also when its grant was lost. */
struct ClaimIdentity
{
    NodeLife owner;
    RequestNumber request;
    std::uint32_t attempt = 0;
    auto operator<=>(const ClaimIdentity &) const = default;
};

/** Asks a cell's scheduler for capacity. Answered when it is granted or refused. */
struct ClaimCapacity
{
    NodeLife owner;
    RequestNumber request;
    std::uint32_t attempt = 0;
    TargetName target;
    std::uint32_t cell = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Expected, at most the caller's limit.
    Duration untilDeadline {};      ///< Negative once the first-token target is missed.
    Duration patience {};           ///< Longest wait for the grant.
    std::uint32_t priority = 4;
    bool isContinuation = false;             ///< Resumes an answer already partly delivered.
    std::vector<std::uint64_t> prefixHashes; ///< Of growing prefixes, shortest first.
    std::vector<ServerName> avoid;           ///< Servers that failed this request.

    ClaimIdentity identity() const { return {owner, request, attempt}; }
};

/** The prefill of a claim has ended; asks for the decode server. */
struct PrefillEnded
{
    ClaimNumber claim;
    bool isOk = false;
    Duration elapsed {};
    std::vector<ServerName> avoid;
};

/**
 * The claim is given back, with what was seen of the servers; or withdrawn before its grant was
 * heard of, and then @p claim is none.
 */
struct ReleaseClaim
{
    ClaimNumber claim;
    ClaimIdentity identity;
    TargetName target;
    std::uint32_t cell = 0;
    std::uint32_t tokens = 0; ///< Output tokens of this attempt.
    Duration decodeTime {};   ///< From first to last token.
    bool serverFailed = false;
};

/** A claim that an earlier scheduler of the cell granted, made known to its successor. */
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

/** Asks which of @p requests the receiver still owns. */
struct WhichAreYours
{
    std::vector<EngineRequestName> requests;
};

/** Asks for the receiver's own part of a table that operators query. */
struct FetchRows
{
    std::string kind;
};

using PeerRequest = std::variant<Ping, PingOnBehalf, FetchConfiguration, ClaimCapacity,
                                 PrefillEnded, ReleaseClaim, AdoptClaim, WhichAreYours, FetchRows>;

/** Answer to Ping. */
struct Pong
{
    MemberUpdate from;
    std::vector<MemberUpdate> updates;
    Revision revision;
};

/** Answer to PingOnBehalf. */
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

/** Answer to ClaimCapacity and AdoptClaim. For a plain service @p server is the one to call. */
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

/** Capacity was not given. */
struct NotGranted
{
    enum class Why {
        Overload,     ///< Cannot meet the target, or the queue is full.
        NoServer,     ///< No usable server in the cell.
        NotScheduler, ///< The receiver does not look after the cell.
        UnknownClaim,
    };
    Why why = Why::Overload;
    Duration comeBackAfter {};
};

/** Answer to WhichAreYours. */
struct TheseAreMine
{
    std::vector<EngineRequestName> requests;
};

/** Answer to FetchRows. */
struct Rows
{
    Table table;
};

/** Done, nothing to tell. */
struct Acknowledged
{
};

using PeerReply = std::variant<Pong, ProbeResult, ConfigurationText, Granted, DecodeAssigned,
                               NotGranted, TheseAreMine, Rows, Acknowledged>;

/** No usable answer came: refused, lost, timed out or malformed. */
struct PeerFailed
{
    std::string reason;
    bool isTimeout = false; ///< No answer within the time; the call may have been taken.
};

using PeerOutcome = std::variant<PeerReply, PeerFailed>;

} // namespace indigoway
