#include "plainflow.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

constexpr int FirstServerFailure = 500;
constexpr int BadGateway = 502;
/**
 * Idle timeout of an idempotent request in multiples of its route's target; leaves time for a retry
 * at another server.
 */
constexpr int SilenceInTargets = 2;
/** Maximum of servers tried by calls that were not executed. */
constexpr std::size_t MostServersTried = 4;
/** Retry delay after a rejection; about the queueing time of a full server. */
constexpr Duration ComeBackAfter = std::chrono::milliseconds(250);
/** Cost of a server in another failure domain: the network round trip. */
constexpr double OtherDomainMilliseconds = 3;

} // namespace

void PlainFlow::begin(Step &step, OpenRequest &request)
{
    m_state.allowance(request.service->name).requestSent(step.now);
    send(step, request);
}

void PlainFlow::streamBegan(Step &step, OpenRequest &request, const StreamBegan &event)
{
    // Plain services may stream, too.
    request.isForwarding = true;
    request.firstAnswer = step.now;
    step.add(ForwardStream {request.facts.request, event.call});
}

void PlainFlow::callEnded(Step &step, OpenRequest &request, const OpenCall &call,
                          const CallEnded &event)
{
    const ServerName server = call.server.name;
    request.call = {};
    if (event.load) {
        m_state.tracker.loadTold(server, *event.load, step.now);
    }
    switch (event.end) {
    case CallEnd::Complete:
        answered(step, request, call, event);
        return;
    case CallEnd::NotExecuted:
        m_state.tracker.turnedAway(server);
        --request.runs;
        turnedAway(step, request, event.why);
        return;
    case CallEnd::NotConnected:
        m_state.tracker.unreachable(server, step.now);
        --request.runs;
        --request.arrivals;
        turnedAway(step, request, event.why);
        return;
    case CallEnd::Broken:
        m_state.tracker.failed(server, step.now);
        broken(step, request, event);
        return;
    }
}

void PlainFlow::orphanEnded(Step & /*step*/, const OpenCall &call, const CallEnded & /*event*/)
{
    m_state.tracker.callDropped(call.server.name);
}

void PlainFlow::release(Step &step, OpenRequest &request)
{
    if (!request.call.isNone()) {
        m_state.calls.abandon(step, request.call);
        request.call = {};
    }
}

std::optional<TimePoint> PlainFlow::tick(Step & /*step*/)
{
    return std::nullopt;
}

void PlainFlow::send(Step &step, OpenRequest &request)
{
    if (const auto refused = m_state.refusedFor(request.facts.content, step.now)) {
        if (request.mayHaveRun()) {
            m_state.requests.failInDoubt(step, request, BadGateway, CrashesServers);
        } else {
            m_state.requests.reject(step, request, *refused, CrashesServers);
        }
        return;
    }
    const AnnouncedServer *server = pick(step, request);
    if (!server) {
        m_state.requests.reject(step, request, step.spread(ComeBackAfter), "no server");
        return;
    }
    StartCall call;
    call.kind = CallKind::Plain;
    const bool isIdempotent = request.route->repetition == Repetition::Idempotent;
    ++request.runs;
    ++request.arrivals;
    if (mayRunAgain(request)) {
        call.silentFor = request.route->target * SilenceInTargets;
    }
    // A reused connection may close during the write, which leaves the execution in doubt and rules
    // out a retry.
    call.needsNewConnection = !isIdempotent;
    request.tried.insert(server->name);
    m_state.startFor(step, request, *server, std::move(call));
}

const AnnouncedServer *PlainFlow::pick(Step &step, const OpenRequest &request) const
{
    const auto all = m_state.servers.candidates(request.service->name, EnginePhase::None, step.now);
    std::vector<const AnnouncedServer *> fresh;
    for (const AnnouncedServer *server : all) {
        if (!request.tried.contains(server->name)) {
            fresh.push_back(server);
        }
    }
    const AnnouncedServer *best = nullptr;
    double bestScore = 0;
    const double typical = m_state.tracker.typicalMilliseconds(all);
    auto preferred = m_state.tracker.preferred(fresh, step.now);
    // Prevents all nodes from choosing the same of several equal servers.
    std::shuffle(preferred.begin(), preferred.end(), step.random);
    for (const AnnouncedServer *server : preferred) {
        double score = m_state.tracker.expectedMilliseconds(server->name, typical, step.now);
        score += server->domain == m_state.settings.domain ? 0 : OtherDomainMilliseconds;
        if (!best || score < bestScore) {
            best = server;
            bestScore = score;
        }
    }
    return best;
}

bool PlainFlow::mayRunAgain(const OpenRequest &request) const
{
    return request.route->repetition == Repetition::Idempotent
        && request.runs < request.route->maxAttempts && request.tried.size() < MostServersTried;
}

void PlainFlow::answered(Step &step, OpenRequest &request, const OpenCall &call,
                         const CallEnded &event)
{
    const bool isWell = event.status < FirstServerFailure;
    m_state.tracker.answered(call.server.name, step.now - call.started, isWell, step.now);
    if (request.isForwarding) {
        m_state.requests.endStream(step, request);
        return;
    }
    if (!isWell && mayRunAgain(request) && pick(step, request)
        && m_state.allowance(request.service->name).take(step.now)) {
        step.add(RecordDecision {"retry", request.facts.callerId,
                                 "after status " + std::to_string(event.status) + " of "
                                     + call.server.name.text()});
        send(step, request);
        return;
    }
    m_state.requests.deliver(step, request, event.call, event.status);
}

void PlainFlow::turnedAway(Step &step, OpenRequest &request, const std::string &why)
{
    if (request.runs > 0) {
        // An earlier call of this idempotent request may have been executed.
        m_state.requests.failInDoubt(step, request, BadGateway, why);
        return;
    }
    const bool isCounted = request.arrivals > 0;
    if (request.tried.size() < MostServersTried && pick(step, request)
        && (!isCounted || m_state.allowance(request.service->name).take(step.now))) {
        step.add(RecordDecision {"retry", request.facts.callerId, "not run: " + why});
        send(step, request);
        return;
    }
    m_state.requests.reject(step, request, step.spread(ComeBackAfter), why);
}

void PlainFlow::broken(Step &step, OpenRequest &request, const CallEnded &event)
{
    if (request.isForwarding) {
        m_state.requests.breakStream(step, request, event.why);
        return;
    }
    if (mayRunAgain(request) && pick(step, request)
        && m_state.allowance(request.service->name).take(step.now)) {
        step.add(RecordDecision {"retry", request.facts.callerId, "in doubt: " + event.why});
        send(step, request);
        return;
    }
    m_state.requests.failInDoubt(step, request, BadGateway, event.why);
}

} // namespace indigoway::dispatch
