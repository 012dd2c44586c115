#pragma once

#include "http/httpserver.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace indigoway::standins {

/** Runs of the stand-in engines, and the copies of their KV caches at other engines. */
class EngineRuns
{
public:
    using Time = std::chrono::steady_clock::time_point;

    struct Run
    {
        ExchangeNumber exchange;
        std::string backup; ///< Address of the engine that keeps a copy; empty for none.
        std::uint32_t events = 0;
    };

    /** @param copyLifetime How long a copy is kept after the last part that arrived. */
    explicit EngineRuns(std::chrono::milliseconds copyLifetime)
        : m_copyLifetime(copyLifetime)
    { }

    void begin(const std::string &engine, const std::string &id, Run run);
    /** Returns whether the engine executes the run for @p exchange. */
    bool isRunning(const std::string &engine, const std::string &id, ExchangeNumber exchange) const;
    /** Records an event of the run, with which a part of its copy is sent. */
    void addEvent(const std::string &engine, const std::string &id, Time now);
    /** Ends a complete run and frees its copy. */
    void complete(const std::string &engine, const std::string &id);
    /** Removes and returns a run; nothing if the engine has no such run. */
    std::optional<Run> stop(const std::string &engine, const std::string &id);
    /** Drops the run whose connection has ended. */
    void drop(const std::string &engine, ExchangeNumber exchange);
    /** Drops all runs and copies of an engine that has crashed. */
    void dropAll(const std::string &engine);
    /** Removes the copy at @p engine. Returns false if there is none. */
    bool takeCopy(const std::string &engine, const std::string &id, Time now);
    std::size_t copies(Time now) const;
    std::size_t runsAt(const std::string &engine) const;

private:
    using Key = std::pair<std::string, std::string>; ///< Engine address, id of the request.

    std::chrono::milliseconds m_copyLifetime;
    std::map<Key, Run> m_runs;
    std::map<Key, Time> m_copies; ///< When each copy is dropped.
};

} // namespace indigoway::standins
