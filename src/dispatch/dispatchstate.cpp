#include "dispatchstate.h"

#include <algorithm>

namespace indigoway::dispatch {

std::uint32_t DispatchState::connectionsKept(const Service &service) const
{
    constexpr std::uint32_t KeptAtMost = 8;
    /** Leaves three quarters of the limit to active calls. */
    constexpr std::uint32_t KeptPart = 4;
    if (service.maxConnections == 0 || nodes == 0) {
        return 1;
    }
    return std::clamp(service.maxConnections / (KeptPart * nodes), 1U, KeptAtMost);
}

void DispatchState::startFor(Step &step, OpenRequest &request, const AnnouncedServer &server,
                             StartCall call)
{
    call.request = request.facts.request;
    if (request.organisation) {
        call.organisation = request.organisation->name;
    }
    call.patience = request.answerBy - step.now;
    call.connectionsKept = connectionsKept(*request.service);
    request.server = server.name;
    request.callKind = call.kind;
    request.callStarted = step.now;
    request.crashesKnown = crashes.crashes(request.facts.content);
    request.call = calls.start(step, server, std::move(call));
}

std::optional<Duration> DispatchState::refusedFor(const ContentId &content, TimePoint now) const
{
    const auto until = crashes.refusedUntil(content);
    return until && now < *until ? std::optional(Duration(*until - now)) : std::nullopt;
}

RetryAllowance &DispatchState::allowance(const ServiceName &service)
{
    auto [it, isNew] = allowances.try_emplace(service, settings.retries, startedAt);
    if (isNew) {
        it->second.setNodes(nodes, nodesAt);
    }
    return it->second;
}

} // namespace indigoway::dispatch
