#include "schedulingexchange.h"

#include "core/jsontext.h"
#include "dispatch/openrequests.h"

#include <event2/event.h>

namespace indigoway {

namespace {

using namespace scheduling;

constexpr Duration RecordStateEvery = std::chrono::seconds(1);

TimePoint present()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

SchedulingExchange::SchedulingExchange(event_base *base, NodeLife self, Wiring wiring)
    : m_self(std::move(self))
    , m_wiring(std::move(wiring))
    , m_quotaKeeper(m_self.incarnation)
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

void SchedulingExchange::tell(const quotas::ToKeeper &message)
{
    if (const auto address = m_wiring.scheduler()) {
        m_link.send(*address, encode(Datagram<quotas::ToKeeper> {m_self, message}));
    }
}

void SchedulingExchange::received(const DatagramAddress &from, const std::string &text)
{
    const Json::Value value = parseJson(text);
    if (const auto answer = readDatagramFromScheduler(value)) {
        m_wiring.answered(dispatch::SchedulerAnswered {answer->message, answer->from.incarnation});
        return;
    }
    if (const auto answer = quotas::readFromKeeper(value)) {
        m_wiring.answered(
            dispatch::QuotaKeeperAnswered {answer->message, answer->from.incarnation});
        return;
    }
    if (!takeClaim(from, value) && !takeQuotaMessage(from, value)) {
        m_wiring.record("datagram_unreadable",
                        "from=" + from + " bytes=" + std::to_string(text.size()));
    }
}

bool SchedulingExchange::takeClaim(const DatagramAddress &from, const Json::Value &value)
{
    const auto question = readDatagramToScheduler(value);
    if (!question) {
        return false;
    }
    const auto view = m_wiring.view();
    if (!view) {
        // Without routing nothing can be granted; the asker chooses by itself.
        return true;
    }
    m_addresses[question->from.node] = from;
    reply(m_scheduler.handle(present(), *view, question->from, question->message));
    armTimer();
    return true;
}

bool SchedulingExchange::takeQuotaMessage(const DatagramAddress &from, const Json::Value &value)
{
    const auto told = quotas::readToKeeper(value);
    if (!told) {
        return false;
    }
    const auto view = m_wiring.view();
    if (!view) {
        // Without the quotas nothing can be said; the asker keeps them by itself.
        return true;
    }
    m_addresses[told->from.node] = from;
    const auto replies = m_quotaKeeper.handle(present(), {view->routes, m_wiring.nodes()},
                                              told->from, told->message);
    for (const quotas::KeeperReply &one : replies) {
        const auto it = m_addresses.find(one.to);
        if (it != m_addresses.end()) {
            m_link.send(it->second, encode(Datagram<quotas::FromKeeper> {m_self, one.message}));
        }
    }
    return true;
}

void SchedulingExchange::tick()
{
    if (const auto view = m_wiring.view()) {
        const TimePoint now = present();
        reply(m_scheduler.tick(now, *view));
        recordState(now, *view);
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

void SchedulingExchange::recordState(TimePoint now, const EngineScheduler::View &view)
{
    if (m_scheduler.waiting() == 0 || now < m_stateRecordedAt + RecordStateEvery) {
        return;
    }
    m_stateRecordedAt = now;
    const SchedulerState state = m_scheduler.state(now, view);
    m_wiring.record(
        "scheduler_state",
        "waiting=" + std::to_string(state.waiting) + " granted=" + std::to_string(state.granted)
            + " decode_usable=" + std::to_string(state.decodeUsable) + "/"
            + std::to_string(state.decodeEngines) + " prefill_usable="
            + std::to_string(state.prefillUsable) + "/" + std::to_string(state.prefillEngines)
            + " free_tokens=" + std::to_string(state.freeTokens) + "/"
            + std::to_string(state.memoryTokens)
            + " prefill_wait_ms=" + dispatch::millisecondsText(state.shortestPrefillWait)
            + " refused_at_once=" + std::to_string(state.refusedAtOnce)
            + " refused_after_wait=" + std::to_string(state.refusedAfterWait));
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
