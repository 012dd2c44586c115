#pragma once

#include "core/boottime.h"

#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace indigoway {

/** A discrete-event simulator. */
class Simulator
{
public:
    TimePoint now() const { return m_now; }
    BootTime bootNow() const { return BootTime(m_now.time_since_epoch()); }
    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_lastSequence, std::move(action)});
    }
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
    }

private:
    struct Event
    {
        TimePoint at {};
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };

    TimePoint m_now = TimePoint {} + std::chrono::hours(1);
    std::uint64_t m_lastSequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace indigoway
