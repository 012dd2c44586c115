#include "engineruns.h"

#include <algorithm>

namespace indigoway::standins {

void EngineRuns::begin(const std::string &engine, const std::string &id, Run run)
{
    m_runs[{engine, id}] = std::move(run);
}

bool EngineRuns::isRunning(const std::string &engine, const std::string &id,
                           ExchangeNumber exchange) const
{
    const auto it = m_runs.find({engine, id});
    return it != m_runs.end() && it->second.exchange == exchange;
}

void EngineRuns::addEvent(const std::string &engine, const std::string &id, Time now)
{
    Run &run = m_runs.at({engine, id});
    ++run.events;
    if (!run.backup.empty()) {
        m_copies[{run.backup, id}] = now + m_copyLifetime;
    }
}

void EngineRuns::complete(const std::string &engine, const std::string &id)
{
    if (const auto run = stop(engine, id)) {
        m_copies.erase({run->backup, id});
    }
}

std::optional<EngineRuns::Run> EngineRuns::stop(const std::string &engine, const std::string &id)
{
    auto node = m_runs.extract({engine, id});
    return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
}

void EngineRuns::drop(const std::string &engine, ExchangeNumber exchange)
{
    std::erase_if(m_runs, [&](const auto &entry) {
        return entry.first.first == engine && entry.second.exchange == exchange;
    });
}

void EngineRuns::dropAll(const std::string &engine)
{
    std::erase_if(m_runs, [&](const auto &entry) { return entry.first.first == engine; });
    std::erase_if(m_copies, [&](const auto &entry) { return entry.first.first == engine; });
}

bool EngineRuns::takeCopy(const std::string &engine, const std::string &id, Time now)
{
    const auto node = m_copies.extract({engine, id});
    return !node.empty() && now < node.mapped();
}

std::size_t EngineRuns::copies(Time now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_copies.begin(), m_copies.end(), [now](const auto &copy) { return now < copy.second; }));
}

std::size_t EngineRuns::runsAt(const std::string &engine) const
{
    return static_cast<std::size_t>(
        std::count_if(m_runs.begin(), m_runs.end(),
                      [&engine](const auto &run) { return run.first.first == engine; }));
}

} // namespace indigoway::standins
