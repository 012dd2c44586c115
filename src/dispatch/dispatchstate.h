#pragma once

#include "crashes/crashingparts.h"
#include "dispatch/crashrecords.h"
#include "dispatch/noderetrybudget.h"
#include "dispatch/openrequests.h"
#include "dispatch/servercalls.h"
#include "dispatch/serverpauses.h"
#include "dispatch/servertracker.h"
#include "fleet/serverdirectory.h"
#include "origins/storelookups.h"
#include "origins/streamorigins.h"
#include "origins/versionnotes.h"
#include "quotas/quotaenforcer.h"
#include "ratelimits/serverpermits.h"

#include <map>

namespace indigoway::dispatch {

/** Bounds the queries for permits of a request while most servers announce rate limits. */
constexpr std::uint32_t MaxRefusedPermits = 3;

/** Configuration of a node's dispatcher. */
struct DispatchSettings
{
    DomainName domain;
    RetryBudgetSettings retries;
    /** Maximum age of the configuration that is used to check keys; nothing for no limit. */
    std::optional<Duration> mostCopyAge = {};
    quotas::QuotaBounds quotas = {};
};

/** State shared by the request flows: the open requests, the servers and their statistics. */
struct DispatchState
{
    DispatchState(DispatchSettings initial, TimePoint now)
        : settings(std::move(initial))
        , startedAt(now)
        , calls(tracker)
    { }

    DispatchSettings settings;
    TimePoint startedAt {};
    std::uint32_t nodes = 0; ///< Number of nodes that share the retry budget; 0 if unknown.
    TimePoint nodesUpdatedAt {};
    OpenRequests requests;
    ServerDirectory servers;
    ServerTracker tracker;
    ServerCalls calls;
    CrashRecords crashes;
    crashes::CrashingParts crashingParts;
    ratelimits::ServerPermits permits;
    ServerPauses pauses;
    origins::StreamOrigins origins;
    origins::StoreLookups storeLookups;
    origins::VersionNotes versionNotes;
    std::map<ServiceName, NodeRetryBudget> retryBudgets;

    /**
     * Returns the number of idle connections that this node may keep to each server of @p service.
     * A server resets connections beyond its limit, which all nodes share, possibly after a request
     * was written.
     */
    std::uint32_t maxIdleConnections(const Service &service) const;

    /** Starts @p call for @p request and makes it the call that the request waits for. */
    void startCall(Step &step, OpenRequest &request, const AnnouncedServer &server, StartCall call);
    /**
     * Returns how long @p content remains refused because of crashes, or nothing if it may be sent.
     */
    std::optional<Duration> remainingRefusal(const ContentId &content, TimePoint now) const;
    /**
     * Returns how long requests with the content of @p request, or with a part of its prompt,
     * remain refused because of crashes; nothing if it may be sent to a server of its service.
     */
    std::optional<Duration> remainingRefusal(const OpenRequest &request, TimePoint now) const;
    /** Ends a request under which servers crash: as not executed, or in doubt if it was sent. */
    void rejectCrashing(Step &step, OpenRequest &request);
    /**
     * Returns whether a request that was lost with its server may be sent to another one within the
     * same attempt. One that had not begun to write may be the cause of the crash.
     */
    bool mayRepeatAfterCrash(const OpenRequest &request, TimePoint now) const;
    NodeRetryBudget &retryBudget(const ServiceName &service);
    /** Records the advice in the answer of @p server to a call that started at @p started. */
    void recordAdvice(Step &step, const ServerName &server, const ServerAdvice &advice,
                      TimePoint started);
    /** Requests a permit to send @p request to @p server, see ServerPermits::request(). */
    ratelimits::PermitDecision requestPermit(Step &step, OpenRequest &request,
                                             const ServerName &server);
    /** Counts and logs that @p request gets no permit for @p server. */
    void recordRefusedPermit(Step &step, OpenRequest &request, const ServerName &server) const;
    /**
     * Returns the time until which the node must not send requests to @p server, because of its
     * rate limit or a pause; nothing if it may.
     */
    std::optional<TimePoint> blockedUntil(const ServerName &server, TimePoint now) const;
    bool isBlocked(const ServerName &server, TimePoint now) const
    {
        return blockedUntil(server, now).has_value();
    }
    /**
     * Returns when the first server of @p service accepts requests again if the node must not use
     * any of them now; otherwise nothing.
     */
    std::optional<TimePoint> allBlockedUntil(const ServiceName &service, EnginePhase phase,
                                             TimePoint now) const;
    /**
     * Returns the servers of @p service that the scheduling node may grant and that this node must
     * not use.
     */
    std::vector<ServerName> unusableServers(const ServiceName &service, TimePoint now) const;
};

void sendToRateLimiter(Step &step, ratelimits::ServerPermits::Messages messages);

/** Serves one kind of request; one object serves all requests of its kind. */
class RequestFlow
{
public:
    RequestFlow() = default;
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;
    virtual ~RequestFlow() = default;

    virtual void begin(Step &step, OpenRequest &request) = 0;
    virtual void streamStarted(Step &step, OpenRequest &request, const StreamStarted &event) = 0;
    virtual void callEnded(Step &step, OpenRequest &request, const OpenCall &call,
                           const CallEnded &event) = 0;
    /** Handles the end of a call whose request has already ended. */
    virtual void orphanedCallEnded(Step &step, const OpenCall &call, const CallEnded &event) = 0;
    /** Continues a request that waited for a permit to be sent to @p server. */
    virtual void permitDecided(Step &step, OpenRequest &request, const ServerName &server,
                               bool isGranted) = 0;
    /** Releases all resources of the request; the caller of this function ends it. */
    virtual void release(Step &step, OpenRequest &request) = 0;
    /** Processes due work and returns the time of the next call. */
    virtual std::optional<TimePoint> tick(Step &step) = 0;
};

} // namespace indigoway::dispatch
