#include "dispatch/dispatcherharness.h"

#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <set>

using namespace indigoway;
using namespace indigoway::dispatch;
using namespace indigoway::scheduling;

namespace {

constexpr std::uint32_t Prompt = 5'000;
const Incarnation Life(7);

/** Adds three decode engines and a prefill engine, which the scheduler assigns. */
void useEngines(DispatcherHarness &harness, bool keepsBackups)
{
    harness.setEngineFeatures(keepsBackups, true);
    harness.useRoutes();
    for (const char *name : {"d1", "d2", "d3"}) {
        harness.addServer(name, EnginePhase::Decode);
    }
    harness.addServer("p1", EnginePhase::Prefill);
    harness.dispatcher().setScheduler(NodeName("scheduler"));
}

ClaimGranted grantOf(const Claim &claim, const std::string &engine, const std::string &backup)
{
    ClaimGranted grant {claim.claim, ServerName(engine), {}, std::nullopt};
    if (claim.promptTokens > 0) {
        grant.prefillServer = ServerName("p1");
    }
    grant.backupServer = ServerName(backup);
    return grant;
}

// The table.

/** How a request to stop a run is answered. */
struct Answer
{
    const char *name;
    CallEnd end = CallEnd::Complete;
    int status = 0;
    bool hasHandle = false;
    bool isRefused = false;
    int delay = 20; ///< Milliseconds after the request.
};

constexpr int MoveTimeout = 1'000;
const std::vector<Answer> Answers = {
    {"200 with a handle", CallEnd::Complete, 200, true},
    {"late 200 with a handle", CallEnd::Complete, 200, true, false, 900},
    {"200 without a handle", CallEnd::Complete, 200},
    {"503 with a handle", CallEnd::Complete, 503, true},
    {"503 not executed, with a handle", CallEnd::NotExecuted, 503, true},
    {"503 without a handle", CallEnd::Complete, 503},
    {"503 not executed", CallEnd::NotExecuted, 503},
    {"429 not executed", CallEnd::NotExecuted, 429},
    {"404", CallEnd::Complete, 404},
    {"late 404", CallEnd::Complete, 404, false, false, 900},
    {"409", CallEnd::Complete, 409},
    {"421", CallEnd::Complete, 421},
    {"500", CallEnd::Complete, 500},
    {"reset", CallEnd::Broken},
    {"half of a 200", CallEnd::Broken, 200, true},
    {"half of a 404", CallEnd::Broken, 404},
    {"none", CallEnd::Broken, 0, false, false, MoveTimeout},
    {"refused", CallEnd::NotConnected, 0, false, true},
    {"not connected", CallEnd::NotConnected, 0, false, false, 100},
    {"no path", CallEnd::NoPath},
    {"path lost", CallEnd::PathLost},
};

/** What an answer proves of the request to stop the run. */
enum class Proof {
    NotStopped, ///< It was not carried out, and will not be.
    Stopped,
    EngineReplaced, ///< It was not carried out, but the run's process has ended.
    Nothing,
};

/** The rule of docs/design/run-recovery.md, "What proves an end". */
Proof proofOf(const Answer &answer)
{
    if (isUnsent(answer.end)) {
        return Proof::NotStopped;
    }
    if (isCutShort(answer.end)) {
        return Proof::Nothing;
    }
    if (answer.hasHandle) {
        return Proof::Stopped;
    }
    if (answer.status == 421) {
        return Proof::EngineReplaced;
    }
    const bool isDenied = answer.end == CallEnd::NotExecuted || answer.status == 404;
    return isDenied ? Proof::NotStopped : Proof::Nothing;
}

/** When the stream of the run ends. */
enum class Moment { BeforeAnswer, JustBeforeAnswer, WithAnswer, AfterAnswer, LongAfterAnswer };
enum class Ending { Close, Framing, Break };

const char *nameOf(Moment moment)
{
    constexpr std::array Names = {"before", "just before", "with", "after", "long after"};
    return Names.at(static_cast<std::size_t>(moment));
}

const char *nameOf(Ending ending)
{
    constexpr std::array Names = {"close", "framing", "break"};
    return Names.at(static_cast<std::size_t>(ending));
}

struct Cell
{
    const Answer *first = nullptr; ///< To an earlier request to stop the run; null if none.
    const Answer *last = nullptr;  ///< To the last request, and to each one that follows it.
    Moment moment = Moment::BeforeAnswer;
    Ending ending = Ending::Close;
    bool hasBackup = false;
    const char *route = "stream";
};

std::string textOf(const Cell &cell)
{
    return std::string(cell.route) + (cell.hasBackup ? ", backup" : ", no backup")
        + (cell.first ? std::string(", first: ") + cell.first->name : std::string())
        + ", stop: " + cell.last->name + ", " + nameOf(cell.ending) + " " + nameOf(cell.moment);
}

/** Plays a run at d1 that is stopped once or twice, while its stream ends. */
class StopPlay
{
public:
    explicit StopPlay(const Cell &cell)
        : m_cell(cell)
        , m_backup(cell.hasBackup ? "d2" : "")
    {
        useEngines(m_harness, cell.hasBackup);
        m_request = m_harness.arrive(0, cell.route, Prompt);
        serve();
        startStream(150);
        m_harness.addServer("d1", EnginePhase::Decode, true);
    }

    void run()
    {
        m_time = 1'300;
        if (m_cell.first) {
            order();
            m_time += m_cell.first->delay;
            answer(*m_cell.first);
            serve();
            if (proofOf(*m_cell.first) == Proof::Stopped) {
                startStream(m_time + 10); // The run goes on at its engine.
                check(m_stream.server == ServerName("d1"), "the run is not at d1");
            }
        }
        order();
        const int ordered = m_time;
        const int answered = ordered + m_cell.last->delay;
        switch (m_cell.moment) {
        case Moment::BeforeAnswer:
        case Moment::JustBeforeAnswer:
            m_time = m_cell.moment == Moment::BeforeAnswer ? ordered + 3 : answered;
            endStream();
            m_time = answered;
            answer(*m_cell.last);
            break;
        case Moment::WithAnswer:
        case Moment::AfterAnswer:
        case Moment::LongAfterAnswer:
            m_time = answered;
            answer(*m_cell.last);
            m_time += m_cell.moment == Moment::WithAnswer ? 0
                : m_cell.moment == Moment::AfterAnswer    ? 5
                                                          : 300;
            endStream();
            break;
        }
        finish();
    }

private:
    void check(bool isTrue, const char *what) const
    {
        CPPUNIT_ASSERT_MESSAGE(
            textOf(m_cell) + ": " + what + ", outcome " + m_harness.outcome(m_request), isTrue);
    }

    /** Acts as the scheduler and the engines until a request to stop the run or a stream is due. */
    void serve()
    {
        bool isIdle = false;
        while (!isIdle) {
            isIdle = true;
            for (const ToScheduler &message : m_harness.takeSchedulerMessages()) {
                if (const auto *claim = std::get_if<Claim>(&message)) {
                    const bool isFirst = m_stream.call.isNone();
                    m_harness.reduce(
                        m_time,
                        SchedulerAnswered {grantOf(*claim, isFirst ? "d1" : "d3", m_backup), Life});
                    isIdle = false;
                }
            }
            while (m_harness.hasCalls()) {
                const StartCall call = m_harness.nextCall();
                isIdle = false;
                if (call.kind == CallKind::StopRun) {
                    check(!m_stop, "two requests to stop the run are open");
                    check(call.server == m_stream.server, "a run elsewhere is stopped");
                    m_stop = call;
                    ++m_unproved[call.server];
                } else if (call.kind == CallKind::Decode || call.kind == CallKind::Whole) {
                    check(!m_next, "two streams at a time");
                    m_next = call;
                } else if (call.kind == CallKind::Reserve || call.kind == CallKind::Prefill) {
                    m_harness.grant(m_time, call);
                }
            }
        }
    }

    /** Waits for the next request to stop the run. */
    void order()
    {
        for (int end = m_time + 1'000; !m_stop && m_time < end; m_time += 10) {
            m_harness.reduce(m_time, TimePassed {});
            serve();
        }
        check(m_stop.has_value(), "the run is not stopped");
    }

    void answer(const Answer &answer)
    {
        const Proof proof = proofOf(answer);
        m_unproved[m_stream.server] -= proof == Proof::Nothing ? 0 : 1;
        m_isStopped = proof == Proof::Stopped;
        m_isReplaced = m_isReplaced || proof == Proof::EngineReplaced;
        m_isEndHeard = m_isEndHeard && (m_hasEnded || proof != Proof::Stopped);
        CallEnded ended;
        ended.call = std::exchange(m_stop, std::nullopt)->call;
        ended.end = answer.end;
        ended.status = answer.status;
        ended.handle = answer.hasHandle ? "k9" : "";
        ended.isRefused = answer.isRefused;
        m_harness.reduce(m_time, ended);
        if (!m_hasEnded && proof == Proof::Stopped) {
            // Whatever the run's engine still says belongs to a call that is over.
            check(m_harness.wasAbandoned(m_stream), "the stopped run's call goes on");
        }
    }

    void startStream(int milliseconds)
    {
        m_time = milliseconds;
        check(m_next.has_value(), "no stream was begun");
        m_stream = *std::exchange(m_next, std::nullopt);
        m_isEndHeard = true;
        m_isStopped = false;
        m_isReplaced = false; // Another process may serve this call.
        m_harness.reduce(m_time, StreamStarted {m_stream.call, 200, {}});
    }

    void endStream()
    {
        m_hasEnded = true;
        end(m_stream, 20);
        serve();
    }

    void end(const StartCall &call, std::uint32_t events)
    {
        CallEnded ended;
        ended.call = call.call;
        ended.end = m_cell.ending == Ending::Break ? CallEnd::Broken : CallEnd::Complete;
        ended.status = 200;
        ended.events = events;
        ended.isEndedByClose = m_cell.ending == Ending::Close;
        m_harness.reduce(m_time, ended);
    }

    bool isOpen() const { return m_harness.outcome(m_request) == "open"; }

    /** Plays on until the caller has its answer, and compares each end with the rule. */
    void finish()
    {
        serve();
        for (int waits = 0; isOpen() && !m_next && waits < 20; ++waits) {
            if (m_stop) {
                m_time += m_cell.last->delay;
                answer(*m_cell.last);
            } else {
                m_time += 20;
                m_harness.reduce(m_time, TimePassed {});
            }
            serve();
        }
        const bool isProved = m_unproved[m_stream.server] == 0 && !m_isStopped && !m_isReplaced;
        const bool isWhole = m_isEndHeard
            && (m_cell.ending == Ending::Framing || (m_cell.ending == Ending::Close && isProved));
        check(!isOpen() || m_next, "the stream neither ends nor goes on");
        check((m_harness.outcome(m_request) == "streamed") == isWhole,
              isWhole ? "a whole stream is not complete" : "a stream without proof is complete");
        finishContinuations();
        check(!isOpen(), "the request does not end");
        check(m_harness.endings(m_request) == 1, "the request ends more than once");
        check(m_harness.dispatcher().open() == 0, "the dispatcher keeps the request");
    }

    /** A stream that goes on is complete unless a stop at its engine is not proved. */
    void finishContinuations()
    {
        while (m_next) {
            startStream(m_time + 30);
            m_time += 100;
            const bool mayBeCut = m_unproved[m_stream.server] > 0;
            const bool isWhole =
                m_cell.ending == Ending::Framing || (m_cell.ending == Ending::Close && !mayBeCut);
            end(m_stream, 40);
            check((m_harness.outcome(m_request) == "streamed") == isWhole,
                  isWhole ? "a whole continuation is not complete"
                          : "a continuation without proof is complete");
            serve();
            for (int waits = 0; isOpen() && !m_next && waits < 200; ++waits) {
                // Requests to stop a run that went on are lost.
                m_time += 20;
                if (m_stop) {
                    answerLost();
                } else {
                    m_harness.reduce(m_time, TimePassed {});
                }
                serve();
            }
        }
    }

    void answerLost()
    {
        m_harness.end(m_time, *std::exchange(m_stop, std::nullopt), CallEnd::Broken);
    }

    const Cell m_cell;
    const std::string m_backup;
    DispatcherHarness m_harness;
    RequestNumber m_request;
    int m_time = 0;
    StartCall m_stream;
    std::optional<StartCall> m_stop;
    std::optional<StartCall> m_next; ///< A call for the run that has not been answered yet.
    /** Requests to stop the run of which it is not known what became. */
    std::map<ServerName, int> m_unproved;
    bool m_isStopped = false;  ///< By the present call's engine, as it has said.
    bool m_isReplaced = false; ///< The process that began to serve the present call.
    bool m_hasEnded = false;
    bool m_isEndHeard = true; ///< The stream's end comes while its call is open.
};

std::vector<Cell> cellsOf(const Answer *first)
{
    std::vector<Cell> cells;
    for (const Answer &last : Answers) {
        for (int moment = 0; moment <= static_cast<int>(Moment::LongAfterAnswer); ++moment) {
            for (const Ending ending : {Ending::Close, Ending::Framing, Ending::Break}) {
                for (const bool hasBackup : {false, true}) {
                    for (const char *route : {"stream", "resumable"}) {
                        cells.push_back(
                            {first, &last, static_cast<Moment>(moment), ending, hasBackup, route});
                    }
                }
            }
        }
    }
    return cells;
}

// The model.

/** A call that serves the run, and the run as the engine knows it. */
struct Session
{
    StartCall call;
    std::string engine;
    int sentAt = 0;
    bool isOpen = true; ///< The dispatcher waits for its end.
    bool isStarted = false;
    bool isRunning = true;                 ///< At the engine, even if the connection is lost.
    bool hasItsEnd = false;                ///< The run has come to its own end.
    std::optional<CallEnded> closing = {}; ///< On its way to the dispatcher.
    std::uint32_t events = 0;
};

/** A request to stop the run. */
struct Stop
{
    StartCall call;
    std::string engine;
    bool isOpen = true; ///< The dispatcher waits for its answer.
    bool mayAct = true; ///< The engine may still carry it out.
    bool hasStopped = false;
    bool hasFoundNone = false;
    std::size_t sessions = 0;  ///< Calls that served the run before it.
    bool isOfReplaced = false; ///< Another process has taken the place of the one it was for.
};

/**
 * Plays one request with engines that stop runs at once, late or never, and say about it what is
 * true or nothing.
 */
class EnginesPlay
{
public:
    /** @param choices What happens, each modulo the number of what may happen. */
    EnginesPlay(std::vector<std::uint16_t> choices, const char *route, bool keepsBackups)
        : m_choices(std::move(choices))
        , m_keepsBackups(keepsBackups)
    {
        useEngines(m_harness, keepsBackups);
        m_request = m_harness.arrive(0, route, Prompt,
                                     std::chrono::milliseconds(pick<int>({14'000, 3'000})));
        m_time = 100;
        collect();
        grant(m_claims.front(), "d1");
        m_sessions.front().isStarted = true;
        reduce(StreamStarted {m_sessions.front().call.call, 200, {}});
    }

    void run()
    {
        while (m_next < m_choices.size() && m_time < MaxTime && isOpen()) {
            m_time += pick<int>({0, 1, 10});
            act();
        }
        if (isOpen()) {
            note("the caller leaves");
            reduce(CallerLeft {m_request});
        }
        settle();
    }

private:
    static constexpr int MaxTime = 9'000;

    using Action = std::function<void()>;

    bool isOpen() const { return m_harness.outcome(m_request) == "open" && !m_hasLeft; }

    std::size_t choose(std::size_t count)
    {
        return m_next < m_choices.size() ? m_choices[m_next++] % count : 0;
    }

    template <typename Value>
    Value pick(const std::vector<Value> &values)
    {
        return values[choose(values.size())];
    }

    void note(const std::string &what)
    {
        m_trace += std::to_string(m_time) + " ms: " + what + "\n";
    }

    void check(bool isTrue, const char *what) const
    {
        if (!isTrue) {
            RC_FAIL(m_trace + what + ", outcome " + m_harness.outcome(m_request));
        }
    }

    void reduce(const DispatchEvent &event)
    {
        m_hasLeft = m_hasLeft || std::holds_alternative<CallerLeft>(event);
        m_harness.reduce(m_time, event);
        collect();
        checkEnd();
    }

    /** Takes over what the dispatcher has asked for. */
    void collect()
    {
        while (m_harness.hasServerProbes()) {
            m_harness.end(m_time, m_harness.nextServerProbe(), CallEnd::Complete, 200);
        }
        while (m_harness.hasCalls()) {
            begin(m_harness.nextCall());
        }
        for (const ToScheduler &message : m_harness.takeSchedulerMessages()) {
            const auto *claim = std::get_if<Claim>(&message);
            const auto *ended = std::get_if<ClaimEnded>(&message);
            const ClaimId id = claim ? claim->claim : ended ? ended->claim : ClaimId();
            std::erase_if(m_claims, [id](const Claim &one) { return one.claim == id; });
            if (ended) {
                m_granted.erase(ended->claim);
            }
            if (claim) {
                m_claims.push_back(*claim);
            }
        }
        for (Session &session : m_sessions) {
            session.isOpen = session.isOpen && !m_harness.wasAbandoned(session.call);
        }
        std::erase_if(m_probes,
                      [this](const StartCall &one) { return m_harness.wasAbandoned(one); });
    }

    void begin(const StartCall &call)
    {
        const std::string engine = call.server.text();
        switch (call.kind) {
        case CallKind::StopRun:
            for (const Stop &other : m_stops) {
                check(!other.isOpen || other.engine != engine || m_sessions.back().engine != engine
                          || other.sessions != m_sessions.size(),
                      "two requests to stop the run are open");
            }
            note("  stop ordered at " + engine + ", to " + call.moveTarget);
            m_stops.push_back({call, engine});
            m_stops.back().sessions = m_sessions.size();
            m_stops.back().isOfReplaced = m_replaced.contains(engine);
            m_stops.back().mayAct = !m_stops.back().isOfReplaced && !m_crashed.contains(engine);
            return;
        case CallKind::Decode:
        case CallKind::Whole:
            note("  run sent to " + engine + ", handle " + call.handle);
            m_handles.erase(call.handle);
            m_sessions.push_back({call, engine});
            m_sessions.back().sentAt = m_time;
            // The call is for the new process.
            m_replaced.erase(engine);
            m_crashed.erase(engine);
            return;
        case CallKind::FreeHandle:
            m_handles.erase(call.handle);
            m_harness.end(m_time, call, CallEnd::Complete, 200);
            return;
        case CallKind::Reserve:
        case CallKind::Prefill:
            m_harness.grant(m_time, call);
            return;
        case CallKind::Probe:
            m_probes.push_back(call);
            return;
        default:
            m_harness.end(m_time, call, CallEnd::NotConnected);
            return;
        }
    }

    void checkEnd()
    {
        check(m_harness.endings(m_request) <= 1, "the request ends more than once");
        if (isOpen()) {
            return;
        }
        check(m_harness.outcome(m_request) != "streamed" || m_sessions.back().hasItsEnd,
              "a part of a stream is complete");
        for (const Session &session : m_sessions) {
            check(!session.isOpen, "a call of the request is left open");
        }
        check(m_probes.empty(), "a check of an engine is left open");
        check(m_harness.dispatcher().open() == 0, "the dispatcher keeps the request");
    }

    /** Answers what may outlast the request; nothing must be kept at engines after that. */
    void settle()
    {
        checkEnd();
        for (std::size_t i = 0; i < m_stops.size(); ++i) {
            if (m_stops[i].isOpen) {
                answer(m_stops[i]);
            }
        }
        check(m_handles.empty(), "a handle is neither used nor released");
        check(m_claims.empty() && m_granted.empty(), "a claim is left open");
    }

    void act()
    {
        std::vector<Action> actions;
        for (std::size_t i = 0; i < m_sessions.size(); ++i) {
            addActions(actions, m_sessions[i], i);
        }
        for (Stop &stop : m_stops) {
            if (stop.mayAct) {
                add(actions, 2, [this, &stop] { carryOut(stop); });
            }
            if (stop.isOpen) {
                add(actions, 2, [this, &stop] { answer(stop); });
            }
        }
        if (!m_claims.empty()) {
            add(actions, 3, [this] { grant(m_claims.front(), pick<std::string>(Engines)); });
            actions.push_back([this] { refuse(m_claims.front()); });
        }
        if (!m_probes.empty()) {
            add(actions, 2, [this] { endProbe(); });
        }
        actions.push_back([this] { changeLeaving(m_sessions.back().engine); });
        actions.push_back([this] { changeLeaving(pick<std::string>(Engines)); });
        actions.push_back([this] { wait(pick<int>({20, 120, 420, 1'100})); });
        if (choose(8) == 7) {
            actions.push_back([this] { crash(pick<std::string>(Engines)); });
        }
        actions[choose(actions.size())]();
    }

    static void add(std::vector<Action> &actions, std::size_t weight, const Action &action)
    {
        actions.insert(actions.end(), weight, action);
    }

    void addActions(std::vector<Action> &actions, Session &session, std::size_t number)
    {
        const bool isCurrent = session.isOpen && number + 1 == m_sessions.size();
        if (session.isOpen && session.closing) {
            add(actions, 2, [this, &session, isCurrent] { deliverEnd(session, isCurrent); });
        } else if (isCurrent && !session.isStarted && session.isRunning) {
            add(actions, 4, [this, &session] {
                note("stream started at " + session.engine);
                session.isStarted = true;
                reduce(StreamStarted {session.call.call, 200, {}});
            });
            actions.push_back([this, &session] { refuseRun(session); });
        } else if (isCurrent && session.isRunning) {
            actions.push_back([this, &session] { endByItself(session); });
            if (isTimeOver(session)) {
                add(actions, 4, [this, &session] {
                    note("time of " + session.engine + " is over");
                    session.isRunning = false;
                    session.closing = endOf(session, CallEnd::Complete, true);
                });
            }
            actions.push_back([this, &session] {
                session.events += 8;
                note("events " + std::to_string(session.events));
                reduce(StreamProgress {session.call.call, session.events});
            });
            actions.push_back([this, &session] { breakStream(session); });
            actions.push_back([this, &session] {
                const bool isPathLost = pick<int>({1, 0}) != 0;
                note(isPathLost ? "silent, path lost" : "silent");
                reduce(StreamSilent {session.call.call, session.events, isPathLost});
            });
        }
    }

    /** Returns whether the server may stop work now since its time is over. */
    bool isTimeOver(const Session &session) const
    {
        // The clocks of the server and the node, as the dispatcher allows for.
        constexpr auto Margin = std::chrono::milliseconds(20);
        return std::chrono::milliseconds(m_time - session.sentAt) + Margin >= session.call.patience;
    }

    CallEnded endOf(const Session &session, CallEnd end, bool isByClose) const
    {
        CallEnded ended;
        ended.call = session.call.call;
        ended.end = end;
        ended.status = 200;
        ended.events = session.events;
        ended.isEndedByClose = isByClose;
        ended.reason = "test";
        return ended;
    }

    void endByItself(Session &session)
    {
        const bool isByClose = pick<int>({1, 0}) != 0;
        note("run ends by itself at " + session.engine + (isByClose ? ", by close" : ", framed"));
        ++session.events;
        session.isRunning = false;
        session.hasItsEnd = true;
        session.closing = endOf(session, CallEnd::Complete, isByClose);
    }

    void deliverEnd(Session &session, bool isCurrent)
    {
        const CallEnded ended = *session.closing;
        note("end of the stream of " + session.engine + " arrives, "
             + (ended.end != CallEnd::Complete ? "a reset"
                    : ended.isEndedByClose     ? "a close"
                                               : "framed"));
        session.closing.reset();
        session.isOpen = false;
        const bool wasStopped = !m_stops.empty();
        const bool isWhole = session.hasItsEnd && session.isStarted && isCurrent
            && ended.end == CallEnd::Complete
            && (!ended.isEndedByClose || (!wasStopped && !isTimeOver(session)));
        reduce(ended);
        check(!isWhole || m_harness.outcome(m_request) == "streamed",
              "a whole stream is not complete");
    }

    void refuseRun(Session &session)
    {
        CallEnded ended = endOf(
            session,
            pick<CallEnd>({CallEnd::NotExecuted, CallEnd::NotConnected, CallEnd::Complete}), false);
        ended.status = ended.end == CallEnd::NotConnected ? 0 : 503;
        note(std::string("run refused at ") + session.engine + ": " + dispatch::nameOf(ended.end));
        session.isRunning = false;
        session.isOpen = false;
        reduce(ended);
    }

    void breakStream(Session &session)
    {
        CallEnded ended =
            endOf(session, pick<CallEnd>({CallEnd::Broken, CallEnd::PathLost}), false);
        ended.isConnectionLost = ended.end == CallEnd::Broken && choose(2) == 1;
        session.isRunning = choose(2) == 0;
        session.isOpen = false;
        note("connection to " + session.engine + " lost, "
             + (session.isRunning ? "the run goes on" : "the run is dropped"));
        reduce(ended);
    }

    /** Ends the runs at @p engine that are not at their end; their streams follow. */
    bool cutRuns(const std::string &engine, bool isInGoodOrder)
    {
        bool hasRun = false;
        for (Session &session : m_sessions) {
            if (session.engine == engine && session.isRunning) {
                session.isRunning = false;
                hasRun = true;
                const bool isClosed = isInGoodOrder && session.isStarted;
                session.closing =
                    endOf(session, isClosed ? CallEnd::Complete : CallEnd::Broken, isClosed);
            }
        }
        return hasRun;
    }

    void carryOut(Stop &stop)
    {
        stop.mayAct = false;
        stop.hasStopped = cutRuns(stop.engine, choose(4) != 1);
        stop.hasFoundNone = !stop.hasStopped;
        note(stop.engine + (stop.hasStopped ? " carries out the stop" : " has no run to stop"));
    }

    void answer(Stop &stop)
    {
        // What is true of any request that was sent: an answer that says nothing, or none.
        std::vector<Answer> answers = {{"500", CallEnd::Complete, 500},
                                       {"409", CallEnd::Complete, 409},
                                       {"503 without a handle", CallEnd::Complete, 503},
                                       {"200 without a handle", CallEnd::Complete, 200},
                                       {"reset", CallEnd::Broken},
                                       {"path lost", CallEnd::PathLost}};
        const bool wasCrashed = m_crashed.contains(stop.engine);
        if (stop.hasStopped) {
            answers.insert(answers.begin(),
                           {{"200 with a handle", CallEnd::Complete, 200, true},
                            {"503 with a handle", CallEnd::Complete, 503, true}});
        } else if (stop.isOfReplaced) {
            answers = {{"421", CallEnd::Complete, 421}, {"reset", CallEnd::Broken}};
        } else if (wasCrashed) {
            answers = {{"refused", CallEnd::NotConnected, 0, false, true},
                       {"not connected", CallEnd::NotConnected},
                       {"reset", CallEnd::Broken}};
        } else if (stop.hasFoundNone) {
            answers.insert(answers.begin(), {{"404", CallEnd::Complete, 404}});
        } else if (stop.mayAct) {
            answers.insert(answers.begin(),
                           {{"503 not executed", CallEnd::NotExecuted, 503},
                            {"429 not executed", CallEnd::NotExecuted, 429},
                            {"not connected", CallEnd::NotConnected},
                            {"no path", CallEnd::NoPath},
                            {"421", CallEnd::Complete, 421}});
        }
        const Answer answer = pick<Answer>(answers);
        note(stop.engine + " answers the stop: " + answer.name);
        if (answer.status == 421 && !stop.isOfReplaced) {
            replace(stop.engine);
        }
        if (proofOf(answer) != Proof::Nothing) {
            stop.mayAct = false;
        }
        stop.isOpen = false;
        CallEnded ended;
        ended.call = stop.call.call;
        ended.end = answer.end;
        ended.status = answer.status;
        ended.isRefused = answer.isRefused;
        if (answer.hasHandle) {
            ended.handle = "k" + std::to_string(++m_lastHandle);
            m_handles.insert(ended.handle);
        }
        reduce(ended);
    }

    /** Lets another process take the place of @p engine; the end of the first closes its streams.
     */
    void replace(const std::string &engine)
    {
        cutRuns(engine, true);
        m_replaced.insert(engine);
        for (Stop &stop : m_stops) {
            if (stop.engine == engine) {
                stop.isOfReplaced = !stop.hasStopped;
                stop.mayAct = false;
            }
        }
    }

    /** Ends the process of @p engine without order. */
    void crash(const std::string &engine)
    {
        note(engine + " crashes");
        m_crashed.insert(engine);
        cutRuns(engine, false);
        for (Stop &stop : m_stops) {
            stop.mayAct = stop.mayAct && stop.engine != engine;
        }
    }

    void grant(const Claim &claim, const std::string &engine)
    {
        const ClaimGranted granted = grantOf(claim, engine, backupFor(engine));
        note("scheduler grants " + engine);
        m_granted.insert(claim.claim);
        std::erase_if(m_claims, [&](const Claim &one) { return one.claim == granted.claim; });
        reduce(SchedulerAnswered {granted, Life});
    }

    std::string backupFor(const std::string &engine) const
    {
        return !m_keepsBackups ? "" : engine == "d2" ? "d1" : "d2";
    }

    void refuse(const Claim &claim)
    {
        const ClaimRefused refused {claim.claim};
        note("scheduler refuses");
        std::erase_if(m_claims, [&](const Claim &one) { return one.claim == refused.claim; });
        reduce(SchedulerAnswered {refused, Life});
    }

    void endProbe()
    {
        const StartCall probe = m_probes.front();
        const bool isGone = m_crashed.contains(probe.server.text());
        const bool isConnected = !isGone && choose(3) != 2;
        m_probes.erase(m_probes.begin());
        CallEnded ended;
        ended.call = probe.call;
        ended.end = isConnected ? CallEnd::Complete : CallEnd::NotConnected;
        ended.isRefused = isGone;
        ended.relay = NodeName(isConnected && choose(2) == 1 ? "n2" : "");
        ended.events = m_sessions.back().events;
        note("check of " + probe.server.text() + (isConnected ? ": connected" : ": no connection"));
        reduce(ended);
    }

    void changeLeaving(const std::string &engine)
    {
        const bool isLeaving = m_leaving.insert(engine).second;
        if (!isLeaving) {
            m_leaving.erase(engine);
        }
        note(engine + (isLeaving ? " leaves" : " stays"));
        m_harness.addServer(engine, EnginePhase::Decode, isLeaving);
        wait(100);
    }

    void wait(int duration)
    {
        note("wait " + std::to_string(duration));
        for (const int end = m_time + duration; m_time < end && isOpen(); m_time += 10) {
            reduce(TimePassed {});
        }
    }

    static const inline std::vector<std::string> Engines = {"d1", "d2", "d3"};

    const std::vector<std::uint16_t> m_choices;
    const bool m_keepsBackups;
    std::size_t m_next = 0;
    DispatcherHarness m_harness;
    RequestNumber m_request;
    bool m_hasLeft = false;
    int m_time = 0;
    std::string m_trace;
    std::deque<Session> m_sessions;
    std::deque<Stop> m_stops;
    std::vector<Claim> m_claims; ///< Not decided yet.
    std::set<ClaimId> m_granted; ///< Not ended yet.
    std::vector<StartCall> m_probes;
    std::set<std::string> m_leaving;
    std::set<std::string> m_replaced; ///< Engines whose new process has not served the run.
    std::set<std::string> m_crashed;
    std::set<std::string> m_handles; ///< Neither used nor freed.
    int m_lastHandle = 0;
};

/** Returns whether no play violates @p property; writes the smallest one that does. */
bool isTrueOfPlays(const std::function<void(const std::vector<std::uint16_t> &)> &property)
{
    // Some orders are met once in thousands of plays; the default is 100.
    constexpr int MinPlays = 10'000;
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = std::max(params.maxSuccess, MinPlays);
    const auto result = rc::detail::checkTestable(
        [&] {
            const auto choice =
                rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint16_t>(0, 2'520));
            property(*rc::gen::scale(3.0, rc::gen::container<std::vector<std::uint16_t>>(choice)));
        },
        rc::detail::TestMetadata(), params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << std::endl;
    return result.is<rc::detail::SuccessResult>();
}

} // namespace

class StoppedStreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoppedStreamTest);
    CPPUNIT_TEST(onlyAProvedCloseCompletesAStreamThatWasStoppedOnce);
    CPPUNIT_TEST(onlyAProvedCloseCompletesAStreamThatWasStoppedTwice);
    CPPUNIT_TEST(onlyTheRunsOwnEndCompletesAStream);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a part of a stream that ends as complete, and a whole stream that is cut,
    // whatever the answer to the request to stop its run and whenever the stream ends.
    void onlyAProvedCloseCompletesAStreamThatWasStoppedOnce()
    {
        for (const Cell &cell : cellsOf(nullptr)) {
            StopPlay(cell).run();
        }
    }

    // Guards against the same where an earlier request to stop the run is forgotten, or the run
    // goes on at the engine that has not settled it.
    void onlyAProvedCloseCompletesAStreamThatWasStoppedTwice()
    {
        for (const Answer &first : Answers) {
            if (first.hasHandle && first.status == 200 && first.end == CallEnd::Complete) {
                continue; // The run is at another engine, whose stops are its own.
            }
            for (const Cell &cell : cellsOf(&first)) {
                StopPlay(cell).run();
            }
        }
    }

    // Guards against the same under any order of stops, answers, closes and continuations, and
    // against calls, claims and handles that outlast the request.
    void onlyTheRunsOwnEndCompletesAStream()
    {
        for (const char *route : {"stream", "resumable"}) {
            for (const bool keepsBackups : {false, true}) {
                CPPUNIT_ASSERT(isTrueOfPlays([&](const std::vector<std::uint16_t> &choices) {
                    EnginesPlay(choices, route, keepsBackups).run();
                }));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoppedStreamTest);
