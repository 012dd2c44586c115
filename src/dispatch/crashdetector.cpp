#include "crashdetector.h"

#include <algorithm>

namespace indigoway::dispatch {

void CrashDetector::connectionLost(Step &step, const OpenCall &call, const OpenRequest &request)
{
    const ServerName &server = call.server.name;
    const bool isLeaving = m_state.servers.standing(server, step.now) == Standing::Leaving;
    if (isLeaving) {
        return; // The shutdown of a draining server is expected.
    }
    auto [probed, isFirst] = m_pendingProbes.try_emplace(server);
    std::uint32_t &knownCrashes = probed->second[request.arrival.content];
    knownCrashes = std::max(knownCrashes, request.knownCrashes);
    if (isFirst) {
        StartCall probe;
        probe.kind = CallKind::Probe;
        m_state.calls.start(step, call.server, std::move(probe));
    }
}

void CrashDetector::probeEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    const auto lost = m_pendingProbes.extract(call.server.name);
    if (event.end != CallEnd::NotConnected) {
        m_state.tracker.callClosed(call.server.name);
        return;
    }
    m_state.tracker.recordUnreachable(call.server.name, step.now);
    std::string crashedContents;
    if (!lost.empty()) {
        for (const auto &[content, knownCrashes] : lost.mapped()) {
            crashedContents += " content=" + content.text()
                + " crashes_in_row=" + std::to_string(knownCrashes + 1);
            recordCrash(step, content, knownCrashes + 1);
        }
    }
    step.add(LogDecision {"server_crashed",
                          {},
                          "server=" + call.server.name.text() + " address=" + call.server.address
                              + " why=" + event.reason + crashedContents});
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
