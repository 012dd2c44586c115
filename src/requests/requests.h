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

/** Where a request is between its arrival and its one end. */
enum class RequestStage {
    Reserving, ///< Its key is being created in the store.
    Queued,    ///< Waits for capacity.
    Prefilling,
    Assigning, ///< Prefilled; waits to be told its decode server.
    Decoding,  ///< The KV cache is transferred and tokens are generated.
    Resuming,  ///< The stream broke off; it will be attached to again.
    Waiting,   ///< Waits before another try.
    Serving,   ///< A plain service has it.
};

/** A request as operators see it. */
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

/** Stage's name in operators' answers. */
std::string stageName(RequestStage stage);

/** How requests find their servers. */
enum class PlacementMode {
    Granted, ///< By the cell's scheduler; alone only while that cannot be reached.
    Alone,   ///< Always alone, without quotas: the measurements' baselines.
};

/** Limits of one node. */
struct RequestLimits
{
    std::size_t mostOpen = 4000; ///< Requests open at a time.
};

/**
 * The life of each request that came to this node. A request has one end: FinishAnswer or
 * RefuseRequest is added to the effects once, and nothing for it after that.
 */
class Requests
{
public:
    Requests(PlacementMode mode, LocalPolicy policy, RequestLimits limits);

    void arrived(Turn &turn, const RequestArrived &event);
    void callerGone(Turn &turn, const CallerGone &event);
    void prefillFinished(Turn &turn, const PrefillFinished &event);
    void tokensArrived(Turn &turn, const TokensArrived &event);
    void decodeFinished(Turn &turn, const DecodeFinished &event);
    void serviceFinished(Turn &turn, const ServiceFinished &event);
    void cancelFinished(Turn &turn, const CancelFinished &event);
    void report(const ReportArrived &event) { m_local.report(event); }
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome);
    void storeAnswered(Turn &turn, const StoreAnswered &answer);
    void membersChanged(Turn &turn);
    void schedulerSilent(Turn &turn, const NodeName &node);
    /** Cancels what runs on servers that operators have stopped or removed. */
    void configurationChanged(Turn &turn);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const;

    /** No request is taken from now on. */
    void leave() { m_isLeaving = true; }
    /** Frees what an engine holds for a request that nobody owns. */
    void reclaim(Turn &turn, const ServerName &server, const EngineRequestName &name);
    /** Whether @p name is an attempt that this node still wants. */
    bool owns(const EngineRequestName &name) const;
    std::size_t open() const { return m_requests.size(); }
    /** Work that must be done before the process may end. */
    std::size_t unfinished() const;
    std::vector<RequestView> views(TimePoint now) const;
    std::set<NodeName> takeDoubted() { return m_claims.takeDoubted(); }

private:
    struct Request
    {
        RequestSpec spec;
        RequestStage stage = RequestStage::Queued;
        TimePoint arrived {};
        TimePoint deadline {}; ///< For the first token.
        TimePoint giveUpAt {}; ///< For being served at all.
        std::uint32_t priority = 4;
        std::uint32_t maxOutputTokens = 0;
        bool isRepeatable = true;
        bool isReserved = false;
        bool wasDispatched = false;       ///< A server may have run some of it.
        bool wasDispatchedBefore = false; ///< The same, before the current call.
        bool isAlone = false;             ///< Placed by this node itself.
        std::uint32_t attempt = 0;
        std::uint32_t failures = 0;
        std::uint32_t resumes = 0;
        std::uint32_t refusals = 0;     ///< By engines that were full.
        std::uint32_t strayAnswers = 0; ///< By nodes that do not schedule the cell.
        CallNumber call;
        ServerName prefill;
        ServerName decode;
        std::vector<ServerName> avoid;
        std::uint32_t answered = 0; ///< Tokens that the caller was given.
        std::uint32_t base = 0;     ///< Of these, before this attempt.
        std::uint32_t received = 0; ///< Tokens of this attempt.
        TimePoint callStarted {};
        TimePoint progress {};
        TimePoint firstToken {};
        TimePoint attemptFirstToken {};
    };
    using Table = std::map<RequestNumber, Request>;
    enum class Timer {
        Stall, ///< A call makes no progress.
        Retry,
    };
    using TimerKey = std::pair<Timer, RequestNumber>;

    Request *requestOf(CallNumber call, RequestNumber *number);
    EngineRequestName nameOf(const Turn &turn, RequestNumber number, const Request &request) const;
    void seekCapacity(Turn &turn, RequestNumber number, Request &request);
    void handleResult(Turn &turn, const ClaimResult &result);
    void handleResult(Turn &turn, const ClaimGranted &granted);
    void handleResult(Turn &turn, const DecodeChosen &chosen);
    void handleResult(Turn &turn, const ClaimRefused &refused);
    void handleResult(Turn &turn, const SchedulerUnreachable &unreachable);
    void handleReservation(Turn &turn, const ReservationResult &result);
    void placeAlone(Turn &turn, RequestNumber number, Request &request);
    std::optional<ServerName> chooseAlone(Turn &turn, const Request &request, Role role);
    void startPrefill(Turn &turn, RequestNumber number, Request &request);
    void startDecode(Turn &turn, RequestNumber number, Request &request);
    void startService(Turn &turn, RequestNumber number, Request &request);
    void resume(Turn &turn, RequestNumber number, Request &request);
    void newCall(Turn &turn, RequestNumber number, Request &request, RequestStage stage);
    void dropCall(Turn &turn, Request &request);
    void prefillFailed(Turn &turn, RequestNumber number, CallOutcome outcome);
    void decodeFailed(Turn &turn, RequestNumber number, CallOutcome outcome);
    void tryAgain(Turn &turn, RequestNumber number, const ServerName &failed, bool isCertain);
    void stalled(Turn &turn, RequestNumber number);
    void retryDue(Turn &turn, RequestNumber number);
    void finish(Turn &turn, RequestNumber number);
    void refuse(Turn &turn, RequestNumber number, RefusalReason reason, Duration retryAfter);
    /** Ends the request's calls, claims and engine memory. */
    void letGo(Turn &turn, RequestNumber number, Request &request, bool serverFailed);
    void cancelAttempt(Turn &turn, RequestNumber number, const Request &request);
    Duration stallLimit(const Request &request) const;

    PlacementMode m_mode;
    RequestLimits m_limits;
    Table m_requests;
    std::map<CallNumber, RequestNumber> m_calls;
    CapacityClaims m_claims;
    Cancels m_cancels;
    Reservations m_reservations;
    RetryBudget m_budget;
    LocalPlacement m_local;
    Deadlines<TimerKey> m_timers;
    std::optional<NodeLife> m_life;
    bool m_isLeaving = false;
};

} // namespace indigoway
