#pragma once

#include "admission/admission.h"
#include "origins/originmessages.h"
#include "origins/storedorigins.h"
#include "quotas/quotamessages.h"
#include "ratelimits/ratelimitmessages.h"
#include "scheduling/schedulermessages.h"
#include "slots/slotmessages.h"

#include <indigoway/crashnote.h>
#include <indigoway/ids.h>
#include <indigoway/promptpart.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace indigoway::dispatch {

/** Describes a new request as far as routing and scheduling need it. */
struct ArrivedRequest
{
    RequestNumber request;
    std::string callerId; ///< The caller's id of this attempt, for logs.
    ContentId content;
    std::string host;
    std::string path;                 ///< Includes the query.
    std::optional<Duration> patience; ///< Maximum time the caller waits.
    std::uint32_t promptTokens = 0;   ///< 0 if the request is not a generation.
    /** Parts of the prompt that other requests may share, in order, each once. */
    std::vector<PartId> sharedParts;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> likelyOutputTokens; ///< Estimate provided by the caller.
    bool isContinuation = false; ///< Resumes after an event that the caller has received.
    /**
     * Id of the attempt that brought the first event of the resumed stream; empty if it is invalid,
     * nothing if the caller names none.
     */
    std::optional<std::string> resumedId;
    bool isLastOnConnection = false;
    Credentials credentials;
    /** Upper bound of the age of the node's configuration; nothing if unknown. */
    std::optional<Duration> copyAge;
};

/** Signals that the caller has closed its connection. */
struct CallerLeft
{
    RequestNumber request;
};

/** Result of a call to a backend server. */
enum class CallEnd {
    NotConnected, ///< Nothing was sent: the server accepts no connection from any node.
    /** Nothing was sent: this node cannot connect, which says nothing of the server. */
    NoPath,
    NotExecuted, ///< The server states that it did not and will not execute the request.
    Complete,    ///< The answer is complete.
    Broken,      ///< Aborted early or malformed: the request may have been executed.
    /**
     * Ended at another node that had opened the connection, or closed after it had not been read
     * for long: the request may have been executed, and nothing is known of the server.
     */
    PathLost,
};

/** Returns whether nothing was sent to the server. */
inline bool isUnsent(CallEnd end)
{
    return end == CallEnd::NotConnected || end == CallEnd::NoPath;
}

/** Returns whether the request was sent and its answer did not arrive whole. */
inline bool isCutShort(CallEnd end)
{
    return end == CallEnd::Broken || end == CallEnd::PathLost;
}

using slots::ServerLoad;

/** What a server says about itself in the headers of an answer. */
struct ServerAdvice
{
    /** Requests a second that the server accepts from all nodes together; nothing for no limit. */
    std::optional<double> requestsPerSecond = {};
    bool isLeaving = false; ///< The server shuts down and wants no new requests.
    /** Time for which the server wants no requests from this node; only in a refusal. */
    std::optional<Duration> pause = {};
};

/** Signals the first event of a stream; the call continues. */
struct StreamStarted
{
    CallNumber call;
    int status = 0;
    std::optional<ServerLoad> load = {};
    std::optional<ServerAdvice> advice = {};
};

/** Signals that a call with a silence limit got no data for that time; the call continues. */
struct StreamSilent
{
    CallNumber call;
    std::uint32_t events = 0; ///< Complete stream events that were forwarded.
    /** This node does not reach the server itself any more, while other nodes do. */
    bool isPathLost = false;
};

/** Reports the events of a forwarded stream; the call continues. */
struct StreamProgress
{
    CallNumber call;
    std::uint32_t events = 0; ///< Complete stream events that were forwarded.
};

/** Status reported by an engine, a few hundred milliseconds old. */
struct EngineReport
{
    bool isExecutingOrder = false;
    std::uint64_t ordersTaken = 0; ///< Orders accepted since the engine started.
    std::uint64_t startedAt = 0;   ///< Start time of the engine process; 0 if not reported.
};

struct CallEnded
{
    CallNumber call;
    CallEnd end = CallEnd::Broken;
    int status = 0; ///< 0 if there was no answer.
    std::optional<ServerLoad> load;
    bool isLoadMalformed = false; ///< The server reported a load that cannot be read.
    /** Nothing if the server sent no answer, or if StreamStarted carried its advice. */
    std::optional<ServerAdvice> advice;
    std::string reservation;            ///< Of a Reserve that was granted.
    std::string handle;                 ///< Of a Prefill that succeeded, or of a stopped run.
    std::optional<EngineReport> report; ///< Of a Report that was answered.
    std::uint32_t events = 0;           ///< Complete stream events that were forwarded.
    bool isConnectionLost = false;      ///< For Broken: the server closed or reset the connection.
    /** For Complete: nothing but the orderly close of the connection says that this is all. */
    bool isEndedByClose = false;
    /** For Complete: framing ended a stream that continues another one, without an event. */
    bool isEmptyRest = false;
    /** Time since the call was started, by a clock that also counts the suspension of the VM. */
    Duration lasted {};
    /** For NotConnected: no process listens at the server's address any more. */
    bool isRefused = false;
    NodeName relay; ///< The node that opened the connection; empty for this one.
    /** This node does not reach the server itself, so that a failure may be its own. */
    bool isPathSuspect = false;
    std::string reason; ///< Failure reason, for logs.
};

/** Carries an answer of the scheduler node. */
struct SchedulerAnswered
{
    scheduling::FromScheduler message;
    Incarnation life; ///< Of the scheduler.
};

/** Carries a message of the quota keeper. */
struct QuotaKeeperAnswered
{
    quotas::FromKeeper message;
    Incarnation life; ///< Of the quota keeper.
};

/** Carries a message of the rate limiter. */
struct RateLimiterAnswered
{
    ratelimits::FromRateLimiter message;
};

/** Carries a message of the scheduler of plain services. */
struct PlainSchedulerAnswered
{
    slots::FromPlainScheduler message;
    Incarnation life; ///< Of the scheduler.
};

/** Carries a message of another node about the origin of a stream. */
struct OriginMessageArrived
{
    NodeName from;
    origins::OriginMessage message;
};

/** Answers ReadStoredOrigins. */
struct StoredOriginsRead
{
    std::optional<origins::StoredOrigins> found; ///< Nothing if the store did not answer.
};

/** Carries series of crashes that another node has sent. */
struct PartCrashesArrived
{
    std::vector<PartCrashNote> notes;
};

/** Signals that a deadline may have passed. */
struct TimePassed
{
};

using DispatchEvent =
    std::variant<ArrivedRequest, CallerLeft, StreamStarted, StreamSilent, StreamProgress, CallEnded,
                 SchedulerAnswered, QuotaKeeperAnswered, RateLimiterAnswered,
                 PlainSchedulerAnswered, OriginMessageArrived, StoredOriginsRead,
                 PartCrashesArrived, TimePassed>;

} // namespace indigoway::dispatch
