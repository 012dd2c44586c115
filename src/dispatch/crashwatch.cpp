#include "crashwatch.h"

#include <algorithm>

namespace indigoway::dispatch {

void CrashWatch::connectionLost(Step &step, const OpenCall &call, const OpenRequest &request)
{
    const ServerName &server = call.server.name;
    const bool isLeaving =
        m_state.servers.availability(server, step.now) == ServerAvailability::Leaving;
    if (isLeaving) {
        return; // Its end was announced, and says nothing of its work.
    }
    auto [probed, isFirst] = m_probed.try_emplace(server);
    std::uint32_t &known = probed->second[request.facts.content];
    known = std::max(known, request.crashesKnown);
    if (isFirst) {
        StartCall probe;
        probe.kind = CallKind::Probe;
        m_state.calls.start(step, call.server, std::move(probe));
    }
}

void CrashWatch::probeEnded(Step &step, const OpenCall &call, const CallEnded &event)
{
    const auto lost = m_probed.extract(call.server.name);
    if (event.end != CallEnd::NotConnected) {
        m_state.tracker.callDropped(call.server.name);
        return;
    }
    m_state.tracker.unreachable(call.server.name, step.now);
    std::string contents;
    if (!lost.empty()) {
        for (const auto &[content, known] : lost.mapped()) {
            contents +=
                " content=" + content.text() + " crashes_in_row=" + std::to_string(known + 1);
            noteCrash(step, content, known + 1);
        }
    }
    step.add(RecordDecision {"server_crashed",
                             {},
                             "server=" + call.server.name.text() + " address=" + call.server.address
                                 + " why=" + event.why + contents});
}

void CrashWatch::noteCrash(Step &step, const ContentId &content, std::uint32_t count)
{
    const std::uint32_t bounded = std::min(count, CrashRecords::MostCrashes);
    m_state.crashes.crashed(content, bounded, CrashRecords::NotStored, step.now);
    step.add(ShareCrash {{content, bounded}});
}

void CrashWatch::answered(Step &step, const ContentId &content)
{
    if (m_state.crashes.crashes(content) == 0) {
        return;
    }
    m_state.crashes.answered(content, CrashRecords::NotStored, step.now);
    step.add(ShareCrash {{content, 0}});
}

} // namespace indigoway::dispatch
