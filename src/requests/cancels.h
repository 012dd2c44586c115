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
 * Cancels under way at engines. Each is repeated until the engine confirms it, the engine is no
 * longer declared, or a day's patience is over: a lost cancel would leave memory held for a
 * caller who is gone.
 */
class Cancels
{
public:
    void cancel(Turn &turn, const ServerName &server, const EngineRequestName &request);
    void finished(Turn &turn, const CancelFinished &event);
    void runDue(Turn &turn);
    std::optional<TimePoint> nextDeadline() const { return m_timers.next(); }
    std::size_t pending() const { return m_pending.size(); }

private:
    using Key = std::pair<ServerName, EngineRequestName>;
    struct Pending
    {
        TimePoint since {};
        int tries = 0;
    };

    void send(Turn &turn, const Key &key, Pending &pending);

    std::map<Key, Pending> m_pending;
    Deadlines<Key> m_timers;
};

} // namespace indigoway
