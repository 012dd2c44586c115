#pragma once

#include "dispatch/dispatchstate.h"

#include <map>

namespace indigoway::dispatch {

/**
 * Detects crashes of backend servers and records the contents that were running there. A lost
 * connection alone may be a reset link or an aborted answer, so the server is probed with one
 * connection attempt; if it fails, the server has crashed.
 */
class CrashDetector
{
public:
    explicit CrashDetector(DispatchState &state)
        : m_state(state)
    { }

    /**
     * Starts a probe of the server of @p call, whose connection was lost while it ran @p request.
     */
    void connectionLost(Step &step, const OpenCall &call, const OpenRequest &request);
    /** Records a crash if the probe of @p call could not connect. */
    void probeEnded(Step &step, const OpenCall &call, const CallEnded &event);
    /** Records that a server completed an answer to @p content, with any status. */
    void recordAnswer(Step &step, const ContentId &content);

private:
    void recordCrash(Step &step, const ContentId &content, std::uint32_t count);

    DispatchState &m_state;
    /**
     * Servers with a probe in progress: the contents lost there, with the number of crashes known
     * before.
     */
    std::map<ServerName, std::map<ContentId, std::uint32_t>> m_pendingProbes;
};

} // namespace indigoway::dispatch
