#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace indigoway {

/** Returns whether @p name is a token as defined by RFC 9110. */
bool isToken(std::string_view name);

/**
 * Checks the bytes of the head of an answer before http_parser reads them. It accepts status lines,
 * field names and line ends that other readers take differently or refuse, and heads without end.
 */
class AnswerHeadCheck
{
public:
    static constexpr std::size_t MaxBytes = std::size_t {64} * 1024;

    /** Checks the next bytes; returns how many of them belong to the head. */
    std::size_t feed(std::string_view bytes);
    bool isComplete() const { return m_isComplete; }
    bool hasFailed() const { return m_hasFailed; }

private:
    bool isValidByte(char byte) const;
    /** Checks the line that has ended. */
    void endLine();

    std::string m_line; ///< Without its end.
    std::size_t m_bytes = 0;
    bool m_hasStatusLine = false;
    bool m_isAfterCarriageReturn = false;
    bool m_isComplete = false;
    bool m_hasFailed = false;
};

} // namespace indigoway
