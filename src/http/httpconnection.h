#pragma once

#include "http/httplistener.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;
struct event;

namespace indigoway {

/** State of one connection of an HttpListener. */
struct HttpConnection
{
    enum class State : std::uint8_t {
        Reading,   ///< Waits for a request or receives one.
        Answering, ///< Processes a request; further input stays in the buffer.
        Closing,   ///< Waits until the answer is written.
        Lingering, ///< Discards input until the timer closes the connection.
    };

    HttpConnection(event_base *base, HttpListener &listener,
                   HttpListener::ConnectionNumber itsNumber, int socket,
                   MessageParser::Handler handler);
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    ~HttpConnection();

    /** Returns whether all parts could be allocated. */
    bool isValid() const { return bev && timer; }
    std::size_t inputBytes() const;
    std::size_t unsentBytes() const;
    /** Counts what the connection itself holds now. */
    void countBytes();
    void setReading(bool isWanted);
    /** Reads on if not too much input waits. */
    void limitReadAhead();
    void enter(State next, TimePoint now);
    Holder holder(Door door) const;
    void beginRequest(const CallerLimits &itsLimits, ByteBudget &budget);
    /** Forgets the request that was being received. */
    void discardRequest();
    void discardInput();
    /** Call before a write: remembers since when bytes are unsent. */
    void noteWrite();
    /** @param length Of the body; nothing for a stream. */
    void writeHead(int code, const HttpHeaders &headers, std::optional<std::size_t> length,
                   bool isLeaving);
    void writeBody(const MessageBody &body);
    void writeChunk(std::string_view data);
    void writeLastChunk();
    /** Asks a client for the body for which it waits to be asked. */
    void writeContinue();
    /** Makes the request be rejected once the parser has returned. */
    void rejectWith(int status);
    /** Returns how long the body may still take if it arrives at @p minRate bytes a second. */
    Duration remainingBodyTime(double minRate, TimePoint now) const;
    /** Describes the connection in a log line. */
    std::string description() const;

    HttpListener &owner;
    const HttpListener::ConnectionNumber number;
    bufferevent *bev = nullptr;
    event *timer = nullptr;
    MessageParser parser;
    State state = State::Reading;
    TimePoint stateSince {};
    TimePoint requestSince {}; ///< When the first byte of the request being received came.
    TimePoint bodySince {};    ///< When its head was complete.
    TimePoint unsentSince {};  ///< When the bytes that are not sent were written.
    RequestNumber request;
    CallerRequest incomingRequest;
    CallerLimits limits;
    ByteLease lease;
    ByteLease copyLease;          ///< Of the request handler's copy of the request being answered.
    std::size_t answerBytes = 0;  ///< Of the answer, at the request handler.
    std::size_t requestBytes = 0; ///< Of the request that is being answered.
    std::size_t bodyBytes = 0;    ///< Received of the present body.
    std::size_t announcedBytes = 0;  ///< Of the present body; 0 if it has chunks.
    std::size_t lingerBytes = 0;     ///< Discarded while lingering.
    std::uint64_t writtenBytes = 0;  ///< Of all answers.
    std::uint64_t writtenBefore = 0; ///< At unsentSince, without what was not sent then.
    TimePoint waitsSince {};         ///< Begin of the wait for room.
    std::size_t wantedBytes = 0;     ///< For which there was no room.
    bool isWaiting = false;          ///< Waits for room for its body, and is not read.
    bool isContinueDue = false;      ///< The client waits before it sends its body.
    bool isReading = true;
    bool hasBeenServed = false;
    bool isHttp10 = false; ///< The client knows no chunks; a stream ends with the connection.
    bool isStreaming = false;
    bool isKeepAlive = true; ///< The connection accepts further requests.
    bool isHeadRequest = false;
    /** Set in a parser callback; the answer is sent after the parser returns. */
    bool isRejected = false;
    int rejectionStatus = 0;
};

} // namespace indigoway
