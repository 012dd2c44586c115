#include "enginetracker.h"

#include <algorithm>
#include <cmath>

namespace indigoway::scheduling {

namespace {

/** Weight of a sample: three of them distinguish a slow engine from a single delay. */
constexpr double SlowdownWeight = 0.4;
constexpr double MinSlowdown = 0.7;
constexpr double MaxSlowdown = 8;
/** Limits the influence of one sample, which may be a network delay. */
constexpr double MaxSampleRatio = 4;
/** A slow engine gets few prompts, so its slowdown decays until it is tried again. */
constexpr Duration SlowdownHalfLife = std::chrono::seconds(4);
/** Limits the correction by one response; a larger difference is network delay. */
constexpr Duration MaxCorrection = std::chrono::milliseconds(500);
/** Time from a grant until the prompt is queued at the engine; memory is reserved first. */
constexpr Duration GrantToSendTime = std::chrono::milliseconds(20);
/** Prefill time on a decode engine relative to a prefill engine. */
constexpr double LocalPrefillSlowdown = 2;
/**
 * Share of a decode engine's time for local prefills. During a prefill, its runs generate tokens
 * several times slower and hold memory for longer.
 */
constexpr double LocalPrefillShare = 0.25;
/** Runs end several times per second on a full engine. */
constexpr Duration OutOfMemoryBackoff = std::chrono::milliseconds(80);
/** Longer than any avoidance period and than an engine idles in a busy fleet. */
constexpr Duration IdleRetention = std::chrono::seconds(60);
/**
 * An engine that is still announced in its old phase after this time has not carried out the order.
 */
constexpr Duration UnannouncedPhaseTimeout = std::chrono::seconds(30);
/** A single failure also happens on healthy engines. */
constexpr std::uint32_t FailuresToSuspect = 2;
/**
 * An engine that fails a third of its requests fails this many in a row once in a hundred times,
 * while a dead engine fails all its open requests at once.
 */
constexpr std::uint32_t FailuresToAvoid = 4;
constexpr Duration InitialAvoidance = std::chrono::milliseconds(800);
constexpr std::uint32_t MaxDoublings = 2;

} // namespace

void EngineTracker::addRun(const ServerName &server, RunNumber run, const MemoryNeed &need,
                           TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.memory.add(run, need);
    engine.lastUsed = now;
}

void EngineTracker::beginDecode(const ServerName &server, RunNumber run, TimePoint now)
{
    m_engines[server].memory.beginDecode(run, now);
}

void EngineTracker::removeRun(const ServerName &server, RunNumber run)
{
    Engine &engine = m_engines[server];
    if (engine.memory.remove(run)) {
        engine.outOfMemoryUntil = {};
    }
}

MemoryProjection EngineTracker::memoryProjection(const ServerName &server,
                                                 const DecodeEstimator &estimator,
                                                 TimePoint now) const
{
    const Engine *engine = find(server);
    return engine ? engine->memory.projection(estimator, now) : MemoryProjection();
}

Duration EngineTracker::prefillWait(const ServerName &server, TimePoint now) const
{
    const Engine *engine = find(server);
    return engine && engine->busyUntil > now ? engine->busyUntil - now : Duration(0);
}

Duration EngineTracker::prefillTime(const ServerName &server, std::uint32_t tokens,
                                    const PrefillEstimator &estimator, TimePoint now) const
{
    return prefillWait(server, now) + computeTimeOf(find(server), tokens, estimator, now)
        + estimator.responseOverhead();
}

PrefillAssignment EngineTracker::beginPrefill(const ServerName &server, std::uint32_t tokens,
                                              const PrefillEstimator &estimator, TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.lastUsed = now;
    PrefillAssignment assignment;
    assignment.server = server;
    assignment.granted = now;
    assignment.tokens = tokens;
    assignment.queueShift = engine.queueShift;
    assignment.wasEngineIdle = engine.queue.empty();
    assignment.isBackToBack = wouldRunBackToBack(server, now);
    assignment.computeTime = computeTimeOf(&engine, tokens, estimator, now);
    assignment.sequence = ++engine.lastSequence;
    engine.busyUntil = std::max(engine.busyUntil, now) + assignment.computeTime;
    assignment.expectedEnd = engine.busyUntil + estimator.responseOverhead();
    engine.queue.push_back({assignment.sequence, Duration(0)});
    return assignment;
}

bool EngineTracker::wouldRunBackToBack(const ServerName &server, TimePoint now) const
{
    const Engine *engine = find(server);
    return engine && engine->queue.size() == 1 && engine->busyUntil > now + GrantToSendTime;
}

void EngineTracker::completePrefill(const PrefillAssignment &assignment,
                                    PrefillEstimator &estimator, TimePoint now)
{
    Engine &engine = m_engines[assignment.server];
    if (assignment.wasEngineIdle) {
        // Long prompts go to fast engines. Unless samples are normalised by the engine's slowdown,
        // long prompts seem to take hardly longer than short ones, and queueing delays are
        // underestimated.
        const Duration ownTime = now - assignment.granted - estimator.responseOverhead();
        const double typical = static_cast<double>(ownTime.count()) / slowdownOf(engine, now);
        estimator.add(assignment.tokens,
                      estimator.responseOverhead() + Duration(static_cast<Duration::rep>(typical)));
    }
    if (assignment.isBackToBack && assignment.granted < engine.lastResponse) {
        estimator.addBackToBack(assignment.tokens, now - engine.lastResponse);
    }
    engine.lastResponse = now;
    const Duration timeSaved = removeFromQueue(engine, assignment, now);
    if (!engine.queue.empty()) {
        // A negative correction must exclude the time that earlier responses have already
        // corrected; otherwise an engine that is slightly faster than expected appears idle and is
        // flooded. A positive correction is applied in full, because what delays one prompt also
        // delays the next ones.
        const TimePoint expected =
            assignment.expectedEnd + (engine.queueShift - assignment.queueShift) - timeSaved;
        const Duration correction = std::clamp(
            Duration(now - (now > assignment.expectedEnd ? assignment.expectedEnd : expected)),
            -MaxCorrection, MaxCorrection);
        engine.busyUntil += correction;
        engine.queueShift += correction;
    }
    const double expectedSeconds =
        static_cast<double>((assignment.expectedEnd - assignment.granted).count());
    const double actualSeconds = static_cast<double>((now - assignment.granted).count());
    const double ratio =
        std::clamp(actualSeconds / expectedSeconds, 1 / MaxSampleRatio, MaxSampleRatio);
    engine.slowdown = std::clamp(slowdownOf(engine, now) * std::pow(ratio, SlowdownWeight),
                                 MinSlowdown, MaxSlowdown);
    engine.slowdownUpdatedAt = now;
}

void EngineTracker::failPrefill(const PrefillAssignment &assignment, TimePoint now)
{
    Engine &engine = m_engines[assignment.server];
    // It is unknown when the engine started the next prompt.
    engine.lastResponse = {};
    removeFromQueue(engine, assignment, now);
}

void EngineTracker::cancelPrefill(const PrefillAssignment &assignment, TimePoint now)
{
    Engine &engine = m_engines[assignment.server];
    engine.lastResponse = {};
    removeFromQueue(engine, assignment, now);
    engine.busyUntil = std::max(engine.busyUntil - assignment.computeTime, now);
    for (QueuedPrompt &prompt : engine.queue) {
        prompt.timeSaved +=
            prompt.sequence > assignment.sequence ? assignment.computeTime : Duration(0);
    }
}

Duration EngineTracker::removeFromQueue(Engine &engine, const PrefillAssignment &assignment,
                                        TimePoint now)
{
    const auto it = std::ranges::find(engine.queue, assignment.sequence, &QueuedPrompt::sequence);
    if (it == engine.queue.end()) {
        return Duration(0);
    }
    const Duration timeSaved = it->timeSaved;
    engine.queue.erase(it);
    if (engine.queue.empty()) {
        engine.busyUntil = now;
    }
    return timeSaved;
}

void EngineTracker::beginLocalPrefill(const ServerName &server, std::uint32_t tokens,
                                      const PrefillEstimator &estimator, TimePoint now)
{
    Engine &engine = m_engines[server];
    const auto duration =
        static_cast<double>(computeTimeOf(&engine, tokens, estimator, now).count())
        * LocalPrefillSlowdown;
    engine.localPrefillAfter =
        now + Duration(static_cast<Duration::rep>(duration / LocalPrefillShare));
    engine.lastUsed = now;
}

bool EngineTracker::canPrefillLocally(const ServerName &server, TimePoint now) const
{
    const Engine *engine = find(server);
    return !engine || now >= engine->localPrefillAfter;
}

double EngineTracker::localPrefillRatio()
{
    return LocalPrefillShare / LocalPrefillSlowdown;
}

void EngineTracker::recordOutOfMemory(const ServerName &server, std::uint64_t memory, TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.outOfMemoryUntil = now + OutOfMemoryBackoff;
    if (engine.memory.totalTokens() < memory / 2) {
        // By its reservations the engine can't be full: it is probably changing its phase or
        // shutting down. As the engine with the lowest memory peak, it would otherwise get every
        // claim.
        recordFailure(server, now);
    }
}

void EngineTracker::recordFailure(const ServerName &server, TimePoint now)
{
    Engine &engine = m_engines[server];
    ++engine.consecutiveFailures;
    if (engine.consecutiveFailures < FailuresToSuspect) {
        return;
    }
    const std::uint32_t doublings =
        std::min(engine.consecutiveFailures - FailuresToSuspect, MaxDoublings);
    engine.suspectUntil = now + InitialAvoidance * (1U << doublings);
    if (engine.consecutiveFailures >= FailuresToAvoid) {
        engine.avoidedUntil = engine.suspectUntil;
    }
}

void EngineTracker::recordUnreachable(const ServerName &server, TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.consecutiveFailures = std::max(engine.consecutiveFailures, FailuresToSuspect - 1);
    recordFailure(server, now);
    engine.avoidedUntil = engine.suspectUntil;
}

void EngineTracker::recordTransferFailure(const ServerName &prefill, const ServerName &decode,
                                          TimePoint now)
{
    m_transferFaults.recordFailure(prefill, decode, now);
}

void EngineTracker::recordPhaseChange(const PhaseChangeNotice &notice, TimePoint now)
{
    Engine &engine = m_engines[notice.server];
    engine.targetPhase = notice.to;
    engine.phaseChangeEnd = now + notice.maxDuration;
    engine.isPhaseChangeAccepted = notice.isAccepted;
    engine.lastUsed = now;
}

EnginePhase EngineTracker::phaseOf(const AnnouncedServer &server, TimePoint now) const
{
    const Engine *engine = find(server.name);
    const bool isUnannounced = engine && engine->isPhaseChangeAccepted
        && now >= engine->phaseChangeEnd && now < engine->phaseChangeEnd + UnannouncedPhaseTimeout;
    return isUnannounced ? engine->targetPhase : server.phase;
}

void EngineTracker::recordSuccess(const ServerName &server)
{
    m_engines[server].consecutiveFailures = 0;
}

void EngineTracker::removeIdle(TimePoint now)
{
    std::erase_if(m_engines, [now](const auto &one) {
        const Engine &engine = one.second;
        return engine.memory.runs() == 0 && engine.queue.empty()
            && now > engine.lastUsed + IdleRetention;
    });
}

bool EngineTracker::isUnavailable(const AnnouncedServer &server, TimePoint now) const
{
    const Engine *engine = find(server.name);
    if (!engine) {
        return false;
    }
    const bool isChanging = now < engine->phaseChangeEnd && server.phase != engine->targetPhase;
    return isChanging || now < std::max(engine->avoidedUntil, engine->outOfMemoryUntil);
}

bool EngineTracker::isSuspect(const ServerName &server, TimePoint now) const
{
    const Engine *engine = find(server);
    return engine && now < engine->suspectUntil;
}

const EngineTracker::Engine *EngineTracker::find(const ServerName &server) const
{
    const auto it = m_engines.find(server);
    return it == m_engines.end() ? nullptr : &it->second;
}

Duration EngineTracker::computeTimeOf(const Engine *engine, std::uint32_t tokens,
                                      const PrefillEstimator &estimator, TimePoint now)
{
    const double typical = static_cast<double>(estimator.computeTime(tokens).count());
    return Duration(static_cast<Duration::rep>(typical * (engine ? slowdownOf(*engine, now) : 1)));
}

double EngineTracker::slowdownOf(const Engine &engine, TimePoint now)
{
    const double halfLives = static_cast<double>((now - engine.slowdownUpdatedAt).count())
        / static_cast<double>(SlowdownHalfLife.count());
    return 1 + (engine.slowdown - 1) * std::exp2(-std::min(halfLives, 20.0));
}

} // namespace indigoway::scheduling
