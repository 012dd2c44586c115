#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace indigoway {

/**
 * Checks the chunks of an answer's body before http_parser reads them. It accepts line ends and
 * sizes that other readers take differently, and extensions and trailers without end.
 */
class ChunkCheck
{
public:
    /** Bytes that are no data; small chunks may have more. */
    static constexpr std::size_t MaxFramingBytes = std::size_t {16} * 1024;
    static constexpr std::size_t MaxFramingPerDataByte = 8;

    /** Checks the next bytes up to the end of the body; returns false if they are not valid. */
    bool feed(std::string_view bytes);

private:
    enum class State : std::uint8_t {
        Size,
        SpaceBeforeExtension,
        Extension,
        SizeEnd, ///< The line feed after a size.
        Data,
        DataReturn,
        DataEnd, ///< The line feed after data.
        TrailerStart,
        Trailer,
        TrailerEnd, ///< The line feed after a trailer.
        LastEnd,    ///< The line feed after the empty line.
        Complete,
        Failed,
    };

    State next(char byte);
    State nextOfSize(char byte);
    State nextOfExtension(char byte);
    bool hasTooMuchFraming() const;

    State m_state = State::Size;
    std::uint64_t m_size = 0;
    std::uint32_t m_digits = 0;
    std::uint64_t m_dataLeft = 0;
    std::uint64_t m_dataBytes = 0;
    std::uint64_t m_framingBytes = 0;
};

} // namespace indigoway
