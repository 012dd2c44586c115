#pragma once

#include "core/turnrandom.h"
#include "crashes/crashingparts.h"
#include "dispatch/answertimes.h"
#include "dispatch/dispatcheffects.h"
#include "dispatch/dispatchevents.h"
#include "dispatch/streamend.h"
#include "dispatch/unsettledstops.h"
#include "routing/routetable.h"

#include <indigoway/announcedserver.h>
#include <indigoway/ids.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace indigoway::dispatch {

/** One step of the reducer: the current time, its random generator and the list of effects. */
class Step
{
public:
    Step(TimePoint present, std::uint64_t entropy, DispatchEffects &effects)
        : now(present)
        , random(entropy)
        , m_effects(effects)
    { }

    const TimePoint now;
    TurnRandom random;

    template <typename Effect>
    void add(Effect &&effect)
    {
        m_effects.emplace_back(std::forward<Effect>(effect));
    }
    std::uint64_t randomBelow(std::uint64_t bound)
    {
        return bound < 2 ? 0 : std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
    }
    /**
     * Returns a random duration between half and one and a half of @p duration, to spread retries.
     */
    Duration jitter(Duration duration)
    {
        return duration / 2
            + Duration(randomBelow(static_cast<std::uint64_t>(duration.count()) + 1));
    }

private:
    DispatchEffects &m_effects;
};

/** State of a generation. Plain requests stay in Calling. */
enum class Stage {
    AwaitingOrigin, ///< Waits for other nodes to say where the resumed stream began.
    AwaitingQuota,  ///< Waits for the quota keeper.
    AwaitingPermit, ///< Waits for a permit to call a server with a rate limit.
    AwaitingSlot,   ///< Waits for a slot at a plain server.
    Calling,
    Waiting, ///< Waits for a reservation at a decode engine.
    Reserving,
    Prefilling,
    Decoding,
};

/** What is needed to continue a run on another engine, see RunContinuation. */
struct RunRecord
{
    ServerName backup;               ///< Engine that keeps a copy of the KV cache; empty if none.
    CallNumber engineCheck;          ///< Connection attempt to an engine that may be lost.
    std::uint32_t eventsAtCheck = 0; ///< Events forwarded when the check began.
    std::uint32_t stopRequests = 0;  ///< Requests to stop the run at its present engine.
    /** Whether the stream was closed in good order, by its own end or by a stop. */
    bool isClosedInDoubt = false;
    /** Another process answers at the engine's address, so that the run's one ends or has ended. */
    bool isEngineReplaced = false;
    std::uint32_t continuations = 0; ///< How often the run continued elsewhere.
    TimePoint lostAt {};             ///< When the connection to its engine ended.
    /** Engine whose connection has ended, while another one is asked for. */
    std::optional<AnnouncedServer> lostEngine;
    std::string lossReason; ///< Why the run leaves its engine, for the log.
    ServerName stopTarget;  ///< Engine to which stopCall moves the run.
    /** Nobody has granted stopTarget: the run is only stopped, and goes on at its engine. */
    bool staysAtEngine = false;
    CallNumber stopCall;             ///< Request to stop the run, in progress.
    scheduling::ClaimId targetClaim; ///< Claim for an engine to move the run to.
    ServerName target;               ///< Granted for targetClaim; empty while it waits.
    ServerName targetBackup;         ///< Granted with target.
    TimePoint movedAt {};            ///< Start of the last attempt to move it off a leaving engine.
    TimePoint progressAt {};         ///< Time of the last report of forwarded events.
    bool isContinuing = false;    ///< The current call continues the run and has not streamed yet.
    std::string handle;           ///< KV cache of a stopped run that has not been used yet.
    AnnouncedServer handleSource; ///< Engine that executed the stopped run.
};

/** A life of a server of which the node has learned since a call to the server began. */
struct NewerLife
{
    std::string version; ///< Of its software.
    TimePoint knownSince {};
};

/**
 * A stream began while the node's copy of the server's entry was old, and the server has not yet
 * confirmed that it is still in the life that the entry names.
 */
struct UnconfirmedLife
{
    CallNumber report; ///< Asks the server; none while no such call is open.
    TimePoint askedAt {};
    /** The start of the server's life if that is another one, of a version not known; else 0. */
    std::uint64_t otherStartedAt = 0;
};

/** A caller's request from arrival to completion. */
struct OpenRequest
{
    ArrivedRequest arrival;
    std::shared_ptr<const RouteTable> table;    ///< The table in force at arrival.
    const Route *route = nullptr;               ///< Owned by table.
    const Service *service = nullptr;           ///< Owned by table.
    const Organisation *organisation = nullptr; ///< Owned by table; null if there is none.
    TimePoint arrived {};
    TimePoint deadline {}; ///< The earlier of the route's timeout and the caller's.

    Stage stage = Stage::Calling;
    CallNumber call; ///< The current call; none while queued.
    CallKind callKind = CallKind::Plain;
    ServerName server;          ///< Server of the current or last call.
    std::string serverVersion;  ///< Software version of that server.
    std::string prefillVersion; ///< Software version of the engine of the last prefill.
    TimePoint callStarted {};
    std::set<ServerName> triedServers;
    std::uint32_t executions = 0; ///< Calls that a server may have executed.
    /** Calls that count against the retry budget, including the first. */
    std::uint32_t countedCalls = 0;
    /** Consecutive crashes of the content when the call was started. */
    std::uint32_t knownCrashes = 0;
    /** Parts of its prompt under which servers had crashed when the call was started. */
    std::vector<crashes::KnownPart> knownParts;
    /** When the server of the current call began to write its answer; nothing before. */
    std::optional<TimePoint> writingSince;
    bool isForwarding = false;
    CallNumber streamingCall; ///< The call whose events are forwarded.
    TimePoint firstAnswerAt {};
    std::uint32_t forwardedEvents = 0;
    bool isRetry = false; ///< The caller was rejected before, by any node.
    /**
     * Software version of the server that began the stream, from the first event on; only servers
     * of that version may continue it.
     */
    std::optional<std::string> boundVersion;
    /** Set while a newer life may answer the current call; nothing continues the stream then. */
    std::optional<NewerLife> newerLife;
    /** Set while it is not known that the server's announced life has begun the stream. */
    std::optional<UnconfirmedLife> unconfirmedLife;
    /** Server whose life was checked before it continues the stream; see needsLifeCheck(). */
    ServerName checkedServer;

    std::uint32_t refusedPermits = 0; ///< Refusals because of servers' rate limits.

    double askedQuotaUnits = 0; ///< Units of the organisation's quota that the request needs.
    double quotaUnits = 0;      ///< Units that the keeper has counted against the organisation.

    slots::SlotClaimId slotClaim; ///< Claim of a slot at a plain server; none without one.

    // Fields of generations.
    scheduling::ClaimId claim;   ///< Claim at the scheduler; none while this node chooses engines.
    bool isPlannedWhole = false; ///< The scheduler assigned the prefill to the decode engine.
    ServerName plannedPrefill;   ///< Assigned by the scheduler; empty if this node chooses.
    ServerName decodeServer;
    scheduling::MemoryNeed memory;
    /** Expected maximum of tokens in memory; part of the load of decodeServer while that is set. */
    std::uint64_t tokenDemand = 0;
    std::string reservation;
    TimePoint reservedUntil {};
    ServerName prefillServer;
    std::uint32_t prefillAttempts = 0;
    std::string handle;
    bool readsWhole = false; ///< The decode engine must process the prompt itself.
    TimePoint waitingSince {};
    TimePoint reservedAt {}; ///< Time of the last granted reservation.
    TimePoint prefilledAt {};
    RunRecord run;
    std::uint32_t stopsSent = 0; ///< Requests to stop its run, at any engine.
    /** Outlasts the run: the request may come to the same engine again. */
    UnsettledStops unsettledStops;
    std::uint32_t refusals = 0; ///< Engines that refused a reservation.

    scheduling::Urgency urgency() const;
    /** Returns the organisation's id in crash records; none without an organisation. */
    OrganisationKey organisationKey() const;
    /**
     * Returns whether the server has begun to write its answer and has lived on for some time, so
     * that the request cannot be what crashes it.
     */
    bool hasBegunToWrite(TimePoint now) const;
    /** Returns the priority of the organisation if it has one, else that of the route. */
    std::uint32_t priority() const;
    /** Returns whether it is not known which version has begun the stream: nothing continues it. */
    bool isVersionUnknown() const { return newerLife || unconfirmedLife; }
    /** Returns whether the software version of @p candidate allows it to serve the request. */
    bool accepts(const AnnouncedServer &candidate) const
    {
        return !isVersionUnknown() && (!boundVersion || *boundVersion == candidate.version);
    }
    bool isGeneration() const { return route->isStream && service && service->engine; }
    bool mayHaveExecuted() const { return executions > 0; }
};

/** Stores the open requests and ends each of them exactly once. */
class OpenRequests
{
public:
    OpenRequest &add(OpenRequest request);
    /** Returns null if the request has ended. */
    OpenRequest *find(RequestNumber number);
    std::map<RequestNumber, OpenRequest> &all() { return m_requests; }
    std::size_t size() const { return m_requests.size(); }
    const AnswerTimes &answerTimes() const { return m_answerTimes; }

    /** Logs which server of which version has sent the first event of a call for @p request. */
    static void recordFirstEvent(Step &step, const OpenRequest &request);
    /** Sends the server's complete answer to the caller. */
    void deliver(Step &step, OpenRequest &request, CallNumber call, int status);
    /** Completes the forwarded stream, whose end @p end proves. */
    void endStream(Step &step, OpenRequest &request, StreamEnd end);
    /** Aborts the forwarded stream. */
    void abortStream(Step &step, OpenRequest &request, const std::string &reason);
    /**
     * Rejects a request that was not executed.
     * @param retryAfter The delay after which the caller should retry.
     */
    void reject(Step &step, OpenRequest &request, Duration retryAfter, const std::string &reason);
    struct Refusal
    {
        int status = 0;
        RequestOutcome outcome = RequestOutcome::Rejected;
        std::optional<Duration> retryAfter; ///< Nothing if a retry is useless.
        std::string reason;
    };
    /** Rejects a request that was not executed, with the given status. */
    void refuse(Step &step, OpenRequest &request, const Refusal &refusal);
    /** Fails a request that may have been executed, with status 502, or 504 after a timeout. */
    void failInDoubt(Step &step, OpenRequest &request, int status, const std::string &reason);
    /** Removes a request whose caller has disconnected, without an answer. */
    void closeDisconnected(Step &step, OpenRequest &request);

    /** Quota units of a request that ended without being executed. */
    struct UnusedQuota
    {
        OrganisationName organisation;
        double units = 0;
        std::uint32_t priority = 0;
    };
    std::vector<UnusedQuota> takeUnusedQuota() { return std::exchange(m_unusedQuota, {}); }

private:
    void logEnd(Step &step, const OpenRequest &request, RequestOutcome outcome,
                const std::string &detail);
    void erase(Step &step, const OpenRequest &request, RequestOutcome outcome);

    std::map<RequestNumber, OpenRequest> m_requests;
    AnswerTimes m_answerTimes;
    std::vector<UnusedQuota> m_unusedQuota;
};

/** Returns whether calls of @p kind send the request body to the server. */
bool carriesRequest(CallKind kind);

const char *nameOf(Stage stage);
const char *nameOf(RequestOutcome outcome);
const char *nameOf(CallKind kind);
const char *nameOf(CallEnd end);

/**
 * Time for which a server must have written an answer before the request is known not to crash it.
 * Longer than it takes until the end of a server that crashes on what it writes is known.
 */
constexpr Duration MinWritingTime = std::chrono::milliseconds(200);

/** Error for requests under whose content, or a part of whose prompt, servers have crashed. */
constexpr char CrashesServers[] = "servers crash under it";

/** Returns a server's software version, or a dash if it is unknown, for logs. */
std::string versionText(const std::string &version);

/** Returns the parts and their series of crashes, for logs. */
std::string partsText(const crashes::PartCrashNotes &notes);

/** Returns @p duration in whole milliseconds, for logs. */
std::string millisecondsText(Duration duration);

} // namespace indigoway::dispatch
