#pragma once

#include <indigoway/ids.h>
#include <indigoway/messages.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/** @file The input of the node's reducer: events. */
namespace indigoway {

/** The part of a caller's request that the reducer needs; the HTTP layer keeps the body. */
struct RequestSpec
{
    TargetName target;
    bool isService = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0; ///< 0: the target's limit.
    std::optional<std::uint32_t> priority;
    std::optional<Duration> firstToken;
    std::optional<bool> repeatable;
    std::string idempotencyKey;
    std::string organisation;
    std::vector<std::uint64_t> prefixHashes;
};

struct RequestArrived
{
    RequestNumber request;
    RequestSpec spec;
};

/** The caller closed its connection. */
struct CallerGone
{
    RequestNumber request;
};

/** How a call to a backend server ended. */
enum class CallOutcome {
    Whole,        ///< The protocol's end marker was received.
    Truncated,    ///< Connection lost after the request was sent: in doubt.
    NotConnected, ///< No connection was established: not executed.
    Rejected,     ///< The server did not run it (full, draining, status 429 or 503).
    Invalid,      ///< The server reported an error in the request (other 4xx status).
    Crossed,      ///< The answer belongs to another request.
    TimedOut,
    NotFound, ///< The engine no longer has the stream or the prefill result.
};

struct PrefillFinished
{
    CallNumber call;
    CallOutcome outcome = CallOutcome::Whole;
};

/** Output tokens of a decode call, in order. @p offset is the first one's index in the attempt. */
struct TokensArrived
{
    CallNumber call;
    std::uint32_t offset = 0;
    std::uint32_t count = 0;
};

struct DecodeFinished
{
    CallNumber call;
    CallOutcome outcome = CallOutcome::Whole;
};

/** A call to a plain service has ended, with a complete answer or a failure. */
struct ServiceFinished
{
    CallNumber call;
    CallOutcome outcome = CallOutcome::Whole;
};

/** The result of CancelOnEngine. */
struct CancelFinished
{
    ServerName server;
    EngineRequestName request;
    bool isConfirmed = false;
};

/** A backend server's report of its load and its requests, which may be outdated. */
struct ReportArrived
{
    ServerName server;
    bool isOk = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::vector<EngineRequestName> requests;
    std::string version; ///< Of the model that is served; empty if not reported.
};

/** The result of IssueOrder. */
struct OrderFinished
{
    ServerName server;
    std::uint64_t fence = 0;
    bool isAccepted = false;
};

/** Prefixes added to or evicted from a server's cache. May be late or incomplete. */
struct CacheEventsArrived
{
    ServerName server;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
};

struct PeerRequestArrived
{
    PeerRequestNumber number;
    PeerRequest request;
};

struct PeerAnswered
{
    PeerCallNumber call;
    PeerOutcome outcome;
};

/** A key with its value and the store's modification revision. */
struct StoreEntry
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

/** An answer of the store. @p isApplied tells whether a transaction's conditions held. */
struct StoreResult
{
    bool isApplied = false;
    std::vector<StoreEntry> entries;
    std::int64_t lease = 0;
};

/** The store did not answer; the call may have taken effect. */
struct StoreFailed
{
    std::string reason;
};

struct StoreAnswered
{
    StoreCallNumber call;
    std::variant<StoreResult, StoreFailed> outcome;
};

/** An operator's command that changes the configuration. */
struct CommandArrived
{
    CommandNumber command;
    std::string text;
    std::string who;
    std::string when; ///< Wall-clock time (RFC 3339), only for the change history.
    std::optional<Revision> expected;
    bool isWholeDeployment = false; ///< The text replaces the whole deployment.
};

/** An operator's query. */
struct QueryArrived
{
    CommandNumber command;
    std::string text;
};

/** A request to shut the node down. */
struct ShutdownRequested
{
};

/** Runs the timers that are due. */
struct Tick
{
};

using Event = std::variant<RequestArrived, CallerGone, PrefillFinished, TokensArrived,
                           DecodeFinished, ServiceFinished, CancelFinished, ReportArrived,
                           OrderFinished, CacheEventsArrived, PeerRequestArrived, PeerAnswered,
                           StoreAnswered, CommandArrived, QueryArrived, ShutdownRequested, Tick>;

} // namespace indigoway
