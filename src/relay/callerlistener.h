#pragma once

#include "http/eventbase.h"
#include "http/httpserver.h"
#include "relay/messageparser.h"

#include <indigoway/ids.h>
#include <indigoway/routing.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace indigoway {

/** A caller's request, whole. */
struct CallerRequest
{
    MessageHead head;
    std::string body;
};

/**
 * The callers' side: HTTP/1.1 true to the byte, one request at a time on a connection. evhttp's
 * server rewrites what passes through it and does not tell a caller's leaving before an answer
 * has begun; here bufferevents and a parser library take its place.
 *
 * Every request that was handed on ends by one of respond(), endStream(), breakAnswer(), or the
 * gone handler.
 */
class CallerListener
{
public:
    using RequestHandler = std::function<void(RequestNumber, CallerRequest)>;
    using GoneHandler = std::function<void(RequestNumber)>;

    CallerListener(event_base *base, RequestHandler requestHandler, GoneHandler goneHandler);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /** Listens on "IP:port"; port 0 takes a free one. The address, or nothing on failure. */
    std::optional<std::string> listenOn(const std::string &address);
    /** Holds for messages that begin later. */
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    /** From now on every answer asks its caller to close the connection. */
    void beginLeaving() { m_isLeaving = true; }

    void respond(RequestNumber request, int status, const HttpHeaders &headers,
                 std::string_view body);
    void beginStream(RequestNumber request, int status, const HttpHeaders &headers);
    void sendPiece(RequestNumber request, std::string_view data);
    void endStream(RequestNumber request);
    /** Closes the connection at once: an answer under way is visibly not whole. */
    void breakAnswer(RequestNumber request);
    std::size_t connections() const { return m_connections.size(); }
    std::size_t openRequests() const { return m_requests.size(); }

private:
    struct Connection;
    using ConnectionNumber = Number<struct CallerConnectionTag>;

    static void handleAccept(evconnlistener *listener, int socket, sockaddr *from, int length,
                             void *self);
    static void handleRead(bufferevent *bev, void *connection);
    static void handleWritten(bufferevent *bev, void *connection);
    static void handleEvent(bufferevent *bev, short what, void *connection);
    static void handleTimer(int socket, short what, void *connection);
    void accept(int socket);
    void readMore(Connection &connection);
    bool isWithinLimits(Connection &connection);
    void takeHead(Connection &connection, const MessageHead &head);
    void requestComplete(Connection &connection);
    /** Answers what cannot be read on, and closes the connection. */
    void refuse(Connection &connection, int status, const char *why);
    void answerFinished(Connection &connection);
    void closeWhenWritten(Connection &connection);
    void startLingering(Connection &connection);
    void armIdleTimer(Connection &connection);
    void close(ConnectionNumber number);
    Connection *connectionOf(RequestNumber request);
    void writeHead(Connection &connection, int status, const HttpHeaders &headers,
                   std::optional<std::size_t> length);

    event_base *m_base;
    evconnlistener *m_listener = nullptr;
    RequestHandler m_requestHandler;
    GoneHandler m_goneHandler;
    CallerLimits m_limits;
    bool m_isLeaving = false;
    std::map<ConnectionNumber, std::unique_ptr<Connection>> m_connections;
    std::map<RequestNumber, ConnectionNumber> m_requests;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace indigoway
