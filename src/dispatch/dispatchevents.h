#pragma once

#include "admission/admission.h"
#include "quotas/quotamessages.h"
#include "scheduling/schedulermessages.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace indigoway::dispatch {

/** What a caller asks for, as far as it matters for where and when it is served. */
struct ArrivedRequest
{
    RequestNumber request;
    std::string callerId; ///< The caller's own name for this attempt; for logs.
    ContentId content;
    std::string host;
    std::string path;                 ///< With its query.
    std::optional<Duration> patience; ///< How long the caller waits at the most.
    std::uint32_t promptTokens = 0;   ///< 0 if it is not a generation.
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> likelyOutputTokens; ///< The caller's own estimate.
    bool isContinuation = false; ///< Goes on after an event that the caller has already.
    bool isLastOnConnection = false;
    Credentials credentials;
    /** How old this node's copy of the desired state may be by now; nothing: not known. */
    std::optional<Duration> copyAge;
};

/** The caller has closed its connection; nobody waits for the answer any more. */
struct CallerLeft
{
    RequestNumber request;
};

/** How a call to a backend server ended. */
enum class CallEnd {
    NotConnected, ///< Nothing of it was sent.
    NotExecuted,  ///< The server says that it did not and will not run it.
    Complete,     ///< The server's whole answer is there.
    Broken,       ///< Ended early, or with bytes that are no answer: it may have been run.
};

/** Requests at a server, as it tells with an answer. */
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/** A stream's first event is there; the call goes on. */
struct StreamBegan
{
    CallNumber call;
    int status = 0;
    std::optional<ServerLoad> load;
};

/** What an engine says of itself; some hundred milliseconds old. */
struct EngineReport
{
    bool isCarryingOutOrder = false;
    std::uint64_t ordersTaken = 0; ///< By this life of it.
    std::uint64_t startedAt = 0;   ///< Of this life; 0 if it does not tell.
};

struct CallEnded
{
    CallNumber call;
    CallEnd end = CallEnd::Broken;
    int status = 0; ///< 0 if there was no answer.
    std::optional<ServerLoad> load;
    std::string reservation;            ///< Of a Reserve that was granted.
    std::string handle;                 ///< Of a Prefill that was done.
    std::optional<EngineReport> report; ///< Of a Report that was answered.
    std::uint32_t events = 0;           ///< Whole events of the stream that were passed on.
    bool isConnectionLost = false;      ///< Of a Broken call: closed or reset by the server's side.
    std::string why;                    ///< For logs, where it did not end well.
};

/** The node that schedules the engines has answered a claim. */
struct SchedulerAnswered
{
    scheduling::FromScheduler message;
    Incarnation life; ///< Of the scheduler.
};

/** The node that keeps the quotas has told something. */
struct QuotaKeeperAnswered
{
    quotas::FromKeeper message;
    Incarnation life; ///< Of the keeper.
};

/** Time has passed. */
struct TimePassed
{
};

using DispatchEvent = std::variant<ArrivedRequest, CallerLeft, StreamBegan, CallEnded,
                                   SchedulerAnswered, QuotaKeeperAnswered, TimePassed>;

} // namespace indigoway::dispatch
