#include "streamresumption.h"

#include "core/deadlines.h"
#include "origins/origincodec.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

using origins::OriginFault;
using origins::OriginResult;
using origins::StreamId;

/** Another node may reach those that know the origin. */
constexpr Duration UnreachableRetryDelay = std::chrono::milliseconds(50);
/** How long a stream can be resumed if its caller sets no time limit. */
constexpr Duration MaxStreamTime = std::chrono::minutes(10);
/** Covers the transit of the last attempt to resume a stream. */
constexpr Duration KeepMargin = std::chrono::seconds(2);

void sendToNodes(Step &step, origins::StreamOrigins::Messages messages)
{
    for (origins::StreamOrigins::Outgoing &message : messages) {
        step.add(SendToNode {std::move(message.to), std::move(message.message)});
    }
}

/** Returns the id by which callers resume the stream of @p request; empty if they can't. */
StreamId streamIdOf(const OpenRequest &request)
{
    const ArrivedRequest &arrival = request.arrival;
    const bool isResumption = StreamResumption::isResumption(request);
    const std::string &id =
        isResumption && arrival.resumedId ? *arrival.resumedId : arrival.callerId;
    const bool isResumable = request.route->isResumable && id.size() <= origins::MaxNameBytes;
    return isResumable ? StreamId(id) : StreamId();
}

/** Returns what @p request resumes; an empty stream if that is not valid. */
origins::StreamOrigins::Subject subjectOf(const OpenRequest &request)
{
    const ArrivedRequest &arrival = request.arrival;
    if (arrival.resumedId || !request.route->isResumable) {
        return {streamIdOf(request)};
    }
    return {origins::streamIdOf(arrival.content), true};
}

bool leadsTo(const Route &route, const ServiceName &service)
{
    return std::ranges::any_of(route.shares, [&service](const ServiceShare &share) {
        return share.service == service && share.weight > 0;
    });
}

std::string textOf(const OriginResult &result)
{
    std::string text = "asked=" + std::to_string(result.asked) + " source="
        + origins::nameOf(result.source) + " took_ms=" + millisecondsText(result.lookupTime);
    if (result.notedVersions) {
        text += " noted_versions=" + std::to_string(*result.notedVersions);
    }
    if (!result.record) {
        return text + " origin=" + nameOf(result.fault);
    }
    return text + " origin=known service=" + result.record->origin.service.text()
        + " version=" + versionText(result.record->origin.version)
        + " from=" + (result.learntFrom.isEmpty() ? "-" : result.learntFrom.text())
        + " age_ms=" + millisecondsText(result.record->age);
}

} // namespace

AdmissionStep StreamResumption::begin(Step &step, OpenRequest &request)
{
    const origins::StreamOrigins::Subject subject = subjectOf(request);
    if (subject.stream.isEmpty()) {
        reject(step, request, std::nullopt,
               request.route->isResumable ? "no valid id of the stream to resume"
                                          : "the route's streams cannot be resumed");
        return AdmissionStep::Rejected;
    }
    origins::StreamOrigins::Messages messages;
    const auto result =
        m_state.origins.lookUp(step.now, request.arrival.request, subject, messages);
    sendToNodes(step, std::move(messages));
    if (result) {
        return decide(step, *result);
    }
    request.stage = Stage::AwaitingOrigin;
    return AdmissionStep::Pending;
}

AdmissionStep StreamResumption::decide(Step &step, const OriginResult &result)
{
    OpenRequest &request = *m_state.requests.find(result.request);
    const bool needsStore = !result.record && result.source == origins::OriginSource::Nodes
        && result.fault != OriginFault::Ambiguous;
    if (needsStore) {
        lookUpInStore(step, request, result);
        return AdmissionStep::Pending;
    }
    request.stage = Stage::Calling;
    step.add(
        LogDecision {"stream_origin", request.arrival.callerId,
                     "resumes=" + request.arrival.resumedId.value_or("-") + " " + textOf(result)});
    if (!result.record) {
        const bool isUnreachable = result.fault == OriginFault::Unreachable;
        std::string reason = std::string("origin of the stream ") + nameOf(result.fault);
        if (result.notedVersions) {
            reason += " noted_versions=" + std::to_string(*result.notedVersions);
        }
        reject(step, request,
               isUnreachable ? std::optional(step.jitter(UnreachableRetryDelay)) : std::nullopt,
               reason);
        return AdmissionStep::Rejected;
    }
    const origins::StreamOrigin &origin = result.record->origin;
    request.service =
        leadsTo(*request.route, origin.service) ? request.table->service(origin.service) : nullptr;
    if (!request.service) {
        reject(step, request, std::nullopt,
               "the route leads to the stream's service no more service=" + origin.service.text());
        return AdmissionStep::Rejected;
    }
    request.boundVersion = origin.version;
    if (!isServable(m_state, request, step.now)) {
        reject(step, request, std::nullopt,
               "no server of the stream's version version=" + versionText(origin.version));
        return AdmissionStep::Rejected;
    }
    return AdmissionStep::Passed;
}

void StreamResumption::lookUpInStore(Step &step, OpenRequest &request, const OriginResult &result)
{
    request.stage = Stage::AwaitingOrigin;
    std::vector<ServiceName> services;
    for (const ServiceShare &share : request.route->shares) {
        if (share.weight > 0) {
            services.push_back(share.service);
        }
    }
    m_state.storeLookups.add(step.now, result, subjectOf(request), std::move(services));
}

void StreamResumption::reject(Step &step, OpenRequest &request, std::optional<Duration> retryAfter,
                              const std::string &reason)
{
    constexpr int ServiceUnavailable = 503;
    m_state.requests.refuse(step, request,
                            {ServiceUnavailable, RequestOutcome::Rejected, retryAfter, reason});
}

AdmissionOutcomes StreamResumption::decideAll(Step &step, const std::vector<OriginResult> &results)
{
    AdmissionOutcomes outcomes;
    for (const OriginResult &result : results) {
        const OpenRequest *request = m_state.requests.find(result.request);
        if (request && request->stage == Stage::AwaitingOrigin) {
            outcomes.push_back({result.request, decide(step, result)});
        }
    }
    return outcomes;
}

AdmissionOutcomes StreamResumption::messageArrived(Step &step, const OriginMessageArrived &event)
{
    origins::StreamOrigins::Messages messages;
    const auto results = m_state.origins.handle(step.now, event.from, event.message, messages);
    sendToNodes(step, std::move(messages));
    return decideAll(step, results);
}

AdmissionOutcomes StreamResumption::storeRead(Step &step, const StoredOriginsRead &event)
{
    return decideAll(step, m_state.storeLookups.readEnded(step.now, event.found));
}

AdmissionOutcomes StreamResumption::tick(Step &step)
{
    origins::StreamOrigins::Messages messages;
    auto results = m_state.origins.tick(step.now, messages);
    sendToNodes(step, std::move(messages));
    for (OriginResult &result : m_state.storeLookups.takeOverdue(step.now)) {
        results.push_back(std::move(result));
    }
    auto outcomes = decideAll(step, results);
    if (m_state.storeLookups.takeDueRead(step.now)) {
        step.add(ReadStoredOrigins {});
    }
    return outcomes;
}

std::optional<TimePoint> StreamResumption::nextTick() const
{
    return earlier(m_state.origins.nextTick(), m_state.storeLookups.nextTick());
}

void recordStreamOrigin(Step &step, DispatchState &state, OpenRequest &request, bool isCorrection)
{
    request.boundVersion = request.serverVersion;
    const StreamId stream = streamIdOf(request);
    if (stream.isEmpty()) {
        return;
    }
    const Duration longest = std::max(request.arrival.patience.value_or(MaxStreamTime),
                                      Duration(request.deadline - step.now));
    state.versionNotes.recordPatience(std::min(longest, MaxStreamTime) + KeepMargin);
    origins::StreamOrigins::Messages messages;
    state.origins.begin(step.now,
                        {stream,
                         {request.service->name, request.serverVersion},
                         std::min(longest, MaxStreamTime) + KeepMargin,
                         request.arrival.content,
                         false,
                         isCorrection},
                        messages);
    sendToNodes(step, std::move(messages));
}

void forgetStreamOrigin(DispatchState &state, const OpenRequest &request)
{
    const StreamId stream = streamIdOf(request);
    if (!stream.isEmpty()) {
        state.origins.complete(stream);
    }
}

bool needsLifeCheck(const OpenRequest &request, const AnnouncedServer &server)
{
    // Servers that do not announce when they started get a new id with each start.
    return request.boundVersion && server.startedAt != 0 && request.checkedServer != server.name;
}

void startLifeCheck(Step &step, DispatchState &state, OpenRequest &request,
                    const AnnouncedServer &server)
{
    constexpr Duration ReportTimeout = std::chrono::milliseconds(300);
    StartCall call;
    call.kind = CallKind::Report;
    call.idleTimeout = ReportTimeout;
    state.startCall(step, request, server, std::move(call));
}

bool isSameLife(const OpenCall &call, const CallEnded &event)
{
    return event.report
        && (event.report->startedAt == 0 || call.server.startedAt == 0
            || event.report->startedAt == call.server.startedAt);
}

bool isServable(const DispatchState &state, const OpenRequest &request, TimePoint now)
{
    if (request.isVersionUnknown()) {
        return false;
    }
    if (!request.boundVersion) {
        return true;
    }
    const EnginePhase phase = request.service->engine ? EnginePhase::Decode : EnginePhase::None;
    return state.servers.hasVersion(request.service->name, phase, *request.boundVersion, now);
}

} // namespace indigoway::dispatch
