#include "serverlives.h"

#include "dispatch/streamresumption.h"

#include <utility>

namespace indigoway::dispatch {

namespace {

constexpr Duration ReportTimeout = std::chrono::milliseconds(300);

void logLifeChange(Step &step, const OpenRequest &request, const std::string &decision)
{
    step.add(LogDecision {"server_life_changed", request.arrival.callerId,
                          "server=" + request.server.text() + " version="
                              + versionText(request.serverVersion) + " begun_by=" + decision});
}

/** Returns whether another server may continue the stream of @p request if it breaks. */
bool mayGoOnElsewhere(const OpenRequest &request)
{
    if (!request.isGeneration()) {
        return false;
    }
    const EngineTraits &traits = *request.service->engine;
    return request.route->isResumable || traits.keepsBackups || traits.movesRuns;
}

} // namespace

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
                request.unconfirmedLife.reset();
                logLifeChange(step, request, "unknown");
                step.add(ReportNextEvent {request.call});
            } else if (hasOtherLife(request, server)) {
                request.unconfirmedLife.reset(); // Both lives have the same version.
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

bool ServerLives::hasOtherLife(const OpenRequest &request, const AnnouncedServer &server) const
{
    const OpenCall *call = m_state.calls.find(request.call);
    return request.unconfirmedLife && request.unconfirmedLife->otherStartedAt == server.startedAt
        && call && call->server.instance == server.instance;
}

bool ServerLives::isOfNewerLife(const OpenRequest &request, TimePoint now)
{
    return now >= request.newerLife->knownSince + DeliveryTime;
}

bool ServerLives::streamStarted(Step &step, OpenRequest &request)
{
    if (!request.newerLife) {
        const OpenCall *call = m_state.calls.find(request.call);
        if (call && mustConfirmLife(request, call->server)) {
            askForLife(step, request, call->server);
        }
        return true;
    }
    if (request.boundVersion && *request.boundVersion != request.newerLife->version) {
        logLifeChange(step, request, "refused");
        request.newerLife.reset();
        return false;
    }
    if (isOfNewerLife(request, step.now)) {
        request.serverVersion = std::exchange(request.newerLife, std::nullopt)->version;
        logLifeChange(step, request, "newer");
    }
    return true;
}

bool ServerLives::mustConfirmLife(const OpenRequest &request, const AnnouncedServer &server) const
{
    const bool mayBeOther =
        m_isCopyOld || m_state.versionNotes.versionsOf(server.service).size() > 1;
    return mayBeOther && mayGoOnElsewhere(request) && !request.boundVersion && server.startedAt != 0
        && !server.version.empty();
}

void ServerLives::askForLife(Step &step, OpenRequest &request, const AnnouncedServer &server)
{
    StartCall report;
    report.kind = CallKind::Report;
    report.request = request.arrival.request;
    report.idleTimeout = ReportTimeout;
    request.unconfirmedLife =
        UnconfirmedLife {m_state.calls.start(step, server, std::move(report)), step.now};
}

void ServerLives::askAgain(Step &step, OpenRequest &request)
{
    const OpenCall *call = m_state.calls.find(request.call);
    const auto &unconfirmed = request.unconfirmedLife;
    const bool isOpen = unconfirmed && unconfirmed->otherStartedAt == 0;
    if (!call || !isOpen || !unconfirmed->report.isNone()) {
        return;
    }
    if (step.now < unconfirmed->askedAt + ReportTimeout) {
        step.add(ReportNextEvent {request.call});
        return;
    }
    askForLife(step, request, call->server);
}

void ServerLives::reportEnded(Step &step, OpenRequest &request, const OpenCall &call,
                              const CallEnded &event)
{
    m_state.tracker.callClosed(call.server.name);
    if (!request.unconfirmedLife || request.unconfirmedLife->report != event.call) {
        return;
    }
    if (event.end == CallEnd::Complete && isSameLife(call, event)) {
        request.unconfirmedLife.reset();
        return;
    }
    request.unconfirmedLife->report = {};
    if (event.report) {
        request.unconfirmedLife->otherStartedAt = event.report->startedAt;
        logLifeChange(step, request, "unknown");
        return;
    }
    step.add(ReportNextEvent {request.call});
}

void ServerLives::eventCame(Step &step, OpenRequest &request)
{
    askAgain(step, request);
    if (!request.newerLife || !request.isForwarding || !isOfNewerLife(request, step.now)) {
        return;
    }
    request.serverVersion = std::exchange(request.newerLife, std::nullopt)->version;
    logLifeChange(step, request, "newer");
    recordStreamOrigin(step, m_state, request, true);
}

void ServerLives::callEnded(Step &step, OpenRequest &request, const CallEnded &event)
{
    if (!request.isForwarding || event.end == CallEnd::Complete) {
        request.newerLife.reset();
        request.unconfirmedLife.reset();
        return;
    }
    streamBroken(step, m_state, request);
}

void streamBroken(Step &step, DispatchState &state, OpenRequest &request)
{
    if (std::exchange(request.unconfirmedLife, std::nullopt) && !request.newerLife) {
        // No server has the empty version.
        request.newerLife = NewerLife {{}, step.now};
    }
    if (!request.newerLife) {
        return;
    }
    logLifeChange(step, request, "either");
    request.serverVersion = request.newerLife->version;
    recordStreamOrigin(step, state, request);
}

} // namespace indigoway::dispatch
