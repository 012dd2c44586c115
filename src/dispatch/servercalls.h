#pragma once

#include "dispatch/openrequests.h"
#include "dispatch/servertracker.h"

#include <indigoway/announcedserver.h>

#include <map>

namespace indigoway::dispatch {

/** A call that is under way; it may outlive its request. */
struct OpenCall
{
    RequestNumber request;
    CallKind kind = CallKind::Plain;
    AnnouncedServer server;
    TimePoint started {};
};

/** The calls to backend servers, numbered, with what the tracker is told of them. */
class ServerCalls
{
public:
    explicit ServerCalls(ServerTracker &tracker)
        : m_tracker(tracker)
    { }

    /** Fills in number, server and address of @p call and starts it. */
    CallNumber start(Step &step, const AnnouncedServer &server, StartCall call);
    void abandon(Step &step, CallNumber call);
    /** Removes it; nothing if it was abandoned before. */
    std::optional<OpenCall> take(CallNumber call);
    const OpenCall *find(CallNumber call) const;

private:
    ServerTracker &m_tracker;
    std::map<CallNumber, OpenCall> m_calls;
    std::uint64_t m_last = 0;
};

} // namespace indigoway::dispatch
