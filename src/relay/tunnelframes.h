#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

struct evbuffer;

/**
 * @file Framing of the bytes of a relayed connection between two nodes.
 *
 * When a process ends, its kernel closes its connections as a server does after an answer without a
 * length. Only a frame that the relaying node writes tells the end of the server's connection from
 * its own. A frame is a kind (1 byte), the length of its payload (4 bytes, big-endian) and the
 * payload; kinds of later versions are skipped.
 */
namespace indigoway {

enum class TunnelFrame : std::uint8_t {
    Data = 0, ///< Bytes of the connection to the server.
    /** From the relaying node: the server has closed its connection after these bytes. */
    ServerClosed = 1,
    /** From the relaying node: the server's connection was reset, or its machine is gone. */
    ServerReset = 2,
    /** From the asking node: no request is open on the connection. */
    Idle = 3,
    /** From the relaying node: it is about to end; no further request may be sent. */
    Leaving = 4,
};

/** Appends a frame without a payload. */
void writeTunnelFrame(evbuffer *to, TunnelFrame kind);
/** Appends the begin of a Data frame; @p bytes of data must follow. */
void writeTunnelDataHead(evbuffer *to, std::size_t bytes);
/** Appends a Data frame with a copy of @p data. */
void writeTunnelData(evbuffer *to, std::string_view data);
/** Appends a Data frame with all bytes of @p from, which is empty afterwards. */
void moveTunnelData(evbuffer *to, evbuffer *from);

/** Splits the bytes that arrive on a framed connection into frames. */
class TunnelFrameReader
{
public:
    /** A frame without a payload, or bytes of a Data frame. */
    struct Part
    {
        TunnelFrame kind = TunnelFrame::Data;
        std::size_t bytes = 0; ///< Of a Data frame; the caller removes them from the input.
    };

    /** Returns the next part of @p input; nothing if no whole part has arrived. */
    std::optional<Part> next(evbuffer *input);

private:
    std::size_t m_dataLeft = 0;    ///< Of the present Data frame.
    std::size_t m_skippedLeft = 0; ///< Of the present frame of an unknown kind.
};

} // namespace indigoway
