#include "crashdetector.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

/** Limits the requests that are considered; an engine serves a few dozen from all nodes. */
constexpr std::size_t MaxLostRequests = 64;
constexpr std::size_t MaxLoggedRequests = 16;
constexpr std::size_t MaxLoggedParts = 8;

} // namespace

void CrashDetector::callBroken(Step &step, const OpenCall &call, const OpenRequest &request,
                               const CallEnded &event)
{
    const ServerName &server = call.server.name;
    const bool isLeaving =
        m_state.servers.availability(server, step.now) == ServerAvailability::Leaving;
    if (isLeaving) {
        return; // The shutdown of a draining server is expected.
    }
    auto [suspected, isFirst] = m_suspicions.try_emplace(server);
    Suspicion &suspicion = suspected->second;
    if (event.isConnectionLost && carriesRequest(call.kind)) {
        addLostRequest(step, suspicion, call, request, event.events);
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

void CrashDetector::addLostRequest(Step &step, Suspicion &suspicion, const OpenCall &call,
                                   const OpenRequest &request, std::uint32_t events)
{
    if (suspicion.requests.size() >= MaxLostRequests) {
        return;
    }
    suspicion.requests.push_back(
        {request.arrival.callerId,
         request.service->name,
         {request.arrival.sharedParts, request.knownParts, request.organisationKey()},
         request.hasBegunToWrite(step.now),
         call.kind,
         std::max(request.forwardedEvents, events),
         request.knownCrashes,
         step.now - call.started});
}

std::string CrashDetector::textOf(const LostRequest &lost)
{
    std::string parts;
    for (std::size_t i = 0; i < std::min(lost.run.parts.size(), MaxLoggedParts); ++i) {
        const auto known =
            std::ranges::find(lost.run.known, lost.run.parts[i], &crashes::KnownPart::part);
        parts.append(parts.empty() ? "" : ",").append(indigoway::textOf(lost.run.parts[i]));
        if (known != lost.run.known.end()) {
            parts.append("/").append(std::to_string(known->crashes.count));
        }
    }
    return " lost=" + lost.callerId + ":" + nameOf(lost.kind) + ":events="
        + std::to_string(lost.events) + ":sent_ago_ms=" + millisecondsText(lost.sentAgo)
        + (lost.hasBegunToWrite ? ":writing" : ":not_writing")
        + ":known=" + std::to_string(lost.knownCrashes) + ":parts=" + (parts.empty() ? "-" : parts);
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
    for (std::size_t i = 0; i < std::min(suspicion.requests.size(), MaxLoggedRequests); ++i) {
        crashedContents += textOf(suspicion.requests[i]);
    }
    step.add(LogDecision {"server_crashed",
                          {},
                          "server=" + server.text() + " address=" + call.server.address
                              + " why=" + event.reason + crashedContents});
    recordPartCrashes(step, server, suspicion);
}

void CrashDetector::recordPartCrashes(Step &step, const ServerName &server,
                                      const Suspicion &suspicion)
{
    std::vector<crashes::LostRun> runs;
    for (const LostRequest &lost : suspicion.requests) {
        if (!lost.hasBegunToWrite && !lost.run.parts.empty()) {
            runs.push_back(lost.run);
        }
    }
    if (runs.empty()) {
        return;
    }
    const ServiceName &service = suspicion.requests.front().service;
    auto attribution = m_state.crashingParts.attribute(service, runs, step.now);
    std::string detail = "server=" + server.text() + " service=" + service.text()
        + " runs=" + std::to_string(runs.size());
    if (attribution.explainedBy) {
        detail += " explained_by=" + indigoway::textOf(*attribution.explainedBy);
    }
    step.add(LogDecision {"crash_attributed", {}, detail + partsText(attribution.notes)});
    m_parts.share(step, std::move(attribution.notes));
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
