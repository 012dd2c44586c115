#pragma once

#include "dispatch/openrequests.h"
#include "dispatch/servertracker.h"

#include <indigoway/announcedserver.h>

#include <map>

namespace indigoway::dispatch {

/** A call in progress, which may outlast its request. */
struct OpenCall
{
    RequestNumber request;
    CallKind kind = CallKind::Plain;
    AnnouncedServer server;
    TimePoint started {};
    Duration patience {}; ///< Time that the server was given; 0 for calls without a request.
};

/** Numbers the calls to backend servers and reports them to the tracker. */
class ServerCalls
{
public:
    explicit ServerCalls(ServerTracker &tracker)
        : m_serverTracker(tracker)
    { }

    /** Sets number, server and address of @p call and starts it. */
    CallNumber start(Step &step, const AnnouncedServer &server, StartCall call);
    void abandon(Step &step, CallNumber call);
    /** Removes and returns the call, or nothing if it was abandoned. */
    std::optional<OpenCall> take(CallNumber call);
    const OpenCall *find(CallNumber call) const;

private:
    ServerTracker &m_serverTracker;
    std::map<CallNumber, OpenCall> m_calls;
    std::uint64_t m_last = 0;
};

} // namespace indigoway::dispatch
