#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace indigoway {

/**
 * Splits a stream of server-sent events (text/event-stream) at event boundaries. Only complete
 * events are forwarded to the caller, so that another server can resume the stream after the last
 * event if the first server fails within an event.
 */
class EventStreamParser
{
public:
    /** Appends @p bytes to the buffer; removes and returns all complete events. */
    std::string feed(std::string_view bytes);
    bool isAtEventBoundary() const { return m_partial.empty(); }
    std::uint32_t eventCount() const { return m_eventCount; }
    /** Returns the id of the last complete event that had one; empty if none had. */
    const std::string &lastEventId() const { return m_lastEventId; }
    std::size_t bufferedBytes() const { return m_partial.size(); }
    /** Discards an incomplete event before another server resumes the stream. */
    void discardPartialEvent() { m_partial.clear(); }

private:
    void parseEvent(std::string_view event);

    std::string m_partial;
    std::string m_lastEventId;
    std::uint32_t m_eventCount = 0;
};

} // namespace indigoway
