#include "chunkcheck.h"

#include <algorithm>

namespace indigoway {

namespace {

constexpr std::uint32_t MaxSizeDigits = 15;

/** Returns a negative number if @p byte is no hexadecimal digit. */
int valueOf(char byte)
{
    constexpr int Ten = 10;
    if (byte >= '0' && byte <= '9') {
        return byte - '0';
    }
    if (byte >= 'a' && byte <= 'f') {
        return byte - 'a' + Ten;
    }
    return byte >= 'A' && byte <= 'F' ? byte - 'A' + Ten : -1;
}

bool isText(char byte)
{
    constexpr unsigned char Delete = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= ' ' && code != Delete);
}

} // namespace

bool ChunkCheck::feed(std::string_view bytes)
{
    while (!bytes.empty() && m_state != State::Complete && m_state != State::Failed) {
        if (m_state == State::Data) {
            const std::uint64_t data = std::min<std::uint64_t>(m_dataLeft, bytes.size());
            bytes.remove_prefix(static_cast<std::size_t>(data));
            m_dataLeft -= data;
            m_dataBytes += data;
            m_state = m_dataLeft == 0 ? State::DataReturn : State::Data;
            continue;
        }
        ++m_framingBytes;
        m_state = hasTooMuchFraming() ? State::Failed : next(bytes.front());
        bytes.remove_prefix(1);
    }
    return m_state != State::Failed;
}

bool ChunkCheck::hasTooMuchFraming() const
{
    return m_framingBytes > MaxFramingBytes + MaxFramingPerDataByte * m_dataBytes;
}

ChunkCheck::State ChunkCheck::next(char byte)
{
    switch (m_state) {
    case State::Size:
        return nextOfSize(byte);
    case State::SpaceBeforeExtension:
    case State::Extension:
        return nextOfExtension(byte);
    case State::SizeEnd:
        if (byte != '\n') {
            return State::Failed;
        }
        m_dataLeft = m_size;
        m_size = 0;
        m_digits = 0;
        return m_dataLeft == 0 ? State::TrailerStart : State::Data;
    case State::DataReturn:
        return byte == '\r' ? State::DataEnd : State::Failed;
    case State::DataEnd:
        return byte == '\n' ? State::Size : State::Failed;
    case State::TrailerStart:
        if (byte == '\r') {
            return State::LastEnd;
        }
        return isText(byte) && byte != ' ' && byte != '\t' ? State::Trailer : State::Failed;
    case State::Trailer:
        if (byte == '\r') {
            return State::TrailerEnd;
        }
        return isText(byte) ? State::Trailer : State::Failed;
    case State::TrailerEnd:
        return byte == '\n' ? State::TrailerStart : State::Failed;
    case State::LastEnd:
        return byte == '\n' ? State::Complete : State::Failed;
    case State::Data:
    case State::Complete:
    case State::Failed:
        break;
    }
    return m_state;
}

ChunkCheck::State ChunkCheck::nextOfSize(char byte)
{
    constexpr std::uint64_t Base = 16;
    const int value = valueOf(byte);
    if (value >= 0) {
        m_size = m_size * Base + static_cast<std::uint64_t>(value);
        return ++m_digits > MaxSizeDigits ? State::Failed : State::Size;
    }
    if (m_digits == 0) {
        return State::Failed;
    }
    if (byte == '\r') {
        return State::SizeEnd;
    }
    if (byte == ' ' || byte == '\t') {
        return State::SpaceBeforeExtension;
    }
    return byte == ';' ? State::Extension : State::Failed;
}

ChunkCheck::State ChunkCheck::nextOfExtension(char byte)
{
    if (m_state == State::SpaceBeforeExtension) {
        if (byte == ';') {
            return State::Extension;
        }
        return byte == ' ' || byte == '\t' ? m_state : State::Failed;
    }
    if (byte == '\r') {
        return State::SizeEnd;
    }
    return isText(byte) ? State::Extension : State::Failed;
}

} // namespace indigoway
