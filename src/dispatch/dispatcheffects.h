#pragma once

#include "quotas/quotamessages.h"
#include "scheduling/schedulermessages.h"

#include <indigoway/announcedserver.h>
#include <indigoway/crashnote.h>
#include <indigoway/ids.h>
#include <indigoway/organisation.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace indigoway::dispatch {

enum class CallKind {
    Plain,      ///< A whole request to a plain service.
    Reserve,    ///< Asks a decode engine to keep a slot and memory free.
    Unreserve,  ///< Gives a reservation back.
    Prefill,    ///< The prompt only; its KV cache stays under a handle.
    FreeHandle, ///< Gives a prefill's KV cache back.
    Decode,     ///< Streams, from a prefill's KV cache.
    Whole,      ///< Prefill and decode on one decode engine.
    Report,     ///< Asks an engine how many orders it has taken.
    Order,      ///< Has an engine change its phase.
    Probe,      ///< Only a connection: a server that has ended takes none.
};

/** A call to one backend server. CallEnded follows, once, unless it is abandoned. */
struct StartCall
{
    CallNumber call;
    RequestNumber request; ///< Whose bytes it carries; none for calls that belong to no request.
    CallKind kind = CallKind::Plain;
    ServerName server;
    std::string instance; ///< A server that calls itself otherwise does not run the call.
    std::string address;
    OrganisationName organisation; ///< On whose behalf; empty: nobody's.
    Duration patience {};          ///< Handed on: how long the answer is waited for.
    Duration silentFor {};         ///< Broken if the server sends nothing for so long; 0: no bound.
    bool needsNewConnection = false;   ///< A kept one may die as the request is written.
    std::uint32_t connectionsKept = 1; ///< To its server, by this node, at the most.
    std::uint64_t reserveTokens = 0;
    Duration reserveFor {};
    std::string reservation;   ///< Reserve's result: for Decode, Whole and Unreserve.
    std::string handle;        ///< Prefill's result: for Decode and FreeHandle.
    std::string handleAddress; ///< Where the handle is.
    bool goesOn = false;       ///< After the last event that the caller was passed.
    EnginePhase orderedPhase = EnginePhase::None;
    std::uint64_t fencingToken = 0; ///< Of an Order: rises with each holder of the right.
    std::uint64_t ordersTaken = 0;  ///< Of an Order: it is void if the engine took another one.
};

/** Closes the call's connection; what still comes of it is dropped. */
struct AbandonCall
{
    CallNumber call;
};

/** The call's whole answer goes to the caller as it is. */
struct DeliverAnswer
{
    RequestNumber request;
    CallNumber call;
};

/** The call's events go to the caller as they arrive. */
struct ForwardStream
{
    RequestNumber request;
    CallNumber call;
};

/** The stream ends in good order. */
struct EndStream
{
    RequestNumber request;
};

/** The connection is closed in the middle of the answer: the caller sees that it is not whole. */
struct BreakStream
{
    RequestNumber request;
};

/** The system's own answer. */
struct RejectRequest
{
    RequestNumber request;
    int status = 503;
    std::optional<Duration> retryAfter;
    std::string reason;
};

/** A datagram to the node that schedules the engines, if one is known; it may be lost. */
struct TellScheduler
{
    scheduling::ToScheduler message;
};

/** A datagram to the node that keeps the quotas, if one is known; it may be lost. */
struct TellQuotaKeeper
{
    quotas::ToKeeper message;
};

/** All nodes are to know of it, also those that start later. */
struct ShareCrash
{
    CrashNote note;
};

/** A line for the log: a decision with what it rests on. */
struct RecordDecision
{
    std::string kind; ///< A word per kind of decision; the volume is bounded for each.
    std::string callerId;
    std::string detail;
};

enum class RequestOutcome {
    Served,
    ServerFailed, ///< The server's own failure was passed on.
    Rejected,     ///< Not run.
    OverQuota,    ///< Not run: its organisation has used up what it may.
    Failed,       ///< In doubt, or cut.
    CallerLeft,
};

/** A request has ended; for counters and histograms. */
struct RequestEnded
{
    RequestOutcome outcome = RequestOutcome::Served;
    bool isGeneration = false;
    OrganisationName organisation; ///< Empty: nobody's.
    Duration untilFirst {};        ///< Arrival to the (first piece of the) answer.
    Duration whole {};
};

using DispatchEffect = std::variant<StartCall, AbandonCall, DeliverAnswer, ForwardStream, EndStream,
                                    BreakStream, RejectRequest, TellScheduler, TellQuotaKeeper,
                                    ShareCrash, RecordDecision, RequestEnded>;
using DispatchEffects = std::vector<DispatchEffect>;

} // namespace indigoway::dispatch
