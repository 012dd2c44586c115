#pragma once

#include "core/deadlines.h"

#include <indigoway/events.h>
#include <indigoway/ids.h>

#include <map>
#include <optional>
#include <utility>

namespace indigoway {

class Turn;

/**
 * Sends cancels to engines and repeats each until the engine confirms it, is no longer declared, or
 * ten minutes have passed. A lost cancel would leave engine memory allocated for a caller that has
 * disconnected.
 */
class Cancels
{
public:
    void cancel(Turn &turn, const ServerName &server, const EngineRequestName &request);
    void handleFinished(Turn &turn, const CancelFinished &event);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    std::size_t pending() const { return m_pending.size(); }

private:
    using Key = std::pair<ServerName, EngineRequestName>;
    struct Pending
    {
        TimePoint since {};
        int attempts = 0;
    };

    void send(Turn &turn, const Key &key, Pending &pending);

    std::map<Key, Pending> m_pending;
    Deadlines<Key> m_timers;
};

} // namespace indigoway
