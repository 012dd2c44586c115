#include "servercalls.h"

namespace indigoway::dispatch {

CallNumber ServerCalls::start(Step &step, const AnnouncedServer &server, StartCall call)
{
    call.call = CallNumber(++m_last);
    call.server = server.name;
    call.instance = server.instance;
    call.address = server.address;
    m_serverTracker.callStarted(server.name);
    m_calls.emplace(call.call, OpenCall {call.request, call.kind, server, step.now, call.patience});
    const CallNumber number = call.call;
    step.add(std::move(call));
    return number;
}

void ServerCalls::abandon(Step &step, CallNumber call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return;
    }
    m_serverTracker.callClosed(it->second.server.name);
    m_calls.erase(it);
    step.add(AbandonCall {call});
}

std::optional<OpenCall> ServerCalls::take(CallNumber call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end()) {
        return std::nullopt;
    }
    OpenCall taken = std::move(it->second);
    m_calls.erase(it);
    return taken;
}

const OpenCall *ServerCalls::find(CallNumber call) const
{
    const auto it = m_calls.find(call);
    return it == m_calls.end() ? nullptr : &it->second;
}

} // namespace indigoway::dispatch
