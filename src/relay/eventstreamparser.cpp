#include "eventstreamparser.h"

namespace indigoway {

namespace {

/** Returns the position after the next empty line at or after @p from; npos if there is none. */
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    for (std::size_t line = text.find('\n', from); line != std::string_view::npos;
         line = text.find('\n', line + 1)) {
        std::size_t next = line + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string EventStreamParser::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    std::size_t whole = 0;
    for (std::size_t end = endOfEvent(m_partial, 0); end != std::string_view::npos;
         end = endOfEvent(m_partial, end)) {
        parseEvent(std::string_view(m_partial).substr(whole, end - whole));
        whole = end;
    }
    std::string complete = m_partial.substr(0, whole);
    m_partial.erase(0, whole);
    return complete;
}

void EventStreamParser::parseEvent(std::string_view event)
{
    ++m_eventCount;
    constexpr std::string_view IdField = "id:";
    std::size_t at = 0;
    while (at < event.size()) {
        std::size_t end = event.find('\n', at);
        end = end == std::string_view::npos ? event.size() : end;
        std::string_view line = event.substr(at, end - at);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.starts_with(IdField)) {
            line.remove_prefix(IdField.size());
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            m_lastEventId = line;
        }
        at = end + 1;
    }
}

} // namespace indigoway
