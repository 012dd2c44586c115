#include "messageparser.h"

#include <strings.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

namespace indigoway {

namespace {

/** Value of http_parser's content_length if the message has no Content-Length. */
constexpr auto NoContentLength = std::numeric_limits<std::uint64_t>::max();

bool hasControlCharacters(std::string_view value)
{
    return std::any_of(value.begin(), value.end(),
                       [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; });
}

constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int FirstFinalStatus = 200;

bool mayHaveBody(int status)
{
    return status >= FirstFinalStatus && status != NoContent && status != NotModified;
}

bool isNumber(std::string_view text)
{
    constexpr std::size_t MaxDigits = 18;
    return !text.empty() && text.size() <= MaxDigits
        && std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    const std::size_t first = text.find_first_not_of(Blanks);
    return first == std::string_view::npos
        ? std::string_view()
        : text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

std::vector<std::string_view> valuesOf(const MessageHead &head, std::string_view name)
{
    std::vector<std::string_view> values;
    for (const auto &[key, value] : head.headers) {
        if (isSameHeaderName(key, name)) {
            values.push_back(trimmed(value));
        }
    }
    return values;
}

/** Returns whether all readers find the same end of an answer with this head. */
bool hasClearFraming(const MessageHead &head)
{
    const auto codings = valuesOf(head, "Transfer-Encoding");
    const auto lengths = valuesOf(head, "Content-Length");
    if (codings.size() > 1 || lengths.size() > 1 || (!codings.empty() && !lengths.empty())) {
        return false;
    }
    const bool hasOtherCoding = !codings.empty() && !isSameHeaderName(codings.front(), "chunked");
    const bool isNoLength = !lengths.empty() && !isNumber(lengths.front());
    if (hasOtherCoding || isNoLength || (!codings.empty() && head.isHttp10)) {
        return false;
    }
    const bool isBodiless = head.status < FirstFinalStatus || head.status == NoContent;
    const bool hasLength =
        !lengths.empty() && lengths.front().find_first_not_of('0') != std::string_view::npos;
    return !isBodiless || (codings.empty() && !hasLength);
}

} // namespace

std::string_view MessageHead::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (isSameHeaderName(key, name)) {
            return value;
        }
    }
    return {};
}

bool MessageHead::hasHeader(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (isSameHeaderName(key, name)) {
            return true;
        }
    }
    return false;
}

bool isSameHeaderName(std::string_view a, std::string_view b)
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
    m_headCheck = {};
    m_chunkCheck = {};
    m_head = {};
    m_headBytes = 0;
    m_isChunked = false;
    m_isReadingValue = false;
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
    return m_kind == Kind::Request ? parse(bytes) : feedAnswer(bytes);
}

std::size_t MessageParser::feedAnswer(std::string_view bytes)
{
    std::size_t consumed = 0;
    if (!m_isHeadComplete) {
        const std::string_view head = bytes.substr(0, m_headCheck.feed(bytes));
        m_hasFailed = m_headCheck.hasFailed();
        consumed = m_hasFailed ? 0 : parse(head);
        // http_parser must not find another end of the head.
        m_hasFailed = m_hasFailed || m_headCheck.isComplete() != m_isHeadComplete;
        bytes.remove_prefix(consumed);
    }
    if (!m_isHeadComplete || m_isComplete || m_hasFailed || bytes.empty()) {
        return consumed;
    }
    if (m_isChunked && !m_chunkCheck.feed(bytes)) {
        m_hasFailed = true;
        return consumed;
    }
    return consumed + parse(bytes);
}

std::size_t MessageParser::parse(std::string_view bytes)
{
    const bool wasReadingHead = !m_isHeadComplete;
    const std::size_t consumed =
        http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    if (wasReadingHead) {
        m_headBytes += consumed;
    }
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
        m_hasFailed = true;
    }
    return consumed;
}

std::size_t MessageParser::allocatedHeadBytes() const
{
    constexpr std::size_t MaxStringOverhead = 2;
    return m_head.headers.capacity() * sizeof(HttpHeaders::value_type)
        + MaxStringOverhead * m_headBytes;
}

void MessageParser::feedEof()
{
    if (m_isComplete || m_hasFailed) {
        return;
    }
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    m_hasFailed = !m_isComplete;
}

int MessageParser::handleUrl(http_parser *parser, const char *at, std::size_t length)
{
    instanceOf(parser).m_head.target.append(at, length);
    return 0;
}

int MessageParser::handleHeaderField(http_parser *parser, const char *at, std::size_t length)
{
    MessageParser &self = instanceOf(parser);
    if (self.m_isHeadComplete) {
        return 0; // Trailers are not forwarded.
    }
    if (self.m_head.headers.empty() || self.m_isReadingValue) {
        self.m_head.headers.emplace_back();
        self.m_isReadingValue = false;
    }
    self.m_head.headers.back().first.append(at, length);
    return 0;
}

int MessageParser::handleHeaderValue(http_parser *parser, const char *at, std::size_t length)
{
    MessageParser &self = instanceOf(parser);
    if (!self.m_isHeadComplete) {
        self.m_head.headers.back().second.append(at, length);
        self.m_isReadingValue = true;
    }
    return 0;
}

int MessageParser::handleHeadersComplete(http_parser *parser)
{
    constexpr int SkipBody = 1;
    constexpr int ParseError = -1;
    MessageParser &self = instanceOf(parser);
    for (const auto &[name, value] : self.m_head.headers) {
        if (!isToken(name) || hasControlCharacters(value)) {
            return ParseError;
        }
    }
    if (self.m_kind == Kind::Request) {
        self.m_head.method = http_method_str(static_cast<http_method>(parser->method));
        if (parser->method != HTTP_CONNECT) {
            parser->upgrade = 0; // Upgrades are not supported; treated as a regular request.
        }
    } else {
        self.m_head.status = static_cast<int>(parser->status_code);
        parser->upgrade = 0;
    }
    self.m_head.isHttp10 =
        parser->http_major < 1 || (parser->http_major == 1 && parser->http_minor == 0);
    if (self.m_kind == Kind::Response && !hasClearFraming(self.m_head)) {
        return ParseError;
    }
    self.m_isHeadComplete = true;
    self.m_isChunked = (parser->flags & F_CHUNKED) != 0;
    self.m_head.isKeepAlive = http_should_keep_alive(parser) != 0;
    self.m_head.isDelimitedByClose = self.m_kind == Kind::Response && !self.m_isBodiless
        && mayHaveBody(self.m_head.status) && (parser->flags & F_CHUNKED) == 0
        && parser->content_length == NoContentLength;
    self.m_handler.head(self.m_head);
    return self.m_isBodiless ? SkipBody : 0;
}

int MessageParser::handleBody(http_parser *parser, const char *at, std::size_t length)
{
    instanceOf(parser).m_handler.body({at, length});
    return 0;
}

int MessageParser::handleMessageComplete(http_parser *parser)
{
    instanceOf(parser).m_isComplete = true;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &MessageParser::callbacks()
{
    static const http_parser_settings Settings = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = &MessageParser::handleUrl;
        settings.on_header_field = &MessageParser::handleHeaderField;
        settings.on_header_value = &MessageParser::handleHeaderValue;
        settings.on_headers_complete = &MessageParser::handleHeadersComplete;
        settings.on_body = &MessageParser::handleBody;
        settings.on_message_complete = &MessageParser::handleMessageComplete;
        return settings;
    }();
    return Settings;
}

} // namespace indigoway
