#pragma once

#include "dispatch/dispatchstate.h"

#include <map>

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

    /** The connection of @p call was lost while its server worked on @p request. */
    void connectionLost(Step &step, const OpenCall &call, const OpenRequest &request);
    /** The attempt to connect has ended. */
    void probeEnded(Step &step, const OpenCall &call, const CallEnded &event);
    /** A server has answered @p content whole, well or not: it does not crash what runs it. */
    void answered(Step &step, const ContentId &content);

private:
    void noteCrash(Step &step, const ContentId &content, std::uint32_t count);

    DispatchState &m_state;
    /** Servers that are being probed: contents lost there, with their crashes known before. */
    std::map<ServerName, std::map<ContentId, std::uint32_t>> m_probed;
};

} // namespace indigoway::dispatch
