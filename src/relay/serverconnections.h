#pragma once

#include "http/eventbase.h"
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

/** A request as it goes out to a backend server. */
struct ServerRequest
{
    CallNumber call;
    ServerName server;   ///< Kept connections are of one life of a server.
    std::string address; ///< "IP:port"
    std::string method;
    std::string target;
    HttpHeaders headers; ///< Without those on framing and connections.
    std::string body;
    Duration idleTimeout {}; ///< Longest time without a byte from the server; 0: no bound.
    bool needsNewConnection = false;
    bool isConnectOnly = false; ///< Nothing is sent; complete once the connection is made.
    std::uint32_t maxIdleConnections = 1; ///< Idle ones to this server, at the most.
};

enum class TransferEnd {
    NotConnected, ///< Nothing was sent.
    Complete,
    Lost,   ///< The connection ended before the answer did.
    Broken, ///< Silent for too long, or bytes that are no answer.
};

/** What a call's owner is told. Every call ends by ended(), unless it is abandoned. */
class ServerCallObserver
{
public:
    ServerCallObserver() = default;
    ServerCallObserver(const ServerCallObserver &) = delete;
    ServerCallObserver &operator=(const ServerCallObserver &) = delete;
    virtual ~ServerCallObserver() = default;

    /**
     * False if this is not the answer to @p call but one to an earlier request that came late:
     * it is read and dropped, and the next one waited for.
     */
    virtual bool isAnswerTo(CallNumber call, const MessageHead &head) = 0;
    virtual void answerBegan(CallNumber call, const MessageHead &head) = 0;
    virtual void answerData(CallNumber call, std::string_view data) = 0;
    virtual void callEnded(CallNumber call, TransferEnd end, const std::string &why) = 0;
};

/**
 * The backend servers' side. Tells an answer that ends with an orderly close from one that was
 * reset, which evhttp's client does not; where an answer has no length that is all that shows
 * whether it is whole. Connections are kept per server and life; one whose call was abandoned,
 * or that carries bytes nobody asked for, is closed.
 */
class ServerConnections
{
public:
    ServerConnections(event_base *base, ServerCallObserver &observer);
    ~ServerConnections();
    ServerConnections(const ServerConnections &) = delete;
    ServerConnections &operator=(const ServerConnections &) = delete;

    /** The observer is never called from inside start(). */
    void start(const ServerRequest &request);
    /** Closes the call's connection; the observer is not told of it any more. */
    void abandon(CallNumber call);
    std::size_t open() const { return m_calls.size(); }
    /** Idle connections. */
    std::size_t kept() const;
    std::uint64_t connectionsMade() const { return m_connectionsMade; }

private:
    struct Connection;
    using ConnectionNumber = Number<struct ServerConnectionTag>;

    static void handleRead(bufferevent *bev, void *connection);
    static void handleEvent(bufferevent *bev, short what, void *connection);
    static void handleTimer(int socket, short what, void *connection);
    Connection *keptConnection(const ServerRequest &request);
    Connection &connect(const ServerRequest &request);
    void send(Connection &connection, const ServerRequest &request);
    void readMore(Connection &connection);
    void messageComplete(Connection &connection);
    void finish(Connection &connection, TransferEnd end, const std::string &why, bool mayKeep);
    void keep(Connection &connection);
    void armSilence(Connection &connection);
    void closeSoon(Connection &connection);
    void closeNow();

    event_base *m_base;
    ServerCallObserver &m_observer;
    EventHandle m_closer;
    std::map<ConnectionNumber, std::unique_ptr<Connection>> m_connections;
    std::map<CallNumber, ConnectionNumber> m_calls;
    std::map<ServerName, std::deque<ConnectionNumber>> m_kept;
    std::vector<ConnectionNumber> m_closing; ///< Closed by m_closer, outside their callbacks.
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_connectionsMade = 0;
};

} // namespace indigoway
