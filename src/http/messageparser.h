#pragma once

#include "http/answerheadcheck.h"
#include "http/chunkcheck.h"
#include "http/httpheaders.h"

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace indigoway {

/** Start line and headers of an HTTP message, unmodified. */
struct MessageHead
{
    std::string method; ///< Request method; empty for a response.
    std::string target; ///< Unmodified path and query of a request.
    int status = 0;     ///< Response status; 0 for a request.
    HttpHeaders headers;
    bool isHttp10 = false;           ///< Sent by a peer that does not know chunked encoding.
    bool isKeepAlive = false;        ///< The connection stays open after the message.
    bool isDelimitedByClose = false; ///< The end of the connection marks the end of the body.

    /** Returns the first value of header @p name, ignoring case; empty if there is none. */
    std::string_view header(std::string_view name) const;
    bool hasHeader(std::string_view name) const;
};

/** Compares header names without regard to case. */
bool isSameHeaderName(std::string_view a, std::string_view b);

/**
 * Parses HTTP/1.1 messages one at a time with http_parser. Ambiguous framing, such as two
 * Content-Length headers or Content-Length with chunked encoding, is an error, because it allows
 * request smuggling. An answer that another reader may take differently is an error as well, and
 * so is one whose head or framing has no end.
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

    /**
     * Prepares for the next message.
     * @param isBodiless whether the message is a response to a HEAD request
     */
    void reset(bool isBodiless = false);
    /**
     * Parses @p bytes up to the end of the message.
     * @return number of bytes consumed
     */
    std::size_t feed(std::string_view bytes);
    /** Signals a regular end of the connection, which may complete the message. */
    void feedEof();

    bool hasStarted() const { return m_hasStarted; }
    bool isHeadComplete() const { return m_isHeadComplete; }
    bool isComplete() const { return m_isComplete; }
    bool hasFailed() const { return m_hasFailed; }
    const MessageHead &head() const { return m_head; }
    /** Takes the head of a complete message; the parser must be reset afterwards. */
    MessageHead takeHead() { return std::move(m_head); }
    /** Returns the size of the start line and headers parsed so far, in bytes. */
    std::size_t headBytes() const { return m_headBytes; }
    /** Returns about how much memory they take: many short fields take far more than they are. */
    std::size_t allocatedHeadBytes() const;

private:
    static MessageParser &instanceOf(http_parser *parser)
    {
        return *static_cast<MessageParser *>(parser->data);
    }
    std::size_t feedAnswer(std::string_view bytes);
    std::size_t parse(std::string_view bytes);
    static int handleUrl(http_parser *parser, const char *at, std::size_t length);
    static int handleHeaderField(http_parser *parser, const char *at, std::size_t length);
    static int handleHeaderValue(http_parser *parser, const char *at, std::size_t length);
    static int handleHeadersComplete(http_parser *parser);
    static int handleBody(http_parser *parser, const char *at, std::size_t length);
    static int handleMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    Kind m_kind;
    Handler m_handler;
    http_parser m_parser {};
    AnswerHeadCheck m_headCheck; ///< Of an answer.
    ChunkCheck m_chunkCheck;     ///< Of an answer.
    MessageHead m_head;
    std::size_t m_headBytes = 0;
    bool m_isChunked = false;
    bool m_isReadingValue = false;
    bool m_isBodiless = false;
    bool m_hasStarted = false;
    bool m_isHeadComplete = false;
    bool m_isComplete = false;
    bool m_hasFailed = false;
};

} // namespace indigoway
