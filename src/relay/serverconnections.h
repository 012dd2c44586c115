#pragma once

#include "http/eventbase.h"
#include "paths/pathsearch.h"
#include "paths/pathtimelimits.h"
#include "relay/serverconnection.h"
#include "relay/serverrequest.h"
#include "relay/unreadtimes.h"

#include <indigoway/ids.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

struct bufferevent;

namespace indigoway {

enum class TransferEnd {
    NotConnected, ///< Nothing was sent: the server does not answer this node or another one.
    /**
     * Nothing was sent: no process listens at the server's address, and none of the node's
     * connections to it is open. A server that takes no more connections refuses them as well.
     */
    Refused,
    NoPath, ///< Nothing was sent: this node has no connection, which may be its own fault.
    Complete,
    ConnectionLost, ///< The server ended the connection before the answer was complete.
    /**
     * The connection ended before the answer was complete, at the node that had opened it or
     * unknown where. Says nothing of the server.
     */
    PathLost,
    Broken, ///< Idle timeout or malformed answer.
};

/** Receives the events of calls. callEnded() follows once per call, unless it is abandoned. */
class ServerCallObserver
{
public:
    ServerCallObserver() = default;
    ServerCallObserver(const ServerCallObserver &) = delete;
    ServerCallObserver &operator=(const ServerCallObserver &) = delete;
    virtual ~ServerCallObserver() = default;

    /** Reports that another node has opened the connection of the call. */
    virtual void callRelayed(CallNumber /*call*/, const NodeName & /*relay*/) { }
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
    ServerConnections(event_base *base, ServerCallObserver &observer, std::uint64_t seed = 1,
                      const PathTimeLimits &limits = {});
    ~ServerConnections();
    ServerConnections(const ServerConnections &) = delete;
    ServerConnections &operator=(const ServerConnections &) = delete;

    /** Starts a call. The observer is called from the event loop only, never from start(). */
    void start(ServerRequest request);
    /** Closes the call's connection; the observer receives no further events of the call. */
    void abandon(CallNumber call);
    /** Stops reading the answer to @p call; its time limits wait meanwhile. */
    void pause(CallNumber call);
    /** Ends pause(). */
    void resume(CallNumber call);
    /** Records that the process reads its connections; called several times a second. */
    void recordTick(BootTime now) { m_unreadTimes.recordTick(now); }
    std::size_t openCalls() const { return m_calls.size(); }
    /** What is known of the paths to the servers. */
    PathKnowledge &paths() { return m_paths; }
    const PathKnowledge &paths() const { return m_paths; }
    /** Returns the number of calls whose connection was opened by another node. */
    std::uint64_t relayedCalls() const { return m_relayedCalls; }
    /** Returns the number of idle connections. */
    std::size_t idleConnections() const;
    std::uint64_t connectionsMade() const { return m_connectionsMade; }

private:
    friend struct ServerConnection;
    using Connection = ServerConnection;
    using ConnectionNumber = ServerConnectionNumber;

    static void handleRead(bufferevent *bev, void *context);
    static void handleEvent(bufferevent *bev, short events, void *context);
    static void handleTimer(int socket, short events, void *context);
    Connection *takeIdleConnection(const ServerRequest &request);
    /** Opens a connection for the call on the present route of its search. */
    void connect(std::unique_ptr<PendingCall> pending);
    Connection &addConnection(const ServerName &server);
    void openSocket(Connection &connection, const std::string &address, Duration limit);
    void socketConnected(Connection &connection);
    void readTunnelAnswer(Connection &connection);
    /** Sends the call's request on its new connection. */
    void established(Connection &connection);
    /** Tries the next route, or ends the call. */
    void connectFailed(Connection &connection, ConnectFailure failure, const std::string &reason);
    /**
     * Returns whether a connection to @p server is open. The kernel checks those that are, since
     * the end of the process may have got lost.
     */
    bool checkOpenConnections(const ServerName &server);
    /** Tests whether this node can connect to a server that it reaches through others. */
    void testPath(const ServerName &server, const std::string &address);
    /** Closes idle connections of this node itself that a cut may have made useless. */
    void closeIdleDirect(const ServerName &server);
    void assign(Connection &connection, const ServerRequest &request);
    void readInput(Connection &connection);
    /** Passes what the server has sent to the parser. */
    void parseAnswer(Connection &connection);
    void handleMessageComplete(Connection &connection);
    /** Handles that the server has ended the connection of a call. */
    void serverEnded(Connection &connection, bool isRegular);
    void finish(Connection &connection, TransferEnd end, const std::string &reason,
                bool isReusable);
    void returnToPool(Connection &connection);
    void scheduleClose(Connection &connection);
    void closeScheduled();

    event_base *m_base;
    ServerCallObserver &m_observer;
    PathTimeLimits m_limits;
    PathKnowledge m_paths;
    std::mt19937_64 m_random;
    EventHandle m_closeEvent;
    std::map<ConnectionNumber, std::unique_ptr<Connection>> m_connections;
    std::map<CallNumber, ConnectionNumber> m_calls;
    std::map<ServerName, std::deque<ConnectionNumber>> m_idle;
    /** Closed by m_closeEvent, outside of their callbacks. */
    std::vector<ConnectionNumber> m_scheduledForClose;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_connectionsMade = 0;
    UnreadTimes m_unreadTimes;
    std::uint64_t m_relayedCalls = 0;
};

} // namespace indigoway
