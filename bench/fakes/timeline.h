#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace indigoway::fakes {

/** Virtual time: actions run in the order of their times, those of one time as they were added. */
class Timeline
{
public:
    using Action = std::function<void()>;

    TimePoint now() const { return m_now; }
    void at(TimePoint time, Action action)
    {
        m_queue.push({std::max(time, m_now), ++m_lastSerial, std::move(action)});
    }
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }
    /** Runs all that is due up to @p end, which is then the present. */
    void runUntil(TimePoint end)
    {
        while (!m_queue.empty() && m_queue.top().time <= end) {
            Entry entry = m_queue.top();
            m_queue.pop();
            m_now = entry.time;
            entry.action();
        }
        m_now = std::max(m_now, end);
    }

private:
    struct Entry
    {
        TimePoint time;
        std::uint64_t serial = 0;
        Action action;
        bool operator<(const Entry &other) const
        {
            return std::tie(time, serial) > std::tie(other.time, other.serial);
        }
    };

    // Not the clock's own beginning: a time of zero stands for "never" in some places.
    TimePoint m_now {std::chrono::hours(1)};
    std::uint64_t m_lastSerial = 0;
    std::priority_queue<Entry> m_queue;
};

} // namespace indigoway::fakes
