#pragma once

#include "relay/unreadtimes.h"

#include <cstddef>
#include <optional>

namespace indigoway {

/** Records how the answer on one connection to a server is read, see UnreadTimes. */
class AnswerReading
{
public:
    /** A request is sent at @p now, whose answer will be read. */
    void begin(BootTime now) { m_begun = now; }
    /** The connection is not read from now on; no effect while it is paused. */
    void pause(BootTime now);
    /** Ends pause(). */
    void resume(BootTime now);
    /** @p bytes of the answer are read; @p process: the times without reading of all. */
    void received(const UnreadTimes &process, std::size_t bytes, BootTime now);
    /** Returns whether the server may have cut off the answer, which ends at @p now. */
    bool mayBeCutOff(const UnreadTimes &process, BootTime now);

private:
    BootTime m_begun {};
    std::optional<BootTime> m_pausedAt;
    UnreadTimes m_pauses; ///< Of this connection alone.
    /** Begin of the last long time without reading of the process. */
    std::optional<BootTime> m_unreadSince;
    std::size_t m_bytesSince = 0; ///< Read since then.
};

} // namespace indigoway
