#include "eventloop.h"

#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <memory>

namespace indigoway::standins {

EventLoop::EventLoop()
    : m_base(event_base_new())
{
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
    event_base_free(m_base);
}

void EventLoop::after(std::chrono::microseconds delay, std::function<void()> action)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(delay);
    const timeval wait {seconds.count(), (delay - seconds).count()};
    auto held = std::make_unique<std::function<void()>>(std::move(action));
    event_base_once(
        m_base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *context) {
            const std::unique_ptr<std::function<void()>> due(
                static_cast<std::function<void()> *>(context));
            (*due)();
        },
        held.release(), &wait);
}

void EventLoop::run()
{
    event *terminate = evsignal_new(
        m_base, SIGTERM,
        [](evutil_socket_t, short, void *base) {
            event_base_loopbreak(static_cast<event_base *>(base));
        },
        m_base);
    event_add(terminate, nullptr);
    event_base_dispatch(m_base);
    event_free(terminate);
}

int announceAndRun(EventLoop &loop, const std::optional<std::string> &bound)
{
    if (!bound) {
        std::fprintf(stderr, "cannot listen on the address given\n");
        return 1;
    }
    std::printf("%s\n", bound->c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}

} // namespace indigoway::standins
