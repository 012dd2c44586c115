#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace indigoway {

/**
 * Cuts a stream of events (text/event-stream) at the ends of events. A server may break off in
 * the middle of one; a caller who was passed that half could not go on with another server's
 * stream, which begins with the whole event.
 */
class EventCutter
{
public:
    /** Adds bytes and returns those that complete events, to be passed on. */
    std::string take(std::string_view bytes);
    bool isBetweenEvents() const { return m_partial.empty(); }
    std::uint32_t events() const { return m_events; }
    /** Id of the last whole event; empty if none had one. */
    const std::string &lastId() const { return m_lastId; }
    std::size_t held() const { return m_partial.size(); }
    /** A new server goes on with the stream: what it broke off in is dropped. */
    void dropPartial() { m_partial.clear(); }

private:
    void read(std::string_view event);

    std::string m_partial;
    std::string m_lastId;
    std::uint32_t m_events = 0;
};

} // namespace indigoway
