#include "cancels.h"

#include "core/turn.h"

#include <algorithm>

namespace indigoway {

namespace {

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(250);
constexpr int MaxRetryDoublings = 6;
constexpr Duration CancelLifetime = std::chrono::minutes(10);
/** Bounds memory while an engine is unreachable; the reclaimer finds the requests dropped here. */
constexpr std::size_t MaxPending = 20'000;

} // namespace

void Cancels::cancel(Turn &turn, const ServerName &server, const EngineRequestName &request)
{
    const Key key {server, request};
    if (m_pending.contains(key) || m_pending.size() >= MaxPending) {
        return;
    }
    Pending &pending = m_pending[key];
    pending.since = turn.now;
    send(turn, key, pending);
}

void Cancels::handleFinished(Turn &turn, const CancelFinished &event)
{
    const Key key {event.server, event.request};
    if (event.isConfirmed && m_pending.erase(key) > 0) {
        m_timers.clear(key);
        turn.count(Counter::CancelsConfirmed);
    }
}

void Cancels::runDue(Turn &turn)
{
    for (const Key &key : m_timers.takeDue(turn.now)) {
        const auto it = m_pending.find(key);
        if (it == m_pending.end()) {
            continue;
        }
        if (!turn.deployment.server(key.first) || turn.now - it->second.since > CancelLifetime) {
            m_pending.erase(it);
            continue;
        }
        send(turn, key, it->second);
    }
}

void Cancels::send(Turn &turn, const Key &key, Pending &pending)
{
    const Server *server = turn.deployment.server(key.first);
    const Duration wait = InitialRetryDelay * (1 << std::min(pending.attempts, MaxRetryDoublings));
    ++pending.attempts;
    m_timers.set(key, turn.now + turn.jittered(wait));
    if (server) {
        turn.count(Counter::CancelsSent);
        turn.add(CancelOnEngine {key.first, server->address, key.second});
    }
}

} // namespace indigoway
