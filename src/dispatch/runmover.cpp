#include "runmover.h"

#include <algorithm>

namespace indigoway::dispatch {

namespace {

/** Interval between checks whether the engines of runs leave. */
constexpr Duration CheckInterval = std::chrono::milliseconds(100);
/** Minimum time between two attempts to move the same run. */
constexpr Duration RetryInterval = std::chrono::milliseconds(400);
/** Time for which a leaving engine is expected to go on at least; engines do not announce it. */
constexpr Duration MinLeaveTime = std::chrono::seconds(2);

bool isMovable(const OpenRequest &request)
{
    return request.isGeneration() && request.service->engine->movesRuns
        && !request.arrival.callerId.empty() && request.stage == Stage::Decoding;
}

bool isBeingMoved(const RunRecord &run)
{
    return !run.targetClaim.isNone() || !run.stopCall.isNone();
}

} // namespace

RunState progressOf(const OpenRequest &request, TimePoint now)
{
    const std::uint64_t tokensPerEvent =
        std::max<std::uint32_t>(request.service->engine->tokensPerEvent, 1);
    RunState run;
    run.continuations = request.run.continuations;
    run.stopRequests = request.run.stopRequests;
    run.isClosedInDoubt = request.run.isClosedInDoubt;
    // The count of a stream that has begun may not have been reported yet.
    run.events = std::max(request.forwardedEvents, request.isForwarding ? 1U : 0U);
    run.expectedEvents = static_cast<std::uint32_t>(request.memory.outputTokens / tokensPerEvent);
    if (request.run.progressAt > request.firstAnswerAt) {
        run.decodeTime = request.run.progressAt - request.firstAnswerAt;
    }
    run.timeLeft = request.deadline - now;
    return run;
}

std::vector<RequestNumber> RunMover::dueMoves(std::map<RequestNumber, OpenRequest> &requests,
                                              const ServerDirectory &servers, TimePoint now)
{
    if (now < m_nextCheck) {
        return {};
    }
    struct Candidate
    {
        RequestNumber request;
        std::uint32_t remainingEvents = 0;
    };
    std::vector<Candidate> candidates;
    std::map<ServerName, TimePoint> leavingSince;
    std::size_t moving = 0;
    m_nextCheck = now + CheckInterval;
    m_hasRuns = false;
    for (auto &[number, request] : requests) {
        if (!isMovable(request)) {
            continue;
        }
        m_hasRuns = true;
        moving += isBeingMoved(request.run) ? 1 : 0;
        if (servers.availability(request.decodeServer, now) != ServerAvailability::Leaving
            || !servers.find(request.decodeServer)) {
            continue;
        }
        const auto known = m_leavingSince.find(request.decodeServer);
        const TimePoint since = known == m_leavingSince.end() ? now : known->second;
        leavingSince[request.decodeServer] = since;
        RunState run = progressOf(request, now);
        run.mayRequestTarget = request.isForwarding && !request.call.isNone()
            && !isBeingMoved(request.run) && !request.run.isContinuing
            && now >= request.run.movedAt + RetryInterval;
        const Duration engineTimeLeft = since + MinLeaveTime - now;
        const RunRecovery recovery(*request.service->engine);
        if (recovery.engineLeaving(run, engineTimeLeft).kind == RecoveryStep::Kind::RequestTarget) {
            candidates.push_back(
                {number, run.expectedEvents - std::min(run.expectedEvents, run.events)});
        }
    }
    m_leavingSince = std::move(leavingSince);
    std::ranges::stable_sort(candidates, std::greater {}, &Candidate::remainingEvents);
    std::vector<RequestNumber> due;
    for (const Candidate &candidate : candidates) {
        if (moving + due.size() >= MaxMoves) {
            break;
        }
        due.push_back(candidate.request);
    }
    return due;
}

} // namespace indigoway::dispatch
