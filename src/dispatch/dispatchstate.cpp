#include "dispatchstate.h"

#include "core/deadlines.h"

#include <algorithm>

namespace indigoway::dispatch {

void sendToRateLimiter(Step &step, ratelimits::ServerPermits::Messages messages)
{
    for (ratelimits::ToRateLimiter &message : messages) {
        step.add(SendToRateLimiter {std::move(message)});
    }
}

std::uint32_t DispatchState::maxIdleConnections(const Service &service) const
{
    constexpr std::uint32_t MaxIdleConnections = 8;
    /** Leaves three quarters of the limit to active calls. */
    constexpr std::uint32_t IdleShareDivisor = 4;
    if (service.maxConnections == 0 || nodes == 0) {
        return 1;
    }
    return std::clamp(service.maxConnections / (IdleShareDivisor * nodes), 1U, MaxIdleConnections);
}

void DispatchState::startCall(Step &step, OpenRequest &request, const AnnouncedServer &server,
                              StartCall call)
{
    call.request = request.arrival.request;
    if (request.organisation) {
        call.organisation = request.organisation->name;
    }
    call.patience = request.deadline - step.now;
    call.maxIdleConnections = maxIdleConnections(*request.service);
    request.server = server.name;
    request.serverVersion = server.version;
    if (call.kind == CallKind::Prefill) {
        request.prefillVersion = server.version;
    }
    request.callKind = call.kind;
    request.callStarted = step.now;
    request.knownCrashes = crashes.crashCount(request.arrival.content);
    request.knownParts =
        crashingParts.knownParts(request.service->name, request.arrival.sharedParts);
    request.writingSince.reset();
    request.call = calls.start(step, server, std::move(call));
}

std::optional<Duration> DispatchState::remainingRefusal(const ContentId &content,
                                                        TimePoint now) const
{
    const auto until = crashes.refusedUntil(content);
    return until && now < *until ? std::optional(Duration(*until - now)) : std::nullopt;
}

std::optional<Duration> DispatchState::remainingRefusal(const OpenRequest &request,
                                                        TimePoint now) const
{
    const auto ofContent = remainingRefusal(request.arrival.content, now);
    if (!request.service) {
        return ofContent;
    }
    const auto ofPart = crashingParts.refusal(request.service->name, request.arrival.sharedParts,
                                              request.organisationKey(), now);
    return ofPart ? std::max(ofContent, std::optional(ofPart->remaining)) : ofContent;
}

void DispatchState::rejectCrashing(Step &step, OpenRequest &request)
{
    constexpr int BadGateway = 502;
    if (request.mayHaveExecuted()) {
        requests.failInDoubt(step, request, BadGateway, CrashesServers);
        return;
    }
    const auto refused = request.service
        ? crashingParts.refusal(request.service->name, request.arrival.sharedParts,
                                request.organisationKey(), step.now)
        : std::nullopt;
    const std::string part = refused ? " part=" + textOf(refused->part) : std::string();
    requests.reject(step, request, remainingRefusal(request, step.now).value_or(Duration(0)),
                    CrashesServers + part);
}

bool DispatchState::mayRepeatAfterCrash(const OpenRequest &request, TimePoint now) const
{
    return request.hasBegunToWrite(now)
        || crashingParts.areSound(request.service->name, request.arrival.sharedParts, now);
}

void DispatchState::recordAdvice(Step &step, const ServerName &server, const ServerAdvice &advice,
                                 TimePoint started)
{
    if (advice.isLeaving && servers.markLeaving(server)) {
        step.add(LogDecision {"server_leaving",
                              {},
                              "server=" + server.text()
                                  + " answer_age_ms=" + millisecondsText(step.now - started)});
    }
    if (advice.pause) {
        pauses.record(server, *advice.pause, step.now);
        step.add(LogDecision {"server_pause",
                              {},
                              "server=" + server.text()
                                  + " pause_ms=" + millisecondsText(*advice.pause)});
    }
    ratelimits::ServerPermits::Messages messages;
    const bool isChange =
        permits.record(server, advice.requestsPerSecond, started, step.now, messages);
    sendToRateLimiter(step, std::move(messages));
    if (isChange) {
        step.add(LogDecision {
            "server_limit",
            {},
            "server=" + server.text() + " per_s="
                + (advice.requestsPerSecond ? std::to_string(*advice.requestsPerSecond) : "-")
                + " from=answer answer_age_ms=" + millisecondsText(step.now - started)});
    }
}

ratelimits::PermitDecision DispatchState::requestPermit(Step &step, OpenRequest &request,
                                                        const ServerName &server)
{
    ratelimits::ServerPermits::Messages messages;
    const auto decision = permits.request(step.now, request.arrival.request, server, messages);
    sendToRateLimiter(step, std::move(messages));
    if (decision == ratelimits::PermitDecision::Refused) {
        recordRefusedPermit(step, request, server);
    }
    return decision;
}

void DispatchState::recordRefusedPermit(Step &step, OpenRequest &request,
                                        const ServerName &server) const
{
    ++request.refusedPermits;
    const auto until = permits.blockedUntil(server, step.now);
    step.add(LogDecision {"permit_refused", request.arrival.callerId,
                          "server=" + server.text() + " retry_after_ms="
                              + millisecondsText(until ? *until - step.now : Duration(0))});
}

std::optional<TimePoint> DispatchState::blockedUntil(const ServerName &server, TimePoint now) const
{
    return std::max(pauses.pausedUntil(server, now), permits.blockedUntil(server, now));
}

std::optional<TimePoint> DispatchState::allBlockedUntil(const ServiceName &service,
                                                        EnginePhase phase, TimePoint now) const
{
    if (!permits.hasBlockedServers(now) && !pauses.hasPauses(now)) {
        return std::nullopt;
    }
    std::optional<TimePoint> first;
    bool isOneUsable = false;
    const auto visit = [&](const AnnouncedServer &server) {
        const auto until = blockedUntil(server.name, now);
        isOneUsable = server.phase == phase && !until;
        first = server.phase == phase ? earlier(first, until) : first;
        return !isOneUsable;
    };
    for (const DomainName &domain : servers.domainsOf(service)) {
        servers.visitUsable(service, domain, now, visit);
        if (isOneUsable) {
            return std::nullopt;
        }
    }
    return first;
}

std::vector<ServerName> DispatchState::unusableServers(const ServiceName &service,
                                                       TimePoint now) const
{
    std::vector<ServerName> names = permits.blockedServers(now);
    const std::vector<ServerName> paused = pauses.paused(now);
    names.insert(names.end(), paused.begin(), paused.end());
    const std::set<ServerName> &leaving = servers.leavingUnannounced();
    names.insert(names.end(), leaving.begin(), leaving.end());
    std::erase_if(names, [&](const ServerName &name) {
        const AnnouncedServer *server = servers.find(name);
        return !server || server->service != service;
    });
    return names;
}

NodeRetryBudget &DispatchState::retryBudget(const ServiceName &service)
{
    auto [it, isNew] = retryBudgets.try_emplace(service, settings.retries, startedAt);
    if (isNew) {
        it->second.setNodes(nodes, nodesUpdatedAt);
    }
    return it->second;
}

} // namespace indigoway::dispatch
