#pragma once

#include "scheduling/handoverlosses.h"
#include "scheduling/memoryforecast.h"
#include "scheduling/prefillpace.h"
#include "scheduling/schedulermessages.h"

#include <indigoway/announcedserver.h>
#include <indigoway/ids.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace indigoway::scheduling {

/** One prompt's turn on a prefill engine. */
struct PrefillTurn
{
    ServerName server;
    TimePoint granted {};
    TimePoint expectedEnd {}; ///< Of the answer, as thought when it was granted.
    Duration shift {};        ///< The engine's, at that time.
    std::uint32_t tokens = 0;
    bool isAlone = false;    ///< It found the engine idle.
    bool isNext = false;     ///< It is there before the engine is done with the one ahead.
    Duration work {};        ///< For which the engine was thought to read it.
    std::uint64_t place = 0; ///< In the engine's line.
};

/** What is known of each engine: memory given out, prompts in line, how it has behaved. */
class EngineLedger
{
public:
    void charge(const ServerName &server, RunNumber run, const MemoryNeed &need, TimePoint now);
    /** The run makes tokens from now on. */
    void beginDecode(const ServerName &server, RunNumber run, TimePoint now);
    void discharge(const ServerName &server, RunNumber run);
    /** The course of the memory given out. */
    MemoryOutlook memoryOutlook(const ServerName &server, const GenerationPace &pace,
                                TimePoint now) const;

    /** How long a prompt that is sent now waits before it is read. */
    Duration prefillWait(const ServerName &server, TimePoint now) const;
    /** From sending a prompt to its answer, if engines of its kind have @p pace. */
    Duration prefillTime(const ServerName &server, std::uint32_t tokens, const PrefillPace &pace,
                         TimePoint now) const;
    /** A prompt that is sent now would follow the one before it without a gap. */
    bool wouldFollow(const ServerName &server, TimePoint now) const;
    PrefillTurn beginPrefill(const ServerName &server, std::uint32_t tokens,
                             const PrefillPace &pace, TimePoint now);
    /**
     * Corrects what is thought of the engine's line and speed by what it took, and tells @p pace
     * of it as a middling engine would have taken.
     */
    void endPrefill(const PrefillTurn &turn, PrefillPace &pace, TimePoint now);
    /** The engine failed the prompt; that says nothing about its speed. */
    void dropPrefill(const PrefillTurn &turn, TimePoint now);
    /**
     * The engine does not read the prompt: no room was had for it, or its caller has left. Those
     * behind it are read sooner. Unless its time is given back, engines look busy that are not,
     * and claims are refused for them.
     */
    void withdrawPrefill(const PrefillTurn &turn, TimePoint now);
    /** A decode engine reads a whole prompt, between the tokens of its runs. */
    void beginWholeRead(const ServerName &server, std::uint32_t tokens, const PrefillPace &pace,
                        TimePoint now);
    /** Its runs have had their time since it read one last. */
    bool mayReadWhole(const ServerName &server, TimePoint now) const;
    /** Of the prompts that a prefill engine reads, how many a decode engine may read beside. */
    static double wholeReadsOfPrefill();
    /** The engine refused room that it was thought to have, of @p memory tokens in all. */
    void refusedRoom(const ServerName &server, std::uint64_t memory, TimePoint now);
    void failed(const ServerName &server, TimePoint now);
    /** It took no connection: that is no accident of one request. */
    void unreachable(const ServerName &server, TimePoint now);
    /** @p decode could not take over the KV cache that @p prefill kept. */
    void lostHandover(const ServerName &prefill, const ServerName &decode, TimePoint now);
    /**
     * The engine has been ordered to change its phase, or is about to be: it turns new work away
     * until it is announced in its new phase.
     */
    void changesPhase(const EngineChanging &change, TimePoint now);
    /**
     * The phase that @p server is in: as announced, but for an engine that has accepted an order
     * and had the time for it. The news of it comes through the store; while that is away, engines
     * that have changed would stand idle, taken for what they have been.
     */
    EnginePhase phaseOf(const AnnouncedServer &server, TimePoint now) const;
    void workedWell(const ServerName &server);
    /**
     * Drops what is known of engines that hold nothing and were not heard of for a while: each
     * start of an engine has a new name, and the names of old ones would pile up.
     */
    void forgetIdle(TimePoint now);
    std::size_t size() const { return m_engines.size(); }
    /**
     * It takes no connections, fails all it gets, has just refused room, or changes its phase: of
     * no use now.
     */
    bool isOut(const AnnouncedServer &server, TimePoint now) const;
    /** It fails a part of what it gets: for what no other engine has room for. */
    bool isDoubtful(const ServerName &server, TimePoint now) const;
    const HandoverLosses &handovers() const { return m_handovers; }

private:
    struct InLine
    {
        std::uint64_t place = 0;
        Duration gained {}; ///< Time of prompts before it that were withdrawn.
    };
    struct Engine
    {
        MemoryForecast memory;
        std::deque<InLine> line; ///< Prompts being read or waiting for it; the first is read first.
        std::uint64_t lastPlace = 0;
        TimePoint lastAnswer {}; ///< Of a prompt; none if one was dropped after it.
        TimePoint busyUntil {};
        Duration shift {};   ///< All corrections of busyUntil so far.
        double slowness = 1; ///< Time that prompts take, against that of a healthy engine.
        TimePoint slownessAt {};
        std::uint32_t failuresInRow = 0;
        TimePoint doubtfulUntil {};
        TimePoint avoidedUntil {};
        TimePoint fullUntil {};
        TimePoint readsWholeAfter {};
        TimePoint changesUntil {};
        EnginePhase changesTo = EnginePhase::None;
        bool hasAccepted = false; ///< The change to changesTo.
        TimePoint lastUsed {};
    };

    /** Takes the prompt out of its engine's line; what it gained there. */
    static Duration leaveLine(Engine &engine, const PrefillTurn &turn, TimePoint now);
    const Engine *find(const ServerName &server) const;
    static Duration workOf(const Engine *engine, std::uint32_t tokens, const PrefillPace &pace,
                           TimePoint now);
    static double slownessOf(const Engine &engine, TimePoint now);

    std::map<ServerName, Engine> m_engines;
    HandoverLosses m_handovers;
};

} // namespace indigoway::scheduling
