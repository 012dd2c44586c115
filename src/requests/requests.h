#pragma once

#include "core/deadlines.h"
#include "placement/localplacement.h"
#include "requests/cancels.h"
#include "requests/capacityclaims.h"
#include "requests/reservations.h"
#include "requests/retrybudget.h"

#include <indigoway/effects.h>
#include <indigoway/events.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace indigoway {

class Turn;

/** The stages of a request between its arrival and its end. */
enum class RequestStage {
    Reserving, ///< Its idempotency key is being created in the store.
    Queued,    ///< Waiting for capacity.
    Prefilling,
    Assigning, ///< Prefilled; waiting for a decode server.
    Decoding,  ///< The KV cache is transferred and tokens are generated.
    Resuming,  ///< The stream was interrupted and will be resumed.
    Waiting,   ///< Waiting for a retry.
    Serving,   ///< Running on a plain service.
};

/** A request as shown to operators. */
struct RequestView
{
    RequestNumber request;
    TargetName target;
    std::string organisation;
    RequestStage stage = RequestStage::Queued;
    Duration age {};
    std::uint32_t tokens = 0;
    ServerName server;
};

/** Returns the name of @p stage in the answers to operators. */
std::string stageName(RequestStage stage);

/** Selects who places requests on servers. */
enum class PlacementMode {
    Scheduled, ///< The cell's scheduler, or this node while the scheduler is unreachable.
    Local,     ///< Always this node, without quotas; used by the benchmarks' baselines.
};

/** Limits per node. */
struct RequestLimits
{
    std::size_t mostOpen = 4000; ///< Requests that are open at the same time.
};

/**
 * Runs the requests that arrive at this node, from arrival to end. A request ends with exactly one
 * FinishAnswer or RefuseRequest effect, unless its caller disconnects first.
 */
class Requests
{
public:
    Requests(PlacementMode mode, LocalPolicy policy, RequestLimits limits);

    void handleArrival(Turn &turn, const RequestArrived &event);
    void handleCallerGone(Turn &turn, const CallerGone &event);
    void handlePrefillFinished(Turn &turn, const PrefillFinished &event);
    void handleTokens(Turn &turn, const TokensArrived &event);
    void handleDecodeFinished(Turn &turn, const DecodeFinished &event);
    void handleServiceFinished(Turn &turn, const ServiceFinished &event);
    void handleCancelFinished(Turn &turn, const CancelFinished &event);
    void handleReport(const ReportArrived &event) { m_localPlacement.applyReport(event); }
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    void storeAnswered(Turn &turn, const StoreAnswered &answer);
    void handleMembersChanged(Turn &turn);
    void handleSilentScheduler(Turn &turn, const NodeName &node);
    /** Cancels and retries the requests on servers that operators have stopped or removed. */
    void handleConfigurationChanged(Turn &turn);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const;

    /** Refuses all requests that arrive from now on. */
    void leave() { m_isLeaving = true; }
    /** Cancels the orphaned request @p name on @p server. */
    void reclaim(Turn &turn, const ServerName &server, const EngineRequestName &name);
    /** Returns whether @p name is the current attempt of an open request of this node. */
    bool owns(const EngineRequestName &name) const;
    std::size_t open() const { return m_requests.size(); }
    /** Returns the number of requests, cancels and reservations that must end before shutdown. */
    std::size_t unfinished() const;
    std::vector<RequestView> views(TimePoint now) const;
    std::set<NodeName> takeSchedulersToProbe() { return m_claims.takeSchedulersToProbe(); }

private:
    struct Request
    {
        RequestSpec spec;
        RequestStage stage = RequestStage::Queued;
        TimePoint arrived {};
        TimePoint deadline {}; ///< For the first token.
        TimePoint giveUpAt {}; ///< End of the patience; no retry starts later.
        std::uint32_t priority = 4;
        std::uint32_t maxOutputTokens = 0;
        bool isRepeatable = true;
        bool isReserved = false;
        bool wasDispatched = false;       ///< A server may have executed part of it.
        bool wasDispatchedBefore = false; ///< Value of wasDispatched before the current call.
        bool isPlacedLocally = false;     ///< Placed without the scheduler.
        std::uint32_t attempt = 0;
        std::uint32_t failures = 0;
        std::uint32_t resumes = 0;
        std::uint32_t engineRejections = 0;      ///< By engines without free capacity.
        std::uint32_t wrongSchedulerReplies = 0; ///< From nodes that do not schedule the cell.
        CallNumber call;
        ServerName prefill;
        ServerName decode;
        std::vector<ServerName> avoid;
        std::uint32_t deliveredTokens = 0;        ///< Tokens sent to the caller.
        std::uint32_t deliveredBeforeAttempt = 0; ///< Of these, before this attempt.
        std::uint32_t attemptTokens = 0;          ///< Tokens received in this attempt.
        TimePoint callStarted {};
        TimePoint lastProgress {};
        TimePoint firstToken {};
        TimePoint attemptFirstToken {};
    };
    using Table = std::map<RequestNumber, Request>;
    enum class Timer {
        Stall, ///< Checks whether the call makes progress.
        Retry,
    };
    using TimerKey = std::pair<Timer, RequestNumber>;

    Request *requestOf(CallNumber call, RequestNumber *number);
    EngineRequestName engineNameOf(const Turn &turn, RequestNumber number,
                                   const Request &request) const;
    void requestCapacity(Turn &turn, RequestNumber number, Request &request);
    void handleResult(Turn &turn, const ClaimResult &result);
    void handleResult(Turn &turn, const ClaimGranted &granted);
    void handleResult(Turn &turn, const DecodeChosen &chosen);
    void handleResult(Turn &turn, const ClaimRefused &refused);
    void handleResult(Turn &turn, const SchedulerUnreachable &unreachable);
    void handleReservation(Turn &turn, const ReservationResult &result);
    void placeLocally(Turn &turn, RequestNumber number, Request &request);
    std::optional<ServerName> chooseLocally(Turn &turn, const Request &request, Role role);
    void startPrefill(Turn &turn, RequestNumber number, Request &request);
    void startDecode(Turn &turn, RequestNumber number, Request &request);
    void startService(Turn &turn, RequestNumber number, Request &request);
    void resume(Turn &turn, RequestNumber number, Request &request);
    void beginCall(Turn &turn, RequestNumber number, Request &request, RequestStage stage);
    void abandonCall(Turn &turn, Request &request);
    void handlePrefillFailure(Turn &turn, RequestNumber number, CallOutcome outcome);
    void handleDecodeFailure(Turn &turn, RequestNumber number, CallOutcome outcome);
    void retryOrRefuse(Turn &turn, RequestNumber number, const ServerName &failed,
                       bool isNotExecuted);
    void handleStall(Turn &turn, RequestNumber number);
    void handleRetry(Turn &turn, RequestNumber number);
    void finish(Turn &turn, RequestNumber number);
    void refuse(Turn &turn, RequestNumber number, RefusalReason reason, Duration retryAfter);
    /** Releases the request's call, claim, timers and engine memory. */
    void releaseResources(Turn &turn, RequestNumber number, Request &request, bool serverFailed);
    void cancelAttempt(Turn &turn, RequestNumber number, const Request &request);
    Duration stallLimit(const Request &request) const;

    PlacementMode m_mode;
    RequestLimits m_limits;
    Table m_requests;
    std::map<CallNumber, RequestNumber> m_calls;
    CapacityClaims m_claims;
    Cancels m_cancels;
    Reservations m_reservations;
    RetryBudget m_retryBudget;
    LocalPlacement m_localPlacement;
    Deadlines<TimerKey> m_timers;
    std::optional<NodeLife> m_life;
    bool m_isLeaving = false;
};

} // namespace indigoway
