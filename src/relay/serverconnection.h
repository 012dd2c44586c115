#pragma once

#include "http/messageparser.h"
#include "paths/pathsearch.h"
#include "relay/answerreading.h"
#include "relay/serverrequest.h"
#include "relay/tunnelframes.h"

#include <indigoway/ids.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;
struct evbuffer;
struct event;
struct event_base;

namespace indigoway {

class ServerConnections;

using ServerConnectionNumber = Number<struct ServerConnectionTag>;

/** A call whose connection is not open yet. */
struct PendingCall
{
    ServerRequest request; ///< Without headers.
    /**
     * Head of the request. Sent, with the body, once the connection is established. If it were
     * written to the bufferevent before, it could be sent although the connect timeout in the same
     * iteration of the event loop reports NotConnected, and the request would be executed twice.
     */
    std::string head;
    PathSearch search;
};

/** State of one connection of ServerConnections, opened by this node or by another one for it. */
struct ServerConnection
{
    ServerConnection(event_base *base, ServerConnections &connections,
                     ServerConnectionNumber itsNumber, ServerName itsServer,
                     MessageParser::Handler handler);
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;
    ~ServerConnection();

    /** Takes over what ServerRequest says of the connection and of its limits. */
    void assign(const ServerRequest &request);
    /** Returns the bytes of the server that the parser has not taken yet. */
    evbuffer *input() const;
    void send(const std::string &head, const MessageBody &body);
    /** Reads frames of the node that opened the connection, if it writes any. */
    void readFrames();
    /** Starts reading and writing frames. */
    void useFrames();
    /** Stops reading until it is called with false. */
    void setPaused(bool isWanted);
    /** Tells the node that opened the connection that no request is open. */
    void markIdle();
    /** Returns whether no further request may be sent. */
    bool isEnding() const { return serverEnd.has_value() || isRelayLeaving; }
    /** Restarts the idle timeout and the silence limit after data or a new request. */
    void armIdleTimer();
    /** Handles that bytes of an answer have come. */
    void noteAnswerBytes();
    /** Returns whether a part of the request has not been sent yet. */
    bool hasUnsentBytes() const;
    /** Arms the timer for the silence limit or the rest of the idle timeout, whichever is first. */
    void armSilenceTimer();

    ServerConnections &owner;
    const ServerConnectionNumber number;
    const ServerName server;
    bufferevent *bev = nullptr;
    event *timer = nullptr;
    MessageParser parser;
    CallNumber call; ///< None while the connection is idle.
    AnswerReading reading;
    Duration idleTimeout {};
    Duration answerLimit {}; ///< Of the rest of the answer, once it has begun; 0 for none.
    bool hasAnswerBegun = false;
    Duration silenceLimit {};
    Duration silentFor {};                ///< Time without data when the timer was last armed.
    Duration armedFor {};                 ///< Interval for which the timer was last armed.
    std::uint32_t maxIdleConnections = 1; ///< Maximum for the server, including this one.
    std::unique_ptr<PendingCall> pending; ///< Null once the connection is established.
    NodeName relay;                       ///< The node that opened it; empty for this one.
    bool isConnected = false;             ///< The connection to the server is established.
    bool isTunnelRequested = false;
    bool isRelayLeaving = false;          ///< The node that opened it is about to end.
    std::optional<TunnelFrame> serverEnd; ///< How the server has ended it, as the relay says.
    bool isPathTest = false;
    bool hasFailed = false; ///< An error was seen, which need not show again at its end.
    bool isPaused = false;  ///< Its answer is not read until there is room.
    bool isClosing = false;
    /** The message being read is informational or answers an earlier request; it is discarded. */
    bool isDiscarded = false;
    std::uint32_t discardedMessages = 0; ///< During the present call.
    std::size_t discardedBytes = 0;      ///< The same.
    bool isHeadRequest = false;
    bool isConnectOnly = false;

private:
    TunnelFrameReader m_frames;
    evbuffer *m_serverBytes = nullptr; ///< Null without frames.
};

} // namespace indigoway
