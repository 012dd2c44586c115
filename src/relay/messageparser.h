#pragma once

#include "http/httpserver.h"

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

namespace indigoway {

/** Start line and headers of a message, as they came. */
struct MessageHead
{
    std::string method; ///< Of requests.
    std::string target; ///< Of requests: path and query, byte for byte.
    int status = 0;     ///< Of responses.
    HttpHeaders headers;
    bool keepsConnection = false;
    bool endsWithConnection = false; ///< A body without length or chunks.

    /** Value of the first header @p name, whatever its case; empty if there is none. */
    std::string_view header(std::string_view name) const;
    bool hasHeader(std::string_view name) const;
};

bool sameHeaderName(std::string_view a, std::string_view b);

/**
 * One HTTP/1.1 message at a time, on the parser library's strict rules: two lengths, a length
 * with chunks, and other framings that two readers could take differently are errors.
 */
class MessageParser
{
public:
    enum class Kind {
        Request,
        Response,
    };
    struct Handler
    {
        std::function<void(const MessageHead &)> head;
        std::function<void(std::string_view)> body;
    };

    MessageParser(Kind kind, Handler handler);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;
    ~MessageParser() = default;

    /** Ready for the next message. @p isBodiless: a response to HEAD. */
    void reset(bool isBodiless = false);
    /** Takes bytes up to the message's end; returns how many were used. */
    std::size_t feed(std::string_view bytes);
    /** The peer has ended the connection in good order; may complete the message. */
    void feedEnd();

    bool hasStarted() const { return m_hasStarted; }
    bool isHeadComplete() const { return m_isHeadComplete; }
    bool isComplete() const { return m_isComplete; }
    bool hasFailed() const { return m_hasFailed; }
    const MessageHead &head() const { return m_head; }
    /** Bytes of the head so far; of use as a bound on it. */
    std::size_t headBytes() const { return m_headBytes; }

private:
    static MessageParser &self(http_parser *parser)
    {
        return *static_cast<MessageParser *>(parser->data);
    }
    static int takeTarget(http_parser *parser, const char *at, std::size_t length);
    static int takeField(http_parser *parser, const char *at, std::size_t length);
    static int takeValue(http_parser *parser, const char *at, std::size_t length);
    static int takeHead(http_parser *parser);
    static int takeBody(http_parser *parser, const char *at, std::size_t length);
    static int takeEnd(http_parser *parser);
    static const http_parser_settings &callbacks();

    Kind m_kind;
    Handler m_handler;
    http_parser m_parser {};
    MessageHead m_head;
    std::size_t m_headBytes = 0;
    bool m_lastWasValue = false;
    bool m_isBodiless = false;
    bool m_hasStarted = false;
    bool m_isHeadComplete = false;
    bool m_isComplete = false;
    bool m_hasFailed = false;
};

} // namespace indigoway
