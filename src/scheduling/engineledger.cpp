#include "engineledger.h"

#include <algorithm>
#include <cmath>

namespace indigoway::scheduling {

namespace {

/** Of a sample: three of them tell a slow engine from one long wait. */
constexpr double SlownessWeight = 0.4;
constexpr double LeastSlowness = 0.7;
constexpr double MostSlowness = 8;
/** One sample changes the estimate by so much at the most: it may be the network's delay. */
constexpr double MostSampleRatio = 4;
/** An engine that was slow gets few prompts; so it is tried again as time passes. */
constexpr Duration SlownessHalfLife = std::chrono::seconds(4);
/** What one answer may correct the line by; the rest is the answer's own way. */
constexpr Duration MostCorrection = std::chrono::milliseconds(500);
/** From a grant until its prompt is in the engine's line: room is reserved first. */
constexpr Duration SentWithin = std::chrono::milliseconds(20);
/** A decode engine reads a prompt at half of a prefill engine's speed. */
constexpr double WholeReadSlower = 2;
/**
 * Of a decode engine's time: while it reads, the tokens of its runs come several times slower, and
 * each run that lasts longer holds memory for longer.
 */
constexpr double WholeReadPart = 0.25;
/** Room comes free some times a second on a full engine. */
constexpr Duration FullFor = std::chrono::milliseconds(80);
/** Longer than any avoidance, and than an engine of a busy fleet stays without work. */
constexpr Duration RememberedFor = std::chrono::seconds(60);
/** An engine that is announced otherwise for longer has not done what it had accepted. */
constexpr Duration BelievedFor = std::chrono::seconds(30);
/** Two failures in a row: one alone happens to healthy engines. */
constexpr std::uint32_t FailuresToDoubt = 2;
/**
 * An engine that fails a third of its requests fails so many in a row once in a hundred times; a
 * dead one has as many open, and fails them all at once.
 */
constexpr std::uint32_t FailuresToAvoid = 4;
constexpr Duration FirstAvoidance = std::chrono::milliseconds(800);
constexpr std::uint32_t MostDoublings = 2;

} // namespace

void EngineLedger::charge(const ServerName &server, RunNumber run, const MemoryNeed &need,
                          TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.memory.add(run, need);
    engine.lastUsed = now;
}

void EngineLedger::beginDecode(const ServerName &server, RunNumber run, TimePoint now)
{
    m_engines[server].memory.begin(run, now);
}

void EngineLedger::discharge(const ServerName &server, RunNumber run)
{
    Engine &engine = m_engines[server];
    if (engine.memory.remove(run)) {
        engine.fullUntil = {};
    }
}

MemoryOutlook EngineLedger::memoryOutlook(const ServerName &server, const GenerationPace &pace,
                                          TimePoint now) const
{
    const Engine *engine = find(server);
    return engine ? engine->memory.outlook(pace, now) : MemoryOutlook();
}

Duration EngineLedger::prefillWait(const ServerName &server, TimePoint now) const
{
    const Engine *engine = find(server);
    return engine && engine->busyUntil > now ? engine->busyUntil - now : Duration(0);
}

Duration EngineLedger::prefillTime(const ServerName &server, std::uint32_t tokens,
                                   const PrefillPace &pace, TimePoint now) const
{
    return prefillWait(server, now) + workOf(find(server), tokens, pace, now) + pace.answerTime();
}

PrefillTurn EngineLedger::beginPrefill(const ServerName &server, std::uint32_t tokens,
                                       const PrefillPace &pace, TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.lastUsed = now;
    PrefillTurn turn;
    turn.server = server;
    turn.granted = now;
    turn.tokens = tokens;
    turn.shift = engine.shift;
    turn.isAlone = engine.line.empty();
    turn.isNext = wouldFollow(server, now);
    turn.work = workOf(&engine, tokens, pace, now);
    turn.place = ++engine.lastPlace;
    engine.busyUntil = std::max(engine.busyUntil, now) + turn.work;
    turn.expectedEnd = engine.busyUntil + pace.answerTime();
    engine.line.push_back({turn.place, Duration(0)});
    return turn;
}

bool EngineLedger::wouldFollow(const ServerName &server, TimePoint now) const
{
    const Engine *engine = find(server);
    return engine && engine->line.size() == 1 && engine->busyUntil > now + SentWithin;
}

void EngineLedger::endPrefill(const PrefillTurn &turn, PrefillPace &pace, TimePoint now)
{
    Engine &engine = m_engines[turn.server];
    if (turn.isAlone) {
        // Long prompts go to the fast engines: unless that is taken out, they seem to take hardly
        // longer than short ones, and each engine's line seems shorter than it is.
        const Duration own = now - turn.granted - pace.answerTime();
        const double typical = static_cast<double>(own.count()) / slownessOf(engine, now);
        pace.add(turn.tokens, pace.answerTime() + Duration(static_cast<Duration::rep>(typical)));
    }
    if (turn.isNext && turn.granted < engine.lastAnswer) {
        pace.addNext(turn.tokens, now - engine.lastAnswer);
    }
    engine.lastAnswer = now;
    const Duration gained = leaveLine(engine, turn, now);
    if (!engine.line.empty()) {
        // Time gained is in the estimate already where earlier prompts of the line have shown it;
        // counted again with each of them, an engine a little faster than thought looked idle and
        // was flooded. Time lost does count again: what makes one prompt late, a slow engine or
        // one that has just come back, makes the next one later than its work alone.
        const TimePoint expected = turn.expectedEnd + (engine.shift - turn.shift) - gained;
        const Duration correction =
            std::clamp(Duration(now - (now > turn.expectedEnd ? turn.expectedEnd : expected)),
                       -MostCorrection, MostCorrection);
        engine.busyUntil += correction;
        engine.shift += correction;
    }
    const double thought = static_cast<double>((turn.expectedEnd - turn.granted).count());
    const double took = static_cast<double>((now - turn.granted).count());
    const double ratio = std::clamp(took / thought, 1 / MostSampleRatio, MostSampleRatio);
    engine.slowness = std::clamp(slownessOf(engine, now) * std::pow(ratio, SlownessWeight),
                                 LeastSlowness, MostSlowness);
    engine.slownessAt = now;
}

void EngineLedger::dropPrefill(const PrefillTurn &turn, TimePoint now)
{
    Engine &engine = m_engines[turn.server];
    // When the engine turned to the next one is not known.
    engine.lastAnswer = {};
    leaveLine(engine, turn, now);
}

void EngineLedger::withdrawPrefill(const PrefillTurn &turn, TimePoint now)
{
    Engine &engine = m_engines[turn.server];
    engine.lastAnswer = {};
    leaveLine(engine, turn, now);
    engine.busyUntil = std::max(engine.busyUntil - turn.work, now);
    for (InLine &prompt : engine.line) {
        prompt.gained += prompt.place > turn.place ? turn.work : Duration(0);
    }
}

Duration EngineLedger::leaveLine(Engine &engine, const PrefillTurn &turn, TimePoint now)
{
    const auto it = std::ranges::find(engine.line, turn.place, &InLine::place);
    if (it == engine.line.end()) {
        return Duration(0);
    }
    const Duration gained = it->gained;
    engine.line.erase(it);
    if (engine.line.empty()) {
        engine.busyUntil = now;
    }
    return gained;
}

void EngineLedger::beginWholeRead(const ServerName &server, std::uint32_t tokens,
                                  const PrefillPace &pace, TimePoint now)
{
    Engine &engine = m_engines[server];
    const auto takes =
        static_cast<double>(workOf(&engine, tokens, pace, now).count()) * WholeReadSlower;
    engine.readsWholeAfter = now + Duration(static_cast<Duration::rep>(takes / WholeReadPart));
    engine.lastUsed = now;
}

bool EngineLedger::mayReadWhole(const ServerName &server, TimePoint now) const
{
    const Engine *engine = find(server);
    return !engine || now >= engine->readsWholeAfter;
}

double EngineLedger::wholeReadsOfPrefill()
{
    return WholeReadPart / WholeReadSlower;
}

void EngineLedger::refusedRoom(const ServerName &server, std::uint64_t memory, TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.fullUntil = now + FullFor;
    if (engine.memory.wholeTokens() < memory / 2) {
        // It cannot be full. An engine that changes its phase, or has just begun to leave, looks
        // like that: it would be the emptiest, and get every claim, for seconds.
        failed(server, now);
    }
}

void EngineLedger::failed(const ServerName &server, TimePoint now)
{
    Engine &engine = m_engines[server];
    ++engine.failuresInRow;
    if (engine.failuresInRow < FailuresToDoubt) {
        return;
    }
    const std::uint32_t doublings = std::min(engine.failuresInRow - FailuresToDoubt, MostDoublings);
    engine.doubtfulUntil = now + FirstAvoidance * (1U << doublings);
    if (engine.failuresInRow >= FailuresToAvoid) {
        engine.avoidedUntil = engine.doubtfulUntil;
    }
}

void EngineLedger::unreachable(const ServerName &server, TimePoint now)
{
    Engine &engine = m_engines[server];
    engine.failuresInRow = std::max(engine.failuresInRow, FailuresToDoubt - 1);
    failed(server, now);
    engine.avoidedUntil = engine.doubtfulUntil;
}

void EngineLedger::lostHandover(const ServerName &prefill, const ServerName &decode, TimePoint now)
{
    m_handovers.lost(prefill, decode, now);
}

void EngineLedger::changesPhase(const EngineChanging &change, TimePoint now)
{
    Engine &engine = m_engines[change.server];
    engine.changesTo = change.to;
    engine.changesUntil = now + change.lasts;
    engine.hasAccepted = change.isAccepted;
    engine.lastUsed = now;
}

EnginePhase EngineLedger::phaseOf(const AnnouncedServer &server, TimePoint now) const
{
    const Engine *engine = find(server.name);
    const bool isUnannounced = engine && engine->hasAccepted && now >= engine->changesUntil
        && now < engine->changesUntil + BelievedFor;
    return isUnannounced ? engine->changesTo : server.phase;
}

void EngineLedger::workedWell(const ServerName &server)
{
    m_engines[server].failuresInRow = 0;
}

void EngineLedger::forgetIdle(TimePoint now)
{
    std::erase_if(m_engines, [now](const auto &one) {
        const Engine &engine = one.second;
        return engine.memory.runs() == 0 && engine.line.empty()
            && now > engine.lastUsed + RememberedFor;
    });
}

bool EngineLedger::isOut(const AnnouncedServer &server, TimePoint now) const
{
    const Engine *engine = find(server.name);
    if (!engine) {
        return false;
    }
    const bool isChanging = now < engine->changesUntil && server.phase != engine->changesTo;
    return isChanging || now < std::max(engine->avoidedUntil, engine->fullUntil);
}

bool EngineLedger::isDoubtful(const ServerName &server, TimePoint now) const
{
    const Engine *engine = find(server);
    return engine && now < engine->doubtfulUntil;
}

const EngineLedger::Engine *EngineLedger::find(const ServerName &server) const
{
    const auto it = m_engines.find(server);
    return it == m_engines.end() ? nullptr : &it->second;
}

Duration EngineLedger::workOf(const Engine *engine, std::uint32_t tokens, const PrefillPace &pace,
                              TimePoint now)
{
    const double typical = static_cast<double>(pace.work(tokens).count());
    return Duration(static_cast<Duration::rep>(typical * (engine ? slownessOf(*engine, now) : 1)));
}

double EngineLedger::slownessOf(const Engine &engine, TimePoint now)
{
    const double halfLives = static_cast<double>((now - engine.slownessAt).count())
        / static_cast<double>(SlownessHalfLife.count());
    return 1 + (engine.slowness - 1) * std::exp2(-std::min(halfLives, 20.0));
}

} // namespace indigoway::scheduling
