#pragma once

#include "dispatch/crashrecords.h"
#include "dispatch/openrequests.h"
#include "dispatch/retryallowance.h"
#include "dispatch/servercalls.h"
#include "dispatch/servertracker.h"
#include "fleet/serverdirectory.h"
#include "quotas/quotaenforcer.h"

#include <map>

namespace indigoway::dispatch {

/** What a node is told about its place and its bounds. */
struct DispatchSettings
{
    DomainName domain;
    RetryBounds retries;
    /** Callers' keys are judged by no older copy of the desired state; nothing: by any. */
    std::optional<Duration> mostCopyAge = {};
    quotas::QuotaBounds quotas = {};
};

/** What the flows share: the open requests, the servers, and what is known of them. */
struct DispatchState
{
    DispatchState(DispatchSettings initial, TimePoint now)
        : settings(std::move(initial))
        , startedAt(now)
        , calls(tracker)
    { }

    DispatchSettings settings;
    TimePoint startedAt {};
    std::uint32_t nodes = 0; ///< That share the bounds on retries; 0: not known yet.
    TimePoint nodesAt {};
    OpenRequests requests;
    ServerDirectory servers;
    ServerTracker tracker;
    ServerCalls calls;
    CrashRecords crashes;
    std::map<ServiceName, RetryAllowance> allowances;

    /**
     * Idle connections to each server of @p service that this node may keep. A server resets those
     * beyond its limit, which all nodes share, also when a request has just been written: its
     * caller gets a failure in doubt.
     */
    std::uint32_t connectionsKept(const Service &service) const;

    /** Starts @p call for @p request, which waits for its end from now on. */
    void startFor(Step &step, OpenRequest &request, const AnnouncedServer &server, StartCall call);
    /**
     * For how long @p content is sent to no server any more, since servers crash under it; nothing
     * if it may be sent.
     */
    std::optional<Duration> refusedFor(const ContentId &content, TimePoint now) const;
    RetryAllowance &allowance(const ServiceName &service);
};

/** How one sort of request is served. One object per sort serves all its requests. */
class RequestFlow
{
public:
    RequestFlow() = default;
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;
    virtual ~RequestFlow() = default;

    virtual void begin(Step &step, OpenRequest &request) = 0;
    virtual void streamBegan(Step &step, OpenRequest &request, const StreamBegan &event) = 0;
    virtual void callEnded(Step &step, OpenRequest &request, const OpenCall &call,
                           const CallEnded &event) = 0;
    /** A call ended whose request was gone before. */
    virtual void orphanEnded(Step &step, const OpenCall &call, const CallEnded &event) = 0;
    /** Gives up all that the request holds; it is ended by the caller of this. */
    virtual void release(Step &step, OpenRequest &request) = 0;
    /** Time has passed; the time at which to be called again. */
    virtual std::optional<TimePoint> tick(Step &step) = 0;
};

} // namespace indigoway::dispatch
