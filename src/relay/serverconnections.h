#pragma once

#include "http/eventbase.h"
#include "paths/serverpaths.h"
#include "relay/messageparser.h"

#include <indigoway/ids.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct bufferevent;

namespace indigoway {

/** HTTP request to a backend server. */
struct ServerRequest
{
    CallNumber call;
    ServerName server;   ///< Identifies the server process; connections are reused for it only.
    std::string address; ///< "IP:port"
    std::string method;
    std::string target;
    HttpHeaders headers; ///< Without framing and hop-by-hop headers.
    std::string body;
    Duration idleTimeout {};    ///< Maximum time without data from the server; 0 for none.
    Duration silenceLimit {};   ///< Time without data that is reported to the observer; 0 for none.
    Duration connectTimeout {}; ///< Maximum time to connect; 0 for the default.
    bool needsNewConnection = false;
    bool isConnectOnly = false;           ///< Opens a connection without sending data.
    std::uint32_t maxIdleConnections = 1; ///< Maximum of idle connections to this server.
};

enum class TransferEnd {
    NotConnected, ///< Nothing was sent.
    Complete,
    ConnectionLost, ///< The connection ended before the answer was complete.
    Broken,         ///< Idle timeout or malformed answer.
};

/** Receives the events of calls. callEnded() follows once per call, unless it is abandoned. */
class ServerCallObserver
{
public:
    ServerCallObserver() = default;
    ServerCallObserver(const ServerCallObserver &) = delete;
    ServerCallObserver &operator=(const ServerCallObserver &) = delete;
    virtual ~ServerCallObserver() = default;

    /**
     * Returns whether @p head belongs to the answer to @p call. Otherwise it is a late answer to an
     * earlier request on the connection, which is discarded.
     */
    virtual bool isAnswerTo(CallNumber call, const MessageHead &head) = 0;
    virtual void answerStarted(CallNumber call, const MessageHead &head) = 0;
    virtual void answerDataReceived(CallNumber call, std::string_view data) = 0;
    /** Reports that the server has sent nothing for the silence limit of @p call. */
    virtual void callSilent(CallNumber /*call*/) { }
    virtual void callEnded(CallNumber call, TransferEnd end, const std::string &reason) = 0;
};

/**
 * HTTP/1.1 client for backend servers with a connection pool for each server process. Unlike the
 * client of evhttp, it distinguishes a regular close from a reset, which tells whether an answer
 * without a length is complete. A connection is closed if its call is abandoned or if it receives
 * data without a call.
 */
class ServerConnections
{
public:
    ServerConnections(event_base *base, ServerCallObserver &observer);
    ~ServerConnections();
    ServerConnections(const ServerConnections &) = delete;
    ServerConnections &operator=(const ServerConnections &) = delete;

    /** Starts a call. The observer is called from the event loop only, never from start(). */
    void start(const ServerRequest &request);
    /** Closes the call's connection; the observer receives no further events of the call. */
    void abandon(CallNumber call);
    std::size_t openCalls() const { return m_calls.size(); }
    /** Is called for each change of what is known of the connections to a server. */
    using PathHandler = std::function<void(const PathChange &)>;
    void setPathHandler(PathHandler handler) { m_pathHandler = std::move(handler); }
    const ServerPaths &paths() const { return m_paths; }
    /** Returns the number of idle connections. */
    std::size_t idleConnections() const;
    std::uint64_t connectionsMade() const { return m_connectionsMade; }

private:
    struct Connection;
    using ConnectionNumber = Number<struct ServerConnectionTag>;

    static void handleRead(bufferevent *bev, void *context);
    static void handleEvent(bufferevent *bev, short events, void *context);
    static void handleTimer(int socket, short events, void *context);
    Connection *takeIdleConnection(const ServerRequest &request);
    Connection &connect(const ServerRequest &request);
    void send(Connection &connection, const ServerRequest &request);
    void readInput(Connection &connection);
    void handleMessageComplete(Connection &connection);
    void finish(Connection &connection, TransferEnd end, const std::string &reason,
                bool isReusable);
    void returnToPool(Connection &connection);
    /** Restarts the idle timeout and the silence limit after data or a new request. */
    void armIdleTimer(Connection &connection);
    /** Arms the timer for the silence limit or the rest of the idle timeout, whichever is first. */
    void armSilenceTimer(Connection &connection);
    void recordConnected(const Connection &connection);
    void finishNotConnected(Connection &connection, const std::string &reason);
    void reportPathChanges();
    void scheduleClose(Connection &connection);
    void closeScheduled();

    event_base *m_base;
    ServerCallObserver &m_observer;
    ServerPaths m_paths;
    PathHandler m_pathHandler;
    EventHandle m_closeEvent;
    std::map<ConnectionNumber, std::unique_ptr<Connection>> m_connections;
    std::map<CallNumber, ConnectionNumber> m_calls;
    std::map<ServerName, std::deque<ConnectionNumber>> m_idle;
    /** Closed by m_closeEvent, outside of their callbacks. */
    std::vector<ConnectionNumber> m_scheduledForClose;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_connectionsMade = 0;
};

} // namespace indigoway
