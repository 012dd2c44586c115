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

/** @file What a node wants done: the reducer's output, carried out in order. */
namespace indigoway {

/** Runs the prompt, and what was already answered, on a prefill server. */
struct StartPrefill
{
    CallNumber call;
    RequestNumber request;
    EngineRequestName name;
    ServerName server;
    std::string address;
    std::uint32_t answeredTokens = 0; ///< Tokens of the answer to append to the prompt.
    bool isFreshConnection = false;   ///< Never reuse one: a stale one would be in doubt.
};

/** Generates from the prefill's exported result. */
struct StartDecode
{
    CallNumber call;
    RequestNumber request;
    EngineRequestName name;
    ServerName server;
    std::string address;
    std::uint32_t answeredTokens = 0;
};

/** Attaches again to a running stream of the same engine. */
struct ResumeDecode
{
    CallNumber call;
    RequestNumber request;
    EngineRequestName name;
    ServerName server;
    std::string address;
    std::uint32_t offset = 0; ///< Tokens of this attempt already here.
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

/** Closes the call's connection; nothing more is wanted of it. */
struct AbandonCall
{
    CallNumber call;
};

/** Asks an engine to free all it holds for @p request. */
struct CancelOnEngine
{
    ServerName server;
    std::string address;
    EngineRequestName request;
};

/** Asks a backend server for its load and its requests. */
struct FetchReport
{
    ServerName server;
    std::string address;
    bool withRequests = false;
};

/** Orders an engine to serve @p version; not to be sent after @p notAfter. */
struct IssueOrder
{
    ServerName server;
    std::string address;
    std::uint64_t fence = 0;
    std::string model;
    std::string version;
    TimePoint notAfter {};
};

/** Passes the tokens of the event, all of them, to the caller. */
struct RelayTokens
{
    RequestNumber request;
    std::uint32_t count = 0;
};

/** The answer is whole: ends it. */
struct FinishAnswer
{
    RequestNumber request;
};

/** What a caller may conclude from a refusal. */
enum class Execution {
    NotExecuted,
    InDoubt,
    Done, ///< An earlier request with the same key was executed.
};

/** Why a request ends without a whole answer. */
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

/** Ends the request without a whole answer; at once. */
struct RefuseRequest
{
    RequestNumber request;
    RefusalReason reason = RefusalReason::Overload;
    Execution execution = Execution::NotExecuted;
    Duration comeBackAfter {};
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
    std::uint32_t limit = 0; ///< 0: all.
    bool newestFirst = false;
};

/** One condition of a transaction. */
struct StoreCompare
{
    std::string key;
    std::int64_t modRevision = 0;     ///< The key's; 0 means absent. Not compared with a value.
    std::optional<std::string> value; ///< If given, what the key must hold.
};

struct StorePut
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/** Puts and deletes if all conditions hold; else reads @p elseGet. */
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

/** How an operator's command ended. */
struct CommandOutcome
{
    enum class Kind {
        Accepted,
        Unchanged,
        SyntaxError,
        Invalid,
        LostRace,
        Unavailable, ///< The store is away; certainly nothing was changed.
        InDoubt,     ///< The store went away in the middle; ask for the revision again.
    };
    Kind kind = Kind::Accepted;
    Revision revision; ///< Made, or lost to.
    std::string message;
};

struct AnswerCommand
{
    CommandNumber command;
    CommandOutcome outcome;
};

/** A query's answer. */
struct AnswerQuery
{
    CommandNumber command;
    Table table;
    bool asJson = false;
    std::vector<std::string> notes; ///< Such as the nodes that did not answer.
    std::string error;              ///< Not empty: the query could not be answered.
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

/** A change of state worth a line in the log. */
struct LogChange
{
    std::string what;
};

/** The node has finished all it had; the process may end. */
struct ShutdownFinished
{
};

using Effect = std::variant<StartPrefill, StartDecode, ResumeDecode, CallService, AbandonCall,
                            CancelOnEngine, FetchReport, IssueOrder, RelayTokens, FinishAnswer,
                            RefuseRequest, SendToPeer, ReplyToPeer, CallStore, AnswerCommand,
                            AnswerQuery, CountUp, Observe, LogChange, ShutdownFinished>;
using Effects = std::vector<Effect>;

} // namespace indigoway
