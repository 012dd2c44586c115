#include "serverlives.h"

#include "dispatch/streamresumption.h"

#include <utility>

namespace indigoway::dispatch {

void ServerLives::serverAnnounced(const AnnouncedServer &server)
{
    if (server.instance.empty()) {
        return;
    }
    const AnnouncedServer *known = m_state.servers.find(server.name);
    if (!known || known->version != server.version) {
        m_newLives.push_back(server);
    }
}

void ServerLives::tick(Step &step)
{
    for (const AnnouncedServer &server : std::exchange(m_newLives, {})) {
        for (auto &[number, request] : m_state.requests.all()) {
            if (isServedByOlderLife(request, server)) {
                request.newerLife = NewerLife {server.version, step.now};
                logChange(step, request, "unknown");
                step.add(ReportNextEvent {request.call});
            }
        }
    }
}

bool ServerLives::isServedByOlderLife(const OpenRequest &request,
                                      const AnnouncedServer &server) const
{
    const OpenCall *call = m_state.calls.find(request.call);
    return request.route->isStream && call && carriesRequest(call->kind)
        && call->kind != CallKind::Prefill && call->server.instance == server.instance
        && call->server.version != server.version;
}

bool ServerLives::isOfNewerLife(const OpenRequest &request, TimePoint now)
{
    return now >= request.newerLife->knownSince + DeliveryTime;
}

bool ServerLives::streamStarted(Step &step, OpenRequest &request)
{
    if (!request.newerLife) {
        return true;
    }
    if (request.boundVersion && *request.boundVersion != request.newerLife->version) {
        logChange(step, request, "refused");
        request.newerLife.reset();
        return false;
    }
    if (isOfNewerLife(request, step.now)) {
        request.serverVersion = std::exchange(request.newerLife, std::nullopt)->version;
        logChange(step, request, "newer");
    }
    return true;
}

void ServerLives::eventCame(Step &step, OpenRequest &request)
{
    if (!request.newerLife || !request.isForwarding || !isOfNewerLife(request, step.now)) {
        return;
    }
    request.serverVersion = std::exchange(request.newerLife, std::nullopt)->version;
    logChange(step, request, "newer");
    recordStreamOrigin(step, m_state, request, true);
}

void ServerLives::callEnded(Step &step, OpenRequest &request, const CallEnded &event)
{
    if (!request.newerLife) {
        return;
    }
    if (!request.isForwarding || event.end == CallEnd::Complete) {
        request.newerLife.reset();
        return;
    }
    // Either life may have begun it: no server may continue it, here or at another node.
    logChange(step, request, "either");
    request.serverVersion = request.newerLife->version;
    recordStreamOrigin(step, m_state, request);
}

void ServerLives::logChange(Step &step, const OpenRequest &request, const std::string &decision)
{
    step.add(LogDecision {"server_life_changed", request.arrival.callerId,
                          "server=" + request.server.text() + " version="
                              + versionText(request.serverVersion) + " begun_by=" + decision});
}

} // namespace indigoway::dispatch
