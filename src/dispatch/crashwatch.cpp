#include "crashwatch.h"

namespace indigoway::dispatch {

void CrashWatch::connectionLost(Step &step, const OpenCall &call, const ContentId &content)
{
    const ServerName &server = call.server.name;
    const bool isLeaving = m_state.servers.standing(server, step.now) == Standing::Leaving;
    if (isLeaving) {
        return; // Its end was announced, and says nothing of its work.
    }
    auto [probed, isFirst] = m_probed.try_emplace(server);
    probed->second.insert(content);
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
        for (const ContentId &content : lost.mapped()) {
            contents += " content=" + content.text();
        }
    }
    step.add(RecordDecision {"server_crashed",
                             {},
                             "server=" + call.server.name.text() + " address=" + call.server.address
                                 + " why=" + event.why + contents});
}

} // namespace indigoway::dispatch
