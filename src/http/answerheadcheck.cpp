#include "answerheadcheck.h"

#include <algorithm>
#include <cctype>

namespace indigoway {

namespace {

bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/** Returns whether @p line has a version that is spoken here and a status from 100 to 599. */
bool isStatusLine(std::string_view line)
{
    constexpr std::string_view Version = "HTTP/1.";
    constexpr std::size_t Minor = Version.size();
    constexpr std::size_t Status = Minor + 2;
    constexpr std::size_t StatusEnd = Status + 3;
    return line.size() >= StatusEnd && line.starts_with(Version)
        && (line[Minor] == '0' || line[Minor] == '1') && line[Minor + 1] == ' '
        && line[Status] >= '1' && line[Status] <= '5' && isDigit(line[Status + 1])
        && isDigit(line[Status + 2]) && (line.size() == StatusEnd || line[StatusEnd] == ' ');
}

/** A line that continues the one before has no name either. */
bool isField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon));
}

} // namespace

bool isToken(std::string_view name)
{
    static constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0
            || Punctuation.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

std::size_t AnswerHeadCheck::feed(std::string_view bytes)
{
    std::size_t read = 0;
    while (read < bytes.size() && !m_isComplete && !m_hasFailed) {
        const char byte = bytes[read++];
        m_hasFailed = ++m_bytes > MaxBytes || !isValidByte(byte);
        if (m_hasFailed) {
            break;
        }
        if (byte == '\n') {
            endLine();
        } else if (byte != '\r') {
            m_line += byte;
        }
        m_isAfterCarriageReturn = byte == '\r';
    }
    return read;
}

bool AnswerHeadCheck::isValidByte(char byte) const
{
    if (m_isAfterCarriageReturn || byte == '\n') {
        return m_isAfterCarriageReturn && byte == '\n';
    }
    const auto code = static_cast<unsigned char>(byte);
    constexpr unsigned char Delete = 0x7f;
    return byte == '\r' || byte == '\t' || (code >= ' ' && code != Delete);
}

void AnswerHeadCheck::endLine()
{
    if (!m_hasStatusLine) {
        m_hasStatusLine = true;
        m_hasFailed = !isStatusLine(m_line);
    } else if (m_line.empty()) {
        m_isComplete = true;
    } else {
        m_hasFailed = !isField(m_line);
    }
    m_line.clear();
}

} // namespace indigoway
