#include "schedulingexchange.h"

#include <event2/event.h>

namespace indigoway {

namespace {

using namespace scheduling;

TimePoint present()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

SchedulingExchange::SchedulingExchange(event_base *base, NodeLife self, Wiring wiring)
    : m_self(std::move(self))
    , m_wiring(std::move(wiring))
    , m_link(base,
             [this](const DatagramAddress &from, const std::string &text) { received(from, text); })
    , m_timer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *exchange) {
              static_cast<SchedulingExchange *>(exchange)->tick();
          },
          this))
{ }

void SchedulingExchange::tell(const ToScheduler &message)
{
    if (const auto address = m_wiring.scheduler()) {
        m_link.send(*address, encode(Datagram<ToScheduler> {m_self, message}));
    }
}

void SchedulingExchange::received(const DatagramAddress &from, const std::string &text)
{
    if (const auto answer = decodeFromScheduler(text)) {
        m_wiring.answered({answer->message, answer->from.incarnation});
        return;
    }
    const auto question = decodeToScheduler(text);
    if (!question) {
        m_wiring.record("datagram_unreadable",
                        "from=" + from + " bytes=" + std::to_string(text.size()));
        return;
    }
    const auto view = m_wiring.view();
    if (!view) {
        // Without routing nothing can be granted; the asker chooses by itself.
        return;
    }
    m_addresses[question->from.node] = from;
    reply(m_scheduler.handle(present(), *view, question->from, question->message));
    armTimer();
}

void SchedulingExchange::tick()
{
    if (const auto view = m_wiring.view()) {
        reply(m_scheduler.tick(present(), *view));
    }
    armTimer();
}

void SchedulingExchange::reply(const SchedulerReplies &replies)
{
    for (const SchedulerReply &reply : replies) {
        const auto it = m_addresses.find(reply.to.node);
        if (it != m_addresses.end()) {
            m_link.send(it->second, encode(Datagram<FromScheduler> {m_self, reply.message}));
        }
    }
}

void SchedulingExchange::armTimer()
{
    const TimePoint now = present();
    const auto next = m_scheduler.nextTick(now);
    const bool isArmed = event_pending(m_timer.get(), EV_TIMEOUT, nullptr) != 0;
    if (!next || (isArmed && m_tickAt <= *next)) {
        return;
    }
    m_tickAt = *next;
    const Duration wait = *next - now;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    const timeval delay {seconds.count(), (wait - seconds).count()};
    event_add(m_timer.get(), &delay);
}

} // namespace indigoway
