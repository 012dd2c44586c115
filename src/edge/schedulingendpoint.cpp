#include "schedulingendpoint.h"

#include "core/deadlines.h"
#include "core/jsontext.h"
#include "crashes/partcrashcodec.h"
#include "crashes/partcrashspread.h"
#include "dispatch/openrequests.h"
#include "origins/origincodec.h"
#include "ratelimits/ratelimitcodec.h"
#include "slots/slotcodec.h"

#include <event2/event.h>

namespace indigoway {

namespace {

using namespace scheduling;

/** Collects the limits of servers that come under load together. */
constexpr timeval NoticeInterval {0, 200'000};
constexpr Duration StateLogInterval = std::chrono::seconds(1);
/** Plain servers whose figures are logged and exported. */
constexpr std::size_t MaxPlainServersLogged = 32;

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/** Returns the claims waiting and the share of recent use of each organisation. */
std::string organisationsText(const std::vector<ClaimQueue::OrganisationState> &organisations)
{
    std::string text;
    for (const ClaimQueue::OrganisationState &state : organisations) {
        text += (text.empty() ? "" : ",") + state.organisation.text() + "@" + state.service.text()
            + ":" + std::to_string(state.waiting) + ":" + std::to_string(state.usageShare);
    }
    return text.empty() ? "-" : text;
}

} // namespace

SchedulingEndpoint::SchedulingEndpoint(event_base *base, NodeLife self, Dependencies dependencies)
    : m_self(std::move(self))
    , m_dependencies(std::move(dependencies))
    , m_quotaKeeper(m_self.incarnation, m_dependencies.quotaBounds)
    , m_socket(base,
               [this](const DatagramAddress &from, const std::string &text) {
                   handleDatagram(from, text);
               })
    , m_timer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *endpoint) {
              static_cast<SchedulingEndpoint *>(endpoint)->tick();
          },
          this))
    , m_noticeTimer(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *endpoint) {
              static_cast<SchedulingEndpoint *>(endpoint)->sendNotice();
          },
          this))
    , m_random(m_self.incarnation.value())
{ }

void SchedulingEndpoint::send(const ToScheduler &message)
{
    if (const auto address = m_dependencies.schedulerAddress()) {
        m_socket.send(*address, encode(Datagram<ToScheduler> {m_self, message}));
    }
}

void SchedulingEndpoint::send(const quotas::ToKeeper &message)
{
    if (const auto address = m_dependencies.schedulerAddress()) {
        m_socket.send(*address, encode(Datagram<quotas::ToKeeper> {m_self, message}));
    }
}

void SchedulingEndpoint::send(const ratelimits::ToRateLimiter &message)
{
    if (const auto address = m_dependencies.schedulerAddress()) {
        m_socket.send(*address, encode(Datagram<ratelimits::ToRateLimiter> {m_self, message}));
    }
}

void SchedulingEndpoint::send(const slots::ToPlainScheduler &message)
{
    if (const auto address = m_dependencies.schedulerAddress()) {
        m_socket.send(*address, encode(Datagram<slots::ToPlainScheduler> {m_self, message}));
    }
}

void SchedulingEndpoint::send(const NodeName &node, const origins::OriginMessage &message)
{
    const auto it = m_nodeAddresses.find(node);
    if (it != m_nodeAddresses.end()) {
        m_socket.send(it->second, origins::encode(m_self.node, message));
    }
}

void SchedulingEndpoint::spread(const std::vector<PartCrashNote> &notes)
{
    for (const DatagramAddress &node : crashes::spreadTargets(m_nodeAddresses, m_random)) {
        sendTo(node, notes);
    }
}

void SchedulingEndpoint::sendTo(const DatagramAddress &node,
                                const std::vector<PartCrashNote> &notes)
{
    for (const std::string &datagram : crashes::encodeDatagrams(m_self.node, notes)) {
        m_socket.send(node, datagram);
    }
}

void SchedulingEndpoint::handleDatagram(const DatagramAddress &from, const std::string &text)
{
    const Json::Value value = parseJson(text);
    if (!deliverAnswer(value) && !handleSchedulerMessage(from, value)
        && !handleQuotaMessage(from, value) && !handleRateLimitMessage(from, value)
        && !handleSlotMessage(from, value)) {
        m_dependencies.record("datagram_unreadable",
                              "from=" + from + " bytes=" + std::to_string(text.size()));
    }
}

bool SchedulingEndpoint::deliverAnswer(const Json::Value &value)
{
    if (const auto answer = readDatagramFromScheduler(value)) {
        m_dependencies.deliver(
            dispatch::SchedulerAnswered {answer->message, answer->from.incarnation});
    } else if (const auto quota = quotas::readFromKeeper(value)) {
        m_dependencies.deliver(
            dispatch::QuotaKeeperAnswered {quota->message, quota->from.incarnation});
    } else if (const auto permit = ratelimits::readFromRateLimiter(value)) {
        m_dependencies.deliver(dispatch::RateLimiterAnswered {permit->message});
    } else if (const auto slot = slots::readFromPlainScheduler(value)) {
        m_dependencies.deliver(
            dispatch::PlainSchedulerAnswered {slot->message, slot->from.incarnation});
    } else if (const auto origin = origins::readOriginDatagram(value)) {
        m_dependencies.deliver(dispatch::OriginMessageArrived {origin->from, origin->message});
    } else if (auto notes = crashes::readPartCrashDatagram(value)) {
        m_dependencies.deliver(dispatch::PartCrashesArrived {std::move(*notes)});
    } else {
        return false;
    }
    return true;
}

bool SchedulingEndpoint::handleRateLimitMessage(const DatagramAddress &from,
                                                const Json::Value &value)
{
    const auto datagram = ratelimits::readToRateLimiter(value);
    if (!datagram) {
        return false;
    }
    const auto answer = m_rateLimiter.handle(steadyNow(), datagram->from, datagram->message);
    if (answer) {
        m_socket.send(from, encode(Datagram<ratelimits::FromRateLimiter> {m_self, *answer}));
    }
    armNoticeTimer();
    return true;
}

void SchedulingEndpoint::sendNotice()
{
    if (const auto notice = m_rateLimiter.takeNotice(steadyNow())) {
        const std::string text = encode(Datagram<ratelimits::FromRateLimiter> {m_self, *notice});
        for (const DatagramAddress &address : m_dependencies.nodeAddresses()) {
            m_socket.send(address, text);
        }
    }
    armNoticeTimer();
}

void SchedulingEndpoint::sendLimitsTo(const DatagramAddress &node)
{
    for (const ratelimits::LimitNotice &notice : m_rateLimiter.currentLimits(steadyNow())) {
        m_socket.send(node, encode(Datagram<ratelimits::FromRateLimiter> {m_self, notice}));
    }
}

void SchedulingEndpoint::armNoticeTimer()
{
    if (m_rateLimiter.hasNotice() && event_pending(m_noticeTimer.get(), EV_TIMEOUT, nullptr) == 0) {
        event_add(m_noticeTimer.get(), &NoticeInterval);
    }
}

bool SchedulingEndpoint::handleSchedulerMessage(const DatagramAddress &from,
                                                const Json::Value &value)
{
    const auto datagram = readDatagramToScheduler(value);
    if (!datagram) {
        return false;
    }
    const auto view = m_dependencies.view();
    if (!view) {
        // Without routes nothing can be granted; the sender falls back to choosing engines itself.
        return true;
    }
    m_addresses[datagram->from.node] = from;
    reply(m_scheduler.handle(steadyNow(), *view, datagram->from, datagram->message));
    armTimer();
    return true;
}

bool SchedulingEndpoint::handleQuotaMessage(const DatagramAddress &from, const Json::Value &value)
{
    const auto datagram = quotas::readToKeeper(value);
    if (!datagram) {
        return false;
    }
    const auto view = m_dependencies.view();
    if (!view) {
        // Without routes there are no quotas; the sender falls back to enforcing them itself.
        return true;
    }
    m_addresses[datagram->from.node] = from;
    const auto replies = m_quotaKeeper.handle(
        steadyNow(), {view->routes, m_dependencies.nodeCount()}, datagram->from, datagram->message);
    for (const quotas::KeeperReply &one : replies) {
        const auto it = m_addresses.find(one.to);
        if (it != m_addresses.end()) {
            m_socket.send(it->second, encode(Datagram<quotas::FromKeeper> {m_self, one.message}));
        }
    }
    return true;
}

bool SchedulingEndpoint::handleSlotMessage(const DatagramAddress &from, const Json::Value &value)
{
    const auto datagram = slots::readToPlainScheduler(value);
    if (!datagram) {
        return false;
    }
    const auto view = m_dependencies.view();
    if (!view) {
        // Without routes nothing can be granted; the sender falls back to choosing servers itself.
        return true;
    }
    m_addresses[datagram->from.node] = from;
    const TimePoint now = steadyNow();
    reply(m_plainScheduler.handle(now, view->servers, datagram->from, datagram->message));
    recordPlainServers(now);
    armTimer();
    return true;
}

void SchedulingEndpoint::tick()
{
    if (const auto view = m_dependencies.view()) {
        const TimePoint now = steadyNow();
        reply(m_scheduler.tick(now, *view));
        reply(m_plainScheduler.tick(now, view->servers));
        recordState(now, *view);
    }
    armTimer();
}

void SchedulingEndpoint::reply(const SchedulerReplies &replies)
{
    for (const SchedulerReply &reply : replies) {
        const auto it = m_addresses.find(reply.to.node);
        if (it != m_addresses.end()) {
            m_socket.send(it->second, encode(Datagram<FromScheduler> {m_self, reply.message}));
        }
        recordBackup(reply);
    }
}

void SchedulingEndpoint::recordBackup(const SchedulerReply &reply)
{
    const auto *granted = std::get_if<ClaimGranted>(&reply.message);
    if (!granted || granted->backupServer.isEmpty()) {
        return;
    }
    const auto view = m_dependencies.view();
    m_dependencies.record(
        "run_backup_granted",
        "owner=" + reply.to.node.text() + " claim=" + std::to_string(granted->claim.value())
            + " engine=" + granted->decodeServer.text() + " backup=" + granted->backupServer.text()
            + " copies=" + std::to_string(m_scheduler.copies())
            + " copy_tokens=" + std::to_string(m_scheduler.copyTokens())
            + " loss=" + std::to_string(m_scheduler.lossFraction(steadyNow()))
            + " store_stale=" + (view && view->isStoreStale ? "1" : "0"));
}

void SchedulingEndpoint::reply(const slots::SlotReplies &replies)
{
    for (const slots::SlotReply &reply : replies) {
        if (!reply.detail.empty()) {
            const bool isGrant = std::holds_alternative<slots::SlotGranted>(reply.message);
            m_dependencies.record(isGrant ? "slot_grant" : "slot_refusal",
                                  "node=" + reply.to.node.text() + " claim="
                                      + std::to_string(slots::claimOf(reply.message).value()) + " "
                                      + reply.detail);
        }
        const auto it = m_addresses.find(reply.to.node);
        if (it != m_addresses.end()) {
            m_socket.send(it->second,
                          encode(Datagram<slots::FromPlainScheduler> {m_self, reply.message}));
        }
    }
}

std::vector<slots::PlainScheduler::ServerState> SchedulingEndpoint::plainServers() const
{
    return m_plainScheduler.serverStates(steadyNow(), MaxPlainServersLogged);
}

void SchedulingEndpoint::recordPlainServers(TimePoint now)
{
    if (now < m_plainServersLoggedAt + StateLogInterval) {
        return;
    }
    m_plainServersLoggedAt = now;
    for (const auto &state : plainServers()) {
        m_dependencies.record("plain_server",
                              "service=" + state.service.text() + " server=" + state.server.text()
                                  + " " + slots::figuresText(state.figures)
                                  + " waiting=" + std::to_string(m_plainScheduler.waiting()));
    }
}

void SchedulingEndpoint::recordState(TimePoint now, const EngineScheduler::View &view)
{
    if (m_scheduler.waiting() == 0 || now < m_stateLoggedAt + StateLogInterval) {
        return;
    }
    m_stateLoggedAt = now;
    const SchedulerState state = m_scheduler.state(now, view);
    m_dependencies.record(
        "scheduler_state",
        "waiting=" + std::to_string(state.waiting) + " granted=" + std::to_string(state.granted)
            + " decode_usable=" + std::to_string(state.decodeUsable) + "/"
            + std::to_string(state.decodeEngines) + " prefill_usable="
            + std::to_string(state.prefillUsable) + "/" + std::to_string(state.prefillEngines)
            + " free_tokens=" + std::to_string(state.freeTokens) + "/"
            + std::to_string(state.memoryTokens)
            + " prefill_wait_ms=" + dispatch::millisecondsText(state.shortestPrefillWait)
            + " refused_at_once=" + std::to_string(state.refusedAtOnce) + " refused_after_wait="
            + std::to_string(state.refusedAfterWait) + " copies=" + std::to_string(state.copies)
            + " copy_tokens=" + std::to_string(state.copyTokens)
            + " loss=" + std::to_string(state.lossFraction)
            + " organisations=" + organisationsText(state.organisations));
}

void SchedulingEndpoint::armTimer()
{
    const TimePoint now = steadyNow();
    const auto next = earlier(m_scheduler.nextTick(now), m_plainScheduler.nextTick());
    const bool isArmed = event_pending(m_timer.get(), EV_TIMEOUT, nullptr) != 0;
    if (!next || (isArmed && m_timerAt <= *next)) {
        return;
    }
    m_timerAt = *next;
    const Duration wait = std::max(Duration(0), Duration(*next - now));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    const timeval delay {seconds.count(), (wait - seconds).count()};
    event_add(m_timer.get(), &delay);
}

} // namespace indigoway
