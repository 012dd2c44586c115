#include "messageparser.h"

#include <strings.h>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <limits>

namespace indigoway {

namespace {

/** How the library says that a message names no length. */
constexpr auto NoContentLength = std::numeric_limits<std::uint64_t>::max();

/**
 * The library lets spaces in header names pass. A server that does not would read "Length : 3"
 * as another header than this node does, and cut the request elsewhere.
 */
bool isToken(std::string_view name)
{
    static constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || Marks.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

bool hasControlCharacters(std::string_view value)
{
    return std::any_of(value.begin(), value.end(),
                       [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; });
}

bool mayHaveBody(int status)
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    constexpr int FirstFinal = 200;
    return status >= FirstFinal && status != NoContent && status != NotModified;
}

} // namespace

std::string_view MessageHead::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (sameHeaderName(key, name)) {
            return value;
        }
    }
    return {};
}

bool MessageHead::hasHeader(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (sameHeaderName(key, name)) {
            return true;
        }
    }
    return false;
}

bool sameHeaderName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

MessageParser::MessageParser(Kind kind, Handler handler)
    : m_kind(kind)
    , m_handler(std::move(handler))
{
    reset();
}

void MessageParser::reset(bool isBodiless)
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_head = {};
    m_headBytes = 0;
    m_lastWasValue = false;
    m_isBodiless = isBodiless;
    m_hasStarted = false;
    m_isHeadComplete = false;
    m_isComplete = false;
    m_hasFailed = false;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    if (bytes.empty() || m_isComplete || m_hasFailed) {
        return 0;
    }
    m_hasStarted = true;
    const bool wasHead = !m_isHeadComplete;
    const std::size_t used =
        http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    if (wasHead) {
        m_headBytes += used;
    }
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
        m_hasFailed = true;
    }
    return used;
}

void MessageParser::feedEnd()
{
    if (m_isComplete || m_hasFailed) {
        return;
    }
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    m_hasFailed = !m_isComplete;
}

int MessageParser::takeTarget(http_parser *parser, const char *at, std::size_t length)
{
    self(parser).m_head.target.append(at, length);
    return 0;
}

int MessageParser::takeField(http_parser *parser, const char *at, std::size_t length)
{
    MessageParser &one = self(parser);
    if (one.m_isHeadComplete) {
        return 0; // A trailer: not passed on.
    }
    if (one.m_head.headers.empty() || one.m_lastWasValue) {
        one.m_head.headers.emplace_back();
        one.m_lastWasValue = false;
    }
    one.m_head.headers.back().first.append(at, length);
    return 0;
}

int MessageParser::takeValue(http_parser *parser, const char *at, std::size_t length)
{
    MessageParser &one = self(parser);
    if (!one.m_isHeadComplete) {
        one.m_head.headers.back().second.append(at, length);
        one.m_lastWasValue = true;
    }
    return 0;
}

int MessageParser::takeHead(http_parser *parser)
{
    constexpr int NoBody = 1;
    constexpr int Fault = -1;
    MessageParser &one = self(parser);
    for (const auto &[name, value] : one.m_head.headers) {
        if (!isToken(name) || hasControlCharacters(value)) {
            return Fault;
        }
    }
    one.m_isHeadComplete = true;
    if (one.m_kind == Kind::Request) {
        one.m_head.method = http_method_str(static_cast<http_method>(parser->method));
        if (parser->method != HTTP_CONNECT) {
            parser->upgrade =
                0; // Protocol changes are not offered; the request is an ordinary one.
        }
    } else {
        one.m_head.status = static_cast<int>(parser->status_code);
        parser->upgrade = 0;
    }
    one.m_head.keepsConnection = http_should_keep_alive(parser) != 0;
    one.m_head.endsWithConnection = one.m_kind == Kind::Response && !one.m_isBodiless
        && mayHaveBody(one.m_head.status) && (parser->flags & F_CHUNKED) == 0
        && parser->content_length == NoContentLength;
    one.m_handler.head(one.m_head);
    return one.m_isBodiless ? NoBody : 0;
}

int MessageParser::takeBody(http_parser *parser, const char *at, std::size_t length)
{
    self(parser).m_handler.body({at, length});
    return 0;
}

int MessageParser::takeEnd(http_parser *parser)
{
    self(parser).m_isComplete = true;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &MessageParser::callbacks()
{
    static const http_parser_settings Settings = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = &MessageParser::takeTarget;
        settings.on_header_field = &MessageParser::takeField;
        settings.on_header_value = &MessageParser::takeValue;
        settings.on_headers_complete = &MessageParser::takeHead;
        settings.on_body = &MessageParser::takeBody;
        settings.on_message_complete = &MessageParser::takeEnd;
        return settings;
    }();
    return Settings;
}

} // namespace indigoway
