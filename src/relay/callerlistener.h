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

/** A caller's complete request. */
struct CallerRequest
{
    MessageHead head;
    std::string body;
};

/**
 * HTTP/1.1 server for callers. Requests on a connection are handled one at a time, and pipelined
 * ones wait. It uses bufferevents and http_parser instead of evhttp, which modifies messages and
 * doesn't report that a caller disconnects before the answer starts.
 *
 * Every request passed to the request handler ends with one of respond(), endStream(),
 * abortAnswer(), or a call of the gone handler.
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

    /**
     * Listens on @p address, "IP:port"; port 0 selects a free port.
     * @return the bound address, or nothing on failure
     */
    std::optional<std::string> listenOn(const std::string &address);
    /** Sets the limits for requests that start later. */
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    /** Closes each connection after its next answer, which has "Connection: close". */
    void beginLeaving() { m_isLeaving = true; }

    void respond(RequestNumber request, int status, const HttpHeaders &headers,
                 std::string_view body);
    void startStream(RequestNumber request, int status, const HttpHeaders &headers);
    void sendChunk(RequestNumber request, std::string_view data);
    void endStream(RequestNumber request);
    /** Closes the connection without the last chunk, which marks the answer as incomplete. */
    void abortAnswer(RequestNumber request);
    std::size_t connections() const { return m_connections.size(); }
    std::size_t openRequests() const { return m_requests.size(); }
    /**
     * Returns the number of connections with bytes that the kernel has not taken yet, of answers
     * that are complete for the request handler. They are lost if the process ends.
     */
    std::size_t unwrittenAnswers() const;

private:
    struct Connection;
    using ConnectionNumber = Number<struct CallerConnectionTag>;

    static void handleAccept(evconnlistener *listener, int socket, sockaddr *from, int length,
                             void *self);
    static void handleRead(bufferevent *bev, void *context);
    static void handleWritten(bufferevent *bev, void *context);
    static void handleEvent(bufferevent *bev, short events, void *context);
    static void handleTimer(int socket, short events, void *context);
    void accept(int socket);
    void readInput(Connection &connection);
    bool isWithinLimits(Connection &connection);
    void handleHead(Connection &connection, const MessageHead &head);
    void handleCompleteRequest(Connection &connection);
    /** Sends an error answer and closes the connection. */
    void reject(Connection &connection, int status, const char *reason);
    void finishAnswer(Connection &connection);
    void closeWhenWritten(Connection &connection);
    void startLingering(Connection &connection);
    void armIdleTimer(Connection &connection);
    void close(ConnectionNumber number);
    Connection *findConnection(RequestNumber request);
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
