#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

struct event_base;

namespace indigoway::standins {

/** A process's loop with one-shot timers; ends on SIGTERM. */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    event_base *base() { return m_base; }
    /** Calls @p action once, after @p delay. */
    void after(std::chrono::microseconds delay, std::function<void()> action);
    void run();

private:
    event_base *m_base;
};

/**
 * Prints the address that a stand-in listens on, so that whoever started it can read it, and runs
 * the loop; the process's exit code.
 */
int announceAndRun(EventLoop &loop, const std::optional<std::string> &bound);

} // namespace indigoway::standins
