#pragma once

#include "http/eventbase.h"
#include "http/messagebody.h"
#include "http/messageparser.h"
#include "overload/overloadguard.h"

#include <indigoway/ids.h>
#include <indigoway/routing.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace indigoway {

struct HttpConnection;

/** A client's complete request. */
struct CallerRequest
{
    MessageHead head;
    MessageBody body;
    ByteLease headLease; ///< Of the head.
};

/** What a listener is for, and what it does with requests. */
struct ListenerOptions
{
    Door door = Door::Callers;
    CallerLimits limits;
    std::size_t maxConnections = ByteBudget::Unlimited; ///< Beside the guard's limit.
    bool keepsBodies = true;                            ///< Otherwise they are read and discarded.
    /** How many copies the request handler makes that no lease of CallerRequest counts. */
    std::uint32_t copies = 0;
    std::size_t maxUnreadBytes = std::size_t {4} * 1024 * 1024; ///< Of one stream.
};

/**
 * HTTP/1.1 server. Requests on a connection are handled one at a time, and pipelined ones wait. It
 * uses bufferevents and http_parser instead of evhttp, which modifies messages, doesn't report that
 * a client disconnects before the answer starts, and limits neither its connections nor their time.
 *
 * Every request passed to the request handler ends with one of respond(), endStream(),
 * abortAnswer(), or a call of the gone handler.
 */
class HttpListener : public DoorKeeper
{
public:
    using RequestHandler = std::function<void(RequestNumber, CallerRequest)>;
    using GoneHandler = std::function<void(RequestNumber)>;

    HttpListener(event_base *base, OverloadGuard &guard, ListenerOptions options,
                 RequestHandler requestHandler, GoneHandler goneHandler);
    ~HttpListener() override;

    /**
     * Listens on @p address, "IP:port"; port 0 selects a free port.
     * @return the bound address, or nothing on failure
     */
    std::optional<std::string> listenOn(const std::string &address);
    /** Sets the limits for requests that start later. */
    void setLimits(const CallerLimits &limits) { m_options.limits = limits; }
    /** Closes each connection after its next answer, which has "Connection: close". */
    void beginLeaving() { m_isLeaving = true; }

    void respond(RequestNumber request, int status, const HttpHeaders &headers,
                 const MessageBody &body);
    void startStream(RequestNumber request, int status, const HttpHeaders &headers);
    void sendChunk(RequestNumber request, std::string_view data);
    void endStream(RequestNumber request);
    /** Closes the connection without the last chunk, which marks the answer as incomplete. */
    void abortAnswer(RequestNumber request);
    /** Tells how many bytes the request handler holds of the answer to @p request. */
    void countAnswer(RequestNumber request, std::size_t bytes);
    /** Returns how many bytes of the answer to @p request are not yet sent. */
    std::size_t unsentBytes(RequestNumber request) const;
    std::size_t connections() const { return m_connections.size(); }
    std::size_t openRequests() const { return m_requests.size(); }
    /**
     * Returns the number of connections with bytes that the kernel has not taken yet, of answers
     * that are complete for the request handler. They are lost if the process ends.
     */
    std::size_t unwrittenAnswers() const;

    bool keepsBodies() const { return m_options.keepsBodies; }

    Door door() const override { return m_options.door; }
    void appendHolders(std::vector<Holder> &holders) const override;
    void shed(std::uint64_t number, ShedReason reason) override;
    void shedSlow(TimePoint now) override;
    void reviewWaiting(TimePoint now) override;
    bool hasWaiting() const override { return !m_waiting.empty(); }

private:
    using Connection = HttpConnection;
    using ConnectionNumber = Number<struct HttpConnectionTag>;
    friend struct HttpConnection;

    static void handleAccept(evconnlistener *listener, int socket, sockaddr *from, int length,
                             void *self);
    static void handleAcceptError(evconnlistener *listener, void *self);
    static void handleRead(bufferevent *bev, void *context);
    static void handleWritten(bufferevent *bev, void *context);
    static void handleEvent(bufferevent *bev, short events, void *context);
    static void handleTimer(int socket, short events, void *context);
    void accept(int socket);
    void pauseAccepting(const timeval &pause);
    MessageParser::Handler parserHandler(ConnectionNumber number);
    /** Closes connections that are worth less than a new one; false if there are none. */
    bool makeRoomForConnection();
    void readInput(Connection &connection);
    void parseInput(Connection &connection);
    bool isWithinLimits(Connection &connection);
    void handleHead(Connection &connection, const MessageHead &head);
    void handleBody(Connection &connection, std::string_view data);
    /** Asks for room for a large body; the connection is not read until there is room. */
    void askForRoom(Connection &connection, std::size_t bytes);
    void resumeReading(Connection &connection);
    void handleCompleteRequest(Connection &connection);
    /** Sends an error answer and closes the connection. */
    void reject(Connection &connection, int status, const char *reason);
    /** Rejects a request that has not run because there is no capacity for it now. */
    void rejectForNow(Connection &connection, const char *reason);
    void finishAnswer(Connection &connection);
    void closeWhenWritten(Connection &connection);
    void startLingering(Connection &connection);
    void armIdleTimer(Connection &connection);
    /** Closes the connection at once, with a reset if @p isReset. */
    void drop(Connection &connection, bool isReset);
    void close(ConnectionNumber number);
    Connection *findConnection(RequestNumber request) const;
    Connection *findConnection(ConnectionNumber number) const;

    event_base *m_base;
    OverloadGuard &m_guard;
    ListenerOptions m_options;
    evconnlistener *m_listener = nullptr;
    EventHandle m_acceptTimer; ///< Accepts again after an error.
    RequestHandler m_requestHandler;
    GoneHandler m_goneHandler;
    bool m_isLeaving = false;
    std::map<ConnectionNumber, std::unique_ptr<Connection>> m_connections;
    std::map<RequestNumber, ConnectionNumber> m_requests;
    /** Connections that wait for room for a body, the first one first. */
    std::deque<ConnectionNumber> m_waiting;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace indigoway
