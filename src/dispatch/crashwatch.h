#pragma once

#include "dispatch/dispatchstate.h"

#include <map>
#include <set>

namespace indigoway::dispatch {

/**
 * Finds out which backend servers have crashed, and what they were working on. A lost connection
 * alone does not tell: links are reset, and servers that live break off some answers. So each is
 * followed by one attempt to connect; a server that lives takes it, and one that has just closed a
 * connection and takes no other has ended.
 */
class CrashWatch
{
public:
    explicit CrashWatch(DispatchState &state)
        : m_state(state)
    { }

    /** The connection of @p call was lost while its server worked on @p content. */
    void connectionLost(Step &step, const OpenCall &call, const ContentId &content);
    /** The attempt to connect has ended. */
    void probeEnded(Step &step, const OpenCall &call, const CallEnded &event);

private:
    DispatchState &m_state;
    /** Servers that are being probed, with what was lost there meanwhile. */
    std::map<ServerName, std::set<ContentId>> m_probed;
};

} // namespace indigoway::dispatch
