#pragma once

#include <indigoway/events.h>
#include <indigoway/ids.h>
#include <indigoway/messages.h>
#include <indigoway/table.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** @file The output of the node's reducer: effects, carried out in order. */
namespace indigoway {

/** Runs the prompt and the part of the answer already sent on a prefill server. */
struct StartPrefill
{
    CallNumber call;
    RequestNumber request;
    EngineRequestName name;
    ServerName server;
    std::string address;
    std::uint32_t answeredTokens = 0; ///< Answer tokens already sent, appended to the prompt.
    bool isFreshConnection = false;   ///< Reusing a stale connection could leave the call in doubt.
};

/** Generates output tokens from the exported result of the prefill. */
struct StartDecode
{
    CallNumber call;
    RequestNumber request;
    EngineRequestName name;
    ServerName server;
    std::string address;
    std::uint32_t answeredTokens = 0;
};

/** Reconnects to a running stream of the same engine. */
struct ResumeDecode
{
    CallNumber call;
    RequestNumber request;
    EngineRequestName name;
    ServerName server;
    std::string address;
    std::uint32_t offset = 0; ///< Number of tokens of this attempt already received.
};

struct CallService
{
    CallNumber call;
    RequestNumber request;
    EngineRequestName name;
    ServerName server;
    std::string address;
    bool isFreshConnection = false;
};

/** Closes the connection of a call whose result is no longer needed. */
struct AbandonCall
{
    CallNumber call;
};

/** Asks an engine to free all resources that it holds for @p request. */
struct CancelOnEngine
{
    ServerName server;
    std::string address;
    EngineRequestName request;
};

/** Asks a backend server for its load and, if @p withRequests is set, its requests. */
struct FetchReport
{
    ServerName server;
    std::string address;
    bool withRequests = false;
};

/** Orders an engine to serve @p version. Must not be sent after @p notAfter. */
struct IssueOrder
{
    ServerName server;
    std::string address;
    std::uint64_t fence = 0;
    std::string model;
    std::string version;
    TimePoint notAfter {};
};

/** Relays all tokens of the current event to the caller. */
struct RelayTokens
{
    RequestNumber request;
    std::uint32_t count = 0;
};

/** Ends an answer that is complete. */
struct FinishAnswer
{
    RequestNumber request;
};

/** Whether a refused request was executed. */
enum class Execution {
    NotExecuted,
    InDoubt,
    Done, ///< An earlier request with the same idempotency key was executed.
};

/** Why a request ends without a complete answer. */
enum class RefusalReason {
    UnknownTarget,
    PromptTooLong,
    KeyRequired,
    TooManyOpen,
    Overload,
    NoServer,
    Leaving,
    StoreUnavailable,
    AlreadyDone,
    AlreadyRunning,
    BackendFailed,
    RejectedByBackend,
    ConfigurationUnknown,
};

/** Ends a request at once, without a complete answer. */
struct RefuseRequest
{
    RequestNumber request;
    RefusalReason reason = RefusalReason::Overload;
    Execution execution = Execution::NotExecuted;
    Duration retryAfter {};
};

struct SendToPeer
{
    PeerCallNumber call;
    NodeName to;
    std::string address;
    PeerRequest request;
    Duration timeout {};
};

struct ReplyToPeer
{
    PeerRequestNumber number;
    PeerReply reply;
};

struct StoreGet
{
    std::string key;
    bool isPrefix = false;
    std::uint32_t limit = 0; ///< 0: no limit.
    bool newestFirst = false;
};

/** One condition of a transaction. */
struct StoreCompare
{
    std::string key;
    std::int64_t modRevision = 0;     ///< Expected; 0: the key is absent. Ignored if value is set.
    std::optional<std::string> value; ///< Expected value.
};

struct StorePut
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/** Applies puts and deletes if all conditions hold, and otherwise reads @p elseGet. */
struct StoreTransaction
{
    std::vector<StoreCompare> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> deletes;
    std::vector<std::string> elseGet;
};

struct StoreGrantLease
{
    Duration timeToLive {};
};

struct StoreKeepAlive
{
    std::int64_t lease = 0;
};

using StoreRequest = std::variant<StoreGet, StoreTransaction, StoreGrantLease, StoreKeepAlive>;

struct CallStore
{
    StoreCallNumber call;
    StoreRequest request;
};

/** The result of an operator's command. */
struct CommandOutcome
{
    enum class Kind {
        Accepted,
        Unchanged,
        SyntaxError,
        Invalid,
        LostRace,
        Unavailable, ///< The store did not answer; nothing was changed.
        InDoubt,     ///< The store did not confirm the write; it may have taken effect.
    };
    Kind kind = Kind::Accepted;
    Revision revision; ///< The resulting revision; for LostRace, the one that won.
    std::string message;
};

struct AnswerCommand
{
    CommandNumber command;
    CommandOutcome outcome;
};

/** Answers an operator's query. */
struct AnswerQuery
{
    CommandNumber command;
    Table table;
    bool asJson = false;
    std::vector<std::string> notes; ///< Such as the nodes that did not answer.
    std::string error;              ///< Set if the query could not be answered.
};

enum class Counter : std::uint8_t {
    RequestsArrived,
    AnswersWhole,
    RequestsRefused,
    RequestsFailed,
    CallersGone,
    PrefillsStarted,
    PrefillsWasted,
    DecodesStarted,
    DecodesResumed,
    Retries,
    CancelsSent,
    CancelsConfirmed,
    Reclaimed,
    ClaimsGranted,
    ClaimsRefused,
    LocalPlacements,
    PeerCalls,
    StoreCalls,
    MembersSuspected,
    MembersDead,
    LateAnswersIgnored,
    Size,
};

struct CountUp
{
    Counter counter = Counter::RequestsArrived;
    std::uint64_t by = 1;
};

enum class Histogram : std::uint8_t {
    FirstToken,
    BetweenTokens,
    QueueWait,
    PrefillTime,
    Size,
};

struct Observe
{
    Histogram histogram = Histogram::FirstToken;
    Duration value {};
};

/** Writes a line to the log. */
struct LogChange
{
    std::string what;
};

/** The node has finished its work; the process can exit. */
struct ShutdownFinished
{
};

using Effect = std::variant<StartPrefill, StartDecode, ResumeDecode, CallService, AbandonCall,
                            CancelOnEngine, FetchReport, IssueOrder, RelayTokens, FinishAnswer,
                            RefuseRequest, SendToPeer, ReplyToPeer, CallStore, AnswerCommand,
                            AnswerQuery, CountUp, Observe, LogChange, ShutdownFinished>;
using Effects = std::vector<Effect>;

} // namespace indigoway
