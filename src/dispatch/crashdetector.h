#pragma once

#include "dispatch/dispatchstate.h"
#include "dispatch/partcrashexchange.h"

#include <map>
#include <string>
#include <vector>

namespace indigoway::dispatch {

/**
 * Finds out whose fault a failed call was. A lost connection or a silent server may be a link of
 * this node, so the server is probed with one connection attempt. If no node can connect, the
 * server has crashed, and the contents that were running there are recorded. If this node connects
 * itself, the server has failed the calls. If only another node connects, the path of this node is
 * at fault.
 */
class CrashDetector
{
public:
    CrashDetector(DispatchState &state, PartCrashExchange &parts)
        : m_state(state)
        , m_parts(parts)
    { }

    /** Starts a probe of the server of @p call, which broke while the server ran @p request. */
    void callBroken(Step &step, const OpenCall &call, const OpenRequest &request,
                    const CallEnded &event);
    /** Records and reports what the probe of @p call shows. */
    void probeEnded(Step &step, const OpenCall &call, const CallEnded &event);
    /** Records that a server completed an answer to @p content, with any status. */
    void recordAnswer(Step &step, const ContentId &content);

private:
    /** A request that was on a server when it may have crashed. */
    struct LostRequest
    {
        std::string callerId;
        ServiceName service;
        crashes::LostRun run;
        bool hasBegunToWrite = false;
        CallKind kind = CallKind::Plain;
        std::uint32_t events = 0;       ///< Stream events that were forwarded.
        std::uint32_t knownCrashes = 0; ///< Of its content, when it was sent.
        Duration sentAgo {};
    };

    /** What is known of a server with a probe in progress. */
    struct Suspicion
    {
        /** Contents whose connections were lost, with the number of crashes known before. */
        std::map<ContentId, std::uint32_t> contents;
        std::vector<LostRequest> requests; ///< At most MaxLostRequests.
        std::uint32_t engineCalls = 0;     ///< Broken calls of generations.
    };

    static void addLostRequest(Step &step, Suspicion &suspicion, const OpenCall &call,
                               const OpenRequest &request, std::uint32_t events);
    static std::string textOf(const LostRequest &lost);
    /** Attributes the crash to parts of prompts. */
    void recordPartCrashes(Step &step, const ServerName &server, const Suspicion &suspicion);
    void recordCrash(Step &step, const ContentId &content, std::uint32_t count);
    void reportToScheduler(Step &step, const ServerName &server, const Suspicion &suspicion,
                           const CallEnded &event) const;

    DispatchState &m_state;
    PartCrashExchange &m_parts;
    std::map<ServerName, Suspicion> m_suspicions;
};

} // namespace indigoway::dispatch
