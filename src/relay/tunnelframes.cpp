#include "tunnelframes.h"

#include <event2/buffer.h>

#include <algorithm>
#include <array>

namespace indigoway {

namespace {

constexpr std::size_t HeadBytes = 5;
constexpr unsigned BitsPerByte = 8;

void writeHead(evbuffer *to, TunnelFrame kind, std::size_t length)
{
    std::array<std::uint8_t, HeadBytes> head {static_cast<std::uint8_t>(kind)};
    for (std::size_t i = 1; i < HeadBytes; ++i) {
        head[i] = static_cast<std::uint8_t>(length >> (BitsPerByte * (HeadBytes - 1 - i)));
    }
    evbuffer_add(to, head.data(), head.size());
}

std::size_t lengthIn(const std::array<std::uint8_t, HeadBytes> &head)
{
    std::size_t length = 0;
    for (std::size_t i = 1; i < HeadBytes; ++i) {
        length = length << BitsPerByte | head[i];
    }
    return length;
}

} // namespace

void writeTunnelFrame(evbuffer *to, TunnelFrame kind)
{
    writeHead(to, kind, 0);
}

void writeTunnelDataHead(evbuffer *to, std::size_t bytes)
{
    writeHead(to, TunnelFrame::Data, bytes);
}

void writeTunnelData(evbuffer *to, std::string_view data)
{
    writeTunnelDataHead(to, data.size());
    evbuffer_add(to, data.data(), data.size());
}

void moveTunnelData(evbuffer *to, evbuffer *from)
{
    writeHead(to, TunnelFrame::Data, evbuffer_get_length(from));
    evbuffer_add_buffer(to, from);
}

std::optional<TunnelFrameReader::Part> TunnelFrameReader::next(evbuffer *input)
{
    for (;;) {
        const std::size_t available = evbuffer_get_length(input);
        if (m_skippedLeft > 0) {
            const std::size_t skipped = std::min(m_skippedLeft, available);
            evbuffer_drain(input, skipped);
            m_skippedLeft -= skipped;
            if (m_skippedLeft > 0) {
                return std::nullopt;
            }
            continue;
        }
        if (m_dataLeft > 0) {
            const std::size_t bytes = std::min(m_dataLeft, available);
            m_dataLeft -= bytes;
            return bytes > 0 ? std::optional(Part {TunnelFrame::Data, bytes}) : std::nullopt;
        }
        if (available < HeadBytes) {
            return std::nullopt;
        }
        std::array<std::uint8_t, HeadBytes> head {};
        evbuffer_remove(input, head.data(), head.size());
        const auto kind = static_cast<TunnelFrame>(head[0]);
        if (kind == TunnelFrame::Data) {
            m_dataLeft = lengthIn(head);
            continue;
        }
        m_skippedLeft = lengthIn(head);
        if (kind <= TunnelFrame::Leaving) {
            return Part {kind, 0};
        }
    }
}

} // namespace indigoway
