#pragma once

#include <indigoway/ids.h>
#include <indigoway/messages.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/** @file What happens to a node: the reducer's input. */
namespace indigoway {

/** A caller's request as the reducer sees it; the body stays with the HTTP side. */
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
    Whole,        ///< The protocol's own last marker was seen.
    Truncated,    ///< Broke off after the request was written: in doubt.
    NotConnected, ///< The connection was never made: certainly not executed.
    Rejected,     ///< The server answered that it did not run it (full, draining, 429, 503).
    Invalid,      ///< The server answered that the request is at fault (other 4xx).
    Crossed,      ///< The answer carries another request's name.
    TimedOut,
    NotFound, ///< The engine no longer has the stream or the prefill's result.
};

struct PrefillFinished
{
    CallNumber call;
    CallOutcome outcome = CallOutcome::Whole;
};

/** Output tokens of a decode call, in order; @p offset counts within the call's attempt. */
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

/** A plain service's whole answer is there, or will not come. */
struct ServiceFinished
{
    CallNumber call;
    CallOutcome outcome = CallOutcome::Whole;
};

/** Answer to CancelOnEngine. */
struct CancelFinished
{
    ServerName server;
    EngineRequestName request;
    bool isConfirmed = false;
};

/** A backend server's report: its load and the requests it holds. May lag. */
struct ReportArrived
{
    ServerName server;
    bool isOk = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::vector<EngineRequestName> requests;
    std::string version; ///< Of the model it serves; empty if it did not say.
};

/** Answer to IssueOrder. */
struct OrderFinished
{
    ServerName server;
    std::uint64_t fence = 0;
    bool isAccepted = false;
};

/** Prefixes that a server's cache took in or dropped. Late, and some are missing. */
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

/** The store answered. @p isApplied: whether the transaction's conditions held. */
struct StoreResult
{
    bool isApplied = false;
    std::vector<StoreEntry> entries;
    std::int64_t lease = 0;
};

/** No answer: it may have taken effect. */
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
    std::string when; ///< Wall clock, RFC 3339; for the record only.
    std::optional<Revision> expected;
    bool isWholeDeployment = false; ///< The text is a whole deployment's declarations.
};

/** An operator's query. */
struct QueryArrived
{
    CommandNumber command;
    std::string text;
};

/** The node is asked to leave. */
struct ShutdownRequested
{
};

/** Time has passed; due timers are run. */
struct Tick
{
};

using Event = std::variant<RequestArrived, CallerGone, PrefillFinished, TokensArrived,
                           DecodeFinished, ServiceFinished, CancelFinished, ReportArrived,
                           OrderFinished, CacheEventsArrived, PeerRequestArrived, PeerAnswered,
                           StoreAnswered, CommandArrived, QueryArrived, ShutdownRequested, Tick>;

} // namespace indigoway
