#include "crashdetector.h"

#include <algorithm>

namespace indigoway::dispatch {

void CrashDetector::callBroken(Step &step, const OpenCall &call, const OpenRequest &request,
                               bool isConnectionLost)
{
    const ServerName &server = call.server.name;
    const bool isLeaving =
        m_state.servers.availability(server, step.now) == ServerAvailability::Leaving;
    if (isLeaving) {
        return; // The shutdown of a draining server is expected.
    }
    auto [suspected, isFirst] = m_suspicions.try_emplace(server);
    Suspicion &suspicion = suspected->second;
    if (isConnectionLost) {
        std::uint32_t &knownCrashes = suspicion.contents[request.arrival.content];
        knownCrashes = std::max(knownCrashes, request.knownCrashes);
    }
    suspicion.engineCalls += request.isGeneration() ? 1 : 0;
    if (isFirst) {
        StartCall probe;
        probe.kind = CallKind::Probe;
        m_state.calls.start(step, call.server, std::move(probe));
    }
}

void CrashDetector::probeEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    const ServerName &server = call.server.name;
    const auto node = m_suspicions.extract(server);
    const Suspicion suspicion = node.empty() ? Suspicion() : node.mapped();
    reportToScheduler(step, server, suspicion, event);
    if (event.end != CallEnd::NotConnected) {
        m_state.tracker.callClosed(server);
        return;
    }
    m_state.tracker.recordUnreachable(server, step.now);
    std::string crashedContents;
    for (const auto &[content, knownCrashes] : suspicion.contents) {
        crashedContents +=
            " content=" + content.text() + " crashes_in_row=" + std::to_string(knownCrashes + 1);
        recordCrash(step, content, knownCrashes + 1);
    }
    step.add(LogDecision {"server_crashed",
                          {},
                          "server=" + server.text() + " address=" + call.server.address
                              + " why=" + event.reason + crashedContents});
}

void CrashDetector::reportToScheduler(Step &step, const ServerName &server,
                                      const Suspicion &suspicion, const CallEnded &event) const
{
    const bool isOwnPath =
        event.end == CallEnd::NoPath || (event.end == CallEnd::Complete && !event.relay.isEmpty());
    if (isOwnPath) {
        step.add(LogDecision {"path_at_fault",
                              {},
                              "server=" + server.text()
                                  + " broken_calls=" + std::to_string(suspicion.engineCalls)
                                  + " reached_through=" + event.relay.text()});
        return;
    }
    if (suspicion.engineCalls > 0) {
        step.add(SendToScheduler {scheduling::EngineFault {server, suspicion.engineCalls,
                                                           event.end == CallEnd::Complete}});
    }
}

void CrashDetector::recordCrash(Step &step, const ContentId &content, std::uint32_t count)
{
    const std::uint32_t bounded = std::min(count, CrashRecords::MaxCrashes);
    m_state.crashes.recordCrash(content, bounded, CrashRecords::UnconfirmedRevision, step.now);
    step.add(PublishCrash {{content, bounded}});
}

void CrashDetector::recordAnswer(Step &step, const ContentId &content)
{
    if (m_state.crashes.crashCount(content) == 0) {
        return;
    }
    m_state.crashes.recordAnswer(content, CrashRecords::UnconfirmedRevision, step.now);
    step.add(PublishCrash {{content, 0}});
}

} // namespace indigoway::dispatch
